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

// Command is one call to a worker for one member. Callers may batch the renewals, stops and acknowledgements of
// several gangs for one worker.
type Command struct {
	// Number is unique within the attempt and grows.
	Number uint64
	Kind   Kind
	Member int
	Worker string
	ID     job.TaskID
	Nonce  string
	// Lease is the lease that a hold, a renewal or a start asks for.
	Lease time.Duration
	// NotAfter is when the command must no longer be sent; a caller that is too late replies with an error instead. A
	// renewal that an owner sends after a pause would otherwise prolong the lease of a gang that has lost a member.
	NotAfter time.Time
	// Reason is set for stops.
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

// Tick only passes the time.
type Tick struct{}

// Claimed says that the claim of this attempt is written.
type Claimed struct{}

// WorkerLost says that a worker is gone, or has restarted and lost its tasks.
type WorkerLost struct{ Worker string }

// Cancel ends the attempt for the reason given.
type Cancel struct{ Code job.Code }

// Preempt ends the attempt after a checkpoint of the running members.
type Preempt struct{}

// StatusChanged is an event that a worker reported.
type StatusChanged struct{ Status worker.Status }

// OutcomeDelivered says that the outcome has reached the receiver, so workers may drop their answers.
type OutcomeDelivered struct{}

func (Reply) event()            {}
func (Tick) event()             {}
func (Claimed) event()          {}
func (WorkerLost) event()       {}
func (Cancel) event()           {}
func (Preempt) event()          {}
func (StatusChanged) event()    {}
func (OutcomeDelivered) event() {}
