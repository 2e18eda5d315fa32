package engine_test

import (
	"context"
	"testing"
	"time"

	"clementinepier/engine"
	"clementinepier/metrics"
	"clementinepier/standin/site"
	"clementinepier/workload"
)

// hang makes a worker's runs keep the progress and the checkpoints that they have.
func (r *rig) hang(id string) {
	r.Set(id, func(w *site.Worker) { w.Stalled, w.StalledSince = true, time.Now() })
}

// setSpeed sets the speed of the runs that start on a worker.
func (r *rig) setSpeed(id string, speed float64) {
	r.Set(id, func(w *site.Worker) { w.Speed = speed })
}

// Guards against gangs on workers of different speeds that are stopped because the fast members stand at 100 percent while they wait for the
// slow ones.
func TestGangWaitsForItsSlowestMember(t *testing.T) {
	for name, hidesUsage := range map[string]bool{"with usage": false, "older workers": true} {
		t.Run(name, func(t *testing.T) {
			runInVirtualTime(t, func(r *rig) {
				p, stop := r.startWithWorkers(4)
				defer stop()
				r.setSpeed("r1-w0", 0.2)
				for _, id := range r.IDs() {
					r.Set(id, func(w *site.Worker) { w.HidesUsage = hidesUsage })
				}
				r.mustSubmit(p, "j1", 1, gangStep(4, 8), 4*time.Second)
				r.waitForState(p, "j1", workload.StateCompleted, 22*time.Second)
				r.Equal(r.starts(), 4)
			})
		})
	}
}

// Guards against a planner that stops what waits at 100 percent because it does not know for how long.
func TestGangWaitsForItsSlowestMemberAfterChangeOfPlanner(t *testing.T) {
	runInVirtualTime(t, func(r *rig) {
		p, stop := r.startWithWorkers(2)
		r.setSpeed("r1-w0", 0.2)
		r.mustSubmit(p, "j1", 1, gangStep(2, 8), 4*time.Second)
		time.Sleep(6 * time.Second)
		stop()
		p, stop = r.startPlanner("b")
		defer stop()
		r.waitForState(p, "j1", workload.StateCompleted, 20*time.Second)
		r.Equal(r.starts(), 2)
	})
}

// Guards against tasks that are stopped, and never done, because their percent stands at 100 from the end of their estimate on.
func TestTaskBeyondItsEstimateIsDoneInItsFirstRun(t *testing.T) {
	for name, c := range map[string]struct {
		checkpoints, hidesUsage bool
		work                    time.Duration
	}{
		"seven times, with checkpoints":                {checkpoints: true, work: 70 * time.Second},
		"seven times, with checkpoints, older workers": {checkpoints: true, hidesUsage: true, work: 70 * time.Second},
		"nearly twice, without checkpoints":            {work: 19 * time.Second},
		"nearly twice, no checkpoints, older workers":  {hidesUsage: true, work: 19 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			runInVirtualTime(t, func(r *rig) {
				r.PercentOfEstimate = true
				p, stop := r.startWithWorkers(2)
				defer stop()
				for _, id := range r.IDs() {
					r.Set(id, func(w *site.Worker) { w.HidesUsage = c.hidesUsage })
				}
				step := singleTaskStep(8)
				step.Estimate, step.Checkpoints = 10*time.Second, c.checkpoints
				r.mustSubmit(p, "j1", 1, step, c.work)
				r.waitForState(p, "j1", workload.StateCompleted, c.work+3*time.Second)
				r.Equal(r.starts(), 1)
			})
		})
	}
}

