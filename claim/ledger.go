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
	// DefaultMinWriteInterval limits 8 entry VMs with 16 busy shards to about the number of writes per second that the
	// store sustains.
	DefaultMinWriteInterval = 50 * time.Millisecond
	// DefaultRetention is how long settled claims are kept.
	DefaultRetention = 24 * time.Hour
	// DefaultMaxValueSize leaves space below the store's limit, so that existing claims can be settled in a full shard.
	DefaultMaxValueSize = 900_000
	// DefaultCallTimeout bounds one call to the store, which normally takes milliseconds.
	DefaultCallTimeout = time.Second
	// maxBackOff bounds the pause between calls, so that claims are written soon after an outage of the store ends.
	maxBackOff = 500 * time.Millisecond
)

// errClosed is the cause of an ErrStoreUnavailable after Run has ended.
var errClosed = errors.New("ledger is closed")

// Ledger reads and changes the records of claims. One goroutine (Run) controls all shards, and at most one call per shard is
// in flight. Exported fields must be set before Run.
type Ledger struct {
	Store            kvstore.Store
	Clock            clockwork.Clock
	MinWriteInterval time.Duration
	Retention        time.Duration
	// MaxValueSize is the largest size, in bytes, that a value may get by a new claim.
	MaxValueSize int
	CallTimeout  time.Duration
	// SettleDelay is how long SettleEventually may wait for another change of the same shard; 0 makes it the same as Settle.
	SettleDelay time.Duration
	// NewBackOff returns a backoff for the pauses after failed calls and version conflicts.
	NewBackOff func() backoff.BackOff

	submitted chan *change
	withdrawn chan withdrawal
	replies   chan reply
	done      chan struct{}
	// Update makes a conditional change of a record and returns its result. NewLedger sets it to submit the change to Run;
	// tests replace it to use a ledger without goroutines.
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
		// The buffer takes one reply for each shard, so that no sender blocks when Run ends.
		replies: make(chan reply, ShardCount), done: make(chan struct{}),
	}
	l.Update = func(ctx context.Context, key job.Key, decide func(*Record) (*Record, error)) error {
		return l.enqueue(ctx, key, time.Time{}, decide)
	}
	return l
}

func (l *Ledger) committer() *committer {
	return &committer{minWriteInterval: l.MinWriteInterval, retention: l.Retention, maxValueSize: l.MaxValueSize, newBackOff: l.NewBackOff}
}

// Done returns a channel that is closed when Run has ended; changes fail from then on.
func (l *Ledger) Done() <-chan struct{} { return l.done }

// Run makes the submitted changes until ctx ends. It returns when no call is in flight.
func (l *Ledger) Run(ctx context.Context) {
	defer close(l.done)
	b := l.committer()
	inFlight := 0
	for {
		calls, wake := b.dueCalls(l.Clock.Now())
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

// send makes one call to the store and sends the reply to the channel replies.
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
		b.handleWriteReply(now, r.call, r.version, r.err)
	} else {
		b.handleReadReply(now, r.call, r.entry, r.err)
	}
}

// close withdraws every pending change.
func (b *committer) close() {
	for i := range b.shards {
		for _, c := range b.shards[i].pending {
			b.withdraw(c, errClosed)
		}
	}
}

// enqueue submits a change to Run and waits for its result.
func (l *Ledger) enqueue(ctx context.Context, key job.Key, notBefore time.Time, decide func(*Record) (*Record, error)) error {
	result := make(chan error, 1)
	c := &change{key: key, decide: decide, notBefore: notBefore, onComplete: func(err error) { result <- err }}
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
	// Run has completed the change: it was withdrawn, or Run has ended and completed every pending change before.
	return <-result
}

// Claim writes the claim of an attempt at a request that has no record. It returns nil, nil if the claim is written, and the
// existing record if another claim exists. Errors are *ErrStoreUnavailable and *ErrShardFull.
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
	return existingRecord(err)
}

// Advance writes the claim of a later attempt than fromAttempt, whose record must have state StateNotRun. The attempts
// between the two were abandoned before they were claimed. If next.Attempt is not later than fromAttempt, it is set to
// fromAttempt+1. The results are those of Claim; in addition, the error is *ErrClaimNotExist if there is no record.
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
	return existingRecord(err)
}

// Settle records how an attempt ended. A record that was settled as unknown may become done; no other settled record may
// change. Errors are *ErrConflict, *ErrClaimNotExist and *ErrStoreUnavailable.
func (l *Ledger) Settle(ctx context.Context, key job.Key, attempt int, state RecordState) error {
	return l.Update(ctx, key, settleDecision(key, attempt, state, l.now()))
}

// SettleEventually is like Settle, for callers that do not need the result soon. For up to SettleDelay, the change is only
// written together with another change of the shard. So it needs no write of its own, after which a claim would have to wait
// for MinWriteInterval. Meanwhile a retry of the request finds the attempt through its workers.
func (l *Ledger) SettleEventually(ctx context.Context, key job.Key, attempt int, state RecordState) error {
	if l.SettleDelay == 0 {
		return l.Settle(ctx, key, attempt, state)
	}
	now := l.now()
	return l.enqueue(ctx, key, now.Add(l.SettleDelay), settleDecision(key, attempt, state, now))
}

// settleDecision returns the decide function of a change that records how an attempt ended.
func settleDecision(key job.Key, attempt int, state RecordState, now time.Time) func(*Record) (*Record, error) {
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
	var v snapshot
	if err == nil {
		v, err = decodeShard(e.Version, e.Value)
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

// isClaim reports whether r is the requested claim and is not settled.
func (r Record) isClaim(requested Record) bool {
	return r.State == StateClaimed && r.Attempt == requested.Attempt && r.Owner == requested.Owner && r.Nonce == requested.Nonce
}

func maySettle(from, to RecordState) bool {
	return from == StateClaimed || from == StateUnknown && to == StateDone
}

// existingRecord returns the record that caused a conflict, or any other error unchanged.
func existingRecord(err error) (*Record, error) {
	var conflict *ErrConflict
	if errors.As(err, &conflict) {
		return &conflict.Existing, nil
	}
	return nil, err
}
