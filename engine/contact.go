package engine

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"clementinepier/metrics"
	"clementinepier/workload"
)

const (
	// pollWait is how long a worker waits for a run to end before it responds to a poll. Workers accept at most 2 s.
	pollWait = 2 * time.Second
	// pollTimeout bounds a poll, in addition to its wait.
	pollTimeout = 700 * time.Millisecond
	// pollRetryDelay is the pause after a failed poll.
	pollRetryDelay = 250 * time.Millisecond
	// renewInterval is how often a lease is renewed while the ended runs that a worker lists cannot be stored.
	renewInterval = time.Second
	// stopMargin is added to the time that a stop takes, to cover the transmission of the responses.
	stopMargin = 150 * time.Millisecond
	// immediatePollInterval is the pause between polls without a wait.
	immediatePollInterval = 100 * time.Millisecond
	// otherServerPollDelay is the pause between polls at an address where another server may be.
	otherServerPollDelay = time.Second
	// recentIdentification is how long ago a worker may have reported its incarnation when ends are acknowledged to it, if it may still
	// carry out a start: it may have restarted since, and its first ends may be of that run.
	recentIdentification = 20 * time.Millisecond
)

// recordContact applies the status from a worker's response. It reports false, and applies nothing, if the response is from
// an earlier incarnation of the worker: responses can arrive out of order, above all after this process was paused.
func (p *Planner) recordContact(w *workerState, status WorkerStatus) bool {
	now := p.Clock.Now()
	if status.Incarnation != 0 && status.Incarnation < w.incarnation || w.hasEnded(status.Incarnation) {
		p.Log.Event("answer-outdated", "worker", w.id(), "born", status.Incarnation, "known", w.incarnation)
		// The response to a later call shows whether the worker's time of day went back before it restarted.
		w.nextPoll = now.Add(immediatePollInterval)
		p.scheduleContact(w)
		return false
	}
	if !w.failingSince.IsZero() {
		p.Log.Event("worker-regained", "worker", w.id(), "after", now.Sub(w.failingSince))
		w.failingSince = time.Time{}
		delete(p.misdirected, w)
		p.planNeeded = true
	}
	w.lastAnswer = now
	p.scheduleContact(w)
	p.applyIncarnation(w, status.Incarnation, reportedByWorker)
	if status.Incarnation != 0 {
		w.identifiedAt = now
	}
	if status.Clock != 0 {
		w.clock, w.clockAt = status.Clock, now
	}
	w.reportedDraining = w.reportedDraining || status.Draining
	p.recordDraining(w, status.Draining, status.DrainRemaining)
	return true
}

// recordNoAnswer records that a call got no response. A worker that has responded to another call since it was sent is not
// lost.
func (p *Planner) recordNoAnswer(w *workerState, sent time.Time) {
	if w.lastAnswer.After(sent) {
		return
	}
	if w.failingSince.IsZero() {
		w.failingSince = p.Clock.Now()
		mayStartLate := p.mayCarryOutStart(w, w.failingSince)
		if mayStartLate {
			p.silentHolders++
		}
		p.Log.Event("worker-lost", "worker", w.id(), "runs", len(w.runs), "listed", w.registered, "answered", w.lastAnswer, "may-start-late", mayStartLate)
	}
}

// handleMisdirected applies that another server has refused a call at the worker's address (421 Misdirected Request). It may be there by
// mistake, or the address may be from an entry of another writer, so the refusal alone ends no run: the leases are not renewed while it lasts.
// Load pattern: a worker crashes, and another one gets its address seconds later; or a wrong server has the addresses of a failure domain for
// seconds.
func (p *Planner) handleMisdirected(w *workerState, sent time.Time) {
	switch {
	case w.registration.Address == "":
		// The worker is known to have ended.
	case w.answersAt == w.registration.Address && p.addressTaken(w):
		p.handleReplaced(w)
	default:
		if !p.misdirected[w] {
			p.misdirected[w] = true
			p.Log.Event("worker-address-refused", "worker", w.id(), "address", w.registration.Address, "runs", len(w.runs), "answered", w.lastAnswer)
		}
		p.recordNoAnswer(w, sent)
		w.nextPoll = p.Clock.Now().Add(otherServerPollDelay)
	}
}

