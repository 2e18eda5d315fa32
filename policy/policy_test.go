package policy_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"clementinepier/policy"
	"clementinepier/workload"
)

var start = time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)

func at(d time.Duration) time.Time { return start.Add(d) }

// worker returns a worker with 32 cores, 64 GB and 8 accelerators, of which used accelerators and as many cores are in use.
func worker(id, rack string, used int64) *policy.Worker {
	capacity := workload.Resources{MilliCPU: 32000, MemoryMB: 64 << 10, Accelerators: 8}
	free := capacity.Sub(workload.Resources{MilliCPU: 1000 * used, Accelerators: used})
	return &policy.Worker{ID: id, Rack: rack, Labels: []string{"a", rack}, Capacity: capacity, Free: free, FreeAfterStops: free, Usable: true}
}

// fillWithBorrower gives all free capacity of the worker to a group of priority 2 that may be preempted.
func fillWithBorrower(w *policy.Worker, cost float64) *policy.Group {
	g := &policy.Group{Priority: 2, PreemptionCost: cost, Uses: map[string]workload.Resources{w.ID: w.Free}, Handle: w.ID}
	w.Free, w.FreeAfterStops, w.Victims = workload.Resources{}, workload.Resources{}, append(w.Victims, g)
	return g
}

// unit returns a unit of n tasks with the given accelerators each; with more than one task it is a gang.
func unit(id string, priority, n int, accelerators int64) *policy.Unit {
	u := &policy.Unit{
		Job: &workload.Job{ID: id, Priority: priority, Steps: []workload.Step{{
			Tasks: n, Gang: n > 1, Need: workload.Resources{MilliCPU: 1000, MemoryMB: 100, Accelerators: accelerators}, Estimate: 2 * time.Second,
		}}},
		ReadySince: start, Deadline: at(5 * time.Second), Expiry: at(15 * time.Second), Remaining: 2 * time.Second, Avoid: map[string]bool{},
	}
	for i := range n {
		u.Tasks = append(u.Tasks, i)
	}
	return u
}

func plan(now time.Time, workers []*policy.Worker, units ...*policy.Unit) policy.Decision {
	policy.Order(now, units)
	return policy.NewFleet(workers).Plan(now, units)
}

// Guards against urgent work beyond its organisation's guarantee that waits behind borrowers, as in a burst of urgent jobs
// while jobs with long run times fill every worker.
func TestUrgentUnitBeyondGuaranteePreemptsCheapestGroup(t *testing.T) {
	is := is.New(t)
	w1, w2 := worker("w1", "r1", 0), worker("w2", "r1", 0)
	fillWithBorrower(w1, 500)
	cheap := fillWithBorrower(w2, 10)
	d := plan(start, []*policy.Worker{w1, w2}, unit("urgent", 0, 1, 8))
	is.Equal(len(d.Placements), 0)
	is.Equal(d.Preemptions, []*policy.Group{cheap})
}

// Guards against preemption for urgent work that is late already, as in the backlog after an outage.
func TestLateUrgentUnitPreemptsOnlyIfGuaranteed(t *testing.T) {
	is := is.New(t)
	w1 := worker("w1", "r1", 0)
	fillWithBorrower(w1, 10)
	late, guaranteed := unit("late", 0, 1, 8), unit("guaranteed", 0, 1, 8)
	guaranteed.Guaranteed = true
	is.Equal(len(plan(at(4*time.Second), []*policy.Worker{w1}, late).Preemptions), 0)
	is.Equal(len(plan(at(4*time.Second), []*policy.Worker{w1}, guaranteed).Preemptions), 1)
}

// Guards against preemption of low-priority work for work that is not urgent either.
func TestNonUrgentUnitPreemptsNothing(t *testing.T) {
	w1 := worker("w1", "r1", 0)
	fillWithBorrower(w1, 1)
	d := plan(start, []*policy.Worker{w1}, unit("batch", 1, 1, 8))
	is.New(t).Equal(len(d.Preemptions), 0)
}

// Guards against a second preemption for a unit while the stops that free its capacity are in progress.
func TestPendingStopsAreCountedBeforePreempting(t *testing.T) {
	is := is.New(t)
	w1, w2 := worker("w1", "r1", 0), worker("w2", "r1", 0)
	fillWithBorrower(w1, 10)
	fillWithBorrower(w2, 10)
	w1.FreeAfterStops = w1.Capacity
	u := unit("urgent", 0, 1, 8)
	u.Guaranteed = true
	d := plan(start, []*policy.Worker{w1, w2}, u)
	is.Equal(len(d.Preemptions), 0)
	is.Equal(len(d.Placements), 0)
}

