package dispatch

import (
	"fmt"
	"testing"
	"time"

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
