package engine_test

import (
	"cmp"
	"context"
	"fmt"
	"testing"
	"time"

	"clementinepier/engine"
	"clementinepier/metrics"
	"clementinepier/standin/site"
	"clementinepier/workload"
)

// slowClock is the lowest rate of a worker's clock.
const slowClock = 0.98

// setAll calls f with each worker.
func (r *rig) setAll(f func(w *site.Worker)) {
	for _, id := range r.IDs() {
		r.Set(id, f)
	}
}

// starts returns the number of runs that were started on all workers.
func (r *rig) starts() int {
	n := 0
	for _, id := range r.IDs() {
		n += r.Worker(id).Starts
	}
	return n
}

// Guards against starting a gang again while a member that started late still waits for the others on a worker that lists it and
// does not answer stops.
func TestGangMemberThatStartsLateIsNotRestarted(t *testing.T) {
	for name, fault := range map[string]func(w *site.Worker){
		"another member fails":      func(w *site.Worker) { w.Fails = true },
		"another member is refused": func(w *site.Worker) { w.Unhealthy = true },
	} {
		t.Run(name, func(t *testing.T) {
			runInVirtualTime(t, func(r *rig) {
				p, stop := r.startWithWorkers(2)
				defer stop()
				time.Sleep(time.Second)
				r.Set("r1-w0", fault)
				r.Set("r1-w1", func(w *site.Worker) { w.StartDelay, w.DropStops = 2500*time.Millisecond, true })
				r.mustSubmit(p, "j1", 0, gangStep(2, 8), time.Second)
				time.Sleep(500 * time.Millisecond)
				r.AddWorkers("r2", 2)
				time.Sleep(8 * time.Second)
				r.Set("r1-w1", func(w *site.Worker) { w.StartDelay, w.DropStops = 0, false })
				r.waitForState(p, "j1", workload.StateCompleted, maxLease)
			})
		})
	}
}

// Guards against starting a gang again that a member on an unreachable worker has completed, when the worker of the other member
// restarts.
func TestGangDoneOnUnreachableWorkerIsNotRestarted(t *testing.T) {
	runInVirtualTime(t, func(r *rig) {
		p, stop := r.startWithWorkers(2)
		defer stop()
		r.mustSubmit(p, "j1", 0, gangStep(2, 8), 3*time.Second)
		time.Sleep(time.Second)
		r.AddWorkers("r2", 2)
		r.Set("r1-w1", func(w *site.Worker) { w.Silent = true })
		time.Sleep(1900 * time.Millisecond)
		r.Set("r1-w0", func(w *site.Worker) { w.Silent = true })
		time.Sleep(500 * time.Millisecond)
		r.Set("r1-w0", (*site.Worker).Restart)
		r.Register(r.Worker("r1-w0"))
		time.Sleep(4600 * time.Millisecond)
		r.Set("r1-w1", func(w *site.Worker) { w.Silent = false })
		r.waitForState(p, "j1", workload.StateCompleted, 2*time.Second)
		r.Equal(r.starts(), 2)
	})
}

// Guards against starting a gang again while a member is still at work on an unreachable worker that does not hear of the end of
// another member.
func TestGangMemberAtWorkOnIsolatedWorkerIsNotRestarted(t *testing.T) {
	for name, end := range map[string]func(w *site.Worker){
		"another member fails":               func(w *site.Worker) { w.EndAll(engine.EndFailed) },
		"another worker restarts":            (*site.Worker).Restart,
		"another worker is stuck":            func(w *site.Worker) { w.Stalled = true },
		"another worker's address is reused": func(w *site.Worker) { w.Replaced = true },
	} {
		t.Run(name, func(t *testing.T) {
			runInVirtualTime(t, func(r *rig) {
				p, stop := r.startWithWorkers(2)
				defer stop()
				r.mustSubmit(p, "j1", 0, gangStep(2, 8), 8*time.Second)
				time.Sleep(time.Second)
				r.AddWorkers("r2", 2)
				r.Set("r1-w1", func(w *site.Worker) { w.Silent, w.Isolated = true, true })
				r.Set("r1-w0", end)
				r.waitForState(p, "j1", workload.StateCompleted, 3*maxLease)
			})
		})
	}
}

