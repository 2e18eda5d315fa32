package policy_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"clementinepier/policy"
	"clementinepier/workload"
)

// ownedBy sets the organisation of the units' jobs and returns the units.
func ownedBy(organisation string, units ...*policy.Unit) []*policy.Unit {
	for _, u := range units {
		u.Job.Organisation = organisation
	}
	return units
}

// limited returns limits that bind organisation "a" only.
func limited(limit workload.Resources, usage policy.Usage) *policy.Limits {
	l := policy.NewLimits()
	l.Set("a", limit, usage)
	return l
}

// planWithin plans under limits, with the groups that may be preempted.
func planWithin(now time.Time, limits *policy.Limits, workers []*policy.Worker, groups []*policy.Group, units ...*policy.Unit) policy.Decision {
	policy.Order(now, units)
	f := policy.NewFleet(workers)
	f.Limits, f.Groups = limits, groups
	return f.Plan(now, units)
}

// emptyWorkers returns n workers with nothing at work.
func emptyWorkers(n int) []*policy.Worker {
	var workers []*policy.Worker
	for i := range n {
		workers = append(workers, worker(fmt.Sprintf("w%d", i), "r1", 0))
	}
	return workers
}

// Guards against limits of which only one resource is looked at, and against an amount of 0 that is taken for none allowed.
func TestEachResourceOfLimitBinds(t *testing.T) {
	for _, c := range []struct {
		name    string
		limit   workload.Resources
		started int
	}{
		{"processors", workload.Resources{MilliCPU: 3000}, 3},
		{"memory", workload.Resources{MemoryMB: 250}, 2},
		{"accelerators", workload.Resources{Accelerators: 5}, 5},
		{"the smallest", workload.Resources{MilliCPU: 3000, MemoryMB: 250, Accelerators: 5}, 2},
		{"none", workload.Resources{}, 8},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			var units []*policy.Unit
			for i := range 8 {
				units = append(units, ownedBy("a", unit(fmt.Sprintf("j%d", i), 1, 1, 1))...)
			}
			d := planWithin(start, limited(c.limit, policy.Usage{}), emptyWorkers(1), nil, units...)
			is.Equal(len(d.Placements), c.started)
		})
	}
}

// Guards against a step that is wider than its organisation's limit and never starts: it runs in waves. What is at work already counts.
func TestWideStepRunsInWaves(t *testing.T) {
	is := is.New(t)
	var units []*policy.Unit
	wide := unit("wide", 1, 6, 1)
	wide.Job.Steps[0].Gang = false
	for i := range 6 {
		u := *wide
		u.Tasks = []int{i}
		units = append(units, &u)
	}
	ownedBy("a", units...)
	limit := workload.Resources{Accelerators: 4}
	is.Equal(len(planWithin(start, limited(limit, policy.Usage{}), emptyWorkers(2), nil, units...).Placements), 4)
	used := policy.Usage{All: workload.Resources{MilliCPU: 3000, MemoryMB: 300, Accelerators: 3}}
	is.Equal(len(planWithin(start, limited(limit, used), emptyWorkers(2), nil, units...).Placements), 1)
}

// Guards against work that waits for its organisation's limit and keeps capacity from others: neither does it reserve any, nor does an urgent
// unit that the limit holds back stop work of others in vain.
func TestUnitBeyondLimitTakesNothingFromOthers(t *testing.T) {
	is := is.New(t)
	limit := workload.Resources{Accelerators: 8}
	used := policy.Usage{All: workload.Resources{Accelerators: 8}}
	held, other := unit("held", 1, 1, 8), unit("other", 2, 1, 8)
	ownedBy("a", held)
	ownedBy("b", other)
	d := planWithin(start, limited(limit, used), emptyWorkers(1), nil, held, other)
	is.Equal(len(d.Placements), 1)
	is.Equal(d.Placements[0].Unit, other)

	w := worker("w1", "r1", 0)
	group := fillWithBorrower(w, 10)
	group.Organisation = "b"
	urgent := unit("urgent", 0, 1, 8)
	ownedBy("a", urgent)
	limits := limited(limit, used)
	d = planWithin(start, limits, []*policy.Worker{w}, []*policy.Group{group}, urgent)
	is.Equal(len(d.Preemptions), 0)
	is.True(limits.Holds(urgent))
}

