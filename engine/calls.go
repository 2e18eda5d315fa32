package engine

import (
	"context"
	"runtime/debug"
	"sync"
	"time"

	"github.com/panjf2000/ants/v2"
	"github.com/pkg/errors"
)

// callClass sorts the calls of the planner. Each class has places of its own, so that a full one holds up no other.
type callClass int

const (
	// classCommit is for commits.
	classCommit callClass = iota
	// classRead is for reads of single jobs.
	classRead
	// classOrder is for starts and stops.
	classOrder
	// classLook is for looks, of which each worker has one under way at most.
	classLook
	callClasses
)

// callPlaces bounds the calls of each class that are under way. A look holds its place for as long as a worker waits, so there
// are places for more workers than a planner has in the plans of the users (1,400).
var callPlaces = [callClasses]int{classCommit: maxCommits, classRead: 16, classOrder: 1024, classLook: 8192}

// maxHoldUp is how long ago an order may have been decided when it is sent; a process that is not paused takes a few milliseconds.
const maxHoldUp = 500 * time.Millisecond

// errNotSent is the outcome of an order that was not sent, because the term had ended or the order was old when its turn came.
var errNotSent = errors.New("the order came too late to be sent")

// calls runs calls beside the control goroutine, which never waits for one. All but the calls themselves run on the control
// goroutine.
type calls struct {
	pool *ants.Pool
	// underWay counts the calls that have not ended. It grows on the control goroutine only.
	underWay sync.WaitGroup
	// busy counts the places in use, and waiting has the calls without one, both by class.
	busy    [callClasses]int
	waiting [callClasses][]func() func()
}

func newCalls() (*calls, error) {
	// The places bound the pool.
	pool, err := ants.NewPool(-1)
	return &calls{pool: pool}, errors.Wrap(err, "create pool for calls")
}

// call runs f beside the control goroutine, and what f returns on it. A call whose class is full waits for its turn.
func (p *Planner) call(class callClass, f func() func()) {
	c := p.calls
	if c.busy[class] == callPlaces[class] {
		c.waiting[class] = append(c.waiting[class], f)
		return
	}
	c.busy[class]++
	c.underWay.Add(1)
	err := c.pool.Submit(func() {
		defer c.underWay.Done()
		result := p.guarded(f)
		p.post(func() {
			p.callEnded(class)
			result()
		})
	})
	if err != nil {
		// The pool refuses only after its release, when nobody waits for the result any more.
		c.underWay.Done()
		p.Log.Event("call-dropped", "error", err)
	}
}

// guarded runs a call. If it breaks an invariant, the term ends instead of the process: its result will never come.
func (p *Planner) guarded(f func() func()) (result func()) {
	defer func() {
		if reason := recover(); reason != nil {
			p.Log.Event("call-panicked", "reason", reason, "stack", string(debug.Stack()))
			result = func() { p.deposed = &ErrLostTerm{Reason: "a call ended unexpectedly"} }
		}
	}()
	return f()
}

// callEnded gives the place of a call to the next one of its class.
func (p *Planner) callEnded(class callClass) {
	c := p.calls
	c.busy[class]--
	if len(c.waiting[class]) == 0 {
		return
	}
	next := c.waiting[class][0]
	c.waiting[class] = c.waiting[class][1:]
	p.call(class, next)
}

// send makes a call to a worker that was decided at a time, unless the process was held up since, or the term has ended: what the
// order relies on may hold no more.
func (p *Planner) send(decided time.Time, timeout time.Duration, f func(ctx context.Context) error) error {
	if !p.holdsTerm() || p.Clock.Since(decided) > maxHoldUp {
		return errNotSent
	}
	ctx, cancel := context.WithTimeout(p.ctx, timeout)
	defer cancel()
	return f(ctx)
}

// release ends the pool once the calls that are under way have ended, or after releaseTimeout. The pool's own wait polls
// without a pause, which on one thread keeps the processor from what it waits for.
func (p *Planner) release() {
	ended := make(chan struct{})
	go func() {
		p.calls.underWay.Wait()
		close(ended)
	}()
	select {
	case <-ended:
	case <-p.Clock.After(releaseTimeout):
		p.Log.Event("calls-left-behind", "after", releaseTimeout)
	}
	p.calls.pool.Release()
}
