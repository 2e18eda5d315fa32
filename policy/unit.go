// Package policy decides which work starts next, where it runs, and what has to make room for it. It is pure: it does
// no I/O, takes the time as an argument and changes nothing but the workers that it is given.
package policy

import (
	"time"

	"clementinepier/workload"
)

// Unit is work that starts as a whole: all tasks of a gang, or one task of another step.
type Unit struct {
	Job        *workload.Job
	Occurrence int
	Step       int
	// Tasks are the indices of the tasks that wait. A gang has all of them.
	Tasks []int
	// ReadySince is when the unit could first have started.
	ReadySince time.Time
	// Deadline is when the job has to be completed to be in time.
	Deadline time.Time
	// Expiry is when completing the job stops being of use.
	Expiry time.Time
	// Guaranteed means that the organisation's guarantee covers the job, so that others must make room for it.
	Guaranteed bool
	// TasksByWorker counts the step's tasks on each worker; nil when the step has no bound on them.
	TasksByWorker map[string]int
	// Avoid has the workers on which a run of the unit has failed.
	Avoid map[string]bool
}

func (u *Unit) step() *workload.Step { return &u.Job.Steps[u.Step] }

// Worker is a backend server as the decisions see it.
type Worker struct {
	ID     string
	Rack   string
	Labels []string
	// Capacity is what the worker has in all.
	Capacity workload.Resources
	// Free is what no run uses or may be using.
	Free workload.Resources
	// FreeAfterStops is Free and what is being stopped.
	FreeAfterStops workload.Resources
	// Usable means that new runs may be started on it.
	Usable bool
	// Victims are the groups of runs on it that may be stopped for work of a higher priority.
	Victims []*Group
}

// Group is a set of runs that end together: a gang's, or a single one.
type Group struct {
	Priority int
	// Guaranteed means that the organisation's guarantee covers the group, so that it makes room for nobody.
	Guaranteed bool
	// PreemptionCost is the work that would be lost, in core-seconds.
	PreemptionCost float64
	// Uses is what the group holds on each worker.
	Uses map[string]workload.Resources
	// Preempted is set once the group was chosen.
	Preempted bool
	// Handle identifies the group to the caller.
	Handle any
}

// Placement is a decision to start one task.
type Placement struct {
	Unit   *Unit
	Task   int
	Worker string
}

// Decision is the outcome of one pass.
type Decision struct {
	Placements []Placement
	// Preemptions are the groups that have to make room.
	Preemptions []*Group
}
