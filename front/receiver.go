// Package front runs an entry VM: it receives callers' jobs, passes them to the planner, and becomes the planner when there
// is none.
package front

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"

	"clementinepier/engine"
	"clementinepier/eventlog"
	"clementinepier/metrics"
	"clementinepier/peer"
	"clementinepier/workload"
)

const (
	// defaultDeadline is how long callers wait that send no deadline.
	defaultDeadline = 3 * time.Second
	// replyMargin is the part of the deadline that is reserved for sending the reply.
	replyMargin = 250 * time.Millisecond
	// plannerCallTimeout bounds a call to the planner; after it the call is served from the store.
	plannerCallTimeout = 900 * time.Millisecond
	// stateReadTimeout bounds the read of a job's state from the store. A slow store answers within it; a caller whose read is
	// lost does better to ask again, since the planner may know that its job is completed.
	stateReadTimeout = 500 * time.Millisecond
	// linkOpenTimeout is how long a call waits for the link to the planner to open.
	linkOpenTimeout = 150 * time.Millisecond
	// linkPollInterval is how often a call that waits for the link is retried.
	linkPollInterval = 15 * time.Millisecond
	// unavailableRetryAfter is the retry delay sent to callers when neither planner nor store answered: the time in which
	// another entry VM becomes the planner.
	unavailableRetryAfter = time.Second
)

// Call has the fields that every request of a caller has.
type Call struct {
	Host string
	Path string
	// Key authenticates the organisation.
	Key string
	// Deadline is how long the caller waits; 0 means that it sent no deadline.
	Deadline time.Duration
}

// Outcome is the result of a call as reported to the caller.
type Outcome string

// The outcomes of calls.
const (
	// OutcomeDone means that the call was carried out; the reply has the job's state or the number of waiting jobs.
	OutcomeDone Outcome = "done"
	// OutcomeNotReady means that this entry VM has no configuration yet; nothing was done.
	OutcomeNotReady Outcome = "not-ready"
	// OutcomeNoQueue means that the path belongs to no queue.
	OutcomeNoQueue Outcome = "no-queue"
	// OutcomeNoKey means that the key is not valid.
	OutcomeNoKey Outcome = "no-key"
	// OutcomeAbsent means that there is no such job.
	OutcomeAbsent Outcome = "absent"
	// OutcomeInvalid means that the job or its id is malformed; it never runs.
	OutcomeInvalid Outcome = "invalid"
	// OutcomeTooLarge means that the body is larger than the configuration allows; the job never runs.
	OutcomeTooLarge Outcome = "too-large"
	// OutcomeTrailerTooLarge means that the fields after a chunked body are too large; the job never runs.
	OutcomeTrailerTooLarge Outcome = "trailer-too-large"
	// OutcomeRefused means that the job was not accepted and never runs.
	OutcomeRefused Outcome = "refused"
	// OutcomeUnknown means that the call may have been carried out; the caller has to retry.
	OutcomeUnknown Outcome = "unknown"
)

// Reply is the answer to a call.
type Reply struct {
	Outcome    Outcome
	State      workload.State
	Waiting    int
	RetryAfter time.Duration
}

// ErrNotReceived means that a body could not be received. Nothing of the call was carried out.
type ErrNotReceived struct{ Outcome Outcome }

// Error implements error.
func (e *ErrNotReceived) Error() string { return "body not received: " + string(e.Outcome) }

// Receiver answers callers. Set the exported fields before the first call.
type Receiver struct {
	Clock     clockwork.Clock
	TimeOfDay func() time.Time
	Log       *eventlog.Log
	Metrics   *metrics.Set
	// Configuration returns the configuration in force, or nil.
	Configuration func() *engine.Configuration
	// Planner returns the planner if it is this process, or nil.
	Planner func() *engine.Planner
	// Forward calls the planner on another entry VM. For a failed call that may have arrived, peer.WasDelivered is true.
	Forward func(ctx context.Context, kind peer.Kind, body, reply any) error
	// OnPlannerFailure is called when a call to the planner failed.
	OnPlannerFailure func()
	// StoreAvailable reports whether the store answers calls.
	StoreAvailable func() bool
	// Direct serves calls from the store without the planner.
	Direct *engine.DirectClient
	// StoreBudget bounds these calls.
	StoreBudget *StoreBudget
}

// authorise finds the queue of a call and checks its key. It returns the rest of the path, or the reply to a rejected call.
func (r *Receiver) authorise(c Call) (queue *engine.Queue, organisation, rest string, refused *Reply) {
	conf := r.Configuration()
	if conf == nil {
		return nil, "", "", &Reply{Outcome: OutcomeNotReady, RetryAfter: unavailableRetryAfter}
	}
	queue, rest, ok := conf.Route(c.Host, c.Path)
	if !ok {
		return nil, "", "", r.reject(c, conf, OutcomeNoQueue)
	}
	owner, known := conf.Owner(c.Key)
	switch {
	case known:
		return queue, owner.Name, rest, nil
	case queue.Anonymous:
		return queue, "", rest, nil
	}
	return nil, "", "", r.reject(c, conf, OutcomeNoKey)
}

