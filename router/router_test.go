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

// steppedClock passes at once what a pause asks for, so a test needs no second goroutine.
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

// rig is a router among fake owners. Owner "self" is called through Submit, the others through Call.
type rig struct {
	*Router
	clock  steppedClock
	owners *Owners
	// asked lists the owners in the order of the run calls.
	asked []string
	// runs answers the run calls of an owner, one after the other; the last answer is repeated.
	runs map[string][]func() (job.Outcome, error)
	// has lists the owners that have the request in flight.
	has map[string]bool
}

func newRig(t *testing.T) *rig {
	tracer, err := trace.New("self", "")
	is.New(t).NoErr(err)
	r := &rig{
		clock: steppedClock{clockwork.NewFakeClockAt(time.Date(2026, 12, 4, 6, 0, 0, 0, time.UTC))}, runs: map[string][]func() (job.Outcome, error){}, has: map[string]bool{},
		owners: &Owners{List: []Owner{free("a", 32), free("b", 16), free("self", 8)}},
	}
	random := rand.New(rand.NewPCG(1, 1)) //nolint:gosec // a fixed seed
	r.Router = &Router{
		Self: "self", Clock: r.clock, Metrics: &metrics.Set{}, Tracer: tracer, Owners: func() *Owners { return r.owners },
		Submit: func(context.Context, job.Request, string) (job.Outcome, error) { return r.run("self") },
		Find:   func(context.Context, job.Key) (FindReply, error) { return FindReply{Found: r.has["self"]}, nil },
		Cancel: func(context.Context, job.Key) (bool, error) { return r.has["self"], nil },
		Call: func(_ context.Context, vm string, kind peer.Kind, _, reply any) (err error) {
			switch reply := reply.(type) {
			case *job.Outcome:
				*reply, err = r.run(vm)
			case *FindReply:
				reply.Found = r.has[vm]
			case *bool:
				*reply = r.has[vm]
			}
			return err
		},
		picker: picker{draw: random.IntN},
	}
	return r
}

func (r *rig) run(vm string) (job.Outcome, error) {
	r.asked = append(r.asked, vm)
	if len(r.asked) > 500 {
		panic("an owner is asked again and again without a pause")
	}
	answers := r.runs[vm]
	if len(answers) == 0 {
		return job.Outcome{}, &peer.ErrPeerUnavailable{VM: vm, Kind: peer.KindRun, Cause: errors.New("no link")}
	}
	if len(answers) > 1 {
		r.runs[vm] = answers[1:]
	}
	return answers[0]()
}

func (r *rig) script(vm string, answers ...func() (job.Outcome, error)) { r.runs[vm] = answers }

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

func lost(delivered bool) func() (job.Outcome, error) {
	return func() (job.Outcome, error) {
		return job.Outcome{}, &peer.ErrPeerUnavailable{Delivered: delivered, Cause: errors.New("link lost")}
	}
}

func refused(code job.Code) func() (job.Outcome, error) {
	return func() (job.Outcome, error) { return job.Outcome{}, &peer.ErrRefused{Code: code} }
}

func crossed() (job.Outcome, error) {
	return job.Outcome{Key: job.Key{Organisation: "other", ID: "q"}, Result: job.Done, Answer: []byte("theirs")}, nil
}

