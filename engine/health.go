package engine

import (
	"math"
	"time"

	"clementinepier/workload"
)

const (
	// failuresToQuarantine is how many jobs in a row have to fail on a worker before it is quarantined. It is low because a
	// job has two or three attempts, and a gang loses one for each of its workers that fails everything it starts.
	failuresToQuarantine = 1
	// firstQuarantine is the length of a worker's first quarantine; each failed probe doubles it.
	firstQuarantine = 3 * time.Second
	// conclusiveRunTime is how long a run that tests a worker may keep it closed to other work while it is at work. The users' rules let
	// no job wait for longer beside idle workers.
	conclusiveRunTime = 3 * time.Second
	// maxBlamedFailures is how many workers one job may send into quarantine, so that a job that fails everywhere takes few
	// workers out of service.
	maxBlamedFailures = 2
	// maxAvoidedWorkers bounds the workers that one job avoids, so that a job that always fails does not run out of workers.
	maxAvoidedWorkers = 4
	// avoidTime is how long a worker on which a job stalled or failed is closed to that job.
	avoidTime = 30 * time.Second
	// drainMargin is how much longer than announced a draining worker is expected to keep running.
	drainMargin = time.Second
	// gangTimeoutMargin is added to the time after which gang members that wait for others end by themselves.
	gangTimeoutMargin = time.Second
)

// concludeProbes opens the workers that have been tested for long enough. Load pattern: tasks that last or take long, in a service in
// which most workers have failed one.
func (p *Planner) concludeProbes(now time.Time) {
	for _, w := range p.workers {
		if !p.breaker.Quarantined(w.id()) || !w.failingSince.IsZero() {
			continue
		}
		for _, r := range w.runs {
			if r.phase != runRunning || r.stopRequested || r.concluded || now.Sub(r.confirmedAt) < conclusiveRunTime {
				continue
			}
			key := breakerKey(r.group.job)
			if start, ok := p.breaker.ProbeStart(w.id(), key); !ok || r.group.startedAt.Before(start) {
				continue
			}
			r.concluded = true
			p.Log.Event("worker-tested", "worker", w.id(), "task", r.name, "run", r.number, "at-work", now.Sub(r.confirmedAt), "lasts", r.group.step().LongRunning)
			if r.group.step().LongRunning {
				// A task that lasts is never done, so being at work is its success.
				p.breaker.RecordSuccess(w.id(), key)
				r.recordDoneOnWorker()
			} else {
				p.breaker.RecordLongProbe(w.id(), key)
			}
			p.planNeeded = true
		}
	}
}

// avoidWorker keeps the job's next runs away from a worker for a while.
func (j *jobState) avoidWorker(now time.Time, w *workerState) {
	if _, known := j.avoid[w.id()]; known || len(j.avoid) < maxAvoidedWorkers {
		j.avoid[w.id()], w.avoidedUntil = now.Add(avoidTime), now.Add(avoidTime)
	}
}

// preferOthers makes the job's next runs use the worker after all others for a while.
func (j *jobState) preferOthers(now time.Time, w *workerState) {
	j.unresponsive[w.id()] = now.Add(avoidTime)
}

// currentIDs returns the IDs whose time has not passed, and deletes the others.
func currentIDs(now time.Time, until map[string]time.Time) map[string]bool {
	var ids map[string]bool
	for id, end := range until {
		if !now.Before(end) {
			delete(until, id)
			continue
		}
		if ids == nil {
			ids = map[string]bool{}
		}
		ids[id] = true
	}
	return ids
}

func (g *group) allRunning() bool {
	for _, r := range g.runs {
		if r.phase != runRunning {
			return false
		}
	}
	return true
}

// moveOffDrainingWorkers stops the groups that cannot complete before a worker of theirs leaves, so that they restart on
// others. It leaves groups that do not fit elsewhere.
func (p *Planner) moveOffDrainingWorkers(now time.Time) {
	for _, w := range p.workers {
		if !w.draining || !w.registered {
			continue
		}
		left := w.drainEnd.Sub(now) + drainMargin
		for _, r := range w.runs {
			g := r.group
			if g.stopping || g.done || r.phase != runRunning {
				continue
			}
			if need, known := r.remainingTime(now); known && need > left && p.fitsElsewhere(g) {
				p.stopGroup(g, "its worker is draining")
			}
		}
	}
}

// remainingTime estimates the time that the run still needs from its progress. It reports false if there is no estimate yet. A task that
// lasts never completes.
func (r *run) remainingTime(now time.Time) (time.Duration, bool) {
	if r.group.step().LongRunning {
		return math.MaxInt64, true
	}
	if r.group.runningSince.IsZero() {
		return 0, false
	}
	ran := now.Sub(r.group.runningSince)
	if r.percent <= 0 {
		return r.group.step().Estimate, ran > r.group.step().Estimate/10
	}
	return ran * time.Duration(100-r.percent) / time.Duration(r.percent), true
}

// fitsElsewhere reports whether the usable workers have enough free capacity in total for the group's tasks.
func (p *Planner) fitsElsewhere(g *group) bool {
	need := workload.Resources{}
	for _, r := range g.runs {
		need = need.Add(r.need)
	}
	conf := p.Configuration()
	now := p.Clock.Now()
	free := workload.Resources{}
	for _, w := range p.workers {
		if w.registration.Service != g.job.record.Job.Service || !p.usable(w, now, conf) {
			continue
		}
		used, _ := w.used()
		free = free.Add(w.registration.Capacity.Sub(used))
	}
	return need.Fits(free)
}
