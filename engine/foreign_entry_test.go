package engine_test

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"

	"clementinepier/engine"
	"clementinepier/standin/site"
	"clementinepier/workload"
)

// Guards against ending the runs of a worker because an entry of another writer, which does not report an incarnation, gives it the
// address of another worker, which refuses its calls.
func TestEntryOfAnotherWriterEndsNoRun(t *testing.T) {
	runInVirtualTime(t, func(r *rig) {
		r.wrapWorkers = func(w engine.Workers) engine.Workers {
			return otherServers(w, func(t engine.Target) bool { return t.ID != t.Address })
		}
		p, stop := r.startWithWorkers(2)
		defer stop()
		r.mustSubmit(p, "j1", 1, singleTaskStep(8), 5*time.Second)
		time.Sleep(time.Second)
		at := r.WorkersRunning("j1")[0]
		entry := r.Worker(at).Registration
		entry.Incarnation = 0
		for _, id := range r.IDs() {
			if id != at {
				entry.Address = id
			}
		}
		r.registrations = map[string]engine.Registration{at: entry}
		r.Register(r.Worker(at))
		r.waitForState(p, "j1", workload.StateCompleted, 12*time.Second)
		r.Equal(r.starts(), 1)
	})
}

// Guards against ending the runs of a worker because an entry of another writer, of a service that no configuration names, looks like
// a restart of the worker.
func TestEntryOfUnknownServiceIsNoRestart(t *testing.T) {
	runInVirtualTime(t, func(r *rig) {
		p, stop := r.startWithWorkers(2)
		defer stop()
		r.mustSubmit(p, "j1", 1, singleTaskStep(8), 8*time.Second)
		// A poll has listed the run by then.
		time.Sleep(3 * time.Second)
		at := r.WorkersRunning("j1")[0]
		entry := r.Worker(at).Registration
		entry.Service, entry.Incarnation = "elsewhere", entry.Incarnation+500
		r.registrations = map[string]engine.Registration{at: entry}
		r.Register(r.Worker(at))
		r.waitForState(p, "j1", workload.StateCompleted, 6*time.Second)
		r.Equal(r.starts(), 1)
	})
}

// otherServers refuses the calls that reach another server than the worker that they are meant for.
func otherServers(w engine.Workers, isOther func(t engine.Target) bool) engine.Workers {
	refused := func(t engine.Target) error {
		if !isOther(t) {
			return nil
		}
		time.Sleep(time.Millisecond)
		return &engine.ErrRefused{Reason: engine.RefusedIncarnation}
	}
	return engine.Workers{
		Start: func(ctx context.Context, t engine.Target, o engine.StartOrder) (engine.WorkerStatus, error) {
			if err := refused(t); err != nil {
				return engine.WorkerStatus{}, err
			}
			return w.Start(ctx, t, o)
		},
		Stop: func(ctx context.Context, t engine.Target, o engine.StopOrder) (engine.WorkerStatus, error) {
			if err := refused(t); err != nil {
				return engine.WorkerStatus{}, err
			}
			return w.Stop(ctx, t, o)
		},
		Poll: func(ctx context.Context, t engine.Target, o engine.PollRequest) (engine.PollResponse, error) {
			if err := refused(t); err != nil {
				return engine.PollResponse{}, err
			}
			return w.Poll(ctx, t, o)
		},
	}
}

// isOtherAddress reports whether a call goes to the address that foreign entries give for another server.
func isOtherAddress(t engine.Target) bool { return t.Address == "other" }

// writeForeignEntry changes a worker's entry as another writer does.
func (r *rig) writeForeignEntry(worker string, change func(entry *engine.Registration)) {
	entry := r.Worker(worker).Registration
	change(&entry)
	r.registrations = map[string]engine.Registration{worker: entry}
	r.Register(r.Worker(worker))
}

