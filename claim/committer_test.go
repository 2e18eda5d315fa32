package claim

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"pgregory.net/rapid"

	"clementinepier/job"
	"clementinepier/kvstore"
)

// TestMain sets a fixed seed for rapid, so that the result is the same in each run. Flags on the command line override it.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.nofailfile": "true", "rapid.steps": "100", "rapid.shrinktime": "5s", "rapid.checks": "500"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	flag.Parse()
	os.Exit(m.Run())
}

var errReplyLost = errors.New("reply lost")

// memoryStore is a store in memory without faults.
type memoryStore struct {
	entries map[string]kvstore.Entry
	// onWrite is called after every successful write.
	onWrite func(key string, value []byte)
	writes  int
	reads   int
}

func newMemoryStore() *memoryStore { return &memoryStore{entries: map[string]kvstore.Entry{}} }

func (s *memoryStore) get(key string) kvstore.Entry {
	s.reads++
	e := s.entries[key]
	e.Key = key
	return e
}

func (s *memoryStore) compareAndSwap(key string, value []byte, version uint64) (uint64, error) {
	s.writes++
	have := s.entries[key].Version
	if have != version {
		return 0, &kvstore.ErrVersionDiffers{Key: key, Want: version, Have: have}
	}
	s.entries[key] = kvstore.Entry{Key: key, Value: value, Version: version + 1}
	if s.onWrite != nil {
		s.onWrite(key, value)
	}
	return version + 1, nil
}

func constantBackOff() backoff.BackOff { return backoff.NewConstantBackOff(20 * time.Millisecond) }

// testKey returns a key of shard 1 for every third i, and one of shard 0 for the others.
func testKey(i int) job.Key {
	for n := 0; ; n++ {
		key := job.Key{Organisation: "org", ID: fmt.Sprint(i, "-", n)}
		if shard := shardOf(key); shard == 0 && i%3 < 2 || shard == 1 && i%3 == 2 {
			return key
		}
	}
}

// committerTest runs the committers of several owners with one store whose replies may be lost or late.
type committerTest struct {
	t          fatalReporter
	now        time.Time
	store      *memoryStore
	committers []*committer
	// ledgers create the changes. Their Update function submits them to the committer of the owner.
	ledgers     []*Ledger
	inFlight    []ownerCall
	lateWrites  []call
	openChanges map[*change]bool
	// written has the nonces that any version of the store contained, notWritten those of claims that were reported as not
	// written, which must never appear.
	written, notWritten map[string]bool
	// claimed counts the confirmed claims by key and attempt.
	claimed map[string]int
	// previous has the records of the store before the current write.
	previous map[job.Key]Record
	// lastWrite has the time of the last write by owner and shard.
	lastWrite map[string]time.Time
	nonces    int
}

type ownerCall struct {
	owner int
	call  call
}

// fatalReporter is the part of testing.T and rapid.T that the tests' helpers use.
type fatalReporter interface {
	Fatal(args ...any)
	Fatalf(format string, args ...any)
}

func newCommitterTest(t fatalReporter, owners int) *committerTest {
	r := &committerTest{
		t: t, now: time.Unix(1000, 0), store: newMemoryStore(), openChanges: map[*change]bool{}, written: map[string]bool{},
		notWritten: map[string]bool{}, claimed: map[string]int{}, previous: map[job.Key]Record{}, lastWrite: map[string]time.Time{},
	}
	r.store.onWrite = r.checkWrite
	for range owners {
		l := NewLedger(kvstore.Store{}, nil)
		l.NewBackOff = constantBackOff
		r.committers, r.ledgers = append(r.committers, l.committer()), append(r.ledgers, l)
	}
	return r
}

