package engine

import (
	"time"

	"clementinepier/metrics"
	"clementinepier/policy"
)

// preemptions is how often runs of a task or gang were stopped for more urgent work, when last, and for how long they had worked in vain.
type preemptions struct {
	count      int
	last       time.Time
	thrownAway time.Duration
	// reported is the number of preemptions after which a wait was last logged.
	reported int
}

// describe adds the preemptions to a unit of the same task or gang.
func (p preemptions) describe(u *policy.Unit) {
	u.Preemptions, u.PreemptedAt, u.ThrownAway = p.count, p.last, p.thrownAway
}

// groupKeyOf returns the key of the group that the unit becomes.
func groupKeyOf(u *policy.Unit) groupKey {
	if u.Job.Steps[u.Step].Gang {
		return groupKey{u.Occurrence, u.Step, -1}
	}
	return groupKey{u.Occurrence, u.Step, u.Tasks[0]}
}

// preempt stops the groups that give way to more urgent work.
func (p *Planner) preempt(now time.Time, victims []*policy.Group) {
	for _, v := range victims {
		g, ok := v.Handle.(*group)
		if !ok {
			continue
		}
		history := g.job.preemptions[g.key]
		history.count, history.last, history.thrownAway = history.count+1, now, history.thrownAway+v.LostTime()
		g.job.preemptions[g.key] = history
		p.Log.Event("group-preempted", "job", g.job.id(), "organisation", v.Organisation, "priority", v.Priority, "for", v.PreemptedFor.Job.ID,
			"guaranteed", v.PreemptedFor.Guaranteed, "waste", v.PreemptionCost, "cost", v.StopCost, "remaining", v.Remaining,
			"until-deadline", v.Deadline.Sub(now), "times", history.count)
		p.Metrics.Add(metrics.GroupsPreempted, 1)
		p.Metrics.Add(metrics.CoreSecondsPreempted, int64(v.PreemptionCost))
		p.stopGroup(g, "preempted")
	}
}

// reportWaits logs, once for each, the units that wait although room could be made for them, and those that wait after a preemption.
func (p *Planner) reportWaits(now time.Time, d policy.Decision) {
	for _, w := range d.Withheld {
		j, key := p.jobs[w.Unit.Job.ID], groupKeyOf(w.Unit)
		if j.preemptionWithheld[key] {
			continue
		}
		j.preemptionWithheld[key] = true
		p.Log.Event("preemption-withheld", "job", j.id(), "organisation", w.Unit.Job.Organisation, "priority", w.Unit.Job.Priority, "cost", w.Cost,
			"gain", w.Gain, "until-deadline", w.Unit.Deadline.Sub(now))
		p.Metrics.Add(metrics.PreemptionsWithheld, 1)
	}
	for _, u := range d.Delayed {
		j, key := p.jobs[u.Job.ID], groupKeyOf(u)
		history := j.preemptions[key]
		if history.reported == history.count {
			continue
		}
		history.reported = history.count
		j.preemptions[key] = history
		p.Log.Event("restart-delayed", "job", j.id(), "organisation", u.Job.Organisation, "priority", u.Job.Priority, "times", history.count,
			"thrown-away", history.thrownAway, "since", now.Sub(history.last), "until-deadline", u.Deadline.Sub(now))
		p.Metrics.Add(metrics.RestartsDelayed, 1)
	}
}
