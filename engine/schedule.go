package engine

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"clementinepier/metrics"
	"clementinepier/policy"
	"clementinepier/workload"
)

// expiryFactor times the objective is the time after which completing a job has no value any more; it comes from the users'
// payoff rules.
const expiryFactor = 3

// maxRegistrationAge is how old the knowledge of the registrations may be when runs are started, since a worker that leaves
// must get no new runs after 2 s. A watch gets its response within watchWait.
const maxRegistrationAge = 1800 * time.Millisecond

// plan places the waiting work that fits, and preempts running work for guaranteed work.
func (p *Planner) plan() {
	now, conf := p.Clock.Now(), p.Configuration()
	p.withdrawUnsentBeyondLimits(conf, p.usage(now, conf))
	d := p.decide(now, conf, func(_ []*policy.Unit, d policy.Decision) { p.applyDecision(now, d) })
	p.Metrics.SetGauge(metrics.UnitsWaiting, int64(d.ready))
	p.reportLimits(now, conf, d)
}

// decided is what the decisions of a pass have gone by.
type decided struct {
	// ready is the number of units that could start, and units has those of them of which no earlier run may still begin.
	ready  int
	units  []*policy.Unit
	usage  map[string]policy.Usage
	limits *policy.Limits
}

// decide passes the decision on the waiting units of each service to apply, with the units in the order in which they were considered.
// It stores nothing and sends no orders.
func (p *Planner) decide(now time.Time, conf *Configuration, apply func(waiting []*policy.Unit, d policy.Decision)) decided {
	guaranteed := p.guaranteedJobs(conf)
	usage := p.usage(now, conf)
	limits := p.limits(conf, usage)
	units := p.readyUnits(now, conf, guaranteed)
	ready := len(units)
	units = p.withoutPossibleRuns(now, units)
	p.setShares(now, conf, usage, units)
	policy.Order(now, units)
	byService := map[string][]*policy.Unit{}
	for _, u := range units {
		byService[u.Job.Service] = append(byService[u.Job.Service], u)
	}
	for _, service := range slices.Sorted(maps.Keys(byService)) {
		waiting := policy.Considered(byService[service], len(p.cachedFleet(service).workers))
		mayPreempt := limits != nil || slices.ContainsFunc(waiting, func(u *policy.Unit) bool { return u.Job.Priority == 0 })
		f := p.currentFleet(service, now, conf, guaranteed, mayPreempt)
		f.Limits = limits
		apply(waiting, f.Plan(now, waiting))
	}
	return decided{ready: ready, units: units, usage: usage, limits: limits}
}

// readyUnits returns the gangs and single tasks that could start now.
func (p *Planner) readyUnits(now time.Time, conf *Configuration, guaranteed map[*jobState]bool) []*policy.Unit {
	var units []*policy.Unit
	closed := p.closedWorkers(now, conf)
	for _, j := range p.active {
		j.updateUnplacedSince(now)
		units = p.readyUnitsOf(units, now, j, guaranteed[j], closed[j.record.Job.Service])
	}
	return units
}

// readyUnitsOf appends the units of a job that could start now. The closed workers may be nil if they do not matter.
func (p *Planner) readyUnitsOf(units []*policy.Unit, now time.Time, j *jobState, guaranteed bool, closed *closedFleet) []*policy.Unit {
	for k := range j.record.Progress.Tasks {
		if due := j.record.Job.OccurrenceStart(k); !due.IsZero() && p.TimeOfDay().Before(due) {
			break
		}
		for s := range j.record.Job.Steps {
			units = appendStepUnits(units, now, j, k, s, guaranteed, closed)
		}
	}
	return units
}

