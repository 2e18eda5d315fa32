package site

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"clementinepier/engine"
	"clementinepier/workload"
)

// checkpointInterval is the work between two checkpoints of a run.
const checkpointInterval = time.Second

// JobProfile is what the tasks of a job do. Its Job is judged as the job that a caller submitted; without a payload, that is the job's ID.
type JobProfile struct {
	Job workload.Job
	// Work has the duration of a task by step.
	Work []time.Duration
	// Failures is how many runs of each task or gang fail at the end of their work.
	Failures int
	// MidwayFailures has how runs of a task, or of a gang by the name of its step (ID.K.STEP), fail before the end of their work.
	MidwayFailures map[string]MidwayFailures
}

// MidwayFailures says how runs of a task or a gang fail before the end of their work.
type MidwayFailures struct {
	// Percents has the share of the work after which each run fails, in turn; later runs do not fail. A run that resumes from a
	// checkpoint fails after that share of the rest.
	Percents []int
	// Always makes the runs after those of Percents fail as well, in the same order of shares.
	Always bool
}

// MustFail reports whether a task or a gang fails as often as the job allows, unless another one does so before.
func (p *JobProfile) MustFail() bool {
	limit := p.Job.MaxAttempts
	if limit == 0 {
		return false
	}
	for _, m := range p.MidwayFailures {
		if m.Always || len(m.Percents) >= limit {
			return true
		}
	}
	return p.Failures >= limit
}

// percent returns the share of the work after which a run fails if the given number of runs have failed before, false if it does not.
func (m *MidwayFailures) percent(failed int) (int, bool) {
	switch {
	case failed < len(m.Percents):
		return m.Percents[failed], true
	case m.Always && len(m.Percents) > 0:
		return m.Percents[failed%len(m.Percents)], true
	default:
		return 0, false
	}
}

// taskProfile is what a task does.
type taskProfile struct {
	profile JobProfile
	step    workload.Step
	work    time.Duration
	// unit is what an end of the task as done completes: the task, or all tasks of its gang.
	unit string
}

// taskOf returns what a task does; the profile is empty for an unknown job. The caller holds s.mu.
func (s *Site) taskOf(task string) *taskProfile {
	if known, ok := s.tasks[task]; ok {
		return known
	}
	t := &taskProfile{unit: task}
	if p, ok := s.profiles[jobOf(task)]; ok {
		step := 0
		if id, err := workload.ParseTaskID(task); err == nil {
			step = min(id.Step, len(p.Job.Steps)-1)
		}
		t.profile, t.step, t.work = p, p.Job.Steps[step], p.Work[step]
	}
	if t.step.Gang {
		t.unit = task[:strings.LastIndexByte(task, '.')]
	}
	s.tasks[task] = t
	return t
}

// unitOf returns what an end of the task as done completes: the task, or all tasks of its gang.
func (s *Site) unitOf(task string) string { return s.taskOf(task).unit }

// stepOf returns the step of a task, a zero step for an unknown job.
func (s *Site) stepOf(task string) *workload.Step { return &s.taskOf(task).step }

// lasts reports whether a task runs until its job is cancelled.
func (s *Site) lasts(task string) bool { return s.LongRunning || s.stepOf(task).LongRunning }

// failsByItself reports whether the run of a task that has done its work ends as failed.
func (s *Site) failsByItself(task string) bool {
	t := s.taskOf(task)
	return len(s.failures[t.unit]) < t.profile.Failures
}

// setMidwayFailure sets whether and when a run that starts fails midway.
func (s *Site) setMidwayFailure(task string, r *run) {
	t := s.taskOf(task)
	m := t.profile.MidwayFailures[t.unit]
	if percent, fails := m.percent(len(s.failures[t.unit])); fails {
		r.failsMidway, r.failsAfter = true, max(0, r.work-r.restored)*time.Duration(percent)/100
	}
}

// saved returns the newest checkpoint of a run, empty if it has none. The end of a run by a stop writes one.
func (s *Site) saved(task string, r *run, at time.Time, reason engine.EndReason) string {
	if !s.stepOf(task).Checkpoints {
		return ""
	}
	if r.workingSince.IsZero() || reason == engine.EndDone {
		return r.checkpoint
	}
	progress := min(r.work, r.restored+time.Duration(float64(at.Sub(r.workingSince))*r.pace))
	if reason != engine.EndStopped {
		progress = progress.Truncate(checkpointInterval)
	}
	if progress <= r.restored {
		return r.checkpoint
	}
	unit := s.unitOf(task)
	checkpoint := fmt.Sprintf("%s/%d/%d", unit, r.number, progress.Milliseconds())
	if s.checkpoints[unit] == nil {
		s.checkpoints[unit] = map[string]time.Duration{}
	}
	s.checkpoints[unit][checkpoint] = progress
	return checkpoint
}

// recordEnd records the end of a run for the oracle.
func (s *Site) recordEnd(task string, r *run, reason engine.EndReason, at time.Time) {
	unit := s.unitOf(task)
	if at.After(s.lastEnds[unit]) {
		s.lastEnds[unit] = at
	}
	switch reason {
	case engine.EndLapsed, engine.EndIsolated:
		s.lostAt[jobOf(task)] = at
	case engine.EndDone:
		s.everDone[unit] = true
	case engine.EndFailed:
		record(s.failures, unit, r.number, at)
	}
}

