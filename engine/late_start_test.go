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

// Guards against a successor that starts a task elsewhere as soon as a restart of its worker is known, while the new incarnation may
// still carry out the earlier planner's start of an earlier run of the task.
func TestLateStartOfEarlierPlannersRunIsOverBeforeTaskRestarts(t *testing.T) {
	for name, silent := range map[string]time.Duration{"before it answers": 300 * time.Millisecond, "before it is asked": 0} {
		t.Run(name, func(t *testing.T) {
			runInVirtualTime(t, func(r *rig) {
				p, stop := r.startWithWorkers(1)
				r.rest(30 * time.Second)
				r.Set("r1-w0", func(w *site.Worker) { w.StartDelay, w.KeepsLateOrders = 6*time.Second, true })
				r.mustSubmit(p, "j1", 1, singleTaskStep(8), 20*time.Second)
				submitted := time.Now()
				// The planner is lost before it can record that the start got no response.
				r.Store.SetRefusing(true)
				time.Sleep(20 * time.Millisecond)
				stop()
				r.Store.SetRefusing(false)
				r.Set("r1-w0", func(w *site.Worker) { w.StartDelay = 0 })
				p, stop = r.startPlanner("b")
				defer stop()
				time.Sleep(2 * time.Second)
				r.Equal(r.WorkersRunning("j1"), []string{"r1-w0"})
				r.AddWorkers("r2", 1)
				time.Sleep(time.Until(submitted.Add(5900 * time.Millisecond)))
				r.Set("r1-w0", func(w *site.Worker) {
					w.Restart()
					w.Silent = silent > 0
				})
				if silent == 0 {
					time.Sleep(300 * time.Millisecond)
				}
				r.Register(r.Worker("r1-w0"))
				time.Sleep(silent)
				r.Set("r1-w0", func(w *site.Worker) { w.Silent = false })
				r.waitForState(p, "j1", workload.StateCompleted, time.Minute)
			})
		})
	}
}

// Guards against keeping a run whose start was never sent until the longest lease is over, because an earlier start to its worker got
// no answer before the worker restarted.
func TestUnsentRunOfRestartedWorkerIsPlacedElsewhereSoon(t *testing.T) {
	runInVirtualTime(t, func(r *rig) {
		p, stop := r.startWithWorkers(1)
		defer stop()
		time.Sleep(10 * time.Second)
		r.Set("r1-w0", func(w *site.Worker) { w.LoseStarts = true })
		r.mustSubmit(p, "j0", 1, singleTaskStep(8), 100*time.Millisecond)
		time.Sleep(20 * time.Millisecond)
		r.Set("r1-w0", func(w *site.Worker) { w.LoseStarts = false })
		r.waitForState(p, "j0", workload.StateCompleted, 3*time.Second)
		// The planner forgets the clock of the worker, and asks for it when it has placed a run.
		time.Sleep(4 * time.Second)
		r.Set("r1-w0", func(w *site.Worker) { w.Silent = true })
		r.mustSubmit(p, "j1", 1, singleTaskStep(8), time.Second)
		r.Set("r1-w0", func(w *site.Worker) {
			w.Restart()
			w.Silent = true
		})
		r.Register(r.Worker("r1-w0"))
		r.AddWorkers("r2", 1)
		r.waitForState(p, "j1", workload.StateCompleted, 5*time.Second)
	})
}

// lateOrderBound is how long after its sending a worker may carry out an order that got no response: 12 s after its arrival, by the users' list of
// impairments (applied_late), which is before the call is given up.
const lateOrderBound = 12*time.Second + 450*time.Millisecond

// entryLifetime is how long the store keeps the entry of a worker that is gone: three liveness report intervals of 1.5 s.
const entryLifetime = 4500 * time.Millisecond

// confirmAndStopRun lets r1-w0 carry out the start of j1 that is sent again after the first one got no answer, and stops the run. The next one may
// begin there.
func (r *rig) confirmAndStopRun() {
	r.t.Helper()
	time.Sleep(20 * time.Millisecond)
	r.Set("r1-w0", func(w *site.Worker) { w.StartDelay = 0 })
	time.Sleep(80 * time.Millisecond)
	r.Equal(r.WorkersRunning("j1"), []string{"r1-w0"})
	r.Set("r1-w0", func(w *site.Worker) { w.EndRunsOf("j1", engine.EndStopped) })
}

// leaseOver is the time after which every lease that an incarnation had when it ended is over, also on a clock that is 2% slow.
const leaseOver = maxLease*100/98 + 500*time.Millisecond

// silenceAfterRestart makes r1-w0 unreachable once it has reported an incarnation other than its first in one response.
func (r *rig) silenceAfterRestart() {
	var first atomic.Int64
	r.wrapWorkers = func(w engine.Workers) engine.Workers {
		poll := w.Poll
		w.Poll = func(ctx context.Context, t engine.Target, o engine.PollRequest) (engine.PollResponse, error) {
			response, err := poll(ctx, t, o)
			if t.ID == "r1-w0" && err == nil && !first.CompareAndSwap(0, response.Incarnation) && response.Incarnation != first.Load() {
				r.Set("r1-w0", func(w *site.Worker) { w.Silent = true })
			}
			return response, err
		}
		return w
	}
}

// restartOutOfReach restarts r1-w0, which runs j1, so that calls no longer reach it. The worker itself has reported the restart in one response
// before, with silenceAfterRestart, or only its entry reports it. The task goes on at the worker r2-w0 within 3 s in the first case, and once the
// earlier incarnation's lease is over in the second, since the entry may be of another writer and the worker still at work.
func (r *rig) restartOutOfReach(reported bool) {
	r.Set("r1-w0", func(w *site.Worker) {
		w.Restart()
		w.Silent = !reported
	})
	restarted := time.Now()
	if reported {
		time.Sleep(500 * time.Millisecond)
	}
	r.Register(r.Worker("r1-w0"))
	r.AddWorkers("r2", 1)
	time.Sleep(3 * time.Second)
	if !reported {
		r.Equal(r.Worker("r2-w0").Starts, 0)
		time.Sleep(time.Until(restarted.Add(leaseOver)))
	}
	r.Equal(r.WorkersRunning("j1"), []string{"r2-w0"})
}

