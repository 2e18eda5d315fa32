package engine_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"clementinepier/engine"
	"clementinepier/standin/site"
	"clementinepier/workload"
)

// Guards against a failure of the basic path from submission to completion.
func TestJobCompletes(t *testing.T) {
	runInVirtualTime(t, func(r *rig) {
		p, stop := r.startWithWorkers(2)
		defer stop()
		r.mustSubmit(p, "j1", 1, singleTaskStep(1), time.Second)
		r.mustSubmit(p, "j2", 1, gangStep(4, 4), time.Second)
		r.waitForState(p, "j1", workload.StateCompleted, 3*time.Second)
		r.waitForState(p, "j2", workload.StateCompleted, 3*time.Second)
	})
}

// Guards against polls that extend the lease of a worker that does not respond, so that its runs never end.
func TestRunsOfLostWorkerRestartAfterLeaseEnds(t *testing.T) {
	runInVirtualTime(t, func(r *rig) {
		p, stop := r.startWithWorkers(2)
		defer stop()
		r.mustSubmit(p, "j1", 1, singleTaskStep(8), 3*time.Second)
		time.Sleep(time.Second)
		at := r.WorkersRunning("j1")
		r.Equal(len(at), 1)
		r.Set(at[0], func(w *site.Worker) { w.Dead = true })
		r.Deregister(r.Worker(at[0]))
		r.waitForState(p, "j1", workload.StateCompleted, maxLease+6*time.Second)
	})
}

// Guards against ending a run while its worker, partitioned from the planner, may still have it.
func TestRunsOfUnreachableWorkerAreNotStartedTwice(t *testing.T) {
	runInVirtualTime(t, func(r *rig) {
		p, stop := r.startWithWorkers(2)
		defer stop()
		r.mustSubmit(p, "j1", 1, singleTaskStep(8), 9*time.Second)
		time.Sleep(time.Second)
		at := r.WorkersRunning("j1")[0]
		r.Set(at, func(w *site.Worker) { w.Silent = true })
		time.Sleep(6 * time.Second)
		r.Set(at, func(w *site.Worker) { w.Silent = false })
		r.waitForState(p, "j1", workload.StateCompleted, 5*time.Second)
		r.Equal(r.Worker(at).Starts, 1)
	})
}

// Guards against ignoring that a task is done, because its run was given up and a later one is at work: the work is done twice, and the
// end is acknowledged.
func TestDoneEarlierRunEndsLaterRun(t *testing.T) {
	for name, step := range map[string]workload.Step{"single task": singleTaskStep(8), "gang": gangStep(2, 8)} {
		t.Run(name, func(t *testing.T) {
			runInVirtualTime(t, func(r *rig) {
				p, stop := r.startWithWorkers(step.Tasks)
				defer stop()
				r.mustSubmit(p, "j1", 1, step, 8*time.Second)
				time.Sleep(time.Second)
				first := r.WorkersRunning("j1")
				r.Equal(len(first), step.Tasks)
				r.AddWorkers("r2", step.Tasks)
				r.setAll(func(w *site.Worker) { w.Silent = w.Registration.Rack == "r1" })
				time.Sleep(2 * maxLease * 3 / 4)
				r.Equal(r.starts(), 2*step.Tasks)
				r.Equal(len(r.WorkersRunning("j1")), step.Tasks)
				r.setAll(func(w *site.Worker) { w.Silent = false })
				r.waitForState(p, "j1", workload.StateCompleted, time.Second)
				time.Sleep(time.Second)
				r.Equal(len(r.WorkersRunning("j1")), 0)
				r.Equal(r.starts(), 2*step.Tasks)
			})
		})
	}
}