// Guards against starvation of a gang by small work that takes the capacity which the waiting gang could already use.
func TestBlockedGangReservesCapacity(t *testing.T) {
	is := is.New(t)
	workers := []*policy.Worker{worker("w1", "r1", 0), worker("w2", "r1", 8), worker("w3", "r1", 4)}
	for i := range 3 {
		workers = append(workers, worker(fmt.Sprintf("x%d", i), "r2", 8))
	}
	big, small := unit("big", 1, 2, 8), unit("small", 2, 1, 4)
	small.Deadline = at(20 * time.Second)
	d := plan(start, workers, big, small)
	is.Equal(len(d.Placements), 1)
	is.Equal(d.Placements[0].Worker, "w3")
}

// Guards against fragmentation: small work on empty workers, which gangs need.
func TestSmallUnitIsPlacedByBestFit(t *testing.T) {
	is := is.New(t)
	d := plan(start, []*policy.Worker{worker("w1", "r1", 0), worker("w2", "r1", 6), worker("w3", "r1", 3)}, unit("small", 2, 1, 1))
	is.Equal(d.Placements[0].Worker, "w2")
}

// Guards against a gang that is spread over racks although it fits into one, and against one that waits for a rack for ever.
func TestSameRackGangWaitsForRackThenSpreads(t *testing.T) {
	is := is.New(t)
	fleet := func() []*policy.Worker {
		return []*policy.Worker{worker("a1", "r1", 0), worker("a2", "r1", 8), worker("b1", "r2", 0), worker("b2", "r2", 0), worker("c1", "r3", 0)}
	}
	u := unit("gang", 1, 2, 8)
	u.Job.Steps[0].SameRack = true
	d := plan(start, fleet(), u)
	is.Equal(len(d.Placements), 2)
	for _, p := range d.Placements {
		is.True(p.Worker == "b1" || p.Worker == "b2")
	}
	busy := fleet()
	busy[3].Free, busy[3].FreeAfterStops = workload.Resources{}, workload.Resources{}
	is.Equal(len(plan(start, busy, u).Placements), 0)
	is.Equal(len(plan(at(4*time.Second), busy, u).Placements), 2)
}

// planMostlyIdle is like plan in a service of which under half is in use.
func planMostlyIdle(now time.Time, workers []*policy.Worker, units ...*policy.Unit) policy.Decision {
	policy.Order(now, units)
	f := policy.NewFleet(workers)
	f.MostlyIdle = true
	return f.Plan(now, units)
}

// Guards against a job that has nothing at work and waits for its rack beside idle workers, and against tasks that run far from their data
// although the job is at work, the service is busy, or there is no room for the task twice.
func TestIdleJobWaitsShortlyForRackInIdleService(t *testing.T) {
	is := is.New(t)
	fleet := func(used int64) []*policy.Worker {
		return []*policy.Worker{worker("a1", "r1", 8), worker("b1", "r2", used), worker("b2", "r2", 8), worker("b3", "r2", 8)}
	}
	task := func() *policy.Unit {
		u := unit("j", 1, 1, 2)
		u.Job.Steps[0].DataRack, u.IdleSince, u.Deadline = "r1", at(time.Second), at(30*time.Second)
		return u
	}
	atWork := task()
	atWork.IdleSince = time.Time{}
	is.Equal(len(planMostlyIdle(at(2500*time.Millisecond), fleet(0), task()).Placements), 0)
	is.Equal(len(planMostlyIdle(at(3*time.Second), fleet(0), task()).Placements), 1)
	is.Equal(len(planMostlyIdle(at(3*time.Second), fleet(4), task()).Placements), 1)
	is.Equal(len(planMostlyIdle(at(3*time.Second), fleet(5), task()).Placements), 0) // has room for one task
	is.Equal(len(planMostlyIdle(at(3*time.Second), fleet(0), atWork).Placements), 0)
	is.Equal(len(plan(at(3*time.Second), fleet(0), task()).Placements), 0) // busy service

	// A task that was placed in the same pass is at work.
	first, second := task(), task()
	second.Job, second.Tasks = first.Job, []int{1}
	is.Equal(len(planMostlyIdle(at(3*time.Second), fleet(0), first, second).Placements), 1)
}