// reject logs and counts a rejected call and returns its reply.
func (r *Receiver) reject(c Call, conf *engine.Configuration, o Outcome) *Reply {
	r.Log.Event("call-rejected", "host", c.Host, "path", c.Path, "outcome", o, "configuration", conf.Version)
	r.Metrics.Add(metrics.Name("calls-"+string(o)), 1)
	return &Reply{Outcome: o}
}

// withReplyDeadline returns a context that ends early enough for the reply to reach the caller within its deadline.
func (r *Receiver) withReplyDeadline(ctx context.Context, c Call) (context.Context, context.CancelFunc) {
	deadline := c.Deadline
	if deadline <= 0 {
		deadline = defaultDeadline
	}
	return clockwork.WithTimeout(ctx, r.Clock, max(deadline/2, deadline-replyMargin))
}

// prepare checks a call that submits a job, and returns the job with what its queue adds, or the reply to a rejected call. The function receives
// a body of at most the given size in bytes, 0 for no limit, and decodes it.
func (r *Receiver) prepare(c Call, receive func(limit int) (workload.Job, error)) (workload.Job, *Reply) {
	queue, organisation, id, refused := r.authorise(c)
	if refused != nil {
		return workload.Job{}, refused
	}
	job, err := receive(r.Configuration().MaxBody)
	if notReceived := (*ErrNotReceived)(nil); errors.As(err, &notReceived) {
		reply := r.replyNotReceived(id, queue, notReceived)
		return workload.Job{}, &reply
	}
	if err == nil {
		err = job.Validate()
	}
	if err == nil {
		err = workload.ValidateID(id)
	}
	if err != nil {
		r.Log.Event("job-invalid", "job", id, "queue", queue.Name, "error", err)
		return workload.Job{}, &Reply{Outcome: OutcomeInvalid}
	}
	job.ID, job.Queue, job.Service, job.Organisation = id, queue.Name, queue.Service, organisation
	job.Priority, job.MaxAttempts = queue.Priority, queue.MaxAttempts
	job.Accepted = r.TimeOfDay()
	job.Objective = queue.Objective(job.CriticalPath())
	return job, nil
}

// Submit submits a job; the last part of the path is its id. The function receives a body of at most the given size in bytes, 0 for no
// limit, and decodes it.
func (r *Receiver) Submit(ctx context.Context, c Call, receive func(limit int) (workload.Job, error)) Reply {
	job, refused := r.prepare(c, receive)
	if refused != nil {
		return *refused
	}
	id := job.ID
	from := r.Clock.Now()
	ctx, cancel := r.withReplyDeadline(ctx, c)
	defer cancel()
	result := r.callPlannerOrStore(ctx, id, peer.KindSubmit, job,
		func(ctx context.Context, p *engine.Planner) engine.Result { return p.Submit(ctx, job) },
		func(ctx context.Context) engine.Result {
			if !r.StoreBudget.AllowSubmission(r.Clock.Now(), job.Size()) {
				return r.withhold()
			}
			return r.Direct.Submit(ctx, job)
		})
	r.Metrics.Observe(metrics.AcceptTime, r.Clock.Since(from))
	reply := r.reply(result)
	if reply.Outcome != OutcomeDone {
		r.Log.Event("job-not-accepted", "job", id, "queue", job.Queue, "organisation", job.Organisation, "outcome", reply.Outcome,
			"reason", result.Reason, "retry-after", reply.RetryAfter, "after", r.Clock.Since(from))
		r.Metrics.Add(metrics.JobsRefused, 1)
	}
	return reply
}

// replyNotReceived returns the reply to a job whose body could not be received. If it was refused for want of room, the caller may
// send it again.
func (r *Receiver) replyNotReceived(id string, queue *engine.Queue, err *ErrNotReceived) Reply {
	r.Log.Event("job-not-received", "job", id, "queue", queue.Name, "outcome", err.Outcome)
	reply := Reply{Outcome: err.Outcome}
	if reply.Outcome == OutcomeRefused {
		r.Metrics.Add(metrics.JobsRefused, 1)
		reply.RetryAfter = unavailableRetryAfter
	}
	return reply
}

// State returns the state of a job, or the number of waiting jobs of a queue if the path has no job id.
func (r *Receiver) State(ctx context.Context, c Call) Reply {
	queue, organisation, id, refused := r.authorise(c)
	if refused != nil {
		return *refused
	}
	ctx, cancel := r.withReplyDeadline(ctx, c)
	defer cancel()
	if id == "" {
		return r.reply(r.callPlannerOrStore(ctx, queue.Name, peer.KindWaiting, queue.Name,
			func(ctx context.Context, p *engine.Planner) engine.Result { return p.Waiting(ctx, queue.Name) },
			func(context.Context) engine.Result {
				return engine.Result{Verdict: engine.VerdictUnavailable, Reason: "the planner does not answer"}
			}))
	}
	direct := func(ctx context.Context) engine.Result {
		if !r.StoreBudget.AllowQuestion(r.Clock.Now(), organisation) {
			return r.withhold()
		}
		ctx, cancel := clockwork.WithTimeout(ctx, r.Clock, stateReadTimeout)
		defer cancel()
		return r.Direct.State(ctx, id)
	}
	result := r.callPlannerOrStore(ctx, id, peer.KindState, id,
		func(ctx context.Context, p *engine.Planner) engine.Result { return p.State(ctx, id) }, direct)
	if result.Verdict == engine.VerdictAbsent {
		// Another entry VM may have stored the job, and the planner may not have read it yet.
		result = direct(ctx)
	}
	reply := r.reply(result)
	r.Log.Event("state-told", "job", id, "outcome", reply.Outcome, "state", reply.State, "reason", result.Reason)
	return reply
}

