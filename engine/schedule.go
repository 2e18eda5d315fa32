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

// lateFactor times the objective is when completing a job stops being of use; source: the users' rules on payoff.
const lateFactor = 3

// advertsPatience is how old the view of the workers' entries may be when work is started: a worker that leaves gets
// nothing new after 2 s. A watch is answered within watchWait.
const advertsPatience = 1800 * time.Millisecond

// plan starts what fits and makes room for what is guaranteed.
func (p *Planner) plan() {
	now := p.Clock.Now()
	conf := p.Configuration()
	guaranteed := p.guaranteedJobs(conf)
	units := p.units(now, guaranteed)
	p.Metrics.SetGauge(metrics.UnitsWaiting, int64(len(units)))
	if len(units) == 0 {
		return
	}
	policy.Order(now, units)
	byService := map[string][]*policy.Unit{}
	for _, u := range units {
		byService[u.Job.Service] = append(byService[u.Job.Service], u)
	}
	for _, service := range slices.Sorted(maps.Keys(byService)) {
		waiting := byService[service]
		makesRoom := slices.ContainsFunc(waiting, func(u *policy.Unit) bool { return u.Job.Priority == 0 })
		p.apply(now, p.fleetOf(service, now, conf, guaranteed, makesRoom).Plan(now, waiting))
	}
}

// units returns the work that could start now.
func (p *Planner) units(now time.Time, guaranteed map[*jobState]bool) []*policy.Unit {
	var units []*policy.Unit
	timeOfDay := p.TimeOfDay()
	for _, j := range p.active {
		for k := range j.record.Progress.Tasks {
			if due := j.record.Job.OccurrenceStart(k); !due.IsZero() && timeOfDay.Before(due) {
				break
			}
			for s := range j.record.Job.Steps {
				units = p.stepUnits(units, now, j, k, s, guaranteed[j])
			}
		}
	}
	return units
}

// stepUnits appends the units of one step.
func (p *Planner) stepUnits(units []*policy.Unit, now time.Time, j *jobState, k, s int, guaranteed bool) []*policy.Unit {
	step := &j.record.Job.Steps[s]
	if j.record.Progress.StepDone(k, s) || !j.stepReady(k, s) {
		return units
	}
	if j.since[k][s].IsZero() {
		j.since[k][s] = now
		if s == 0 && k == 0 {
			j.since[k][s] = j.accepted
		}
	}
	base := policy.Unit{
		Job: &j.record.Job, Occurrence: k, Step: s, ReadySince: j.since[k][s], Guaranteed: guaranteed && s == 0, Avoid: j.avoid,
	}
	origin := j.accepted
	if j.record.Job.Repeat > 0 {
		origin = j.since[k][0]
	}
	base.Deadline, base.Expiry = origin.Add(j.record.Job.Objective), origin.Add(lateFactor*j.record.Job.Objective)
	if step.MaxTasksPerWorker > 0 {
		base.TasksByWorker = j.onWorkers(k, s)
	}
	tasks := j.record.Progress.Tasks[k][s]
	if step.Gang {
		if _, alive := j.groups[groupKey{k, s, -1}]; alive {
			return units
		}
		base.Tasks = make([]int, len(tasks))
		for i := range base.Tasks {
			base.Tasks[i] = i
		}
		return append(units, &base)
	}
	for i := range tasks {
		if tasks[i].Phase != workload.PhaseWaiting {
			continue
		}
		if _, alive := j.groups[groupKey{k, s, i}]; alive {
			continue
		}
		u := base
		u.Tasks = []int{i}
		units = append(units, &u)
	}
	return units
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

// onWorkers counts a step's runs on each worker.
func (j *jobState) onWorkers(occurrence, step int) map[string]int {
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

// guaranteedJobs returns the urgent jobs that their organisations' guarantees cover, the oldest first.
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

// mayStop reports whether a group may be stopped for more urgent work.
func (p *Planner) mayStop(g *group) bool {
	if g.done || g.breaking || g.step().LongRunning {
		return false
	}
	for _, r := range g.runs {
		if r.phase != runRunning || r.stopWanted || !r.worker.failing.IsZero() {
			return false
		}
	}
	return true
}

// usable reports whether new runs may be placed on a worker.
func (p *Planner) usable(w *workerState, now time.Time, conf *Configuration) bool {
	return p.takesStarts(w, now, conf) && p.breaker.Allowed(now, w.id(), true)
}

// takesStarts reports whether runs that were placed on a worker may be started there.
func (p *Planner) takesStarts(w *workerState, now time.Time, conf *Configuration) bool {
	return now.Sub(p.advertsSeen) < advertsPatience && w.listed && w.known && w.clock != 0 && !w.draining && w.failing.IsZero() && w.foreign == 0 &&
		!conf.Evacuated[w.advert.FailureDomain] && !now.Before(w.unhealthyUntil)
}

// apply records the placements, orders them once they are stored, and stops what has to make room.
func (p *Planner) apply(now time.Time, d policy.Decision) {
	for _, v := range d.Preemptions {
		g, ok := v.Handle.(*group)
		if !ok {
			continue
		}
		p.Log.Event("group-preempted", "job", g.job.id(), "priority", v.Priority, "waste", v.PreemptionCost)
		p.Metrics.Add(metrics.GroupsPreempted, 1)
		p.breakGroup(g, "preempted")
	}
	started := map[*policy.Unit][]policy.Placement{}
	var order []*policy.Unit
	for _, placement := range d.Placements {
		if len(started[placement.Unit]) == 0 {
			order = append(order, placement.Unit)
		}
		started[placement.Unit] = append(started[placement.Unit], placement)
	}
	for _, u := range order {
		p.launch(now, u, started[u])
	}
}

// launch records the runs of a unit, and orders them once the record is stored.
func (p *Planner) launch(now time.Time, u *policy.Unit, placements []policy.Placement) {
	j := p.jobs[u.Job.ID]
	key := groupKey{occurrence: u.Occurrence, step: u.Step, index: u.Tasks[0]}
	step := &u.Job.Steps[u.Step]
	if step.Gang {
		key.index = -1
	}
	g := &group{job: j, key: key, started: now}
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
		r := p.newRun(g, id, number, w)
		r.checkpoint = t.Checkpoint
		p.breaker.RecordStart(now, w.id(), breakerKey(j))
	}
	if !j.record.Progress.Started {
		j.record.Progress.Started = true
		p.Metrics.Observe(metrics.WaitTime, now.Sub(j.accepted))
	}
	p.Log.Event("group-placed", "job", j.id(), "occurrence", key.occurrence, "step", key.step, "run", number, "runs", len(g.runs),
		"first", g.runs[0].name, "worker", g.runs[0].worker.id(), "waited", now.Sub(u.ReadySince), "guaranteed", u.Guaranteed)
	change := p.touch(j)
	for _, r := range g.runs {
		r.placed = change
	}
	j.launched = change
	p.whenStored(j, change, func() {
		for _, r := range slices.Clone(g.runs) {
			p.start(r)
		}
	})
}
