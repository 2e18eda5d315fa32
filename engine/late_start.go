package engine

import (
	"maps"
	"slices"
	"time"

	"clementinepier/metrics"
	"clementinepier/policy"
)

const (
	// lateStartAge is how long late starts are kept, which is longer than a run from one can last.
	lateStartAge = 3 * maxOrderDelay
	// entryReturnTime is how long the entry of a worker that is alive and reaches the store may be missing. The protocol says about two seconds,
	// and that a worker whose entry is missing after that is to be treated as gone.
	entryReturnTime = 2500 * time.Millisecond
	// restartAnswerTime is how long a worker that seems to have restarted may take to answer before runs elsewhere are stopped because of its
	// late starts. A worker that can be reached answers within a few milliseconds.
	restartAnswerTime = 200 * time.Millisecond
)

// lateStart is a start order that got no response, so that the worker may carry it out later. The incarnation that it was sent to refuses it
// once it has ended or stopped the run, or once the lease of the order is over. A later incarnation knows nothing of that.
type lateStart struct {
	job string
	key groupKey
	// run is the number of the run.
	run  int
	sent time.Time
	// incarnation is the one that the order was meant for; 0 is unknown.
	incarnation int64
	// tasks are the indices of the tasks whose start got no response; empty if they are not known.
	tasks []int
	// confirmed is set once the worker has confirmed the run all the same, if it is of the only task.
	confirmed bool
	// assumed is set if it is not known whether an earlier planner got a response.
	assumed bool
	// reported is set once it was logged that the group is withheld because of the order.
	reported bool
}

// lateRunBasis is what the bound of a late run rests on.
type lateRunBasis string

const (
	// basisFenced means that a later incarnation has answered with its fencing token, and so refuses the order.
	basisFenced lateRunBasis = "fenced"
	// basisListed means that the worker has listed its runs since the order can no longer be carried out.
	basisListed lateRunBasis = "listed"
	// basisGoneWorker means that the worker is to be treated as gone, and that the order can no longer be carried out.
	basisGoneWorker lateRunBasis = "gone"
	// basisLongestLease means that the longest lease bounds a run that the order has begun at the latest time.
	basisLongestLease lateRunBasis = "longest-lease"
	// basisNoSign means that nothing shows a restart, and that the task lasts or an earlier planner is only assumed to have got no response.
	basisNoSign lateRunBasis = "no-sign"
)

// lateRunEnd returns the time from which no run that a late start may begin exists at the worker any more, or can begin, and what shows it.
// Placement, the withdrawal of later runs and the polls of the worker go by it; runEndsBy is the same for runs that the planner still has.
func (p *Planner) lateRunEnd(w *workerState, s *lateStart) (time.Time, lateRunBasis) {
	begunBy := s.sent.Add(maxOrderDelay)
	switch {
	case w.fenced && w.replaced(s.incarnation):
		return time.Time{}, basisFenced
	case w.fenced && w.identifiedSince(begunBy):
		return time.Time{}, basisListed
	case p.isGone(w) && p.lasts(s):
		return time.Time{}, basisGoneWorker
	case (s.assumed || p.lasts(s)) && !w.restartSuspected(s):
		return time.Time{}, basisNoSign
	case p.isGone(w):
		return begunBy, basisGoneWorker
	default:
		// Orders that extend leases may be executed late as well.
		return latest(s.sent, w.leaseOrderedAt).Add(p.lateRunBound()), basisLongestLease
	}
}

// lasts reports whether the order is for a task that lasts. Its users bear neither a second run nor a pause of more than a few seconds.
func (p *Planner) lasts(s *lateStart) bool {
	j, ok := p.jobs[s.job]
	return ok && j.record.Job.Steps[s.key.step].LongRunning
}

// isGone reports whether a worker that does not answer is to be treated as gone: the store has had no entry of it for as long as an entry can
// be missing of a worker that is alive. It may come back under its ID.
func (p *Planner) isGone(w *workerState) bool {
	if w.entryMissingSince.IsZero() || w.failingSince.IsZero() && !w.lastAnswer.IsZero() && w.registration.Address != "" {
		return false
	}
	return p.registrationsKnownAt.Sub(latest(w.entryMissingSince, p.registrationsKnownSince)) >= entryReturnTime
}

