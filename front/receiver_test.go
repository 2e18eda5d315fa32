package front

import (
	"context"
	"testing"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"clementinepier/engine"
	"clementinepier/peer"
)

// Guards against a call that takes the whole processor because its caller has left while no planner is known.
func TestCallWhoseCallerHasLeftEndsAtOnce(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	calls := 0
	r := &Receiver{
		Clock: clockwork.NewFakeClock(), Planner: func() *engine.Planner { return nil }, OnPlannerFailure: func() {},
		Forward: func(context.Context, peer.Kind, any, any) error {
			if calls++; calls > 1 {
				is.Fail() // called again without a pause
			}
			cancel()
			return &peer.ErrPeerUnavailable{Kind: peer.KindState, Cause: errNoPlanner}
		},
	}
	result := r.askPlanner(ctx, peer.KindState, "job", nil)
	is.Equal(result.Verdict, engine.VerdictUnavailable)
}
