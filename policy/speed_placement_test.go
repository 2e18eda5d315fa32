package policy_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"clementinepier/policy"
)

// speedy returns an idle worker of a speed; see worker.
func speedy(id, rack string, used int64, speed float64) *policy.Worker {
	w := worker(id, rack, used)
	w.Speed = speed
	return w
}

// unevenRack returns six workers of a rack, two of each speed; the slow ones have the lowest IDs.
func unevenRack(rack string) []*policy.Worker {
	var workers []*policy.Worker
	for i, speed := range []float64{0.66, 0.66, 1, 1, 1.5, 1.5} {
		workers = append(workers, speedy(fmt.Sprintf("%s-%d", rack, i), rack, 0, speed))
	}
	return workers
}

// placedOn returns the workers of the placements of a job.
func placedOn(d policy.Decision, job string) []string {
	var ids []string
	for _, placement := range d.Placements {
		if placement.Unit.Job.ID == job {
			ids = append(ids, placement.Worker)
		}
	}
	return ids
}

// withTime returns the unit with a time that each task takes and one that the job has.
func withTime(u *policy.Unit, remaining, deadline time.Duration) *policy.Unit {
	u.Remaining, u.Deadline, u.Expiry = remaining, at(deadline), at(3*deadline)
	return u
}

// Guards against urgent work on slow workers while fast ones are free, and against long work of low priority on these.
func TestPlacementBySpeed(t *testing.T) {
	for name, c := range map[string]struct {
		unit *policy.Unit
		want []string
	}{
		"urgent task":                              {withTime(unit("u", 0, 1, 8), 2*time.Second, 9*time.Second), []string{"r1-4"}},
		"low task that is in time on a slow one":   {withTime(unit("u", 2, 1, 8), 2*time.Second, 9*time.Second), []string{"r1-0"}},
		"low task that is in time on a usual one":  {withTime(unit("u", 2, 1, 8), 2*time.Second, 2500*time.Millisecond), []string{"r1-2"}},
		"low task that is in time on a fast one":   {withTime(unit("u", 2, 1, 8), 2*time.Second, 1500*time.Millisecond), []string{"r1-4"}},
		"low task that is late on all":             {withTime(unit("u", 2, 1, 8), 2*time.Second, time.Second), []string{"r1-4"}},
		"urgent gang, fast ones":                   {withTime(unit("u", 0, 2, 8), 2*time.Second, 3*time.Second), []string{"r1-4", "r1-5"}},
		"urgent gang, no slow one":                 {withTime(unit("u", 0, 4, 8), 2*time.Second, 3*time.Second), []string{"r1-2", "r1-3", "r1-4", "r1-5"}},
		"urgent gang, a usual one decides":         {withTime(unit("u", 0, 3, 8), 2*time.Second, 3*time.Second), []string{"r1-2", "r1-3", "r1-4"}},
		"gang that needs all":                      {withTime(unit("u", 0, 6, 8), 2*time.Second, 3*time.Second), []string{"r1-0", "r1-1", "r1-2", "r1-3", "r1-4", "r1-5"}},
		"low gang that is in time on slow ones":    {withTime(unit("u", 1, 2, 8), 2*time.Second, 9*time.Second), []string{"r1-0", "r1-1"}},
		"low gang that is in time on usual ones":   {withTime(unit("u", 1, 2, 8), 2*time.Second, 2500*time.Millisecond), []string{"r1-2", "r1-3"}},
		"low gang that is too wide for usual ones": {withTime(unit("u", 1, 5, 8), 2*time.Second, 2500*time.Millisecond), []string{"r1-0", "r1-1", "r1-2", "r1-3", "r1-4"}},
	} {
		t.Run(name, func(t *testing.T) {
			is.New(t).Equal(placedOn(plan(start, unevenRack("r1"), c.unit), "u"), c.want)
		})
	}
}

// Guards against an urgent gang in the fullest rack, of which some workers are slow, beside a rack with enough fast ones.
func TestUrgentGangGoesToRackWithFastestSlowestMember(t *testing.T) {
	is := is.New(t)
	workers := unevenRack("r1")
	for i, speed := range []float64{1, 1, 1, 1, 1, 0.66, 0.66} {
		workers = append(workers, speedy(fmt.Sprintf("r2-%d", i), "r2", 0, speed))
	}
	gang := withTime(unit("u", 0, 5, 8), 2*time.Second, 3*time.Second)
	gang.Job.Steps[0].SameRack = true
	is.Equal(placedOn(plan(start, workers, gang), "u"), []string{"r2-0", "r2-1", "r2-2", "r2-3", "r2-4"})
}

// Guards against packing that is undone among workers of one class: whole workers stay free for those that need them.
func TestSpeedKeepsPackingWithinClass(t *testing.T) {
	is := is.New(t)
	workers := []*policy.Worker{speedy("a", "r1", 0, 1), speedy("b", "r1", 4, 1), speedy("c", "r1", 0, 1.5), speedy("d", "r1", 6, 1.5), speedy("e", "r1", 2, 1.5)}
	urgent, low := unit("u", 0, 1, 2), withTime(unit("v", 2, 1, 2), 2*time.Second, 9*time.Second)
	d := plan(start, workers, urgent, low)
	is.Equal(placedOn(d, "u"), []string{"d"})
	is.Equal(placedOn(d, "v"), []string{"b"})
}

// Guards against other decisions on equal workers, whatever their common speed.
func TestEqualWorkersDecideAsWithoutSpeeds(t *testing.T) {
	is := is.New(t)
	for seed := range uint64(200) {
		var first string
		for _, speed := range []float64{0, 1, 1.5, 0.3} {
			random := rand.New(rand.NewPCG(seed, 2))
			var workers []*policy.Worker
			for i := range 12 {
				w := speedy(fmt.Sprintf("w%d", i), fmt.Sprintf("r%d", i%3), random.Int64N(9), speed)
				if random.IntN(4) == 0 {
					fillWithBorrower(w, random.Float64()*100)
				}
				workers = append(workers, w)
			}
			var units []*policy.Unit
			for i := range 8 {
				u := unit(fmt.Sprintf("u%d", i), random.IntN(3), 1+random.IntN(4), 1+random.Int64N(8))
				u.Job.Steps[0].SameRack, u.Guaranteed = random.IntN(2) == 0, random.IntN(3) == 0
				units = append(units, withTime(u, time.Duration(1+random.IntN(5))*time.Second, 6*time.Second))
			}
			d := plan(start, workers, units...)
			text := ""
			for _, placement := range d.Placements {
				text += fmt.Sprintln(placement.Unit.Job.ID, placement.Task, placement.Worker)
			}
			for _, g := range d.Preemptions {
				text += fmt.Sprintln(g.Handle)
			}
			if speed == 0 {
				first = text
			}
			is.Equal(text, first)
		}
	}
}

// Guards against suspect workers that are used because they are fast.
func TestSpeedIsNoReasonToUseSuspectWorkers(t *testing.T) {
	is := is.New(t)
	workers := unevenRack("r1")
	workers[4].Quarantined = true
	is.Equal(placedOn(plan(start, workers, withTime(unit("u", 0, 2, 8), 2*time.Second, 3*time.Second)), "u"), []string{"r1-2", "r1-3"})
	workers = unevenRack("r1")
	workers[4].Quarantined, workers[5].Closed = true, true
	is.Equal(placedOn(plan(start, workers, withTime(unit("u", 0, 1, 8), 2*time.Second, 3*time.Second)), "u"), []string{"r1-2"})
}
