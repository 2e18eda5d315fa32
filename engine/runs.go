package engine

import (
	"slices"
	"time"

	"clementinepier/job"
	"clementinepier/metrics"
	"clementinepier/workload"
)

// addRun creates a run and adds it to its group and worker.
func (p *Planner) addRun(g *group, task workload.TaskID, number int, w *workerState) *run {
	r := &run{
		task: task, name: task.String(), number: number, group: g, worker: w,
		need: g.job.record.Job.Steps[task.Step].Need, progressedAt: p.Clock.Now(),
	}
	g.runs = append(g.runs, r)
	g.size++
	w.runs[r.name] = r
	return r
}

// stopGroup stops the runs of a group that cannot or must not complete any more.
func (p *Planner) stopGroup(g *group, reason string) {
	if g.stopping {
		return
	}
	g.stopping, g.reason = true, reason
	p.Log.Event("group-ending", "job", g.job.id(), "step", g.key.step, "runs", len(g.runs), "reason", reason)
	p.stopRuns(g)
}

// stopJob stops every run of a job.
func (p *Planner) stopJob(j *jobState, reason string) {
	for _, g := range j.groups {
		p.stopGroup(g, reason)
		p.stopRuns(g)
	}
}

func (p *Planner) stopRuns(g *group) {
	// A run that was not started ends at once, and leaves the group.
	for _, r := range slices.Clone(g.runs) {
		p.stopRun(r)
	}
}

// endRun records that a run certainly does not exist any more, and what shows it.
func (p *Planner) endRun(r *run, reason EndReason, checkpoint string, basis endBasis) {
	if r.ended {
		return
	}
	r.ended = true
	delete(r.worker.runs, r.name)
	g, j := r.group, r.group.job
	if checkpoint != "" {
		r.checkpoint = checkpoint
	}
	p.Metrics.Add(metrics.Name("runs-ended-"+string(reason)), 1)
	leasesEnd, _ := p.runEndsBy(r)
	p.Log.Event("run-ended", "task", r.name, "run", r.number, "worker", r.worker.id(), "how", reason, "basis", basis,
		"percent", r.percent, "after", p.Clock.Since(g.startedAt), "reason", g.reason, "answered", r.worker.lastAnswer, "leases-end", leasesEnd)
	p.Metrics.Add(metrics.Name("runs-ended-basis-"+string(basis)), 1)
	p.recordInferredEnd(r, basis)
	p.measureEnd(r, reason)
	if reason == EndDone {
		p.recordSuccess(r)
	}
	if reason == EndFailed {
		p.recordFailure(r)
	}
	if reason != EndDone && reason != EndFailed {
		p.breaker.RecordInconclusive(r.worker.id(), breakerKey(j))
	}
	if r.checkpoint != "" {
		p.recordCheckpoint(g, r)
	}
	t := j.task(r.task)
	if t.Phase == workload.PhasePlaced && t.Run == r.number {
		t.Phase = workload.PhaseWaiting
		p.storeLateStart(r)
		p.recordChange(j)
	}
	p.removeRun(g, r)
	p.recordFinalState(j)
	p.planNeeded = true
}

// storeLateStart records, also for a successor, that the start of a run that has ended may be executed still.
func (p *Planner) storeLateStart(r *run) {
	now, g := p.Clock.Now(), r.group
	if r.placementChange == 0 && now.Sub(p.started) < maxOrderDelay {
		// The earlier planner may have got no response to a start.
		late := &lateStart{job: g.job.id(), key: g.key, run: r.number, sent: p.started, incarnation: r.worker.incarnation, assumed: true}
		if recorded, ok := r.worker.lateStarts[g.name()]; ok && recorded.incarnation != 0 {
			late.incarnation = min(late.incarnation, recorded.incarnation)
			late.assumed, late.tasks, late.confirmed = recorded.assumed, recorded.tasks, recorded.confirmed
		}
		r.worker.recordLateStart(late)
	}
	if s, ok := r.worker.lateStarts[g.name()]; ok && s.run == r.number && now.Sub(s.sent) < maxOrderDelay {
		p.addLateStart(g, r.worker, s)
	}
}

