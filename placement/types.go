// Package placement decides which workers run a request. It keeps a model of the racks of one failure domain and does no
// I/O. Callers serialise access and pass the current time in.
package placement

import (
	"time"

	"clementinepier/job"
)

// Result is the kind of decision that Plan made.
type Result string

// The results of Plan.
const (
	// Placed means that the workers of the plan have free capacity now.
	Placed Result = "placed"
	// Reclaim means that the workers of the plan have free capacity once the victims have stopped.
	Reclaim Result = "reclaim"
	// Wait means that no capacity is available now.
	Wait Result = "wait"
	// Infeasible means that no rack of the model could run the request even when empty.
	Infeasible Result = "never"
)

// Request is the part of a job request that placement depends on.
type Request struct {
	Key        job.Key
	Shape      job.Shape
	Idempotent bool
	Urgent     bool
	// Avoid lists workers that must not be used.
	Avoid []string
	// RunTime is the expected run time, 0 when unknown. It is used only to allow backfill on a recently reserved rack.
	RunTime time.Duration
}

// Plan is the decision about one request.
type Plan struct {
	Result Result
	Rack   string
	// Workers lists the worker of every task in member order when Result is Placed or Reclaim. Equal names are adjacent.
	Workers []string
	// Anchored is true when all tasks fit within the organisation's own anchors.
	Anchored bool
	// Borrowed is true when the tasks use capacity that is anchored for another organisation, which may preempt them.
	Borrowed bool
	// Victims lists the requests to preempt; all are borrowed and idempotent.
	Victims []job.Key
	// FitsElsewhere is true with Wait when none of the racks passed to Plan could ever run the request but another rack of
	// the model could.
	FitsElsewhere bool
}

// Allocation is the capacity that one task holds on one worker.
type Allocation struct {
	Task   job.TaskID
	Worker string
	// Accelerators and Slots are what this one task uses.
	Accelerators int
	Slots        int
	Idempotent   bool
	// Borrowed is the same for all tasks of a request.
	Borrowed bool
	// Anchored is true when the request was placed within its organisation's own anchors.
	Anchored   bool
	StartedAt  time.Time
	Checkpoint time.Time
	// RunTime is the expected run time, 0 when unknown.
	RunTime time.Duration
}

// lostWork returns the work since the last checkpoint in accelerator time. A task without accelerators counts as one
// accelerator.
func (a *Allocation) lostWork(now time.Time) time.Duration {
	since := a.StartedAt
	if a.Checkpoint.After(since) {
		since = a.Checkpoint
	}
	return max(0, now.Sub(since)) * time.Duration(max(1, a.Accelerators))
}

// remaining estimates how long the task will still run. A task past its expected run time is assumed to run for as long
// again as it has run, so that a declared run time that is too short does not make its rack look almost free.
func (a *Allocation) remaining(now time.Time) time.Duration {
	ran := max(0, now.Sub(a.StartedAt))
	if left := a.RunTime - ran; left > 0 {
		return left
	}
	return max(ran, time.Second)
}

// resources is an amount of the two resources of a worker.
type resources struct{ accelerators, slots int }

func (a resources) plus(b resources) resources {
	return resources{a.accelerators + b.accelerators, a.slots + b.slots}
}

func (a resources) minus(b resources) resources {
	return resources{a.accelerators - b.accelerators, a.slots - b.slots}
}

func (a resources) times(n int) resources { return resources{a.accelerators * n, a.slots * n} }

func (a resources) within(b resources) bool {
	return a.accelerators <= b.accelerators && a.slots <= b.slots
}

func maxResources(a, b resources) resources {
	return resources{max(a.accelerators, b.accelerators), max(a.slots, b.slots)}
}

func minResources(a, b resources) resources {
	return resources{min(a.accelerators, b.accelerators), min(a.slots, b.slots)}
}

// perTask returns the resources of one task of the shape.
func perTask(s job.Shape) resources { return resources{s.Accelerators, s.Slots} }

// countFits returns how many tasks of the given size fit into a.
func (a resources) countFits(task resources) int {
	const unlimited = 1 << 20
	count := unlimited
	if task.accelerators > 0 {
		count = min(count, a.accelerators/task.accelerators)
	}
	if task.slots > 0 {
		count = min(count, a.slots/task.slots)
	}
	return max(0, count)
}