// checkWrite checks a new version of a shard against the one before. Its rules are independent of the code under test.
func (r *committerTest) checkWrite(shard string, value []byte) {
	v, err := decodeShard(1, value)
	if err != nil {
		r.t.Fatal(err)
	}
	for key, old := range r.previous {
		if _, ok := v.records[key]; !ok && shardKey(shardOf(key)) == shard {
			r.t.Fatalf("record %v is missing in the new version: %v", key, old)
		}
	}
	for key, e := range v.records {
		now, old := e.record, r.previous[key]
		r.written[now.Nonce] = true
		if r.notWritten[now.Nonce] {
			r.t.Fatalf("claim %s was reported as not written", now.Nonce)
		}
		allowed := old.Nonce == now.Nonce && (old.State == now.State || old.State == StateClaimed || old.State == StateUnknown && now.State == StateDone) ||
			now.State == StateClaimed && (old.Attempt == 0 && now.Attempt == 1 || old.State == StateNotRun && now.Attempt == old.Attempt+1)
		if !allowed {
			r.t.Fatalf("forbidden change of a record from %v to %v", old, now)
		}
		r.previous[key] = now
	}
}

// submit creates a change by calling f with the ledger of the owner, and submits it to the owner's committer. done gets its
// result.
func (r *committerTest) submit(owner int, f func(l *Ledger) error, done func(error)) {
	l := *r.ledgers[owner]
	l.Clock = fixedClock{now: r.now}
	l.Update = func(_ context.Context, key job.Key, decide func(*Record) (*Record, error)) error {
		c := &change{key: key, decide: decide}
		c.onComplete = func(err error) { delete(r.openChanges, c); done(err) }
		r.openChanges[c] = true
		r.committers[owner].submit(c)
		return nil
	}
	if err := f(&l); err != nil {
		r.t.Fatal(err)
	}
}

func (r *committerTest) claim(owner, key, attempt int) {
	r.nonces++
	rec := Record{Key: testKey(key), Attempt: 1, Owner: fmt.Sprint(owner), Nonce: fmt.Sprint("n", r.nonces)}
	r.submit(owner, func(l *Ledger) error {
		if attempt > 1 {
			_, err := l.Advance(context.Background(), rec.Key, attempt-1, rec)
			return err
		}
		_, err := l.Claim(context.Background(), rec)
		return err
	}, func(err error) {
		var unavailable *ErrStoreUnavailable
		switch {
		case err == nil:
			id := fmt.Sprint(key, "/", attempt)
			r.claimed[id]++
			if r.claimed[id] > 1 || !r.written[rec.Nonce] {
				r.t.Fatalf("claim %s confirmed %d times, written: %v", id, r.claimed[id], r.written[rec.Nonce])
			}
		case errors.As(err, &unavailable) && !unavailable.MayBeWritten, IsErrShardFull(err), IsErrClaimNotExist(err):
			r.notWritten[rec.Nonce] = true
			if r.written[rec.Nonce] {
				r.t.Fatalf("claim %s was written and reported as not written", rec.Nonce)
			}
		}
	})
}

func (r *committerTest) settle(owner, key, attempt int, state RecordState) {
	r.submit(owner, func(l *Ledger) error {
		return l.Settle(context.Background(), testKey(key), attempt, state)
	}, func(error) {})
}

func (r *committerTest) sendDueCalls() {
	for i, b := range r.committers {
		calls, _ := b.dueCalls(r.now)
		for _, c := range calls {
			for _, f := range r.inFlight {
				if f.owner == i && f.call.shard == c.shard {
					r.t.Fatal("two calls in flight for one shard")
				}
			}
			if id := fmt.Sprint(i, "/", c.shard); c.write {
				if last, ok := r.lastWrite[id]; ok && r.now.Sub(last) < DefaultMinWriteInterval {
					r.t.Fatal("two writes of a shard within the minimum interval")
				}
				r.lastWrite[id] = r.now
			}
			r.inFlight = append(r.inFlight, ownerCall{owner: i, call: c})
		}
	}
}

// deliver ends the i-th call in flight. The outcome is "ok", "dropped" (the call is lost), "reply lost", "late" (a write
// takes effect later) or "down" (the call is not sent).
func (r *committerTest) deliver(i int, outcome string) {
	f := r.inFlight[i]
	r.inFlight = append(r.inFlight[:i], r.inFlight[i+1:]...)
	key := shardKey(f.call.shard)
	out := reply{call: f.call, err: &kvstore.ErrUnavailable{Call: "call", Delivered: outcome != "down", Cause: errReplyLost}}
	switch {
	case outcome == "ok" && f.call.write:
		out.version, out.err = r.store.compareAndSwap(key, f.call.value, f.call.version)
	case outcome == "ok":
		out.entry, out.err = r.store.get(key), nil
	case outcome == "reply lost" && f.call.write:
		_, _ = r.store.compareAndSwap(key, f.call.value, f.call.version)
	case outcome == "late" && f.call.write:
		r.lateWrites = append(r.lateWrites, f.call)
	}
	r.committers[f.owner].handleReply(r.now, out)
}

