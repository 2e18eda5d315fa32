package engine_test

import (
	"cmp"
	"context"
	"flag"
	"fmt"
	"iter"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"clementinepier/engine"
	"clementinepier/standin/site"
	"clementinepier/workload"
)

var (
	faultsFirst     = flag.Uint64("faults-first", 1, "first seed of the random faults")
	faultsSeeds     = flag.Int("faults-seeds", 0, "number of seeds of the random faults; 0 means that of the test")
	judgeWaiting    = flag.Bool("judge-waiting", true, "judge jobs that wait beside idle workers in the random faults")
	judgeLostRuns   = flag.Bool("judge-lost-runs", false, "judge them also after their runs were lost; see KNOWN-RED.txt")
	keepsLateOrders = flag.Bool("keeps-late-orders", false, "let restarted workers carry out late orders in the random faults; see KNOWN-RED.txt")
)

const (
	// faultRounds is the number of rounds of faults and jobs that a seed plays.
	faultRounds = 12
	// recoveryLimit is how long jobs may take after all faults have ended.
	recoveryLimit = 4 * time.Minute
	// restingWorkers is the number of workers to which the site returns when they rest.
	restingWorkers = 5
	// maxAliveWorkers is the number of workers from which no more join.
	maxAliveWorkers = 8
	// heartbeat is how soon a worker that restarts writes its registration, if it reaches the store.
	heartbeat = time.Second
	// registrationTTL is after which silence of a worker the platform removes its registration.
	registrationTTL = 1500 * time.Millisecond
)

// Guards against runs that are declared ended although they may still begin or go on: calls to workers that are late or lost,
// slow clocks, restarts, isolated gang members and limited lists of ends, at close moments, next to planner changes and outages of
// the store, while callers ask for states. Each seed plays some of the kinds of faults only, so that they meet more often.
// With -faults-first and -faults-seeds it plays other seeds. The planner's decisions depend on the order of its maps, so a seed that
// failed may have to be played several times.
func TestRandomLateAndLostCalls(t *testing.T) {
	for seed := range faultSeeds(randomSeeds) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			t.Parallel()
			runInVirtualTime(t, func(r *rig) { newFaultScenario(r, seed).run() })
		})
	}
}

// faultSeeds returns the seeds of a test of random faults, which plays n seeds unless flags tell otherwise.
func faultSeeds(n int) iter.Seq[uint64] {
	return func(yield func(uint64) bool) {
		for i := range uint64(max(0, cmp.Or(*faultsSeeds, n))) {
			if !yield(*faultsFirst + i) {
				return
			}
		}
	}
}

// faultScenario plays random faults at random times. Everything but the callers and the planners runs on one goroutine. What it plays
// and when does not depend on their results, except for which node is the planner that a fault hits.
type faultScenario struct {
	*rig
	seed   uint64
	random *rand.Rand
	// slowClocks is set if clocks of workers may be slow.
	slowClocks bool
	// events are the planned events, the earliest first.
	events []event
	// odds has how often, of ten times, this seed plays each of callFaults on a worker. lossFaults are those that it plays.
	odds       []int
	lossFaults []faultKind
	nodes      []*node
	racks      int
	// storeSilent is set while the store is silent.
	storeSilent bool
	jobs        []*submittedJob
	callers     sync.WaitGroup
	// onRound and beforeJudge, if set, are called when a round was planned, and before the jobs are judged.
	onRound, beforeJudge func()
	// over is closed once the callers have to give up.
	over chan struct{}
}

type event struct {
	at time.Time
	do func()
	// submits is set if the event is no fault, and happens even if faults end.
	submits bool
}

// faultKind is a kind of fault of a worker, which begins with a call of the function.
type faultKind func(s *faultScenario, id string)

// submittedJob is a job of a caller. The caller's goroutine writes its fields until it has ended.
type submittedJob struct {
	id string
	// job is what the caller submits.
	job workload.Job
	// cancels and givesUp are what the caller wants: to cancel the job later, or to submit it no further after the first answer that it
	// was not accepted. repeats is set if it submits the job again after it was accepted.
	cancels, givesUp, repeats bool
	// cancelWithin is the latest time of a cancel after the job was accepted.
	cancelWithin time.Duration
	// accepted is set once the caller knows that the job is stored; maybeStored once it may be.
	accepted, maybeStored bool
	final                 workload.State
	last                  engine.Result
}

