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

// Guards against a control goroutine that waits for a free call slot. With more slow workers than slots, the calls and the
// control goroutine deadlocked, and nothing was stored any more.
func TestPlannerContinuesWithManyUnreachableWorkers(t *testing.T) {
	runInVirtualTime(t, func(r *rig) {
		r.AddWorkers("r1", 3000)
		for _, id := range r.IDs() {
			r.Set(id, func(w *site.Worker) { w.Silent = true })
		}
		r.AddWorkers("r2", 1)
		p, stop := r.startPlanner("a")
		defer stop()
		for _, id := range []string{"a", "b", "c"} {
			start := time.Now()
			r.mustSubmit(p, id, 1, singleTaskStep(1), time.Second)
			r.True(time.Since(start) < 200*time.Millisecond)
			time.Sleep(time.Second)
		}
		for _, id := range []string{"a", "b", "c"} {
			r.waitForState(p, id, workload.StateCompleted, 6*time.Second)
		}
	})
}

// Guards against a planner that no longer makes decisions but still renews its lease, so that no other entry VM takes over.
func TestStalledPlannerLosesItsTerm(t *testing.T) {
	runInVirtualTime(t, func(r *rig) {
		r.AddWorkers("r1", 2)
		end := time.Now().Add(20 * time.Second)
		r.onConfiguration = func(name string) {
			if name == "a" {
				time.Sleep(time.Until(end))
			}
		}
		_, stopStalled := r.startPlanner("a")
		defer stopStalled()
		time.Sleep(2500 * time.Millisecond)
		_, holder, err := engine.FindHolder(context.Background(), r.Store.Engine())
		r.NoErr(err)
		r.Equal(holder, int64(0))
		p, stop := r.startPlanner("b")
		defer stop()
		r.mustSubmit(p, "j1", 1, singleTaskStep(1), time.Second)
		r.waitForState(p, "j1", workload.StateCompleted, 15*time.Second)
	})
}

// submitAll submits jobs j0, j1 and so on at an interval, with the priorities in turn, without waiting for the results in
// between. It requires that all are accepted, and returns how long each took.
func (r *rig) submitAll(p *engine.Planner, jobs int, interval time.Duration, priorities ...int) []time.Duration {
	r.t.Helper()
	type outcome struct {
		verdict engine.Verdict
		took    time.Duration
	}
	outcomes := make(chan outcome, jobs)
	for i := range jobs {
		id, priority := "j"+strconv.Itoa(i), priorities[i%len(priorities)]
		r.SetTaskProfile(id, singleTaskStep(1), time.Second)
		go func() {
			start := time.Now()
			result := p.Submit(context.Background(), newJob(id, priority, singleTaskStep(1)))
			outcomes <- outcome{verdict: result.Verdict, took: time.Since(start)}
		}()
		time.Sleep(interval)
	}
	took := make([]time.Duration, 0, jobs)
	for range jobs {
		o := <-outcomes
		r.Equal(o.verdict, engine.VerdictAccepted)
		took = append(took, o.took)
	}
	return took
}

// Guards against storing jobs with one commit at a time while the store is slow. At the load of the largest deployment,
// changes arose faster than they were stored, and callers timed out before their jobs were accepted.
func TestSlowStoreHandlesLoad(t *testing.T) {
	runInVirtualTime(t, func(r *rig) {
		r.Store.CommitDelay = 300 * time.Millisecond
		r.AddWorkers("r1", 40)
		p, stop := r.startPlanner("a")
		defer stop()
		const jobs = 300
		for _, took := range r.submitAll(p, jobs, 10*time.Millisecond, 0, 1, 2) {
			r.True(took < time.Second)
		}
		for i := range jobs {
			r.waitForState(p, "j"+strconv.Itoa(i), workload.StateCompleted, 20*time.Second)
		}
	})
}

// Guards against many jobs with an unknown outcome, whose callers cannot retry, when the store stops responding under load:
// only a few jobs may be sent before the outage is detected.
func TestFewJobsAreSentToUnresponsiveStore(t *testing.T) {
	runInVirtualTime(t, func(r *rig) {
		p, stop := r.startWithWorkers(2)
		defer stop()
		for i := range 20 {
			r.mustSubmit(p, "before"+strconv.Itoa(i), 1, singleTaskStep(1), time.Second)
		}
		r.Store.SetSilent(true)
		const jobs, interval = 60, 10 * time.Millisecond
		verdicts := make(chan engine.Verdict, jobs)
		for i := range jobs {
			go func() {
				ctx, cancel := context.WithTimeout(context.Background(), 2500*time.Millisecond)
				defer cancel()
				verdicts <- p.Submit(ctx, newJob("j"+strconv.Itoa(i), 1, singleTaskStep(1))).Verdict
			}()
			time.Sleep(interval)
		}
		count := map[engine.Verdict]int{}
		for range jobs {
			count[<-verdicts]++
		}
		r.True(count[engine.VerdictUnknown] <= 8)
		r.Equal(count[engine.VerdictUnknown]+count[engine.VerdictUnavailable], jobs)
	})
}

