package entry

import (
	"context"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"clementinepier/backlog"
	"clementinepier/board"
	"clementinepier/job"
	"clementinepier/metrics"
	"clementinepier/peer"
	"clementinepier/placement"
	"clementinepier/quota"
	"clementinepier/router"
	"clementinepier/standin/fault"
	"clementinepier/standin/platform"
	"clementinepier/trace"
)

// start has a fraction of a second, as most deadlines have.
var start = time.Date(2026, 12, 4, 6, 0, 0, 500_000_000, time.UTC)

var keptRequest = job.Request{
	Organisation: "org", ID: "q", Shape: job.Shape{Tasks: 1, Slots: 1}, Payload: []byte("p"), Timeout: job.Duration(time.Minute),
}

var freeRack = []placement.RackSummary{{Rack: "r", FreeSlots: 8, LargestBlock: 8}}

// receiver is the part of an entry VM that takes requests in flight. Its owner answers when answer is closed.
type receiver struct {
	*VM
	answer chan struct{}
	runs   chan job.Request
}

func newReceiver(t *testing.T, name string, clock clockwork.Clock, store *platform.Platform) *receiver {
	tracer, err := trace.New(name, "")
	is.New(t).NoErr(err)
	r := &receiver{answer: make(chan struct{}), runs: make(chan job.Request, 8)}
	r.VM = &VM{
		Clock: clock, Metrics: &metrics.Set{}, Tracer: tracer, self: peer.Identity{VM: name}, directory: newRequestDirectory(clock),
		journal: &backlog.Journal{Store: store.Store(), Receiver: name}, limitWaits: map[quota.Key]int{},
		board: board.New(&board.State{Quota: quota.New(name)}),
	}
	ctx, cancel := context.WithCancel(context.Background())
	boardDone := r.board.Run(ctx)
	t.Cleanup(func() {
		cancel()
		is.New(t).NoErr(<-boardDone)
	})
	r.router = &router.Router{
		Self: name, Clock: clock, Metrics: r.Metrics, Tracer: tracer,
		Owners: func() *router.Owners {
			return &router.Owners{List: []router.Owner{{VM: name, MayStart: true, Racks: freeRack}}}
		},
		Submit: func(_ context.Context, req job.Request, _ string) (job.Outcome, error) {
			r.runs <- req
			<-r.answer
			return job.Outcome{Key: req.Key(), Result: job.Done, Answer: []byte("answer")}, nil
		},
	}
	return r
}

// take takes the request in flight without sending it to an owner.
func (r *receiver) take(req job.Request) *inFlight {
	h, _ := r.directory.take(req, "digest", r.Clock.Now().Add(req.Timeout.Std()))
	return h
}

func (r *receiver) adoptAll(from string) {
	r.adoptFrom(context.Background(), []string{from}, map[string]time.Time{from: {}})
}

// records returns how many records each receiver has.
func records(t *testing.T, store *platform.Platform, name string) int {
	entries, err := store.Store().List(context.Background(), "requests/"+name+"/")
	is.New(t).NoErr(err)
	return len(entries)
}

// Guards against a request that nobody goes on with, or two receivers do, after its receiver died with 202 sent.
func TestReceiverDies(t *testing.T) {
	is, clock := is.New(t), clockwork.NewFakeClockAt(start)
	store := platform.New(platform.Options{Clock: clock})
	a, b, c := newReceiver(t, "a", clock, store), newReceiver(t, "b", clock, store), newReceiver(t, "c", clock, store)
	a.take(keptRequest)
	is.True(a.persist(context.Background(), keptRequest.Key()))
	clock.Advance(20 * time.Second)
	b.adoptFrom(context.Background(), []string{"a"}, nil) // a is not silent yet
	is.Equal(records(t, store, "a"), 1)
	b.adoptAll("a")
	b.adoptAll("a")
	c.adoptAll("a")
	is.Equal(c.directory.openCount(), 0)
	run := <-b.runs
	is.Equal(run.Payload, keptRequest.Payload)
	is.Equal(run.Timeout.Std(), 40*time.Second)
	close(b.answer)
	h, ok := b.directory.find(keptRequest.Key())
	is.True(ok)
	<-h.ended
	is.Equal(string(h.outcome.Answer), "answer")
	is.Equal(len(b.runs), 0) // it ran once
	clock.Advance(outcomeRetention + time.Second)
	b.release(context.Background())
	is.Equal(records(t, store, "a")+records(t, store, "b")+records(t, store, "c"), 0)
}

