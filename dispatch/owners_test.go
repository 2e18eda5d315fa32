package dispatch

import (
	"errors"
	"testing"
	"time"

	"clementinepier/claim"
	"clementinepier/job"
	"clementinepier/kvstore"
	"clementinepier/placement"
	"clementinepier/standin/fault"
	standin "clementinepier/standin/worker"
)

// hideWorker removes the worker from the owner's list, so that the owner neither places tasks on it nor adopts its tasks.
func (o *owner) hideWorker(name string) {
	delete(o.s.Workers, name)
	o.d.SetRacks(o.s)
}

// showWorker adds the worker to the owner's list.
func (o *owner) showWorker(name string) {
	o.s.Workers[name] = kvstore.VM{Name: name, Kind: kvstore.KindWorker, FailureDomain: "d", Rack: "r1"}
	o.d.SetRacks(o.s)
	o.runPending()
}

func (r *fixture) newRequest(id string, tasks int, idempotent bool, payload string) job.Request {
	req := testRequest(id, tasks, idempotent)
	req.Payload = []byte(payload)
	return req
}

// receivedResult returns the result of the outcome that the waiter has received, or "" if there is none.
func (r *fixture) receivedResult(waiter chan job.Outcome) job.Result {
	select {
	case outcome := <-waiter:
		return outcome.Result
	default:
		return ""
	}
}

// firstWorker returns the worker of member 0 of the owner's run.
func (o *owner) firstWorker(req job.Request) string { return o.d.runs[req.Key()].workers[0] }

const longPayload = `{"run-time": "30s", "size": 10}`

// Guards against a retry that gets "unknown" at once because its run continues after the deadline of the first submission.
func TestRetryAfterDeadlineWaitsForItsOwnTimeout(t *testing.T) {
	r := newFixture(t)
	req := r.newRequest("q", 1, false, longPayload)
	first := r.a.submit(req)
	r.advance(25 * time.Second)
	r.Equal(r.receivedResult(first), job.Unknown)
	second := r.a.submit(req)
	r.advance(time.Second)
	r.Equal(r.receivedResult(second), job.Result(""))
	r.advance(6 * time.Second)
	r.Equal(r.receivedResult(second), job.Done)
	r.checkFinalState()
}

// Guards against a run that continues to resolve a claim indefinitely after its deadline.
func TestResolvingEndsAtDeadline(t *testing.T) {
	r := newFixture(t)
	req := r.newRequest("q", 1, false, longPayload)
	r.a.submit(req)
	r.b.hideWorker(r.a.firstWorker(req))
	r.b.setOwnsRack(true)
	r.advance(time.Second)
	first := r.b.submit(req)
	r.advance(time.Second)
	r.Equal(r.b.d.runs[req.Key()].phase, phaseResolving)
	r.advance(20 * time.Second)
	r.Equal(r.receivedResult(first), job.Unknown)
	r.Equal(len(r.b.d.runs), 0)
	second := r.b.submit(req)
	r.advance(10 * time.Second)
	r.Equal(r.receivedResult(second), job.Done)
	r.Equal(r.starts(req.Key()), map[int]int{0: 1})
}

// Guards against a claim reply that arrives after its attempt was abandoned and makes the dispatcher lose track of a later
// or adopted attempt, whose capacity would then never be released.
func TestLateClaimReplyDoesNotStopLaterAttempt(t *testing.T) {
	for _, hidden := range []bool{true, false} {
		r := newFixture(t)
		req := r.newRequest("q", 1, false, `{"run-time": "9s", "size": 10}`)
		r.b.setOwnsRack(true)
		r.advance(time.Second)
		first := r.b.submit(req)
		r.a.hideWorker(r.b.firstWorker(req))
		r.a.spawnDelay = 3500 * time.Millisecond
		second := r.a.submit(req)
		r.a.spawnDelay = 0
		r.advance(3100 * time.Millisecond) // the attempt is abandoned after 3 s, and the next one starts after 3.5 s
		if !hidden {
			r.a.showWorker(r.b.firstWorker(req))
		}
		r.advance(12 * time.Second)
		r.Equal(r.receivedResult(first), job.Done)
		r.Equal(r.receivedResult(second), job.Done)
		r.Equal(r.starts(req.Key()), map[int]int{0: 1})
		for _, name := range []string{"w1", "w2", "w3", "w4"} {
			r.a.showWorker(name)
		}
		r.advance(2 * time.Second)
		r.checkFinalState()
	}
}

