package engine_test

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"clementinepier/engine"
	"clementinepier/standin/site"
	"clementinepier/workload"
)

// Guards against ending the runs of workers that live because another server refuses the calls at their addresses, as by a mistake in the
// network.
func TestRefusalByAnotherServerEndsNoRun(t *testing.T) {
	for name, step := range map[string]workload.Step{"task": singleTaskStep(8), "gang": gangStep(2, 8), "task that lasts": lastingStep(1)} {
		for duration, refused := range map[string]time.Duration{"one poll": 400 * time.Millisecond, "some seconds": 4 * time.Second} {
			t.Run(name+", "+duration, func(t *testing.T) {
				runInVirtualTime(t, func(r *rig) {
					var other atomic.Bool
					r.wrapWorkers = func(w engine.Workers) engine.Workers {
						return otherServers(w, func(t engine.Target) bool { return other.Load() && t.Address[:2] == "r1" })
					}
					p, stop := r.startWithWorkers(2)
					defer stop()
					work := 20 * time.Second
					if step.LongRunning {
						work = time.Hour
					}
					r.mustSubmit(p, "j1", 1, step, work)
					time.Sleep(1500 * time.Millisecond)
					r.AddWorkers("r2", 2)
					time.Sleep(500 * time.Millisecond)
					other.Store(true)
					time.Sleep(refused)
					other.Store(false)
					time.Sleep(3 * time.Second)
					r.Equal(r.starts(), step.Tasks)
					// The workers are used again without a new entry.
					r.mustSubmit(p, "j2", 0, gangStep(4-step.Tasks, 8), time.Second)
					r.waitForState(p, "j2", workload.StateCompleted, 4*time.Second)
					if step.LongRunning {
						r.Equal(p.Cancel(context.Background(), "j1").Verdict, engine.VerdictAccepted)
						return
					}
					r.waitForState(p, "j1", workload.StateCompleted, 20*time.Second)
				})
			})
		}
	}
}

// Guards against workers that the next planner does not use, and whose runs lapse, because another server refused the first calls at their
// addresses.
func TestWorkersRefusedByAnotherServerAreUsedByNextPlanner(t *testing.T) {
	runInVirtualTime(t, func(r *rig) {
		var other atomic.Bool
		r.wrapWorkers = func(w engine.Workers) engine.Workers {
			return otherServers(w, func(engine.Target) bool { return other.Load() })
		}
		p, stop := r.startWithWorkers(2)
		r.mustSubmit(p, "j1", 1, singleTaskStep(8), 15*time.Second)
		time.Sleep(2 * time.Second)
		other.Store(true)
		stop()
		p, stop = r.startPlanner("b")
		defer stop()
		time.Sleep(1500 * time.Millisecond)
		other.Store(false)
		time.Sleep(1500 * time.Millisecond)
		r.mustSubmit(p, "j2", 1, singleTaskStep(8), time.Second)
		r.waitForState(p, "j2", workload.StateCompleted, 3*time.Second)
		r.waitForState(p, "j1", workload.StateCompleted, 12*time.Second)
		r.Equal(r.starts(), 2)
	})
}

// Guards against a task that stays with a worker that has ended although another worker answers at its address, before or after the refusal
// of a call.
func TestRunsEndSoonWhenAnotherWorkerHasTheAddress(t *testing.T) {
	for name, listedAfter := range map[string]time.Duration{"listed at once": 0, "listed later": 2 * time.Second} {
		t.Run(name, func(t *testing.T) {
			runInVirtualTime(t, func(r *rig) {
				r.wrapWorkers = func(w engine.Workers) engine.Workers { return r.sharedAddress(w, "r1-w0", "r2-w0") }
				p, stop := r.startWithWorkers(1)
				defer stop()
				r.mustSubmit(p, "j1", 1, singleTaskStep(8), 3*time.Second)
				time.Sleep(time.Second)
				r.Set("r1-w0", func(w *site.Worker) { w.Replaced = true })
				time.Sleep(listedAfter)
				r.addWorkerAt("r2", "r1-w0")
				r.waitForState(p, "j1", workload.StateCompleted, 4500*time.Millisecond)
			})
		})
	}
}

