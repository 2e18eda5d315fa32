package engine_test

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"clementinepier/engine"
	"clementinepier/standin/site"
	"clementinepier/workload"
)

const (
	// mixedSeeds is the number of seeds of the mixed faults; each takes about a second of processor time.
	mixedSeeds = 40
	// mixedRounds is the number of rounds of faults and jobs that a seed of the mixed faults plays.
	mixedRounds = 14
	// minAliveWorkers is the number of workers that jobs need, minAliveWorkersLarge that of a large seed.
	minAliveWorkers, minAliveWorkersLarge = 4, 10
	// foreignEntryMargin is how long after a worker's own entry planners have certainly dealt with a foreign one before it.
	foreignEntryMargin = 2 * time.Second
)

// Guards against faults that only show when kinds of jobs and of faults meet that other tests play one by one: several steps, repeated,
// lasting and failing jobs and checkpoints, next to late and lost calls, draining, foreign and missing entries, changes of the planner,
// outages of the store and evacuations, and faults of whole failure domains. With -faults-first and -faults-seeds it plays other seeds.
func TestRandomMixedFaults(t *testing.T) {
	for seed := range faultSeeds(mixedSeeds) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			t.Parallel()
			runInVirtualTime(t, func(r *rig) { newMixedScenario(r, seed).run() })
		})
	}
}

// mixedScenario plays random jobs and faults of all kinds.
type mixedScenario struct {
	*faultScenario
	// faults are the kinds of faults of workers that this seed plays, systemFaults those of the store, the planners and the operator.
	faults       []mixedFault
	systemFaults []func(s *mixedScenario)
	// domainFaults are the kinds of faults of all workers of a failure domain at once that this seed plays; none if it plays none.
	domainFaults []domainFault
	// dense is set if this seed plays more faults and jobs at once, and large if it has more workers and larger gangs.
	dense, large bool
	// wide is set if this seed plays wide jobs of which many runs fail.
	wide bool
	// foreign has the workers whose entries may be of another writer.
	foreign map[string]bool

	mu sync.Mutex
	// evacuatedSince holds since when domains are evacuated.
	evacuatedSince map[string]time.Time
}

// mixedFault is a kind of fault of a worker.
type mixedFault struct {
	begin func(s *mixedScenario, id string)
	// blocksPolls is set if the worker cannot be polled meanwhile. Such a fault does not meet a foreign entry of the worker.
	blocksPolls bool
}

func newMixedScenario(r *rig, seed uint64) *mixedScenario {
	s := &mixedScenario{faultScenario: newFaultScenario(r, seed), foreign: map[string]bool{}, evacuatedSince: map[string]time.Time{}}
	r.DrainBound, r.EvacuateBound, r.CancelBound = 5*time.Second, 2*time.Second, 3*time.Second
	r.Evacuated = func(domain string) bool { return !s.evacuationOf(domain).IsZero() }
	r.EvacuatedSince = s.evacuationOf
	r.changedConf.Store(r.conf)
	r.wrapWorkers = func(w engine.Workers) engine.Workers { return otherServers(w, isOtherAddress) }
	r.onConfiguration = func(name string) {
		node, _, _ := strings.Cut(name, "-")
		for _, n := range s.nodes {
			if n.name == node {
				n.sleepWhilePaused()
			}
		}
	}
	s.dense, s.large = s.chance(3), s.chance(4)
	s.faults = choose(s.random, mixedFaults, 3+s.random.IntN(5))
	s.systemFaults = choose(s.random, mixedSystemFaults, 2+s.random.IntN(4))
	if !s.chance(4) {
		s.domainFaults = choose(s.random, domainFaults, 2+s.random.IntN(3))
	}
	s.addRack(2)
	if s.large {
		s.addRack(10)
	}
	s.wide = s.chance(2)
	return s
}

func (s *mixedScenario) evacuationOf(domain string) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.evacuatedSince[domain]
}

func (s *mixedScenario) run() {
	for i := range 2 + s.random.IntN(2) {
		s.nodes = append(s.nodes, &node{rig: s.rig, name: fmt.Sprintf("n%d", i)})
	}
	for _, n := range s.nodes {
		n.start()
	}
	if s.chance(2) {
		s.heartbeat()
	}
	defer s.judgeWaiting()()
	s.pass(2 * time.Second)
	rounds, longest := mixedRounds, 9*time.Second
	if s.dense {
		rounds, longest = 2*mixedRounds, 3*time.Second
	}
	for range rounds {
		s.planRound()
		s.pass(s.between(100*time.Millisecond, longest))
		if s.chance(7) {
			s.heal()
			if s.wide {
				s.planWideJob(s.between(0, 3*time.Second))
				s.planJob(s.between(0, 3*time.Second))
			}
			s.pass(s.between(time.Second, 40*time.Second))
		}
	}
	s.heal()
	if s.wide {
		for range 2 {
			s.planWideJob(s.between(0, 3*time.Second))
			s.planJob(s.between(0, 3*time.Second))
		}
	}
	s.judge()
}

