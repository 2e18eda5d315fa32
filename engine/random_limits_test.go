package engine_test

import (
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"clementinepier/engine"
	"clementinepier/standin/site"
	"clementinepier/workload"
)

// limitSeeds is the number of seeds of the random limits.
const limitSeeds = 60

// configurationSpan is how long a configuration may be in force after it was replaced. Start orders of placements that were made under it
// are sent by then.
const configurationSpan = 2 * time.Second

// Guards against organisations that have more at work than a limit allows because runs are not counted that may exist: starts without a
// response, starts that are carried out late, runs that an earlier planner has placed and that no worker has reported yet, and runs that are
// being stopped. Limits change in quick succession. With -faults-first and -faults-seeds it plays other seeds.
func TestRandomLimits(t *testing.T) {
	for seed := range faultSeeds(limitSeeds) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			t.Parallel()
			runInVirtualTime(t, func(r *rig) { newLimitScenario(r, seed).run() })
		})
	}
}

// limitScenario plays the random faults with organisations that have limits.
type limitScenario struct {
	*faultScenario
	// assigned is the number of jobs that have their organisation.
	assigned int

	mu sync.Mutex
	// owned has each job with its organisation, and history the configurations with when they came into force, the oldest first.
	owned   map[string]workload.Job
	history []datedConfiguration
}

type datedConfiguration struct {
	since time.Time
	*engine.Configuration
}

func newLimitScenario(r *rig, seed uint64) *limitScenario {
	s := &limitScenario{faultScenario: newFaultScenario(r, seed), owned: map[string]workload.Job{}}
	r.AllowanceOf = s.allowanceOf
	s.changeLimits(true)
	s.onRound = s.planLimits
	s.beforeJudge = func() { s.changeLimits(false) }
	return s
}

// planLimits gives the new jobs their organisations, and plans changes of the limits, at times in quick succession.
func (s *limitScenario) planLimits() {
	s.mu.Lock()
	for _, j := range s.jobs[s.assigned:] {
		j.job.Organisation = []string{"a", "b"}[s.random.IntN(2)]
		s.owned[j.id] = j.job
	}
	s.assigned = len(s.jobs)
	s.mu.Unlock()
	if !s.chance(3) {
		return
	}
	at := s.between(0, 3*time.Second)
	for range 1 + s.random.IntN(4) {
		s.after(at, func() { s.changeLimits(true) })
		at += s.between(50*time.Millisecond, 800*time.Millisecond)
	}
}

// changeLimits brings a configuration into force with random limits, or with none. Each job fits under every limit.
func (s *limitScenario) changeLimits(limited bool) {
	c := &engine.Configuration{Version: int64(len(s.history) + 1), Queues: s.conf.Queues}
	for _, name := range []string{"a", "b"} {
		o := engine.Organisation{Name: name, Guaranteed: 8, Weight: float64(s.random.IntN(3))}
		if limited {
			o.Limit = workload.Resources{MilliCPU: 1000 * (3 + s.random.Int64N(6)), MemoryMB: 100 * (3 + s.random.Int64N(6)), Accelerators: 24 + s.random.Int64N(24)}
			if s.chance(4) {
				o.Limit.MilliCPU = 0
			}
		}
		c.Organisations = append(c.Organisations, o)
	}
	s.mu.Lock()
	s.history = append(s.history, datedConfiguration{since: time.Now(), Configuration: c.Index()})
	s.mu.Unlock()
	s.changedConf.Store(c)
	s.logf("limits of a %+v, of b %+v", c.Organisations[0].Limit, c.Organisations[1].Limit)
}

// allowanceOf returns the highest limit of each resource of a job's organisation that may have been in force at a time.
func (s *limitScenario) allowanceOf(job string, at time.Time) site.Allowance {
	s.mu.Lock()
	defer s.mu.Unlock()
	a := site.Allowance{Organisation: s.owned[job].Organisation, Priority: s.owned[job].Priority}
	first := true
	for i, c := range s.history {
		replaced := i+1 < len(s.history) && s.history[i+1].since.Add(configurationSpan).Before(at)
		if replaced || c.since.After(at) {
			continue
		}
		o := c.Organisations[slices.IndexFunc(c.Organisations, func(o engine.Organisation) bool { return o.Name == a.Organisation })]
		if first {
			a.Limit, first = o.Limit, false
			continue
		}
		a.Limit = workload.Resources{
			MilliCPU: higherLimit(a.Limit.MilliCPU, o.Limit.MilliCPU), MemoryMB: higherLimit(a.Limit.MemoryMB, o.Limit.MemoryMB),
			Accelerators: higherLimit(a.Limit.Accelerators, o.Limit.Accelerators),
		}
	}
	return a
}

// higherLimit returns the higher of two limits, of which 0 is none.
func higherLimit(a, b int64) int64 {
	if a == 0 || b == 0 {
		return 0
	}
	return max(a, b)
}