// writeOwnEntry lets a worker write its entry again.
func (r *rig) writeOwnEntry(worker string) {
	delete(r.registrations, worker)
	r.Register(r.Worker(worker))
}

// foreignEntries are the changes that make a worker's entry one of another writer that looks like a worker that has restarted or moved.
var foreignEntries = map[string]func(entry *engine.Registration){
	"later incarnation":                   func(e *engine.Registration) { e.Incarnation += 500 },
	"incarnation far ahead":               func(e *engine.Registration) { e.Incarnation = 1 << 52 },
	"address of another server":           func(e *engine.Registration) { e.Address = "other" },
	"later incarnation, another server":   func(e *engine.Registration) { e.Address, e.Incarnation = "other", e.Incarnation+500 },
	"later incarnation, nobody's address": func(e *engine.Registration) { e.Address, e.Incarnation = "nobody", e.Incarnation+500 },
	"later incarnation, draining for years": func(e *engine.Registration) {
		e.Incarnation, e.Draining, e.DrainRemaining = e.Incarnation+500, true, 1<<62
	},
}

// Guards against ending the runs of a worker because an entry of another writer under its key looks like a restart or a move, and against
// a worker that is not used any more after such an entry.
func TestEntryThatContradictsWorkerIsVerified(t *testing.T) {
	for name, change := range foreignEntries {
		t.Run(name, func(t *testing.T) {
			runInVirtualTime(t, func(r *rig) {
				r.wrapWorkers = func(w engine.Workers) engine.Workers {
					return otherServers(w, isOtherAddress)
				}
				p, stop := r.startWithWorkers(2)
				defer stop()
				r.mustSubmit(p, "j1", 1, singleTaskStep(8), 8*time.Second)
				// A poll has listed the run by then.
				time.Sleep(3 * time.Second)
				at := r.WorkersRunning("j1")[0]
				r.writeForeignEntry(at, change)
				time.Sleep(1500 * time.Millisecond)
				r.writeOwnEntry(at)
				r.waitForState(p, "j1", workload.StateCompleted, 6*time.Second)
				r.Equal(r.starts(), 1)
				r.mustSubmit(p, "j2", 1, gangStep(2, 8), time.Second)
				r.waitForState(p, "j2", workload.StateCompleted, 4*time.Second)
			})
		})
	}
}

// Guards against a planner that has just loaded the workers' entries and takes one of another writer for the word of a worker with runs.
func TestForeignEntryBeforePlannerChangeEndsNoRun(t *testing.T) {
	for name, change := range foreignEntries {
		t.Run(name, func(t *testing.T) {
			runInVirtualTime(t, func(r *rig) {
				r.wrapWorkers = func(w engine.Workers) engine.Workers {
					return otherServers(w, isOtherAddress)
				}
				p, stop := r.startWithWorkers(2)
				r.mustSubmit(p, "j1", 1, singleTaskStep(8), 12*time.Second)
				time.Sleep(3 * time.Second)
				at := r.WorkersRunning("j1")[0]
				r.writeForeignEntry(at, change)
				stop()
				p, stop = r.startPlanner("b")
				defer stop()
				time.Sleep(1500 * time.Millisecond)
				r.writeOwnEntry(at)
				r.waitForState(p, "j1", workload.StateCompleted, 12*time.Second)
				r.Equal(r.starts(), 1)
				r.mustSubmit(p, "j2", 1, gangStep(2, 8), time.Second)
				r.waitForState(p, "j2", workload.StateCompleted, 4*time.Second)
			})
		})
	}
}