// Guards against "not run" for a request whose deadline passed while it had no receiver.
func TestAdoptedAfterDeadline(t *testing.T) {
	is, clock := is.New(t), clockwork.NewFakeClockAt(start)
	store := platform.New(platform.Options{Clock: clock})
	a, b := newReceiver(t, "a", clock, store), newReceiver(t, "b", clock, store)
	a.take(keptRequest)
	is.True(a.persist(context.Background(), keptRequest.Key()))
	clock.Advance(2 * time.Minute)
	b.adoptAll("a")
	h, _ := b.directory.find(keptRequest.Key())
	is.Equal(h.outcome.Result, job.Unknown)
	is.Equal(len(b.runs), 0)
}

// Guards against records that stay for ever: one whose write brought no reply, and one of a request that its new
// receiver had in flight already.
func TestRecordsAreReleased(t *testing.T) {
	is, clock := is.New(t), clockwork.NewFakeClockAt(start)
	store := platform.New(platform.Options{Clock: clock})
	a, b := newReceiver(t, "a", clock, store), newReceiver(t, "b", clock, store)
	first, second := a.take(keptRequest), b.take(keptRequest)
	store.SetFaults(fault.Faults{LoseReplies: true})
	is.True(!a.persist(context.Background(), keptRequest.Key())) // not certain, so the caller is not told that it is durable
	store.SetFaults(fault.Faults{})
	is.Equal(records(t, store, "a"), 1)
	b.adoptAll("a")
	is.Equal(records(t, store, "b"), 1)
	is.Equal(b.directory.openCount(), 1)
	is.True(a.persist(context.Background(), keptRequest.Key()))
	a.directory.end(first, job.Outcome{Key: keptRequest.Key(), Result: job.Done})
	b.directory.end(second, job.Outcome{Key: keptRequest.Key(), Result: job.Done})
	clock.Advance(outcomeRetention + time.Second)
	store.SetFaults(fault.Faults{Down: true})
	a.release(context.Background())
	b.release(context.Background())
	store.SetFaults(fault.Faults{})
	a.release(context.Background())
	b.release(context.Background())
	is.Equal(records(t, store, "a")+records(t, store, "b"), 0)
}

// Guards against outcomes that are kept without a bound on their memory.
func TestKeptOutcomesAreBounded(t *testing.T) {
	is, clock := is.New(t), clockwork.NewFakeClockAt(start)
	d := newRequestDirectory(clock)
	for _, id := range []string{"q1", "q2", "q3"} {
		req := keptRequest
		req.ID = id
		h, _ := d.take(req, "digest", clock.Now())
		clock.Advance(time.Second)
		d.end(h, job.Outcome{Key: req.Key(), Result: job.Done, Answer: make([]byte, maxKeptAnswers/2)})
	}
	is.Equal(len(d.prune()), 0) // none of them is in the journal
	_, first := d.find(job.Key{Organisation: "org", ID: "q1"})
	_, last := d.find(job.Key{Organisation: "org", ID: "q3"})
	is.True(!first && last)
}

// Guards against a record that is dropped with the outcome of an earlier request of the same id.
func TestIDUsedAgainIsKept(t *testing.T) {
	is, clock := is.New(t), clockwork.NewFakeClockAt(start)
	store := platform.New(platform.Options{Clock: clock})
	a := newReceiver(t, "a", clock, store)
	first := a.take(keptRequest)
	is.True(a.persist(context.Background(), keptRequest.Key()))
	a.directory.end(first, job.NewNotRun(keptRequest.Key(), job.CodeOverloaded, "", 0))
	clock.Advance(outcomeRetention + time.Second)
	ended := a.directory.prune()
	a.take(keptRequest)
	is.True(a.persist(context.Background(), keptRequest.Key()))
	a.drop(context.Background(), ended)
	is.Equal(records(t, store, "a"), 1)
}
