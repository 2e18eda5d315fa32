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

// TestMain fixes rapid's seed, so that the verdict is the same in each run. The command line overrides it.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.nofailfile": "true", "rapid.steps": "100", "rapid.shrinktime": "5s", "rapid.checks": "500"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	flag.Parse()
	os.Exit(m.Run())
}

var errLost = errors.New("reply lost")

// values is a store without faults; onWrite sees every write.
type values struct {
	entries map[string]kvstore.Entry
	onWrite func(key string, value []byte)
	writes  int
	reads   int
}

func newValues() *values { return &values{entries: map[string]kvstore.Entry{}} }

func (s *values) get(key string) kvstore.Entry {
	s.reads++
	e := s.entries[key]
	e.Key = key
	return e
}

func (s *values) swap(key string, value []byte, version uint64) (uint64, error) {
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

// testKey returns keys of shard 0 and, for every third i, of shard 1.
func testKey(i int) job.Key {
	for n := 0; ; n++ {
		key := job.Key{Organisation: "org", ID: fmt.Sprint(i, "-", n)}
		if shard := shardOf(key); shard == 0 && i%3 < 2 || shard == 1 && i%3 == 2 {
			return key
		}
	}
}

// committerRun drives committers of several owners against one store whose replies are lost or late.
type committerRun struct {
	t          failer
	now        time.Time
	store      *values
	committers []*committer
	// ledgers only make the changes; their do submits to the committer.
	ledgers []*Ledger
	flights []flight
	late    []call
	open    map[*change]bool
	// written has the nonces that any version of the store had, refused those that must never appear.
	written, refused map[string]bool
	// claimed counts the claims that were confirmed, by key and attempt.
	claimed   map[string]int
	previous  map[job.Key]Record
	lastWrite map[string]time.Time
	nonces    int
}

type flight struct {
	owner int
	call  call
}

type failer interface {
	Fatal(args ...any)
	Fatalf(format string, args ...any)
}

func newCommitterRun(t failer, owners int) *committerRun {
	r := &committerRun{
		t: t, now: time.Unix(1000, 0), store: newValues(), open: map[*change]bool{}, written: map[string]bool{},
		refused: map[string]bool{}, claimed: map[string]int{}, previous: map[job.Key]Record{}, lastWrite: map[string]time.Time{},
	}
	r.store.onWrite = r.check
	for range owners {
		l := NewLedger(kvstore.Store{}, nil)
		l.NewBackOff = constantBackOff
		r.committers, r.ledgers = append(r.committers, l.committer()), append(r.ledgers, l)
	}
	return r
}

// check compares every version of the store with the one before, by rules stated again here.
func (r *committerRun) check(shard string, value []byte) {
	v, err := decode(1, value)
	if err != nil {
		r.t.Fatal(err)
	}
	for key, old := range r.previous {
		if _, ok := v.records[key]; !ok && shardKey(shardOf(key)) == shard {
			r.t.Fatalf("record %v lost: %v", key, old)
		}
	}
	for key, e := range v.records {
		now, old := e.record, r.previous[key]
		r.written[now.Nonce] = true
		if r.refused[now.Nonce] {
			r.t.Fatalf("claim %s was reported as not written", now.Nonce)
		}
		legal := old.Nonce == now.Nonce && (old.State == now.State || old.State == StateClaimed || old.State == StateUnknown && now.State == StateDone) ||
			now.State == StateClaimed && (old.Attempt == 0 && now.Attempt == 1 || old.State == StateNotRun && now.Attempt == old.Attempt+1)
		if !legal {
			r.t.Fatalf("record went from %v to %v", old, now)
		}
		r.previous[key] = now
	}
}

// submit starts a change as the given owner; f calls the ledger.
func (r *committerRun) submit(owner int, f func(l *Ledger) error, done func(error)) {
	l := *r.ledgers[owner]
	l.Clock = fixedClock{now: r.now}
	l.Update = func(_ context.Context, key job.Key, decide func(*Record) (*Record, error)) error {
		c := &change{key: key, decide: decide}
		c.resolve = func(err error) { delete(r.open, c); done(err) }
		r.open[c] = true
		r.committers[owner].submit(c)
		return nil
	}
	if err := f(&l); err != nil {
		r.t.Fatal(err)
	}
}

func (r *committerRun) claim(owner, key, attempt int) {
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
			r.refused[rec.Nonce] = true
			if r.written[rec.Nonce] {
				r.t.Fatalf("claim %s was written and reported as not written", rec.Nonce)
			}
		}
	})
}

