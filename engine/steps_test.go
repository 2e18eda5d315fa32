package engine_test

import (
	"context"
	"strconv"
	"testing"
	"time"

	"clementinepier/engine"
	"clementinepier/standin/site"
	"clementinepier/workload"
)

// Guards against steps that start before the steps they wait for are done.
func TestStepWaitsForEarlierOnes(t *testing.T) {
	inBubble(t, func(r *rig) {
		p, stop := r.plannerOf(2)
		defer stop()
		second := single(1)
		second.After = []int{0}
		job := newJob("j1", 1, single(1))
		job.Steps = append(job.Steps, second)
		r.Expect("j1", job.Steps[0], 2*time.Second)
		r.Equal(p.Submit(context.Background(), job).Verdict, engine.VerdictAccepted)
		time.Sleep(1900 * time.Millisecond)
		r.Equal(len(r.Where("j1")), 1)
		r.await(p, "j1", workload.StateCompleted, 4*time.Second)
	})
}

// Guards against occurrences that start before their time, or that wait for each other.
func TestOccurrencesStartOnTime(t *testing.T) {
	inBubble(t, func(r *rig) {
		p, stop := r.plannerOf(2)
		defer stop()
		job := newJob("j1", 1, single(1))
		job.Repeat, job.FirstRun, job.Interval = 3, time.Now().Add(2*time.Second), time.Second
		r.Expect("j1", job.Steps[0], 2500*time.Millisecond)
		r.Equal(p.Submit(context.Background(), job).Verdict, engine.VerdictAccepted)
		for _, step := range []struct {
			after time.Duration
			runs  int
		}{{1900 * time.Millisecond, 0}, {400 * time.Millisecond, 1}, {time.Second, 2}, {time.Second, 3}} {
			time.Sleep(step.after)
			r.Equal(len(r.Where("j1")), step.runs)
		}
		r.await(p, "j1", workload.StateCompleted, 4*time.Second)
	})
}

// Guards against a lasting task that is not started again when it ends, and against one that outlives its cancelling.
func TestLastingTaskIsStartedAgainUntilItsJobIsCancelled(t *testing.T) {
	inBubble(t, func(r *rig) {
		p, stop := r.plannerOf(2)
		defer stop()
		lasting := single(1)
		lasting.LongRunning = true
		r.Lasting = true
		r.submit(p, "j1", 1, lasting, time.Second)
		time.Sleep(3500 * time.Millisecond)
		r.Equal(len(r.Where("j1")), 1)
		r.Equal(p.State(context.Background(), "j1").State, workload.StateRunning)
		r.Equal(p.Cancel(context.Background(), "j1").Verdict, engine.VerdictAccepted)
		time.Sleep(time.Second)
		r.Equal(len(r.Where("j1")), 0)
		r.Equal(p.State(context.Background(), "j1").State, workload.StateCancelled)
	})
}

// Guards against a job that is tried for ever, and against one that is given up too early.
func TestJobFailsAfterItsAttempts(t *testing.T) {
	inBubble(t, func(r *rig) {
		r.AddWorkers("r1", 6)
		for _, id := range r.IDs() {
			w := r.Worker(id)
			w.Fails = true
		}
		p, stop := r.planner("a")
		defer stop()
		r.submit(p, "j1", 1, gang(2, 1), time.Second)
		r.await(p, "j1", workload.StateFailed, 10*time.Second)
		starts := 0
		for _, id := range r.IDs() {
			w := r.Worker(id)
			starts += w.Starts
		}
		r.Equal(starts, 6)
	})
}