// Guards against keeping a run on a restarted worker that cannot be reached until the longest lease of a late order is over, because the start
// of another task there got no answer.
func TestRunOnRestartedWorkerIsPlacedElsewhereSoon(t *testing.T) {
	for name, c := range map[string]struct{ long, reported bool }{
		"task":                                  {reported: true},
		"task that lasts":                       {long: true, reported: true},
		"task, reported by an entry":            {},
		"task that lasts, reported by an entry": {long: true},
	} {
		t.Run(name, func(t *testing.T) {
			runInVirtualTime(t, func(r *rig) {
				r.LongRunning = c.long
				if c.reported {
					r.silenceAfterRestart()
				}
				p, stop := r.startWithWorkers(1)
				defer stop()
				time.Sleep(10 * time.Second)
				step := singleTaskStep(1)
				step.LongRunning = c.long
				r.mustSubmit(p, "j1", 1, step, 30*time.Second)
				time.Sleep(100 * time.Millisecond)
				r.Set("r1-w0", func(w *site.Worker) { w.LoseStarts = true })
				r.mustSubmit(p, "j0", 1, singleTaskStep(1), 100*time.Millisecond)
				time.Sleep(20 * time.Millisecond)
				r.Set("r1-w0", func(w *site.Worker) { w.LoseStarts = false })
				r.waitForState(p, "j0", workload.StateCompleted, 3*time.Second)
				r.restartOutOfReach(c.reported)
			})
		})
	}
}

// Guards against keeping a run on a restarted worker that cannot be reached until the longest lease of a late order is over, because a start
// got no answer, or another planner started it, so long ago that nothing can be late any more.
func TestRunOnWorkerThatRestartsLongAfterItsStartIsPlacedElsewhereSoon(t *testing.T) {
	for name, c := range map[string]struct{ inherited, reported bool }{
		"start unanswered":                       {reported: true},
		"inherited":                              {inherited: true, reported: true},
		"start unanswered, reported by an entry": {},
		"inherited, reported by an entry":        {inherited: true},
	} {
		t.Run(name, func(t *testing.T) {
			runInVirtualTime(t, func(r *rig) {
				r.LongRunning = true
				if c.reported {
					r.silenceAfterRestart()
				}
				p, stop := r.startWithWorkers(1)
				time.Sleep(10 * time.Second)
				r.Set("r1-w0", func(w *site.Worker) { w.LoseStarts = !c.inherited })
				step := singleTaskStep(1)
				step.LongRunning = true
				r.mustSubmit(p, "j1", 1, step, time.Hour)
				time.Sleep(20 * time.Millisecond)
				r.Set("r1-w0", func(w *site.Worker) { w.LoseStarts = false })
				if c.inherited {
					stop()
					_, stop = r.startPlanner("b")
				}
				defer func() { stop() }()
				time.Sleep(5 * time.Minute)
				r.Equal(r.WorkersRunning("j1"), []string{"r1-w0"})
				r.restartOutOfReach(c.reported)
			})
		})
	}
}

// Guards against starting a gang again while the restarted worker of one member lists an earlier run of another member.
func TestGangIsNotPlacedWhileWorkerListsEarlierRunOfOtherMember(t *testing.T) {
	runInVirtualTime(t, func(r *rig) {
		lost := 0
		r.wrapWorkers = func(w engine.Workers) engine.Workers {
			start := w.Start
			w.Start = func(ctx context.Context, t engine.Target, o engine.StartOrder) (engine.WorkerStatus, error) {
				if o.Task != "gang.0.0.1" || o.Run != 1 {
					return start(ctx, t, o)
				}
				if lost++; lost > 1 {
					return start(ctx, t, o)
				}
				r.Set(t.Address, func(w *site.Worker) { w.StartDelay, w.KeepsLateOrders = 6*time.Second, true })
				defer r.Set(t.Address, func(w *site.Worker) { w.StartDelay = 0 })
				return start(ctx, t, o)
			}
			return w
		}
		p, stop := r.startWithWorkers(2)
		defer stop()
		r.rest(30 * time.Second)
		r.mustSubmit(p, "gang", 1, gangStep(2, 8), 20*time.Second)
		submitted := time.Now()
		time.Sleep(100 * time.Millisecond)
		// The next run has the second member on the worker that may still start it.
		r.setAll(func(w *site.Worker) { w.EndAll(engine.EndStopped) })
		r.Set("r1-w0", func(w *site.Worker) { w.Registration.Draining = true })
		r.Register(r.Worker("r1-w0"))
		r.AddWorkers("r2", 1)
		time.Sleep(time.Until(submitted.Add(5900 * time.Millisecond)))
		r.Equal(r.WorkersRunning("gang"), []string{"r1-w1", "r2-w0"})
		r.Set("r1-w1", func(w *site.Worker) {
			w.Restart()
			w.Silent = true
		})
		r.Register(r.Worker("r1-w1"))
		time.Sleep(600 * time.Millisecond)
		r.Equal(r.WorkersRunning("gang"), []string{"r1-w1"})
		r.Set("r1-w1", func(w *site.Worker) { w.Silent, w.DropStops = false, true })
		r.AddWorkers("r3", 2)
		time.Sleep(time.Second)
		r.Set("r1-w1", func(w *site.Worker) { w.DropStops = false })
		r.waitForState(p, "gang", workload.StateCompleted, time.Minute)
	})
}

