package engine_test

import (
	"context"
	"fmt"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"clementinepier/engine"
	"clementinepier/metrics"
	"clementinepier/standin/site"
	"clementinepier/workload"
)

// limit brings a configuration into force in which the organisation has a limit, a guarantee and a weight.
func (r *rig) limit(o engine.Organisation) {
	o.Name = "org"
	version := r.conf.Version + 1
	if c := r.changedConf.Load(); c != nil {
		version = c.Version + 1
	}
	r.changedConf.Store((&engine.Configuration{Version: version, Queues: r.conf.Queues, Organisations: []engine.Organisation{o}}).Index())
	r.AllowanceOf = func(string, time.Time) site.Allowance { return site.Allowance{Organisation: "org", Limit: o.Limit} }
}

// Guards against jobs that are accepted although their organisation's limit never lets them start, and against a refusal that outlives the limit. A job
// that was accepted before the limit was lowered waits, and nothing that runs is stopped.
func TestLimitOfOrganisation(t *testing.T) {
	runInVirtualTime(t, func(r *rig) {
		p, stop := r.startWithWorkers(3)
		defer stop()
		r.limit(engine.Organisation{Limit: workload.Resources{Accelerators: 8}})
		wide, gang := singleTaskStep(4), gangStep(3, 4)
		wide.Tasks = 3
		refused := p.Submit(context.Background(), newJob("gang", 1, gang))
		r.Equal(refused.Verdict, engine.VerdictRefused)
		r.Equal(refused.RetryAfter, time.Minute)
		r.True(strings.Contains(refused.Reason, "more than its organisation may have"))
		r.Equal(p.Submit(context.Background(), newJob("task", 1, singleTaskStep(9))).Verdict, engine.VerdictRefused)

		r.mustSubmit(p, "wide", 1, wide, 2*time.Second)
		time.Sleep(time.Second)
		r.Equal(len(r.WorkersRunning("wide")), 2)
		r.Equal(p.Metrics.Get(metrics.OrganisationsAtLimit), int64(1))
		r.Equal(p.Metrics.Get(metrics.UnitsOverLimit), int64(1))
		r.waitForState(p, "wide", workload.StateCompleted, 5*time.Second)
		r.Equal(p.Metrics.Get(metrics.OrganisationsAtLimit), int64(0))

		r.limit(engine.Organisation{Limit: workload.Resources{Accelerators: 12}})
		r.mustSubmit(p, "gang", 1, gang, 3*time.Second)
		r.mustSubmit(p, "later", 1, gang, time.Second)
		time.Sleep(time.Second)
		r.limit(engine.Organisation{Limit: workload.Resources{Accelerators: 4}})
		r.waitForState(p, "gang", workload.StateCompleted, 3*time.Second)
		time.Sleep(2 * time.Second)
		r.Equal(p.State(context.Background(), "later").State, workload.StateQueued)
		r.limit(engine.Organisation{Limit: workload.Resources{Accelerators: 12}})
		r.waitForState(p, "later", workload.StateCompleted, 3*time.Second)
		r.Equal(p.Metrics.Get(metrics.GroupsPreempted), int64(0))
	})
}

// Guards against guaranteed work that waits behind low-priority work of its own organisation, which uses up the limit, beside idle workers.
func TestGuaranteedWorkStartsUnderLimit(t *testing.T) {
	runInVirtualTime(t, func(r *rig) {
		p, stop := r.startWithWorkers(4)
		defer stop()
		r.limit(engine.Organisation{Guaranteed: 8, Limit: workload.Resources{Accelerators: 16}})
		low := singleTaskStep(4)
		low.Tasks = 5
		r.mustSubmit(p, "low", 2, low, 20*time.Second)
		time.Sleep(time.Second)
		r.Equal(len(r.WorkersRunning("low")), 4)
		r.mustSubmit(p, "urgent", 0, gangStep(2, 4), time.Second)
		time.Sleep(stopGrace + 500*time.Millisecond)
		r.Equal(len(r.WorkersRunning("urgent")), 2)
		r.Equal(len(r.WorkersRunning("low")), 2)
		r.waitForState(p, "urgent", workload.StateCompleted, 2*time.Second)
	})
}

// Guards against a planner that does not count what an earlier one has started, or may have, and that no worker has reported yet.
func TestLimitCountsRunsOfEarlierPlanner(t *testing.T) {
	for _, unanswered := range []bool{false, true} {
		t.Run(fmt.Sprintf("starts unanswered %t", unanswered), func(t *testing.T) {
			runInVirtualTime(t, func(r *rig) {
				p, stop := r.startWithWorkers(2)
				r.AddWorkers("r2", 2)
				r.limit(engine.Organisation{Limit: workload.Resources{Accelerators: 8}})
				time.Sleep(time.Second)
				if unanswered {
					for _, id := range r.IDs() {
						r.Set(id, func(w *site.Worker) { w.StartDelay = 700 * time.Millisecond })
					}
				}
				r.mustSubmit(p, "early", 1, gangStep(2, 4), 4*time.Second)
				time.Sleep(20 * time.Millisecond)
				for _, id := range r.IDs() {
					r.Set(id, func(w *site.Worker) { w.LosePolls = true })
				}
				stop()
				p, stop = r.startPlanner("b")
				defer stop()
				for _, id := range r.IDs()[2:] {
					r.Set(id, func(w *site.Worker) { w.LosePolls, w.StartDelay = false, 0 })
				}
				r.mustSubmit(p, "late", 1, singleTaskStep(4), time.Second)
				time.Sleep(2 * time.Second)
				for _, id := range r.IDs() {
					r.Set(id, func(w *site.Worker) { w.LosePolls, w.StartDelay = false, 0 })
				}
				r.waitForState(p, "late", workload.StateCompleted, maxLease+15*time.Second)
				r.waitForState(p, "early", workload.StateCompleted, 2*maxLease+15*time.Second)
			})
		})
	}
}

