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

// Guards against a planner that waits for a place for its calls: with more workers than places, all of them slow, the calls and
// the control goroutine then wait for each other for ever, and nothing is stored any more.
func TestPlannerOfManySilentWorkersGoesOn(t *testing.T) {
	inBubble(t, func(r *rig) {
		r.AddWorkers("r1", 3000)
		for _, id := range r.IDs() {
			r.Set(id, func(w *site.Worker) { w.Silent = true })
		}
		r.AddWorkers("r2", 1)
		p, stop := r.planner("a")
		defer stop()
		for _, id := range []string{"a", "b", "c"} {
			from := time.Now()
			r.submit(p, id, 1, single(1), time.Second)
			r.True(time.Since(from) < 200*time.Millisecond)
			time.Sleep(time.Second)
		}
		for _, id := range []string{"a", "b", "c"} {
			r.await(p, id, workload.StateCompleted, 6*time.Second)
		}
	})
}

// Guards against a planner that decides nothing any more and goes on renewing its lease, so that no other one takes over.
func TestStalledPlannerLosesItsTerm(t *testing.T) {
	inBubble(t, func(r *rig) {
		r.AddWorkers("r1", 2)
		end := time.Now().Add(20 * time.Second)
		r.hold = func(name string) {
			if name == "a" {
				time.Sleep(time.Until(end))
			}
		}
		_, stopStalled := r.planner("a")
		defer stopStalled()
		time.Sleep(2500 * time.Millisecond)
		_, holder, err := engine.FindHolder(context.Background(), r.Store.Engine())
		r.NoErr(err)
		r.Equal(holder, int64(0))
		p, stop := r.planner("b")
		defer stop()
		r.submit(p, "j1", 1, single(1), time.Second)
		r.await(p, "j1", workload.StateCompleted, 15*time.Second)
	})
}

// acceptAll hands in jobs j0, j1 and so on at an interval, with the priorities in turn, without waiting for one before the next. It
// requires that all are accepted, and returns how long each took.
func (r *rig) acceptAll(p *engine.Planner, jobs int, interval time.Duration, priorities ...int) []time.Duration {
	r.t.Helper()
	type outcome struct {
		verdict engine.Verdict
		took    time.Duration
	}
	outcomes := make(chan outcome, jobs)
	for i := range jobs {
		id, priority := "j"+strconv.Itoa(i), priorities[i%len(priorities)]
		r.Expect(id, single(1), time.Second)
		go func() {
			from := time.Now()
			result := p.Submit(context.Background(), newJob(id, priority, single(1)))
			outcomes <- outcome{verdict: result.Verdict, took: time.Since(from)}
		}()
		time.Sleep(interval)
	}
	took := make([]time.Duration, 0, jobs)
	for range jobs {
		o := <-outcomes
		r.Equal(o.verdict, engine.VerdictAccepted)
		took = append(took, o.took)
	}
	return took
}

// Guards against jobs that wait for a slow store one batch after the other: at the load of the users' largest deployment more
// changes come up than one commit at a time takes, and callers gave up before their jobs were accepted.
func TestSlowStoreTakesTheLoad(t *testing.T) {
	inBubble(t, func(r *rig) {
		r.Store.CommitDelay = 300 * time.Millisecond
		r.AddWorkers("r1", 40)
		p, stop := r.planner("a")
		defer stop()
		const jobs = 300
		for _, took := range r.acceptAll(p, jobs, 10*time.Millisecond, 0, 1, 2) {
			r.True(took < time.Second)
		}
		for i := range jobs {
			r.await(p, "j"+strconv.Itoa(i), workload.StateCompleted, 20*time.Second)
		}
	})
}

// Guards against jobs whose callers cannot try again: under load, those that were sent to a store that has gone silent may or may not
// be stored, so that few may be sent before the silence is noticed.
func TestFewJobsAreSentToAStoreThatHasGoneSilent(t *testing.T) {
	inBubble(t, func(r *rig) {
		p, stop := r.plannerOf(2)
		defer stop()
		for i := range 20 {
			r.submit(p, "before"+strconv.Itoa(i), 1, single(1), time.Second)
		}
		r.Store.SetSilent(true)
		const jobs, interval = 60, 10 * time.Millisecond
		verdicts := make(chan engine.Verdict, jobs)
		for i := range jobs {
			go func() {
				ctx, cancel := context.WithTimeout(context.Background(), 2500*time.Millisecond)
				defer cancel()
				verdicts <- p.Submit(ctx, newJob("j"+strconv.Itoa(i), 1, single(1))).Verdict
			}()
			time.Sleep(interval)
		}
		count := map[engine.Verdict]int{}
		for range jobs {
			count[<-verdicts]++
		}
		r.True(count[engine.VerdictUnknown] <= 8)
		r.Equal(count[engine.VerdictUnknown]+count[engine.VerdictUnavailable], jobs)
	})
}

// Guards against jobs that are turned away, or wait, because of the answers that a store loses while it answers others.
func TestLostAnswersOfTheStoreHoldUpNoOthers(t *testing.T) {
	inBubble(t, func(r *rig) {
		p, stop := r.plannerOf(8)
		defer stop()
		r.Store.SetLoseEvery(3)
		const jobs = 60
		atOnce := 0
		for _, took := range r.acceptAll(p, jobs, 20*time.Millisecond, 1) {
			if took < 100*time.Millisecond {
				atOnce++
			}
		}
		// A third of the commits is lost, and each job of it waits for the time of a commit.
		r.True(atOnce >= jobs/2)
		for i := range jobs {
			r.await(p, "j"+strconv.Itoa(i), workload.StateCompleted, 20*time.Second)
		}
	})
}