// Guards against a worker that fails all it starts and goes on getting work while others are free.
func TestFailingWorkerIsSetAside(t *testing.T) {
	inBubble(t, func(r *rig) {
		p, stop := r.plannerOf(3)
		defer stop()
		r.Worker("r1-w0").Fails = true
		for _, id := range []string{"a", "b", "c", "d", "e", "f", "g", "h"} {
			r.submit(p, id, 1, single(1), time.Second)
			time.Sleep(700 * time.Millisecond)
		}
		for _, id := range []string{"a", "b", "c", "d", "e", "f", "g", "h"} {
			r.await(p, id, workload.StateCompleted, 5*time.Second)
		}
		r.True(r.Worker("r1-w0").Starts <= 3)
	})
}

// Guards against a worker that was set aside for its failures and gets nothing ever again, though it is sound.
func TestWorkerThatWasSetAsideComesBack(t *testing.T) {
	inBubble(t, func(r *rig) {
		p, stop := r.plannerOf(1)
		defer stop()
		r.Set("r1-w0", func(w *site.Worker) { w.Fails = true })
		for _, id := range []string{"a", "b", "c"} {
			r.submit(p, id, 1, single(1), time.Second)
		}
		time.Sleep(20 * time.Second)
		// Each job tries it once, at once or as a probe.
		r.True(r.Worker("r1-w0").Starts <= 3)
		r.Set("r1-w0", func(w *site.Worker) { w.Fails = false })
		for _, id := range []string{"d", "e"} {
			r.submit(p, id, 1, single(1), time.Second)
		}
		for _, id := range []string{"d", "e"} {
			r.await(p, id, workload.StateCompleted, 20*time.Second)
		}
	})
}

// Guards against a task that stands still on one worker for ever.
func TestRunThatStandsStillIsMoved(t *testing.T) {
	inBubble(t, func(r *rig) {
		p, stop := r.plannerOf(2)
		defer stop()
		r.submit(p, "j1", 1, single(8), 2*time.Second)
		time.Sleep(100 * time.Millisecond)
		r.Set(r.Where("j1")[0], func(w *site.Worker) { w.Stands = true })
		r.await(p, "j1", workload.StateCompleted, 12*time.Second)
	})
}

// Guards against starts in a failure domain that operators have taken out.
func TestNothingStartsInAFailureDomainThatIsOut(t *testing.T) {
	inBubble(t, func(r *rig) {
		r.AddWorkers("r1", 1)
		r.AddWorkers("r2", 1)
		r.conf.Evacuated = map[string]bool{"fd-r1": true}
		p, stop := r.planner("a")
		defer stop()
		for _, id := range []string{"a", "b"} {
			r.submit(p, id, 1, single(8), time.Second)
		}
		for _, id := range []string{"a", "b"} {
			r.await(p, id, workload.StateCompleted, 5*time.Second)
		}
		r.Equal(r.Worker("r1-w0").Starts, 0)
	})
}

// Guards against urgent work that waits for borrowers in a burst, and against borrowers that are lost.
func TestUrgentJobTakesRoomFromBorrowers(t *testing.T) {
	inBubble(t, func(r *rig) {
		p, stop := r.plannerOf(2)
		defer stop()
		for _, id := range []string{"a", "b"} {
			r.submit(p, id, 2, single(8), 6*time.Second)
		}
		time.Sleep(time.Second)
		r.submit(p, "urgent", 0, gang(2, 4), time.Second)
		r.await(p, "urgent", workload.StateCompleted, 2500*time.Millisecond)
		for _, id := range []string{"a", "b"} {
			r.await(p, id, workload.StateCompleted, 16*time.Second)
		}
	})
}

// Guards against guaranteed work that cannot begin in time because other organisations' urgent jobs fill every worker.
func TestGuaranteeIsReclaimedFromUrgentBorrowers(t *testing.T) {
	inBubble(t, func(r *rig) {
		p, stop := r.plannerOf(2)
		defer stop()
		for _, id := range []string{"a", "b"} {
			borrower := newJob(id, 0, single(8))
			borrower.Organisation = "other"
			r.Expect(id, borrower.Steps[0], 20*time.Second)
			r.Equal(p.Submit(context.Background(), borrower).Verdict, engine.VerdictAccepted)
		}
		time.Sleep(time.Second)
		r.submit(p, "urgent", 0, gang(2, 8), time.Second)
		r.await(p, "urgent", workload.StateCompleted, 2500*time.Millisecond)
	})
}