// Guards against a task that hangs at 100 percent and stays on its worker.
func TestTaskThatHangsAtFullPercentIsMoved(t *testing.T) {
	for name, checkpoints := range map[string]bool{"with checkpoints": true, "without": false} {
		t.Run(name, func(t *testing.T) {
			runInVirtualTime(t, func(r *rig) {
				r.PercentOfEstimate = true
				p, stop := r.startWithWorkers(2)
				defer stop()
				step := singleTaskStep(8)
				step.Estimate, step.Checkpoints = 2*time.Second, checkpoints
				r.mustSubmit(p, "j1", 1, step, time.Minute)
				time.Sleep(4 * time.Second)
				at := r.WorkersRunning("j1")[0]
				r.hang(at)
				time.Sleep(stallPatience)
				running := r.WorkersRunning("j1")
				r.Equal(len(running), 1)
				r.True(running[0] != at)
			})
		})
	}
}

// stallPatience is the longest time after which a run that hangs has been moved: the time without progress, two polls and the stop.
const stallPatience = 4500*time.Millisecond + 2*2*time.Second + time.Second

// Guards against a gang whose members all stand at 100 percent, since one of them hangs there, and that never ends, and against blaming another
// member's worker for it.
func TestGangWithMemberThatHangsAtFullPercentIsMoved(t *testing.T) {
	for name, hidesUsage := range map[string]bool{"with usage": false, "older workers": true} {
		t.Run(name, func(t *testing.T) {
			runInVirtualTime(t, func(r *rig) {
				p, stop := r.startWithWorkers(2)
				defer stop()
				r.setSpeed("r1-w1", 0.5)
				r.Set("r1-w0", func(w *site.Worker) { w.HidesUsage = hidesUsage })
				r.Set("r1-w1", func(w *site.Worker) { w.HidesUsage = hidesUsage })
				r.mustSubmit(p, "j1", 1, gangStep(2, 8), 3*time.Second)
				time.Sleep(4 * time.Second)
				r.hang("r1-w0")
				r.AddWorkers("r2", 1)
				time.Sleep(2*time.Second + stallPatience)
				running := r.WorkersRunning("j1")
				if !hidesUsage {
					r.Equal(running, []string{"r1-w1", "r2-w0"})
				}
				r.True(r.starts() > 2)
				r.Set("r1-w0", func(w *site.Worker) { w.Stalled = false })
				r.waitForState(p, "j1", workload.StateCompleted, time.Minute)
			})
		})
	}
}

// Guards against a gang that waits at 100 percent for a member on a worker that no longer answers.
func TestGangWithMuteMemberIsMoved(t *testing.T) {
	runInVirtualTime(t, func(r *rig) {
		p, stop := r.startWithWorkers(2)
		defer stop()
		r.setSpeed("r1-w1", 0.2)
		r.mustSubmit(p, "j1", 1, gangStep(2, 8), 3*time.Second)
		time.Sleep(4 * time.Second)
		r.Set("r1-w1", func(w *site.Worker) { w.Silent = true })
		r.AddWorkers("r2", 1)
		r.waitForState(p, "j1", workload.StateCompleted, 25*time.Second)
		r.Equal(r.Worker("r2-w0").Starts, 1)
	})
}

// Guards against an entry with an impossible percent or figure that makes its run, or its worker, count as lost or stalled.
func TestImpossibleFiguresOfRunsAreCounted(t *testing.T) {
	runInVirtualTime(t, func(r *rig) {
		r.wrapWorkers = func(w engine.Workers) engine.Workers {
			poll := w.Poll
			w.Poll = func(ctx context.Context, t engine.Target, o engine.PollRequest) (engine.PollResponse, error) {
				response, err := poll(ctx, t, o)
				for i := range response.Running {
					if run := &response.Running[i]; run.Percent%2 == 1 {
						run.Invalid, run.PercentInvalid, run.Percent, run.HasUsage = "percent 1e300", true, 0, false
					}
				}
				return response, err
			}
			return w
		}
		p, stop := r.startWithWorkers(2)
		defer stop()
		r.mustSubmit(p, "j1", 1, singleTaskStep(8), time.Minute)
		r.waitForState(p, "j1", workload.StateCompleted, 62*time.Second)
		r.Equal(r.starts(), 1)
		r.True(p.Metrics.Get(metrics.RunFiguresInvalid) > 0)
	})
}
