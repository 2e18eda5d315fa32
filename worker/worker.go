// Package worker defines the protocol between entry VMs and workers and implements its client. No other package calls
// workers directly.
package worker

import (
	"context"
	"time"

	"clementinepier/job"
)

// State is the state of a task on a worker.
type State string

// The states of a task. A task never returns to an earlier state.
const (
	StateHeld    State = "held"
	StateRunning State = "running"
	StateDone    State = "done"
	StateFailed  State = "failed"
	StateStopped State = "stopped"
	StateLapsed  State = "lapsed"
	// StateForbidden means that the task never started and that the worker refuses its id from then on.
	StateForbidden State = "forbidden"
	// StateUnknown means that the worker has no record of the id.
	StateUnknown State = "unknown"
)

// Ended reports whether the task neither runs nor holds resources.
func (s State) Ended() bool { return s != StateHeld && s != StateRunning }

// Spec describes a task. The worker stores it and returns it with the task's status, so that a new rack owner can adopt
// the task.
type Spec struct {
	ID job.TaskID `json:"id"`
	// Nonce is chosen by the rack owner for one attempt; calls with another nonce are refused.
	Nonce string    `json:"nonce"`
	Shape job.Shape `json:"shape"`
	// Workers lists the name of each member's worker, in member order; its length is Shape.Tasks.
	Workers    []string `json:"workers"`
	Idempotent bool     `json:"idempotent"`
	// Borrowed means that the organisation to which the capacity is guaranteed may reclaim it.
	Borrowed bool `json:"borrowed"`
	// Deadline is the deadline of the request by the clock of the entry VM that placed it.
	Deadline time.Time `json:"deadline"`
	// RequestDigest is the digest of the caller's request body; a retry with another body is refused.
	RequestDigest string `json:"request-digest"`
}

// Status is a worker's report on one task.
type Status struct {
	Spec  Spec  `json:"spec"`
	State State `json:"state"`
	// Started reports whether the task has ever run.
	Started bool `json:"started"`
	// Accelerators lists the indices of the accelerators that the task holds; it is empty once the task has ended.
	Accelerators []int `json:"accelerators"`
	// RanFor is the time since the start or, once the task has ended, its total run time.
	RanFor job.Duration `json:"ran-for"`
	// SinceCheckpoint is the run time that would be lost if the task were stopped now.
	SinceCheckpoint job.Duration `json:"since-checkpoint"`
	// AnswerLength and AnswerDigest are set when State is StateDone.
	AnswerLength int    `json:"answer-length"`
	AnswerDigest string `json:"answer-digest"`
	// Error is the error message of the task when State is StateFailed.
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
	// Next is the sequence number to pass as after in the next poll.
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

// Lease identifies a task whose lease is renewed. Length is the new lease, counted from the receipt of the call.
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

// Renewed is the state of a task after a renewal.
type Renewed struct {
	ID job.TaskID `json:"id"`
	// Nonce is that of the attempt that the worker knows, which may differ from the one in the call. It is empty if the
	// worker knows none.
	Nonce   string `json:"nonce"`
	State   State  `json:"state"`
	Started bool   `json:"started"`
}

// Usage is the worker's measurement of a task. It lags by some seconds; Age is the lag.
type Usage struct {
	ID         job.TaskID   `json:"id"`
	Processors float64      `json:"processors"`
	MemoryMB   int          `json:"memory-mb"`
	Age        job.Duration `json:"age"`
}

// Client calls one worker. Each field is one call of the protocol: NewClient sets them to HTTP calls, tests set fakes.
// A call without a usable reply returns an *ErrCall.
type Client struct {
	// Info describes the worker.
	Info func(ctx context.Context) (Info, error)
	// Hold reserves slots and accelerators without running anything. The hold expires after length.
	Hold func(ctx context.Context, spec Spec, length time.Duration) (accelerators []int, refused Refusal, err error)
	// Start runs a held task. The worker refuses it once the hold has expired.
	Start func(ctx context.Context, id job.TaskID, nonce string, payload []byte, length time.Duration) (Refusal, error)
	// Renew extends holds and leases and returns the state of each task, in order. Of Spec only ID and Nonce are
	// guaranteed to be set, which keeps replies small: renewals are most of the control traffic.
	Renew func(ctx context.Context, leases []Lease) ([]Status, error)
	// Stop stops tasks and releases holds; it succeeds for tasks that have already ended.
	Stop func(ctx context.Context, ids []job.TaskID, reason string) ([]Status, error)
	// Checkpoint saves the progress of a running task and returns once it is saved.
	Checkpoint func(ctx context.Context, id job.TaskID) error
	// Throttle limits a running task to the given share of its processors, above 0 and at most 1.
	Throttle func(ctx context.Context, id job.TaskID, share float64) error
	// Forbid makes the worker refuse an id that has never started there and releases its hold. The status reports whether
	// the task had started.
	Forbid func(ctx context.Context, id job.TaskID) (Status, error)
	// Tasks lists every task of which the worker has a record.
	Tasks func(ctx context.Context) (Info, []Status, error)
	// Events is a long poll that waits at most wait for events after the given sequence number.
	Events func(ctx context.Context, after uint64, wait time.Duration) (Events, error)
	// Answer returns the complete answer of a task in StateDone, checked against its length and digest.
	Answer func(ctx context.Context, id job.TaskID) ([]byte, error)
	// Acknowledge allows the worker to drop the answers of the given tasks. It continues to refuse their ids.
	Acknowledge func(ctx context.Context, ids []job.TaskID) error
	// Usage returns the worker's latest measurements of its tasks.
	Usage func(ctx context.Context) ([]Usage, error)
}
