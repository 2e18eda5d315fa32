package engine

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"github.com/pkg/errors"

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
		is.NoErr(p.send(time.Second, send))
		time.Sleep(time.Second)
		is.Equal(p.send(time.Second, send), errTermOver)
		is.Equal(sent, 1)
	})
}

// Guards against commits that wait behind looks, and against calls that are forgotten when their class is full.
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
		p.call(classStore, func() func() { return func() { commits++ } })
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
		p.call(classStore, func() func() { panic("unexpected") })
		settle()
		var deposed *ErrDeposed
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