// Guards against rejecting or delaying jobs because of lost responses of a store that still responds to other calls.
func TestLostStoreResponsesDelayNoOtherJobs(t *testing.T) {
	runInVirtualTime(t, func(r *rig) {
		p, stop := r.startWithWorkers(8)
		defer stop()
		r.Store.SetLoseEvery(3)
		const jobs = 60
		prompt := 0
		for _, took := range r.submitAll(p, jobs, 20*time.Millisecond, 1) {
			if took < 100*time.Millisecond {
				prompt++
			}
		}
		// A third of the responses is lost, and each job in those commits waits until its commit counts as lost.
		r.True(prompt >= jobs/2)
		for i := range jobs {
			r.waitForState(p, "j"+strconv.Itoa(i), workload.StateCompleted, 20*time.Second)
		}
	})
}

// Guards against a task that never starts again once it has stalled on every worker of a small service, although the workers have
// recovered.
func TestTaskThatStalledOnAllWorkersStartsAgain(t *testing.T) {
	runInVirtualTime(t, func(r *rig) {
		p, stop := r.startWithWorkers(4)
		defer stop()
		r.mustSubmit(p, "j1", 0, singleTaskStep(8), 3*time.Second)
		for range 4 {
			time.Sleep(time.Second)
			at := r.WorkersRunning("j1")
			r.Equal(len(at), 1)
			r.Set(at[0], func(w *site.Worker) { w.Stalled = true })
			for r.Worker(at[0]).Stalled {
				time.Sleep(200 * time.Millisecond)
				if running := r.WorkersRunning("j1"); len(running) == 0 || running[0] != at[0] {
					r.Set(at[0], func(w *site.Worker) { w.Stalled = false })
				}
			}
		}
		r.waitForState(p, "j1", workload.StateCompleted, 5*time.Minute)
	})
}

// Guards against a task of hours, or of many times its estimate, that is stopped as stalled because it takes long to gain a percent.
func TestLongTaskIsDoneInItsFirstRun(t *testing.T) {
	for name, task := range map[string]struct{ work, estimate time.Duration }{
		"an hour":                     {time.Hour, time.Hour},
		"ten hours":                   {10 * time.Hour, 10 * time.Hour},
		"20 times its estimate":       {20 * time.Minute, time.Minute},
		"20 times its short estimate": {5 * time.Minute, 15 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			runInVirtualTime(t, func(r *rig) {
				p, stop := r.startWithWorkers(2)
				defer stop()
				step := singleTaskStep(8)
				step.Estimate = task.estimate
				r.mustSubmit(p, "j1", 1, step, task.work)
				time.Sleep(task.work - time.Second)
				r.waitForState(p, "j1", workload.StateCompleted, 3*time.Second)
				r.Equal(r.starts(), 1)
			})
		})
	}
}

// Guards against a task that is never done because it has no estimate and takes long: each run was stopped as stalled.
func TestLongTaskWithoutEstimateIsDone(t *testing.T) {
	runInVirtualTime(t, func(r *rig) {
		p, stop := r.startWithWorkers(2)
		defer stop()
		step := singleTaskStep(8)
		step.Estimate = 0
		r.mustSubmit(p, "j1", 1, step, time.Hour)
		r.waitForState(p, "j1", workload.StateCompleted, 70*time.Minute)
	})
}

// Guards against a long task that hangs and stays on its worker: it is moved after a fifth of its estimate and two polls.
func TestLongTaskThatHangsIsMoved(t *testing.T) {
	runInVirtualTime(t, func(r *rig) {
		p, stop := r.startWithWorkers(2)
		defer stop()
		step := singleTaskStep(8)
		step.Estimate = 10 * time.Minute
		r.mustSubmit(p, "j1", 1, step, 10*time.Minute)
		time.Sleep(time.Minute)
		at := r.WorkersRunning("j1")[0]
		r.Set(at, func(w *site.Worker) { w.Stalled = true })
		time.Sleep(2*time.Minute + 6*time.Second)
		running := r.WorkersRunning("j1")
		r.Equal(len(running), 1)
		r.True(running[0] != at)
	})
}
