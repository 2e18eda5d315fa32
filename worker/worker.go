// Package worker is the only place that knows how to talk to a worker.
package worker

import (
	"context"
	"time"

	"clementinepier/job"
)

// State is the life cycle of a task on a worker.
type State string

// The states of a task. A task never goes back to an earlier one.
const (
	StateHeld    State = "held"
	StateRunning State = "running"
	StateDone    State = "done"
	StateFailed  State = "failed"
	StateStopped State = "stopped"
	StateLapsed  State = "lapsed"
	// StateForbidden means that the task never started and the worker refuses its id from now on.
	StateForbidden State = "forbidden"
	// StateUnknown means that the worker has no record of the id.
	StateUnknown State = "unknown"
)

// Ended reports whether the task runs no more and holds nothing.
func (s State) Ended() bool { return s != StateHeld && s != StateRunning }

// Spec is the part of a task that the worker keeps and names to whoever asks, so a new owner can adopt the task.
type Spec struct {
	ID job.TaskID `json:"id"`
	// Nonce is chosen by the owner for one attempt; calls with another nonce are refused.
	Nonce string    `json:"nonce"`
	Shape job.Shape `json:"shape"`
	// Workers names the worker of every member, in member order; its length is Shape.Tasks.
	Workers    []string `json:"workers"`
	Idempotent bool     `json:"idempotent"`
	// Borrowed is true when the capacity may be reclaimed by the organisation that it is guaranteed to.
	Borrowed bool `json:"borrowed"`
	// Deadline is when the request's deadline passes, by the clock of the entry VM that placed it.
	Deadline time.Time `json:"deadline"`
	// RequestDigest is the digest of the caller's request body; a retry with another body is refused.
	RequestDigest string `json:"request-digest"`
}

// Status is what a worker says about one task.
type Status struct {
	Spec  Spec  `json:"spec"`
	State State `json:"state"`
	// Started is true once the task has ever run. A task with Started false has not run.
	Started bool `json:"started"`
	// Accelerators are the indices held; empty once the task has ended.
	Accelerators []int `json:"accelerators"`
	// RanFor is the time since the start or, when ended, the whole run time.
	RanFor job.Duration `json:"ran-for"`
	// SinceCheckpoint is the run time that would be lost if the task were stopped now.
	SinceCheckpoint job.Duration `json:"since-checkpoint"`
	// AnswerLength and AnswerDigest are set when State is StateDone.
	AnswerLength int    `json:"answer-length"`
	AnswerDigest string `json:"answer-digest"`
	// Error is the task's own message when State is StateFailed.
	Error string `json:"error,omitempty"`
}

// Info describes a worker.
type Info struct {
	Name          string `json:"name"`
	FailureDomain string `json:"failure-domain"`
	Rack          string `json:"rack"`
	Slots         int    `json:"slots"`
	Accelerators  int    `json:"accelerators"`
	Processors    int    `json:"processors"`
	// MemoryMB is in megabytes (10^6 bytes).
	MemoryMB int `json:"memory-mb"`
	// Leaving workers receive no new tasks.
	Leaving bool `json:"leaving"`
	// BootID changes whenever the worker process starts; a new one means that all tasks are lost.
	BootID string `json:"boot-id"`
}

// Event is a change of one task's state.
type Event struct {
	// Sequence increases by one per event within one BootID.
	Sequence uint64 `json:"sequence"`
	Status   Status `json:"status"`
}

// Events is the reply to a long poll.
type Events struct {
	Info   Info    `json:"info"`
	Events []Event `json:"events"`
	// Next is the sequence to poll after.
	Next uint64 `json:"next"`
}

// Refusal is why a worker refused a hold or a start.
type Refusal string

// The refusals of a worker.
const (
	RefusedNone          Refusal = ""
	RefusedAccelerators  Refusal = "no-accelerators"
	RefusedSlots         Refusal = "no-slots"
	RefusedKnown         Refusal = "task-known"
	RefusedForbidden     Refusal = "task-forbidden"
	RefusedLeaving       Refusal = "worker-leaving"
	RefusedNotHeld       Refusal = "task-not-held"
	RefusedNonce         Refusal = "nonce-differs"
	RefusedAlreadyActive Refusal = "task-already-started"
)

// Lease names one task to renew and the lease it gets, counted from receipt.
type Lease struct {
	ID     job.TaskID   `json:"id"`
	Nonce  string       `json:"nonce"`
	Length job.Duration `json:"length"`
}

// RenewReply is the body of the reply to a renewal.
type RenewReply struct {
	// Tasks has one entry per lease, in order.
	Tasks []Renewed `json:"tasks"`
}

// Renewed is the state of one task after a renewal.
type Renewed struct {
	ID job.TaskID `json:"id"`
	// Nonce is that of the attempt that the worker has, which need not be the one named; empty if it has none.
	Nonce   string `json:"nonce"`
	State   State  `json:"state"`
	Started bool   `json:"started"`
}

// Usage is the worker's own measurement of a task; it is some seconds old.
type Usage struct {
	ID         job.TaskID   `json:"id"`
	Processors float64      `json:"processors"`
	MemoryMB   int          `json:"memory-mb"`
	Age        job.Duration `json:"age"`
}

// Client calls one worker. Its fields are the calls: NewClient sets them to HTTP, tests set fakes.
// Every call returns an *ErrCall when the worker gave no usable reply.
type Client struct {
	// Info describes the worker.
	Info func(ctx context.Context) (Info, error)
	// Hold reserves slots and accelerators without running anything. The hold lapses after length.
	Hold func(ctx context.Context, spec Spec, length time.Duration) (accelerators []int, refused Refusal, err error)
	// Start runs a held task. It is admitted only while the hold lives.
	Start func(ctx context.Context, id job.TaskID, nonce string, payload []byte, length time.Duration) (Refusal, error)
	// Renew extends holds and leases, and returns the state of each task named, in order. Of Spec only ID and Nonce are
	// certain to be set: renewals are most of the control traffic.
	Renew func(ctx context.Context, leases []Lease) ([]Status, error)
	// Stop ends tasks or drops holds; it succeeds for tasks that have ended already.
	Stop func(ctx context.Context, ids []job.TaskID, reason string) ([]Status, error)
	// Checkpoint saves a running task's progress and returns when that is done.
	Checkpoint func(ctx context.Context, id job.TaskID) error
	// Throttle limits a running task to the given share of its processors, above 0 and at most 1.
	Throttle func(ctx context.Context, id job.TaskID, share float64) error
	// Forbid makes the worker refuse an id that never started there, and drops its hold. The status tells whether it had started.
	Forbid func(ctx context.Context, id job.TaskID) (Status, error)
	// Tasks lists every task the worker has a record of.
	Tasks func(ctx context.Context) (Info, []Status, error)
	// Events waits at most wait for events after the sequence.
	Events func(ctx context.Context, after uint64, wait time.Duration) (Events, error)
	// Answer returns the whole answer of a task that is done, checked against its length and digest.
	Answer func(ctx context.Context, id job.TaskID) ([]byte, error)
	// Acknowledge lets the worker drop the answers of the tasks named. Their ids stay refused.
	Acknowledge func(ctx context.Context, ids []job.TaskID) error
	// Usage returns the lagged measurements.
	Usage func(ctx context.Context) ([]Usage, error)
}