func newFaultScenario(r *rig, seed uint64) *faultScenario {
	s := &faultScenario{rig: r, seed: seed, random: rand.New(rand.NewPCG(seed, 2)), slowClocks: seed%4 != 2, over: make(chan struct{})}
	r.storeEntries()
	r.JudgeLostRuns = *judgeLostRuns
	if seed%4 == 0 {
		r.MaxListedEnds = 1 + s.random.IntN(3)
	}
	for range callFaults {
		s.odds = append(s.odds, []int{0, 0, 2, 6}[s.random.IntN(4)])
	}
	s.lossFaults = choose(s.random, lossFaults, 1+s.random.IntN(3))
	for range 2 {
		s.addRack(1 + s.random.IntN(2))
	}
	return s
}

// choose returns n random items.
func choose[T any](random *rand.Rand, items []T, n int) []T {
	items = slices.Clone(items)
	random.Shuffle(len(items), func(i, j int) { items[i], items[j] = items[j], items[i] })
	return items[:min(n, len(items))]
}

// chance returns true once in n times on average.
func (s *faultScenario) chance(n int) bool { return s.random.IntN(n) == 0 }

// between returns a random duration.
func (s *faultScenario) between(least, most time.Duration) time.Duration {
	return least + time.Duration(s.random.Int64N(int64(most-least)/int64(time.Millisecond)))*time.Millisecond
}

// soon returns a random duration of up to 3 s, mostly a short one.
func (s *faultScenario) soon() time.Duration {
	return time.Duration(float64(5*time.Millisecond) * math.Pow(600, s.random.Float64()))
}

// logf logs what the scenario does, with the virtual time.
func (s *faultScenario) logf(format string, args ...any) {
	s.t.Logf("%s %s", time.Now().Format("05.000"), fmt.Sprintf(format, args...))
}

// after plans a part of a fault.
func (s *faultScenario) after(d time.Duration, do func()) {
	s.plan(event{at: time.Now().Add(d), do: do})
}

func (s *faultScenario) plan(e event) {
	s.events = append(s.events, e)
	slices.SortStableFunc(s.events, func(a, b event) int { return a.at.Compare(b.at) })
}

// pass lets time pass, with the events that come due.
func (s *faultScenario) pass(d time.Duration) {
	end := time.Now().Add(d)
	for len(s.events) > 0 && !s.events[0].at.After(end) {
		e := s.events[0]
		s.events = s.events[1:]
		time.Sleep(time.Until(e.at))
		if !e.submits {
			s.RecordDisruption()
		}
		e.do()
	}
	time.Sleep(time.Until(end))
}

func (s *faultScenario) run() {
	for i := range 2 {
		n := &node{rig: s.rig, name: fmt.Sprintf("n%d", i)}
		s.nodes = append(s.nodes, n)
		n.start()
	}
	defer s.judgeWaiting()()
	s.pass(2 * time.Second)
	for range faultRounds {
		rested := s.chance(4)
		if rested {
			// The workers rest, and the planner does not read their clocks.
			s.heal()
			for _, id := range s.aliveWorkers()[min(restingWorkers, len(s.aliveWorkers())):] {
				leave(s, id)
			}
			s.pass(s.between(50*time.Second, 150*time.Second))
		}
		s.planRound(rested)
		if s.onRound != nil {
			s.onRound()
		}
		least := 500 * time.Millisecond
		if rested {
			least = 5 * time.Second
		}
		s.pass(s.between(least, 12*time.Second))
	}
	s.heal()
	if s.beforeJudge != nil {
		s.beforeJudge()
	}
	s.judge()
}

// planRound plans a moment at which several faults and jobs meet. After a rest, faults are more frequent, but not all workers have
// them.
func (s *faultScenario) planRound(rested bool) {
	alive := s.aliveWorkers()
	targets, more := alive, 0
	switch {
	case rested:
		// The first workers get work first.
		targets, more = alive[:1+s.random.IntN(max(1, len(alive)-2))], 3
	case s.chance(2):
		targets = choose(s.random, alive, 1+s.random.IntN(3))
	}
	spread := s.between(10*time.Millisecond, 3*time.Second)
	for _, id := range targets {
		for i, fault := range callFaults {
			if s.odds[i] > 0 && s.random.IntN(10) < s.odds[i]+more {
				s.planFault(fault, id, 0)
			}
		}
		for range s.random.IntN(3) {
			// Orders may be under way by then.
			s.planFault(s.lossFaults[s.random.IntN(len(s.lossFaults))], id, s.soon())
		}
		if rested && !s.chance(3) {
			// The first orders are under way by then, and the planner has not heard of them.
			s.planFault(startFaults[s.random.IntN(len(startFaults))], id, 0)
			s.planFault(pollFaults[s.random.IntN(len(pollFaults))], id, 0)
			s.planFault(cutOff, id, 25*time.Millisecond+s.soon())
		}
		if i := s.random.IntN(len(callFaults)); s.odds[i] > 0 {
			s.planFault(callFaults[i], id, s.soon())
		}
	}
	jobSpread := 20 * time.Millisecond
	if !rested && s.chance(3) {
		jobSpread = spread
	}
	for range 1 + s.random.IntN(3) {
		s.planJob(s.between(0, jobSpread))
	}
	if len(alive) < maxAliveWorkers && (rested || s.chance(2)) {
		s.after(s.between(20*time.Millisecond, 3*time.Second), func() { s.addRack(1 + s.random.IntN(2)) })
	}
	if s.chance(3 + more) {
		s.planSystemFault(spread)
	}
	if s.chance(3 + more) {
		s.planSystemFault(spread + 8*time.Second)
	}
}