// Guards against work that no worker could ever run and that waits until its caller gives up, and against the refusal of work that
// only has to wait.
func TestImpossibleWorkIsRefusedAtOnce(t *testing.T) {
	inBubble(t, func(r *rig) {
		p, stop := r.plannerOf(2)
		defer stop()
		r.submit(p, "busy", 1, gang(2, 8), 2*time.Second)
		label, spread := single(1), gang(3, 1)
		label.Label, spread.MaxTasksPerWorker = "absent", 1
		for id, step := range map[string]workload.Step{"large": single(9), "wide": gang(3, 8), "label": label, "spread": spread} {
			result := p.Submit(context.Background(), newJob(id, 1, step))
			r.Equal(result.Verdict, engine.VerdictRefused)
			r.True(result.RetryAfter > 0)
			r.Equal(p.State(context.Background(), id).Verdict, engine.VerdictAbsent)
		}
		for id, step := range map[string]workload.Step{"single": single(8), "gang": gang(2, 8), "many": {Tasks: 5, Need: single(8).Need}} {
			r.submit(p, id, 1, step, time.Second)
		}
		for _, id := range []string{"busy", "single", "gang", "many"} {
			r.await(p, id, workload.StateCompleted, 30*time.Second)
		}
	})
}

// Guards against urgent work that waits for a look whose answer was lost, though the worker has answered the stop that makes room.
func TestLostLookDoesNotHoldUpReclaimedRoom(t *testing.T) {
	inBubble(t, func(r *rig) {
		p, stop := r.plannerOf(1)
		defer stop()
		r.Set("r1-w0", func(w *site.Worker) { w.LoseLooks = true })
		time.Sleep(3 * time.Second)
		r.Set("r1-w0", func(w *site.Worker) { w.LoseLooks = false })
		r.submit(p, "borrower", 2, single(8), 6*time.Second)
		time.Sleep(time.Second)
		r.Equal(len(r.Where("borrower")), 1)
		// The look that is under way now is answered; the next one is lost.
		r.Set("r1-w0", func(w *site.Worker) { w.LoseLooks = true })
		time.Sleep(50 * time.Millisecond)
		r.submit(p, "urgent", 0, single(8), time.Second)
		r.Set("r1-w0", func(w *site.Worker) { w.LoseLooks = false })
		r.await(p, "urgent", workload.StateCompleted, 2*time.Second)
	})
}

// Guards against jobs that run out of attempts because a tenth of the workers fails all it starts while its reports are good: a gang
// meets one of them in most of its placements, until they are left alone.
func TestGangsOutliveWorkersThatFailAllTheyStart(t *testing.T) {
	inBubble(t, func(r *rig) {
		r.AddWorkers("r1", 60)
		for i, id := range r.IDs() {
			if i%10 == 0 {
				r.Set(id, func(w *site.Worker) { w.Fails = true })
			}
		}
		p, stop := r.planner("a")
		defer stop()
		const jobs = 20
		for i := range jobs {
			id := "j" + strconv.Itoa(i)
			step := gang(12, 4)
			r.Expect(id, step, time.Second)
			job := newJob(id, 1, step)
			job.MaxAttempts = 2
			r.Equal(p.Submit(context.Background(), job).Verdict, engine.VerdictAccepted)
			time.Sleep(100 * time.Millisecond)
		}
		time.Sleep(10 * time.Second)
		failed := 0
		for i := range jobs {
			if p.State(context.Background(), "j"+strconv.Itoa(i)).State != workload.StateCompleted {
				failed++
			}
		}
		t.Log(failed, "of", jobs, "jobs failed")
		r.True(failed <= jobs/10)
	})
}
