package dispatch

import (
	"slices"
	"time"

	"clementinepier/board"
	"clementinepier/gang"
	"clementinepier/job"
	"clementinepier/metrics"
)

const (
	// refusedDelay is the first pause after a refused hold; it doubles with each refusal up to maxDelay.
	refusedDelay = 20 * time.Millisecond
	maxDelay     = time.Second
	// storeDelay is the pause before a claim is tried again.
	storeDelay = 500 * time.Millisecond
	// retryHint is what callers are told when the system cannot estimate a better time.
	retryHint = job.Duration(time.Second)
)

// gangEvent feeds one event to a gang, carries out its commands and ends the attempt when it is over.
func (d *Dispatcher) gangEvent(s *board.State, r *run, g *gang.Gang, e gang.Event) {
	if r.gang != g || g == nil || r.phase == phaseEnded {
		return
	}
	d.execute(r, g.Step(d.Clock.Now(), e))
	r.wake = g.NextTick()
	switch g.Phase() {
	case gang.PhaseEnded:
		d.finish(s, r)
	case gang.PhaseReady:
		d.claim(s, r)
	}
}

// finish ends an attempt: it releases the capacity, then decides between an outcome and another attempt.
func (d *Dispatcher) finish(s *board.State, r *run) {
	g := r.gang
	r.gang, r.wake = nil, time.Time{}
	if result := g.Result(); result == gang.ResultDone || result == gang.ResultFailed {
		s.Queue.RecordServiceTime(r.request.Organisation, r.request.Shape, d.Clock.Since(r.placedAt))
	}
	d.release(s, r)
	// An attempt whose members all confirmed that they never started has not run, although starts were issued.
	if g.StartIssued() && g.Result() != gang.ResultNeverStarted {
		r.started++
	}
	if g.Result() != gang.ResultDone && g.Result() != gang.ResultFailed {
		for _, name := range r.distinctWorkers() {
			s.Breaker.RecordInconclusive(name, r.key())
		}
	}
	switch g.Result() {
	case gang.ResultDone:
		d.finishDone(s, r, g)
	case gang.ResultFailed:
		d.finishFailed(s, r, g)
	case gang.ResultPreempted:
		d.finishPreempted(s, r, g)
	case gang.ResultNeverStarted:
		d.finishNeverStarted(s, r, g)
	default:
		d.finishUnknown(s, r, g)
	}
}

func (d *Dispatcher) finishDone(s *board.State, r *run, g *gang.Gang) {
	for _, name := range r.distinctWorkers() {
		s.Breaker.RecordSuccess(name, r.key())
	}
	d.settleClaim(r, job.Done)
	d.end(s, r, job.Outcome{Key: r.key(), Result: job.Done, Answer: g.Answer(), Attempts: r.started})
}

// finishFailed retries a failed idempotent request on other workers while its failures and the retry budget allow.
func (d *Dispatcher) finishFailed(s *board.State, r *run, g *gang.Gang) {
	now := d.Clock.Now()
	r.failures++
	for _, name := range r.blamed(g) {
		s.Breaker.RecordFailure(now, name, r.key())
	}
	r.avoid = append(r.avoid, r.blamed(g)...)
	if r.request.Idempotent && r.known && !r.cancelled && r.failures < maxFailures && s.Retries.TryRetry() {
		d.Metrics.Add(metrics.AttemptsRetried, 1)
		d.delay(r, refusedDelay)
		return
	}
	d.settleClaim(r, job.Done)
	d.end(s, r, job.Outcome{
		Key: r.key(), Result: job.Done, Code: job.CodeTaskFailed, Detail: g.Detail(), Attempts: r.started,
	})
}

// blamed returns the workers that ended an attempt, or all of its workers when none can be singled out.
func (r *run) blamed(g *gang.Gang) []string {
	if names := g.FailedWorkers(); len(names) > 0 {
		return names
	}
	return r.distinctWorkers()
}

// finishPreempted makes the run wait for capacity again. A run that was cancelled meanwhile ends, and so does one
// without a payload, whose receiver sends the request again.
func (d *Dispatcher) finishPreempted(s *board.State, r *run, g *gang.Gang) {
	d.Metrics.Add(metrics.AttemptsPreempted, 1)
	if r.cancelled || !r.known {
		d.end(s, r, job.NewUnknown(r.key(), g.Code(), g.Detail()))
		return
	}
	d.enqueue(s, r)
}

// finishNeverStarted tries again later, since nothing ran.
func (d *Dispatcher) finishNeverStarted(s *board.State, r *run, g *gang.Gang) {
	if r.cancelled {
		d.settleClaim(r, job.NotRun)
		d.end(s, r, job.NewNotRun(r.key(), g.Code(), g.Detail(), retryAfter(g.Code())))
		return
	}
	if r.phase == phaseResolving {
		return
	}
	delay := storeDelay
	if g.Code() == job.CodeNoRack {
		d.Metrics.Add(metrics.HoldsRefused, 1)
		delay = d.refusalDelay(r)
	}
	if g.Code() == job.CodeWorkerLost {
		r.avoid = append(r.avoid, r.blamed(g)...)
	}
	d.delay(r, delay)
}

