package dispatch

import (
	"cmp"
	"context"
	crand "crypto/rand"
	"encoding/hex"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/panjf2000/ants/v2"
	"github.com/pkg/errors"

	"clementinepier/board"
	"clementinepier/claim"
	"clementinepier/gang"
	"clementinepier/job"
	"clementinepier/metrics"
	"clementinepier/placement"
	"clementinepier/trace"
	"clementinepier/worker"
)

const (
	// tick is the interval of the control work that is not caused by a message: renewals, deadlines, retries.
	tick = 50 * time.Millisecond
	// defaultPoolSize bounds the calls to workers in flight; it exceeds 64 connections to each of a rack's workers.
	defaultPoolSize = 2048
	// outcomeRetention is how long an outcome is kept for callers that ask again.
	outcomeRetention = 5 * time.Minute
	// maxFailures is the number of attempts with a failure of their own after which a request is not retried.
	maxFailures = 3
	nonceBytes  = 12
	// defaultMaxKept is a small part of an entry VM's memory.
	defaultMaxKept = 64 << 20
)

// ErrRequestConflict means that the request id is in use for another request.
var ErrRequestConflict = errors.New("the request id was used with another body")

// Dispatcher is the rack owner. Set the exported fields before Run.
type Dispatcher struct {
	Board   *board.Board
	Clock   clockwork.Clock
	Metrics *metrics.Set
	Tracer  *trace.Tracer
	// Workers returns the client of a worker of this failure domain.
	Workers func(name string) (*worker.Client, bool)
	Ledger  *claim.Ledger
	Settler *claim.Settler
	Limits  gang.Limits
	// CallTimeout bounds one call to a worker.
	CallTimeout time.Duration
	PoolSize    int
	// MaxKept bounds the bytes of the answers that are kept for callers that ask again; 0 means 64 MB.
	MaxKept int

	ctx context.Context
	// traffic runs calls to workers on the bounded pool, spawn other work that may block, and follower follows a worker
	// until its context ends. Tests replace them to choose the order. timeout bounds a call by the clock.
	traffic  func(work func()) error
	spawn    func(work func())
	follower func(ctx context.Context, w *watcher)
	timeout  func(ctx context.Context, length time.Duration) (context.Context, context.CancelFunc)
	newNonce func() string
	// ordered makes each go through the runs in the order of their keys, so that a test repeats itself exactly.
	ordered bool
	// The fields below are touched only by the control goroutine.
	runs     map[job.Key]*run
	renewals map[string][]owned
	watchers map[string]*watcher
	// orphans are started tasks of the watched workers that no run here owns.
	orphans map[orphan]worker.Status
	// kept counts the bytes of the answers of ended runs.
	kept int
	// running counts the accelerators in use per organisation; a request without accelerators counts as one.
	running map[string]int
	// anchors, guaranteed and weights follow the bundle; guaranteed counts the accelerators of anchors on owned racks.
	anchors    []placement.Anchor
	guaranteed map[string]int
	weights    map[string]int
	random     *rand.Rand
	// ramp limits the starts after the failure domain came back; nil before that.
	ramp *placement.Ramp
}

// Run starts the dispatcher and returns a channel that reports its end.
func (d *Dispatcher) Run(ctx context.Context) (<-chan error, error) {
	if d.PoolSize == 0 {
		d.PoolSize = defaultPoolSize
	}
	pool, err := ants.NewPool(d.PoolSize, ants.WithNonblocking(true))
	if err != nil {
		return nil, errors.Wrap(err, "create pool for worker calls")
	}
	d.traffic, d.spawn, d.follower = pool.Submit, func(work func()) { go work() }, d.follow
	d.init(ctx)
	done := make(chan error, 1)
	go func() {
		ticker := d.Clock.NewTicker(tick)
		defer ticker.Stop()
		defer pool.Release()
		for {
			select {
			case <-ctx.Done():
				done <- nil
				return
			case <-ticker.Chan():
				d.Board.Post(d.onTick)
			}
		}
	}()
	return done, nil
}

func (d *Dispatcher) init(ctx context.Context) {
	d.ctx = ctx
	d.MaxKept = cmp.Or(d.MaxKept, defaultMaxKept)
	d.newNonce = randomNonce
	d.timeout = func(ctx context.Context, length time.Duration) (context.Context, context.CancelFunc) {
		return clockwork.WithTimeout(ctx, d.Clock, length)
	}
	d.runs, d.renewals = map[job.Key]*run{}, map[string][]owned{}
	d.watchers, d.orphans = map[string]*watcher{}, map[orphan]worker.Status{}
	d.running, d.random = map[string]int{}, newRandom()
}

