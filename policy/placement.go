package policy

import (
	"cmp"
	"slices"
	"time"

	"clementinepier/workload"
)

const (
	// urgentPatience bounds how long urgent work waits for a rack on which it runs at full speed; it is a third of the
	// shortest bound on the start of guaranteed work (2.9 s).
	urgentPatience = time.Second
	// reservedShare is the share of the accelerators that blocked units may keep free for themselves.
	reservedShare = 0.3
)

// view selects which capacity of a worker a placement uses.
type view func(*Worker) workload.Resources

func free(w *Worker) workload.Resources { return w.Free }
func soon(w *Worker) workload.Resources { return w.FreeAfterStops }

// Fleet is the set of workers of one service during a pass.
type Fleet struct {
	workers []*Worker
	byID    map[string]*Worker
	racks   map[string][]*Worker
	// names has the racks in a fixed order.
	names []string
	total int64
	// slots is used again by each fillSome.
	slots []slot
}

// slot is a worker with what a unit may still take of it.
type slot struct {
	worker *Worker
	free   workload.Resources
	tasks  int
}

// NewFleet returns a fleet of the workers, which it changes as it places work on them.
func NewFleet(workers []*Worker) *Fleet {
	f := &Fleet{workers: workers, byID: map[string]*Worker{}, racks: map[string][]*Worker{}}
	slices.SortFunc(f.workers, func(a, b *Worker) int { return cmp.Compare(a.ID, b.ID) })
	for _, w := range f.workers {
		f.byID[w.ID] = w
		f.racks[w.Rack] = append(f.racks[w.Rack], w)
		f.total += w.Capacity.Accelerators
	}
	for name := range f.racks {
		f.names = append(f.names, name)
	}
	slices.Sort(f.names)
	return f
}

// Plan decides what starts now. Units must be in the order of Order. Urgent work that is late makes no room: after an outage
// the backlog of late work would stop most of what runs, for jobs that are worth little by then.
func (f *Fleet) Plan(now time.Time, units []*Unit) Decision {
	var d Decision
	reserved := int64(0)
	blocked := map[sameNeed]bool{}
	for _, u := range units {
		key := sameNeed{job: u.Job, occurrence: u.Occurrence, step: u.Step}
		if blocked[key] {
			continue
		}
		if chosen := f.place(now, u, free); chosen != nil {
			for i, w := range chosen {
				d.Placements = append(d.Placements, Placement{Unit: u, Task: u.Tasks[i], Worker: w.ID})
				f.take(w, u)
			}
			continue
		}
		if u.Job.Priority > 0 {
			blocked[key] = true
		}
		if u.Guaranteed || u.Job.Priority == 0 && u.class(now) == inTime {
			f.reclaim(now, u, &d)
			continue
		}
		if need := u.step().Need.Accelerators * int64(len(u.Tasks)); u.class(now) == inTime &&
			float64(reserved+need) <= reservedShare*float64(f.total) {
			reserved += f.reserve(u)
		}
	}
	return d
}

// sameNeed identifies the tasks of one step. When one of them finds no room, no other does in the same pass.
type sameNeed struct {
	job              *workload.Job
	occurrence, step int
}

// take records that a task of the unit starts on the worker.
func (f *Fleet) take(w *Worker, u *Unit) {
	need := u.step().Need
	w.Free, w.FreeAfterStops = w.Free.Sub(need), w.FreeAfterStops.Sub(need)
	if u.TasksByWorker != nil {
		u.TasksByWorker[w.ID]++
	}
}

// place returns a worker for each task of the unit, or nil if it has to wait.
func (f *Fleet) place(now time.Time, u *Unit, v view) []*Worker {
	s := u.step()
	if !s.SameRack && s.DataRack == "" {
		return f.fill(u, f.workers, v)
	}
	if s.DataRack != "" && !s.SameRack {
		if chosen := f.fill(u, f.racks[s.DataRack], v); chosen != nil {
			return chosen
		}
	} else if chosen := f.bestRack(u, v); chosen != nil {
		return chosen
	}
	if f.waitsForRack(now, u) {
		return nil
	}
	return f.fill(u, f.workers, v)
}