// Guards against a gang member on an unreachable worker that was told to start and counts as waiting although it is at work.
func TestGangMemberWithUnansweredStartIsNotRestartedWhileAtWork(t *testing.T) {
	runInVirtualTime(t, func(r *rig) {
		busy := ""
		r.beforeStart("j1", func(w *site.Worker) {
			if w.Registration.ID == busy {
				w.LoseStarts, w.LosePolls, w.Isolated = true, true, true
			}
		})
		p, stop := r.startWithWorkers(2)
		defer stop()
		// Another run extends the lease of the worker to the maximum.
		r.mustSubmit(p, "j0", 1, singleTaskStep(0), time.Minute)
		time.Sleep(time.Second)
		busy = r.WorkersRunning("j0")[0]
		r.mustSubmit(p, "j1", 0, gangStep(2, 8), 30*time.Second)
		time.Sleep(20 * time.Millisecond)
		r.Set(busy, func(w *site.Worker) { w.Silent = true })
		time.Sleep(500 * time.Millisecond)
		r.AddWorkers("r2", 2)
		r.waitForState(p, "j1", workload.StateCompleted, time.Minute)
	})
}

// rest lets the workers rest without runs on slow clocks. The planner does not learn their time meanwhile.
func (r *rig) rest(d time.Duration) {
	time.Sleep(d)
	r.Equal(r.starts(), 0)
}

// Guards against starting a task elsewhere while a worker still runs it whose clock is slow and was last read long ago.
func TestTaskOnSlowClockAfterRestIsNotRestarted(t *testing.T) {
	for name, fault := range map[string]func(w *site.Worker){
		"start executed":                  func(w *site.Worker) { w.LoseStarts, w.LosePolls = true, true },
		"start executed, poll late":       func(w *site.Worker) { w.LoseStarts, w.PollDelay = true, 2*time.Second },
		"start and poll late":             func(w *site.Worker) { w.StartDelay, w.PollDelay = 4*time.Second, 2*time.Second },
		"start late, poll without effect": func(w *site.Worker) { w.StartDelay, w.LosePolls = 4*time.Second, true },
	} {
		t.Run(name, func(t *testing.T) {
			runInVirtualTime(t, func(r *rig) {
				r.AddWorkers("r1", 1)
				r.setAll(func(w *site.Worker) { w.ClockRate = slowClock })
				r.beforeStart("j1", func(w *site.Worker) {
					if w.Registration.ID == "r1-w0" {
						fault(w)
					}
				})
				p, stop := r.startPlanner("a")
				defer stop()
				r.rest(time.Minute)
				r.mustSubmit(p, "j1", 1, singleTaskStep(8), 30*time.Second)
				time.Sleep(20 * time.Millisecond)
				r.Set("r1-w0", func(w *site.Worker) { w.Silent = true })
				r.AddWorkers("r2", 1)
				r.waitForState(p, "j1", workload.StateCompleted, time.Minute)
			})
		})
	}
}

// Guards against starting a gang again while a member may still begin to wait on a worker whose clock is slow and was last read
// long ago.
func TestGangOnSlowClockAfterRestIsNotRestarted(t *testing.T) {
	runInVirtualTime(t, func(r *rig) {
		r.AddWorkers("r1", 2)
		r.setAll(func(w *site.Worker) { w.ClockRate = slowClock })
		r.beforeStart("j1", func(w *site.Worker) {
			if w.Registration.ID == "r1-w1" {
				w.StartDelay, w.PollDelay, w.DropStops = 4200*time.Millisecond, 2*time.Second, true
			}
		})
		p, stop := r.startPlanner("a")
		defer stop()
		r.rest(time.Minute)
		r.Set("r1-w0", func(w *site.Worker) { w.Fails = true })
		r.mustSubmit(p, "j1", 0, gangStep(2, 8), time.Second)
		time.Sleep(20 * time.Millisecond)
		r.Set("r1-w1", func(w *site.Worker) { w.Silent = true })
		r.AddWorkers("r2", 2)
		r.waitForState(p, "j1", workload.StateCompleted, time.Minute)
	})
}