// addressTaken reports whether another worker has reported its incarnation at the worker's address since the worker last answered there, and
// the worker may not have moved.
func (p *Planner) addressTaken(w *workerState) bool {
	if e := w.unverified; e != nil && e.registration.Incarnation == w.reportedIncarnation && e.registration.Address != w.answersAt {
		return false
	}
	for _, other := range p.workers {
		if other != w && other.answersAt == w.answersAt && other.identifiedSentAt.After(w.lastAnswer) {
			return true
		}
	}
	return false
}

// handleAddressTaken ends the runs of the workers at whose address, where calls to them were refused, the given worker has reported its
// incarnation since.
func (p *Planner) handleAddressTaken(by *workerState) {
	for w := range p.misdirected {
		if w.answersAt == by.answersAt && p.addressTaken(w) {
			p.handleReplaced(w)
		}
	}
}

// handleReplaced ends the runs of a worker whose address another worker has: calls to it are refused there, and the other one has reported its
// incarnation there. The earlier worker no longer exists, and orders to it that are still in flight are refused.
func (p *Planner) handleReplaced(w *workerState) {
	p.Log.Event("worker-replaced", "worker", w.id(), "address", w.registration.Address, "runs", len(w.runs))
	delete(p.misdirected, w)
	w.markUnregistered(p.Clock.Now())
	w.fenced, w.registration.Address, w.answersAt = false, "", ""
	p.setOrphans(w, nil)
	for _, r := range w.runs {
		p.endRun(r, EndLapsed, r.checkpoint, basisReplaced)
	}
	if entry := w.unverified; entry != nil {
		w.unverified = nil
		p.applyRegistration(w, entry.registration, entry.revision)
	}
}

// scheduleContact queues the worker for contactWorkers at the end of this pass. Each tick queues all workers, so that none
// is missed.
func (p *Planner) scheduleContact(w *workerState) {
	if !w.contactScheduled {
		w.contactScheduled = true
		p.contactQueue = append(p.contactQueue, w)
	}
}

func (p *Planner) scheduleAllContacts() {
	p.countStartHolders()
	for _, w := range p.workers {
		p.scheduleContact(w)
	}
}

// contactWorkers sends the stops and polls that are due to the workers in the contact queue.
func (p *Planner) contactWorkers() {
	now := p.Clock.Now()
	due := p.contactQueue
	p.contactQueue, p.spareContactQueue = p.spareContactQueue[:0], due
	for _, w := range due {
		w.contactScheduled = false
		p.retryStops(w)
		if w.pollOverdue(now) {
			// The response to the poll in flight seems lost.
			w.polling = false
		}
		p.queryUnverified(w, now)
		query, poll := !w.querying && p.startNeedsAnswer(w, now), !w.polling && p.needsPoll(w)
		if w.registration.Address == "" || !query && !poll {
			continue
		}
		if wait := w.nextPoll.Sub(now); wait > 0 {
			p.scheduleContactAfter(w, wait)
			continue
		}
		if query {
			p.query(w, now)
		}
		if poll {
			p.poll(w, now)
		}
	}
}

// scheduleContactAfter queues a worker for contact after a delay, unless a tick comes first.
func (p *Planner) scheduleContactAfter(w *workerState, wait time.Duration) {
	if w.contactTimerSet || wait > tickInterval {
		return
	}
	w.contactTimerSet = true
	p.Clock.AfterFunc(wait, func() {
		p.post(func() {
			w.contactTimerSet = false
			p.scheduleContact(w)
		})
	})
}

// needsPoll reports whether there is something to learn from a worker or to report to it.
func (p *Planner) needsPoll(w *workerState) bool {
	if w.unverified != nil || w.outdated != nil && !w.registered {
		return true
	}
	if p.restartPollDue(w) {
		return true
	}
	if p.suspended {
		return len(w.runs) > 0
	}
	if w.unstoredEnds > 0 {
		// The worker lists the same ends again until they are acknowledged, so it is polled only to renew its lease.
		return len(w.runs) > 0 && p.Clock.Since(w.leaseRenewedAt) > renewInterval
	}
	if !w.fenced || !w.failingSince.IsZero() {
		// A worker gets no runs until it has answered, also when none is left on it.
		return w.registered || len(w.runs) > 0
	}
	if w.lastEnd > w.acknowledgedEnd || len(w.orphans) > 0 || p.holdsLateStart(w, p.Clock.Now()) {
		// A worker that may have carried out a start late is asked until it has answered after the latest time of that.
		return true
	}
	for _, r := range w.runs {
		if r.phase != runRecorded {
			return true
		}
	}
	return false
}

