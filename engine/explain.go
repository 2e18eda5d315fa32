package engine

import (
	"context"
	"slices"
	"time"

	"clementinepier/policy"
	"clementinepier/workload"
)

// maxExplainedItems bounds each list of an explanation.
const maxExplainedItems = 100

// ExplainRequest asks where a job would go now: the accepted job with the ID, or a job that is not submitted.
type ExplainRequest struct {
	ID string `cbor:"1,keyasint,omitempty"`
	// Job is the job that is not submitted; nil means the accepted one.
	Job *workload.Job `cbor:"2,keyasint,omitempty"`
}

// Course is what would happen to a job, or happens to it, as an explanation reports it.
type Course string

// The courses.
const (
	// CourseStarts means that tasks of the job would be started in this pass.
	CourseStarts Course = "starts"
	// CoursePreempts means that running work would be stopped for tasks of the job, which start once it has ended.
	CoursePreempts Course = "preempts"
	// CourseWaits means that tasks of the job are ready and would not be started in this pass.
	CourseWaits Course = "waits"
	// CourseRefused means that the job would be rejected when it is submitted.
	CourseRefused Course = "refused"
	// CourseUnderWay means that runs of the job exist and that no task waits.
	CourseUnderWay Course = "under-way"
	// CourseNotDue means that no task can start yet: an earlier step or the time of an occurrence is waited for.
	CourseNotDue Course = "not-due"
	// CourseUnloaded means that the job is left in the store until the planner has memory for it.
	CourseUnloaded Course = "unloaded"
	// CourseEnded means that the job has reached its final state.
	CourseEnded Course = "ended"
)

// Explanation tells where a job would go now, and why, by the state that the planner decides by.
type Explanation struct {
	// Planner is the entry VM that decides; the caller of Explain sets it.
	Planner string         `cbor:"1,keyasint,omitempty" json:"planner"`
	Job     string         `cbor:"2,keyasint" json:"job"`
	Course  Course         `cbor:"3,keyasint" json:"course"`
	State   workload.State `cbor:"4,keyasint,omitempty" json:"state,omitempty"`
	// Reason says why the job is refused.
	Reason string `cbor:"5,keyasint,omitempty" json:"reason,omitempty"`
	// RetryAfter is the time after which a refused job may be accepted.
	RetryAfter time.Duration `cbor:"6,keyasint,omitempty" json:"retry-after,omitempty"`
	// Guaranteed means that the organisation's guarantee covers the job.
	Guaranteed bool `cbor:"7,keyasint,omitempty" json:"guaranteed"`
	// Placements has the tasks that would be started now, and Stopped the running groups that would be stopped for the job.
	Placements []ExplainedPlacement `cbor:"8,keyasint,omitempty" json:"placements,omitempty"`
	Stopped    []ExplainedGroup     `cbor:"9,keyasint,omitempty" json:"stopped,omitempty"`
	// BeyondWeight means that the organisation has submitted more jobs than its weight entitles it to, so that others come first.
	BeyondWeight bool `cbor:"15,keyasint,omitempty" json:"beyond-weight"`
	// Runs has the runs of the job that exist.
	Runs []ExplainedRun `cbor:"10,keyasint,omitempty" json:"runs,omitempty"`
	// Waiting says why tasks of the job wait; nil if none does.
	Waiting *ExplainedWait `cbor:"11,keyasint,omitempty" json:"waiting,omitempty"`
	// RegistrationsAge is the age of what the planner knows of the workers' entries. ConfigurationVersion is the configuration that it decides by.
	RegistrationsAge     time.Duration `cbor:"12,keyasint" json:"registrations-age"`
	ConfigurationVersion int64         `cbor:"13,keyasint" json:"configuration-version"`
	// StoreFailing is how long commits have failed; 0 while they succeed.
	StoreFailing time.Duration `cbor:"14,keyasint,omitempty" json:"store-failing,omitempty"`
}

// ExplainedPlacement is a task that would be started now.
type ExplainedPlacement struct {
	Task   string `cbor:"1,keyasint" json:"task"`
	Worker string `cbor:"2,keyasint" json:"worker"`
	Rack   string `cbor:"3,keyasint,omitempty" json:"rack"`
	// Answered is how long ago the worker last answered; negative if it never has.
	Answered time.Duration `cbor:"4,keyasint" json:"answered"`
	// InDataRack means that the rack has the data of the task.
	InDataRack bool `cbor:"5,keyasint,omitempty" json:"in-data-rack,omitempty"`
}

// ExplainedGroup is a running group that would be stopped.
type ExplainedGroup struct {
	Job      string `cbor:"1,keyasint" json:"job"`
	Priority int    `cbor:"2,keyasint" json:"priority"`
	// Waste is the work that the stop would lose, in core-seconds.
	Waste float64 `cbor:"3,keyasint" json:"waste-core-seconds"`
}

