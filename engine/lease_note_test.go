package engine_test

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"clementinepier/engine"
	"clementinepier/standin/site"
	"clementinepier/workload"
)

// noteAge is how old what a successor knows of a silent worker may be: it is written each second, and on a tick.
const noteAge = 1100 * time.Millisecond

// electionTime is how long the election of a planner takes once the store answers again and a term has ended.
const electionTime = 300 * time.Millisecond

// succession is a way in which one planner follows another.
type succession struct {
	// storeAway is for how long the store does not answer before the successor starts; the term ends meanwhile.
	storeAway time.Duration
	// killed ends the planner at once, and otherwise once the store answers again.
	killed bool
	// timesOfDayDiffer makes the planners' times of day differ by hours.
	timesOfDayDiffer bool
}

var successions = map[string]succession{
	"killed":                      {killed: true},
	"killed, other time of day":   {killed: true, timesOfDayDiffer: true},
	"store away":                  {storeAway: 4 * time.Second},
	"store away, other times":     {storeAway: 4 * time.Second, timesOfDayDiffer: true},
	"killed while store was away": {storeAway: 2 * time.Second, killed: true},
}

// succeed ends a planner's term and starts its successor. It also returns for how much longer than necessary the successor may wait: a planner that
// is killed leaves what it knew at most noteAge before.
func (r *rig) succeed(s succession, stop func(), successor string) (func(), time.Duration) {
	ended, longer := time.Now(), noteAge
	if s.killed {
		stop()
	}
	if s.storeAway != 0 {
		r.Store.SetSilent(true)
		time.Sleep(s.storeAway)
		r.Store.SetSilent(false)
	}
	if !s.killed {
		ended, longer = time.Now(), 0
		time.Sleep(electionTime)
		stop()
	}
	_, stop = r.startPlanner(successor)
	return stop, time.Since(ended) + longer
}

// differTimesOfDay makes the times of day of planners whose names differ in length differ by hours, in both directions.
func (r *rig) differTimesOfDay() {
	r.timeOfDay = func(name string) time.Time {
		return time.Now().Add(time.Duration(2-len(name)) * 5 * time.Hour)
	}
}

// Guards against counting the longest lease of a worker that is gone anew with each planner: while planners follow one another, its tasks wait.
func TestLeaseOfGoneWorkerIsCountedOnce(t *testing.T) {
	for name, s := range successions {
		t.Run(name, func(t *testing.T) {
			runInVirtualTime(t, func(r *rig) {
				if s.timesOfDayDiffer {
					r.differTimesOfDay()
				}
				p, stop := r.startWithWorkers(1)
				r.mustSubmit(p, "j1", 1, singleTaskStep(8), time.Minute)
				time.Sleep(time.Second)
				r.AddWorkers("r2", 1)
				r.Set("r1-w0", func(w *site.Worker) { w.Dead = true })
				r.Deregister(r.Worker("r1-w0"))
				latest := time.Now().Add(leaseOver)
				time.Sleep(3500 * time.Millisecond)
				for _, successor := range []string{"bb", "ccc"} {
					var longer time.Duration
					stop, longer = r.succeed(s, stop, successor)
					latest = latest.Add(longer)
					time.Sleep(2 * time.Second)
				}
				defer func() { stop() }()
				for len(r.WorkersRunning("j1")) == 0 && time.Now().Before(latest) {
					time.Sleep(50 * time.Millisecond)
				}
				r.Equal(r.WorkersRunning("j1"), []string{"r2-w0"})
				r.Equal(r.starts(), 2)
			})
		})
	}
}

// Guards against giving up a run before its lease has ended, because what an earlier planner has stored on its worker is out of date: the worker
// could be reached again for a while, and its lease was extended.
func TestLeaseExtendedSinceWorkerWasSilentIsWaitedFor(t *testing.T) {
	for name, s := range successions {
		for _, back := range []time.Duration{50 * time.Millisecond, 300 * time.Millisecond, 3 * time.Second} {
			t.Run(fmt.Sprintf("%s, back for %s", name, back), func(t *testing.T) {
				runInVirtualTime(t, func(r *rig) {
					if s.timesOfDayDiffer {
						r.differTimesOfDay()
					}
					r.AddWorkers("r1", 1)
					r.setAll(func(w *site.Worker) { w.ClockRate = slowClock })
					p, stop := r.startPlanner("a")
					r.mustSubmit(p, "j1", 1, singleTaskStep(8), time.Minute)
					time.Sleep(time.Second)
					r.AddWorkers("r2", 1)
					for _, successor := range []string{"bb", "ccc", "dddd"} {
						r.Set("r1-w0", func(w *site.Worker) { w.Silent = true })
						time.Sleep(4500 * time.Millisecond)
						r.Set("r1-w0", func(w *site.Worker) { w.Silent = false })
						time.Sleep(back)
						r.Set("r1-w0", func(w *site.Worker) { w.Silent = true })
						stop, _ = r.succeed(s, stop, successor)
					}
					defer func() { stop() }()
					time.Sleep(leaseOver + time.Second)
					r.Equal(r.WorkersRunning("j1"), []string{"r2-w0"})
				})
			})
		}
	}
}

