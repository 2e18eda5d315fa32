package engine_test

import (
	"context"
	"strconv"
	"testing"
	"time"

	"clementinepier/engine"
	"clementinepier/standin/site"
	"clementinepier/workload"
)

// Guards against steps that start before the steps they wait for are done.
func TestStepWaitsForEarlierOnes(t *testing.T) {
	runInVirtualTime(t, func(r *rig) {
		p, stop := r.startWithWorkers(2)
		defer stop()
		second := singleTaskStep(1)
		second.After = []int{0}
		job := newJob("j1", 1, singleTaskStep(1))
		job.Steps = append(job.Steps, second)
		r.SetTaskProfile("j1", job.Steps[0], 2*time.Second)
		r.Equal(p.Submit(context.Background(), job).Verdict, engine.VerdictAccepted)
		time.Sleep(1900 * time.Millisecond)
		r.Equal(len(r.WorkersRunning("j1")), 1)
		r.waitForState(p, "j1", workload.StateCompleted, 4*time.Second)
	})
}

// Guards against occurrences that start before they are due or that wait for each other.
func TestOccurrencesStartOnTime(t *testing.T) {
	runInVirtualTime(t, func(r *rig) {
		p, stop := r.startWithWorkers(2)
		defer stop()
		job := newJob("j1", 1, singleTaskStep(1))
		job.Repeat, job.FirstRun, job.Interval = 3, time.Now().Add(2*time.Second), time.Second
		r.SetTaskProfile("j1", job.Steps[0], 2500*time.Millisecond)
		r.Equal(p.Submit(context.Background(), job).Verdict, engine.VerdictAccepted)
		for _, step := range []struct {
			after time.Duration
			runs  int
		}{{1900 * time.Millisecond, 0}, {400 * time.Millisecond, 1}, {time.Second, 2}, {time.Second, 3}} {
			time.Sleep(step.after)
			r.Equal(len(r.WorkersRunning("j1")), step.runs)
		}
		r.waitForState(p, "j1", workload.StateCompleted, 4*time.Second)
	})
}

// Guards against a long-running task that is not restarted when it ends, and against one that keeps running after its job is
// cancelled.
func TestLongRunningTaskRestartsUntilJobIsCancelled(t *testing.T) {
	runInVirtualTime(t, func(r *rig) {
		p, stop := r.startWithWorkers(2)
		defer stop()
		longRunning := singleTaskStep(1)
		longRunning.LongRunning = true
		r.LongRunning = true
		r.mustSubmit(p, "j1", 1, longRunning, time.Second)
		time.Sleep(3500 * time.Millisecond)
		r.Equal(len(r.WorkersRunning("j1")), 1)
		r.Equal(p.State(context.Background(), "j1").State, workload.StateRunning)
		r.Equal(p.Cancel(context.Background(), "j1").Verdict, engine.VerdictAccepted)
		time.Sleep(time.Second)
		r.Equal(len(r.WorkersRunning("j1")), 0)
		r.Equal(p.State(context.Background(), "j1").State, workload.StateCancelled)
	})
}

// Guards against a failing job that is retried for ever, and against one that fails with attempts left.
func TestJobFailsAfterMaxAttempts(t *testing.T) {
	runInVirtualTime(t, func(r *rig) {
		r.AddWorkers("r1", 6)
		for _, id := range r.IDs() {
			w := r.Worker(id)
			w.Fails = true
		}
		p, stop := r.startPlanner("a")
		defer stop()
		r.mustSubmit(p, "j1", 1, gangStep(2, 1), time.Second)
		r.waitForState(p, "j1", workload.StateFailed, 10*time.Second)
		starts := 0
		for _, id := range r.IDs() {
			w := r.Worker(id)
			starts += w.Starts
		}
		r.Equal(starts, 6)
	})
}

