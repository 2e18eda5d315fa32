package engine

import (
	"context"
	"fmt"
	"time"

	"github.com/pkg/errors"

	"clementinepier/metrics"
	"clementinepier/workload"
)

// impossibleRetryAfter is the retry delay for a job that the present workers could not run even if they were idle, or that its
// organisation's limit does not allow. It is the time in which operators change the workers of a service or a limit; the planner
// knows of nothing that would make the job possible earlier.
const impossibleRetryAfter = time.Minute

// Verdict is the outcome of a caller's request on a job.
type Verdict string

// The verdicts.
const (
	// VerdictAccepted means that the request was served and any change is stored.
	VerdictAccepted Verdict = "accepted"
	// VerdictRefused means that the job was rejected and never runs.
	VerdictRefused Verdict = "refused"
	// VerdictUnknown means that it is not known whether the change is stored.
	VerdictUnknown Verdict = "unknown"
	// VerdictUnavailable means that nothing was done because the planner or the store is unavailable.
	VerdictUnavailable Verdict = "unavailable"
	// VerdictAbsent means that the job does not exist.
	VerdictAbsent Verdict = "absent"
)

// Result is the response to a caller's request on a job.
type Result struct {
	Verdict Verdict `cbor:"1,keyasint"`
	// State is the state of the job, for requests that return it.
	State workload.State `cbor:"2,keyasint,omitempty"`
	// RetryAfter is the time after which a refused job may be accepted; 0 means unknown.
	RetryAfter time.Duration `cbor:"3,keyasint,omitempty"`
	Reason     string        `cbor:"4,keyasint,omitempty"`
	// Waiting is the number of a queue's accepted jobs of which no task has started.
	Waiting int `cbor:"5,keyasint,omitempty"`
	// Explanation is the response to Explain.
	Explanation *Explanation `cbor:"6,keyasint,omitempty"`
}

// Submit accepts a job and returns once it is stored. Submitting the same job again has no further effect.
func (p *Planner) Submit(ctx context.Context, job workload.Job) Result {
	result := make(chan Result, 1)
	err := p.do(ctx, func() { p.submit(job, result) })
	return awaitResult(ctx, p.ctx, result, err)
}

// awaitResult waits for the result and returns VerdictUnknown if the context ends first.
func awaitResult(ctx, plannerCtx context.Context, result <-chan Result, err error) Result {
	switch {
	case errors.Is(err, errNotAccepted):
		return Result{Verdict: VerdictUnavailable, Reason: err.Error()}
	case err != nil && !errors.Is(err, errStopped):
		return Result{Verdict: VerdictUnknown, Reason: err.Error()}
	}
	select {
	case r := <-result:
		return r
	case <-ctx.Done():
		return Result{Verdict: VerdictUnknown, Reason: "the store did not confirm the change in time"}
	case <-plannerCtx.Done():
	}
	// The planner sends the results of unsent jobs before it ends.
	select {
	case r := <-result:
		return r
	default:
		return Result{Verdict: VerdictUnknown, Reason: errStopped.Error()}
	}
}

func (p *Planner) submit(job workload.Job, result chan<- Result) {
	if state, stored := p.storedState(job.ID); stored {
		result <- Result{Verdict: VerdictAccepted, State: state}
		return
	}
	j, known := p.jobs[job.ID]
	if !known {
		if r, unavailable := p.unavailable(); unavailable {
			result <- r
			return
		}
		if r, refused := p.refusal(&job); refused {
			p.Log.Event("job-impossible", "job", job.ID, "queue", job.Queue, "service", job.Service, "organisation", job.Organisation, "reason", r.Reason,
				"workers", len(p.cachedFleet(job.Service).policyWorkers))
			result <- r
			return
		}
		if r, refused := p.roomRefusal(&job); refused {
			p.Log.Event("job-without-room", "job", job.ID, "queue", job.Queue, "organisation", job.Organisation, "size", sizeOf(&job),
				"room", p.memory.shares.Room(job.Organisation), "used", p.memory.shares.Used(), "limit", p.memory.limit, "retry-after", r.RetryAfter)
			p.Metrics.Add(metrics.JobsWithoutRoom, 1)
			result <- r
			return
		}
		j = newJobState(workload.Record{Job: job, Progress: *workload.NewProgress(&job)}, p.Clock.Now())
		p.waiters[j] = nil
		p.jobs[job.ID], p.active[job.ID] = j, j
		p.memory.add(job.Organisation, j.size)
		p.unload()
		p.countAgainstWeight(j)
		p.recordChange(j)
		p.planNeeded = true
	}
	start := p.Clock.Now()
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
				"objective", job.Objective, "waiting", p.countWaiting(job.Queue), "stored-in", p.Clock.Since(start))
			p.Metrics.Add(metrics.JobsAccepted, 1)
		}
		result <- Result{Verdict: VerdictAccepted, State: j.state()}
	})
}

// refusal reports whether a new job is rejected although the planner could store it, and the result for its caller.
func (p *Planner) refusal(job *workload.Job) (Result, bool) {
	if step := p.impossibleStep(job); step >= 0 {
		return Result{Verdict: VerdictRefused, RetryAfter: impossibleRetryAfter, Reason: fmt.Sprintf("the workers of the service could never run step %d", step)}, true
	}
	if step, limit := p.exceedsLimit(job); step >= 0 {
		return Result{
			Verdict: VerdictRefused, RetryAfter: impossibleRetryAfter,
			Reason: fmt.Sprintf("step %d needs more than its organisation may have at work: %d thousandths of a core, %d MB, %d accelerators; 0 is no limit",
				step, limit.MilliCPU, limit.MemoryMB, limit.Accelerators),
		}, true
	}
	return Result{}, false
}