func (r *committerRun) settle(owner, key, attempt int, state RecordState) {
	r.submit(owner, func(l *Ledger) error {
		return l.Settle(context.Background(), testKey(key), attempt, state)
	}, func(error) {})
}

func (r *committerRun) pump() {
	for i, b := range r.committers {
		calls, _ := b.due(r.now)
		for _, c := range calls {
			for _, f := range r.flights {
				if f.owner == i && f.call.shard == c.shard {
					r.t.Fatal("two calls in flight for one shard")
				}
			}
			if id := fmt.Sprint(i, "/", c.shard); c.write {
				if last, ok := r.lastWrite[id]; ok && r.now.Sub(last) < DefaultMinWriteInterval {
					r.t.Fatal("writes too close")
				}
				r.lastWrite[id] = r.now
			}
			r.flights = append(r.flights, flight{owner: i, call: c})
		}
	}
}

// deliver ends the i-th flight: "ok", "dropped", "reply lost", "late" (takes effect at a later time) or "down".
func (r *committerRun) deliver(i int, fate string) {
	f := r.flights[i]
	r.flights = append(r.flights[:i], r.flights[i+1:]...)
	key := shardKey(f.call.shard)
	out := reply{call: f.call, err: &kvstore.ErrUnavailable{Call: "call", Delivered: fate != "down", Cause: errLost}}
	switch {
	case fate == "ok" && f.call.write:
		out.version, out.err = r.store.swap(key, f.call.value, f.call.version)
	case fate == "ok":
		out.entry, out.err = r.store.get(key), nil
	case fate == "reply lost" && f.call.write:
		_, _ = r.store.swap(key, f.call.value, f.call.version)
	case fate == "late" && f.call.write:
		r.late = append(r.late, f.call)
	}
	r.committers[f.owner].handleReply(r.now, out)
}

func (r *committerRun) pass(d time.Duration) { r.now = r.now.Add(d) }

// settleAll lets every call succeed until no change is open.
func (r *committerRun) settleAll() {
	for range 1000 {
		r.pump()
		if len(r.flights) == 0 {
			if len(r.open) == 0 {
				return
			}
			r.pass(10 * time.Millisecond)
			continue
		}
		r.deliver(0, "ok")
	}
	r.t.Fatal("changes stay open although the store answers")
}

// Guards against double claims, records lost in merges and false reports after lost, late and failed writes.
func TestCommitters(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := newCommitterRun(t, 3)
		owner, key := rapid.IntRange(0, 2), rapid.IntRange(0, 2)
		attempt := rapid.IntRange(1, 3)
		t.Repeat(map[string]func(*rapid.T){
			"claim": func(t *rapid.T) { r.claim(owner.Draw(t, "owner"), key.Draw(t, "key"), attempt.Draw(t, "attempt")) },
			"settle": func(t *rapid.T) {
				states := rapid.SampledFrom([]RecordState{StateDone, StateNotRun, StateNotRun, StateUnknown})
				r.settle(owner.Draw(t, "owner"), key.Draw(t, "key"), attempt.Draw(t, "attempt"), states.Draw(t, "state"))
			},
			"deliver": func(t *rapid.T) {
				if len(r.flights) == 0 {
					t.Skip()
				}
				fates := rapid.SampledFrom([]string{"ok", "ok", "ok", "dropped", "reply lost", "late", "down"})
				r.deliver(rapid.IntRange(0, len(r.flights)-1).Draw(t, "flight"), fates.Draw(t, "fate"))
			},
			"late write": func(t *rapid.T) {
				if len(r.late) == 0 {
					t.Skip()
				}
				i := rapid.IntRange(0, len(r.late)-1).Draw(t, "write")
				c := r.late[i]
				r.late = append(r.late[:i], r.late[i+1:]...)
				_, _ = r.store.swap(shardKey(c.shard), c.value, c.version)
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
			"time": func(t *rapid.T) { r.pass(time.Duration(rapid.IntRange(5, 60).Draw(t, "ms")) * time.Millisecond) },
			"":     func(*rapid.T) { r.pump() },
		})
		r.settleAll()
		for _, c := range r.late {
			_, _ = r.store.swap(shardKey(c.shard), c.value, c.version)
		}
	})
}

