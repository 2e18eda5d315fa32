package engine

import (
	"time"

	"clementinepier/workload"
)

const (
	// standstill is how long a run may show no progress before it is stopped. A task that runs at a third of its speed
	// for 33 s shows a percent more each 0.35 s, and looks come every 2 s.
	standstill = 4500 * time.Millisecond
	// standstillPause keeps new runs off a worker on which one stood still.
	standstillPause = 6 * time.Second
	// failuresOfWorker is how many jobs in a row have to fail on a worker before it is set aside. A job has two or three attempts, and
	// a gang loses one with each of its workers that fails what it starts.
	failuresOfWorker = 1
	// firstQuarantine is how long a worker is set aside at first; each probe that fails doubles it.
	firstQuarantine = 3 * time.Second
	// maxBlamed is how many workers one job may have set aside, so that a job that fails everywhere takes few out of service.
	maxBlamed = 2
	// leaveSlack is how much longer than announced a draining worker is expected to go on.
	leaveSlack = time.Second
	// gangSlack is added to the time in which a gang's members give up by themselves.
	gangSlack = time.Second
)

// watchProgress stops groups that stand still.
func (p *Planner) watchProgress(now time.Time) {
	for _, j := range p.active {
		for _, g := range j.groups {
			if g.breaking || g.done || g.step().LongRunning {
				continue
			}
			p.watchGroup(now, g)
		}
	}
}

func (p *Planner) watchGroup(now time.Time, g *group) {
	if g.key.index < 0 && g.working.IsZero() {
		if now.Sub(g.started) > p.Bounds.GangTimeout+gangSlack && g.allPresent() {
			g.working = now
		}
		return
	}
	for _, r := range g.runs {
		if r.phase != runRunning || !r.worker.failing.IsZero() || now.Sub(r.moved) < standstill || r.worker.answered.Sub(r.moved) < standstill {
			continue
		}
		r.worker.unhealthyUntil = now.Add(standstillPause)
		if len(g.job.avoid) < maxAvoided {
			g.job.avoid[r.worker.id()] = true
		}
		p.Log.Event("run-stands-still", "task", r.name, "run", r.number, "worker", r.worker.id(), "percent", r.percent, "since", now.Sub(r.moved))
		p.breakGroup(g, "stands still")
		return
	}
}

func (g *group) allPresent() bool {
	for _, r := range g.runs {
		if r.phase != runRunning {
			return false
		}
	}
	return true
}

// moveFromLeaving stops groups that would lose a member before they can end, so that they start again elsewhere.
func (p *Planner) moveFromLeaving(now time.Time) {
	for _, w := range p.workers {
		if !w.draining || !w.listed {
			continue
		}
		left := w.drainEnd.Sub(now) + leaveSlack
		for _, r := range w.runs {
			g := r.group
			if g.breaking || g.done || r.phase != runRunning {
				continue
			}
			if need, known := r.remaining(now); known && need > left && p.roomElsewhere(g) {
				p.breakGroup(g, "its worker leaves")
			}
		}
	}
}

// remaining estimates the time that the run needs, from its progress.
func (r *run) remaining(now time.Time) (time.Duration, bool) {
	if r.group.working.IsZero() {
		return 0, false
	}
	ran := now.Sub(r.group.working)
	if r.percent <= 0 {
		return r.group.step().Estimate, ran > r.group.step().Estimate/10
	}
	return ran * time.Duration(100-r.percent) / time.Duration(r.percent), true
}

// roomElsewhere reports whether the group's tasks fit on workers that stay.
func (p *Planner) roomElsewhere(g *group) bool {
	need := workload.Resources{}
	for _, r := range g.runs {
		need = need.Add(r.need)
	}
	conf := p.Configuration()
	now := p.Clock.Now()
	free := workload.Resources{}
	for _, w := range p.workers {
		if w.advert.Service != g.job.record.Job.Service || !p.usable(w, now, conf) {
			continue
		}
		used, _ := w.used()
		free = free.Add(w.advert.Capacity.Sub(used))
	}
	return need.Fits(free)
}
