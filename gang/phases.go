package gang

import (
	"slices"
	"time"

	"clementinepier/job"
	"clementinepier/worker"
)

// hold gathers the holds, keeps them alive and issues the starts once everything is in place.
func (g *Gang) hold() {
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
		g.enter(PhaseReady)
	}
	wait := g.waitsFor(held)
	if wait == job.CodeOK {
		g.startAll()
		return
	}
	if !g.now.Before(g.began.Add(limits.GatherTimeout)) {
		g.end(wait, "not started within the gathering time")
		return
	}
	for _, m := range g.members {
		switch {
		case !m.free(g.now):
		case m.state == stateIdle:
			m.holds++
			g.issue(m, KindHold, limits.HoldLength)
		case m.state == stateUnsure || !g.now.Before(m.renewed.Add(limits.HoldRenewalInterval)):
			g.issue(m, KindRenew, limits.HoldLength)
		}
	}
}

// waitsFor returns what the start waits for, as the code the attempt gets if that never comes; CodeOK if nothing.
func (g *Gang) waitsFor(held bool) job.Code {
	if !held {
		return job.CodeNoRack
	}
	if g.options.NeedsClaim(g.options.Spec) && !g.claimed {
		return job.CodeStoreUnavailable
	}
	if fresh, code := g.options.MayStart(g.now); !fresh {
		return code
	}
	// A renewal in flight could reach a worker after the start and replace the start window by its own length.
	if !g.all(func(m *member) bool { return m.call.number == 0 && g.options.HoldLive(g.now, m.until) }) {
		return job.CodeNoRack
	}
	return job.CodeOK
}

func (g *Gang) startAll() {
	g.startIssued = true
	g.enter(PhaseStarting)
	for _, m := range g.members {
		m.state = stateStarting
		g.start(m)
	}
}

// start issues a start that is sent only while the hold is certain to be live.
func (g *Gang) start(m *member) {
	c := g.issue(m, KindStart, g.options.Limits.StartWindow)
	if m.until.Before(c.NotAfter) {
		c.NotAfter = m.until
	}
}

// starting awaits the confirmation of every start within the start window.
func (g *Gang) starting() {
	if g.endsOthers() {
		return
	}
	if g.all((*member).confirmed) {
		for _, m := range g.members {
			// The start window began no earlier than the first start was issued.
			m.call, m.retryAt = call{}, g.now
			m.until, m.renewed = g.entered.Add(g.options.Limits.StartWindow), g.now.Add(-g.options.Limits.RenewalInterval)
		}
		g.enter(PhaseRunning)
		return
	}
	if !g.now.Before(g.entered.Add(g.options.Limits.StartWindow)) {
		for _, m := range g.members {
			if !m.confirmed() {
				g.blame(m)
			}
		}
		g.end(job.CodeWorkerLost, "not every member confirmed its start in time")
		return
	}
	fresh, _ := g.options.MayStart(g.now)
	for _, m := range g.members {
		if fresh && m.state == stateStarting && m.free(g.now) && g.options.HoldLive(g.now, m.until) {
			g.start(m)
		}
	}
}

// blame records the worker of a member that ended the attempt.
func (g *Gang) blame(m *member) {
	if !slices.Contains(g.blamed, m.worker) {
		g.blamed = append(g.blamed, m.worker)
	}
}

// endsOthers ends the attempt if a member ended badly or its worker is lost.
func (g *Gang) endsOthers() bool {
	for _, m := range g.members {
		switch {
		case m.state == stateFailed:
			g.blame(m)
			g.end(job.CodeTaskFailed, g.detail)
		case m.state == stateAdopted, m.state == stateRefused && g.phase == PhaseRunning:
			g.end(job.CodeOwnerLost, "the previous owner did not start every member")
		case m.badly():
			g.blame(m)
			g.end(job.CodeWorkerLost, "a member ended or was refused on worker "+m.worker)
		case m.workerLost && (m.state != stateDone || m.index == 0):
			g.blame(m)
			g.end(job.CodeWorkerLost, "lost worker "+m.worker)
		default:
			continue
		}
		return true
	}
	return false
}

// lostAt returns when a running member counts as lost unless a renewal is confirmed.
func (g *Gang) lostAt(m *member) time.Time {
	if len(g.members) == 1 || !m.leased {
		return m.until
	}
	// A gang must not run long without a member, so the member is lost before its lease lapses.
	return m.renewed.Add(g.options.Limits.RenewalInterval + g.options.Limits.CallTimeout)
}

