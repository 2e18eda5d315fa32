// Package router is the receiver of requests: it finds the rack owner that can serve a request, sends the request
// there, and brings it to one outcome whatever fails on the way.
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
	// repickDelay is the pause when no owner can take the request now.
	repickDelay = 100 * time.Millisecond
	// takeoverTime is how long a new owner may need to adopt the tasks of a lost one: 2 s of silence, the settling
	// delay of ownership, and the listing of the workers.
	takeoverTime = 4 * time.Second
	findInterval = 300 * time.Millisecond
	// liveInterval is how often an open call looks whether its owner is still live.
	liveInterval = 500 * time.Millisecond
	findTimeout  = time.Second
	// replyMargin is the time after the deadline within which an owner may still report the outcome.
	replyMargin = 1500 * time.Millisecond
	// lostHint is what callers are told to wait before they try again.
	lostHint = job.Duration(2 * time.Second)
)

// RunCall is the body of a run call.
type RunCall struct {
	Request job.Request `cbor:"1,keyasint"`
	// Digest identifies the caller's request.
	Digest string `cbor:"2,keyasint"`
}

// FindCall is the body of a find call and of a cancel call.
type FindCall struct {
	Key job.Key `cbor:"1,keyasint"`
	// Receivers asks for requests that the VM has received, too, and not only for those on its racks.
	Receivers bool `cbor:"2,keyasint,omitempty"`
}

// FindReply says what an entry VM knows of a request.
type FindReply struct {
	Found   bool        `cbor:"1,keyasint"`
	Ended   bool        `cbor:"2,keyasint"`
	Outcome job.Outcome `cbor:"3,keyasint"`
}

// Router sends requests to rack owners. Set the exported fields before use.
type Router struct {
	// Self is the name of this VM.
	Self    string
	Clock   clockwork.Clock
	Metrics *metrics.Set
	Tracer  *trace.Tracer
	// Owners returns the current owners with what they offer; the result is not changed afterwards.
	Owners func() *Owners
	// Submit runs a request on this VM's own racks.
	Submit func(ctx context.Context, req job.Request, digest string) (job.Outcome, error)
	// Find and Cancel look on this VM's own racks.
	Find   func(ctx context.Context, key job.Key) (FindReply, error)
	Cancel func(ctx context.Context, key job.Key) (bool, error)
	// Call calls another entry VM.
	Call func(ctx context.Context, vm string, kind peer.Kind, body, reply any) error

	picker picker
}

// attempt is the state of one request on its way to an outcome.
type attempt struct {
	req    job.Request
	digest string
	// deadline is when the answer is due.
	deadline time.Time
	// maybeRan is true once an owner may have started the request and its end is not known.
	maybeRan bool
	// lostAt is when contact with an owner that may have started the request was lost.
	lostAt time.Time
	// excluded owners are not asked again before every other one was.
	excluded map[string]bool
	// overloaded counts the excluded owners that refused because the request would wait longer than its timeout, and
	// soonest is the least of the times after which they want to be asked again.
	overloaded int
	soonest    job.Duration
	// last is the latest outcome that an owner gave.
	last job.Outcome
}

// Run brings a request to its outcome. The request's timeout counts from now.
func (r *Router) Run(ctx context.Context, req job.Request, digest string) job.Outcome {
	a := &attempt{
		req: req, digest: digest, deadline: r.Clock.Now().Add(req.Timeout.Std()), excluded: map[string]bool{},
		last: job.NewNotRun(req.Key(), job.CodeNoRack, "no rack could take the request before its deadline", lostHint),
	}
	for ctx.Err() == nil && r.Clock.Now().Before(a.deadline) {
		owner, wait := r.next(ctx, a)
		if owner == "" && wait == 0 {
			return job.NewNotRun(req.Key(), job.CodeOverloaded, a.last.Detail, a.soonest)
		}
		if owner == "" {
			r.pause(ctx, wait)
			continue
		}
		again := a.excluded[owner]
		outcome, final := r.try(ctx, a, owner)
		if final {
			return outcome
		}
		if again {
			// An owner that has the request is asked although it was excluded, but not without a pause.
			r.pause(ctx, repickDelay)
		}
	}
	return a.conclude(ctx)
}

// next picks the owner to ask, or says how long to wait; 0 when every owner has refused because of its load. When an owner was lost that may have started the request, the
// owner that has adopted it is preferred, because any other would do the work again.
func (r *Router) next(ctx context.Context, a *attempt) (vm string, wait time.Duration) {
	if a.maybeRan && r.Clock.Since(a.lostAt) < takeoverTime {
		if vm, ok := r.locate(ctx, a.req.Key()); ok {
			return vm, 0
		}
		if a.req.Idempotent {
			return "", findInterval
		}
	}
	vm, ok := r.picker.pick(r.Owners(), a.req, a.excluded)
	if ok {
		return vm, 0
	}
	if a.everyOwnerOverloaded() {
		return "", 0
	}
	a.excluded, a.overloaded, a.soonest = map[string]bool{}, 0, 0
	return "", repickDelay
}

// everyOwnerOverloaded reports whether every owner has refused in this round because of its load. The caller is told at
// once then, because a late answer would be of no use to it.
func (a *attempt) everyOwnerOverloaded() bool {
	return a.overloaded > 0 && a.overloaded == len(a.excluded) && !a.maybeRan
}