// pollRequest returns the request to poll the worker with now.
func (p *Planner) pollRequest(w *workerState, now time.Time) PollRequest {
	request := PollRequest{Fence: w.fence}
	unstored := w.unstoredEnds > 0
	if p.suspended {
		// Only what the worker reports is of use: leases are not extended without the term, and ends are not acknowledged. A worker
		// does not wait as long as it lists an end.
		if w.lastEnd == w.acknowledgedEnd && w.failingSince.IsZero() {
			request.Wait = pollWait
		}
		return request
	}
	if p.mayAcknowledge(w, now) {
		request.Acknowledged = w.lastEnd
	}
	if !w.fenced || len(w.runs) > 0 && !p.mayExtendLease(w, now) {
		return request
	}
	switch {
	case len(w.runs) > 0 && w.failingSince.IsZero():
		// The lease of a worker that does not respond is not extended, so that its runs end in bounded time.
		request.Until, w.leaseRenewedAt = p.grantLease(w, p.Bounds.MaxLease), now
		request.Wait = pollWait
	case len(w.runs) == 0 && p.mayCarryOutStart(w, now):
		request.Wait = pollWait
	}
	if len(w.orphans) > 0 || !w.failingSince.IsZero() || unstored || w.moreEnds || p.hasUnconfirmedStops(w) || w.pollOverdue(now) {
		// If the last page was full, the worker may have no further ends, so a poll must not wait for one.
		request.Wait = 0
	}
	request.Wait = min(request.Wait, p.maxPollWait(w, now))
	return request
}

// maxPollWait bounds the wait of a poll so that the worker lists its runs as soon as its late starts can no longer be carried out, and that a restart
// which breaks off no poll is noticed before.
func (p *Planner) maxPollWait(w *workerState, now time.Time) time.Duration {
	wait := pollWait
	if p.mayCarryOutStart(w, now) {
		wait = min(wait, p.restartPollInterval(minRestartPollWait))
	}
	for _, s := range w.lateStarts {
		if until, _ := p.lateRunEnd(w, s); now.Before(until) {
			wait = min(wait, max(0, s.sent.Add(maxOrderDelay).Sub(now)))
		}
	}
	return (wait + time.Millisecond - 1).Truncate(time.Millisecond)
}

// pollOverdue reports whether the response to the poll in flight counts as lost.
func (w *workerState) pollOverdue(now time.Time) bool {
	return !w.pollOverdueAt.IsZero() && now.After(w.pollOverdueAt)
}

// mayAcknowledge reports whether the ends of a worker can be acknowledged now. An acknowledgement that reaches a later incarnation makes
// it discard ends of its own, so an end is acknowledged only until the worker has confirmed it.
func (p *Planner) mayAcknowledge(w *workerState, now time.Time) bool {
	if w.lastEnd <= w.acknowledgedEnd || w.unverified != nil || !w.failingSince.IsZero() || w.unstoredEnds > 0 || p.startedSinceIdentified(w) {
		return false
	}
	return !w.mayStartAny(now) || now.Sub(w.identifiedAt) < recentIdentification
}

// startedSinceIdentified reports whether a start was sent to the worker since the call to which it last reported its incarnation. If it has
// restarted, its first ends may be of that run, and an acknowledgement of the earlier incarnation's ends would discard them.
func (p *Planner) startedSinceIdentified(w *workerState) bool {
	for _, r := range w.runs {
		if !r.startSentAt.Before(w.identifiedSentAt) {
			return true
		}
	}
	return false
}

