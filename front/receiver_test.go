package front

import (
	"context"
	"testing"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"clementinepier/engine"
	"clementinepier/peer"
)

// Guards against a busy loop in a call that the caller cancels while no planner is known.
func TestCancelledCallIsNotRetried(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	calls := 0
	r := &Receiver{
		Clock: clockwork.NewFakeClock(), Planner: func() *engine.Planner { return nil }, OnPlannerFailure: func() {},
		Forward: func(context.Context, peer.Kind, any, any) error {
			if calls++; calls > 1 {
				is.Fail() // retried without a delay
			}
			cancel()
			return &peer.ErrPeerUnavailable{Kind: peer.KindState, Cause: errNoPlanner}
		},
	}
	result := r.callPlanner(ctx, peer.KindState, "job", nil)
	is.Equal(result.Verdict, engine.VerdictUnavailable)
}