// Guards against claims that are withdrawn and reported as not written although they are, or still can be. TestCommitters
// found the first case: it is withdrawn between the second read and the second write.
func TestWithdrawnClaims(t *testing.T) {
	cases := [][]string{{"ok", "reply lost", "ok"}, {"ok", "late", "ok", "down"}, {"ok", "late", "dropped"}, {"ok", "reply lost"}, {"ok", "down"}}
	for _, fates := range cases {
		r := newCommitterRun(t, 1)
		r.claim(0, 0, 1)
		for _, fate := range fates {
			r.pump()
			r.deliver(0, fate)
			r.pass(DefaultMinWriteInterval)
		}
		for _, c := range r.committers[0].shards[0].pending {
			r.committers[0].withdraw(c, context.Canceled)
		}
		for _, c := range r.late {
			_, _ = r.store.swap(shardKey(c.shard), c.value, c.version)
		}
	}
}

// Guards against the fault that TestCommitters found: a claim and its settling in one write, so that the claim was confirmed
// by a version in which it was settled already.
func TestClaimAndSettleTogether(t *testing.T) {
	r := newCommitterRun(t, 1)
	r.claim(0, 0, 1)
	r.settle(0, 0, 1, StateNotRun)
	r.settleAll()
	is.New(t).Equal(r.store.writes, 2)
}

// Guards against settlements that take writes of their own while claims are made, and against one that is never written.
func TestSettlementTravelsWithClaim(t *testing.T) {
	is := is.New(t)
	b := NewLedger(kvstore.Store{}, nil).committer()
	now := time.Unix(1000, 0)
	first, second := testKey(0), testKey(1)
	for i := 2; shardOf(second) != shardOf(first); i++ {
		second = testKey(i)
	}
	s := &b.shards[shardOf(first)]
	s.known, s.view = true, view{records: map[job.Key]entry{}}
	add := func(key job.Key, wait time.Duration) {
		b.submit(&change{key: key, notBefore: now.Add(wait), resolve: func(error) {}, decide: func(*Record) (*Record, error) {
			return &Record{Key: key, Attempt: 1}, nil
		}})
	}
	add(first, time.Second)
	calls, wake := b.due(now)
	is.Equal(len(calls), 0)
	is.Equal(wake, now.Add(time.Second)) // it is not forgotten
	add(second, 0)
	calls, _ = b.due(now)
	is.Equal(len(calls), 1)
	is.Equal(len(calls[0].verdicts), 2) // the settlement travels with the claim
}

// fixedClock only tells the time.
type fixedClock struct {
	clockwork.Clock
	now time.Time
}

func (c fixedClock) Now() time.Time { return c.now }

// Guards against a full shard that loses records or can no longer be settled, and against settled records kept forever.
func TestFullAndExpired(t *testing.T) {
	is := is.New(t)
	r := newCommitterRun(t, 1)
	r.store.onWrite = nil
	r.committers[0].maxValue = 2000
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
	r.settleAll()
	v, err := decode(1, r.store.entries[shardKey(0)].Value)
	is.NoErr(err)
	is.True(ok > 5 && full > 5 && ok+full == 40)
	is.Equal(len(v.records), ok)
	is.True(len(r.store.entries[shardKey(0)].Value) <= 2000)
	var settled error
	r.submit(0, func(l *Ledger) error { return l.Settle(context.Background(), keys[0], 1, StateNotRun) }, func(err error) { settled = err })
	r.settleAll()
	is.NoErr(settled)
	r.pass(DefaultRetention + time.Second)
	r.submit(0, func(l *Ledger) error { return l.Settle(context.Background(), keys[1], 1, StateDone) }, func(err error) { settled = err })
	r.settleAll()
	is.NoErr(settled)
	v, err = decode(1, r.store.entries[shardKey(0)].Value)
	is.NoErr(err)
	is.Equal(len(v.records), ok-1) // only the settled record is dropped
}
