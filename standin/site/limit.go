package site

import (
	"fmt"
	"math"
	"slices"
	"time"

	"clementinepier/engine"
	"clementinepier/workload"
)

// Allowance is what an organisation may have at work; an amount of 0 is no limit.
type Allowance struct {
	Organisation string
	// Priority is the priority of the job in question; 0 is the most urgent.
	Priority int
	Limit    workload.Resources
}

// fits reports whether the amounts are within the limit.
func (a Allowance) fits(used workload.Resources) bool {
	within := func(used, limit int64) bool { return limit == 0 || used <= limit }
	return within(used.MilliCPU, a.Limit.MilliCPU) && within(used.MemoryMB, a.Limit.MemoryMB) && within(used.Accelerators, a.Limit.Accelerators)
}

// usedBy returns the resources of the organisation's runs of at least the given urgency on all workers. The caller holds s.mu.
func (s *Site) usedBy(organisation string, leastUrgent int) workload.Resources {
	var used workload.Resources
	for _, w := range s.workers {
		if w.Dead || w.Replaced {
			continue
		}
		for task := range w.runs {
			if a := s.AllowanceOf(jobOf(task), time.Now()); a.Organisation == organisation && a.Priority <= leastUrgent {
				used = used.Add(s.stepOf(task).Need)
			}
		}
	}
	return used
}

// checkLimit records a fault if a start brings an organisation above its limit. It is stricter than the users' rule QUOTA, which allows a tenth and one
// task more.
func (s *Site) checkLimit(w *Worker, o engine.StartOrder, received time.Time) {
	if s.AllowanceOf == nil {
		return
	}
	a := s.AllowanceOf(jobOf(o.Task), received)
	if used := s.usedBy(a.Organisation, math.MaxInt).Add(s.stepOf(o.Task).Need); !a.fits(used) {
		s.faults = append(s.faults, fmt.Sprintf("QUOTA: %s starts on %s and brings %s to %+v, more than %+v", o.Task, w.Registration.ID, a.Organisation, used, a.Limit))
	}
}

// mayWaitForLimit reports whether a job may wait for its organisation's limit: half of it or more is in use, or a gang of the job does not fit beside
// more urgent work of the organisation. Jobs of which a run, or an order to start one, was lost count as a whole for as long as planners may wait for
// them: a run may be at work until its lease has ended.
func (s *Site) mayWaitForLimit(job string) bool {
	if s.AllowanceOf == nil {
		return false
	}
	now := time.Now()
	a := s.AllowanceOf(job, now)
	used := s.usedBy(a.Organisation, math.MaxInt)
	for id, p := range s.profiles {
		if !s.lostRecently(id, now) || s.AllowanceOf(id, now).Organisation != a.Organisation {
			continue
		}
		for i := range p.Job.Steps {
			used = used.Add(p.Job.Steps[i].Need.Times(p.Job.Steps[i].Tasks))
		}
	}
	if !a.fits(used.Times(roomFactor)) {
		return true
	}
	moreUrgent := s.usedBy(a.Organisation, a.Priority-1)
	return slices.ContainsFunc(s.profiles[job].Job.Steps, func(step workload.Step) bool {
		return step.Gang && !a.fits(moreUrgent.Add(step.Need.Times(step.Tasks)))
	})
}
