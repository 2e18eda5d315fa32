// Package membership decides which entry VMs are live, which of them owns a rack, and which registrations may be
// removed. It is pure: the caller passes the time and serialises access.
package membership

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"

	"clementinepier/kvstore"
)

// Defaults of Table.
const (
	// DefaultLiveWindow is four heartbeats.
	DefaultLiveWindow = 2 * time.Second
	// refusedWindow is two heartbeats: a process that restarts is back within it if it is quick.
	refusedWindow = time.Second
	// DefaultRemoveAfter is well above the longest pause or partition that a VM usually returns from.
	DefaultRemoveAfter = 30 * time.Second
	// DefaultUnlistedAfter is well above the lag of the platform's list, which may show a new VM late.
	DefaultUnlistedAfter = 10 * time.Minute
	// DefaultListMaxAge bounds the age of the list that a removal relies on.
	DefaultListMaxAge = 10 * time.Second
)

// Member is what an entry VM says about itself in a heartbeat.
type Member struct {
	Name          string
	FailureDomain string
	// Address is the IP number and port for links between entry VMs.
	Address string
	// BootID changes whenever the process starts; a new one means that the VM has lost its state.
	BootID     string
	Registered bool
	// Leaving members own no racks. A member never takes this back within one boot.
	Leaving bool
}

// Registration is an entry VM's key in the store.
type Registration struct {
	VM            string
	FailureDomain string
	// Version is the key's version. Every registration writes the key, so a VM that registered again has another one.
	Version uint64
}

// Event is what a heartbeat changed.
type Event string

// The events that RecordContact returns.
const (
	EventNone Event = ""
	// EventJoined is the first heartbeat of a VM.
	EventJoined Event = "joined"
	// EventRestarted is the first heartbeat of a new boot. Requests sent to the earlier boot are lost.
	EventRestarted Event = "restarted"
	// EventReturned is a heartbeat of a VM that was silent.
	EventReturned Event = "returned"
	// EventLeaving is the first heartbeat that announces leaving.
	EventLeaving Event = "leaving"
	// EventIgnored is a delayed heartbeat of an earlier boot.
	EventIgnored Event = "ignored"
)

// Table has the entry VMs that one entry VM knows, itself included. It is not safe for concurrent use. Zero fields take
// their defaults.
type Table struct {
	// Self is the name of this VM. Its caller reports it with RecordContact like any other, so a paused VM is silent to itself.
	Self string
	// LiveWindow is how long a member stays live after a heartbeat.
	LiveWindow time.Duration
	// RemoveAfter is how long a VM must be silent before its registration may be removed.
	RemoveAfter time.Duration
	// UnlistedAfter replaces RemoveAfter for a VM that was never seen in the platform's list.
	UnlistedAfter time.Duration
	// ListMaxAge is how long the platform's list may be used for removals.
	ListMaxAge time.Duration

	members       map[string]*member
	listed        map[string]listEntry
	listAt        time.Time
	registrations map[string]registration
}

type member struct {
	Member
	heard time.Time
	// refused is when a connection to the member was last refused.
	refused time.Time
	// earlier are the boot ids that were replaced; their delayed heartbeats are ignored.
	earlier []string
}

// maxEarlier bounds the replaced boot ids kept per member; a heartbeat is not delayed over more restarts than that.
const maxEarlier = 8

// listEntry is what the platform's lists have said about a VM.
type listEntry struct {
	vm      kvstore.VM
	present bool
}

type registration struct {
	Registration
	// since is when this version was first seen.
	since time.Time
}

// RecordContact records that a heartbeat or an answer of the member arrived.
func (t *Table) RecordContact(now time.Time, m Member) Event {
	if t.members == nil {
		t.members = map[string]*member{}
	}
	known := t.members[m.Name]
	if known == nil {
		t.members[m.Name] = &member{Member: m, heard: now}
		return EventJoined
	}
	if slices.Contains(known.earlier, m.BootID) {
		return EventIgnored
	}
	if m.BootID != known.BootID {
		known.earlier = append(known.earlier, known.BootID)
		if extra := len(known.earlier) - maxEarlier; extra > 0 {
			known.earlier = slices.Delete(known.earlier, 0, extra)
		}
		known.Member, known.heard = m, now
		return EventRestarted
	}
	event := EventNone
	switch {
	case m.Leaving && !known.Leaving:
		event = EventLeaving
	case !t.live(now, known):
		event = EventReturned
	}
	m.Leaving = m.Leaving || known.Leaving
	known.Member = m
	if now.After(known.heard) {
		known.heard = now
	}
	return event
}

// SetPlatformList records the platform's list. It only adds hints: a listed VM may be contacted, a leaving one owns nothing, and
// a VM that was dropped may lose its registration. It makes no member live or silent.
func (t *Table) SetPlatformList(now time.Time, list []kvstore.VM) {
	if t.listed == nil {
		t.listed = map[string]listEntry{}
	}
	for name, entry := range t.listed {
		entry.present = false
		t.listed[name] = entry
	}
	for _, vm := range list {
		if vm.Kind == kvstore.KindEntry {
			t.listed[vm.Name] = listEntry{vm: vm, present: true}
		}
	}
	t.listAt = now
}

// SetRegistrations records the registrations that the store has.
func (t *Table) SetRegistrations(now time.Time, list []Registration) {
	next := make(map[string]registration, len(list))
	for _, r := range list {
		since := now
		if old, ok := t.registrations[r.VM]; ok && old.Version == r.Version {
			since = old.since
		}
		next[r.VM] = registration{Registration: r, since: since}
	}
	t.registrations = next
}

