package gang

import (
	"time"

	"clementinepier/worker"
)

// memberState is what the rack owner that runs the attempt knows about one member.
type memberState int

const (
	stateIdle memberState = iota
	// stateHoldUnconfirmed means that no reply to a hold arrived in time, so the worker may or may not hold the member.
	stateHoldUnconfirmed
	stateHeld
	// stateRefused means that a hold or a start was refused, that a hold has ended on the worker, or that an adopted member was
	// only held.
	stateRefused
	// stateStarting means that a start was issued and is not confirmed yet.
	stateStarting
	stateRunning
	stateDone
	stateFailed
	// stateEnded means that the worker reported that the member was started and was stopped or lapsed.
	stateEnded
	// stateReleased means that the worker reported that the member holds no capacity and has not started.
	stateReleased
	// stateForbidden means that the worker confirmed that the member has not started and that it will refuse to start it.
	stateForbidden
	// stateLost means that the worker has no record of the member any more.
	stateLost
	// stateAdopted means that another rack owner has taken the attempt over, and the worker has not reported this member to it
	// yet.
	stateAdopted
)

// pendingCommand is a command that awaits its reply; number is 0 if there is none.
type pendingCommand struct {
	number   uint64
	kind     Kind
	issuedAt time.Time
}

type member struct {
	index  int
	worker string
	state  memberState
	// validUntil is the earliest time at which the hold or the task lease can lapse on the worker.
	validUntil time.Time
	// renewedAt is when the last confirmed hold, start or renewal was issued.
	renewedAt time.Time
	// hasTaskLease is true once a confirmed renewal has replaced the start window by the task lease.
	hasTaskLease   bool
	retryAt        time.Time
	pendingCommand pendingCommand
	// pendingCheckpoint is separate from pendingCommand, because leases are renewed while the checkpoint is awaited.
	pendingCheckpoint pendingCommand
	checkpointed      bool
	// holdConfirmed is true once the worker has confirmed a hold under the attempt's own nonce.
	holdConfirmed bool
	holdsIssued   int
	stopsIssued   int
	// lastAnswered is the number of the last command whose reply was handled.
	lastAnswered uint64
	workerLost   bool
}

// confirmed reports whether the worker has reported the member as running or done.
func (m *member) confirmed() bool { return m.state == stateRunning || m.state == stateDone }

// endedOrRefused reports, for an attempt whose starts were issued, whether the member is neither running, done nor starting,
// so that the other members must end.
func (m *member) endedOrRefused() bool {
	return !m.confirmed() && m.state != stateStarting
}

// finished reports whether the ending attempt has nothing left to do for the member.
func (m *member) finished() bool {
	switch m.state {
	case stateDone, stateFailed, stateEnded, stateForbidden, stateLost:
		return true
	}
	return m.workerLost && m.stopsIssued > 0 && m.pendingCommand.number == 0
}

// mayIssue reports whether a new command may be issued for the member.
func (m *member) mayIssue(now time.Time) bool {
	return m.pendingCommand.number == 0 && !now.Before(m.retryAt)
}

// recordStatus records a status that a worker gave for a member whose start was issued.
func (g *Gang) recordStatus(m *member, s worker.Status) {
	switch m.state {
	case stateDone, stateFailed, stateEnded, stateForbidden, stateLost:
		return
	}
	switch {
	case s.State == worker.StateRunning:
		m.state = stateRunning
	case s.State == worker.StateDone:
		m.state = stateDone
		if m.pendingCommand.kind == KindRenew {
			// Drops the pending renewal: no lease is left to renew, and the owner batches renewals, so waiting for the
			// reply would delay the fetching of the answer.
			m.pendingCommand, m.retryAt = pendingCommand{}, time.Time{}
		}
	case s.State == worker.StateFailed && s.Started:
		m.state = stateFailed
		if g.detail == "" {
			g.detail = s.Error
		}
	case s.State == worker.StateUnknown:
		// Every member was held before any start was issued, so a worker without a record of it has lost its tasks.
		m.state = stateLost
	case s.Started:
		m.state = stateEnded
	case s.State == worker.StateHeld:
		if m.state == stateAdopted {
			m.state = stateRefused
		}
	default:
		m.state = stateReleased
	}
}
