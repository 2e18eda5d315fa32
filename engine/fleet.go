package engine

import (
	"cmp"
	"slices"
	"time"

	"clementinepier/policy"
	"clementinepier/workload"
)

// fleet has the workers of a service in the form that package policy needs. It is cached until a registration changes, since
// most passes change little.
type fleet struct {
	policyFleet *policy.Fleet
	// workers and policyWorkers correspond by index.
	workers       []*workerState
	policyWorkers []*policy.Worker
	byID          map[string]*policy.Worker
	// speedsAt is when the speeds of the workers were last brought up to date.
	speedsAt time.Time
}

// maxStepChecks bounds the steps of a new job that are compared with the workers, times the workers. The rest of a job of very many steps counts as
// possible, so that it does not keep the control goroutine from other work.
const maxStepChecks = 2 << 20

// invalidateFleets clears the cached fleets, after a change of a worker's registration.
func (p *Planner) invalidateFleets() { clear(p.fleets) }

// currentFleet returns the fleet of a service with the current free capacity of its workers. It includes the groups that may
// be stopped only if preemption may be necessary.
func (p *Planner) currentFleet(service string, now time.Time, conf *Configuration, guaranteed map[*jobState]bool, mayPreempt bool) *policy.Fleet {
	f := p.cachedFleet(service)
	f.policyFleet.MostlyIdle, f.policyFleet.StopTime = p.mostlyIdle(service), p.Bounds.StopGrace
	f.policyFleet.Groups = f.policyFleet.Groups[:0]
	p.refreshSpeeds(now, f)
	for i, w := range f.workers {
		used, stopping := w.used()
		policyWorker := f.policyWorkers[i]
		policyWorker.Free = policyWorker.Capacity.Sub(used)
		policyWorker.FreeAfterStops = policyWorker.Free.Add(stopping)
		policyWorker.Usable = p.acceptsStarts(w, now, conf)
		policyWorker.Closed, policyWorker.Quarantined = p.closed(w, now), p.breaker.Quarantined(w.id())
		policyWorker.Victims = policyWorker.Victims[:0]
	}
	if mayPreempt {
		p.addVictims(f, now, guaranteed)
	}
	return f.policyFleet
}

func (p *Planner) cachedFleet(service string) *fleet {
	f, ok := p.fleets[service]
	if !ok {
		f = p.newFleet(service)
		p.fleets[service] = f
	}
	return f
}

// impossibleStep returns the number of the first step that the workers of the job's service could never run, or -1. While
// the service has no workers, every step counts as possible, because workers may return.
func (p *Planner) impossibleStep(job *workload.Job) int {
	workers := p.cachedFleet(job.Service).policyWorkers
	if len(workers) == 0 {
		return -1
	}
	steps := job.Steps[:min(len(job.Steps), max(1, maxStepChecks/len(workers)))]
	return slices.IndexFunc(steps, func(s workload.Step) bool { return !policy.Feasible(&s, workers) })
}

func (p *Planner) newFleet(service string) *fleet {
	f := &fleet{byID: map[string]*policy.Worker{}}
	for _, w := range p.workers {
		if w.registration.Service == service {
			f.workers = append(f.workers, w)
		}
	}
	slices.SortFunc(f.workers, func(a, b *workerState) int { return cmp.Compare(a.id(), b.id()) })
	for _, w := range f.workers {
		policyWorker := &policy.Worker{ID: w.id(), Rack: w.registration.Rack, Labels: w.registration.Labels, Capacity: w.registration.Capacity}
		f.policyWorkers = append(f.policyWorkers, policyWorker)
		f.byID[w.id()] = policyWorker
	}
	f.policyFleet = policy.NewFleet(slices.Clone(f.policyWorkers))
	return f
}

// addVictims adds to each worker of the fleet the groups on it that may be stopped for more urgent work.
func (p *Planner) addVictims(f *fleet, now time.Time, guaranteed map[*jobState]bool) {
	for _, j := range p.active {
		for _, g := range j.groups {
			if !p.preemptible(g) {
				continue
			}
			victim := &policy.Group{
				Priority: j.record.Job.Priority, Guaranteed: guaranteed[j], Organisation: j.record.Job.Organisation, Objective: j.record.Job.Objective,
				Preemptions: j.preemptions[g.key].count, Uses: make(map[string]workload.Resources, len(g.runs)), Handle: g,
			}
			victim.Deadline, victim.Expiry = j.objectiveTimes(g.key.occurrence)
			for _, r := range g.runs {
				if remaining, known := r.remainingTime(now); known && remaining > 0 {
					victim.Remaining = max(victim.Remaining, remaining)
				} else {
					victim.Remaining = max(victim.Remaining, g.step().Estimate)
				}
			}
			for _, r := range g.runs {
				victim.PreemptionCost += p.preemptionCost(r, now)
				id := r.worker.id()
				victim.Uses[id] = victim.Uses[id].Add(r.need)
			}
			f.policyFleet.Groups = append(f.policyFleet.Groups, victim)
			for id := range victim.Uses {
				if policyWorker, ok := f.byID[id]; ok {
					policyWorker.Victims = append(policyWorker.Victims, victim)
				}
			}
		}
	}
}
