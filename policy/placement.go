package policy

import (
	"cmp"
	"slices"
	"time"

	"clementinepier/workload"
)

const (
	// maxUrgentRackWait bounds how long a guaranteed unit waits for a rack on which it runs at full speed. It is a third of
	// the shortest limit on the start of guaranteed work, 2.9 s.
	maxUrgentRackWait = time.Second
	// maxIdleWait bounds how long a job has nothing at work while most of the fleet is idle, because its unit waits for a rack or behind
	// capacity that is reserved. The users' rules let no job wait for 3 s beside idle workers that have room for it twice.
	maxIdleWait = 2 * time.Second
	// maxReservedShare is the share of the fleet's accelerators that may be reserved for blocked units in one pass.
	maxReservedShare = 0.3
)

// capacityFunc returns the capacity of a worker that a placement may use.
type capacityFunc func(*Worker) workload.Resources

func freeCapacity(w *Worker) workload.Resources       { return w.Free }
func capacityAfterStops(w *Worker) workload.Resources { return w.FreeAfterStops }
func totalCapacity(w *Worker) workload.Resources      { return w.Capacity }

// Fleet is the set of workers of one service during a pass.
type Fleet struct {
	// MostlyIdle means that under half of the service's capacity is in use. It is set before Plan.
	MostlyIdle bool
	// Limits has what organisations may have at work; nil means no limits. It is shared by the fleets of a pass and set before Plan.
	Limits *Limits
	// Groups are the groups that may be preempted, of all services. They are set before Plan.
	Groups []*Group
	// StopTime is how long the stop of a run may take. It is set before Plan.
	StopTime time.Duration

	workers []*Worker
	byID    map[string]*Worker
	racks   map[string][]*Worker
	// rackNames has the racks in a fixed order, so that decisions do not depend on the iteration order of a map.
	rackNames         []string
	totalAccelerators int64
	// speeds is what the present pass knows of the workers' speeds.
	speeds speedClasses
	// lowestPriority is the priority of the least urgent unit of the pass.
	lowestPriority int
	// withheldCosts has, by the shape of units, what it would have cost in this pass to make room for one.
	withheldCosts map[unitShape]float64
	// candidates is a buffer that partialBestFit reuses.
	candidates []candidate
}

// candidate is a worker with the capacity that a unit may still use on it, and the number of the step's tasks there.
type candidate struct {
	worker    *Worker
	suspicion int
	// speedRank ranks the worker's speed for the unit; 0 for all if they are equally fast.
	speedRank int
	free      workload.Resources
	tasks     int
}

// NewFleet returns a fleet of the workers. Plan changes the workers as it places work on them.
func NewFleet(workers []*Worker) *Fleet {
	f := &Fleet{workers: workers, byID: map[string]*Worker{}, racks: map[string][]*Worker{}, speeds: speedClasses{lowest: anyClass}}
	slices.SortFunc(f.workers, func(a, b *Worker) int { return cmp.Compare(a.ID, b.ID) })
	for _, w := range f.workers {
		f.byID[w.ID] = w
		f.racks[w.Rack] = append(f.racks[w.Rack], w)
		f.totalAccelerators += w.Capacity.Accelerators
	}
	for name := range f.racks {
		f.rackNames = append(f.rackNames, name)
	}
	slices.Sort(f.rackNames)
	return f
}

// Plan decides which units start now and which groups are preempted. The units must be sorted by Order. Urgent work that is
// late and not guaranteed preempts nothing: after an outage, the backlog of late work would otherwise stop most running work
// for jobs that are worth little by then.
func (f *Fleet) Plan(now time.Time, units []*Unit) Decision {
	f.prepareSpeeds(now)
	f.withheldCosts = map[unitShape]float64{}
	f.lowestPriority = lowestPriority(units)
	var d Decision
	reserved := int64(0)
	blocked := map[stepKey]bool{}
	onClosed := map[*workload.Job]bool{}
	for _, u := range f.overdueFirst(now, units) {
		key := stepKey{job: u.Job, occurrence: u.Occurrence, step: u.Step}
		if blocked[key] && (!u.step().LongRunning || len(u.ClosedWorkers) == 0) {
			continue
		}
		if f.waitsAfterPreemption(now, u) {
			d.Delayed = append(d.Delayed, u)
			continue
		}
		if !f.admit(u) {
			f.awaitLimit(now, u, &d)
			continue
		}
		if onClosed[u.Job] && !u.step().LongRunning || f.mayWaitForOpenWorkers(u) {
			// One attempt of a job at a time is risked there.
			u.ClosedWorkers = nil
		}
		if chosen := f.findWithFallbacks(now, u); chosen != nil {
			for i, w := range chosen {
				onClosed[u.Job] = onClosed[u.Job] || w.isClosedTo(u)
				d.Placements = append(d.Placements, Placement{Unit: u, Task: u.Tasks[i], Worker: w.ID})
				f.allocate(w, u)
			}
			continue
		}
		if len(u.RequiredWorkers) > 0 {
			// Others of the step may fit elsewhere.
			continue
		}
		if u.Job.Priority > 0 {
			blocked[key] = true
		}
		if f.makeRoom(now, u, &d) {
			continue
		}
		if f.mayReserve(now, u, reserved) {
			reserved += f.reserve(u)
		}
	}
	return d
}

