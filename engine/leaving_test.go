package engine_test

import (
	"testing"
	"time"

	"clementinepier/engine"
	"clementinepier/standin/site"
	"clementinepier/workload"
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

// Guards against starts on a worker that is back as another kind, by the labels and the capacity of the entry of its earlier incarnation.
func TestRestartedWorkerIsUsedByItsOwnEntryOnly(t *testing.T) {
	runInVirtualTime(t, func(r *rig) {
		p, stop := r.startWithWorkers(2)
		defer stop()
		step := singleTaskStep(8)
		step.Label = "a"
		r.mustSubmit(p, "j1", 1, step, 20*time.Second)
		time.Sleep(3 * time.Second)
		at := r.WorkersRunning("j1")[0]
		earlier := r.Worker(at).Registration
		r.registrations = map[string]engine.Registration{at: earlier}
		r.Set(at, func(w *site.Worker) {
			w.Restart()
			w.Registration.Labels = []string{"b", "r1"}
		})
		started := r.Worker(at).Starts
		// The other worker runs the first job again.
		r.mustSubmit(p, "j2", 1, step, time.Second)
		time.Sleep(3 * time.Second)
		r.Equal(r.Worker(at).Starts, started)
		r.writeOwnEntry(at)
		time.Sleep(2 * time.Second)
		r.Equal(r.Worker(at).Starts, started)
		unlabelled := singleTaskStep(8)
		r.mustSubmit(p, "j3", 1, unlabelled, time.Second)
		r.waitForState(p, "j3", workload.StateCompleted, 3*time.Second)
		r.Equal(r.Worker(at).Starts, started+1)
	})
}
