package engine_test

import (
	"slices"
	"time"

	"clementinepier/standin/site"
)

// domainFault is a kind of fault of all workers of a failure domain at once.
type domainFault func(s *mixedScenario, ids []string)

// domainRestarts restart all workers of a failure domain. domainFaults are other faults of them, which matter next to restarts.
var (
	domainRestarts = []domainFault{restartDomain, restartDomain, powerOffDomain}
	domainFaults   = []domainFault{
		lastingForDomain("lost answers", 9*time.Second,
			func(_ *mixedScenario, w *site.Worker) { w.LoseAnswers = true }, func(w *site.Worker) { w.LoseAnswers = false }),
		lastingForDomain("lost polls", 9*time.Second,
			func(_ *mixedScenario, w *site.Worker) { w.LosePolls = true }, func(w *site.Worker) { w.LosePolls = false }),
		lastingForDomain("lost stops", 9*time.Second,
			func(_ *mixedScenario, w *site.Worker) { w.DropStops = true }, func(w *site.Worker) { w.DropStops = false }),
		lastingForDomain("silent", 14*time.Second,
			func(_ *mixedScenario, w *site.Worker) { w.Silent = true }, func(w *site.Worker) { w.Silent = false }),
		lastingForDomain("cut off", 14*time.Second,
			func(_ *mixedScenario, w *site.Worker) { w.Silent, w.Isolated = true, true }, func(w *site.Worker) { w.Silent, w.Isolated = false, false }),
		lastingForDomain("answers that overtake each other", 9*time.Second,
			func(s *mixedScenario, w *site.Worker) {
				w.AnswerDelays = nil
				for range 5 {
					w.AnswerDelays = append(w.AnswerDelays, s.between(0, 2*time.Second))
				}
			},
			func(w *site.Worker) { w.AnswerDelays = nil }),
		func(s *mixedScenario, ids []string) { s.eachOf(ids, removeEntry) },
		func(s *mixedScenario, ids []string) { s.eachOf(ids, lateEntry) },
	}
)

// playDomainFaults lets faults of a failure domain follow each other, while jobs are placed there. Most often the planner ends or stands
// still right after them, or the store is away.
func (s *mixedScenario) playDomainFaults() {
	alive := s.aliveWorkers()
	if len(alive) == 0 || len(s.foreign) > 0 {
		// An entry of another writer does not meet faults that keep planners from asking the worker.
		return
	}
	domain := s.Worker(alive[s.random.IntN(len(alive))]).Registration.FailureDomain
	ids := slices.DeleteFunc(alive, func(id string) bool { return s.Worker(id).Registration.FailureDomain != domain })
	s.logf("%s: faults of %d workers at once", domain, len(ids))
	if s.chance(2) {
		s.slowStore(s.between(10*time.Millisecond, 200*time.Millisecond), time.Second)
	}
	at := s.soon()
	kinds := choose(s.random, s.domainFaults, s.random.IntN(3))
	if !s.chance(4) {
		kinds = slices.Insert(kinds, 0, domainRestarts[s.random.IntN(len(domainRestarts))])
	}
	for _, kind := range kinds {
		jobs := s.random.IntN(2)
		s.after(max(0, at-100*time.Millisecond), func() {
			for range jobs {
				s.faultScenario.planJob(s.between(0, 150*time.Millisecond))
			}
		})
		s.after(at, func() {
			if len(s.foreign) == 0 {
				kind(s, ids)
			}
		})
		if s.chance(2) {
			at += s.between(0, 60*time.Millisecond)
		} else {
			at += s.soon()
		}
	}
	if !s.chance(4) {
		kind := domainSystemFaults[s.random.IntN(len(domainSystemFaults))]
		s.after(at, func() { unlessForeign(kind)(s) })
	}
}

// domainSystemFaults are faults of the planner and of the store that follow faults of a failure domain.
var domainSystemFaults = []func(s *mixedScenario){
	func(s *mixedScenario) { stopPlanner(s.faultScenario) },
	terminatePlanner, pausePlanner,
	func(s *mixedScenario) { storeOutage(s.faultScenario) },
}

// terminatePlanner ends the process of a planner, which ends its term, so that the next planner comes at once.
func terminatePlanner(s *mixedScenario) {
	n := s.planner()
	n.endsTerm.Store(true)
	stopPlanner(s.faultScenario)
	n.endsTerm.Store(false)
}

// eachOf lets a fault of each worker begin, within milliseconds or seconds.
func (s *mixedScenario) eachOf(ids []string, kind faultKind) {
	spread := []time.Duration{time.Millisecond * 2, 50 * time.Millisecond, 2 * time.Second}[s.random.IntN(3)]
	for _, id := range ids {
		s.after(s.between(0, spread), func() {
			if !s.Worker(id).Replaced {
				kind(s.faultScenario, id)
			}
		})
	}
}

// lastingForDomain returns a fault that all workers have for the same time.
func lastingForDomain(name string, most time.Duration, begin func(s *mixedScenario, w *site.Worker), end func(w *site.Worker)) domainFault {
	return func(s *mixedScenario, ids []string) {
		d := s.between(100*time.Millisecond, most)
		s.logf("%v: %s for %s", ids, name, d)
		for _, id := range ids {
			s.Set(id, func(w *site.Worker) { begin(s, w) })
		}
		s.after(d, func() {
			s.logf("%v: %s ends", ids, name)
			for _, id := range ids {
				s.Set(id, end)
			}
		})
	}
}

// restartDomain restarts all workers, at times twice. Their registrations reach the store at once, within a heartbeat or seconds later.
func restartDomain(s *mixedScenario, ids []string) {
	kind := s.restartKind()
	s.eachOf(ids, kind)
	if s.chance(3) {
		s.after(s.between(time.Millisecond, time.Second), func() { s.eachOf(ids, kind) })
	}
}

// powerOffDomain ends all workers, so that calls in flight get no answer, and restarts them.
func powerOffDomain(s *mixedScenario, ids []string) {
	d := s.between(5*time.Millisecond, []time.Duration{200 * time.Millisecond, 6 * time.Second}[s.random.IntN(2)])
	kind, unlisted := s.restartKind(), s.chance(2)
	s.logf("%v: power is off for %s, entries are removed %t", ids, d, unlisted)
	for _, id := range ids {
		s.Set(id, func(w *site.Worker) { w.Dead = true })
		if unlisted {
			s.Deregister(s.Worker(id))
		}
	}
	s.after(d, func() { s.eachOf(ids, kind) })
}

// restartKind returns a restart of a worker with a way in which planners learn of it. The worker can still be out of reach.
func (s *mixedScenario) restartKind() faultKind {
	entry := []time.Duration{30 * time.Millisecond, heartbeat, 6 * time.Second}[s.random.IntN(3)]
	return func(_ *faultScenario, id string) {
		after := s.between(0, entry)
		s.logf("%s: restart, registers after %s", id, after)
		s.Set(id, func(w *site.Worker) {
			silent := w.Silent
			w.Restart()
			w.Registration.Draining, w.Registration.DrainRemaining, w.Silent = false, 0, silent
		})
		s.after(after, func() { s.registerNow(id) })
	}
}
