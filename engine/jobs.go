package engine

import (
	"context"
	"fmt"
	"time"

	"github.com/pkg/errors"

	"clementinepier/metrics"
	"clementinepier/workload"
)

// impossibleRetry is when a job may be handed in again that the workers there are could not run if nothing else ran: the time in
// which operators change what a service has. Nothing that the planner knows makes it possible earlier.
const impossibleRetry = time.Minute

// Verdict is what became of a call on a job.
type Verdict string

// The verdicts.
const (
	// VerdictAccepted means that the change is stored.
	VerdictAccepted Verdict = "accepted"
	// VerdictRefused means that the job was not accepted and never runs.
	VerdictRefused Verdict = "refused"
	// VerdictUnknown means that the change may or may not be stored.
	VerdictUnknown Verdict = "unknown"
	// VerdictUnavailable means that nothing was done because the store cannot be reached.
	VerdictUnavailable Verdict = "unavailable"
	// VerdictAbsent means that the job is not known.
	VerdictAbsent Verdict = "absent"
)

// Result is the outcome of a call on a job.
type Result struct {
	Verdict Verdict `cbor:"1,keyasint"`
	// State is set for calls that ask for it.
	State workload.State `cbor:"2,keyasint,omitempty"`
	// RetryAfter is when a refused job could be accepted; 0 is unknown.
	RetryAfter time.Duration `cbor:"3,keyasint,omitempty"`
	Reason     string        `cbor:"4,keyasint,omitempty"`
	// Waiting is the number of jobs of a queue that have not begun.
	Waiting int `cbor:"5,keyasint,omitempty"`
}

// Submit accepts a job and returns once it is stored. The same job may be submitted again.
func (p *Planner) Submit(ctx context.Context, job workload.Job) Result {
	result := make(chan Result, 1)
	err := p.do(ctx, func() { p.submit(job, result) })
	return await(ctx, p.ctx, result, err)
}

// await returns the result, or that it is unknown when the context ends first.
func await(ctx, planner context.Context, result <-chan Result, err error) Result {
	switch {
	case errors.Is(err, errNotTaken):
		return Result{Verdict: VerdictUnavailable, Reason: err.Error()}
	case err != nil && !errors.Is(err, errStopped):
		return Result{Verdict: VerdictUnknown, Reason: err.Error()}
	}
	select {
	case r := <-result:
		return r
	case <-ctx.Done():
		return Result{Verdict: VerdictUnknown, Reason: "the store did not confirm in time"}
	case <-planner.Done():
	}
	// The planner tells those who wait before it ends.
	select {
	case r := <-result:
		return r
	default:
		return Result{Verdict: VerdictUnknown, Reason: errStopped.Error()}
	}
}

func (p *Planner) submit(job workload.Job, result chan<- Result) {
	j, known := p.jobs[job.ID]
	if !known {
		if r, unavailable := p.unavailable(); unavailable {
			result <- r
			return
		}
		if step := p.impossibleStep(&job); step >= 0 {
			p.Log.Event("job-impossible", "job", job.ID, "queue", job.Queue, "service", job.Service, "step", step,
				"workers", len(p.knownFleet(job.Service).views))
			result <- Result{Verdict: VerdictRefused, RetryAfter: impossibleRetry, Reason: fmt.Sprintf("no workers could ever run step %d", step)}
			return
		}
		j = newJobState(workload.Record{Job: job, Progress: *workload.NewProgress(&job)}, p.Clock.Now())
		p.waiters[j] = nil
		p.jobs[job.ID], p.active[job.ID] = j, j
		p.touch(j)
		p.replan = true
	}
	from := p.Clock.Now()
	if waiters, unstored := p.waiters[j]; unstored {
		p.waiters[j] = append(waiters, result)
	}
	p.whenStored(j, j.lastChange, func() {
		if j.withdrawn {
			return
		}
		delete(p.waiters, j)
		if !known {
			p.Log.Event("job-accepted", "job", job.ID, "queue", job.Queue, "organisation", job.Organisation,
				"priority", job.Priority, "tasks", job.Steps[0].Tasks, "accelerators", job.FirstStepAccelerators(),
				"objective", job.Objective, "waiting", p.countWaiting(job.Queue), "stored-in", p.Clock.Since(from))
			p.Metrics.Add(metrics.JobsAccepted, 1)
		}
		result <- Result{Verdict: VerdictAccepted, State: j.state()}
	})
}

