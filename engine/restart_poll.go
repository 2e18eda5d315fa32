package engine

import (
	"time"

	"github.com/pkg/errors"
)

// A start that got no response may be carried out by a later incarnation of the worker than the one it was sent to. Only an incarnation that has
// answered a poll with the present fencing token refuses it. So a worker that may carry out a start late is polled all the time, and often while it
// does not answer: what counts is the time from the start of an incarnation to its first response.

const (
	// restartPollDelay is the pause after a failed poll of a worker that may carry out a start late, times the number of such workers that do not
	// answer; and what the other intervals of the polls of such workers grow by for each of them. Polls of each of these kinds come to at most 200 a
	// second beyond those that other workers get.
	restartPollDelay = 5 * time.Millisecond
	// minRestartPollWait is how long such a worker waits for a run to end before it responds to a poll, unless there are many of them. A machine that
	// has lost power resets no connection, and may be back within 1.5 s.
	minRestartPollWait = 500 * time.Millisecond
)

// inheritOrderedWorkers records the workers to which earlier planners may have sent a start of the job that can still be carried out, also if the run
// has ended or the job has: an earlier planner may have been lost before it could record that a start got no response.
func (p *Planner) inheritOrderedWorkers(j *jobState) {
	if p.Clock.Since(p.started) >= maxOrderDelay || j.state().Ended() && p.Clock.Since(j.endedSince) >= p.lateRunBound() {
		return
	}
	progress := &j.record.Progress
	for _, steps := range progress.Tasks {
		for _, tasks := range steps {
			for i := range tasks {
				if tasks[i].Worker != "" {
					p.orderedBefore[tasks[i].Worker] = true
				}
			}
		}
	}
	for _, s := range progress.LateStarts {
		p.orderedBefore[s.Worker] = true
	}
	p.startHolders = max(p.startHolders, len(p.orderedBefore))
}

// mayCarryOutStart reports whether the worker, or a later incarnation of it, may still carry out a start order that got no response, or that an
// earlier planner may have sent.
func (p *Planner) mayCarryOutStart(w *workerState, now time.Time) bool {
	return w.mayStartAny(now) || now.Sub(p.started) < maxOrderDelay && p.orderedBefore[w.id()]
}

// restartPollDue reports whether the worker is to be polled because it may carry out a start late, whatever has become of the run, and also without
// the term. While ends that it lists are being stored, it responds at once, and is polled less often.
func (p *Planner) restartPollDue(w *workerState) bool {
	now := p.Clock.Now()
	return p.mayCarryOutStart(w, now) && (w.unstoredEnds == 0 || now.Sub(w.identifiedSentAt) >= p.restartPollInterval(immediatePollInterval))
}

// countStartHolders counts the workers that may carry out a start late.
func (p *Planner) countStartHolders() {
	now := p.Clock.Now()
	p.startHolders, p.silentHolders = 0, 0
	for _, w := range p.workers {
		if !p.mayCarryOutStart(w, now) {
			continue
		}
		p.startHolders++
		if !w.failingSince.IsZero() {
			p.silentHolders++
		}
	}
}

// retryDelay returns the pause after a poll of a worker that failed with the given error.
// Load pattern: a worker crashes, is back after some 100 ms, and carries out at once what it was sent before.
func (p *Planner) retryDelay(w *workerState, err error) time.Duration {
	var refused *ErrRefused
	if !p.mayCarryOutStart(w, p.Clock.Now()) || w.fenced && errors.As(err, &refused) {
		return pollRetryDelay
	}
	return min(pollRetryDelay, restartPollDelay*time.Duration(max(1, p.silentHolders)))
}

// raiseFenceOfSilent raises the fencing token for a worker that does not answer and may carry out a start late. Its next incarnation refuses the start from
// the first poll on that it carries out, also if no response arrives. Load pattern: responses of a worker are lost, and it restarts.
func (p *Planner) raiseFenceOfSilent(w *workerState, now time.Time) {
	if w.failingSince.IsZero() || w.fence > w.startFence || !p.mayCarryOutStart(w, now) || w.hasStartInFlight() {
		return
	}
	before := w.fence
	p.raiseFence(w)
	if w.fence > before {
		p.Log.Event("silent-worker-fenced", "worker", w.id(), "born", w.incarnation, "fence", w.fence, "before", before, "starts", w.startFence)
	}
}

// hasStartInFlight reports whether an order to start a run is in flight, which the worker would refuse if it learnt of a higher token before.
func (w *workerState) hasStartInFlight() bool {
	for _, r := range w.runs {
		if r.startInFlight {
			return true
		}
	}
	return false
}

// restartPollInterval returns how long polls of workers that may carry out a start late wait, are waited for, or pause: the given time, or longer if there
// are many such workers. Otherwise the polls would add to the load of a planner that gets responses late because of its load.
// Load pattern: a planner takes over 1,000 workers that all have had a task, and stores the ends that they list.
func (p *Planner) restartPollInterval(least time.Duration) time.Duration {
	return max(least, restartPollDelay*time.Duration(p.startHolders))
}

// restartPollTimeout returns how long after its wait a poll of a worker that may carry out a start late counts as overdue. The next one is sent beside
// it.
func (p *Planner) restartPollTimeout(w *workerState) time.Duration {
	if w.failingSince.IsZero() {
		return p.restartPollInterval(restartAnswerTime)
	}
	return max(restartAnswerTime, restartPollDelay*time.Duration(p.silentHolders))
}
