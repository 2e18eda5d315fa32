package engine

import (
	"context"
	"fmt"
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

// newCallPlanner returns a planner that can only make calls, and a function that waits for their results and applies them.
func newCallPlanner(t *testing.T) (*Planner, func()) {
	t.Helper()
	clock := clockwork.NewRealClock()
	calls, err := newCalls()
	if err != nil {
		t.Fatal(err)
	}
	p := &Planner{
		Clock: clock, Term: &Term{clock: clock, until: time.Now().Add(time.Second)}, calls: calls, inbox: newInbox(), ctx: context.Background(),
		misdirected: map[*workerState]bool{},
	}
	t.Cleanup(p.releasePool)
	return p, func() {
		synctest.Wait()
		for _, f := range p.inbox.take(nil) {
			f()
		}
	}
}

// Guards against sending an order after the term has ended, when the process was paused between the decision and the order.
func TestOrderIsNotSentAfterTermEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p, _ := newCallPlanner(t)
		sent := 0
		send := func(context.Context) error { sent++; return nil }
		is.NoErr(p.send(time.Now(), time.Second, send))
		time.Sleep(time.Second)
		is.Equal(p.send(time.Now(), time.Second, send), errNotSent)
		is.Equal(sent, 1)
	})
}

// Guards against sending an order that relies on the state before a pause of the process, although the term continues.
func TestOrderIsNotSentAfterProcessPause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p, _ := newCallPlanner(t)
		p.Term.until = time.Now().Add(time.Hour)
		decided := time.Now()
		time.Sleep(maxOrderAge + time.Millisecond)
		is.Equal(p.send(decided, time.Second, func(context.Context) error { return nil }), errNotSent)
	})
}

// Guards against acknowledging ends of an earlier incarnation to a worker that restarted while the planner's process was
// paused. The ends of the new incarnation have the same numbers, and tasks that were done ran twice (soak, seed 4111).
func TestEndsAreNotAcknowledgedWithoutRecentContact(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p, settle := newCallPlanner(t)
		p.Term.until = time.Now().Add(time.Hour)
		p.Metrics = &metrics.Set{}
		var requests []PollRequest
		p.Workers.Poll = func(_ context.Context, _ Target, o PollRequest) (PollResponse, error) {
			requests = append(requests, o)
			return PollResponse{}, errors.New("no answer")
		}
		w := &workerState{registration: Registration{ID: "w", Address: "w"}, runs: map[string]*run{}, registered: true, fenced: true, clock: 1, lastEnd: 40}
		w.identifiedAt = time.Now()
		p.poll(w, time.Now())
		settle()
		w.failingSince = time.Time{}
		time.Sleep(maxOrderAge + time.Millisecond)
		p.poll(w, time.Now())
		settle()
		is.Equal(len(requests), 2)
		is.Equal(requests[0].Acknowledged, int64(40))
		is.Equal(requests[1].Acknowledged, int64(0))
		is.Equal(requests[1].Wait, time.Duration(0))
	})
}

// Guards against leases that last longer than computed on the slowest clock, however long ago it was read.
func TestLeaseEndsByItsBoundOnTheSlowestClock(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p, _ := newCallPlanner(t)
		for _, age := range []time.Duration{0, maxClockAge, time.Hour} {
			w := &workerState{clock: WorkerTime(time.Minute), clockAt: p.Clock.Now()}
			time.Sleep(age)
			until := p.grantLease(w, 10*time.Second)
			ends := w.clockAt.Add(time.Duration(float64(until-w.clock) / (1 - maxClockDrift)))
			is.True(!ends.After(w.leasesEndBy.Add(-orderDelayMargin + time.Microsecond))) // rounding
			is.True(until >= w.earliestWorkerTime(p.Clock.Now())+WorkerTime(9*time.Second))
		}
	})
}