// Guards against a successor that starts an inherited task again while its unreachable worker still runs it by a slow clock.
func TestInheritedRunOnSlowClockIsNotRestarted(t *testing.T) {
	for name, step := range map[string]workload.Step{"single task": singleTaskStep(8), "gang": gangStep(1, 8)} {
		t.Run(name, func(t *testing.T) {
			runInVirtualTime(t, func(r *rig) {
				r.AddWorkers("r1", 1)
				r.setAll(func(w *site.Worker) { w.ClockRate = slowClock })
				r.beforeStart("j1", func(w *site.Worker) {
					if w.Registration.ID == "r1-w0" {
						w.LoseStarts, w.PollDelay = true, 5*time.Second
					}
				})
				p, stop := r.startPlanner("a")
				r.rest(3 * time.Minute)
				r.mustSubmit(p, "j1", 1, step, 30*time.Second)
				time.Sleep(20 * time.Millisecond)
				stop()
				r.Set("r1-w0", func(w *site.Worker) { w.Silent = true })
				r.AddWorkers("r2", 1)
				p, stop = r.startPlanner("b")
				defer stop()
				r.waitForState(p, "j1", workload.StateCompleted, time.Minute)
			})
		})
	}
}

// Guards against bounding a lease by a time on the clock of an earlier incarnation: on the clock of the next one, that time is far
// ahead.
func TestLateOrderToRestartedWorkerOutlastsItsLease(t *testing.T) {
	for name, fault := range map[string]func(w *site.Worker){
		"start late": func(w *site.Worker) { w.StartDelay = 12 * time.Second },
		"poll late":  func(w *site.Worker) { w.LoseStarts, w.PollDelay = true, 5*time.Second },
	} {
		t.Run(name, func(t *testing.T) {
			runInVirtualTime(t, func(r *rig) {
				r.beforeStart("j1", func(w *site.Worker) {
					if w.Registration.ID == "r1-w0" {
						fault(w)
					}
				})
				p, stop := r.startWithWorkers(1)
				defer stop()
				r.rest(time.Minute)
				r.setAll((*site.Worker).Restart)
				r.mustSubmit(p, "j1", 1, singleTaskStep(8), 30*time.Second)
				time.Sleep(20 * time.Millisecond)
				r.Set("r1-w0", func(w *site.Worker) { w.Silent = true })
				r.AddWorkers("r2", 1)
				r.waitForState(p, "j1", workload.StateCompleted, time.Minute)
			})
		})
	}
}

// Guards against bounding the lease of a worker that has just restarted by an order that was meant for the clock of its earlier
// incarnation: the order gives the longest lease, as late as it may be carried out.
func TestRunOnJustRestartedWorkerIsNotRestarted(t *testing.T) {
	for name, fault := range map[string]func(w *site.Worker){
		"start answered, poll lost": func(w *site.Worker) { w.LosePolls = true },
		"start late":                func(w *site.Worker) { w.StartDelay = 12 * time.Second },
	} {
		t.Run(name, func(t *testing.T) {
			runInVirtualTime(t, func(r *rig) {
				r.beforeStart("j1", func(w *site.Worker) {
					if w.Registration.ID == "r1-w0" {
						w.Restart()
						fault(w)
					}
				})
				p, stop := r.startWithWorkers(1)
				defer stop()
				r.rest(time.Minute)
				r.mustSubmit(p, "j0", 1, singleTaskStep(8), time.Second)
				r.waitForState(p, "j0", workload.StateCompleted, 2*time.Second)
				r.mustSubmit(p, "j1", 1, singleTaskStep(8), 30*time.Second)
				time.Sleep(20 * time.Millisecond)
				r.Set("r1-w0", func(w *site.Worker) { w.Silent = true })
				r.Register(r.Worker("r1-w0"))
				r.AddWorkers("r2", 1)
				r.waitForState(p, "j1", workload.StateCompleted, 2*time.Minute)
			})
		})
	}
}

