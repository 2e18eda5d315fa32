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

// Guards against a path that does not work at all.
func TestJobRunsToItsEnd(t *testing.T) {
	inBubble(t, func(r *rig) {
		p, stop := r.plannerOf(2)
		defer stop()
		r.submit(p, "j1", 1, single(1), time.Second)
		r.submit(p, "j2", 1, gang(4, 4), time.Second)
		r.await(p, "j1", workload.StateCompleted, 3*time.Second)
		r.await(p, "j2", workload.StateCompleted, 3*time.Second)
	})
}

// Guards against looks that extend the lease of a worker that does not answer, so that its runs are never given up.
func TestRunsOfLostWorkerStartAgainOnceItsLeaseHasLapsed(t *testing.T) {
	inBubble(t, func(r *rig) {
		p, stop := r.plannerOf(2)
		defer stop()
		r.submit(p, "j1", 1, single(8), 3*time.Second)
		time.Sleep(time.Second)
		at := r.Where("j1")
		r.Equal(len(at), 1)
		r.Set(at[0], func(w *site.Worker) { w.Dead = true })
		r.Unlist(r.Worker(at[0]))
		r.await(p, "j1", workload.StateCompleted, maxLease+6*time.Second)
	})
}

// Guards against giving a run up while its worker, cut off from the planner, may still have it.
func TestRunsOfSilentWorkerAreNotStartedTwice(t *testing.T) {
	inBubble(t, func(r *rig) {
		p, stop := r.plannerOf(2)
		defer stop()
		r.submit(p, "j1", 1, single(8), 9*time.Second)
		time.Sleep(time.Second)
		at := r.Where("j1")[0]
		r.Set(at, func(w *site.Worker) { w.Silent = true })
		time.Sleep(6 * time.Second)
		r.Set(at, func(w *site.Worker) { w.Silent = false })
		r.await(p, "j1", workload.StateCompleted, 5*time.Second)
		r.Equal(r.Worker(at).Starts, 1)
	})
}

// Guards against a successor that starts again what runs, or that forgets what was accepted.
func TestSuccessorTakesOverRunsAndJobs(t *testing.T) {
	inBubble(t, func(r *rig) {
		p, stop := r.plannerOf(2)
		r.submit(p, "j1", 1, gang(2, 8), 5*time.Second)
		r.submit(p, "j2", 1, single(8), time.Second)
		time.Sleep(time.Second)
		stop()
		p, stop = r.planner("b")
		defer stop()
		r.await(p, "j1", workload.StateCompleted, 6*time.Second)
		r.await(p, "j2", workload.StateCompleted, 3*time.Second)
	})
}

// Guards against a job that is lost or doubled when the answer to its write is lost.
func TestLostAnswerOfTheStoreDoublesNothing(t *testing.T) {
	inBubble(t, func(r *rig) {
		p, stop := r.plannerOf(2)
		defer stop()
		r.Store.SetLosing(true)
		time.AfterFunc(300*time.Millisecond, func() { r.Store.SetLosing(false) })
		r.submit(p, "j1", 1, single(1), time.Second)
		r.await(p, "j1", workload.StateCompleted, 3*time.Second)
	})
}

// Guards against a start that got no answer and is given up although the worker has the run.
func TestUnansweredStartIsSettledBeforeTheTaskStartsElsewhere(t *testing.T) {
	inBubble(t, func(r *rig) {
		r.AddWorkers("r1", 2)
		for _, id := range r.IDs() {
			w := r.Worker(id)
			w.LoseStarts = true
		}
		p, stop := r.planner("a")
		defer stop()
		r.submit(p, "j1", 1, single(8), time.Second)
		time.Sleep(500 * time.Millisecond)
		for _, id := range r.IDs() {
			r.Set(id, func(w *site.Worker) { w.LoseStarts = false })
		}
		r.await(p, "j1", workload.StateCompleted, 8*time.Second)
	})
}