func (r *committerTest) advanceTime(d time.Duration) { r.now = r.now.Add(d) }

// completeAll lets every call succeed until no change is open.
func (r *committerTest) completeAll() {
	for range 1000 {
		r.sendDueCalls()
		if len(r.inFlight) == 0 {
			if len(r.openChanges) == 0 {
				return
			}
			r.advanceTime(10 * time.Millisecond)
			continue
		}
		r.deliver(0, "ok")
	}
	r.t.Fatal("changes are not completed although the store answers")
}

// Guards against two confirmed claims of one attempt, records that another change removes, and wrong reports on whether a
// claim is written, after lost, late and failed writes.
func TestCommittersKeepClaimsUniqueUnderStoreFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := newCommitterTest(t, 3)
		owner, key := rapid.IntRange(0, 2), rapid.IntRange(0, 2)
		attempt := rapid.IntRange(1, 3)
		t.Repeat(map[string]func(*rapid.T){
			"claim": func(t *rapid.T) { r.claim(owner.Draw(t, "owner"), key.Draw(t, "key"), attempt.Draw(t, "attempt")) },
			"settle": func(t *rapid.T) {
				states := rapid.SampledFrom([]RecordState{StateDone, StateNotRun, StateNotRun, StateUnknown})
				r.settle(owner.Draw(t, "owner"), key.Draw(t, "key"), attempt.Draw(t, "attempt"), states.Draw(t, "state"))
			},
			"deliver": func(t *rapid.T) {
				if len(r.inFlight) == 0 {
					t.Skip()
				}
				outcomes := rapid.SampledFrom([]string{"ok", "ok", "ok", "dropped", "reply lost", "late", "down"})
				r.deliver(rapid.IntRange(0, len(r.inFlight)-1).Draw(t, "call"), outcomes.Draw(t, "outcome"))
			},
			"late write": func(t *rapid.T) {
				if len(r.lateWrites) == 0 {
					t.Skip()
				}
				i := rapid.IntRange(0, len(r.lateWrites)-1).Draw(t, "write")
				c := r.lateWrites[i]
				r.lateWrites = append(r.lateWrites[:i], r.lateWrites[i+1:]...)
				_, _ = r.store.compareAndSwap(shardKey(c.shard), c.value, c.version)
			},
			"withdraw": func(t *rapid.T) {
				b := r.committers[owner.Draw(t, "owner")]
				for i := range b.shards {
					for _, c := range b.shards[i].pending {
						b.withdraw(c, context.Canceled)
						return
					}
				}
				t.Skip()
			},
			"time": func(t *rapid.T) { r.advanceTime(time.Duration(rapid.IntRange(5, 60).Draw(t, "ms")) * time.Millisecond) },
			"":     func(*rapid.T) { r.sendDueCalls() },
		})
		r.completeAll()
		for _, c := range r.lateWrites {
			_, _ = r.store.compareAndSwap(shardKey(c.shard), c.value, c.version)
		}
	})
}

// Guards against a withdrawn claim that is reported as not written although it is, or still can be. In the first case, which
// the random test of the committers found, the claim is withdrawn between the second read and the second write.
func TestWithdrawnClaimIsNotWrittenAfterReport(t *testing.T) {
	cases := [][]string{{"ok", "reply lost", "ok"}, {"ok", "late", "ok", "down"}, {"ok", "late", "dropped"}, {"ok", "reply lost"}, {"ok", "down"}}
	for _, outcomes := range cases {
		r := newCommitterTest(t, 1)
		r.claim(0, 0, 1)
		for _, outcome := range outcomes {
			r.sendDueCalls()
			r.deliver(0, outcome)
			r.advanceTime(DefaultMinWriteInterval)
		}
		for _, c := range r.committers[0].shards[0].pending {
			r.committers[0].withdraw(c, context.Canceled)
		}
		for _, c := range r.lateWrites {
			_, _ = r.store.compareAndSwap(shardKey(c.shard), c.value, c.version)
		}
	}
}

