package engine_test

import (
	"context"
	"testing"
	"time"

	"clementinepier/engine"
	"clementinepier/standin/site"
	"clementinepier/workload"
)

// Guards against work that waits for its rack for seconds although the rest of the service is idle.
func TestJobDoesNotWaitForItsRackWhileServiceIsIdle(t *testing.T) {
	single := singleTaskStep(8)
	single.DataRack = "r1"
	gang := gangStep(2, 8)
	gang.SameRack = true
	for name, step := range map[string]workload.Step{"data rack": single, "gang": gang} {
		t.Run(name, func(t *testing.T) {
			runInVirtualTime(t, func(r *rig) {
				r.AddWorkers("r1", 2)
				r.AddWorkers("r2", 2)
				// Room for the gang twice over, in no rack at once.
				for _, rack := range []string{"r3", "r4", "r5", "r6"} {
					r.AddWorkers(rack, 1)
				}
				p, stop := r.startPlanner("a")
				defer stop()
				// Each rack that has room for two tasks loses a part of it.
				for i, rack := range []string{"r1", "r1", "r2"} {
					filler := singleTaskStep(2)
					filler.Label, filler.MaxTasksPerWorker = rack, 1
					filler.Tasks = 2 - i%2
					r.mustSubmit(p, "filler"+rack+string(rune('a'+i)), 1, filler, time.Minute)
				}
				time.Sleep(time.Second)
				r.mustSubmit(p, "j1", 1, step, time.Second)
				defer r.watchWaiting()()
				r.RecordAccepted("j1")
				time.Sleep(2500 * time.Millisecond)
				r.True(r.Started("j1"))
				r.waitForState(p, "j1", workload.StateCompleted, 10*time.Second)
			})
		})
	}
}

// Guards against a job whose only run is on a worker that is gone, and whose next task waits for the rack of its data beside idle workers.
func TestJobWithLostRunDoesNotWaitForRackBesideIdleWorkers(t *testing.T) {
	runInVirtualTime(t, func(r *rig) {
		r.AddWorkers("r1", 1)
		r.AddWorkers("r2", 6)
		p, stop := r.startPlanner("a")
		defer stop()
		other := singleTaskStep(8)
		other.Label = "r1"
		r.mustSubmit(p, "other", 1, other, 30*time.Second)
		time.Sleep(time.Second)
		r.Equal(r.WorkersRunning("other"), []string{"r1-w0"})
		first := singleTaskStep(8)
		first.Label = "r2"
		second := singleTaskStep(8)
		second.DataRack, second.Estimate = "r1", time.Second
		job := newJob("job", 1, first)
		job.Steps = append(job.Steps, second)
		r.SetJobProfile(site.JobProfile{Job: job, Work: []time.Duration{20 * time.Second, 5 * time.Second}})
		r.Equal(p.Submit(context.Background(), job).Verdict, engine.VerdictAccepted)
		time.Sleep(500 * time.Millisecond)
		r.Set(r.WorkersRunning("job")[0], func(worker *site.Worker) { worker.Dead = true })
		time.Sleep(5 * time.Second)
		r.Equal(len(r.WorkersRunning("job")), 1)
	})
}

// Guards against a task that waits for seconds beside idle workers, which are reserved for a gang that does not fit.
func TestReservationForGangDoesNotKeepWorkersIdle(t *testing.T) {
	runInVirtualTime(t, func(r *rig) {
		p, stop := r.startWithWorkers(10)
		defer stop()
		filler := singleTaskStep(1)
		filler.Tasks, filler.MaxTasksPerWorker = 8, 1
		r.mustSubmit(p, "filler", 1, filler, time.Minute)
		time.Sleep(time.Second)
		r.mustSubmit(p, "gang", 1, gangStep(3, 8), time.Second)
		time.Sleep(100 * time.Millisecond)
		r.mustSubmit(p, "j1", 2, singleTaskStep(8), time.Second)
		defer r.watchWaiting()()
		r.RecordAccepted("j1")
		r.waitForState(p, "j1", workload.StateCompleted, 10*time.Second)
	})
}