// planFault plans a fault of a worker.
func (s *faultScenario) planFault(kind faultKind, id string, after time.Duration) {
	s.after(after, func() { kind(s, id) })
}

// planSystemFault plans a random fault of the store or the planner.
func (s *faultScenario) planSystemFault(latest time.Duration) {
	kind := systemFaults[s.random.IntN(len(systemFaults))]
	s.after(s.between(0, latest), func() { kind(s) })
}

// planJob plans the submission of a job.
func (s *faultScenario) planJob(after time.Duration) {
	j := &submittedJob{id: fmt.Sprintf("j%d", len(s.jobs)), cancels: s.chance(8), givesUp: s.chance(4), cancelWithin: 8 * time.Second}
	accelerators := []int64{0, 1, 2, 4, 8}[s.random.IntN(5)]
	step := singleTaskStep(accelerators)
	step.Tasks = 1 + s.random.IntN(3)
	if s.chance(2) {
		step = gangStep(1+s.random.IntN(3), accelerators)
	}
	s.jobs = append(s.jobs, j)
	work := s.between(200*time.Millisecond, 9*time.Second)
	if s.chance(2) {
		// Longer than a lease.
		work = s.between(9*time.Second, 30*time.Second)
	}
	s.SetTaskProfile(j.id, step, work)
	j.job = newJob(j.id, s.random.IntN(3), step)
	j.job.MaxAttempts = 0
	s.planSubmission(j, after)
}

// planSubmission plans the submission of the last of the jobs by a caller.
func (s *faultScenario) planSubmission(j *submittedJob, after time.Duration) {
	number := uint64(len(s.jobs))
	s.plan(event{at: time.Now().Add(after), submits: true, do: func() {
		for i, step := range j.job.Steps {
			s.logf("submit %s step %d: %d tasks of %d, gang %t", j.id, i, step.Tasks, step.Need.Accelerators, step.Gang)
		}
		s.callers.Go(func() {
			c := &caller{submittedJob: j, scenario: s, random: rand.New(rand.NewPCG(s.seed, 1000+number))}
			c.run()
		})
	}})
}

// judgeWaiting judges the jobs that wait until the returned function is called.
func (s *faultScenario) judgeWaiting() func() {
	if !*judgeWaiting && !*judgeLostRuns {
		return func() {}
	}
	return s.watchWaiting()
}

// heal ends all faults.
func (s *faultScenario) heal() {
	s.logf("heal")
	s.RecordDisruption()
	s.events = slices.DeleteFunc(s.events, func(e event) bool { return !e.submits })
	s.Store.SetLoseWrites(false)
	s.Store.SetRefusing(false)
	s.Store.SetSilent(false)
	s.storeSilent = false
	for _, n := range s.nodes {
		n.start()
		n.cutFromStore.Store(false)
		n.cutFromWorkers.Store(false)
		n.lateCommits.Store(false)
	}
	for _, id := range s.IDs() {
		s.Set(id, func(w *site.Worker) {
			if w.Replaced {
				s.Deregister(w)
				return
			}
			if w.Dead {
				w.Restart()
			}
			w.Silent, w.Isolated, w.LoseStarts, w.LosePolls, w.DropStops, w.Unhealthy, w.Fails, w.Stalled = false, false, false, false, false, false, false, false
			w.StartDelay, w.StopDelay, w.PollDelay = 0, 0, 0
			s.Register(w)
		})
	}
}

