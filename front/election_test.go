package front

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"clementinepier/engine"
	"clementinepier/job"
	"clementinepier/standin/site"
)

// Guards against a planner on a VM that is too small to plan for all workers although a larger VM is available.
func TestLargerVMsClaimBeforeSmallerOnes(t *testing.T) {
	is := is.New(t)
	for _, pair := range [][2]float64{{0.8, 0.192}, {0.4, 0.12}, {0.8, 0.3}} {
		is.True(claimDelay(pair[0])+claimJitter < claimDelay(pair[1]))
	}
	is.True(claimDelay(0.001) <= maxClaimDelay)
}

// Guards against waiting for the lease of a planner to expire when that planner stepped down in a store outage, or was
// killed and has restarted on the same VM.
func TestEarlierClaimOfTheSameVMIsRemovedAtOnce(t *testing.T) {
	for name, test := range map[string]struct {
		holder engine.Holder
		gone   bool
	}{
		"own earlier term":               {engine.Holder{VM: "a", Address: "10.0.0.1:7000", Boot: "1"}, true},
		"earlier process of the same VM": {engine.Holder{VM: "a", Address: "10.0.0.1:7000", Boot: "0"}, true},
		"replaced VM of the same name":   {engine.Holder{VM: "a", Address: "10.0.0.2:7000", Boot: "0"}, false},
		"another VM":                     {engine.Holder{VM: "b", Address: "10.0.0.3:7000", Boot: "1"}, false},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				ctx, cancel := context.WithTimeout(context.Background(), engine.TermLength/2)
				defer cancel()
				store, clock := site.NewStore().Engine(), clockwork.NewRealClock()
				_, err := engine.Claim(ctx, store, clock, test.holder, engine.TermLength)
				is.NoErr(err)
				v := &VM{Settings: &Settings{Name: "a", Cores: 1, PeersAddress: "10.0.0.1:7000"}, Clock: clock, Store: store, bootID: "1", recheck: make(chan struct{}, 1)}
				from := time.Now()
				is.NoErr(v.electOnce(ctx))
				_, revision, err := engine.FindHolder(context.Background(), store)
				is.NoErr(err)
				is.Equal(revision == 0, test.gone)
				is.True(!test.gone || time.Since(from) < 100*time.Millisecond)
			})
		})
	}
}

// Guards against a lease that the store rejects as too short, so that no planner is ever elected.
func TestTermLengthRespectsMinStoreLease(t *testing.T) {
	is := is.New(t)
	v := &VM{Settings: &Settings{}}
	is.Equal(v.termLength(), engine.TermLength)
	v.Settings.Bounds.MinStoreLease = job.Duration(2 * time.Second)
	is.Equal(v.termLength(), 2*time.Second)
}

// Guards against a read of the planner's key after each watch without a change, which loads the store with some hundred VMs.
func TestUnchangedHolderIsNotReadAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		site, clock := site.NewStore(), clockwork.NewRealClock()
		store := site.Engine()
		_, err := engine.Claim(context.Background(), store, clock, engine.Holder{VM: "b", Address: "10.0.0.2:7000", Boot: "1"}, time.Hour)
		is.NoErr(err)
		var reads atomic.Int64
		get := store.Get
		store.Get = func(ctx context.Context, key string) (engine.Item, error) {
			reads.Add(1)
			return get(ctx, key)
		}
		v := &VM{Settings: &Settings{Name: "a", Cores: 1, PeersAddress: "10.0.0.1:7000"}, Clock: clock, Store: store, recheck: make(chan struct{}, 1)}
		ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
		defer cancel()
		ended := v.elect(ctx)
		time.Sleep(10 * time.Second)
		is.Equal(reads.Load(), int64(1))
		is.Equal(v.holder.Load().VM, "b")
		// A VM whose call to the planner failed reads the key again.
		v.recheckHolder()
		time.Sleep(time.Second)
		is.Equal(reads.Load(), int64(2))
		is.NoErr(<-ended)
	})
}

// Guards against a process that keeps running but can never plan again, because its earlier planner does not stop.
func TestPlannerThatDoesNotStopIsAnError(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		v := &VM{Clock: clockwork.NewRealClock()}
		is.True(IsErrPlannerStuck(v.awaitPlannerStop(make(chan error))))
		ended := make(chan error, 1)
		ended <- errSteppedDown
		is.NoErr(v.awaitPlannerStop(ended))
	})
}
