package dispatch

import (
	"bytes"
	"context"
	_ "embed"
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"github.com/pkg/errors"

	"clementinepier/board"
	"clementinepier/breaker"
	"clementinepier/bundle"
	"clementinepier/claim"
	"clementinepier/config"
	"clementinepier/gang"
	"clementinepier/job"
	"clementinepier/kvstore"
	"clementinepier/metrics"
	"clementinepier/peer"
	"clementinepier/placement"
	"clementinepier/queue"
	standin "clementinepier/standin/worker"
	"clementinepier/trace"
	"clementinepier/worker"
)

//go:embed testdata/bundle.toml
var testBundle string

// fixture has two rack owners that share the workers and the claim records of one rack. Everything runs on the test's
// goroutine, except for the timers of the simulated workers.
type fixture struct {
	*is.I
	clock        *clockwork.FakeClock
	workers      map[string]*standin.Worker
	log          *runLog
	bootCount    int
	records      map[job.Key]claim.Record
	view         *config.View
	keyring      *bundle.Keyring
	signedBundle bundle.Signed
	a, b         *owner
}

// owner is one dispatcher, driven by the fixture instead of its own goroutines.
type owner struct {
	*fixture
	name        string
	d           *Dispatcher
	s           *board.State
	pendingWork []workItem
	spawnDelay  time.Duration // delays spawned work, which includes the calls to the store
	crashed     bool
	paused      bool
	viewStale   bool
	storeDown   bool // the store does not answer
	calls       map[string]int
	hooks       map[string]func() (lost bool) // keyed by "before" or "after", kind of call and its number
	followed    map[*watcher]*pollState
	startCounts map[job.Key]int // starts by this owner that took effect
}

// workItem is work that runPending runs once it is due.
type workItem struct {
	due  time.Time
	work func()
}

// pollState is how far an owner has read the events of a worker.
type pollState struct {
	next uint64
	boot string
}

func testKey(seed byte) *bundle.PrivateKey {
	key, err := bundle.GenerateKey(bytes.NewReader(bytes.Repeat([]byte{seed}, 64)))
	if err != nil {
		panic(err)
	}
	return key
}

func newFixture(t *testing.T) *fixture {
	r := &fixture{
		I: is.New(t), clock: clockwork.NewFakeClockAt(time.Date(2026, 12, 4, 6, 0, 0, 0, time.UTC)), workers: map[string]*standin.Worker{}, log: &runLog{startsByMember: map[job.Key]map[int]int{}, startsByWorker: map[string]int{}},
		records: map[job.Key]claim.Record{},
	}
	var err error
	author, reviewer := testKey(1), testKey(2)
	r.keyring, err = bundle.NewKeyring([]bundle.TrustedKey{author.Trusted(), reviewer.Trusted()})
	r.NoErr(err)
	source := []byte(testBundle)
	r.signedBundle = bundle.Signed{Source: source, Author: bundle.SignAuthor(author, source), Reviewer: bundle.SignReviewer(reviewer, source)}
	r.setView(map[string]bundle.SignedOrder{})
	for _, name := range []string{"w1", "w2", "w3", "w4"} {
		r.restart(name)
	}
	r.a, r.b = r.newOwner("a"), r.newOwner("b")
	r.a.setOwnsRack(true)
	r.advance(100 * time.Millisecond)
	return r
}

func (r *fixture) setView(orders map[string]bundle.SignedOrder) {
	view, err := config.Merge(r.keyring, r.view, config.Document{Bundle: r.signedBundle, Orders: orders})
	r.NoErr(err)
	r.view = view
	for _, o := range []*owner{r.a, r.b} {
		if o != nil {
			o.s.View = view
			o.s.Freshness.SetView(view)
			o.d.SetConfiguration(o.s)
		}
	}
}

