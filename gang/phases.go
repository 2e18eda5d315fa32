package gang

import (
	"slices"
	"time"

	"clementinepier/job"
	"clementinepier/worker"
)

// gatherHolds issues and renews the holds, and issues the starts once nothing is missing.
func (g *Gang) gatherHolds() {
	limits := g.options.Limits
	held := true
	for _, m := range g.members {
		if m.state == stateRefused {
			g.end(job.CodeNoRack, g.detail)
			return
		}
		held = held && m.state == stateHeld
	}
	if held && g.phase == PhaseHolding {
		g.enterPhase(PhaseReady)
	}
	wait := g.missingForStart(held)
	if wait == job.CodeOK {
		g.startAll()
		return
	}
	if !g.now.Before(g.firstStep.Add(limits.GatherTimeout)) {
		g.end(wait, "not started within the gathering time")
		return
	}
	for _, m := range g.members {
		switch {
		case !m.mayIssue(g.now):
		case m.state == stateIdle:
			m.holdsIssued++
			g.issue(m, KindHold, limits.HoldLength)
		case m.state == stateHoldUnconfirmed || !g.now.Before(m.renewedAt.Add(limits.HoldRenewalInterval)):
			g.issue(m, KindRenew, limits.HoldLength)
		}
	}
}

// missingForStart returns the code with which the attempt ends if the first missing condition for the start is never met;
// CodeOK if no condition is missing.
func (g *Gang) missingForStart(held bool) job.Code {
	if !held {
		return job.CodeNoRack
	}
	if g.options.NeedsClaim(g.options.Spec) && !g.claimed {
		return job.CodeStoreUnavailable
	}
	if fresh, code := g.options.MayStart(g.now); !fresh {
		return code
	}
	// A renewal in flight could reach a worker after the start and replace the start window by its own lease.
	if !g.allMembers(func(m *member) bool { return m.pendingCommand.number == 0 && g.options.HoldLive(g.now, m.validUntil) }) {
		return job.CodeNoRack
	}
	return job.CodeOK
}

func (g *Gang) startAll() {
	g.startIssued = true
	g.enterPhase(PhaseStarting)
	for _, m := range g.members {
		m.state = stateStarting
		g.issueStart(m)
	}
}

// issueStart issues a start command that must be sent before the hold can lapse.
func (g *Gang) issueStart(m *member) {
	c := g.issue(m, KindStart, g.options.Limits.StartWindow)
	if m.validUntil.Before(c.NotAfter) {
		c.NotAfter = m.validUntil
	}
}

// awaitStarts waits for the confirmation of every start within the start window, and repeats unanswered starts.
func (g *Gang) awaitStarts() {
	if g.endIfMemberFailed() {
		return
	}
	if g.allMembers((*member).confirmed) {
		for _, m := range g.members {
			// The start window of a member cannot have begun before the first start was issued.
			m.pendingCommand, m.retryAt = pendingCommand{}, g.now
			m.validUntil, m.renewedAt = g.phaseSince.Add(g.options.Limits.StartWindow), g.now.Add(-g.options.Limits.RenewalInterval)
		}
		g.enterPhase(PhaseRunning)
		return
	}
	if !g.now.Before(g.phaseSince.Add(g.options.Limits.StartWindow)) {
		for _, m := range g.members {
			if !m.confirmed() {
				g.recordFailedWorker(m)
			}
		}
		g.end(job.CodeWorkerLost, "not every member confirmed its start in time")
		return
	}
	fresh, _ := g.options.MayStart(g.now)
	for _, m := range g.members {
		if fresh && m.state == stateStarting && m.mayIssue(g.now) && g.options.HoldLive(g.now, m.validUntil) {
			g.issueStart(m)
		}
	}
}

// recordFailedWorker adds the worker of a member that ended the attempt to the failed workers.
func (g *Gang) recordFailedWorker(m *member) {
	if !slices.Contains(g.failedWorkers, m.worker) {
		g.failedWorkers = append(g.failedWorkers, m.worker)
	}
}

// endIfMemberFailed ends the attempt if a member failed, lapsed, was stopped or refused, or if its worker is lost. It
// reports whether it did.
func (g *Gang) endIfMemberFailed() bool {
	for _, m := range g.members {
		switch {
		case m.state == stateFailed:
			g.recordFailedWorker(m)
			g.end(job.CodeTaskFailed, g.detail)
		case m.state == stateAdopted, m.state == stateRefused && g.phase == PhaseRunning:
			g.end(job.CodeOwnerLost, "the previous owner did not start every member")
		case m.endedOrRefused():
			g.recordFailedWorker(m)
			g.end(job.CodeWorkerLost, "a member ended or was refused on worker "+m.worker)
		case m.workerLost && (m.state != stateDone || m.index == 0):
			g.recordFailedWorker(m)
			g.end(job.CodeWorkerLost, "lost worker "+m.worker)
		default:
			continue
		}
		return true
	}
	return false
}

// lostTime returns when a running member counts as lost unless a renewal is confirmed before.
func (g *Gang) lostTime(m *member) time.Time {
	if len(g.members) == 1 || !m.hasTaskLease {
		return m.validUntil
	}
	// The other members must not run long without this one, so it counts as lost before its lease lapses.
	return m.renewedAt.Add(g.options.Limits.RenewalInterval + g.options.Limits.CallTimeout)
}

