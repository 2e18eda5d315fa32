package policy_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"clementinepier/policy"
	"clementinepier/workload"
)

// fillWithWork gives all free capacity of the worker to a group of the given priority that has run for 2 s, can be in time and has 8 s of work left.
func fillWithWork(w *policy.Worker, priority int) *policy.Group {
	g := fillWithBorrower(w, 2*w.Free.Cores())
	g.Priority, g.Objective, g.Remaining = priority, 30*time.Second, 8*time.Second
	g.Deadline, g.Expiry = at(28*time.Second), at(88*time.Second)
	return g
}

// Guards against a burst of urgent gangs over a full service that stops the same group again and again, since what has just been restarted loses
// the least work.
func TestGroupThatWasPreemptedIsSpared(t *testing.T) {
	is := is.New(t)
	w1, w2 := worker("w1", "r1", 0), worker("w2", "r1", 0)
	again, other := fillWithWork(w1, 2), fillWithWork(w2, 2)
	again.Preemptions, again.PreemptionCost = 3, 0.6*other.PreemptionCost
	d := plan(start, []*policy.Worker{w1, w2}, unit("urgent", 0, 1, 8))
	is.Equal(d.Preemptions, []*policy.Group{other})
	is.Equal(other.PreemptedFor.Job.ID, "urgent")
}

// Guards against a stop that makes a job late while another job, which loses a little more work, has time left.
func TestGroupThatWouldBeLateIsSpared(t *testing.T) {
	for name, change := range map[string]func(g *policy.Group){
		"late":      func(g *policy.Group) { g.Deadline = at(9 * time.Second) },
		"of no use": func(g *policy.Group) { g.Deadline, g.Expiry = at(time.Second), at(9*time.Second) },
	} {
		t.Run(name, func(t *testing.T) {
			w1, w2 := worker("w1", "r1", 0), worker("w2", "r1", 0)
			tight, patient := fillWithWork(w1, 2), fillWithWork(w2, 2)
			patient.PreemptionCost = 1.5 * tight.PreemptionCost
			change(tight)
			d := plan(start, []*policy.Worker{w1, w2}, unit("urgent", 0, 1, 8))
			is.New(t).Equal(d.Preemptions, []*policy.Group{patient})
		})
	}
}

// Guards against stops for urgent work beyond a guarantee that cost other callers more than they gain the caller, and against such a limit for
// guaranteed work.
func TestPreemptionBeyondGuaranteeIsLimitedByItsGain(t *testing.T) {
	is := is.New(t)
	fleet := func(cost float64) []*policy.Worker {
		w := worker("w1", "r1", 0)
		fillWithWork(w, 2).PreemptionCost = cost
		return []*policy.Worker{w}
	}
	urgent := func(guaranteed bool) *policy.Unit {
		u := unit("urgent", 0, 1, 2)
		u.Job.Objective, u.Guaranteed = 5*time.Second, guaranteed
		return u
	}
	d := plan(start, fleet(100), urgent(false))
	is.Equal(len(d.Preemptions), 1)
	is.Equal(len(d.Withheld), 0)
	d = plan(start, fleet(10000), urgent(false))
	is.Equal(len(d.Preemptions), 0)
	is.Equal(len(d.Withheld), 1)
	is.True(d.Withheld[0].Cost > d.Withheld[0].Gain)
	unknown := urgent(false)
	unknown.Remaining = 0
	is.Equal(len(plan(start, fleet(10000), unknown).Preemptions), 1)
	d = plan(start, fleet(10000), urgent(true))
	is.Equal(len(d.Preemptions), 1)
	is.Equal(len(d.Withheld), 0)
}

// Guards against small work that takes the room of an urgent gang for which nothing gives way.
func TestUnitWithoutPreemptionReservesCapacity(t *testing.T) {
	is := is.New(t)
	w1, w2 := worker("w1", "r1", 0), worker("w2", "r1", 0)
	fillWithWork(w1, 2).PreemptionCost = 100000
	workers := []*policy.Worker{w1, w2}
	for range 6 {
		workers = append(workers, worker(fmt.Sprintf("x%d", len(workers)), "r1", 8))
	}
	gang, small := unit("gang", 0, 2, 8), unit("small", 2, 1, 2)
	gang.Job.Objective = 5 * time.Second
	d := plan(start, workers, gang, small)
	is.Equal(len(d.Withheld), 1)
	is.Equal(len(d.Placements), 0)
}

