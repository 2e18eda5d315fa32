package gang

import (
	"time"

	"clementinepier/job"
	"clementinepier/worker"
)

// Step applies an event at the given time and returns the commands to issue now. The time must not go back.
func (g *Gang) Step(now time.Time, e Event) []Command {
	g.now, g.commands = now, nil
	if g.began.IsZero() {
		g.began, g.entered = now, now
		for _, m := range g.members {
			m.until, m.renewed = now.Add(g.options.Limits.StartWindow), now.Add(-g.options.Limits.RenewalInterval)
		}
	}
	g.apply(e)
	g.expire()
	for phase := Phase(""); phase != g.phase; {
		phase = g.phase
		g.advance()
	}
	return g.commands
}

// NextTick returns when the attempt next needs a Tick; the zero time means never.
func (g *Gang) NextTick() time.Time {
	if g.phase == PhaseEnded {
		return time.Time{}
	}
	// A member that waits for something else, such as a fresh view, is looked at again after Retry.
	again := g.now.Add(g.options.Limits.RetryDelay)
	wake := g.phaseEnd()
	for _, m := range g.members {
		at := m.retryAt
		runs := m.state == stateRunning && (g.phase == PhaseRunning || g.phase == PhaseCheckpointing)
		switch {
		case m.call.number != 0:
			at = m.call.sent.Add(g.timeout(m.call.kind))
		case runs:
			at = later(m.retryAt, m.renewed.Add(g.options.Limits.RenewalInterval))
		case g.phase == PhaseRunning:
			continue
		}
		if lost := g.lostAt(m); runs && lost.Before(at) {
			at = lost
		}
		if !at.After(g.now) {
			at = again
		}
		if wake.IsZero() || at.Before(wake) {
			wake = at
		}
	}
	return wake
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// phaseEnd returns the latest end of the current phase; the zero time means that it has none.
func (g *Gang) phaseEnd() time.Time {
	limits := g.options.Limits
	switch g.phase {
	case PhaseHolding, PhaseReady:
		return g.began.Add(limits.GatherTimeout)
	case PhaseStarting:
		return g.entered.Add(limits.StartWindow)
	case PhaseCheckpointing:
		return g.entered.Add(limits.CheckpointTimeout)
	case PhaseEnding:
		return g.entered.Add(limits.TaskLease + limits.CallTimeout)
	case PhaseCollecting:
		return g.entered.Add(limits.AnswerTimeout)
	}
	return time.Time{}
}

func (g *Gang) apply(e Event) {
	switch e := e.(type) {
	case Reply:
		g.reply(e)
	case Claimed:
		g.claimed = true
	case WorkerLost:
		g.workerLost(e.Worker)
	case Cancel:
		if g.phase != PhaseCollecting && g.phase != PhaseEnded {
			g.end(e.Code, "cancelled")
		}
	case Preempt:
		g.preempt()
	case StatusChanged:
		g.changed(e.Status)
	case OutcomeDelivered:
		g.delivered()
	}
}

func (g *Gang) advance() {
	switch g.phase {
	case PhaseHolding, PhaseReady:
		g.hold()
	case PhaseStarting:
		g.starting()
	case PhaseRunning, PhaseCheckpointing:
		g.running()
	case PhaseEnding:
		g.ending()
	case PhaseCollecting:
		g.collecting()
	}
}

func (g *Gang) enter(p Phase) { g.phase, g.entered = p, g.now }

func (g *Gang) issue(m *member, kind Kind, length time.Duration) *Command {
	g.number++
	spec := g.Spec(m.index)
	g.commands = append(g.commands, Command{
		Number: g.number, Kind: kind, Member: m.index, Worker: m.worker, ID: spec.ID, Nonce: spec.Nonce, Lease: length,
		NotAfter: g.now.Add(g.timeout(kind)),
	})
	c := call{number: g.number, kind: kind, sent: g.now}
	if kind == KindCheckpoint {
		m.checkpoint = c
	} else {
		m.call = c
	}
	return &g.commands[len(g.commands)-1]
}

// timeout returns how long a command may be unanswered in the current phase.
func (g *Gang) timeout(kind Kind) time.Duration {
	switch {
	case kind == KindAnswer:
		// An answer can be large, so it gets a third of the whole time, which leaves room for two retries.
		return g.options.Limits.AnswerTimeout / 3
	case g.phase == PhaseHolding, g.phase == PhaseReady, g.phase == PhaseStarting:
		return g.options.Limits.HoldTimeout
	case kind == KindRenew && len(g.members) > 1:
		// Leaves time for a second renewal before the gang must be ended.
		return g.options.Limits.CallTimeout / 2
	}
	return g.options.Limits.CallTimeout
}

// expire gives up the commands that were unanswered for too long.
func (g *Gang) expire() {
	for _, m := range g.members {
		if m.call.number != 0 && !g.now.Before(m.call.sent.Add(g.timeout(m.call.kind))) {
			g.lost(m, m.call.kind)
		}
	}
}

// lost handles a command without a usable reply.
func (g *Gang) lost(m *member, kind Kind) {
	if kind == KindHold {
		m.state = stateUnsure
	}
	m.call = call{}
	m.retryAt = g.now.Add(g.options.Limits.RetryDelay)
}

func (g *Gang) reply(r Reply) {
	c := r.Command
	if g.names(c.ID) && g.heldByOther(r) {
		m := g.byIndex[c.ID.Member]
		m.call, m.answered = call{}, c.Number
		g.refuse(m, worker.RefusedKnown)
		return
	}
	if !g.names(c.ID) || c.Nonce != g.options.Spec.Nonce ||
		(r.Status.Spec.Nonce != "" && (r.Status.Spec.Nonce != c.Nonce || r.Status.Spec.ID != c.ID)) {
		g.ignored.Mismatched++
		return
	}
	m := g.byIndex[c.ID.Member]
	if c.Kind == KindAcknowledge {
		return
	}
	if c.Number != 0 && c.Number == m.checkpoint.number {
		m.checkpoint, m.checkpointed, m.answered = call{}, true, c.Number
		return
	}
	if c.Number == 0 || c.Number != m.call.number {
		if c.Number == m.answered {
			g.ignored.Duplicate++
		} else {
			g.ignored.Late++
		}
		return
	}
	m.answered = c.Number
	if r.Err != nil {
		g.lost(m, c.Kind)
		if c.Kind == KindAnswer && worker.IsErrTaskNotExist(r.Err) {
			m.workerLost = true
		}
		return
	}
	sent := m.call.sent
	m.call = call{}
	g.accept(m, c, r, sent)
}

// heldByOther reports whether the reply to the renewal of a hold, which may not have been admitted, shows that the id
// belongs to the task of another owner.
func (g *Gang) heldByOther(r Reply) bool {
	c, s := r.Command, r.Status.Spec
	m := g.byIndex[c.ID.Member]
	return !g.startIssued && c.Kind == KindRenew && c.Number != 0 && c.Number == m.call.number && r.Err == nil &&
		m.state == stateUnsure && s.ID == c.ID && s.Nonce != "" && s.Nonce != c.Nonce
}

// accept handles a usable reply to a command that was issued at the time sent.
func (g *Gang) accept(m *member, c Command, r Reply, sent time.Time) {
	switch c.Kind {
	case KindHold:
		g.holdReply(m, r.Refused, sent)
	case KindStart:
		g.startReply(m, r.Refused)
	case KindRenew:
		g.renewReply(m, c, r.Status, sent)
	case KindStop, KindForbid:
		g.endReply(m, c.Kind, r.Status)
	case KindAnswer:
		g.finish(ResultDone, job.CodeOK, "")
		g.answer = r.Answer
	}
}

func (g *Gang) holdReply(m *member, refused worker.Refusal, sent time.Time) {
	switch {
	case refused == worker.RefusedNone:
		m.state, m.renewed, m.until, m.admitted = stateHeld, sent, sent.Add(g.options.Limits.HoldLength), true
	case refused == worker.RefusedKnown && m.holds > 1:
		// An earlier hold whose reply was lost may have been admitted; a renewal tells.
		m.state = stateUnsure
	default:
		g.refuse(m, refused)
	}
}

func (g *Gang) refuse(m *member, refused worker.Refusal) {
	m.state = stateRefused
	if g.detail == "" {
		g.detail = "worker " + m.worker + " refused: " + string(refused)
	}
}

func (g *Gang) startReply(m *member, refused worker.Refusal) {
	if m.state != stateStarting {
		return
	}
	if refused == worker.RefusedNone || refused == worker.RefusedAlreadyActive {
		m.state = stateRunning
		return
	}
	g.refuse(m, refused)
}

func (g *Gang) renewReply(m *member, c Command, s worker.Status, sent time.Time) {
	if g.startIssued {
		g.report(m, s)
		if s.State == worker.StateRunning {
			m.renewed, m.until, m.leased = sent, sent.Add(c.Lease), true
		}
		return
	}
	switch {
	case s.State == worker.StateHeld:
		m.state, m.renewed, m.until, m.admitted = stateHeld, sent, sent.Add(c.Lease), true
	case s.State == worker.StateUnknown && m.state == stateUnsure:
		m.state = stateIdle
	default:
		g.refuse(m, worker.Refusal(s.State))
	}
}

// changed applies a worker event.
func (g *Gang) changed(s worker.Status) {
	if !g.names(s.Spec.ID) || s.Spec.Nonce != g.options.Spec.Nonce {
		g.ignored.Mismatched++
		return
	}
	m := g.byIndex[s.Spec.ID.Member]
	switch {
	case g.phase == PhaseEnded:
		g.ignored.Late++
	case g.startIssued:
		if s.State != worker.StateHeld {
			g.report(m, s)
		}
	case s.State != worker.StateHeld:
		g.refuse(m, worker.Refusal(s.State))
	}
}

func (g *Gang) workerLost(name string) {
	for _, m := range g.members {
		if m.worker != name {
			continue
		}
		m.workerLost = true
		if !g.startIssued {
			g.refuse(m, "worker lost")
		}
	}
}
