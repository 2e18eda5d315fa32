// Package router runs in the receiver of a request: it picks a rack owner that can run the request, forwards the request
// to it, and retries on other owners until there is exactly one outcome.
package router

import (
	"context"
	"slices"
	"time"

	"github.com/jonboulle/clockwork"

	"clementinepier/job"
	"clementinepier/metrics"
	"clementinepier/peer"
	"clementinepier/trace"
)

const (
	// retryDelay is the delay before the owners are tried again when none can accept the request now.
	retryDelay = 100 * time.Millisecond
	// takeoverTime is how long a new owner may need to adopt the tasks of a lost one: 2 s without contact until the
	// owner counts as lost, the gain delay of rack ownership, and the listing of the workers.
	takeoverTime = 4 * time.Second
	// findInterval is the delay between searches for the owner that has adopted a request.
	findInterval = 300 * time.Millisecond
	// livenessInterval is how often a call in flight checks that its owner is still live.
	livenessInterval = 500 * time.Millisecond
	// findTimeout bounds a find or cancel call to all owners.
	findTimeout = time.Second
	// replyMargin is how long after the deadline an owner may still report the outcome.
	replyMargin = 1500 * time.Millisecond
	// defaultRetryAfter is the retry delay reported to callers when no owner gave one.
	defaultRetryAfter = job.Duration(2 * time.Second)
)

// RunCall is the body of a run call.
type RunCall struct {
	Request job.Request `cbor:"1,keyasint"`
	// Digest is the hash of the caller's request; it tells a retry from another request with the same id.
	Digest string `cbor:"2,keyasint"`
}

// FindCall is the body of a find call and of a cancel call.
type FindCall struct {
	Key job.Key `cbor:"1,keyasint"`
	// Receivers also includes requests that the VM has received, not only those on its racks.
	Receivers bool `cbor:"2,keyasint,omitempty"`
}

// FindReply reports what an entry VM knows of a request. Outcome is set once Ended is true.
type FindReply struct {
	Found   bool        `cbor:"1,keyasint"`
	Ended   bool        `cbor:"2,keyasint"`
	Outcome job.Outcome `cbor:"3,keyasint"`
}

// Router forwards requests to rack owners. Set the exported fields before use.
type Router struct {
	// Self is the name of this VM.
	Self    string
	Clock   clockwork.Clock
	Metrics *metrics.Set
	Tracer  *trace.Tracer
	// Owners returns the current owners and their capacity; the result is not changed afterwards.
	Owners func() *Owners
	// Submit runs a request on this VM's own racks.
	Submit func(ctx context.Context, req job.Request, digest string) (job.Outcome, error)
	// Find and Cancel search this VM's own racks.
	Find   func(ctx context.Context, key job.Key) (FindReply, error)
	Cancel func(ctx context.Context, key job.Key) (bool, error)
	// Call calls another entry VM.
	Call func(ctx context.Context, vm string, kind peer.Kind, body, reply any) error

	picker picker
}

// requestState is the state of one request until its outcome is known.
type requestState struct {
	req    job.Request
	digest string
	// deadline is when the caller must have the outcome.
	deadline time.Time
	// mayHaveStarted is true once an owner may have started the request and the end of that run is not known.
	mayHaveStarted bool
	// contactLostAt is when contact with an owner that may have started the request was lost.
	contactLostAt time.Time
	// excluded owners are not tried again until every other owner has been tried.
	excluded map[string]bool
	// overloadedOwners counts the excluded owners that rejected the request because it would wait longer than its timeout,
	// and minRetryAfter is the shortest of the retry delays that they reported.
	overloadedOwners int
	minRetryAfter    job.Duration
	// lastOutcome is the last outcome that an owner reported.
	lastOutcome job.Outcome
}