// judge waits for the jobs to end after the last fault and checks what callers were told.
func (s *faultScenario) judge() {
	// Jobs that are planned still are submitted first.
	s.pass(3 * time.Second)
	ended := make(chan struct{})
	go func() { s.callers.Wait(); close(ended) }()
	select {
	case <-ended:
	case <-time.After(recoveryLimit):
	}
	close(s.over)
	<-ended
	s.RecordDisruption()
	for _, n := range s.nodes {
		n.stop()
	}
	for _, j := range s.jobs {
		switch {
		case j.accepted && j.final == "":
			s.t.Errorf("LOST: job %s has no final state after %s without faults; last result %+v", j.id, recoveryLimit, j.last)
		case !j.accepted && !j.givesUp:
			s.t.Errorf("job %s is not accepted after %s without faults; last result %+v", j.id, recoveryLimit, j.last)
		case !j.accepted && !j.maybeStored && s.Started(j.id):
			s.t.Errorf("REFUSED: job %s was started and its submission was rejected", j.id)
		case j.final == workload.StateCancelled && len(s.WorkersRunning(j.id)) > 0:
			s.t.Errorf("UNASKED: job %s is cancelled and runs", j.id)
		}
	}
}

// aliveWorkers returns the workers that were not replaced by others.
func (s *faultScenario) aliveWorkers() []string {
	return slices.DeleteFunc(s.IDs(), func(id string) bool { return s.Worker(id).Replaced })
}

// addRack adds workers, of which about half have a slow clock.
func (s *faultScenario) addRack(n int) {
	s.racks++
	rack := fmt.Sprintf("r%d", s.racks)
	s.AddWorkers(rack, n)
	for i := range n {
		s.Set(fmt.Sprintf("%s-w%d", rack, i), func(w *site.Worker) {
			w.KeepsLateOrders = *keepsLateOrders
			if s.slowClocks && !s.chance(4) {
				w.ClockRate = slowClock
			}
		})
	}
}

// lasting returns a fault that lasts for a random time.
func lasting(name string, least, most time.Duration, begin func(s *faultScenario, w *site.Worker), end func(w *site.Worker)) faultKind {
	return func(s *faultScenario, id string) {
		s.Set(id, func(w *site.Worker) { begin(s, w) })
		d := s.between(least, most)
		s.logf("%s: %s for %s", id, name, d)
		s.after(d, func() {
			s.logf("%s: %s ends", id, name)
			s.Set(id, end)
		})
	}
}

// callFaults change what becomes of calls to a worker and of its runs: calls that are executed seconds later or never, or whose
// response is lost; workers that are unhealthy, fail, stall or do not hear of other gang members.
var callFaults = slices.Concat(startFaults, pollFaults, []faultKind{
	lasting("late stops", 500*time.Millisecond, 8*time.Second,
		func(s *faultScenario, w *site.Worker) { w.StopDelay = s.between(100*time.Millisecond, 5*time.Second) },
		func(w *site.Worker) { w.StopDelay = 0 }),
	lasting("lost stops", 500*time.Millisecond, 9*time.Second,
		func(_ *faultScenario, w *site.Worker) { w.DropStops = true }, func(w *site.Worker) { w.DropStops = false }),
	lasting("unhealthy", 200*time.Millisecond, 6*time.Second,
		func(_ *faultScenario, w *site.Worker) { w.Unhealthy = true }, func(w *site.Worker) { w.Unhealthy = false }),
	lasting("fails", 100*time.Millisecond, 2*time.Second,
		func(_ *faultScenario, w *site.Worker) { w.Fails = true }, func(w *site.Worker) { w.Fails = false }),
	lasting("stalled", 500*time.Millisecond, 9*time.Second,
		func(_ *faultScenario, w *site.Worker) { w.Stalled = true }, func(w *site.Worker) { w.Stalled = false }),
	lasting("isolated", time.Second, 12*time.Second,
		func(_ *faultScenario, w *site.Worker) { w.Isolated = true }, func(w *site.Worker) { w.Isolated = false }),
})

var startFaults = []faultKind{
	lasting("late starts", 100*time.Millisecond, 4*time.Second,
		func(s *faultScenario, w *site.Worker) { w.StartDelay = s.between(100*time.Millisecond, 6*time.Second) },
		func(w *site.Worker) { w.StartDelay = 0 }),
	lasting("late starts of different delays", 100*time.Millisecond, 4*time.Second,
		func(s *faultScenario, w *site.Worker) {
			w.StartDelay = s.between(100*time.Millisecond, 13*time.Second)
			for range 3 {
				d := s.between(100*time.Millisecond, 13*time.Second)
				s.after(s.between(20*time.Millisecond, 700*time.Millisecond), func() {
					s.Set(w.Registration.ID, func(w *site.Worker) {
						if w.StartDelay > 0 {
							w.StartDelay = d
						}
					})
				})
			}
		},
		func(w *site.Worker) { w.StartDelay = 0 }),
	lasting("lost starts", 100*time.Millisecond, 4*time.Second,
		func(_ *faultScenario, w *site.Worker) { w.LoseStarts = true }, func(w *site.Worker) { w.LoseStarts = false }),
}