// planRound plans a moment at which jobs and faults meet.
func (s *mixedScenario) planRound() {
	spread := s.between(10*time.Millisecond, 3*time.Second)
	jobs := 1 + s.random.IntN(4)
	if s.dense {
		// There are twice as many rounds.
		jobs = (jobs + 1) / 2
	}
	if len(s.domainFaults) > 0 && !s.chance(3) {
		// These come with jobs.
		jobs = (jobs + 1) / 2
		s.after(s.between(0, spread), s.playDomainFaults)
	}
	for range jobs {
		s.planJob(s.between(0, spread))
	}
	if s.wide && s.chance(2) {
		s.planWideJob(s.between(0, spread))
	}
	targets := s.aliveWorkers()
	if !s.chance(3) {
		targets = choose(s.random, targets, 1+s.random.IntN(1+len(targets)/2))
	}
	most := 4
	if s.dense {
		most = 7
	}
	for _, id := range targets {
		for range 1 + s.random.IntN(most) {
			fault, after := s.faults[s.random.IntN(len(s.faults))], s.between(0, spread)
			if s.chance(2) {
				after = s.soon()
			}
			s.after(after, func() {
				if !fault.blocksPolls || !s.foreign[id] {
					fault.begin(s, id)
				}
			})
		}
	}
	for range s.random.IntN(3) {
		kind := s.systemFaults[s.random.IntN(len(s.systemFaults))]
		s.after(s.between(0, spread), func() { kind(s) })
	}
	s.addMissingWorkers()
}

// addMissingWorkers adds workers if the others are too few for the jobs.
func (s *mixedScenario) addMissingWorkers() {
	least := minAliveWorkers
	if s.large {
		least = minAliveWorkersLarge
	}
	for len(s.aliveWorkers()) < least {
		s.addRack(2)
	}
}

// heartbeat lets the workers write their registrations from time to time.
func (s *mixedScenario) heartbeat() {
	alive := s.aliveWorkers()
	if len(alive) == 0 {
		// All have left; the next round adds some.
		s.plan(event{at: time.Now().Add(heartbeat), submits: true, do: s.heartbeat})
		return
	}
	if id := alive[s.random.IntN(len(alive))]; !s.Worker(id).Silent {
		s.registerNow(id)
	}
	s.plan(event{at: time.Now().Add(heartbeat / time.Duration(len(alive))), submits: true, do: s.heartbeat})
}

// planJob plans the submission of a job.
func (s *mixedScenario) planJob(after time.Duration) {
	j := &submittedJob{
		id: fmt.Sprintf("j%d", len(s.jobs)), cancels: s.chance(6), givesUp: s.chance(4), repeats: s.chance(4), cancelWithin: 10 * time.Second,
	}
	profile := site.JobProfile{}
	j.job = newJob(j.id, s.random.IntN(3), workload.Step{})
	j.job.Steps, j.job.MaxAttempts = nil, 0
	for i := range []int{1, 1, 2, 2, 3}[s.random.IntN(5)] {
		step := s.randomStep()
		if i > 0 && !s.chance(4) {
			step.After = []int{s.random.IntN(i)}
		}
		j.job.Steps = append(j.job.Steps, step)
		work := s.between(100*time.Millisecond, 4*time.Second)
		if s.chance(3) {
			work = s.between(4*time.Second, 25*time.Second)
		}
		profile.Work = append(profile.Work, work)
	}
	switch s.random.IntN(8) {
	case 0, 1:
		j.job.Repeat, j.job.Interval = 2+s.random.IntN(3), s.between(200*time.Millisecond, 5*time.Second)
		j.job.FirstRun = time.Now().Add(after + s.between(0, 4*time.Second))
	case 2:
		profile.Failures = 1
		j.job.MaxAttempts = []int{0, 3}[s.random.IntN(2)]
	case 3:
		profile.Failures = s.random.IntN(4)
		j.job.MaxAttempts = 1 + s.random.IntN(3)
	case 4:
		step := lastingStep(1 + s.random.IntN(2))
		j.job.Steps, profile.Work = []workload.Step{step}, []time.Duration{s.between(time.Second, 40*time.Second)}
		j.cancels, j.cancelWithin = true, s.between(5*time.Second, time.Minute)
	}
	profile.Job = j.job
	s.SetJobProfile(profile)
	s.jobs = append(s.jobs, j)
	s.planSubmission(j, after)
}

