package engine_test

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"clementinepier/engine"
	"clementinepier/metrics"
	"clementinepier/standin/site"
	"clementinepier/workload"
)

// readClock runs a short job, so that the planner has just read the clock of the only worker.
func (r *rig) readClock(p *engine.Planner) {
	r.t.Helper()
	r.mustSubmit(p, "j0", 1, singleTaskStep(8), time.Second)
	r.waitForState(p, "j0", workload.StateCompleted, 2*time.Second)
}

// Guards against a successor that bounds the lease of an inherited run by the longest lease from its election on: the earlier
// planner's start went to a worker that had just restarted, and its end, meant for the earlier clock, is far ahead on the new one.
func TestInheritedRunOnJustRestartedWorkerIsNotRestarted(t *testing.T) {
	for name, registered := range map[string]bool{"restart registered": true, "restart unknown": false} {
		t.Run(name, func(t *testing.T) {
			runInVirtualTime(t, func(r *rig) {
				p, stop := r.startWithWorkers(1)
				r.rest(time.Minute)
				r.readClock(p)
				earlier := r.Worker("r1-w0").Registration
				r.setAll(func(w *site.Worker) {
					w.Restart()
					w.StartDelay = 14 * time.Second
				})
				r.mustSubmit(p, "j1", 1, singleTaskStep(8), 30*time.Second)
				time.Sleep(20 * time.Millisecond)
				r.Set("r1-w0", func(w *site.Worker) { w.Silent = true })
				stop()
				if registered {
					r.Register(r.Worker("r1-w0"))
				} else {
					r.registrations = map[string]engine.Registration{"r1-w0": earlier}
				}
				r.AddWorkers("r2", 1)
				p, stop = r.startPlanner("b")
				defer stop()
				r.waitForState(p, "j1", workload.StateCompleted, 2*time.Minute)
			})
		})
	}
}

// Guards against bounding the leases of a worker that has just restarted without the polls that it may still carry out: a poll that
// was meant for the clock of the earlier incarnation gives the longest lease, as late as it is carried out.
func TestLatePollOfJustRestartedWorkerOutlastsItsLease(t *testing.T) {
	runInVirtualTime(t, func(r *rig) {
		r.beforeStart("j1", func(w *site.Worker) {
			if w.Registration.ID == "r1-w0" {
				w.Restart()
				w.PollDelay = 8 * time.Second
			}
		})
		p, stop := r.startWithWorkers(1)
		defer stop()
		r.rest(time.Minute)
		r.readClock(p)
		r.mustSubmit(p, "j1", 1, singleTaskStep(8), 30*time.Second)
		time.Sleep(20 * time.Millisecond)
		r.Set("r1-w0", func(w *site.Worker) { w.Silent = true })
		r.AddWorkers("r2", 1)
		r.waitForState(p, "j1", workload.StateCompleted, 2*time.Minute)
	})
}

// Guards against a poll to an earlier incarnation that the next one carries out: it extends the lease of a run that was started there
// since.
func TestLatePollToEarlierIncarnationOutlastsLease(t *testing.T) {
	runInVirtualTime(t, func(r *rig) {
		p, stop := r.startWithWorkers(1)
		defer stop()
		r.rest(time.Minute)
		r.mustSubmit(p, "j0", 1, singleTaskStep(8), time.Minute)
		time.Sleep(500 * time.Millisecond)
		// The poll in flight ends within 2 s; the next one is late.
		r.setAll(func(w *site.Worker) { w.PollDelay, w.KeepsLateOrders = 10*time.Second, true })
		time.Sleep(2 * time.Second)
		r.setAll(func(w *site.Worker) {
			w.Restart()
			w.PollDelay = 0
		})
		r.Register(r.Worker("r1-w0"))
		time.Sleep(time.Second)
		r.Equal(len(r.WorkersRunning("j0")), 1)
		r.Set("r1-w0", func(w *site.Worker) { w.Silent = true })
		r.AddWorkers("r2", 1)
		r.waitForState(p, "j0", workload.StateCompleted, 2*time.Minute)
	})
}

