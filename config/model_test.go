package config

import (
	"flag"
	"fmt"
	"maps"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"clementinepier/bundle"
)

// TestMain fixes the seed of rapid, so that runs are reproducible, and disables its failure files. A seed and numbers
// of steps and checks given on the command line are kept.
func TestMain(m *testing.M) {
	flag.Parse()
	given := map[string]bool{"rapid.nofailfile": true}
	flag.Visit(func(f *flag.Flag) { given[f.Name] = true })
	for name, value := range map[string]string{"rapid.seed": "20261204", "rapid.steps": "60", "rapid.checks": "600"} {
		if !given[name] {
			_ = flag.Set(name, value)
		}
	}
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

// fault is a fault that is injected into the model to show that the oracle detects it.
type fault string

const (
	faultNone                   fault = "no fault"
	faultCountUnregistered      fault = "answers of unregistered VMs count"
	faultCountFromReceipt       fault = "observations count from their receipt"
	faultConfirmOnePerDomain    fault = "one VM of each domain must confirm"
	faultWindowFromSwap         fault = "isolated window counts from the compare-and-swap"
	faultIgnorePreviousDomains  fault = "no majority of the previous failure domains"
	faultRegisterEarly          fault = "registered before the configuration is read"
	faultKeepVersion            fault = "registering again does not write the key"
	faultCountIncompleteRead    fault = "a read with an invalid part counts"
	faultClearDomainsOnOwnOrder fault = "the previous domains are cleared once an order's own domain has confirmed"
	faultCountParts             fault = "a part of a damaged document counts like a complete document"
	faultConfirmParts           fault = "a part of a damaged document is confirmed"
)

type modelVM struct {
	name, domain        string
	boot                int
	up, paused          bool
	damaged             bool // every document that it receives lacks a signature
	group               int  // network partition; the store is in group 0
	leaving             bool
	view                *View
	fresh               *Freshness
	registrationVersion uint64    // last known version of its registration
	registrationWritten time.Time // when it received the reply to its registration
	registered          bool
	inbox               []modelReply
}

// modelReply is a reply in transit: to a heartbeat, or from the store if from is nil.
type modelReply struct {
	sent       time.Time
	from       *modelVM
	registered bool
	revision   Revision
	document   Document
	version    uint64 // set for the reply to a registration
}

// modelWrite is a write in transit to the store: of a registration, or its removal at a version.
type modelWrite struct {
	vm      *modelVM
	boot    int
	version uint64 // 0 for a registration
}

type modelRollout struct {
	*Rollout
	revision Revision
	swapped  time.Time
	number   uint64
	domain   string // of an order
	// acknowledgedInDomain and acknowledgedEverywhere are when the change was acknowledged for the VMs of its domain and for
	// all VMs.
	acknowledgedInDomain, acknowledgedEverywhere time.Time
}

// model simulates six entry VMs, the store, two operators and the network between them.
type model struct {
	fault                fault
	now                  time.Time
	isolated             time.Duration
	vms                  []*modelVM
	storeUp              bool
	version              int
	head                 Document
	headView             *View
	registrations        map[string]Registration // the registrations in the store
	registrationVersions map[string]uint64
	lastVersion          uint64
	writes               []modelWrite
	history              []Document
	operators            [2]struct {
		document Document
		version  int
	}
	rollouts    []*modelRollout
	winners     map[string]string
	sentReplies []modelReply
	violation   string
	// The counters show that the runs reach the checks.
	starts, refusals, acks, conflicts int
}

func newModel(injected fault, isolated time.Duration) *model {
	m := &model{fault: injected, now: start, isolated: isolated, storeUp: true, headView: newView()}
	m.registrations, m.registrationVersions, m.winners = map[string]Registration{}, map[string]uint64{}, map[string]string{}
	for _, name := range []string{"a1", "a2", "b1", "b2", "c1", "d1"} {
		v := &modelVM{name: name, domain: name[:1]}
		m.vms = append(m.vms, v)
		m.boot(v)
	}
	return m
}

func (m *model) violate(format string, args ...any) {
	if m.violation == "" {
		m.violation = fmt.Sprintf("at %v: ", m.now.Sub(start)) + fmt.Sprintf(format, args...)
	}
}

func (m *model) boot(v *modelVM) {
	*v = modelVM{name: v.name, domain: v.domain, boot: v.boot + 1, group: v.group, up: true}
	v.view = newView()
	v.fresh = &Freshness{FailureDomain: v.domain, IsolatedWindow: m.isolated}
}

func (m *model) running(v *modelVM) bool      { return v.up && !v.paused }
func (m *model) reachesStore(v *modelVM) bool { return m.storeUp && v.group == 0 }

// revision returns the revision that heartbeats and confirmations of the VM report.
func (m *model) revision(v *modelVM) Revision {
	if m.fault == faultCountParts || m.fault == faultConfirmParts {
		return v.view.KnownRevision()
	}
	return v.view.Revision()
}

// mergeDocument merges a document into the view of a VM, and is oracle (ii): the revision of a view never decreases.
func (m *model) mergeDocument(v *modelVM, d Document) error {
	if v.damaged {
		d = damaged(d)
	}
	view, err := merge(testVerifier, v.view, d)
	if !view.Revision().Covers(v.view.Revision()) || !view.KnownRevision().Covers(v.view.KnownRevision()) || !view.KnownRevision().Covers(view.Revision()) {
		m.violate("view of %s went from %v, %v to %v, %v", v.name, v.view.Revision(), v.view.KnownRevision(), view.Revision(), view.KnownRevision())
	}
	v.view = view
	switch m.fault {
	case faultCountParts:
		view = &View{complete: completeDocument{revision: view.knownRevision, bundle: view.bundle}}
	case faultConfirmParts:
		view = &View{complete: completeDocument{revision: view.knownRevision, bundle: view.complete.bundle}}
	}
	v.fresh.SetView(view)
	return err
}

// sendHeartbeats sends heartbeats and a read of the store; the replies stay in the inbox until receive.
func (m *model) sendHeartbeats(v *modelVM) {
	for _, w := range m.vms {
		if w != v && m.running(w) && w.group == v.group {
			reply := modelReply{sent: m.now, from: w, registered: w.registered, revision: m.revision(w), document: w.view.Document()}
			v.inbox = append(v.inbox, reply)
			m.sentReplies = append(m.sentReplies, reply)
		}
	}
	if m.reachesStore(v) {
		v.inbox = append(v.inbox, modelReply{sent: m.now, revision: m.headView.Revision(), document: m.head})
	}
}

// receive handles the replies for which keep returns false. With relay the VM also fetches newer documents from other VMs.
func (m *model) receive(v *modelVM, keep func() bool, relay bool) {
	inbox := v.inbox
	v.inbox = nil
	for _, r := range inbox {
		if keep() {
			v.inbox = append(v.inbox, r)
			continue
		}
		sent := r.sent
		if m.fault == faultCountFromReceipt {
			sent = m.now
		}
		switch {
		case r.version > 0:
			v.registrationVersion, v.registrationWritten = r.version, m.now
			if m.fault == faultRegisterEarly && !v.leaving {
				v.registered = true
			}
		case r.from != nil:
			if relay && !v.view.complete.revision.Covers(r.revision) {
				_ = m.mergeDocument(v, r.document)
			}
			v.fresh.RecordHeartbeat(sent, r.from.name, r.from.domain, r.registered || m.fault == faultCountUnregistered, r.revision)
		default:
			complete := IsCompleteMerge(m.mergeDocument(v, r.document))
			if m.fault == faultCountIncompleteRead && !complete {
				complete, r.revision = true, v.view.Revision()
			}
			if complete {
				v.fresh.RecordStoreRead(sent, r.revision)
				v.registered = v.registered || (!v.leaving && !v.registrationWritten.IsZero() && !r.sent.Before(v.registrationWritten))
			}
		}
		v.fresh.SetRegistered(v.registered)
	}
}

// damaged returns the document without the signature of its last order, or of its bundle if it has no order.
func damaged(d Document) Document {
	d = d.Clone()
	if domains := slices.Sorted(maps.Keys(d.Orders)); len(domains) > 0 {
		o := d.Orders[domains[len(domains)-1]]
		o.Signature.Value = nil
		d.Orders[domains[len(domains)-1]] = o
	} else {
		d.Bundle.Author.Value = nil
	}
	return d
}

// deliverWrite applies a write in transit to the store.
func (m *model) deliverWrite(i int) {
	w := m.writes[i]
	m.writes = slices.Delete(m.writes, i, i+1)
	name := w.vm.name
	switch have := m.registrations[name]; {
	case w.version > 0 && m.registrationVersions[name] == w.version:
		delete(m.registrations, name)
		delete(m.registrationVersions, name)
	case w.version == 0:
		if have.VM == "" || m.fault != faultKeepVersion {
			m.lastVersion++
			m.registrationVersions[name] = m.lastVersion
		}
		m.registrations[name] = Registration{VM: name, FailureDomain: w.vm.domain}
		if w.boot == w.vm.boot {
			w.vm.inbox = append(w.vm.inbox, modelReply{version: m.registrationVersions[name]})
		}
	}
}

// readHead is an operator's read of the document in the store.
func (m *model) readHead(operator int) {
	m.operators[operator].document, m.operators[operator].version = m.head, m.version
}

// compareAndSwap is an operator's change by compare-and-swap, and oracle (iii): at most one change per number is accepted.
func (m *model) compareAndSwap(operator int, c Change) {
	o := &m.operators[operator]
	next, accepted, err := accept(testVerifier, o.document, c)
	if err != nil || o.version != m.version {
		m.conflicts++
		return
	}
	view, err := merge(testVerifier, m.headView, next)
	if err != nil || view.Revision().Sum() != m.headView.Revision().Sum()+1 {
		m.violate("change %s leads to revision %d: %v", c.ID, view.Revision().Sum(), err)
	}
	key := fmt.Sprint(accepted.FailureDomain, accepted.Number)
	if winner, ok := m.winners[key]; ok {
		m.violate("changes %s and %s both have number %s", winner, c.ID, key)
	}
	m.winners[key] = c.ID
	m.setHead(next, view)
	options := RolloutOptions{Change: accepted.PartRevision(), Domains: view.FailureDomains(), PreviousDomains: next.PreviousDomains, IsolatedWindow: m.isolated}
	if m.fault == faultIgnorePreviousDomains {
		options.PreviousDomains = nil
	}
	if c.Order != nil {
		options.Order = &c.Order.Order
	}
	r := &modelRollout{Rollout: NewRollout(options), revision: view.Revision(), swapped: m.now, number: accepted.Number, domain: accepted.FailureDomain}
	m.rollouts = append(m.rollouts, r)
}

func (m *model) setHead(d Document, v *View) {
	m.version++
	m.head, m.headView = d, v
	m.history = append(m.history, d)
}

// listRegistrations returns the registrations in the store as a rollout reads them.
func (m *model) listRegistrations() []Registration {
	var list []Registration
	seen := map[string]bool{}
	for _, name := range slices.Sorted(maps.Keys(m.registrations)) {
		if domain := m.registrations[name].FailureDomain; m.fault != faultConfirmOnePerDomain || !seen[domain] {
			list = append(list, m.registrations[name])
			seen[domain] = true
		}
	}
	return list
}

// pollRollout reads the registrations, collects confirmations and evaluates the rollout.
func (m *model) pollRollout(r *modelRollout, list bool, late []modelReply) {
	if !m.storeUp || !r.acknowledgedEverywhere.IsZero() {
		return
	}
	if list || r.vms == nil {
		r.SetRegistered(m.now, m.listRegistrations())
	}
	for _, reply := range late {
		r.Confirm(reply.from.name, reply.revision)
	}
	for _, v := range m.vms {
		if m.running(v) && v.group == 0 {
			r.Confirm(v.name, m.revision(v))
		}
	}
	p := r.Progress(m.now)
	own, everywhere := p.Acknowledged, p.AcknowledgedEverywhere
	if m.fault == faultWindowFromSwap && !p.MajoritySince.IsZero() && m.now.Sub(r.swapped) >= m.isolated {
		own, everywhere = m.now, m.now
	}
	if r.acknowledgedInDomain.IsZero() && !own.IsZero() {
		m.acks++
		r.acknowledgedInDomain = own
	}
	r.acknowledgedEverywhere = everywhere
	if m.fault == faultClearDomainsOnOwnOrder {
		everywhere = own
	}
	if d, ok := ClearPreviousDomains(m.head, r.revision); ok && !everywhere.IsZero() {
		m.setHead(d, m.headView)
	}
}

func (m *model) pollRollouts(list bool) {
	for _, r := range m.rollouts {
		m.pollRollout(r, list, nil)
	}
}

// checkStarts is oracle (i): no VM that may start tasks lacks a change that was acknowledged more than one window ago.
func (m *model) checkStarts() {
	digests := map[string]string{}
	for _, v := range m.vms {
		if !m.running(v) {
			continue
		}
		revision, known := v.view.Revision(), v.view.KnownRevision()
		key := fmt.Sprint(revision)
		if digest, ok := digests[key]; ok && digest != v.view.Digest() {
			m.violate("two views of revision %s differ", key)
		}
		digests[key] = v.view.Digest()
		if ok, _ := v.fresh.MayStart(m.now); !ok {
			m.refusals++
			continue
		}
		m.starts++
		for _, r := range m.rollouts {
			have := known.Bundle
			if r.domain != "" {
				have = known.Orders[r.domain]
			}
			acknowledged := r.acknowledgedEverywhere
			if r.domain == v.domain {
				acknowledged = r.acknowledgedInDomain
			}
			if have < r.number && !acknowledged.IsZero() && m.now.Sub(acknowledged) > DefaultWindow {
				m.violate("%s may start with %v but change %q %d was acknowledged at %v", v.name, known, r.domain, r.number, acknowledged.Sub(start))
			}
		}
	}
}

var domainSets = [][]string{{"a", "b", "c"}, {"a", "b", "c"}, {"a", "b", "c", "d"}, {"b", "c", "d"}, {"a", "d"}, {"c", "d"}, {"a"}}

// nextChange returns the operator's next change, based on the document that it read last.
func (m *model) nextChange(t *rapid.T, operator int) Change {
	view, err := merge(testVerifier, nil, m.operators[operator].document)
	if err != nil {
		panic(err)
	}
	note := fmt.Sprintf("%d-%d", operator, len(m.history))
	names := view.FailureDomains()
	if len(names) == 0 || rapid.IntRange(0, 2).Draw(t, "bundle") == 0 {
		set := rapid.SampledFrom(domainSets).Draw(t, "domains")
		return bundleChange(view.Revision().Bundle+1, note, set...)
	}
	domain := rapid.SampledFrom(names).Draw(t, "domain")
	o := testOrder(domain, view.Revision().Orders[domain]+1, rapid.SampledFrom([]bundle.OrderState{bundle.OrderIn, bundle.OrderOut}).Draw(t, "state"), note)
	return Change{ID: note, Order: &o}
}

// exchange registers the VMs and delivers all replies between them and from the store, as far as the partitions allow.
func (m *model) exchange(vms []*modelVM, relay bool) {
	for range 2 {
		for _, v := range vms {
			if m.running(v) && !v.registered && !v.leaving && m.reachesStore(v) {
				m.writes = append(m.writes, modelWrite{vm: v, boot: v.boot})
				m.deliverWrite(len(m.writes) - 1)
			}
		}
		for _, v := range vms {
			if m.running(v) {
				m.receive(v, func() bool { return false }, relay)
				m.sendHeartbeats(v)
				m.receive(v, func() bool { return false }, relay)
			}
		}
	}
}

// run drives the model with random actions until the oracle finds a violation.
func (m *model) run(t *rapid.T) {
	need := func(t *rapid.T, conditions ...bool) {
		if slices.Contains(conditions, false) {
			t.Skip()
		}
	}
	anyVM := func(t *rapid.T) *modelVM { return rapid.SampledFrom(m.vms).Draw(t, "vm") }
	runningVM := func(t *rapid.T) *modelVM {
		v := anyVM(t)
		need(t, m.running(v))
		return v
	}
	keepNone := func() bool { return false }
	// rapid draws an action by its place in the sorted names, so a renamed action needs other seeds.
	actions := map[string]func(*rapid.T){
		"advance": func(t *rapid.T) {
			m.now = m.now.Add(time.Duration(rapid.SampledFrom([]int{100, 500, 1000, 1900, 2100, 5000}).Draw(t, "ms")) * time.Millisecond)
			m.checkStarts()
			if rapid.Bool().Draw(t, "calm") {
				m.exchange(m.vms, rapid.Bool().Draw(t, "relay"))
			}
		},
		"calm": func(t *rapid.T) { m.exchange(m.vms, true) },
		"gossip": func(t *rapid.T) {
			vms := slices.DeleteFunc(slices.Clone(m.vms), func(*modelVM) bool { return rapid.Bool().Draw(t, "skip") })
			m.exchange(vms, rapid.Bool().Draw(t, "relay"))
		},
		"beat": func(t *rapid.T) { m.sendHeartbeats(runningVM(t)) },
		"receive": func(t *rapid.T) {
			m.receive(runningVM(t), func() bool { return rapid.IntRange(0, 3).Draw(t, "keep") == 0 }, rapid.Bool().Draw(t, "relay"))
		},
		"replay": func(t *rapid.T) { _ = m.mergeDocument(runningVM(t), rapid.SampledFrom(m.history).Draw(t, "document")) },
		"partition": func(t *rapid.T) {
			m.partition(rapid.StringOfN(rapid.RuneFrom([]rune("abcd")), 0, 3, -1).Draw(t, "domains"))
		},
		"cut":    func(t *rapid.T) { anyVM(t).group = rapid.IntRange(0, 2).Draw(t, "group") },
		"heal":   func(t *rapid.T) { m.partition(""); m.storeUp = true },
		"store":  func(t *rapid.T) { m.storeUp = !m.storeUp },
		"damage": func(t *rapid.T) { v := anyVM(t); v.damaged = !v.damaged },
		"freeze": func(t *rapid.T) {
			v := runningVM(t)
			m.sendHeartbeats(v)
			v.paused = true
		},
		"wake": func(t *rapid.T) {
			v := anyVM(t)
			need(t, v.paused)
			v.paused = false
			m.checkStarts()
			m.receive(v, keepNone, false)
		},
		"crash": func(t *rapid.T) { anyVM(t).up = false },
		"boot":  func(t *rapid.T) { m.boot(anyVM(t)) },
		"register": func(t *rapid.T) {
			v := runningVM(t)
			need(t, !v.leaving, !v.registered)
			m.writes = append(m.writes, modelWrite{vm: v, boot: v.boot})
		},
		"leave": func(t *rapid.T) {
			v := runningVM(t)
			need(t, v.registrationVersion > 0, !v.leaving)
			v.leaving, v.registered = true, false
			v.fresh.SetRegistered(false)
			m.writes = append(m.writes, modelWrite{vm: v, boot: v.boot, version: v.registrationVersion})
		},
		"remove": func(t *rapid.T) {
			v := anyVM(t)
			need(t, !v.up, m.registrationVersions[v.name] > 0)
			m.writes = append(m.writes, modelWrite{vm: v, version: m.registrationVersions[v.name]})
		},
		"flush": func(t *rapid.T) {
			need(t, m.storeUp, len(m.writes) > 0)
			m.deliverWrite(rapid.IntRange(0, len(m.writes)-1).Draw(t, "write"))
		},
		"operator reads": func(t *rapid.T) { m.readHead(rapid.IntRange(0, 1).Draw(t, "operator")) },
		"operator swaps": func(t *rapid.T) {
			need(t, m.storeUp)
			operator := rapid.IntRange(0, 1).Draw(t, "operator")
			m.compareAndSwap(operator, m.nextChange(t, operator))
		},
		"rollout": func(t *rapid.T) {
			need(t, m.storeUp)
			m.readHead(0)
			m.compareAndSwap(0, m.nextChange(t, 0))
			if rapid.Bool().Draw(t, "calm") {
				m.exchange(m.vms, true)
			}
			m.pollRollouts(true)
		},
		"poll late": func(t *rapid.T) {
			need(t, len(m.sentReplies) > 0)
			m.pollRollout(rapid.SampledFrom(m.rollouts).Draw(t, "rollout"), false, []modelReply{rapid.SampledFrom(m.sentReplies).Draw(t, "said")})
		},
		"poll": func(t *rapid.T) { m.pollRollouts(rapid.Bool().Draw(t, "list")) },
	}
	for i := range 3 {
		actions[fmt.Sprint("advance ", i)], actions[fmt.Sprint("rollout ", i)] = actions["advance"], actions["rollout"]
	}
	m.readHead(0)
	m.compareAndSwap(0, m.nextChange(t, 0))
	m.exchange(m.vms, true)
	for name, action := range actions {
		actions[name] = func(t *rapid.T) {
			if m.violation == "" {
				action(t)
			}
		}
	}
	actions[""] = func(*rapid.T) { m.checkStarts() }
	t.Repeat(actions)
}

func runModel(t *rapid.T, injected fault) *model {
	m := newModel(injected, rapid.SampledFrom([]time.Duration{0, 6 * time.Second}).Draw(t, "isolated"))
	m.run(t)
	return m
}

// Guards against interleavings of failures and operator changes in which a VM starts tasks without an acknowledged change,
// the revision of a view decreases, or two changes are accepted for one revision.
func TestModel(t *testing.T) {
	var sum model
	rapid.Check(t, func(t *rapid.T) {
		m := runModel(t, faultNone)
		if m.violation != "" {
			t.Fatal(m.violation)
		}
		sum.starts, sum.refusals, sum.acks, sum.conflicts = sum.starts+m.starts, sum.refusals+m.refusals, sum.acks+m.acks, sum.conflicts+m.conflicts
	})
	t.Logf("%d starts, %d refusals, %d acknowledgements, %d conflicts", sum.starts, sum.refusals, sum.acks, sum.conflicts)
	is.New(t).True(min(sum.starts, sum.refusals, sum.acks, sum.conflicts) > 500) // the model must reach what it checks
}

// Guards against an oracle that detects nothing: each injected fault must violate it with a known seed. A change of the
// model's actions needs other seeds; faults that few seeds reveal are also in TestFoundInterleavings.
func TestModelDetectsInjectedFaults(t *testing.T) {
	given, steps := flag.Lookup("rapid.steps").Value.String(), map[bool]string{false: "60", true: "120"} // rapid halves them with -short
	_ = flag.Set("rapid.steps", steps[testing.Short()])
	t.Cleanup(func() { _ = flag.Set("rapid.steps", given) })
	for injected, seed := range map[fault]int{
		faultCountUnregistered: 208, faultCountFromReceipt: 179, faultConfirmOnePerDomain: 15, faultWindowFromSwap: 4722, faultIgnorePreviousDomains: 172,
		faultRegisterEarly: 13354, faultKeepVersion: 17307, faultCountIncompleteRead: 23, faultClearDomainsOnOwnOrder: 13156, faultCountParts: 264,
	} {
		t.Run(string(injected), func(t *testing.T) {
			violation := rapid.Custom(func(t *rapid.T) string { return runModel(t, injected).violation }).Example(seed)
			is.New(t).True(violation != "") // the oracle must detect the fault
		})
	}
}

// partition separates the VMs of the failure domains from the store and from the other VMs.
func (m *model) partition(domains string) {
	for _, v := range m.vms {
		v.group = strings.Count(domains, v.domain)
	}
}

// rollOut makes a change and polls its rollout after all VMs have received it, as far as the partitions allow.
func (m *model) rollOut(c Change) {
	m.readHead(0)
	m.compareAndSwap(0, c)
	m.exchange(m.vms, true)
	m.pollRollouts(true)
}

// advance lets time pass while the VMs that reach each other exchange documents every 500 ms.
func (m *model) advance(d time.Duration) {
	for end := m.now.Add(d); m.now.Before(end); {
		m.now = m.now.Add(500 * time.Millisecond)
		m.exchange(m.vms, true)
		m.pollRollouts(true)
		m.checkStarts()
	}
}

// Guards against interleavings that violated earlier versions of the protocol, and checks that the injected faults still
// violate it.
func TestFoundInterleavings(t *testing.T) {
	out := func(domain string, sequence uint64) Change { return orderChange(domain, sequence, bundle.OrderOut) }
	for name, c := range map[string]struct {
		injected fault
		isolated time.Duration
		do       func(m *model)
	}{
		// B and C have a new bundle without the order that A and D confirmed before, and are a majority of its domains.
		"new domains without an earlier order": {faultCountParts, 0, func(m *model) {
			m.rollOut(bundleChange(1, "x", "a", "d"))
			m.damage("b", "c")
			m.rollOut(out("a", 1))
			m.rollOut(bundleChange(2, "x", "a", "b", "c"))
		}},
		// B and C confirm a bundle from a damaged document, but still count majorities of the previous domains.
		"confirmed by a part": {faultConfirmParts, 0, func(m *model) {
			m.rollOut(bundleChange(1, "x", "a", "b", "c"))
			m.damage("b", "c")
			m.readHead(0)
			m.compareAndSwap(0, bundleChange(2, "x", "a", "d"))
			m.rollOut(out("a", 1))
			m.rollOut(out("a", 2))
		}},
		// C and D are a majority of the new domains, A and B of the previous ones.
		"disjoint majorities": {faultIgnorePreviousDomains, 0, func(m *model) {
			m.rollOut(bundleChange(1, "x", "a", "b", "c"))
			m.partition("ab")
			m.rollOut(bundleChange(2, "x", "c", "d"))
		}},
		// B and C lack the order and keep each other fresh until long after the compare-and-swap. When C receives it, A and C
		// are a majority, but the isolated window of B has only just started.
		"isolated after the swap": {faultWindowFromSwap, 6 * time.Second, func(m *model) {
			m.rollOut(bundleChange(1, "x", "a", "b", "c"))
			m.partition("bc")
			m.rollOut(out("b", 1))
			m.advance(6 * time.Second)
			m.partition("b")
		}},
	} {
		t.Run(name, func(t *testing.T) {
			for _, injected := range []fault{faultNone, c.injected} {
				m := newModel(injected, c.isolated)
				c.do(m)
				m.advance(5 * time.Second)
				if (m.violation == "") != (injected == faultNone) {
					t.Errorf("%s: violation %q", injected, m.violation)
				}
			}
		})
	}
}

// damage makes the VMs of the failure domains receive only damaged documents.
func (m *model) damage(domains ...string) {
	for _, v := range m.vms {
		v.damaged = slices.Contains(domains, v.domain)
	}
}
