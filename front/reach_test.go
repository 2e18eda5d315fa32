package front

import (
	"context"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"clementinepier/codec"
	"clementinepier/engine"
	"clementinepier/peer"
)

// Guards against a load balancer that keeps sending callers to an entry VM that can serve none, because it is cut off with its
// failure domain, and against taking one out that the planner still serves.
func TestReadinessFollowsReachOfPlannerAndStore(t *testing.T) {
	for _, c := range []struct {
		name           string
		planner, store bool
		ready          bool
	}{
		{"both answer", true, true, true},
		{"the store refuses this entry VM", true, false, true},
		{"the planner is gone", false, true, true},
		{"cut off", false, false, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			v := newVMWithPlanner(t, func(ctx context.Context, _ peer.Identity, _ []byte) (any, error) {
				if !c.planner {
					<-ctx.Done()
					return nil, ctx.Err()
				}
				return true, nil
			})
			v.Store = engine.Store{Get: func(ctx context.Context, _ string) (engine.Item, error) {
				if !c.store {
					<-ctx.Done()
					return engine.Item{}, ctx.Err()
				}
				return engine.Item{}, &engine.ErrNotExist{}
			}}
			v.configuration.Store(&engine.Configuration{})
			v.reachable.Store(!c.ready)
			ctx, cancel := context.WithCancel(context.Background())
			ended := v.watchReach(ctx)
			// The link to the planner may take a moment to open.
			for end := time.Now().Add(5 * time.Second); v.ready() != c.ready && time.Now().Before(end); {
				time.Sleep(5 * time.Millisecond)
			}
			is.Equal(v.ready(), c.ready)
			cancel()
			is.NoErr(<-ended)
		})
	}
}

// Guards against telling callers that jobs are completed, before that is stored, while another entry VM may reach the store: it
// may be the planner by now.
func TestStoreCountsAsSilentToAllOnlyByFreshReports(t *testing.T) {
	is := is.New(t)
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	at := start.Add
	var s storeReports
	s.record("a", at(0), true)
	is.True(!s.allSilent(at(time.Hour))) // this entry VM is not the planner
	s.begin(start)
	s.record("a", at(time.Second), true)
	is.True(!s.allSilent(at(time.Second))) // others may not have been heard of yet
	s.record("a", at(10*time.Second), true)
	s.record("b", at(10*time.Second), true)
	is.True(s.allSilent(at(10 * time.Second)))
	s.record("b", at(10*time.Second), false)
	is.True(!s.allSilent(at(10 * time.Second))) // the store answers b
	s.record("b", at(10*time.Second), true)
	s.record("a", at(13*time.Second), true)
	is.True(!s.allSilent(at(13 * time.Second))) // nothing was heard of b lately
	s.record("a", at(80*time.Second), true)
	is.True(s.allSilent(at(80 * time.Second))) // b was removed
	s.begin(at(90 * time.Second))
	s.record("a", at(96*time.Second), true)
	s.recordCall("a", at(96*time.Second))
	is.True(s.allSilent(at(96 * time.Second)))
	s.recordCall("c", at(96*time.Second))
	is.True(!s.allSilent(at(96 * time.Second))) // c reports nothing: it runs an earlier version
}

// Guards against a malformed probe that counts as a report.
func TestMalformedProbeIsRefused(t *testing.T) {
	is := is.New(t)
	v := &VM{Settings: &Settings{Name: "a"}, Clock: clockwork.NewRealClock()}
	probe := v.handlers()[peer.KindProbe]
	_, err := probe(context.Background(), peer.Identity{VM: "b"}, []byte{0xff})
	is.True(peer.IsErrRefused(err))
	body, err := codec.Marshal(true)
	is.NoErr(err)
	serves, err := probe(context.Background(), peer.Identity{VM: "b"}, body)
	is.NoErr(err)
	is.Equal(serves, false)
}