// restart replaces a worker by one without tasks, which writes to the same run log.
func (r *fixture) restart(name string) {
	r.bootCount++
	r.workers[name] = standin.New(standin.Options{
		Clock: r.clock, RunLog: r.log,
		Info: worker.Info{Name: name, FailureDomain: "d", Rack: "r1", Slots: 8, Accelerators: 8, BootID: fmt.Sprint(r.bootCount)},
	})
}

func (r *fixture) newOwner(name string) *owner {
	o := &owner{
		fixture: r, name: name, calls: map[string]int{}, startCounts: map[job.Key]int{}, hooks: map[string]func() bool{}, followed: map[*watcher]*pollState{},
	}
	o.s = &board.State{
		Self: peer.Identity{VM: name, FailureDomain: "d"}, View: r.view, Freshness: &config.Freshness{FailureDomain: "d"},
		Workers: map[string]kvstore.VM{}, LeavingWorkers: map[string]bool{}, OwnedRacks: map[string]bool{},
		Cluster: placement.New(placement.Options{}), Queue: queue.New(queue.Options{}),
		Breaker: breaker.New(), Retries: breaker.NewRetryBudget(),
	}
	o.s.Freshness.SetView(r.view)
	for worker := range r.workers {
		o.s.Workers[worker] = kvstore.VM{Name: worker, Kind: kvstore.KindWorker, FailureDomain: "d", Rack: "r1"}
	}
	ledger := claim.NewLedger(kvstore.Store{}, r.clock)
	ledger.Update = o.updateRecord
	tracer, err := trace.New(name, "")
	r.NoErr(err)
	o.d = &Dispatcher{
		Board: board.New(o.s), Clock: r.clock, Metrics: &metrics.Set{}, Tracer: tracer, Workers: o.client, Ledger: ledger,
		Settler: &claim.Settler{Ledger: ledger, Workers: o.client}, Limits: gang.DefaultLimits(), CallTimeout: time.Second,
	}
	o.d.init(context.Background())
	o.d.sortedRuns = true
	nonces := 0
	o.d.newNonce = func() string {
		nonces++
		return fmt.Sprint(name, nonces)
	}
	o.d.random = rand.New(rand.NewPCG(1, 1)) //nolint:gosec // a fixed seed
	o.d.spawn = func(work func()) {
		o.pendingWork = append(o.pendingWork, workItem{due: r.clock.Now().Add(o.spawnDelay), work: work})
	}
	o.d.runOnPool = func(work func()) error {
		o.pendingWork = append(o.pendingWork, workItem{due: r.clock.Now(), work: work})
		return nil
	}
	// No call blocks in these tests, and Err of a fake clock's context cannot be called before the context has ended.
	o.d.timeout = func(ctx context.Context, _ time.Duration) (context.Context, context.CancelFunc) {
		return context.WithCancel(ctx)
	}
	o.d.followWorker = func(ctx context.Context, w *watcher) {
		if ctx.Err() == nil {
			o.followed[w] = &pollState{}
		}
	}
	return o
}

// hookCall runs f before or after a call, for example "after hold 1" for the first hold. If f returns true, the caller does
// not receive the reply.
func (o *owner) hookCall(when string, f func() bool) { o.hooks[when] = f }

// callWithHooks makes one call to a worker or the ledger and runs the hooks that are set for it.
func (o *owner) callWithHooks(kind string, call func() error) error {
	o.calls[kind]++
	lost := false
	run := func(when string) {
		if f, ok := o.hooks[fmt.Sprintf("%s %s %d", when, kind, o.calls[kind])]; ok {
			lost = f() || lost
		}
	}
	run("before")
	if o.crashed {
		return errors.New("the owner has crashed")
	}
	err := call()
	run("after")
	if lost {
		return &worker.ErrCall{Call: kind, Delivered: true, Cause: errors.New("reply lost")}
	}
	return err
}

