package workload

import (
	"time"

	"github.com/pkg/errors"

	"clementinepier/codec"
)

// Phase is how far a task is.
type Phase uint8

// The phases of a task.
const (
	// PhaseWaiting means that no run of the task exists or can come to exist.
	PhaseWaiting Phase = iota
	// PhasePlaced means that a run may exist on the worker that the record names.
	PhasePlaced
	// PhaseDone means that a run has ended as done.
	PhaseDone
)

// TaskProgress is what is recorded of one task.
type TaskProgress struct {
	_     struct{} `cbor:",toarray"`
	Phase Phase
	// Run is the number of the latest run; it grows with each placement, and is recorded before the run is ordered.
	Run int
	// Failed counts the runs that ended by a failure of the task. All tasks of a gang have the same count.
	Failed int
	// Worker is where the latest run was placed.
	Worker string
	// Checkpoint is the newest one known; empty means none.
	Checkpoint string
}

// State is what callers are told of a job.
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

// Progress is the changing part of a job.
type Progress struct {
	// Tasks is indexed by occurrence, step and task.
	Tasks [][][]TaskProgress `cbor:"1,keyasint"`
	// Started is set once a task was placed.
	Started   bool `cbor:"2,keyasint,omitempty"`
	Cancelled bool `cbor:"3,keyasint,omitempty"`
	// Failed is set when a task has failed as often as it may.
	Failed bool `cbor:"4,keyasint,omitempty"`
	// Ended is when the job reached its final state; zero until then.
	Ended time.Time `cbor:"5,keyasint,omitzero"`
}

// NewProgress returns the progress of a job of which nothing has run.
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

// StepDone reports whether all tasks of a step have ended as done.
func (p *Progress) StepDone(occurrence, step int) bool {
	for i := range p.Tasks[occurrence][step] {
		if p.Tasks[occurrence][step][i].Phase != PhaseDone {
			return false
		}
	}
	return true
}

// AllDone reports whether every task has ended as done.
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

// State returns what callers are told.
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

// Record is a job with its progress, as the store keeps it.
type Record struct {
	Job      Job      `cbor:"1,keyasint"`
	Progress Progress `cbor:"2,keyasint"`
}

// Encode returns the record's bytes.
func (r *Record) Encode() ([]byte, error) {
	data, err := codec.Marshal(r)
	return data, errors.Wrap(err, "encode job record")
}

// DecodeRecord reads a record and checks that the progress has the job's form.
func DecodeRecord(data []byte) (*Record, error) {
	var r Record
	if err := codec.Unmarshal(data, &r); err != nil {
		return nil, errors.Wrap(err, "decode job record")
	}
	if err := r.Job.Validate(); err != nil {
		return nil, err
	}
	if len(r.Progress.Tasks) != r.Job.Occurrences() {
		return nil, &ErrInvalidJob{Reason: "its progress has another number of occurrences"}
	}
	for _, steps := range r.Progress.Tasks {
		if len(steps) != len(r.Job.Steps) {
			return nil, &ErrInvalidJob{Reason: "its progress has another number of steps"}
		}
		for i := range steps {
			if len(steps[i]) != r.Job.Steps[i].Tasks {
				return nil, &ErrInvalidJob{Reason: "its progress has another number of tasks"}
			}
		}
	}
	return &r, nil
}
