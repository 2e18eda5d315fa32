// Package gang drives one attempt at one request on its workers: hold all members, start all, run, end all.
//
// A Gang is a pure state machine. It takes the time and typed events, and returns typed commands. A single task is
// a gang of one. Callers serialise access.
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
	// PhaseReady means that every member has confirmed its hold and the go-ahead is awaited.
	PhaseReady Phase = "ready"
	// PhaseStarting means that start commands were issued and not every member has confirmed.
	PhaseStarting Phase = "starting"
	PhaseRunning  Phase = "running"
	// PhaseCheckpointing means that the attempt is being preempted and its members save their progress.
	PhaseCheckpointing Phase = "checkpointing"
	// PhaseEnding means that the remaining members are being stopped.
	PhaseEnding Phase = "ending"
	// PhaseCollecting means that every member is done and the answer of member 0 is being fetched.
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
	// ResultFailed means that a member ran and reported an error of its own.
	ResultFailed Result = "failed"
	// ResultPreempted means that an idempotent attempt was started and then ended by a Preempt event.
	ResultPreempted Result = "preempted"
	// ResultUnknown means that the attempt may have run, in part or in full, and has no answer.
	ResultUnknown Result = "unknown"
)

// Limits are the durations of an attempt.
type Limits struct {
	// HoldLength is the lease of a hold, counted from the time the hold command was issued.
	HoldLength time.Duration
	// HoldRenewalInterval is the interval between renewals of a hold while others are gathered.
	HoldRenewalInterval time.Duration
	// HoldTimeout is how long a hold, a renewal of a hold or a start may be unanswered before it counts as lost.
	// It is below HoldLength - HoldRenewalInterval, so that one lost renewal does not lose the hold.
	HoldTimeout time.Duration
	// GatherTimeout bounds the time from the first hold to the start, so that capacity is not held during a store outage.
	GatherTimeout time.Duration
	// StartWindow is the first lease, within which every member must confirm its start.
	StartWindow time.Duration
	// TaskLease is the lease of a running member.
	TaskLease time.Duration
	// RenewalInterval is the interval between renewals of a running member.
	RenewalInterval time.Duration
	// CallTimeout is how long any other command may be unanswered before it counts as lost.
	CallTimeout time.Duration
	// CheckpointTimeout bounds the time for saving progress before a preempted member is stopped.
	CheckpointTimeout time.Duration
	// AnswerTimeout bounds the time for fetching the answer.
	AnswerTimeout time.Duration
	// RetryDelay is the pause before a lost command is issued again.
	RetryDelay time.Duration
}

// DefaultLimits returns the limits of the design page (6.2, 6.3).
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
	// MayStart reports whether the configuration view is fresh; it is asked before each start command. Nil allows.
	MayStart func(now time.Time) (bool, job.Code)
	// NeedsClaim reports whether the attempt waits for a Claimed event. Nil means that requests that are not
	// idempotent do.
	NeedsClaim func(spec worker.Spec) bool
	// HoldLive reports whether a hold that is certain until the given time is live. Nil compares the two times.
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

// Ignored counts the events that had no effect because they answered nothing that was awaited.
type Ignored struct {
	// Late counts replies to commands that had been given up or replaced.
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
	// members are ordered by worker name, then by index, which is the order of the holds.
	members []*member
	// byIndex has the same members in member order.
	byIndex []*member
	now     time.Time
	began   time.Time
	// entered is when the current phase began.
	entered time.Time
	number  uint64
	claimed bool
	// startIssued is true once any start command was returned, or when the attempt was adopted.
	startIssued bool
	commands    []Command
	ignored     Ignored

	result Result
	code   job.Code
	detail string
	answer []byte
	blamed []string
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

// Adopt returns an attempt that another owner began, from the statuses that the workers reported. If a member is
// missing or not running, the first Step stops the rest.
func Adopt(options Options, statuses []worker.Status) *Gang {
	g := New(options)
	g.phase, g.startIssued = PhaseRunning, true
	for _, m := range g.members {
		m.state = stateAdopted
	}
	for _, s := range statuses {
		if !g.names(s.Spec.ID) || s.Spec.Nonce != options.Spec.Nonce {
			g.ignored.Mismatched++
			continue
		}
		g.report(g.byIndex[s.Spec.ID.Member], s)
	}
	return g
}

// Phase returns the progress of the attempt.
func (g *Gang) Phase() Phase { return g.phase }

// Result returns how the attempt ended, or ResultNone.
func (g *Gang) Result() Result { return g.result }

// Code returns why the attempt ended or is ending; CodeOK if it is done.
func (g *Gang) Code() job.Code { return g.code }

// Detail returns the reason for people.
func (g *Gang) Detail() string { return g.detail }

// Answer returns the answer of member 0 if the result is ResultDone.
func (g *Gang) Answer() []byte { return g.answer }

// FailedWorkers returns the workers whose members failed, lapsed, refused a start or did not answer, and so ended the attempt.
func (g *Gang) FailedWorkers() []string { return g.blamed }

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

// names reports whether id is one of the attempt's tasks.
func (g *Gang) names(id job.TaskID) bool {
	want := g.options.Spec.ID
	want.Member = id.Member
	return id == want && id.Member >= 0 && id.Member < len(g.byIndex)
}

// all reports whether every member satisfies f.
func (g *Gang) all(f func(*member) bool) bool {
	for _, m := range g.members {
		if !f(m) {
			return false
		}
	}
	return true
}