// client returns a client of the worker whose calls run the owner's hooks.
func (o *owner) client(name string) (*worker.Client, bool) {
	w, ok := o.workers[name]
	if !ok {
		return nil, false
	}
	c := w.Client()
	hold, start, stop, forbid, renew, answer := c.Hold, c.Start, c.Stop, c.Forbid, c.Renew, c.Answer
	c.Hold = func(ctx context.Context, spec worker.Spec, length time.Duration) (held []int, refused worker.Refusal, err error) {
		err = o.callWithHooks("hold", func() (err error) { held, refused, err = hold(ctx, spec, length); return err })
		return held, refused, err
	}
	c.Start = func(ctx context.Context, id job.TaskID, nonce string, payload []byte, length time.Duration) (refused worker.Refusal, err error) {
		err = o.callWithHooks("start", func() (err error) {
			before := o.starts(id.Key())[id.Member]
			refused, err = start(ctx, id, nonce, payload, length)
			o.startCounts[id.Key()] += o.starts(id.Key())[id.Member] - before
			return err
		})
		return refused, err
	}
	c.Stop = func(ctx context.Context, ids []job.TaskID, reason string) (s []worker.Status, err error) {
		err = o.callWithHooks("stop", func() (err error) { s, err = stop(ctx, ids, reason); return err })
		return s, err
	}
	c.Forbid = func(ctx context.Context, id job.TaskID) (s worker.Status, err error) {
		err = o.callWithHooks("forbid", func() (err error) { s, err = forbid(ctx, id); return err })
		return s, err
	}
	c.Renew = func(ctx context.Context, leases []worker.Lease) (s []worker.Status, err error) {
		err = o.callWithHooks("renew", func() (err error) { s, err = renew(ctx, leases); return err })
		return s, err
	}
	c.Answer = func(ctx context.Context, id job.TaskID) (answered []byte, err error) {
		err = o.callWithHooks("answer", func() (err error) { answered, err = answer(ctx, id); return err })
		return answered, err
	}
	return c, true
}

// updateRecord replaces Ledger.Update and works on the fixture's records.
func (o *owner) updateRecord(_ context.Context, key job.Key, decide func(*claim.Record) (*claim.Record, error)) error {
	if o.storeDown {
		return &claim.ErrStoreUnavailable{Key: key, Cause: errors.New("store is down")}
	}
	var result error
	err := o.callWithHooks("ledger", func() error {
		var current *claim.Record
		if record, ok := o.records[key]; ok {
			current = &record
		}
		next, err := decide(current)
		if next != nil {
			o.records[key] = *next
		}
		result = err
		return nil
	})
	if err != nil {
		return &claim.ErrStoreUnavailable{Key: key, MayBeWritten: true, Cause: err}
	}
	return result
}

// setOwnsRack makes the owner gain or lose the rack.
func (o *owner) setOwnsRack(rack bool) {
	delete(o.s.OwnedRacks, "r1")
	if rack {
		o.s.OwnedRacks["r1"] = true
	}
	o.d.SetRacks(o.s)
	o.d.SetConfiguration(o.s)
	o.runPending()
}

// runPending runs posted messages and pending work until nothing is due.
func (o *owner) runPending() {
	for {
		if o.crashed || o.paused {
			return
		}
		if o.d.Board.Step() {
			continue
		}
		at := -1
		for i, p := range o.pendingWork {
			if !p.due.After(o.clock.Now()) {
				at = i
				break
			}
		}
		if at < 0 {
			return
		}
		work := o.pendingWork[at].work
		o.pendingWork = append(o.pendingWork[:at], o.pendingWork[at+1:]...)
		work()
	}
}

