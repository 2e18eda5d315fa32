// Package membership decides which entry VMs are live, which of them owns a rack, and which registrations may be
// removed. It has no goroutines, clock or I/O: the caller passes the time and serialises access.
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
	// DefaultLiveWindow is four heartbeat intervals.
	DefaultLiveWindow = 2 * time.Second
	// refusedLiveWindow replaces the live window after a refused connection. It is two heartbeat intervals, in which a fast
	// restart of the process completes.
	refusedLiveWindow = time.Second
	// DefaultRemoveAfter is well above the longest pause or partition from which a VM usually recovers.
	DefaultRemoveAfter = 30 * time.Second
	// DefaultUnlistedAfter is well above the lag with which the platform's list shows a new VM.
	DefaultUnlistedAfter = 10 * time.Minute
	// DefaultListMaxAge bounds the age of the list that a removal relies on.
	DefaultListMaxAge = 10 * time.Second
)

// Member is an entry VM as described by its own heartbeats.
type Member struct {
	Name          string
	FailureDomain string
	// Address is the IP address and port for links between entry VMs.
	Address string
	// BootID changes at every start of the process; a new one means that the VM has lost its state.
	BootID     string
	Registered bool
	// Leaving means that the member is shutting down and owns no racks. It is never cleared within one boot.
	Leaving bool
}

// Registration is the registration of an entry VM in the store.
type Registration struct {
	VM            string
	FailureDomain string
	// Version is the version of the key. Every registration writes the key, so a VM that registers again has a new version.
	Version uint64
}

// Event is the change of membership that a heartbeat caused.
type Event string

// The events that RecordContact returns.
const (
	EventNone Event = ""
	// EventJoined is the first heartbeat of a VM.
	EventJoined Event = "joined"
	// EventRestarted is the first heartbeat of a new boot. Requests sent to the earlier boot are lost.
	EventRestarted Event = "restarted"
	// EventReturned is the first heartbeat of a VM that was no longer live.
	EventReturned Event = "returned"
	// EventLeaving is the first heartbeat that announces leaving.
	EventLeaving Event = "leaving"
	// EventIgnored is a delayed heartbeat of an earlier boot.
	EventIgnored Event = "ignored"
)

// Table has the entry VMs known to one entry VM, itself included. It is not safe for concurrent use. Zero fields use
// their defaults.
type Table struct {
	// Self is the name of this VM. The caller records it with RecordContact like any other, so a VM that was paused does not
	// see itself as live.
	Self string
	// LiveWindow is how long a member stays live after a heartbeat.
	LiveWindow time.Duration
	// RemoveAfter is how long a VM must have sent no heartbeat before its registration may be removed.
	RemoveAfter time.Duration
	// UnlistedAfter replaces RemoveAfter, if it is longer, for a VM that was never seen in the platform's list.
	UnlistedAfter time.Duration
	// ListMaxAge is the maximum age at which the platform's list is used for removals.
	ListMaxAge time.Duration

	members        map[string]*member
	listEntries    map[string]listEntry
	platformListAt time.Time
	registrations  map[string]registration
}

type member struct {
	Member
	lastContact time.Time
	// lastRefused is when a connection to the member was last refused.
	lastRefused time.Time
	// earlierBoots are the replaced boot ids; their delayed heartbeats are ignored.
	earlierBoots []string
}

// maxEarlierBoots bounds the replaced boot ids kept per member. No heartbeat is expected to be delayed by more restarts.
const maxEarlierBoots = 8

// listEntry is a VM that is or was in the platform's list; present is whether the latest list has it.
type listEntry struct {
	vm      kvstore.VM
	present bool
}

type registration struct {
	Registration
	// firstSeen is when this version was first seen.
	firstSeen time.Time
}

// RecordContact records a heartbeat of the member, or its answer to one, that arrived at the time given.
func (t *Table) RecordContact(now time.Time, m Member) Event {
	if t.members == nil {
		t.members = map[string]*member{}
	}
	known := t.members[m.Name]
	if known == nil {
		t.members[m.Name] = &member{Member: m, lastContact: now}
		return EventJoined
	}
	if slices.Contains(known.earlierBoots, m.BootID) {
		return EventIgnored
	}
	if m.BootID != known.BootID {
		known.earlierBoots = append(known.earlierBoots, known.BootID)
		if extra := len(known.earlierBoots) - maxEarlierBoots; extra > 0 {
			known.earlierBoots = slices.Delete(known.earlierBoots, 0, extra)
		}
		known.Member, known.lastContact = m, now
		return EventRestarted
	}
	event := EventNone
	switch {
	case m.Leaving && !known.Leaving:
		event = EventLeaving
	case !t.isLive(now, known):
		event = EventReturned
	}
	m.Leaving = m.Leaving || known.Leaving
	known.Member = m
	if now.After(known.lastContact) {
		known.lastContact = now
	}
	return event
}

// SetPlatformList records the platform's list of VMs. The list does not affect whether a member is live. It only makes
// listed VMs contacts, keeps leaving VMs from owning racks, and allows the registrations of dropped VMs to be removed.
func (t *Table) SetPlatformList(now time.Time, list []kvstore.VM) {
	if t.listEntries == nil {
		t.listEntries = map[string]listEntry{}
	}
	for name, entry := range t.listEntries {
		entry.present = false
		t.listEntries[name] = entry
	}
	for _, vm := range list {
		if vm.Kind == kvstore.KindEntry {
			t.listEntries[vm.Name] = listEntry{vm: vm, present: true}
		}
	}
	t.platformListAt = now
}