// Guards against running tasks again whose ends a worker has not listed yet because it lists a limited number at a time.
func TestDoneRunsBeyondFirstPageOfEndsAreNotRestarted(t *testing.T) {
	const tasks = 5
	for _, successor := range []bool{false, true} {
		t.Run(fmt.Sprintf("successor %t", successor), func(t *testing.T) {
			runInVirtualTime(t, func(r *rig) {
				r.MaxListedEnds = 2
				p, stop := r.startWithWorkers(1)
				for i := range tasks {
					r.mustSubmit(p, fmt.Sprintf("j%d", i), 1, singleTaskStep(1), 3*time.Second)
				}
				time.Sleep(time.Second)
				if successor {
					stop()
					time.Sleep(3 * time.Second)
					p, stop = r.startPlanner("b")
				} else {
					r.Set("r1-w0", func(w *site.Worker) { w.LosePolls = true })
					time.Sleep(4 * time.Second)
					r.Set("r1-w0", func(w *site.Worker) { w.LosePolls = false })
				}
				defer stop()
				for i := range tasks {
					r.waitForState(p, fmt.Sprintf("j%d", i), workload.StateCompleted, 6*time.Second)
				}
				r.Equal(r.starts(), tasks)
			})
		})
	}
}

// Guards against starting a gang again of which the done end is beyond the first page of ends that a worker lists.
func TestDoneGangBeyondFirstPageOfEndsIsNotRestarted(t *testing.T) {
	runInVirtualTime(t, func(r *rig) {
		r.MaxListedEnds = 2
		p, stop := r.startWithWorkers(1)
		for i := range 2 {
			r.mustSubmit(p, fmt.Sprintf("j%d", i), 1, singleTaskStep(1), 2*time.Second)
		}
		r.mustSubmit(p, "gang", 1, gangStep(2, 1), 2500*time.Millisecond)
		time.Sleep(time.Second)
		stop()
		time.Sleep(3 * time.Second)
		p, stop = r.startPlanner("b")
		defer stop()
		for _, id := range []string{"j0", "j1", "gang"} {
			r.waitForState(p, id, workload.StateCompleted, 6*time.Second)
		}
		r.Equal(r.starts(), 4)
	})
}

// Guards against a run that the worker never had and that ends late because the worker waits for an end when it is asked for those
// beyond a full page, of which there are none.
func TestAbsentRunEndsSoonAfterFullPageOfEnds(t *testing.T) {
	runInVirtualTime(t, func(r *rig) {
		r.MaxListedEnds = 2
		p, stop := r.startWithWorkers(1)
		for i := range r.MaxListedEnds {
			r.mustSubmit(p, fmt.Sprintf("j%d", i), 1, singleTaskStep(1), time.Second)
		}
		time.Sleep(500 * time.Millisecond)
		r.Set("r1-w0", func(w *site.Worker) { w.StartDelay = 2 * maxLease })
		r.mustSubmit(p, "absent", 1, singleTaskStep(1), 500*time.Millisecond)
		// The planner is lost before it can record that the start got no response.
		r.Store.SetRefusing(true)
		time.Sleep(20 * time.Millisecond)
		stop()
		r.Store.SetRefusing(false)
		time.Sleep(2 * time.Second)
		r.Set("r1-w0", func(w *site.Worker) { w.StartDelay = 0 })
		p, stop = r.startPlanner("b")
		defer stop()
		r.waitForState(p, "absent", workload.StateCompleted, 1500*time.Millisecond)
		r.Equal(r.starts(), r.MaxListedEnds+1)
	})
}