// Live returns the members of the failure domain that are live, sorted by name. Leaving is also set for members that
// only the platform's list calls leaving.
func (t *Table) Live(now time.Time, domain string) []Member {
	var live []Member
	for _, name := range slices.Sorted(maps.Keys(t.members)) {
		m := t.members[name]
		if m.FailureDomain != domain || !t.live(now, m) {
			continue
		}
		found := m.Member
		entry := t.listed[name]
		found.Leaving = found.Leaving || (entry.present && entry.vm.Leaving)
		live = append(live, found)
	}
	return live
}

// Owners returns the names of the members that racks of the failure domain are divided among: the live ones that are
// not leaving. Members that are not registered own racks only if no other member is left, because they cannot start
// tasks while the store is down.
func (t *Table) Owners(now time.Time, domain string) []string {
	var registered, others []string
	for _, m := range t.Live(now, domain) {
		switch {
		case m.Leaving:
		case m.Registered:
			registered = append(registered, m.Name)
		default:
			others = append(others, m.Name)
		}
	}
	if len(registered) > 0 {
		return registered
	}
	return others
}

// Contacts returns every other entry VM to send heartbeats to, sorted by name: those of the platform's latest list and
// those heard within the remove delay. Of a VM that was never heard only name, failure domain and address are set.
func (t *Table) Contacts(now time.Time) []Member {
	found := map[string]Member{}
	for name, entry := range t.listed {
		if entry.present {
			found[name] = Member{Name: name, FailureDomain: entry.vm.FailureDomain, Address: entry.vm.Address}
		}
	}
	for name, m := range t.members {
		if _, listed := found[name]; listed || now.Sub(m.heard) < t.removeAfter() {
			found[name] = m.Member
		}
	}
	delete(found, t.Self)
	contacts := slices.Collect(maps.Values(found))
	slices.SortFunc(contacts, func(a, b Member) int { return strings.Compare(a.Name, b.Name) })
	return contacts
}

// MemberStatus is what this VM knows of an entry VM.
type MemberStatus struct {
	Member
	Live bool
	// LastContact is when the VM was last heard from; it is zero for a VM that is only listed.
	LastContact time.Time
}

// MemberStatuses returns this VM and every VM that it contacts, live or silent, sorted by failure domain and name.
func (t *Table) MemberStatuses(now time.Time) []MemberStatus {
	known := t.Contacts(now)
	if self := t.members[t.Self]; self != nil {
		known = append(known, self.Member)
	}
	sightings := make([]MemberStatus, 0, len(known))
	for _, k := range known {
		s := MemberStatus{Member: k}
		if m := t.members[k.Name]; m != nil {
			s.LastContact, s.Live = m.heard, t.live(now, m)
		}
		entry := t.listed[k.Name]
		s.Leaving = s.Leaving || (entry.present && entry.vm.Leaving)
		sightings = append(sightings, s)
	}
	slices.SortFunc(sightings, func(a, b MemberStatus) int {
		return cmp.Or(strings.Compare(a.FailureDomain, b.FailureDomain), strings.Compare(a.Name, b.Name))
	})
	return sightings
}

// Removable returns the registrations that may be removed, sorted by name: those of VMs that the platform's list has
// dropped and that were silent for the remove delay. The caller deletes exactly the version returned. Nothing is
// removable while the list is old or lacks this VM itself, since such a list says nothing about others.
func (t *Table) Removable(now time.Time) []Registration {
	if !t.listed[t.Self].present || now.Sub(t.listAt) > orDefault(t.ListMaxAge, DefaultListMaxAge) {
		return nil
	}
	var removable []Registration
	for _, name := range slices.Sorted(maps.Keys(t.registrations)) {
		r := t.registrations[name]
		entry, seen := t.listed[name]
		if name == t.Self || entry.present {
			continue
		}
		silentSince := r.since
		if m := t.members[name]; m != nil && m.heard.After(silentSince) {
			silentSince = m.heard
		}
		delay := t.removeAfter()
		if !seen {
			delay = max(delay, orDefault(t.UnlistedAfter, DefaultUnlistedAfter))
		}
		if now.Sub(silentSince) >= delay {
			removable = append(removable, r.Registration)
		}
	}
	return removable
}

// Forget drops members that were silent for the remove delay and are neither listed nor registered, and returns their
// names, sorted.
func (t *Table) Forget(now time.Time) []string {
	var gone []string
	for _, name := range slices.Sorted(maps.Keys(t.members)) {
		_, registered := t.registrations[name]
		if name == t.Self || registered || t.listed[name].present || now.Sub(t.members[name].heard) < t.removeAfter() {
			continue
		}
		gone = append(gone, name)
		delete(t.members, name)
	}
	for name, entry := range t.listed {
		_, registered := t.registrations[name]
		if _, known := t.members[name]; !entry.present && !registered && !known {
			delete(t.listed, name)
		}
	}
	return gone
}

// RecordConnectionRefused records that a connection to the member was refused, so that no process listens on its address. The member is
// then silent earlier than one from which only nothing is heard.
func (t *Table) RecordConnectionRefused(now time.Time, name string) {
	if m := t.members[name]; m != nil {
		m.refused = now
	}
}

func (t *Table) live(now time.Time, m *member) bool {
	window := orDefault(t.LiveWindow, DefaultLiveWindow)
	if m.refused.After(m.heard) {
		window = min(window, refusedWindow)
	}
	return now.Sub(m.heard) < window
}

func (t *Table) removeAfter() time.Duration { return orDefault(t.RemoveAfter, DefaultRemoveAfter) }

func orDefault(value, fallback time.Duration) time.Duration {
	if value <= 0 {
		return fallback
	}
	return value
}
