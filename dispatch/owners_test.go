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

// hide makes the worker unknown to the owner, which therefore neither places on it nor adopts its tasks.
func (o *owner) hide(name string) {
	delete(o.s.Workers, name)
	o.d.SetRacks(o.s)
}

func (o *owner) show(name string) {
	o.s.Workers[name] = kvstore.VM{Name: name, Kind: kvstore.KindWorker, FailureDomain: "d", Rack: "r1"}
	o.d.SetRacks(o.s)
	o.drain()
}

func (r *rig) newRequest(id string, tasks int, idempotent bool, payload string) job.Request {
	req := testRequest(id, tasks, idempotent)
	req.Payload = []byte(payload)
	return req
}

func (r *rig) result(waiter chan job.Outcome) job.Result {
	select {
	case outcome := <-waiter:
		return outcome.Result
	default:
		return ""
	}
}

// firstOn returns the worker that the owner's run uses.
func (o *owner) firstOn(req job.Request) string { return o.d.runs[req.Key()].workers[0] }

const longPayload = `{"run-time": "30s", "size": 10}`

// Guards against a run that goes on after its deadline and whose caller, asking again, is told "unknown" at once.
func TestRetryAfterDeadlineWaits(t *testing.T) {
	r := newRig(t)
	req := r.newRequest("q", 1, false, longPayload)
	first := r.a.submit(req)
	r.ticks(25 * time.Second)
	r.Equal(r.result(first), job.Unknown)
	second := r.a.submit(req)
	r.ticks(time.Second)
	r.Equal(r.result(second), job.Result(""))
	r.ticks(6 * time.Second)
	r.Equal(r.result(second), job.Done)
	r.checkEnd()
}

// Guards against a run that resolves a claim for ever once its deadline has passed.
func TestResolvingEndsAtDeadline(t *testing.T) {
	r := newRig(t)
	req := r.newRequest("q", 1, false, longPayload)
	r.a.submit(req)
	r.b.hide(r.a.firstOn(req))
	r.b.own(true)
	r.ticks(time.Second)
	first := r.b.submit(req)
	r.ticks(time.Second)
	r.Equal(r.b.d.runs[req.Key()].phase, phaseResolving)
	r.ticks(20 * time.Second)
	r.Equal(r.result(first), job.Unknown)
	r.Equal(len(r.b.d.runs), 0)
	second := r.b.submit(req)
	r.ticks(10 * time.Second)
	r.Equal(r.result(second), job.Done)
	r.Equal(r.starts(req.Key()), map[int]int{0: 1})
}

// Guards against a claim that is answered after its attempt was given up and takes a later attempt, or an adopted one,
// out of the control loop, so that its capacity stays held.
func TestClaimAnsweredLate(t *testing.T) {
	for _, hidden := range []bool{true, false} {
		r := newRig(t)
		req := r.newRequest("q", 1, false, `{"run-time": "9s", "size": 10}`)
		r.b.own(true)
		r.ticks(time.Second)
		first := r.b.submit(req)
		r.a.hide(r.b.firstOn(req))
		r.a.slow = 3500 * time.Millisecond
		second := r.a.submit(req)
		r.a.slow = 0
		r.ticks(3100 * time.Millisecond) // the attempt was given up after 3 s, and the next begins after 3.5 s
		if !hidden {
			r.a.show(r.b.firstOn(req))
		}
		r.ticks(12 * time.Second)
		r.Equal(r.result(first), job.Done)
		r.Equal(r.result(second), job.Done)
		r.Equal(r.starts(req.Key()), map[int]int{0: 1})
		for _, name := range []string{"w1", "w2", "w3", "w4"} {
			r.a.show(name)
		}
		r.ticks(2 * time.Second)
		r.checkEnd()
	}
}

func (o *owner) free() int {
	free := 0
	for _, rack := range o.s.Cluster.Summaries() {
		free += rack.FreeAccelerators
	}
	return free
}