// ExplainedRun is a run of the job that exists, or may.
type ExplainedRun struct {
	Task    string `cbor:"1,keyasint" json:"task"`
	Run     int    `cbor:"2,keyasint" json:"run"`
	Worker  string `cbor:"3,keyasint" json:"worker"`
	Percent int    `cbor:"4,keyasint,omitempty" json:"percent"`
	// AtWork means that the worker has confirmed the run, that it answers, and that the run is not being stopped.
	AtWork bool `cbor:"5,keyasint,omitempty" json:"at-work"`
	// Answered is how long ago the worker last answered; negative if it never has.
	Answered time.Duration `cbor:"6,keyasint" json:"answered"`
}

// ExplainedWait says why tasks that are ready are not started.
type ExplainedWait struct {
	// Units is the number of gangs and single tasks of the job that wait, and Withheld the part of them of which an earlier run may still begin.
	Units    int `cbor:"1,keyasint" json:"units"`
	Withheld int `cbor:"2,keyasint,omitempty" json:"withheld"`
	// Ahead is the number of gangs and single tasks of other jobs that are considered before the first one that waits.
	Ahead int `cbor:"3,keyasint,omitempty" json:"ahead"`
	// OverLimit means that a unit of the job waits for room under its organisation's limit.
	OverLimit bool `cbor:"10,keyasint,omitempty" json:"over-limit"`
	// Delayed means that a unit was preempted and waits before it starts again. CostsMore means that running work could give way to a unit, and
	// that this would cost other callers more than it gains.
	Delayed   bool `cbor:"11,keyasint,omitempty" json:"delayed"`
	CostsMore bool `cbor:"12,keyasint,omitempty" json:"costs-more"`
	// Unavailable and the counts after it are the workers of the service, each by the first reason for which the first unit that waits is not
	// placed there.
	Unavailable int `cbor:"4,keyasint,omitempty" json:"workers-unavailable"`
	Closed      int `cbor:"5,keyasint,omitempty" json:"workers-closed"`
	Avoided     int `cbor:"6,keyasint,omitempty" json:"workers-avoided"`
	Unsuitable  int `cbor:"7,keyasint,omitempty" json:"workers-unsuitable"`
	Full        int `cbor:"8,keyasint,omitempty" json:"workers-full"`
	Free        int `cbor:"9,keyasint,omitempty" json:"workers-free"`
}

// Explain tells where a job would go now. Nothing is stored, and no order is sent.
func (p *Planner) Explain(ctx context.Context, request ExplainRequest) Result {
	result := make(chan Result, 1)
	err := p.do(ctx, func() { result <- p.explain(request) })
	return awaitResult(ctx, p.ctx, result, err)
}

func (p *Planner) explain(request ExplainRequest) Result {
	id := request.ID
	if request.Job != nil {
		id = request.Job.ID
	}
	// Submitting a job again has no effect, so one that is accepted already is explained as it is.
	if state, stored := p.storedState(id); stored {
		e := &Explanation{Job: id, State: state, Course: CourseUnloaded, RegistrationsAge: p.Clock.Since(p.registrationsKnownAt), ConfigurationVersion: p.Configuration().Version}
		if state.Ended() {
			e.Course = CourseEnded
		}
		return Result{Verdict: VerdictAccepted, State: state, Explanation: e}
	}
	j, accepted := p.jobs[id]
	switch {
	case accepted:
	case request.Job == nil:
		return Result{Verdict: VerdictAbsent}
	default:
		j = newJobState(workload.Record{Job: *request.Job, Progress: *workload.NewProgress(request.Job)}, p.Clock.Now())
	}
	now, conf := p.Clock.Now(), p.Configuration()
	e := &Explanation{
		Job: j.id(), RegistrationsAge: now.Sub(p.registrationsKnownAt), ConfigurationVersion: conf.Version,
	}
	if !p.storeFailingSince.IsZero() {
		e.StoreFailing = now.Sub(p.storeFailingSince)
	}
	if accepted {
		e.State = j.state()
	} else {
		j.beyondWeight = p.wouldBeBeyondWeight(request.Job)
		r, refused := p.refusal(request.Job)
		if !refused {
			r, refused = p.roomRefusal(request.Job)
		}
		if refused {
			e.Course, e.Reason, e.RetryAfter = CourseRefused, r.Reason, r.RetryAfter
			return Result{Verdict: VerdictAccepted, Explanation: e}
		}
	}
	p.explainCourse(e, now, j)
	return Result{Verdict: VerdictAccepted, State: e.State, Explanation: e}
}