// Guards against commits that wait for polls or for reads of an unresponsive store, and against losing calls whose class is
// full.
func TestFullCallClassDoesNotDelayOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p, settle := newCallPlanner(t)
		polls, commits := 0, 0
		for range callSlots[classPoll] + 100 {
			p.call(classPoll, func() func() {
				time.Sleep(time.Second)
				return func() { polls++ }
			})
		}
		for range callSlots[classRead] + 1 {
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
		is.Equal(polls, callSlots[classPoll])
		time.Sleep(time.Second)
		settle()
		is.Equal(polls, callSlots[classPoll]+100)
	})
}

// Guards against a panic in a call that ends the process or leaves the planner waiting for the call's result for ever.
func TestPanicInCallEndsTerm(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p, settle := newCallPlanner(t)
		p.call(classCommit, func() func() { panic("unexpected") })
		settle()
		var lostTerm *ErrLostTerm
		is.True(errors.As(p.lostTerm, &lostTerm))
	})
}

// Guards against one job whose record cannot be encoded ending the planner, and then every successor.
func TestOnlyUnencodableJobIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p, _ := newCallPlanner(t)
		j := newJobState(workload.Record{Job: workload.Job{ID: "bad", Steps: []workload.Step{{Tasks: 1}}}}, time.Now())
		result := make(chan Result, 1)
		p.jobs, p.active = map[string]*jobState{"bad": j}, map[string]*jobState{"bad": j}
		p.dirty, p.waiters = map[*jobState]bool{j: true}, map[*jobState][]chan<- Result{j: {result}}
		p.rejectUnencodable(j, errors.New("cannot encode"))
		is.Equal((<-result).Verdict, VerdictRefused)
		is.Equal(len(p.jobs)+len(p.active)+len(p.dirty)+len(p.waiters), 0)
	})
}

// Guards against ending the runs of a worker because a call at its address was refused: the worker has moved, or is back, since the call was
// sent, or no other worker has reported its incarnation there since the last answer.
func TestRefusalAtEarlierAddressEndsNoRun(t *testing.T) {
	for name, c := range map[string]struct {
		move  func(p *Planner, w *workerState)
		taken bool
		ends  bool
	}{
		"moved":                           {move: func(_ *Planner, w *workerState) { w.registration.Address = "b" }, taken: true},
		"back":                            {move: func(p *Planner, w *workerState) { w.lastAnswer = p.Clock.Now() }, taken: true},
		"does not move":                   {},
		"does not move, another is there": {taken: true, ends: true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				p, settle := newCallPlanner(t)
				p.Metrics, p.breaker, p.dirty = &metrics.Set{}, breaker.New(), map[*jobState]bool{}
				p.Workers.Poll = func(context.Context, Target, PollRequest) (PollResponse, error) {
					time.Sleep(time.Second)
					return PollResponse{}, &ErrRefused{Reason: RefusedIncarnation}
				}
				w := &workerState{registration: Registration{ID: "w", Address: "a"}, answersAt: "a", runs: map[string]*run{}, registered: true}
				p.workers = map[string]*workerState{"w": w}
				j := newJobState(workload.Record{Job: workload.Job{ID: "j", Steps: []workload.Step{{Tasks: 1}}}}, time.Now())
				j.record.Progress = *workload.NewProgress(&j.record.Job)
				r := p.addRun(&group{job: j}, workload.TaskID{Job: "j"}, 1, w)
				r.phase = runRunning
				p.poll(w, p.Clock.Now())
				time.Sleep(400 * time.Millisecond)
				if c.taken {
					p.workers["x"] = &workerState{registration: Registration{ID: "x", Address: "a"}, answersAt: "a", identifiedSentAt: p.Clock.Now()}
				}
				time.Sleep(100 * time.Millisecond)
				if c.move != nil {
					c.move(p, w)
				}
				time.Sleep(time.Second)
				settle()
				is.Equal(r.ended, c.ends)
			})
		})
	}
}

