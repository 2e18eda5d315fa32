package policy

import (
	"cmp"
	"math"
	"slices"
	"sort"
	"time"

	"clementinepier/workload"
)

// Usage is what may be at work for an organisation.
type Usage struct {
	// All has the resources of everything that is at work or may be.
	All workload.Resources
	// Stopping is the part of All that is about to end, and Lasting the part of tasks that last, which do not end by themselves.
	Stopping, Lasting workload.Resources
}

// Limits holds, during one pass over all services, what organisations may have at work and what they have. A nil Limits limits nothing.
type Limits struct {
	organisations map[string]*allowance
	// held has the units that waited for room under a limit.
	held map[*Unit]bool
}

// allowance is what an organisation may still start.
type allowance struct {
	// limit is the most that it may have at work; an amount of 0 limits nothing.
	limit workload.Resources
	// usesHalf is set if half of the limit or more was in use at the beginning of the pass, not counting what is about to end.
	usesHalf bool
	// lasting is the part of the use that does not end by itself, so that no unit waits for it.
	lasting workload.Resources
	// left is the limit less everything that may be at work and what the pass has placed or reserved; leftAfterStops is left once the stops
	// in progress have ended. Both may be negative, as after a limit was lowered.
	left, leftAfterStops workload.Resources
	// reserved is the room that one unit of the organisation waits for and keeps from later ones; zero while none does.
	reserved workload.Resources
}

// NewLimits returns limits that bind no organisation yet.
func NewLimits() *Limits {
	return &Limits{organisations: map[string]*allowance{}, held: map[*Unit]bool{}}
}

// Set sets the limit of an organisation and what it uses at the beginning of the pass. An amount of 0 limits nothing.
func (l *Limits) Set(organisation string, limit workload.Resources, usage Usage) {
	left := limit.Sub(usage.All)
	a := &allowance{limit: limit, left: left, leftAfterStops: left.Add(usage.Stopping), lasting: usage.Lasting}
	a.usesHalf = !a.fits(usage.All.Sub(usage.Stopping).Times(2), limit)
	l.organisations[organisation] = a
}

// Holds reports whether the unit waited for room under its organisation's limit during the pass.
func (l *Limits) Holds(u *Unit) bool { return l != nil && l.held[u] }

// of returns the allowance of an organisation, or nil if nothing limits it.
func (l *Limits) of(organisation string) *allowance {
	if l == nil {
		return nil
	}
	return l.organisations[organisation]
}

// fits reports whether the need fits into what is left in each resource that the limit binds.
func (a *allowance) fits(need, left workload.Resources) bool {
	return fitsLimit(need.MilliCPU, a.limit.MilliCPU, left.MilliCPU) && fitsLimit(need.MemoryMB, a.limit.MemoryMB, left.MemoryMB) &&
		fitsLimit(need.Accelerators, a.limit.Accelerators, left.Accelerators)
}

func fitsLimit(need, limit, left int64) bool { return limit == 0 || need == 0 || need <= left }

// take counts resources that the pass has placed or reserved.
func (l *Limits) take(organisation string, need workload.Resources) {
	if a := l.of(organisation); a != nil {
		a.left, a.leftAfterStops = a.left.Sub(need), a.leftAfterStops.Sub(need)
	}
}

// release counts a group that is preempted.
func (l *Limits) release(g *Group) {
	if a := l.of(g.Organisation); a != nil {
		a.leftAfterStops = a.leftAfterStops.Add(g.total())
	}
}

func (g *Group) total() workload.Resources {
	var total workload.Resources
	for _, used := range g.Uses {
		total = total.Add(used)
	}
	return total
}

// need returns the resources of all tasks of the unit.
func (u *Unit) need() workload.Resources { return u.step().Need.Times(len(u.Tasks)) }

// ExceedsLimit reports whether the step could never start under the limit of its organisation: one task of it, or all tasks of a gang. An
// amount of 0 limits nothing.
func ExceedsLimit(s *workload.Step, limit workload.Resources) bool {
	need := s.Need
	if s.Gang {
		need = need.Times(s.Tasks)
	}
	a := allowance{limit: limit}
	return !a.fits(need, limit)
}

// passesReservation reports whether the unit need not wait for the room that its organisation keeps for another unit: it is owed the capacity, or its
// job has had nothing at work for too long. Load pattern: guaranteed work behind an overdue gang of its own organisation.
func (u *Unit) passesReservation() bool { return u.Guaranteed || u.overdue }

// leftAfterStopsFor returns what is left for the unit once the stops in progress have ended.
func (a *allowance) leftAfterStopsFor(u *Unit) workload.Resources {
	if u.passesReservation() {
		return a.leftAfterStops.Add(a.reserved)
	}
	return a.leftAfterStops
}

// admit reports whether the unit may start now under its organisation's limit. One that may not waits for no capacity, so none is reserved for it
// and nothing of other organisations is preempted. Load pattern: an organisation whose own work uses up what it may have, beside work of
// others.
func (f *Fleet) admit(u *Unit) bool {
	a := f.Limits.of(u.Job.Organisation)
	if a == nil || a.fits(u.need(), a.left) {
		return true
	}
	if u.passesReservation() && a.fits(u.need(), a.left.Add(a.reserved)) {
		return true
	}
	f.Limits.held[u] = true
	return false
}

