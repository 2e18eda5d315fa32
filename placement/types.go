// Package placement decides which workers run a request. It keeps a model of the racks of one failure domain and
// does no I/O. Callers serialise access and pass the time in.
package placement

import (
	"time"

	"clementinepier/job"
)

// Result says what Plan decided.
type Result string

// The results of Plan.
const (
	// Placed means that the capacity named is free now.
	Placed Result = "placed"
	// Reclaim means that the capacity named becomes free once the victims have stopped.
	Reclaim Result = "reclaim"
	// Wait means that the request has to wait.
	Wait Result = "wait"
	// Infeasible means that no rack of the model could run the request even when empty.
	Infeasible Result = "never"
)

// Request is what a request asks of the model.
type Request struct {
	Key        job.Key
	Shape      job.Shape
	Idempotent bool
	Urgent     bool
	// Avoid names workers that must not be used.
	Avoid []string
	// RunTime is the expected run time, 0 when unknown. It only decides about backfill around a young reservation.
	RunTime time.Duration
}

// Plan is the decision about one need.
type Plan struct {
	Result Result
	Rack   string
	// Workers has the worker of every task in member order when Result is Placed or Reclaim. Equal names are adjacent.
	Workers []string
	// Anchored is true when the tasks lie wholly within the organisation's own anchors.
	Anchored bool
	// Borrowed tasks may be preempted by the organisation that their capacity is guaranteed to.
	Borrowed bool
	// Victims are all borrowed and idempotent.
	Victims []job.Key
	// FitsElsewhere is true with Wait when none of the racks given could ever run the request but another rack of the
	// model could.
	FitsElsewhere bool
}

// Allocation is the capacity that one task holds on one worker.
type Allocation struct {
	Task   job.TaskID
	Worker string
	// Accelerators and Slots are those of this task.
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

// lostWork returns the work since the last checkpoint in accelerator time; a task without accelerators counts as one.
func (a *Allocation) lostWork(now time.Time) time.Duration {
	since := a.StartedAt
	if a.Checkpoint.After(since) {
		since = a.Checkpoint
	}
	return max(0, now.Sub(since)) * time.Duration(max(1, a.Accelerators))
}

// remaining estimates how long the task still runs. A task past its expected run time is expected to run as long
// again as it has, so that a declaration that is too short does not make its rack look free soon.
func (a *Allocation) remaining(now time.Time) time.Duration {
	ran := max(0, now.Sub(a.StartedAt))
	if left := a.RunTime - ran; left > 0 {
		return left
	}
	return max(ran, time.Second)
}

// amount counts the two resources of a worker.
type amount struct{ accelerators, slots int }

func (a amount) plus(b amount) amount {
	return amount{a.accelerators + b.accelerators, a.slots + b.slots}
}

func (a amount) minus(b amount) amount {
	return amount{a.accelerators - b.accelerators, a.slots - b.slots}
}

func (a amount) times(n int) amount { return amount{a.accelerators * n, a.slots * n} }

func (a amount) within(b amount) bool {
	return a.accelerators <= b.accelerators && a.slots <= b.slots
}

func largest(a, b amount) amount {
	return amount{max(a.accelerators, b.accelerators), max(a.slots, b.slots)}
}

func smallest(a, b amount) amount {
	return amount{min(a.accelerators, b.accelerators), min(a.slots, b.slots)}
}

// perTask returns what one task of the shape takes.
func perTask(s job.Shape) amount { return amount{s.Accelerators, s.Slots} }

// fits returns how many tasks of size task fit into a.
func (a amount) fits(task amount) int {
	const unlimited = 1 << 20
	n := unlimited
	if task.accelerators > 0 {
		n = min(n, a.accelerators/task.accelerators)
	}
	if task.slots > 0 {
		n = min(n, a.slots/task.slots)
	}
	return max(0, n)
}
