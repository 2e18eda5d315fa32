package engine_test

import (
	"context"
	"testing"
	"time"

	"clementinepier/standin/site"
)

// Guards against jobs that have been placed on a worker that is gone, and have not begun, but are not counted as waiting; and against
// counting them for longer than until they begin, also after a change of the planner.
func TestPlacedJobWaitsUntilItBegins(t *testing.T) {
	runInVirtualTime(t, func(r *rig) {
		p, stop := r.startWithWorkers(1)
		waiting := func() int { return p.Waiting(context.Background(), "q").Waiting }
		time.Sleep(4 * time.Second)
		r.Set("r1-w0", func(w *site.Worker) { w.Silent = true })
		for _, id := range []string{"a", "b"} {
			r.mustSubmit(p, id, 1, singleTaskStep(1), 20*time.Second)
		}
		time.Sleep(100 * time.Millisecond)
		r.Equal(waiting(), 2)
		time.Sleep(7 * time.Second)
		r.Equal(waiting(), 2)
		stop()
		p, stop = r.startPlanner("b")
		defer func() { stop() }()
		r.Equal(waiting(), 2)
		r.Set("r1-w0", func(w *site.Worker) { w.Silent = false })
		time.Sleep(15 * time.Second)
		r.Equal(len(r.WorkersRunning("a")), 1)
		r.Equal(waiting(), 0)
	})
}
