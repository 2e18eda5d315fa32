package policy

import (
	"cmp"
	"slices"
	"sort"
	"time"

	"clementinepier/workload"
)

// leastHeld keeps a group that holds no accelerators from dividing by zero.
const leastHeld = 0.1

// reclaim makes room for a guaranteed unit. It answers bursts of borrowers that hold an organisation's guarantee when
// its urgent work arrives: the groups that lose least work are stopped, and what is being stopped already is counted
// first, so that one unit never stops work twice.
func (f *Fleet) reclaim(now time.Time, u *Unit, d *Decision) {
	if chosen := f.place(now, u, soon); chosen != nil {
		f.keep(u, chosen)
		return
	}
	var best []*Group
	var bestRoom []*Worker
	waste := 0.0
	for _, workers := range f.reclaimable(now, u) {
		groups, room := f.victims(u, workers)
		if room == nil {
			continue
		}
		total := 0.0
		for _, g := range groups {
			total += g.PreemptionCost
		}
		if bestRoom == nil || total < waste {
			best, bestRoom, waste = groups, room, total
		}
	}
	for _, g := range best {
		g.Preempted = true
		for id, used := range g.Uses {
			if w, ok := f.byID[id]; ok {
				w.FreeAfterStops = w.FreeAfterStops.Add(used)
			}
		}
		d.Preemptions = append(d.Preemptions, g)
	}
	f.keep(u, bestRoom)
}

// keep holds the workers for the unit against the units behind it.
func (f *Fleet) keep(u *Unit, workers []*Worker) {
	for _, w := range workers {
		f.take(w, u)
	}
}

// reclaimable returns the sets of workers in which room may be made.
func (f *Fleet) reclaimable(now time.Time, u *Unit) [][]*Worker {
	if !u.step().SameRack || !f.waitsForRack(now, u) {
		return [][]*Worker{f.workers}
	}
	sets := make([][]*Worker, 0, len(f.names))
	for _, name := range f.names {
		sets = append(sets, f.racks[name])
	}
	return sets
}

// victims returns the groups to stop so that the unit fits on the workers, and where it then goes.
func (f *Fleet) victims(u *Unit, workers []*Worker) ([]*Group, []*Worker) {
	// held is what each candidate has on these workers.
	held := map[*Group]float64{}
	for _, w := range workers {
		if !w.Usable {
			continue
		}
		for _, g := range w.Victims {
			if !g.Preempted && g.yieldsTo(u) {
				held[g] += leastHeld + float64(g.Uses[w.ID].Accelerators)
			}
		}
	}
	order := make([]*Group, 0, len(held))
	for g := range held {
		order = append(order, g)
	}
	slices.SortFunc(order, func(a, b *Group) int {
		return cmp.Or(cmp.Compare(a.urgency(), b.urgency()), cmp.Compare(a.PreemptionCost/held[a], b.PreemptionCost/held[b]), cmp.Compare(a.PreemptionCost, b.PreemptionCost), cmp.Compare(a.first(), b.first()))
	})
	gained := map[string]workload.Resources{}
	with := func(w *Worker) workload.Resources { return w.FreeAfterStops.Add(gained[w.ID]) }
	// Each further group only adds room, so the shortest sufficient list is found by bisection.
	count := sort.Search(len(order)+1, func(n int) bool {
		clear(gained)
		for _, g := range order[:n] {
			for id, used := range g.Uses {
				gained[id] = gained[id].Add(used)
			}
		}
		return f.fill(u, workers, with) != nil
	})
	if count > len(order) {
		return nil, nil
	}
	clear(gained)
	for _, g := range order[:count] {
		for id, used := range g.Uses {
			gained[id] = gained[id].Add(used)
		}
	}
	return f.needed(u, workers, order[:count], gained, with)
}

// yieldsTo reports whether the group makes room for a unit: for urgent work if it is not urgent itself, and for work that a
// guarantee covers also if it is urgent and beyond its own organisation's guarantee.
func (g *Group) yieldsTo(u *Unit) bool {
	return g.Priority > u.Job.Priority || u.Guaranteed && !g.Guaranteed
}

// urgency puts urgent groups behind the others among those to stop.
func (g *Group) urgency() int {
	if g.Priority == 0 {
		return 1
	}
	return 0
}

// needed drops the groups without which the unit still fits, those with the most waste first.
func (f *Fleet) needed(u *Unit, workers []*Worker, groups []*Group, gained map[string]workload.Resources, with view) ([]*Group, []*Worker) {
	kept := slices.Clone(groups)
	for i := len(kept) - 1; i >= 0; i-- {
		g := kept[i]
		for id, used := range g.Uses {
			gained[id] = gained[id].Sub(used)
		}
		if f.fill(u, workers, with) != nil {
			kept = slices.Delete(kept, i, i+1)
			continue
		}
		for id, used := range g.Uses {
			gained[id] = gained[id].Add(used)
		}
	}
	return kept, f.fill(u, workers, with)
}

// first returns the group's first worker by name, which makes the order of equal groups fixed.
func (g *Group) first() string {
	least := ""
	for id := range g.Uses {
		if least == "" || id < least {
			least = id
		}
	}
	return least
}
