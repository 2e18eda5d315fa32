package claim

import (
	"testing"

	"github.com/matryer/is"
)

// model is a small copy of the claim protocol for exhaustive search: two owners, of which the second also settles,
// one worker that may restart, and a store whose writes can be lost, answered late or take effect late. Steps that
// never happen stand for dead owners and lost messages.
type model struct {
	record  modelRecord
	version int8
	boot    int8
	// tasks are indexed by owner and attempt.
	tasks   [2][2]modelTask
	started [2][2]bool
	never   [2][2]bool
	owners  [2]modelOwner
	settler modelSettler
}

type (
	modelTask   int8
	modelRecord struct {
		state          RecordState
		owner, attempt int8
	}
	modelWrite struct {
		open    bool
		version int8
		record  modelRecord
	}
	modelOwner struct {
		step        modelStep
		attempt     int8
		write, late modelWrite
		startOpen   bool
		startBoot   int8
	}
	modelSettler struct {
		step   int8
		boot   int8
		record modelRecord
	}
	modelStep int8
)

const (
	taskNone modelTask = iota
	taskHeld
	taskRunning
	taskIdle // ended and never started
	taskForbidden
	taskEnded

	stepIdle modelStep = iota
	stepHeld
	stepWriting
	stepDoubt
	stepClaimed
	stepStarted
	stepOver
)

// modelRules are removed one by one, to show that the search finds the fault.
type modelRules struct{ claim, fence, sameBoot, noRetry, readAgain bool }

type search struct {
	rules modelRules
	fault string
	found []model
}

func (s *search) add(m model) { s.found = append(s.found, m) }

func (s *search) report(m *model, owner, attempt int8) {
	m.never[owner][attempt] = true
	if m.started[owner][attempt] {
		s.fault = "reported as never started"
	}
}

// owner adds the steps of one owner.
func (s *search) owner(m model, i int8) {
	o := m.owners[i]
	task := &m.tasks[i][o.attempt]
	mine := modelRecord{state: StateClaimed, owner: i, attempt: o.attempt}
	free := m.record.state == "" && o.attempt == 0 || m.record.state == StateNotRun && m.record.attempt < o.attempt
	switch o.step {
	case stepIdle:
		if *task == taskNone {
			*task, m.owners[i].step = taskHeld, stepHeld
			s.add(m)
		}
	case stepHeld, stepDoubt: // reads the store
		switch {
		case m.record == mine || !s.rules.claim || o.step == stepDoubt && !s.rules.readAgain:
			m.owners[i].step = stepClaimed
		case free:
			m.owners[i].step = stepWriting
			m.owners[i].write = modelWrite{open: true, version: m.version, record: mine}
		default: // drops its hold; no start was sent
			if *task == taskHeld {
				*task = taskIdle
			}
			m.owners[i].step = stepOver
			s.report(&m, i, o.attempt)
		}
		s.add(m)
	case stepWriting:
		for _, late := range []bool{true, false} { // gives up; the write is lost or takes effect late
			n := m
			n.owners[i].step, n.owners[i].write = stepDoubt, modelWrite{}
			if late {
				n.owners[i].late = o.write
			}
			s.add(n)
		}
		m.owners[i].write = modelWrite{}
		m.owners[i].step = stepDoubt
		if m.version == o.write.version {
			m.version, m.record = m.version+1, o.write.record
			s.add(m) // the reply is lost
			m.owners[i].step = stepClaimed
		}
		s.add(m)
	case stepClaimed:
		m.owners[i].step, m.owners[i].startOpen, m.owners[i].startBoot = stepStarted, true, m.boot
		s.add(m)
	case stepStarted: // stops the task and, if it had not started, forbids it
		if *task == taskIdle || *task == taskHeld {
			*task, m.owners[i].step = taskForbidden, stepOver
			s.report(&m, i, o.attempt)
			if m.record == mine {
				m.record.state, m.version = StateNotRun, m.version+1
			}
			s.add(m)
		}
	}
}

// network adds the arrival of late writes and of starts.
func (s *search) network(m model, i int8) {
	o := m.owners[i]
	if o.late.open {
		n := m
		n.owners[i].late = modelWrite{}
		if n.version == o.late.version {
			n.version, n.record = n.version+1, o.late.record
		}
		s.add(n)
	}
	if o.startOpen {
		m.owners[i].startOpen = false
		if m.boot == o.startBoot && m.tasks[i][o.attempt] == taskHeld {
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
			if m.never[i][o.attempt] {
				s.fault = "started after a report of never started"
			}
		}
		s.add(m)
	}
}

// worker adds lapsed leases, ended tasks and a restart.
func (s *search) worker(m model) {
	for i := range m.tasks {
		for a, t := range m.tasks[i] {
			n := m
			switch t {
			case taskHeld:
				n.tasks[i][a] = taskIdle
			case taskRunning:
				n.tasks[i][a] = taskEnded
			default:
				continue
			}
			s.add(n)
		}
	}
	if m.boot == 0 {
		m.boot, m.tasks = 1, [2][2]modelTask{}
		s.add(m)
	}
}

// settle adds the steps of the settler, which acts for the second owner once it has given up its own attempt.
func (s *search) settle(m model) {
	st := m.settler
	task := &m.tasks[st.record.owner][st.record.attempt]
	next := func(n model, step int8) { n.settler.step = step; s.add(n) }
	verdict := func(n model, state RecordState) {
		if n.record == st.record {
			n.record.state, n.version = state, n.version+1
		}
		if state == StateNotRun {
			s.report(&n, st.record.owner, st.record.attempt)
		}
		if n.record.state == StateNotRun || !s.rules.noRetry {
			n.owners[1] = modelOwner{attempt: 1, late: n.owners[1].late}
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
	case 1: // asks
		m.settler.boot = m.boot
		switch *task {
		case taskHeld, taskIdle, taskForbidden:
			if !s.rules.fence {
				verdict(m, StateNotRun)
				return
			}
			next(m, 2)
		case taskNone, taskEnded:
			verdict(m, StateUnknown)
		case taskRunning:
			next(m, 4) // attaches
		}
	case 2: // forbids; the call may be lost
		verdict(m, StateUnknown)
		if *task == taskRunning || *task == taskEnded {
			return
		}
		*task = taskForbidden
		verdict(m, StateUnknown)
		next(m, 3)
	case 3: // asks again
		if s.rules.sameBoot && m.boot != st.boot {
			verdict(m, StateUnknown)
			return
		}
		verdict(m, StateNotRun)
	}
}

// explore visits every state that can be reached and returns the first fault.
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
				s.owner(m, i)
				s.network(m, i)
			}
			s.worker(m)
			s.settle(m)
		}
	}
	return len(seen), s.fault
}

// Guards against a rule of the protocol that is too weak in some order of steps, and against rules without effect.
func TestEveryInterleaving(t *testing.T) {
	all := modelRules{claim: true, fence: true, sameBoot: true, noRetry: true, readAgain: true}
	cases := map[string]func(*modelRules){
		"claim before start":          func(r *modelRules) { r.claim = false },
		"forbid before settling":      func(r *modelRules) { r.fence = false },
		"same run of the worker":      func(r *modelRules) { r.sameBoot = false },
		"no retry after unknown":      func(r *modelRules) { r.noRetry = false },
		"read again after lost reply": func(r *modelRules) { r.readAgain = false },
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