// planWideJob plans the submission of a job of many tasks, of which many or all fail midway or at the end, some as often as the job allows.
func (s *mixedScenario) planWideJob(after time.Duration) {
	j := &submittedJob{id: fmt.Sprintf("j%d", len(s.jobs)), cancels: s.chance(6), repeats: s.chance(4), cancelWithin: 10 * time.Second}
	step := singleTaskStep(int64(s.random.IntN(2)))
	step.Tasks = 8 + s.random.IntN(17)
	j.job = newJob(j.id, 1+s.random.IntN(2), step)
	j.job.MaxAttempts = 2 + s.random.IntN(3)
	profile := site.JobProfile{Job: j.job, Work: []time.Duration{s.between(200*time.Millisecond, 8*time.Second)}, MidwayFailures: map[string]site.MidwayFailures{}}
	if s.chance(3) {
		profile.Failures = 1 + s.random.IntN(j.job.MaxAttempts)
	} else {
		always := s.chance(3)
		for i := range step.Tasks {
			if s.chance(4) {
				continue
			}
			task := workload.TaskID{Job: j.id, Index: i}.String()
			profile.MidwayFailures[task] = site.MidwayFailures{Percents: []int{20 + s.random.IntN(70), 20 + s.random.IntN(70)}[:1+s.random.IntN(2)], Always: always}
		}
	}
	s.SetJobProfile(profile)
	s.jobs = append(s.jobs, j)
	s.planSubmission(j, after)
}

func (s *mixedScenario) randomStep() workload.Step {
	accelerators := []int64{0, 1, 2, 4, 8}[s.random.IntN(5)]
	if s.large {
		// The tasks are twice as many.
		accelerators /= 2
	}
	step := singleTaskStep(accelerators)
	step.Tasks = 1 + s.random.IntN(3)
	if s.chance(2) {
		step = gangStep(1+s.random.IntN(3), accelerators)
	}
	if s.large {
		step.Tasks *= 2
	}
	step.Checkpoints, step.SameRack = s.chance(3), s.chance(6)
	if step.Tasks <= 2 && s.chance(4) {
		step.MaxTasksPerWorker = 1
	}
	return step
}

// heal ends all faults. Workers that drain leave.
func (s *mixedScenario) heal() {
	for _, id := range s.aliveWorkers() {
		s.Set(id, func(w *site.Worker) {
			w.Replaced = w.Registration.Draining
			w.LoseAnswers, w.AnswerDelays, w.Misdirected = false, nil, false
		})
	}
	for _, n := range s.nodes {
		n.storeDelay.Store(0)
		n.pausedUntil.Store(0)
	}
	s.setEvacuated("", false)
	clear(s.foreign)
	s.faultScenario.heal()
	s.addMissingWorkers()
}

// setEvacuated evacuates a failure domain, or ends all evacuations.
func (s *mixedScenario) setEvacuated(domain string, evacuated bool) {
	conf := *s.changedConf.Load()
	conf.Evacuated = map[string]bool{}
	s.mu.Lock()
	clear(s.evacuatedSince)
	if evacuated {
		conf.Evacuated[domain] = true
		s.evacuatedSince[domain] = time.Now()
	}
	s.mu.Unlock()
	conf.Version++
	s.changedConf.Store(conf.Index())
}

// fault returns a mixed fault that begins with a fault of late and lost calls.
func fault(kind faultKind, blocksPolls bool) mixedFault {
	return mixedFault{begin: func(s *mixedScenario, id string) { kind(s.faultScenario, id) }, blocksPolls: blocksPolls}
}

func faultsOf(kinds []faultKind, blocksPolls bool) []mixedFault {
	var found []mixedFault
	for _, kind := range kinds {
		found = append(found, fault(kind, blocksPolls))
	}
	return found
}