// mayWaitForOpenWorkers reports whether the job is at work and open workers have the capacity for the unit once they are free, so that it need
// not risk an attempt on a closed one.
func (f *Fleet) mayWaitForOpenWorkers(u *Unit) bool {
	return len(u.ClosedWorkers) > 0 && u.IdleSince.IsZero() && f.bestFit(u, f.workers, totalCapacity) != nil
}

// overdueFirst moves one unit of each job that has had nothing at work for too long to the front, and each such task that lasts. There it
// finds the capacity that would be reserved for others, and it does not wait for a rack. Load pattern: a gang or a task with its data in a
// busy rack, or small work behind a gang that does not fit, in a service of which most is idle.
func (f *Fleet) overdueFirst(now time.Time, units []*Unit) []*Unit {
	if !f.MostlyIdle {
		return units
	}
	moved := map[*workload.Job]bool{}
	var overdue, others []*Unit
	for _, u := range units {
		u.overdue = !u.IdleSince.IsZero() && now.Sub(u.IdleSince) >= maxIdleWait && (!moved[u.Job] || u.step().LongRunning) && f.fitsTwice(u)
		if u.overdue {
			moved[u.Job] = true
			overdue = append(overdue, u)
		} else {
			others = append(others, u)
		}
	}
	return append(overdue, others...)
}

// fitsTwice reports whether there is room for the unit twice over, in whatever racks.
func (f *Fleet) fitsTwice(u *Unit) bool {
	twice := *u
	twice.Tasks = slices.Repeat(u.Tasks, 2)
	return f.bestFit(&twice, f.workers, freeCapacity) != nil
}

// mayReserve reports whether capacity may be reserved for a blocked unit beside the accelerators that are reserved already.
func (f *Fleet) mayReserve(now time.Time, u *Unit, reserved int64) bool {
	if u.timeliness(now) != inTime {
		return false
	}
	need := u.step().Need.Accelerators * int64(len(u.Tasks))
	return float64(reserved+need) <= maxReservedShare*float64(f.totalAccelerators)
}

// stepKey identifies one occurrence of a step. All its tasks need the same resources, so when one of them does not fit, no
// other fits in the same pass, but on the closed workers that a task that lasts may use.
type stepKey struct {
	job              *workload.Job
	occurrence, step int
}

// allocate subtracts the resources of one task of the unit from the worker's capacity for the rest of the pass.
func (f *Fleet) allocate(w *Worker, u *Unit) {
	need := u.step().Need
	w.Free, w.FreeAfterStops = w.Free.Sub(need), w.FreeAfterStops.Sub(need)
	f.Limits.take(u.Job.Organisation, need)
	if u.TasksByWorker != nil {
		u.TasksByWorker[w.ID]++
	}
}

// findWithFallbacks returns a worker for each task of the unit, or nil if the unit has to wait. Load pattern: jobs that fail wherever they
// run, beside sound jobs and on few workers.
func (f *Fleet) findWithFallbacks(now time.Time, u *Unit) []*Worker {
	var chosen []*Worker
	u.withFallbacks(func() bool {
		chosen = f.findWorkers(now, u, freeCapacity)
		return chosen != nil
	})
	return chosen
}

// findWorkers returns a worker for each task of the unit, at its present fallback, or nil.
func (f *Fleet) findWorkers(now time.Time, u *Unit, capacity capacityFunc) []*Worker {
	s := u.step()
	if !s.SameRack && s.DataRack == "" {
		return f.fitBySpeed(u, f.workers, capacity)
	}
	if s.DataRack != "" && !s.SameRack {
		if chosen := f.bestFit(u, f.racks[s.DataRack], capacity); chosen != nil {
			return chosen
		}
	} else if chosen := f.findInBestRack(u, capacity); chosen != nil {
		return chosen
	}
	if f.shouldWaitForRack(now, u) {
		return nil
	}
	return f.fitBySpeed(u, f.workers, capacity)
}

// shouldWaitForRack reports whether the unit waits for capacity in a suitable rack instead of running now at a fraction of
// its speed. A unit that would fit into no suitable rack even if the rack were empty does not wait.
func (f *Fleet) shouldWaitForRack(now time.Time, u *Unit) bool {
	if u.overdue {
		return false
	}
	fits := false
	for _, name := range f.rackNames {
		if s := u.step(); s.DataRack != "" && !s.SameRack && name != s.DataRack {
			continue
		}
		if f.bestFit(u, f.racks[name], totalCapacity) != nil {
			fits = true
			break
		}
	}
	if !fits {
		return false
	}
	maxWait := max(0, u.Deadline.Sub(u.ReadySince)-u.Remaining)
	if u.Guaranteed {
		maxWait = min(maxWait, maxUrgentRackWait)
	}
	return now.Sub(u.ReadySince) < maxWait
}