// Guards against a successor that restarts running tasks or loses accepted jobs.
func TestSuccessorTakesOverRunsAndJobs(t *testing.T) {
	runInVirtualTime(t, func(r *rig) {
		p, stop := r.startWithWorkers(2)
		r.mustSubmit(p, "j1", 1, gangStep(2, 8), 5*time.Second)
		r.mustSubmit(p, "j2", 1, singleTaskStep(8), time.Second)
		time.Sleep(time.Second)
		stop()
		p, stop = r.startPlanner("b")
		defer stop()
		r.waitForState(p, "j1", workload.StateCompleted, 6*time.Second)
		r.waitForState(p, "j2", workload.StateCompleted, 3*time.Second)
	})
}

// Guards against a job that is lost or duplicated when the response to its write is lost.
func TestLostStoreResponseNeitherLosesNorDuplicatesJob(t *testing.T) {
	runInVirtualTime(t, func(r *rig) {
		p, stop := r.startWithWorkers(2)
		defer stop()
		r.Store.SetLoseWrites(true)
		time.AfterFunc(300*time.Millisecond, func() { r.Store.SetLoseWrites(false) })
		r.mustSubmit(p, "j1", 1, singleTaskStep(1), time.Second)
		r.waitForState(p, "j1", workload.StateCompleted, 3*time.Second)
	})
}

// Guards against restarting a task after a start order without a response although the worker has the run.
func TestUnconfirmedStartIsResolvedBeforeTaskRestarts(t *testing.T) {
	runInVirtualTime(t, func(r *rig) {
		r.AddWorkers("r1", 2)
		for _, id := range r.IDs() {
			w := r.Worker(id)
			w.LoseStarts = true
		}
		p, stop := r.startPlanner("a")
		defer stop()
		r.mustSubmit(p, "j1", 1, singleTaskStep(8), time.Second)
		time.Sleep(500 * time.Millisecond)
		for _, id := range r.IDs() {
			r.Set(id, func(w *site.Worker) { w.LoseStarts = false })
		}
		r.waitForState(p, "j1", workload.StateCompleted, lateOrderBound+2*time.Second)
		r.Equal(r.starts(), 2)
	})
}

// Guards against orders from a planner that may have a successor.
func TestPlannerWithoutStoreSendsNoStarts(t *testing.T) {
	runInVirtualTime(t, func(r *rig) {
		p, stop := r.startWithWorkers(1)
		defer stop()
		r.Store.SetSilent(true)
		time.Sleep(engine.TermLength + time.Second)
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		r.Equal(p.State(ctx, "j1").Verdict, engine.VerdictUnavailable)
		r.Equal(r.Worker("r1-w0").Starts, 0)
	})
}

// Guards against reporting an unknown outcome although the job was certainly not stored, and against a job that runs after
// it was rejected.
func TestJobIsRejectedWhenStoreRefusesWrites(t *testing.T) {
	runInVirtualTime(t, func(r *rig) {
		p, stop := r.startWithWorkers(1)
		defer stop()
		r.Store.SetRefusing(true)
		ctx, cancel := context.WithTimeout(context.Background(), 900*time.Millisecond)
		defer cancel()
		r.Equal(p.Submit(ctx, newJob("j1", 0, singleTaskStep(1))).Verdict, engine.VerdictUnavailable)
		r.Store.SetRefusing(false)
		time.Sleep(500 * time.Millisecond)
		r.Equal(p.State(context.Background(), "j1").Verdict, engine.VerdictAbsent)
		r.Equal(r.Worker("r1-w0").Starts, 0)
		r.mustSubmit(p, "j1", 0, singleTaskStep(1), time.Second)
		r.waitForState(p, "j1", workload.StateCompleted, 3*time.Second)
	})
}

