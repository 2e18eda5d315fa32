package dispatch

import (
	"fmt"
	"testing"
	"time"

	"clementinepier/breaker"
	standin "clementinepier/standin/worker"
)

// Guards against a worker that fails every task and still gets new ones, and against quarantine of the workers that only
// share a gang with it.
func TestFailingWorkerIsQuarantined(t *testing.T) {
	r := newFixture(t)
	r.workers["w1"].SetFaults(standin.Faults{FailTasks: true})
	for i := range 12 {
		req := testRequest(fmt.Sprint("gang-", i), 4, true) // a member on every worker
		req.Timeout /= 10
		r.a.submit(req)
		r.advance(2 * time.Second)
	}
	r.True(r.a.s.Breaker.Quarantined("w1"))
	for _, name := range []string{"w2", "w3", "w4"} {
		r.True(!r.a.s.Breaker.Quarantined(name))
	}
	before := r.startsOn("w1")
	for i := range 8 {
		r.a.submit(testRequest(fmt.Sprint("single-", i), 1, true))
	}
	r.advance(10 * time.Second)
	r.Equal(r.startsOn("w1"), before)
}

// Guards against a worker that gets no tasks any more because the gang that tested it after its quarantine failed on another worker.
func TestGangThatFailsElsewhereDoesNotCloseTestedWorker(t *testing.T) {
	r := newFixture(t)
	for i := range breaker.DefaultFailureThreshold {
		r.a.s.Breaker.RecordFailure(r.clock.Now(), "w2", testRequest(fmt.Sprint("earlier-", i), 1, true).Key())
	}
	r.advance(breaker.DefaultInitialQuarantine + time.Second)
	r.True(r.a.s.Breaker.Allowed(r.clock.Now(), "w2", true))
	r.workers["w1"].SetFaults(standin.Faults{FailTasks: true})
	r.a.submit(testRequest("gang", 4, true)) // a member on every worker
	r.advance(30 * time.Second)
	r.True(r.startsOn("w2") > 0)
	r.True(r.a.s.Breaker.Allowed(r.clock.Now(), "w2", true))
}

// Guards against a worker that gets no tasks any more because its rack moved to another owner, and back, while a task tested it.
func TestRackThatMovesDoesNotCloseTestedWorker(t *testing.T) {
	r := newFixture(t)
	for i := range breaker.DefaultFailureThreshold {
		for _, name := range []string{"w1", "w2", "w3", "w4"} {
			r.a.s.Breaker.RecordFailure(r.clock.Now(), name, testRequest(fmt.Sprint("earlier-", i), 1, true).Key())
		}
	}
	r.advance(breaker.DefaultInitialQuarantine + time.Second)
	r.a.submit(testRequest("single", 1, true))
	r.advance(100 * time.Millisecond)
	r.a.setOwnsRack(false)
	r.advance(100 * time.Millisecond)
	r.a.setOwnsRack(true)
	r.advance(100 * time.Millisecond)
	for _, name := range []string{"w1", "w2", "w3", "w4"} {
		r.True(r.a.s.Breaker.Allowed(r.clock.Now(), name, true))
	}
}