// SetRegistrations records the registrations in the store.
func (t *Table) SetRegistrations(now time.Time, list []Registration) {
	next := make(map[string]registration, len(list))
	for _, r := range list {
		since := now
		if old, ok := t.registrations[r.VM]; ok && old.Version == r.Version {
			since = old.firstSeen
		}
		next[r.VM] = registration{Registration: r, firstSeen: since}
	}
	t.registrations = next
}

// Live returns the members of the failure domain that are live, sorted by name. Leaving is also set for members that
// are leaving only according to the platform's list.
func (t *Table) Live(now time.Time, domain string) []Member {
	var live []Member
	for _, name := range slices.Sorted(maps.Keys(t.members)) {
		m := t.members[name]
		if m.FailureDomain != domain || !t.isLive(now, m) {
			continue
		}
		found := m.Member
		entry := t.listEntries[name]
		found.Leaving = found.Leaving || (entry.present && entry.vm.Leaving)
		live = append(live, found)
	}
	return live
}

// Owners returns the names of the members that own the racks of the failure domain: the live ones that are not leaving.
// Members that are not registered own racks only if there is no registered one, because they cannot start tasks while the
// store is down.
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
// those whose last contact is less than RemoveAfter ago. For a VM without contact, only name, failure domain and address
// are set.
func (t *Table) Contacts(now time.Time) []Member {
	found := map[string]Member{}
	for name, entry := range t.listEntries {
		if entry.present {
			found[name] = Member{Name: name, FailureDomain: entry.vm.FailureDomain, Address: entry.vm.Address}
		}
	}
	for name, m := range t.members {
		if _, listed := found[name]; listed || now.Sub(m.lastContact) < t.removeAfter() {
			found[name] = m.Member
		}
	}
	delete(found, t.Self)
	contacts := slices.Collect(maps.Values(found))
	slices.SortFunc(contacts, func(a, b Member) int { return strings.Compare(a.Name, b.Name) })
	return contacts
}

// MemberStatus is the state of an entry VM as seen by this VM.
type MemberStatus struct {
	Member
	Live bool
	// LastContact is when the last heartbeat or answer of the VM arrived; it is zero for a VM that is only listed.
	LastContact time.Time
}

// MemberStatuses returns this VM and all contacts, live or not, sorted by failure domain and name.
func (t *Table) MemberStatuses(now time.Time) []MemberStatus {
	known := t.Contacts(now)
	if self := t.members[t.Self]; self != nil {
		known = append(known, self.Member)
	}
	statuses := make([]MemberStatus, 0, len(known))
	for _, k := range known {
		s := MemberStatus{Member: k}
		if m := t.members[k.Name]; m != nil {
			s.LastContact, s.Live = m.lastContact, t.isLive(now, m)
		}
		entry := t.listEntries[k.Name]
		s.Leaving = s.Leaving || (entry.present && entry.vm.Leaving)
		statuses = append(statuses, s)
	}
	slices.SortFunc(statuses, func(a, b MemberStatus) int {
		return cmp.Or(strings.Compare(a.FailureDomain, b.FailureDomain), strings.Compare(a.Name, b.Name))
	})
	return statuses
}

// Removable returns the registrations that may be removed, sorted by name: those of VMs that are not in the platform's
// list, and have neither sent a heartbeat nor registered again for RemoveAfter or UnlistedAfter. The caller must delete
// exactly the version returned. Nothing is removable while the list is older than ListMaxAge or lacks this VM itself, since
// such a list is unreliable.
func (t *Table) Removable(now time.Time) []Registration {
	if !t.listEntries[t.Self].present || now.Sub(t.platformListAt) > orDefault(t.ListMaxAge, DefaultListMaxAge) {
		return nil
	}
	var removable []Registration
	for _, name := range slices.Sorted(maps.Keys(t.registrations)) {
		r := t.registrations[name]
		entry, seen := t.listEntries[name]
		if name == t.Self || entry.present {
			continue
		}
		noContactSince := r.firstSeen
		if m := t.members[name]; m != nil && m.lastContact.After(noContactSince) {
			noContactSince = m.lastContact
		}
		delay := t.removeAfter()
		if !seen {
			delay = max(delay, orDefault(t.UnlistedAfter, DefaultUnlistedAfter))
		}
		if now.Sub(noContactSince) >= delay {
			removable = append(removable, r.Registration)
		}
	}
	return removable
}

// Forget drops members that have sent no heartbeat for RemoveAfter and are neither listed nor registered, and returns
// their names, sorted.
func (t *Table) Forget(now time.Time) []string {
	var gone []string
	for _, name := range slices.Sorted(maps.Keys(t.members)) {
		_, registered := t.registrations[name]
		if name == t.Self || registered || t.listEntries[name].present || now.Sub(t.members[name].lastContact) < t.removeAfter() {
			continue
		}
		gone = append(gone, name)
		delete(t.members, name)
	}
	for name, entry := range t.listEntries {
		_, registered := t.registrations[name]
		if _, known := t.members[name]; !entry.present && !registered && !known {
			delete(t.listEntries, name)
		}
	}
	return gone
}

// RecordConnectionRefused records that a connection to the member was refused, which means that no process listens on its
// address. Without further contact such a member stops being live after a shorter window than an unreachable one.
func (t *Table) RecordConnectionRefused(now time.Time, name string) {
	if m := t.members[name]; m != nil {
		m.lastRefused = now
	}
}

func (t *Table) isLive(now time.Time, m *member) bool {
	window := orDefault(t.LiveWindow, DefaultLiveWindow)
	if m.lastRefused.After(m.lastContact) {
		window = min(window, refusedLiveWindow)
	}
	return now.Sub(m.lastContact) < window
}

func (t *Table) removeAfter() time.Duration { return orDefault(t.RemoveAfter, DefaultRemoveAfter) }

func orDefault(value, fallback time.Duration) time.Duration {
	if value <= 0 {
		return fallback
	}
	return value
}
