package engine

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"github.com/pkg/errors"

	"clementinepier/breaker"
	"clementinepier/metrics"
	"clementinepier/workload"
)

// bareCalls returns a planner that only makes calls, and a function that takes in their results.
func bareCalls(t *testing.T) (*Planner, func()) {
	t.Helper()
	clock := clockwork.NewRealClock()
	calls, err := newCalls()
	if err != nil {
		t.Fatal(err)
	}
	p := &Planner{Clock: clock, Term: &Term{clock: clock, until: time.Now().Add(time.Second)}, calls: calls, inbox: newInbox(), ctx: context.Background()}
	t.Cleanup(p.release)
	return p, func() {
		synctest.Wait()
		for _, f := range p.inbox.take(nil) {
			f()
		}
	}
}

// Guards against an order that is sent on a term that ran out while the process was held up between the decision and the order.
func TestOrderIsNotSentAfterTheTerm(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p, _ := bareCalls(t)
		sent := 0
		send := func(context.Context) error { sent++; return nil }
		is.NoErr(p.send(time.Now(), time.Second, send))
		time.Sleep(time.Second)
		is.Equal(p.send(time.Now(), time.Second, send), errNotSent)
		is.Equal(sent, 1)
	})
}

// Guards against an order that is sent on what was known before the process was paused, though its term goes on.
func TestOrderIsNotSentAfterAPause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p, _ := bareCalls(t)
		p.Term.until = time.Now().Add(time.Hour)
		decided := time.Now()
		time.Sleep(maxHoldUp + time.Millisecond)
		is.Equal(p.send(decided, time.Second, func(context.Context) error { return nil }), errNotSent)
	})
}

// Guards against a worker that has started anew and is told to forget the ends of its earlier life, after this process was paused: the
// ends of its new life have the same numbers, and tasks that were done ran twice (soak, seed 4111).
func TestNothingIsForgottenByAWorkerThatWasNotHeardOfLately(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p, settle := bareCalls(t)
		p.Term.until = time.Now().Add(time.Hour)
		p.Metrics = &metrics.Set{}
		var orders []PollRequest
		p.Workers.Poll = func(_ context.Context, _ Target, o PollRequest) (PollResponse, error) {
			orders = append(orders, o)
			return PollResponse{}, errors.New("no answer")
		}
		w := &workerState{advert: Registration{ID: "w", Address: "w"}, runs: map[string]*run{}, listed: true, known: true, clock: 1, seen: 40}
		w.answered = time.Now()
		p.look(w, time.Now())
		settle()
		w.failing = time.Time{}
		time.Sleep(maxHoldUp + time.Millisecond)
		p.look(w, time.Now())
		settle()
		is.Equal(len(orders), 2)
		is.Equal(orders[0].Acknowledged, int64(40))
		is.Equal(orders[1].Acknowledged, int64(0))
		is.Equal(orders[1].Wait, time.Duration(0))
	})
}

// Guards against commits that wait behind looks or behind reads of a silent store, and against calls that are forgotten when their class is full.
func TestFullClassHoldsUpNoOther(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p, settle := bareCalls(t)
		looks, commits := 0, 0
		for range callPlaces[classLook] + 100 {
			p.call(classLook, func() func() {
				time.Sleep(time.Second)
				return func() { looks++ }
			})
		}
		for range callPlaces[classRead] + 1 {
			p.call(classRead, func() func() {
				time.Sleep(time.Second)
				return func() {}
			})
		}
		p.call(classCommit, func() func() { return func() { commits++ } })
		settle()
		is.Equal(commits, 1)
		time.Sleep(time.Second)
		settle()
		is.Equal(looks, callPlaces[classLook])
		time.Sleep(time.Second)
		settle()
		is.Equal(looks, callPlaces[classLook]+100)
	})
}

// Guards against a call with an unexpected fault that ends the process, or whose result is waited for for ever.
func TestCallThatPanicsEndsTheTerm(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p, settle := bareCalls(t)
		p.call(classCommit, func() func() { panic("unexpected") })
		settle()
		var deposed *ErrLostTerm
		is.True(errors.As(p.deposed, &deposed))
	})
}

// Guards against a job of one caller that has no record ending the planner, and with it the next one.
func TestJobWithoutARecordIsRefusedAlone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p, _ := bareCalls(t)
		j := newJobState(workload.Record{Job: workload.Job{ID: "bad", Steps: []workload.Step{{Tasks: 1}}}}, time.Now())
		result := make(chan Result, 1)
		p.jobs, p.active = map[string]*jobState{"bad": j}, map[string]*jobState{"bad": j}
		p.dirty, p.waiters = map[*jobState]bool{j: true}, map[*jobState][]chan<- Result{j: {result}}
		p.dropUnencodable(j, errors.New("no form"))
		is.Equal((<-result).Verdict, VerdictRefused)
		is.Equal(len(p.jobs)+len(p.active)+len(p.dirty)+len(p.waiters), 0)
	})
}

// Guards against an answer of a worker's earlier life that is read after one of its new life, as when this process was paused: its ends
// have numbers that the new life has not reached, which was then told to forget ends that nobody had taken in, and tasks ran twice
// (soak, seed 4111).
func TestAnswerOfAnEarlierLifeIsLeftOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p, _ := bareCalls(t)
		p.Metrics, p.breaker = &metrics.Set{}, breaker.New()
		w := &workerState{advert: Registration{ID: "w", Address: "w"}, runs: map[string]*run{}, listed: true}
		sent := p.Clock.Now()
		earlier := PollResponse{WorkerStatus: WorkerStatus{Incarnation: 1, Clock: WorkerTime(time.Hour)}, Ends: []RunEnd{{Number: 40, Task: "j.0.0.0", Run: 1, Reason: EndStopped}}}
		p.looked(w, sent, PollRequest{}, PollResponse{WorkerStatus: WorkerStatus{Incarnation: 2, Clock: WorkerTime(time.Second)}}, nil)
		p.looked(w, sent, PollRequest{}, earlier, nil)
		is.Equal(w.seen, int64(0))
		is.Equal(w.clock, WorkerTime(time.Second))
		// A start that the earlier life confirmed has ended with it; one that may have been carried out twice has not for certain.
		for _, doubtful := range []bool{false, true} {
			j := newJobState(workload.Record{Job: workload.Job{ID: "j", Steps: []workload.Step{{Tasks: 1}}}}, time.Now())
			j.record.Progress = *workload.NewProgress(&j.record.Job)
			p.jobs, p.dirty = map[string]*jobState{"j": j}, map[*jobState]bool{}
			g := &group{job: j}
			r := p.newRun(g, workload.TaskID{Job: "j"}, 1, w)
			r.phase, r.doubtful = runOrdered, doubtful
			p.startAnswered(r, sent, earlier.WorkerStatus, nil)
			is.Equal(r.ended, !doubtful)
			is.True(r.phase != runRunning)
		}
	})
}