// try sends the request to one owner. It returns true when the outcome is final.
func (r *Router) try(ctx context.Context, a *attempt, owner string) (job.Outcome, bool) {
	req := a.req
	left := a.deadline.Sub(r.Clock.Now())
	if left <= 0 {
		return job.Outcome{}, false
	}
	req.Timeout = job.Duration(left)
	outcome, err := r.send(ctx, owner, RunCall{Request: req, Digest: a.digest}, left+replyMargin)
	if err == nil {
		return r.judge(a, owner, outcome)
	}
	a.excluded[owner] = true
	r.Metrics.Add(metrics.RequestsRerouted, 1)
	// A peer answers with CodeBadRequest when its handler failed for any other reason, which may be after the start.
	if refused, ok := asRefused(err); ok && refused.Code != job.CodeBadRequest {
		if refused.Code == job.CodeRequestIDConflict {
			return a.qualify(job.NewNotRun(req.Key(), refused.Code, refused.Detail, 0)), true
		}
		a.last = job.NewNotRun(req.Key(), refused.Code, refused.Detail, lostHint)
		return job.Outcome{}, false
	}
	if peer.WasDelivered(err) {
		a.maybeRan, a.lostAt = true, r.Clock.Now()
	}
	return job.Outcome{}, false
}

// judge decides whether an owner's outcome is final.
func (r *Router) judge(a *attempt, owner string, outcome job.Outcome) (job.Outcome, bool) {
	if outcome.Key != a.req.Key() {
		// An answer to another request must never reach this caller.
		r.Metrics.Add(metrics.RepliesIgnored, 1)
		a.maybeRan, a.lostAt = true, r.Clock.Now()
		a.excluded[owner] = true
		return job.Outcome{}, false
	}
	switch outcome.Result {
	case job.Done:
		return outcome, true
	case job.NotRun:
		return r.judgeNotRun(a, owner, outcome)
	}
	if outcome.Code == job.CodeOwnerLost || a.req.Idempotent && outcome.Code != job.CodeDeadlineExceeded &&
		outcome.Code != job.CodeCancelled {
		a.last, a.maybeRan, a.lostAt = outcome, true, r.Clock.Now()
		a.excluded[owner] = true
		r.Metrics.Add(metrics.RequestsRerouted, 1)
		return job.Outcome{}, false
	}
	return outcome, true
}

// judgeNotRun tries another owner when the refusal was about this owner and not about the request.
func (r *Router) judgeNotRun(a *attempt, owner string, outcome job.Outcome) (job.Outcome, bool) {
	a.last = outcome
	switch outcome.Code {
	case job.CodeOwnerLost, job.CodeStopping, job.CodeNoRack, job.CodeViewNotFresh, job.CodeDomainOut, job.CodeOverloaded,
		job.CodeNoConfiguration:
		a.excluded[owner] = true
		if outcome.Code == job.CodeOverloaded {
			a.overloaded++
			if a.soonest == 0 || outcome.RetryAfter < a.soonest {
				a.soonest = outcome.RetryAfter
			}
		}
		r.Metrics.Add(metrics.RequestsRerouted, 1)
		return job.Outcome{}, false
	}
	return a.qualify(outcome), true
}

// qualify turns "not run" into "unknown" when another owner may have started the request: "not run" is a promise.
func (a *attempt) qualify(outcome job.Outcome) job.Outcome {
	if !a.maybeRan || outcome.Result != job.NotRun {
		return outcome
	}
	return job.NewUnknown(a.req.Key(), outcome.Code, "an owner was lost that may have started the request: "+outcome.Detail)
}

// conclude gives the outcome of a request that no owner brought to an end.
func (a *attempt) conclude(ctx context.Context) job.Outcome {
	if a.last.Result == job.NotRun && ctx.Err() == nil && a.last.Code == job.CodeOwnerLost {
		a.last.Code = job.CodeDeadlineExceeded
	}
	return a.qualify(a.last)
}

// send calls one owner, which may be this VM.
func (r *Router) send(ctx context.Context, owner string, call RunCall, timeout time.Duration) (job.Outcome, error) {
	ctx, cancel := clockwork.WithTimeout(ctx, r.Clock, timeout)
	defer cancel()
	ctx, span := r.Tracer.Start(ctx, "run", "owner", owner, "request", call.Request.Key().String())
	var outcome job.Outcome
	var err error
	if owner == r.Self {
		outcome, err = r.Submit(ctx, call.Request, call.Digest)
	} else {
		r.Metrics.Add(metrics.RequestsForwarded, 1)
		watched, stop := r.whileLive(ctx, owner)
		err = r.Call(watched, owner, peer.KindRun, call, &outcome)
		stop()
	}
	if err != nil {
		span.End(err.Error())
		return job.Outcome{}, err
	}
	span.End(string(outcome.Code))
	return outcome, nil
}

// whileLive returns a context that ends when the owner has been silent. The connection to a frozen VM stays up, so
// the call itself would wait until the deadline.
func (r *Router) whileLive(ctx context.Context, owner string) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	go func() {
		ticker := r.Clock.NewTicker(liveInterval)
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