// Guards against idle workers that are reserved for a gang which does not fit, while another job has nothing at work for seconds.
func TestReservationDoesNotKeepIdleJobWaiting(t *testing.T) {
	is := is.New(t)
	work := func(wait time.Duration, mostlyIdle bool) int {
		workers := []*policy.Worker{worker("w0", "r1", 0), worker("w1", "r1", 0)}
		for i := range 9 {
			workers = append(workers, worker(fmt.Sprintf("x%d", i), "r1", 1))
		}
		gang, single := unit("gang", 1, 3, 8), unit("single", 2, 1, 8)
		single.Deadline, single.IdleSince = at(20*time.Second), start
		if !mostlyIdle {
			return len(plan(at(wait), workers, gang, single).Placements)
		}
		return len(planMostlyIdle(at(wait), workers, gang, single).Placements)
	}
	is.Equal(work(time.Second, true), 0)
	is.Equal(work(2*time.Second, true), 1)
	is.Equal(work(2*time.Second, false), 0)
}

// Guards against work that can still be in time and waits behind work whose result is of no use any more.
func TestOrderPutsExpiredUnitsLast(t *testing.T) {
	is := is.New(t)
	old, fresh := unit("old", 1, 1, 1), unit("fresh", 2, 1, 1)
	old.Deadline, old.Expiry = at(-20*time.Second), at(-time.Second)
	units := []*policy.Unit{old, fresh}
	policy.Order(start, units)
	is.Equal(units[0], fresh)
	guaranteed := unit("guaranteed", 0, 1, 1)
	guaranteed.Guaranteed, guaranteed.Deadline, guaranteed.Expiry = true, old.Deadline, old.Expiry
	units = append(units, guaranteed)
	policy.Order(start, units)
	is.Equal(units[0], guaranteed)
}

// Guards against a guarantee that is not met because urgent work of other organisations, beyond their own guarantees, uses
// its capacity, as in a burst of urgent jobs.
func TestGuaranteedUnitPreemptsUrgentBorrowers(t *testing.T) {
	is := is.New(t)
	w1, w2, w3 := worker("w1", "r1", 0), worker("w2", "r1", 0), worker("w3", "r1", 0)
	owner, borrower, batch := fillWithBorrower(w1, 1), fillWithBorrower(w2, 1), fillWithBorrower(w3, 100)
	owner.Priority, owner.Guaranteed, borrower.Priority = 0, true, 0
	u := unit("urgent", 0, 2, 8)
	u.Guaranteed = true
	d := plan(start, []*policy.Worker{w1, w2, w3}, u)
	is.Equal(len(d.Preemptions), 2)
	is.True(batch.Preempted && borrower.Preempted && !owner.Preempted)

	// An urgent unit that is not guaranteed preempts no urgent group.
	borrower.Preempted, batch.Preempted = false, false
	d = plan(start, []*policy.Worker{w1, w2}, unit("other", 0, 1, 8))
	is.Equal(len(d.Preemptions), 0)
}

// Guards against work that waits beside an idle closed worker which it may use, and against closed workers that are used before others.
func TestClosedWorkerIsUsedAsLastResort(t *testing.T) {
	is := is.New(t)
	fleet := func(usedOnOpen int64) []*policy.Worker {
		workers := []*policy.Worker{worker("closed1", "r1", 0), worker("closed2", "r1", 6), worker("open", "r2", usedOnOpen)}
		workers[0].Closed, workers[1].Closed = true, true
		return workers
	}
	job := unit("job", 1, 1, 2).Job
	task := func(i int) *policy.Unit {
		u := unit("job", 1, 1, 2)
		u.Job, u.Tasks = job, []int{i}
		return u
	}
	is.Equal(len(plan(start, fleet(8), task(0)).Placements), 0)
	allowed := func(i int) *policy.Unit {
		u := task(i)
		u.ClosedWorkers, u.IdleSince = map[string]int{"closed1": 1, "closed2": 2}, start
		return u
	}
	is.Equal(plan(start, fleet(0), allowed(0)).Placements[0].Worker, "open")
	d := plan(start, fleet(8), allowed(0), allowed(1))
	is.Equal(len(d.Placements), 1) // one attempt of a job at a time is risked there
	is.Equal(d.Placements[0].Worker, "closed1")
	atWork := func() *policy.Unit {
		u := allowed(0)
		u.IdleSince = time.Time{}
		return u
	}
	is.Equal(len(plan(start, fleet(8), atWork()).Placements), 0)     // the open worker will be free
	is.Equal(len(plan(start, fleet(8)[:2], atWork()).Placements), 1) // there is no open worker
	job.Steps[0].LongRunning = true
	is.Equal(len(plan(start, fleet(8), task(0), allowed(1), allowed(2)).Placements), 2)
}

