package dispatch

import (
	"fmt"
	"testing"
	"time"

	"clementinepier/bundle"
	"clementinepier/gang"
	"clementinepier/job"
	"clementinepier/standin/fault"
	standin "clementinepier/standin/worker"
)

const (
	testTimeout = 20 * time.Second
	testPayload = `{"run-time": "3s", "size": 100}`
)

// requestKinds are the kinds of request with which every case runs.
var requestKinds = []struct {
	name       string
	idempotent bool
	tasks      int
}{{"single", false, 1}, {"gang", false, 2}, {"idempotent single", true, 1}, {"idempotent gang", true, 2}}

func testRequest(id string, tasks int, idempotent bool) job.Request {
	return job.Request{
		Organisation: "plain", ID: id, Service: "s", Shape: job.Shape{Tasks: tasks, Accelerators: 8, Slots: 1},
		Payload: []byte(testPayload), Timeout: job.Duration(testTimeout), Idempotent: idempotent,
	}
}

// scenario is one request from the point of view of its receiver.
type scenario struct {
	*fixture
	req     job.Request
	current *owner
	waiter  chan job.Outcome
	waiters []chan job.Outcome
	// startsBefore is the number of starts that the workers had logged when the request was submitted to the current owner.
	startsBefore int
	startedAt    time.Time
	outcomes     []job.Outcome
}

// submit sends the request to the owner with the rest of its timeout.
func (s *scenario) submit(o *owner) {
	req := s.req
	req.Timeout = job.Duration(testTimeout - s.clock.Since(s.startedAt))
	s.current, s.startsBefore = o, s.total()
	s.waiter = o.submit(req)
	s.waiters = append(s.waiters, s.waiter)
}

// total returns the number of starts of all members.
func (s *scenario) total() int {
	n := 0
	for _, starts := range s.starts(s.req.Key()) {
		n += starts
	}
	return n
}

// transferRack makes o the only owner of the rack, apart from owners that are crashed or paused.
func (s *scenario) transferRack(o *owner) {
	for _, other := range []*owner{s.a, s.b} {
		if other != o && !other.crashed && !other.paused {
			other.setOwnsRack(false)
		}
	}
	o.setOwnsRack(true)
	s.advance(2 * time.Second)
}

// runToOutcome advances the clock until the request has its outcome. Like the router, it replaces a lost owner by the other
// one.
func (s *scenario) runToOutcome() job.Outcome {
	for s.clock.Since(s.startedAt) < testTimeout+3*time.Second {
		s.advance(tickInterval)
		ownerLost := s.current.crashed || s.current.paused
		if len(s.waiter) == 0 && !ownerLost {
			continue
		}
		if !ownerLost {
			outcome := <-s.waiter
			s.outcomes = append(s.outcomes, outcome)
			if outcome.Result == job.NotRun {
				s.Equal(s.total(), s.startsBefore) // "not run" means that nothing was started
			}
			moved := outcome.Code == job.CodeOwnerLost || outcome.Code == job.CodeViewNotFresh || outcome.Code == job.CodeDomainOut
			if !moved || s.clock.Since(s.startedAt) >= testTimeout-time.Second {
				return outcome
			}
		}
		s.resubmit(ownerLost)
	}
	return job.Outcome{}
}

// resubmit sends the request to the owner of the rack. If the last owner was lost, the rack first goes to the other one.
func (s *scenario) resubmit(ownerLost bool) {
	other := s.b
	if s.current == s.b {
		other = s.a
	}
	s.advance(100 * time.Millisecond)
	if ownerLost || !s.current.s.OwnedRacks["r1"] {
		s.advance(3 * time.Second)
		s.transferRack(other)
		s.submit(other)
		return
	}
	s.submit(s.current)
}

