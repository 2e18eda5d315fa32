package platform_test

import (
	"context"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"github.com/pkg/errors"

	"clementinepier/job"
	"clementinepier/kvstore"
	"clementinepier/standin/fault"
	standin "clementinepier/standin/platform"
)

const lag = 2 * time.Second

type fixture struct {
	*is.I
	ctx               context.Context
	clock             *clockwork.FakeClock
	platform          *standin.Platform
	store             kvstore.Store
	directory         kvstore.Directory
	refuseConnections func()
}

// variants are the two ways to access the platform: in process and over HTTP. Every test case runs both ways.
var variants = map[string]func(t *testing.T, f *fixture){
	"memory": func(_ *testing.T, f *fixture) {
		f.store, f.directory = f.platform.Store(), f.platform.Directory()
		f.refuseConnections = func() { f.platform.SetFaults(fault.Faults{Refused: true}) }
	},
	"http": func(t *testing.T, f *fixture) {
		server := httptest.NewServer(f.platform.Handler())
		t.Cleanup(server.Close)
		// The client's own clock never advances, so that its calls don't time out.
		o := kvstore.Options{Address: server.Listener.Addr().String(), Clock: clockwork.NewFakeClock()}
		f.store, f.directory = kvstore.NewStore(o), kvstore.NewDirectory(o)
		f.refuseConnections = server.Close
	},
}

func TestContract(t *testing.T) {
	for name, test := range map[string]func(f *fixture){
		"writes check versions":               writesCheckVersions,
		"list filters by prefix in key order": listFiltersByPrefix,
		"large values are refused":            largeValuesAreRefused,
		"watch sees a write":                  watchSeesWrite,
		"watch ends after its wait":           watchEnds,
		"VM list lags":                        vmListLags,
		"fake clock context does not block":   fakeClockContextDoesNotBlock,
		"call during outage takes no effect":  outageTakesNoEffect,
		"lost reply takes effect":             lostReplyTakesEffect,
		"slow call takes effect":              slowCallTakesEffect,
		"slow call outlives its caller":       slowCallOutlivesCaller,
		"refused connection not delivered":    refusedIsNotDelivered,
		"calls are counted by kind":           callsAreCounted,
	} {
		for variant, prepare := range variants {
			t.Run(name+"/"+variant, func(t *testing.T) {
				ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
				defer cancel()
				clock := clockwork.NewFakeClock()
				f := &fixture{I: is.New(t), ctx: ctx, clock: clock, platform: standin.New(standin.Options{Clock: clock, Lag: lag})}
				prepare(t, f)
				test(f)
			})
		}
	}
}

func (f *fixture) put(key, value string, version uint64) uint64 {
	f.Helper()
	written, err := f.store.CompareAndSwap(f.ctx, key, []byte(value), version)
	f.NoErr(err)
	return written
}

func (f *fixture) get(key string) kvstore.Entry {
	f.Helper()
	entry, err := f.store.Get(f.ctx, key)
	f.NoErr(err)
	return entry
}

// delivered requires an *ErrUnavailable and returns its Delivered field.
func (f *fixture) delivered(err error) bool {
	f.Helper()
	var unavailable *kvstore.ErrUnavailable
	f.True(errors.As(err, &unavailable))
	return unavailable.Delivered
}

// Guards against two writers that both believe they won, also after a deletion.
func writesCheckVersions(f *fixture) {
	f.Equal(f.get("k"), kvstore.Entry{Key: "k"})
	first := f.put("k", "a", 0)
	_, err := f.store.CompareAndSwap(f.ctx, "k", []byte("b"), 0)
	var differs *kvstore.ErrVersionDiffers
	f.True(errors.As(err, &differs))
	f.Equal(*differs, kvstore.ErrVersionDiffers{Key: "k", Want: 0, Have: first})
	second := f.put("k", "b", first)
	f.True(second > first)
	f.True(kvstore.IsErrVersionDiffers(f.store.Delete(f.ctx, "k", first)))
	f.Equal(f.get("k"), kvstore.Entry{Key: "k", Value: []byte("b"), Version: second})
	f.NoErr(f.store.Delete(f.ctx, "k", second))
	f.Equal(f.get("k").Version, uint64(0))
	f.True(f.put("k", "c", 0) > second) // a version is never used twice
}