// Guards against orders of a planner that may have a successor.
func TestPlannerWithoutStoreStopsStarting(t *testing.T) {
	inBubble(t, func(r *rig) {
		p, stop := r.plannerOf(1)
		defer stop()
		r.Store.SetSilent(true)
		time.Sleep(engine.TermLength + time.Second)
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		r.Equal(p.State(ctx, "j1").Verdict, engine.VerdictUnavailable)
		r.Equal(r.Worker("r1-w0").Starts, 0)
	})
}

// Guards against an answer that leaves the caller in doubt although the job was certainly not stored, and against a job
// that runs after it was turned away.
func TestJobIsTurnedAwayWhenTheStoreRefusesToWrite(t *testing.T) {
	inBubble(t, func(r *rig) {
		p, stop := r.plannerOf(1)
		defer stop()
		r.Store.SetRefusing(true)
		ctx, cancel := context.WithTimeout(context.Background(), 900*time.Millisecond)
		defer cancel()
		r.Equal(p.Submit(ctx, newJob("j1", 0, single(1))).Verdict, engine.VerdictUnavailable)
		r.Store.SetRefusing(false)
		time.Sleep(500 * time.Millisecond)
		r.Equal(p.State(context.Background(), "j1").Verdict, engine.VerdictAbsent)
		r.Equal(r.Worker("r1-w0").Starts, 0)
		r.submit(p, "j1", 0, single(1), time.Second)
		r.await(p, "j1", workload.StateCompleted, 3*time.Second)
	})
}

// Guards against a job that another entry VM has stored and that the planner forgets because its own writes are refused.
func TestJobStoredByAnotherVMIsNotWithdrawn(t *testing.T) {
	inBubble(t, func(r *rig) {
		p, stop := r.plannerOf(1)
		defer stop()
		r.Store.SetRefusing(true)
		job := newJob("j1", 0, single(1))
		r.Expect("j1", job.Steps[0], time.Second)
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
		r.await(p, "j1", workload.StateCompleted, 4*time.Second)
		r.Equal((<-submitted).Verdict, engine.VerdictAccepted)
	})
}

// Guards against telling a caller that a job was not run whose write may have been carried out.
func TestJobWhoseWriteGotNoAnswerIsNotTurnedAway(t *testing.T) {
	inBubble(t, func(r *rig) {
		p, stop := r.plannerOf(1)
		defer stop()
		r.Store.SetSilent(true)
		ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
		defer cancel()
		r.Equal(p.Submit(ctx, newJob("j1", 0, single(1))).Verdict, engine.VerdictUnknown)
	})
}

// Guards against a gang that waits for the lease of a lost worker although its other members have ended, which the lost
// one cannot outlive by more than the time that members wait for each other.
func TestGangThatLostAWorkerStartsAgainBeforeTheLeaseLapses(t *testing.T) {
	inBubble(t, func(r *rig) {
		p, stop := r.plannerOf(4)
		defer stop()
		r.submit(p, "j1", 0, gang(2, 8), 3*time.Second)
		time.Sleep(time.Second)
		at := r.Where("j1")
		r.Equal(len(at), 2)
		r.Set(at[0], func(w *site.Worker) { w.Dead = true })
		r.Set(at[1], func(w *site.Worker) {
			w.EndAll(engine.EndGangBroken)
		})
		r.await(p, "j1", workload.StateCompleted, 9*time.Second)
	})
}

// Guards against a gang that waits for the longest lease because one of its starts went to a worker that was just lost.
func TestGangWhoseStartIsLostStartsAgainBeforeTheLeaseLapses(t *testing.T) {
	inBubble(t, func(r *rig) {
		p, stop := r.plannerOf(5)
		defer stop()
		// Another run makes the lease of the worker as long as it can be.
		r.submit(p, "j0", 1, single(0), time.Minute)
		time.Sleep(time.Second)
		busy := r.Where("j0")[0]
		r.Set(busy, func(w *site.Worker) { w.Dead = true })
		r.submit(p, "j1", 0, gang(4, 8), time.Second)
		r.await(p, "j1", workload.StateCompleted, 9*time.Second)
	})
}

