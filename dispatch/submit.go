package dispatch

import (
	"context"
	"time"

	"clementinepier/board"
	"clementinepier/gang"
	"clementinepier/job"
	"clementinepier/metrics"
	"clementinepier/trace"
)

// Submit runs a request on this VM's racks and waits for its outcome. The request's timeout counts from now. When
// ctx ends before the outcome, a request that is still queued or delayed and has no other waiter is dropped. An outcome with
// CodeOwnerLost means that the racks have another owner. Submit returns ErrRequestConflict when the id is already used for
// another request.
func (d *Dispatcher) Submit(ctx context.Context, req job.Request, digest string) (job.Outcome, error) {
	waiter := make(chan job.Outcome, 1)
	var conflict error
	err := d.Board.Do(ctx, func(s *board.State) {
		conflict = d.acceptRequest(s, req, digest, trace.Inject(ctx), waiter)
	})
	if err != nil {
		// The request may still be accepted after ctx has ended.
		d.Board.Post(func(s *board.State) { d.removeWaiter(s, req.Key(), waiter) })
		return job.Outcome{}, err
	}
	if conflict != nil {
		return job.Outcome{}, conflict
	}
	select {
	case outcome := <-waiter:
		return outcome, nil
	case <-ctx.Done():
		d.Board.Post(func(s *board.State) { d.removeWaiter(s, req.Key(), waiter) })
		return job.Outcome{}, ctx.Err()
	}
}

// acceptRequest adds a waiter to the request's run, and creates the run if there is none.
func (d *Dispatcher) acceptRequest(s *board.State, req job.Request, digest, traceparent string, waiter chan job.Outcome) error {
	r, ok := d.runs[req.Key()]
	if ok && r.digest != digest {
		return ErrRequestConflict
	}
	// A new run continues the counters of the ended one: task ids must not be reused, and started attempts still count.
	attempt, started := 0, 0
	if ok && r.phase == phaseEnded && r.outcome.MayRunAgain(r.request.Idempotent) {
		attempt, started = r.attempt, r.startedAttempts
		d.removeEnded(r)
		ok = false
	}
	if ok {
		d.Metrics.Add(metrics.RequestsAttached, 1)
		d.attachWaiter(r, req, waiter)
		return nil
	}
	now := d.Clock.Now()
	s.Retries.RecordRequest()
	r = &run{
		request: req, digest: digest, deadline: now.Add(req.Timeout.Std()), requestKnown: true, traceparent: traceparent,
		waiters: []chan<- job.Outcome{waiter}, attempt: attempt, startedAttempts: started,
	}
	d.runs[req.Key()] = r
	d.enqueue(s, r)
	d.schedule(s)
	return nil
}

// attachWaiter adds a waiter to an existing run. A run adopted from workers receives the payload, so that it can be retried.
func (d *Dispatcher) attachWaiter(r *run, req job.Request, waiter chan<- job.Outcome) {
	if r.phase == phaseEnded {
		waiter <- r.outcome
		return
	}
	if !r.requestKnown {
		r.request, r.requestKnown = req, true
	}
	// A retry may extend the deadline: when the run continues after its deadline, the retry waits for its own timeout.
	if deadline := d.Clock.Now().Add(req.Timeout.Std()); deadline.After(r.deadline) {
		r.deadline = deadline
	}
	r.waiters = append(r.waiters, waiter)
}

// removeWaiter removes a waiter. A queued or delayed run without waiters ends. A run with an attempt continues, so that a
// retry by the caller finds its answer.
func (d *Dispatcher) removeWaiter(s *board.State, key job.Key, waiter chan<- job.Outcome) {
	r, ok := d.runs[key]
	if !ok {
		return
	}
	for i, w := range r.waiters {
		if w == waiter {
			r.waiters = append(r.waiters[:i], r.waiters[i+1:]...)
			break
		}
	}
	if len(r.waiters) == 0 && (r.phase == phaseQueued || r.phase == phaseDelayed) {
		d.endRun(s, r, job.NewNotRun(key, job.CodeCancelled, "nobody waits for the request", 0))
	}
}

// Cancel ends a request as soon as its state allows. It reports whether this VM has a run for the request.
func (d *Dispatcher) Cancel(ctx context.Context, key job.Key) (bool, error) {
	known := false
	err := d.Board.Do(ctx, func(s *board.State) {
		r, ok := d.runs[key]
		if !ok {
			return
		}
		known = true
		d.cancelRun(s, r, job.CodeCancelled, "cancelled by the caller")
	})
	if err != nil {
		// The function may still run on the control goroutine, so known must not be read here.
		return false, err
	}
	return known, nil
}

// cancelRun ends a run as soon as its state allows. A started request that is not idempotent continues, because stopping it
// halfway would leave its effects in an unknown state.
func (d *Dispatcher) cancelRun(s *board.State, r *run, code job.Code, detail string) {
	switch r.phase {
	case phaseQueued, phaseDelayed:
		d.endRun(s, r, job.NewNotRun(r.key(), code, detail, cancelRetryAfter(code)))
	case phaseActive:
		if r.gang.StartIssued() && !r.request.Idempotent {
			return
		}
		r.cancelled = true
		d.stepGang(s, r, r.gang, gang.Cancel{Code: code})
	case phaseResolving:
		r.cancelled = true
	}
}

// deadlineGrace is the time after the deadline in which a started run can be stopped or settled before its waiters receive
// the outcome "unknown".
const deadlineGrace = time.Second

// expireRun cancels a run whose deadline has passed. After deadlineGrace its waiters receive the outcome "unknown".
func (d *Dispatcher) expireRun(s *board.State, r *run, now time.Time) {
	if r.phase == phaseEnded || now.Before(r.deadline) {
		return
	}
	if r.claimFailed {
		d.cancelRun(s, r, job.CodeStoreUnavailable, "the request could not be claimed before its deadline")
	} else {
		d.cancelRun(s, r, job.CodeDeadlineExceeded, "the deadline passed")
	}
	if r.phase == phaseEnded || now.Before(r.deadline.Add(deadlineGrace)) {
		return
	}
	outcome := job.NewUnknown(r.key(), job.CodeDeadlineExceeded, "the request was still running at its deadline")
	if r.phase == phaseResolving {
		// A later retry resolves the claim again, because by then the attempt may have ended.
		d.removeRun(r, outcome)
		return
	}
	// The run continues, but its waiters must receive an outcome.
	d.notifyWaiters(r, outcome)
}

// Find returns the outcome of a request, whether this VM has a run for it, and whether that run has ended.
func (d *Dispatcher) Find(ctx context.Context, key job.Key) (outcome job.Outcome, found, ended bool, err error) {
	var result job.Outcome
	var known, hasEnded bool
	err = d.Board.Do(ctx, func(*board.State) {
		if r, ok := d.runs[key]; ok {
			known, hasEnded, result = true, r.phase == phaseEnded, r.outcome
		}
	})
	if err != nil {
		return job.Outcome{}, false, false, err
	}
	return result, known, hasEnded, nil
}
