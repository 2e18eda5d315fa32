// Package dispatch is the rack owner: it queues, places, holds, claims, starts and watches requests on the racks that
// this entry VM owns, and returns their outcomes.
package dispatch

import (
	"time"

	"clementinepier/claim"
	"clementinepier/gang"
	"clementinepier/job"
	"clementinepier/worker"
)

// phase is what a run is doing.
type phase string

// The phases of a run.
const (
	// phaseQueued runs are in the queue and hold nothing.
	phaseQueued phase = "queued"
	// phaseDelayed runs wait for their retry time and hold nothing.
	phaseDelayed phase = "delayed"
	// phaseActive runs have a gang.
	phaseActive phase = "active"
	// phaseResolving runs found an existing claim that is being resolved.
	phaseResolving phase = "resolving"
	phaseEnded     phase = "ended"
)

// run is one request in the hands of this rack owner. Only the control goroutine touches it.
type run struct {
	request job.Request
	// digest identifies the caller's request; a retry with another digest is refused.
	digest string
	// deadline is when the request's answer is due.
	deadline time.Time
	phase    phase
	// known is false for a run adopted from workers, until a receiver sends the request itself.
	known bool
	trace string

	// attempt is the number of the last attempt; task ids are never used twice.
	attempt int
	// claimed is the attempt that the claim ledger names, or 0.
	claimed int
	// claimNonces are the nonces of the claims that this run has asked for.
	claimNonces []string
	// storeDown is true when the last try at a claim brought no reply.
	storeDown bool
	// claiming is true while a ledger call is in flight.
	claiming bool
	// started counts the attempts of which a start was issued.
	started int
	// failures counts the attempts that ended in a failure of their own.
	failures int
	// avoid names the workers on which attempts failed.
	avoid []string
	// cancelled is set when the caller cancelled; the run ends as soon as its state allows.
	cancelled bool

	// record is the claim that is being resolved, askAt the time of the next question about it, and asking is true while
	// one is in flight.
	record claim.Record
	askAt  time.Time
	asking bool
	// resolvingSince is when the run began to resolve.
	resolvingSince time.Time

	gang     *gang.Gang
	borrowed bool
	// rack and workers are those of the current attempt.
	rack     string
	workers  []string
	nonce    string
	queuedAt time.Time
	// rerouteAt is when a queued run is next looked at for another owner with room.
	rerouteAt time.Time
	// placedAt is when the current attempt got its capacity; zero while it has none.
	placedAt time.Time
	// preempting is true once the current attempt has been asked to give its capacity back.
	preempting bool
	// reclaimAt is when the run began to wait for a reclaim; zero while it waits for none.
	reclaimAt time.Time
	// retryAt is when a delayed run goes back to the queue.
	retryAt time.Time
	// wake is when the gang needs its next tick.
	wake    time.Time
	outcome job.Outcome
	endedAt time.Time
	waiters []chan<- job.Outcome
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
