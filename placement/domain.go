package placement

import (
	"slices"
	"time"

	"clementinepier/job"
)

// Evacuation lists what to do with the requests of a failure domain that goes out of service.
type Evacuation struct {
	// Requeue lists the idempotent requests, which are checkpointed, stopped and queued in another domain. Those with the
	// most work since their last checkpoint come first, because a failure would cost them the most.
	Requeue []job.Key
	// Finish lists the requests that may start only once and therefore run to completion in this domain.
	Finish []job.Key
}

// EvacuationPlan classifies the requests that hold capacity in the given racks.
func (c *Cluster) EvacuationPlan(now time.Time, racks []string) Evacuation {
	var e Evacuation
	var movable []Victim
	seen := map[job.Key]bool{}
	for _, name := range racks {
		r, ok := c.racks[name]
		if !ok {
			continue
		}
		for _, w := range r.workers {
			for _, a := range w.tasks {
				key := a.Task.Key()
				if seen[key] {
					continue
				}
				seen[key] = true
				if a.Idempotent {
					movable = append(movable, c.placedRequests[key].victim(now))
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

// Ramp limits the start rate in a failure domain that has returned to service, so that caches and links warm up and few
// requests are lost if the domain fails again.
type Ramp struct {
	// ReturnedAt is when the domain returned to service.
	ReturnedAt time.Time
	// Window is how long starts are limited.
	Window time.Duration
	// InitialRate and FinalRate are the task starts per second at the beginning and at the end of the window.
	InitialRate, FinalRate float64

	startedTasks int
}

// Allows reports whether another request may start now. A gang with more tasks than the remaining allowance still starts
// once at least one task is allowed, so that it does not wait for the whole window.
func (r *Ramp) Allows(now time.Time) bool {
	passed := now.Sub(r.ReturnedAt)
	if passed >= r.Window {
		return true
	}
	t := max(0, passed.Seconds())
	allowed := 1 + r.InitialRate*t + (r.FinalRate-r.InitialRate)*t*t/(2*r.Window.Seconds())
	return float64(r.startedTasks)+1 <= allowed
}

// RecordStart counts the tasks of a request that started.
func (r *Ramp) RecordStart(tasks int) { r.startedTasks += tasks }
