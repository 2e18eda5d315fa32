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

// start has a fraction of a second, as most real deadlines do.
var start = time.Date(2026, 12, 4, 6, 0, 0, 500_000_000, time.UTC)

var testRequest = job.Request{
	Organisation: "org", ID: "q", Shape: job.Shape{Tasks: 1, Slots: 1}, Payload: []byte("p"), Timeout: job.Duration(time.Minute),
}

var freeRack = []placement.RackSummary{{Rack: "r", FreeSlots: 8, LargestBlock: 8}}

// receiver is the part of an entry VM that receives requests. Its rack owner is a stub that sends each request to runs and
// answers once answer is closed.
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
		Clock: clock, Metrics: &metrics.Set{}, Tracer: tracer, self: peer.Identity{VM: name}, requests: newRequestTable(clock),
		journal: &backlog.Journal{Store: store.Store(), Receiver: name}, limitWaiters: map[quota.Key]int{},
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

// addRequest adds the request to the table without sending it to a rack owner.
func (r *receiver) addRequest(req job.Request) *trackedRequest {
	h, _ := r.requests.getOrAdd(req, "digest", r.Clock.Now().Add(req.Timeout.Std()))
	return h
}

func (r *receiver) adoptAll(from string) {
	r.adoptFrom(context.Background(), []string{from}, map[string]time.Time{from: {}})
}

// records returns the number of journal records of the named receiver.
func records(t *testing.T, store *platform.Platform, name string) int {
	entries, err := store.Store().List(context.Background(), "requests/"+name+"/")
	is.New(t).NoErr(err)
	return len(entries)
}

// Guards against a request that no receiver continues, or two do, after its receiver has answered with status 202 and then
// failed.
func TestRequestIsAdoptedOnceIfReceiverDies(t *testing.T) {
	is, clock := is.New(t), clockwork.NewFakeClockAt(start)
	store := platform.New(platform.Options{Clock: clock})
	a, b, c := newReceiver(t, "a", clock, store), newReceiver(t, "b", clock, store), newReceiver(t, "c", clock, store)
	a.addRequest(testRequest)
	is.True(a.persist(context.Background(), testRequest.Key()))
	clock.Advance(20 * time.Second)
	b.adoptFrom(context.Background(), []string{"a"}, nil) // a is not silent yet
	is.Equal(records(t, store, "a"), 1)
	b.adoptAll("a")
	b.adoptAll("a")
	c.adoptAll("a")
	is.Equal(c.requests.openCount(), 0)
	run := <-b.runs
	is.Equal(run.Payload, testRequest.Payload)
	is.Equal(run.Timeout.Std(), 40*time.Second)
	close(b.answer)
	h, ok := b.requests.find(testRequest.Key())
	is.True(ok)
	<-h.ended
	is.Equal(string(h.outcome.Answer), "answer")
	is.Equal(len(b.runs), 0) // it ran once
	clock.Advance(outcomeRetention + time.Second)
	b.pruneRequests(context.Background())
	is.Equal(records(t, store, "a")+records(t, store, "b")+records(t, store, "c"), 0)
}

// Guards against the outcome "not run" for a request whose deadline passed while it had no receiver: it may have run.
func TestOutcomeIsUnknownIfAdoptedAfterDeadline(t *testing.T) {
	is, clock := is.New(t), clockwork.NewFakeClockAt(start)
	store := platform.New(platform.Options{Clock: clock})
	a, b := newReceiver(t, "a", clock, store), newReceiver(t, "b", clock, store)
	a.addRequest(testRequest)
	is.True(a.persist(context.Background(), testRequest.Key()))
	clock.Advance(2 * time.Minute)
	b.adoptAll("a")
	h, _ := b.requests.find(testRequest.Key())
	is.Equal(h.outcome.Result, job.Unknown)
	is.Equal(len(b.runs), 0)
}

// Guards against journal records that are never removed: one whose write got no reply, and one of a request that the
// adopting receiver already had in flight.
func TestJournalRecordsAreRemoved(t *testing.T) {
	is, clock := is.New(t), clockwork.NewFakeClockAt(start)
	store := platform.New(platform.Options{Clock: clock})
	a, b := newReceiver(t, "a", clock, store), newReceiver(t, "b", clock, store)
	first, second := a.addRequest(testRequest), b.addRequest(testRequest)
	store.SetFaults(fault.Faults{LoseReplies: true})
	// The write may have failed, so it must not be reported as durable.
	is.True(!a.persist(context.Background(), testRequest.Key()))
	store.SetFaults(fault.Faults{})
	is.Equal(records(t, store, "a"), 1)
	b.adoptAll("a")
	is.Equal(records(t, store, "b"), 1)
	is.Equal(b.requests.openCount(), 1)
	is.True(a.persist(context.Background(), testRequest.Key()))
	a.requests.end(first, job.Outcome{Key: testRequest.Key(), Result: job.Done})
	b.requests.end(second, job.Outcome{Key: testRequest.Key(), Result: job.Done})
	clock.Advance(outcomeRetention + time.Second)
	store.SetFaults(fault.Faults{Down: true})
	a.pruneRequests(context.Background())
	b.pruneRequests(context.Background())
	store.SetFaults(fault.Faults{})
	a.pruneRequests(context.Background())
	b.pruneRequests(context.Background())
	is.Equal(records(t, store, "a")+records(t, store, "b"), 0)
}

// Guards against retained outcomes that use an unlimited amount of memory.
func TestRetainedAnswersAreBounded(t *testing.T) {
	is, clock := is.New(t), clockwork.NewFakeClockAt(start)
	d := newRequestTable(clock)
	for _, id := range []string{"q1", "q2", "q3"} {
		req := testRequest
		req.ID = id
		h, _ := d.getOrAdd(req, "digest", clock.Now())
		clock.Advance(time.Second)
		d.end(h, job.Outcome{Key: req.Key(), Result: job.Done, Answer: make([]byte, maxRetainedAnswerBytes/2)})
	}
	is.Equal(len(d.prune()), 0) // none of them is in the journal
	_, first := d.find(job.Key{Organisation: "org", ID: "q1"})
	_, last := d.find(job.Key{Organisation: "org", ID: "q3"})
	is.True(!first && last)
}

// Guards against removing the record of a request together with the outcome of an earlier request that used the same id.
func TestPruningKeepsRecordOfReusedID(t *testing.T) {
	is, clock := is.New(t), clockwork.NewFakeClockAt(start)
	store := platform.New(platform.Options{Clock: clock})
	a := newReceiver(t, "a", clock, store)
	first := a.addRequest(testRequest)
	is.True(a.persist(context.Background(), testRequest.Key()))
	a.requests.end(first, job.NewNotRun(testRequest.Key(), job.CodeOverloaded, "", 0))
	clock.Advance(outcomeRetention + time.Second)
	ended := a.requests.prune()
	a.addRequest(testRequest)
	is.True(a.persist(context.Background(), testRequest.Key()))
	a.removeRecords(context.Background(), ended)
	is.Equal(records(t, store, "a"), 1)
}
