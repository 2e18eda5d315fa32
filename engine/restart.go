package engine

import (
	"time"

	"github.com/pkg/errors"
)

// incarnationSource is what has reported an incarnation of a worker.
type incarnationSource string

const (
	// reportedByWorker means that the worker has reported it in a response.
	reportedByWorker incarnationSource = "worker"
	// reportedByEntry means that only an entry in the store reports it, which may be of another writer.
	reportedByEntry incarnationSource = "entry"
)

// applyIncarnation applies that a worker has restarted: none of its earlier runs exists any more, but calls that were meant for the
// earlier incarnation may still be executed. An entry alone ends no run.
func (p *Planner) applyIncarnation(w *workerState, incarnation int64, source incarnationSource) {
	if incarnation <= w.incarnation {
		// The registration in the store may be older than the worker's latest response.
		return
	}
	if w.incarnation == 0 {
		w.incarnation, w.incarnationSince = incarnation, p.Clock.Now()
		return
	}
	p.replaceIncarnation(w, incarnation, source)
}

// replaceIncarnation replaces the incarnation of a worker by the next one.
func (p *Planner) replaceIncarnation(w *workerState, incarnation int64, source incarnationSource) {
	earlier := w.incarnation
	w.incarnation, w.incarnationSince = incarnation, p.Clock.Now()
	p.boundLeasesAfterRestart(w, source)
	p.raiseFence(w)
	p.Log.Event("worker-reborn", "worker", w.id(), "source", source, "runs", len(w.runs), "born", incarnation, "before", earlier, "leases-end", w.leasesEndBy, "fence", w.fence)
	p.resetIncarnation(w)
	if source == reportedByWorker {
		p.setOrphans(w, nil)
	}
	for _, r := range w.runs {
		switch {
		case r.unconfirmed && p.Clock.Since(r.startSentAt) < maxOrderDelay:
			// The new incarnation knows nothing of a stop that the one before has confirmed.
			r.phase, r.incarnation, r.stopSentAt = runDoubtful, 0, time.Time{}
			p.stopGroup(r.group, "its worker has restarted")
		case r.phase != runRecorded && p.mayHaveLateStart(r):
			r.phase, r.incarnation = runDoubtful, 0
		case r.incarnation != 0 && source == reportedByEntry:
			r.phase, r.incarnation = runDoubtful, 0
		case r.incarnation != 0:
			p.endRun(r, EndLapsed, "", basisRestarted)
		default:
			// The run may belong to the new incarnation, because the registration can be older than the run. The next poll
			// shows it.
		}
	}
}

// resetIncarnation forgets what an incarnation of a worker has reported, but for its orphan runs.
func (p *Planner) resetIncarnation(w *workerState) {
	w.incarnationChanges++
	w.lastEnd, w.acknowledgedEnd, w.unstoredEnds = 0, 0, 0
	w.fenced, w.draining, w.reportedDraining, w.drainEnd, w.pollOverdueAt = false, false, false, time.Time{}, time.Time{}
	w.moreEnds = false
	w.clock, w.clockAt = 0, time.Time{}
	clear(w.inferredEnds)
	// A poll in flight was probably lost with the earlier incarnation.
	w.polling, w.nextPoll = false, p.Clock.Now()
}

// withdrawIncarnation records that a worker has not restarted, although an entry reported a later incarnation: the entry was of another writer.
// No run was started for that incarnation, since a start needs the worker's own word.
func (p *Planner) withdrawIncarnation(w *workerState, incarnation int64) {
	p.Log.Event("worker-not-reborn", "worker", w.id(), "runs", len(w.runs), "born", incarnation, "withdrawn", w.incarnation)
	w.incarnation, w.incarnationSince = incarnation, p.Clock.Now()
	p.resetIncarnation(w)
}

// correctIncarnation withdraws an incarnation that only an entry has reported if an earlier one responds to a call that was sent since.
func (p *Planner) correctIncarnation(w *workerState, reported int64, sent time.Time) {
	if reported != 0 && reported >= w.reportedIncarnation && reported < w.incarnation && sent.After(w.incarnationSince) {
		p.withdrawIncarnation(w, reported)
	}
}