// Guards against concluding from an overtaken answer to a poll with an earlier fencing token that a doubtful run does not exist: its
// list of runs may be older than a late start.
func TestOvertakenAnswerDoesNotEndDoubtfulRun(t *testing.T) {
	runInVirtualTime(t, func(r *rig) {
		var holding atomic.Bool
		r.wrapWorkers = func(w engine.Workers) engine.Workers {
			poll := w.Poll
			w.Poll = func(ctx context.Context, t engine.Target, o engine.PollRequest) (engine.PollResponse, error) {
				if !holding.CompareAndSwap(true, false) {
					return poll(ctx, t, o)
				}
				o.Wait = 0
				response, err := poll(ctx, t, o)
				// The answer takes long.
				time.Sleep(600 * time.Millisecond)
				return response, err
			}
			return w
		}
		p, stop := r.startWithWorkers(1)
		defer stop()
		r.rest(30 * time.Second)
		r.Set("r1-w0", func(w *site.Worker) { w.StartDelay, w.KeepsLateOrders = 6*time.Second, true })
		r.mustSubmit(p, "j1", 1, singleTaskStep(8), 20*time.Second)
		submitted := time.Now()
		r.confirmAndStopRun()
		time.Sleep(4 * time.Second)
		r.Equal(r.WorkersRunning("j1"), []string{"r1-w0"})
		r.AddWorkers("r2", 1)
		time.Sleep(time.Until(submitted.Add(5700 * time.Millisecond)))
		// The restart fails the poll in flight, and the next one asks the new incarnation, before the late start.
		r.Set("r1-w0", (*site.Worker).Restart)
		holding.Store(true)
		time.Sleep(340 * time.Millisecond)
		r.Set("r1-w0", func(w *site.Worker) { w.DropStops = true })
		r.Register(r.Worker("r1-w0"))
		time.Sleep(2 * time.Second)
		r.Set("r1-w0", func(w *site.Worker) { w.DropStops = false })
		r.waitForState(p, "j1", workload.StateCompleted, time.Minute)
	})
}

// Guards against not noticing a restart that the clock in an answer shows: it is not before the last reading, but too early for the
// time that has passed since.
func TestRestartIsNoticedByClockThatIsTooEarly(t *testing.T) {
	runInVirtualTime(t, func(r *rig) {
		r.beforeStart("j1", func(w *site.Worker) {
			if w.Registration.ID == "r1-w0" {
				w.PollDelay = 4 * time.Second
			}
		})
		p, stop := r.startWithWorkers(1)
		defer stop()
		time.Sleep(1500 * time.Millisecond)
		r.readClock(p)
		r.Set("r1-w0", (*site.Worker).Restart)
		r.Register(r.Worker("r1-w0"))
		time.Sleep(20 * time.Millisecond)
		// The worker restarts again while the placement is being stored.
		r.Store.CommitDelay = 2400 * time.Millisecond
		time.AfterFunc(2300*time.Millisecond, func() { r.Set("r1-w0", (*site.Worker).Restart) })
		r.mustSubmit(p, "j1", 1, singleTaskStep(8), 30*time.Second)
		r.Store.CommitDelay = 0
		time.Sleep(20 * time.Millisecond)
		r.Set("r1-w0", func(w *site.Worker) { w.Silent = true })
		r.Equal(r.WorkersRunning("j1"), []string{"r1-w0"})
		r.AddWorkers("r2", 1)
		r.waitForState(p, "j1", workload.StateCompleted, 2*time.Minute)
	})
}

// Guards against placing a waiting task while the worker of its last run is known to have restarted, has not answered since, and may
// still carry out the start of that run.
func TestTaskIsNotPlacedWhileRestartedWorkerMayStartLastRun(t *testing.T) {
	for name, successor := range map[string]bool{"same planner": false, "successor": true} {
		t.Run(name, func(t *testing.T) {
			runInVirtualTime(t, func(r *rig) {
				p, stop := r.startWithWorkers(1)
				r.rest(30 * time.Second)
				r.Set("r1-w0", func(w *site.Worker) { w.StartDelay, w.KeepsLateOrders = 6*time.Second, true })
				r.mustSubmit(p, "j1", 1, singleTaskStep(8), 3*time.Second)
				submitted := time.Now()
				time.Sleep(20 * time.Millisecond)
				// The drain keeps the next run away from the worker.
				r.Set("r1-w0", func(w *site.Worker) { w.Registration.Draining = true })
				time.Sleep(time.Until(submitted.Add(4 * time.Second)))
				r.Set("r1-w0", func(w *site.Worker) {
					w.Restart()
					w.StartDelay, w.Registration.Draining, w.Silent = 0, false, true
				})
				r.Register(r.Worker("r1-w0"))
				time.Sleep(600 * time.Millisecond)
				if successor {
					stop()
					p, stop = r.startPlanner("b")
				}
				defer func() { stop() }()
				r.AddWorkers("r2", 1)
				time.Sleep(4 * time.Second)
				r.Set("r1-w0", func(w *site.Worker) { w.Silent = false })
				r.waitForState(p, "j1", workload.StateCompleted, time.Minute)
			})
		})
	}
}

// Guards against placing a task again while a worker is known to have restarted, has not answered since, and may still carry out the
// start of an earlier run of it that was not the last.
func TestTaskIsNotPlacedWhileRestartedWorkerMayStartEarlierRun(t *testing.T) {
	runInVirtualTime(t, func(r *rig) {
		p, stop := r.startWithWorkers(1)
		defer stop()
		r.rest(30 * time.Second)
		r.Set("r1-w0", func(w *site.Worker) { w.StartDelay, w.KeepsLateOrders = 6*time.Second, true })
		r.mustSubmit(p, "j1", 1, singleTaskStep(8), 5*time.Second)
		submitted := time.Now()
		r.confirmAndStopRun()
		r.AddWorkers("r2", 2)
		time.Sleep(time.Until(submitted.Add(4 * time.Second)))
		// The next run is at the worker that may start the first late.
		r.Equal(r.WorkersRunning("j1"), []string{"r1-w0"})
		r.Set("r1-w0", func(w *site.Worker) { w.EndAll(engine.EndFailed) })
		time.Sleep(500 * time.Millisecond)
		r.Set("r1-w0", func(w *site.Worker) {
			w.Restart()
			w.Silent = true
		})
		r.Register(r.Worker("r1-w0"))
		time.Sleep(time.Until(submitted.Add(9 * time.Second)))
		r.Equal(r.WorkersRunning("j1"), []string{"r1-w0"})
		r.Set("r1-w0", func(w *site.Worker) { w.Silent = false })
		r.waitForState(p, "j1", workload.StateCompleted, time.Minute)
	})
}