// Guards against a successor that takes a run for dead because the store's entry of its worker is older than the run.
func TestOldEntryOfRestartedWorkerEndsNoRun(t *testing.T) {
	inBubble(t, func(r *rig) {
		r.AddWorkers("r1", 1)
		w := r.Worker("r1-w0")
		entry := w.Advert
		// The worker has started anew; its entry in the store still names the earlier life.
		w.Advert.Incarnation++
		r.entries = map[string]engine.Registration{"r1-w0": entry}
		p, stop := r.planner("a")
		r.submit(p, "j1", 1, single(8), 4*time.Second)
		time.Sleep(time.Second)
		stop()
		p, stop = r.planner("b")
		defer stop()
		r.await(p, "j1", workload.StateCompleted, 5*time.Second)
		r.Equal(w.Starts, 1)
	})
}

// Guards against a start that comes from a life of the worker that is not known yet, and is then taken for dead.
func TestStartInNewLifeIsNotRepeated(t *testing.T) {
	inBubble(t, func(r *rig) {
		p, stop := r.plannerOf(2)
		defer stop()
		time.Sleep(time.Second)
		for _, id := range r.IDs() {
			r.Set(id, (*site.Worker).Restart)
		}
		r.submit(p, "j1", 1, single(8), 3*time.Second)
		r.await(p, "j1", workload.StateCompleted, 5*time.Second)
		r.Equal(r.Worker("r1-w0").Starts+r.Worker("r1-w1").Starts, 1)
	})
}

// Guards against a start on a worker that has begun to leave since it was chosen.
func TestWorkerIsCheckedAgainBeforeTheOrder(t *testing.T) {
	inBubble(t, func(r *rig) {
		p, stop := r.plannerOf(1)
		defer stop()
		time.Sleep(time.Second)
		r.Store.SetRefusing(true)
		submitted := make(chan engine.Result, 1)
		go func() { submitted <- p.Submit(context.Background(), newJob("j1", 1, single(1))) }()
		time.Sleep(100 * time.Millisecond)
		r.Set("r1-w0", func(w *site.Worker) { w.Advert.Draining = true })
		r.List(r.Worker("r1-w0"))
		time.Sleep(140 * time.Millisecond)
		r.Store.SetRefusing(false)
		r.Equal((<-submitted).Verdict, engine.VerdictAccepted)
		time.Sleep(time.Second)
		r.Equal(r.Worker("r1-w0").Starts, 0)
	})
}

// Guards against a claim that succeeded and is given up because its answer was lost, so that nobody plans for a while.
func TestClaimWhoseAnswerIsLostHolds(t *testing.T) {
	inBubble(t, func(r *rig) {
		r.Store.SetLosing(true)
		term, err := engine.Claim(context.Background(), r.Store.Engine(), clockwork.NewRealClock(), engine.Holder{VM: "a", Boot: "b"}, engine.TermLength)
		r.NoErr(err)
		r.True(term != nil)
		r.Equal(term.Fence(), r.Store.Revision("clementinepier/planner"))
	})
}

// Guards against runs that are never given up because another worker answers at the address of theirs.
func TestRunsEndWhenAnotherWorkerHasTheAddress(t *testing.T) {
	inBubble(t, func(r *rig) {
		p, stop := r.plannerOf(2)
		defer stop()
		r.submit(p, "j1", 1, single(8), 3*time.Second)
		time.Sleep(time.Second)
		at := r.Where("j1")[0]
		r.Set(at, func(w *site.Worker) { w.Replaced = true })
		r.Unlist(r.Worker(at))
		r.await(p, "j1", workload.StateCompleted, 6*time.Second)
	})
}

// Guards against an end that the worker has forgotten before the store has it, so that a successor runs the task again.
func TestEndIsStoredBeforeTheWorkerForgetsIt(t *testing.T) {
	inBubble(t, func(r *rig) {
		p, stop := r.plannerOf(2)
		r.submit(p, "j1", 1, single(8), time.Second)
		time.Sleep(900 * time.Millisecond)
		r.Store.SetRefusing(true)
		time.Sleep(900 * time.Millisecond)
		stop()
		r.Store.SetRefusing(false)
		p, stop = r.planner("b")
		defer stop()
		r.await(p, "j1", workload.StateCompleted, 3*time.Second)
		r.Equal(r.Worker("r1-w0").Starts+r.Worker("r1-w1").Starts, 1)
	})
}