// Guards against acknowledging ends to a worker that has restarted since it last reported its incarnation, while the new one has carried out
// a start whose answer is lost or does not report the incarnation: the end of that run has the same number.
func TestEndsAreNotAcknowledgedToUnknownIncarnation(t *testing.T) {
	for name, answered := range map[string]bool{"start unanswered": false, "start answered": true} {
		t.Run(name, func(t *testing.T) {
			runInVirtualTime(t, func(r *rig) {
				restarted := false
				r.wrapWorkers = func(w engine.Workers) engine.Workers {
					start := w.Start
					w.Start = func(ctx context.Context, t engine.Target, o engine.StartOrder) (engine.WorkerStatus, error) {
						if o.Payload != "j1" || restarted {
							return start(ctx, t, o)
						}
						restarted = true
						r.Set("r1-w0", (*site.Worker).Restart)
						status, err := start(ctx, t, o)
						r.NoErr(err)
						if answered {
							status.Incarnation = 0
							return status, nil
						}
						<-ctx.Done()
						return engine.WorkerStatus{}, ctx.Err()
					}
					return w
				}
				r.Store.CommitDelay = 400 * time.Millisecond
				p, stop := r.startWithWorkers(1)
				defer stop()
				r.mustSubmit(p, "j0", 1, singleTaskStep(1), 2*time.Second)
				for len(r.WorkersRunning("j0")) == 0 {
					time.Sleep(time.Millisecond)
				}
				// The placement of j1 is stored just after the worker has listed the end of j0, which is being stored then.
				time.Sleep(1620 * time.Millisecond)
				r.mustSubmit(p, "j1", 1, singleTaskStep(1), 100*time.Millisecond)
				r.waitForState(p, "j1", workload.StateCompleted, time.Minute)
				r.waitForState(p, "j0", workload.StateCompleted, time.Minute)
				r.True(restarted)
				r.Equal(r.starts(), 2)
			})
		})
	}
}

// Guards against taking the acknowledgement of an earlier incarnation's ends for one of the next: its ends would stay listed, and
// polls would not wait.
func TestAcknowledgementOfEarlierIncarnationIsNotTakenForNext(t *testing.T) {
	runInVirtualTime(t, func(r *rig) {
		restarted := false
		r.wrapWorkers = func(w engine.Workers) engine.Workers {
			poll := w.Poll
			w.Poll = func(ctx context.Context, t engine.Target, o engine.PollRequest) (engine.PollResponse, error) {
				if o.Acknowledged != 0 && !restarted {
					restarted = true
					r.Set("r1-w0", (*site.Worker).Restart)
					r.Register(r.Worker("r1-w0"))
					// The watch of the registrations answers first.
					time.Sleep(400 * time.Millisecond)
				}
				return poll(ctx, t, o)
			}
			return w
		}
		p, stop := r.startWithWorkers(1)
		defer stop()
		r.readClock(p)
		time.Sleep(time.Second)
		r.True(restarted)
		r.mustSubmit(p, "long", 1, singleTaskStep(1), 10*time.Second)
		r.mustSubmit(p, "short", 1, singleTaskStep(1), time.Second)
		r.waitForState(p, "short", workload.StateCompleted, 2*time.Second)
		polls := p.Metrics.Get(metrics.Polls)
		time.Sleep(4 * time.Second)
		r.True(p.Metrics.Get(metrics.Polls)-polls <= 10)
		r.waitForState(p, "long", workload.StateCompleted, 10*time.Second)
	})
}

