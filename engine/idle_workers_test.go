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

// maxIdleTime is how long the users' rules let a job have nothing running beside idle workers.
const maxIdleTime = 3 * time.Second

// idleWatch reports jobs that have nothing running beside idle workers.
type idleWatch struct {
	rig     *rig
	planner *engine.Planner
	// jobs has the jobs by id, each of one step, and idleSince is when they began to have nothing running beside idle workers.
	jobs      map[string]workload.Job
	idleSince map[string]time.Time
	reported  map[string]bool
}

func (r *rig) newIdleWatch(p *engine.Planner) *idleWatch {
	return &idleWatch{rig: r, planner: p, jobs: map[string]workload.Job{}, idleSince: map[string]time.Time{}, reported: map[string]bool{}}
}

// submit submits a job, of which each task or gang fails the given number of times at the end of its work.
func (w *idleWatch) submit(job workload.Job, work time.Duration, failures int) {
	w.rig.t.Helper()
	w.rig.SetJobProfile(site.JobProfile{Job: job, Work: []time.Duration{work}, Failures: failures})
	w.rig.Equal(w.planner.Submit(context.Background(), job).Verdict, engine.VerdictAccepted)
	w.jobs[job.ID] = job
}

// wait lets the time pass and looks at the jobs meanwhile.
func (w *idleWatch) wait(d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		w.look()
	}
}

func (w *idleWatch) look() {
	running := map[string][]string{}
	free, inUse := map[string]workload.Resources{}, int64(0)
	for _, id := range w.rig.IDs() {
		w.rig.Set(id, func(worker *site.Worker) { free[id] = worker.Registration.Capacity })
	}
	for id, job := range w.jobs {
		running[id] = w.rig.WorkersRunning(id)
		for _, worker := range running[id] {
			free[worker] = free[worker].Sub(job.Steps[0].Need)
			inUse += job.Steps[0].Need.Accelerators
		}
	}
	for id, job := range w.jobs {
		ended := w.planner.State(context.Background(), id).State.Ended()
		if ended || len(running[id]) > 0 || 2*inUse >= 8*int64(len(free)) || !w.fitsTwice(job, free) {
			delete(w.idleSince, id)
			continue
		}
		if w.idleSince[id].IsZero() {
			w.idleSince[id] = time.Now()
		}
		if time.Since(w.idleSince[id]) > maxIdleTime && !w.reported[id] {
			w.reported[id] = true
			w.rig.t.Errorf("job %s has nothing running since %s, with %d accelerators of %d workers in use", id, w.idleSince[id], inUse, len(free))
		}
	}
}

// fitsTwice reports whether there is room for two tasks, or gangs, of the job on the workers that it may use.
func (w *idleWatch) fitsTwice(job workload.Job, free map[string]workload.Resources) bool {
	step := job.Steps[0]
	missing := 2
	if step.Gang {
		missing = 2 * step.Tasks
	}
	for id, resources := range free {
		if step.Label != "" && step.Label != w.rig.Worker(id).Registration.Rack {
			continue
		}
		for n := 0; step.Need.Fits(resources) && (step.MaxTasksPerWorker == 0 || n < step.MaxTasksPerWorker); n++ {
			resources = resources.Sub(step.Need)
			missing--
		}
	}
	return missing <= 0
}

func wideStep(tasks int) workload.Step {
	s := singleTaskStep(1)
	s.Tasks, s.Estimate = tasks, 4*time.Second
	return s
}

// playFailingJobs submits four times the given number of jobs of which every run fails, and a sound job each second, and requires that all
// of them end.
func (w *idleWatch) playFailingJobs(number int, step workload.Step, attempts int) {
	for i := range 60 {
		if i%10 == 0 && i <= 30 {
			for k := range number {
				failing := newJob("failing"+strconv.Itoa(i)+"-"+strconv.Itoa(k), 1, step)
				failing.MaxAttempts = attempts
				w.submit(failing, time.Duration(2+k%4)*time.Second, attempts)
			}
		}
		w.submit(newJob("sound"+strconv.Itoa(i), 1, singleTaskStep(1)), 2*time.Second, 0)
		w.wait(time.Second)
	}
	w.wait(20 * time.Second)
	for id := range w.jobs {
		w.rig.True(w.planner.State(context.Background(), id).State.Ended())
	}
}

// Guards against jobs that wait beside idle workers, which are closed because wide jobs, all of whose runs fail, failed there.
func TestFailingWideJobsDoNotCloseWorkersToOthers(t *testing.T) {
	for _, workers := range []int{1, 2, 4, 12} {
		t.Run(strconv.Itoa(workers), func(t *testing.T) {
			runInVirtualTime(t, func(r *rig) {
				p, stop := r.startWithWorkers(workers)
				defer stop()
				w := r.newIdleWatch(p)
				w.playFailingJobs(3, wideStep(workers), 4)
			})
		})
	}
}

