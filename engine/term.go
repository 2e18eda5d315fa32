package engine

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"

	"clementinepier/codec"
	"clementinepier/eventlog"
)

const (
	// TermLength is the length of the planner's lease, unless the store's minimum lease is longer. A successor waits at most
	// this long. It is the shortest lease of the platform's store.
	TermLength = time.Second
	// renewalsPerTerm is how many renewals are sent during one lease length. Each may take half of that time, so that the
	// lease ends only if five responses in a row are lost. A renewal costs a tenth of a read.
	renewalsPerTerm = 6
)

// Holder identifies the entry VM that is the planner; it is the value of the planner's key.
type Holder struct {
	VM      string `cbor:"1,keyasint"`
	Address string `cbor:"2,keyasint"`
	// Boot distinguishes processes of one VM.
	Boot string `cbor:"3,keyasint"`
	// Cores is the processor capacity of the entry VM, in cores.
	Cores float64 `cbor:"4,keyasint,omitempty"`
	// Lease is the lease of the planner's key. It distinguishes the claims of one process.
	Lease int64 `cbor:"5,keyasint,omitempty"`
}

// sameProcess reports whether two claims are of the same process.
func (h Holder) sameProcess(o Holder) bool {
	return h.VM == o.VM && h.Address == o.Address && h.Boot == o.Boot
}

// Term is the period for which this process is the planner: it holds the planner's key under a lease.
type Term struct {
	store Store
	clock clockwork.Clock
	lease int64
	// length is the length of the lease.
	length time.Duration
	key    Item

	mu    sync.Mutex
	until time.Time
	err   error
	// released is set once this process has ended the lease.
	released bool
}

// ErrLostTerm means that the term has ended and another entry VM may have become the planner.
type ErrLostTerm struct{ Reason string }

// Error implements error.
func (e *ErrLostTerm) Error() string { return "no longer the planner: " + e.Reason }

// Claim tries to become the planner under a lease of the given length. It returns nil and no error if another entry VM is
// the planner.
func Claim(ctx context.Context, store Store, clock clockwork.Clock, holder Holder, length time.Duration) (*Term, error) {
	start := clock.Now()
	lease, err := store.GrantLease(ctx, length)
	if err != nil {
		return nil, errors.Wrap(err, "grant lease")
	}
	// An earlier claim that got no response may be executed now. Its key is under its own lease, which this term does not renew.
	holder.Lease = lease
	value, err := codec.Marshal(holder)
	if err != nil {
		return nil, errors.Wrap(err, "encode holder")
	}
	t := &Term{store: store, clock: clock, lease: lease, length: length, until: start.Add(length)}
	revision, err := store.Commit(ctx, Txn{Writes: []Write{
		{Key: plannerKey, Value: value, Lease: lease},
		{Key: termKey, Value: value, Expected: AnyRevision},
	}})
	var conflict *ErrConflict
	switch {
	case errors.As(err, &conflict):
		for _, i := range conflict.Items {
			var other Holder
			if i.Key == plannerKey && i.Revision != 0 && codec.Unmarshal(i.Value, &other) == nil && other.sameProcess(holder) {
				// An earlier claim of this process got no response and was executed; the key is deleted when its lease ends.
				return nil, errors.New("an earlier claim of this process is still in force")
			}
		}
		return nil, nil
	case err != nil:
		if revision = revisionIfWritten(ctx, store, value); revision == 0 {
			return nil, errors.Wrap(err, "write the planner's key")
		}
	}
	t.key = Item{Key: plannerKey, Revision: revision}
	return t, nil
}

// revisionIfWritten returns the revision of the planner's key if it has the value, and 0 otherwise. It shows whether a write
// that got no response was executed.
func revisionIfWritten(ctx context.Context, store Store, value []byte) int64 {
	item, err := store.Get(ctx, plannerKey)
	if err != nil || string(item.Value) != string(value) {
		return 0
	}
	return item.Revision
}

// Key returns the planner's key and its revision, which are a precondition of every write of this planner.
func (t *Term) Key() Item { return t.key }

// newest returns the item that the store has as long as no later term has begun, also when this one has ended.
func (t *Term) newest() Item { return Item{Key: termKey, Revision: t.key.Revision} }

// Fence returns the fencing token that is sent with every order. A later planner has a higher one, and workers refuse orders
// with a lower one than they have seen.
func (t *Term) Fence() int64 { return t.key.Revision }

