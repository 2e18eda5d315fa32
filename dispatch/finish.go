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
	// initialRetryDelay is the pause before a failed attempt is retried. After a refused hold it doubles with each attempt,
	// up to maxRetryDelay.
	initialRetryDelay = 20 * time.Millisecond
	maxRetryDelay     = time.Second
	// neverStartedRetryDelay is the pause after an attempt that never started for a reason other than a refused hold, such
	// as a failed claim.
	neverStartedRetryDelay = 500 * time.Millisecond
	// defaultRetryAfter is the retry time that is reported to callers when the system has no better estimate.
	defaultRetryAfter = job.Duration(time.Second)
)

// stepGang passes one event to a gang and executes the commands that result. It finishes the attempt when the gang has
// ended, and claims it when the gang is ready. Events of a gang that is no longer the run's are ignored.
func (d *Dispatcher) stepGang(s *board.State, r *run, g *gang.Gang, e gang.Event) {
	if r.gang != g || g == nil || r.phase == phaseEnded {
		return
	}
	d.executeCommands(r, g.Step(d.Clock.Now(), e))
	r.nextTick = g.NextTick()
	switch g.Phase() {
	case gang.PhaseEnded:
		d.finishAttempt(s, r)
	case gang.PhaseReady:
		d.startClaim(s, r)
	}
}

