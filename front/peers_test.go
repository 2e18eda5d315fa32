package front

import (
	"context"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"github.com/pkg/errors"

	"clementinepier/codec"
	"clementinepier/engine"
	"clementinepier/job"
	"clementinepier/metrics"
	"clementinepier/peer"
	"clementinepier/workload"
)

var secret = []byte("a secret of at least thirty-two bytes")

// newVMWithPlanner returns an entry VM that is linked to a planner on another hub, which serves calls with the handler.
func newVMWithPlanner(t *testing.T, handler peer.Handler) *VM {
	t.Helper()
	is := is.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	remote := &peer.Hub{
		Self: peer.Identity{VM: "planner"}, Secrets: [][]byte{secret}, Clock: clockwork.NewRealClock(), Metrics: &metrics.Set{},
		Handlers: map[peer.Kind]peer.Handler{peer.KindState: handler, peer.KindProbe: handler},
	}
	_, err := remote.Run(ctx)
	is.NoErr(err)
	server := httptest.NewServer(remote)
	t.Cleanup(server.Close)
	v := &VM{
		Settings: &Settings{Name: "a"}, Clock: clockwork.NewRealClock(), unresponsive: make(chan engine.Holder, 1),
		hub: &peer.Hub{Self: peer.Identity{VM: "a"}, Secrets: [][]byte{secret}, Clock: clockwork.NewRealClock(), Metrics: &metrics.Set{}},
	}
	_, err = v.hub.Run(ctx)
	is.NoErr(err)
	v.secretLoaded.Store(true)
	v.setHolder(&engine.Holder{VM: "planner", Address: server.Listener.Addr().String()})
	return v
}

// forwardOnceLinked forwards a call, and retries it for up to 5 s while the link is not open.
func forwardOnceLinked(t *testing.T, v *VM, timeout time.Duration) error {
	t.Helper()
	end := time.Now().Add(5 * time.Second)
	for {
		ctx, cancel := context.WithTimeout(context.Background(), timeout)
		var result engine.Result
		err := v.forward(ctx, peer.KindState, "job", &result)
		cancel()
		if err == nil || peer.WasDelivered(err) || time.Now().After(end) {
			return err
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// Guards against marking an answering planner as unresponsive, which sends every call to the store.
func TestAnsweringPlannerIsNotMarkedUnresponsive(t *testing.T) {
	is := is.New(t)
	v := newVMWithPlanner(t, func(context.Context, peer.Identity, []byte) (any, error) {
		return engine.Result{Verdict: engine.VerdictAccepted}, nil
	})
	is.NoErr(forwardOnceLinked(t, v, 5*time.Second))
	is.True(!v.plannerUnresponsive.Load())
}

// Guards against sending calls whose outcome will stay unknown to a planner that left an earlier call unanswered.
func TestUnresponsivePlannerGetsNoCalls(t *testing.T) {
	is := is.New(t)
	v := newVMWithPlanner(t, func(ctx context.Context, _ peer.Identity, _ []byte) (any, error) {
		<-ctx.Done()
		return nil, ctx.Err()
	})
	is.True(peer.WasDelivered(forwardOnceLinked(t, v, 50*time.Millisecond)))
	is.True(v.plannerUnresponsive.Load())
	var result engine.Result
	err := v.forward(context.Background(), peer.KindState, "job", &result)
	is.True(err != nil)
	is.True(!peer.WasDelivered(err))
}

// Guards against marking a process as unresponsive because it answered that it is no longer the planner.
func TestRejectedCallDoesNotMarkPlannerUnresponsive(t *testing.T) {
	is := is.New(t)
	v := newVMWithPlanner(t, func(context.Context, peer.Identity, []byte) (any, error) {
		return nil, &peer.ErrRefused{Code: codeNotPlanner, Detail: "this entry VM is not the planner"}
	})
	is.True(peer.IsErrRefused(forwardOnceLinked(t, v, 5*time.Second)))
	is.True(!v.plannerUnresponsive.Load())
}

// Guards against jobs from other entry VMs that take more memory together than they may, and against a bound that stays reached.
func TestSubmissionsOfOtherVMsAreBounded(t *testing.T) {
	is := is.New(t)
	v := &VM{Settings: &Settings{Name: "a"}, Clock: clockwork.NewRealClock()}
	body, err := codec.Marshal(workload.Job{ID: "j", Steps: make([]workload.Step, 1000)})
	is.NoErr(err)
	from := peer.Identity{VM: "b"}
	_, err = v.handleSubmission(context.Background(), from, body)
	var refused *peer.ErrRefused
	is.True(errors.As(err, &refused) && refused.Code == codeNotPlanner)

	v.planner.Store(&engine.Planner{})
	for _, limit := range []int64{int64(len(body)) - 1, int64(len(body)) + 1000} {
		v.submissions.Limit = limit
		result, err := v.handleSubmission(context.Background(), from, body)
		is.NoErr(err)
		is.Equal(result.(engine.Result).Verdict, engine.VerdictRefused)
		is.True(result.(engine.Result).RetryAfter > 0)
		is.True(v.submissions.Reserve(limit)) // Nothing is held any more.
		v.submissions.Release(limit)
	}
	_, err = v.handleSubmission(context.Background(), from, []byte{0xff})
	is.True(errors.As(err, &refused) && refused.Code == job.CodeBadRequest)
	is.True(v.submissions.Reserve(v.submissions.Limit))
}
