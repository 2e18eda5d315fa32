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

// testKinds are the kinds of request that every case is run with.
var testKinds = []struct {
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

// scenario is a request on its way, as its receiver sees it.
type scenario struct {
	*rig
	req     job.Request
	at      *owner
	waiter  chan job.Outcome
	waiters []chan job.Outcome
	// took is the number of starts that the workers had logged when the current owner got the request.
	took     int
	began    time.Time
	outcomes []job.Outcome
}

func (s *scenario) submit(o *owner) {
	req := s.req
	req.Timeout = job.Duration(testTimeout - s.clock.Since(s.began))
	s.at, s.took = o, s.total()
	s.waiter = o.submit(req)
	s.waiters = append(s.waiters, s.waiter)
}

func (s *scenario) total() int {
	n := 0
	for _, starts := range s.starts(s.req.Key()) {
		n += starts
	}
	return n
}

// moveTo makes the other owner take the rack over.
func (s *scenario) moveTo(o *owner) {
	for _, other := range []*owner{s.a, s.b} {
		if other != o && !other.dead && !other.paused {
			other.own(false)
		}
	}
	o.own(true)
	s.ticks(2 * time.Second)
}

// run brings the request to its outcome; a lost owner is replaced by the second one, as the router does.
func (s *scenario) run() job.Outcome {
	for s.clock.Since(s.began) < testTimeout+3*time.Second {
		s.ticks(tick)
		lost := s.at.dead || s.at.paused
		if len(s.waiter) == 0 && !lost {
			continue
		}
		if !lost {
			outcome := <-s.waiter
			s.outcomes = append(s.outcomes, outcome)
			if outcome.Result == job.NotRun {
				s.Equal(s.total(), s.took) // "not run" means that nothing was started
			}
			moved := outcome.Code == job.CodeOwnerLost || outcome.Code == job.CodeViewNotFresh || outcome.Code == job.CodeDomainOut
			if !moved || s.clock.Since(s.began) >= testTimeout-time.Second {
				return outcome
			}
		}
		s.next(lost)
	}
	return job.Outcome{}
}

// next sends the request to the owner of the rack, which changes when the last one was lost.
func (s *scenario) next(lost bool) {
	other := s.b
	if s.at == s.b {
		other = s.a
	}
	s.ticks(100 * time.Millisecond)
	if lost || !s.at.s.OwnedRacks["r1"] {
		s.ticks(3 * time.Second)
		s.moveTo(other)
		s.submit(other)
		return
	}
	s.submit(s.at)
}

var failureCases = []struct {
	name string
	// prepare sets the failure up before the request is sent; nil results leave the oracle's choice open.
	prepare func(s *scenario)
	// after runs once the request has been sent.
	after func(s *scenario)
	// want is the result that must come out, by kind; empty allows every truthful one.
	want [4]job.Result
	// failed is true when the task's own error is the right outcome.
	failed bool
	// code is that of the requests that are not idempotent, with a retry time.
	code job.Code
}{
	{name: "no failure", want: all(job.Done)},
	{name: "owner dies after a hold", prepare: kill("after hold 1"), want: all(job.Done)},
	{name: "owner dies before the claim", prepare: kill("before ledger 1"), want: all(job.Done)},
	{name: "owner dies after the claim", prepare: kill("after ledger 1"), want: all(job.Done)},
	{name: "owner dies before a start", prepare: kill("before start 1"), want: all(job.Done)},
	{name: "owner dies after the first start", prepare: kill("after start 1")},
	{name: "owner dies between two starts", prepare: kill("before start 2")},
	{name: "owner dies after the starts", prepare: kill("after start 2")},
	{
		name: "owner dies at a renewal", prepare: kill("after renew 1"),
		want: [4]job.Result{job.Done, job.Unknown, job.Done, job.Done},
	},
	{name: "owner dies before it has the answer", prepare: kill("before answer 1"), want: all(job.Done)},
	{name: "owner dies after it has the answer", prepare: kill("after answer 1"), want: all(job.Done)},
	{name: "start answer lost", prepare: lose("after start 1"), want: all(job.Done)},
	{name: "hold answer lost", prepare: lose("after hold 1"), want: all(job.Done)},
	{name: "store answer lost", prepare: lose("after ledger 1"), want: all(job.Done)},
	{name: "store answer lost, then the owner dies", prepare: func(s *scenario) {
		lose("after ledger 1")(s)
		kill("before ledger 2")(s)
	}, want: all(job.Done)},
	{name: "store answer late", prepare: func(s *scenario) { s.a.slow = 2500 * time.Millisecond }, want: all(job.Done)},
	{name: "store answer later than the gathering time", prepare: func(s *scenario) {
		s.a.slow = 3500 * time.Millisecond
	}, after: func(s *scenario) { s.ticks(4 * time.Second); s.a.slow = 0 }, want: all(job.Done)},
	{
		name: "store down before the claim", prepare: func(s *scenario) { s.a.down, s.b.down = true, true },
		want: [4]job.Result{job.NotRun, job.NotRun, job.Done, job.Done}, code: job.CodeStoreUnavailable,
	},
	{
		name: "store down for a while", prepare: func(s *scenario) { s.a.down = true },
		after: func(s *scenario) { s.ticks(6 * time.Second); s.a.down = false }, want: all(job.Done),
	},
	{
		name: "same request through two owners", prepare: func(s *scenario) { s.b.own(true); s.ticks(time.Second) },
		after: func(s *scenario) { s.waiters = append(s.waiters, s.b.submit(s.req)) }, want: all(job.Done),
	},
	{
		name: "same request through a second owner while it runs", prepare: func(s *scenario) { s.b.own(true); s.ticks(time.Second) },
		after: func(s *scenario) {
			s.ticks(time.Second)
			s.waiters = append(s.waiters, s.b.submit(s.req))
		}, want: all(job.Done),
	},
	{name: "worker restarts while running", after: func(s *scenario) { s.ticks(time.Second); s.restart("w1"); s.restart("w2") }},
	{name: "worker lost for good", after: func(s *scenario) {
		s.ticks(time.Second)
		for _, name := range []string{"w1", "w2", "w3"} {
			s.workers[name].SetFaults(standin.Faults{Faults: fault.Faults{Down: true}})
		}
		s.ticks(12 * time.Second)
		for _, name := range []string{"w1", "w2", "w3"} {
			s.workers[name].SetFaults(standin.Faults{})
		}
	}},
	{name: "owner paused until the lease lapses", after: pause(time.Second, 12*time.Second)},
	{name: "owner paused for a moment", after: pause(time.Second, 2*time.Second), want: all(job.Done)},
	{name: "owner paused, and another goes on", after: func(s *scenario) { s.ticks(time.Second); s.a.paused = true }},
	{name: "owner paused between hold and start", prepare: func(s *scenario) {
		s.a.on("after hold 1", func() bool { s.a.paused = true; return false })
	}, after: pause(0, 3*time.Second), want: all(job.Done)},
	{name: "cancelled in the queue", prepare: stale, after: cancel(0), want: all(job.NotRun)},
	{
		name: "cancelled before the claim", prepare: down, after: cancel(time.Second),
		want: [4]job.Result{job.NotRun, job.NotRun, "", ""},
	},
	{
		name: "cancelled while the claim is written", prepare: func(s *scenario) { s.a.slow = time.Second },
		after: cancel(500 * time.Millisecond), want: [4]job.Result{job.NotRun, job.NotRun, "", ""},
	},
	{name: "cancelled while running", after: cancel(time.Second), want: [4]job.Result{job.Done, job.Done, job.Unknown, job.Unknown}},
	{
		name: "cancelled while the answer is fetched", prepare: lose("after answer 1"), after: cancel(3050 * time.Millisecond),
		want: all(job.Done),
	},
	{name: "preempted and cancelled", after: func(s *scenario) {
		s.ticks(time.Second)
		s.a.d.gangEvent(s.a.s, s.a.d.runs[s.req.Key()], s.a.d.runs[s.req.Key()].gang, gang.Preempt{})
		s.a.on(fmt.Sprintf("before stop %d", s.a.calls["stop"]+1), func() bool { cancel(0)(s); return true })
	}, want: [4]job.Result{"", "", job.Unknown, job.Unknown}},
	{name: "deadline passes while running", prepare: func(s *scenario) {
		s.req.Payload = []byte(`{"run-time": "30s", "size": 1}`)
	}, want: all(job.Unknown)},
	{name: "deadline passes in the queue after a start", prepare: func(s *scenario) {
		s.req.Payload = []byte(`{"run-time": "30s", "size": 1}`)
	}, after: func(s *scenario) {
		s.ticks(time.Second)
		for _, w := range s.workers {
			w.SetLeaving(true)
		}
		s.a.d.gangEvent(s.a.s, s.a.d.runs[s.req.Key()], s.a.d.runs[s.req.Key()].gang, gang.Preempt{})
	}, want: all(job.Unknown)},
	{name: "deadline passes while it waits for capacity", prepare: func(s *scenario) {
		for i := range 4 {
			filler := s.newRequest(fmt.Sprint("filler", i), 1, true, `{"run-time": "30s", "size": 1}`)
			filler.Timeout = job.Duration(time.Minute)
			s.a.submit(filler)
		}
	}, want: all(job.NotRun)},
	{
		name: "deadline passes while the claim is written", prepare: func(s *scenario) { s.a.slow = 25 * time.Second },
		want: [4]job.Result{job.NotRun, job.NotRun, job.Done, job.Done},
	},
	{
		name: "deadline passes while the answer is fetched", prepare: func(s *scenario) { s.fault(fault.Faults{Down: true, Calls: []string{"answer"}}) },
		want: all(job.Unknown),
	},
	{
		name: "cancelled while a start is unanswered", prepare: func(s *scenario) { s.fault(fault.Faults{LoseReplies: true, Calls: []string{"start"}}) },
		after: cancel(0), want: [4]job.Result{job.Done, job.Done, job.Unknown, job.Unknown},
	},
	{
		name: "cancelled while it waits for its next attempt", prepare: func(s *scenario) { s.fault(fault.Faults{Down: true, Calls: []string{"hold"}}) },
		after: cancel(3200 * time.Millisecond), want: all(job.NotRun),
	},
	{name: "worker fails every task", prepare: func(s *scenario) {
		for _, w := range s.workers {
			w.SetFaults(standin.Faults{FailTasks: true})
		}
	}, failed: true, want: all(job.Done)},
	{name: "view not fresh between hold and start", prepare: func(s *scenario) {
		s.a.on("after hold 1", func() bool { s.a.stale = true; s.clock.Advance(2500 * time.Millisecond); return false })
	}, after: func(s *scenario) { s.ticks(5 * time.Second); s.a.stale = false }},
	{name: "failure domain out between hold and start", prepare: func(s *scenario) {
		s.a.on("after hold 1", func() bool { s.order(1, bundle.OrderOut); return false })
	}, after: func(s *scenario) { s.ticks(time.Second); s.order(2, bundle.OrderIn) }},
	{name: "rack moved while queued", prepare: stale, after: func(s *scenario) {
		s.ticks(100 * time.Millisecond)
		s.a.own(false)
	}, want: all(job.Done)},
	{name: "rack moved while running", after: func(s *scenario) { s.ticks(time.Second); s.a.own(false) }, want: all(job.Done)},
	{name: "rack moved away and back", after: func(s *scenario) {
		s.ticks(time.Second)
		s.a.own(false)
		s.a.own(true)
	}},
	{name: "worker leaves the list while running", after: func(s *scenario) {
		s.ticks(time.Second)
		name := s.a.d.runs[s.req.Key()].workers[0]
		vm := s.a.s.Workers[name]
		delete(s.a.s.Workers, name)
		s.a.d.SetRacks(s.a.s)
		s.ticks(time.Second)
		s.a.s.Workers[name] = vm
		s.a.d.SetRacks(s.a.s)
	}},
}

// fault switches a fault on at every worker.
func (r *rig) fault(f fault.Faults) {
	for _, w := range r.workers {
		w.SetFaults(standin.Faults{Faults: f})
	}
}

func all(r job.Result) [4]job.Result { return [4]job.Result{r, r, r, r} }

func kill(when string) func(*scenario) {
	return func(s *scenario) { s.a.on(when, func() bool { s.a.dead = true; return true }) }
}

func lose(when string) func(*scenario) {
	return func(s *scenario) { s.a.on(when, func() bool { return true }) }
}

func stale(s *scenario) {
	s.a.stale = true
	s.ticks(2 * time.Second)
}

func down(s *scenario) { s.a.down = true }

func cancel(after time.Duration) func(*scenario) {
	return func(s *scenario) {
		s.ticks(after)
		s.a.d.cancel(s.a.s, s.a.d.runs[s.req.Key()], job.CodeCancelled, "cancelled")
		s.a.drain()
	}
}

func pause(after, length time.Duration) func(*scenario) {
	return func(s *scenario) {
		s.ticks(after)
		s.a.paused = true
		s.ticks(length)
		s.a.paused = false
	}
}

// Guards against a second start of a request that may start once, an outcome that is not true, a caller without an
// outcome or with two, and capacity that stays held, whatever fails while a request is on its way.
func TestFailures(t *testing.T) {
	for _, c := range failureCases {
		for i, kind := range testKinds {
			t.Run(c.name+"/"+kind.name, func(t *testing.T) {
				s := &scenario{rig: newRig(t), req: testRequest("q", kind.tasks, kind.idempotent)}
				if c.prepare != nil {
					c.prepare(s)
				}
				s.began = s.clock.Now()
				s.submit(s.a)
				if c.after != nil {
					c.after(s)
				}
				outcome := s.run()
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
				s.True(s.clock.Since(s.began) < testTimeout || outcome.Code != job.CodeOwnerLost) // nobody waits for a lost owner
				s.a.paused, s.a.stale, s.b.stale = false, false, false
				for _, w := range s.workers {
					w.SetLeaving(false)
				}
				s.ticks(45 * time.Second)
				s.checkOutcome(outcome)
				s.checkEnd()
				for _, waiter := range s.waiters {
					s.True(len(waiter) <= 1) // a waiter gets one outcome
				}
			})
		}
	}
}

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

// order takes the failure domain out of service or back.
func (r *rig) order(sequence uint64, state bundle.OrderState) {
	o := bundle.Order{FailureDomain: "d", State: state, Sequence: sequence, ChangeID: fmt.Sprint(sequence)}
	r.setView(map[string]bundle.SignedOrder{"d": bundle.SignOrder(testKey(1), o)})
}
