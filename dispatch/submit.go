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
// ctx ends before the outcome, a request that has not been started is dropped. An outcome with CodeOwnerLost means that
// the racks went to another owner. It returns ErrRequestConflict when the id is in use for another request.
func (d *Dispatcher) Submit(ctx context.Context, req job.Request, digest string) (job.Outcome, error) {
	waiter := make(chan job.Outcome, 1)
	var conflict error
	err := d.Board.Do(ctx, func(s *board.State) {
		conflict = d.accept(s, req, digest, trace.Inject(ctx), waiter)
	})
	if err != nil {
		// The request may still be accepted after ctx has ended.
		d.Board.Post(func(s *board.State) { d.abandon(s, req.Key(), waiter) })
		return job.Outcome{}, err
	}
	if conflict != nil {
		return job.Outcome{}, conflict
	}
	select {
	case outcome := <-waiter:
		return outcome, nil
	case <-ctx.Done():
		d.Board.Post(func(s *board.State) { d.abandon(s, req.Key(), waiter) })
		return job.Outcome{}, ctx.Err()
	}
}

// accept adds a waiter to the request's run, and creates the run if there is none.
func (d *Dispatcher) accept(s *board.State, req job.Request, digest, traceparent string, waiter chan job.Outcome) error {
	r, ok := d.runs[req.Key()]
	if ok && r.digest != digest {
		return ErrRequestConflict
	}
	// A new run goes on with the numbers of the ended one: task ids are not used twice, and what was started stays so.
	attempt, started := 0, 0
	if ok && r.phase == phaseEnded && r.outcome.MayRunAgain(r.request.Idempotent) {
		attempt, started = r.attempt, r.started
		d.forget(r)
		ok = false
	}
	if ok {
		d.Metrics.Add(metrics.RequestsAttached, 1)
		d.attach(r, req, waiter)
		return nil
	}
	now := d.Clock.Now()
	s.Retries.RecordRequest()
	r = &run{
		request: req, digest: digest, deadline: now.Add(req.Timeout.Std()), known: true, trace: traceparent,
		waiters: []chan<- job.Outcome{waiter}, attempt: attempt, started: started,
	}
	d.runs[req.Key()] = r
	d.enqueue(s, r)
	d.schedule(s)
	return nil
}

// attach adds a waiter to an existing run. A run adopted from workers learns the payload, so that it can be retried.
func (d *Dispatcher) attach(r *run, req job.Request, waiter chan<- job.Outcome) {
	if r.phase == phaseEnded {
		waiter <- r.outcome
		return
	}
	if !r.known {
		r.request, r.known = req, true
	}
	// A retry of a run that goes on after its deadline waits for its own timeout.
	if deadline := d.Clock.Now().Add(req.Timeout.Std()); deadline.After(r.deadline) {
		r.deadline = deadline
	}
	r.waiters = append(r.waiters, waiter)
}

// abandon removes a waiter. A run that nobody waits for and that holds nothing is dropped; a started one goes on, so
// that the caller's retry finds its answer.
func (d *Dispatcher) abandon(s *board.State, key job.Key, waiter chan<- job.Outcome) {
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
		d.end(s, r, job.NewNotRun(key, job.CodeCancelled, "nobody waits for the request", 0))
	}
}

// Cancel ends a request as soon as its state allows. It reports whether the request is known here.
func (d *Dispatcher) Cancel(ctx context.Context, key job.Key) (bool, error) {
	known := false
	err := d.Board.Do(ctx, func(s *board.State) {
		r, ok := d.runs[key]
		if !ok {
			return
		}
		known = true
		d.cancel(s, r, job.CodeCancelled, "cancelled by the caller")
	})
	if err != nil {
		// The change may still be applied and must not be read meanwhile.
		return false, err
	}
	return known, nil
}

// cancel ends a run. A running request that is not idempotent goes on: stopping it half way would leave its effects
// in an unknown state.
func (d *Dispatcher) cancel(s *board.State, r *run, code job.Code, detail string) {
	switch r.phase {
	case phaseQueued, phaseDelayed:
		d.end(s, r, job.NewNotRun(r.key(), code, detail, retryAfter(code)))
	case phaseActive:
		if r.gang.StartIssued() && !r.request.Idempotent {
			return
		}
		r.cancelled = true
		d.gangEvent(s, r, r.gang, gang.Cancel{Code: code})
	case phaseResolving:
		r.cancelled = true
	}
}

// deadlineGrace is the time that a started run gets for being stopped or settled before its waiters are told that
// its state is unknown.
const deadlineGrace = time.Second

// expire ends a run whose deadline has passed.
func (d *Dispatcher) expire(s *board.State, r *run, now time.Time) {
	if r.phase == phaseEnded || now.Before(r.deadline) {
		return
	}
	if r.storeDown {
		d.cancel(s, r, job.CodeStoreUnavailable, "the request could not be claimed before its deadline")
	} else {
		d.cancel(s, r, job.CodeDeadlineExceeded, "the deadline passed")
	}
	if r.phase == phaseEnded || now.Before(r.deadline.Add(deadlineGrace)) {
		return
	}
	outcome := job.NewUnknown(r.key(), job.CodeDeadlineExceeded, "the request was still running at its deadline")
	if r.phase == phaseResolving {
		// A later retry resolves the claim again, because by then the attempt may have ended.
		d.drop(r, outcome)
		return
	}
	// The run goes on here, but its waiters must hear something.
	d.notify(r, outcome)
}

// Find returns the outcome of a request, or whether it is in progress here.
func (d *Dispatcher) Find(ctx context.Context, key job.Key) (outcome job.Outcome, found, ended bool, err error) {
	var result job.Outcome
	var known, over bool
	err = d.Board.Do(ctx, func(*board.State) {
		if r, ok := d.runs[key]; ok {
			known, over, result = true, r.phase == phaseEnded, r.outcome
		}
	})
	if err != nil {
		return job.Outcome{}, false, false, err
	}
	return result, known, over, nil
}