// poll renews the worker's lease and queries its runs.
func (p *Planner) poll(w *workerState, now time.Time) {
	p.raiseFenceOfSilent(w, now)
	request := p.pollRequest(w, now)
	w.polling, w.pollOverdueAt = true, time.Time{}
	if p.mayCarryOutStart(w, now) {
		// A poll that the worker has left without a response keeps the next one from a new incarnation no longer than this.
		w.pollOverdueAt = now.Add(request.Wait + p.restartPollTimeout(w))
	}
	w.polls++
	number := w.polls
	target, identifiedAt := Target{ID: w.id(), Address: w.registration.Address}, w.identifiedAt
	p.Metrics.Add(metrics.Polls, 1)
	p.call(classPoll, func() func() {
		if request.Acknowledged != 0 && p.Clock.Since(identifiedAt) > maxOrderAge {
			// The worker may have restarted meanwhile and would discard ends of its new incarnation.
			request.Acknowledged, request.Wait = 0, 0
		}
		var response PollResponse
		send := p.send
		if request.Until == 0 && request.Acknowledged == 0 {
			send = p.sendQuery
		}
		err := send(now, request.Wait+pollTimeout, func(ctx context.Context) (err error) {
			response, err = p.Workers.Poll(ctx, target, request)
			return err
		})
		return func() {
			if number == w.polls {
				w.polling, w.pollOverdueAt = false, time.Time{}
			}
			p.handlePollResult(w, target, now, request, response, p.applyRefusal(w, target, request.Fence, now, err))
		}
	})
}

// startNeedsAnswer reports whether a run is to be started on a worker that has not reported its incarnation since the run was placed, or
// whose clock is not known any more.
func (p *Planner) startNeedsAnswer(w *workerState, now time.Time) bool {
	if p.suspended {
		return false
	}
	for _, r := range w.runs {
		if r.phase == runRecorded && r.placementChange != 0 && (!w.identifiedSince(r.group.startedAt) || !w.clockKnown(now)) {
			return true
		}
	}
	return false
}

// query polls the worker without a wait, next to a poll that may be waiting.
func (p *Planner) query(w *workerState, now time.Time) {
	w.querying = true
	request := PollRequest{Fence: w.fence}
	target := Target{ID: w.id(), Address: w.registration.Address}
	p.Metrics.Add(metrics.Polls, 1)
	p.call(classPoll, func() func() {
		var response PollResponse
		err := p.sendQuery(now, pollTimeout, func(ctx context.Context) (err error) {
			response, err = p.Workers.Poll(ctx, target, request)
			return err
		})
		return func() {
			w.querying = false
			p.handlePollResult(w, target, now, request, response, p.applyRefusal(w, target, request.Fence, now, err))
		}
	})
}

// hasUnconfirmedStops reports whether a run is being stopped that the worker has not confirmed. If the worker never had the
// run, it lists no end for it, so a poll must not wait for one.
func (p *Planner) hasUnconfirmedStops(w *workerState) bool {
	for _, r := range w.runs {
		if r.stopRequested && r.phase != runRunning {
			return true
		}
	}
	return false
}

func (p *Planner) handlePollResult(w *workerState, target Target, sent time.Time, request PollRequest, response PollResponse, err error) {
	now, incarnation := p.Clock.Now(), w.incarnation
	w.nextPoll = now
	p.scheduleContact(w)
	defer p.resolveUnverified(w, sent, response.Incarnation, err)
	if errors.Is(err, errNotSent) {
		return
	}
	if err != nil {
		w.nextPoll = now.Add(p.retryDelay(w, err))
		p.handlePollError(w, sent, err)
		return
	}
	p.applyEarlierStartTime(w, response.Incarnation, sent)
	p.correctIncarnation(w, response.Incarnation, sent)
	if !p.recordContact(w, response.WorkerStatus) {
		return
	}
	if w.recordIdentified(response.Incarnation, target.Address, sent) {
		p.handleAddressTaken(w)
	}
	if !w.fenced && request.Fence == w.fence && !sent.Before(w.restartSignAt) {
		p.recordFenced(w)
	}
	if w.incarnation == incarnation && request.Fence == w.fence {
		w.acknowledgedEnd = max(w.acknowledgedEnd, request.Acknowledged)
	}
	for _, e := range response.Ends {
		p.handleReportedEnd(w, e)
	}
	p.reconcile(w, sent, request.Fence, response)
	p.sendDueStartsTo(w, now)
	named := p.leaseNote.named[w.id()]
	p.leaseNote.checkNeeded = p.leaseNote.checkNeeded || named
	switch {
	case p.suspended && request.Wait == 0:
		// The worker lists the same ends again until the store answers.
		w.nextPoll = now.Add(pollRetryDelay)
	case len(w.orphans) > 0, named && request.Wait == 0, request.Wait == 0 && request.Until != 0 && len(response.Ends) == 0:
		w.nextPoll = now.Add(immediatePollInterval)
	}
}

