package claim

import (
	"testing"

	"github.com/matryer/is"
)

// model is a small model of the claim protocol for exhaustive search. It has two owners, of which the second also settles
// claims, one worker that may restart, and a store whose writes can be lost, answered late or take effect late. Orders in
// which a step never happens cover dead owners and lost messages.
type model struct {
	record      modelRecord
	version     int8
	incarnation int8
	// tasks are indexed by owner and attempt.
	tasks              [2][2]modelTask
	started            [2][2]bool
	reportedNotStarted [2][2]bool
	owners             [2]modelOwner
	settler            modelSettler
}

type (
	modelTask   int8
	modelRecord struct {
		state          RecordState
		owner, attempt int8
	}
	modelWrite struct {
		pending bool
		version int8
		record  modelRecord
	}
	modelOwner struct {
		step             modelStep
		attempt          int8
		write, lateWrite modelWrite
		startPending     bool
		startIncarnation int8
	}
	modelSettler struct {
		step        int8
		incarnation int8
		record      modelRecord
	}
	modelStep int8
)

const (
	taskNone modelTask = iota
	taskHeld
	taskRunning
	taskReleased // ended without having started
	taskForbidden
	taskEnded

	stepIdle modelStep = iota
	stepHeld
	stepWriting
	stepUnconfirmed
	stepClaimed
	stepStarted
	stepOver
)

// modelRules are the rules of the protocol. The test removes them one by one, to show that the search finds a fault without
// each of them.
type modelRules struct{ claim, forbid, sameIncarnation, noRetryAfterUnknown, rereadAfterLostReply bool }

// search is a breadth-first search of the states that the model can reach.
type search struct {
	rules modelRules
	fault string
	found []model
}

func (s *search) add(m model) { s.found = append(s.found, m) }

func (s *search) reportNotStarted(m *model, owner, attempt int8) {
	m.reportedNotStarted[owner][attempt] = true
	if m.started[owner][attempt] {
		s.fault = "reported as never started"
	}
}

// addOwnerSteps adds the states after each possible step of owner i.
func (s *search) addOwnerSteps(m model, i int8) {
	o := m.owners[i]
	task := &m.tasks[i][o.attempt]
	ownClaim := modelRecord{state: StateClaimed, owner: i, attempt: o.attempt}
	free := m.record.state == "" && o.attempt == 0 || m.record.state == StateNotRun && m.record.attempt < o.attempt
	switch o.step {
	case stepIdle:
		if *task == taskNone {
			*task, m.owners[i].step = taskHeld, stepHeld
			s.add(m)
		}
	case stepHeld, stepUnconfirmed: // the owner reads the store
		switch {
		case m.record == ownClaim || !s.rules.claim || o.step == stepUnconfirmed && !s.rules.rereadAfterLostReply:
			m.owners[i].step = stepClaimed
		case free:
			m.owners[i].step = stepWriting
			m.owners[i].write = modelWrite{pending: true, version: m.version, record: ownClaim}
		default: // another claim exists: the owner drops its hold; no start was sent
			if *task == taskHeld {
				*task = taskReleased
			}
			m.owners[i].step = stepOver
			s.reportNotStarted(&m, i, o.attempt)
		}
		s.add(m)
	case stepWriting:
		for _, late := range []bool{true, false} { // the call times out; the write is lost or takes effect late
			n := m
			n.owners[i].step, n.owners[i].write = stepUnconfirmed, modelWrite{}
			if late {
				n.owners[i].lateWrite = o.write
			}
			s.add(n)
		}
		m.owners[i].write = modelWrite{}
		m.owners[i].step = stepUnconfirmed
		if m.version == o.write.version {
			m.version, m.record = m.version+1, o.write.record
			s.add(m) // the reply is lost
			m.owners[i].step = stepClaimed
		}
		s.add(m)
	case stepClaimed:
		m.owners[i].step, m.owners[i].startPending, m.owners[i].startIncarnation = stepStarted, true, m.incarnation
		s.add(m)
	case stepStarted: // the owner stops the task and, if it has not started, forbids it
		if *task == taskReleased || *task == taskHeld {
			*task, m.owners[i].step = taskForbidden, stepOver
			s.reportNotStarted(&m, i, o.attempt)
			if m.record == ownClaim {
				m.record.state, m.version = StateNotRun, m.version+1
			}
			s.add(m)
		}
	}
}

// addDeliveries adds the states after the arrival of a late write or a start of owner i.
func (s *search) addDeliveries(m model, i int8) {
	o := m.owners[i]
	if o.lateWrite.pending {
		n := m
		n.owners[i].lateWrite = modelWrite{}
		if n.version == o.lateWrite.version {
			n.version, n.record = n.version+1, o.lateWrite.record
		}
		s.add(n)
	}
	if o.startPending {
		m.owners[i].startPending = false
		if m.incarnation == o.startIncarnation && m.tasks[i][o.attempt] == taskHeld {
			m.tasks[i][o.attempt] = taskRunning
			total := 1
			for _, attempts := range m.started {
				for _, started := range attempts {
					if started {
						total++
					}
				}
			}
			m.started[i][o.attempt] = true
			if total > 1 {
				s.fault = "started twice"
			}
			if m.reportedNotStarted[i][o.attempt] {
				s.fault = "started after it was reported as never started"
			}
		}
		s.add(m)
	}
}

