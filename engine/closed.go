package engine

import (
	"slices"
	"time"

	"clementinepier/workload"
)

// Load pattern: jobs that fail wherever they run, some of them wide, beside sound jobs. A closed worker is one that is kept from new runs
// because runs failed or stalled there. The users' rules let no job have nothing at work for 3 s beside idle workers, so closing is a
// preference: a job that finds no other worker uses a closed one, the least suspect first.
const (
	// closedWorkerWait is how long a job has no run at work before it may use closed workers.
	closedWorkerWait = time.Second
	// retryOnWorkerWait is the same for a worker on which the job itself has failed, so that jobs that have not can test it first.
	retryOnWorkerWait = 2 * time.Second
	// suspectWorkers is the number of workers on which a job has to fail to be suspect itself.
	suspectWorkers = 2
	// provenFailures is the number of jobs, not suspect themselves, whose failures show that a worker is at fault.
	provenFailures = 2
	// startFailureTime is how soon after its start a run has to fail to count against its worker. A worker on which runs fail later does not
	// fail everything that it starts.
	startFailureTime = time.Second
	// maxFailedJobs bounds the jobs that are kept for each worker.
	maxFailedJobs = 8
	// minAttemptsLeft is how many attempts a job keeps at least to use a worker that is shown to be at fault.
	minAttemptsLeft = 2
)

// closedFleet has the closed workers of a service during a pass.
type closedFleet struct {
	// suspicion has how suspect each closed worker is; see workerState.suspicion.
	suspicion map[*workerState]int
	// mostlyIdle means that under half of the service's capacity is in use.
	mostlyIdle bool
}

// closed reports whether the worker is closed to new runs.
func (p *Planner) closed(w *workerState, now time.Time) bool {
	return now.Before(w.stalledUntil) || !p.breaker.Allowed(now, w.id(), true)
}

// closedWorkers returns the workers that are closed to all jobs or to some, by service.
func (p *Planner) closedWorkers(now time.Time, conf *Configuration) map[string]*closedFleet {
	fleets := map[string]*closedFleet{}
	for _, w := range p.workers {
		if !p.closed(w, now) && !now.Before(w.avoidedUntil) || !p.acceptsStarts(w, now, conf) {
			continue
		}
		service := w.registration.Service
		if fleets[service] == nil {
			fleets[service] = &closedFleet{suspicion: map[*workerState]int{}, mostlyIdle: p.mostlyIdle(service)}
		}
		fleets[service].suspicion[w] = w.suspicion()
	}
	return fleets
}

// mostlyIdle reports whether under half of the accelerators of a service's registered workers are in use, or of the processors if it has no
// accelerators.
func (p *Planner) mostlyIdle(service string) bool {
	capacity, inUse := workload.Resources{}, workload.Resources{}
	for _, w := range p.cachedFleet(service).workers {
		if !w.registered {
			continue
		}
		used, _ := w.used()
		capacity, inUse = capacity.Add(w.registration.Capacity), inUse.Add(used)
	}
	if capacity.Accelerators == 0 {
		return 2*inUse.MilliCPU < capacity.MilliCPU
	}
	return 2*inUse.Accelerators < capacity.Accelerators
}

// allowedFor returns, with how suspect they are, the closed workers that may be used by a job that has been without a run since the given time, or
// by a task that lasts and was not at work since then. Jobs use them only while most of the service is idle, since waiting is usual in a busy one
// and bad workers would take the attempts of many jobs. A worker that is shown to be at fault is used only by jobs that have not failed there
// and can spare the attempt. Tasks that last have no limit on attempts.
func (f *closedFleet) allowedFor(j *jobState, now, unplacedSince time.Time, lasts bool) map[string]int {
	idle := now.Sub(unplacedSince)
	if f == nil || idle < closedWorkerWait {
		return nil
	}
	expendable := !j.suspect() && j.attemptsLeft() >= minAttemptsLeft
	var allowed map[string]int
	for w, suspicion := range f.suspicion {
		failedHere := now.Before(j.avoid[w.id()])
		proven := suspicion >= provenFailures
		switch {
		case failedHere && idle < retryOnWorkerWait:
			continue
		case lasts:
		case !f.mostlyIdle:
			continue
		case proven && (failedHere || !expendable):
			continue
		}
		if allowed == nil {
			allowed = map[string]int{}
		}
		allowed[w.id()] = 2 * suspicion
		if failedHere {
			allowed[w.id()]++
		}
	}
	return allowed
}