// renewLeases renews the leases of a running attempt. While the attempt is being preempted, it also waits for the
// checkpoints and then ends the attempt.
func (g *Gang) renewLeases() {
	limits := g.options.Limits
	if g.endIfMemberFailed() {
		return
	}
	if g.allMembers(func(m *member) bool { return m.state == stateDone }) {
		g.enterPhase(PhaseCollecting)
		return
	}
	for _, m := range g.members {
		if m.state != stateRunning {
			continue
		}
		if !g.now.Before(g.lostTime(m)) {
			g.recordFailedWorker(m)
			g.end(job.CodeWorkerLost, "lease on worker "+m.worker+" could not be renewed")
			return
		}
		if m.mayIssue(g.now) && !g.now.Before(m.renewedAt.Add(limits.RenewalInterval)) {
			g.issue(m, KindRenew, limits.TaskLease)
		}
	}
	if g.phase != PhaseCheckpointing {
		return
	}
	saved := g.allMembers(func(m *member) bool { return m.state != stateRunning || m.checkpointed })
	if saved || !g.now.Before(g.phaseSince.Add(limits.CheckpointTimeout)) {
		g.end(job.CodePreempted, "preempted")
	}
}

func (g *Gang) preempt() {
	switch g.phase {
	case PhaseHolding, PhaseReady, PhaseStarting:
		g.end(job.CodePreempted, "preempted")
	case PhaseRunning:
		g.enterPhase(PhaseCheckpointing)
		for _, m := range g.members {
			if m.state == stateRunning {
				g.issue(m, KindCheckpoint, 0)
			}
		}
	}
}

// fetchAnswer requests the answer of member 0 until it arrives or AnswerTimeout has passed.
func (g *Gang) fetchAnswer() {
	m := g.byIndex[0]
	if m.workerLost || !g.now.Before(g.phaseSince.Add(g.options.Limits.AnswerTimeout)) {
		g.finish(ResultUnknown, job.CodeAnswerLost, "answer could not be fetched from worker "+m.worker)
		return
	}
	if m.mayIssue(g.now) {
		g.issue(m, KindAnswer, 0)
	}
}

// end begins to end the attempt. If a start was issued, the members are stopped in PhaseEnding; otherwise the holds are
// stopped without waiting for replies and the attempt has ended.
func (g *Gang) end(code job.Code, detail string) {
	if g.phase == PhaseEnding || g.phase == PhaseEnded {
		return
	}
	g.code = code
	if g.detail == "" {
		g.detail = detail
	}
	for _, m := range g.members {
		m.pendingCommand, m.pendingCheckpoint, m.retryAt = pendingCommand{}, pendingCommand{}, g.now
	}
	if g.startIssued {
		g.enterPhase(PhaseEnding)
		return
	}
	for _, m := range g.members {
		// Without a confirmed hold, the id may belong to a task of another owner, which a stop would end. A hold whose
		// reply was lost lapses by itself.
		if m.holdConfirmed {
			g.issue(m, KindStop, 0).Reason = string(code)
		}
	}
	g.finish(ResultNeverStarted, code, g.detail)
}

// stopMembers stops the members and forbids those that have not started, until each is finished or its lease has passed.
func (g *Gang) stopMembers() {
	if g.allMembers(func(m *member) bool { return m.state == stateDone }) {
		g.code, g.detail = job.CodeOK, ""
		g.enterPhase(PhaseCollecting)
		return
	}
	limits := g.options.Limits
	expired := !g.now.Before(g.phaseSince.Add(limits.TaskLease + limits.CallTimeout))
	if expired || g.allMembers((*member).finished) {
		g.conclude()
		return
	}
	for _, m := range g.members {
		switch {
		case m.finished() || !m.mayIssue(g.now):
		case m.state == stateReleased:
			g.issue(m, KindForbid, 0)
		default:
			m.stopsIssued++
			g.issue(m, KindStop, 0).Reason = string(g.code)
		}
	}
}

// handleStopReply handles the reply to a stop or a forbid.
func (g *Gang) handleStopReply(m *member, kind Kind, s worker.Status) {
	// A forbid follows a stop whose reply came from the worker's record of the member. So the confirmation is not that of a
	// worker that lost the record and may have run the member.
	if kind == KindForbid && s.State == worker.StateForbidden && !s.Started && m.state == stateReleased {
		m.state = stateForbidden
		return
	}
	g.recordStatus(m, s)
	if !m.finished() && m.state != stateReleased {
		m.retryAt = g.now.Add(g.options.Limits.RetryDelay)
	}
}

// conclude sets the result of an attempt whose members are finished or whose time to stop them has passed.
func (g *Gang) conclude() {
	failed := false
	for _, m := range g.members {
		failed = failed || m.state == stateFailed
	}
	switch {
	case failed:
		g.finish(ResultFailed, job.CodeTaskFailed, g.detail)
	case g.allMembers(func(m *member) bool { return m.state == stateForbidden }):
		g.finish(ResultNeverStarted, g.code, g.detail)
	case g.code == job.CodePreempted && g.options.Spec.Idempotent:
		g.finish(ResultPreempted, g.code, g.detail)
	default:
		g.finish(ResultUnknown, g.code, g.detail)
	}
}

func (g *Gang) finish(result Result, code job.Code, detail string) {
	g.result, g.code, g.detail = result, code, detail
	for _, m := range g.members {
		m.pendingCommand, m.pendingCheckpoint = pendingCommand{}, pendingCommand{}
	}
	g.enterPhase(PhaseEnded)
}

// acknowledgeAll issues acknowledgements, after which the workers may drop their records of the attempt.
func (g *Gang) acknowledgeAll() {
	if g.phase != PhaseEnded || !g.startIssued {
		return
	}
	for _, m := range g.members {
		g.issue(m, KindAcknowledge, 0)
		m.pendingCommand = pendingCommand{}
	}
}
