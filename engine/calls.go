package engine

import (
	"context"
	"runtime/debug"
	"sync"
	"time"

	"github.com/panjf2000/ants/v2"
	"github.com/pkg/errors"
)

// callClass groups the planner's calls by kind. Each class has its own slots, so that a full class does not delay the
// others.
type callClass int

const (
	// classCommit is for commits to the store.
	classCommit callClass = iota
	// classRead is for reads of single jobs from the store.
	classRead
	// classOrder is for orders to start or stop a run.
	classOrder
	// classPoll is for polls; each worker has at most one in flight, except after a lost response.
	classPoll
	callClassCount
)

// callSlots bounds the calls in flight of each class. A poll keeps its slot for as long as the worker waits, so there are
// more slots than workers in the largest planned deployment (1,400).
var callSlots = [callClassCount]int{classCommit: maxCommitsInFlight, classRead: 16, classOrder: 1024, classPoll: 8192}

// maxOrderAge is the maximum time between the decision on an order and its sending, which takes a few milliseconds unless
// the process is paused.
const maxOrderAge = 500 * time.Millisecond

// errNotSent is the result of an order that was not sent because the term had ended or the order was too old.
var errNotSent = errors.New("order not sent: the planner's term has ended or the order is too old")

// calls runs blocking calls outside the control goroutine, which never waits for one. Everything but the calls themselves
// runs on the control goroutine.
type calls struct {
	pool *ants.Pool
	// inFlight counts the calls that have not returned. Only the control goroutine adds to it.
	inFlight sync.WaitGroup
	// slotsUsed counts the slots in use, and queued has the calls that wait for a slot, both by class.
	slotsUsed [callClassCount]int
	queued    [callClassCount][]func() func()
}

func newCalls() (*calls, error) {
	// The pool needs no limit of its own, since callSlots bounds the calls.
	pool, err := ants.NewPool(-1)
	return &calls{pool: pool}, errors.Wrap(err, "create pool for calls")
}

// call runs f outside the control goroutine, and the function that f returns on it. A call whose class is full is queued.
func (p *Planner) call(class callClass, f func() func()) {
	c := p.calls
	if c.slotsUsed[class] == callSlots[class] {
		c.queued[class] = append(c.queued[class], f)
		return
	}
	c.slotsUsed[class]++
	c.inFlight.Add(1)
	err := c.pool.Submit(func() {
		defer c.inFlight.Done()
		result := p.runRecovered(f)
		p.post(func() {
			p.releaseSlot(class)
			result()
		})
	})
	if err != nil {
		// The pool rejects calls only after its release, when nothing waits for the result any more.
		c.inFlight.Done()
		p.Log.Event("call-dropped", "error", err)
	}
}

// runRecovered runs a call. A panic in it ends the term instead of the process, because the call's result will never arrive.
func (p *Planner) runRecovered(f func() func()) (result func()) {
	defer func() {
		if reason := recover(); reason != nil {
			p.Log.Event("call-panicked", "reason", reason, "stack", string(debug.Stack()))
			result = func() { p.lostTerm = &ErrLostTerm{Reason: "a call ended unexpectedly"} }
		}
	}()
	return f()
}

// releaseSlot passes the slot of a call that has returned to the next queued call of its class.
func (p *Planner) releaseSlot(class callClass) {
	c := p.calls
	c.slotsUsed[class]--
	if len(c.queued[class]) == 0 {
		return
	}
	next := c.queued[class][0]
	c.queued[class] = c.queued[class][1:]
	p.call(class, next)
}

// send makes a call to a worker that was decided on at the given time. It does not send if the term has ended or the process
// was paused since the decision, because the state that the decision relies on may be out of date.
func (p *Planner) send(decided time.Time, timeout time.Duration, f func(ctx context.Context) error) error {
	if !p.holdsTerm() || p.Clock.Since(decided) > maxOrderAge {
		return errNotSent
	}
	return p.sendQuery(decided, timeout, f)
}

// sendQuery makes a call that changes nothing at a worker, and so needs no term. It has the signature of send.
func (p *Planner) sendQuery(_ time.Time, timeout time.Duration, f func(ctx context.Context) error) error {
	ctx, cancel := context.WithTimeout(p.ctx, timeout)
	defer cancel()
	return f(ctx)
}

// releasePool releases the pool once the calls in flight have returned, or after releaseTimeout. The pool's own wait polls
// without a pause, which on one thread starves the goroutines that it waits for.
func (p *Planner) releasePool() {
	ended := make(chan struct{})
	go func() {
		p.calls.inFlight.Wait()
		close(ended)
	}()
	select {
	case <-ended:
	case <-p.Clock.After(releaseTimeout):
		p.Log.Event("calls-left-behind", "after", releaseTimeout)
	}
	p.calls.pool.Release()
}