// Guards against guaranteed work that waits because low-priority work of its own organisation uses up the limit: that gives way, and nothing of
// others does where there is room on workers.
func TestGuaranteedUnitPreemptsOwnWorkForLimit(t *testing.T) {
	is := is.New(t)
	w1, w2, w3 := worker("w1", "r1", 0), worker("w2", "r1", 0), worker("w3", "r1", 0)
	own, others := fillWithBorrower(w1, 500), fillWithBorrower(w2, 1)
	own.Organisation, others.Organisation = "a", "b"
	u := unit("urgent", 0, 1, 8)
	u.Guaranteed = true
	ownedBy("a", u)
	usage := policy.Usage{All: own.Uses["w1"]}
	d := planWithin(start, limited(workload.Resources{Accelerators: 8}, usage), []*policy.Worker{w1, w2, w3}, []*policy.Group{own, others}, u)
	is.Equal(len(d.Placements), 0)
	is.Equal(d.Preemptions, []*policy.Group{own})

	// The next pass finds the stop in progress and preempts nothing further, and other work of the organisation does not take the room.
	usage.Stopping = usage.All
	small := unit("small", 2, 1, 1)
	ownedBy("a", small)
	d = planWithin(start, limited(workload.Resources{Accelerators: 8}, usage), emptyWorkers(2), nil, u, small)
	is.Equal(len(d.Placements)+len(d.Preemptions), 0)
	d = planWithin(start, limited(workload.Resources{Accelerators: 8}, policy.Usage{}), emptyWorkers(2), nil, u, small)
	is.Equal(len(d.Placements), 1)
	is.Equal(d.Placements[0].Unit, u)
}

// Guards against own work that is stopped for room under a limit although the unit fits on no worker then, or although more is lost than gained.
func TestNoOwnWorkIsPreemptedInVain(t *testing.T) {
	is := is.New(t)
	w1 := worker("w1", "r1", 4)
	own := &policy.Group{Priority: 2, Organisation: "a", PreemptionCost: 1, Uses: map[string]workload.Resources{"w9": {MilliCPU: 4000, Accelerators: 4}}}
	u := unit("urgent", 0, 1, 8)
	u.Guaranteed = true
	ownedBy("a", u)
	limits := func() *policy.Limits {
		return limited(workload.Resources{Accelerators: 10}, policy.Usage{All: workload.Resources{Accelerators: 4}})
	}
	is.Equal(len(planWithin(start, limits(), []*policy.Worker{w1}, []*policy.Group{own}, u).Preemptions), 0)

	w2 := worker("w2", "r1", 0)
	u.Guaranteed, own.PreemptionCost = false, 10_000
	is.Equal(len(planWithin(start, limits(), []*policy.Worker{w2}, []*policy.Group{own}, u).Preemptions), 0)
	w2, own.PreemptionCost = worker("w2", "r1", 0), 10
	is.Equal(len(planWithin(start, limits(), []*policy.Worker{w2}, []*policy.Group{own}, u).Preemptions), 1)
}

// Guards against a gang that never starts because small tasks of its organisation take all room under the limit that becomes free.
func TestGangIsNotStarvedUnderLimit(t *testing.T) {
	is := is.New(t)
	gang, small := unit("gang", 1, 2, 4), unit("small", 2, 1, 1)
	ownedBy("a", gang, small)
	usage := policy.Usage{All: workload.Resources{Accelerators: 4}}
	d := planWithin(start, limited(workload.Resources{Accelerators: 8}, usage), emptyWorkers(2), nil, gang, small)
	is.Equal(len(d.Placements), 0)
}

