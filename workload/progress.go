package workload

import (
	"slices"
	"time"

	"github.com/pkg/errors"

	"clementinepier/codec"
)

// Phase is the phase of a task's life cycle.
type Phase uint8

// The phases of a task.
const (
	// PhaseWaiting means that no run of the task exists and that no order which may still arrive can create one.
	PhaseWaiting Phase = iota
	// PhasePlaced means that a run of the task may exist on the recorded worker.
	PhasePlaced
	// PhaseDone means that a run of the task has ended successfully.
	PhaseDone
)

// TaskProgress is the recorded progress of one task.
type TaskProgress struct {
	_     struct{} `cbor:",toarray"`
	Phase Phase
	// Run is the number of the latest run. It grows with each placement and is stored before the worker is ordered to start.
	Run int
	// Failed counts the runs that ended because the task failed. All tasks of a gang have the same count.
	Failed int
	// Worker is the id of the worker on which the latest run was placed.
	Worker string
	// Checkpoint is the newest known checkpoint; empty means none.
	Checkpoint string
}

// State is the state of a job that is reported to callers.
type State string

// The states of a job.
const (
	StateQueued    State = "queued"
	StateRunning   State = "running"
	StateCompleted State = "completed"
	StateFailed    State = "failed"
	StateCancelled State = "cancelled"
)

// Ended reports whether the state is final.
func (s State) Ended() bool { return s == StateCompleted || s == StateFailed || s == StateCancelled }

// Progress is the part of a job's record that changes while the job is active.
type Progress struct {
	// Tasks is indexed by occurrence, step and task.
	Tasks [][][]TaskProgress `cbor:"1,keyasint"`
	// Started is set once a task has been placed.
	Started   bool `cbor:"2,keyasint,omitempty"`
	Cancelled bool `cbor:"3,keyasint,omitempty"`
	// Failed is set when a task has failed as often as the job's MaxAttempts allows.
	Failed bool `cbor:"4,keyasint,omitempty"`
	// Ended is when the job reached its final state, or zero.
	Ended time.Time `cbor:"5,keyasint,omitzero"`
	// GangFailures has, by occurrence and step, the number of the last run of a gang whose failure was counted; 0 or missing means
	// none.
	GangFailures [][]int `cbor:"6,keyasint,omitempty"`
	// LateStarts has the start orders without a response of runs that have ended, the oldest first, at most maxLateStarts.
	LateStarts []LateStart `cbor:"7,keyasint,omitempty"`
}

// maxLateStarts bounds the late starts in a record; each takes about 60 bytes.
const maxLateStarts = 16

// LateStart is a start order that got no response, so that its worker may carry it out later.
type LateStart struct {
	Occurrence int `cbor:"1,keyasint,omitempty"`
	Step       int `cbor:"2,keyasint,omitempty"`
	// Index is the number of the task, or -1 for a gang.
	Index int `cbor:"3,keyasint,omitempty"`
	Run   int `cbor:"4,keyasint,omitempty"`
	// Worker is the id of the worker, and Incarnation the one that the order was meant for; 0 is unknown.
	Worker      string `cbor:"5,keyasint,omitempty"`
	Incarnation int64  `cbor:"6,keyasint,omitempty"`
	// Sent is when the order was sent at the latest, by the planner's wall clock.
	Sent time.Time `cbor:"7,keyasint,omitzero"`
	// Assumed is set if it is not known whether an earlier planner got a response.
	Assumed bool `cbor:"8,keyasint,omitempty"`
}

// AddLateStart adds a late start, in place of an earlier one of the same task or gang on the same worker.
func (p *Progress) AddLateStart(s LateStart) {
	p.LateStarts = slices.DeleteFunc(p.LateStarts, func(o LateStart) bool {
		return o.Worker == s.Worker && o.Occurrence == s.Occurrence && o.Step == s.Step && o.Index == s.Index
	})
	p.LateStarts = append(p.LateStarts, s)
	if n := len(p.LateStarts) - maxLateStarts; n > 0 {
		p.LateStarts = slices.Delete(p.LateStarts, 0, n)
	}
}