// withdraw forgets a job that was certainly not stored, and tells those who wait for it why.
func (p *Planner) withdraw(j *jobState, why Result) {
	j.withdrawn = true
	delete(p.jobs, j.id())
	delete(p.active, j.id())
	delete(p.dirty, j)
	for _, g := range j.groups {
		for _, r := range g.runs {
			// Runs are ordered once the job is stored, so none of these was.
			r.ended = true
			delete(r.worker.runs, r.name)
		}
	}
	for _, result := range p.waiters[j] {
		result <- why
	}
	delete(p.waiters, j)
	for _, w := range j.waiting {
		w.run()
	}
	j.waiting = nil
	p.Log.Event("job-withdrawn", "job", j.id(), "queue", j.record.Job.Queue, "reason", why.Reason, "store-failing", p.storeFailing)
}

// withdrawAll turns away, when the planner ends, the jobs of which no write was sent or all were certainly refused.
func (p *Planner) withdrawAll() {
	for j := range p.waiters {
		if j.unsent() {
			p.withdraw(j, Result{Verdict: VerdictUnavailable, Reason: errStopped.Error()})
		}
	}
}

// unavailable reports whether changes cannot be stored now.
func (p *Planner) unavailable() (Result, bool) {
	if !p.holdsTerm() {
		return Result{Verdict: VerdictUnavailable, Reason: "the planner's lease is not renewed"}, true
	}
	if !p.storeFailing.IsZero() && p.Clock.Since(p.storeFailing) > failingAfter && p.Clock.Since(p.storeFailed) < failedPause {
		return Result{Verdict: VerdictUnavailable, Reason: "the store does not answer"}, true
	}
	return Result{}, false
}

// Cancel ends a job and returns once that is stored.
func (p *Planner) Cancel(ctx context.Context, id string) Result {
	result := make(chan Result, 1)
	err := p.do(ctx, func() {
		j, known := p.jobs[id]
		if !known {
			result <- Result{Verdict: VerdictAbsent}
			return
		}
		change := p.cancel(j)
		p.whenStored(j, change, func() { result <- Result{Verdict: VerdictAccepted, State: j.state()} })
	})
	return await(ctx, p.ctx, result, err)
}

// cancel ends the job's runs and returns the change that has to be stored. A job that has ended stays as it is.
func (p *Planner) cancel(j *jobState) uint64 {
	if j.state().Ended() {
		return j.lastChange
	}
	j.record.Progress.Cancelled = true
	j.cancelledAt = p.Clock.Now()
	p.finish(j)
	p.stopAll(j, "cancelled")
	p.replan = true
	return j.lastChange
}

// State returns the state of a job.
func (p *Planner) State(ctx context.Context, id string) Result {
	result := make(chan Result, 1)
	err := p.do(ctx, func() {
		if !p.holdsTerm() {
			result <- Result{Verdict: VerdictUnavailable, Reason: "the planner's lease is not renewed"}
			return
		}
		j, known := p.jobs[id]
		if !known {
			result <- Result{Verdict: VerdictAbsent}
			return
		}
		// A final state is told once it is stored, so that it never changes again.
		change := uint64(0)
		if j.state().Ended() {
			change = j.lastChange
		}
		state := j.state()
		p.whenStored(j, change, func() { result <- Result{Verdict: VerdictAccepted, State: state} })
	})
	return await(ctx, p.ctx, result, err)
}

// Waiting returns the number of a queue's accepted jobs of which no task has started.
func (p *Planner) Waiting(ctx context.Context, queue string) Result {
	result := make(chan Result, 1)
	err := p.do(ctx, func() {
		if !p.holdsTerm() {
			result <- Result{Verdict: VerdictUnavailable, Reason: "the planner's lease is not renewed"}
			return
		}
		result <- Result{Verdict: VerdictAccepted, Waiting: p.countWaiting(queue)}
	})
	return await(ctx, p.ctx, result, err)
}

func (p *Planner) countWaiting(queue string) int {
	n := 0
	for _, j := range p.active {
		if j.record.Job.Queue == queue && !j.record.Progress.Started {
			n++
		}
	}
	return n
}
