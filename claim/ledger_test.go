package claim

import (
	"context"
	"errors"
	"fmt"
	"runtime"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"clementinepier/job"
	"clementinepier/kvstore"
	"clementinepier/worker"
)

// ledgerTest runs a ledger with a store in memory and a fake clock.
type ledgerTest struct {
	*memoryStore
	sync.Mutex
	// beforeCall is called before each call takes effect; if it returns an error, that is the reply.
	beforeCall func(ctx context.Context, write bool) error
	ledger     *Ledger
	clock      *clockwork.FakeClock
	stop       context.CancelFunc
}

func newLedgerTest(t *testing.T, interval time.Duration) *ledgerTest {
	r := &ledgerTest{memoryStore: newMemoryStore(), clock: clockwork.NewFakeClock(), beforeCall: func(context.Context, bool) error { return nil }}
	store := kvstore.Store{
		Get: func(ctx context.Context, key string) (kvstore.Entry, error) {
			if err := r.beforeCall(ctx, false); err != nil {
				return kvstore.Entry{}, err
			}
			r.Lock()
			defer r.Unlock()
			return r.get(key), nil
		},
		CompareAndSwap: func(ctx context.Context, key string, value []byte, version uint64) (uint64, error) {
			if err := r.beforeCall(ctx, true); err != nil {
				return 0, err
			}
			r.Lock()
			defer r.Unlock()
			return r.compareAndSwap(key, value, version)
		},
	}
	r.ledger = NewLedger(store, r.clock)
	r.ledger.NewBackOff, r.ledger.MinWriteInterval = constantBackOff, interval
	ctx, cancel := context.WithCancel(context.Background())
	r.stop = cancel
	go r.ledger.Run(ctx)
	t.Cleanup(func() { cancel(); <-r.ledger.Done() })
	return r
}

func testRecord(i int, workers ...string) Record {
	return Record{Key: testKey(i), Attempt: 1, Owner: "vm", Nonce: fmt.Sprint("n", i), Workers: workers}
}

// Guards against a first claim that waits for the minimum interval, and against one write per claim while a write is in
// flight.
func TestFirstClaimIsWrittenAtOnceAndLaterOnesTogether(t *testing.T) {
	is := is.New(t)
	r := newLedgerTest(t, DefaultMinWriteInterval)
	entered, release := make(chan bool), make(chan bool)
	r.beforeCall = func(_ context.Context, write bool) error {
		if write {
			entered <- true
			<-release
		}
		return nil
	}
	results := make(chan error, 20)
	claim := func(rec Record) {
		r.ledger.submitted <- &change{
			key: rec.Key, decide: func(*Record) (*Record, error) { return &rec, nil }, onComplete: func(err error) { results <- err },
		}
	}
	claim(testRecord(0))
	<-entered // the write is sent at once, since the clock has not advanced
	for i := range 15 {
		if i%3 < 2 && i > 0 {
			claim(testRecord(i))
		}
	}
	release <- true
	is.NoErr(<-results)
	for waiting := true; waiting; {
		select {
		case <-entered:
			waiting = false
		default: // advances again, since the ledger may set its timer after the last advance
			r.clock.Advance(DefaultMinWriteInterval)
			runtime.Gosched()
		}
	}
	release <- true
	for range 9 {
		is.NoErr(<-results)
	}
	is.Equal(r.writes, 2)
	is.Equal(r.reads, 1)
}

// Guards against a Claim that never returns while a call to the store hangs, and against a wrong MayBeWritten for a claim
// whose call is in flight.
func TestClaimReturnsWhenStoreHangs(t *testing.T) {
	for _, hanging := range []string{"read", "write"} {
		is := is.New(t)
		r := newLedgerTest(t, DefaultMinWriteInterval)
		ctx, cancel := context.WithCancel(context.Background())
		r.beforeCall = func(call context.Context, write bool) error {
			if write != (hanging == "write") {
				return nil
			}
			cancel()
			<-call.Done()
			return &kvstore.ErrUnavailable{Call: hanging, Delivered: true, Cause: call.Err()}
		}
		existing, err := r.ledger.Claim(ctx, testRecord(0))
		var unavailable *ErrStoreUnavailable
		is.True(existing == nil && errors.As(err, &unavailable))
		is.Equal(unavailable.MayBeWritten, hanging == "write")
		r.stop()
		<-r.ledger.Done()
		_, err = r.ledger.Claim(context.Background(), testRecord(1))
		is.True(IsErrStoreUnavailable(err))
	}
}

// Guards against a second claim of one request, and against the claim of a next attempt in another state than StateNotRun.
func TestNextAttemptIsClaimedOnlyAfterNotRun(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	for state, advances := range map[RecordState]bool{StateClaimed: false, StateDone: false, StateUnknown: false, StateNotRun: true} {
		r := newLedgerTest(t, 0)
		first, second := testRecord(0, "a"), testRecord(0, "b")
		second.Nonce = "other"
		existing, err := r.ledger.Claim(ctx, first)
		is.True(existing == nil && err == nil)
		existing, err = r.ledger.Claim(ctx, first) // repeated by the same owner
		is.True(existing == nil && err == nil)
		existing, err = r.ledger.Claim(ctx, second)
		is.True(existing != nil && err == nil)
		is.Equal(existing.Nonce, first.Nonce)
		if state != StateClaimed {
			is.NoErr(r.ledger.Settle(ctx, first.Key, 1, state))
		}
		existing, err = r.ledger.Advance(ctx, first.Key, 1, second)
		is.NoErr(err)
		is.Equal(existing == nil, advances)
		got, err := r.ledger.Get(ctx, first.Key)
		is.NoErr(err)
		is.Equal(got.Attempt == 2, advances)
		is.Equal(IsErrConflict(r.ledger.Settle(ctx, first.Key, 1, StateDone)), state == StateNotRun)
		_, err = r.ledger.Get(ctx, testKey(1))
		is.True(IsErrClaimNotExist(err))
	}
}