// follow does for one worker what Dispatcher.follow does, without waiting.
func (o *owner) follow(w *watcher, f *pollState) {
	client, _ := o.client(w.name)
	ctx := context.Background()
	if f.boot != "" {
		if e, err := o.d.poll(ctx, client, f.next, 0); err != nil {
			o.d.handleUnreachable(o.s, w, err)
			f.boot = ""
			return
		} else if e.Info.BootID == f.boot {
			f.next = e.Next
			o.d.handleEvents(o.s, w, e)
			return
		}
	}
	latest, err := o.d.poll(ctx, client, latestSequence, 0)
	if err != nil {
		return
	}
	info, statuses, err := client.Tasks(ctx)
	if err != nil {
		return
	}
	f.next, f.boot = latest.Next, info.BootID
	o.d.handleTaskList(o.s, w, info, statuses)
}

func (o *owner) runTick() {
	if o.crashed || o.paused {
		return
	}
	if !o.viewStale {
		o.s.Freshness.RecordStoreRead(o.clock.Now(), o.view.Revision())
	}
	for _, name := range []string{"w1", "w2", "w3", "w4"} {
		if w := o.d.watchers[name]; w != nil && o.followed[w] != nil {
			o.follow(w, o.followed[w])
		}
	}
	o.d.onTick(o.s)
	o.runPending()
}

// advance advances the clock in steps of tickInterval and runs both owners after each step.
func (r *fixture) advance(length time.Duration) {
	for range length / tickInterval {
		r.clock.Advance(tickInterval)
		r.a.runTick()
		r.b.runTick()
	}
}

func (o *owner) submit(req job.Request) chan job.Outcome {
	// The channel has capacity for several outcomes, so that a test can detect a second one.
	waiter := make(chan job.Outcome, 4)
	o.NoErr(o.d.acceptRequest(o.s, req, "digest of "+req.ID, "", waiter))
	o.runPending()
	return waiter
}

// runLog counts the starts in the workers' run logs. Timers of the simulated workers write to it from their own goroutines.
type runLog struct {
	mu             sync.Mutex
	startsByMember map[job.Key]map[int]int
	startsByWorker map[string]int
}

// Write records one line of the run log.
func (l *runLog) Write(text []byte) (int, error) {
	var line standin.RunLine
	if err := json.Unmarshal(text, &line); err != nil {
		return 0, err
	}
	if line.Event == standin.EventStart {
		l.mu.Lock()
		defer l.mu.Unlock()
		if l.startsByMember[line.ID.Key()] == nil {
			l.startsByMember[line.ID.Key()] = map[int]int{}
		}
		l.startsByMember[line.ID.Key()][line.ID.Member]++
		l.startsByWorker[line.Worker]++
	}
	return len(text), nil
}

// starts returns how often each member of the request was started, according to the workers' logs.
func (r *fixture) starts(key job.Key) map[int]int {
	r.log.mu.Lock()
	defer r.log.mu.Unlock()
	starts := map[int]int{}
	maps.Copy(starts, r.log.startsByMember[key])
	return starts
}

// checkFinalState checks that, once all work is done, no task and no run is left and no capacity is in use in any owner's
// model.
func (r *fixture) checkFinalState() {
	r.Helper()
	for name, w := range r.workers {
		_, statuses, err := w.Client().Tasks(context.Background())
		r.NoErr(err)
		for _, status := range statuses {
			if !status.State.Ended() {
				r.Equal(fmt.Sprint(name, " ", status.Spec.ID, " ", status.State), "no task")
			}
		}
	}
	for _, o := range []*owner{r.a, r.b} {
		if o.crashed {
			continue
		}
		for _, rack := range o.s.Cluster.Summaries() {
			r.Equal(fmt.Sprint(o.name, " free ", rack.FreeAccelerators, rack.FreeSlots), fmt.Sprint(o.name, " free ", 32, 32))
		}
		for organisation, n := range o.d.usedAccelerators {
			r.Equal(fmt.Sprint(o.name, " ", organisation, " runs ", n), fmt.Sprint(o.name, " ", organisation, " runs 0"))
		}
		for key, run := range o.d.runs {
			r.Equal(fmt.Sprint(o.name, " ", key, " ", run.phase), fmt.Sprint(o.name, " ", key, " ended"))
		}
	}
}