// awaitLimit prepares the start of a unit that admit has rejected. An urgent unit preempts groups of its own organisation until it fits under the
// limit, and then, as any other, for capacity. Otherwise later units of the organisation do not take the room that the unit waits for; one unit
// of an organisation at a time keeps such room. A gang of more than half of the limit that has had nothing at work for too long beside idle workers
// preempts what its organisation has at work, up to half of the limit. Load pattern: urgent work behind low-priority work of its own organisation,
// and gangs behind small tasks of it.
func (f *Fleet) awaitLimit(now time.Time, u *Unit, d *Decision) {
	a, need := f.Limits.of(u.Job.Organisation), u.need()
	maxLoss := math.Inf(1)
	if !u.Guaranteed {
		// The organisation gains nothing if more work is lost than the unit has, since both are its own.
		maxLoss = need.Cores() * u.Remaining.Seconds()
	}
	preemptible := func(g *Group) bool { return g.preemptibleBy(u) }
	if u.mayPreempt(now) && f.preemptForLimit(now, u, a, preemptible, maxLoss, d) {
		fits := false
		u.withFallbacks(func() bool {
			fits = f.preemptFor(now, u, d)
			return fits
		})
		if fits {
			return
		}
	}
	if a.reserved == (workload.Resources{}) && a.fits(need, a.limit.Sub(a.lasting)) {
		if u.overdue && !a.usesHalf && !a.fits(need, a.leftAfterStopsFor(u)) {
			notMoreUrgent := func(g *Group) bool { return g.Priority >= u.Job.Priority && !g.Guaranteed }
			victims, _ := f.victimsWithinLimit(u, a, notMoreUrgent, math.Inf(1))
			for _, g := range victims {
				f.preempt(g, u, d)
			}
		}
		a.reserved = need
		f.Limits.take(u.Job.Organisation, need)
	}
}

// preemptForLimit makes the unit fit under the limit of its organisation, if necessary by preempting groups of it. It preempts nothing and reports false
// if the unit would not fit all the same, neither under the limit nor on the workers, or if more core-seconds would be lost than maxLoss.
func (f *Fleet) preemptForLimit(now time.Time, u *Unit, a *allowance, preemptible func(*Group) bool, maxLoss float64, d *Decision) bool {
	if a.fits(u.need(), a.leftAfterStopsFor(u)) {
		return true
	}
	victims, ok := f.victimsWithinLimit(u, a, preemptible, maxLoss)
	if !ok || !f.fitsAfterPreemption(now, u) {
		return false
	}
	for _, g := range victims {
		f.preempt(g, u, d)
	}
	return true
}

// fitsAfterPreemption reports whether workers would have the capacity for the unit if groups were preempted that may be for it, and whose stop costs
// no more than it gains.
func (f *Fleet) fitsAfterPreemption(now time.Time, u *Unit) bool {
	fits := false
	u.withFallbacks(func() bool {
		fits = f.findWorkers(now, u, capacityAfterStops) != nil
		for _, workers := range f.preemptionScopes(now, u) {
			if fits {
				break
			}
			victims, targets := f.selectVictims(now, u, workers)
			cost, gain := u.weighStops(victims)
			fits = targets != nil && cost <= gain
		}
		return fits
	})
	return fits
}

// victimsWithinLimit returns groups of the unit's own organisation whose stop makes the unit fit under the limit. Groups that lose the least work for
// what they use go first. It reports false if the unit would not fit all the same, or if more core-seconds would be lost than maxLoss.
func (f *Fleet) victimsWithinLimit(u *Unit, a *allowance, preemptible func(*Group) bool, maxLoss float64) ([]*Group, bool) {
	need := u.need()
	cost := map[*Group]float64{}
	var candidates []*Group
	for _, g := range f.Groups {
		if g.Organisation == u.Job.Organisation && !g.Preempted && preemptible(g) {
			candidates = append(candidates, g)
			cost[g] = g.PreemptionCost / (minHeld + g.total().Cores())
		}
	}
	slices.SortFunc(candidates, func(x, y *Group) int {
		return cmp.Or(cmp.Compare(x.urgencyRank(), y.urgencyRank()), cmp.Compare(cost[x], cost[y]), cmp.Compare(x.PreemptionCost, y.PreemptionCost),
			cmp.Compare(x.firstWorker(), y.firstWorker()))
	})
	count := sort.Search(len(candidates)+1, func(n int) bool {
		left := a.leftAfterStopsFor(u)
		for _, g := range candidates[:n] {
			left = left.Add(g.total())
		}
		return a.fits(need, left)
	})
	if count > len(candidates) {
		return nil, false
	}
	victims := slices.Clone(candidates[:count])
	left := a.leftAfterStopsFor(u)
	for _, g := range victims {
		left = left.Add(g.total())
	}
	for i := len(victims) - 1; i >= 0; i-- {
		if without := left.Sub(victims[i].total()); a.fits(need, without) {
			left = without
			victims = slices.Delete(victims, i, i+1)
		}
	}
	lost := 0.0
	for _, g := range victims {
		lost += g.PreemptionCost
	}
	if lost > maxLoss {
		return nil, false
	}
	return victims, true
}

// preempt chooses a group as a victim for the unit and counts what it releases once it has stopped.
func (f *Fleet) preempt(g *Group, u *Unit, d *Decision) {
	g.Preempted, g.PreemptedFor = true, u
	for id, used := range g.Uses {
		if w, ok := f.byID[id]; ok {
			w.FreeAfterStops = w.FreeAfterStops.Add(used)
		}
	}
	f.Limits.release(g)
	d.Preemptions = append(d.Preemptions, g)
}