// Guards against withdrawing a job that another entry VM has stored because the planner's own writes are refused.
func TestJobStoredByAnotherVMIsNotWithdrawn(t *testing.T) {
	runInVirtualTime(t, func(r *rig) {
		p, stop := r.startWithWorkers(1)
		defer stop()
		r.Store.SetRefusing(true)
		job := newJob("j1", 0, singleTaskStep(1))
		r.SetTaskProfile("j1", job.Steps[0], time.Second)
		submitted := make(chan engine.Result, 1)
		go func() { submitted <- p.Submit(context.Background(), job) }()
		time.Sleep(50 * time.Millisecond)
		record := workload.Record{Job: job, Progress: *workload.NewProgress(&job)}
		value, err := record.Encode()
		r.NoErr(err)
		r.Store.Write("clementinepier/job/j1", value)
		r.Store.Write("clementinepier/new/j1", []byte{0xa0})
		time.Sleep(2 * time.Second)
		r.Store.SetRefusing(false)
		r.waitForState(p, "j1", workload.StateCompleted, 4*time.Second)
		r.Equal((<-submitted).Verdict, engine.VerdictAccepted)
	})
}

// Guards against telling a caller that a job is cancelled, when it asks for that or for the state, because the planner withdraws its own
// submission of it: another entry VM may have stored the same job.
func TestWithdrawnJobIsNotShownAsCancelled(t *testing.T) {
	runInVirtualTime(t, func(r *rig) {
		p, stop := r.startWithWorkers(1)
		defer stop()
		job := newJob("j1", 0, singleTaskStep(1))
		r.SetTaskProfile("j1", job.Steps[0], time.Second)
		r.Store.SetRefusing(true)
		submitted, cancelled, shown := make(chan engine.Result, 1), make(chan engine.Result, 1), make(chan engine.Result, 1)
		go func() { submitted <- p.Submit(context.Background(), job) }()
		time.Sleep(50 * time.Millisecond)
		go func() { cancelled <- p.Cancel(context.Background(), "j1") }()
		time.Sleep(50 * time.Millisecond)
		go func() { shown <- p.State(context.Background(), "j1") }()
		r.Equal((<-submitted).Verdict, engine.VerdictUnavailable)
		r.Equal((<-cancelled).Verdict, engine.VerdictUnavailable)
		r.Equal((<-shown).Verdict, engine.VerdictUnavailable)
		r.Store.SetRefusing(false)
		direct := &engine.DirectClient{Store: r.Store.Engine()}
		r.Equal(direct.Submit(context.Background(), job).Verdict, engine.VerdictAccepted)
		r.waitForState(p, "j1", workload.StateCompleted, 3*time.Second)
	})
}

// Guards against reporting a job as rejected although its write may have been executed.
func TestJobWithUnconfirmedWriteIsNotRejected(t *testing.T) {
	runInVirtualTime(t, func(r *rig) {
		p, stop := r.startWithWorkers(1)
		defer stop()
		r.Store.SetSilent(true)
		ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
		defer cancel()
		r.Equal(p.Submit(ctx, newJob("j1", 0, singleTaskStep(1))).Verdict, engine.VerdictUnknown)
	})
}

// Guards against a gang that never starts again after one of its workers is lost, and against starting it while that worker may
// still have its member, which nothing but the lease bounds.
func TestGangRestartsWhenLeaseOfLostWorkerEnds(t *testing.T) {
	runInVirtualTime(t, func(r *rig) {
		p, stop := r.startWithWorkers(4)
		defer stop()
		r.mustSubmit(p, "j1", 0, gangStep(2, 8), 3*time.Second)
		time.Sleep(time.Second)
		at := r.WorkersRunning("j1")
		r.Equal(len(at), 2)
		r.Set(at[0], func(w *site.Worker) { w.Dead = true })
		r.Set(at[1], func(w *site.Worker) {
			w.EndAll(engine.EndGangBroken)
		})
		time.Sleep(maxLease - 1100*time.Millisecond)
		r.Equal(r.starts(), 2)
		r.waitForState(p, "j1", workload.StateCompleted, 7*time.Second)
	})
}