var pollFaults = []faultKind{
	lasting("late polls", 100*time.Millisecond, 6*time.Second,
		func(s *faultScenario, w *site.Worker) { w.PollDelay = s.between(100*time.Millisecond, 6*time.Second) },
		func(w *site.Worker) { w.PollDelay = 0 }),
	lasting("lost polls", 200*time.Millisecond, 9*time.Second,
		func(_ *faultScenario, w *site.Worker) { w.LosePolls = true }, func(w *site.Worker) { w.LosePolls = false }),
}

// lossFaults take a worker away, or its runs.
var lossFaults = []faultKind{
	lasting("silent", 200*time.Millisecond, 13*time.Second,
		func(_ *faultScenario, w *site.Worker) { w.Silent = true }, func(w *site.Worker) { w.Silent = false }),
	cutOff, restart, crash, replace, failRuns,
}

// cutOff cuts a worker off from planners, other workers and, at times, the store.
func cutOff(s *faultScenario, id string) {
	s.Set(id, func(w *site.Worker) { w.Silent, w.Isolated = true, true })
	d, unlisted := s.between(200*time.Millisecond, 14*time.Second), s.chance(2)
	s.logf("%s: cut off for %s, from the store %t", id, d, unlisted)
	if unlisted && d > registrationTTL {
		s.after(registrationTTL, func() { s.Deregister(s.Worker(id)) })
	}
	s.after(d, func() {
		s.logf("%s: cut off ends", id)
		s.Set(id, func(w *site.Worker) { w.Silent, w.Isolated = false, false })
		s.registerSoon(id)
	})
}

// registerSoon writes a worker's registration within a heartbeat, or once the store answers.
func (s *faultScenario) registerSoon(id string) {
	s.after(s.between(0, heartbeat), func() { s.registerNow(id) })
}

func (s *faultScenario) registerNow(id string) {
	w := s.Worker(id)
	switch {
	case w.Dead || w.Replaced:
	case s.storeSilent:
		s.after(200*time.Millisecond, func() { s.registerNow(id) })
	default:
		s.Register(w)
	}
}

// restart restarts a worker, at times with another clock.
func restart(s *faultScenario, id string) {
	s.logf("%s: restart", id)
	s.Set(id, func(w *site.Worker) {
		if w.Replaced {
			return
		}
		w.Restart()
		w.Registration.Draining, w.Registration.DrainRemaining = false, 0
		if s.slowClocks && s.chance(3) {
			w.ClockRate = slowClock
		}
	})
	s.registerSoon(id)
}

// crash ends a worker, which restarts later.
func crash(s *faultScenario, id string) {
	d := s.between(100*time.Millisecond, 12*time.Second)
	s.logf("%s: crash for %s", id, d)
	s.Set(id, func(w *site.Worker) { w.Dead = true })
	if d > registrationTTL {
		s.after(registrationTTL, func() {
			if s.Worker(id).Dead {
				s.Deregister(s.Worker(id))
			}
		})
	}
	s.after(d, func() {
		if s.Worker(id).Dead {
			restart(s, id)
		}
	})
}

// leave replaces a worker by another one at its address.
func leave(s *faultScenario, id string) {
	s.logf("%s: leaves", id)
	s.Set(id, func(w *site.Worker) { w.Replaced = true })
	s.after(s.between(0, registrationTTL), func() { s.Deregister(s.Worker(id)) })
}

// replace replaces a worker by another one at its address. New workers come instead.
func replace(s *faultScenario, id string) {
	if s.chance(2) || s.Worker(id).Replaced {
		return
	}
	leave(s, id)
	s.after(s.between(0, 3*time.Second), func() { s.addRack(1) })
}

// failRuns ends all runs of a worker.
func failRuns(s *faultScenario, id string) {
	s.logf("%s: runs fail", id)
	s.Set(id, func(w *site.Worker) { w.EndAll(engine.EndFailed) })
}

