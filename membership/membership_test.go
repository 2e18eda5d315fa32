package membership

import (
	"flag"
	"fmt"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"clementinepier/kvstore"
)

// TestMain fixes the seed of rapid, so that runs are reproducible, and disables its failure files.
func TestMain(m *testing.M) {
	flag.Parse()
	if seed := flag.Lookup("rapid.seed"); seed.Value.String() == "0" {
		_ = flag.Set("rapid.seed", "20261204")
	}
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

var start = time.Date(2026, 12, 4, 5, 0, 0, 0, time.UTC)

func at(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }

func testMember(name, boot string) Member {
	return Member{Name: name, FailureDomain: "a", Address: "127.0.0.1:1", BootID: boot, Registered: true}
}

func testVM(name string) kvstore.VM {
	return kvstore.VM{Name: name, Kind: kvstore.KindEntry, FailureDomain: "a", Address: "127.0.0.1:1"}
}

// Guards against racks owned by members that are not live or are leaving, and against a delayed heartbeat that undoes a
// newer one.
func TestOwners(t *testing.T) {
	leaving, unregistered := testMember("v1", "x"), testMember("v3", "x")
	leaving.Leaving, unregistered.Registered = true, false
	for name, c := range map[string]struct {
		do   func(*Table) Event
		now  float64
		want []string
		last Event
	}{
		"all live":     {func(t *Table) Event { return EventNone }, 1.9, []string{"v1", "v2"}, EventNone},
		"no heartbeat": {func(t *Table) Event { return t.RecordContact(at(1), testMember("v1", "x")) }, 2, []string{"v1"}, EventNone},
		"refused stops being live early": {func(t *Table) Event {
			t.RecordConnectionRefused(at(0.5), "v1")
			return EventNone
		}, 1, []string{"v2"}, EventNone},
		"refused, then heartbeat": {func(t *Table) Event {
			t.RecordConnectionRefused(at(0.5), "v1")
			return t.RecordContact(at(0.7), testMember("v1", "x"))
		}, 1.9, []string{"v1", "v2"}, EventNone},
		"returned":  {func(t *Table) Event { return t.RecordContact(at(3), testMember("v1", "x")) }, 4, []string{"v1"}, EventReturned},
		"restarted": {func(t *Table) Event { return t.RecordContact(at(1), testMember("v1", "y")) }, 2, []string{"v1"}, EventRestarted},
		"leaving":   {func(t *Table) Event { return t.RecordContact(at(1), leaving) }, 1, []string{"v2"}, EventLeaving},
		"leaving is not cleared": {func(t *Table) Event {
			t.RecordContact(at(1), leaving)
			return t.RecordContact(at(1), testMember("v1", "x"))
		}, 1, []string{"v2"}, EventNone},
		"leaving ends with the boot": {func(t *Table) Event {
			t.RecordContact(at(1), leaving)
			return t.RecordContact(at(1), testMember("v1", "y"))
		}, 1, []string{"v1", "v2"}, EventRestarted},
		"delayed heartbeat of the earlier boot": {func(t *Table) Event {
			t.RecordContact(at(0), testMember("v1", "y"))
			return t.RecordContact(at(5), testMember("v1", "x"))
		}, 5, nil, EventIgnored},
		"not registered":      {func(t *Table) Event { return t.RecordContact(at(1), unregistered) }, 1, []string{"v1", "v2"}, EventJoined},
		"only not registered": {func(t *Table) Event { return t.RecordContact(at(9), unregistered) }, 9, []string{"v3"}, EventJoined},
		"list says leaving": {func(t *Table) Event {
			vm := testVM("v1")
			vm.Leaving = true
			t.SetPlatformList(at(1), []kvstore.VM{vm})
			return EventNone
		}, 1, []string{"v2"}, EventNone},
		"list drops a live member": {func(t *Table) Event {
			t.SetPlatformList(at(0), []kvstore.VM{testVM("v1"), testVM("v2")})
			t.SetPlatformList(at(1), nil)
			return EventNone
		}, 1, []string{"v1", "v2"}, EventNone},
		"list makes no member live": {func(t *Table) Event {
			t.SetPlatformList(at(1), []kvstore.VM{testVM("v1"), testVM("v9")})
			return EventNone
		}, 5, nil, EventNone},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			table := &Table{Self: "v1"}
			table.RecordContact(at(0), testMember("v2", "x"))
			table.RecordContact(at(0), testMember("v1", "x"))
			is.Equal(c.do(table), c.last)
			is.Equal(table.Owners(at(c.now), "a"), c.want)
			is.Equal(table.Owners(at(c.now), "b"), nil)
		})
	}
}

