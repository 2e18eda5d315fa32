package site

import (
	"fmt"
	"slices"
	"time"

	"clementinepier/engine"
	"clementinepier/workload"
)

const (
	// maxIdleWait is how long a job may have nothing running while one of its tasks could run, and calmBefore how long the site has to have
	// been calm before that; from the users' rule LOST.
	maxIdleWait, calmBefore = 3 * time.Second, 4 * time.Second
	// lastingPause is how long after its last run a task that lasts may be away besides.
	lastingPause = 6 * time.Second
	// maxUsedShare is the share of the capacity in use from which tasks may wait.
	maxUsedShare = 0.5
	// roomFactor is how often a task has to fit.
	roomFactor = 2
	// lostRunSpan is how long planners may wait for a run that was lost: twice the time in which an order may be carried out late and a lease that it renews.
	lostRunSpan = 46 * time.Second
)

// RecordAccepted records that a caller was told that a job is accepted.
func (s *Site) RecordAccepted(job string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.accepted[job] = true
}

// RecordGivenUp records that a caller no longer needs the job, because it is about to cancel it.
func (s *Site) RecordGivenUp(job string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.accepted, job)
}

// RecordDisruption records that a fault begins or ends.
func (s *Site) RecordDisruption() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.disruptedAt = time.Now()
}

// recordLost records that a run of a task, or an order to start one, was lost.
func (s *Site) recordLost(task string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lostAt[jobOf(task)] = time.Now()
}

// lostRecently reports whether a run of the job was lost in the last lostRunSpan.
func (s *Site) lostRecently(job string, now time.Time) bool {
	at, lost := s.lostAt[job]
	return lost && now.Sub(at) < lostRunSpan
}

// RecordPlannerChange records that the planner changes, which is a disruption. Orders that the earlier one had still to send are lost, so those
// to start tasks of jobs that have nothing running may be.
func (s *Site) RecordPlannerChange() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.applyElapsedTime()
	s.disruptedAt = time.Now()
	for job := range s.profiles {
		if !s.hasRun(func(task string) bool { return jobOf(task) == job }) {
			s.lostAt[job] = time.Now()
		}
	}
}

// CheckWaiting records a fault for each accepted job that has had nothing running for maxIdleWait although one of its tasks could run,
// while the site was calm. Each task that lasts is judged by itself. Call it a few times per second.
func (s *Site) CheckWaiting() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.applyElapsedTime()
	now := time.Now()
	if s.disrupted() {
		s.disruptedAt = now
	}
	free, busy := s.freeWorkers()
	waiting := map[string]time.Time{}
	for job := range s.accepted {
		if busy || s.outOfAttempts(job) || s.mayWaitForLimit(job) || !s.JudgeLostRuns && s.lostRecently(job, now) {
			continue
		}
		for name, task := range s.couldRun(job, free, now) {
			since, known := s.waitingSince[name]
			if !known {
				since = now
			}
			waiting[name] = since
			calmSince := s.disruptedAt.Add(calmBefore)
			if now.Sub(since) >= maxIdleWait && now.Sub(calmSince) >= maxIdleWait && !s.waitReported[name] {
				s.waitReported[name] = true
				s.faults = append(s.faults, fmt.Sprintf("LOST: %s has nothing running at %s for %s while %s could run",
					name, now.Format("04:05.000"), now.Sub(since), task))
			}
		}
	}
	s.waitingSince = waiting
}

// disrupted reports whether a fault of a worker or of the store lasts. That a worker is gone for good is none.
func (s *Site) disrupted() bool {
	for _, w := range s.workers {
		if !w.Replaced && (w.Dead && !s.JudgeLostRuns || !w.Dead && w.disrupted()) {
			return true
		}
	}
	s.Store.mu.Lock()
	defer s.Store.mu.Unlock()
	return s.Store.silent || s.Store.refusing || s.Store.loseWrites || s.Store.loseEvery > 0
}

// disrupted reports whether a fault of the worker lasts, also one that it answers calls with.
func (w *Worker) disrupted() bool {
	return !w.inTouch() || w.Fails || w.Stalled || w.Isolated || len(w.AnswerDelays) > 0
}

// freeWorker is a worker that may get runs, with its free capacity.
type freeWorker struct {
	*Worker
	free workload.Resources
}