// applyEarlierStartTime applies that a worker has restarted after its time of day went back: it reports a lower incarnation in the response to
// a call that was sent after the higher one had answered. Load pattern: the time of day of a machine is corrected by seconds, and its worker
// restarts before that time has passed.
func (p *Planner) applyEarlierStartTime(w *workerState, reported int64, sent time.Time) {
	if reported == 0 || reported >= w.reportedIncarnation || w.incarnation != w.reportedIncarnation || !sent.After(w.identifiedAt) {
		return
	}
	p.Log.Event("worker-start-time-back", "worker", w.id(), "runs", len(w.runs), "born", reported, "before", w.reportedIncarnation)
	w.supersededIncarnation, w.reportedIncarnation = w.reportedIncarnation, reported
	p.replaceIncarnation(w, reported, reportedByWorker)
	if entry := w.outdated; entry != nil && entry.registration.Incarnation == reported {
		w.outdated = nil
		p.applyRegistration(w, entry.registration, entry.revision)
	}
}

// hasEnded reports whether an incarnation is one that has ended: an earlier one than the worker has reported, or, after its time of day went
// back, the one before.
func (w *workerState) hasEnded(incarnation int64) bool {
	return incarnation != 0 && (incarnation < w.reportedIncarnation || incarnation == w.supersededIncarnation)
}

// mayHaveLateStart reports whether an order that was sent to the run's worker, to start the run or an earlier one of its task or gang, may
// still be executed: one that got no response, or one of an earlier planner, which may have got none.
func (p *Planner) mayHaveLateStart(r *run) bool {
	now := p.Clock.Now()
	return r.worker.mayStartLate(now, r.group.name()) || (r.placementChange == 0 || r.number > 1) && now.Sub(p.started) < maxOrderDelay
}

// raiseFence raises the fencing token of orders to a worker above that of all orders to its earlier incarnations. The newest commit is
// newer than the orders that followed it: each start follows the commit of its placement. If there was none since, the next revision
// serves, which is no successor's: the planner's key has to be removed before another one is written. It serves once until the next
// commit.
func (p *Planner) raiseFence(w *workerState) {
	if w.fence < p.lastRevision {
		w.fence = p.lastRevision
	} else {
		w.fence = p.lastRevision + 1
	}
}

// boundLeasesAfterRestart records a sign of a restart, and bounds the leases that a new incarnation of a worker may have, or get, from orders
// that were sent before it was known. Their ends were meant for the clock of the earlier one and may be far ahead on the new one, so only the
// longest lease bounds them, from the latest time at which they may be executed. Further signs do not move the bound: since the first one no
// lease was extended, and starts were at most repeated. Load pattern: a worker that cannot be reached writes its entry again and again.
func (p *Planner) boundLeasesAfterRestart(w *workerState, source incarnationSource) {
	w.restartSignAt = p.Clock.Now()
	if w.restartSuspectedAt.IsZero() {
		w.restartSuspectedAt = w.restartSignAt
	}
	until := w.leaseOrderedAt.Add(p.lateRunBound())
	if source == reportedByEntry {
		w.boundAnyLeases(until)
		return
	}
	w.boundLeases(until)
}

// lateRunBound returns how long after its sending an order without a response may keep a run at a worker: it is executed late, and gives
// the longest lease.
func (p *Planner) lateRunBound() time.Duration {
	return maxOrderDelay + p.leaseBound(p.Bounds.MaxLease)
}

// runEndsBy returns the time after which the run has certainly ended, and what shows it. A run that the worker's own incarnation has, and that no
// late order can start again, ends by the leases of that incarnation, whatever entries report.
func (p *Planner) runEndsBy(r *run) (time.Time, endBasis) {
	w := r.worker
	late, ok := w.lateStarts[r.group.name()]
	// After a sign of a restart, late polls may renew the lease of a run that a late start has begun.
	lateRun := func(sent time.Time) bool { return w.restartSuspectedAt.Sub(sent) < p.lateRunBound() }
	mayBeLate := r.incarnation == 0 || ok && lateRun(late.sent) || (r.placementChange == 0 || r.number > 1) && lateRun(p.started)
	switch {
	case !mayBeLate:
		return w.reportedLeasesEndBy, basisLeaseOver
	case p.isGone(w):
		// Only leases that were granted to an incarnation that had answered are waited for, and the last order.
		if until := latest(w.grantedLeasesEndBy, w.leaseOrderedAt.Add(maxOrderDelay)); until.Before(w.leasesEndBy) {
			return until, basisGone
		}
	}
	return w.leasesEndBy, basisLeaseOver
}