// explainCourse runs the decision of a pass with the job among the active ones, and applies nothing of it.
func (p *Planner) explainCourse(e *Explanation, now time.Time, j *jobState) {
	for _, g := range j.groups {
		for _, r := range g.runs {
			e.addRun(now, r)
		}
	}
	if j.state().Ended() {
		e.Course = CourseEnded
		return
	}
	if _, active := p.active[j.id()]; !active {
		p.active[j.id()] = j
		defer delete(p.active, j.id())
	}
	conf := p.Configuration()
	units := p.readyUnitsOf(nil, now, j, p.guaranteedJobs(conf)[j], nil)
	e.Course = CourseNotDue
	if len(j.groups) > 0 {
		e.Course = CourseUnderWay
	}
	if len(units) == 0 {
		return
	}
	e.Guaranteed, e.BeyondWeight = units[0].Guaranteed, j.beyondWeight
	withheld := len(units) - len(p.withoutPossibleRuns(now, slices.Clone(units)))
	placed := map[*policy.Unit]bool{}
	d := p.decide(now, conf, func(waiting []*policy.Unit, d policy.Decision) {
		if slices.ContainsFunc(waiting, func(u *policy.Unit) bool { return u.Job == &j.record.Job }) {
			p.explainDecision(e, now, j, conf, waiting, d, placed)
		}
	})
	if e.Waiting != nil {
		e.Waiting.OverLimit = slices.ContainsFunc(d.units, func(u *policy.Unit) bool { return u.Job == &j.record.Job && d.limits.Holds(u) })
	}
	if withheld > 0 {
		if e.Waiting == nil {
			e.Waiting = &ExplainedWait{}
		}
		e.Waiting.Units, e.Waiting.Withheld = e.Waiting.Units+withheld, withheld
	}
	switch {
	case len(placed) > 0:
		e.Course = CourseStarts
	case len(e.Stopped) > 0:
		e.Course = CoursePreempts
	default:
		e.Course = CourseWaits
	}
}

// explainDecision adds what the decision on the job's service means for the job. It adds the units that are placed to placed.
func (p *Planner) explainDecision(e *Explanation, now time.Time, j *jobState, conf *Configuration, waiting []*policy.Unit, d policy.Decision,
	placed map[*policy.Unit]bool,
) {
	for _, placement := range d.Placements {
		if placement.Unit.Job == &j.record.Job {
			placed[placement.Unit] = true
			e.addPlacement(now, p, placement)
		}
	}
	for _, g := range d.Preemptions {
		if g.PreemptedFor.Job == &j.record.Job {
			e.addStopped(g)
		}
	}
	e.Waiting = p.explainWait(now, j, conf, waiting, placed)
	if e.Waiting != nil {
		e.Waiting.Delayed = slices.ContainsFunc(d.Delayed, func(u *policy.Unit) bool { return u.Job == &j.record.Job })
		e.Waiting.CostsMore = slices.ContainsFunc(d.Withheld, func(w policy.Withheld) bool { return w.Unit.Job == &j.record.Job })
	}
}

// explainWait says why units of the job are not placed; nil if all are. waiting has the units of the service in the order of the decision.
func (p *Planner) explainWait(now time.Time, j *jobState, conf *Configuration, waiting []*policy.Unit, placed map[*policy.Unit]bool) *ExplainedWait {
	var wait *ExplainedWait
	ahead := 0
	for _, u := range waiting {
		switch {
		case u.Job != &j.record.Job:
			ahead++
		case placed[u]:
		case wait != nil:
			wait.Units++
		default:
			c := p.idleWorkersFor(now, u, conf)
			wait = &ExplainedWait{
				Units: 1, Ahead: ahead, Unavailable: c.unavailable, Closed: c.closed, Avoided: c.avoided, Unsuitable: c.unsuitable, Full: c.full, Free: c.free,
			}
		}
	}
	return wait
}

func (e *Explanation) addRun(now time.Time, r *run) {
	if len(e.Runs) == maxExplainedItems {
		return
	}
	e.Runs = append(e.Runs, ExplainedRun{
		Task: r.name, Run: r.number, Worker: r.worker.id(), Percent: r.percent, Answered: r.worker.answerAge(now),
		AtWork: r.phase == runRunning && !r.stopRequested && r.worker.failingSince.IsZero(),
	})
}

func (e *Explanation) addPlacement(now time.Time, p *Planner, placement policy.Placement) {
	if len(e.Placements) == maxExplainedItems {
		return
	}
	u, w := placement.Unit, p.workers[placement.Worker]
	id := workload.TaskID{Job: u.Job.ID, Occurrence: u.Occurrence, Step: u.Step, Index: placement.Task}
	rack := w.registration.Rack
	e.Placements = append(e.Placements, ExplainedPlacement{
		Task: id.String(), Worker: w.id(), Rack: rack, Answered: w.answerAge(now), InDataRack: rack != "" && rack == u.Job.Steps[u.Step].DataRack,
	})
}

func (e *Explanation) addStopped(victim *policy.Group) {
	if g, ok := victim.Handle.(*group); ok && len(e.Stopped) < maxExplainedItems {
		e.Stopped = append(e.Stopped, ExplainedGroup{Job: g.job.id(), Priority: victim.Priority, Waste: victim.PreemptionCost})
	}
}

// answerAge returns how long ago the worker last answered; negative if it never has.
func (w *workerState) answerAge(now time.Time) time.Duration {
	if w.lastAnswer.IsZero() {
		return -1
	}
	return now.Sub(w.lastAnswer)
}
