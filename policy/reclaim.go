package policy

import (
	"cmp"
	"slices"
	"sort"
	"time"

	"clementinepier/workload"
)

// minHeld is added per worker to the accelerators that a group holds, so that the cost per accelerator never divides by
// zero.
const minHeld = 0.1

// mayPreempt reports whether the unit is guaranteed, or urgent and still in time.
func (u *Unit) mayPreempt(now time.Time) bool {
	return u.Guaranteed || u.Job.Priority == 0 && u.timeliness(now) == inTime
}

// makeRoom preempts groups for a unit that is guaranteed, or urgent and still in time. It reports false if the unit may preempt nothing, or nothing
// that is worth it; such a unit may reserve capacity.
func (f *Fleet) makeRoom(now time.Time, u *Unit, d *Decision) bool {
	if !u.mayPreempt(now) {
		return false
	}
	withheld := len(d.Withheld)
	fits := false
	u.withFallbacks(func() bool {
		fits = f.preemptFor(now, u, d)
		return fits
	})
	if fits {
		// What was withheld at a nearer fallback is not needed.
		d.Withheld = d.Withheld[:withheld]
	}
	return len(d.Withheld) == withheld
}

// preemptFor preempts groups for a unit that is guaranteed, or urgent and still in time. The unit may arrive while work of
// other organisations uses the capacity that its organisation's guarantee covers. Of the possible sets of victims it takes
// the one that costs the least to stop. If the unit fits once the stops that are already in progress have ended, it preempts
// nothing, so that no unit causes preemptions twice. It reports whether the unit fits after the stops.
func (f *Fleet) preemptFor(now time.Time, u *Unit, d *Decision) bool {
	if chosen := f.findWorkers(now, u, capacityAfterStops); chosen != nil {
		f.allocateAll(u, chosen)
		return true
	}
	if cost, gain := f.withheldCost(u), u.boundOnCost(); cost > gain {
		d.Withheld = append(d.Withheld, Withheld{Unit: u, Cost: cost, Gain: gain})
		return false
	}
	var bestVictims []*Group
	var bestTargets []*Worker
	lowestCost := 0.0
	for _, workers := range f.preemptionScopes(now, u) {
		victims, targets := f.selectVictims(now, u, workers)
		if targets == nil {
			continue
		}
		cost := 0.0
		for _, g := range victims {
			cost += g.StopCost
		}
		if bestTargets == nil || cost < lowestCost {
			bestVictims, bestTargets, lowestCost = victims, targets, cost
		}
	}
	if cost, gain := u.weighStops(bestVictims); cost > gain {
		d.Withheld = append(d.Withheld, Withheld{Unit: u, Cost: cost, Gain: gain})
		f.recordWithheldCost(u, cost)
		return false
	}
	for _, g := range bestVictims {
		f.preempt(g, u, d)
	}
	f.allocateAll(u, bestTargets)
	return bestTargets != nil
}

// allocateAll withholds the capacity of one task on each of the workers from the units behind this one.
func (f *Fleet) allocateAll(u *Unit, workers []*Worker) {
	for _, w := range workers {
		f.allocate(w, u)
	}
}

// preemptionScopes returns the sets of workers within which groups may be preempted for the unit. While the unit waits for a rack, these are the
// rack with its data, or each rack by itself if it needs only one rack; otherwise the whole fleet. Load pattern: demand that moves to data in a
// full rack.
func (f *Fleet) preemptionScopes(now time.Time, u *Unit) [][]*Worker {
	step := u.step()
	switch {
	case !step.SameRack && step.DataRack == "" || !f.shouldWaitForRack(now, u):
		return [][]*Worker{f.workers}
	case step.DataRack != "":
		return [][]*Worker{f.racks[step.DataRack]}
	}
	scopes := make([][]*Worker, 0, len(f.rackNames))
	for _, name := range f.rackNames {
		scopes = append(scopes, f.racks[name])
	}
	return scopes
}

// selectVictims returns the groups to preempt so that the unit fits on the workers, and the workers for its tasks. The
// workers are nil if the unit does not fit even when every group that may be preempted is.
func (f *Fleet) selectVictims(now time.Time, u *Unit, workers []*Worker) ([]*Group, []*Worker) {
	// held has the accelerators of each candidate on these workers, plus minHeld per worker.
	held := map[*Group]float64{}
	for _, w := range workers {
		if !u.mayUse(w) {
			continue
		}
		for _, g := range w.Victims {
			if !g.Preempted && g.preemptibleBy(u) {
				held[g] += minHeld + float64(g.Uses[w.ID].Accelerators)
			}
		}
	}
	candidates := make([]*Group, 0, len(held))
	for g := range held {
		g.StopCost = g.stopCost(now)
		candidates = append(candidates, g)
	}
	slices.SortFunc(candidates, func(a, b *Group) int {
		return cmp.Or(cmp.Compare(a.urgencyRank(), b.urgencyRank()), cmp.Compare(a.StopCost/held[a], b.StopCost/held[b]),
			cmp.Compare(a.StopCost, b.StopCost), cmp.Compare(a.firstWorker(), b.firstWorker()))
	})
	released := map[string]workload.Resources{}
	capacityAfterPreemption := func(w *Worker) workload.Resources { return w.FreeAfterStops.Add(released[w.ID]) }
	// Each further group only adds capacity, so binary search finds the shortest sufficient prefix.
	count := sort.Search(len(candidates)+1, func(n int) bool {
		clear(released)
		for _, g := range candidates[:n] {
			for id, used := range g.Uses {
				released[id] = released[id].Add(used)
			}
		}
		return f.bestFit(u, workers, capacityAfterPreemption) != nil
	})
	if count > len(candidates) {
		return nil, nil
	}
	clear(released)
	for _, g := range candidates[:count] {
		for id, used := range g.Uses {
			released[id] = released[id].Add(used)
		}
	}
	return f.pruneVictims(u, workers, candidates[:count], released, capacityAfterPreemption)
}

// preemptibleBy reports whether the group may be preempted for the unit: if its priority is lower, or if the unit is
// guaranteed and the group is not. The latter includes urgent groups that are beyond their own organisation's guarantee.
func (g *Group) preemptibleBy(u *Unit) bool {
	return g.Priority > u.Job.Priority || u.Guaranteed && !g.Guaranteed
}

// urgencyRank makes urgent groups the last ones to be preempted.
func (g *Group) urgencyRank() int {
	if g.Priority == 0 {
		return 1
	}
	return 0
}

// pruneVictims drops the groups that need not be preempted for the unit to fit. It tries those with the highest rank first,
// which are the urgent ones and then those with the highest cost per accelerator. It updates released to match, and returns
// the remaining groups and the workers for the unit's tasks.
func (f *Fleet) pruneVictims(u *Unit, workers []*Worker, groups []*Group, released map[string]workload.Resources,
	capacity capacityFunc,
) ([]*Group, []*Worker) {
	victims := slices.Clone(groups)
	for i := len(victims) - 1; i >= 0; i-- {
		g := victims[i]
		for id, used := range g.Uses {
			released[id] = released[id].Sub(used)
		}
		if f.bestFit(u, workers, capacity) != nil {
			victims = slices.Delete(victims, i, i+1)
			continue
		}
		for id, used := range g.Uses {
			released[id] = released[id].Add(used)
		}
	}
	return victims, f.bestFit(u, workers, capacity)
}

// firstWorker returns the smallest id of the group's workers. It breaks ties, so that the order of equal groups is fixed.
func (g *Group) firstWorker() string {
	first := ""
	for id := range g.Uses {
		if first == "" || id < first {
			first = id
		}
	}
	return first
}
