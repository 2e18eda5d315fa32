package engine

import (
	"cmp"
	"slices"
	"time"

	"clementinepier/metrics"
	"clementinepier/policy"
	"clementinepier/workload"
)

// limitReportInterval is the time between two log lines on an organisation that is at its limit.
const limitReportInterval = 5 * time.Second

// organisationState is what the planner keeps about an organisation.
type organisationState struct {
	// owed is the number of jobs that the organisation may still submit within its weight.
	owed policy.RateAllowance
	// limitReportedAt is when it was last logged that the organisation is at its limit.
	limitReportedAt time.Time
	// conflictVersion is the version of the configuration whose contradiction was last logged.
	conflictVersion int64
}

func (p *Planner) organisation(name string) *organisationState {
	o, ok := p.organisations[name]
	if !ok {
		o = &organisationState{}
		p.organisations[name] = o
	}
	return o
}

// usage returns what may be at work for each organisation, or nil if the configuration has neither limits nor weights.
func (p *Planner) usage(now time.Time, conf *Configuration) map[string]policy.Usage {
	if !conf.hasLimits() {
		return nil
	}
	return p.usageByOrganisation(now)
}

// usageByOrganisation counts what may be at work for each organisation: the runs that are placed, started, being stopped or inherited from an
// earlier planner without any sign of them, the starts that may still be carried out, and the runs that nobody requested. Everything counts until
// it certainly does not exist.
func (p *Planner) usageByOrganisation(now time.Time) map[string]policy.Usage {
	usage := map[string]policy.Usage{}
	late := map[lateUnit]int{}
	for _, w := range p.workers {
		for _, r := range w.runs {
			u := usage[r.group.job.record.Job.Organisation]
			u.All = u.All.Add(r.need)
			if r.group.step().LongRunning {
				u.Lasting = u.Lasting.Add(r.need)
			}
			if (r.stopRequested || r.group.done) && w.failingSince.IsZero() {
				u.Stopping = u.Stopping.Add(r.need)
			}
			usage[r.group.job.record.Job.Organisation] = u
		}
		for name := range w.orphans {
			p.addOrphanUsage(usage, w, name)
		}
		for name, s := range w.lateStarts {
			if until, _ := p.lateRunEnd(w, s); now.Before(until) && !w.refusesNow(s) {
				p.addLateUsage(usage, late, w, name, s)
			}
		}
	}
	return usage
}

// refusesNow reports whether the worker refuses the start if it is carried out now, unless a run of it is still there: its present incarnation has ended or
// stopped the run, and does not obey earlier planners. Only a restart changes that, and from then on the worker does not answer or reports it.
func (w *workerState) refusesNow(s *lateStart) bool {
	return w.fenced && w.failingSince.IsZero() && s.incarnation != 0 && s.incarnation == w.incarnation
}

// addOrphanUsage counts a run that a worker lists and the planner did not request.
func (p *Planner) addOrphanUsage(usage map[string]policy.Usage, w *workerState, task string) {
	id, err := workload.ParseTaskID(task)
	if _, counted := w.runs[task]; counted || err != nil {
		return
	}
	if j, ok := p.jobs[id.Job]; ok && id.Step < len(j.record.Job.Steps) {
		u := usage[j.record.Job.Organisation]
		u.All = u.All.Add(j.record.Job.Steps[id.Step].Need)
		usage[j.record.Job.Organisation] = u
	}
}

// lateUnit is one run of a task or gang that may be started late.
type lateUnit struct {
	group string
	run   int
}

// addLateUsage counts a start that the worker may carry out late, or may have carried out. late counts the tasks of each unit so far.
func (p *Planner) addLateUsage(usage map[string]policy.Usage, late map[lateUnit]int, w *workerState, group string, s *lateStart) {
	j, ok := p.jobs[s.job]
	if !ok {
		return
	}
	step := &j.record.Job.Steps[s.key.step]
	tasks := len(s.tasks)
	for _, i := range s.tasks {
		name := workload.TaskID{Job: s.job, Occurrence: s.key.occurrence, Step: s.key.step, Index: i}.String()
		if _, counted := w.runs[name]; counted {
			tasks--
		}
	}
	if len(s.tasks) == 0 {
		// It is not known which members of the gang the worker was told to start.
		tasks = step.Tasks
	}
	unit := lateUnit{group: group, run: s.run}
	tasks = min(tasks, step.Tasks-late[unit])
	late[unit] += tasks
	u := usage[j.record.Job.Organisation]
	u.All = u.All.Add(step.Need.Times(tasks))
	usage[j.record.Job.Organisation] = u
}

// limits returns what the organisations may start in this pass, or nil if the configuration limits none, and what they use.
func (p *Planner) limits(conf *Configuration, usage map[string]policy.Usage) *policy.Limits {
	var limits *policy.Limits
	for i := range conf.Organisations {
		o := &conf.Organisations[i]
		if o.Limit == (workload.Resources{}) {
			continue
		}
		if limits == nil {
			limits = policy.NewLimits()
		}
		limits.Set(o.Name, o.Limit, usage[o.Name])
	}
	return limits
}

// withdrawUnsentBeyondLimits takes back placements of which no start order was sent, the newest first, if their organisation has more than a
// configuration allows that came into force since. Nothing that may have been started is stopped.
func (p *Planner) withdrawUnsentBeyondLimits(conf *Configuration, usage map[string]policy.Usage) {
	for i := range conf.Organisations {
		o := &conf.Organisations[i]
		used := usage[o.Name].All
		if withinLimit(used, o.Limit) {
			continue
		}
		for _, g := range p.unsentGroups(o.Name) {
			if withinLimit(used, o.Limit) {
				break
			}
			used = used.Sub(g.step().Need.Times(len(g.runs)))
			p.stopGroup(g, "its organisation is above its limit")
		}
	}
}

