package engine_test

import (
	"testing"
	"time"

	"clementinepier/standin/site"
)

// Guards against a task that lasts, is left on a worker that drains, and starts elsewhere only when the lease of the worker that has left
// has ended: it is to be back at work 9 s after its last run.
func TestLastingTaskLeavesDrainingWorker(t *testing.T) {
	runInVirtualTime(t, func(r *rig) {
		r.LongRunning = true
		p, stop := r.startWithWorkers(2)
		defer stop()
		r.mustSubmit(p, "serve", 1, lastingStep(1), time.Hour)
		time.Sleep(3 * time.Second)
		at := r.WorkersRunning("serve")[0]
		r.Set(at, func(w *site.Worker) { w.Registration.Draining, w.Registration.DrainRemaining = true, 4*time.Second })
		r.Register(r.Worker(at))
		time.Sleep(4 * time.Second)
		r.Set(at, func(w *site.Worker) { w.Dead = true })
		r.Deregister(r.Worker(at))
		lastRun := time.Now()
		for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
			if len(r.WorkersRunning("serve")) > 0 {
				lastRun = time.Now()
			}
			r.True(time.Since(lastRun) < 9*time.Second)
		}
	})
}