// systemFaults are faults of the store and of the planner.
var systemFaults = []func(s *faultScenario){
	storeOutage, storeOutage,
	func(s *faultScenario) { s.loseWrites(s.between(50*time.Millisecond, 2*time.Second)) },
	func(s *faultScenario) {
		s.logf("store refuses")
		s.Store.SetRefusing(true)
		s.after(s.between(100*time.Millisecond, 3*time.Second), func() { s.Store.SetRefusing(false) })
	},
	stopPlanner, stopPlanner,
	func(s *faultScenario) {
		n, d := s.planner(), s.between(200*time.Millisecond, 8*time.Second)
		s.logf("%s: cut off from the store for %s", n.name, d)
		n.cutFromStore.Store(true)
		s.after(d, func() { n.cutFromStore.Store(false) })
	},
	func(s *faultScenario) {
		n, d := s.planner(), s.between(200*time.Millisecond, 8*time.Second)
		s.logf("%s: cut off from workers for %s", n.name, d)
		n.cutFromWorkers.Store(true)
		s.after(d, func() { n.cutFromWorkers.Store(false) })
	},
	func(s *faultScenario) {
		n, d := s.planner(), s.between(200*time.Millisecond, 4*time.Second)
		s.logf("%s: commits are late for %s", n.name, d)
		n.lateCommits.Store(true)
		s.after(d, func() { n.lateCommits.Store(false) })
	},
}

func (s *faultScenario) loseWrites(d time.Duration) {
	s.logf("store loses answers for %s", d)
	s.Store.SetLoseWrites(true)
	s.after(d, func() { s.Store.SetLoseWrites(false) })
}

// planner returns a node, mostly the one that is the planner.
func (s *faultScenario) planner() *node {
	other := s.chance(8)
	for _, n := range s.nodes {
		if p := n.current.Load(); (p != nil && p.Serves()) != other {
			return n
		}
	}
	return s.nodes[0]
}

// storeOutage makes the store silent. At times, registrations expire meanwhile.
func storeOutage(s *faultScenario) {
	if s.storeSilent {
		return
	}
	d, expire := s.between(300*time.Millisecond, 13*time.Second), s.chance(3)
	s.Store.PauseLeases = s.chance(2)
	s.logf("store is silent for %s, leases pause %t, registrations expire %t", d, s.Store.PauseLeases, expire)
	s.Store.SetSilent(true)
	s.storeSilent = true
	expire = expire && d > registrationTTL
	if expire {
		s.after(registrationTTL, func() {
			for _, id := range s.IDs() {
				s.Deregister(s.Worker(id))
			}
		})
	}
	s.after(d, func() {
		s.logf("store answers")
		s.Store.SetSilent(false)
		s.storeSilent = false
		for _, id := range s.aliveWorkers() {
			if expire {
				s.registerSoon(id)
			}
		}
	})
}

// stopPlanner ends the process of a planner, which starts again later.
func stopPlanner(s *faultScenario) {
	n, d := s.planner(), s.between(100*time.Millisecond, 5*time.Second)
	s.logf("%s: stopped for %s", n.name, d)
	n.stop()
	s.after(d, n.start)
}

// node is an entry VM, which tries to become the planner while it runs.
type node struct {
	*rig
	name  string
	boots int
	// current is the planner of this node, nil if it is none.
	current atomic.Pointer[engine.Planner]
	// cutFromStore and cutFromWorkers make calls end without effect and without an answer. lateCommits makes the planner's commits
	// take effect later, without an answer.
	cutFromStore, cutFromWorkers, lateCommits atomic.Bool
	// commitDelay, unless 0, is how much later late commits take effect, instead of 1 s. storeDelay is how much longer calls to the
	// store take.
	commitDelay, storeDelay atomic.Int64
	// pausedUntil is until when the process stands still, in Unix nanoseconds.
	pausedUntil atomic.Int64
	// endsTerm makes the process end its term when it stops.
	endsTerm atomic.Bool
	cancel   context.CancelFunc
	ended    chan struct{}
}

func (n *node) start() {
	if n.cancel != nil {
		return
	}
	n.boots++
	ctx, cancel := context.WithCancel(context.Background())
	n.cancel, n.ended = cancel, make(chan struct{})
	boot := fmt.Sprintf("%s-%d", n.name, n.boots)
	go func() {
		defer close(n.ended)
		for ctx.Err() == nil {
			n.plan(ctx, boot)
			select {
			case <-ctx.Done():
			case <-time.After(200 * time.Millisecond):
			}
		}
	}()
}

// stop ends the process without ending the term, as a crash would.
func (n *node) stop() {
	if n.cancel == nil {
		return
	}
	n.cancel()
	<-n.ended
	n.cancel = nil
}