// freeWorkers returns the workers that may get runs, and whether maxUsedShare of their capacity is in use.
func (s *Site) freeWorkers() (workers []freeWorker, busy bool) {
	var used, capacity workload.Resources
	for _, w := range s.workers {
		if w.disrupted() || s.Store.Revision(s.Prefix+w.Registration.ID) == 0 ||
			s.Evacuated != nil && s.Evacuated(w.Registration.FailureDomain) {
			continue
		}
		here := w.used()
		used, capacity = used.Add(here), capacity.Add(w.Registration.Capacity)
		workers = append(workers, freeWorker{Worker: w, free: w.Registration.Capacity.Sub(here)})
	}
	busy = float64(used.MilliCPU) >= maxUsedShare*float64(capacity.MilliCPU) || float64(used.MemoryMB) >= maxUsedShare*float64(capacity.MemoryMB) ||
		float64(used.Accelerators) >= maxUsedShare*float64(capacity.Accelerators)
	return workers, busy
}

// couldRun returns a task of the job that could run, by the name of the job; none if the job has something running. Tasks that last are
// returned by their own names.
func (s *Site) couldRun(job string, workers []freeWorker, now time.Time) map[string]string {
	found := map[string]string{}
	p := s.profiles[job].Job
	running := s.hasRun(func(task string) bool { return jobOf(task) == job })
	for k := range p.Occurrences() {
		if now.Before(p.OccurrenceStart(k)) {
			break
		}
		for i, step := range p.Steps {
			if running && !step.LongRunning || !s.turnHasCome(p, k, step) {
				continue
			}
			id := workload.TaskID{Job: job, Occurrence: k, Step: i, Index: -1}
			waiting := s.waitingTasks(id, step, now)
			if len(waiting) == 0 || !s.hasRoom(id, step, workers) {
				continue
			}
			for _, task := range waiting {
				if step.LongRunning {
					found[task] = task
				} else {
					found[job] = task
				}
			}
		}
	}
	return found
}

// turnHasCome reports whether planners have taken note that the steps that a step waits for are done.
func (s *Site) turnHasCome(job workload.Job, occurrence int, step workload.Step) bool {
	for _, earlier := range step.After {
		for i := range job.Steps[earlier].Tasks {
			if !s.notedDone[s.unitOf(workload.TaskID{Job: job.ID, Occurrence: occurrence, Step: earlier, Index: i}.String())] {
				return false
			}
		}
	}
	return true
}

// waitingTasks returns the tasks of a step, or the first task of its gang, that are neither running nor done.
func (s *Site) waitingTasks(id workload.TaskID, step workload.Step, now time.Time) []string {
	var waiting []string
	for i := range numberOfUnits(&step) {
		id.Index = i
		task := id.String()
		unit := s.unitOf(task)
		switch {
		case s.hasRun(func(running string) bool { return s.unitOf(running) == unit }):
		case step.LongRunning && now.Sub(s.lastEnds[unit]) >= lastingPause:
			waiting = append(waiting, task)
		case !step.LongRunning && !s.maybeNoted(unit):
			waiting = append(waiting, task)
		}
	}
	return waiting
}

// hasRun reports whether a worker has a run of a task that the function accepts.
func (s *Site) hasRun(accepts func(task string) bool) bool {
	for _, w := range s.workers {
		for task := range w.runs {
			if accepts(task) {
				return true
			}
		}
	}
	return false
}

// maybeNoted reports whether an end of a unit as done was listed to a planner, or will be.
func (s *Site) maybeNoted(unit string) bool {
	if s.listedDone[unit] {
		return true
	}
	for _, w := range s.workers {
		for _, e := range w.ends {
			if e.Reason == engine.EndDone && s.unitOf(e.Task) == unit && !w.Dead && !w.Replaced {
				return true
			}
		}
	}
	return false
}

// hasRoom reports whether a task of the step, or its gang, fits roomFactor times. A gang that needs one rack has to fit into racks as often.
func (s *Site) hasRoom(id workload.TaskID, step workload.Step, workers []freeWorker) bool {
	size := 1
	if step.Gang {
		size = step.Tasks
	}
	slots := map[string]int{}
	service := s.profiles[id.Job].Job.Service
	for _, w := range workers {
		if service != "" && w.Registration.Service != service || step.Label != "" && !slices.Contains(w.Registration.Labels, step.Label) {
			continue
		}
		rack := ""
		if step.SameRack {
			rack = w.Registration.Rack
		}
		slots[rack] += s.slots(w, id, step, roomFactor*size)
	}
	room := 0
	for _, n := range slots {
		room += n / size
	}
	return room >= roomFactor
}

// slots returns how many more tasks of the step a worker could take, up to a limit.
func (s *Site) slots(w freeWorker, id workload.TaskID, step workload.Step, limit int) int {
	if step.MaxTasksPerWorker > 0 {
		limit = min(limit, max(0, step.MaxTasksPerWorker-tasksOfStep(w.Worker, id)))
	}
	n := 0
	for need := step.Need; n < limit && need.Fits(w.free); need = need.Add(step.Need) {
		n++
	}
	return n
}