// fakeWorker is the state that a fake worker reports for a task: in the first list of tasks, in the reply to the forbid call
// and in later lists.
type fakeWorker struct {
	firstState, forbidState, secondState worker.State
	// started is true if the task has started; a task in state running has started in any case.
	started bool
	// down makes the list of tasks fail; restarts gives later lists another boot id.
	down, restarts bool
}

// client returns a client of the fake worker.
func (p *fakeWorker) client(id job.TaskID, nonce string) *worker.Client {
	queries := 0
	return &worker.Client{
		Tasks: func(context.Context) (worker.Info, []worker.Status, error) {
			queries++
			if p.down {
				return worker.Info{}, nil, &worker.ErrCall{Call: "tasks", Cause: errReplyLost}
			}
			state, bootID := p.firstState, "boot"
			if queries > 1 {
				state = p.secondState
				if p.restarts {
					bootID = "next"
				}
			}
			if state == worker.StateUnknown {
				return worker.Info{BootID: bootID}, nil, nil
			}
			started := p.started || state == worker.StateRunning
			return worker.Info{BootID: bootID}, []worker.Status{{Spec: worker.Spec{ID: id, Nonce: nonce}, State: state, Started: started}}, nil
		},
		Forbid: func(context.Context, job.TaskID) (worker.Status, error) {
			if p.forbidState == "" {
				return worker.Status{}, &worker.ErrCall{Call: "forbid", Delivered: true, Cause: errReplyLost}
			}
			return worker.Status{Spec: worker.Spec{ID: id, Nonce: nonce}, State: p.forbidState, Started: p.forbidState == worker.StateRunning}, nil
		},
	}
}

// Guards against a verdict or a recorded state without proof from every worker.
func TestSettlerVerdictNeedsProofFromEveryWorker(t *testing.T) {
	held, forbidden, running, lapsed := worker.StateHeld, worker.StateForbidden, worker.StateRunning, worker.StateLapsed
	notStarted := fakeWorker{firstState: lapsed, forbidState: forbidden, secondState: forbidden}
	cases := []struct {
		name    string
		state   RecordState
		a, b    fakeWorker
		verdict Verdict
		record  RecordState
	}{
		{"both run", StateClaimed, fakeWorker{firstState: running}, fakeWorker{firstState: running}, VerdictAttach, StateClaimed},
		{"one is done, one worker is down", StateClaimed, fakeWorker{firstState: worker.StateDone, started: true}, fakeWorker{down: true}, VerdictAttach, StateClaimed},
		{"none started", StateClaimed, fakeWorker{firstState: held, forbidState: forbidden, secondState: forbidden}, notStarted, VerdictNotRun, StateNotRun},
		{"one worker is down", StateClaimed, notStarted, fakeWorker{down: true}, VerdictUnknown, StateUnknown},
		{"one worker has no record", StateClaimed, notStarted, fakeWorker{firstState: worker.StateUnknown, forbidState: forbidden, secondState: forbidden}, VerdictUnknown, StateUnknown},
		{"one was started and stopped", StateClaimed, notStarted, fakeWorker{firstState: worker.StateStopped, started: true}, VerdictUnknown, StateUnknown},
		{"forbid lost", StateClaimed, notStarted, fakeWorker{firstState: held, secondState: held}, VerdictUnknown, StateUnknown},
		{"owner starts first", StateClaimed, notStarted, fakeWorker{firstState: held, forbidState: running, secondState: running}, VerdictAttach, StateClaimed},
		{"worker restarts before the forbid", StateClaimed, notStarted, fakeWorker{firstState: held, forbidState: forbidden, secondState: forbidden, restarts: true}, VerdictUnknown, StateUnknown},
		{"unknown stays unknown", StateUnknown, notStarted, notStarted, VerdictUnknown, StateUnknown},
		{"unknown, but found running", StateUnknown, fakeWorker{firstState: running}, notStarted, VerdictAttach, StateUnknown},
		{"known as not run", StateNotRun, fakeWorker{down: true}, fakeWorker{down: true}, VerdictNotRun, StateNotRun},
		{"done, but the workers have no answer", StateDone, notStarted, notStarted, VerdictUnknown, StateDone},
	}
	for i, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			r := newLedgerTest(t, DefaultMinWriteInterval)
			rec := testRecord(0, "a", "b")
			rec.State = c.state
			v := snapshot{records: map[job.Key]storedRecord{}}
			is.NoErr(v.put(rec))
			value, err := v.encode()
			is.NoErr(err)
			r.entries[shardKey(0)] = kvstore.Entry{Value: value, Version: 1}
			clients := map[string]*worker.Client{"a": c.a.client(rec.taskID(0), rec.Nonce), "b": c.b.client(rec.taskID(1), rec.Nonce)}
			s := &Settler{Ledger: r.ledger, Parallel: i % 3, Workers: func(name string) (*worker.Client, bool) {
				client, ok := clients[name]
				return client, ok
			}}
			found, err := s.Settle(context.Background(), rec)
			is.NoErr(err)
			is.Equal(found.Verdict, c.verdict)
			got, err := r.ledger.Get(context.Background(), rec.Key)
			is.NoErr(err)
			is.Equal(got.State, c.record)
		})
	}
}