// Guards against jobs that have nothing at work for too long beside idle workers while their organisation uses less than half of its limit: a small
// one behind a gang's reservation, and a gang that needs more than half.
func TestOverdueUnitsUnderLimit(t *testing.T) {
	is := is.New(t)
	now := at(3 * time.Second)
	limit := workload.Resources{Accelerators: 9}
	running := &policy.Group{Priority: 2, Organisation: "a", PreemptionCost: 1, Uses: map[string]workload.Resources{"w0": {MilliCPU: 3000, Accelerators: 3}}}
	usage := policy.Usage{All: workload.Resources{MilliCPU: 3000, Accelerators: 3}}
	decide := func(units ...*policy.Unit) policy.Decision {
		policy.Order(now, units)
		f := policy.NewFleet(emptyWorkers(6))
		f.Limits, f.Groups, f.MostlyIdle = limited(limit, usage), []*policy.Group{running}, true
		return f.Plan(now, units)
	}
	gang, small := unit("gang", 1, 2, 4), unit("small", 2, 1, 1)
	ownedBy("a", gang, small)
	is.Equal(len(decide(gang, small).Placements), 0)
	small.IdleSince = start
	is.Equal(len(decide(gang, small).Placements), 1)
	is.Equal(len(decide(gang).Preemptions), 0)
	gang.IdleSince = start
	is.Equal(decide(gang).Preemptions, []*policy.Group{running})
	running.Preempted, running.Priority = false, 0
	is.Equal(len(decide(gang).Preemptions), 0)
}

// Guards against any mix of units, groups and limits under which a pass starts more than an organisation may have, preempts work of others for a
// limit alone, or gives a worker more than it has.
func TestPlanKeepsLimitsOfRandomStates(t *testing.T) {
	for seed := range uint64(300) {
		random := rand.New(rand.NewPCG(seed, 7))
		workers := emptyWorkers(1 + random.IntN(6))
		usage, limit := map[string]policy.Usage{}, map[string]workload.Resources{}
		var groups []*policy.Group
		for i, w := range workers {
			if random.IntN(2) == 0 {
				continue
			}
			g := fillWithBorrower(w, float64(random.IntN(1000)))
			g.Organisation, g.Priority = []string{"a", "b", "c"}[i%3], random.IntN(3)
			u := usage[g.Organisation]
			u.All = u.All.Add(g.Uses[w.ID])
			usage[g.Organisation] = u
			groups = append(groups, g)
		}
		limits := policy.NewLimits()
		for _, name := range []string{"a", "b"} {
			limit[name] = workload.Resources{MilliCPU: random.Int64N(20) * 1000, MemoryMB: random.Int64N(3000), Accelerators: random.Int64N(20)}
			limits.Set(name, limit[name], usage[name])
		}
		var units []*policy.Unit
		for i := range random.IntN(12) {
			u := unit(fmt.Sprintf("j%d", i), random.IntN(3), 1+random.IntN(4), random.Int64N(9))
			u.Guaranteed = u.Job.Priority == 0 && random.IntN(2) == 0
			units = append(units, ownedBy([]string{"a", "b", "c"}[random.IntN(3)], u)...)
		}
		free := map[string]workload.Resources{}
		for _, w := range workers {
			free[w.ID] = w.Free
		}
		d := planWithin(start, limits, workers, groups, units...)
		placed := map[string]workload.Resources{}
		for _, p := range d.Placements {
			need, organisation := p.Unit.Job.Steps[0].Need, p.Unit.Job.Organisation
			placed[organisation] = placed[organisation].Add(need)
			free[p.Worker] = free[p.Worker].Sub(need)
			if min(free[p.Worker].MilliCPU, free[p.Worker].MemoryMB, free[p.Worker].Accelerators) < 0 {
				t.Errorf("seed %d: worker %s is over its capacity", seed, p.Worker)
			}
		}
		for name, most := range limit {
			total := usage[name].All.Add(placed[name])
			for _, r := range [][3]int64{
				{total.MilliCPU, most.MilliCPU, placed[name].MilliCPU},
				{total.MemoryMB, most.MemoryMB, placed[name].MemoryMB},
				{total.Accelerators, most.Accelerators, placed[name].Accelerators},
			} {
				if r[1] > 0 && r[2] > 0 && r[0] > r[1] {
					t.Errorf("seed %d: %s has %+v, more than %+v", seed, name, total, most)
				}
			}
		}
		if !slices.ContainsFunc(units, func(u *policy.Unit) bool { return u.Job.Priority == 0 && !limits.Holds(u) }) {
			for _, g := range d.Preemptions {
				if !slices.ContainsFunc(units, func(u *policy.Unit) bool { return u.Job.Organisation == g.Organisation && limits.Holds(u) }) {
					t.Errorf("seed %d: work of %s is preempted although only units beyond limits of others wait", seed, g.Organisation)
				}
			}
		}
	}
}

