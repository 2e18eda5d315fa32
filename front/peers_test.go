package front

import (
	"context"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"clementinepier/engine"
	"clementinepier/metrics"
	"clementinepier/peer"
)

var secret = []byte("a secret of at least thirty-two bytes")

// linked returns an entry VM whose planner is another process that serves calls with the handler.
func linked(t *testing.T, handler peer.Handler) *VM {
	t.Helper()
	is := is.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	remote := &peer.Hub{
		Self: peer.Identity{VM: "planner"}, Secrets: [][]byte{secret}, Clock: clockwork.NewRealClock(), Metrics: &metrics.Set{},
		Handlers: map[peer.Kind]peer.Handler{peer.KindState: handler},
	}
	_, err := remote.Run(ctx)
	is.NoErr(err)
	server := httptest.NewServer(remote)
	t.Cleanup(server.Close)
	v := &VM{
		Settings: &Settings{Name: "a"}, Clock: clockwork.NewRealClock(), silent: make(chan engine.Holder, 1),
		hub: &peer.Hub{Self: peer.Identity{VM: "a"}, Secrets: [][]byte{secret}, Clock: clockwork.NewRealClock(), Metrics: &metrics.Set{}},
	}
	_, err = v.hub.Run(ctx)
	is.NoErr(err)
	v.secretKnown.Store(true)
	v.setHolder(&engine.Holder{VM: "planner", Address: server.Listener.Addr().String()})
	return v
}

// call forwards a call once the link is up.
func call(t *testing.T, v *VM, timeout time.Duration) error {
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

// Guards against a planner that is taken for silent although it answers, so that every call goes to the store.
func TestPlannerThatAnswersIsNotSilent(t *testing.T) {
	is := is.New(t)
	v := linked(t, func(context.Context, peer.Identity, []byte) (any, error) {
		return engine.Result{Verdict: engine.VerdictAccepted}, nil
	})
	is.NoErr(call(t, v, 5*time.Second))
	is.True(!v.plannerSilent.Load())
}

// Guards against calls whose outcome will not be known, sent to a planner that left an earlier one unanswered.
func TestSilentPlannerGetsNoCalls(t *testing.T) {
	is := is.New(t)
	v := linked(t, func(ctx context.Context, _ peer.Identity, _ []byte) (any, error) {
		<-ctx.Done()
		return nil, ctx.Err()
	})
	is.True(peer.WasDelivered(call(t, v, 50*time.Millisecond)))
	is.True(v.plannerSilent.Load())
	var result engine.Result
	err := v.forward(context.Background(), peer.KindState, "job", &result)
	is.True(err != nil)
	is.True(!peer.WasDelivered(err))
}

// Guards against a planner that is taken for silent because it answered that it is not the planner any more.
func TestRefusalIsAnAnswer(t *testing.T) {
	is := is.New(t)
	v := linked(t, func(context.Context, peer.Identity, []byte) (any, error) {
		return nil, &peer.ErrRefused{Code: codeNotPlanner, Detail: "this entry VM is not the planner"}
	})
	is.True(peer.IsErrRefused(call(t, v, 5*time.Second)))
	is.True(!v.plannerSilent.Load())
}
