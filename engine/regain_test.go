package engine_test

import (
	"testing"
	"time"

	"clementinepier/standin/site"
	"clementinepier/workload"
)

// Guards against a worker that stays out of use after it was cut off for longer than its lease: once its runs had ended, nothing
// was left to ask it for, and it was never asked again.
func TestWorkerIsUsedAgainAfterItsRunsLapsed(t *testing.T) {
	runInVirtualTime(t, func(r *rig) {
		p, stop := r.startWithWorkers(1)
		defer stop()
		r.mustSubmit(p, "before", 1, singleTaskStep(8), 30*time.Second)
		time.Sleep(time.Second)
		r.Set("r1-w0", func(w *site.Worker) { w.Silent = true })
		time.Sleep(maxLease + 5*time.Second)
		r.Set("r1-w0", func(w *site.Worker) { w.Silent = false })
		r.mustSubmit(p, "after", 0, singleTaskStep(8), time.Second)
		r.waitForState(p, "after", workload.StateCompleted, 4*time.Second)
	})
}

// Guards against a task that is never started because its worker, which has to be asked for its clock first, refuses to report it or
// does not answer.
func TestTaskLeavesWorkerThatRefusesPolls(t *testing.T) {
	for name, fault := range map[string]func(w *site.Worker){
		"refused": func(w *site.Worker) { w.RefusesPolls = true },
		"lost":    func(w *site.Worker) { w.LosePolls = true },
	} {
		t.Run(name, func(t *testing.T) {
			runInVirtualTime(t, func(r *rig) {
				p, stop := r.startWithWorkers(1)
				defer stop()
				r.rest(time.Minute)
				r.Set("r1-w0", fault)
				r.mustSubmit(p, "j1", 0, singleTaskStep(8), time.Second)
				r.AddWorkers("r2", 1)
				r.waitForState(p, "j1", workload.StateCompleted, 3*time.Second)
				r.Equal(r.WorkersRunning("j1"), []string(nil))
				r.Equal(r.Worker("r2-w0").Starts, 1)
			})
		})
	}
}

// Guards against a planner that gives its term up when a worker returns of which it has forgotten that it restarted: the worker
// refuses orders with the fencing token that the planner began with.
func TestRestartedWorkerIsUsedAfterLongAbsence(t *testing.T) {
	runInVirtualTime(t, func(r *rig) {
		p, stop := r.startWithWorkers(1)
		defer stop()
		r.mustSubmit(p, "before", 1, singleTaskStep(8), time.Second)
		r.waitForState(p, "before", workload.StateCompleted, 2*time.Second)
		w := r.Worker("r1-w0")
		r.Set("r1-w0", (*site.Worker).Restart)
		r.Register(w)
		time.Sleep(time.Second)
		r.Deregister(w)
		time.Sleep(3 * time.Minute)
		r.Register(w)
		r.mustSubmit(p, "after", 1, singleTaskStep(8), time.Second)
		r.waitForState(p, "after", workload.StateCompleted, 3*time.Second)
	})
}

// Guards against the same when nothing was stored since the planner was elected, so that the worker's token was raised above all
// revisions that the planner knows.
func TestRestartedWorkerIsUsedAfterLongAbsenceWithoutCommits(t *testing.T) {
	runInVirtualTime(t, func(r *rig) {
		p, stop := r.startWithWorkers(1)
		defer stop()
		time.Sleep(time.Second)
		w := r.Worker("r1-w0")
		r.Set("r1-w0", (*site.Worker).Restart)
		r.Register(w)
		time.Sleep(time.Second)
		r.Deregister(w)
		time.Sleep(3 * time.Minute)
		r.Register(w)
		time.Sleep(time.Second)
		r.mustSubmit(p, "after", 1, singleTaskStep(8), time.Second)
		r.waitForState(p, "after", workload.StateCompleted, 3*time.Second)
	})
}
