package engine_test

import (
	"testing"
	"time"

	"clementinepier/metrics"
	"clementinepier/standin/site"
	"clementinepier/workload"
)

// Guards against a job that waits and is not reported: it has a run, but its worker does not answer.
func TestJobOnUnreachableWorkerIsReportedAsIdle(t *testing.T) {
	runInVirtualTime(t, func(r *rig) {
		p, stop := r.startWithWorkers(2)
		defer stop()
		r.mustSubmit(p, "j1", 1, singleTaskStep(8), 4*time.Second)
		time.Sleep(2 * time.Second)
		r.Equal(p.Metrics.Get(metrics.JobsIdle), int64(0))
		r.Set(r.WorkersRunning("j1")[0], func(w *site.Worker) { w.Dead = true })
		time.Sleep(7 * time.Second)
		r.Equal(p.Metrics.Get(metrics.JobsIdle), int64(1))
		r.waitForState(p, "j1", workload.StateCompleted, maxLease)
		time.Sleep(time.Second)
		r.Equal(p.Metrics.Get(metrics.JobsIdle), int64(0))
	})
}

// Guards against a job that waits and is not reported: it has no run, and the workers are full.
func TestJobBehindFullWorkersIsReportedAsIdle(t *testing.T) {
	runInVirtualTime(t, func(r *rig) {
		p, stop := r.startWithWorkers(1)
		defer stop()
		r.mustSubmit(p, "j1", 1, singleTaskStep(8), 6*time.Second)
		r.mustSubmit(p, "j2", 1, singleTaskStep(8), time.Second)
		time.Sleep(4 * time.Second)
		r.Equal(p.Metrics.Get(metrics.JobsIdle), int64(1))
		r.waitForState(p, "j2", workload.StateCompleted, 8*time.Second)
		time.Sleep(time.Second)
		r.Equal(p.Metrics.Get(metrics.JobsIdle), int64(0))
	})
}