// addWorkerSteps adds the states after a lapsed lease, the end of a task and a restart of the worker.
func (s *search) addWorkerSteps(m model) {
	for i := range m.tasks {
		for a, t := range m.tasks[i] {
			n := m
			switch t {
			case taskHeld:
				n.tasks[i][a] = taskReleased
			case taskRunning:
				n.tasks[i][a] = taskEnded
			default:
				continue
			}
			s.add(n)
		}
	}
	if m.incarnation == 0 {
		m.incarnation, m.tasks = 1, [2][2]modelTask{}
		s.add(m)
	}
}

// addSettlerSteps adds the states after each possible step of the settler, which acts for the second owner once that has
// abandoned its own attempt.
func (s *search) addSettlerSteps(m model) {
	st := m.settler
	task := &m.tasks[st.record.owner][st.record.attempt]
	next := func(n model, step int8) { n.settler.step = step; s.add(n) }
	verdict := func(n model, state RecordState) {
		if n.record == st.record {
			n.record.state, n.version = state, n.version+1
		}
		if state == StateNotRun {
			s.reportNotStarted(&n, st.record.owner, st.record.attempt)
		}
		if n.record.state == StateNotRun || !s.rules.noRetryAfterUnknown {
			n.owners[1] = modelOwner{attempt: 1, lateWrite: n.owners[1].lateWrite}
			if n.record.state != StateNotRun {
				n.owners[1].step, n.tasks[1][1] = stepClaimed, taskHeld
			}
		}
		next(n, 4)
	}
	switch st.step {
	case 0:
		if m.owners[1].step == stepOver && m.record.state == StateClaimed && m.record.owner == 0 {
			m.settler.record = m.record
			next(m, 1)
		}
	case 1: // queries the worker
		m.settler.incarnation = m.incarnation
		switch *task {
		case taskHeld, taskReleased, taskForbidden:
			if !s.rules.forbid {
				verdict(m, StateNotRun)
				return
			}
			next(m, 2)
		case taskNone, taskEnded:
			verdict(m, StateUnknown)
		case taskRunning:
			next(m, 4) // attaches
		}
	case 2: // forbids the task; the call may be lost
		verdict(m, StateUnknown)
		if *task == taskRunning || *task == taskEnded {
			return
		}
		*task = taskForbidden
		verdict(m, StateUnknown)
		next(m, 3)
	case 3: // queries the worker again
		if s.rules.sameIncarnation && m.incarnation != st.incarnation {
			verdict(m, StateUnknown)
			return
		}
		verdict(m, StateNotRun)
	}
}

// explore visits every state that the model can reach. It returns their number and stops at the first fault.
func explore(rules modelRules) (states int, fault string) {
	s := &search{rules: rules, found: []model{{}}}
	for i := range s.found[0].owners {
		s.found[0].owners[i].step = stepIdle
	}
	seen := map[model]bool{}
	for len(s.found) > 0 && s.fault == "" {
		level := s.found
		s.found = nil
		for _, m := range level {
			if seen[m] {
				continue
			}
			seen[m] = true
			for i := range int8(2) {
				s.addOwnerSteps(m, i)
				s.addDeliveries(m, i)
			}
			s.addWorkerSteps(m)
			s.addSettlerSteps(m)
		}
	}
	return len(seen), s.fault
}

// Guards against an order of steps in which the rules of the protocol allow a second start or a wrong report of an attempt
// as never started, and against a rule that the protocol does not need.
func TestProtocolModelHasNoFaultInAnyOrder(t *testing.T) {
	all := modelRules{claim: true, forbid: true, sameIncarnation: true, noRetryAfterUnknown: true, rereadAfterLostReply: true}
	cases := map[string]func(*modelRules){
		"claim before start":             func(r *modelRules) { r.claim = false },
		"forbid before settling":         func(r *modelRules) { r.forbid = false },
		"same incarnation of the worker": func(r *modelRules) { r.sameIncarnation = false },
		"no retry after unknown":         func(r *modelRules) { r.noRetryAfterUnknown = false },
		"read again after lost reply":    func(r *modelRules) { r.rereadAfterLostReply = false },
	}
	states, fault := explore(all)
	t.Log(states, "states")
	is.New(t).Equal(fault, "")
	is.New(t).True(states > 1000)
	for name, remove := range cases {
		rules := all
		remove(&rules)
		states, fault := explore(rules)
		t.Log("without", name, "after", states, "states:", fault)
		is.New(t).True(fault != "")
	}
}