// Guards against two mistakes while ends cannot be stored, so that the worker goes on listing the first page of them: conclusions
// about runs that end beyond the page, and polls without a pause, since a worker with ends does not wait.
func TestEndsBeyondFirstPageDuringStoreOutage(t *testing.T) {
	const (
		tasks  = 5
		outage = 5 * time.Second
	)
	for name, setOut := range map[string]func(r *rig, out bool){
		"silent":   func(r *rig, out bool) { r.Store.SetSilent(out) },
		"refusing": func(r *rig, out bool) { r.Store.SetRefusing(out) },
	} {
		t.Run(name, func(t *testing.T) {
			runInVirtualTime(t, func(r *rig) {
				r.MaxListedEnds = 2
				r.Store.PauseLeases = true
				p, stop := r.startWithWorkers(1)
				defer stop()
				r.mustSubmit(p, "long", 1, singleTaskStep(1), 8*time.Second)
				r.mustSubmit(p, "stopped", 1, singleTaskStep(1), time.Minute)
				for i := range tasks {
					r.mustSubmit(p, fmt.Sprintf("j%d", i), 1, singleTaskStep(1), 2*time.Second)
				}
				time.Sleep(time.Second)
				setOut(r, true)
				polls := p.Metrics.Get(metrics.Polls)
				time.Sleep(outage / 2)
				// The run is stopped at once if the term goes on. Its end is then beyond the page too.
				ctx, cancel := context.WithTimeout(context.Background(), outage/2)
				_ = p.Cancel(ctx, "stopped")
				cancel()
				r.True(p.Metrics.Get(metrics.Polls)-polls <= int64(outage/(200*time.Millisecond)))
				setOut(r, false)
				for i := range tasks {
					r.waitForState(p, fmt.Sprintf("j%d", i), workload.StateCompleted, 2*time.Second)
				}
				r.Equal(p.Cancel(context.Background(), "stopped").Verdict, engine.VerdictAccepted)
				r.waitForState(p, "stopped", workload.StateCancelled, time.Second)
				r.waitForState(p, "long", workload.StateCompleted, 5*time.Second)
				r.Equal(r.WorkersRunning("stopped"), nil)
				r.Equal(r.starts(), tasks+2)
				// The worker has its whole capacity again.
				r.mustSubmit(p, "next", 1, singleTaskStep(8), time.Second)
				r.waitForState(p, "next", workload.StateCompleted, 2*time.Second)
			})
		})
	}
}

// Guards against a late start that the next incarnation of a worker carries out although the one before has confirmed its stop.
func TestStopConfirmedBeforeRestartDoesNotCoverLateStart(t *testing.T) {
	for name, after := range map[string]time.Duration{"the run has not ended": time.Second, "the next run is at work": 4 * time.Second} {
		t.Run(name, func(t *testing.T) {
			runInVirtualTime(t, func(r *rig) {
				p, stop := r.startWithWorkers(1)
				defer stop()
				r.rest(30 * time.Second)
				r.Set("r1-w0", func(w *site.Worker) { w.StartDelay, w.KeepsLateOrders = after+2*time.Second, true })
				r.mustSubmit(p, "j1", 1, singleTaskStep(8), 20*time.Second)
				// The start is sent once the worker has reported its clock.
				time.Sleep(20 * time.Millisecond)
				// The drain keeps the next run away from the worker.
				r.Set("r1-w0", func(w *site.Worker) { w.Registration.Draining = true })
				r.AddWorkers("r2", 1)
				time.Sleep(after)
				r.Set("r1-w0", func(w *site.Worker) {
					w.Restart()
					w.StartDelay, w.Registration.Draining = 0, false
				})
				r.Register(r.Worker("r1-w0"))
				r.waitForState(p, "j1", workload.StateCompleted, time.Minute)
			})
		})
	}
}

