package engine

import (
	"slices"
	"time"

	"clementinepier/metrics"
	"clementinepier/policy"
)

const (
	// stallTimeout is the least time without progress after which a run is stopped. A task that runs at a third of its speed for
	// 33 s still gains one percent every 0.35 s, and polls arrive every 2 s.
	stallTimeout = 4500 * time.Millisecond
	// maxEstimateFactor is how many times its estimate a task may take and still count as making progress, which workers report in whole
	// percents.
	maxEstimateFactor = 20
	// maxStallDoublings bounds the doublings of the time without progress for a task that seems to stall wherever it runs.
	maxStallDoublings = 10
	// stalledWorkerPause is how long a worker is closed after a run has stalled on it.
	stalledWorkerPause = 6 * time.Second
)

// stopStalledGroups stops the groups that have stalled.
func (p *Planner) stopStalledGroups(now time.Time) {
	kept := int64(0)
	for _, j := range p.active {
		for _, g := range j.groups {
			if g.stopping || g.done || g.step().LongRunning {
				continue
			}
			if p.stopIfStalled(now, g) {
				kept++
			}
		}
	}
	p.Metrics.SetGauge(metrics.GroupsKeptAtFullPercent, kept)
}

// stopIfStalled stops the group if it has stalled, and reports whether it is kept although a run stands still at 100 percent.
func (p *Planner) stopIfStalled(now time.Time, g *group) bool {
	if g.key.index < 0 && g.runningSince.IsZero() {
		if now.Sub(g.startedAt) > p.Bounds.GangTimeout+gangTimeoutMargin && g.allRunning() {
			g.runningSince = now
		}
		return false
	}
	limit := g.stallLimit()
	if !slices.ContainsFunc(g.runs, func(r *run) bool { return r.stands(limit) }) {
		g.keptBy = ""
		return false
	}
	stall := p.stallOf(now, g, limit)
	at, evidence := stall.Judge(now)
	if at < 0 {
		if evidence == "" {
			return false
		}
		if g.keptBy != evidence {
			g.keptBy = evidence
			p.Log.Event("long-group-kept", "task", g.name(), "runs", len(g.runs), "evidence", evidence, "at-work", stall.Ran, "limit", stall.Limit)
		}
		return true
	}
	r := g.runs[at]
	r.worker.stalledUntil = now.Add(stalledWorkerPause)
	g.job.avoidWorker(now, r.worker)
	g.job.stalls[g.key]++
	p.Metrics.Add(metrics.GroupsStalled, 1)
	p.Log.Event("run-stands-still", "task", r.name, "run", r.number, "worker", r.worker.id(), "percent", r.percent, "since", now.Sub(r.progressedAt),
		"limit", stall.Limit, "usage", r.usage, "usage-known", r.usageKnown)
	p.stopGroup(g, "stalled")
	return false
}

// stands reports whether the worker of the run has shown no progress of it for at least the given time. Few runs do, so that the others need no
// decision.
func (r *run) stands(limit time.Duration) bool {
	return r.phase == runRunning && r.worker.failingSince.IsZero() && r.worker.lastAnswer.Sub(r.progressedAt) >= limit
}

// stallOf returns what the decision whether a group has stalled needs.
func (p *Planner) stallOf(now time.Time, g *group, limit time.Duration) policy.Stall {
	s := policy.Stall{
		Limit: limit, Ran: now.Sub(g.runningSince), LongestDone: g.job.longestDone[g.key.step],
		Checkpoints: g.step().Checkpoints, Runs: make([]policy.RunProgress, len(g.runs)),
	}
	if g.runningSince.IsZero() {
		s.Ran = now.Sub(g.startedAt)
	}
	for i, r := range g.runs {
		s.Runs[i] = policy.RunProgress{
			Percent: r.percent, Progressed: r.progressedAt, Saved: r.savedAt, Usage: r.usage, UsageKnown: r.usageKnown,
		}
		if r.phase == runRunning && r.worker.failingSince.IsZero() {
			s.Runs[i].Heard = r.worker.lastAnswer
		}
	}
	return s
}

// stallLimit returns how long a run of the group may show no progress: the time of one percent of the longest run that its estimate allows,
// and of a poll. Estimates are rough, so a task that has stalled twice may simply take longer, and gets twice the time at each further try.
func (g *group) stallLimit() time.Duration {
	limit := max(stallTimeout, g.step().Estimate/100*maxEstimateFactor+pollWait+pollTimeout)
	for range min(g.job.stalls[g.key]-1, maxStallDoublings) {
		limit *= 2
	}
	return limit
}

// applyProgress records what a worker reports of a run that it has. Impossible values leave the last good ones in force.
func (p *Planner) applyProgress(now time.Time, r *run, status RunStatus) {
	if status.Invalid != "" {
		p.Metrics.Add(metrics.RunFiguresInvalid, 1)
		p.Log.Event("run-figure-invalid", "task", r.name, "run", r.number, "worker", r.worker.id(), "value", status.Invalid)
	}
	if !status.PercentInvalid {
		if status.Percent != r.percent {
			r.percent, r.progressedAt = status.Percent, now
		}
		p.measureRate(now, r, status.Percent)
	}
	if status.HasUsage {
		r.usage, r.usageKnown = status.Usage, true
	}
	if status.Checkpoint != "" {
		if status.Checkpoint != r.checkpoint {
			r.savedAt = now
		}
		r.checkpoint = status.Checkpoint
	}
}

// recordLongestDone records how long a group that is done was at work.
func (p *Planner) recordLongestDone(g *group) {
	if g.runningSince.IsZero() {
		return
	}
	g.job.longestDone[g.key.step] = max(g.job.longestDone[g.key.step], p.Clock.Since(g.runningSince))
}