// Guards against a gang that never starts again because one of its start orders went to a worker that was just lost, and against
// starting it before the lease that another run extended on that worker has ended. It starts once the order can no longer be carried out if the
// entry of the worker is removed, and otherwise once a run of it would have ended as well.
func TestGangWithLostStartRestartsWhenLeaseEnds(t *testing.T) {
	for name, removed := range map[string]bool{"entry removed": true, "entry stays": false} {
		t.Run(name, func(t *testing.T) {
			runInVirtualTime(t, func(r *rig) {
				busy := ""
				r.beforeStart("j1", func(w *site.Worker) { w.Dead = w.Registration.ID == busy })
				p, stop := r.startWithWorkers(5)
				defer stop()
				// Another run extends the lease of the worker to the maximum.
				r.mustSubmit(p, "j0", 1, singleTaskStep(0), time.Minute)
				time.Sleep(time.Second)
				busy = r.WorkersRunning("j0")[0]
				r.mustSubmit(p, "j1", 0, gangStep(4, 8), time.Second)
				until := lateOrderBound
				if removed {
					time.AfterFunc(entryLifetime, func() { r.Deregister(r.Worker(busy)) })
				} else {
					until += leaseOver
				}
				submitted := time.Now()
				time.Sleep(maxLease - 1100*time.Millisecond)
				r.True(r.starts() <= 4)
				time.Sleep(time.Until(submitted.Add(lateOrderBound - 100*time.Millisecond)))
				r.Equal(len(r.WorkersRunning("j1")), 0)
				r.waitForState(p, "j1", workload.StateCompleted, until-lateOrderBound+2*time.Second)
			})
		})
	}
}

// Guards against a start that is sent to a worker of which nothing has been heard since the placement: it would have to be waited for
// until the lease ends.
func TestRunIsNotStartedOnWorkerLostBeforePlacement(t *testing.T) {
	runInVirtualTime(t, func(r *rig) {
		p, stop := r.startWithWorkers(5)
		defer stop()
		r.mustSubmit(p, "j0", 1, singleTaskStep(0), time.Minute)
		time.Sleep(time.Second)
		busy := r.WorkersRunning("j0")[0]
		r.Set(busy, func(w *site.Worker) { w.Dead = true })
		r.mustSubmit(p, "j1", 0, gangStep(4, 8), time.Second)
		r.waitForState(p, "j1", workload.StateCompleted, 4*time.Second)
	})
}

// Guards against a successor that ends a run because the registration of its worker is older than the run.
func TestOutdatedRegistrationOfRestartedWorkerEndsNoRun(t *testing.T) {
	runInVirtualTime(t, func(r *rig) {
		r.AddWorkers("r1", 1)
		w := r.Worker("r1-w0")
		registration := w.Registration
		// The worker has restarted; its registration in the store still names the earlier incarnation.
		w.Registration.Incarnation++
		r.registrations = map[string]engine.Registration{"r1-w0": registration}
		p, stop := r.startPlanner("a")
		r.mustSubmit(p, "j1", 1, singleTaskStep(8), 4*time.Second)
		time.Sleep(time.Second)
		stop()
		p, stop = r.startPlanner("b")
		defer stop()
		r.waitForState(p, "j1", workload.StateCompleted, 5*time.Second)
		r.Equal(w.Starts, 1)
	})
}

// Guards against ending and repeating a run that a worker has started as an incarnation that the planner did not know yet.
func TestStartOnNewIncarnationIsNotRepeated(t *testing.T) {
	runInVirtualTime(t, func(r *rig) {
		p, stop := r.startWithWorkers(2)
		defer stop()
		time.Sleep(time.Second)
		for _, id := range r.IDs() {
			r.Set(id, (*site.Worker).Restart)
		}
		r.mustSubmit(p, "j1", 1, singleTaskStep(8), 3*time.Second)
		r.waitForState(p, "j1", workload.StateCompleted, 5*time.Second)
		r.Equal(r.Worker("r1-w0").Starts+r.Worker("r1-w1").Starts, 1)
	})
}