// replaced reports whether the worker itself has reported a later incarnation than the given one. 0 is unknown.
func (w *workerState) replaced(incarnation int64) bool {
	return incarnation != 0 && w.incarnation == w.reportedIncarnation && (w.incarnation > incarnation || w.supersededIncarnation == incarnation)
}

// recordLateStart records a start order that got no response. It drops entries that no run can come from any more.
func (w *workerState) recordLateStart(s *lateStart) {
	if earlier, ok := w.lateStarts[groupName(s.job, s.key)]; ok && s.sent.Sub(earlier.sent) < maxOrderDelay {
		s.addTasks(earlier)
	}
	maps.DeleteFunc(w.lateStarts, func(_ string, earlier *lateStart) bool { return s.sent.Sub(earlier.sent) >= lateStartAge })
	if w.lateStarts == nil {
		w.lateStarts = map[string]*lateStart{}
	}
	w.lateStarts[groupName(s.job, s.key)] = s
}

// recordUnansweredStart records, also for a successor, that the start order of a run got no response.
func (p *Planner) recordUnansweredStart(r *run, sent time.Time) {
	g, w := r.group, r.worker
	s := &lateStart{job: g.job.id(), key: g.key, run: r.number, tasks: []int{r.task.Index}, sent: sent, incarnation: w.incarnation}
	w.recordLateStart(s)
	if !g.job.state().Ended() {
		p.addLateStart(g, w, s)
		p.recordChange(g.job)
	}
}

// confirmLateStart records that the worker has confirmed a run, if a start of it got no response.
func (w *workerState) confirmLateStart(r *run) {
	s, ok := w.lateStarts[r.group.name()]
	if ok && s.run == r.number && len(s.tasks) == 1 && s.tasks[0] == r.task.Index {
		s.confirmed = true
	}
}

// addTasks adds the tasks of an earlier order.
func (s *lateStart) addTasks(earlier *lateStart) {
	if len(s.tasks) == 0 || len(earlier.tasks) == 0 {
		s.tasks = nil
		return
	}
	for _, i := range earlier.tasks {
		if !slices.Contains(s.tasks, i) {
			s.tasks = append(s.tasks, i)
		}
	}
}

// restartSuspected reports whether there is a sign that the worker has restarted since a start was sent, and it has not been fenced
// since. An earlier planner's start may have been meant for an incarnation that this planner has not met.
func (w *workerState) restartSuspected(s *lateStart) bool {
	return !w.fenced && w.registration.Address != "" && (!w.restartSuspectedAt.IsZero() || s.incarnation != 0 && s.incarnation < w.incarnation)
}

// mayStartLate reports whether a start order for a run of the group that got no response may still be executed.
func (w *workerState) mayStartLate(now time.Time, group string) bool {
	s, ok := w.lateStarts[group]
	return ok && now.Sub(s.sent) < maxOrderDelay
}

// mayStartAny reports whether any start order that got no response may still be executed.
func (w *workerState) mayStartAny(now time.Time) bool {
	for _, s := range w.lateStarts {
		if now.Sub(s.sent) < maxOrderDelay {
			return true
		}
	}
	return false
}

// holdsLateStart reports whether the worker may have, or begin, a run from a start order that got no response.
func (p *Planner) holdsLateStart(w *workerState, now time.Time) bool {
	for _, s := range w.lateStarts {
		if until, _ := p.lateRunEnd(w, s); now.Before(until) {
			return true
		}
	}
	return false
}

