package engine_test

import (
	"context"
	"testing"
	"time"

	"clementinepier/engine"
	"clementinepier/standin/site"
	"clementinepier/workload"
)

// lastingStep is a step of tasks that last, with at most one on a worker.
func lastingStep(tasks int) workload.Step {
	s := singleTaskStep(1)
	s.Tasks, s.LongRunning, s.MaxTasksPerWorker = tasks, true, 1
	return s
}

// failRuns ends a worker's runs of a job as failed.
func (r *rig) failRuns(worker, job string) {
	r.Set(worker, func(w *site.Worker) { w.EndRunsOf(job, engine.EndFailed) })
}

// failOnOnlyWorker lets a job fail on the only worker of the site, which quarantines it.
func (r *rig) failOnOnlyWorker(p *engine.Planner) {
	r.t.Helper()
	failing := newJob("failing", 1, singleTaskStep(1))
	failing.MaxAttempts = 1
	r.SetTaskProfile("failing", failing.Steps[0], 10*time.Second)
	r.Equal(p.Submit(context.Background(), failing).Verdict, engine.VerdictAccepted)
	time.Sleep(time.Second)
	r.failRuns(r.IDs()[0], "failing")
}

// Guards against a service that takes no other work once tasks that last have failed on each of its workers: the task that tests a
// worker after its quarantine was never done.
func TestLastingTasksDoNotCloseWorkers(t *testing.T) {
	runInVirtualTime(t, func(r *rig) {
		r.LongRunning = true
		p, stop := r.startWithWorkers(4)
		defer stop()
		lasting := []string{"serve", "index"}
		for _, id := range lasting {
			r.mustSubmit(p, id, 1, lastingStep(4), time.Hour)
		}
		time.Sleep(2 * time.Second)
		for i, worker := range r.IDs() {
			r.failRuns(worker, lasting[i%2])
		}
		time.Sleep(8 * time.Second)
		for _, id := range lasting {
			r.Equal(len(r.WorkersRunning(id)), 4)
		}
		for _, id := range []string{"a", "b", "c"} {
			r.mustSubmit(p, id, 1, singleTaskStep(1), time.Second)
		}
		for _, id := range []string{"a", "b", "c"} {
			r.waitForState(p, id, workload.StateCompleted, 3*time.Second)
		}
	})
}

// Guards against a task that lasts and is not started again on its only worker, because the task that tests the worker lasts too: a task
// is back at work 9 s after its end.
func TestLastingTaskIsBackWhileAnotherTestsItsWorker(t *testing.T) {
	runInVirtualTime(t, func(r *rig) {
		r.LongRunning = true
		p, stop := r.startWithWorkers(1)
		defer stop()
		for _, id := range []string{"serve", "index"} {
			r.mustSubmit(p, id, 1, lastingStep(1), time.Hour)
		}
		time.Sleep(2 * time.Second)
		worker := r.IDs()[0]
		r.failRuns(worker, "serve")
		time.Sleep(3500 * time.Millisecond)
		r.Equal(len(r.WorkersRunning("serve")), 1)
		r.failRuns(worker, "index")
		time.Sleep(9 * time.Second)
		for _, id := range []string{"serve", "index"} {
			r.Equal(len(r.WorkersRunning(id)), 1)
		}
	})
}

// Guards against a quarantine that is ended by a task that has been at work since before it.
func TestLastingTaskFromBeforeQuarantineDoesNotEndIt(t *testing.T) {
	runInVirtualTime(t, func(r *rig) {
		r.LongRunning = true
		p, stop := r.startWithWorkers(1)
		defer stop()
		r.mustSubmit(p, "serve", 1, lastingStep(1), time.Hour)
		r.mustSubmit(p, "failing", 1, singleTaskStep(1), 10*time.Second)
		time.Sleep(5 * time.Second)
		worker := r.IDs()[0]
		r.failRuns(worker, "failing")
		time.Sleep(500 * time.Millisecond)
		// A job that waits for a second uses a worker in quarantine too, so each of these waits for less.
		for _, id := range []string{"first", "second"} {
			r.mustSubmit(p, id, 1, singleTaskStep(1), 10*time.Second)
			time.Sleep(900 * time.Millisecond)
			r.Equal(len(r.WorkersRunning(id)), 0)
			r.Equal(p.Cancel(context.Background(), id).Verdict, engine.VerdictAccepted)
			time.Sleep(100 * time.Millisecond)
		}
		r.mustSubmit(p, "next", 1, singleTaskStep(1), 10*time.Second)
		time.Sleep(400 * time.Millisecond)
		r.Equal(len(r.WorkersRunning("next")), 0)
		time.Sleep(600 * time.Millisecond)
		r.Equal(len(r.WorkersRunning("next")), 1)
	})
}

// Guards against a worker that is closed to other work for as long as the task that tests it after its quarantine takes.
func TestLongTaskDoesNotCloseWorker(t *testing.T) {
	runInVirtualTime(t, func(r *rig) {
		p, stop := r.startWithWorkers(1)
		defer stop()
		r.failOnOnlyWorker(p)
		// The quarantine is over by then.
		time.Sleep(3500 * time.Millisecond)
		r.mustSubmit(p, "long", 1, singleTaskStep(1), 30*time.Second)
		time.Sleep(500 * time.Millisecond)
		r.Equal(len(r.WorkersRunning("long")), 1)
		r.mustSubmit(p, "short", 1, singleTaskStep(1), time.Second)
		r.waitForState(p, "short", workload.StateCompleted, 5*time.Second)
	})
}

// Guards against a worker that is never used again because the job that was to test it after its quarantine was rejected, since the store
// did not answer.
func TestRejectedJobDoesNotCloseWorker(t *testing.T) {
	runInVirtualTime(t, func(r *rig) {
		p, stop := r.startWithWorkers(1)
		defer stop()
		r.failOnOnlyWorker(p)
		time.Sleep(3500 * time.Millisecond)
		r.Store.SetRefusing(true)
		r.SetTaskProfile("next", singleTaskStep(1), time.Second)
		r.Equal(p.Submit(context.Background(), newJob("next", 1, singleTaskStep(1))).Verdict, engine.VerdictUnavailable)
		r.Store.SetRefusing(false)
		time.Sleep(time.Second)
		r.mustSubmit(p, "next", 1, singleTaskStep(1), time.Second)
		r.waitForState(p, "next", workload.StateCompleted, 3*time.Second)
	})
}