// Cancel ends a job.
func (r *Receiver) Cancel(ctx context.Context, c Call) Reply {
	_, organisation, id, refused := r.authorise(c)
	if refused != nil {
		return *refused
	}
	ctx, cancel := r.withReplyDeadline(ctx, c)
	defer cancel()
	direct := func(ctx context.Context) engine.Result {
		if !r.StoreBudget.AllowQuestion(r.Clock.Now(), organisation) {
			return r.withhold()
		}
		return r.Direct.Cancel(ctx, id)
	}
	result := r.callPlannerOrStore(ctx, id, peer.KindEnd, id,
		func(ctx context.Context, p *engine.Planner) engine.Result { return p.Cancel(ctx, id) }, direct)
	if result.Verdict == engine.VerdictAbsent {
		result = direct(ctx)
	}
	reply := r.reply(result)
	r.Log.Event("cancel-told", "job", id, "outcome", reply.Outcome, "state", reply.State, "reason", result.Reason)
	return reply
}

// withhold returns the result of a call that was not sent to the store.
func (r *Receiver) withhold() engine.Result {
	r.Metrics.Add(metrics.StoreCallsWithheld, 1)
	return engine.Result{Verdict: engine.VerdictUnavailable, Reason: "callers ask too much of the store"}
}

// callPlannerOrStore serves a call through the planner, or from the store if the planner does not answer.
func (r *Receiver) callPlannerOrStore(ctx context.Context, id string, kind peer.Kind, body any,
	local func(context.Context, *engine.Planner) engine.Result, direct func(context.Context) engine.Result,
) engine.Result {
	result := r.callPlanner(ctx, kind, body, local)
	if result.Verdict != engine.VerdictUnknown && result.Verdict != engine.VerdictUnavailable {
		return result
	}
	r.Log.Event("planner-not-answering", "call", kind, "id", id, "verdict", result.Verdict, "reason", result.Reason)
	if !r.StoreAvailable() {
		return result
	}
	second := direct(ctx)
	if second.Verdict == engine.VerdictUnavailable && result.Verdict == engine.VerdictUnknown {
		// The planner may have received the call and may still carry it out.
		return result
	}
	return second
}

// callPlanner calls the planner, in this process or on another entry VM. It retries for linkOpenTimeout while the link to
// the planner is not open.
func (r *Receiver) callPlanner(ctx context.Context, kind peer.Kind, body any,
	local func(context.Context, *engine.Planner) engine.Result,
) engine.Result {
	ctx, cancel := clockwork.WithTimeout(ctx, r.Clock, plannerCallTimeout)
	defer cancel()
	if p := r.Planner(); p != nil {
		return local(ctx, p)
	}
	waitUntil := r.Clock.Now().Add(linkOpenTimeout)
	for {
		var result engine.Result
		err := r.Forward(ctx, kind, body, &result)
		switch {
		case err == nil:
			return result
		case peer.IsErrRefused(err):
			r.OnPlannerFailure()
			return engine.Result{Verdict: engine.VerdictUnavailable, Reason: err.Error()}
		case peer.WasDelivered(err):
			r.OnPlannerFailure()
			return engine.Result{Verdict: engine.VerdictUnknown, Reason: err.Error()}
		case peer.IsRefused(err) || errors.Is(err, errPlannerUnresponsive) || ctx.Err() != nil || !r.Clock.Now().Before(waitUntil):
			r.OnPlannerFailure()
			return engine.Result{Verdict: engine.VerdictUnavailable, Reason: err.Error()}
		}
		select {
		case <-ctx.Done():
		case <-r.Clock.After(linkPollInterval):
		}
	}
}

// reply returns the reply to the caller for a result.
func (r *Receiver) reply(result engine.Result) Reply {
	switch result.Verdict {
	case engine.VerdictAccepted:
		return Reply{Outcome: OutcomeDone, State: result.State, Waiting: result.Waiting}
	case engine.VerdictAbsent:
		return Reply{Outcome: OutcomeAbsent}
	case engine.VerdictRefused:
		return Reply{Outcome: OutcomeRefused, RetryAfter: result.RetryAfter}
	case engine.VerdictUnavailable:
		return Reply{Outcome: OutcomeRefused, RetryAfter: unavailableRetryAfter}
	default:
		return Reply{Outcome: OutcomeUnknown}
	}
}