// addLateStart adds a start that got no response to the record of its job.
func (p *Planner) addLateStart(g *group, w *workerState, s *lateStart) {
	g.job.record.Progress.AddLateStart(workload.LateStart{
		Occurrence: g.key.occurrence, Step: g.key.step, Index: g.key.index, Run: s.run, Worker: w.id(), Incarnation: s.incarnation,
		Sent: p.TimeOfDay().Add(-p.Clock.Since(s.sent)), Assumed: s.assumed,
	})
}

// removeRun removes a run from its group, and stops the rest of a gang that can no longer complete.
func (p *Planner) removeRun(g *group, r *run) {
	for i := range g.runs {
		if g.runs[i] == r {
			g.runs = append(g.runs[:i], g.runs[i+1:]...)
			break
		}
	}
	if len(g.runs) == 0 {
		delete(g.job.groups, g.key)
		if g.step().LongRunning {
			g.job.endedAt[g.key] = p.Clock.Now()
		}
		return
	}
	if !g.done {
		p.stopGroup(g, "a member has ended")
	}
}

// recordSuccess records that a run was done.
func (p *Planner) recordSuccess(r *run) {
	g := r.group
	p.breaker.RecordSuccess(r.worker.id(), breakerKey(g.job))
	r.recordDoneOnWorker()
	if g.done || g.step().LongRunning {
		return
	}
	g.done = true
	p.recordLongestDone(g)
	p.recordDone(g.job, g.key)
}

// recordDone records that a task is done; one done member completes all tasks of a gang.
func (p *Planner) recordDone(j *jobState, key groupKey) {
	j.begun = true
	tasks := j.record.Progress.Tasks[key.occurrence][key.step]
	for i := range tasks {
		if key.index < 0 || i == key.index {
			tasks[i].Phase, tasks[i].Checkpoint = workload.PhaseDone, ""
		}
	}
	p.recordChange(j)
}

// recordFailure records a failed run. A group counts as one failed attempt of its tasks, however many of its runs fail.
func (p *Planner) recordFailure(r *run) {
	g, j := r.group, r.group.job
	j.begun = true
	p.blameFailure(r)
	j.avoidWorker(p.Clock.Now(), r.worker)
	if g.failed || g.done {
		return
	}
	g.failed = true
	if g.key.index < 0 && !j.record.Progress.CountGangFailure(r.task.Occurrence, r.task.Step, r.number) {
		// An earlier planner has counted the failure of another member.
		return
	}
	tasks := j.record.Progress.Tasks[r.task.Occurrence][r.task.Step]
	failed := 0
	for i := range tasks {
		if g.key.index < 0 || i == r.task.Index {
			tasks[i].Failed++
			failed = tasks[i].Failed
		}
	}
	p.recordChange(j)
	if limit := j.record.Job.MaxAttempts; limit > 0 && failed >= limit && !g.step().LongRunning && !j.state().Ended() {
		j.record.Progress.Failed = true
		p.Log.Event("job-out-of-attempts", "job", j.id(), "task", r.name, "failed", failed, "limit", limit)
		p.recordFinalState(j)
		p.stopJob(j, "another task has failed too often")
	}
}

// recordCheckpoint records the newest checkpoint; a gang's checkpoint applies to all its tasks.
func (p *Planner) recordCheckpoint(g *group, r *run) {
	if !g.step().Checkpoints || g.done {
		return
	}
	tasks := g.job.record.Progress.Tasks[r.task.Occurrence][r.task.Step]
	for i := range tasks {
		if (g.key.index < 0 || i == r.task.Index) && tasks[i].Phase != workload.PhaseDone {
			tasks[i].Checkpoint = r.checkpoint
		}
	}
	p.recordChange(g.job)
}

func breakerKey(j *jobState) job.Key {
	return job.Key{Organisation: j.record.Job.Organisation, ID: j.id()}
}

// preemptionCost returns the core-seconds of work that would be lost if the run were stopped now.
func (p *Planner) preemptionCost(r *run, now time.Time) float64 {
	since := r.group.runningSince
	if since.IsZero() {
		since = r.group.startedAt
	}
	lost := now.Sub(since)
	if r.group.step().Checkpoints {
		// A stop writes a checkpoint, so only the time of the stop and the restart is lost.
		lost = min(lost, p.Bounds.StopGrace)
	}
	return lost.Seconds() * r.need.Cores()
}