// DropLateStarts drops the late starts that were sent before the given time.
func (p *Progress) DropLateStarts(before time.Time) {
	p.LateStarts = slices.DeleteFunc(p.LateStarts, func(s LateStart) bool { return s.Sent.Before(before) })
}

// NewProgress returns the progress of a job that has not started.
func NewProgress(j *Job) *Progress {
	p := &Progress{Tasks: make([][][]TaskProgress, j.Occurrences())}
	for k := range p.Tasks {
		p.Tasks[k] = make([][]TaskProgress, len(j.Steps))
		for i, s := range j.Steps {
			p.Tasks[k][i] = make([]TaskProgress, s.Tasks)
		}
	}
	return p
}

// CountGangFailure reports whether the failure of a run of a gang is to be counted, the first time only.
func (p *Progress) CountGangFailure(occurrence, step, run int) bool {
	for len(p.GangFailures) <= occurrence {
		p.GangFailures = append(p.GangFailures, nil)
	}
	for len(p.GangFailures[occurrence]) <= step {
		p.GangFailures[occurrence] = append(p.GangFailures[occurrence], 0)
	}
	if p.GangFailures[occurrence][step] >= run {
		return false
	}
	p.GangFailures[occurrence][step] = run
	return true
}

// StepDone reports whether all tasks of a step are done.
func (p *Progress) StepDone(occurrence, step int) bool {
	for i := range p.Tasks[occurrence][step] {
		if p.Tasks[occurrence][step][i].Phase != PhaseDone {
			return false
		}
	}
	return true
}

// AllDone reports whether all tasks of all occurrences are done.
func (p *Progress) AllDone() bool {
	for k := range p.Tasks {
		for i := range p.Tasks[k] {
			if !p.StepDone(k, i) {
				return false
			}
		}
	}
	return true
}

// HasOutcome reports whether a run of any task is known to have made progress or to have ended as done or failed.
func (p *Progress) HasOutcome() bool {
	for _, steps := range p.Tasks {
		for _, tasks := range steps {
			for _, t := range tasks {
				if t.Phase == PhaseDone || t.Failed > 0 || t.Checkpoint != "" {
					return true
				}
			}
		}
	}
	return false
}

// State returns the state that is reported to callers.
func (p *Progress) State() State {
	switch {
	case p.Cancelled:
		return StateCancelled
	case p.Failed:
		return StateFailed
	case p.AllDone():
		return StateCompleted
	case p.Started:
		return StateRunning
	default:
		return StateQueued
	}
}

// Record is a job with its progress, as kept in the store.
type Record struct {
	Job      Job      `cbor:"1,keyasint"`
	Progress Progress `cbor:"2,keyasint"`
}

// Encode returns the record in its stored form.
func (r *Record) Encode() ([]byte, error) {
	data, err := codec.Marshal(r)
	return data, errors.Wrap(err, "encode job record")
}

// DecodeRecord decodes a stored record. It returns an error if the job is invalid or its progress does not match its steps.
func DecodeRecord(data []byte) (*Record, error) {
	var r Record
	if err := codec.Unmarshal(data, &r); err != nil {
		return nil, errors.Wrap(err, "decode job record")
	}
	if err := r.Job.Validate(); err != nil {
		return nil, err
	}
	if len(r.Progress.Tasks) != r.Job.Occurrences() {
		return nil, &ErrInvalidJob{Reason: "its progress has a different number of occurrences"}
	}
	for _, steps := range r.Progress.Tasks {
		if len(steps) != len(r.Job.Steps) {
			return nil, &ErrInvalidJob{Reason: "its progress has a different number of steps"}
		}
		for i := range steps {
			if len(steps[i]) != r.Job.Steps[i].Tasks {
				return nil, &ErrInvalidJob{Reason: "its progress has a different number of tasks"}
			}
		}
	}
	return &r, nil
}
