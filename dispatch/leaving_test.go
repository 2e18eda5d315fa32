package dispatch

import (
	"fmt"
	"testing"
	"time"

	"clementinepier/bundle"
	"clementinepier/job"
)

// startsOn returns the number of starts that a worker has logged.
func (r *fixture) startsOn(name string) int {
	r.log.mu.Lock()
	defer r.log.mu.Unlock()
	return r.log.startsByWorker[name]
}

// Guards against new tasks on a backend server that is leaving, known from its own report, from the platform's list, or
// from its report to an owner that took the rack over later.
func TestLeavingWorkerGetsNoNewTasks(t *testing.T) {
	cases := []struct {
		name  string
		leave func(r *fixture)
	}{
		{"own report", func(r *fixture) { r.workers["w1"].SetLeaving(true) }},
		{"platform's list", func(r *fixture) {
			r.a.s.LeavingWorkers["w1"] = true
			r.a.s.Cluster.SetAvailable("w1", false)
		}},
		{"own report, then another owner", func(r *fixture) {
			r.workers["w1"].SetLeaving(true)
			r.a.setOwnsRack(false)
			r.b.setOwnsRack(true)
			r.a = r.b
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := newFixture(t)
			before := r.a.submit(testRequest("before", 4, true))
			r.advance(time.Second)
			r.Equal(r.startsOn("w1"), 1) // the gang has a member on every worker
			c.leave(r)
			r.advance(2 * time.Second) // the report must be known within this time
			for i := range 12 {
				r.a.submit(testRequest(fmt.Sprint("after-", i), 1, i%2 == 0))
			}
			r.advance(15 * time.Second)
			r.Equal(r.startsOn("w1"), 1)                        // no new task
			r.True(r.startsOn("w2") >= 4)                       // the other workers run the tasks
			r.True(len(before) == 1 || c.name == cases[2].name) // the task that ran there finished
		})
	}
}

// Guards against too many starts at once in a failure domain that has just returned to service, and against a rate limit
// that never ends.
func TestStartRateRampsUpAfterReturnToService(t *testing.T) {
	r := newFixture(t)
	r.setView(map[string]bundle.SignedOrder{})
	r.a.s.ReturnedToServiceAt = r.clock.Now()
	short := func(id string) {
		req := testRequest(id, 1, true)
		req.Payload, req.Shape.Accelerators = []byte(`{"run-time": "10ms", "size": 1}`), 0
		r.a.submit(req)
	}
	for i := range 300 {
		short(fmt.Sprint("waiting-", i))
	}
	total := func() int {
		return r.startsOn("w1") + r.startsOn("w2") + r.startsOn("w3") + r.startsOn("w4")
	}
	// Each bound is the integral of the rising start rate up to that time, plus one start.
	for _, c := range []struct {
		after time.Duration
		most  int
	}{{500 * time.Millisecond, 11}, {time.Second, 30}, {2 * time.Second, 97}} {
		r.advance(c.after - r.clock.Since(r.a.s.ReturnedToServiceAt))
		r.True(total() >= 1)
		r.True(total() <= c.most)
	}
	r.advance(rampWindow)
	r.Equal(total(), 300)
}

// Guards against a request that waits at a busy owner while another owner has capacity, and against the return of a request
// that is running or for which no other owner has capacity.
func TestWaitingRequestIsReturnedWhenOtherOwnerHasCapacity(t *testing.T) {
	for _, room := range []bool{false, true} {
		r := newFixture(t)
		r.a.d.HasCapacityElsewhere = func(job.Request) bool { return room }
		long := r.newRequest("long", 4, true, `{"run-time": "8s", "size": 1}`)
		busy := r.a.submit(long)
		r.advance(500 * time.Millisecond)
		waiter := r.a.submit(r.newRequest("q", 4, true, testPayload))
		r.advance(rerouteInterval + 200*time.Millisecond)
		if room {
			outcome := <-waiter
			r.Equal(outcome.Result, job.NotRun)
			r.Equal(outcome.Code, job.CodeNoRack)
		} else {
			r.Equal(len(waiter), 0)
			r.advance(14 * time.Second)
			r.Equal(r.receivedResult(waiter), job.Done)
		}
		r.advance(10 * time.Second)
		r.Equal(r.receivedResult(busy), job.Done) // a running request is not returned
		r.checkFinalState()
	}
}
