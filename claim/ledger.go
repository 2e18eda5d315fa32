package claim

import (
	"context"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"

	"clementinepier/job"
	"clementinepier/kvstore"
)

// Defaults of a Ledger.
const (
	// DefaultMinWriteInterval keeps 8 entry VMs with 16 busy shards near the writes a second that the store sustains.
	DefaultMinWriteInterval = 50 * time.Millisecond
	// DefaultRetention is how long settled claims are kept.
	DefaultRetention = 24 * time.Hour
	// DefaultMaxValueSize leaves room below the store's limit for the settling of claims that exist.
	DefaultMaxValueSize = 900_000
	// DefaultCallTimeout bounds one call of the store, which normally takes milliseconds.
	DefaultCallTimeout = time.Second
	// maxBackOff bounds the pause between calls, so that claims are made soon after an outage.
	maxBackOff = 500 * time.Millisecond
)

// errClosed is the cause when the ledger's Run has ended.
var errClosed = errors.New("ledger is closed")

// Ledger changes records with one goroutine for the control of all shards and one call in flight per shard. Its
// exported fields are set before Run.
type Ledger struct {
	Store            kvstore.Store
	Clock            clockwork.Clock
	MinWriteInterval time.Duration
	Retention        time.Duration
	// MaxValueSize is the largest value, in bytes, that a new claim may lead to.
	MaxValueSize int
	CallTimeout  time.Duration
	// SettleDelay is how long SettleEventually may wait for a claim of the same shard; 0 makes it the same as Settle.
	SettleDelay time.Duration
	// NewBackOff returns the pauses after failed calls and version conflicts.
	NewBackOff func() backoff.BackOff

	submitted chan *change
	withdrawn chan withdrawal
	replies   chan reply
	done      chan struct{}
	// Update makes a change and returns its result. NewLedger sets it to the queue that Run works on; tests replace it to
	// drive a ledger without goroutines.
	Update func(ctx context.Context, key job.Key, decide func(*Record) (*Record, error)) error
}

type withdrawal struct {
	change *change
	cause  error
}

type reply struct {
	call    call
	entry   kvstore.Entry
	version uint64
	err     error
}

// NewLedger returns a ledger with the default settings.
func NewLedger(store kvstore.Store, clock clockwork.Clock) *Ledger {
	l := &Ledger{
		Store: store, Clock: clock, MinWriteInterval: DefaultMinWriteInterval, Retention: DefaultRetention,
		MaxValueSize: DefaultMaxValueSize, CallTimeout: DefaultCallTimeout,
		NewBackOff: func() backoff.BackOff {
			b := backoff.NewExponentialBackOff()
			b.InitialInterval, b.MaxInterval = 10*time.Millisecond, maxBackOff
			return b
		},
		submitted: make(chan *change), withdrawn: make(chan withdrawal),
		// Every shard can have a reply without a reader when Run ends.
		replies: make(chan reply, ShardCount), done: make(chan struct{}),
	}
	l.Update = func(ctx context.Context, key job.Key, decide func(*Record) (*Record, error)) error {
		return l.queue(ctx, key, time.Time{}, decide)
	}
	return l
}

func (l *Ledger) committer() *committer {
	return &committer{minInterval: l.MinWriteInterval, retention: l.Retention, maxValue: l.MaxValueSize, newBackOff: l.NewBackOff}
}

// Done is closed when Run has ended; changes fail from then on.
func (l *Ledger) Done() <-chan struct{} { return l.done }

// Run makes the changes that are submitted until ctx ends. It returns when no call is in flight.
func (l *Ledger) Run(ctx context.Context) {
	defer close(l.done)
	b := l.committer()
	inFlight := 0
	for {
		calls, wake := b.due(l.Clock.Now())
		for _, c := range calls {
			inFlight++
			go l.send(ctx, c)
		}
		var timer clockwork.Timer
		var fired <-chan time.Time
		if !wake.IsZero() {
			timer = l.Clock.NewTimer(l.Clock.Until(wake))
			fired = timer.Chan()
		}
		select {
		case c := <-l.submitted:
			b.submit(c)
		case w := <-l.withdrawn:
			b.withdraw(w.change, w.cause)
		case r := <-l.replies:
			inFlight--
			b.handleReply(l.Clock.Now(), r)
		case <-fired:
		case <-ctx.Done():
			b.close()
			for ; inFlight > 0; inFlight-- {
				<-l.replies
			}
			return
		}
		if timer != nil {
			timer.Stop()
		}
	}
}

// send makes one call of the store and reports its end on the channel replies.
func (l *Ledger) send(ctx context.Context, c call) {
	ctx, cancel := clockwork.WithTimeout(ctx, l.Clock, l.CallTimeout)
	defer cancel()
	r := reply{call: c}
	if c.write {
		r.version, r.err = l.Store.CompareAndSwap(ctx, shardKey(c.shard), c.value, c.version)
	} else {
		r.entry, r.err = l.Store.Get(ctx, shardKey(c.shard))
	}
	l.replies <- r
}

func (b *committer) handleReply(now time.Time, r reply) {
	if r.call.write {
		b.writeReply(now, r.call, r.version, r.err)
	} else {
		b.readReply(now, r.call, r.entry, r.err)
	}
}

