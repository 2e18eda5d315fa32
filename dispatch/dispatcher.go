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
	// RoomElsewhere reports whether another owner could start a request now; nil means never.
	RoomElsewhere func(req job.Request) bool
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
		case r.phase == phaseQueued:
			d.reroute(s, r, now)
		case r.phase == phaseActive && !r.wake.IsZero() && !now.Before(r.wake):
			d.gangEvent(s, r, r.gang, gang.Tick{})
		}
		d.expire(s, r, now)
	})
	for rack := range s.OwnedRacks {
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