// Guards against a worker that is not used any more after an entry of another writer that could not be verified, because the worker was
// cut off meanwhile.
func TestWorkerIsUsedAgainAfterUnverifiedEntry(t *testing.T) {
	for name, change := range foreignEntries {
		t.Run(name, func(t *testing.T) {
			runInVirtualTime(t, func(r *rig) {
				p, stop := r.startWithWorkers(2)
				defer stop()
				time.Sleep(3 * time.Second)
				at := r.IDs()[0]
				r.Set(at, func(w *site.Worker) { w.Silent = true })
				r.writeForeignEntry(at, change)
				time.Sleep(2 * time.Second)
				r.Set(at, func(w *site.Worker) { w.Silent = false })
				r.writeOwnEntry(at)
				time.Sleep(2 * time.Second)
				r.mustSubmit(p, "j1", 1, gangStep(2, 8), time.Second)
				r.waitForState(p, "j1", workload.StateCompleted, 4*time.Second)
			})
		})
	}
}

// Guards against a worker that is not used any more because an entry of another writer reported that it drains.
func TestWorkerIsUsedAgainAfterForeignDrainingEntry(t *testing.T) {
	runInVirtualTime(t, func(r *rig) {
		p, stop := r.startWithWorkers(1)
		defer stop()
		time.Sleep(3 * time.Second)
		r.writeForeignEntry("r1-w0", func(e *engine.Registration) { e.Draining, e.DrainRemaining = true, time.Hour })
		time.Sleep(1500 * time.Millisecond)
		r.writeOwnEntry("r1-w0")
		time.Sleep(time.Second)
		r.mustSubmit(p, "j1", 1, singleTaskStep(8), time.Second)
		r.waitForState(p, "j1", workload.StateCompleted, 3*time.Second)
	})
}

// Guards against starting the task of a worker elsewhere because an entry of another writer reports a restart while the worker is cut off.
func TestForeignEntryOfCutOffWorkerEndsNoRun(t *testing.T) {
	runInVirtualTime(t, func(r *rig) {
		p, stop := r.startWithWorkers(2)
		defer stop()
		r.mustSubmit(p, "j1", 1, singleTaskStep(8), 8*time.Second)
		time.Sleep(3 * time.Second)
		at := r.WorkersRunning("j1")[0]
		r.Set(at, func(w *site.Worker) { w.Silent = true })
		r.writeForeignEntry(at, func(e *engine.Registration) { e.Incarnation += 500 })
		time.Sleep(1500 * time.Millisecond)
		r.Set(at, func(w *site.Worker) { w.Silent = false })
		r.writeOwnEntry(at)
		r.waitForState(p, "j1", workload.StateCompleted, 20*time.Second)
	})
}

// losePoll loses the response to the next poll that does not extend the lease, such as that which verifies an entry, once the flag that it
// returns is set. The poll fails at once, or when its time is over. It applies to planners that are started afterwards.
func (r *rig) losePoll(atOnce bool) *atomic.Bool {
	var lose atomic.Bool
	r.wrapWorkers = func(w engine.Workers) engine.Workers {
		poll := w.Poll
		w.Poll = func(ctx context.Context, t engine.Target, o engine.PollRequest) (engine.PollResponse, error) {
			response, err := poll(ctx, t, o)
			if o.Until != 0 || !lose.CompareAndSwap(true, false) {
				return response, err
			}
			if !atOnce {
				<-ctx.Done()
			}
			return engine.PollResponse{}, errors.New("response lost")
		}
		return w
	}
	return &lose
}

// Guards against starting the task of a worker elsewhere because an entry of another writer reports a restart and one response of the worker
// is lost, by a reset or a pause of the planner, although the worker can be reached.
func TestForeignEntryAndOneLostResponseEndNoRun(t *testing.T) {
	for name, atOnce := range map[string]bool{"connection reset": true, "not read in time": false} {
		t.Run(name, func(t *testing.T) {
			runInVirtualTime(t, func(r *rig) {
				lose := r.losePoll(atOnce)
				p, stop := r.startWithWorkers(2)
				defer stop()
				r.mustSubmit(p, "j1", 1, singleTaskStep(8), 8*time.Second)
				time.Sleep(3 * time.Second)
				at := r.WorkersRunning("j1")[0]
				lose.Store(true)
				r.writeForeignEntry(at, func(e *engine.Registration) { e.Incarnation += 500 })
				time.Sleep(1500 * time.Millisecond)
				r.writeOwnEntry(at)
				r.waitForState(p, "j1", workload.StateCompleted, 20*time.Second)
				r.True(!lose.Load())
				r.Equal(r.starts(), 1)
			})
		})
	}
}

