package engine

import (
	"context"
	"time"

	"clementinepier/workload"
)

// Advert is what a worker says of itself in the store.
type Advert struct {
	ID            string
	Address       string
	Service       string
	FailureDomain string
	Rack          string
	Labels        []string
	Capacity      workload.Resources
	// Draining means that the worker leaves and gets nothing new.
	Draining bool
	// Left is the least time that a draining worker goes on.
	Left time.Duration
	// Born identifies one life of a worker, which may come back under the same ID; 0 is unknown.
	Born int64
}

// Target is the worker that an order is for.
type Target struct {
	ID      string
	Address string
}

// WorkerTime is a time on a worker's own steady clock.
type WorkerTime time.Duration

// StartOrder tells a worker to start a run.
type StartOrder struct {
	Task       string
	Run        int
	Payload    string
	Until      WorkerTime
	Fence      int64
	Checkpoint string
}

// StopOrder tells a worker to stop a run, and to refuse it if it arrives later.
type StopOrder struct {
	Task  string
	Run   int
	Fence int64
}

// LookOrder renews the worker's lease and asks what runs and what has ended.
type LookOrder struct {
	Fence int64
	// Noted is the number of the last end that may be forgotten.
	Noted int64
	// Until is the end of the lease; 0 leaves it as it is.
	Until WorkerTime
	// Wait is how long the worker may wait for an end before it answers.
	Wait time.Duration
}

// Answer is what each answer of a worker tells.
type Answer struct {
	Clock WorkerTime
	Born  int64
	// Draining and Left are as in Advert; workers repeat them in answers to looks.
	Draining bool
	Left     time.Duration
}

// Running is a run that a worker has.
type Running struct {
	Task       string
	Run        int
	Checkpoint string
	Percent    int
}

// How tells how a run ended.
type How string

// The ways in which a run ends.
const (
	EndDone    How = "done"
	EndFailed  How = "failed"
	EndStopped How = "stopped"
	EndLapsed  How = "lapsed"
	EndBroken  How = "broken"
	EndAlone   How = "alone"
)

// End is a run that has ended on a worker.
type End struct {
	// Number rises within one life of the worker.
	Number     int64
	Task       string
	Run        int
	How        How
	Checkpoint string
}

// View is the answer to a look.
type View struct {
	Answer
	Running []Running
	Ends    []End
}

// Refusal is why a worker did not carry out an order.
type Refusal string

// The refusals of workers.
const (
	// RefusedFence means that the worker has seen a higher fence.
	RefusedFence Refusal = "fence"
	// RefusedOld means that this run, or a later one, was stopped or has ended there.
	RefusedOld Refusal = "old"
	// RefusedLate means that the lease of the order had already ended.
	RefusedLate Refusal = "late"
	// RefusedRoom means that the worker has too little room.
	RefusedRoom Refusal = "room"
	// RefusedUnhealthy means that the worker did nothing because it is not healthy.
	RefusedUnhealthy Refusal = "unhealthy"
	// RefusedLife means that another life of the worker was asked.
	RefusedLife Refusal = "life"
	// RefusedInvalid means that the worker did not understand the order.
	RefusedInvalid Refusal = "invalid"
)

// ErrRefused means that a worker answered that it did not carry out an order.
type ErrRefused struct {
	Reason Refusal
	Answer Answer
}

// Error implements error.
func (e *ErrRefused) Error() string { return "worker refused: " + string(e.Reason) }

// Workers calls workers. A call fails with an *ErrRefused, or else it may have been carried out.
type Workers struct {
	Start func(ctx context.Context, t Target, o StartOrder) (Answer, error)
	Stop  func(ctx context.Context, t Target, o StopOrder) (Answer, error)
	Look  func(ctx context.Context, t Target, o LookOrder) (View, error)
}