// handlePollError applies that a poll got no response, or was refused.
func (p *Planner) handlePollError(w *workerState, sent time.Time, err error) {
	var refused *ErrRefused
	if !errors.As(err, &refused) {
		p.recordNoAnswer(w, sent)
		return
	}
	p.Log.Event("look-refused", "worker", w.id(), "reason", refused.Reason)
	if refused.Reason == RefusedIncarnation {
		p.handleMisdirected(w, sent)
		return
	}
	p.applyEarlierStartTime(w, refused.Status.Incarnation, sent)
	p.correctIncarnation(w, refused.Status.Incarnation, sent)
	if !p.recordContact(w, refused.Status) {
		return
	}
	if refused.Reason == RefusedUnhealthy {
		// Starts that wait for the worker's clock go to other workers.
		now := p.Clock.Now()
		w.unhealthyUntil = now.Add(unhealthyWorkerPause)
		p.sendDueStartsTo(w, now)
	}
	p.handleRefusal(w, refused.Reason)
}

// handleReportedEnd applies the end of a run that a worker lists, unless it was applied before.
func (p *Planner) handleReportedEnd(w *workerState, e RunEnd) {
	if e.Number <= w.lastEnd {
		return
	}
	w.lastEnd = e.Number
	r, ok := w.runs[e.Task]
	if ok && r.number == e.Run {
		p.endRun(r, e.Reason, e.Checkpoint, basisReported)
		p.acknowledgeOnceStored(w, r.group.job)
	} else {
		p.handleStrayEnd(w, e)
	}
}

// acknowledgeOnceStored defers the acknowledgement of an end until the job that it changed is stored.
func (p *Planner) acknowledgeOnceStored(w *workerState, j *jobState) {
	w.unstoredEnds++
	changes := w.incarnationChanges
	p.whenStored(j, j.lastChange, func() {
		if w.incarnationChanges == changes {
			w.unstoredEnds--
			p.scheduleContact(w)
		}
	})
}

// handleStrayEnd applies the end of a run that is no longer tracked. It may be listed again because the planner no longer knows which ends it
// has applied.
func (p *Planner) handleStrayEnd(w *workerState, e RunEnd) {
	p.Log.Event("stray-end", "task", e.Task, "run", e.Run, "worker", w.id(), "how", e.Reason)
	if e.Reason == EndDone {
		p.checkInferredEnd(w, e.Task, e.Run, string(e.Reason))
	}
	id, err := workload.ParseTaskID(e.Task)
	if err != nil {
		p.Log.Event("end-unreadable", "task", e.Task, "worker", w.id(), "error", err)
		return
	}
	j, ok := p.jobs[id.Job]
	if !ok || !j.hasTask(id) {
		return
	}
	if e.Reason == EndDone {
		p.recordStrayDone(j, id)
	}
	// The end may have been applied before, and what it changed may not be stored yet.
	p.acknowledgeOnceStored(w, j)
}

// recordStrayDone records that a run that is no longer tracked was done: the task is done, and a later run of it is stopped.
func (p *Planner) recordStrayDone(j *jobState, id workload.TaskID) {
	if j.state().Ended() {
		return
	}
	step := &j.record.Job.Steps[id.Step]
	if step.LongRunning || j.task(id).Phase == workload.PhaseDone {
		return
	}
	key := groupKey{occurrence: id.Occurrence, step: id.Step, index: id.Index}
	if step.Gang {
		key.index = -1
	}
	p.recordDone(j, key)
	if g, ok := j.groups[key]; ok {
		g.done = true
		p.stopGroup(g, "an earlier run is done")
	}
	p.recordFinalState(j)
	p.planNeeded = true
}