// Guards against a worker that fails everything it starts and still gets runs while others are free.
func TestFailingWorkerIsQuarantined(t *testing.T) {
	runInVirtualTime(t, func(r *rig) {
		p, stop := r.startWithWorkers(3)
		defer stop()
		r.Worker("r1-w0").Fails = true
		for _, id := range []string{"a", "b", "c", "d", "e", "f", "g", "h"} {
			r.mustSubmit(p, id, 1, singleTaskStep(1), time.Second)
			time.Sleep(700 * time.Millisecond)
		}
		for _, id := range []string{"a", "b", "c", "d", "e", "f", "g", "h"} {
			r.waitForState(p, id, workload.StateCompleted, 5*time.Second)
		}
		r.True(r.Worker("r1-w0").Starts <= 3)
	})
}

// Guards against a quarantined worker that never gets runs again although it has recovered.
func TestQuarantinedWorkerReturnsToUse(t *testing.T) {
	runInVirtualTime(t, func(r *rig) {
		p, stop := r.startWithWorkers(1)
		defer stop()
		r.Set("r1-w0", func(w *site.Worker) { w.Fails = true })
		for _, id := range []string{"a", "b", "c"} {
			r.mustSubmit(p, id, 1, singleTaskStep(1), time.Second)
		}
		time.Sleep(20 * time.Second)
		// Each job starts on the worker at most once, either immediately or as a probe.
		r.True(r.Worker("r1-w0").Starts <= 3)
		r.Set("r1-w0", func(w *site.Worker) { w.Fails = false })
		for _, id := range []string{"d", "e"} {
			r.mustSubmit(p, id, 1, singleTaskStep(1), time.Second)
		}
		for _, id := range []string{"d", "e"} {
			r.waitForState(p, id, workload.StateCompleted, 20*time.Second)
		}
	})
}

// Guards against a task that stays stalled on one worker for ever.
func TestStalledRunIsMoved(t *testing.T) {
	runInVirtualTime(t, func(r *rig) {
		p, stop := r.startWithWorkers(2)
		defer stop()
		r.mustSubmit(p, "j1", 1, singleTaskStep(8), 2*time.Second)
		time.Sleep(100 * time.Millisecond)
		r.Set(r.WorkersRunning("j1")[0], func(w *site.Worker) { w.Stalled = true })
		r.waitForState(p, "j1", workload.StateCompleted, 12*time.Second)
	})
}

// Guards against starts in a failure domain that is out of service.
func TestNothingStartsInEvacuatedFailureDomain(t *testing.T) {
	runInVirtualTime(t, func(r *rig) {
		r.AddWorkers("r1", 1)
		r.AddWorkers("r2", 1)
		r.conf.Evacuated = map[string]bool{"fd-r1": true}
		p, stop := r.startPlanner("a")
		defer stop()
		for _, id := range []string{"a", "b"} {
			r.mustSubmit(p, id, 1, singleTaskStep(8), time.Second)
		}
		for _, id := range []string{"a", "b"} {
			r.waitForState(p, id, workload.StateCompleted, 5*time.Second)
		}
		r.Equal(r.Worker("r1-w0").Starts, 0)
	})
}

// Guards against urgent work that waits for jobs that use borrowed capacity, and against losing the preempted jobs.
func TestUrgentJobPreemptsBorrowers(t *testing.T) {
	runInVirtualTime(t, func(r *rig) {
		p, stop := r.startWithWorkers(2)
		defer stop()
		for _, id := range []string{"a", "b"} {
			r.mustSubmit(p, id, 2, singleTaskStep(8), 6*time.Second)
		}
		time.Sleep(time.Second)
		r.mustSubmit(p, "urgent", 0, gangStep(2, 4), time.Second)
		r.waitForState(p, "urgent", workload.StateCompleted, 2500*time.Millisecond)
		for _, id := range []string{"a", "b"} {
			r.waitForState(p, id, workload.StateCompleted, 16*time.Second)
		}
	})
}

// Guards against guaranteed work that cannot start in time because urgent jobs of other organisations occupy all workers.
func TestGuaranteeIsReclaimedFromUrgentBorrowers(t *testing.T) {
	runInVirtualTime(t, func(r *rig) {
		p, stop := r.startWithWorkers(2)
		defer stop()
		for _, id := range []string{"a", "b"} {
			borrower := newJob(id, 0, singleTaskStep(8))
			borrower.Organisation = "other"
			r.SetTaskProfile(id, borrower.Steps[0], 20*time.Second)
			r.Equal(p.Submit(context.Background(), borrower).Verdict, engine.VerdictAccepted)
		}
		time.Sleep(time.Second)
		r.mustSubmit(p, "urgent", 0, gangStep(2, 8), time.Second)
		r.waitForState(p, "urgent", workload.StateCompleted, 2500*time.Millisecond)
	})
}

