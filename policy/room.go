package policy

import (
	"math"
	"time"

	"clementinepier/workload"
)

const (
	// minObjective bounds the weight of jobs with tiny objectives.
	minObjective = 100 * time.Millisecond
	// maxWaitDoublings bounds the doublings of the wait of a unit that is preempted again and again.
	maxWaitDoublings = 10
)

// Withheld is a unit for which nothing is preempted, because that would cost callers more than it gains them.
type Withheld struct {
	Unit *Unit
	// Cost is what the cheapest set of victims would cost callers, and Gain is what the unit's caller would gain, both in cores; see weigh.
	Cost, Gain float64
}

// weigh returns what work means to the caller of its job, in cores: the work for each second of the job's objective. The same work is worth more
// to the caller of a job that is wanted within seconds than to that of one that is wanted within a minute.
func weigh(coreSeconds float64, objective time.Duration) float64 {
	return coreSeconds / max(objective, minObjective).Seconds()
}

// gain returns what the unit's caller gains if the unit starts now instead of late: all its work counts.
func (u *Unit) gain() float64 {
	return weigh(u.step().Need.Cores()*float64(len(u.Tasks))*u.Remaining.Seconds(), u.Job.Objective)
}

// weighStops returns what it costs the callers of the victims to stop them, and what the unit's caller gains by that. The gain of a guaranteed unit
// has no bound, nor that of one without an estimate. Load pattern: many small urgent jobs beyond a guarantee, beside long gangs.
func (u *Unit) weighStops(victims []*Group) (cost, gain float64) {
	for _, g := range victims {
		if g.Objective > 0 {
			// Nobody waits for a job without an objective.
			cost += weigh(g.StopCost, g.Objective)
		}
	}
	return cost, u.boundOnCost()
}

// boundOnCost returns what it may cost others at most to make room for the unit.
func (u *Unit) boundOnCost() float64 {
	if u.Guaranteed || u.Remaining <= 0 {
		return math.Inf(1)
	}
	return u.gain()
}

// unitShape is what the cost of making room for a unit depends on, beside the workers that it may use.
type unitShape struct {
	need             workload.Resources
	tasks, perWorker int
	sameRack         bool
	label, dataRack  string
}

func (u *Unit) shape() unitShape {
	s := u.step()
	return unitShape{s.Need, len(u.Tasks), s.MaxTasksPerWorker, s.SameRack, s.Label, s.DataRack}
}

// usesPreferredWorkers reports whether the unit may use the same workers as others of its shape.
func (u *Unit) usesPreferredWorkers() bool {
	return u.fallback == preferredWorkers && len(u.RequiredWorkers) == 0
}

// withheldCost returns what it would have cost in this pass to make room for a unit of the same shape, or 0 if none was withheld. Without it, the
// search for victims would be made for each waiting unit in each pass. Load pattern: a thousand urgent gangs over a service full of work that is worth
// more.
func (f *Fleet) withheldCost(u *Unit) float64 {
	if !u.usesPreferredWorkers() {
		return 0
	}
	return f.withheldCosts[u.shape()]
}

func (f *Fleet) recordWithheldCost(u *Unit, cost float64) {
	if u.usesPreferredWorkers() {
		f.withheldCosts[u.shape()] = cost
	}
}

// stopCost returns what it costs to stop the group now, in core-seconds: the work that has to be done again, and all work that is left if the
// stop makes its job late or of no use. What was stopped before counts for more each time. Load pattern: a burst of urgent gangs over a full
// service, in which the same long gangs would be stopped again and again.
func (g *Group) stopCost(now time.Time) float64 {
	work := g.PreemptionCost * float64(1+g.Preemptions)
	if g.missesByStop(now, g.Deadline) || g.missesByStop(now, g.Expiry) {
		work += g.cores() * g.Remaining.Seconds()
	}
	return work
}

// missesByStop reports whether the group would be done by the given time, and no more if it were stopped now and started again at once.
func (g *Group) missesByStop(now, by time.Time) bool {
	end := now.Add(g.Remaining)
	return !end.After(by) && end.Add(g.LostTime()).After(by)
}

// cores returns the cores that the group uses; accelerators are converted.
func (g *Group) cores() float64 {
	sum := 0.0
	for _, used := range g.Uses {
		sum += used.Cores()
	}
	return sum
}

// waitsAfterPreemption reports whether the unit, which was preempted, waits before it starts again: for as long as its runs have worked in vain, for the
// time of a stop at least, which doubles each time, but for no more than half of the time after which it could not be in time. Load pattern: a
// burst of urgent gangs over a full service, with gaps in which the same work would be started and stopped again. The urgent gangs find its room
// free meanwhile. Only the least urgent work waits, since less urgent work would take the room of any other.
func (f *Fleet) waitsAfterPreemption(now time.Time, u *Unit) bool {
	if u.Preemptions == 0 || u.Guaranteed || u.overdue || f.MostlyIdle || u.Job.Priority < f.lowestPriority {
		return false
	}
	wait := max(u.ThrownAway, f.StopTime<<min(u.Preemptions-1, maxWaitDoublings))
	slack := u.Deadline.Sub(u.PreemptedAt) - u.Remaining
	return now.Sub(u.PreemptedAt) < min(wait, slack/2)
}

// lowestPriority returns the priority of the least urgent unit; higher numbers are less urgent.
func lowestPriority(units []*Unit) int {
	lowest := 0
	for _, u := range units {
		lowest = max(lowest, u.Job.Priority)
	}
	return lowest
}

// LostTime returns for how long each run of the group would have worked in vain if it were stopped now.
func (g *Group) LostTime() time.Duration {
	cores := g.cores()
	if cores <= 0 {
		return 0
	}
	return time.Duration(g.PreemptionCost / cores * float64(time.Second))
}