// mixedFaults are the faults of workers.
var mixedFaults = slices.Concat(
	faultsOf(startFaults, false),
	faultsOf(pollFaults, true),
	faultsOf(callFaults[len(startFaults)+len(pollFaults):], false),
	faultsOf([]faultKind{
		lossFaults[0], cutOff, crash, replace, restartBehindCut,
		lasting("lost answers", 200*time.Millisecond, 9*time.Second,
			func(_ *faultScenario, w *site.Worker) { w.LoseAnswers = true }, func(w *site.Worker) { w.LoseAnswers = false }),
		lasting("answers that overtake each other", 500*time.Millisecond, 9*time.Second,
			func(s *faultScenario, w *site.Worker) {
				for range 5 {
					w.AnswerDelays = append(w.AnswerDelays, s.between(0, []time.Duration{100 * time.Millisecond, 500 * time.Millisecond, 2 * time.Second}[s.random.IntN(3)]))
				}
			},
			func(w *site.Worker) { w.AnswerDelays = nil }),
		misdirect,
	}, true),
	faultsOf([]faultKind{
		restart, restart, restartSilently, failRuns, removeEntry, lateEntry,
		lasting("slow stops", time.Second, 12*time.Second,
			func(s *faultScenario, w *site.Worker) { w.StopTime = s.between(10*time.Millisecond, stopGrace) }, func(w *site.Worker) { w.StopTime = 0 }),
	}, false),
	[]mixedFault{{begin: drain}, {begin: drain}, {begin: replaceEntry}, {begin: replaceEntry}},
)

// misdirect lets another server refuse the calls to a worker, or to all of its failure domain.
func misdirect(s *faultScenario, id string) {
	d, whole, domain := s.between(50*time.Millisecond, 6*time.Second), s.chance(2), s.Worker(id).Registration.FailureDomain
	s.logf("%s: another server refuses its calls for %s, those of its domain %t", id, d, whole)
	for _, other := range s.IDs() {
		if other == id || whole && s.Worker(other).Registration.FailureDomain == domain {
			s.Set(other, func(w *site.Worker) { w.Misdirected = true })
			s.after(d, func() { s.Set(other, func(w *site.Worker) { w.Misdirected = false }) })
		}
	}
}

// restartBehindCut restarts a worker that cannot be reached; its registration may reach the store.
func restartBehindCut(s *faultScenario, id string) {
	cutOff(s, id)
	listed := s.chance(2)
	s.after(s.soon(), func() {
		s.logf("%s: restart behind the cut, listed %t", id, listed)
		s.Set(id, func(w *site.Worker) {
			if w.Replaced {
				return
			}
			silent := w.Silent
			w.Restart()
			w.Registration.Draining, w.Registration.DrainRemaining, w.Silent = false, 0, silent
		})
		if listed {
			s.registerSoon(id)
		}
	})
}

// restartSilently restarts a worker that writes its registration seconds later.
func restartSilently(s *faultScenario, id string) {
	s.logf("%s: silent restart", id)
	s.Set(id, func(w *site.Worker) {
		if !w.Replaced {
			w.Restart()
			w.Registration.Draining, w.Registration.DrainRemaining = false, 0
		}
	})
	s.after(s.between(time.Second, 6*time.Second), func() { s.registerNow(id) })
}

// removeEntry removes the registration of a worker for a while.
func removeEntry(s *faultScenario, id string) {
	d := s.between(50*time.Millisecond, 6*time.Second)
	s.logf("%s: entry is removed for %s", id, d)
	s.Deregister(s.Worker(id))
	s.after(d, func() { s.registerNow(id) })
}

// lateEntry writes the present registration of a worker later, when it may be outdated.
func lateEntry(s *faultScenario, id string) {
	entry, d := s.EncodeRegistration(s.Worker(id).Registration), s.between(100*time.Millisecond, 4*time.Second)
	s.after(d, func() {
		if s.Worker(id).Replaced || s.storeSilent {
			return
		}
		s.logf("%s: entry of %s ago is written", id, d)
		s.Store.Write(site.RegistrationPrefix+id, entry)
		s.registerSoon(id)
	})
}