// Guards against a list that contains keys without the requested prefix.
func listFiltersByPrefix(f *fixture) {
	for _, key := range []string{"vms/b", "vms/a", "vm", "w"} {
		f.put(key, key, 0)
	}
	entries, err := f.store.List(f.ctx, "vms/")
	f.NoErr(err)
	f.Equal(len(entries), 2)
	f.Equal(entries[0].Key, "vms/a")
	f.Equal(string(entries[1].Value), "vms/b")
}

// Guards against a value over the size limit that is truncated or stored.
func largeValuesAreRefused(f *fixture) {
	largest := make([]byte, kvstore.MaxValueSize)
	version, err := f.store.CompareAndSwap(f.ctx, "k", largest, 0)
	f.NoErr(err)
	_, err = f.store.CompareAndSwap(f.ctx, "k", append(largest, 1), version)
	f.True(kvstore.IsErrValueTooLarge(err))
	f.Equal(len(f.get("k").Value), kvstore.MaxValueSize)
}

type watchResult struct {
	entry kvstore.Entry
	err   error
}

// watch starts a watch and returns once the watch waits on the fake clock.
func (f *fixture) watch(key string, after uint64, wait time.Duration) chan watchResult {
	f.Helper()
	result := make(chan watchResult, 1)
	go func() {
		entry, err := f.store.Watch(f.ctx, key, after, wait)
		result <- watchResult{entry, err}
	}()
	f.NoErr(f.clock.BlockUntilContext(f.ctx, 1))
	return result
}

// Guards against a watch that misses a write that happens before it starts or while it waits.
func watchSeesWrite(f *fixture) {
	result := f.watch("k", 0, time.Second)
	f.put("other", "x", 0)
	version := f.put("k", "a", 0)
	got := <-result
	f.NoErr(got.err)
	f.Equal(got.entry.Version, version)
	entry, err := f.store.Watch(f.ctx, "k", 0, time.Hour)
	f.NoErr(err)
	f.Equal(entry.Version, version)
	f.Equal(f.platform.Calls()["watch"], uint64(2))
}

// Guards against a watch that does not return when its wait ends without a write.
func watchEnds(f *fixture) {
	version := f.put("k", "a", 0)
	result := f.watch("k", version, time.Second)
	f.clock.Advance(time.Second)
	got := <-result
	f.NoErr(got.err)
	f.Equal(got.entry.Version, version)
}

// Guards against a VM list that shows changes immediately, so that tests would not cover the lag.
func vmListLags(f *fixture) {
	names := func() (names []string) {
		vms, err := f.directory.VMs(f.ctx)
		f.NoErr(err)
		for _, vm := range vms {
			if vm.Leaving {
				vm.Name += " leaving"
			}
			names = append(names, vm.Name)
		}
		return names
	}
	f.platform.AddVM(kvstore.VM{Name: "b", Address: "127.0.0.1:1"})
	f.platform.AddVM(kvstore.VM{Name: "a", Address: "127.0.0.1:2"})
	f.Equal(names(), nil)
	f.clock.Advance(lag)
	f.Equal(names(), []string{"a", "b"})
	f.True(f.platform.MarkLeaving("a", true))
	f.True(!f.platform.MarkLeaving("missing", true))
	f.platform.RemoveVM("b")
	f.Equal(names(), []string{"a", "b"})
	f.clock.Advance(lag)
	f.Equal(names(), []string{"a leaving"})
}

// Guards against a write that is applied during an injected outage.
func outageTakesNoEffect(f *fixture) {
	f.platform.SetFaults(fault.Faults{Down: true})
	_, err := f.store.CompareAndSwap(f.ctx, "k", nil, 0)
	f.True(f.delivered(err)) // the connection was made, so the client can't know whether the call took effect
	_, err = f.directory.VMs(f.ctx)
	f.True(f.delivered(err))
	f.platform.SetFaults(fault.Faults{})
	f.Equal(f.get("k").Version, uint64(0))
}

