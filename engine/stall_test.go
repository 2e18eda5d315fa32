package engine_test

import (
	"context"
	"testing"
	"time"

	"clementinepier/engine"
	"clementinepier/standin/site"
	"clementinepier/workload"
)

// Guards against a planner that waits for a place for its calls: with more workers than places, all of them slow, the calls and
// the control goroutine then wait for each other for ever, and nothing is stored any more.
func TestPlannerOfManySilentWorkersGoesOn(t *testing.T) {
	inBubble(t, func(r *rig) {
		r.AddWorkers("r1", 3000)
		for _, id := range r.IDs() {
			r.Set(id, func(w *site.Worker) { w.Silent = true })
		}
		r.AddWorkers("r2", 1)
		p, stop := r.planner("a")
		defer stop()
		for _, id := range []string{"a", "b", "c"} {
			from := time.Now()
			r.submit(p, id, 1, single(1), time.Second)
			r.True(time.Since(from) < 200*time.Millisecond)
			time.Sleep(time.Second)
		}
		for _, id := range []string{"a", "b", "c"} {
			r.await(p, id, workload.StateCompleted, 6*time.Second)
		}
	})
}

// Guards against a planner that decides nothing any more and goes on renewing its lease, so that no other one takes over.
func TestStalledPlannerLosesItsTerm(t *testing.T) {
	inBubble(t, func(r *rig) {
		r.AddWorkers("r1", 2)
		end := time.Now().Add(20 * time.Second)
		r.hold = func(name string) {
			if name == "a" {
				time.Sleep(time.Until(end))
			}
		}
		_, stopStalled := r.planner("a")
		defer stopStalled()
		time.Sleep(2500 * time.Millisecond)
		_, holder, err := engine.FindHolder(context.Background(), r.Store.Engine())
		r.NoErr(err)
		r.Equal(holder, int64(0))
		p, stop := r.planner("b")
		defer stop()
		r.submit(p, "j1", 1, single(1), time.Second)
		r.await(p, "j1", workload.StateCompleted, 15*time.Second)
	})
}