// Guards against removing the registration of a VM that may still answer heartbeats, and against never removing one.
func TestRemovable(t *testing.T) {
	both, self := []kvstore.VM{testVM("v1"), testVM("v2")}, []kvstore.VM{testVM("v1")}
	registrations := []Registration{{"v1", "a", 1}, {"v2", "a", 2}}
	for name, c := range map[string]struct {
		before, after []kvstore.VM
		do            func(*Table)
		now           float64
		want          []Registration
	}{
		"dropped, no heartbeat":   {both, self, func(*Table) {}, 30, registrations[1:]},
		"no heartbeat, too short": {both, self, func(*Table) {}, 29, nil},
		"later heartbeat":         {both, self, func(t *Table) { t.RecordContact(at(5), testMember("v2", "x")) }, 34, nil},
		"listed":                  {both, both, func(*Table) {}, 1000, nil},
		"list lacks this VM":      {both, nil, func(*Table) {}, 1000, nil},
		"never listed":            {self, self, func(*Table) {}, 599, nil},
		"never listed, long":      {self, self, func(*Table) {}, 600, registrations[1:]},
		"registered again":        {both, self, func(t *Table) { t.SetRegistrations(at(10), []Registration{{"v2", "a", 3}}) }, 39, nil},
		"registered again, 30s":   {both, self, func(t *Table) { t.SetRegistrations(at(10), []Registration{{"v2", "a", 3}}) }, 40, []Registration{{"v2", "a", 3}}},
		"not registered":          {both, self, func(t *Table) { t.SetRegistrations(at(10), nil) }, 1000, nil},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			table := &Table{Self: "v1"}
			table.SetRegistrations(at(0), registrations)
			table.RecordContact(at(0), testMember("v2", "x"))
			table.SetPlatformList(at(0), c.before)
			c.do(table)
			table.SetPlatformList(at(c.now-10), c.after)
			is.Equal(table.Removable(at(c.now)), c.want)
			is.Equal(table.Removable(at(c.now+0.001)), nil) // the list is too old by then
		})
	}
}

// Guards against losing contacts to send heartbeats to, and against a table that grows with every replaced VM.
func TestContactsAndForget(t *testing.T) {
	is := is.New(t)
	table := &Table{Self: "v0"}
	for i := range 100 {
		table.RecordContact(at(float64(i)), testMember(fmt.Sprintf("v%02d", i), "x"))
	}
	table.SetPlatformList(at(100), []kvstore.VM{testVM("v0"), testVM("v00"), testVM("w"), {Name: "worker", Kind: kvstore.KindWorker}})
	table.SetRegistrations(at(100), []Registration{{"v01", "a", 1}})
	is.Equal(len(table.Forget(at(100))), 69)
	var names []string
	for _, m := range table.Contacts(at(100)) {
		names = append(names, m.Name)
	}
	is.Equal(names[:2], []string{"v00", "v71"})
	is.Equal(names[len(names)-1], "w")
	is.Equal(len(names), 31)
	is.Equal(len(table.members), 31) // v00, v01 and v71 to v99
}

// Guards against a rack that moves between two members that were and are both present, and against an owner that depends
// on the order of the members.
func TestOwnerMovesOnlyRacksOfChangedMembers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		names := rapid.SliceOfNDistinct(rapid.StringMatching(`[a-z]{1,3}[0-9]{0,2}`), 1, 12, rapid.ID[string])
		before, after := names.Draw(t, "before"), names.Draw(t, "after")
		for i := range 40 {
			rack := fmt.Sprintf("rack-%d", i)
			was, is := Owner(rack, before), Owner(rack, after)
			if was != is && slices.Contains(after, was) && slices.Contains(before, is) {
				t.Fatalf("%s moved from %s to %s, which are in both sets", rack, was, is)
			}
			slices.Reverse(before)
			if Owner(rack, before) != was {
				t.Fatalf("owner of %s depends on the order", rack)
			}
		}
	})
}

// Guards against a hash that assigns most racks to a few members, and against an owner when there is no member.
func TestOwnerSpreadsRacks(t *testing.T) {
	is := is.New(t)
	is.Equal(Owner("r", nil), "")
	count := map[string]int{}
	for i := range 1000 {
		count[Owner(fmt.Sprintf("rack-%d", i), []string{"v1", "v2", "v3", "v4"})]++
	}
	for _, n := range count {
		is.True(n > 200 && n < 300)
	}
}

// Guards against gaining racks that a VM sees as its own only briefly, such as after a pause of the process.
func TestOwnershipIsGainedAfterDelay(t *testing.T) {
	is := is.New(t)
	racks := []string{"r1", "r2", "r3", "r4"}
	alone, both, gone := []string{"v1"}, []string{"v1", "v2"}, []string{"v2"}
	var v1 []string
	for _, rack := range racks {
		if Owner(rack, both) == "v1" {
			v1 = append(v1, rack)
		}
	}
	is.True(len(v1) > 0 && len(v1) < len(racks)) // the test needs both to own at least one rack
	o := &Ownership{Self: "v1"}
	is.Equal(o.Evaluate(at(0), racks, both), OwnershipChange{})
	is.Equal(o.Evaluate(at(0.4), racks, both), OwnershipChange{})
	is.Equal(o.Evaluate(at(0.5), racks, both), OwnershipChange{Gained: v1})
	is.Equal(o.Evaluate(at(0.6), racks, alone), OwnershipChange{}) // v2 does not seem live
	is.Equal(o.Evaluate(at(0.9), racks, both), OwnershipChange{})  // it is back
	is.Equal(o.Evaluate(at(1.2), racks, alone), OwnershipChange{})
	is.Equal(o.Evaluate(at(60), racks, alone), OwnershipChange{}) // paused in between: the delay starts again
	is.Equal(len(o.Evaluate(at(60.5), racks, alone).Gained), len(racks)-len(v1))
	is.Equal(o.Evaluate(at(60.6), racks[1:], alone), OwnershipChange{Lost: []string{"r1"}})
	is.Equal(o.Evaluate(at(60.7), racks, gone), OwnershipChange{Lost: racks[1:]})
	is.Equal(o.Owned(), nil)
	is.True(!o.Owns("r2"))
}