// Each case guards against an outcome that is not true, or an owner that is asked when it must not be, after one kind
// of answer of the first owner. The first pick is owner a, because the others are not usable before.
func TestRun(t *testing.T) {
	type answers = []func() (job.Outcome, error)
	for _, c := range []struct {
		name       string
		idempotent bool
		a, b       answers
		bHas       bool
		result     job.Result
		code       job.Code
		asked      string
	}{
		{"done", false, answers{done}, nil, false, job.Done, "", "a"},
		{"owner not reached", false, answers{lost(false)}, answers{done}, false, job.Done, "", "a b"},
		{"no owner reached", false, answers{lost(false)}, answers{lost(false)}, false, job.NotRun, job.CodeNoRack, ""},
		{"owner lost, the next has the request", false, answers{lost(true)}, answers{done}, true, job.Done, "", "a b"},
		{"owner lost, idempotent, nobody has the request", true, answers{lost(true)}, answers{done}, false, job.Done, "", "a b"},
		{"owner lost, then not run", false, answers{lost(true)}, answers{notRun(job.CodeStoreUnavailable)}, true, job.Unknown, job.CodeStoreUnavailable, "a b"},
		{"owner lost, then no rack", false, answers{lost(true)}, answers{notRun(job.CodeNoRack)}, false, job.Unknown, "", ""},
		{"owner lost, then refused", false, answers{lost(true)}, answers{refused(job.CodeRequestIDConflict)}, true, job.Unknown, job.CodeRequestIDConflict, "a b"},
		{"refused for the id", false, answers{refused(job.CodeRequestIDConflict)}, nil, false, job.NotRun, job.CodeRequestIDConflict, "a"},
		{"owner failed within the call, then not run", false, answers{refused(job.CodeBadRequest)}, answers{notRun(job.CodeCancelled)}, true, job.Unknown, job.CodeCancelled, "a b"},
		{"refused for the owner", false, answers{refused(job.CodeStopping)}, answers{done}, false, job.Done, "", "a b"},
		{"answer to another request", false, answers{crossed}, answers{done}, true, job.Done, "", "a b"},
		{"answers to other requests only", false, answers{crossed}, answers{crossed}, true, job.Unknown, "", ""},
		{"rack moved before a start", false, answers{notRun(job.CodeOwnerLost)}, answers{done}, false, job.Done, "", "a b"},
		{"rack moved after a start", false, answers{unknown(job.CodeOwnerLost)}, answers{done}, true, job.Done, "", "a b"},
		{"rack moved after a start, then not run", false, answers{unknown(job.CodeOwnerLost)}, answers{notRun(job.CodeCancelled)}, true, job.Unknown, job.CodeCancelled, "a b"},
		{"failure domain out", false, answers{notRun(job.CodeDomainOut)}, answers{done}, false, job.Done, "", "a b"},
		{"fits no rack", false, answers{notRun(job.CodeShapeFitsNoRack)}, answers{done}, false, job.NotRun, job.CodeShapeFitsNoRack, "a"},
		{"cancelled", false, answers{notRun(job.CodeCancelled)}, answers{done}, false, job.NotRun, job.CodeCancelled, "a"},
		{"unknown, not idempotent", false, answers{unknown(job.CodeWorkerLost)}, answers{done}, false, job.Unknown, job.CodeWorkerLost, "a"},
		{"unknown, idempotent", true, answers{unknown(job.CodeWorkerLost)}, answers{done}, false, job.Done, "", "a b"},
		{"unknown at the deadline, idempotent", true, answers{unknown(job.CodeDeadlineExceeded)}, answers{done}, false, job.Unknown, job.CodeDeadlineExceeded, "a"},
	} {
		t.Run(c.name, func(t *testing.T) {
			is, r := is.New(t), newRig(t)
			r.owners = &Owners{List: []Owner{free("a", 32), {VM: "b", MayStart: true, Queued: 1, Racks: free("b", 0).Racks}}}
			r.script("a", c.a...)
			r.script("b", c.b...)
			r.has["b"] = c.bHas
			req := request
			req.Idempotent = c.idempotent
			began := r.clock.Now()
			outcome := r.Run(context.Background(), req, "digest")
			is.Equal(outcome.Result, c.result)
			is.Equal(outcome.Key, req.Key())
			if c.asked != "" {
				is.Equal(outcome.Code, c.code)
				is.Equal(strings.Join(r.asked, " "), c.asked)
			}
			is.Equal(string(outcome.Answer) == "answer", c.result == job.Done)
			is.True(r.clock.Since(began) <= req.Timeout.Std()+replyMargin)
		})
	}
}

// Guards against an owner that has the request and cannot be reached being asked without a pause.
func TestLocatedOwnerIsAskedWithPauses(t *testing.T) {
	is, r := is.New(t), newRig(t)
	r.owners = &Owners{List: []Owner{free("a", 32)}}
	r.has["a"] = true
	r.script("a", lost(true))
	is.Equal(r.Run(context.Background(), request, "digest").Result, job.Unknown)
	is.True(len(r.asked) <= 1+int(request.Timeout.Std()/repickDelay))
}

