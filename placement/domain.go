package placement

import (
	"slices"
	"time"

	"clementinepier/job"
)

// Evacuation is what happens to the requests of a failure domain that goes out of service.
type Evacuation struct {
	// Requeue has the idempotent requests: checkpoint, stop and queue them in another domain. Those with the most
	// work since their last checkpoint come first, because a failure would cost them most.
	Requeue []job.Key
	// Finish has the requests that must run to their end here, because they may start only once.
	Finish []job.Key
}

// EvacuationPlan divides the requests that hold capacity in the racks given.
func (c *Cluster) EvacuationPlan(now time.Time, racks []string) Evacuation {
	var e Evacuation
	var movable []Victim
	seen := map[job.Key]bool{}
	for _, name := range racks {
		r, ok := c.racks[name]
		if !ok {
			continue
		}
		for _, w := range r.nodes {
			for _, a := range w.tasks {
				key := a.Task.Key()
				if seen[key] {
					continue
				}
				seen[key] = true
				if a.Idempotent {
					movable = append(movable, c.requests[key].victim(now))
				} else {
					e.Finish = append(e.Finish, key)
				}
			}
		}
	}
	slices.SortFunc(movable, func(a, b Victim) int {
		if LessLostWork(a, b) {
			return 1
		}
		return -1
	})
	for _, v := range movable {
		e.Requeue = append(e.Requeue, v.Key)
	}
	slices.SortFunc(e.Finish, compareKeys)
	return e
}

// Ramp limits how fast new tasks start in a failure domain that has come back, so that caches and links warm up and a
// domain that fails again takes little with it.
type Ramp struct {
	// ReturnedAt is when the domain came back.
	ReturnedAt time.Time
	// Window is how long starts are limited.
	Window time.Duration
	// InitialRate and FinalRate are the starts per second at the beginning and at the end of the window.
	InitialRate, FinalRate float64

	started int
}

// Allows reports whether another request may start now. A gang larger than what has been allowed so far still starts
// once anything is allowed, so that it does not wait for the whole window.
func (r *Ramp) Allows(now time.Time) bool {
	passed := now.Sub(r.ReturnedAt)
	if passed >= r.Window {
		return true
	}
	t := max(0, passed.Seconds())
	allowed := 1 + r.InitialRate*t + (r.FinalRate-r.InitialRate)*t*t/(2*r.Window.Seconds())
	return float64(r.started)+1 <= allowed
}

// RecordStart records that a request with this number of tasks started.
func (r *Ramp) RecordStart(tasks int) { r.started += tasks }
