package engine

import (
	"context"
	"slices"
	"time"

	"clementinepier/policy"
)

// setOrphans records the orphan runs of a worker; see workerState.orphans.
func (p *Planner) setOrphans(w *workerState, orphans map[string]time.Time) {
	for task := range w.orphans {
		p.orphanTasks[task]--
		if p.orphanTasks[task] == 0 {
			delete(p.orphanTasks, task)
			p.planNeeded = true
		}
	}
	w.orphans = orphans
	for task := range orphans {
		p.orphanTasks[task]++
	}
}

// withoutPossibleRuns removes the units of which a worker lists a run that the planner did not request, or may have started one that is
// not known yet. Starting them would be a second run. Load pattern: workers that restart within seconds of a start that got no response,
// and cannot be reached at once.
func (p *Planner) withoutPossibleRuns(now time.Time, units []*policy.Unit) []*policy.Unit {
	late := p.lateGroups(now)
	if len(late) == 0 && len(p.orphanTasks) == 0 {
		return units
	}
	return slices.DeleteFunc(units, func(u *policy.Unit) bool {
		key := groupKey{occurrence: u.Occurrence, step: u.Step, index: u.Tasks[0]}
		if u.Job.Steps[u.Step].Gang {
			key.index = -1
		}
		return late[groupName(u.Job.ID, key)] || slices.ContainsFunc(u.Tasks, func(i int) bool {
			return p.orphanTasks[groupName(u.Job.ID, groupKey{occurrence: u.Occurrence, step: u.Step, index: i})] > 0
		})
	})
}

// lateGroups returns the groups of which a worker may have started a run, from an order without a response, since it has restarted: it
// has not answered a poll with its present fencing token.
func (p *Planner) lateGroups(now time.Time) map[string]bool {
	var groups map[string]bool
	for _, w := range p.workers {
		for name, s := range w.lateStarts {
			if !w.restartSuspected(s) || !p.mayHaveLateRun(now, w, s) {
				continue
			}
			if groups == nil {
				groups = map[string]bool{}
			}
			groups[name] = true
		}
	}
	return groups
}

// mayHaveLateRun reports whether a worker that seems to have restarted may have a run from a late start. Polls that renew leases were sent
// before the sign of the restart, and may be executed late as well.
func (p *Planner) mayHaveLateRun(now time.Time, w *workerState, s lateStart) bool {
	suspected := w.restartSuspectedAt
	if suspected.IsZero() {
		suspected = now
	}
	return suspected.Sub(s.sent) < p.lateRunBound() && now.Sub(suspected) < p.lateRunBound()
}

// restartAnswerTime is how long a worker that seems to have restarted may take to answer before runs elsewhere are stopped because of its
// late starts. A worker that can be reached answers within a few milliseconds.
const restartAnswerTime = 200 * time.Millisecond

// withdrawLaterRuns stops the runs elsewhere of a group that a worker may start late, because it seems to have restarted and cannot be
// told to refuse the order. lateGroups keeps the group from being placed again. Load pattern: a worker leaves a start unanswered, is cut
// off and restarts behind the cut, which only its registration reports.
func (p *Planner) withdrawLaterRuns(now time.Time) {
	for _, w := range p.workers {
		for _, s := range w.lateStarts {
			if now.Sub(s.sent) >= maxOrderDelay || !w.restartSuspected(s) {
				continue
			}
			if w.restartSuspectedAt.IsZero() {
				w.restartSuspectedAt = now
			}
			if now.Sub(w.restartSuspectedAt) < restartAnswerTime || now.Sub(w.lastAnswer) < restartAnswerTime {
				continue
			}
			if g := p.laterGroup(w, s); g != nil {
				p.Log.Event("later-run-withdrawn", "group", g.name(), "run", g.runs[0].number, "late-run", s.run, "worker", w.id(), "sent", s.sent)
				p.stopGroup(g, "a restarted worker may start an earlier run")
			}
		}
	}
}

// laterGroup returns the group whose runs have to stop while the worker may carry out the late start, or nil. A run on the same worker
// is resolved with the worker.
func (p *Planner) laterGroup(w *workerState, s lateStart) *group {
	j, ok := p.jobs[s.job]
	if !ok {
		return nil
	}
	g, ok := j.groups[s.key]
	elsewhere := func(r *run) bool { return r.worker != w && r.number > s.run }
	if !ok || g.stopping || g.done || !slices.ContainsFunc(g.runs, elsewhere) || g.step().LongRunning && !g.step().Gang && j.taskAway(s.key) {
		return nil
	}
	return g
}

// taskAway reports whether another task of the group's step is not at work. Its users bear the loss of few tasks at a time.
func (j *jobState) taskAway(key groupKey) bool {
	for i := range j.record.Progress.Tasks[key.occurrence][key.step] {
		g, ok := j.groups[groupKey{occurrence: key.occurrence, step: key.step, index: i}]
		if i != key.index && (!ok || g.stopping || g.runningSince.IsZero()) {
			return true
		}
	}
	return false
}

// stopOrphanRun stops an orphan run, unless a stop was sent shortly before, and returns when the last one was sent.
func (p *Planner) stopOrphanRun(w *workerState, task string, number int) time.Time {
	now, last := p.Clock.Now(), w.orphans[task]
	if now.Sub(last) < stopRetryDelay || !p.holdsTerm() {
		return last
	}
	p.Log.Event("foreign-run", "task", task, "run", number, "worker", w.id())
	target := Target{ID: w.id(), Address: w.registration.Address}
	order := StopOrder{Task: task, Run: number, Fence: w.fence}
	p.call(classOrder, func() func() {
		err := p.send(now, orderTimeout, func(ctx context.Context) error {
			_, err := p.Workers.Stop(ctx, target, order)
			return err
		})
		return func() {
			if err != nil {
				p.Log.Event("foreign-stop-failed", "task", task, "worker", target.ID, "error", err)
				return
			}
			w.nextPoll = p.Clock.Now()
			p.scheduleContact(w)
		}
	})
	return now
}