// Guards against an owner that gets more time than the caller has.
func TestTimeoutShrinks(t *testing.T) {
	is, r := is.New(t), newRig(t)
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

// Guards against owners that are asked although another can start the request sooner, or that are not usable.
func TestPickTiers(t *testing.T) {
	own := free("own", 8)
	own.Racks[0].UnusedAnchors = []placement.UnusedAnchor{{Organisation: "org", Accelerators: 4, Slots: 1}}
	reclaim := free("reclaim", 0)
	reclaim.Racks[0].UnusedAnchors = own.Racks[0].UnusedAnchors
	out := free("out", 99)
	out.MayStart = false
	list := []Owner{own, free("free", 64), reclaim, free("wait", 0), out, {VM: "rackless", MayStart: true}}
	is, p, excluded := is.New(t), picker{draw: func(int) int { return 0 }}, map[string]bool{}
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

// Guards against a burst that goes to one owner beyond what it has free, also while the list is published again with
// the same reports.
func TestBurstIsSpread(t *testing.T) {
	is := is.New(t)
	random := rand.New(rand.NewPCG(1, 1)) //nolint:gosec // a fixed seed
	p, counts := picker{draw: random.IntN}, map[string]int{}
	list := []Owner{free("a", 32), free("b", 16), free("c", 16)}
	for range 12 { // 12 requests of 4 accelerators and 1 slot each
		vm, ok := p.pick(&Owners{List: list}, request, nil)
		is.True(ok)
		counts[vm]++
	}
	is.True(counts["a"] <= 13 && counts["b"] <= 7 && counts["c"] <= 7)
	sent := 0
	for _, shape := range p.sent {
		sent += shape.Accelerators
	}
	is.Equal(sent, 48) // nothing that was sent is forgotten before its owner reports again
	list = append([]Owner{free("a", 4)}, list[1:]...)
	_, _ = p.pick(&Owners{List: list}, request, map[string]bool{"a": true})
	is.Equal(p.sent["a"], job.Shape{}) // a new report counts what was sent
}

// Guards against a lookup or a cancellation that stops at an owner that does not have the request.
func TestLookupAndCancel(t *testing.T) {
	is, r := is.New(t), newRig(t)
	reply, err := r.Lookup(context.Background(), request.Key())
	is.NoErr(err)
	is.True(!reply.Found && !r.CancelAll(context.Background(), request.Key()))
	for _, vm := range []string{"b", "self"} {
		r.has = map[string]bool{vm: true}
		reply, err = r.Lookup(context.Background(), request.Key())
		is.NoErr(err)
		is.True(reply.Found && r.CancelAll(context.Background(), request.Key()))
	}
	call := r.Call
	r.has = map[string]bool{}
	r.Call = func(ctx context.Context, vm string, kind peer.Kind, body, reply any) error {
		if vm == "a" {
			return errors.New(fmt.Sprint(vm, " cannot be asked"))
		}
		return call(ctx, vm, kind, body, reply)
	}
	_, err = r.Lookup(context.Background(), request.Key())
	is.True(err != nil) // nobody knows whether a has it
}

// Guards against a caller that hears only at its deadline what every owner has said at once: that it would wait too long.
func TestOverloadIsToldAtOnce(t *testing.T) {
	is := is.New(t)
	r := newRig(t)
	overloaded := func(retry time.Duration) func() (job.Outcome, error) {
		return func() (job.Outcome, error) {
			return job.NewNotRun(request.Key(), job.CodeOverloaded, "", job.Duration(retry)), nil
		}
	}
	r.script("a", overloaded(9*time.Second))
	r.script("b", overloaded(4*time.Second))
	r.script("self", overloaded(6*time.Second))
	began := r.clock.Now()
	outcome := r.Run(context.Background(), request, "digest")
	is.Equal(outcome.Result, job.NotRun)
	is.Equal(outcome.Code, job.CodeOverloaded)
	is.Equal(outcome.RetryAfter.Std(), 4*time.Second) // the owner that is free first
	is.Equal(len(r.asked), 3)
	is.Equal(r.clock.Since(began), time.Duration(0))

	r = newRig(t) // one owner cannot be asked now, so the request waits for it
	r.script("a", overloaded(9*time.Second))
	r.script("b", overloaded(4*time.Second))
	r.script("self", notRun(job.CodeViewNotFresh), done)
	is.Equal(r.Run(context.Background(), request, "digest").Result, job.Done)
}

// Guards against requests that are sent to an owner without room for them, or back to the one that gave them up.
func TestRoomBesides(t *testing.T) {
	is := is.New(t)
	lent, open := free("lent", 8), free("open", 8)
	lent.Racks[0].UnanchoredAccelerators, lent.Racks[0].UnanchoredSlots = 0, 0 // all of it lies under anchors of others
	once, often := request, request
	often.Idempotent = true
	is.True((&Owners{List: []Owner{lent}}).FitsElsewhere("self", often))
	is.True(!(&Owners{List: []Owner{lent}}).FitsElsewhere("self", once))
	is.True((&Owners{List: []Owner{lent, open}}).FitsElsewhere("self", once))
	is.True(!(&Owners{List: []Owner{lent, open}}).FitsElsewhere("open", once))
	open.MayStart = false
	is.True(!(&Owners{List: []Owner{open}}).FitsElsewhere("self", once))
}
