package gang

import (
	"time"

	"clementinepier/worker"
)

// memberState is what the owner knows of one member.
type memberState int

const (
	stateIdle memberState = iota
	// stateUnsure means that the reply to a hold was lost.
	stateUnsure
	stateHeld
	// stateRefused means that a hold or a start was refused, or that a hold was lost.
	stateRefused
	// stateStarting means that a start was issued and is not confirmed.
	stateStarting
	stateRunning
	stateDone
	stateFailed
	// stateEnded means that the worker reported that the member was started and ended badly.
	stateEnded
	// stateReleased means that the worker reported that the member holds nothing and never started.
	stateReleased
	// stateForbidden means that the worker confirmed that the member never started and never will.
	stateForbidden
	// stateLost means that nothing more can be learnt about the member.
	stateLost
	// stateAdopted means that no worker has reported the member to its new owner.
	stateAdopted
)

// call is a command that awaits its reply.
type call struct {
	number uint64
	kind   Kind
	sent   time.Time
}

type member struct {
	index  int
	worker string
	state  memberState
	// until is the earliest time at which the hold or the lease can lapse on the worker.
	until time.Time
	// renewed is when the last confirmed hold, start or renewal was issued.
	renewed time.Time
	// leased is true once a renewal has replaced the start window.
	leased  bool
	retryAt time.Time
	call    call
	// checkpoint is awaited beside call, because leases are renewed meanwhile.
	checkpoint   call
	checkpointed bool
	// admitted is true once the worker has confirmed a hold under the attempt's own nonce.
	admitted   bool
	holds      int
	stops      int
	answered   uint64
	workerLost bool
}

// confirmed reports whether the worker has said that the member was started and did not end badly.
func (m *member) confirmed() bool { return m.state == stateRunning || m.state == stateDone }

// badly reports whether the member ended or was refused, so that the others must end.
func (m *member) badly() bool {
	return !m.confirmed() && m.state != stateStarting
}

// settled reports whether nothing is left to do for the member while the attempt ends.
func (m *member) settled() bool {
	switch m.state {
	case stateDone, stateFailed, stateEnded, stateForbidden, stateLost:
		return true
	}
	return m.workerLost && m.stops > 0 && m.call.number == 0
}

// free reports whether a new command may be issued for the member.
func (m *member) free(now time.Time) bool { return m.call.number == 0 && !now.Before(m.retryAt) }

// report records a status that a worker gave for a member whose start was issued.
func (g *Gang) report(m *member, s worker.Status) {
	switch m.state {
	case stateDone, stateFailed, stateEnded, stateForbidden, stateLost:
		return
	}
	switch {
	case s.State == worker.StateRunning:
		m.state = stateRunning
	case s.State == worker.StateDone:
		m.state = stateDone
		if m.call.kind == KindRenew {
			// There is nothing left to renew. The answer must not wait for the reply, since owners batch renewals.
			m.call, m.retryAt = call{}, time.Time{}
		}
	case s.State == worker.StateFailed && s.Started:
		m.state = stateFailed
		if g.detail == "" {
			g.detail = s.Error
		}
	case s.State == worker.StateUnknown:
		// Every member was held before any start was issued, so a worker without a record has lost its tasks.
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