// findInBestRack places the unit in one rack: in the rack that has its data if it fits there, otherwise in the rack with the
// fewest free accelerators into which it fits.
func (f *Fleet) findInBestRack(u *Unit, capacity capacityFunc) []*Worker {
	if rack := u.step().DataRack; rack != "" {
		if chosen := f.bestFit(u, f.racks[rack], capacity); chosen != nil {
			return chosen
		}
	}
	var best []*Worker
	leastFree, bestRank := int64(0), 0
	for _, name := range f.rackNames {
		chosen := f.fitBySpeed(u, f.racks[name], capacity)
		if chosen == nil {
			continue
		}
		rank := f.rackRank(u, chosen)
		var rackFree int64
		for _, w := range f.racks[name] {
			rackFree += capacity(w).Accelerators
		}
		if best == nil || rank < bestRank || rank == bestRank && rackFree < leastFree {
			best, leastFree, bestRank = chosen, rackFree, rank
		}
	}
	return best
}

// bestFit places every task of the unit on one of the given workers, each on the worker that it requires, or on the least suspect one with the
// least capacity into which it fits. It returns nil if not all tasks fit.
func (f *Fleet) bestFit(u *Unit, workers []*Worker, capacity capacityFunc) []*Worker {
	chosen := f.partialBestFit(u, workers, capacity)
	if len(chosen) < len(u.Tasks) {
		return nil
	}
	return chosen
}

// partialBestFit is like bestFit, but places as many tasks as fit.
func (f *Fleet) partialBestFit(u *Unit, workers []*Worker, capacity capacityFunc) []*Worker {
	s := u.step()
	candidates, ranks := f.candidates[:0], f.speedRanks(u)
	for _, w := range workers {
		if w.speedClass < f.speeds.lowest || !u.mayUse(w) || s.Label != "" && !slices.Contains(w.Labels, s.Label) {
			continue
		}
		if available := capacity(w); s.Need.Fits(available) {
			candidates = append(candidates, candidate{
				worker: w, suspicion: u.suspicion(w), speedRank: ranks[w.speedClass+maxSpeedClass], free: available, tasks: u.TasksByWorker[w.ID],
			})
		}
	}
	f.candidates = candidates
	slices.SortStableFunc(candidates, func(a, b candidate) int {
		return cmp.Or(
			cmp.Compare(a.suspicion, b.suspicion),
			cmp.Compare(a.speedRank, b.speedRank),
			cmp.Compare(a.free.Accelerators, b.free.Accelerators),
			cmp.Compare(a.free.MilliCPU, b.free.MilliCPU),
			cmp.Compare(a.free.MemoryMB, b.free.MemoryMB),
		)
	})
	if len(candidates) == 0 {
		return nil
	}
	chosen := make([]*Worker, len(u.Tasks))
	for i, task := range u.Tasks {
		id, required := u.RequiredWorkers[task]
		if !required {
			continue
		}
		at := slices.IndexFunc(candidates, func(c candidate) bool { return c.worker.ID == id })
		if at < 0 || !candidates[at].take(s) {
			return nil
		}
		chosen[i] = candidates[at].worker
	}
	next := 0
	for i := range chosen {
		for chosen[i] == nil && next < len(candidates) {
			if candidates[next].take(s) {
				chosen[i] = candidates[next].worker
			} else {
				next++
			}
		}
		if chosen[i] == nil {
			return slices.DeleteFunc(chosen, func(w *Worker) bool { return w == nil })
		}
	}
	return chosen
}

// take takes the capacity of one task of the step, and reports whether there was room for it.
func (c *candidate) take(s *workload.Step) bool {
	if !s.Need.Fits(c.free) || s.MaxTasksPerWorker > 0 && c.tasks >= s.MaxTasksPerWorker {
		return false
	}
	c.free = c.free.Sub(s.Need)
	c.tasks++
	return true
}

// reserve withholds the capacity that a blocked unit could already use from the units behind it, so that small work does not
// starve a gang. It returns the number of accelerators that it reserves.
func (f *Fleet) reserve(u *Unit) int64 {
	workers := f.workers
	if u.step().SameRack {
		most := -1
		for _, name := range f.rackNames {
			if n := len(f.partialBestFit(u, f.racks[name], capacityAfterStops)); n > most {
				most, workers = n, f.racks[name]
			}
		}
	}
	var reserved int64
	for _, w := range f.partialBestFit(u, workers, capacityAfterStops) {
		f.allocate(w, u)
		reserved += u.step().Need.Accelerators
	}
	return reserved
}
