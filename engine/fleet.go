package engine

import (
	"cmp"
	"slices"
	"time"

	"clementinepier/policy"
	"clementinepier/workload"
)

// fleet is the workers of a service as the decisions see them. It is kept from pass to pass for as long as the same workers offer
// the service, since most passes change little.
type fleet struct {
	decisions *policy.Fleet
	// workers and views belong together by their index.
	workers []*workerState
	views   []*policy.Worker
	byID    map[string]*policy.Worker
}

// staleFleets drops the fleets after a change of what a worker offers.
func (p *Planner) staleFleets() { clear(p.fleets) }

// fleetOf returns the fleet of a service as of now. What may be stopped is filled in only if room may have to be made.
func (p *Planner) fleetOf(service string, now time.Time, conf *Configuration, guaranteed map[*jobState]bool, makesRoom bool) *policy.Fleet {
	f := p.knownFleet(service)
	for i, w := range f.workers {
		used, stopping := w.used()
		view := f.views[i]
		view.Free = view.Capacity.Sub(used)
		view.FreeAfterStops = view.Free.Add(stopping)
		view.Usable = p.usable(w, now, conf)
		view.Victims = view.Victims[:0]
	}
	if makesRoom {
		p.addVictims(f, now, guaranteed)
	}
	return f.decisions
}

func (p *Planner) knownFleet(service string) *fleet {
	f, ok := p.fleets[service]
	if !ok {
		f = p.newFleet(service)
		p.fleets[service] = f
	}
	return f
}

// impossibleStep returns the number of the first step that the workers of the job's service could never run, or -1. While no worker of
// the service is known, every step counts as possible: they may come back.
func (p *Planner) impossibleStep(job *workload.Job) int {
	workers := p.knownFleet(job.Service).views
	if len(workers) == 0 {
		return -1
	}
	return slices.IndexFunc(job.Steps, func(s workload.Step) bool { return !policy.Feasible(&s, workers) })
}

func (p *Planner) newFleet(service string) *fleet {
	f := &fleet{byID: map[string]*policy.Worker{}}
	for _, w := range p.workers {
		if w.advert.Service == service {
			f.workers = append(f.workers, w)
		}
	}
	slices.SortFunc(f.workers, func(a, b *workerState) int { return cmp.Compare(a.id(), b.id()) })
	for _, w := range f.workers {
		view := &policy.Worker{ID: w.id(), Rack: w.advert.Rack, Labels: w.advert.Labels, Capacity: w.advert.Capacity}
		f.views = append(f.views, view)
		f.byID[w.id()] = view
	}
	f.decisions = policy.NewFleet(slices.Clone(f.views))
	return f
}

// addVictims tells each worker of the fleet which groups on it may be stopped for more urgent work.
func (p *Planner) addVictims(f *fleet, now time.Time, guaranteed map[*jobState]bool) {
	for _, j := range p.active {
		for _, g := range j.groups {
			if !p.mayStop(g) {
				continue
			}
			victim := &policy.Group{
				Priority: j.record.Job.Priority, Guaranteed: guaranteed[j], Uses: make(map[string]workload.Resources, len(g.runs)), Handle: g,
			}
			for _, r := range g.runs {
				victim.PreemptionCost += p.waste(r, now)
				id := r.worker.id()
				victim.Uses[id] = victim.Uses[id].Add(r.need)
			}
			for id := range victim.Uses {
				if view, ok := f.byID[id]; ok {
					view.Victims = append(view.Victims, victim)
				}
			}
		}
	}
}