// Guards against a claim and its settlement in one write. Then the claim is confirmed by a version in which it is already
// settled; the random test of the committers found this fault.
func TestClaimAndSettlementAreNotInOneWrite(t *testing.T) {
	r := newCommitterTest(t, 1)
	r.claim(0, 0, 1)
	r.settle(0, 0, 1, StateNotRun)
	r.completeAll()
	is.New(t).Equal(r.store.writes, 2)
}

// Guards against a deferred settlement that needs a write of its own although a claim of the shard is written, and against
// one that is never written.
func TestDeferredSettlementIsWrittenWithClaim(t *testing.T) {
	is := is.New(t)
	b := NewLedger(kvstore.Store{}, nil).committer()
	now := time.Unix(1000, 0)
	first, second := testKey(0), testKey(1)
	for i := 2; shardOf(second) != shardOf(first); i++ {
		second = testKey(i)
	}
	s := &b.shards[shardOf(first)]
	s.loaded, s.snapshot = true, snapshot{records: map[job.Key]storedRecord{}}
	add := func(key job.Key, wait time.Duration) {
		b.submit(&change{key: key, notBefore: now.Add(wait), onComplete: func(error) {}, decide: func(*Record) (*Record, error) {
			return &Record{Key: key, Attempt: 1}, nil
		}})
	}
	add(first, time.Second)
	calls, wake := b.dueCalls(now)
	is.Equal(len(calls), 0)
	is.Equal(wake, now.Add(time.Second)) // without a claim, it is written at notBefore
	add(second, 0)
	calls, _ = b.dueCalls(now)
	is.Equal(len(calls), 1)
	is.Equal(len(calls[0].results), 2) // the claim and the settlement are in one write
}

// fixedClock is a clock whose time never changes.
type fixedClock struct {
	clockwork.Clock
	now time.Time
}

func (c fixedClock) Now() time.Time { return c.now }

// Guards against a full shard that loses records or whose records can no longer be settled, and against settled records that
// are kept forever.
func TestFullShardKeepsRecordsAndExpiresSettledOnes(t *testing.T) {
	is := is.New(t)
	r := newCommitterTest(t, 1)
	r.store.onWrite = nil
	r.committers[0].maxValueSize = 2000
	full, ok := 0, 0
	var keys []job.Key
	for i := 0; len(keys) < 40; i++ {
		if shardOf(testKey(i)) != 0 {
			continue
		}
		rec := Record{Key: testKey(i), Attempt: 1, Owner: "o", Nonce: fmt.Sprint(i)}
		keys = append(keys, rec.Key)
		r.submit(0, func(l *Ledger) error { _, err := l.Claim(context.Background(), rec); return err }, func(err error) {
			if IsErrShardFull(err) {
				full++
			} else if err == nil {
				ok++
			}
		})
	}
	r.completeAll()
	v, err := decodeShard(1, r.store.entries[shardKey(0)].Value)
	is.NoErr(err)
	is.True(ok > 5 && full > 5 && ok+full == 40)
	is.Equal(len(v.records), ok)
	is.True(len(r.store.entries[shardKey(0)].Value) <= 2000)
	var settled error
	r.submit(0, func(l *Ledger) error { return l.Settle(context.Background(), keys[0], 1, StateNotRun) }, func(err error) { settled = err })
	r.completeAll()
	is.NoErr(settled)
	r.advanceTime(DefaultRetention + time.Second)
	r.submit(0, func(l *Ledger) error { return l.Settle(context.Background(), keys[1], 1, StateDone) }, func(err error) { settled = err })
	r.completeAll()
	is.NoErr(settled)
	v, err = decodeShard(1, r.store.entries[shardKey(0)].Value)
	is.NoErr(err)
	is.Equal(len(v.records), ok-1) // only the settled record is dropped
}