// hasTask reports whether the job has the task.
func (j *jobState) hasTask(t workload.TaskID) bool {
	tasks := j.record.Progress.Tasks
	return t.Occurrence < len(tasks) && t.Step < len(tasks[t.Occurrence]) && t.Index < len(tasks[t.Occurrence][t.Step])
}

// handleRefusal applies the refusal that concerns this planner's term.
func (p *Planner) handleRefusal(w *workerState, reason Refusal) {
	if reason == RefusedFence {
		p.lostTerm = &ErrLostTerm{Reason: "worker " + w.id() + " has seen a higher fencing token"}
	}
}

// reconcile compares the runs that a worker has, as its response to a poll with a fencing token reports, with those that it should have.
func (p *Planner) reconcile(w *workerState, sent time.Time, fence int64, response PollResponse) {
	now := p.Clock.Now()
	listed := map[string]bool{}
	var orphans map[string]time.Time
	for _, running := range response.Running {
		r, ok := w.runs[running.Task]
		listed[running.Task] = true
		if !ok || r.number != running.Run {
			p.checkInferredEnd(w, running.Task, running.Run, "running")
			if orphans == nil {
				orphans = map[string]time.Time{}
			}
			orphans[running.Task] = p.stopOrphanRun(w, running.Task, running.Run)
			continue
		}
		p.markRunning(r, "poll", w.incarnation)
		p.applyProgress(now, r, running)
	}
	if fence != w.fence {
		// The list may be older than a late start that the worker refuses only since it knows the present token.
		if orphans != nil {
			p.setOrphans(w, orphans)
		}
		return
	}
	p.setOrphans(w, orphans)
	w.moreEnds = response.MoreEnds
	if w.moreEnds || !w.fenced {
		// The end of a run in neither list may be on the next page, which the worker lists once this one is acknowledged; or an
		// earlier order to start the run may still be executed.
		w.restartProgress(now, listed)
		return
	}
	for _, r := range w.runs {
		if listed[r.name] || r.startInFlight {
			continue
		}
		switch {
		case r.phase == runDoubtful:
			// The worker refuses late orders of the earlier planner, so the run cannot be created any more.
			p.endRun(r, EndLapsed, r.checkpoint, basisNotListed)
		case r.phase == runRunning && r.confirmedAt.Before(sent):
			p.endRun(r, EndLapsed, r.checkpoint, basisNotListed)
		}
	}
	clear(w.inferredEnds)
}

// restartProgress lets the time without progress begin anew for the runs that the worker does not list, since nothing shows that they make none.
func (w *workerState) restartProgress(now time.Time, listed map[string]bool) {
	for _, r := range w.runs {
		if !listed[r.name] {
			r.progressedAt = now
		}
	}
}

// expireLeases ends the runs of workers whose leases have certainly ended. Nothing else bounds a run on a worker that does not
// respond: a gang member there may be at work, done, or yet to start, whatever the other members report.
func (p *Planner) expireLeases(now time.Time) {
	for id, w := range p.workers {
		if len(w.orphans) > 0 && !now.Before(w.leasesEndBy) {
			p.setOrphans(w, nil)
		}
		if len(w.runs) == 0 {
			if p.forgettable(w, now) {
				p.forgottenFence = max(p.forgottenFence, w.fence)
				delete(p.misdirected, w)
				delete(p.workers, id)
				p.invalidateFleets()
			}
			continue
		}
		for _, r := range w.runs {
			if r.phase == runRecorded || r.startInFlight {
				continue
			}
			if until, basis := p.runEndsBy(r); !now.Before(until) {
				p.endRun(r, EndLapsed, r.checkpoint, basis)
			}
		}
	}
}

// forgettable reports whether nothing that the planner knows of a worker without runs is needed any more.
func (p *Planner) forgettable(w *workerState, now time.Time) bool {
	return !w.registered && w.unverified == nil && w.outdated == nil && !w.polling && !p.mayCarryOutStart(w, now) && now.After(w.leasesEndBy) &&
		now.Sub(w.unregisteredAt) > impossibleRetryAfter
}