// record adds the end of a run of a unit.
func record(ends map[string]map[int]time.Time, unit string, run int, at time.Time) {
	if ends[unit] == nil {
		ends[unit] = map[int]time.Time{}
	}
	ends[unit][run] = at
}

// RecordCancelled records that a caller was told that a job is cancelled.
func (s *Site) RecordCancelled(job string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.cancelled[job].IsZero() {
		s.cancelled[job] = time.Now()
	}
}

// OutOfAttempts reports whether a task or a gang of the job has failed as often as the job allows.
func (s *Site) OutOfAttempts(job string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.outOfAttempts(job)
}

func (s *Site) outOfAttempts(job string) bool {
	limit := s.profiles[job].Job.MaxAttempts
	for unit, failed := range s.failures {
		if jobOf(unit) == job && limit > 0 && len(failed) >= limit {
			return true
		}
	}
	return false
}

// checkAttempts records a fault if a task was started at a time after its last attempt had failed.
func (s *Site) checkAttempts(task string, started time.Time) {
	unit := s.unitOf(task)
	limit := s.profiles[jobOf(task)].Job.MaxAttempts
	if limit == 0 || len(s.notedFailures[unit]) < limit || s.lasts(task) {
		return
	}
	var ends []time.Time
	for _, at := range s.notedFailures[unit] {
		ends = append(ends, at)
	}
	slices.SortFunc(ends, time.Time.Compare)
	if started.After(ends[limit-1]) {
		s.faults = append(s.faults, fmt.Sprintf("BUDGET: %s starts after %d failed runs that were taken note of", task, limit))
	}
}

// checkTask records a fault for each rule on the order of tasks, their attempts, workers and checkpoints that a start violates.
func (s *Site) checkTask(w *Worker, o engine.StartOrder, received time.Time) {
	t := s.taskOf(o.Task)
	p, step, unit := t.profile, t.step, t.unit
	if p.Job.ID == "" {
		return
	}
	fault := func(format string, args ...any) {
		s.faults = append(s.faults, fmt.Sprintf(format, args...))
	}
	s.checkAttempts(o.Task, time.Now())
	if cancelled := s.cancelled[p.Job.ID]; !cancelled.IsZero() && received.After(cancelled.Add(s.CancelBound)) {
		fault("UNASKED: %s starts after its job was shown as cancelled", o.Task)
	}
	if o.Payload != cmp.Or(p.Job.Payload, p.Job.ID) {
		fault("UNASKED: %s starts with the payload %q", o.Task, o.Payload)
	}
	if _, ok := s.checkpoints[unit][o.Checkpoint]; o.Checkpoint != "" && !ok {
		fault("UNASKED: %s starts with the checkpoint %q of another task", o.Task, o.Checkpoint)
	}
	if step.Gang {
		for task, m := range s.members(gangRun{unit: unit, number: o.Run}) {
			if m.run.checkpoint != o.Checkpoint {
				fault("UNASKED: %s starts with the checkpoint %q, and %s of its gang has %q", o.Task, o.Checkpoint, task, m.run.checkpoint)
			}
		}
	}
	if id, err := workload.ParseTaskID(o.Task); err == nil {
		s.checkOrder(p.Job, step, id, fault)
		s.checkWorker(w, step, id, fault)
	}
}

// checkOrder records a fault if a task starts before its time or before the steps that it waits for are done.
func (s *Site) checkOrder(job workload.Job, step workload.Step, id workload.TaskID, fault func(format string, args ...any)) {
	if due := job.OccurrenceStart(id.Occurrence); time.Now().Before(due) {
		fault("ORDER: %s starts %s before its time", id, time.Until(due))
	}
	for _, earlier := range step.After {
		for i := range job.Steps[earlier].Tasks {
			before := workload.TaskID{Job: id.Job, Occurrence: id.Occurrence, Step: earlier, Index: i}.String()
			if !s.everDone[s.unitOf(before)] {
				fault("ORDER: %s starts before %s is done", id, before)
			}
		}
	}
}

// checkWorker records a fault if a task starts on a worker without its label or beside too many tasks of its step.
func (s *Site) checkWorker(w *Worker, step workload.Step, id workload.TaskID, fault func(format string, args ...any)) {
	if step.Label != "" && !slices.Contains(w.Registration.Labels, step.Label) {
		fault("ROUTE: %s starts on %s without the label %q", id, w.Registration.ID, step.Label)
	}
	if step.MaxTasksPerWorker == 0 {
		return
	}
	beside := tasksOfStep(w, id)
	if beside >= step.MaxTasksPerWorker {
		fault("ROUTE: %s starts on %s beside %d tasks of its step", id, w.Registration.ID, beside)
	}
}

// tasksOfStep returns how many other tasks of a task's step the worker runs.
func tasksOfStep(w *Worker, id workload.TaskID) int {
	n := 0
	for task := range w.runs {
		other, err := workload.ParseTaskID(task)
		if err == nil && other != id && other.Job == id.Job && other.Occurrence == id.Occurrence && other.Step == id.Step {
			n++
		}
	}
	return n
}
