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

// Guards against polls without a pause of a worker that has restarted after its time of day went back: all its responses look like
// those of an earlier incarnation.
func TestWorkerWithEarlierStartTimeIsPolledWithPauses(t *testing.T) {
	runInVirtualTime(t, func(r *rig) {
		polls := 0
		r.wrapWorkers = func(w engine.Workers) engine.Workers {
			poll := w.Poll
			w.Poll = func(ctx context.Context, t engine.Target, o engine.PollRequest) (engine.PollResponse, error) {
				polls++
				return poll(ctx, t, o)
			}
			return w
		}
		p, stop := r.startWithWorkers(1)
		defer stop()
		r.mustSubmit(p, "j1", 1, singleTaskStep(8), 20*time.Second)
		time.Sleep(3 * time.Second)
		polls = 0
		r.Set("r1-w0", func(w *site.Worker) {
			born := w.Registration.Incarnation
			w.Restart()
			w.Registration.Incarnation = born - 2000
		})
		r.Register(r.Worker("r1-w0"))
		time.Sleep(5 * time.Second)
		r.True(polls <= 60)
	})
}

// Guards against a worker that is not used any more after it has restarted with a time of day that went back, also as another kind of worker.
func TestWorkerWithEarlierStartTimeIsUsedAgain(t *testing.T) {
	for name, entryDelay := range map[string]time.Duration{"entry at once": 0, "entry later": 2 * time.Second} {
		t.Run(name, func(t *testing.T) {
			runInVirtualTime(t, func(r *rig) {
				p, stop := r.startWithWorkers(1)
				defer stop()
				r.mustSubmit(p, "j1", 1, singleTaskStep(8), 10*time.Second)
				time.Sleep(3 * time.Second)
				r.Set("r1-w0", func(w *site.Worker) {
					born := w.Registration.Incarnation
					w.Restart()
					w.Registration.Incarnation = born - 2000
					w.Registration.Capacity.Accelerators = 16
				})
				time.Sleep(entryDelay)
				r.Register(r.Worker("r1-w0"))
				time.Sleep(time.Second)
				r.Equal(r.WorkersRunning("j1"), []string{"r1-w0"})
				r.mustSubmit(p, "j2", 1, singleTaskStep(8), time.Second)
				r.waitForState(p, "j2", workload.StateCompleted, 3*time.Second)
				r.waitForState(p, "j1", workload.StateCompleted, 15*time.Second)
			})
		})
	}
}

// Guards against a worker that is never asked again because it was not listed when it came back with a time of day that went back.
func TestWorkerThatReturnsWithEarlierStartTimeIsUsed(t *testing.T) {
	for name, c := range map[string]struct {
		moves, taken bool
		running      int
	}{
		"at its address": {running: 1}, "elsewhere": {moves: true, running: 1},
		// The other worker, which is cut off, has a task as well.
		"after another worker had the address": {taken: true, running: 2},
	} {
		t.Run(name, func(t *testing.T) {
			runInVirtualTime(t, func(r *rig) {
				r.wrapWorkers = func(w engine.Workers) engine.Workers {
					return r.sharedAddress(r.movedWorker(w, "r1-w0", "moved"), "r1-w0", "r2-w0")
				}
				p, stop := r.startWithWorkers(1)
				defer stop()
				r.mustSubmit(p, "j1", 1, singleTaskStep(8), time.Minute)
				time.Sleep(time.Second)
				r.Set("r1-w0", func(w *site.Worker) { w.Dead, w.Replaced = true, c.taken })
				r.Deregister(r.Worker("r1-w0"))
				if c.taken {
					r.addWorkerAt("r2", "r1-w0")
				}
				time.Sleep(leaseOver)
				r.Set("r1-w0", func(w *site.Worker) {
					born := w.Registration.Incarnation
					w.Restart()
					w.Replaced = false
					w.Registration.Incarnation = born - 2000
					if c.moves {
						w.Registration.Address = "moved"
					}
				})
				if c.taken {
					r.Set("r2-w0", func(w *site.Worker) { w.Silent = true })
				}
				r.Register(r.Worker("r1-w0"))
				r.mustSubmit(p, "j2", 0, singleTaskStep(8), time.Second)
				time.Sleep(500 * time.Millisecond)
				r.Equal(len(r.WorkersRunning("j1"))+len(r.WorkersRunning("j2")), c.running)
			})
		})
	}
}

// Guards against endless polls of a worker that is not listed because another writer has left an entry with an earlier start time.
func TestWorkerWithOutdatedEntryIsNotPolledForEver(t *testing.T) {
	runInVirtualTime(t, func(r *rig) {
		var polls atomic.Int64
		r.wrapWorkers = func(w engine.Workers) engine.Workers {
			poll := w.Poll
			w.Poll = func(ctx context.Context, t engine.Target, o engine.PollRequest) (engine.PollResponse, error) {
				polls.Add(1)
				return poll(ctx, t, o)
			}
			return w
		}
		_, stop := r.startWithWorkers(1)
		defer stop()
		time.Sleep(time.Second)
		r.Deregister(r.Worker("r1-w0"))
		time.Sleep(time.Second)
		r.writeForeignEntry("r1-w0", func(e *engine.Registration) { e.Incarnation -= 2000 })
		polls.Store(0)
		time.Sleep(10 * time.Second)
		r.True(polls.Load() <= 2)
	})
}