// waitsForRack reports whether the unit is better off waiting than running at a fraction of its speed.
func (f *Fleet) waitsForRack(now time.Time, u *Unit) bool {
	fits := false
	for _, name := range f.names {
		if s := u.step(); s.DataRack != "" && !s.SameRack && name != s.DataRack {
			continue
		}
		if f.fill(u, f.racks[name], func(w *Worker) workload.Resources { return w.Capacity }) != nil {
			fits = true
			break
		}
	}
	if !fits {
		return false
	}
	patience := max(0, u.Deadline.Sub(u.ReadySince)-u.step().Estimate)
	if u.Guaranteed {
		patience = min(patience, urgentPatience)
	}
	return now.Sub(u.ReadySince) < patience
}

// bestRack places the unit in the rack that it fills most, the data's rack before the others.
func (f *Fleet) bestRack(u *Unit, v view) []*Worker {
	if rack := u.step().DataRack; rack != "" {
		if chosen := f.fill(u, f.racks[rack], v); chosen != nil {
			return chosen
		}
	}
	var best []*Worker
	left := int64(0)
	for _, name := range f.names {
		chosen := f.fill(u, f.racks[name], v)
		if chosen == nil {
			continue
		}
		var spare int64
		for _, w := range f.racks[name] {
			spare += v(w).Accelerators
		}
		if best == nil || spare < left {
			best, left = chosen, spare
		}
	}
	return best
}

// fill places every task of the unit on the given workers, each on the one that it leaves least of. It returns nil if
// not all tasks fit.
func (f *Fleet) fill(u *Unit, workers []*Worker, v view) []*Worker {
	chosen := f.fillSome(u, workers, v)
	if len(chosen) < len(u.Tasks) {
		return nil
	}
	return chosen
}

// fillSome places as many tasks as fit.
func (f *Fleet) fillSome(u *Unit, workers []*Worker, v view) []*Worker {
	s := u.step()
	slots := f.slots[:0]
	for _, w := range workers {
		if !w.Usable || u.Avoid[w.ID] || s.Label != "" && !slices.Contains(w.Labels, s.Label) {
			continue
		}
		if available := v(w); s.Need.Fits(available) {
			slots = append(slots, slot{worker: w, free: available, tasks: u.TasksByWorker[w.ID]})
		}
	}
	f.slots = slots
	slices.SortStableFunc(slots, func(a, b slot) int {
		return cmp.Or(
			cmp.Compare(a.free.Accelerators, b.free.Accelerators),
			cmp.Compare(a.free.MilliCPU, b.free.MilliCPU),
			cmp.Compare(a.free.MemoryMB, b.free.MemoryMB),
		)
	})
	if len(slots) == 0 {
		return nil
	}
	chosen := make([]*Worker, 0, len(u.Tasks))
	for i := 0; i < len(slots) && len(chosen) < len(u.Tasks); {
		slot := &slots[i]
		if !s.Need.Fits(slot.free) || s.MaxTasksPerWorker > 0 && slot.tasks >= s.MaxTasksPerWorker {
			i++
			continue
		}
		slot.free = slot.free.Sub(s.Need)
		slot.tasks++
		chosen = append(chosen, slot.worker)
	}
	return chosen
}

// reserve keeps what a blocked unit could already use from the units behind it, so that small work does not starve a
// gang. It returns the accelerators that it keeps.
func (f *Fleet) reserve(u *Unit) int64 {
	workers := f.workers
	if u.step().SameRack {
		most := -1
		for _, name := range f.names {
			if n := len(f.fillSome(u, f.racks[name], soon)); n > most {
				most, workers = n, f.racks[name]
			}
		}
	}
	var kept int64
	for _, w := range f.fillSome(u, workers, soon) {
		f.take(w, u)
		kept += u.step().Need.Accelerators
	}
	return kept
}