var failureCases = []struct {
	name string
	// prepare sets up the failure before the request is submitted.
	prepare func(s *scenario)
	// after runs once the request has been submitted.
	after func(s *scenario)
	// want is the required result per request kind; empty permits every result that agrees with the workers' logs.
	want [4]job.Result
	// failed is true when the required outcome is the task's own error.
	failed bool
	// code is the required code of requests that are not idempotent, which must also have a retry time.
	code job.Code
}{
	{name: "no failure", want: forAllKinds(job.Done)},
	{name: "owner crashes after a hold", prepare: crashOwner("after hold 1"), want: forAllKinds(job.Done)},
	{name: "owner crashes before the claim", prepare: crashOwner("before ledger 1"), want: forAllKinds(job.Done)},
	{name: "owner crashes after the claim", prepare: crashOwner("after ledger 1"), want: forAllKinds(job.Done)},
	{name: "owner crashes before a start", prepare: crashOwner("before start 1"), want: forAllKinds(job.Done)},
	{name: "owner crashes after the first start", prepare: crashOwner("after start 1")},
	{name: "owner crashes between two starts", prepare: crashOwner("before start 2")},
	{name: "owner crashes after the starts", prepare: crashOwner("after start 2")},
	{
		name: "owner crashes at a renewal", prepare: crashOwner("after renew 1"),
		want: [4]job.Result{job.Done, job.Unknown, job.Done, job.Done},
	},
	{name: "owner crashes before it has the answer", prepare: crashOwner("before answer 1"), want: forAllKinds(job.Done)},
	{name: "owner crashes after it has the answer", prepare: crashOwner("after answer 1"), want: forAllKinds(job.Done)},
	{name: "start reply lost", prepare: loseReply("after start 1"), want: forAllKinds(job.Done)},
	{name: "hold reply lost", prepare: loseReply("after hold 1"), want: forAllKinds(job.Done)},
	{name: "store reply lost", prepare: loseReply("after ledger 1"), want: forAllKinds(job.Done)},
	{name: "store reply lost, then the owner crashes", prepare: func(s *scenario) {
		loseReply("after ledger 1")(s)
		crashOwner("before ledger 2")(s)
	}, want: forAllKinds(job.Done)},
	{name: "store reply late", prepare: func(s *scenario) { s.a.spawnDelay = 2500 * time.Millisecond }, want: forAllKinds(job.Done)},
	{name: "store reply later than the gather timeout", prepare: func(s *scenario) {
		s.a.spawnDelay = 3500 * time.Millisecond
	}, after: func(s *scenario) { s.advance(4 * time.Second); s.a.spawnDelay = 0 }, want: forAllKinds(job.Done)},
	{
		name: "store down before the claim", prepare: func(s *scenario) { s.a.storeDown, s.b.storeDown = true, true },
		want: [4]job.Result{job.NotRun, job.NotRun, job.Done, job.Done}, code: job.CodeStoreUnavailable,
	},
	{
		name: "store down for a while", prepare: func(s *scenario) { s.a.storeDown = true },
		after: func(s *scenario) { s.advance(6 * time.Second); s.a.storeDown = false }, want: forAllKinds(job.Done),
	},
	{
		name: "same request through two owners", prepare: func(s *scenario) { s.b.setOwnsRack(true); s.advance(time.Second) },
		after: func(s *scenario) { s.waiters = append(s.waiters, s.b.submit(s.req)) }, want: forAllKinds(job.Done),
	},
	{
		name: "same request through a second owner while it runs", prepare: func(s *scenario) { s.b.setOwnsRack(true); s.advance(time.Second) },
		after: func(s *scenario) {
			s.advance(time.Second)
			s.waiters = append(s.waiters, s.b.submit(s.req))
		}, want: forAllKinds(job.Done),
	},
	{name: "worker restarts while running", after: func(s *scenario) { s.advance(time.Second); s.restart("w1"); s.restart("w2") }},
	{name: "worker lost for good", after: func(s *scenario) {
		s.advance(time.Second)
		for _, name := range []string{"w1", "w2", "w3"} {
			s.workers[name].SetFaults(standin.Faults{Faults: fault.Faults{Down: true}})
		}
		s.advance(12 * time.Second)
		for _, name := range []string{"w1", "w2", "w3"} {
			s.workers[name].SetFaults(standin.Faults{})
		}
	}},
	{name: "owner paused until the lease expires", after: pauseOwner(time.Second, 12*time.Second)},
	{name: "owner paused for a moment", after: pauseOwner(time.Second, 2*time.Second), want: forAllKinds(job.Done)},
	{name: "owner paused, and another continues", after: func(s *scenario) { s.advance(time.Second); s.a.paused = true }},
	{name: "owner paused between hold and start", prepare: func(s *scenario) {
		s.a.hookCall("after hold 1", func() bool { s.a.paused = true; return false })
	}, after: pauseOwner(0, 3*time.Second), want: forAllKinds(job.Done)},
	{name: "cancelled in the queue", prepare: makeViewStale, after: cancelAfter(0), want: forAllKinds(job.NotRun)},
	{
		name: "cancelled before the claim", prepare: disconnectStore, after: cancelAfter(time.Second),
		want: [4]job.Result{job.NotRun, job.NotRun, "", ""},
	},
	{
		name: "cancelled while the claim is written", prepare: func(s *scenario) { s.a.spawnDelay = time.Second },
		after: cancelAfter(500 * time.Millisecond), want: [4]job.Result{job.NotRun, job.NotRun, "", ""},
	},
	{name: "cancelled while running", after: cancelAfter(time.Second), want: [4]job.Result{job.Done, job.Done, job.Unknown, job.Unknown}},
	{
		name: "cancelled while the answer is fetched", prepare: loseReply("after answer 1"), after: cancelAfter(3050 * time.Millisecond),
		want: forAllKinds(job.Done),
	},
	{name: "preempted and cancelled", after: func(s *scenario) {
		s.advance(time.Second)
		s.a.d.stepGang(s.a.s, s.a.d.runs[s.req.Key()], s.a.d.runs[s.req.Key()].gang, gang.Preempt{})
		s.a.hookCall(fmt.Sprintf("before stop %d", s.a.calls["stop"]+1), func() bool { cancelAfter(0)(s); return true })
	}, want: [4]job.Result{"", "", job.Unknown, job.Unknown}},
	{name: "deadline passes while running", prepare: func(s *scenario) {
		s.req.Payload = []byte(`{"run-time": "30s", "size": 1}`)
	}, want: forAllKinds(job.Unknown)},
	{name: "deadline passes in the queue after a start", prepare: func(s *scenario) {
		s.req.Payload = []byte(`{"run-time": "30s", "size": 1}`)
	}, after: func(s *scenario) {
		s.advance(time.Second)
		for _, w := range s.workers {
			w.SetLeaving(true)
		}
		s.a.d.stepGang(s.a.s, s.a.d.runs[s.req.Key()], s.a.d.runs[s.req.Key()].gang, gang.Preempt{})
	}, want: forAllKinds(job.Unknown)},
	{name: "deadline passes while it waits for capacity", prepare: func(s *scenario) {
		for i := range 4 {
			filler := s.newRequest(fmt.Sprint("filler", i), 1, true, `{"run-time": "30s", "size": 1}`)
			filler.Timeout = job.Duration(time.Minute)
			s.a.submit(filler)
		}
	}, want: forAllKinds(job.NotRun)},
	{
		name: "deadline passes while the claim is written", prepare: func(s *scenario) { s.a.spawnDelay = 25 * time.Second },
		want: [4]job.Result{job.NotRun, job.NotRun, job.Done, job.Done},
	},
	{
		name: "deadline passes while the answer is fetched", prepare: func(s *scenario) { s.setFaults(fault.Faults{Down: true, Calls: []string{"answer"}}) },
		want: forAllKinds(job.Unknown),
	},
	{
		name: "cancelled while a start is unconfirmed", prepare: func(s *scenario) { s.setFaults(fault.Faults{LoseReplies: true, Calls: []string{"start"}}) },
		after: cancelAfter(0), want: [4]job.Result{job.Done, job.Done, job.Unknown, job.Unknown},
	},
	{
		name: "cancelled while it waits for its next attempt", prepare: func(s *scenario) { s.setFaults(fault.Faults{Down: true, Calls: []string{"hold"}}) },
		after: cancelAfter(3200 * time.Millisecond), want: forAllKinds(job.NotRun),
	},
	{name: "worker fails every task", prepare: func(s *scenario) {
		for _, w := range s.workers {
			w.SetFaults(standin.Faults{FailTasks: true})
		}
	}, failed: true, want: forAllKinds(job.Done)},
	{name: "view not fresh between hold and start", prepare: func(s *scenario) {
		s.a.hookCall("after hold 1", func() bool { s.a.viewStale = true; s.clock.Advance(2500 * time.Millisecond); return false })
	}, after: func(s *scenario) { s.advance(5 * time.Second); s.a.viewStale = false }},
	{name: "failure domain out of service between hold and start", prepare: func(s *scenario) {
		s.a.hookCall("after hold 1", func() bool { s.setDomainState(1, bundle.OrderOut); return false })
	}, after: func(s *scenario) { s.advance(time.Second); s.setDomainState(2, bundle.OrderIn) }},
	{name: "rack moved while queued", prepare: makeViewStale, after: func(s *scenario) {
		s.advance(100 * time.Millisecond)
		s.a.setOwnsRack(false)
	}, want: forAllKinds(job.Done)},
	{name: "rack moved while running", after: func(s *scenario) { s.advance(time.Second); s.a.setOwnsRack(false) }, want: forAllKinds(job.Done)},
	{name: "rack moved away and back", after: func(s *scenario) {
		s.advance(time.Second)
		s.a.setOwnsRack(false)
		s.a.setOwnsRack(true)
	}},
	{name: "worker leaves the list while running", after: func(s *scenario) {
		s.advance(time.Second)
		name := s.a.d.runs[s.req.Key()].workers[0]
		vm := s.a.s.Workers[name]
		delete(s.a.s.Workers, name)
		s.a.d.SetRacks(s.a.s)
		s.advance(time.Second)
		s.a.s.Workers[name] = vm
		s.a.d.SetRacks(s.a.s)
	}},
}