// Guards against a start order without an answer that a worker carries out after it has restarted, and so has forgotten that the run
// has ended: another attempt of the order was carried out before, or the run was stopped.
func TestLateStartAfterRestartIsRefused(t *testing.T) {
	for name, c := range map[string]struct {
		work     time.Duration
		allLate  bool
		restarts []time.Duration
		// late is how late the start order is carried out; 0 means 6 s.
		late time.Duration
		// fault lasts for faultTime after each restart; 0 means 1 s.
		fault     func(w *site.Worker, on bool)
		faultTime time.Duration
	}{
		"the run is done":               {work: time.Second, restarts: []time.Duration{3 * time.Second}},
		"the run is done, two restarts": {work: time.Second, restarts: []time.Duration{2500 * time.Millisecond, 4500 * time.Millisecond}},
		"the run is at work":            {work: 20 * time.Second, restarts: []time.Duration{3 * time.Second}},
		"the run was stopped, two restarts": {
			work: 20 * time.Second, allLate: true, restarts: []time.Duration{2500 * time.Millisecond, 4500 * time.Millisecond},
		},
		"stops are lost": {
			work: time.Second, restarts: []time.Duration{3 * time.Second}, fault: func(w *site.Worker, on bool) { w.DropStops = on },
		},
		"stops are refused": {
			work: time.Second, restarts: []time.Duration{3 * time.Second}, fault: func(w *site.Worker, on bool) { w.Unhealthy = on },
		},
		"the worker is unreachable": {
			work: time.Second, restarts: []time.Duration{3 * time.Second}, fault: func(w *site.Worker, on bool) { w.Silent = on },
		},
		"the worker is unreachable until its lease ends": {
			work: 20 * time.Second, allLate: true, restarts: []time.Duration{time.Second}, late: 20 * time.Second,
			fault: func(w *site.Worker, on bool) { w.Silent = on }, faultTime: 17 * time.Second,
		},
	} {
		t.Run(name, func(t *testing.T) {
			c.late, c.faultTime = cmp.Or(c.late, 6*time.Second), cmp.Or(c.faultTime, time.Second)
			runInVirtualTime(t, func(r *rig) {
				p, stop := r.startWithWorkers(1)
				defer stop()
				r.rest(30 * time.Second)
				r.Set("r1-w0", func(w *site.Worker) { w.StartDelay, w.KeepsLateOrders = c.late, true })
				r.mustSubmit(p, "j1", 1, singleTaskStep(8), c.work)
				submitted := time.Now()
				time.Sleep(20 * time.Millisecond)
				if !c.allLate {
					r.Set("r1-w0", func(w *site.Worker) { w.StartDelay = 0 })
				}
				time.Sleep(100 * time.Millisecond)
				r.Set("r1-w0", func(w *site.Worker) { w.StartDelay = 0 })
				r.AddWorkers("r2", 1)
				if c.work < c.restarts[0] {
					r.waitForState(p, "j1", workload.StateCompleted, 2*c.work)
				}
				for _, restart := range c.restarts {
					time.Sleep(time.Until(submitted.Add(restart)))
					r.Set("r1-w0", (*site.Worker).Restart)
					if c.fault != nil {
						r.Set("r1-w0", func(w *site.Worker) { c.fault(w, true) })
						time.AfterFunc(c.faultTime, func() { r.Set("r1-w0", func(w *site.Worker) { c.fault(w, false) }) })
					}
					r.Register(r.Worker("r1-w0"))
				}
				time.Sleep(time.Until(submitted.Add(c.late + time.Second)))
				r.waitForState(p, "j1", workload.StateCompleted, time.Minute)
			})
		})
	}
}

// Guards against a start order of an earlier planner that a worker carries out after it has restarted, before it knows the present
// planner's fencing token.
func TestLateStartOfEarlierPlannerIsNotRepeated(t *testing.T) {
	runInVirtualTime(t, func(r *rig) {
		p, stop := r.startWithWorkers(1)
		r.rest(30 * time.Second)
		r.Set("r1-w0", func(w *site.Worker) { w.StartDelay, w.KeepsLateOrders = 6*time.Second, true })
		r.mustSubmit(p, "j1", 1, singleTaskStep(8), 20*time.Second)
		time.Sleep(20 * time.Millisecond)
		// The second attempt is carried out at once.
		r.Set("r1-w0", func(w *site.Worker) { w.StartDelay = 0 })
		time.Sleep(time.Second)
		stop()
		p, stop = r.startPlanner("b")
		defer stop()
		r.AddWorkers("r2", 1)
		time.Sleep(time.Second)
		r.Set("r1-w0", func(w *site.Worker) {
			w.Restart()
			w.Silent = true
		})
		r.Register(r.Worker("r1-w0"))
		time.Sleep(5 * time.Second)
		r.Set("r1-w0", func(w *site.Worker) { w.Silent = false })
		r.waitForState(p, "j1", workload.StateCompleted, time.Minute)
	})
}

// Guards against a restart that the planner reads of, but does not act on until the poll of the earlier incarnation is retried: a late
// start may come first.
func TestRestartedWorkerIsContactedImmediately(t *testing.T) {
	runInVirtualTime(t, func(r *rig) {
		p, stop := r.startWithWorkers(1)
		defer stop()
		r.rest(30 * time.Second)
		// This run keeps a poll in flight.
		r.mustSubmit(p, "j0", 1, singleTaskStep(0), 20*time.Second)
		time.Sleep(100 * time.Millisecond)
		r.Set("r1-w0", func(w *site.Worker) { w.StartDelay, w.KeepsLateOrders = 6*time.Second, true })
		r.mustSubmit(p, "j1", 1, singleTaskStep(8), time.Second)
		submitted := time.Now()
		time.Sleep(20 * time.Millisecond)
		r.Set("r1-w0", func(w *site.Worker) { w.StartDelay = 0 })
		r.waitForState(p, "j1", workload.StateCompleted, 2*time.Second)
		time.Sleep(time.Until(submitted.Add(5900 * time.Millisecond)))
		r.Set("r1-w0", (*site.Worker).Restart)
		r.Register(r.Worker("r1-w0"))
		r.waitForState(p, "j0", workload.StateCompleted, time.Minute)
	})
}

