package engine

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"

	"clementinepier/codec"
	"clementinepier/eventlog"
)

const (
	// TermLength is the lease under which an entry VM is the planner, unless the store's leases are longer. A successor waits at
	// most this long. It is the shortest lease of the users' store.
	TermLength = time.Second
	// keepsPerTerm is how many renewals are sent in the time of a lease. Each may go unanswered for half of that time, so that the
	// lease ends only if the answers of five in a row are lost; a renewal costs a tenth of a read.
	keepsPerTerm = 6
)

// Holder is the entry VM that is the planner.
type Holder struct {
	VM      string `cbor:"1,keyasint"`
	Address string `cbor:"2,keyasint"`
	// Boot differs between two processes of one VM.
	Boot string `cbor:"3,keyasint"`
	// Cores is the processor time of the entry VM, in cores.
	Cores float64 `cbor:"4,keyasint,omitempty"`
}

// Term is the time for which this process is the planner.
type Term struct {
	store Store
	clock clockwork.Clock
	lease int64
	// length is that of the lease.
	length time.Duration
	key    Item

	mu    sync.Mutex
	until time.Time
	err   error
	// givenUp is set once the lease was ended by this process.
	givenUp bool
}

// ErrLostTerm means that another entry VM may have become the planner.
type ErrLostTerm struct{ Reason string }

// Error implements error.
func (e *ErrLostTerm) Error() string { return "no longer the planner: " + e.Reason }

// Claim tries to become the planner under a lease of the given length. It returns nil and no error when another entry VM was first.
func Claim(ctx context.Context, store Store, clock clockwork.Clock, holder Holder, length time.Duration) (*Term, error) {
	value, err := codec.Marshal(holder)
	if err != nil {
		return nil, errors.Wrap(err, "encode holder")
	}
	from := clock.Now()
	lease, err := store.GrantLease(ctx, length)
	if err != nil {
		return nil, errors.Wrap(err, "grant lease")
	}
	t := &Term{store: store, clock: clock, lease: lease, length: length, until: from.Add(length)}
	revision, err := store.Commit(ctx, Txn{Writes: []Write{{Key: plannerKey, Value: value, Lease: lease}}})
	var conflict *ErrConflict
	switch {
	case errors.As(err, &conflict):
		for _, i := range conflict.Items {
			if i.Key == plannerKey && string(i.Value) == string(value) && i.Revision != 0 {
				// An earlier try of this process got no answer and was carried out; its lease will end it.
				return nil, errors.New("an earlier claim of this process is still in force")
			}
		}
		return nil, nil
	case err != nil:
		if revision = writtenAt(ctx, store, value); revision == 0 {
			return nil, errors.Wrap(err, "write the planner's key")
		}
	}
	t.key = Item{Key: plannerKey, Revision: revision}
	return t, nil
}

// writtenAt returns the revision of the planner's key if it has the value, and 0 otherwise. It tells whether a write that
// got no answer was carried out.
func writtenAt(ctx context.Context, store Store, value []byte) int64 {
	item, err := store.Get(ctx, plannerKey)
	if err != nil || string(item.Value) != string(value) {
		return 0
	}
	return item.Revision
}

// Key returns the key and revision that every write of this planner depends on.
func (t *Term) Key() Item { return t.key }

// Fence returns the number that workers are told; that of a later planner is higher.
func (t *Term) Fence() int64 { return t.key.Revision }

// Until returns the time before which no other process can become the planner.
func (t *Term) Until() time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.until
}

// Err returns why the term has ended, or nil.
func (t *Term) Err() error {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.err == nil && !t.clock.Now().Before(t.until) {
		t.err = &ErrLostTerm{Reason: fmt.Sprintf("the lease was not renewed in %s", t.length)}
	}
	return t.err
}

// Run renews the lease until ctx ends or the term has. A planner that is stalled, as the function tells, loses the term at
// once: a process that renews a lease without planning would keep all others from it. The channel receives one value.
func (t *Term) Run(ctx context.Context, log *eventlog.Log, stalled func() bool) <-chan error {
	done := make(chan error, 1)
	go func() {
		t.renew(ctx, log, stalled)
		done <- t.Err()
	}()
	return done
}