// Guards against acknowledging ends to a worker that has restarted since it last reported its incarnation, while the new one has carried out
// a late start of a run that has ended long ago: the done end of that run has the same number.
func TestEndOfLateStartIsNotAcknowledgedToUnknownIncarnation(t *testing.T) {
	runInVirtualTime(t, func(r *rig) {
		p, stop := r.startWithWorkers(1)
		defer stop()
		r.rest(30 * time.Second)
		r.Set("r1-w0", func(w *site.Worker) { w.StartDelay, w.KeepsLateOrders = 6*time.Second, true })
		// This task waits for room after its start.
		r.mustSubmit(p, "j1", 2, singleTaskStep(8), 100*time.Millisecond)
		time.Sleep(40 * time.Millisecond)
		r.Set("r1-w0", func(w *site.Worker) { w.StartDelay = 0 })
		r.mustSubmit(p, "j0", 0, singleTaskStep(8), 5800*time.Millisecond)
		time.Sleep(time.Second)
		r.Equal(r.WorkersRunning("j0"), []string{"r1-w0"})
		// The drain keeps the next run away from the worker.
		r.Set("r1-w0", func(w *site.Worker) { w.Registration.Draining = true })
		r.Register(r.Worker("r1-w0"))
		r.Store.CommitDelay = 400 * time.Millisecond
		for len(r.WorkersRunning("j0")) > 0 {
			time.Sleep(time.Millisecond)
		}
		time.Sleep(50 * time.Millisecond)
		r.Set("r1-w0", func(w *site.Worker) {
			w.Restart()
			w.Registration.Draining = false
		})
		time.Sleep(time.Second)
		r.AddWorkers("r2", 1)
		r.waitForState(p, "j1", workload.StateCompleted, 20*time.Second)
	})
}

// Guards against not asking a worker without runs that may still carry out a start: it restarts, can be reached, and writes its
// registration only after the start.
func TestRestartOfRestingWorkerIsKnownBeforeLateStart(t *testing.T) {
	runInVirtualTime(t, func(r *rig) {
		p, stop := r.startWithWorkers(1)
		defer stop()
		r.rest(30 * time.Second)
		r.Set("r1-w0", func(w *site.Worker) { w.StartDelay, w.KeepsLateOrders = 6*time.Second, true })
		r.mustSubmit(p, "j1", 1, singleTaskStep(8), 20*time.Second)
		submitted := time.Now()
		time.Sleep(20 * time.Millisecond)
		// The drain keeps the next run away from the worker.
		r.Set("r1-w0", func(w *site.Worker) { w.Registration.Draining = true })
		r.AddWorkers("r2", 1)
		time.Sleep(time.Until(submitted.Add(5 * time.Second)))
		r.Equal(r.starts(), 0)
		earlier := r.Worker("r1-w0").Registration
		r.registrations = map[string]engine.Registration{"r1-w0": earlier}
		r.Set("r1-w0", func(w *site.Worker) {
			w.Restart()
			w.StartDelay, w.Registration.Draining = 0, false
		})
		r.waitForState(p, "j1", workload.StateCompleted, time.Minute)
		r.Equal(r.starts(), 1)
	})
}

// Guards against taking a run whose start got no response for ended because another worker, or another server, has the address: the next
// incarnation of its worker may carry the start out.
func TestUnconfirmedRunOfReplacedWorkerIsNotRestarted(t *testing.T) {
	for name, registered := range map[string]bool{"another worker": true, "another server": false} {
		t.Run(name, func(t *testing.T) {
			runInVirtualTime(t, func(r *rig) {
				r.wrapWorkers = func(w engine.Workers) engine.Workers { return r.sharedAddress(w, "r1-w0", "r2-w0") }
				p, stop := r.startWithWorkers(1)
				defer stop()
				r.replaceBeforeLateStart(p)
				if registered {
					r.addWorkerAt("r2", "r1-w0")
				} else {
					r.AddWorkers("r2", 1)
				}
				// The worker starts again elsewhere, and does not reach the planner or the store yet.
				r.Set("r1-w0", func(w *site.Worker) {
					w.Replaced = false
					w.Restart()
					w.StartDelay, w.LosePolls = 0, true
				})
				time.Sleep(6 * time.Second)
				r.Set("r1-w0", func(w *site.Worker) { w.LosePolls = false })
				r.Register(r.Worker("r1-w0"))
				r.waitForState(p, "j1", workload.StateCompleted, 90*time.Second)
			})
		})
	}
}

// replaceBeforeLateStart submits j1 and replaces its worker r1-w0, which does not answer the start and carries it out after a restart.
func (r *rig) replaceBeforeLateStart(p *engine.Planner) {
	r.t.Helper()
	time.Sleep(time.Second)
	r.Set("r1-w0", func(w *site.Worker) { w.StartDelay, w.KeepsLateOrders = 2500*time.Millisecond, true })
	r.mustSubmit(p, "j1", 1, singleTaskStep(8), 20*time.Second)
	time.Sleep(200 * time.Millisecond)
	r.Set("r1-w0", func(w *site.Worker) { w.Replaced = true })
	r.Deregister(r.Worker("r1-w0"))
	time.Sleep(800 * time.Millisecond)
}

// plannerChange is when a test changes the planner.
type plannerChange int

const (
	noChange plannerChange = iota
	// changeBeforeRecord loses the planner before it can record that the start got no response.
	changeBeforeRecord
	changeBeforeNextRun
	changeBeforeRestart
	changeAfterRestart
)

// Guards against leaving the next run of a task, or gang, at work while the worker of an earlier run is known to have restarted, cannot
// be reached, and may still carry out a start order of that run that got no response. A successor does not know that it got none.
func TestLaterRunIsWithdrawnWhileRestartedWorkerMayStartEarlierRun(t *testing.T) {
	for size, step := range map[string]workload.Step{"task": singleTaskStep(8), "gang": gangStep(2, 8)} {
		t.Run("successor inherits first run, "+size, func(t *testing.T) {
			runInVirtualTime(t, func(r *rig) { r.restartBeforeLateStart(step, changeBeforeRecord, 0) })
		})
	}
}