// Guards against extending the lease of a worker while the store still has the bound that was noted when it was silent: a successor would give up
// its runs too early.
func TestLeaseIsNotExtendedWhileStoreHasItsBound(t *testing.T) {
	runInVirtualTime(t, func(r *rig) {
		p, stop := r.startWithWorkers(1)
		r.mustSubmit(p, "j1", 1, singleTaskStep(8), time.Minute)
		time.Sleep(time.Second)
		r.AddWorkers("r2", 1)
		r.Set("r1-w0", func(w *site.Worker) { w.Silent = true })
		time.Sleep(5 * time.Second)
		r.Store.SetRefusing(true)
		r.Set("r1-w0", func(w *site.Worker) { w.Silent = false })
		time.Sleep(2 * time.Second)
		r.Set("r1-w0", func(w *site.Worker) { w.Silent = true })
		stop()
		r.Store.SetRefusing(false)
		_, stop = r.startPlanner("b")
		defer stop()
		time.Sleep(leaseOver + time.Second)
		r.Equal(r.WorkersRunning("j1"), []string{"r2-w0"})
	})
}

// Guards against runs that lapse, or workers that get no runs, because the bound noted while they were silent is not withdrawn.
func TestWorkerThatAnswersAgainIsUsed(t *testing.T) {
	runInVirtualTime(t, func(r *rig) {
		p, stop := r.startWithWorkers(1)
		r.mustSubmit(p, "j1", 1, singleTaskStep(4), 25*time.Second)
		time.Sleep(time.Second)
		r.Set("r1-w0", func(w *site.Worker) { w.Silent = true })
		time.Sleep(5 * time.Second)
		stop()
		p, stop = r.startPlanner("b")
		defer func() { stop() }()
		r.Set("r1-w0", func(w *site.Worker) { w.Silent = false })
		time.Sleep(time.Second)
		r.mustSubmit(p, "j2", 1, singleTaskStep(4), time.Second)
		r.waitForState(p, "j2", workload.StateCompleted, 3*time.Second)
		r.waitForState(p, "j1", workload.StateCompleted, 25*time.Second)
		r.Equal(r.Worker("r1-w0").Starts, 2)
	})
}

// Guards against the bounds of a planner whose term ended while it was cut off, if a successor has extended the leases since.
func TestBoundsOfEndedTermAreNotStoredOnceNextTermHasBegun(t *testing.T) {
	runInVirtualTime(t, func(r *rig) {
		var cutOff atomic.Bool
		r.wrapStore = func(name string, s engine.Store) engine.Store {
			if name != "a" {
				return s
			}
			commit, renew := s.Commit, s.RenewLease
			s.Commit = func(ctx context.Context, txn engine.Txn) (int64, error) {
				if cutOff.Load() {
					return 0, &engine.ErrNotDone{Cause: context.DeadlineExceeded}
				}
				return commit(ctx, txn)
			}
			s.RenewLease = func(ctx context.Context, lease int64) error {
				if cutOff.Load() {
					return &engine.ErrNotDone{Cause: context.DeadlineExceeded}
				}
				return renew(ctx, lease)
			}
			return s
		}
		r.wrapWorkers = func(w engine.Workers) engine.Workers {
			poll := w.Poll
			w.Poll = func(ctx context.Context, t engine.Target, o engine.PollRequest) (engine.PollResponse, error) {
				if cutOff.Load() {
					<-ctx.Done()
					return engine.PollResponse{}, ctx.Err()
				}
				return poll(ctx, t, o)
			}
			return w
		}
		p, stop := r.startWithWorkers(1)
		defer stop()
		r.wrapWorkers = nil
		r.mustSubmit(p, "j1", 1, singleTaskStep(8), time.Minute)
		time.Sleep(time.Second)
		r.AddWorkers("r2", 1)
		cutOff.Store(true)
		_, stopNext := r.startPlanner("b")
		time.Sleep(4 * time.Second)
		cutOff.Store(false)
		time.Sleep(500 * time.Millisecond)
		r.Set("r1-w0", func(w *site.Worker) { w.Silent = true })
		stopNext()
		_, stopLast := r.startPlanner("c")
		defer stopLast()
		time.Sleep(leaseOver + time.Second)
		r.Equal(r.WorkersRunning("j1"), []string{"r2-w0"})
	})
}