// appendStepUnits appends the units of step s of occurrence k that could start now.
func appendStepUnits(units []*policy.Unit, now time.Time, j *jobState, k, s int, guaranteed bool, closed *closedFleet) []*policy.Unit {
	step := &j.record.Job.Steps[s]
	if j.record.Progress.StepDone(k, s) || !j.stepReady(k, s) {
		return units
	}
	if j.readySince[k][s].IsZero() {
		j.readySince[k][s] = now
		if s == 0 && k == 0 {
			j.readySince[k][s] = j.accepted
		}
	}
	base := policy.Unit{
		Job: &j.record.Job, Occurrence: k, Step: s, ReadySince: j.readySince[k][s], IdleSince: j.unplacedStepSince(k, s), Guaranteed: guaranteed && s == 0,
		Unresponsive: currentIDs(now, j.unresponsive), Remaining: step.Estimate,
		BeyondWeight: j.beyondWeight,
	}
	if !step.LongRunning {
		// A task that lasts may be away for a few seconds only, so it avoids no workers.
		base.Avoid = currentIDs(now, j.avoid)
		base.ClosedWorkers = closed.allowedFor(j, now, latest(j.readySince[k][s], j.unplacedSince), false)
	}
	base.Deadline, base.Expiry = j.objectiveTimes(k)
	if step.MaxTasksPerWorker > 0 {
		base.TasksByWorker = j.runsPerWorker(k, s)
	}
	tasks := j.record.Progress.Tasks[k][s]
	if step.Gang {
		if _, exists := j.groups[groupKey{k, s, -1}]; exists {
			return units
		}
		base.Tasks = make([]int, len(tasks))
		for i := range base.Tasks {
			base.Tasks[i] = i
		}
		j.preemptions[groupKey{k, s, -1}].describe(&base)
		return append(units, &base)
	}
	for i := range tasks {
		if tasks[i].Phase != workload.PhaseWaiting {
			continue
		}
		if _, exists := j.groups[groupKey{k, s, i}]; exists {
			continue
		}
		u := base
		u.Tasks = []int{i}
		j.preemptions[groupKey{k, s, i}].describe(&u)
		if step.LongRunning {
			u.IdleSince = latest(j.readySince[k][s], j.endedAt[groupKey{k, s, i}])
			u.ClosedWorkers = closed.allowedFor(j, now, u.IdleSince, true)
		}
		units = append(units, &u)
	}
	return units
}

// objectiveTimes returns when an occurrence has to be completed to meet the job's objective, and when completing it stops being of use.
func (j *jobState) objectiveTimes(occurrence int) (deadline, expiry time.Time) {
	origin := j.accepted
	if j.record.Job.Repeat > 0 {
		origin = j.readySince[occurrence][0]
	}
	return origin.Add(j.record.Job.Objective), origin.Add(expiryFactor * j.record.Job.Objective)
}

// stepReady reports whether all earlier steps that the step waits for are done.
func (j *jobState) stepReady(occurrence, step int) bool {
	for _, before := range j.record.Job.Steps[step].After {
		if !j.record.Progress.StepDone(occurrence, before) {
			return false
		}
	}
	return true
}

// runsPerWorker counts a step's runs on each worker.
func (j *jobState) runsPerWorker(occurrence, step int) map[string]int {
	counts := map[string]int{}
	for key, g := range j.groups {
		if key.occurrence != occurrence || key.step != step {
			continue
		}
		for _, r := range g.runs {
			counts[r.worker.id()]++
		}
	}
	return counts
}

// guaranteedJobs returns the urgent jobs that their organisations' guarantees cover; older jobs take precedence.
func (p *Planner) guaranteedJobs(conf *Configuration) map[*jobState]bool {
	byOrganisation := map[string][]*jobState{}
	for _, j := range p.active {
		if j.record.Job.Priority == 0 {
			name := j.record.Job.Organisation
			byOrganisation[name] = append(byOrganisation[name], j)
		}
	}
	covered := map[*jobState]bool{}
	for name, jobs := range byOrganisation {
		left := conf.Guaranteed(name)
		slices.SortFunc(jobs, func(a, b *jobState) int {
			return cmp.Or(a.accepted.Compare(b.accepted), cmp.Compare(a.id(), b.id()))
		})
		for _, j := range jobs {
			if need := j.record.Job.FirstStepAccelerators(); need <= left {
				left -= need
				covered[j] = true
			}
		}
	}
	return covered
}