// finishAttempt releases the capacity of an ended attempt, then ends the run with an outcome or prepares another attempt.
func (d *Dispatcher) finishAttempt(s *board.State, r *run) {
	g := r.gang
	r.gang, r.nextTick = nil, time.Time{}
	if result := g.Result(); result == gang.ResultDone || result == gang.ResultFailed {
		s.Queue.RecordServiceTime(r.request.Organisation, r.request.Shape, d.Clock.Since(r.placedAt))
	}
	d.releaseCapacity(s, r)
	// An attempt whose members have all confirmed that they never started did not run, although starts were issued.
	if g.StartIssued() && g.Result() != gang.ResultNeverStarted {
		r.startedAttempts++
	}
	if g.Result() != gang.ResultDone && g.Result() != gang.ResultFailed {
		r.recordInconclusive(s)
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
	d.endRun(s, r, job.Outcome{Key: r.key(), Result: job.Done, Answer: g.Answer(), Attempts: r.startedAttempts})
}

// finishFailed retries a failed idempotent request on other workers while maxFailures and the retry budget permit it.
func (d *Dispatcher) finishFailed(s *board.State, r *run, g *gang.Gang) {
	now := d.Clock.Now()
	r.failedAttempts++
	for _, name := range r.failedWorkers(g) {
		s.Breaker.RecordFailure(now, name, r.key())
	}
	// The other workers of the gang have shown nothing.
	r.recordInconclusive(s)
	r.avoidWorkers = append(r.avoidWorkers, r.failedWorkers(g)...)
	if r.request.Idempotent && r.requestKnown && !r.cancelled && r.failedAttempts < maxFailures && s.Retries.TryRetry() {
		d.Metrics.Add(metrics.AttemptsRetried, 1)
		d.scheduleRetry(r, initialRetryDelay)
		return
	}
	d.settleClaim(r, job.Done)
	d.endRun(s, r, job.Outcome{
		Key: r.key(), Result: job.Done, Code: job.CodeTaskFailed, Detail: g.Detail(), Attempts: r.startedAttempts,
	})
}

// recordInconclusive records that the present attempt no longer tests the workers on which it has neither failed nor succeeded.
func (r *run) recordInconclusive(s *board.State) {
	for _, name := range r.distinctWorkers() {
		s.Breaker.RecordInconclusive(name, r.key())
	}
}

// failedWorkers returns the workers that made an attempt fail, or all of its workers when the gang names none.
func (r *run) failedWorkers(g *gang.Gang) []string {
	if names := g.FailedWorkers(); len(names) > 0 {
		return names
	}
	return r.distinctWorkers()
}

// finishPreempted returns the run to the queue. A run that was cancelled in the meantime ends, and so does an adopted run
// without a payload, whose receiver sends the request again.
func (d *Dispatcher) finishPreempted(s *board.State, r *run, g *gang.Gang) {
	d.Metrics.Add(metrics.AttemptsPreempted, 1)
	if r.cancelled || !r.requestKnown {
		d.endRun(s, r, job.NewUnknown(r.key(), g.Code(), g.Detail()))
		return
	}
	d.enqueue(s, r)
}

// finishNeverStarted retries the run after a delay, since no task ran. A cancelled run ends.
func (d *Dispatcher) finishNeverStarted(s *board.State, r *run, g *gang.Gang) {
	if r.cancelled {
		d.settleClaim(r, job.NotRun)
		d.endRun(s, r, job.NewNotRun(r.key(), g.Code(), g.Detail(), cancelRetryAfter(g.Code())))
		return
	}
	if r.phase == phaseResolving {
		return
	}
	delay := neverStartedRetryDelay
	if g.Code() == job.CodeNoRack {
		d.Metrics.Add(metrics.HoldsRefused, 1)
		delay = d.refusalDelay(r)
	}
	if g.Code() == job.CodeWorkerLost {
		r.avoidWorkers = append(r.avoidWorkers, r.failedWorkers(g)...)
	}
	d.scheduleRetry(r, delay)
}

// cancelRetryAfter returns the retry time that is reported for a request that was cancelled with the code.
func cancelRetryAfter(code job.Code) job.Duration {
	if code == job.CodeStoreUnavailable {
		return defaultRetryAfter
	}
	return 0
}

// refusalDelay returns the delay after a refused hold. It grows exponentially with the number of attempts and has jitter,
// so that two owners that contend for one rack do not collide repeatedly.
func (d *Dispatcher) refusalDelay(r *run) time.Duration {
	delay := min(initialRetryDelay<<min(r.attempt, 6), maxRetryDelay)
	return delay/2 + time.Duration(d.random.Int64N(int64(delay)))
}

// finishUnknown retries an idempotent request. A request that is not idempotent may have run and is never retried.
func (d *Dispatcher) finishUnknown(s *board.State, r *run, g *gang.Gang) {
	r.avoidWorkers = append(r.avoidWorkers, r.failedWorkers(g)...)
	if r.request.Idempotent && r.requestKnown && !r.cancelled && s.Retries.TryRetry() {
		d.Metrics.Add(metrics.AttemptsRetried, 1)
		d.scheduleRetry(r, initialRetryDelay)
		return
	}
	d.settleClaim(r, job.Unknown)
	code := g.Code()
	if code == job.CodeOwnerLost {
		// Receivers interpret CodeOwnerLost as a rack that has another owner, and would retry until the deadline.
		code = job.CodeWorkerLost
	}
	outcome := job.NewUnknown(r.key(), code, g.Detail())
	outcome.Attempts = r.startedAttempts
	d.endRun(s, r, outcome)
}

// endRun records the outcome and sends it to the waiters. "Not run" becomes "unknown" when an earlier attempt was started.
func (d *Dispatcher) endRun(s *board.State, r *run, outcome job.Outcome) {
	if outcome.Result == job.NotRun && r.startedAttempts > 0 {
		outcome = job.NewUnknown(r.key(), outcome.Code, "an attempt was started and has no answer: "+outcome.Detail)
		outcome.Attempts = r.startedAttempts
	}
	s.Queue.Remove(r.key())
	s.Cluster.CancelPending(r.key())
	r.phase, r.outcome, r.endedAt = phaseEnded, outcome, d.Clock.Now()
	r.request.Payload = nil
	d.keptBytes += len(outcome.Answer)
	d.notifyWaiters(r, outcome)
}

func (d *Dispatcher) notifyWaiters(r *run, outcome job.Outcome) {
	for _, w := range r.waiters {
		w <- outcome
	}
	r.waiters = nil
}

// releaseToNewOwner removes a run whose rack has another owner. Its waiters send the request to that owner. If no start
// was issued, the current attempt will not run, so its holds are released.
func (d *Dispatcher) releaseToNewOwner(s *board.State, r *run) {
	s.Queue.Remove(r.key())
	s.Cluster.CancelPending(r.key())
	outcome := job.NewNotRun(r.key(), job.CodeOwnerLost, "the rack has another owner", defaultRetryAfter)
	if r.startedAttempts > 0 || r.gang != nil && r.gang.StartIssued() {
		outcome = job.NewUnknown(r.key(), job.CodeOwnerLost, "the rack has another owner, who goes on with the request")
	}
	if r.gang != nil && !r.gang.StartIssued() {
		d.executeCommands(r, r.gang.Step(d.Clock.Now(), gang.Cancel{Code: job.CodeOwnerLost}))
	}
	d.releaseCapacity(s, r)
	r.recordInconclusive(s)
	d.removeRun(r, outcome)
}

// removeRun sends the outcome to the waiters and removes the run, so that a retry of the request creates a new one.
func (d *Dispatcher) removeRun(r *run, outcome job.Outcome) {
	d.notifyWaiters(r, outcome)
	r.phase = phaseEnded
	delete(d.runs, r.key())
}

// removeEnded removes an ended run and tells its workers that they may delete the answer.
func (d *Dispatcher) removeEnded(r *run) {
	delete(d.runs, r.key())
	d.keptBytes -= len(r.outcome.Answer)
	if r.outcome.Result == job.Done {
		d.acknowledge(r)
	}
}

// trimAnswers removes the runs with the oldest answers while the answers exceed MaxKeptAnswerBytes. The workers keep these
// answers, so that a retry can fetch them again.
func (d *Dispatcher) trimAnswers() {
	if d.keptBytes <= d.MaxKeptAnswerBytes {
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
		if d.keptBytes <= d.MaxKeptAnswerBytes {
			return
		}
		delete(d.runs, r.key())
		d.keptBytes -= len(r.outcome.Answer)
	}
}

// scheduleRetry delays the run until its next attempt.
func (d *Dispatcher) scheduleRetry(r *run, wait time.Duration) {
	r.phase, r.retryAt = phaseDelayed, d.Clock.Now().Add(wait)
}

// workersToAvoid returns the workers that the next attempt must not use: all on which an attempt failed or, if too few
// other workers would be left, those of the last failure or, if still too few would be left, none.
func (d *Dispatcher) workersToAvoid(r *run) []string {
	size := len(r.distinctWorkers())
	last := r.avoidWorkers[max(0, len(r.avoidWorkers)-size):]
	for _, names := range [][]string{r.avoidWorkers, last} {
		names = slices.Compact(slices.Sorted(slices.Values(names)))
		if len(d.watchers)-len(names) >= max(1, size) {
			return names
		}
	}
	return nil
}