// Guards against taking an entry of another writer for a restart without asking the worker, because an earlier one reported another address
// while the worker could not be reached.
func TestForeignEntryAfterUnverifiedAddressIsVerified(t *testing.T) {
	runInVirtualTime(t, func(r *rig) {
		r.wrapWorkers = func(w engine.Workers) engine.Workers {
			return otherServers(w, isOtherAddress)
		}
		p, stop := r.startWithWorkers(2)
		defer stop()
		r.mustSubmit(p, "j1", 1, singleTaskStep(8), 8*time.Second)
		time.Sleep(3 * time.Second)
		at := r.WorkersRunning("j1")[0]
		r.Set(at, func(w *site.Worker) { w.Silent = true })
		r.writeForeignEntry(at, func(e *engine.Registration) { e.Address = "other" })
		time.Sleep(time.Second)
		r.Set(at, func(w *site.Worker) { w.Silent = false })
		r.Equal(r.starts(), 1)
		r.writeForeignEntry(at, func(e *engine.Registration) { e.Address, e.Incarnation = "other", e.Incarnation+500 })
		time.Sleep(500 * time.Millisecond)
		r.writeOwnEntry(at)
		r.waitForState(p, "j1", workload.StateCompleted, 20*time.Second)
		r.Equal(r.starts(), 1)
	})
}

// Guards against ending, or losing, the runs of a worker that is cut off because an entry of another writer looks like a restart or a move:
// also if the entry stays for longer than a lease, or if the planner changes meanwhile.
func TestForeignEntryDuringCutKeepsRuns(t *testing.T) {
	steps := map[string]workload.Step{"task": singleTaskStep(8), "gang": gangStep(2, 8), "task that lasts": lastingStep(1)}
	for course, c := range map[string]struct {
		stays, successor bool
		successorAfter   time.Duration
	}{
		"entry replaced": {}, "entry stays": {stays: true},
		"planner changes": {successor: true}, "planner changes later": {successor: true, successorAfter: time.Second},
	} {
		for stepName, step := range steps {
			for entryName, change := range foreignEntries {
				t.Run(course+", "+stepName+", "+entryName, func(t *testing.T) {
					runInVirtualTime(t, func(r *rig) {
						r.wrapWorkers = func(w engine.Workers) engine.Workers {
							return otherServers(w, isOtherAddress)
						}
						p, stop := r.startWithWorkers(4)
						defer func() { stop() }()
						work := 20 * time.Second
						if step.LongRunning {
							work = time.Hour
						}
						r.mustSubmit(p, "j1", 1, step, work)
						time.Sleep(3 * time.Second)
						at := r.WorkersRunning("j1")[0]
						r.Set(at, func(w *site.Worker) { w.Silent = true })
						r.writeForeignEntry(at, change)
						end := time.Now().Add(2 * time.Second)
						time.Sleep(c.successorAfter)
						if c.successor {
							stop()
							p, stop = r.startPlanner("b")
						}
						time.Sleep(time.Until(end))
						r.Set(at, func(w *site.Worker) { w.Silent = false })
						if !c.stays {
							r.writeOwnEntry(at)
						}
						time.Sleep(maxLease + 2*time.Second)
						r.Equal(r.starts(), step.Tasks)
						r.writeOwnEntry(at)
						if step.LongRunning {
							r.Equal(r.WorkersRunning("j1"), []string{at})
							r.Equal(p.Cancel(context.Background(), "j1").Verdict, engine.VerdictAccepted)
						} else {
							r.waitForState(p, "j1", workload.StateCompleted, 6*time.Second)
						}
						time.Sleep(2 * time.Second)
						r.mustSubmit(p, "j2", 1, gangStep(4, 8), time.Second)
						r.waitForState(p, "j2", workload.StateCompleted, 4*time.Second)
					})
				})
			}
		}
	}
}

