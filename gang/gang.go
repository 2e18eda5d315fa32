// Package gang drives one attempt at one request on its workers: it holds capacity for all members, starts all of them,
// renews their leases and ends all of them.
//
// A Gang is a pure state machine. It takes the time and typed events, and returns typed commands for the workers. A
// single task is a gang with one member. Access must be serialised by the owner, which is the entry VM that runs the
// attempt.
package gang

import (
	"sort"
	"time"

	"clementinepier/job"
	"clementinepier/worker"
)

// Phase is the progress of an attempt.
type Phase string

// The phases of an attempt.
const (
	// PhaseHolding means that not every member has confirmed its hold.
	PhaseHolding Phase = "holding"
	// PhaseReady means that every member has confirmed its hold; the claim or the permission to start is missing.
	PhaseReady Phase = "ready"
	// PhaseStarting means that start commands were issued and not every member has confirmed its start.
	PhaseStarting Phase = "starting"
	PhaseRunning  Phase = "running"
	// PhaseCheckpointing means that the attempt is being preempted and its members save their progress.
	PhaseCheckpointing Phase = "checkpointing"
	// PhaseEnding means that the remaining members are being stopped.
	PhaseEnding Phase = "ending"
	// PhaseCollecting means that every member is done and the answer of member 0 (the result of the request) is being
	// fetched.
	PhaseCollecting Phase = "collecting"
	PhaseEnded      Phase = "ended"
)

// Result says how an attempt ended.
type Result string

// The results of an attempt.
const (
	// ResultNone means that the attempt has not ended.
	ResultNone Result = ""
	// ResultNeverStarted means that no start command was issued, or that every member confirmed that it never
	// started and refuses the task from now on.
	ResultNeverStarted Result = "never-started"
	// ResultDone means that every member is done and the answer is present.
	ResultDone Result = "done"
	// ResultFailed means that a member ran and its task reported an error.
	ResultFailed Result = "failed"
	// ResultPreempted means that an idempotent attempt was started and then ended by a Preempt event.
	ResultPreempted Result = "preempted"
	// ResultUnknown means that some or all members may have run, and there is no answer.
	ResultUnknown Result = "unknown"
)

// Limits are the lease lengths, intervals and timeouts of an attempt.
type Limits struct {
	// HoldLength is the lease of a hold, counted from the time at which the hold command was issued.
	HoldLength time.Duration
	// HoldRenewalInterval is the interval between renewals of a hold until the members are started.
	HoldRenewalInterval time.Duration
	// HoldTimeout is the maximum wait for the reply to a hold, a renewal of a hold or a start.
	// It is below HoldLength - HoldRenewalInterval, so that one lost renewal does not lose the hold.
	HoldTimeout time.Duration
	// GatherTimeout bounds the time from the first hold to the start, so that capacity is not held throughout an outage
	// of the store.
	GatherTimeout time.Duration
	// StartWindow is the first lease, within which every member must confirm its start.
	StartWindow time.Duration
	// TaskLease is the lease of a running member.
	TaskLease time.Duration
	// RenewalInterval is the interval between renewals of a running member.
	RenewalInterval time.Duration
	// CallTimeout is the maximum wait for the reply to any other command, except that of a request for the answer.
	CallTimeout time.Duration
	// CheckpointTimeout bounds the time in which the members save their progress before a preempted gang is stopped.
	CheckpointTimeout time.Duration
	// AnswerTimeout bounds the time for fetching the answer, including retries.
	AnswerTimeout time.Duration
	// RetryDelay is the pause before a command without a usable reply is issued again.
	RetryDelay time.Duration
}

// DefaultLimits returns the limits of the design document (sections 6.2 and 6.3).
func DefaultLimits() Limits {
	return Limits{
		HoldLength: 1500 * time.Millisecond, HoldRenewalInterval: 500 * time.Millisecond, HoldTimeout: 400 * time.Millisecond,
		GatherTimeout: 3 * time.Second, StartWindow: 2 * time.Second, TaskLease: 9 * time.Second, RenewalInterval: 3 * time.Second,
		CallTimeout: time.Second, CheckpointTimeout: 2 * time.Second, AnswerTimeout: 30 * time.Second, RetryDelay: 100 * time.Millisecond,
	}
}

// Options describe one attempt.
type Options struct {
	// Spec is the specification of member 0; the other members differ only in Spec.ID.Member. Spec.Workers has one
	// entry per member and at least one.
	Spec   worker.Spec
	Limits Limits
	// MayStart reports whether the configuration view is fresh, and the code of the attempt if it is not. It is called
	// before each start command. Nil always allows the start.
	MayStart func(now time.Time) (bool, job.Code)
	// NeedsClaim reports whether the attempt waits for a Claimed event before it starts. Nil means that it waits if the
	// request is not idempotent.
	NeedsClaim func(spec worker.Spec) bool
	// HoldLive reports whether a hold that cannot lapse before until is still live. Nil compares now with until.
	HoldLive func(now, until time.Time) bool
}