// suspect reports whether the job's failures say little about the workers, because it has failed on several and was done on no more.
func (j *jobState) suspect() bool {
	return len(j.failedOn) >= suspectWorkers && len(j.failedOn) >= len(j.doneOn)
}

// attemptsLeft returns how often each task of the job may still be tried.
func (j *jobState) attemptsLeft() int {
	limit := j.record.Job.MaxAttempts
	if limit == 0 {
		return minAttemptsLeft
	}
	failed := 0
	for _, steps := range j.record.Progress.Tasks {
		for _, tasks := range steps {
			for i := range tasks {
				failed = max(failed, tasks[i].Failed)
			}
		}
	}
	return limit - failed
}

// suspicion returns how many jobs, not suspect themselves, have failed on the worker since a run was last done there.
func (w *workerState) suspicion() int {
	n := 0
	for _, j := range w.failedJobs {
		if !j.suspect() {
			n++
		}
	}
	return n
}

// blameFailure records what a failed run shows of its worker. A suspect job whose run fails midway does not prolong a quarantine.
func (p *Planner) blameFailure(r *run) {
	j, w := r.group.job, r.worker
	j.failedOn[w.id()] = true
	atWork := time.Duration(0)
	if !r.confirmedAt.IsZero() {
		atWork = p.Clock.Since(r.confirmedAt)
	}
	if atWork < startFailureTime && !slices.Contains(w.failedJobs, j) {
		w.failedJobs = append(w.failedJobs, j)
		w.failedJobs = w.failedJobs[max(0, len(w.failedJobs)-maxFailedJobs):]
	}
	quarantined := p.breaker.Quarantined(w.id())
	blamed := quarantined && (atWork < startFailureTime || !j.suspect()) || !quarantined && j.blamedFailures < maxBlamedFailures
	p.Log.Event("failure-judged", "task", r.name, "run", r.number, "worker", w.id(), "blamed", blamed, "at-work", atWork, "quarantined", quarantined, "suspicion", w.suspicion(),
		"job-failed-on", len(j.failedOn), "job-done-on", len(j.doneOn))
	if !blamed {
		p.breaker.RecordInconclusive(w.id(), breakerKey(j))
		return
	}
	j.blamedFailures++
	p.breaker.RecordFailure(p.Clock.Now(), w.id(), breakerKey(j))
}

// recordDoneOnWorker records that the worker does not fail everything.
func (r *run) recordDoneOnWorker() {
	r.worker.failedJobs = nil
	r.group.job.doneOn[r.worker.id()] = true
}

// updateUnplacedSince records whether the job has a run that is at work or is being started. One whose worker no longer answers may have been lost
// right after the last answer.
func (j *jobState) updateUnplacedSince(now time.Time) {
	var lastAnswer time.Time
	for _, g := range j.groups {
		for _, r := range g.runs {
			if r.stopRequested || r.phase == runDoubtful {
				continue
			}
			if r.worker.failingSince.IsZero() {
				j.unplacedSince = time.Time{}
				return
			}
			lastAnswer = latest(lastAnswer, r.worker.lastAnswer)
		}
	}
	switch {
	case !j.unplacedSince.IsZero():
	case lastAnswer.IsZero():
		j.unplacedSince = now
	default:
		j.unplacedSince = lastAnswer
	}
}

// unplacedStepSince returns since when the step could have started while the job had no run that is at work or being started; zero while it
// has one.
func (j *jobState) unplacedStepSince(occurrence, step int) time.Time {
	if j.unplacedSince.IsZero() {
		return time.Time{}
	}
	return latest(j.readySince[occurrence][step], j.unplacedSince)
}

// latest returns the later of two times.
func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
