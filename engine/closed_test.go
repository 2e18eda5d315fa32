package engine_test

import (
	"testing"
	"time"

	"clementinepier/standin/site"
	"clementinepier/workload"
)

// Guards against a sound job whose attempts are spent on a bad worker, idle because it is closed, although other tasks of the job are at work.
func TestJobAtWorkRisksNoAttemptOnClosedWorker(t *testing.T) {
	runInVirtualTime(t, func(r *rig) {
		p, stop := r.startWithWorkers(4)
		defer stop()
		w := r.newIdleWatch(p)
		failing := newJob("failing", 1, singleTaskStep(8))
		failing.MaxAttempts = 1
		w.submit(failing, 500*time.Millisecond, 1)
		time.Sleep(200 * time.Millisecond)
		closed := r.WorkersRunning("failing")[0]
		r.Set(closed, func(worker *site.Worker) { worker.Fails = true })
		r.waitForState(p, "failing", workload.StateFailed, time.Second)
		wide := newJob("wide", 1, wideStep(4))
		wide.Steps[0].Need.Accelerators = 5
		w.submit(wide, 6*time.Second, 0)
		w.wait(500 * time.Millisecond)
		r.Equal(len(r.WorkersRunning("wide")), 3)
		w.wait(1500 * time.Millisecond)
		r.Equal(r.Worker(closed).Starts, 1)
	})
}