// Guards against a worker that failed and is used before others, and against a job whose run tests a worker on which it failed.
func TestQuarantinedWorkerIsUsedAfterOthers(t *testing.T) {
	is := is.New(t)
	fleet := func(usedOnOther int64) []*policy.Worker {
		workers := []*policy.Worker{worker("quarantined", "r1", 6), worker("other", "r1", usedOnOther)}
		workers[0].Quarantined = true
		return workers
	}
	is.Equal(plan(start, fleet(0), unit("job", 1, 1, 2)).Placements[0].Worker, "other")
	is.Equal(plan(start, fleet(8), unit("job", 1, 1, 2)).Placements[0].Worker, "quarantined")
	failed := unit("job", 1, 1, 2)
	failed.Avoid["quarantined"] = true
	is.Equal(len(plan(start, fleet(8), failed).Placements), 0)
	failed.ClosedWorkers, failed.IdleSince = map[string]int{"quarantined": 1}, start
	is.Equal(len(plan(start, fleet(8), failed).Placements), 1)
}

// Guards against a unit that waits beside idle workers because its job avoids them, and against avoided workers that are used before others.
// Only jobs that have waited for long may use them.
func TestAvoidedWorkerIsUsedAfterOthers(t *testing.T) {
	is := is.New(t)
	avoiding := func() *policy.Unit {
		u := unit("job", 1, 1, 2)
		u.Avoid["avoided"] = true
		u.ClosedWorkers, u.IdleSince = map[string]int{"avoided": 1}, start
		return u
	}
	fleet := func(usedOnOther int64) []*policy.Worker {
		return []*policy.Worker{worker("avoided", "r1", 6), worker("other", "r1", usedOnOther)}
	}
	is.Equal(plan(start, fleet(0), avoiding()).Placements[0].Worker, "other")
	is.Equal(plan(start, fleet(8), avoiding()).Placements[0].Worker, "avoided")
	urgent := avoiding()
	urgent.Job.Priority, urgent.Guaranteed = 0, true
	workers := []*policy.Worker{worker("avoided", "r1", 0)}
	fillWithBorrower(workers[0], 1)
	is.Equal(len(plan(start, workers, urgent).Preemptions), 1)
}

// Guards against placing a task elsewhere than on the worker that it requires, and against holding up the other tasks of its step because of it.
func TestRequiredWorkers(t *testing.T) {
	for name, c := range map[string]struct {
		used     int64
		required map[int]string
		tasks    int
		want     map[int]string
	}{
		"task":                          {tasks: 1, required: map[int]string{0: "w2"}, want: map[int]string{0: "w2"}},
		"task, no room":                 {tasks: 1, required: map[int]string{0: "w2"}, used: 8},
		"task, unknown worker":          {tasks: 1, required: map[int]string{0: "w9"}},
		"member of a gang":              {tasks: 2, required: map[int]string{1: "w2"}, used: 4, want: map[int]string{0: "w2", 1: "w2"}},
		"member of a gang, no room":     {tasks: 2, required: map[int]string{1: "w2"}, used: 8},
		"both members":                  {tasks: 2, required: map[int]string{0: "w2", 1: "w1"}, want: map[int]string{0: "w2", 1: "w1"}},
		"both members, room for one":    {tasks: 2, required: map[int]string{0: "w2", 1: "w2"}, used: 6},
		"member of a gang, none needed": {tasks: 2, want: map[int]string{0: "w1", 1: "w1"}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			u := unit("u", 1, c.tasks, 2)
			u.RequiredWorkers = c.required
			got := map[int]string{}
			for _, placement := range plan(start, []*policy.Worker{worker("w1", "r1", 0), worker("w2", "r1", c.used)}, u).Placements {
				got[placement.Task] = placement.Worker
			}
			is.Equal(len(got), len(c.want))
			for task, id := range c.want {
				is.Equal(got[task], id)
			}
		})
	}
	is := is.New(t)
	first := unit("u", 1, 1, 2)
	first.RequiredWorkers = map[int]string{0: "w2"}
	second := *first
	second.Tasks, second.RequiredWorkers = []int{1}, nil
	d := plan(start, []*policy.Worker{worker("w1", "r1", 0), worker("w2", "r1", 8)}, first, &second)
	is.Equal(len(d.Placements), 1)
	is.Equal(d.Placements[0].Task, 1)
}