// freeAccelerators returns the number of free accelerators in the owner's cluster model.
func (o *owner) freeAccelerators() int {
	free := 0
	for _, rack := range o.s.Cluster.Summaries() {
		free += rack.FreeAccelerators
	}
	return free
}

// Guards against a cluster model that loses the allocation of one owner when another owner starts a task with the same id.
func TestSameTaskIDOfTwoOwnersKeepsBothAllocations(t *testing.T) {
	r := newFixture(t)
	req := r.newRequest("q", 1, true, `{"run-time": "5s", "size": 10}`)
	first := r.a.submit(req)
	r.b.hideWorker(r.a.firstWorker(req))
	r.b.setOwnsRack(true)
	r.advance(200 * time.Millisecond)
	second := r.b.submit(req)
	r.advance(time.Second)
	r.Equal(r.starts(req.Key()), map[int]int{0: 2})
	r.Equal(r.a.freeAccelerators(), 16)
	r.advance(5 * time.Second)
	r.Equal(r.receivedResult(first), job.Done)
	r.Equal(r.receivedResult(second), job.Done)
	r.Equal(r.a.freeAccelerators(), 32)
}

// Guards against guaranteed capacity that is not returned in time, and against a preempted request that is restarted without
// its payload because the new owner has not received it yet.
func TestPreemptionReturnsGuaranteedCapacityInTime(t *testing.T) {
	for _, adopted := range []bool{false, true} {
		r := newFixture(t)
		borrower := r.newRequest("q", 4, true, `{"run-time": "8s", "size": 10}`)
		waiter, at := r.a.submit(borrower), r.a
		r.advance(4 * time.Second)
		if adopted {
			r.a.crashed, at = true, r.b
			r.b.setOwnsRack(true)
			r.advance(time.Second)
			r.Equal(r.b.d.runs[borrower.Key()].phase, phaseActive)
		}
		guaranteed := r.newRequest("g", 1, false, testPayload)
		guaranteed.Organisation = "gold"
		gold := at.submit(guaranteed)
		r.advance(4500 * time.Millisecond) // within the reclaim bound of 5 s and the run time of 3 s
		r.advance(3500 * time.Millisecond)
		r.Equal(r.receivedResult(gold), job.Done)
		if adopted {
			r.Equal(r.starts(borrower.Key()), map[int]int{0: 1, 1: 1, 2: 1, 3: 1})
			waiter = r.b.submit(borrower)
		}
		r.advance(15 * time.Second)
		r.Equal(r.receivedResult(waiter), job.Done)
		r.checkFinalState()
	}
}

// Guards against a request that runs although its id was claimed for a request with another body.
func TestRequestIDClaimedForAnotherBodyIsRejected(t *testing.T) {
	r := newFixture(t)
	req := testRequest("q", 1, false)
	r.records[req.Key()] = claim.Record{
		Key: req.Key(), Attempt: 1, Workers: []string{"w2"}, RequestDigest: "another", Nonce: "n", State: claim.StateDone,
	}
	waiter := r.a.submit(req)
	r.advance(time.Second)
	outcome := <-waiter
	r.Equal(outcome.Result, job.NotRun)
	r.Equal(outcome.Code, job.CodeRequestIDConflict)
	r.Equal(len(r.starts(req.Key())), 0)
	r.advance(2 * time.Second)
	r.checkFinalState()
}

// Guards against a caller that gets two outcomes or none when several callers wait for one run and one stops waiting.
func TestEachWaiterGetsOneOutcome(t *testing.T) {
	r := newFixture(t)
	req := testRequest("q", 1, true)
	first, second := r.a.submit(req), r.a.submit(req)
	r.a.d.removeWaiter(r.a.s, req.Key(), first)
	r.advance(5 * time.Second)
	third := r.a.submit(req)
	r.Equal([]int{len(first), len(second), len(third)}, []int{0, 1, 1})
	r.Equal((<-second).Answer, (<-third).Answer)
	r.True(errors.Is(r.a.d.acceptRequest(r.a.s, req, "another digest", "", make(chan job.Outcome, 1)), ErrRequestConflict))
	r.a.d.cancelRun(r.a.s, r.a.d.runs[req.Key()], job.CodeCancelled, "") // no effect after the run has ended
	r.advance(outcomeRetention + time.Second)
	r.Equal(len(r.a.d.runs), 0) // outcomes are removed after outcomeRetention
}