// withoutPossibleRuns removes the units of which a worker lists a run that the planner did not request, or may have or begin one from a start
// order that got no response. Starting them would be a second run. A task of which only one worker may start an earlier run may run on that
// worker, which refuses the earlier one; if it crashes, it loses the later run as well.
// Load pattern: a worker leaves a start unanswered, the run ends otherwise, and the worker crashes and carries the order out when it is back.
func (p *Planner) withoutPossibleRuns(now time.Time, units []*policy.Unit) []*policy.Unit {
	late := p.lateGroups(now)
	if len(late) == 0 && len(p.orphanTasks) == 0 {
		return units
	}
	return slices.DeleteFunc(units, func(u *policy.Unit) bool {
		if slices.ContainsFunc(u.Tasks, func(i int) bool {
			return p.orphanTasks[groupName(u.Job.ID, groupKey{occurrence: u.Occurrence, step: u.Step, index: i})] > 0
		}) {
			return true
		}
		key := groupKey{occurrence: u.Occurrence, step: u.Step, index: u.Tasks[0]}
		if u.Job.Steps[u.Step].Gang {
			key.index = -1
		}
		return !requireHolders(u, late[groupName(u.Job.ID, key)], groupName(u.Job.ID, key))
	})
}

// requireHolders makes each task of a unit that a worker may start late require that worker. It reports false if the unit has to wait, because
// two workers may start a task, or one has not confirmed the last run: if it left the next start unanswered as well, its next incarnation could
// carry both out.
func requireHolders(u *policy.Unit, holders []*workerState, group string) bool {
	required := map[int]string{}
	for _, w := range holders {
		s := w.lateStarts[group]
		if len(s.tasks) == 0 || !s.confirmed {
			return false
		}
		for _, i := range s.tasks {
			if _, ok := required[i]; ok {
				return false
			}
			required[i] = w.id()
		}
	}
	u.RequiredWorkers = required
	return true
}

// lateGroups returns the groups of which workers may have, or begin, a run from a start order that got no response, with these workers.
func (p *Planner) lateGroups(now time.Time) map[string][]*workerState {
	var groups map[string][]*workerState
	for _, w := range p.workers {
		for name, s := range w.lateStarts {
			until, basis := p.lateRunEnd(w, s)
			if !now.Before(until) {
				p.reportReleased(w, name, s, basis)
				if basis == basisListed {
					delete(w.lateStarts, name)
				}
				continue
			}
			p.reportWithheld(w, name, s, until, basis)
			if groups == nil {
				groups = map[string][]*workerState{}
			}
			groups[name] = append(groups[name], w)
		}
	}
	p.Metrics.SetGauge(metrics.GroupsWithheld, int64(len(groups)))
	return groups
}

// reportWithheld logs, once for each order, that a group without a run is kept from other workers.
func (p *Planner) reportWithheld(w *workerState, group string, s *lateStart, until time.Time, basis lateRunBasis) {
	j, ok := p.jobs[s.job]
	if s.reported || !ok || j.state().Ended() || j.groups[s.key] != nil {
		return
	}
	s.reported = true
	p.Log.Event("group-withheld", "group", group, "late-run", s.run, "worker", w.id(), "born", s.incarnation, "sent", s.sent, "assumed", s.assumed,
		"until", until, "basis", basis, "answered", w.lastAnswer, "entry-missing-since", w.entryMissingSince)
}

// reportReleased logs that a group is no longer kept from other workers, and why.
func (p *Planner) reportReleased(w *workerState, group string, s *lateStart, basis lateRunBasis) {
	if !s.reported {
		return
	}
	s.reported = false
	p.Log.Event("group-released", "group", group, "late-run", s.run, "worker", w.id(), "sent", s.sent, "basis", basis, "after", p.Clock.Since(s.sent))
}

// withdrawLaterRuns stops the runs elsewhere of a group that a worker may start late, because it seems to have restarted and cannot be
// told to refuse the order. Such a run is of a task that lasts, or was placed by a planner that did not know of the order.
// Load pattern: a worker leaves a start unanswered, is cut off and restarts behind the cut, which only its registration reports.
func (p *Planner) withdrawLaterRuns(now time.Time) {
	for _, w := range p.workers {
		for _, s := range w.lateStarts {
			if until, _ := p.lateRunEnd(w, s); !now.Before(until) || now.Sub(s.sent) >= maxOrderDelay || !w.restartSuspected(s) {
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
func (p *Planner) laterGroup(w *workerState, s *lateStart) *group {
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