// renew sends renewals side by side, so that one whose answer is lost or late does not hold up the next.
func (t *Term) renew(ctx context.Context, log *eventlog.Log, stalled func() bool) {
	ticker := t.clock.NewTicker(t.length / keepsPerTerm)
	defer ticker.Stop()
	ended := make(chan struct{}, keepsPerTerm)
	underWay := 0
	for ctx.Err() == nil && t.Err() == nil {
		if stalled() {
			t.abandon(ctx, log)
			break
		}
		if underWay < keepsPerTerm {
			underWay++
			go func() {
				t.keep(ctx, log)
				ended <- struct{}{}
			}()
		}
		for waiting := true; waiting; {
			select {
			case <-ended:
				underWay--
			case <-ctx.Done():
				waiting = false
			case <-ticker.Chan():
				waiting = false
			}
		}
	}
	for ; underWay > 0; underWay-- {
		<-ended
	}
}

// abandon gives the term of a stalled planner up.
func (t *Term) abandon(ctx context.Context, log *eventlog.Log) {
	log.Event("planner-stalled", "limit", maxStall, "fence", t.Fence())
	callCtx, cancel := context.WithTimeout(ctx, t.length/2)
	defer cancel()
	if err := t.End(callCtx); err != nil {
		log.Event("term-not-ended", "error", err)
	}
}

func (t *Term) keep(ctx context.Context, log *eventlog.Log) {
	from := t.clock.Now()
	callCtx, cancel := context.WithTimeout(ctx, t.length/2)
	defer cancel()
	err := t.store.RenewLease(callCtx, t.lease)
	t.mu.Lock()
	defer t.mu.Unlock()
	switch {
	case err == nil:
		// The lease runs from the arrival of the call, which is not before it was sent.
		if until := from.Add(t.length); t.err == nil && until.After(t.until) {
			t.until = until
		}
	case t.err != nil:
	case IsErrNotExist(err):
		t.err = &ErrLostTerm{Reason: "the lease has ended"}
	case ctx.Err() == nil:
		log.Event("term-renewal-failed", "error", err, "left", t.until.Sub(t.clock.Now()))
	}
}

// End gives the term up, so that a successor need not wait for the lease. Only the first call does anything.
func (t *Term) End(ctx context.Context) error {
	t.mu.Lock()
	if t.err == nil {
		t.err = &ErrLostTerm{Reason: "the term was given up"}
	}
	t.until = t.clock.Now()
	given := t.givenUp
	t.givenUp = true
	t.mu.Unlock()
	if given {
		return nil
	}
	return t.store.RevokeLease(ctx, t.lease)
}

// FindHolder returns the planner and the revision of its key. The revision is 0 when there is none.
func FindHolder(ctx context.Context, store Store) (Holder, int64, error) {
	item, err := store.Get(ctx, plannerKey)
	if IsErrNotExist(err) {
		return Holder{}, 0, nil
	}
	if err != nil {
		return Holder{}, 0, err
	}
	var h Holder
	if err := codec.Unmarshal(item.Value, &h); err != nil {
		return Holder{}, item.Revision, errors.Wrap(err, "decode holder")
	}
	return h, item.Revision, nil
}

// RemoveHolder ends the claim of an earlier term, if the planner's key still has the revision.
func RemoveHolder(ctx context.Context, store Store, revision int64) error {
	_, err := store.Commit(ctx, Txn{Writes: []Write{{Key: plannerKey, Expected: revision, Delete: true}}})
	return errors.Wrap(err, "remove the planner's key")
}

// WatchHolder waits until the planner's key changes after the revision, or the wait is over.
func WatchHolder(ctx context.Context, store Store, after int64, wait time.Duration) (int64, bool, error) {
	events, at, err := store.Watch(ctx, plannerKey, after, wait)
	return at, len(events) > 0, err
}