// Guards against a gang that is accepted although it can never start, and against the refusal of one that can.
func TestExceedsLimit(t *testing.T) {
	is := is.New(t)
	gang := unit("gang", 1, 3, 4).Job.Steps[0]
	is.True(policy.ExceedsLimit(&gang, workload.Resources{Accelerators: 11}))
	is.True(!policy.ExceedsLimit(&gang, workload.Resources{Accelerators: 12}))
	is.True(!policy.ExceedsLimit(&gang, workload.Resources{}))
	wide := gang
	wide.Gang = false
	is.True(!policy.ExceedsLimit(&wide, workload.Resources{Accelerators: 4}))
	is.True(policy.ExceedsLimit(&wide, workload.Resources{Accelerators: 3}))
	huge := gang
	huge.Tasks, huge.Need.MemoryMB = 20_000, 1<<62
	is.True(policy.ExceedsLimit(&huge, workload.Resources{MemoryMB: 1 << 42}))
}

// Guards against a guaranteed job that waits because an overdue gang of its own organisation keeps the room under the limit.
func TestGuaranteedUnitPassesReservationUnderLimit(t *testing.T) {
	is := is.New(t)
	gang := unit("gang", 1, 6, 1)
	gang.IdleSince = start
	units := []*policy.Unit{gang}
	for i := range 4 {
		u := unit("guaranteed", 0, 1, 1)
		u.Guaranteed, u.Tasks = true, []int{i}
		units = append(units, u)
	}
	ownedBy("a", units...)
	f := policy.NewFleet(emptyWorkers(10))
	f.MostlyIdle = true
	f.Limits = limited(workload.Resources{Accelerators: 8}, policy.Usage{All: workload.Resources{Accelerators: 3}})
	now := at(3 * time.Second)
	policy.Order(now, units)
	started := 0
	for _, p := range f.Plan(now, units).Placements {
		is.Equal(p.Unit.Job.ID, "guaranteed")
		started++
	}
	is.Equal(started, 4)
}

// Guards against a gang that keeps room under the limit beside tasks that last, with which it never fits: nothing else of its organisation started.
func TestGangThatNeverFitsBesideLastingTasksReservesNothing(t *testing.T) {
	is := is.New(t)
	lasting := workload.Resources{Accelerators: 4}
	units := []*policy.Unit{unit("gang", 1, 6, 1)}
	for i := range 4 {
		units = append(units, unit(fmt.Sprintf("small%d", i), 1, 1, 1))
	}
	ownedBy("a", units...)
	d := planWithin(start, limited(workload.Resources{Accelerators: 8}, policy.Usage{All: lasting, Lasting: lasting}), emptyWorkers(10), nil, units...)
	is.Equal(len(d.Placements), 4)
}
