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
	// tickInterval is the interval of the periodic control work: renewals, deadlines and retries.
	tickInterval = 50 * time.Millisecond
	// defaultPoolSize bounds the calls to workers in flight. It is more than 64 connections to each worker of a rack.
	defaultPoolSize = 2048
	// outcomeRetention is how long an outcome is kept for callers that retry a request.
	outcomeRetention = 5 * time.Minute
	// maxFailures is the number of attempts that ended with a task failure after which a request is not retried.
	maxFailures = 3
	nonceBytes  = 12
	// defaultMaxKeptBytes (64 MB) is a small part of an entry VM's memory.
	defaultMaxKeptBytes = 64 << 20
)

// ErrRequestConflict means that the request id is already used for another request.
var ErrRequestConflict = errors.New("the request id was used with another body")

// Dispatcher queues, places and runs requests on the racks that this entry VM owns. Set the exported fields before Run.
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
	// HasCapacityElsewhere reports whether another rack owner has the capacity to start a request now; nil means never.
	HasCapacityElsewhere func(req job.Request) bool
	// CallTimeout bounds one call to a worker.
	CallTimeout time.Duration
	PoolSize    int
	// MaxKeptAnswerBytes bounds the bytes of the answers that are kept for callers that retry a request; 0 means 64 MB.
	MaxKeptAnswerBytes int

	ctx context.Context
	// runOnPool runs a call to a worker on the bounded pool, spawn runs other work that may block, and followWorker follows
	// a worker until its context ends. Tests replace them to control the order of execution. timeout returns a context that
	// ends after the given time on Clock.
	runOnPool    func(work func()) error
	spawn        func(work func())
	followWorker func(ctx context.Context, w *watcher)
	timeout      func(ctx context.Context, length time.Duration) (context.Context, context.CancelFunc)
	newNonce     func() string
	// sortedRuns makes forEachRun visit the runs in key order, so that tests are deterministic.
	sortedRuns bool
	// Only the control goroutine accesses the fields below.
	runs            map[job.Key]*run
	pendingRenewals map[string][]runCommand
	watchers        map[string]*watcher
	// orphans are the started tasks of the watched workers that belong to no run of this VM.
	orphans map[orphanKey]worker.Status
	// keptBytes is the total size of the answers of ended runs.
	keptBytes int
	// usedAccelerators counts the accelerators in use per organisation; a request without accelerators counts as one.
	usedAccelerators map[string]int
	// anchors, guaranteedAccelerators and weights come from the bundle. guaranteedAccelerators counts, per organisation, the
	// accelerators of anchors on owned racks.
	anchors                []placement.Anchor
	guaranteedAccelerators map[string]int
	weights                map[string]int
	random                 *rand.Rand
	// ramp limits the rate of starts after the failure domain has returned to service; nil before that.
	ramp *placement.Ramp
}

// Run starts the dispatcher and returns a channel that receives nil once ctx has ended.
func (d *Dispatcher) Run(ctx context.Context) (<-chan error, error) {
	if d.PoolSize == 0 {
		d.PoolSize = defaultPoolSize
	}
	pool, err := ants.NewPool(d.PoolSize, ants.WithNonblocking(true))
	if err != nil {
		return nil, errors.Wrap(err, "create pool for worker calls")
	}
	d.runOnPool, d.spawn, d.followWorker = pool.Submit, func(work func()) { go work() }, d.follow
	d.init(ctx)
	done := make(chan error, 1)
	go func() {
		ticker := d.Clock.NewTicker(tickInterval)
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
	d.MaxKeptAnswerBytes = cmp.Or(d.MaxKeptAnswerBytes, defaultMaxKeptBytes)
	d.newNonce = randomNonce
	d.timeout = func(ctx context.Context, length time.Duration) (context.Context, context.CancelFunc) {
		return clockwork.WithTimeout(ctx, d.Clock, length)
	}
	d.runs, d.pendingRenewals = map[job.Key]*run{}, map[string][]runCommand{}
	d.watchers, d.orphans = map[string]*watcher{}, map[orphanKey]worker.Status{}
	d.usedAccelerators, d.random = map[string]int{}, newRandom()
}

// onTick does the periodic control work that is due.
func (d *Dispatcher) onTick(s *board.State) {
	now := d.Clock.Now()
	d.forEachRun(func(r *run) {
		switch {
		case r.phase == phaseEnded:
			if now.Sub(r.endedAt) > outcomeRetention {
				d.removeEnded(r)
			}
		case r.phase == phaseDelayed && !now.Before(r.retryAt):
			d.enqueue(s, r)
		case r.phase == phaseResolving && !r.querying && !now.Before(r.nextQueryAt):
			d.querySettlement(r)
		case r.phase == phaseQueued:
			d.reroute(s, r, now)
		case r.phase == phaseActive && !r.nextTick.IsZero() && !now.Before(r.nextTick):
			d.stepGang(s, r, r.gang, gang.Tick{})
		}
		d.expireRun(s, r, now)
	})
	for rack := range s.OwnedRacks {
		d.adoptOrphans(s, rack)
	}
	d.trimAnswers()
	d.schedule(s)
	d.flushRenewals()
}

// forEachRun calls f for every run.
func (d *Dispatcher) forEachRun(f func(r *run)) {
	if !d.sortedRuns {
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

// Running returns the number of requests with an attempt in progress. Only the control goroutine may call it.
func (d *Dispatcher) Running() int {
	n := 0
	for _, r := range d.runs {
		if r.phase == phaseActive {
			n++
		}
	}
	return n
}

// Active returns the number of requests that have no outcome yet, or 0 when the control goroutine cannot be reached.
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

// callContext returns a context with CallTimeout, for calls to workers that do not carry out a gang command.
func (d *Dispatcher) callContext() (context.Context, context.CancelFunc) {
	return d.timeout(d.ctx, d.CallTimeout)
}

func randomNonce() string {
	raw := make([]byte, nonceBytes)
	_, _ = crand.Read(raw)
	return hex.EncodeToString(raw)
}