// setFaults sets the faults of every worker.
func (r *fixture) setFaults(f fault.Faults) {
	for _, w := range r.workers {
		w.SetFaults(standin.Faults{Faults: f})
	}
}

func forAllKinds(r job.Result) [4]job.Result { return [4]job.Result{r, r, r, r} }

func crashOwner(when string) func(*scenario) {
	return func(s *scenario) { s.a.hookCall(when, func() bool { s.a.crashed = true; return true }) }
}

func loseReply(when string) func(*scenario) {
	return func(s *scenario) { s.a.hookCall(when, func() bool { return true }) }
}

func makeViewStale(s *scenario) {
	s.a.viewStale = true
	s.advance(2 * time.Second)
}

func disconnectStore(s *scenario) { s.a.storeDown = true }

func cancelAfter(after time.Duration) func(*scenario) {
	return func(s *scenario) {
		s.advance(after)
		s.a.d.cancelRun(s.a.s, s.a.d.runs[s.req.Key()], job.CodeCancelled, "cancelled")
		s.a.runPending()
	}
}

func pauseOwner(after, length time.Duration) func(*scenario) {
	return func(s *scenario) {
		s.advance(after)
		s.a.paused = true
		s.advance(length)
		s.a.paused = false
	}
}

// Guards against a second start of a request that may start only once, an outcome that contradicts the workers' logs, a
// caller without an outcome or with two, and capacity that is not released, for each failure during a request.
func TestRequestOutcomeUnderFailure(t *testing.T) {
	for _, c := range failureCases {
		for i, kind := range requestKinds {
			t.Run(c.name+"/"+kind.name, func(t *testing.T) {
				s := &scenario{fixture: newFixture(t), req: testRequest("q", kind.tasks, kind.idempotent)}
				if c.prepare != nil {
					c.prepare(s)
				}
				s.startedAt = s.clock.Now()
				s.submit(s.a)
				if c.after != nil {
					c.after(s)
				}
				outcome := s.runToOutcome()
				s.True(outcome.Result != "") // the caller got an outcome
				if c.code != "" && !kind.idempotent {
					s.Equal(outcome.Code, c.code)
					s.True(outcome.RetryAfter > 0)
				}
				if c.want[i] != "" {
					s.Equal(outcome.Result, c.want[i])
				}
				if c.failed {
					s.Equal(outcome.Code, job.CodeTaskFailed)
					outcome.Result = ""
				}
				s.checkOutcome(outcome)
				s.True(s.clock.Since(s.startedAt) < testTimeout || outcome.Code != job.CodeOwnerLost) // no caller waits for a lost owner
				s.a.paused, s.a.viewStale, s.b.viewStale = false, false, false
				for _, w := range s.workers {
					w.SetLeaving(false)
				}
				s.advance(45 * time.Second)
				s.checkOutcome(outcome)
				s.checkFinalState()
				for _, waiter := range s.waiters {
					s.True(len(waiter) <= 1) // a waiter gets at most one outcome
				}
			})
		}
	}
}

// checkOutcome checks that the outcome agrees with the workers' logs.
func (s *scenario) checkOutcome(outcome job.Outcome) {
	s.Helper()
	s.Equal(outcome.Key, s.req.Key())
	starts := s.starts(s.req.Key())
	for member, n := range starts {
		if !s.req.Idempotent && n > 1 {
			s.Equal(fmt.Sprint("member ", member, " started ", n), "started once")
		}
	}
	switch outcome.Result {
	case job.Done:
		want, err := standin.ExpectedAnswer(s.req.Key(), s.req.Payload)
		s.NoErr(err)
		s.Equal(string(outcome.Answer), string(want))
		s.Equal(len(starts), s.req.Shape.Tasks) // every member ran
	case job.NotRun:
		s.Equal(len(starts), 0)
	}
}

// setDomainState takes the failure domain out of service or returns it to service.
func (r *fixture) setDomainState(sequence uint64, state bundle.OrderState) {
	o := bundle.Order{FailureDomain: "d", State: state, Sequence: sequence, ChangeID: fmt.Sprint(sequence)}
	r.setView(map[string]bundle.SignedOrder{"d": bundle.SignOrder(testKey(1), o)})
}