// Guards against a task that waits beside idle workers for a worker that is gone, because that one has restarted after a start that got no
// response.
func TestTaskDoesNotWaitForRestartedWorkerThatIsGone(t *testing.T) {
	runInVirtualTime(t, func(r *rig) {
		r.JudgeLostRuns = true
		r.storeEntries()
		r.AddWorkers("r1", 4)
		const gone = "r1-w0"
		r.Set(gone, func(w *site.Worker) { w.StartDelay = 5 * time.Second })
		p, stop := r.startPlanner("a")
		defer stop()
		time.Sleep(time.Second)
		r.mustSubmit(p, "j1", 1, singleTaskStep(8), time.Second)
		r.RecordAccepted("j1")
		time.Sleep(20 * time.Millisecond)
		r.Set(gone, func(w *site.Worker) {
			w.Restart()
			w.StartDelay, w.Silent = 0, true
		})
		r.Register(r.Worker(gone))
		time.Sleep(2 * time.Second)
		r.Set(gone, func(w *site.Worker) { w.Replaced = true })
		r.Deregister(r.Worker(gone))
		r.RecordDisruption()
		defer r.watchWaiting()()
		r.waitForState(p, "j1", workload.StateCompleted, 2*time.Minute)
	})
}

// Guards against a task that waits, beside idle workers, for the late start and the longest lease of a worker that has restarted out of reach and
// is gone: its entry is removed. The task starts elsewhere once the start can no longer be carried out, and has something running 17 s after the
// end of the traffic, by the users' rule.
func TestTaskStartsElsewhereOnceRestartedWorkerIsGone(t *testing.T) {
	runInVirtualTime(t, func(r *rig) {
		r.storeEntries()
		r.AddWorkers("r1", 4)
		const gone = "r1-w0"
		r.wrapWorkers = func(w engine.Workers) engine.Workers {
			start := w.Start
			w.Start = func(ctx context.Context, t engine.Target, o engine.StartOrder) (engine.WorkerStatus, error) {
				if t.ID == gone {
					r.Set(gone, func(w *site.Worker) { w.Silent = true })
				}
				return start(ctx, t, o)
			}
			return w
		}
		p, stop := r.startPlanner("a")
		defer stop()
		r.rest(10 * time.Second)
		r.mustSubmit(p, "j1", 1, singleTaskStep(8), 10*time.Second)
		submitted := time.Now()
		time.Sleep(500 * time.Millisecond)
		r.Set(gone, func(w *site.Worker) {
			w.Restart()
			w.Silent = true
		})
		r.Register(r.Worker(gone))
		time.Sleep(3500 * time.Millisecond)
		r.Set(gone, func(w *site.Worker) { w.Replaced = true })
		time.Sleep(entryLifetime)
		r.Deregister(r.Worker(gone))
		time.Sleep(time.Until(submitted.Add(lateOrderBound - 100*time.Millisecond)))
		r.Equal(r.starts(), 0)
		time.Sleep(time.Until(submitted.Add(17 * time.Second)))
		r.Equal(len(r.WorkersRunning("j1")), 1)
		r.waitForState(p, "j1", workload.StateCompleted, 10*time.Second)
	})
}

// Guards against a task that is started again and again on a worker that leaves every start without a response, beside idle workers. The job has
// something running 17 s after the end of the traffic, by the users' rule.
func TestTaskMovesAwayFromWorkerThatAnswersNoStarts(t *testing.T) {
	runInVirtualTime(t, func(r *rig) {
		r.AddWorkers("r1", 4)
		r.Set("r1-w0", func(w *site.Worker) { w.StartDelay = 5 * time.Second })
		p, stop := r.startPlanner("a")
		defer stop()
		time.Sleep(time.Second)
		r.mustSubmit(p, "j1", 1, singleTaskStep(8), 5*time.Second)
		time.Sleep(17 * time.Second)
		r.Equal(len(r.WorkersRunning("j1")), 1)
		r.Equal(r.Worker("r1-w0").Starts, 0)
		r.waitForState(p, "j1", workload.StateCompleted, 5*time.Second)
	})
}

// Guards against counting a failed run of a task twice: it is reported to an earlier planner, which cannot store it, and again to the
// successor.
func TestFailureOfTaskIsCountedOnceAcrossPlanners(t *testing.T) {
	runInVirtualTime(t, func(r *rig) {
		p, stop := r.startWithWorkers(4)
		job := newJob("j1", 1, singleTaskStep(1))
		job.MaxAttempts = 2
		r.SetTaskProfile("j1", job.Steps[0], 3*time.Second)
		r.Equal(p.Submit(context.Background(), job).Verdict, engine.VerdictAccepted)
		time.Sleep(time.Second)
		for _, id := range r.WorkersRunning("j1") {
			r.Store.SetRefusing(true)
			r.Set(id, func(w *site.Worker) { w.EndAll(engine.EndFailed) })
		}
		time.Sleep(500 * time.Millisecond)
		stop()
		r.Store.SetRefusing(false)
		p, stop = r.startPlanner("b")
		defer func() { stop() }()
		r.waitForState(p, "j1", workload.StateCompleted, 30*time.Second)
	})
}