func withinLimit(used, limit workload.Resources) bool {
	within := func(used, limit int64) bool { return limit == 0 || used <= limit }
	return within(used.MilliCPU, limit.MilliCPU) && within(used.MemoryMB, limit.MemoryMB) && within(used.Accelerators, limit.Accelerators)
}

// unsentGroups returns the organisation's groups of which no start order was sent, the newest first.
func (p *Planner) unsentGroups(organisation string) []*group {
	var groups []*group
	for _, j := range p.active {
		if j.record.Job.Organisation != organisation {
			continue
		}
		for _, g := range j.groups {
			unsent := func(r *run) bool { return r.phase == runRecorded && r.placementChange != 0 && !r.startInFlight }
			if !g.stopping && !slices.ContainsFunc(g.runs, func(r *run) bool { return !unsent(r) }) {
				groups = append(groups, g)
			}
		}
	}
	slices.SortFunc(groups, func(a, b *group) int {
		return cmp.Or(b.startedAt.Compare(a.startedAt), cmp.Compare(a.name(), b.name()))
	})
	return groups
}

// setShares sets the units' shares, and whether they are beyond their organisations' weights, if the configuration has weights.
func (p *Planner) setShares(now time.Time, conf *Configuration, usage map[string]policy.Usage, units []*policy.Unit) {
	weights := map[string]float64{}
	for i := range conf.Organisations {
		if o := &conf.Organisations[i]; o.Weight > 0 {
			weights[o.Name] = o.Weight
		}
	}
	if len(weights) == 0 {
		return
	}
	used := make(map[string]workload.Resources, len(usage))
	for name, u := range usage {
		used[name] = u.All
	}
	var capacity workload.Resources
	for _, w := range p.workers {
		if w.registered {
			capacity = capacity.Add(w.registration.Capacity)
		}
	}
	policy.SetShares(now, units, used, weights, capacity)
}

// countAgainstWeight records whether a job that was just accepted or adopted is beyond its organisation's weight. The times of acceptance are stored, so
// a later planner finds the same but for jobs that it no longer has.
func (p *Planner) countAgainstWeight(j *jobState) {
	j.beyondWeight = p.takesBeyondWeight(j.record.Job.Organisation, j.record.Job.Accepted)
}

// takesBeyondWeight counts a job that was accepted at a time of day, and reports whether it is beyond its organisation's weight.
func (p *Planner) takesBeyondWeight(organisation string, accepted time.Time) bool {
	o := p.Configuration().organisation(organisation)
	if o == nil || o.Weight <= 0 {
		return false
	}
	// A time that is ahead, by the clock of another entry VM, would stop the allowance from growing until then.
	if now := p.TimeOfDay(); accepted.After(now) {
		accepted = now
	}
	return !p.organisation(o.Name).owed.Take(accepted, o.Weight)
}

// wouldBeBeyondWeight reports whether a job that were accepted now would be beyond its organisation's weight.
func (p *Planner) wouldBeBeyondWeight(job *workload.Job) bool {
	o := p.Configuration().organisation(job.Organisation)
	if o == nil || o.Weight == 0 {
		return false
	}
	owed := p.organisation(o.Name).owed
	return !owed.Take(p.TimeOfDay(), o.Weight)
}

// exceedsLimit returns the number of the first step that could never start under the job's organisation's limit, and the limit, or -1.
func (p *Planner) exceedsLimit(job *workload.Job) (int, workload.Resources) {
	limit := p.Configuration().limit(job.Organisation)
	return slices.IndexFunc(job.Steps, func(s workload.Step) bool { return policy.ExceedsLimit(&s, limit) }), limit
}

// reportLimits logs which organisations are at their limits, at intervals, and sets the metrics.
func (p *Planner) reportLimits(now time.Time, conf *Configuration, d decided) {
	withheld, beyond := map[string]int{}, map[string]bool{}
	clear(p.heldByLimit)
	total := 0
	for _, u := range d.units {
		if u.BeyondWeight {
			beyond[u.Job.ID] = true
		}
		if d.limits.Holds(u) {
			total++
			withheld[u.Job.Organisation]++
			p.heldByLimit[u.Job.ID] = true
		}
	}
	p.Metrics.SetGauge(metrics.OrganisationsAtLimit, int64(len(withheld)))
	p.Metrics.SetGauge(metrics.UnitsOverLimit, int64(total))
	p.Metrics.SetGauge(metrics.JobsBeyondWeight, int64(len(beyond)))
	contradictions := 0
	for i := range conf.Organisations {
		o := &conf.Organisations[i]
		if n := withheld[o.Name]; n > 0 && now.Sub(p.organisation(o.Name).limitReportedAt) >= limitReportInterval {
			p.organisation(o.Name).limitReportedAt = now
			used := d.usage[o.Name]
			p.Log.Event("organisation-at-limit", "organisation", o.Name, "units", n, "used", used.All, "stopping", used.Stopping, "limit", o.Limit, "version", conf.Version)
		}
		if !o.guaranteeExceedsLimit() {
			continue
		}
		contradictions++
		if s := p.organisation(o.Name); s.conflictVersion != conf.Version {
			s.conflictVersion = conf.Version
			p.Log.Event("guarantee-above-limit", "organisation", o.Name, "guaranteed", o.Guaranteed, "limit", o.Limit.Accelerators, "version", conf.Version)
		}
	}
	p.Metrics.SetGauge(metrics.GuaranteesAboveLimit, int64(contradictions))
}