// running renews the leases and, while the attempt is preempted, awaits the checkpoints.
func (g *Gang) running() {
	limits := g.options.Limits
	if g.endsOthers() {
		return
	}
	if g.all(func(m *member) bool { return m.state == stateDone }) {
		g.enter(PhaseCollecting)
		return
	}
	for _, m := range g.members {
		if m.state != stateRunning {
			continue
		}
		if !g.now.Before(g.lostAt(m)) {
			g.blame(m)
			g.end(job.CodeWorkerLost, "lease on worker "+m.worker+" could not be renewed")
			return
		}
		if m.free(g.now) && !g.now.Before(m.renewed.Add(limits.RenewalInterval)) {
			g.issue(m, KindRenew, limits.TaskLease)
		}
	}
	if g.phase != PhaseCheckpointing {
		return
	}
	saved := g.all(func(m *member) bool { return m.state != stateRunning || m.checkpointed })
	if saved || !g.now.Before(g.entered.Add(limits.CheckpointTimeout)) {
		g.end(job.CodePreempted, "preempted")
	}
}

func (g *Gang) preempt() {
	switch g.phase {
	case PhaseHolding, PhaseReady, PhaseStarting:
		g.end(job.CodePreempted, "preempted")
	case PhaseRunning:
		g.enter(PhaseCheckpointing)
		for _, m := range g.members {
			if m.state == stateRunning {
				g.issue(m, KindCheckpoint, 0)
			}
		}
	}
}

// collecting fetches the answer until it arrives or the time for it has passed.
func (g *Gang) collecting() {
	m := g.byIndex[0]
	if m.workerLost || !g.now.Before(g.entered.Add(g.options.Limits.AnswerTimeout)) {
		g.finish(ResultUnknown, job.CodeAnswerLost, "answer could not be fetched from worker "+m.worker)
		return
	}
	if m.free(g.now) {
		g.issue(m, KindAnswer, 0)
	}
}

// end stops every member that may hold or run. Without a start it ends the attempt at once.
func (g *Gang) end(code job.Code, detail string) {
	if g.phase == PhaseEnding || g.phase == PhaseEnded {
		return
	}
	g.code = code
	if g.detail == "" {
		g.detail = detail
	}
	for _, m := range g.members {
		m.call, m.checkpoint, m.retryAt = call{}, call{}, g.now
	}
	if g.startIssued {
		g.enter(PhaseEnding)
		return
	}
	for _, m := range g.members {
		// Without a confirmed hold the id may be that of a task of another owner, which a stop would end. A hold whose
		// reply was lost lapses.
		if m.admitted {
			g.issue(m, KindStop, 0).Reason = string(code)
		}
	}
	g.finish(ResultNeverStarted, code, g.detail)
}

// ending stops and, where nothing ran, forbids the members until each is settled or its lease has passed.
func (g *Gang) ending() {
	if g.all(func(m *member) bool { return m.state == stateDone }) {
		g.code, g.detail = job.CodeOK, ""
		g.enter(PhaseCollecting)
		return
	}
	limits := g.options.Limits
	expired := !g.now.Before(g.entered.Add(limits.TaskLease + limits.CallTimeout))
	if expired || g.all((*member).settled) {
		g.conclude()
		return
	}
	for _, m := range g.members {
		switch {
		case m.settled() || !m.free(g.now):
		case m.state == stateReleased:
			g.issue(m, KindForbid, 0)
		default:
			m.stops++
			g.issue(m, KindStop, 0).Reason = string(g.code)
		}
	}
}

// endReply handles the reply to a stop or a forbid.
func (g *Gang) endReply(m *member, kind Kind, s worker.Status) {
	// The stop before it has shown the worker's record, so a forbid is not the answer of a worker that lost it.
	if kind == KindForbid && s.State == worker.StateForbidden && !s.Started && m.state == stateReleased {
		m.state = stateForbidden
		return
	}
	g.report(m, s)
	if !m.settled() && m.state != stateReleased {
		m.retryAt = g.now.Add(g.options.Limits.RetryDelay)
	}
}

// conclude decides the result of an attempt whose members are settled.
func (g *Gang) conclude() {
	failed := false
	for _, m := range g.members {
		failed = failed || m.state == stateFailed
	}
	switch {
	case failed:
		g.finish(ResultFailed, job.CodeTaskFailed, g.detail)
	case g.all(func(m *member) bool { return m.state == stateForbidden }):
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
		m.call, m.checkpoint = call{}, call{}
	}
	g.enter(PhaseEnded)
}

// delivered lets the workers drop what they keep of the attempt.
func (g *Gang) delivered() {
	if g.phase != PhaseEnded || !g.startIssued {
		return
	}
	for _, m := range g.members {
		g.issue(m, KindAcknowledge, 0)
		m.call = call{}
	}
}