// Guards against a request that waits or runs although its shape fits no rack.
func TestShapeThatFitsNoRackIsRejected(t *testing.T) {
	r := newFixture(t)
	outcome := <-r.a.submit(testRequest("q", 5, true))
	r.Equal(outcome.Code, job.CodeShapeFitsNoRack)
	r.Equal(outcome.Result, job.NotRun)
	r.Equal(r.a.s.Cluster.Plan(r.clock.Now(), placement.Request{Key: outcome.Key, Shape: job.Shape{Tasks: 1, Slots: 1}}, []string{"r1"}).Result, placement.Placed)
}

// Guards against a new owner that ends an adopted gang because one of its workers answers slightly later than the others.
func TestAdoptionWaitsForSlowWorker(t *testing.T) {
	for _, idempotent := range []bool{false, true} {
		r := newFixture(t)
		req := r.newRequest("q", 2, idempotent, `{"run-time": "9s", "size": 10}`)
		r.a.submit(req)
		r.advance(4 * time.Second)
		slow := r.workers[r.a.d.runs[req.Key()].workers[1]]
		r.a.crashed = true
		slow.SetFaults(standin.Faults{Faults: fault.Faults{Down: true}})
		r.b.setOwnsRack(true)
		r.advance(1500 * time.Millisecond)
		waiter := r.b.submit(req)
		r.advance(500 * time.Millisecond)
		slow.SetFaults(standin.Faults{})
		r.advance(8 * time.Second)
		r.Equal(r.receivedResult(waiter), job.Done)
		r.Equal(r.starts(req.Key()), map[int]int{0: 1, 1: 1})
		r.checkFinalState()
	}
}

// Guards against a claimed attempt that is reported as unknown because its worker did not answer a single query.
func TestResolvingRetriesFailedQuery(t *testing.T) {
	r := newFixture(t)
	req := r.newRequest("q", 1, false, `{"run-time": "9s", "size": 10}`)
	r.a.submit(req)
	name := r.a.firstWorker(req)
	r.b.hideWorker(name)
	r.b.setOwnsRack(true)
	r.advance(time.Second)
	r.workers[name].SetFaults(standin.Faults{Faults: fault.Faults{Down: true, Calls: []string{"tasks"}}})
	waiter := r.b.submit(req)
	r.advance(time.Second)
	r.workers[name].SetFaults(standin.Faults{})
	r.advance(9 * time.Second)
	r.Equal(r.receivedResult(waiter), job.Done)
	r.Equal(r.starts(req.Key()), map[int]int{0: 1})
}

// Guards against a caller that waits until its deadline because a worker is permanently lost.
func TestResolvingEndsWhenWorkerIsLost(t *testing.T) {
	r := newFixture(t)
	req := testRequest("q", 1, false)
	r.records[req.Key()] = claim.Record{
		Key: req.Key(), Attempt: 1, Workers: []string{"gone"}, RequestDigest: "digest of q", Nonce: "n", State: claim.StateClaimed,
	}
	waiter := r.a.submit(req)
	r.advance(5 * time.Second)
	r.Equal(r.receivedResult(waiter), job.Unknown)
	r.Equal(len(r.starts(req.Key())), 0)
}

// Guards against kept answers that use unbounded memory, and against a removed answer that a retry cannot fetch again.
func TestKeptAnswersAreBounded(t *testing.T) {
	r := newFixture(t)
	r.a.d.MaxKeptAnswerBytes = 1000 // enough for two answers
	var requests []job.Request
	for _, id := range []string{"q1", "q2", "q3"} {
		req := r.newRequest(id, 1, false, `{"run-time": "100ms", "size": 400}`)
		requests = append(requests, req)
		r.a.submit(req)
		r.advance(time.Second)
	}
	r.Equal(len(r.a.d.runs), 2)
	waiter := r.a.submit(requests[0])
	r.advance(2 * time.Second)
	r.Equal(r.receivedResult(waiter), job.Done) // fetched from its worker again
	r.Equal(r.starts(requests[0].Key()), map[int]int{0: 1})
}

// Guards against a cancelled request that is reported as not run, or claimed again, while its attempt runs under another
// owner.
func TestCancelWhileResolvingReturnsRunningAttempt(t *testing.T) {
	r := newFixture(t)
	req := testRequest("q", 1, false)
	r.a.submit(req)
	r.b.hideWorker(r.a.firstWorker(req))
	r.b.setOwnsRack(true)
	r.advance(time.Second)
	waiter := r.b.submit(req)
	r.advance(time.Second)
	r.b.d.cancelRun(r.b.s, r.b.d.runs[req.Key()], job.CodeCancelled, "cancelled")
	r.advance(5 * time.Second)
	r.Equal(r.receivedResult(waiter), job.Done)
	r.Equal(r.starts(req.Key()), map[int]int{0: 1})
}
