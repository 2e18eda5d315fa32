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

// rig has two owners on the workers and the claims of one rack. Everything runs on the test's goroutine.
type rig struct {
	*is.I
	clock   *clockwork.FakeClock
	workers map[string]*standin.Worker
	log     *runLog
	boots   int
	records map[job.Key]claim.Record
	view    *config.View
	ring    *bundle.Keyring
	signed  bundle.Signed
	a, b    *owner
}

// owner is one dispatcher that the rig drives.
type owner struct {
	*rig
	name     string
	d        *Dispatcher
	s        *board.State
	jobs     []pending
	slow     time.Duration // delays spawned work, which includes the calls of the store
	dead     bool
	paused   bool
	stale    bool
	down     bool // the store does not answer
	calls    map[string]int
	hooks    map[string]func() (lost bool) // by "before" or "after", kind and number
	followed map[*watcher]*events
	started  map[job.Key]int // starts that took effect
}

type pending struct {
	due  time.Time
	work func()
}

type events struct {
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

func newRig(t *testing.T) *rig {
	r := &rig{
		I: is.New(t), clock: clockwork.NewFakeClockAt(time.Date(2026, 12, 4, 6, 0, 0, 0, time.UTC)), workers: map[string]*standin.Worker{}, log: &runLog{starts: map[job.Key]map[int]int{}, on: map[string]int{}},
		records: map[job.Key]claim.Record{},
	}
	var err error
	author, reviewer := testKey(1), testKey(2)
	r.ring, err = bundle.NewKeyring([]bundle.TrustedKey{author.Trusted(), reviewer.Trusted()})
	r.NoErr(err)
	source := []byte(testBundle)
	r.signed = bundle.Signed{Source: source, Author: bundle.SignAuthor(author, source), Reviewer: bundle.SignReviewer(reviewer, source)}
	r.setView(map[string]bundle.SignedOrder{})
	for _, name := range []string{"w1", "w2", "w3", "w4"} {
		r.restart(name)
	}
	r.a, r.b = r.newOwner("a"), r.newOwner("b")
	r.a.own(true)
	r.ticks(100 * time.Millisecond)
	return r
}

func (r *rig) setView(orders map[string]bundle.SignedOrder) {
	view, err := config.Merge(r.ring, r.view, config.Document{Bundle: r.signed, Orders: orders})
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

// restart replaces a worker by one without tasks. The run log goes on.
func (r *rig) restart(name string) {
	r.boots++
	r.workers[name] = standin.New(standin.Options{
		Clock: r.clock, RunLog: r.log,
		Info: worker.Info{Name: name, FailureDomain: "d", Rack: "r1", Slots: 8, Accelerators: 8, BootID: fmt.Sprint(r.boots)},
	})
}

func (r *rig) newOwner(name string) *owner {
	o := &owner{
		rig: r, name: name, calls: map[string]int{}, started: map[job.Key]int{}, hooks: map[string]func() bool{}, followed: map[*watcher]*events{},
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
	ledger.Update = o.change
	tracer, err := trace.New(name, "")
	r.NoErr(err)
	o.d = &Dispatcher{
		Board: board.New(o.s), Clock: r.clock, Metrics: &metrics.Set{}, Tracer: tracer, Workers: o.client, Ledger: ledger,
		Settler: &claim.Settler{Ledger: ledger, Workers: o.client}, Limits: gang.DefaultLimits(), CallTimeout: time.Second,
	}
	o.d.init(context.Background())
	o.d.ordered = true
	nonces := 0
	o.d.newNonce = func() string {
		nonces++
		return fmt.Sprint(name, nonces)
	}
	o.d.random = rand.New(rand.NewPCG(1, 1)) //nolint:gosec // a fixed seed
	o.d.spawn = func(work func()) { o.jobs = append(o.jobs, pending{due: r.clock.Now().Add(o.slow), work: work}) }
	o.d.traffic = func(work func()) error {
		o.jobs = append(o.jobs, pending{due: r.clock.Now(), work: work})
		return nil
	}
	// No call waits here, and the contexts of a fake clock cannot be asked for their error before they end.
	o.d.timeout = func(ctx context.Context, _ time.Duration) (context.Context, context.CancelFunc) {
		return context.WithCancel(ctx)
	}
	o.d.follower = func(ctx context.Context, w *watcher) {
		if ctx.Err() == nil {
			o.followed[w] = &events{}
		}
	}
	return o
}

// on runs f around the call of the kind with the number given; the caller loses the reply if f returns true.
func (o *owner) on(when string, f func() bool) { o.hooks[when] = f }

// hooked makes one call of a worker or of the ledger.
func (o *owner) hooked(kind string, call func() error) error {
	o.calls[kind]++
	lost := false
	run := func(when string) {
		if f, ok := o.hooks[fmt.Sprintf("%s %s %d", when, kind, o.calls[kind])]; ok {
			lost = f() || lost
		}
	}
	run("before")
	if o.dead {
		return errors.New("the owner is dead")
	}
	err := call()
	run("after")
	if lost {
		return &worker.ErrCall{Call: kind, Delivered: true, Cause: errors.New("reply lost")}
	}
	return err
}

func (o *owner) client(name string) (*worker.Client, bool) {
	w, ok := o.workers[name]
	if !ok {
		return nil, false
	}
	c := w.Client()
	hold, start, stop, forbid, renew, answer := c.Hold, c.Start, c.Stop, c.Forbid, c.Renew, c.Answer
	c.Hold = func(ctx context.Context, spec worker.Spec, length time.Duration) (held []int, refused worker.Refusal, err error) {
		err = o.hooked("hold", func() (err error) { held, refused, err = hold(ctx, spec, length); return err })
		return held, refused, err
	}
	c.Start = func(ctx context.Context, id job.TaskID, nonce string, payload []byte, length time.Duration) (refused worker.Refusal, err error) {
		err = o.hooked("start", func() (err error) {
			before := o.starts(id.Key())[id.Member]
			refused, err = start(ctx, id, nonce, payload, length)
			o.started[id.Key()] += o.starts(id.Key())[id.Member] - before
			return err
		})
		return refused, err
	}
	c.Stop = func(ctx context.Context, ids []job.TaskID, reason string) (s []worker.Status, err error) {
		err = o.hooked("stop", func() (err error) { s, err = stop(ctx, ids, reason); return err })
		return s, err
	}
	c.Forbid = func(ctx context.Context, id job.TaskID) (s worker.Status, err error) {
		err = o.hooked("forbid", func() (err error) { s, err = forbid(ctx, id); return err })
		return s, err
	}
	c.Renew = func(ctx context.Context, leases []worker.Lease) (s []worker.Status, err error) {
		err = o.hooked("renew", func() (err error) { s, err = renew(ctx, leases); return err })
		return s, err
	}
	c.Answer = func(ctx context.Context, id job.TaskID) (answered []byte, err error) {
		err = o.hooked("answer", func() (err error) { answered, err = answer(ctx, id); return err })
		return answered, err
	}
	return c, true
}

// change is the ledger over the rig's records.
func (o *owner) change(_ context.Context, key job.Key, decide func(*claim.Record) (*claim.Record, error)) error {
	if o.down {
		return &claim.ErrStoreUnavailable{Key: key, Cause: errors.New("store is down")}
	}
	var result error
	err := o.hooked("ledger", func() error {
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

func (o *owner) own(rack bool) {
	delete(o.s.OwnedRacks, "r1")
	if rack {
		o.s.OwnedRacks["r1"] = true
	}
	o.d.SetRacks(o.s)
	o.d.SetConfiguration(o.s)
	o.drain()
}

// drain runs what waits until nothing is due.
func (o *owner) drain() {
	for {
		if o.dead || o.paused {
			return
		}
		if o.d.Board.Step() {
			continue
		}
		at := -1
		for i, p := range o.jobs {
			if !p.due.After(o.clock.Now()) {
				at = i
				break
			}
		}
		if at < 0 {
			return
		}
		work := o.jobs[at].work
		o.jobs = append(o.jobs[:at], o.jobs[at+1:]...)
		work()
	}
}

// follow does for one worker what Dispatcher.follow does, without waiting.
func (o *owner) follow(w *watcher, f *events) {
	client, _ := o.client(w.name)
	ctx := context.Background()
	if f.boot != "" {
		if e, err := o.d.poll(ctx, client, f.next, 0); err != nil {
			o.d.unreachable(o.s, w, err)
			f.boot = ""
			return
		} else if e.Info.BootID == f.boot {
			f.next = e.Next
			o.d.changed(o.s, w, e)
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
	o.d.listed(o.s, w, info, statuses)
}

func (o *owner) tick() {
	if o.dead || o.paused {
		return
	}
	if !o.stale {
		o.s.Freshness.RecordStoreRead(o.clock.Now(), o.view.Revision())
	}
	for _, name := range []string{"w1", "w2", "w3", "w4"} {
		if w := o.d.watchers[name]; w != nil && o.followed[w] != nil {
			o.follow(w, o.followed[w])
		}
	}
	o.d.onTick(o.s)
	o.drain()
}

// ticks lets the time pass.
func (r *rig) ticks(length time.Duration) {
	for range length / tick {
		r.clock.Advance(tick)
		r.a.tick()
		r.b.tick()
	}
}

func (o *owner) submit(req job.Request) chan job.Outcome {
	// The channel has room for more than one outcome, so that a second one is seen.
	waiter := make(chan job.Outcome, 4)
	o.NoErr(o.d.accept(o.s, req, "digest of "+req.ID, "", waiter))
	o.drain()
	return waiter
}

// runLog counts the starts in a worker's run log. Timers of the stand-ins write to it from goroutines of their own.
type runLog struct {
	mu     sync.Mutex
	starts map[job.Key]map[int]int
	on     map[string]int
}

// Write takes one line.
func (l *runLog) Write(text []byte) (int, error) {
	var line standin.RunLine
	if err := json.Unmarshal(text, &line); err != nil {
		return 0, err
	}
	if line.Event == standin.EventStart {
		l.mu.Lock()
		defer l.mu.Unlock()
		if l.starts[line.ID.Key()] == nil {
			l.starts[line.ID.Key()] = map[int]int{}
		}
		l.starts[line.ID.Key()][line.ID.Member]++
		l.on[line.Worker]++
	}
	return len(text), nil
}

// starts returns how often each member of the request was started, by the workers' logs.
func (r *rig) starts(key job.Key) map[int]int {
	r.log.mu.Lock()
	defer r.log.mu.Unlock()
	starts := map[int]int{}
	maps.Copy(starts, r.log.starts[key])
	return starts
}

// checkEnd checks what must hold once nothing is left to do: no capacity is held, and the models agree.
func (r *rig) checkEnd() {
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
		if o.dead {
			continue
		}
		for _, rack := range o.s.Cluster.Summaries() {
			r.Equal(fmt.Sprint(o.name, " free ", rack.FreeAccelerators, rack.FreeSlots), fmt.Sprint(o.name, " free ", 32, 32))
		}
		for organisation, n := range o.d.running {
			r.Equal(fmt.Sprint(o.name, " ", organisation, " runs ", n), fmt.Sprint(o.name, " ", organisation, " runs 0"))
		}
		for key, run := range o.d.runs {
			r.Equal(fmt.Sprint(o.name, " ", key, " ", run.phase), fmt.Sprint(o.name, " ", key, " ended"))
		}
	}
}