// plan tries to become the planner and plans until the term ends.
func (n *node) plan(ctx context.Context, boot string) {
	clock := clockwork.NewRealClock()
	callCtx, cancel := context.WithTimeout(ctx, 500*time.Millisecond)
	term, err := engine.Claim(callCtx, n.store(), clock, engine.Holder{VM: n.name, Boot: boot}, engine.TermLength)
	cancel()
	if err != nil || term == nil {
		return
	}
	ctx, cancel = context.WithCancel(ctx)
	workers := n.workers()
	if n.wrapWorkers != nil {
		workers = n.wrapWorkers(workers)
	}
	p := n.newPlanner(boot, term, n.store(), workers)
	renewed := term.Run(ctx, p.Log, p.Stalled)
	planned, err := p.Run(ctx)
	if err != nil {
		n.t.Error(err)
		cancel()
		return
	}
	select {
	case <-p.Ready():
		n.RecordPlannerChange()
		n.t.Logf("%s %s is the planner, fence %d", time.Now().Format("05.000"), boot, term.Fence())
		n.current.Store(p)
		err = <-planned
	case err = <-planned:
	}
	n.RecordPlannerChange()
	n.t.Logf("%s %s is no longer the planner: %v", time.Now().Format("05.000"), boot, err)
	killed := ctx.Err() != nil && !n.endsTerm.Load()
	cancel()
	if err := <-renewed; err != nil {
		n.t.Logf("%s term: %v", boot, err)
	}
	if !killed {
		endCtx, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
		defer cancel()
		if err := term.End(endCtx); err != nil {
			n.t.Logf("%s term not ended: %v", boot, err)
		}
	}
}

// store returns the store as the node reaches it.
func (n *node) store() engine.Store {
	direct := n.Store.Engine()
	reach := func(ctx context.Context) error {
		time.Sleep(time.Duration(n.storeDelay.Load()))
		if err := n.waitWhilePaused(ctx); err != nil {
			return &engine.ErrUnanswered{Cause: err}
		}
		if !n.cutFromStore.Load() {
			return nil
		}
		<-ctx.Done()
		return &engine.ErrUnanswered{Cause: ctx.Err()}
	}
	reached := direct
	reached.Commit = func(ctx context.Context, t engine.Txn) (int64, error) {
		if err := reach(ctx); err != nil {
			return 0, err
		}
		if n.lateCommits.Load() && len(t.Preconditions) > 0 {
			time.AfterFunc(cmp.Or(time.Duration(n.commitDelay.Load()), time.Second), func() {
				lateCtx, cancel := context.WithTimeout(context.Background(), time.Second)
				defer cancel()
				n.RecordDisruption()
				_, _ = direct.Commit(lateCtx, t)
			})
			<-ctx.Done()
			return 0, &engine.ErrUnanswered{Cause: ctx.Err()}
		}
		return direct.Commit(ctx, t)
	}
	reached.Get = func(ctx context.Context, key string) (engine.Item, error) {
		if err := reach(ctx); err != nil {
			return engine.Item{}, err
		}
		return direct.Get(ctx, key)
	}
	reached.List = func(ctx context.Context, prefix string) ([]engine.Item, int64, error) {
		if err := reach(ctx); err != nil {
			return nil, 0, err
		}
		return direct.List(ctx, prefix)
	}
	reached.Scan = func(ctx context.Context, prefix, after string, each func(engine.Item)) (bool, error) {
		if err := reach(ctx); err != nil {
			return false, err
		}
		return direct.Scan(ctx, prefix, after, each)
	}
	reached.Watch = func(ctx context.Context, prefix string, after int64, wait time.Duration) ([]engine.Item, int64, error) {
		if err := reach(ctx); err != nil {
			return nil, 0, err
		}
		return direct.Watch(ctx, prefix, after, wait)
	}
	reached.GrantLease = func(ctx context.Context, ttl time.Duration) (int64, error) {
		if err := reach(ctx); err != nil {
			return 0, err
		}
		return direct.GrantLease(ctx, ttl)
	}
	reached.RenewLease = func(ctx context.Context, lease int64) error {
		if err := reach(ctx); err != nil {
			return err
		}
		return direct.RenewLease(ctx, lease)
	}
	reached.RevokeLease = func(ctx context.Context, lease int64) error {
		if err := reach(ctx); err != nil {
			return err
		}
		return direct.RevokeLease(ctx, lease)
	}
	return reached
}