// onTick does the control work that is due.
func (d *Dispatcher) onTick(s *board.State) {
	now := d.Clock.Now()
	d.each(func(r *run) {
		switch {
		case r.phase == phaseEnded:
			if now.Sub(r.endedAt) > outcomeRetention {
				d.forget(r)
			}
		case r.phase == phaseDelayed && !now.Before(r.retryAt):
			d.enqueue(s, r)
		case r.phase == phaseResolving && !r.asking && !now.Before(r.askAt):
			d.ask(r)
		case r.phase == phaseActive && !r.wake.IsZero() && !now.Before(r.wake):
			d.gangEvent(s, r, r.gang, gang.Tick{})
		}
		d.expire(s, r, now)
	})
	for rack := range s.Owned {
		d.adopt(s, rack)
	}
	d.trim()
	d.schedule(s)
	d.flushRenewals()
}

// each calls f for every run.
func (d *Dispatcher) each(f func(r *run)) {
	if !d.ordered {
		for _, r := range d.runs {
			f(r)
		}
		return
	}
	keys := slices.SortedFunc(maps.Keys(d.runs), func(a, b job.Key) int { return strings.Compare(a.String(), b.String()) })
	for _, key := range keys {
		if r, ok := d.runs[key]; ok {
			f(r)
		}
	}
}

// Submit runs a request on this VM's racks and waits for its outcome. The request's timeout counts from now. When
// ctx ends before the outcome, a request that has not been started is dropped. An outcome with CodeOwnerLost means that
// the racks went to another owner. It returns ErrRequestConflict when the id is in use for another request.
func (d *Dispatcher) Submit(ctx context.Context, req job.Request, digest string) (job.Outcome, error) {
	waiter := make(chan job.Outcome, 1)
	var conflict error
	err := d.Board.Do(ctx, func(s *board.State) {
		conflict = d.accept(s, req, digest, trace.Inject(ctx), waiter)
	})
	if err != nil {
		// The request may still be accepted after ctx has ended.
		d.Board.Post(func(s *board.State) { d.abandon(s, req.Key(), waiter) })
		return job.Outcome{}, err
	}
	if conflict != nil {
		return job.Outcome{}, conflict
	}
	select {
	case outcome := <-waiter:
		return outcome, nil
	case <-ctx.Done():
		d.Board.Post(func(s *board.State) { d.abandon(s, req.Key(), waiter) })
		return job.Outcome{}, ctx.Err()
	}
}

// accept adds a waiter to the request's run, and creates the run if there is none.
func (d *Dispatcher) accept(s *board.State, req job.Request, digest, traceparent string, waiter chan job.Outcome) error {
	r, ok := d.runs[req.Key()]
	if ok && r.digest != digest {
		return ErrRequestConflict
	}
	// A new run goes on with the numbers of the ended one: task ids are not used twice, and what was started stays so.
	attempt, started := 0, 0
	if ok && r.phase == phaseEnded && mayRunAgain(r) {
		attempt, started = r.attempt, r.started
		d.forget(r)
		ok = false
	}
	if ok {
		d.Metrics.Add(metrics.RequestsAttached, 1)
		d.attach(r, req, waiter)
		return nil
	}
	now := d.Clock.Now()
	s.Retries.Request()
	r = &run{
		request: req, digest: digest, deadline: now.Add(req.Timeout.Std()), known: true, trace: traceparent,
		waiters: []chan<- job.Outcome{waiter}, attempt: attempt, started: started,
	}
	d.runs[req.Key()] = r
	d.enqueue(s, r)
	d.schedule(s)
	return nil
}

// mayRunAgain reports whether a caller that asks again gets a new run instead of the outcome that is kept.
func mayRunAgain(r *run) bool {
	return r.outcome.Result == job.NotRun || r.outcome.Result == job.Unknown && r.request.Idempotent
}

// attach adds a waiter to an existing run. A run adopted from workers learns the payload, so that it can be retried.
func (d *Dispatcher) attach(r *run, req job.Request, waiter chan<- job.Outcome) {
	if r.phase == phaseEnded {
		waiter <- r.outcome
		return
	}
	if !r.known {
		r.request, r.known = req, true
	}
	// A retry of a run that goes on after its deadline waits for its own timeout.
	if deadline := d.Clock.Now().Add(req.Timeout.Std()); deadline.After(r.deadline) {
		r.deadline = deadline
	}
	r.waiters = append(r.waiters, waiter)
}

