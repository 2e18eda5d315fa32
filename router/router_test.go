package router

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"github.com/pkg/errors"

	"clementinepier/job"
	"clementinepier/metrics"
	"clementinepier/peer"
	"clementinepier/placement"
	"clementinepier/trace"
)

// steppedClock advances by the delay that a caller waits for, so a test needs no second goroutine.
type steppedClock struct{ *clockwork.FakeClock }

func (c steppedClock) After(d time.Duration) <-chan time.Time {
	c.Advance(d)
	fired := make(chan time.Time, 1)
	fired <- c.Now()
	return fired
}

var request = job.Request{
	Organisation: "org", ID: "q", Shape: job.Shape{Tasks: 1, Accelerators: 4, Slots: 1}, Timeout: job.Duration(10 * time.Second),
}

// fakeOwners is a router whose owners are simulated. Owner "self" is called through Submit, the others through Call.
type fakeOwners struct {
	*Router
	clock  steppedClock
	owners *Owners
	// called lists the owners in the order of the run calls to them.
	called []string
	// runReplies has, by owner, the replies to its run calls in order; the last one is repeated.
	runReplies map[string][]func() (job.Outcome, error)
	// hasRequest has the owners that have the request in flight.
	hasRequest map[string]bool
}

func newFakeOwners(t *testing.T) *fakeOwners {
	tracer, err := trace.New("self", "")
	is.New(t).NoErr(err)
	r := &fakeOwners{
		clock: steppedClock{clockwork.NewFakeClockAt(time.Date(2026, 12, 4, 6, 0, 0, 0, time.UTC))}, runReplies: map[string][]func() (job.Outcome, error){}, hasRequest: map[string]bool{},
		owners: &Owners{List: []Owner{free("a", 32), free("b", 16), free("self", 8)}},
	}
	random := rand.New(rand.NewPCG(1, 1)) //nolint:gosec // a fixed seed
	r.Router = &Router{
		Self: "self", Clock: r.clock, Metrics: &metrics.Set{}, Tracer: tracer, Owners: func() *Owners { return r.owners },
		Submit: func(context.Context, job.Request, string) (job.Outcome, error) { return r.run("self") },
		Find:   func(context.Context, job.Key) (FindReply, error) { return FindReply{Found: r.hasRequest["self"]}, nil },
		Cancel: func(context.Context, job.Key) (bool, error) { return r.hasRequest["self"], nil },
		Call: func(_ context.Context, vm string, kind peer.Kind, _, reply any) (err error) {
			switch reply := reply.(type) {
			case *job.Outcome:
				*reply, err = r.run(vm)
			case *FindReply:
				reply.Found = r.hasRequest[vm]
			case *bool:
				*reply = r.hasRequest[vm]
			}
			return err
		},
		picker: picker{randIntN: random.IntN},
	}
	return r
}

func (r *fakeOwners) run(vm string) (job.Outcome, error) {
	r.called = append(r.called, vm)
	if len(r.called) > 500 {
		panic("more than 500 run calls: an owner is retried without a delay")
	}
	answers := r.runReplies[vm]
	if len(answers) == 0 {
		return job.Outcome{}, &peer.ErrPeerUnavailable{VM: vm, Kind: peer.KindRun, Cause: errors.New("no link")}
	}
	if len(answers) > 1 {
		r.runReplies[vm] = answers[1:]
	}
	return answers[0]()
}

func (r *fakeOwners) setReplies(vm string, answers ...func() (job.Outcome, error)) {
	r.runReplies[vm] = answers
}

func free(vm string, accelerators int) Owner {
	return Owner{VM: vm, MayStart: true, Racks: []placement.RackSummary{{
		Rack: "rack-" + vm, FreeAccelerators: accelerators, FreeSlots: accelerators, LargestBlock: accelerators,
		UnanchoredAccelerators: accelerators, UnanchoredSlots: accelerators,
	}}}
}

func done() (job.Outcome, error) {
	return job.Outcome{Key: request.Key(), Result: job.Done, Answer: []byte("answer")}, nil
}

func notRun(code job.Code) func() (job.Outcome, error) {
	return func() (job.Outcome, error) { return job.NewNotRun(request.Key(), code, "", 0), nil }
}