// Run forwards a request until it has an outcome and returns it. The request's timeout counts from now.
func (r *Router) Run(ctx context.Context, req job.Request, digest string) job.Outcome {
	s := &requestState{
		req: req, digest: digest, deadline: r.Clock.Now().Add(req.Timeout.Std()), excluded: map[string]bool{},
		lastOutcome: job.NewNotRun(req.Key(), job.CodeNoRack, "no rack could take the request before its deadline", defaultRetryAfter),
	}
	for ctx.Err() == nil && r.Clock.Now().Before(s.deadline) {
		owner, wait := r.nextOwner(ctx, s)
		if owner == "" && wait == 0 {
			return job.NewNotRun(req.Key(), job.CodeOverloaded, s.lastOutcome.Detail, s.minRetryAfter)
		}
		if owner == "" {
			r.pause(ctx, wait)
			continue
		}
		wasExcluded := s.excluded[owner]
		outcome, final := r.tryOwner(ctx, s, owner)
		if final {
			return outcome
		}
		if wasExcluded {
			// An owner that has the request is retried although it is excluded, but only after a delay.
			r.pause(ctx, retryDelay)
		}
	}
	return s.outcomeAtEnd(ctx)
}

// nextOwner picks the owner to try, or returns how long to wait before the next pick; both results are zero when every owner
// has rejected the request because of its load. When an owner that may have started the request was lost, the owner that has
// adopted the request is preferred, because any other would run the work a second time.
func (r *Router) nextOwner(ctx context.Context, s *requestState) (vm string, wait time.Duration) {
	if s.mayHaveStarted && r.Clock.Since(s.contactLostAt) < takeoverTime {
		if vm, ok := r.locate(ctx, s.req.Key()); ok {
			return vm, 0
		}
		if s.req.Idempotent {
			return "", findInterval
		}
	}
	vm, ok := r.picker.pick(r.Owners(), s.req, s.excluded)
	if ok {
		return vm, 0
	}
	if s.allOwnersOverloaded() {
		return "", 0
	}
	s.excluded, s.overloadedOwners, s.minRetryAfter = map[string]bool{}, 0, 0
	return "", retryDelay
}

// allOwnersOverloaded reports whether every owner tried in this round has rejected the request because of its load. The
// caller then gets the rejection at once, because a late one would be of no use to it.
func (s *requestState) allOwnersOverloaded() bool {
	return s.overloadedOwners > 0 && s.overloadedOwners == len(s.excluded) && !s.mayHaveStarted
}

// tryOwner sends the request to one owner. It returns true when the outcome is final and must not be retried elsewhere.
func (r *Router) tryOwner(ctx context.Context, s *requestState, owner string) (job.Outcome, bool) {
	req := s.req
	remaining := s.deadline.Sub(r.Clock.Now())
	if remaining <= 0 {
		return job.Outcome{}, false
	}
	req.Timeout = job.Duration(remaining)
	outcome, err := r.callOwner(ctx, owner, RunCall{Request: req, Digest: s.digest}, remaining+replyMargin)
	if err == nil {
		return r.handleOutcome(s, owner, outcome)
	}
	s.excluded[owner] = true
	r.Metrics.Add(metrics.RequestsRerouted, 1)
	// A peer also replies with CodeBadRequest when its handler failed for any other reason, possibly after the start.
	if refused, ok := asErrRefused(err); ok && refused.Code != job.CodeBadRequest {
		if refused.Code == job.CodeRequestIDConflict {
			return s.unknownIfStarted(job.NewNotRun(req.Key(), refused.Code, refused.Detail, 0)), true
		}
		s.lastOutcome = job.NewNotRun(req.Key(), refused.Code, refused.Detail, defaultRetryAfter)
		return job.Outcome{}, false
	}
	if peer.WasDelivered(err) {
		s.mayHaveStarted, s.contactLostAt = true, r.Clock.Now()
	}
	return job.Outcome{}, false
}