// Guards against a job that avoids the few workers which it may use, after its tasks have failed there by their own fault.
func TestJobWithFewWorkersDoesNotWaitBesideThem(t *testing.T) {
	apart := wideStep(4)
	apart.MaxTasksPerWorker = 1
	labelled := wideStep(6)
	labelled.Label = "r1"
	gang := gangStep(2, 4)
	gang.Label, gang.SameRack = "r1", true
	for _, c := range []struct {
		name               string
		workers, elsewhere int
		step               workload.Step
		failures           int
	}{
		{"label of six workers", 6, 6, labelled, 2},
		{"label of one worker", 1, 6, labelled, 2},
		{"gang in a rack of two", 2, 6, gang, 2},
		{"service of one worker", 1, 0, singleTaskStep(1), 2},
		{"service of two workers", 2, 0, wideStep(2), 2},
		{"one task on a worker", 5, 0, apart, 2},
		{"fails always", 6, 6, labelled, 3},
	} {
		t.Run(c.name, func(t *testing.T) {
			runInVirtualTime(t, func(r *rig) {
				r.AddWorkers("r2", c.elsewhere)
				p, stop := r.startWithWorkers(c.workers)
				defer stop()
				w := r.newIdleWatch(p)
				for _, work := range []time.Duration{500 * time.Millisecond, 2 * time.Second, 6 * time.Second} {
					w.submit(newJob("job-"+work.String(), 1, c.step), work, c.failures)
					w.wait(40 * time.Second)
					r.True(p.State(context.Background(), "job-"+work.String()).State.Ended())
				}
			})
		})
	}
}

// Guards against sound jobs that fail because bad workers, which are always idle, take all their attempts while the others are in use.
func TestBadWorkersDoNotTakeAllAttempts(t *testing.T) {
	runInVirtualTime(t, func(r *rig) {
		r.AddWorkers("r1", 8)
		for _, id := range r.IDs()[:2] {
			r.Worker(id).Fails = true
		}
		p, stop := r.startPlanner("a")
		defer stop()
		w := r.newIdleWatch(p)
		for i := range 30 {
			w.submit(newJob("j"+strconv.Itoa(i), 1, singleTaskStep(8)), 2*time.Second, 0)
			w.wait(200 * time.Millisecond)
		}
		w.wait(20 * time.Second)
		for id := range w.jobs {
			r.Equal(p.State(context.Background(), id).State, workload.StateCompleted)
		}
	})
}

// Guards against jobs that wait beside idle workers, which are closed because single tasks, all of whose runs fail, failed there.
func TestFailingSingleTasksDoNotCloseWorkersToOthers(t *testing.T) {
	for _, workers := range []int{1, 2, 4, 12} {
		for _, attempts := range []int{2, 3, 4} {
			t.Run(strconv.Itoa(workers)+" workers, "+strconv.Itoa(attempts)+" attempts", func(t *testing.T) {
				runInVirtualTime(t, func(r *rig) {
					p, stop := r.startWithWorkers(workers)
					defer stop()
					w := r.newIdleWatch(p)
					w.playFailingJobs(2*workers, singleTaskStep(1), attempts)
				})
			})
		}
	}
}

// Guards against a task that lasts and waits beside idle workers on which it, or other jobs, failed.
func TestLastingTaskDoesNotWaitBesideClosedWorkers(t *testing.T) {
	for _, workers := range []int{1, 3} {
		t.Run(strconv.Itoa(workers), func(t *testing.T) {
			runInVirtualTime(t, func(r *rig) {
				p, stop := r.startWithWorkers(workers)
				defer stop()
				w := r.newIdleWatch(p)
				w.submit(newJob("serve", 1, lastingStep(1)), time.Hour, 0)
				w.wait(2 * time.Second)
				for i := range 12 {
					failing := newJob("failing"+strconv.Itoa(i), 1, wideStep(workers))
					w.submit(failing, 2*time.Second, failing.MaxAttempts)
					for _, id := range r.WorkersRunning("serve") {
						r.failRuns(id, "serve")
					}
					w.wait(3 * time.Second)
				}
			})
		})
	}
}

// Guards against jobs that wait for a worker on which a run has stalled, although their service has no other.
func TestJobDoesNotWaitForWorkerAfterStall(t *testing.T) {
	runInVirtualTime(t, func(r *rig) {
		p, stop := r.startWithWorkers(1)
		defer stop()
		w := r.newIdleWatch(p)
		w.submit(newJob("stalls", 1, singleTaskStep(1)), 20*time.Second, 0)
		w.wait(2 * time.Second)
		r.Set("r1-w0", func(worker *site.Worker) { worker.Stalled = true })
		w.wait(8 * time.Second)
		w.submit(newJob("next", 1, singleTaskStep(1)), time.Second, 0)
		r.Set("r1-w0", func(worker *site.Worker) { worker.Stalled = false })
		w.wait(40 * time.Second)
		for id := range w.jobs {
			r.Equal(p.State(context.Background(), id).State, workload.StateCompleted)
		}
	})
}

// Guards against sound jobs whose attempts are spent on a bad worker, idle because it is closed, while the others are in use for long.
func TestClosedBadWorkerTakesFewAttemptsInBusyService(t *testing.T) {
	runInVirtualTime(t, func(r *rig) {
		r.AddWorkers("r1", 4)
		r.Worker("r1-w3").Fails = true
		p, stop := r.startPlanner("a")
		defer stop()
		w := r.newIdleWatch(p)
		for i := range 3 {
			w.submit(newJob("long"+strconv.Itoa(i), 1, singleTaskStep(8)), 20*time.Second, 0)
		}
		for i := range 8 {
			job := newJob("j"+strconv.Itoa(i), 1, singleTaskStep(1))
			job.MaxAttempts = 2
			w.submit(job, time.Second, 0)
			w.wait(500 * time.Millisecond)
		}
		w.wait(40 * time.Second)
		for id := range w.jobs {
			r.Equal(p.State(context.Background(), id).State, workload.StateCompleted)
		}
	})
}