// Guards against ending a run that a new incarnation has started and confirmed in a response that does not report the incarnation:
// workers report it with their registrations and their lists of runs.
func TestRunConfirmedWithoutIncarnationIsNotRepeated(t *testing.T) {
	for name, c := range map[string]struct {
		step  workload.Step
		work  time.Duration
		fault func(w *site.Worker)
	}{
		"at work":              {singleTaskStep(8), 3 * time.Second, func(*site.Worker) {}},
		"at work, stops lost":  {singleTaskStep(8), 3 * time.Second, func(w *site.Worker) { w.DropStops = true }},
		"done":                 {singleTaskStep(8), time.Second, func(*site.Worker) {}},
		"gang of one, done":    {gangStep(1, 8), time.Second, func(*site.Worker) {}},
		"gang of one, at work": {gangStep(1, 8), 3 * time.Second, func(*site.Worker) {}},
	} {
		t.Run(name, func(t *testing.T) {
			runInVirtualTime(t, func(r *rig) {
				r.wrapWorkers = func(w engine.Workers) engine.Workers {
					start := w.Start
					w.Start = func(ctx context.Context, t engine.Target, o engine.StartOrder) (engine.WorkerStatus, error) {
						status, err := start(ctx, t, o)
						status.Incarnation = 0
						return status, err
					}
					return w
				}
				p, stop := r.startWithWorkers(1)
				defer stop()
				r.rest(time.Minute)
				r.readClock(p)
				r.Set("r1-w0", func(w *site.Worker) {
					w.Restart()
					c.fault(w)
				})
				r.mustSubmit(p, "j1", 1, c.step, c.work)
				r.AddWorkers("r2", 1)
				r.waitForState(p, "j1", workload.StateCompleted, time.Minute)
				r.Equal(r.starts(), 2)
			})
		})
	}
}

// Guards against ending the runs of a whole failure domain at once, and starting their tasks in another one, because its workers have restarted:
// the runs were confirmed by the new incarnations before a planner knew of them, and go on where no planner can see or stop them.
func TestRunsConfirmedByRestartedDomainAreNotRepeated(t *testing.T) {
	const entryRead = 400 * time.Millisecond
	for name, c := range map[string]struct {
		fault func(w *site.Worker)
		// change, if set, changes the planner "before" the restart, "after" the starts or after the "entry" of the restart was read.
		change string
	}{
		"reachable":                      {fault: func(*site.Worker) {}},
		"polls lost":                     {fault: func(w *site.Worker) { w.LosePolls = true }},
		"cut off":                        {fault: func(w *site.Worker) { w.Silent = true }},
		"cut off, planner changed":       {fault: func(w *site.Worker) { w.Silent = true }, change: "before"},
		"cut off, planner ends":          {fault: func(w *site.Worker) { w.Silent = true }, change: "after"},
		"cut off, planner ends later":    {fault: func(w *site.Worker) { w.Silent = true }, change: "entry"},
		"polls lost, planner ends later": {fault: func(w *site.Worker) { w.LosePolls = true }, change: "entry"},
	} {
		t.Run(name, func(t *testing.T) {
			runInVirtualTime(t, func(r *rig) {
				r.storeEntries()
				domain := []string{"r1-w0", "r1-w1"}
				var once sync.Once
				r.wrapWorkers = func(w engine.Workers) engine.Workers {
					start := w.Start
					w.Start = func(ctx context.Context, t engine.Target, o engine.StartOrder) (engine.WorkerStatus, error) {
						once.Do(func() { r.setAll((*site.Worker).Restart) })
						return start(ctx, t, o)
					}
					return w
				}
				p, stop := r.startWithWorkers(len(domain))
				defer func() { stop() }()
				changePlanner := func(at string) {
					if c.change == at {
						stop()
						p, stop = r.startPlanner("b")
					}
				}
				r.rest(30 * time.Second)
				changePlanner("before")
				jobs := []string{"j0", "j1"}
				for _, id := range jobs {
					r.mustSubmit(p, id, 1, singleTaskStep(8), 6*time.Second)
				}
				time.Sleep(20 * time.Millisecond)
				for _, id := range jobs {
					r.Equal(len(r.WorkersRunning(id)), 1) // the new incarnations have the runs
				}
				r.AddWorkers("r2", 2)
				for _, id := range domain {
					r.Set(id, c.fault)
				}
				changePlanner("after")
				time.Sleep(entryRead)
				for _, id := range domain {
					r.Register(r.Worker(id))
				}
				time.Sleep(entryRead)
				changePlanner("entry")
				time.Sleep(8 * time.Second)
				r.setAll(func(w *site.Worker) { w.Silent, w.LosePolls = false, false })
				for _, id := range jobs {
					r.waitForState(p, id, workload.StateCompleted, 10*time.Second)
				}
				r.Equal(r.starts(), len(jobs))
			})
		})
	}
}