// Guards against starting a task elsewhere while a worker may still carry out an unanswered start of an earlier run in its next incarnation: the
// start was sent again, the run failed, and the worker crashes only afterwards. A successor learns of the start from the record of the job.
func TestNextRunIsNotStartedWhileWorkerMayCrashAndStartEarlierRun(t *testing.T) {
	const lateStart = 5500 * time.Millisecond
	for name, successor := range map[string]bool{"same planner": false, "successor": true} {
		t.Run(name, func(t *testing.T) {
			runInVirtualTime(t, func(r *rig) {
				p, stop := r.startWithWorkers(1)
				defer func() { stop() }()
				r.rest(30 * time.Second)
				r.Set("r1-w0", func(w *site.Worker) { w.StartDelay, w.KeepsLateOrders = lateStart, true })
				r.mustSubmit(p, "j1", 1, singleTaskStep(8), 8*time.Second)
				submitted := time.Now()
				time.Sleep(20 * time.Millisecond)
				r.Set("r1-w0", func(w *site.Worker) { w.StartDelay = 0 })
				r.AddWorkers("r2", 2)
				time.Sleep(500 * time.Millisecond)
				r.Equal(r.WorkersRunning("j1"), []string{"r1-w0"})
				if successor {
					stop()
					p, stop = r.startPlanner("b")
				}
				time.Sleep(time.Until(submitted.Add(1100 * time.Millisecond)))
				r.Set("r1-w0", func(w *site.Worker) { w.EndAll(engine.EndFailed) })
				time.Sleep(time.Until(submitted.Add(3 * time.Second)))
				r.Set("r1-w0", func(w *site.Worker) { w.Silent = true })
				time.Sleep(time.Until(submitted.Add(lateStart - time.Millisecond)))
				r.Set("r1-w0", (*site.Worker).Restart)
				time.Sleep(5 * time.Millisecond)
				r.Set("r1-w0", func(w *site.Worker) { w.Silent = false })
				r.Register(r.Worker("r1-w0"))
				r.waitForState(p, "j1", workload.StateCompleted, 25*time.Second)
			})
		})
	}
}

// Guards against starting a task, or gang, elsewhere while the worker of its last run may still carry out a start order of that run that got
// no response: it restarts only afterwards.
func TestNextRunIsNotStartedElsewhereWhileWorkerMayStartEarlierRun(t *testing.T) {
	for name, change := range map[string]plannerChange{
		"same planner": noChange, "successor before next run": changeBeforeNextRun, "successor before restart": changeBeforeRestart,
		"successor finds restarted worker": changeAfterRestart,
	} {
		for size, step := range map[string]workload.Step{"task": singleTaskStep(8), "gang": gangStep(2, 8)} {
			t.Run(name+", "+size, func(t *testing.T) {
				runInVirtualTime(t, func(r *rig) { r.restartBeforeLateStart(step, change, 0) })
			})
		}
	}
}

// Guards against the same if the worker's time of day went back before the restart: its entry reports an earlier start time.
func TestNextRunIsNotStartedElsewhereWhileWorkerWithEarlierStartTimeMayStartEarlierRun(t *testing.T) {
	for size, step := range map[string]workload.Step{"task": singleTaskStep(8), "gang": gangStep(2, 8)} {
		t.Run(size, func(t *testing.T) {
			runInVirtualTime(t, func(r *rig) { r.restartBeforeLateStart(step, noChange, 40*time.Second) })
		})
	}
}

// restartBeforeLateStart plays a worker that does not answer a start, drains, restarts, registers and cannot be reached, and carries the start
// out. Its time of day goes back by the given time. The next run is started elsewhere only by a planner that does not know of the start.
func (r *rig) restartBeforeLateStart(step workload.Step, change plannerChange, back time.Duration) {
	p, stop := r.startWithWorkers(step.Tasks)
	defer func() { stop() }()
	changeAt := func(at plannerChange) {
		if at == change {
			stop()
			p, stop = r.startPlanner("b")
		}
	}
	r.rest(30 * time.Second)
	late := "r1-w0"
	r.Set(late, func(w *site.Worker) { w.StartDelay, w.KeepsLateOrders = 6*time.Second, true })
	r.mustSubmit(p, "j1", 1, step, 20*time.Second)
	submitted := time.Now()
	r.Store.SetRefusing(change == changeBeforeRecord)
	time.Sleep(20 * time.Millisecond)
	if change == changeBeforeRecord {
		stop()
		r.Store.SetRefusing(false)
	}
	// The drain keeps the next run away from the worker.
	r.Set(late, func(w *site.Worker) { w.Registration.Draining = true })
	r.Register(r.Worker(late))
	r.AddWorkers("r2", 1)
	if change == changeBeforeRecord {
		p, stop = r.startPlanner("b")
	}
	changeAt(changeBeforeNextRun)
	time.Sleep(time.Until(submitted.Add(3 * time.Second)))
	if change == changeBeforeRecord {
		r.Equal(len(r.WorkersRunning("j1")), step.Tasks)
		r.Equal(r.Worker("r2-w0").Starts, 1)
	} else {
		r.Equal(len(r.WorkersRunning("j1")), 0)
		r.Equal(r.Worker("r2-w0").Starts, 0)
	}
	changeAt(changeBeforeRestart)
	time.Sleep(time.Until(submitted.Add(4 * time.Second)))
	if change == changeAfterRestart {
		stop()
	}
	r.Set(late, func(w *site.Worker) {
		w.Restart()
		w.Registration.Incarnation -= back.Milliseconds()
		w.StartDelay, w.Registration.Draining, w.Silent = 0, false, true
	})
	r.Register(r.Worker(late))
	if change == changeAfterRestart {
		p, stop = r.startPlanner("b")
	}
	time.Sleep(time.Until(submitted.Add(8 * time.Second)))
	r.Equal(r.WorkersRunning("j1"), []string{late})
	r.Set(late, func(w *site.Worker) { w.Silent = false })
	r.waitForState(p, "j1", workload.StateCompleted, time.Minute)
}