// Guards against accepting work that no worker could ever run, which waits until its caller times out, and against refusing
// work that only has to wait.
func TestImpossibleWorkIsRefusedImmediately(t *testing.T) {
	runInVirtualTime(t, func(r *rig) {
		p, stop := r.startWithWorkers(2)
		defer stop()
		r.mustSubmit(p, "busy", 1, gangStep(2, 8), 2*time.Second)
		label, spread := singleTaskStep(1), gangStep(3, 1)
		label.Label, spread.MaxTasksPerWorker = "absent", 1
		for id, step := range map[string]workload.Step{"large": singleTaskStep(9), "wide": gangStep(3, 8), "label": label, "spread": spread} {
			result := p.Submit(context.Background(), newJob(id, 1, step))
			r.Equal(result.Verdict, engine.VerdictRefused)
			r.True(result.RetryAfter > 0)
			r.Equal(p.State(context.Background(), id).Verdict, engine.VerdictAbsent)
		}
		for id, step := range map[string]workload.Step{"single": singleTaskStep(8), "gang": gangStep(2, 8), "many": {Tasks: 5, Need: singleTaskStep(8).Need}} {
			r.mustSubmit(p, id, 1, step, time.Second)
		}
		for _, id := range []string{"busy", "single", "gang", "many"} {
			r.waitForState(p, id, workload.StateCompleted, 30*time.Second)
		}
	})
}

// Guards against urgent work that waits for a poll whose response was lost although the worker has confirmed the preempting
// stop.
func TestLostPollDoesNotDelayPreemption(t *testing.T) {
	runInVirtualTime(t, func(r *rig) {
		p, stop := r.startWithWorkers(1)
		defer stop()
		r.Set("r1-w0", func(w *site.Worker) { w.LosePolls = true })
		time.Sleep(3 * time.Second)
		r.Set("r1-w0", func(w *site.Worker) { w.LosePolls = false })
		r.mustSubmit(p, "borrower", 2, singleTaskStep(8), 6*time.Second)
		time.Sleep(time.Second)
		r.Equal(len(r.WorkersRunning("borrower")), 1)
		// The poll in flight gets its response; the response to the next one is lost.
		r.Set("r1-w0", func(w *site.Worker) { w.LosePolls = true })
		time.Sleep(50 * time.Millisecond)
		r.mustSubmit(p, "urgent", 0, singleTaskStep(8), time.Second)
		r.Set("r1-w0", func(w *site.Worker) { w.LosePolls = false })
		r.waitForState(p, "urgent", workload.StateCompleted, 2*time.Second)
	})
}

// Guards against jobs that run out of attempts because a tenth of the workers fails everything it starts but appears
// healthy. Most gang placements include such a worker until the faulty workers are quarantined.
func TestGangsCompleteDespiteFailingWorkers(t *testing.T) {
	runInVirtualTime(t, func(r *rig) {
		r.AddWorkers("r1", 60)
		for i, id := range r.IDs() {
			if i%10 == 0 {
				r.Set(id, func(w *site.Worker) { w.Fails = true })
			}
		}
		p, stop := r.startPlanner("a")
		defer stop()
		const jobs = 20
		for i := range jobs {
			id := "j" + strconv.Itoa(i)
			step := gangStep(12, 4)
			r.SetTaskProfile(id, step, time.Second)
			job := newJob(id, 1, step)
			job.MaxAttempts = 2
			r.Equal(p.Submit(context.Background(), job).Verdict, engine.VerdictAccepted)
			time.Sleep(100 * time.Millisecond)
		}
		time.Sleep(10 * time.Second)
		failed := 0
		for i := range jobs {
			if p.State(context.Background(), "j"+strconv.Itoa(i)).State != workload.StateCompleted {
				failed++
			}
		}
		t.Log(failed, "of", jobs, "jobs failed")
		r.True(failed <= jobs/10)
	})
}
