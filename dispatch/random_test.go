package dispatch

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"clementinepier/bundle"
	"clementinepier/job"
	"clementinepier/standin/fault"
	standin "clementinepier/standin/worker"
)

// testSeeds returns the seeds 1 to 30, and 45 and 56, which like seed 1 reproduce a former fault: a member that was only
// held when its gang was adopted remained in the cluster model.
func testSeeds() []uint64 {
	seeds := []uint64{45, 56}
	for seed := uint64(1); seed <= 30; seed++ {
		seeds = append(seeds, seed)
	}
	return seeds
}

// submission is one submission of a request to one owner.
type submission struct {
	req    job.Request
	owner  *owner
	waiter chan job.Outcome
	// resubmitted is true when the request was submitted to the same owner again after this submission had an outcome.
	resubmitted bool
}

// Guards against combinations of failures that failureCases does not cover: two owners and four workers run under random
// failures, and the outcomes are checked against the workers' logs.
func TestRequestOutcomesUnderRandomFailures(t *testing.T) {
	for _, seed := range testSeeds() {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) { randomWalk(newFixture(t), rand.New(rand.NewPCG(seed, 1))) }) //nolint:gosec // a fixed seed
	}
}

func randomWalk(r *fixture, random *rand.Rand) {
	var all []*submission
	submit := func(req job.Request, to *owner) {
		s := &submission{req: req, owner: to, waiter: make(chan job.Outcome, 4)}
		if !to.paused && to.d.acceptRequest(to.s, req, "digest of "+req.ID, "", s.waiter) == nil {
			for _, earlier := range all {
				if earlier.owner == to && earlier.req.ID == req.ID && len(earlier.waiter) == 1 {
					earlier.resubmitted = true
				}
			}
			all = append(all, s)
			to.runPending()
		}
	}
	owners := []*owner{r.a, r.b}
	workers := []string{"w1", "w2", "w3", "w4"}
	orders := uint64(0)
	for step := range 120 {
		o, name := owners[random.IntN(2)], workers[random.IntN(4)]
		switch random.IntN(18) {
		case 0, 1, 2:
			req := testRequest(fmt.Sprint("q", step), 1+random.IntN(2), random.IntN(2) == 0)
			req.Payload = []byte(fmt.Sprintf(`{"run-time": "%dms", "size": 50}`, 100+random.IntN(6000)))
			submit(req, o)
			if random.IntN(2) == 0 {
				r.advance(time.Duration(random.IntN(20)) * tickInterval)
				submit(req, owners[random.IntN(2)])
			}
		case 3:
			o.paused = !o.paused
		case 4:
			o.setOwnsRack(random.IntN(3) > 0)
		case 5:
			o.storeDown = !o.storeDown
		case 6:
			r.restart(name)
		case 7:
			calls := []string{"hold", "start", "renew", "stop", "answer", "forbid", "events", "tasks"}
			f := fault.Faults{Calls: calls[random.IntN(8):]}
			f.LoseReplies, f.Down = random.IntN(2) == 0, random.IntN(2) == 0
			r.workers[name].SetFaults(standin.Faults{Faults: f})
		case 8, 9:
			r.workers[name].SetFaults(standin.Faults{})
		case 10:
			o.hookCall(fmt.Sprint("after ledger ", o.calls["ledger"]+1), func() bool { return true })
		case 11:
			o.spawnDelay = time.Duration(random.IntN(4)) * time.Second
		case 12:
			if len(all) > 0 {
				s := all[random.IntN(len(all))]
				if run, ok := s.owner.d.runs[s.req.Key()]; ok && !s.owner.paused {
					s.owner.d.cancelRun(s.owner.s, run, job.CodeCancelled, "cancelled")
				}
			}
		case 13:
			o.viewStale = !o.viewStale
		case 14:
			req := testRequest(fmt.Sprint("g", step), 1, random.IntN(2) == 0)
			req.Organisation = "gold"
			submit(req, o)
		case 15:
			r.workers[name].SetLeaving(random.IntN(2) == 0)
		case 16:
			if _, listed := o.s.Workers[name]; listed {
				o.hideWorker(name)
			} else {
				o.showWorker(name)
			}
		case 17:
			orders++
			r.setDomainState(orders, []bundle.OrderState{bundle.OrderIn, bundle.OrderOut}[random.IntN(2)])
		}
		r.advance(time.Duration(random.IntN(12)) * tickInterval)
	}
	for _, o := range owners {
		o.paused, o.viewStale, o.storeDown, o.spawnDelay = false, false, false, 0
	}
	for _, name := range workers {
		r.workers[name].SetFaults(standin.Faults{})
		r.workers[name].SetLeaving(false)
		r.a.showWorker(name)
		r.b.showWorker(name)
	}
	r.setDomainState(orders+1, bundle.OrderIn)
	r.advance(80 * time.Second)
	r.checkFinalState()
	for _, s := range all {
		r.checkSubmission(s)
	}
}

// checkSubmission checks that a submission has exactly one outcome and that the outcome agrees with the workers' logs.
func (r *fixture) checkSubmission(s *submission) {
	r.Helper()
	if len(s.waiter) != 1 {
		r.NoErr(errors.New(fmt.Sprint(s.req.ID, " got outcomes: ", len(s.waiter))))
	}
	outcome, starts := <-s.waiter, r.starts(s.req.Key())
	for member, n := range starts {
		if !s.req.Idempotent && n > 1 {
			r.NoErr(errors.New(fmt.Sprint(s.req.ID, " member ", member, " started ", n)))
		}
	}
	switch outcome.Result {
	case job.Done:
		want, err := standin.ExpectedAnswer(s.req.Key(), s.req.Payload)
		r.NoErr(err)
		r.Equal(string(outcome.Answer), string(want))
	case job.NotRun:
		// Starts by another owner do not count: the receiver is responsible for combining the outcomes.
		if n := s.owner.startCounts[s.req.Key()]; n > 0 && !s.resubmitted {
			r.NoErr(errors.New(fmt.Sprint(s.req.ID, " not run by ", s.owner.name, " started ", n, " ", outcome.Code, " ", outcome.Detail)))
		}
	}
}