// Guards against taking a stop that the earlier incarnation has confirmed for one of the next, because its answer arrives after the
// restart is known and does not report the incarnation: the run has ended, and is started late.
func TestLateStopAnswerOfEarlierIncarnationDoesNotCoverLateStart(t *testing.T) {
	runInVirtualTime(t, func(r *rig) {
		starts, stops := 0, 0
		r.wrapWorkers = func(w engine.Workers) engine.Workers {
			start, stop := w.Start, w.Stop
			w.Start = func(ctx context.Context, t engine.Target, o engine.StartOrder) (engine.WorkerStatus, error) {
				delay := time.Duration(0)
				if starts++; starts <= 2 {
					delay = 8 * time.Second
				}
				r.Set("r1-w0", func(w *site.Worker) { w.StartDelay, w.KeepsLateOrders = delay, true })
				return start(ctx, t, o)
			}
			w.Stop = func(ctx context.Context, t engine.Target, o engine.StopOrder) (engine.WorkerStatus, error) {
				status, err := stop(ctx, t, o)
				status.Incarnation = 0
				if stops++; stops == 1 {
					r.NoErr(err)
					r.Set("r1-w0", (*site.Worker).Restart)
					r.Register(r.Worker("r1-w0"))
					time.Sleep(400 * time.Millisecond)
				}
				return status, err
			}
			return w
		}
		p, stop := r.startWithWorkers(1)
		defer stop()
		// An order for the clock of the first incarnation is not too late for the clocks of the next ones.
		r.rest(time.Minute)
		r.mustSubmit(p, "j1", 1, singleTaskStep(8), time.Second)
		r.waitForState(p, "j1", workload.StateCompleted, 4*time.Second)
		r.Set("r1-w0", (*site.Worker).Restart)
		r.Register(r.Worker("r1-w0"))
		time.Sleep(10 * time.Second)
		r.True(stops > 0)
		r.Equal(r.starts(), 1)
	})
}

// Guards against starting a task elsewhere as soon as a restart of its worker is known, while the new incarnation may still carry out
// the start of an earlier run of the task, or has done so and cannot be told to stop it.
func TestLateStartOfEarlierRunIsOverBeforeTaskRestarts(t *testing.T) {
	const lateStart = 6 * time.Second
	for name, c := range map[string]struct {
		registeredAfter, silentAfterwards time.Duration
		dropStops                         bool
	}{
		"before it answers":       {silentAfterwards: 300 * time.Millisecond},
		"before it is asked":      {registeredAfter: 300 * time.Millisecond},
		"while stops are lost":    {registeredAfter: 300 * time.Millisecond, dropStops: true},
		"silent, then stops lost": {silentAfterwards: 300 * time.Millisecond, dropStops: true},
	} {
		t.Run(name, func(t *testing.T) {
			runInVirtualTime(t, func(r *rig) {
				p, stop := r.startWithWorkers(1)
				defer stop()
				r.rest(30 * time.Second)
				r.Set("r1-w0", func(w *site.Worker) { w.StartDelay, w.KeepsLateOrders = lateStart, true })
				r.mustSubmit(p, "j1", 1, singleTaskStep(8), 20*time.Second)
				submitted := time.Now()
				r.confirmAndStopRun()
				time.Sleep(4 * time.Second)
				r.Equal(r.WorkersRunning("j1"), []string{"r1-w0"})
				r.AddWorkers("r2", 1)
				time.Sleep(time.Until(submitted.Add(lateStart - 100*time.Millisecond)))
				r.Set("r1-w0", func(w *site.Worker) {
					w.Restart()
					w.Silent, w.DropStops = c.silentAfterwards > 0, c.dropStops
				})
				time.Sleep(c.registeredAfter)
				r.Register(r.Worker("r1-w0"))
				time.Sleep(c.silentAfterwards)
				r.Set("r1-w0", func(w *site.Worker) { w.Silent = false })
				r.waitForState(p, "j1", workload.StateCompleted, time.Minute)
			})
		})
	}
}