// Guards against starting a run on a worker that has begun to drain since the placement.
func TestWorkerIsCheckedAgainBeforeStartOrder(t *testing.T) {
	runInVirtualTime(t, func(r *rig) {
		p, stop := r.startWithWorkers(1)
		defer stop()
		time.Sleep(time.Second)
		r.Store.SetRefusing(true)
		submitted := make(chan engine.Result, 1)
		go func() { submitted <- p.Submit(context.Background(), newJob("j1", 1, singleTaskStep(1))) }()
		time.Sleep(100 * time.Millisecond)
		r.Set("r1-w0", func(w *site.Worker) { w.Registration.Draining = true })
		r.Register(r.Worker("r1-w0"))
		time.Sleep(140 * time.Millisecond)
		r.Store.SetRefusing(false)
		r.Equal((<-submitted).Verdict, engine.VerdictAccepted)
		time.Sleep(time.Second)
		r.Equal(r.Worker("r1-w0").Starts, 0)
	})
}

// Guards against abandoning a claim that succeeded because its response was lost, so that there is no planner for a while.
func TestClaimWithLostResponseSucceeds(t *testing.T) {
	runInVirtualTime(t, func(r *rig) {
		r.Store.SetLoseWrites(true)
		term, err := engine.Claim(context.Background(), r.Store.Engine(), clockwork.NewRealClock(), engine.Holder{VM: "a", Boot: "b"}, engine.TermLength)
		r.NoErr(err)
		r.True(term != nil)
		r.Equal(term.Fence(), r.Store.Revision("clementinepier/planner"))
	})
}

// Guards against runs that never end because a server that is no known worker responds at the address of their worker.
func TestRunsEndWhenAnotherServerHasTheAddress(t *testing.T) {
	runInVirtualTime(t, func(r *rig) {
		p, stop := r.startWithWorkers(2)
		defer stop()
		r.mustSubmit(p, "j1", 1, singleTaskStep(8), 3*time.Second)
		time.Sleep(time.Second)
		at := r.WorkersRunning("j1")[0]
		r.Set(at, func(w *site.Worker) { w.Replaced = true })
		r.Deregister(r.Worker(at))
		r.waitForState(p, "j1", workload.StateCompleted, maxLease+4*time.Second)
	})
}

// Guards against a worker that discards an end before it is stored, so that a successor runs the task again.
func TestEndIsStoredBeforeWorkerDiscardsIt(t *testing.T) {
	runInVirtualTime(t, func(r *rig) {
		p, stop := r.startWithWorkers(2)
		r.mustSubmit(p, "j1", 1, singleTaskStep(8), time.Second)
		time.Sleep(900 * time.Millisecond)
		r.Store.SetRefusing(true)
		time.Sleep(900 * time.Millisecond)
		stop()
		r.Store.SetRefusing(false)
		p, stop = r.startPlanner("b")
		defer stop()
		r.waitForState(p, "j1", workload.StateCompleted, 3*time.Second)
		r.Equal(r.Worker("r1-w0").Starts+r.Worker("r1-w1").Starts, 1)
	})
}

// Guards against leases that end because the worker lists an end that cannot be stored at present.
func TestLeaseIsRenewedWhileAnEndCannotBeStored(t *testing.T) {
	runInVirtualTime(t, func(r *rig) {
		p, stop := r.startWithWorkers(1)
		defer stop()
		r.mustSubmit(p, "j1", 1, singleTaskStep(1), time.Second)
		r.mustSubmit(p, "j2", 1, singleTaskStep(1), 14*time.Second)
		time.Sleep(500 * time.Millisecond)
		r.Store.SetRefusing(true)
		time.Sleep(12 * time.Second)
		r.Store.SetRefusing(false)
		r.waitForState(p, "j1", workload.StateCompleted, time.Second)
		r.waitForState(p, "j2", workload.StateCompleted, 4*time.Second)
		r.Equal(r.Worker("r1-w0").Starts, 2)
	})
}