// Guards against an acknowledgement of ends that a worker carries out after it has restarted: it discards ends of the new incarnation
// that nobody has heard of, since they are numbered anew.
func TestLateAcknowledgementDiscardsNoEndsOfNextIncarnation(t *testing.T) {
	runInVirtualTime(t, func(r *rig) {
		p, stop := r.startWithWorkers(1)
		defer stop()
		r.mustSubmit(p, "j0", 1, singleTaskStep(8), time.Second)
		submitted := time.Now()
		at := func(d time.Duration, f func(w *site.Worker)) {
			time.Sleep(time.Until(submitted.Add(d)))
			r.Set("r1-w0", f)
		}
		// The poll that acknowledges the end of the first run is late.
		at(900*time.Millisecond, func(w *site.Worker) { w.PollDelay, w.KeepsLateOrders = 5*time.Second, true })
		at(1200*time.Millisecond, func(w *site.Worker) {
			w.PollDelay = 0
			w.Restart()
		})
		r.Register(r.Worker("r1-w0"))
		time.Sleep(time.Until(submitted.Add(2 * time.Second)))
		// This run ends while the worker cannot be reached.
		r.mustSubmit(p, "j1", 1, singleTaskStep(8), 4*time.Second)
		at(5500*time.Millisecond, func(w *site.Worker) { w.Silent = true })
		at(6500*time.Millisecond, func(w *site.Worker) { w.Silent = false })
		r.waitForState(p, "j1", workload.StateCompleted, 20*time.Second)
		r.Equal(r.starts(), 2)
	})
}

// Guards against telling a caller that a job is completed that runs again, because only a worker that restarts and a planner that
// loses its term know of the end.
func TestJobToldCompletedDuringStoreOutageIsNotRunAgain(t *testing.T) {
	runInVirtualTime(t, func(r *rig) {
		p, stop := r.startWithWorkers(1)
		r.mustSubmit(p, "j1", 0, singleTaskStep(8), 2*time.Second)
		time.Sleep(time.Second)
		r.Store.SetSilent(true)
		time.Sleep(2 * time.Second)
		ctx, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
		defer cancel()
		if p.State(ctx, "j1").State == workload.StateCompleted {
			r.RecordCompleted("j1")
		}
		r.Set("r1-w0", (*site.Worker).Restart)
		r.Register(r.Worker("r1-w0"))
		time.Sleep(time.Second)
		stop()
		r.Store.SetSilent(false)
		p, stop = r.startPlanner("b")
		defer stop()
		r.waitForState(p, "j1", workload.StateCompleted, 2*maxLease)
	})
}

// Guards against a run that is done and counts as standing still, so that its worker gets no new runs for a while: its end is beyond the page
// of ends that the worker lists again while they cannot be stored.
func TestDoneRunBeyondPageOfEndsIsNotTakenForStalled(t *testing.T) {
	const tasks = 4
	runInVirtualTime(t, func(r *rig) {
		r.MaxListedEnds = 2
		p, stop := r.startWithWorkers(1)
		defer stop()
		for i := range tasks {
			r.mustSubmit(p, fmt.Sprintf("j%d", i), 1, singleTaskStep(1), 2*time.Second)
		}
		time.Sleep(time.Second)
		r.Store.SetRefusing(true)
		time.Sleep(8 * time.Second)
		r.Store.SetRefusing(false)
		for i := range tasks {
			r.waitForState(p, fmt.Sprintf("j%d", i), workload.StateCompleted, 2*time.Second)
		}
		r.mustSubmit(p, "next", 1, singleTaskStep(8), time.Second)
		r.waitForState(p, "next", workload.StateCompleted, 3*time.Second)
		r.Equal(r.starts(), tasks+1)
	})
}
