package engine

import (
	"context"
	"time"

	"clementinepier/workload"
)

// Registration is a worker's entry in the store.
type Registration struct {
	ID            string
	Address       string
	Service       string
	FailureDomain string
	Rack          string
	Labels        []string
	Capacity      workload.Resources
	// Draining means that the worker is about to leave and gets no new runs.
	Draining bool
	// DrainRemaining is the minimum time for which a draining worker keeps running.
	DrainRemaining time.Duration
	// Incarnation identifies one process of a worker, which may restart under the same ID. It rises with each restart; 0 is
	// unknown.
	Incarnation int64
}

// Target is the worker to which an order is sent.
type Target struct {
	ID      string
	Address string
}

// WorkerTime is a time on a worker's own monotonic clock.
type WorkerTime time.Duration

// StartOrder tells a worker to start a run.
type StartOrder struct {
	Task    string
	Run     int
	Payload string
	// Until is the end of the worker's lease.
	Until WorkerTime
	// Fence is the fencing token of the planner's term; see Term.Fence.
	Fence      int64
	Checkpoint string
}

// StopOrder tells a worker to stop a run, and to refuse an order to start it that arrives later.
type StopOrder struct {
	Task  string
	Run   int
	Fence int64
}

// PollRequest is a long poll of a worker: it renews the worker's lease and asks which runs it has and which have ended.
type PollRequest struct {
	Fence int64
	// Acknowledged is the number of the last end that the worker may discard.
	Acknowledged int64
	// Until is the new end of the lease; 0 leaves the lease unchanged.
	Until WorkerTime
	// Wait is how long the worker may wait for a run to end before it responds.
	Wait time.Duration
}

// WorkerStatus is part of every response of a worker.
type WorkerStatus struct {
	Clock       WorkerTime
	Incarnation int64
	// Draining and DrainRemaining are as in Registration; workers repeat them in poll responses.
	Draining       bool
	DrainRemaining time.Duration
}

// RunStatus is the state of a run that a worker has.
type RunStatus struct {
	Task       string
	Run        int
	Checkpoint string
	// Percent is the share of the work that is done, from 0 to 100.
	Percent int
	// Usage is a rough figure of what the run used last: processor time in thousandths of a core, or for a task that serves users the tail of
	// its response times in milliseconds. It holds only if HasUsage is set; older workers report none.
	Usage    int64
	HasUsage bool
	// Invalid has the impossible values of the entry, empty if there are none. PercentInvalid means that the percent is one of them.
	Invalid        string
	PercentInvalid bool
}

// EndReason is why a run ended.
type EndReason string

// The reasons for which a run ends.
const (
	EndDone   EndReason = "done"
	EndFailed EndReason = "failed"
	// EndStopped means that the run was stopped, or never started.
	EndStopped EndReason = "stopped"
	// EndLapsed means that the worker's lease has ended, or that the worker no longer has the run.
	EndLapsed EndReason = "lapsed"
	// EndGangBroken means that another member of the run's gang has ended.
	EndGangBroken EndReason = "broken"
	// EndIsolated means that the gang member waited in vain for the other members.
	EndIsolated EndReason = "alone"
)

// RunEnd is a run that has ended on a worker.
type RunEnd struct {
	// Number rises within one incarnation of the worker.
	Number     int64
	Task       string
	Run        int
	Reason     EndReason
	Checkpoint string
}

// PollResponse is the response to a poll.
type PollResponse struct {
	WorkerStatus
	Running []RunStatus
	Ends    []RunEnd
	// MoreEnds means that the worker may have more ends than it lists here, so that a run in neither list may have ended for any
	// reason.
	MoreEnds bool
}

// Refusal is why a worker did not execute an order.
type Refusal string

// The refusals of workers.
const (
	// RefusedFence means that the worker has seen a higher fencing token.
	RefusedFence Refusal = "fence"
	// RefusedStaleRun means that this run of the task, or a later one, was stopped or has ended on the worker.
	RefusedStaleRun Refusal = "old"
	// RefusedLeaseEnded means that the lease of the order had already ended.
	RefusedLeaseEnded Refusal = "late"
	// RefusedCapacity means that the worker has too little free capacity.
	RefusedCapacity Refusal = "room"
	// RefusedUnhealthy means that the worker is unhealthy and did nothing.
	RefusedUnhealthy Refusal = "unhealthy"
	// RefusedIncarnation means that the order was for another worker, or for another incarnation of this one.
	RefusedIncarnation Refusal = "life"
	// RefusedInvalid means that the worker could not read the order.
	RefusedInvalid Refusal = "invalid"
)

// ErrRefused means that a worker responded that it did not execute an order.
type ErrRefused struct {
	Reason Refusal
	Status WorkerStatus
}

// Error implements error.
func (e *ErrRefused) Error() string { return "worker refused: " + string(e.Reason) }

// Workers has the calls to workers. A call that fails with any error but an *ErrRefused may have been executed.
type Workers struct {
	Start func(ctx context.Context, t Target, o StartOrder) (WorkerStatus, error)
	Stop  func(ctx context.Context, t Target, o StopOrder) (WorkerStatus, error)
	Poll  func(ctx context.Context, t Target, o PollRequest) (PollResponse, error)
}