// withdraw removes a job that was certainly not stored and reports the reason to the callers that wait for it.
func (p *Planner) withdraw(j *jobState, outcome Result) {
	j.withdrawn = true
	p.memory.release(j.record.Job.Organisation, j.size)
	delete(p.jobs, j.id())
	delete(p.active, j.id())
	delete(p.dirty, j)
	for _, g := range j.groups {
		for _, r := range g.runs {
			// Runs are started only after the job is stored, so none of these was.
			r.ended = true
			delete(r.worker.runs, r.name)
			p.breaker.RecordInconclusive(r.worker.id(), breakerKey(j))
		}
	}
	for _, result := range p.waiters[j] {
		result <- outcome
	}
	delete(p.waiters, j)
	for _, callback := range j.onStored {
		callback.run()
	}
	j.onStored = nil
	p.Log.Event("job-withdrawn", "job", j.id(), "queue", j.record.Job.Queue, "reason", outcome.Reason, "store-failing", p.storeFailingSince)
}

// withdrawUnsent rejects, when the planner ends, the jobs that are certainly not in the store.
func (p *Planner) withdrawUnsent() {
	for j := range p.waiters {
		if j.unsent() {
			p.withdraw(j, Result{Verdict: VerdictUnavailable, Reason: errStopped.Error()})
		}
	}
}

// unavailable reports whether changes cannot be stored at present, and the result for callers in that case.
func (p *Planner) unavailable() (Result, bool) {
	if !p.holdsTerm() {
		return Result{Verdict: VerdictUnavailable, Reason: "the planner's lease is not renewed"}, true
	}
	if !p.storeFailingSince.IsZero() && p.Clock.Since(p.storeFailingSince) > rejectAfter && p.Clock.Since(p.lastCommitFailure) < rejectPeriod {
		return Result{Verdict: VerdictUnavailable, Reason: "the store does not answer"}, true
	}
	return Result{}, false
}

// Cancel cancels a job and returns once that is stored.
func (p *Planner) Cancel(ctx context.Context, id string) Result {
	result := make(chan Result, 1)
	err := p.do(ctx, func() {
		if e, ended := p.ended[id]; ended {
			result <- Result{Verdict: VerdictAccepted, State: e.state}
			return
		}
		if u, unloaded := p.unloaded[id]; unloaded && !u.reading && p.memory.loadsInFlight < maxCancelsInFlight {
			p.loadJob(id, func() { p.cancelLoaded(id, result) })
			return
		}
		p.cancelLoaded(id, result)
	})
	return awaitResult(ctx, p.ctx, result, err)
}

// cancelLoaded cancels a job that is loaded, and sends the result once that is stored.
func (p *Planner) cancelLoaded(id string, result chan<- Result) {
	j, known := p.jobs[id]
	if !known {
		if _, unloaded := p.unloaded[id]; unloaded {
			result <- Result{Verdict: VerdictUnavailable, Reason: "the job is not read from the store yet"}
			return
		}
		result <- Result{Verdict: VerdictAbsent}
		return
	}
	change := p.cancel(j)
	p.whenStored(j, change, func() { result <- j.storedResult(j.state()) })
}

// storedState returns the state of a job that the store has and that is not loaded, and whether there is one.
func (p *Planner) storedState(id string) (workload.State, bool) {
	if e, ok := p.ended[id]; ok {
		return e.state, true
	}
	if u, ok := p.unloaded[id]; ok {
		return u.state, true
	}
	return "", false
}

// storedResult returns the result for a caller that waited until a state of the job was stored. A job that was withdrawn instead may still be
// in the store, by another entry VM.
func (j *jobState) storedResult(state workload.State) Result {
	if j.withdrawn {
		return Result{Verdict: VerdictUnavailable, Reason: "the job could not be stored"}
	}
	return Result{Verdict: VerdictAccepted, State: state}
}

// cancel stops the job's runs and returns the change that has to be stored. A job that has ended stays unchanged.
func (p *Planner) cancel(j *jobState) uint64 {
	if j.state().Ended() {
		return j.lastChange
	}
	j.record.Progress.Cancelled = true
	j.cancelledAt = p.Clock.Now()
	p.recordFinalState(j)
	p.stopJob(j, "cancelled")
	p.planNeeded = true
	return j.lastChange
}

// State returns the state of a job.
func (p *Planner) State(ctx context.Context, id string) Result {
	result := make(chan Result, 1)
	err := p.do(ctx, func() {
		if e, ended := p.ended[id]; ended {
			result <- Result{Verdict: VerdictAccepted, State: e.state}
			return
		}
		j, known := p.jobs[id]
		if !p.holdsTerm() && (!known || !j.endStored()) {
			result <- Result{Verdict: VerdictUnavailable, Reason: "the planner's lease is not renewed"}
			return
		}
		if !known {
			r := Result{Verdict: VerdictAbsent}
			if state, stored := p.storedState(id); stored {
				r = Result{Verdict: VerdictAccepted, State: state}
			}
			result <- r
			return
		}
		// A final state is reported only once it is stored, so that it never changes afterwards. Before that, the workers that keep
		// the ends and this process may be lost, and a successor would run the job again.
		change := uint64(0)
		if j.state().Ended() {
			change = j.lastChange
		}
		state := j.state()
		p.whenStored(j, change, func() { result <- j.storedResult(state) })
	})
	return awaitResult(ctx, p.ctx, result, err)
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
	return awaitResult(ctx, p.ctx, result, err)
}

func (p *Planner) countWaiting(queue string) int {
	n := 0
	for _, j := range p.active {
		if j.record.Job.Queue == queue && !j.begun {
			n++
		}
	}
	for _, u := range p.unloaded {
		if u.queue == queue && !u.begun {
			n++
		}
	}
	return n
}