// Guards against work that is started in each gap of a burst of urgent gangs and stopped by the next one, and against a wait that makes a job late
// or leaves a service idle.
func TestPreemptedUnitWaitsBeforeItStartsAgain(t *testing.T) {
	const stopTime = 400 * time.Millisecond
	for name, c := range map[string]struct {
		change     func(u *policy.Unit)
		since      time.Duration
		mostlyIdle bool
		starts     bool
	}{
		"just after the stop":              {since: 300 * time.Millisecond},
		"after the time of a stop":         {since: 500 * time.Millisecond, starts: true},
		"stopped again and again":          {since: time.Second, change: func(u *policy.Unit) { u.Preemptions = 3 }},
		"stopped again, after a while":     {since: 1700 * time.Millisecond, change: func(u *policy.Unit) { u.Preemptions = 3 }, starts: true},
		"much work lost":                   {since: 2 * time.Second, change: func(u *policy.Unit) { u.ThrownAway = 3 * time.Second }},
		"much work lost, little time left": {since: 2 * time.Second, change: func(u *policy.Unit) { u.ThrownAway, u.Deadline = 3*time.Second, at(5*time.Second) }, starts: true},
		"late already":                     {since: 100 * time.Millisecond, change: func(u *policy.Unit) { u.Deadline = at(time.Second) }, starts: true},
		"guaranteed":                       {since: 100 * time.Millisecond, change: func(u *policy.Unit) { u.Guaranteed = true }, starts: true},
		"mostly idle service":              {since: 100 * time.Millisecond, mostlyIdle: true, starts: true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			u := unit("low", 2, 1, 8)
			u.Preemptions, u.PreemptedAt, u.Deadline = 1, start, at(30*time.Second)
			if c.change != nil {
				c.change(u)
			}
			f := policy.NewFleet([]*policy.Worker{worker("w1", "r1", 0)})
			f.StopTime, f.MostlyIdle = stopTime, c.mostlyIdle
			d := f.Plan(at(c.since), []*policy.Unit{u})
			is.Equal(len(d.Placements) == 1, c.starts)
			is.Equal(len(d.Delayed) == 0, c.starts)
		})
	}
}

// Guards against demand that moves to data in a full rack, and stops work in other racks while it waits for that one.
func TestUnitWithDataPreemptsInItsRack(t *testing.T) {
	is := is.New(t)
	for _, sameRack := range []bool{false, true} {
		near, far := worker("w1", "r1", 0), worker("w2", "r2", 0)
		there := fillWithWork(near, 2)
		there.PreemptionCost = 10 * fillWithWork(far, 2).PreemptionCost
		u := unit("urgent", 0, 1, 8)
		u.Job.Steps[0].DataRack, u.Job.Steps[0].SameRack = "r1", sameRack
		is.Equal(plan(start, []*policy.Worker{near, far}, u).Preemptions, []*policy.Group{there})
	}
}

// Guards against a cost, however high, that keeps guaranteed work from its room.
func TestGuaranteedUnitGetsRoomWhateverItCosts(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	for range 300 {
		is := is.New(t)
		var workers []*policy.Worker
		for i := range 12 {
			w := worker(fmt.Sprintf("w%d", i), fmt.Sprintf("r%d", i/4), 0)
			g := fillWithBorrower(w, random.Float64()*1e6)
			g.Priority, g.Preemptions, g.Remaining = random.IntN(3), random.IntN(20), time.Duration(random.IntN(60))*time.Second
			g.Objective, g.Deadline = time.Duration(1+random.IntN(60))*time.Second, at(time.Duration(random.IntN(60))*time.Second)
			g.Expiry = g.Deadline.Add(2 * g.Objective)
			workers = append(workers, w)
		}
		u := unit("urgent", 0, 1+random.IntN(12), 8)
		u.Guaranteed, u.Job.Steps[0].SameRack, u.Preemptions = true, random.IntN(2) == 0, random.IntN(3)
		u.PreemptedAt, u.ThrownAway = start, time.Minute
		d := plan(at(time.Duration(random.IntN(20))*time.Second), workers, u)
		is.Equal(len(d.Preemptions), len(u.Tasks))
		is.Equal(len(d.Withheld)+len(d.Delayed), 0)
	}
}

