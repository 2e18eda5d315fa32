package entry

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"clementinepier/board"
	"clementinepier/config"
	"clementinepier/membership"
	"clementinepier/message"
	"clementinepier/metrics"
	"clementinepier/placement"
	"clementinepier/router"
)

// Guards against a view that becomes stale between two watches although the store answers.
func TestWatchesKeepViewFresh(t *testing.T) {
	is := is.New(t)
	for _, window := range []time.Duration{time.Second, 2 * time.Second, 10 * time.Second} {
		is.True(2*watchWait(window)+window/10 <= window)
		is.True(watchWait(window) <= time.Second) // the store's longest watch
	}
}

// Guards against a status that omits silent entry VMs, racks without an owner, or guarantees that are lent or owed.
func TestStatusShowsSilentVMsAndUnownedRacks(t *testing.T) {
	is := is.New(t)
	p, clock := newPlatform()
	ctx := context.Background()
	v := newVM(t, "entry-1", p.Store(), clock)
	status, err := v.status(ctx)
	is.NoErr(err)
	is.Equal(len(status.Racks)+len(status.Organisations), 0) // no bundle is known yet
	_, err = v.roll(ctx, message.BundleChange{Signed: signedBundle(1, 1, "north", "south"), ChangeID: "c1"})
	is.NoErr(err)
	now := clock.Now()
	is.NoErr(v.board.Do(ctx, func(s *board.State) {
		s.Freshness.RecordStoreRead(now.Add(-time.Second), s.View.Revision())
		s.Members.RecordContact(now, v.selfMember(s))
		s.Members.RecordContact(now.Add(-5*time.Second), membership.Member{Name: "entry-2", FailureDomain: "south"})
		s.Reports["entry-2"] = board.Report{Revision: config.Revision{Bundle: 7}}
	}))
	anchors := v.anchors.forView(v.view.Load())
	north, south := anchors[0], anchors[1]
	if north.Rack != "north-1" {
		north, south = south, north
	}
	v.owners.Store(&router.Owners{List: []router.Owner{{VM: "entry-1", FailureDomain: "north", Racks: []placement.RackSummary{{
		Rack: "north-1", FreeAccelerators: 5, LargestBlock: 3, FreeSlots: 9,
		AnchorUsages: []placement.AnchorUsage{{Organisation: north.Organisation, UsedAccelerators: 1, UsedSlots: 1, LentAccelerators: 1}},
	}}}}})
	status, err = v.status(ctx)
	is.NoErr(err)
	is.Equal(status.Racks, []message.Rack{
		{Name: "north-1", FailureDomain: "north", Owner: "entry-1", FreeAccelerators: 5, LargestBlock: 3, FreeSlots: 9},
		{Name: "south-1", FailureDomain: "south"},
	})
	for _, o := range status.Organisations {
		is.Equal(o.Guaranteed, message.Capacity{Accelerators: 2, Slots: 1})
		switch o.Name {
		case north.Organisation:
			is.Equal(o.InUse, message.Capacity{Accelerators: 1, Slots: 1})
			is.Equal(o.Lent, message.Capacity{Accelerators: 1})
			is.Equal(o.Owed, message.Capacity{})
		case south.Organisation:
			is.Equal(o.Owed, o.Guaranteed)
		}
	}
	is.Equal(len(status.Members), 2)
	is.True(status.Members[0].Live && !status.Members[1].Live)
	is.Equal(status.Members[0].BundleRevision, uint64(1))
	is.Equal(status.Members[0].ViewAge.Std(), time.Second)
	is.Equal(status.Members[1].BundleRevision, uint64(7))
	is.True(status.Members[1].ViewAge == nil)
	is.True(v.Metrics.Get(metrics.StoreGets) > 0 && v.Metrics.Get(metrics.StoreSwaps) == 1)
}