// Guards against a start without a response that is forgotten once a run of it has ended: the worker restarts behind a cut, knows of no end, and
// carries out a copy of the order beside what was started since.
func TestLimitCountsStartThatMayBeCarriedOutLate(t *testing.T) {
	runInVirtualTime(t, func(r *rig) {
		p, stop := r.startWithWorkers(1)
		defer stop()
		r.limit(engine.Organisation{Limit: workload.Resources{Accelerators: 4}})
		time.Sleep(2 * time.Second)
		r.Set("r1-w0", func(w *site.Worker) { w.StartDelay, w.DropStops, w.KeepsLateOrders = 100*time.Millisecond, true, true })
		r.mustSubmit(p, "early", 1, singleTaskStep(4), 3*time.Second)
		time.Sleep(20 * time.Millisecond)
		// The second copy of the order is carried out later.
		r.Set("r1-w0", func(w *site.Worker) { w.StartDelay = 5 * time.Second })
		time.Sleep(200 * time.Millisecond)
		r.Equal(len(r.WorkersRunning("early")), 1)
		r.Set("r1-w0", func(w *site.Worker) { w.StartDelay, w.DropStops = 0, false })
		time.Sleep(2 * time.Second)
		r.Equal(len(r.WorkersRunning("early")), 0)
		r.Set("r1-w0", func(w *site.Worker) {
			w.Restart()
			w.Silent = true
		})
		r.AddWorkers("r2", 1)
		r.mustSubmit(p, "late", 1, singleTaskStep(4), 4*time.Second)
		time.Sleep(3500 * time.Millisecond)
		r.Equal(r.WorkersRunning("early"), []string{"r1-w0"})
		r.Set("r1-w0", func(w *site.Worker) { w.Silent = false })
		r.Register(r.Worker("r1-w0"))
		r.waitForState(p, "late", workload.StateCompleted, 2*maxLease+30*time.Second)
		r.waitForState(p, "early", workload.StateCompleted, 2*maxLease+30*time.Second)
	})
}

// Guards against a placement that was made under a higher limit and is started under a lower one, once it is stored.
func TestUnsentPlacementIsTakenBackWhenLimitFalls(t *testing.T) {
	runInVirtualTime(t, func(r *rig) {
		var slow atomic.Bool
		r.wrapStore = func(_ string, s engine.Store) engine.Store {
			commit := s.Commit
			s.Commit = func(ctx context.Context, txn engine.Txn) (int64, error) {
				if slow.Load() {
					time.Sleep(400 * time.Millisecond)
				}
				return commit(ctx, txn)
			}
			return s
		}
		p, stop := r.startWithWorkers(2)
		defer stop()
		r.limit(engine.Organisation{Limit: workload.Resources{Accelerators: 8}})
		time.Sleep(time.Second)
		slow.Store(true)
		time.AfterFunc(100*time.Millisecond, func() {
			r.limit(engine.Organisation{Limit: workload.Resources{Accelerators: 4}})
		})
		r.mustSubmit(p, "gang", 1, gangStep(2, 4), time.Second)
		slow.Store(false)
		time.Sleep(3 * time.Second)
		r.True(!r.Started("gang"))
		r.limit(engine.Organisation{Limit: workload.Resources{Accelerators: 8}})
		r.waitForState(p, "gang", workload.StateCompleted, 5*time.Second)
	})
}

// Guards against a contradiction between guarantee and limit that nobody sees, and against a successor that counts jobs beyond the weight
// differently.
func TestMetricsOfLimits(t *testing.T) {
	runInVirtualTime(t, func(r *rig) {
		p, stop := r.startWithWorkers(1)
		r.limit(engine.Organisation{Guaranteed: 8, Weight: 1, Limit: workload.Resources{Accelerators: 1}})
		for i := range 8 {
			r.mustSubmit(p, fmt.Sprintf("j%d", i), 1, singleTaskStep(1), 30*time.Second)
		}
		time.Sleep(500 * time.Millisecond)
		r.Equal(p.Metrics.Get(metrics.GuaranteesAboveLimit), int64(1))
		r.Equal(p.Metrics.Get(metrics.JobsBeyondWeight), int64(3))
		stop()
		p, stop = r.startPlanner("b")
		defer stop()
		time.Sleep(500 * time.Millisecond)
		r.Equal(p.Metrics.Get(metrics.JobsBeyondWeight), int64(3))
		r.limit(engine.Organisation{Guaranteed: 8, Limit: workload.Resources{Accelerators: 8}})
		time.Sleep(500 * time.Millisecond)
		r.Equal(p.Metrics.Get(metrics.GuaranteesAboveLimit), int64(0))
		r.Equal(p.Metrics.Get(metrics.JobsBeyondWeight), int64(0))
	})
}