func unknown(code job.Code) func() (job.Outcome, error) {
	return func() (job.Outcome, error) { return job.NewUnknown(request.Key(), code, ""), nil }
}

func unavailable(delivered bool) func() (job.Outcome, error) {
	return func() (job.Outcome, error) {
		return job.Outcome{}, &peer.ErrPeerUnavailable{Delivered: delivered, Cause: errors.New("link lost")}
	}
}

func refused(code job.Code) func() (job.Outcome, error) {
	return func() (job.Outcome, error) { return job.Outcome{}, &peer.ErrRefused{Code: code} }
}

func mismatched() (job.Outcome, error) {
	return job.Outcome{Key: job.Key{Organisation: "other", ID: "q"}, Result: job.Done, Answer: []byte("theirs")}, nil
}

// Each case guards against a false outcome, or a run call to an owner that must not get one, after one kind of reply from
// the first owner. The first pick is always owner a, because owner b has no free capacity and a queue.
func TestRunOutcomeAndOwnerOrder(t *testing.T) {
	type answers = []func() (job.Outcome, error)
	for _, c := range []struct {
		name       string
		idempotent bool
		a, b       answers
		bHas       bool
		result     job.Result
		code       job.Code
		called     string
	}{
		{"done", false, answers{done}, nil, false, job.Done, "", "a"},
		{"owner not reached", false, answers{unavailable(false)}, answers{done}, false, job.Done, "", "a b"},
		{"no owner reached", false, answers{unavailable(false)}, answers{unavailable(false)}, false, job.NotRun, job.CodeNoRack, ""},
		{"owner lost, the next has the request", false, answers{unavailable(true)}, answers{done}, true, job.Done, "", "a b"},
		{"owner lost, idempotent, nobody has the request", true, answers{unavailable(true)}, answers{done}, false, job.Done, "", "a b"},
		{"owner lost, then not run", false, answers{unavailable(true)}, answers{notRun(job.CodeStoreUnavailable)}, true, job.Unknown, job.CodeStoreUnavailable, "a b"},
		{"owner lost, then no rack", false, answers{unavailable(true)}, answers{notRun(job.CodeNoRack)}, false, job.Unknown, "", ""},
		{"owner lost, then refused", false, answers{unavailable(true)}, answers{refused(job.CodeRequestIDConflict)}, true, job.Unknown, job.CodeRequestIDConflict, "a b"},
		{"id rejected", false, answers{refused(job.CodeRequestIDConflict)}, nil, false, job.NotRun, job.CodeRequestIDConflict, "a"},
		{"owner failed within the call, then not run", false, answers{refused(job.CodeBadRequest)}, answers{notRun(job.CodeCancelled)}, true, job.Unknown, job.CodeCancelled, "a b"},
		{"owner stopping", false, answers{refused(job.CodeStopping)}, answers{done}, false, job.Done, "", "a b"},
		{"answer to another request", false, answers{mismatched}, answers{done}, true, job.Done, "", "a b"},
		{"answers to other requests only", false, answers{mismatched}, answers{mismatched}, true, job.Unknown, "", ""},
		{"rack moved before a start", false, answers{notRun(job.CodeOwnerLost)}, answers{done}, false, job.Done, "", "a b"},
		{"rack moved after a start", false, answers{unknown(job.CodeOwnerLost)}, answers{done}, true, job.Done, "", "a b"},
		{"rack moved after a start, then not run", false, answers{unknown(job.CodeOwnerLost)}, answers{notRun(job.CodeCancelled)}, true, job.Unknown, job.CodeCancelled, "a b"},
		{"failure domain out of service", false, answers{notRun(job.CodeDomainOut)}, answers{done}, false, job.Done, "", "a b"},
		{"fits no rack", false, answers{notRun(job.CodeShapeFitsNoRack)}, answers{done}, false, job.NotRun, job.CodeShapeFitsNoRack, "a"},
		{"cancelled", false, answers{notRun(job.CodeCancelled)}, answers{done}, false, job.NotRun, job.CodeCancelled, "a"},
		{"unknown, not idempotent", false, answers{unknown(job.CodeWorkerLost)}, answers{done}, false, job.Unknown, job.CodeWorkerLost, "a"},
		{"unknown, idempotent", true, answers{unknown(job.CodeWorkerLost)}, answers{done}, false, job.Done, "", "a b"},
		{"unknown at the deadline, idempotent", true, answers{unknown(job.CodeDeadlineExceeded)}, answers{done}, false, job.Unknown, job.CodeDeadlineExceeded, "a"},
	} {
		t.Run(c.name, func(t *testing.T) {
			is, r := is.New(t), newFakeOwners(t)
			r.owners = &Owners{List: []Owner{free("a", 32), {VM: "b", MayStart: true, Queued: 1, Racks: free("b", 0).Racks}}}
			r.setReplies("a", c.a...)
			r.setReplies("b", c.b...)
			r.hasRequest["b"] = c.bHas
			req := request
			req.Idempotent = c.idempotent
			started := r.clock.Now()
			outcome := r.Run(context.Background(), req, "digest")
			is.Equal(outcome.Result, c.result)
			is.Equal(outcome.Key, req.Key())
			if c.called != "" {
				is.Equal(outcome.Code, c.code)
				is.Equal(strings.Join(r.called, " "), c.called)
			}
			is.Equal(string(outcome.Answer) == "answer", c.result == job.Done)
			is.True(r.clock.Since(started) <= req.Timeout.Std()+replyMargin)
		})
	}
}