// close resolves every pending change.
func (b *committer) close() {
	for i := range b.shards {
		for _, c := range b.shards[i].pending {
			b.withdraw(c, errClosed)
		}
	}
}

// queue hands a change to Run and waits for its result.
func (l *Ledger) queue(ctx context.Context, key job.Key, notBefore time.Time, decide func(*Record) (*Record, error)) error {
	result := make(chan error, 1)
	c := &change{key: key, decide: decide, notBefore: notBefore, resolve: func(err error) { result <- err }}
	select {
	case l.submitted <- c:
	case <-ctx.Done():
		return &ErrStoreUnavailable{Key: key, Cause: ctx.Err()}
	case <-l.done:
		return &ErrStoreUnavailable{Key: key, Cause: errClosed}
	}
	select {
	case err := <-result:
		return err
	case <-l.done:
	case <-ctx.Done():
		select {
		case l.withdrawn <- withdrawal{change: c, cause: ctx.Err()}:
		case <-l.done:
		}
	}
	// Either the change was withdrawn, or Run resolved every pending change before it ended.
	return <-result
}

// Claim records an attempt at a request that has no record. It returns the existing record if there is one, and
// nil, nil if the claim is written. Other errors are *ErrStoreUnavailable and *ErrShardFull.
func (l *Ledger) Claim(ctx context.Context, r Record) (*Record, error) {
	r.State, r.At = StateClaimed, l.now()
	err := l.Update(ctx, r.Key, func(current *Record) (*Record, error) {
		switch {
		case current == nil:
			return &r, nil
		case current.isClaim(r):
			return nil, nil
		}
		return nil, &ErrConflict{Existing: *current}
	})
	return existing(err)
}

// Advance claims a later attempt than fromAttempt, whose record must have state StateNotRun. Numbers between the two
// are those of attempts that were given up before their claim; a number that is not later becomes the next one. Its
// results are those of Claim.
func (l *Ledger) Advance(ctx context.Context, key job.Key, fromAttempt int, next Record) (*Record, error) {
	next.Key, next.State, next.At = key, StateClaimed, l.now()
	next.Attempt = max(next.Attempt, fromAttempt+1)
	err := l.Update(ctx, key, func(current *Record) (*Record, error) {
		switch {
		case current == nil:
			return nil, &ErrClaimNotExist{Key: key}
		case current.isClaim(next):
			return nil, nil
		case current.Attempt == fromAttempt && current.State == StateNotRun:
			return &next, nil
		}
		return nil, &ErrConflict{Existing: *current}
	})
	return existing(err)
}

// Settle records how an attempt ended. A record that was settled as unknown may become done; no other settled record
// changes. It returns *ErrConflict, *ErrClaimNotExist or *ErrStoreUnavailable.
func (l *Ledger) Settle(ctx context.Context, key job.Key, attempt int, state RecordState) error {
	return l.Update(ctx, key, settlement(key, attempt, state, l.now()))
}

// SettleEventually is Settle for a caller that waits for nothing: the change waits for up to SettleDelay to travel with a
// claim, so that it takes no write of its own and does not make a claim wait for the interval between two writes.
// Meanwhile a retry of the request finds the attempt through its workers.
func (l *Ledger) SettleEventually(ctx context.Context, key job.Key, attempt int, state RecordState) error {
	if l.SettleDelay == 0 {
		return l.Settle(ctx, key, attempt, state)
	}
	now := l.now()
	return l.queue(ctx, key, now.Add(l.SettleDelay), settlement(key, attempt, state, now))
}

// settlement returns the decision that records how an attempt ended.
func settlement(key job.Key, attempt int, state RecordState, now time.Time) func(*Record) (*Record, error) {
	return func(current *Record) (*Record, error) {
		switch {
		case current == nil:
			return nil, &ErrClaimNotExist{Key: key}
		case current.Attempt == attempt && current.State == state:
			return nil, nil
		case current.Attempt == attempt && maySettle(current.State, state):
			next := *current
			next.State, next.At = state, now
			return &next, nil
		}
		return nil, &ErrConflict{Existing: *current}
	}
}

// Get reads the record of a request from the store.
func (l *Ledger) Get(ctx context.Context, key job.Key) (Record, error) {
	ctx, cancel := clockwork.WithTimeout(ctx, l.Clock, l.CallTimeout)
	defer cancel()
	e, err := l.Store.Get(ctx, shardKey(shardOf(key)))
	var v view
	if err == nil {
		v, err = decode(e.Version, e.Value)
	}
	if err != nil {
		return Record{}, &ErrStoreUnavailable{Key: key, Cause: err}
	}
	found, ok := v.records[key]
	if !ok {
		return Record{}, &ErrClaimNotExist{Key: key}
	}
	return found.record, nil
}

func (l *Ledger) now() time.Time { return l.Clock.Now().UTC() }

// isClaim reports whether r is the unsettled claim that was asked for.
func (r Record) isClaim(asked Record) bool {
	return r.State == StateClaimed && r.Attempt == asked.Attempt && r.Owner == asked.Owner && r.Nonce == asked.Nonce
}

func maySettle(from, to RecordState) bool {
	return from == StateClaimed || from == StateUnknown && to == StateDone
}

// existing turns a conflict into the record that caused it.
func existing(err error) (*Record, error) {
	var conflict *ErrConflict
	if errors.As(err, &conflict) {
		return &conflict.Existing, nil
	}
	return nil, err
}