// Guards against a model that loses what one owner holds when another starts a task with the same id.
func TestSameTaskIDOfTwoOwners(t *testing.T) {
	r := newRig(t)
	req := r.newRequest("q", 1, true, `{"run-time": "5s", "size": 10}`)
	first := r.a.submit(req)
	r.b.hide(r.a.firstOn(req))
	r.b.own(true)
	r.ticks(200 * time.Millisecond)
	second := r.b.submit(req)
	r.ticks(time.Second)
	r.Equal(r.starts(req.Key()), map[int]int{0: 2})
	r.Equal(r.a.free(), 16)
	r.ticks(5 * time.Second)
	r.Equal(r.result(first), job.Done)
	r.Equal(r.result(second), job.Done)
	r.Equal(r.a.free(), 32)
}

// Guards against a guarantee that is not given back in time, and a preempted request that starts again without its
// payload because its new owner has not got it yet.
func TestPreemption(t *testing.T) {
	for _, adopted := range []bool{false, true} {
		r := newRig(t)
		borrower := r.newRequest("q", 4, true, `{"run-time": "8s", "size": 10}`)
		waiter, at := r.a.submit(borrower), r.a
		r.ticks(4 * time.Second)
		if adopted {
			r.a.dead, at = true, r.b
			r.b.own(true)
			r.ticks(time.Second)
			r.Equal(r.b.d.runs[borrower.Key()].phase, phaseActive)
		}
		guaranteed := r.newRequest("g", 1, false, testPayload)
		guaranteed.Organisation = "gold"
		gold := at.submit(guaranteed)
		r.ticks(4500 * time.Millisecond) // within the reclaim bound of 5 s and the run time of 3 s
		r.ticks(3500 * time.Millisecond)
		r.Equal(r.result(gold), job.Done)
		if adopted {
			r.Equal(r.starts(borrower.Key()), map[int]int{0: 1, 1: 1, 2: 1, 3: 1})
			waiter = r.b.submit(borrower)
		}
		r.ticks(15 * time.Second)
		r.Equal(r.result(waiter), job.Done)
		r.checkEnd()
	}
}

// Guards against a request that runs under an id that was claimed for another body.
func TestClaimOfAnotherBody(t *testing.T) {
	r := newRig(t)
	req := testRequest("q", 1, false)
	r.records[req.Key()] = claim.Record{
		Key: req.Key(), Attempt: 1, Workers: []string{"w2"}, RequestDigest: "another", Nonce: "n", State: claim.StateDone,
	}
	waiter := r.a.submit(req)
	r.ticks(time.Second)
	outcome := <-waiter
	r.Equal(outcome.Result, job.NotRun)
	r.Equal(outcome.Code, job.CodeRequestIDConflict)
	r.Equal(len(r.starts(req.Key())), 0)
	r.ticks(2 * time.Second)
	r.checkEnd()
}

// Guards against two outcomes for one caller, or none, when several wait for one run and one gives up.
func TestWaiters(t *testing.T) {
	r := newRig(t)
	req := testRequest("q", 1, true)
	first, second := r.a.submit(req), r.a.submit(req)
	r.a.d.abandon(r.a.s, req.Key(), first)
	r.ticks(5 * time.Second)
	third := r.a.submit(req)
	r.Equal([]int{len(first), len(second), len(third)}, []int{0, 1, 1})
	r.Equal((<-second).Answer, (<-third).Answer)
	r.True(errors.Is(r.a.d.accept(r.a.s, req, "another digest", "", make(chan job.Outcome, 1)), ErrRequestConflict))
	r.a.d.cancel(r.a.s, r.a.d.runs[req.Key()], job.CodeCancelled, "") // after the end: no effect
	r.ticks(outcomeRetention + time.Second)
	r.Equal(len(r.a.d.runs), 0) // an outcome is not kept for ever
}

// Guards against a request that waits for a rack that another owner has, or runs where nothing fits it.
func TestNeverFits(t *testing.T) {
	r := newRig(t)
	outcome := <-r.a.submit(testRequest("q", 5, true))
	r.Equal(outcome.Code, job.CodeShapeFitsNoRack)
	r.Equal(outcome.Result, job.NotRun)
	r.Equal(r.a.s.Cluster.Plan(r.clock.Now(), placement.Request{Key: outcome.Key, Shape: job.Shape{Tasks: 1, Slots: 1}}, []string{"r1"}).Result, placement.Placed)
}