// Guards against stopping the next run of a task although the worker of an earlier run, which seems to have restarted, can be reached: it
// refuses the late start from its answer on.
func TestLaterRunIsNotWithdrawnIfWorkerAnswers(t *testing.T) {
	for name, restarts := range map[string]bool{"restarted": true, "entry of another writer": false} {
		t.Run(name, func(t *testing.T) {
			runInVirtualTime(t, func(r *rig) {
				var slow atomic.Bool
				r.wrapWorkers = func(w engine.Workers) engine.Workers {
					poll := w.Poll
					w.Poll = func(ctx context.Context, t engine.Target, o engine.PollRequest) (engine.PollResponse, error) {
						if slow.Load() {
							time.Sleep(150 * time.Millisecond)
						}
						return poll(ctx, t, o)
					}
					return w
				}
				p, stop := r.startWithWorkers(1)
				defer stop()
				r.rest(30 * time.Second)
				r.LongRunning = true
				r.startLate(p, lastingStep(1), time.Hour)
				r.Equal(r.WorkersRunning("j1"), []string{"r2-w0"})
				slow.Store(true)
				if restarts {
					r.Set("r1-w0", func(w *site.Worker) {
						w.Restart()
						w.StartDelay, w.Registration.Draining = 0, false
					})
					r.Register(r.Worker("r1-w0"))
				} else {
					r.writeForeignEntry("r1-w0", func(e *engine.Registration) { e.Incarnation += 500 })
				}
				time.Sleep(20 * time.Second)
				r.Equal(r.WorkersRunning("j1"), []string{"r2-w0"})
				r.Equal(r.starts(), 1)
			})
		})
	}
}

// Guards against a task that waits for a worker to carry out an earlier start although that worker has restarted, refuses the start, and can be
// reached.
func TestTaskStartsElsewhereOnceRestartedWorkerAnswers(t *testing.T) {
	for size, step := range map[string]workload.Step{"task": singleTaskStep(8), "gang": gangStep(2, 8)} {
		t.Run(size, func(t *testing.T) {
			runInVirtualTime(t, func(r *rig) {
				p, stop := r.startWithWorkers(step.Tasks)
				defer stop()
				r.rest(30 * time.Second)
				r.startLate(p, step, 20*time.Second)
				r.Equal(r.Worker("r2-w0").Starts, 0)
				r.Set("r1-w0", func(w *site.Worker) {
					w.Restart()
					w.StartDelay = 0
				})
				r.Register(r.Worker("r1-w0"))
				time.Sleep(500 * time.Millisecond)
				r.Equal(r.Worker("r2-w0").Starts, 1)
				r.waitForState(p, "j1", workload.StateCompleted, 21*time.Second)
				r.Equal(r.Worker("r1-w0").Starts, 0)
				r.Equal(r.Worker("r2-w0").Starts, 1)
			})
		})
	}
}

// Guards against a successor that leaves the next run of a task at work although the earlier planner's start may be late: the lease of the
// inherited run is over, and its worker, which never answered, restarts.
func TestLaterRunIsWithdrawnAfterLeaseOfInheritedRun(t *testing.T) {
	runInVirtualTime(t, func(r *rig) {
		p, stop := r.startWithWorkers(1)
		r.rest(30 * time.Second)
		r.Set("r1-w0", func(w *site.Worker) { w.StartDelay, w.KeepsLateOrders = 14*time.Second, true })
		r.mustSubmit(p, "j1", 1, singleTaskStep(8), 20*time.Second)
		submitted := time.Now()
		// The planner is lost before it can record that the start got no response.
		r.Store.SetRefusing(true)
		time.Sleep(20 * time.Millisecond)
		stop()
		r.Store.SetRefusing(false)
		r.Set("r1-w0", func(w *site.Worker) { w.Silent = true })
		p, stop = r.startPlanner("b")
		defer stop()
		r.AddWorkers("r2", 1)
		time.Sleep(time.Until(submitted.Add(12 * time.Second)))
		r.Equal(r.WorkersRunning("j1"), []string{"r2-w0"})
		r.Set("r1-w0", func(w *site.Worker) {
			w.Restart()
			w.StartDelay, w.Silent = 0, true
		})
		r.Register(r.Worker("r1-w0"))
		time.Sleep(time.Until(submitted.Add(16 * time.Second)))
		r.Equal(r.WorkersRunning("j1"), []string{"r1-w0"})
		r.Set("r1-w0", func(w *site.Worker) { w.Silent = false })
		r.waitForState(p, "j1", workload.StateCompleted, time.Minute)
	})
}

// Guards against starting a task again although its earlier worker, whose address another worker has, may come back and carry out the start.
func TestNextRunWaitsForReplacedWorkerThatReturns(t *testing.T) {
	runInVirtualTime(t, func(r *rig) {
		r.wrapWorkers = func(w engine.Workers) engine.Workers { return r.sharedAddress(w, "r1-w0", "r2-w0") }
		p, stop := r.startWithWorkers(1)
		defer stop()
		r.replaceBeforeLateStart(p)
		r.addWorkerAt("r2", "r1-w0")
		time.Sleep(500 * time.Millisecond)
		r.Equal(r.starts(), 0)
		r.Set("r1-w0", func(w *site.Worker) {
			w.Replaced = false
			w.Restart()
			w.StartDelay, w.LosePolls = 0, true
		})
		r.Register(r.Worker("r1-w0"))
		time.Sleep(6 * time.Second)
		r.Set("r1-w0", func(w *site.Worker) { w.LosePolls = false })
		r.waitForState(p, "j1", workload.StateCompleted, 90*time.Second)
	})
}

// Guards against a task that waits for a start that was answered: a successor only assumes that its predecessor may have got no response, and
// what it records of that must not be taken for known by the next one.
func TestTaskDoesNotWaitForAssumedLateStartOfEarlierPlanners(t *testing.T) {
	runInVirtualTime(t, func(r *rig) {
		p, stop := r.startWithWorkers(4)
		defer func() { stop() }()
		r.rest(30 * time.Second)
		r.mustSubmit(p, "j1", 1, singleTaskStep(8), 2*time.Second)
		for _, name := range []string{"b", "c"} {
			time.Sleep(300 * time.Millisecond)
			r.Equal(len(r.WorkersRunning("j1")), 1)
			stop()
			p, stop = r.startPlanner(name)
			time.Sleep(300 * time.Millisecond)
			r.setAll(func(w *site.Worker) { w.EndRunsOf("j1", engine.EndStopped) })
		}
		r.waitForState(p, "j1", workload.StateCompleted, 3*time.Second)
		r.Equal(r.starts(), 3)
	})
}