// Guards against run calls in a tight loop to an owner that has the request and cannot be reached.
func TestLocatedOwnerIsRetriedWithPauses(t *testing.T) {
	is, r := is.New(t), newFakeOwners(t)
	r.owners = &Owners{List: []Owner{free("a", 32)}}
	r.hasRequest["a"] = true
	r.setReplies("a", unavailable(true))
	is.Equal(r.Run(context.Background(), request, "digest").Result, job.Unknown)
	is.True(len(r.called) <= 1+int(request.Timeout.Std()/retryDelay))
}

// Guards against an owner that gets the full timeout although a part of it has passed at other owners.
func TestOwnerGetsRemainingTimeout(t *testing.T) {
	is, r := is.New(t), newFakeOwners(t)
	r.owners = &Owners{List: []Owner{free("self", 8)}}
	var timeouts []time.Duration
	r.Submit = func(_ context.Context, req job.Request, _ string) (job.Outcome, error) {
		timeouts = append(timeouts, req.Timeout.Std())
		r.clock.Advance(4 * time.Second)
		return notRun(job.CodeNoRack)()
	}
	outcome := r.Run(context.Background(), request, "digest")
	is.Equal(outcome.Result, job.NotRun)
	is.Equal(timeouts, []time.Duration{10 * time.Second, 5900 * time.Millisecond, 1800 * time.Millisecond})
}

// Guards against owners that are picked although another can start the request sooner, or although they may not start it.
func TestPickPrefersOwnersThatStartSooner(t *testing.T) {
	own := free("own", 8)
	own.Racks[0].UnusedAnchors = []placement.UnusedAnchor{{Organisation: "org", Accelerators: 4, Slots: 1}}
	reclaim := free("reclaim", 0)
	reclaim.Racks[0].UnusedAnchors = own.Racks[0].UnusedAnchors
	outOfService := free("out", 99)
	outOfService.MayStart = false
	list := []Owner{own, free("free", 64), reclaim, free("wait", 0), outOfService, {VM: "rackless", MayStart: true}}
	is, p, excluded := is.New(t), picker{randIntN: func(int) int { return 0 }}, map[string]bool{}
	owners := &Owners{List: list}
	var order []string
	for {
		vm, ok := p.pick(owners, request, excluded)
		if !ok {
			break
		}
		excluded[vm] = true
		order = append(order, vm)
	}
	is.Equal(order, []string{"own", "free", "reclaim", "wait"})
}

// Guards against a burst that exceeds one owner's free capacity because the requests sent since its last report are not
// subtracted, also when the list is published again with the same reports.
func TestBurstIsSpreadByFreeCapacity(t *testing.T) {
	is := is.New(t)
	random := rand.New(rand.NewPCG(1, 1)) //nolint:gosec // a fixed seed
	p, counts := picker{randIntN: random.IntN}, map[string]int{}
	list := []Owner{free("a", 32), free("b", 16), free("c", 16)}
	for range 12 { // 12 requests of 4 accelerators and 1 slot each
		vm, ok := p.pick(&Owners{List: list}, request, nil)
		is.True(ok)
		counts[vm]++
	}
	is.True(counts["a"] <= 13 && counts["b"] <= 7 && counts["c"] <= 7)
	sent := 0
	for _, shape := range p.sentSinceReport {
		sent += shape.Accelerators
	}
	is.Equal(sent, 48) // what was sent is kept until the owner reports again
	list = append([]Owner{free("a", 4)}, list[1:]...)
	_, _ = p.pick(&Owners{List: list}, request, map[string]bool{"a": true})
	is.Equal(p.sentSinceReport["a"], job.Shape{}) // a new report already includes what was sent
}