// workers returns the calls to workers as the node reaches them.
func (n *node) workers() engine.Workers {
	reach := func(ctx context.Context) error {
		if err := n.waitWhilePaused(ctx); err != nil {
			return err
		}
		if !n.cutFromWorkers.Load() {
			return nil
		}
		<-ctx.Done()
		return ctx.Err()
	}
	return engine.Workers{
		Start: func(ctx context.Context, t engine.Target, o engine.StartOrder) (engine.WorkerStatus, error) {
			if err := reach(ctx); err != nil {
				return engine.WorkerStatus{}, err
			}
			answer, err := n.Start(ctx, t, o)
			n.sleepWhilePaused()
			return answer, err
		},
		Stop: func(ctx context.Context, t engine.Target, o engine.StopOrder) (engine.WorkerStatus, error) {
			if err := reach(ctx); err != nil {
				return engine.WorkerStatus{}, err
			}
			answer, err := n.Stop(ctx, t, o)
			n.sleepWhilePaused()
			return answer, err
		},
		Poll: func(ctx context.Context, t engine.Target, o engine.PollRequest) (engine.PollResponse, error) {
			if err := reach(ctx); err != nil {
				return engine.PollResponse{}, err
			}
			answer, err := n.Poll(ctx, t, o)
			n.sleepWhilePaused()
			return answer, err
		},
	}
}

// sleepWhilePaused returns once the process no longer stands still, which heal may end early.
func (n *node) sleepWhilePaused() {
	for left := n.pauseLeft(); left > 0; left = n.pauseLeft() {
		time.Sleep(min(left, 20*time.Millisecond))
	}
}

func (n *node) pauseLeft() time.Duration { return time.Until(time.Unix(0, n.pausedUntil.Load())) }

// waitWhilePaused returns once the process no longer stands still, with an error if ctx is done by then.
func (n *node) waitWhilePaused(ctx context.Context) error {
	n.sleepWhilePaused()
	return ctx.Err()
}

// caller submits a job until it is accepted and asks for its state until it has ended.
type caller struct {
	*submittedJob
	scenario *faultScenario
	random   *rand.Rand
}

func (c *caller) run() {
	for !c.submit() {
		if c.givesUp && !c.maybeStored {
			return
		}
		if !c.pause() {
			return
		}
	}
	cancelAt := time.Now().Add(time.Duration(c.random.Int64N(int64(c.cancelWithin))))
	for c.final == "" && c.pause() {
		switch {
		case c.cancels && time.Now().After(cancelAt):
			c.scenario.RecordGivenUp(c.id)
			c.ask((*engine.Planner).Cancel)
		case c.repeats && c.random.IntN(4) == 0:
			c.submit()
		default:
			c.ask((*engine.Planner).State)
		}
	}
	// A final state never changes.
	for range 10 {
		if c.pause() {
			c.ask((*engine.Planner).State)
		}
	}
}

// pause waits until the next request and reports whether the caller may go on.
func (c *caller) pause() bool {
	select {
	case <-c.scenario.over:
		return false
	case <-time.After(100*time.Millisecond + time.Duration(c.random.Int64N(int64(1500*time.Millisecond)))):
		return true
	}
}

// planner returns the planner of a random node, or nil.
func (c *caller) planner() *engine.Planner {
	nodes := c.scenario.nodes
	return nodes[c.random.IntN(len(nodes))].current.Load()
}

// submit submits the job once, at times to the store directly, and reports whether it is accepted.
func (c *caller) submit() bool {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	job := c.job
	job.Accepted = time.Now()
	if c.random.IntN(6) == 0 {
		direct := &engine.DirectClient{Store: c.scenario.Store.Engine()}
		c.last = direct.Submit(ctx, job)
	} else {
		p := c.planner()
		if p == nil {
			return false
		}
		c.last = p.Submit(ctx, job)
	}
	if c.last.Verdict == engine.VerdictAccepted && !c.accepted {
		c.accepted = true
		c.scenario.RecordAccepted(c.id)
	}
	c.maybeStored = c.maybeStored || c.accepted || c.last.Verdict == engine.VerdictUnknown
	return c.accepted
}

// ask asks a planner for the state of the job, or to cancel it.
func (c *caller) ask(call func(p *engine.Planner, ctx context.Context, id string) engine.Result) {
	p := c.planner()
	if p == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	result := call(p, ctx, c.id)
	c.last = result
	if result.Verdict != engine.VerdictAccepted {
		return
	}
	s := c.scenario
	if c.final != "" && result.State != c.final {
		s.t.Errorf("MIXED: job %s was shown as %s and is shown as %s", c.id, c.final, result.State)
	}
	if result.State.Ended() && c.final == "" {
		s.logf("%s is %s", c.id, result.State)
		c.final = result.State
		if c.final == workload.StateCompleted {
			s.RecordCompleted(c.id)
		}
		if c.final == workload.StateCancelled {
			s.RecordCancelled(c.id)
		}
		if c.final == workload.StateFailed && !s.OutOfAttempts(c.id) || c.final == workload.StateCancelled && !c.cancels {
			s.t.Errorf("LOST: job %s is shown as %s", c.id, c.final)
		}
	}
}