// Guards against giving the term up because a new incarnation of a worker refuses a call that was meant for the earlier one.
func TestRefusedEarlierFencingTokenKeepsTerm(t *testing.T) {
	for _, raised := range []bool{true, false} {
		t.Run(fmt.Sprintf("raised %t", raised), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				p, settle := newCallPlanner(t)
				p.Metrics = &metrics.Set{}
				p.Workers.Poll = func(context.Context, Target, PollRequest) (PollResponse, error) {
					time.Sleep(100 * time.Millisecond)
					return PollResponse{}, &ErrRefused{Reason: RefusedFence}
				}
				w := &workerState{registration: Registration{ID: "w", Address: "a"}, fence: 5, incarnation: 1, runs: map[string]*run{}, registered: true}
				p.poll(w, p.Clock.Now())
				if raised {
					p.lastRevision = 6
					p.applyIncarnation(w, 2, reportedByWorker)
				}
				time.Sleep(200 * time.Millisecond)
				settle()
				is.Equal(p.lostTerm == nil, raised)
			})
		})
	}
}

// Guards against applying a response of a worker's earlier incarnation after one of the new incarnation, as after a pause of
// the planner's process. Its ends have higher numbers, so ends of the new incarnation were acknowledged before they were
// applied, and tasks ran twice (soak, seed 4111).
func TestResponseOfEarlierIncarnationIsIgnored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p, _ := newCallPlanner(t)
		p.Metrics, p.breaker = &metrics.Set{}, breaker.New()
		w := &workerState{registration: Registration{ID: "w", Address: "w"}, runs: map[string]*run{}, registered: true}
		sent := p.Clock.Now()
		earlier := PollResponse{WorkerStatus: WorkerStatus{Incarnation: 1, Clock: WorkerTime(time.Hour)}, Ends: []RunEnd{{Number: 40, Task: "j.0.0.0", Run: 1, Reason: EndStopped}}}
		p.handlePollResult(w, Target{ID: "w", Address: "w"}, sent, PollRequest{}, PollResponse{WorkerStatus: WorkerStatus{Incarnation: 2, Clock: WorkerTime(time.Second)}}, nil)
		p.handlePollResult(w, Target{ID: "w", Address: "w"}, sent, PollRequest{}, earlier, nil)
		is.Equal(w.lastEnd, int64(0))
		is.Equal(w.clock, WorkerTime(time.Second))
		// A run that only the earlier incarnation can have started ended with it. If an earlier start order got no response,
		// the new incarnation may have the run.
		for _, unconfirmed := range []bool{false, true} {
			j := newJobState(workload.Record{Job: workload.Job{ID: "j", Steps: []workload.Step{{Tasks: 1}}}}, time.Now())
			j.record.Progress = *workload.NewProgress(&j.record.Job)
			p.jobs, p.dirty = map[string]*jobState{"j": j}, map[*jobState]bool{}
			g := &group{job: j}
			r := p.addRun(g, workload.TaskID{Job: "j"}, 1, w)
			r.phase, r.unconfirmed = runOrdered, unconfirmed
			p.handleStartResult(r, sent, earlier.WorkerStatus, nil)
			is.Equal(r.ended, !unconfirmed)
			is.True(r.phase != runRunning)
		}
	})
}

// Guards against deciding on an entry that contradicts a worker by anything but the incarnation that the worker reports, or the report of
// another worker at its address: the poll that is to verify it may get no response, also while the worker responds to other calls, or be
// refused by an unhealthy worker, which does not report it, or by another server.
func TestEntryIsDecidedByWorkerItself(t *testing.T) {
	for name, c := range map[string]struct {
		answered    bool
		reported    int64
		err         error
		taken       bool
		decided     bool
		incarnation int64
	}{
		"no answer":                 {err: context.DeadlineExceeded, incarnation: 1},
		"answer to another call":    {answered: true, err: context.DeadlineExceeded, incarnation: 1},
		"refused as unhealthy":      {err: &ErrRefused{Reason: RefusedUnhealthy}, incarnation: 1},
		"refused by another server": {err: &ErrRefused{Reason: RefusedIncarnation}, incarnation: 1},
		"refused by another worker": {err: &ErrRefused{Reason: RefusedIncarnation}, taken: true, decided: true, incarnation: 2},
		"answer of the earlier":     {reported: 1, decided: true, incarnation: 1},
		"answer of the later":       {reported: 2, decided: true, incarnation: 2},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				p, _ := newCallPlanner(t)
				p.Metrics, p.breaker = &metrics.Set{}, breaker.New()
				w := &workerState{
					registration: Registration{ID: "w", Address: "w"}, answersAt: "w", incarnation: 1, reportedIncarnation: 1, runs: map[string]*run{},
					unverified: &unverifiedEntry{registration: Registration{ID: "w", Address: "w", Incarnation: 2}, arrivedAt: p.Clock.Now()},
				}
				p.workers = map[string]*workerState{"w": w}
				sent := p.Clock.Now()
				time.Sleep(time.Millisecond)
				if c.taken {
					p.workers["x"] = &workerState{registration: Registration{ID: "x", Address: "w"}, answersAt: "w", identifiedSentAt: p.Clock.Now()}
				}
				if c.answered {
					w.lastAnswer = p.Clock.Now()
				}
				response := PollResponse{WorkerStatus: WorkerStatus{Incarnation: c.reported}}
				p.handlePollResult(w, Target{ID: "w", Address: "w"}, sent, PollRequest{}, response, c.err)
				is.Equal(w.unverified == nil, c.decided)
				is.Equal(w.incarnation, c.incarnation)
			})
		})
	}
}