// Guards against a write that is not applied, or is reported as not delivered, when only its reply is lost.
func lostReplyTakesEffect(f *fixture) {
	f.platform.SetFaults(fault.Faults{LoseReplies: true, Calls: []string{"compare-and-swap"}})
	_, err := f.store.CompareAndSwap(f.ctx, "k", []byte("a"), 0)
	f.True(f.delivered(err))
	f.Equal(string(f.get("k").Value), "a")
}

// Guards against an injected delay that drops the call.
func slowCallTakesEffect(f *fixture) {
	f.platform.SetFaults(fault.Faults{Slow: job.Duration(time.Minute)})
	result := make(chan error, 1)
	go func() {
		_, err := f.store.CompareAndSwap(f.ctx, "k", []byte("a"), 0)
		result <- err
	}()
	f.NoErr(f.clock.BlockUntilContext(f.ctx, 1))
	f.clock.Advance(time.Minute)
	f.NoErr(<-result)
	f.platform.SetFaults(fault.Faults{})
	f.Equal(string(f.get("k").Value), "a")
}

// Guards against treating a cancelled or timed-out call as proof that nothing was written: the service may still apply
// the write later.
func slowCallOutlivesCaller(f *fixture) {
	f.platform.SetFaults(fault.Faults{Slow: job.Duration(time.Minute)})
	ctx, cancel := context.WithCancel(f.ctx)
	result := make(chan error, 1)
	go func() {
		_, err := f.store.CompareAndSwap(ctx, "k", []byte("a"), 0)
		result <- err
	}()
	f.NoErr(f.clock.BlockUntilContext(f.ctx, 1))
	cancel()
	f.True(f.delivered(<-result))
	f.platform.SetFaults(fault.Faults{})
	f.clock.Advance(time.Minute)
	entry, err := f.store.Watch(f.ctx, "k", 0, time.Hour)
	f.NoErr(err)
	f.Equal(string(entry.Value), "a")
}

// Guards against a call that blocks when its context has a deadline on a fake clock.
func fakeClockContextDoesNotBlock(f *fixture) {
	ctx, cancel := clockwork.WithTimeout(f.ctx, f.clock, time.Second)
	defer cancel()
	_, err := f.store.Get(ctx, "k")
	f.NoErr(err)
}

// Guards against a call that certainly did not reach the service but is reported as possibly delivered.
func refusedIsNotDelivered(f *fixture) {
	ctx, cancel := context.WithCancel(f.ctx)
	cancel()
	_, err := f.store.Get(ctx, "k")
	f.True(!f.delivered(err))
	f.refuseConnections()
	_, err = f.store.CompareAndSwap(f.ctx, "k", nil, 0)
	f.True(!f.delivered(err))
	_, err = f.directory.VMs(f.ctx)
	f.True(!f.delivered(err))
}

// Guards against calls missing from the call counts, which capacity figures are based on.
func callsAreCounted(f *fixture) {
	f.get("k")
	f.get("k")
	_ = f.store.Delete(f.ctx, "k", 1)
	_, err := f.directory.VMs(f.ctx)
	f.NoErr(err)
	f.Equal(f.platform.Calls(), map[string]uint64{"get": 2, "delete": 1, "vms": 1})
}

// Guards against keys that outlive their lease or are removed although it is renewed.
func TestLeaseRemovesKey(t *testing.T) {
	is, ctx, clock := is.New(t), context.Background(), clockwork.NewFakeClock()
	p := standin.New(standin.Options{Clock: clock})
	lease, err := p.GrantLease(ctx, time.Second)
	is.NoErr(err)
	_, err = p.CompareAndSwapLeased(ctx, "k", nil, 0, lease)
	is.NoErr(err)
	clock.Advance(time.Second - 1)
	is.NoErr(p.RenewLease(ctx, lease, time.Second))
	clock.Advance(time.Second - 1)
	entry, err := p.Store().Get(ctx, "k")
	is.NoErr(err)
	is.True(entry.Version > 0)
	clock.Advance(1)
	entry, err = p.Store().Get(ctx, "k")
	is.NoErr(err)
	is.Equal(entry.Version, uint64(0))
	is.True(p.RenewLease(ctx, lease, time.Second) != nil)
}