// Guards against placing a task although a worker lists a run of it that it has started late, and cannot be told to stop it; and against
// polls and stops without a pause meanwhile.
func TestTaskWithOrphanRunIsNotPlaced(t *testing.T) {
	for name, step := range map[string]workload.Step{"single task": singleTaskStep(8), "gang": gangStep(1, 8)} {
		t.Run(name, func(t *testing.T) {
			runInVirtualTime(t, func(r *rig) {
				var stops atomic.Int64
				r.wrapWorkers = func(w engine.Workers) engine.Workers {
					stop := w.Stop
					w.Stop = func(ctx context.Context, t engine.Target, o engine.StopOrder) (engine.WorkerStatus, error) {
						stops.Add(1)
						return stop(ctx, t, o)
					}
					return w
				}
				p, stop := r.startWithWorkers(1)
				defer stop()
				r.rest(time.Minute)
				r.Set("r1-w0", func(w *site.Worker) { w.StartDelay, w.KeepsLateOrders = 6*time.Second, true })
				r.mustSubmit(p, "j1", 1, step, 20*time.Second)
				time.Sleep(100 * time.Millisecond)
				// The job finds no worker after its first run has ended.
				r.Set("r1-w0", func(w *site.Worker) { w.StartDelay, w.Registration.Draining = 0, true })
				r.Register(r.Worker("r1-w0"))
				// The start is carried out 5 ms after the restart, before the worker is polled again.
				time.Sleep(5897 * time.Millisecond)
				r.Set("r1-w0", func(w *site.Worker) {
					w.Restart()
					w.DropStops, w.Registration.Draining = true, false
				})
				time.Sleep(300 * time.Millisecond)
				r.Equal(r.WorkersRunning("j1"), []string{"r1-w0"})
				r.Register(r.Worker("r1-w0"))
				time.Sleep(300 * time.Millisecond)
				r.AddWorkers("r2", 1)
				stops.Store(0)
				polls := p.Metrics.Get(metrics.Polls)
				time.Sleep(2 * time.Second)
				r.Equal(r.Worker("r2-w0").Starts, 0)
				sent := stops.Load()
				r.True(sent > 0 && sent <= 5)
				r.True(p.Metrics.Get(metrics.Polls)-polls <= 25)
				r.Set("r1-w0", func(w *site.Worker) { w.DropStops = false })
				time.Sleep(time.Second)
				r.Equal(r.starts(), 2)
				r.waitForState(p, "j1", workload.StateCompleted, time.Minute)
			})
		})
	}
}

// Guards against a successor that ends an inherited run because the worker does not list it, and refuses orders of the earlier planner
// only until it restarts.
func TestNotListedInheritedRunMayStartLateAfterRestart(t *testing.T) {
	for name, recorded := range map[string]bool{"start is recorded": true, "planner is lost before": false} {
		t.Run(name, func(t *testing.T) {
			runInVirtualTime(t, func(r *rig) {
				p, stop := r.startWithWorkers(1)
				r.rest(time.Minute)
				r.Set("r1-w0", func(w *site.Worker) { w.StartDelay, w.KeepsLateOrders = 6*time.Second, true })
				r.mustSubmit(p, "j1", 1, singleTaskStep(8), 20*time.Second)
				r.Store.SetRefusing(!recorded)
				time.Sleep(20 * time.Millisecond)
				stop()
				r.Store.SetRefusing(false)
				r.Set("r1-w0", func(w *site.Worker) { w.StartDelay, w.Registration.Draining = 0, true })
				r.Register(r.Worker("r1-w0"))
				r.AddWorkers("r2", 1)
				p, stop = r.startPlanner("b")
				defer stop()
				time.Sleep(2 * time.Second)
				r.Equal(r.Worker("r2-w0").Starts == 0, recorded)
				r.Set("r1-w0", (*site.Worker).Restart)
				r.Set("r1-w0", func(w *site.Worker) { w.Silent, w.Registration.Draining = true, false })
				r.waitForState(p, "j1", workload.StateCompleted, time.Minute)
			})
		})
	}
}