// Guards against jobs that never complete when the planner's lease is renewed late.
func TestJobsCompleteWhileRenewalsAreSlow(t *testing.T) {
	runInVirtualTime(t, func(r *rig) {
		r.AddWorkers("r1", 4)
		// The renewals get their responses 40 ms after the planner has stopped sending orders.
		r.Store.RenewalDelay = 466 * time.Millisecond
		p, stop := r.startPlanner("a")
		defer stop()
		var ids []string
		for i := range 400 {
			id := fmt.Sprintf("j%d", i)
			r.SetTaskProfile(id, singleTaskStep(0), 50*time.Millisecond)
			if p.Submit(context.Background(), newJob(id, 1, singleTaskStep(0))).Verdict == engine.VerdictAccepted {
				ids = append(ids, id)
			}
			time.Sleep(3 * time.Millisecond)
		}
		for _, id := range ids {
			r.waitForState(p, id, workload.StateCompleted, 5*time.Second)
		}
	})
}

// Guards against a worker that never gets runs again because its earlier incarnation was draining. The registration of that
// incarnation arrives late, after an outage of the store, when the new incarnation has already responded.
func TestOutdatedRegistrationOfDrainingWorkerDoesNotBlockNewIncarnation(t *testing.T) {
	runInVirtualTime(t, func(r *rig) {
		p, stop := r.startWithWorkers(1)
		defer stop()
		r.mustSubmit(p, "j1", 1, singleTaskStep(1), 2*time.Second)
		r.waitForState(p, "j1", workload.StateCompleted, 4*time.Second)
		w := r.Worker("r1-w0")
		draining := w.Registration
		draining.Draining = true
		r.Set("r1-w0", (*site.Worker).Restart)
		// The new incarnation responds.
		r.mustSubmit(p, "j2", 1, singleTaskStep(1), time.Second)
		r.waitForState(p, "j2", workload.StateCompleted, 4*time.Second)
		r.registrations = map[string]engine.Registration{"r1-w0": draining}
		r.Register(w)
		time.Sleep(time.Second)
		r.registrations = nil
		r.Register(w)
		r.mustSubmit(p, "j3", 1, singleTaskStep(1), time.Second)
		r.waitForState(p, "j3", workload.StateCompleted, 4*time.Second)
	})
}

// Guards against writing a job to a store that does not respond, after which the caller cannot retry. All entry VMs did so
// in an outage of the store that also ended the planner's term.
func TestJobIsNotWrittenToUnresponsiveStore(t *testing.T) {
	runInVirtualTime(t, func(r *rig) {
		direct := &engine.DirectClient{Store: r.Store.Engine()}
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		defer cancel()
		r.Store.SetSilent(true)
		r.Equal(direct.Submit(ctx, newJob("j1", 1, singleTaskStep(1))).Verdict, engine.VerdictUnavailable)
		r.Store.SetSilent(false)
		for range 2 {
			r.Equal(direct.Submit(ctx, newJob("j1", 1, singleTaskStep(1))).Verdict, engine.VerdictAccepted)
		}
		p, stop := r.startWithWorkers(1)
		defer stop()
		r.SetTaskProfile("j1", singleTaskStep(1), time.Second)
		r.waitForState(p, "j1", workload.StateCompleted, 4*time.Second)
	})
}

// Guards against members of a gang that are started, and wait in vain, although another member has ended before the placement was
// stored: its worker no longer exists.
func TestGangIsNotStartedInPart(t *testing.T) {
	const members = 6
	for i := range members {
		t.Run(fmt.Sprintf("worker %d", i), func(t *testing.T) {
			runInVirtualTime(t, func(r *rig) {
				r.Store.CommitDelay = 50 * time.Millisecond
				p, stop := r.startWithWorkers(members)
				defer stop()
				r.rest(time.Minute)
				r.Set(fmt.Sprintf("r1-w%d", i), func(w *site.Worker) { w.Replaced = true })
				r.mustSubmit(p, "j1", 0, gangStep(members, 8), time.Second)
				time.Sleep(gangTimeout)
				r.Equal(r.starts(), 0)
				r.AddWorkers("r2", 1)
				r.waitForState(p, "j1", workload.StateCompleted, 5*time.Second)
				r.Equal(r.starts(), members)
			})
		})
	}
}
