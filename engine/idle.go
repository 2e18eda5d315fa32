package engine

import (
	"slices"
	"time"

	"clementinepier/metrics"
	"clementinepier/policy"
)

const (
	// idleReportAfter is how long a job may have no run at work before the reason is logged, and the time between two lines on it. The
	// users' rules let no job wait for longer than 3 s beside idle workers.
	idleReportAfter = 1500 * time.Millisecond
	// idleCheckInterval is the time between two searches for idle jobs.
	idleCheckInterval = 500 * time.Millisecond
	// maxIdleReports bounds the lines of one search, each of which takes a look at every worker of a service.
	maxIdleReports = 20
)

// idleWorkers counts the workers of a service by the first reason for which a unit is not placed there.
type idleWorkers struct {
	// unavailable workers accept no starts at all, such as those that cannot be reached, drain or restart.
	unavailable int
	// closed workers are in quarantine, or tested by another job; see closedWorkerWait.
	closed int
	// avoided workers have failed or stalled a run of the job.
	avoided int
	// unsuitable workers do not have the label or the capacity, or have as many of the step's tasks as one worker may have.
	unsuitable int
	// full workers have too little free capacity.
	full int
	// free workers could run a task of the unit, which waits for others, for a rack or behind a reservation.
	free int
}

// reportIdleJobs logs why the jobs wait that have had no run at work for a while, although a task of theirs is ready or placed.
func (p *Planner) reportIdleJobs(now time.Time) {
	if now.Sub(p.idleCheckedAt) < idleCheckInterval {
		return
	}
	p.idleCheckedAt = now
	conf := p.Configuration()
	idle, reports := 0, 0
	for _, j := range p.active {
		units := p.readyUnitsOf(nil, now, j, false, nil)
		if j.atWork() || len(units) == 0 && len(j.groups) == 0 {
			j.idleSince = time.Time{}
			continue
		}
		if j.idleSince.IsZero() {
			j.idleSince, j.idleReportedAt = now, now
		}
		if now.Sub(j.idleSince) < idleReportAfter {
			continue
		}
		idle++
		if now.Sub(j.idleReportedAt) < idleReportAfter || reports == maxIdleReports {
			continue
		}
		j.idleReportedAt = now
		reports++
		p.reportIdleJob(now, j, units, conf)
	}
	p.Metrics.SetGauge(metrics.JobsIdle, int64(idle))
}

// reportIdleJob logs the runs of a job, none of which is at work, its ready units, and why the first of them is not placed.
func (p *Planner) reportIdleJob(now time.Time, j *jobState, units []*policy.Unit, conf *Configuration) {
	var unsent, unconfirmed, doubtful, stopping, unreachable int
	var leasesEnd time.Time
	for _, g := range j.groups {
		for _, r := range g.runs {
			switch {
			case r.stopRequested:
				stopping++
			case r.phase == runRecorded:
				unsent++
			case r.phase == runDoubtful:
				doubtful++
			case r.phase == runRunning:
				// The job has no run at work, so the worker does not answer.
				unreachable++
			default:
				unconfirmed++
			}
			if end, _ := p.runEndsBy(r); r.phase != runRecorded && end.After(leasesEnd) {
				leasesEnd = end
			}
		}
	}
	var workers idleWorkers
	ready := len(units)
	if ready > 0 {
		workers = p.idleWorkersFor(now, units[0], conf)
	}
	withheld := ready - len(p.withoutPossibleRuns(now, units))
	var leasesLeft time.Duration
	if !leasesEnd.IsZero() {
		leasesLeft = leasesEnd.Sub(now)
	}
	p.Log.Event("job-idle", "job", j.id(), "service", j.record.Job.Service, "since", now.Sub(j.idleSince), "unsent", unsent,
		"unconfirmed", unconfirmed, "doubtful", doubtful, "stopping", stopping, "unreachable", unreachable, "leases-left", leasesLeft, "ready", ready, "withheld", withheld,
		"over-limit", p.heldByLimit[j.id()],
		"unavailable", workers.unavailable, "closed", workers.closed, "avoided", workers.avoided, "unsuitable", workers.unsuitable,
		"full", workers.full, "free", workers.free, "registrations-age", now.Sub(p.registrationsKnownAt))
}

// idleWorkersFor counts the workers of the unit's service by the reason for which it is not placed there.
func (p *Planner) idleWorkersFor(now time.Time, u *policy.Unit, conf *Configuration) idleWorkers {
	var c idleWorkers
	step := &u.Job.Steps[u.Step]
	for _, w := range p.cachedFleet(u.Job.Service).workers {
		used, _ := w.used()
		switch capacity := w.registration.Capacity; {
		case !p.acceptsStarts(w, now, conf):
			c.unavailable++
		case p.closed(w, now):
			c.closed++
		case u.Avoid[w.id()]:
			c.avoided++
		case step.Label != "" && !slices.Contains(w.registration.Labels, step.Label), !step.Need.Fits(capacity),
			step.MaxTasksPerWorker > 0 && u.TasksByWorker[w.id()] >= step.MaxTasksPerWorker:
			c.unsuitable++
		case !step.Need.Fits(capacity.Sub(used)):
			c.full++
		default:
			c.free++
		}
	}
	return c
}

// atWork reports whether a worker has confirmed a run of the job that is not being stopped.
func (j *jobState) atWork() bool {
	for _, g := range j.groups {
		for _, r := range g.runs {
			if r.phase == runRunning && !r.stopRequested && r.worker.failingSince.IsZero() {
				return true
			}
		}
	}
	return false
}
