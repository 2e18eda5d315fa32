// Package dispatch implements the rack owner. It queues requests, places them on the racks that this entry VM owns, holds
// capacity on the workers, claims the request in the ledger, starts and monitors its tasks, and returns the outcome.
package dispatch

import (
	"time"

	"clementinepier/claim"
	"clementinepier/gang"
	"clementinepier/job"
	"clementinepier/worker"
)

// phase is the state of a run.
type phase string

const (
	// phaseQueued runs are in the queue and have no capacity.
	phaseQueued phase = "queued"
	// phaseDelayed runs wait for their retry time and have no capacity.
	phaseDelayed phase = "delayed"
	// phaseActive runs have an attempt in progress and a gang that controls it.
	phaseActive phase = "active"
	// phaseResolving runs found the claim of another attempt in the ledger and query the outcome of that attempt.
	phaseResolving phase = "resolving"
	phaseEnded     phase = "ended"
)

// run is one request that this rack owner processes. Only the control goroutine accesses it.
type run struct {
	request job.Request
	// digest identifies the content of the caller's request; a retry with another digest is rejected.
	digest string
	// deadline is when the request's answer is due.
	deadline time.Time
	phase    phase
	// requestKnown is false for a run adopted from workers until a receiver sends the request with its payload.
	requestKnown bool
	traceparent  string

	// attempt is the number of the last attempt; task ids are never used twice.
	attempt int
	// claimedAttempt is the attempt that the claim ledger names, or 0.
	claimedAttempt int
	// claimNonces are the nonces of the claims that this run has requested.
	claimNonces []string
	// claimFailed is true when the last try at a claim returned an error.
	claimFailed bool
	// claiming is true while a call that claims an attempt is in flight.
	claiming bool
	// startedAttempts counts the attempts for which a start was issued and that may have run.
	startedAttempts int
	// failedAttempts counts the attempts that ended with a task failure.
	failedAttempts int
	// avoidWorkers are the workers on which attempts failed, the latest last.
	avoidWorkers []string
	// cancelled is true once the run is to end as soon as its state allows.
	cancelled bool

	// resolvingRecord is the claim that is being resolved, nextQueryAt is when it is queried next, and querying is true while
	// a query is in flight.
	resolvingRecord claim.Record
	nextQueryAt     time.Time
	querying        bool
	// resolvingSince is when the run entered phaseResolving.
	resolvingSince time.Time

	gang     *gang.Gang
	borrowed bool
	// rack and workers are those of the current attempt.
	rack     string
	workers  []string
	nonce    string
	queuedAt time.Time
	// nextRerouteAt is when a queued run is next checked for another owner that has capacity for it.
	nextRerouteAt time.Time
	// placedAt is when the current attempt was given capacity; zero while it has none.
	placedAt time.Time
	// preempting is true once the preemption of the current attempt has begun.
	preempting bool
	// reclaimAt is when the run began to wait for the capacity of preempted borrowers; zero while it does not wait for it.
	reclaimAt time.Time
	// retryAt is when a delayed run returns to the queue.
	retryAt time.Time
	// nextTick is when the gang needs its next tick event.
	nextTick time.Time
	outcome  job.Outcome
	endedAt  time.Time
	waiters  []chan<- job.Outcome
}

func (r *run) key() job.Key { return r.request.Key() }

// spec returns the specification of member 0 of the current attempt.
func (r *run) spec() worker.Spec {
	return worker.Spec{
		ID:            job.TaskID{Organisation: r.request.Organisation, RequestID: r.request.ID, Attempt: r.attempt},
		Nonce:         r.nonce,
		Shape:         r.request.Shape,
		Workers:       r.workers,
		Idempotent:    r.request.Idempotent,
		Borrowed:      r.borrowed,
		Deadline:      r.deadline,
		RequestDigest: r.digest,
	}
}

// distinctWorkers returns the workers of the current attempt without repetition, in member order.
func (r *run) distinctWorkers() []string {
	var names []string
	for _, name := range r.workers {
		if len(names) == 0 || names[len(names)-1] != name {
			names = append(names, name)
		}
	}
	return names
}
