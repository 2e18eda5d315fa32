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

// Guards against ending the runs of a worker because an entry of another writer, which does not tell an incarnation, gives it the
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

// Guards against a worker that is not used any more because an entry of another writer told that it drains.
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

// Guards against starting the task of a worker elsewhere because an entry of another writer tells a restart while the worker is cut off.
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

// Guards against starting the task of a worker elsewhere because an entry of another writer tells a restart and one response of the worker
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

// Guards against starting the task of a worker elsewhere because an entry of another writer tells a restart while the worker refuses polls
// as unhealthy, which does not tell its incarnation.
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
		r.writeOwnEntry(at)
		r.waitForState(p, "j1", workload.StateCompleted, 20*time.Second)
		r.Equal(r.starts(), 1)
	})
}

// Guards against taking an entry of another writer for a restart without asking the worker, because an earlier one told another address
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
