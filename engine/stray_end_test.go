package engine_test

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"clementinepier/engine"
	"clementinepier/workload"
)

// Guards against a worker that discards an end before it is stored, because another server has answered at its address and an entry of
// another writer made the planner forget which ends it has applied.
func TestEndThatIsListedAgainIsStoredBeforeWorkerDiscardsIt(t *testing.T) {
	runInVirtualTime(t, func(r *rig) {
		var other atomic.Bool
		r.wrapWorkers = func(w engine.Workers) engine.Workers {
			return otherServers(w, func(engine.Target) bool { return other.Load() })
		}
		p, stop := r.startWithWorkers(1)
		r.mustSubmit(p, "long", 1, singleTaskStep(4), time.Minute)
		r.mustSubmit(p, "j1", 1, singleTaskStep(4), 2*time.Second)
		time.Sleep(time.Second)
		r.Store.SetRefusing(true)
		time.Sleep(1500 * time.Millisecond)
		other.Store(true)
		time.Sleep(1500 * time.Millisecond)
		other.Store(false)
		r.writeForeignEntry("r1-w0", func(e *engine.Registration) { e.Incarnation += 500 })
		time.Sleep(500 * time.Millisecond)
		r.writeOwnEntry("r1-w0")
		time.Sleep(2 * time.Second)
		stop()
		r.Store.SetRefusing(false)
		p, stop = r.startPlanner("b")
		defer stop()
		r.waitForState(p, "j1", workload.StateCompleted, 20*time.Second)
		r.Equal(p.Cancel(context.Background(), "long").Verdict, engine.VerdictAccepted)
	})
}
