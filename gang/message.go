package gang

import (
	"time"

	"clementinepier/job"
	"clementinepier/worker"
)

// Kind is what a command asks a worker to do.
type Kind string

// The kinds of commands.
const (
	KindHold        Kind = "hold"
	KindRenew       Kind = "renew"
	KindStart       Kind = "start"
	KindCheckpoint  Kind = "checkpoint"
	KindStop        Kind = "stop"
	KindForbid      Kind = "forbid"
	KindAnswer      Kind = "answer"
	KindAcknowledge Kind = "acknowledge"
)

// Command is one call to a worker for one member. The owner may send the renewals, stops and acknowledgements of several
// gangs to one worker as one batch.
type Command struct {
	// Number is unique within the attempt and increases with each command.
	Number uint64
	Kind   Kind
	Member int
	Worker string
	ID     job.TaskID
	Nonce  string
	// Lease is the requested lease length of a hold, a renewal or a start.
	Lease time.Duration
	// NotAfter is the latest time at which the command may be sent; a sender that is too late passes a Reply with an error
	// to Step instead. Otherwise an owner whose process was paused could send an old renewal, which would extend the lease
	// of a gang that has lost a member.
	NotAfter time.Time
	// Reason is the code of the attempt; it is set for stops only.
	Reason string
}

// Event is an input of the state machine.
type Event interface{ event() }

// Reply is the outcome of a command.
type Reply struct {
	Command Command
	// Refused is set for holds and starts.
	Refused worker.Refusal
	// Status is set for renewals, stops and forbids.
	Status worker.Status
	// Answer is set for answers.
	Answer []byte
	// Err is set when the worker gave no usable reply.
	Err error
}

// Tick reports no event; Step handles timeouts and due renewals.
type Tick struct{}

// Claimed reports that the claim of this attempt was written to the store.
type Claimed struct{}

// WorkerLost reports that a worker is gone, or has restarted and lost its tasks.
type WorkerLost struct{ Worker string }

// Cancel ends the attempt with the given code.
type Cancel struct{ Code job.Code }

// Preempt ends the attempt. Running members save a checkpoint first.
type Preempt struct{}

// StatusChanged reports a status that a worker sent without being asked by a command.
type StatusChanged struct{ Status worker.Status }

// OutcomeDelivered reports that the outcome has reached the receiver, so workers may drop their answers.
type OutcomeDelivered struct{}

func (Reply) event()            {}
func (Tick) event()             {}
func (Claimed) event()          {}
func (WorkerLost) event()       {}
func (Cancel) event()           {}
func (Preempt) event()          {}
func (StatusChanged) event()    {}
func (OutcomeDelivered) event() {}
