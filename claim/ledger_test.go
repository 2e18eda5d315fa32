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

// storeRig serves values to a running ledger.
type storeRig struct {
	*values
	sync.Mutex
	// before sees each call before it takes effect; an error is the reply.
	before func(ctx context.Context, write bool) error
	ledger *Ledger
	clock  *clockwork.FakeClock
	stop   context.CancelFunc
}

func newStoreRig(t *testing.T, interval time.Duration) *storeRig {
	r := &storeRig{values: newValues(), clock: clockwork.NewFakeClock(), before: func(context.Context, bool) error { return nil }}
	store := kvstore.Store{
		Get: func(ctx context.Context, key string) (kvstore.Entry, error) {
			if err := r.before(ctx, false); err != nil {
				return kvstore.Entry{}, err
			}
			r.Lock()
			defer r.Unlock()
			return r.get(key), nil
		},
		CompareAndSwap: func(ctx context.Context, key string, value []byte, version uint64) (uint64, error) {
			if err := r.before(ctx, true); err != nil {
				return 0, err
			}
			r.Lock()
			defer r.Unlock()
			return r.swap(key, value, version)
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

func record(i int, workers ...string) Record {
	return Record{Key: testKey(i), Attempt: 1, Owner: "vm", Nonce: fmt.Sprint("n", i), Workers: workers}
}

// Guards against a first claim that waits, and against one write per claim under load.
func TestGroupCommit(t *testing.T) {
	is := is.New(t)
	r := newStoreRig(t, DefaultMinWriteInterval)
	entered, release := make(chan bool), make(chan bool)
	r.before = func(_ context.Context, write bool) error {
		if write {
			entered <- true
			<-release
		}
		return nil
	}
	results := make(chan error, 20)
	claim := func(rec Record) {
		r.ledger.submitted <- &change{
			key: rec.Key, decide: func(*Record) (*Record, error) { return &rec, nil }, resolve: func(err error) { results <- err },
		}
	}
	claim(record(0))
	<-entered // written at once: the clock has not moved
	for i := range 15 {
		if i%3 < 2 && i > 0 {
			claim(record(i))
		}
	}
	release <- true
	is.NoErr(<-results)
	for waiting := true; waiting; {
		select {
		case <-entered:
			waiting = false
		default: // the ledger may set its timer after any advance
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

// Guards against callers that hang, and against a wrong statement about a claim whose call is in flight.
func TestUnavailable(t *testing.T) {
	for _, hangs := range []string{"read", "write"} {
		is := is.New(t)
		r := newStoreRig(t, DefaultMinWriteInterval)
		ctx, cancel := context.WithCancel(context.Background())
		r.before = func(call context.Context, write bool) error {
			if write != (hangs == "write") {
				return nil
			}
			cancel()
			<-call.Done()
			return &kvstore.ErrUnavailable{Call: hangs, Delivered: true, Cause: call.Err()}
		}
		existing, err := r.ledger.Claim(ctx, record(0))
		var unavailable *ErrStoreUnavailable
		is.True(existing == nil && errors.As(err, &unavailable))
		is.Equal(unavailable.MayBeWritten, hangs == "write")
		r.stop()
		<-r.ledger.Done()
		_, err = r.ledger.Claim(context.Background(), record(1))
		is.True(IsErrStoreUnavailable(err))
	}
}

// Guards against a second claim of one request and against attempts that follow anything but "not run".
func TestClaimAdvanceSettle(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	for state, may := range map[RecordState]bool{StateClaimed: false, StateDone: false, StateUnknown: false, StateNotRun: true} {
		r := newStoreRig(t, 0)
		first, second := record(0, "a"), record(0, "b")
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
		is.Equal(existing == nil, may)
		got, err := r.ledger.Get(ctx, first.Key)
		is.NoErr(err)
		is.Equal(got.Attempt == 2, may)
		is.Equal(IsErrConflict(r.ledger.Settle(ctx, first.Key, 1, StateDone)), state == StateNotRun)
		_, err = r.ledger.Get(ctx, testKey(1))
		is.True(IsErrClaimNotExist(err))
	}
}

// report is what a fake worker says about a task: at the first question, to the forbid and at the second question.
type report struct {
	before, forbid, after worker.State
	started               bool
	down, restarts        bool
}

// client returns a fake worker that follows the report.
func (p *report) client(id job.TaskID, nonce string) *worker.Client {
	asked := 0
	return &worker.Client{
		Tasks: func(context.Context) (worker.Info, []worker.Status, error) {
			asked++
			if p.down {
				return worker.Info{}, nil, &worker.ErrCall{Call: "tasks", Cause: errLost}
			}
			state, boot := p.before, "boot"
			if asked > 1 {
				state = p.after
				if p.restarts {
					boot = "next"
				}
			}
			if state == worker.StateUnknown {
				return worker.Info{BootID: boot}, nil, nil
			}
			started := p.started || state == worker.StateRunning
			return worker.Info{BootID: boot}, []worker.Status{{Spec: worker.Spec{ID: id, Nonce: nonce}, State: state, Started: started}}, nil
		},
		Forbid: func(context.Context, job.TaskID) (worker.Status, error) {
			if p.forbid == "" {
				return worker.Status{}, &worker.ErrCall{Call: "forbid", Delivered: true, Cause: errLost}
			}
			return worker.Status{Spec: worker.Spec{ID: id, Nonce: nonce}, State: p.forbid, Started: p.forbid == worker.StateRunning}, nil
		},
	}
}

// Each case guards against a verdict without proof from every worker.
func TestSettler(t *testing.T) {
	held, forbidden, running, lapsed := worker.StateHeld, worker.StateForbidden, worker.StateRunning, worker.StateLapsed
	idle := report{before: lapsed, forbid: forbidden, after: forbidden}
	cases := []struct {
		name    string
		state   RecordState
		a, b    report
		verdict Verdict
		record  RecordState
	}{
		{"both run", StateClaimed, report{before: running}, report{before: running}, VerdictAttach, StateClaimed},
		{"one is done, one worker is down", StateClaimed, report{before: worker.StateDone, started: true}, report{down: true}, VerdictAttach, StateClaimed},
		{"none started", StateClaimed, report{before: held, forbid: forbidden, after: forbidden}, idle, VerdictNotRun, StateNotRun},
		{"one worker is down", StateClaimed, idle, report{down: true}, VerdictUnknown, StateUnknown},
		{"one worker has no record", StateClaimed, idle, report{before: worker.StateUnknown, forbid: forbidden, after: forbidden}, VerdictUnknown, StateUnknown},
		{"one was started and stopped", StateClaimed, idle, report{before: worker.StateStopped, started: true}, VerdictUnknown, StateUnknown},
		{"forbid lost", StateClaimed, idle, report{before: held, after: held}, VerdictUnknown, StateUnknown},
		{"owner starts first", StateClaimed, idle, report{before: held, forbid: running, after: running}, VerdictAttach, StateClaimed},
		{"worker restarts before the forbid", StateClaimed, idle, report{before: held, forbid: forbidden, after: forbidden, restarts: true}, VerdictUnknown, StateUnknown},
		{"unknown stays unknown", StateUnknown, idle, idle, VerdictUnknown, StateUnknown},
		{"unknown, but found running", StateUnknown, report{before: running}, idle, VerdictAttach, StateUnknown},
		{"known as not run", StateNotRun, report{down: true}, report{down: true}, VerdictNotRun, StateNotRun},
		{"done, answer gone", StateDone, idle, idle, VerdictUnknown, StateDone},
	}
	for i, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			r := newStoreRig(t, DefaultMinWriteInterval)
			rec := record(0, "a", "b")
			rec.State = c.state
			v := view{records: map[job.Key]entry{}}
			is.NoErr(v.put(rec))
			value, err := v.encode()
			is.NoErr(err)
			r.entries[shardKey(0)] = kvstore.Entry{Value: value, Version: 1}
			clients := map[string]*worker.Client{"a": c.a.client(rec.task(0), rec.Nonce), "b": c.b.client(rec.task(1), rec.Nonce)}
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