// startLate starts a job on r1-w0, which carries the start out 6 s later without an answer and drains, and waits for 4 s. The worker r2-w0 is
// free.
func (r *rig) startLate(p *engine.Planner, step workload.Step, work time.Duration) {
	r.t.Helper()
	r.Set("r1-w0", func(w *site.Worker) { w.StartDelay, w.KeepsLateOrders = 6*time.Second, true })
	r.mustSubmit(p, "j1", 1, step, work)
	time.Sleep(20 * time.Millisecond)
	r.Set("r1-w0", func(w *site.Worker) { w.Registration.Draining = true })
	r.Register(r.Worker("r1-w0"))
	r.AddWorkers("r2", 1)
	time.Sleep(4 * time.Second)
}

// Guards against stopping a task again and again because entries of another writer report restarts of a worker that cannot be reached, or
// only now and then.
func TestEntriesOfUnreachableWorkerDoNotWithdrawRunsForEver(t *testing.T) {
	for name, c := range map[string]struct{ returns, lasts bool }{
		"cut off": {}, "cut off now and then": {returns: true}, "cut off, task that lasts": {lasts: true},
		"cut off now and then, task that lasts": {returns: true, lasts: true},
	} {
		t.Run(name, func(t *testing.T) {
			runInVirtualTime(t, func(r *rig) {
				p, stop := r.startWithWorkers(1)
				defer stop()
				r.rest(30 * time.Second)
				step, work := singleTaskStep(8), 10*time.Second
				if c.lasts {
					r.LongRunning = true
					step, work = lastingStep(1), time.Hour
				}
				r.startLate(p, step, work)
				r.Equal(r.Worker("r2-w0").Starts == 1, c.lasts)
				r.Set("r1-w0", func(w *site.Worker) { w.StartDelay, w.Registration.Draining = 0, false })
				foreign := r.Worker("r1-w0").Registration
				r.registrations = map[string]engine.Registration{}
				for i := range 110 {
					r.Set("r1-w0", func(w *site.Worker) { w.LosePolls = !c.returns || i%8 < 4 })
					foreign.Incarnation++
					r.registrations["r1-w0"] = foreign
					r.Register(r.Worker("r1-w0"))
					time.Sleep(500 * time.Millisecond)
				}
				if c.lasts {
					r.Equal(len(r.WorkersRunning("j1")), 1)
				} else {
					r.Equal(p.State(context.Background(), "j1").State, workload.StateCompleted)
				}
				r.True(r.starts() <= 10)
			})
		})
	}
}

// Guards against a task that is not placed again for as long as its worker, which has restarted, writes entries and cannot be reached: each
// entry looks like another restart.
func TestEntriesOfUnreachableWorkerDoNotKeepRunForEver(t *testing.T) {
	for name, fault := range map[string]func(w *site.Worker){
		"start is answered": func(*site.Worker) {}, "start gets no answer": func(w *site.Worker) { w.LoseStarts = true },
		"start is late": func(w *site.Worker) { w.StartDelay = 10 * time.Second },
	} {
		for change, changes := range map[string]bool{"same planner": false, "successor": true} {
			t.Run(name+", "+change, func(t *testing.T) {
				runInVirtualTime(t, func(r *rig) {
					p, stop := r.startWithWorkers(1)
					defer func() { stop() }()
					time.Sleep(time.Second)
					r.Set("r1-w0", fault)
					r.mustSubmit(p, "j1", 1, singleTaskStep(8), 20*time.Second)
					time.Sleep(100 * time.Millisecond)
					if changes {
						stop()
						_, stop = r.startPlanner("b")
					}
					r.Set("r1-w0", func(w *site.Worker) {
						w.Restart()
						w.LoseStarts, w.StartDelay, w.Silent = false, 0, true
					})
					r.AddWorkers("r2", 1)
					for last := time.Now().Add(lateOrderBound + leaseOver + time.Second); time.Now().Before(last); {
						r.Register(r.Worker("r1-w0"))
						time.Sleep(1500 * time.Millisecond)
					}
					r.Equal(r.WorkersRunning("j1"), []string{"r2-w0"})
				})
			})
		}
	}
}

// Guards against stopping a task that lasts, for a start that may be late, while another task of its step is away.
func TestLastingTaskIsNotWithdrawnWhileAnotherIsAway(t *testing.T) {
	for name, away := range map[string]bool{"others at work": false, "another away": true} {
		t.Run(name, func(t *testing.T) {
			runInVirtualTime(t, func(r *rig) {
				r.LongRunning = true
				p, stop := r.startWithWorkers(2)
				defer stop()
				r.rest(30 * time.Second)
				r.startLate(p, lastingStep(2), time.Hour)
				r.Equal(r.WorkersRunning("j1"), []string{"r1-w1", "r2-w0"})
				if away {
					r.Set("r1-w1", func(w *site.Worker) { w.Registration.Draining = true })
					r.Register(r.Worker("r1-w1"))
					time.Sleep(time.Second)
					r.Equal(r.WorkersRunning("j1"), []string{"r2-w0"})
				}
				r.Set("r1-w0", func(w *site.Worker) {
					w.Restart()
					w.StartDelay, w.KeepsLateOrders, w.Registration.Draining, w.Silent = 0, false, false, true
				})
				r.Register(r.Worker("r1-w0"))
				time.Sleep(1500 * time.Millisecond)
				r.Equal(r.Worker("r2-w0").Starts, 1)
				if away {
					r.Equal(r.WorkersRunning("j1"), []string{"r2-w0"})
				} else {
					r.Equal(r.WorkersRunning("j1"), []string{"r1-w1"})
				}
				r.Set("r1-w0", func(w *site.Worker) { w.Silent = false })
				time.Sleep(2 * time.Second)
				r.Equal(len(r.WorkersRunning("j1")), 2)
			})
		})
	}
}

// Guards against stopping a task that lasts again and again for a start that may be late, although its restarted worker is gone and the task was
// placed again for that reason.
func TestLastingTaskIsNotWithdrawnForWorkerThatIsGone(t *testing.T) {
	runInVirtualTime(t, func(r *rig) {
		r.LongRunning = true
		r.storeEntries()
		p, stop := r.startWithWorkers(1)
		defer stop()
		r.rest(30 * time.Second)
		r.startLate(p, lastingStep(1), time.Hour)
		r.Set("r1-w0", func(w *site.Worker) {
			w.Restart()
			w.StartDelay, w.Silent = 0, true
		})
		r.Register(r.Worker("r1-w0"))
		time.Sleep(500 * time.Millisecond)
		r.Set("r1-w0", func(w *site.Worker) { w.Replaced = true })
		r.Deregister(r.Worker("r1-w0"))
		time.Sleep(4 * time.Second)
		placed := r.starts()
		r.Equal(r.WorkersRunning("j1"), []string{"r2-w0"})
		time.Sleep(5 * time.Second)
		r.Equal(r.WorkersRunning("j1"), []string{"r2-w0"})
		r.Equal(r.starts(), placed)
	})
}