// preemptible reports whether a group may be stopped for more urgent work.
func (p *Planner) preemptible(g *group) bool {
	if g.done || g.stopping || g.step().LongRunning {
		return false
	}
	for _, r := range g.runs {
		if r.phase != runRunning || r.stopRequested || !r.worker.failingSince.IsZero() {
			return false
		}
	}
	return true
}

// usable reports whether new runs may be placed on a worker.
func (p *Planner) usable(w *workerState, now time.Time, conf *Configuration) bool {
	return p.acceptsStarts(w, now, conf) && !p.closed(w, now)
}

// acceptsStarts reports whether runs that were placed on a worker may be started there.
func (p *Planner) acceptsStarts(w *workerState, now time.Time, conf *Configuration) bool {
	return now.Sub(p.registrationsKnownAt) < maxRegistrationAge && w.registered && w.fenced && w.clock != 0 && !w.draining && w.failingSince.IsZero() && len(w.orphans) == 0 &&
		!p.leaseNote.named[w.id()] &&
		!conf.Evacuated[w.registration.FailureDomain] && !now.Before(w.unhealthyUntil)
}

// applyDecision stops the groups to preempt and places the units.
func (p *Planner) applyDecision(now time.Time, d policy.Decision) {
	p.preempt(now, d.Preemptions)
	p.reportWaits(now, d)
	placements := map[*policy.Unit][]policy.Placement{}
	var units []*policy.Unit
	for _, placement := range d.Placements {
		if len(placements[placement.Unit]) == 0 {
			units = append(units, placement.Unit)
		}
		placements[placement.Unit] = append(placements[placement.Unit], placement)
	}
	for _, u := range units {
		p.placeUnit(now, u, placements[u])
	}
}

// placeUnit records the placement of a unit's runs, and starts them once the record is stored.
func (p *Planner) placeUnit(now time.Time, u *policy.Unit, placements []policy.Placement) {
	j := p.jobs[u.Job.ID]
	key := groupKeyOf(u)
	g := &group{job: j, key: key, startedAt: now}
	j.groups[key] = g
	number := 0
	for _, i := range u.Tasks {
		number = max(number, j.record.Progress.Tasks[u.Occurrence][u.Step][i].Run)
	}
	number++
	for _, placement := range placements {
		w := p.workers[placement.Worker]
		t := &j.record.Progress.Tasks[u.Occurrence][u.Step][placement.Task]
		t.Phase, t.Run, t.Worker = workload.PhasePlaced, number, w.id()
		id := workload.TaskID{Job: j.id(), Occurrence: u.Occurrence, Step: u.Step, Index: placement.Task}
		r := p.addRun(g, id, number, w)
		r.checkpoint, r.startedFrom = t.Checkpoint, t.Checkpoint
		// The worker may have to report its clock first.
		p.scheduleContact(w)
		if p.closed(w, now) || u.Avoid[w.id()] {
			p.Log.Event("suspect-worker-used", "task", r.name, "run", number, "worker", w.id(), "closed", p.closed(w, now), "failed-here", u.Avoid[w.id()],
				"suspicion", w.suspicion(), "waited", now.Sub(latest(u.ReadySince, j.unplacedSince)))
		}
		p.breaker.RecordStart(now, w.id(), breakerKey(j))
	}
	if !j.record.Progress.Started {
		j.record.Progress.Started = true
		p.Metrics.Observe(metrics.WaitTime, now.Sub(j.accepted))
	}
	p.Log.Event("group-placed", "job", j.id(), "occurrence", key.occurrence, "step", key.step, "run", number, "runs", len(g.runs),
		"first", g.runs[0].name, "worker", g.runs[0].worker.id(), "waited", now.Sub(u.ReadySince), "guaranteed", u.Guaranteed)
	change := p.recordChange(j)
	for _, r := range g.runs {
		r.placementChange = change
	}
	j.lastPlacement = change
	p.whenStored(j, change, func() {
		for _, r := range slices.Clone(g.runs) {
			p.startRun(r)
		}
	})
}