// Guards against ending the runs of a worker that refuses polls, as an unhealthy one does, because an entry of another writer reports a later
// incarnation: such a refusal does not report the incarnation.
func TestForeignEntryOfUnhealthyWorkerEndsNoRun(t *testing.T) {
	runInVirtualTime(t, func(r *rig) {
		p, stop := r.startWithWorkers(2)
		defer stop()
		r.mustSubmit(p, "j1", 1, singleTaskStep(8), 8*time.Second)
		time.Sleep(3 * time.Second)
		at := r.WorkersRunning("j1")[0]
		r.Set(at, func(w *site.Worker) { w.RefusesPolls = true })
		r.writeForeignEntry(at, func(e *engine.Registration) { e.Incarnation += 500 })
		time.Sleep(1500 * time.Millisecond)
		r.Set(at, func(w *site.Worker) { w.RefusesPolls = false })
		time.Sleep(time.Second)
		r.writeOwnEntry(at)
		r.waitForState(p, "j1", workload.StateCompleted, 6*time.Second)
		r.Equal(r.starts(), 1)
	})
}

// Guards against ending the runs of a worker that is cut off because several entries of another writer follow each other: the first, which
// reports another address, must not keep the second from being verified.
func TestForeignEntriesDuringCutEndNoRun(t *testing.T) {
	runInVirtualTime(t, func(r *rig) {
		p, stop := r.startWithWorkers(2)
		defer stop()
		r.mustSubmit(p, "j1", 1, singleTaskStep(8), 20*time.Second)
		time.Sleep(3 * time.Second)
		at := r.WorkersRunning("j1")[0]
		r.Set(at, func(w *site.Worker) { w.Silent = true })
		for _, change := range []func(e *engine.Registration){
			func(e *engine.Registration) { e.Address = "nobody" },
			func(e *engine.Registration) { e.Address, e.Incarnation = "nobody", e.Incarnation+500 },
			func(e *engine.Registration) { e.Incarnation += 1000 },
			func(e *engine.Registration) { e.Address = "nobody" },
		} {
			r.writeForeignEntry(at, change)
			time.Sleep(1200 * time.Millisecond)
		}
		r.Set(at, func(w *site.Worker) { w.Silent = false })
		r.waitForState(p, "j1", workload.StateCompleted, 20*time.Second)
		r.Equal(r.starts(), 1)
	})
}

// Guards against losing the runs of a worker that has given its first answer to a planner while an entry of another writer reported another
// address: the worker is asked where it has answered.
func TestForeignEntryBeforeFirstAnswerKeepsRuns(t *testing.T) {
	runInVirtualTime(t, func(r *rig) {
		p, stop := r.startWithWorkers(2)
		r.mustSubmit(p, "j1", 1, singleTaskStep(8), 20*time.Second)
		time.Sleep(3 * time.Second)
		at := r.WorkersRunning("j1")[0]
		stop()
		r.wrapWorkers = func(w engine.Workers) engine.Workers {
			poll := w.Poll
			var polls atomic.Int64
			w.Poll = func(ctx context.Context, t engine.Target, o engine.PollRequest) (engine.PollResponse, error) {
				response, err := poll(ctx, t, o)
				if t.ID == at && polls.Add(1) == 1 {
					time.Sleep(600 * time.Millisecond)
				}
				return response, err
			}
			return w
		}
		p, stop = r.startPlanner("b")
		defer stop()
		time.Sleep(20 * time.Millisecond)
		r.writeForeignEntry(at, func(e *engine.Registration) { e.Address = "nobody" })
		r.waitForState(p, "j1", workload.StateCompleted, 20*time.Second)
		r.Equal(r.starts(), 1)
	})
}