// runWithLateStart brings j1 to run as a confirmed run of r1-w0, while the unanswered start of its first run may still be carried out, with a
// delay. It returns when that start was about to be sent.
func (r *rig) runWithLateStart(p *engine.Planner, delay time.Duration) time.Time {
	r.rest(time.Minute)
	r.Set("r1-w0", func(w *site.Worker) { w.StartDelay, w.KeepsLateOrders = delay, true })
	r.mustSubmit(p, "j1", 1, singleTaskStep(8), 30*time.Second)
	submitted := time.Now()
	r.confirmAndStopRun()
	time.Sleep(4 * time.Second)
	r.Equal(r.WorkersRunning("j1"), []string{"r1-w0"})
	return submitted
}

// Guards against taking a response that the earlier incarnation gave before it restarted, and that arrives after the entry of the later one,
// for proof that the worker refuses late orders.
func TestEarlierResponseAfterEntryShowsNoFence(t *testing.T) {
	const lateStart = 11 * time.Second
	runInVirtualTime(t, func(r *rig) {
		var delay atomic.Bool
		answered := make(chan struct{})
		r.wrapWorkers = func(w engine.Workers) engine.Workers {
			poll := w.Poll
			w.Poll = func(ctx context.Context, t engine.Target, o engine.PollRequest) (engine.PollResponse, error) {
				response, err := poll(ctx, t, o)
				if t.ID == "r1-w0" && err == nil && delay.CompareAndSwap(true, false) {
					close(answered)
					time.Sleep(650 * time.Millisecond)
				}
				return response, err
			}
			return w
		}
		p, stop := r.startWithWorkers(1)
		defer stop()
		submitted := r.runWithLateStart(p, lateStart)
		r.AddWorkers("r2", 1)
		delay.Store(true)
		<-answered
		r.Set("r1-w0", func(w *site.Worker) {
			w.Restart()
			w.Silent = true
		})
		r.Register(r.Worker("r1-w0"))
		// The lease of the confirmed run is over, that of the late one is not.
		time.Sleep(time.Until(submitted.Add(5*time.Second + leaseOver + 2*time.Second)))
		r.Equal(r.WorkersRunning("j1"), []string{"r1-w0"})
		r.waitForState(p, "j1", workload.StateCompleted, 2*time.Minute)
	})
}

// Guards against taking such a response for that proof after the clock in the response to an order has reported the restart.
func TestEarlierResponseAfterClockWentBackShowsNoFence(t *testing.T) {
	const lateStart = 11 * time.Second
	runInVirtualTime(t, func(r *rig) {
		var delay atomic.Bool
		answered := make(chan struct{})
		r.wrapWorkers = func(w engine.Workers) engine.Workers {
			poll, stop := w.Poll, w.Stop
			w.Poll = func(ctx context.Context, t engine.Target, o engine.PollRequest) (engine.PollResponse, error) {
				response, err := poll(ctx, t, o)
				if t.ID == "r1-w0" && err == nil && delay.CompareAndSwap(true, false) {
					close(answered)
					time.Sleep(300 * time.Millisecond)
				}
				return response, err
			}
			w.Stop = func(ctx context.Context, t engine.Target, o engine.StopOrder) (engine.WorkerStatus, error) {
				status, err := stop(ctx, t, o)
				select {
				case <-answered:
					r.Set("r1-w0", func(w *site.Worker) { w.Silent = true })
				default:
				}
				return status, err
			}
			return w
		}
		p, stop := r.startWithWorkers(1)
		defer stop()
		r.rest(time.Minute)
		r.Set("r1-w0", func(w *site.Worker) { w.StartDelay, w.KeepsLateOrders = lateStart, true })
		r.mustSubmit(p, "j1", 1, singleTaskStep(4), 30*time.Second)
		submitted := time.Now()
		r.confirmAndStopRun()
		time.Sleep(time.Second)
		r.mustSubmit(p, "j2", 1, singleTaskStep(4), 30*time.Second)
		time.Sleep(3 * time.Second)
		r.Equal(r.WorkersRunning("j1"), []string{"r1-w0"})
		r.AddWorkers("r2", 1)
		delay.Store(true)
		<-answered
		r.Set("r1-w0", (*site.Worker).Restart)
		r.Equal(p.Cancel(context.Background(), "j2").Verdict, engine.VerdictAccepted)
		// The lease of the confirmed run is over, that of the late one is not.
		time.Sleep(time.Until(submitted.Add(5*time.Second + leaseOver + 2*time.Second)))
		r.Equal(r.WorkersRunning("j1"), []string{"r1-w0"})
	})
}

// Guards against ending a run by the lease of its incarnation when the next one may have the task from a late start, and a late poll has
// renewed its lease there.
func TestLatePollRenewsLeaseOfLateStart(t *testing.T) {
	const lateStart = 11 * time.Second
	runInVirtualTime(t, func(r *rig) {
		p, stop := r.startWithWorkers(1)
		defer stop()
		submitted := r.runWithLateStart(p, lateStart)
		r.AddWorkers("r2", 1)
		time.Sleep(time.Until(submitted.Add(8 * time.Second)))
		r.Set("r1-w0", func(w *site.Worker) { w.PollDelay = 11 * time.Second })
		time.Sleep(2200 * time.Millisecond)
		r.Set("r1-w0", func(w *site.Worker) {
			w.Restart()
			w.Silent, w.PollDelay = true, 0
		})
		r.Register(r.Worker("r1-w0"))
		time.Sleep(time.Until(submitted.Add(28 * time.Second)))
		r.Equal(r.WorkersRunning("j1"), []string{"r1-w0"})
		r.waitForState(p, "j1", workload.StateCompleted, 2*time.Minute)
	})
}