// retryAfter is the hint for a request that was cancelled with the code.
func retryAfter(code job.Code) job.Duration {
	if code == job.CodeStoreUnavailable {
		return retryHint
	}
	return 0
}

// refusalDelay grows with the number of attempts and is jittered, so that two owners that contend for one rack do not
// collide again and again.
func (d *Dispatcher) refusalDelay(r *run) time.Duration {
	delay := min(refusedDelay<<min(r.attempt, 6), maxDelay)
	return delay/2 + time.Duration(d.random.Int64N(int64(delay)))
}

// finishUnknown retries an idempotent request; one that is not idempotent may have run and is never retried.
func (d *Dispatcher) finishUnknown(s *board.State, r *run, g *gang.Gang) {
	r.avoid = append(r.avoid, r.blamed(g)...)
	if r.request.Idempotent && r.known && !r.cancelled && s.Retries.TryRetry() {
		d.Metrics.Add(metrics.AttemptsRetried, 1)
		d.delay(r, refusedDelay)
		return
	}
	d.settleClaim(r, job.Unknown)
	code := g.Code()
	if code == job.CodeOwnerLost {
		// Receivers take this code for a rack that has moved, and ask again until the deadline.
		code = job.CodeWorkerLost
	}
	outcome := job.NewUnknown(r.key(), code, g.Detail())
	outcome.Attempts = r.started
	d.end(s, r, outcome)
}

// end records the outcome and tells the waiters. "Not run" becomes "unknown" when an earlier attempt was started.
func (d *Dispatcher) end(s *board.State, r *run, outcome job.Outcome) {
	if outcome.Result == job.NotRun && r.started > 0 {
		outcome = job.NewUnknown(r.key(), outcome.Code, "an attempt was started and has no answer: "+outcome.Detail)
		outcome.Attempts = r.started
	}
	s.Queue.Remove(r.key())
	s.Cluster.CancelPending(r.key())
	r.phase, r.outcome, r.endedAt = phaseEnded, outcome, d.Clock.Now()
	r.request.Payload = nil
	d.kept += len(outcome.Answer)
	d.notify(r, outcome)
}

func (d *Dispatcher) notify(r *run, outcome job.Outcome) {
	for _, w := range r.waiters {
		w <- outcome
	}
	r.waiters = nil
}

// move gives a run up because its rack has another owner. Its waiters send the request there. A run without a start
// is not run here any more, so its holds are dropped.
func (d *Dispatcher) move(s *board.State, r *run) {
	s.Queue.Remove(r.key())
	s.Cluster.CancelPending(r.key())
	outcome := job.NewNotRun(r.key(), job.CodeOwnerLost, "the rack has another owner", retryHint)
	if r.started > 0 || r.gang != nil && r.gang.StartIssued() {
		outcome = job.NewUnknown(r.key(), job.CodeOwnerLost, "the rack has another owner, who goes on with the request")
	}
	if r.gang != nil && !r.gang.StartIssued() {
		d.execute(r, r.gang.Step(d.Clock.Now(), gang.Cancel{Code: job.CodeOwnerLost}))
	}
	d.release(s, r)
	d.drop(r, outcome)
}

// drop tells the waiters and forgets the run, so that a caller that asks again gets a new one.
func (d *Dispatcher) drop(r *run, outcome job.Outcome) {
	d.notify(r, outcome)
	r.phase = phaseEnded
	delete(d.runs, r.key())
}

// forget drops an ended run and lets its workers drop the answer.
func (d *Dispatcher) forget(r *run) {
	delete(d.runs, r.key())
	d.kept -= len(r.outcome.Answer)
	if r.outcome.Result == job.Done {
		d.acknowledge(r)
	}
}

// trim drops the oldest answers beyond the bound. Their workers keep them, so that a retry can fetch them again.
func (d *Dispatcher) trim() {
	if d.kept <= d.MaxKept {
		return
	}
	var ended []*run
	for _, r := range d.runs {
		if r.phase == phaseEnded && len(r.outcome.Answer) > 0 {
			ended = append(ended, r)
		}
	}
	slices.SortFunc(ended, func(a, b *run) int { return a.endedAt.Compare(b.endedAt) })
	for _, r := range ended {
		if d.kept <= d.MaxKept {
			return
		}
		delete(d.runs, r.key())
		d.kept -= len(r.outcome.Answer)
	}
}

func (d *Dispatcher) delay(r *run, wait time.Duration) {
	r.phase, r.retryAt = phaseDelayed, d.Clock.Now().Add(wait)
}

// avoids returns the workers that the next attempt must not use: those that have failed or, when too few others are left
// here for another attempt, those of the last failure, or none.
func (d *Dispatcher) avoids(r *run) []string {
	size := len(r.distinctWorkers())
	last := r.avoid[max(0, len(r.avoid)-size):]
	for _, names := range [][]string{r.avoid, last} {
		names = slices.Compact(slices.Sorted(slices.Values(names)))
		if len(d.watchers)-len(names) >= max(1, size) {
			return names
		}
	}
	return nil
}