// Guards against a lookup or a cancellation that stops at an owner that does not have the request, and against a lookup
// that reports "not found" although one owner could not be queried.
func TestLookupAndCancelReachEveryOwner(t *testing.T) {
	is, r := is.New(t), newFakeOwners(t)
	reply, err := r.Lookup(context.Background(), request.Key())
	is.NoErr(err)
	is.True(!reply.Found && !r.CancelAll(context.Background(), request.Key()))
	for _, vm := range []string{"b", "self"} {
		r.hasRequest = map[string]bool{vm: true}
		reply, err = r.Lookup(context.Background(), request.Key())
		is.NoErr(err)
		is.True(reply.Found && r.CancelAll(context.Background(), request.Key()))
	}
	call := r.Call
	r.hasRequest = map[string]bool{}
	r.Call = func(ctx context.Context, vm string, kind peer.Kind, body, reply any) error {
		if vm == "a" {
			return errors.New(fmt.Sprint(vm, " cannot be reached"))
		}
		return call(ctx, vm, kind, body, reply)
	}
	_, err = r.Lookup(context.Background(), request.Key())
	is.True(err != nil) // owner a may have the request
}

// Guards against a caller that is rejected only at its deadline although every owner has reported at once that the request
// would wait too long.
func TestOverloadIsReportedAtOnce(t *testing.T) {
	is := is.New(t)
	r := newFakeOwners(t)
	overloaded := func(retry time.Duration) func() (job.Outcome, error) {
		return func() (job.Outcome, error) {
			return job.NewNotRun(request.Key(), job.CodeOverloaded, "", job.Duration(retry)), nil
		}
	}
	r.setReplies("a", overloaded(9*time.Second))
	r.setReplies("b", overloaded(4*time.Second))
	r.setReplies("self", overloaded(6*time.Second))
	started := r.clock.Now()
	outcome := r.Run(context.Background(), request, "digest")
	is.Equal(outcome.Result, job.NotRun)
	is.Equal(outcome.Code, job.CodeOverloaded)
	is.Equal(outcome.RetryAfter.Std(), 4*time.Second) // the shortest delay of the three owners
	is.Equal(len(r.called), 3)
	is.Equal(r.clock.Since(started), time.Duration(0))

	r = newFakeOwners(t) // one owner's view is not fresh, which is temporary, so the request is retried
	r.setReplies("a", overloaded(9*time.Second))
	r.setReplies("b", overloaded(4*time.Second))
	r.setReplies("self", notRun(job.CodeViewNotFresh), done)
	is.Equal(r.Run(context.Background(), request, "digest").Result, job.Done)
}

// Guards against requests that are sent to an owner without free capacity for them, or back to the owner that gave them up.
func TestFitsElsewhere(t *testing.T) {
	is := is.New(t)
	anchored, open := free("lent", 8), free("open", 8)
	anchored.Racks[0].UnanchoredAccelerators, anchored.Racks[0].UnanchoredSlots = 0, 0 // all capacity is anchored for other organisations
	nonIdempotent, idempotent := request, request
	idempotent.Idempotent = true
	is.True((&Owners{List: []Owner{anchored}}).FitsElsewhere("self", idempotent))
	is.True(!(&Owners{List: []Owner{anchored}}).FitsElsewhere("self", nonIdempotent))
	is.True((&Owners{List: []Owner{anchored, open}}).FitsElsewhere("self", nonIdempotent))
	is.True(!(&Owners{List: []Owner{anchored, open}}).FitsElsewhere("open", nonIdempotent))
	open.MayStart = false
	is.True(!(&Owners{List: []Owner{open}}).FitsElsewhere("self", nonIdempotent))
}