// Guards against not noticing at its first answer that a worker has restarted behind a cut, because its entry counts as a claim only: at
// the address that it had, or at another one.
func TestRestartBehindCutEndsRunsAtFirstAnswer(t *testing.T) {
	for name, moves := range map[string]bool{"same address": false, "another address": true} {
		t.Run(name, func(t *testing.T) {
			runInVirtualTime(t, func(r *rig) {
				if moves {
					r.wrapWorkers = func(w engine.Workers) engine.Workers { return r.movedWorker(w, "r1-w0", "moved") }
				}
				p, stop := r.startWithWorkers(1)
				defer stop()
				r.mustSubmit(p, "j1", 1, singleTaskStep(8), time.Minute)
				time.Sleep(3 * time.Second)
				r.AddWorkers("r2", 1)
				r.Set("r1-w0", func(w *site.Worker) {
					w.Restart()
					w.Silent = true
					if moves {
						w.Registration.Address = "moved"
					}
				})
				r.Register(r.Worker("r1-w0"))
				time.Sleep(2 * time.Second)
				r.Equal(r.starts(), 1)
				r.Set("r1-w0", func(w *site.Worker) { w.Silent = false })
				time.Sleep(2 * time.Second)
				r.Equal(r.starts(), 2)
				r.Equal(len(r.WorkersRunning("j1")), 1)
				r.mustSubmit(p, "j2", 1, singleTaskStep(8), time.Second)
				r.waitForState(p, "j2", workload.StateCompleted, 4*time.Second)
			})
		})
	}
}

// Guards against a worker that has moved and is not used, because another worker refuses the poll at its earlier address that is to verify
// its entry, which it does not write again.
func TestWorkerThatMovedIsUsedAfterItsAddressIsTaken(t *testing.T) {
	runInVirtualTime(t, func(r *rig) {
		r.wrapWorkers = func(w engine.Workers) engine.Workers {
			return otherServers(r.movedWorker(w, "r1-w0", "moved"), func(t engine.Target) bool {
				return t.Address == "r1-w0" && r.Worker("r1-w0").Registration.Address == "moved"
			})
		}
		p, stop := r.startWithWorkers(1)
		defer stop()
		r.mustSubmit(p, "j1", 1, singleTaskStep(8), 6*time.Second)
		time.Sleep(3 * time.Second)
		r.Set("r1-w0", func(w *site.Worker) {
			w.Restart()
			w.Registration.Address = "moved"
		})
		r.Register(r.Worker("r1-w0"))
		r.waitForState(p, "j1", workload.StateCompleted, 9*time.Second)
	})
}

// movedWorker sends calls to the address that a worker has after a move to the worker, and lets those to its earlier address time out then.
func (r *rig) movedWorker(w engine.Workers, id, moved string) engine.Workers {
	resolve := func(t engine.Target) engine.Target {
		switch {
		case t.Address == moved:
			t.Address = id
		case t.Address == id && r.Worker(id).Registration.Address == moved:
			t.Address = "nobody"
		}
		return t
	}
	return engine.Workers{
		Start: func(ctx context.Context, t engine.Target, o engine.StartOrder) (engine.WorkerStatus, error) {
			return w.Start(ctx, resolve(t), o)
		},
		Stop: func(ctx context.Context, t engine.Target, o engine.StopOrder) (engine.WorkerStatus, error) {
			return w.Stop(ctx, resolve(t), o)
		},
		Poll: func(ctx context.Context, t engine.Target, o engine.PollRequest) (engine.PollResponse, error) {
			return w.Poll(ctx, resolve(t), o)
		},
	}
}