// drain lets a worker drain and leave, after which it may come back.
func drain(s *mixedScenario, id string) {
	w := s.Worker(id)
	if w.Dead || w.Replaced || w.Registration.Draining {
		return
	}
	left := s.between(time.Second, 8*time.Second)
	exit, comesBack, incarnation := left+s.between(0, 5*time.Second), s.chance(2), w.Registration.Incarnation
	s.logf("%s: drains for %s", id, exit)
	s.Set(id, func(w *site.Worker) { w.StartDraining(left) })
	s.registerNow(id)
	s.after(exit, func() {
		if w.Dead || w.Replaced || w.Registration.Incarnation != incarnation {
			return
		}
		if comesBack {
			crash(s.faultScenario, id)
		} else {
			leave(s.faultScenario, id)
		}
		s.after(s.between(0, 3*time.Second), func() {
			if len(s.aliveWorkers()) < maxAliveWorkers {
				s.addRack(1)
			}
		})
	})
	for passed := 500 * time.Millisecond; passed < exit; passed += 500 * time.Millisecond {
		s.after(passed, func() {
			s.Set(id, func(w *site.Worker) {
				if w.Registration.Incarnation == incarnation {
					w.Registration.DrainRemaining = max(0, left-passed)
				}
			})
		})
	}
}

// replaceEntry writes an entry of another writer over that of a worker that can be polled until planners have dealt with it.
func replaceEntry(s *mixedScenario, id string) {
	w := s.Worker(id)
	blocked := w.Silent || w.Dead || w.Replaced || w.Misdirected || w.LosePolls || w.PollDelay > 0 || w.LoseAnswers || len(w.AnswerDelays) > 0
	for _, n := range s.nodes {
		blocked = blocked || n.cutFromStore.Load() || n.cutFromWorkers.Load() || time.Now().UnixNano() < n.pausedUntil.Load()
	}
	if blocked || s.storeSilent || s.foreign[id] {
		return
	}
	entry := foreignEntry(s.random, w.Registration, func(entry engine.Registration) []byte {
		value, err := json.Marshal(entry)
		s.NoErr(err)
		return value
	})
	s.logf("%s: foreign entry %s", id, entry)
	s.foreign[id] = true
	s.Store.Write(site.RegistrationPrefix+id, entry)
	s.after(s.between(10*time.Millisecond, heartbeat), func() {
		s.registerNow(id)
		s.after(foreignEntryMargin, func() { delete(s.foreign, id) })
	})
}

// unlessForeign returns a fault that does not meet foreign entries.
func unlessForeign(kind func(s *mixedScenario)) func(s *mixedScenario) {
	return func(s *mixedScenario) {
		if len(s.foreign) == 0 {
			kind(s)
		}
	}
}

func systemFault(kind func(s *faultScenario)) func(s *mixedScenario) {
	return unlessForeign(func(s *mixedScenario) { kind(s.faultScenario) })
}

// mixedSystemFaults are faults of the store and of planners, and evacuations.
var mixedSystemFaults = []func(s *mixedScenario){
	systemFault(storeOutage), systemFault(storeOutage),
	systemFault(systemFaults[2]), systemFault(systemFaults[3]),
	func(s *mixedScenario) { stopPlanner(s.faultScenario) }, func(s *mixedScenario) { stopPlanner(s.faultScenario) },
	systemFault(systemFaults[6]), systemFault(systemFaults[7]),
	func(s *mixedScenario) {
		n, d, delay := s.planner(), s.between(200*time.Millisecond, 5*time.Second), s.between(50*time.Millisecond, 5*time.Second)
		s.logf("%s: commits are late by %s for %s", n.name, delay, d)
		n.commitDelay.Store(int64(delay))
		n.lateCommits.Store(true)
		s.after(d, func() { n.lateCommits.Store(false) })
	},
	func(s *mixedScenario) {
		s.slowStore(s.between(20*time.Millisecond, 500*time.Millisecond), s.between(500*time.Millisecond, 6*time.Second))
	},
	unlessForeign(pausePlanner), unlessForeign(pausePlanner),
	func(s *mixedScenario) {
		alive := s.aliveWorkers()
		domain, d := s.Worker(alive[s.random.IntN(len(alive))]).Registration.FailureDomain, s.between(500*time.Millisecond, 12*time.Second)
		s.logf("%s: evacuated for %s", domain, d)
		s.setEvacuated(domain, true)
		s.after(d, func() { s.setEvacuated(domain, false) })
	},
}

// slowStore makes calls to the store take longer for a while.
func (s *mixedScenario) slowStore(delay, d time.Duration) {
	s.logf("store is slow by %s for %s", delay, d)
	for _, n := range s.nodes {
		n.storeDelay.Store(int64(delay))
		s.after(d, func() { n.storeDelay.Store(0) })
	}
}

// pausePlanner lets a planner's process stand still.
func pausePlanner(s *mixedScenario) {
	n, d := s.planner(), s.between(100*time.Millisecond, 9*time.Second)
	s.logf("%s: stands still for %s", n.name, d)
	n.pausedUntil.Store(time.Now().Add(d).UnixNano())
}