// handleOutcome decides whether the outcome reported by an owner is final. After "unknown", an idempotent request is tried
// on another owner unless it was cancelled or its deadline has passed, and a request whose rack owner was lost is sent to
// the owner that has adopted it.
func (r *Router) handleOutcome(s *requestState, owner string, outcome job.Outcome) (job.Outcome, bool) {
	if outcome.Key != s.req.Key() {
		// An answer to another request must never reach this caller.
		r.Metrics.Add(metrics.RepliesIgnored, 1)
		s.mayHaveStarted, s.contactLostAt = true, r.Clock.Now()
		s.excluded[owner] = true
		return job.Outcome{}, false
	}
	switch outcome.Result {
	case job.Done:
		return outcome, true
	case job.NotRun:
		return r.handleNotRun(s, owner, outcome)
	}
	if outcome.Code == job.CodeOwnerLost || s.req.Idempotent && outcome.Code != job.CodeDeadlineExceeded &&
		outcome.Code != job.CodeCancelled {
		s.lastOutcome, s.mayHaveStarted, s.contactLostAt = outcome, true, r.Clock.Now()
		s.excluded[owner] = true
		r.Metrics.Add(metrics.RequestsRerouted, 1)
		return job.Outcome{}, false
	}
	return outcome, true
}

// handleNotRun excludes the owner when its rejection is about the owner and not about the request, so that another owner is
// tried.
func (r *Router) handleNotRun(s *requestState, owner string, outcome job.Outcome) (job.Outcome, bool) {
	s.lastOutcome = outcome
	switch outcome.Code {
	case job.CodeOwnerLost, job.CodeStopping, job.CodeNoRack, job.CodeViewNotFresh, job.CodeDomainOut, job.CodeOverloaded,
		job.CodeNoConfiguration:
		s.excluded[owner] = true
		if outcome.Code == job.CodeOverloaded {
			s.overloadedOwners++
			if s.minRetryAfter == 0 || outcome.RetryAfter < s.minRetryAfter {
				s.minRetryAfter = outcome.RetryAfter
			}
		}
		r.Metrics.Add(metrics.RequestsRerouted, 1)
		return job.Outcome{}, false
	}
	return s.unknownIfStarted(outcome), true
}

// unknownIfStarted turns "not run" into "unknown" when another owner may have started the request, because "not run"
// guarantees that no part of it has run.
func (s *requestState) unknownIfStarted(outcome job.Outcome) job.Outcome {
	if !s.mayHaveStarted || outcome.Result != job.NotRun {
		return outcome
	}
	return job.NewUnknown(s.req.Key(), outcome.Code, "an owner was lost that may have started the request: "+outcome.Detail)
}

// outcomeAtEnd returns the outcome of a request that has no final one when its deadline has passed or its context has ended.
func (s *requestState) outcomeAtEnd(ctx context.Context) job.Outcome {
	if s.lastOutcome.Result == job.NotRun && ctx.Err() == nil && s.lastOutcome.Code == job.CodeOwnerLost {
		s.lastOutcome.Code = job.CodeDeadlineExceeded
	}
	return s.unknownIfStarted(s.lastOutcome)
}

// callOwner calls one owner, which may be this VM.
func (r *Router) callOwner(ctx context.Context, owner string, call RunCall, timeout time.Duration) (job.Outcome, error) {
	ctx, cancel := clockwork.WithTimeout(ctx, r.Clock, timeout)
	defer cancel()
	ctx, span := r.Tracer.Start(ctx, "run", "owner", owner, "request", call.Request.Key().String())
	var outcome job.Outcome
	var err error
	if owner == r.Self {
		outcome, err = r.Submit(ctx, call.Request, call.Digest)
	} else {
		r.Metrics.Add(metrics.RequestsForwarded, 1)
		callCtx, stop := r.contextWhileLive(ctx, owner)
		err = r.Call(callCtx, owner, peer.KindRun, call, &outcome)
		stop()
	}
	if err != nil {
		span.End(err.Error())
		return job.Outcome{}, err
	}
	span.End(string(outcome.Code))
	return outcome, nil
}

// contextWhileLive returns a context that is cancelled once the owner is no longer among the live owners. The connection to
// a frozen VM stays up, so the call alone would wait until the deadline.
func (r *Router) contextWhileLive(ctx context.Context, owner string) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	go func() {
		ticker := r.Clock.NewTicker(livenessInterval)
		defer ticker.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-ticker.Chan():
			}
			if !slices.Contains(r.Owners().names(), owner) {
				cancel()
			}
		}
	}()
	return ctx, cancel
}

func (r *Router) pause(ctx context.Context, wait time.Duration) {
	select {
	case <-ctx.Done():
	case <-r.Clock.After(wait):
	}
}
