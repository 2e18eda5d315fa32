package engine

import (
	"time"

	"clementinepier/job"
	"clementinepier/metrics"
	"clementinepier/workload"
)

// newRun adds a run to its group and worker.
func (p *Planner) newRun(g *group, task workload.TaskID, number int, w *workerState) *run {
	r := &run{
		task: task, name: task.String(), number: number, group: g, worker: w,
		need: g.job.record.Job.Steps[task.Step].Need, moved: p.Clock.Now(),
	}
	g.runs = append(g.runs, r)
	g.size++
	w.runs[r.name] = r
	return r
}

// breakGroup ends the runs of a group that cannot be done any more.
func (p *Planner) breakGroup(g *group, reason string) {
	if g.breaking {
		return
	}
	g.breaking, g.reason = true, reason
	p.Log.Event("group-ending", "job", g.job.id(), "step", g.key.step, "runs", len(g.runs), "reason", reason)
	for _, r := range g.runs {
		p.stop(r)
	}
}

// stopAll ends every run of a job.
func (p *Planner) stopAll(j *jobState, reason string) {
	for _, g := range j.groups {
		p.breakGroup(g, reason)
		for _, r := range g.runs {
			p.stop(r)
		}
	}
}

// endRun takes in that a run surely does not exist any more.
func (p *Planner) endRun(r *run, how EndReason, checkpoint string) {
	if r.ended {
		return
	}
	r.ended = true
	delete(r.worker.runs, r.name)
	g, j := r.group, r.group.job
	if checkpoint != "" {
		r.checkpoint = checkpoint
	}
	if g.key.index < 0 && r.phase != runInherited && g.parted.IsZero() {
		g.parted = p.Clock.Now()
	}
	p.Metrics.Add(metrics.Name("runs-ended-"+string(how)), 1)
	p.Log.Event("run-ended", "task", r.name, "run", r.number, "worker", r.worker.id(), "how", how,
		"percent", r.percent, "after", p.Clock.Since(g.started), "reason", g.reason)
	if how == EndDone {
		p.takeDone(r)
	}
	if how == EndFailed {
		p.takeFailure(r)
	}
	if how != EndDone && how != EndFailed {
		p.breaker.RecordInconclusive(r.worker.id(), breakerKey(j))
	}
	if r.checkpoint != "" {
		p.keepCheckpoint(g, r)
	}
	t := j.task(r.task)
	if t.Phase == workload.PhasePlaced && t.Run == r.number {
		t.Phase = workload.PhaseWaiting
		p.touch(j)
	}
	p.removeRun(g, r)
	p.finish(j)
	p.replan = true
}

// removeRun takes a run out of its group and ends the others of a gang that cannot be done.
func (p *Planner) removeRun(g *group, r *run) {
	for i := range g.runs {
		if g.runs[i] == r {
			g.runs = append(g.runs[:i], g.runs[i+1:]...)
			break
		}
	}
	if len(g.runs) == 0 {
		delete(g.job.groups, g.key)
		return
	}
	if !g.done {
		p.breakGroup(g, "a member has ended")
	}
}

// takeDone records that a task has ended as done; in a gang that holds for all tasks.
func (p *Planner) takeDone(r *run) {
	g, j := r.group, r.group.job
	p.breaker.RecordSuccess(r.worker.id(), breakerKey(j))
	if g.done || g.step().LongRunning {
		return
	}
	g.done = true
	tasks := j.record.Progress.Tasks[r.task.Occurrence][r.task.Step]
	for i := range tasks {
		if g.key.index < 0 || i == r.task.Index {
			tasks[i].Phase, tasks[i].Checkpoint = workload.PhaseDone, ""
		}
	}
	p.touch(j)
}

// takeFailure counts a failure once for each group.
func (p *Planner) takeFailure(r *run) {
	g, j := r.group, r.group.job
	if j.blamed < maxBlamed || p.breaker.Quarantined(r.worker.id()) {
		j.blamed++
		p.breaker.RecordFailure(p.Clock.Now(), r.worker.id(), breakerKey(j))
	}
	if len(j.avoid) < maxAvoided {
		j.avoid[r.worker.id()] = true
	}
	if g.failed || g.done {
		return
	}
	g.failed = true
	tasks := j.record.Progress.Tasks[r.task.Occurrence][r.task.Step]
	failed := 0
	for i := range tasks {
		if g.key.index < 0 || i == r.task.Index {
			tasks[i].Failed++
			failed = tasks[i].Failed
		}
	}
	p.touch(j)
	if limit := j.record.Job.MaxAttempts; limit > 0 && failed >= limit && !g.step().LongRunning && !j.state().Ended() {
		j.record.Progress.Failed = true
		p.Log.Event("job-out-of-attempts", "job", j.id(), "task", r.name, "failed", failed, "limit", limit)
		p.finish(j)
		p.stopAll(j, "another task has failed too often")
	}
}

// maxAvoided bounds the workers that one job avoids, so that a job that always fails does not run out of workers.
const maxAvoided = 4

// keepCheckpoint stores the newest checkpoint; in a gang it holds for all tasks.
func (p *Planner) keepCheckpoint(g *group, r *run) {
	if !g.step().Checkpoints || g.done {
		return
	}
	tasks := g.job.record.Progress.Tasks[r.task.Occurrence][r.task.Step]
	for i := range tasks {
		if (g.key.index < 0 || i == r.task.Index) && tasks[i].Phase != workload.PhaseDone {
			tasks[i].Checkpoint = r.checkpoint
		}
	}
	p.touch(g.job)
}

func breakerKey(j *jobState) job.Key {
	return job.Key{Organisation: j.record.Job.Organisation, ID: j.id()}
}

// waste returns the core-seconds that ending the run now would lose.
func (p *Planner) waste(r *run, now time.Time) float64 {
	from := r.group.working
	if from.IsZero() {
		from = r.group.started
	}
	lost := now.Sub(from)
	if r.group.step().Checkpoints {
		// A stop saves the work; what is lost is the time that the stop and the restart take.
		lost = min(lost, p.Bounds.StopGrace)
	}
	return lost.Seconds() * r.need.Cores()
}