// Guards against a gang that a new owner ends because one of its workers answers a little later than the others.
func TestAdoptionWaitsForSlowWorker(t *testing.T) {
	for _, idempotent := range []bool{false, true} {
		r := newRig(t)
		req := r.newRequest("q", 2, idempotent, `{"run-time": "9s", "size": 10}`)
		r.a.submit(req)
		r.ticks(4 * time.Second)
		slow := r.workers[r.a.d.runs[req.Key()].workers[1]]
		r.a.dead = true
		slow.SetFaults(standin.Faults{Faults: fault.Faults{Down: true}})
		r.b.own(true)
		r.ticks(1500 * time.Millisecond)
		waiter := r.b.submit(req)
		r.ticks(500 * time.Millisecond)
		slow.SetFaults(standin.Faults{})
		r.ticks(8 * time.Second)
		r.Equal(r.result(waiter), job.Done)
		r.Equal(r.starts(req.Key()), map[int]int{0: 1, 1: 1})
		r.checkEnd()
	}
}

// Guards against a claimed attempt that is given up as unknown because its worker did not answer one question.
func TestResolvingAsksAgain(t *testing.T) {
	r := newRig(t)
	req := r.newRequest("q", 1, false, `{"run-time": "9s", "size": 10}`)
	r.a.submit(req)
	name := r.a.firstOn(req)
	r.b.hide(name)
	r.b.own(true)
	r.ticks(time.Second)
	r.workers[name].SetFaults(standin.Faults{Faults: fault.Faults{Down: true, Calls: []string{"tasks"}}})
	waiter := r.b.submit(req)
	r.ticks(time.Second)
	r.workers[name].SetFaults(standin.Faults{})
	r.ticks(9 * time.Second)
	r.Equal(r.result(waiter), job.Done)
	r.Equal(r.starts(req.Key()), map[int]int{0: 1})
}

// Guards against a worker that is gone for good keeping a caller waiting until its deadline.
func TestResolvingEndsWithoutWorker(t *testing.T) {
	r := newRig(t)
	req := testRequest("q", 1, false)
	r.records[req.Key()] = claim.Record{
		Key: req.Key(), Attempt: 1, Workers: []string{"gone"}, RequestDigest: "digest of q", Nonce: "n", State: claim.StateClaimed,
	}
	waiter := r.a.submit(req)
	r.ticks(5 * time.Second)
	r.Equal(r.result(waiter), job.Unknown)
	r.Equal(len(r.starts(req.Key())), 0)
}

// Guards against answers that are kept without a bound on their memory, and against the loss of a dropped one.
func TestKeptAnswersAreBounded(t *testing.T) {
	r := newRig(t)
	r.a.d.MaxKept = 1000 // two answers
	var requests []job.Request
	for _, id := range []string{"q1", "q2", "q3"} {
		req := r.newRequest(id, 1, false, `{"run-time": "100ms", "size": 400}`)
		requests = append(requests, req)
		r.a.submit(req)
		r.ticks(time.Second)
	}
	r.Equal(len(r.a.d.runs), 2)
	waiter := r.a.submit(requests[0])
	r.ticks(2 * time.Second)
	r.Equal(r.result(waiter), job.Done) // fetched from its worker again
	r.Equal(r.starts(requests[0].Key()), map[int]int{0: 1})
}

// Guards against a cancelled request that is reported as not run, or claimed again, while its attempt runs under another
// owner.
func TestCancelledWhileResolving(t *testing.T) {
	r := newRig(t)
	req := testRequest("q", 1, false)
	r.a.submit(req)
	r.b.hide(r.a.firstOn(req))
	r.b.own(true)
	r.ticks(time.Second)
	waiter := r.b.submit(req)
	r.ticks(time.Second)
	r.b.d.cancel(r.b.s, r.b.d.runs[req.Key()], job.CodeCancelled, "cancelled")
	r.ticks(5 * time.Second)
	r.Equal(r.result(waiter), job.Done)
	r.Equal(r.starts(req.Key()), map[int]int{0: 1})
}