// Until returns the time before which no other process can become the planner.
func (t *Term) Until() time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.until
}

// Err returns why the term has ended, or nil. A term whose lease could not be renewed in time is suspended, not ended: no
// orders may be sent after Until. It continues if a later renewal succeeds, because then the planner's key was never free.
func (t *Term) Err() error {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.err
}

// Run renews the lease until ctx or the term ends. It ends the term as soon as stalled reports true, because a process that
// renews the lease without planning would keep other entry VMs from becoming the planner. The channel receives the value of
// Err.
func (t *Term) Run(ctx context.Context, log *eventlog.Log, stalled func() bool) <-chan error {
	done := make(chan error, 1)
	go func() {
		t.renewLoop(ctx, log, stalled)
		done <- t.Err()
	}()
	return done
}

// renewLoop sends renewals concurrently, so that a lost or late response does not delay the next renewal.
func (t *Term) renewLoop(ctx context.Context, log *eventlog.Log, stalled func() bool) {
	ticker := t.clock.NewTicker(t.length / renewalsPerTerm)
	defer ticker.Stop()
	ended := make(chan struct{}, renewalsPerTerm)
	inFlight := 0
	for ctx.Err() == nil && t.Err() == nil {
		if stalled() {
			t.stepDown(ctx, log)
			break
		}
		if inFlight < renewalsPerTerm {
			inFlight++
			go func() {
				t.renewOnce(ctx, log)
				ended <- struct{}{}
			}()
		}
		for waiting := true; waiting; {
			select {
			case <-ended:
				inFlight--
			case <-ctx.Done():
				waiting = false
			case <-ticker.Chan():
				waiting = false
			}
		}
	}
	for ; inFlight > 0; inFlight-- {
		<-ended
	}
}

// stepDown ends the term of a stalled planner.
func (t *Term) stepDown(ctx context.Context, log *eventlog.Log) {
	log.Event("planner-stalled", "limit", maxStall, "fence", t.Fence())
	callCtx, cancel := context.WithTimeout(ctx, t.length/2)
	defer cancel()
	if err := t.End(callCtx); err != nil {
		log.Event("term-not-ended", "error", err)
	}
}

func (t *Term) renewOnce(ctx context.Context, log *eventlog.Log) {
	sent := t.clock.Now()
	callCtx, cancel := context.WithTimeout(ctx, t.length/2)
	defer cancel()
	err := t.store.RenewLease(callCtx, t.lease)
	t.mu.Lock()
	defer t.mu.Unlock()
	switch {
	case err == nil:
		// The lease is extended from the arrival of the call, which cannot precede its sending.
		if until := sent.Add(t.length); t.err == nil && until.After(t.until) {
			if now := t.clock.Now(); now.After(t.until) && until.After(now) {
				log.Event("term-resumed", "fence", t.key.Revision, "after", now.Sub(t.until))
			}
			t.until = until
		}
	case t.err != nil:
	case IsErrNotExist(err):
		t.err = &ErrLostTerm{Reason: "the lease has ended"}
	case ctx.Err() == nil:
		log.Event("term-renewal-failed", "error", err, "left", t.until.Sub(t.clock.Now()))
	}
}

// End ends the term and revokes its lease, so that a successor need not wait for the lease to end. Only the first call has
// an effect.
func (t *Term) End(ctx context.Context) error {
	t.mu.Lock()
	if t.err == nil {
		t.err = &ErrLostTerm{Reason: "the planner has ended its term"}
	}
	t.until = t.clock.Now()
	released := t.released
	t.released = true
	t.mu.Unlock()
	if released {
		return nil
	}
	return t.store.RevokeLease(ctx, t.lease)
}

// FindHolder returns the planner and the revision of its key. The revision is 0 if there is no planner.
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

// RemoveHolder deletes the planner's key of an earlier term if it still has the given revision.
func RemoveHolder(ctx context.Context, store Store, revision int64) error {
	_, err := store.Commit(ctx, Txn{Writes: []Write{{Key: plannerKey, Expected: revision, Delete: true}}})
	return errors.Wrap(err, "remove the planner's key")
}

// WatchHolder waits until the planner's key changes after a revision, or the wait is over. It returns the revision to
// continue from, and whether the key has changed.
func WatchHolder(ctx context.Context, store Store, after int64, wait time.Duration) (int64, bool, error) {
	events, revision, err := store.Watch(ctx, plannerKey, after, wait)
	return revision, len(events) > 0, err
}
