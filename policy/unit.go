// Package policy decides which work starts next, on which workers, and which running work is preempted for it. It is pure:
// it does no I/O, takes the time as an argument and changes nothing but the workers, units and groups that it is given.
package policy

import (
	"time"

	"clementinepier/workload"
)

// Unit is work that starts atomically: all tasks of a gang, or one task of any other step.
type Unit struct {
	Job        *workload.Job
	Occurrence int
	Step       int
	// Tasks are the indices of the waiting tasks within the step. A gang has all of them.
	Tasks []int
	// ReadySince is when the unit could first have started.
	ReadySince time.Time
	// Deadline is when the job has to be completed to meet its objective.
	Deadline time.Time
	// Expiry is when completing the job stops being of use.
	Expiry time.Time
	// Remaining is the expected time that each of the tasks still takes on a worker of the usual speed.
	Remaining time.Duration
	// Share is the organisation's part of what is in use, relative to its weight; those with less come first. 0 means that it has nothing.
	Share float64
	// BeyondWeight means that the organisation had submitted more jobs than its weight entitles it to when it submitted this one.
	BeyondWeight bool
	// Guaranteed means that the organisation's guarantee covers the job, so that work beyond a guarantee is preempted for
	// it.
	Guaranteed bool
	// Preemptions is how often runs of the unit were preempted, and PreemptedAt is when they last were.
	Preemptions int
	PreemptedAt time.Time
	// ThrownAway is for how long runs of the unit have worked in vain before they were preempted.
	ThrownAway time.Duration
	// IdleSince is since when the unit could have started while no run of the job was at work or being started; zero while one is. Each task
	// that lasts counts by itself.
	IdleSince time.Time
	// TasksByWorker counts the step's tasks by worker id; it is nil when the step has no MaxTasksPerWorker.
	TasksByWorker map[string]int
	// Avoid has the ids of workers on which a run of the job has failed or stalled. They are closed to the unit.
	Avoid map[string]bool
	// Unresponsive has the ids of workers that left starts of the job without a response. They are used after others.
	Unresponsive map[string]bool
	// ClosedWorkers has the ids of closed workers that the unit may use if it fits on no others, with how suspect each is. The least
	// suspect are used first.
	ClosedWorkers map[string]int
	// RequiredWorkers has, by the index of a task, the id of the only worker that may run it. A unit that cannot use these waits.
	RequiredWorkers map[int]string

	// fallback is which workers the unit may use at present.
	fallback fallback
	// overdue means that the job has had nothing at work for too long beside idle workers.
	overdue bool
}

// fallback is how far a unit may fall back to workers that failed.
type fallback int

const (
	preferredWorkers fallback = iota
	closedWorkers
)

// isClosedTo reports whether the unit may use the worker only as a last resort.
func (w *Worker) isClosedTo(u *Unit) bool { return w.Closed || u.Avoid[w.ID] }

// mayUse reports whether the unit may use the worker at its present fallback.
func (u *Unit) mayUse(w *Worker) bool {
	if !w.Usable {
		return false
	}
	if w.isClosedTo(u) {
		_, allowed := u.ClosedWorkers[w.ID]
		return allowed && u.fallback == closedWorkers
	}
	return true
}

// suspicion ranks the workers that the unit may use; the lowest are used first.
func (u *Unit) suspicion(w *Worker) int {
	switch {
	case w.isClosedTo(u):
		return 2 + u.ClosedWorkers[w.ID]
	case w.Quarantined || u.Unresponsive[w.ID]:
		return 1
	default:
		return 0
	}
}

// withFallbacks calls f with each fallback of the unit in turn until f succeeds.
func (u *Unit) withFallbacks(f func() bool) {
	defer func() { u.fallback = preferredWorkers }()
	for u.fallback = preferredWorkers; u.fallback <= closedWorkers; u.fallback++ {
		if u.fallback == closedWorkers && len(u.ClosedWorkers) == 0 {
			continue
		}
		if f() {
			return
		}
	}
}

func (u *Unit) step() *workload.Step { return &u.Job.Steps[u.Step] }

// Worker is what the decisions know of a backend server.
type Worker struct {
	ID     string
	Rack   string
	Labels []string
	// Capacity is the worker's total capacity.
	Capacity workload.Resources
	// Free is the capacity that no run uses and that no run which may still exist could be using.
	Free workload.Resources
	// FreeAfterStops is Free plus the capacity of the runs that are being stopped.
	FreeAfterStops workload.Resources
	// Usable means that new runs may be started on the worker.
	Usable bool
	// Closed means that the worker is kept from new runs because runs failed or stalled there, but for units that have it in
	// ClosedWorkers.
	Closed bool
	// Quarantined means that no run was done on the worker since it was closed. It is used after others.
	Quarantined bool
	// Speed is how fast tasks run on the worker, relative to the usual worker, as the speed of its class (see ClassSpeed); 0 means that it is not
	// known.
	Speed float64
	// speedClass is the class of Speed, as of the present pass.
	speedClass int
	// Victims are the groups with runs on the worker that may be preempted for more urgent or guaranteed work.
	Victims []*Group
}

// Group is a set of runs that are stopped together: all runs of a gang, or a single run.
type Group struct {
	Priority int
	// Guaranteed means that the organisation's guarantee covers the group, so that it is not preempted.
	Guaranteed bool
	// Organisation is the organisation of the group's job; empty means none.
	Organisation string
	// Deadline is when the group's job has to be completed to meet its objective, and Expiry when completing it stops being of use.
	Deadline, Expiry time.Time
	// Objective is the time within which the group's job has to be completed after its acceptance.
	Objective time.Duration
	// Remaining is the expected time until the group is done.
	Remaining time.Duration
	// Preemptions is how often runs of the same tasks have been preempted before.
	Preemptions int
	// PreemptionCost is the work that stopping the group loses, in core-seconds.
	PreemptionCost float64
	// Uses has the resources that the group uses, by worker id.
	Uses map[string]workload.Resources
	// Preempted is set once the group has been chosen as a victim, and PreemptedFor is the unit that needs its capacity.
	Preempted    bool
	PreemptedFor *Unit
	// StopCost is what it costs to stop the group, in core-seconds; see stopCost. It is set while victims are chosen.
	StopCost float64
	// Handle identifies the group to the caller.
	Handle any
}

// Placement is a decision to start one task.
type Placement struct {
	Unit *Unit
	// Task is the index of the task within the step.
	Task int
	// Worker is the worker's id.
	Worker string
}

// Decision is the outcome of one scheduling pass.
type Decision struct {
	Placements []Placement
	// Preemptions are the groups to stop.
	Preemptions []*Group
	// Withheld has the units for which no group is stopped although that would give them room.
	Withheld []Withheld
	// Delayed has the units that were preempted and wait before they start again; see waitsAfterPreemption.
	Delayed []*Unit
}