func (o Options) withDefaults() Options {
	if o.Limits == (Limits{}) {
		o.Limits = DefaultLimits()
	}
	if o.MayStart == nil {
		o.MayStart = func(time.Time) (bool, job.Code) { return true, job.CodeOK }
	}
	if o.NeedsClaim == nil {
		o.NeedsClaim = func(spec worker.Spec) bool { return !spec.Idempotent }
	}
	if o.HoldLive == nil {
		o.HoldLive = func(now, until time.Time) bool { return now.Before(until) }
	}
	return o
}

// Ignored counts the events that had no effect because no pending command or current task matched them.
type Ignored struct {
	// Late counts replies to commands that had timed out or were replaced, and worker events after the end.
	Late int
	// Duplicate counts second replies to one command.
	Duplicate int
	// Mismatched counts replies and worker events of another attempt or nonce.
	Mismatched int
}

// Gang is the state of one attempt.
type Gang struct {
	options Options
	phase   Phase
	// members are ordered by worker name, then by index. Holds are issued in this order.
	members []*member
	// byIndex has the same members ordered by index.
	byIndex []*member
	// now is the time of the current Step, firstStep that of the first one.
	now       time.Time
	firstStep time.Time
	// phaseSince is when the current phase began.
	phaseSince time.Time
	// number is that of the last command.
	number  uint64
	claimed bool
	// startIssued is true once any start command was returned, or when the attempt was adopted.
	startIssued bool
	commands    []Command
	ignored     Ignored

	result        Result
	code          job.Code
	detail        string
	answer        []byte
	failedWorkers []string
}

// New returns an attempt in PhaseHolding; the first Step returns the hold commands.
func New(options Options) *Gang {
	g := &Gang{options: options.withDefaults(), phase: PhaseHolding}
	for i, name := range options.Spec.Workers {
		g.byIndex = append(g.byIndex, &member{index: i, worker: name})
	}
	g.members = append(g.members, g.byIndex...)
	sort.SliceStable(g.members, func(i, j int) bool { return g.members[i].worker < g.members[j].worker })
	return g
}

// Adopt returns an attempt that another owner started, from the statuses that the workers reported. If a member is
// missing or is neither running nor done, the first Step stops the others.
func Adopt(options Options, statuses []worker.Status) *Gang {
	g := New(options)
	g.phase, g.startIssued = PhaseRunning, true
	for _, m := range g.members {
		m.state = stateAdopted
	}
	for _, s := range statuses {
		if !g.hasTask(s.Spec.ID) || s.Spec.Nonce != options.Spec.Nonce {
			g.ignored.Mismatched++
			continue
		}
		g.recordStatus(g.byIndex[s.Spec.ID.Member], s)
	}
	return g
}

// Phase returns the progress of the attempt.
func (g *Gang) Phase() Phase { return g.phase }

// Result returns how the attempt ended, or ResultNone.
func (g *Gang) Result() Result { return g.result }

// Code returns why the attempt ended or is ending; CodeOK if it is done.
func (g *Gang) Code() job.Code { return g.code }

// Detail returns a human-readable reason for Code.
func (g *Gang) Detail() string { return g.detail }

// Answer returns the answer of member 0 if the result is ResultDone.
func (g *Gang) Answer() []byte { return g.answer }

// FailedWorkers returns the workers that ended the attempt: their members failed, lapsed, refused a start or did not
// answer.
func (g *Gang) FailedWorkers() []string { return g.failedWorkers }

// Ignored returns the counts of events that had no effect.
func (g *Gang) Ignored() Ignored { return g.ignored }

// StartIssued reports whether a start command was returned or the attempt was adopted.
func (g *Gang) StartIssued() bool { return g.startIssued }

// Spec returns the specification of a member.
func (g *Gang) Spec(index int) worker.Spec {
	spec := g.options.Spec
	spec.ID.Member = index
	return spec
}

// hasTask reports whether id belongs to a member of the attempt.
func (g *Gang) hasTask(id job.TaskID) bool {
	want := g.options.Spec.ID
	want.Member = id.Member
	return id == want && id.Member >= 0 && id.Member < len(g.byIndex)
}

// allMembers reports whether every member satisfies f.
func (g *Gang) allMembers(f func(*member) bool) bool {
	for _, m := range g.members {
		if !f(m) {
			return false
		}
	}
	return true
}