// Guards against runs that lapse because their worker has listed an end that the store cannot take.
func TestLeaseIsRenewedWhileAnEndCannotBeStored(t *testing.T) {
	inBubble(t, func(r *rig) {
		p, stop := r.plannerOf(1)
		defer stop()
		r.submit(p, "j1", 1, single(1), time.Second)
		r.submit(p, "j2", 1, single(1), 14*time.Second)
		time.Sleep(500 * time.Millisecond)
		r.Store.SetRefusing(true)
		time.Sleep(12 * time.Second)
		r.Store.SetRefusing(false)
		r.await(p, "j1", workload.StateCompleted, time.Second)
		r.await(p, "j2", workload.StateCompleted, 4*time.Second)
		r.Equal(r.Worker("r1-w0").Starts, 2)
	})
}

// Guards against jobs that are left behind when the lease of the planner is renewed late.
func TestJobsCompleteWhileRenewalsAreSlow(t *testing.T) {
	inBubble(t, func(r *rig) {
		r.AddWorkers("r1", 4)
		// The renewals are answered 40 ms after the planner has stopped to give orders.
		r.Store.KeepDelay = 466 * time.Millisecond
		p, stop := r.planner("a")
		defer stop()
		var ids []string
		for i := range 400 {
			id := fmt.Sprintf("j%d", i)
			r.Expect(id, single(0), 50*time.Millisecond)
			if p.Submit(context.Background(), newJob(id, 1, single(0))).Verdict == engine.VerdictAccepted {
				ids = append(ids, id)
			}
			time.Sleep(3 * time.Millisecond)
		}
		for _, id := range ids {
			r.await(p, id, workload.StateCompleted, 5*time.Second)
		}
	})
}

// Guards against a worker that is kept from work for good because its earlier life was leaving: the store's entry of that life
// arrives late, after an outage of the store, when the worker has answered in its new life already.
func TestOldEntryOfALeavingWorkerDoesNotKeepItsNewLifeFromWork(t *testing.T) {
	inBubble(t, func(r *rig) {
		p, stop := r.plannerOf(1)
		defer stop()
		r.submit(p, "j1", 1, single(1), 2*time.Second)
		r.await(p, "j1", workload.StateCompleted, 4*time.Second)
		w := r.Worker("r1-w0")
		leaving := w.Advert
		leaving.Draining = true
		r.Set("r1-w0", (*site.Worker).Restart)
		// The worker answers in its new life.
		r.submit(p, "j2", 1, single(1), time.Second)
		r.await(p, "j2", workload.StateCompleted, 4*time.Second)
		r.entries = map[string]engine.Registration{"r1-w0": leaving}
		r.List(w)
		time.Sleep(time.Second)
		r.entries = nil
		r.List(w)
		r.submit(p, "j3", 1, single(1), time.Second)
		r.await(p, "j3", workload.StateCompleted, 4*time.Second)
	})
}

// Guards against a caller who cannot try again because its job was written to a store that does not answer, as all entry VMs did
// in an outage of the store that also ended the planner's term.
func TestJobIsNotWrittenToAStoreThatDoesNotAnswer(t *testing.T) {
	inBubble(t, func(r *rig) {
		direct := &engine.DirectClient{Store: r.Store.Engine()}
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		defer cancel()
		r.Store.SetSilent(true)
		r.Equal(direct.Submit(ctx, newJob("j1", 1, single(1))).Verdict, engine.VerdictUnavailable)
		r.Store.SetSilent(false)
		for range 2 {
			r.Equal(direct.Submit(ctx, newJob("j1", 1, single(1))).Verdict, engine.VerdictAccepted)
		}
		p, stop := r.plannerOf(1)
		defer stop()
		r.Expect("j1", single(1), time.Second)
		r.await(p, "j1", workload.StateCompleted, 4*time.Second)
	})
}