// addWorkerAt adds a rack with a worker that has the address of another one.
func (r *rig) addWorkerAt(rack, address string) {
	r.AddWorkers(rack, 1)
	r.Set(rack+"-w0", func(w *site.Worker) { w.Registration.Address = address })
	r.Register(r.Worker(rack + "-w0"))
}

// sharedAddress sends calls to the address of a worker, which are meant for another worker there, to that one.
func (r *rig) sharedAddress(w engine.Workers, address, id string) engine.Workers {
	return resolveTargets(w, func(t engine.Target) (engine.Target, error) {
		if t.ID == id && t.Address == address {
			t.Address = id
		}
		return t, nil
	})
}

// resolveTargets sends calls to the targets that resolve returns instead of theirs, or fails them.
func resolveTargets(w engine.Workers, resolve func(engine.Target) (engine.Target, error)) engine.Workers {
	return engine.Workers{
		Start: func(ctx context.Context, t engine.Target, o engine.StartOrder) (engine.WorkerStatus, error) {
			t, err := resolve(t)
			if err != nil {
				return engine.WorkerStatus{}, err
			}
			return w.Start(ctx, t, o)
		},
		Stop: func(ctx context.Context, t engine.Target, o engine.StopOrder) (engine.WorkerStatus, error) {
			t, err := resolve(t)
			if err != nil {
				return engine.WorkerStatus{}, err
			}
			return w.Stop(ctx, t, o)
		},
		Poll: func(ctx context.Context, t engine.Target, o engine.PollRequest) (engine.PollResponse, error) {
			t, err := resolve(t)
			if err != nil {
				return engine.PollResponse{}, err
			}
			return w.Poll(ctx, t, o)
		},
	}
}

// Guards against ending the runs of a worker that has moved, as its entry shows, because another worker answers at its earlier address.
func TestRunsOfWorkersThatSwapAddressesGoOn(t *testing.T) {
	for name, step := range map[string]workload.Step{"tasks": singleTaskStep(8), "gangs": gangStep(2, 4), "tasks that last": lastingStep(1)} {
		t.Run(name, func(t *testing.T) {
			runInVirtualTime(t, func(r *rig) {
				var swapped atomic.Bool
				r.wrapWorkers = func(w engine.Workers) engine.Workers {
					return resolveTargets(w, func(t engine.Target) (engine.Target, error) {
						other := map[string]string{"r1-w0": "r1-w1", "r1-w1": "r1-w0"}[t.Address]
						if swapped.Load() && other != "" {
							t.Address = other
						}
						if t.Address != t.ID {
							time.Sleep(time.Millisecond)
							return t, &engine.ErrRefused{Reason: engine.RefusedIncarnation}
						}
						return t, nil
					})
				}
				p, stop := r.startWithWorkers(2)
				defer stop()
				for _, job := range []string{"j1", "j2"} {
					work := 8 * time.Second
					if step.LongRunning {
						work = time.Hour
					}
					r.mustSubmit(p, job, 1, step, work)
				}
				time.Sleep(2500 * time.Millisecond)
				r.AddWorkers("r2", 2)
				time.Sleep(500 * time.Millisecond)
				swapped.Store(true)
				for id, address := range map[string]string{"r1-w0": "r1-w1", "r1-w1": "r1-w0"} {
					r.Set(id, func(w *site.Worker) { w.Registration.Address = address })
					r.Register(r.Worker(id))
				}
				time.Sleep(15 * time.Second)
				r.Equal(r.starts(), 2*step.Tasks)
				r.mustSubmit(p, "j3", 0, gangStep(4, 6), time.Second)
				r.waitForState(p, "j3", workload.StateCompleted, 4*time.Second)
			})
		})
	}
}