// Guards against keeping the runs of a worker that has restarted, and cannot be reached, for longer than the leases that the earlier
// incarnation had: a start that was answered cannot be carried out late.
func TestRunOfUnreachableRestartedWorkerEndsByItsLease(t *testing.T) {
	for name, step := range map[string]workload.Step{"task": singleTaskStep(8), "gang": gangStep(2, 8), "task that lasts": lastingStep(1)} {
		t.Run(name, func(t *testing.T) {
			runInVirtualTime(t, func(r *rig) {
				p, stop := r.startWithWorkers(step.Tasks)
				defer stop()
				r.mustSubmit(p, "j1", 1, step, time.Minute)
				time.Sleep(3 * time.Second)
				r.AddWorkers("r2", step.Tasks)
				for range 5 {
					r.Set("r1-w0", func(w *site.Worker) {
						w.Restart()
						w.Silent = true
					})
					r.Register(r.Worker("r1-w0"))
					time.Sleep(2 * time.Second)
				}
				time.Sleep(1500 * time.Millisecond)
				r.Equal(r.starts(), 2*step.Tasks)
				r.Equal(len(r.WorkersRunning("j1")), step.Tasks)
			})
		})
	}
}

// Guards against ending a confirmed run by the lease of its incarnation while the next one, which cannot be reached, may still carry out the
// unanswered start of an earlier run of the task.
func TestLateStartOfEarlierRunOutlastsLeaseOfConfirmedRun(t *testing.T) {
	const lateStart = 11 * time.Second
	for name, successor := range map[string]bool{"same planner": false, "successor": true} {
		t.Run(name, func(t *testing.T) {
			runInVirtualTime(t, func(r *rig) {
				p, stop := r.startWithWorkers(1)
				defer func() { stop() }()
				r.rest(time.Minute)
				r.Set("r1-w0", func(w *site.Worker) { w.StartDelay, w.KeepsLateOrders = lateStart, true })
				r.mustSubmit(p, "j1", 1, singleTaskStep(8), 30*time.Second)
				submitted := time.Now()
				r.confirmAndStopRun()
				time.Sleep(4 * time.Second)
				r.Equal(r.WorkersRunning("j1"), []string{"r1-w0"})
				if successor {
					stop()
					p, stop = r.startPlanner("b")
					time.Sleep(time.Second)
				}
				r.AddWorkers("r2", 1)
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
		})
	}
}

// Guards against forgetting a worker whose entry has not been verified for long, because the worker cannot be reached: it does not write its
// entry again.
func TestWorkerIsUsedAfterLongCutWithUnverifiedEntry(t *testing.T) {
	runInVirtualTime(t, func(r *rig) {
		p, stop := r.startWithWorkers(1)
		defer stop()
		time.Sleep(3 * time.Second)
		r.Set("r1-w0", func(w *site.Worker) {
			w.Restart()
			w.Silent = true
		})
		r.Register(r.Worker("r1-w0"))
		time.Sleep(3 * time.Minute)
		r.Set("r1-w0", func(w *site.Worker) { w.Silent = false })
		time.Sleep(2 * time.Second)
		r.mustSubmit(p, "j1", 1, singleTaskStep(8), time.Second)
		r.waitForState(p, "j1", workload.StateCompleted, 3*time.Second)
	})
}

// Guards against a worker that has left and is polled for ever: the planner could not verify its last entry, and missed its deletion because the
// store had discarded the history.
func TestWorkerThatLeftIsNotPolledForEver(t *testing.T) {
	for name, compacted := range map[string]bool{"deletion seen": false, "history discarded": true} {
		t.Run(name, func(t *testing.T) {
			runInVirtualTime(t, func(r *rig) {
				r.AddWorkers("r1", 1)
				var hidden, polls atomic.Int64
				store := r.Store.Engine()
				watch := store.Watch
				store.Watch = func(ctx context.Context, prefix string, after int64, wait time.Duration) ([]engine.Item, int64, error) {
					if prefix == site.RegistrationPrefix && hidden.Load() > after {
						return nil, 0, &engine.ErrCompacted{After: after}
					}
					return watch(ctx, prefix, after, wait)
				}
				term := r.claimTwice(store, "a")
				p := r.newPlanner("a", term, store, engine.Workers{
					Start: r.Start, Stop: r.Stop,
					Poll: func(ctx context.Context, t engine.Target, o engine.PollRequest) (engine.PollResponse, error) {
						polls.Add(1)
						return r.Poll(ctx, t, o)
					},
				})
				ctx, cancel := context.WithCancel(context.Background())
				renewed := term.Run(ctx, nil, p.Stalled)
				planned, err := p.Run(ctx)
				r.NoErr(err)
				<-p.Ready()
				defer func() {
					cancel()
					if err := <-renewed; err != nil {
						t.Log("term:", err)
					}
					if err := <-planned; err != nil {
						t.Log("planner:", err)
					}
				}()
				time.Sleep(3 * time.Second)
				r.Set("r1-w0", func(w *site.Worker) {
					w.Restart()
					w.Dead = true
				})
				r.Register(r.Worker("r1-w0"))
				time.Sleep(2 * time.Second)
				if compacted {
					hidden.Store(1 << 40)
				}
				// A watch that was waiting has ended then.
				time.Sleep(2 * time.Second)
				r.Store.Remove(site.RegistrationPrefix + "r1-w0")
				time.Sleep(2 * time.Second)
				hidden.Store(0)
				time.Sleep(3 * time.Minute)
				before := polls.Load()
				time.Sleep(time.Minute)
				t.Log("polls in the fourth minute:", polls.Load()-before)
				r.Equal(polls.Load()-before, int64(0))
			})
		})
	}
}

// Guards against a worker that has moved and is not used, because another one at its earlier address refuses the polls as unhealthy.
func TestWorkerThatMovedIsUsedWhileItsEarlierAddressRefuses(t *testing.T) {
	runInVirtualTime(t, func(r *rig) {
		r.wrapWorkers = func(w engine.Workers) engine.Workers {
			moved := r.movedWorker(w, "r1-w0", "moved")
			poll := moved.Poll
			moved.Poll = func(ctx context.Context, t engine.Target, o engine.PollRequest) (engine.PollResponse, error) {
				if t.Address == "r1-w0" && r.Worker("r1-w0").Registration.Address == "moved" {
					time.Sleep(time.Millisecond)
					return engine.PollResponse{}, &engine.ErrRefused{Reason: engine.RefusedUnhealthy}
				}
				return poll(ctx, t, o)
			}
			return moved
		}
		p, stop := r.startWithWorkers(1)
		defer stop()
		time.Sleep(3 * time.Second)
		r.Set("r1-w0", func(w *site.Worker) {
			w.Restart()
			w.Registration.Address = "moved"
		})
		r.Register(r.Worker("r1-w0"))
		time.Sleep(5 * time.Second)
		r.mustSubmit(p, "j1", 1, singleTaskStep(8), time.Second)
		r.waitForState(p, "j1", workload.StateCompleted, 5*time.Second)
	})
}

// Guards against calls without much of a pause to the address of an unverified entry where calls are refused at once.
func TestAddressOfUnverifiedEntryIsCalledAboutOnceASecond(t *testing.T) {
	runInVirtualTime(t, func(r *rig) {
		var calls atomic.Int64
		r.wrapWorkers = func(w engine.Workers) engine.Workers {
			return otherServers(w, func(t engine.Target) bool {
				other := isOtherAddress(t)
				if other {
					calls.Add(1)
				}
				return other
			})
		}
		_, stop := r.startWithWorkers(1)
		defer stop()
		time.Sleep(3 * time.Second)
		r.Set("r1-w0", func(w *site.Worker) { w.Silent = true })
		r.writeForeignEntry("r1-w0", func(e *engine.Registration) { e.Address, e.Incarnation = "other", e.Incarnation+500 })
		time.Sleep(20 * time.Second)
		r.True(calls.Load() <= 30)
	})
}