// noticeRestart records that a worker has restarted whose new incarnation is not known yet: its clock has gone back.
func (p *Planner) noticeRestart(w *workerState, clock WorkerTime) {
	before := w.clock
	p.suspectRestart(w, reportedByWorker)
	p.Log.Event("worker-clock-back", "worker", w.id(), "clock", time.Duration(clock), "before", time.Duration(before), "leases-end", w.leasesEndBy)
}

// suspectRestart records that a worker may have restarted. The response to the next poll reports the incarnation, and applyIncarnation does
// the rest.
func (p *Planner) suspectRestart(w *workerState, source incarnationSource) {
	p.boundLeasesAfterRestart(w, source)
	w.fenced, w.polling, w.nextPoll = false, false, p.Clock.Now()
	w.clock, w.clockAt = 0, time.Time{}
	p.scheduleContact(w)
}

// recordFenced records that the worker refuses orders of earlier planners, and those that were meant for earlier incarnations. No lease
// that such an order has given can last longer than the longest lease from now.
func (p *Planner) recordFenced(w *workerState) {
	if !w.restartSuspectedAt.IsZero() {
		p.Log.Event("restart-fenced", "worker", w.id(), "born", w.incarnation, "fence", w.fence, "after-sign", p.Clock.Since(w.restartSuspectedAt),
			"may-start-late", p.mayCarryOutStart(w, p.Clock.Now()))
	}
	w.fenced, w.restartSuspectedAt = true, time.Time{}
	if bound := p.Clock.Now().Add(p.leaseBound(p.Bounds.MaxLease)); bound.Before(w.leasesEndBy) {
		w.leasesEndBy = bound
	}
	if w.leasesEndBy.Before(w.reportedLeasesEndBy) {
		w.reportedLeasesEndBy = w.leasesEndBy
	}
	p.planNeeded = true
}

// applyOrderStatus returns what the response to an order reports of the present incarnation of the worker. It has the worker's clock, but not
// the incarnation: the clock may be that of an earlier one, or of a new one that is not known yet.
func (p *Planner) applyOrderStatus(w *workerState, fence int64, sent time.Time, s WorkerStatus) WorkerStatus {
	switch {
	case s.Incarnation != 0 || s.Clock == 0:
	case fence != w.fence:
		s.Clock = 0
	case w.clock != 0 && w.clockAt.Before(sent) && s.Clock < w.earliestWorkerTime(sent)-clockResolution:
		p.noticeRestart(w, s.Clock)
		s.Clock = 0
	}
	return s
}

// errOutdatedRefusal replaces a refusal that reports nothing of the worker or of the term.
var errOutdatedRefusal = errors.New("refused because of an earlier address or an earlier incarnation of the worker")

// applyRefusal returns the error of a call that was sent to the worker at the given time. A refusal by another worker shows that
// this one no longer exists only if it was called at its present address and has not answered since. A refusal of the fencing token
// shows that there is another planner only if it is the present token.
func (p *Planner) applyRefusal(w *workerState, t Target, fence int64, sent time.Time, err error) error {
	var refused *ErrRefused
	if !errors.As(err, &refused) {
		return err
	}
	if refused.Reason == RefusedIncarnation && (t.Address != w.registration.Address || w.lastAnswer.After(sent)) ||
		refused.Reason == RefusedFence && fence < w.fence {
		return errOutdatedRefusal
	}
	return &ErrRefused{Reason: refused.Reason, Status: p.applyOrderStatus(w, fence, sent, refused.Status)}
}