// Guards against a search for victims for each of many urgent gangs for which no room is made: a pass over 350 full workers and 1,000 gangs took 3 s.
func TestSearchForVictimsIsNotRepeatedForUnitsOfOneShape(t *testing.T) {
	is := is.New(t)
	var workers []*policy.Worker
	for i := range 350 {
		w := worker(fmt.Sprintf("w%03d", i), "r1", 0)
		fillWithWork(w, 2).PreemptionCost = 10000
		workers = append(workers, w)
	}
	var units []*policy.Unit
	for i := range 1000 {
		u := unit(fmt.Sprintf("u%04d", i), 0, 5, 8)
		u.Job.Objective = 5 * time.Second
		units = append(units, u)
	}
	// A unit that gains more than the others still gets room.
	valuable := unit("valuable", 0, 5, 8)
	valuable.Job.Objective, valuable.Job.Priority = 5*time.Second, 0
	valuable.Remaining, valuable.Deadline = 4*time.Hour, at(5*time.Hour)
	units = append(units, valuable)
	allocations := testing.AllocsPerRun(1, func() {
		d := plan(start, workers, units...)
		is.Equal(len(d.Withheld), 1000)
		is.Equal(len(d.Preemptions), 5)
		for _, g := range d.Preemptions {
			is.Equal(g.PreemptedFor, valuable)
			g.Preempted = false
		}
		for _, w := range workers {
			w.FreeAfterStops = w.Free
		}
	})
	// Each search allocates tables of all groups, some 70 allocations here.
	is.True(allocations < 20*1000)
}

// Guards against room that is made twice: a unit that finds room on a worker that is set aside is not held back, and reserves nothing.
func TestUnitThatFitsOnClosedWorkerIsNotWithheld(t *testing.T) {
	is := is.New(t)
	full, closed := worker("w1", "r1", 0), worker("w2", "r1", 0)
	fillWithWork(full, 2).PreemptionCost = 10000
	closed.Closed = true
	// The stop of a run on the closed worker is in progress.
	closed.Free = workload.Resources{}
	u := unit("urgent", 0, 1, 8)
	u.Job.Objective, u.ClosedWorkers, u.IdleSince = 5*time.Second, map[string]int{"w2": 0}, start
	d := plan(start, []*policy.Worker{full, closed}, u)
	is.Equal(len(d.Withheld), 0)
	is.Equal(len(d.Preemptions), 0)
}

// Guards against work without an objective that is spared at the cost of work that is wanted in time.
func TestWorkWithoutObjectiveGivesWay(t *testing.T) {
	is := is.New(t)
	w := worker("w1", "r1", 0)
	fillWithWork(w, 2).Objective = 0
	u := unit("urgent", 0, 1, 8)
	u.Job.Objective = 5 * time.Second
	is.Equal(len(plan(start, []*policy.Worker{w}, u).Preemptions), 1)
}

// Guards against a gang that waits after a preemption and loses its room to less urgent work, for which it may not preempt.
func TestPreemptedUnitDoesNotWaitForLessUrgentWork(t *testing.T) {
	is := is.New(t)
	preempted := unit("preempted", 1, 2, 8)
	preempted.Preemptions, preempted.PreemptedAt, preempted.ThrownAway = 2, start, 20*time.Second
	preempted.Deadline, preempted.Expiry = at(60*time.Second), at(180*time.Second)
	less := unit("less-urgent", 2, 1, 1)
	less.Deadline, less.Expiry = at(60*time.Second), at(180*time.Second)
	workers := []*policy.Worker{worker("w1", "r1", 0), worker("w2", "r1", 0)}
	d := plan(at(time.Second), workers, preempted, less)
	is.Equal(len(d.Delayed), 0)
	is.Equal(len(d.Placements), 2)
	is.Equal(d.Placements[0].Unit, preempted)
}
