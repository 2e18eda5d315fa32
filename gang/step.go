package gang

import (
	"time"

	"clementinepier/job"
	"clementinepier/worker"
)

// Step applies an event at the given time and returns the commands to issue now. The time must not go back.
func (g *Gang) Step(now time.Time, e Event) []Command {
	g.now, g.commands = now, nil
	if g.firstStep.IsZero() {
		g.firstStep, g.phaseSince = now, now
		for _, m := range g.members {
			m.validUntil, m.renewedAt = now.Add(g.options.Limits.StartWindow), now.Add(-g.options.Limits.RenewalInterval)
		}
	}
	g.applyEvent(e)
	g.expireCommands()
	for phase := Phase(""); phase != g.phase; {
		phase = g.phase
		g.advancePhase()
	}
	return g.commands
}

// NextTick returns when the attempt next needs a Tick; the zero time means never.
func (g *Gang) NextTick() time.Time {
	if g.phase == PhaseEnded {
		return time.Time{}
	}
	// A member that waits for something else, such as a fresh configuration view, is checked again after RetryDelay.
	retry := g.now.Add(g.options.Limits.RetryDelay)
	next := g.phaseDeadline()
	for _, m := range g.members {
		at := m.retryAt
		runs := m.state == stateRunning && (g.phase == PhaseRunning || g.phase == PhaseCheckpointing)
		switch {
		case m.pendingCommand.number != 0:
			at = m.pendingCommand.issuedAt.Add(g.commandTimeout(m.pendingCommand.kind))
		case runs:
			at = later(m.retryAt, m.renewedAt.Add(g.options.Limits.RenewalInterval))
		case g.phase == PhaseRunning:
			continue
		}
		if lost := g.lostTime(m); runs && lost.Before(at) {
			at = lost
		}
		if !at.After(g.now) {
			at = retry
		}
		if next.IsZero() || at.Before(next) {
			next = at
		}
	}
	return next
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// phaseDeadline returns the latest end of the current phase; the zero time means that there is no limit.
func (g *Gang) phaseDeadline() time.Time {
	limits := g.options.Limits
	switch g.phase {
	case PhaseHolding, PhaseReady:
		return g.firstStep.Add(limits.GatherTimeout)
	case PhaseStarting:
		return g.phaseSince.Add(limits.StartWindow)
	case PhaseCheckpointing:
		return g.phaseSince.Add(limits.CheckpointTimeout)
	case PhaseEnding:
		return g.phaseSince.Add(limits.TaskLease + limits.CallTimeout)
	case PhaseCollecting:
		return g.phaseSince.Add(limits.AnswerTimeout)
	}
	return time.Time{}
}

func (g *Gang) applyEvent(e Event) {
	switch e := e.(type) {
	case Reply:
		g.handleReply(e)
	case Claimed:
		g.claimed = true
	case WorkerLost:
		g.handleWorkerLost(e.Worker)
	case Cancel:
		if g.phase != PhaseCollecting && g.phase != PhaseEnded {
			g.end(e.Code, "cancelled")
		}
	case Preempt:
		g.preempt()
	case StatusChanged:
		g.handleStatusChange(e.Status)
	case OutcomeDelivered:
		g.acknowledgeAll()
	}
}

func (g *Gang) advancePhase() {
	switch g.phase {
	case PhaseHolding, PhaseReady:
		g.gatherHolds()
	case PhaseStarting:
		g.awaitStarts()
	case PhaseRunning, PhaseCheckpointing:
		g.renewLeases()
	case PhaseEnding:
		g.stopMembers()
	case PhaseCollecting:
		g.fetchAnswer()
	}
}

func (g *Gang) enterPhase(p Phase) { g.phase, g.phaseSince = p, g.now }

func (g *Gang) issue(m *member, kind Kind, length time.Duration) *Command {
	g.number++
	spec := g.Spec(m.index)
	g.commands = append(g.commands, Command{
		Number: g.number, Kind: kind, Member: m.index, Worker: m.worker, ID: spec.ID, Nonce: spec.Nonce, Lease: length,
		NotAfter: g.now.Add(g.commandTimeout(kind)),
	})
	c := pendingCommand{number: g.number, kind: kind, issuedAt: g.now}
	if kind == KindCheckpoint {
		m.pendingCheckpoint = c
	} else {
		m.pendingCommand = c
	}
	return &g.commands[len(g.commands)-1]
}

// commandTimeout returns how long a command may be unanswered in the current phase.
func (g *Gang) commandTimeout(kind Kind) time.Duration {
	switch {
	case kind == KindAnswer:
		// An answer can be large, so each attempt to fetch it gets a third of AnswerTimeout, which leaves two retries.
		return g.options.Limits.AnswerTimeout / 3
	case g.phase == PhaseHolding, g.phase == PhaseReady, g.phase == PhaseStarting:
		return g.options.Limits.HoldTimeout
	case kind == KindRenew && len(g.members) > 1:
		// Half of CallTimeout leaves time for a second renewal before the gang must be ended.
		return g.options.Limits.CallTimeout / 2
	}
	return g.options.Limits.CallTimeout
}

// expireCommands handles the commands whose timeout has passed.
func (g *Gang) expireCommands() {
	for _, m := range g.members {
		if m.pendingCommand.number != 0 && !g.now.Before(m.pendingCommand.issuedAt.Add(g.commandTimeout(m.pendingCommand.kind))) {
			g.handleNoReply(m, m.pendingCommand.kind)
		}
	}
}

// handleNoReply handles a command without a usable reply.
func (g *Gang) handleNoReply(m *member, kind Kind) {
	if kind == KindHold {
		m.state = stateHoldUnconfirmed
	}
	m.pendingCommand = pendingCommand{}
	m.retryAt = g.now.Add(g.options.Limits.RetryDelay)
}

func (g *Gang) handleReply(r Reply) {
	c := r.Command
	if g.hasTask(c.ID) && g.idTakenByOtherOwner(r) {
		m := g.byIndex[c.ID.Member]
		m.pendingCommand, m.lastAnswered = pendingCommand{}, c.Number
		g.recordRefusal(m, worker.RefusedKnown)
		return
	}
	if !g.hasTask(c.ID) || c.Nonce != g.options.Spec.Nonce ||
		(r.Status.Spec.Nonce != "" && (r.Status.Spec.Nonce != c.Nonce || r.Status.Spec.ID != c.ID)) {
		g.ignored.Mismatched++
		return
	}
	m := g.byIndex[c.ID.Member]
	if c.Kind == KindAcknowledge {
		return
	}
	if c.Number != 0 && c.Number == m.pendingCheckpoint.number {
		m.pendingCheckpoint, m.checkpointed, m.lastAnswered = pendingCommand{}, true, c.Number
		return
	}
	if c.Number == 0 || c.Number != m.pendingCommand.number {
		if c.Number == m.lastAnswered {
			g.ignored.Duplicate++
		} else {
			g.ignored.Late++
		}
		return
	}
	m.lastAnswered = c.Number
	if r.Err != nil {
		g.handleNoReply(m, c.Kind)
		if c.Kind == KindAnswer && worker.IsErrTaskNotExist(r.Err) {
			m.workerLost = true
		}
		return
	}
	issuedAt := m.pendingCommand.issuedAt
	m.pendingCommand = pendingCommand{}
	g.handleUsableReply(m, c, r, issuedAt)
}

// idTakenByOtherOwner reports whether the reply to the renewal of an unconfirmed hold shows that the id belongs to the
// task of another owner.
func (g *Gang) idTakenByOtherOwner(r Reply) bool {
	c, s := r.Command, r.Status.Spec
	m := g.byIndex[c.ID.Member]
	return !g.startIssued && c.Kind == KindRenew && c.Number != 0 && c.Number == m.pendingCommand.number && r.Err == nil &&
		m.state == stateHoldUnconfirmed && s.ID == c.ID && s.Nonce != "" && s.Nonce != c.Nonce
}

// handleUsableReply handles a reply without error to a pending command that was issued at issuedAt.
func (g *Gang) handleUsableReply(m *member, c Command, r Reply, issuedAt time.Time) {
	switch c.Kind {
	case KindHold:
		g.handleHoldReply(m, r.Refused, issuedAt)
	case KindStart:
		g.handleStartReply(m, r.Refused)
	case KindRenew:
		g.handleRenewReply(m, c, r.Status, issuedAt)
	case KindStop, KindForbid:
		g.handleStopReply(m, c.Kind, r.Status)
	case KindAnswer:
		g.finish(ResultDone, job.CodeOK, "")
		g.answer = r.Answer
	}
}

func (g *Gang) handleHoldReply(m *member, refused worker.Refusal, issuedAt time.Time) {
	switch {
	case refused == worker.RefusedNone:
		m.state, m.renewedAt, m.validUntil, m.holdConfirmed = stateHeld, issuedAt, issuedAt.Add(g.options.Limits.HoldLength), true
	case refused == worker.RefusedKnown && m.holdsIssued > 1:
		// The worker may have accepted an earlier hold whose reply was lost; the status in the reply to a renewal shows it.
		m.state = stateHoldUnconfirmed
	default:
		g.recordRefusal(m, refused)
	}
}

func (g *Gang) recordRefusal(m *member, refused worker.Refusal) {
	m.state = stateRefused
	if g.detail == "" {
		g.detail = "worker " + m.worker + " refused: " + string(refused)
	}
}

func (g *Gang) handleStartReply(m *member, refused worker.Refusal) {
	if m.state != stateStarting {
		return
	}
	if refused == worker.RefusedNone || refused == worker.RefusedAlreadyActive {
		m.state = stateRunning
		return
	}
	g.recordRefusal(m, refused)
}

func (g *Gang) handleRenewReply(m *member, c Command, s worker.Status, issuedAt time.Time) {
	if g.startIssued {
		g.recordStatus(m, s)
		if s.State == worker.StateRunning {
			m.renewedAt, m.validUntil, m.hasTaskLease = issuedAt, issuedAt.Add(c.Lease), true
		}
		return
	}
	switch {
	case s.State == worker.StateHeld:
		m.state, m.renewedAt, m.validUntil, m.holdConfirmed = stateHeld, issuedAt, issuedAt.Add(c.Lease), true
	case s.State == worker.StateUnknown && m.state == stateHoldUnconfirmed:
		m.state = stateIdle
	default:
		g.recordRefusal(m, worker.Refusal(s.State))
	}
}

// handleStatusChange handles a status that a worker reported by itself.
func (g *Gang) handleStatusChange(s worker.Status) {
	if !g.hasTask(s.Spec.ID) || s.Spec.Nonce != g.options.Spec.Nonce {
		g.ignored.Mismatched++
		return
	}
	m := g.byIndex[s.Spec.ID.Member]
	switch {
	case g.phase == PhaseEnded:
		g.ignored.Late++
	case g.startIssued:
		if s.State != worker.StateHeld {
			g.recordStatus(m, s)
		}
	case s.State != worker.StateHeld:
		g.recordRefusal(m, worker.Refusal(s.State))
	}
}

func (g *Gang) handleWorkerLost(name string) {
	for _, m := range g.members {
		if m.worker != name {
			continue
		}
		m.workerLost = true
		if !g.startIssued {
			g.recordRefusal(m, "worker lost")
		}
	}
}