// Guards against the lease of a worker that restarts right after an answer, gets a start, and is never heard of again nor registered
// anew: nothing tells the planner of the restart.
func TestLateStartToUnnoticedIncarnationOutlastsLease(t *testing.T) {
	runInVirtualTime(t, func(r *rig) {
		p, stop := r.startWithWorkers(1)
		defer stop()
		r.rest(time.Minute)
		r.readClock(p)
		r.setAll(func(w *site.Worker) {
			w.Restart()
			w.StartDelay = 12 * time.Second
		})
		r.mustSubmit(p, "j1", 1, singleTaskStep(8), 30*time.Second)
		time.Sleep(20 * time.Millisecond)
		r.Set("r1-w0", func(w *site.Worker) { w.Silent = true })
		r.AddWorkers("r2", 1)
		r.waitForState(p, "j1", workload.StateCompleted, 2*time.Minute)
	})
}

// Guards against the lease of a worker that restarts between its answer to the query before a start and that start, and cannot be reached
// afterwards: nothing tells the planner of the restart.
func TestRestartBetweenAnswerAndStartOutlastsLease(t *testing.T) {
	runInVirtualTime(t, func(r *rig) {
		r.beforeStart("j1", func(w *site.Worker) {
			if w.Registration.ID == "r1-w0" {
				w.Restart()
				w.StartDelay = 12 * time.Second
			}
		})
		p, stop := r.startWithWorkers(1)
		defer stop()
		r.rest(time.Minute)
		r.mustSubmit(p, "j1", 1, singleTaskStep(8), 30*time.Second)
		time.Sleep(20 * time.Millisecond)
		r.Set("r1-w0", func(w *site.Worker) { w.Silent = true })
		r.AddWorkers("r2", 1)
		r.waitForState(p, "j1", workload.StateCompleted, 2*time.Minute)
	})
}

// Guards against a gang whose members wait in vain because the start of one got no answer, and is not sent again while the worker does
// not report its clock.
func TestGangIsStoppedWhenStartCannotBeRepeated(t *testing.T) {
	runInVirtualTime(t, func(r *rig) {
		lost := false
		r.wrapWorkers = func(w engine.Workers) engine.Workers {
			start := w.Start
			w.Start = func(ctx context.Context, t engine.Target, o engine.StartOrder) (engine.WorkerStatus, error) {
				if lost && t.ID == "r1-w1" {
					r.Set("r1-w1", func(w *site.Worker) { w.LosePolls = true })
					<-ctx.Done()
					return engine.WorkerStatus{}, ctx.Err()
				}
				return start(ctx, t, o)
			}
			return w
		}
		p, stop := r.startWithWorkers(2)
		defer stop()
		r.rest(30 * time.Second)
		r.mustSubmit(p, "j0", 1, gangStep(2, 8), time.Second)
		r.waitForState(p, "j0", workload.StateCompleted, 2*time.Second)
		lost = true
		// The reading of the clocks is 2.4 s old when the starts are sent.
		r.Store.CommitDelay = 2400 * time.Millisecond
		r.mustSubmit(p, "j1", 1, gangStep(2, 8), 10*time.Second)
		r.Store.CommitDelay = 0
		time.Sleep(100 * time.Millisecond)
		r.Equal(r.WorkersRunning("j1"), []string{"r1-w0"})
		time.Sleep(1400 * time.Millisecond)
		r.Equal(len(r.WorkersRunning("j1")), 0)
		lost = false
		r.Set("r1-w1", func(w *site.Worker) { w.LosePolls = false })
		// The gang waits until the start of the member can no longer be carried out, and takes 10 s.
		r.waitForState(p, "j1", workload.StateCompleted, lateOrderBound+10*time.Second)
	})
}