// abandon removes a waiter. A run that nobody waits for and that holds nothing is dropped; a started one goes on, so
// that the caller's retry finds its answer.
func (d *Dispatcher) abandon(s *board.State, key job.Key, waiter chan<- job.Outcome) {
	r, ok := d.runs[key]
	if !ok {
		return
	}
	for i, w := range r.waiters {
		if w == waiter {
			r.waiters = append(r.waiters[:i], r.waiters[i+1:]...)
			break
		}
	}
	if len(r.waiters) == 0 && (r.phase == phaseQueued || r.phase == phaseDelayed) {
		d.end(s, r, job.NewNotRun(key, job.CodeCancelled, "nobody waits for the request", 0))
	}
}

// Cancel ends a request as soon as its state allows. It reports whether the request is known here.
func (d *Dispatcher) Cancel(ctx context.Context, key job.Key) (bool, error) {
	known := false
	err := d.Board.Do(ctx, func(s *board.State) {
		r, ok := d.runs[key]
		if !ok {
			return
		}
		known = true
		d.cancel(s, r, job.CodeCancelled, "cancelled by the caller")
	})
	if err != nil {
		// The change may still be applied and must not be read meanwhile.
		return false, err
	}
	return known, nil
}

// cancel ends a run. A running request that is not idempotent goes on: stopping it half way would leave its effects
// in an unknown state.
func (d *Dispatcher) cancel(s *board.State, r *run, code job.Code, detail string) {
	switch r.phase {
	case phaseQueued, phaseDelayed:
		d.end(s, r, job.NewNotRun(r.key(), code, detail, retryAfter(code)))
	case phaseActive:
		if r.gang.StartIssued() && !r.request.Idempotent {
			return
		}
		r.cancelled = true
		d.gangEvent(s, r, r.gang, gang.Cancel{Code: code})
	case phaseResolving:
		r.cancelled = true
	}
}

// expire ends a run whose deadline has passed.
func (d *Dispatcher) expire(s *board.State, r *run, now time.Time) {
	if r.phase == phaseEnded || now.Before(r.deadline) {
		return
	}
	if r.storeDown {
		d.cancel(s, r, job.CodeStoreUnavailable, "the request could not be claimed before its deadline")
	} else {
		d.cancel(s, r, job.CodeDeadlineExceeded, "the deadline passed")
	}
	if r.phase == phaseEnded || now.Before(r.deadline.Add(deadlineGrace)) {
		return
	}
	outcome := job.NewUnknown(r.key(), job.CodeDeadlineExceeded, "the request was still running at its deadline")
	if r.phase == phaseResolving {
		// A later retry resolves the claim again, because by then the attempt may have ended.
		d.drop(r, outcome)
		return
	}
	// The run goes on here, but its waiters must hear something.
	d.notify(r, outcome)
}

// deadlineGrace is the time that a started run gets for being stopped or settled before its waiters are told that
// its state is unknown.
const deadlineGrace = time.Second

// Find returns the outcome of a request, or whether it is in progress here.
func (d *Dispatcher) Find(ctx context.Context, key job.Key) (outcome job.Outcome, found, ended bool, err error) {
	var result job.Outcome
	var known, over bool
	err = d.Board.Do(ctx, func(*board.State) {
		if r, ok := d.runs[key]; ok {
			known, over, result = true, r.phase == phaseEnded, r.outcome
		}
	})
	if err != nil {
		return job.Outcome{}, false, false, err
	}
	return result, known, over, nil
}

// Running returns the number of requests with an attempt in progress. It is called by the control goroutine.
func (d *Dispatcher) Running() int {
	n := 0
	for _, r := range d.runs {
		if r.phase == phaseActive {
			n++
		}
	}
	return n
}

// Active returns the number of requests that have no outcome yet.
func (d *Dispatcher) Active(ctx context.Context) int {
	n := 0
	err := d.Board.Do(ctx, func(*board.State) {
		for _, r := range d.runs {
			if r.phase != phaseEnded {
				n++
			}
		}
	})
	if err != nil {
		return 0
	}
	return n
}

// callContext bounds a call to a worker that no command times.
func (d *Dispatcher) callContext() (context.Context, context.CancelFunc) {
	return d.timeout(d.ctx, d.CallTimeout)
}

func randomNonce() string {
	raw := make([]byte, nonceBytes)
	_, _ = crand.Read(raw)
	return hex.EncodeToString(raw)
}