// Guards against ending a run that an incarnation of its worker has because an entry alone reports a later one.
func TestEntryAloneEndsNoRun(t *testing.T) {
	for source, ends := range map[incarnationSource]bool{reportedByEntry: false, reportedByWorker: true} {
		t.Run(string(source), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				p, _ := newCallPlanner(t)
				p.Metrics, p.breaker = &metrics.Set{}, breaker.New()
				w := &workerState{registration: Registration{ID: "w", Address: "w"}, incarnation: 1, runs: map[string]*run{}}
				j := newJobState(workload.Record{Job: workload.Job{ID: "j", Steps: []workload.Step{{Tasks: 1}}}}, time.Now())
				j.record.Progress = *workload.NewProgress(&j.record.Job)
				p.jobs, p.dirty = map[string]*jobState{"j": j}, map[*jobState]bool{}
				r := p.addRun(&group{job: j}, workload.TaskID{Job: "j"}, 1, w)
				r.phase, r.incarnation, r.placementChange = runRunning, 1, 1
				p.applyIncarnation(w, 2, source)
				is.Equal(r.ended, ends)
			})
		})
	}
}

// Guards against placing a task while a worker lists a run of it that nobody requested, because an entry alone reports a later incarnation.
func TestEntryAloneClearsNoOrphanRuns(t *testing.T) {
	for source, cleared := range map[incarnationSource]bool{reportedByEntry: false, reportedByWorker: true} {
		t.Run(string(source), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				p, _ := newCallPlanner(t)
				p.orphanTasks = map[string]int{}
				w := &workerState{registration: Registration{ID: "w", Address: "w"}, incarnation: 1, runs: map[string]*run{}}
				p.setOrphans(w, map[string]time.Time{"j.0.0.0": p.Clock.Now()})
				p.applyIncarnation(w, 2, source)
				is.Equal(p.orphanTasks["j.0.0.0"] == 0, cleared)
			})
		})
	}
}

// Guards against requests whose callers have given up and that the planner holds, or carries out, once it comes to them.
func TestRequestIsTakenBackWhenItsCallerGivesUp(t *testing.T) {
	is := is.New(t)
	p := &Planner{inbox: newInbox(), ctx: context.Background()}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	is.True(errors.Is(p.do(ctx, func() { t.Error("the request is carried out") }), errNotAccepted))
	<-p.inbox.arrived
	for _, f := range p.inbox.take(nil) {
		f()
	}
	// One that is being carried out may have had an effect.
	started, end := make(chan struct{}), make(chan struct{})
	ctx, cancel = context.WithCancel(context.Background())
	go func() {
		<-p.inbox.arrived
		for _, f := range p.inbox.take(nil) {
			f()
		}
		close(end)
	}()
	go func() {
		<-started
		cancel()
	}()
	err := p.do(ctx, func() {
		close(started)
		<-ctx.Done()
	})
	is.True(err == nil || errors.Is(err, context.Canceled))
	<-end
}
