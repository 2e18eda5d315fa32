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

// TestMain fixes the seed of rapid, so that every run gives the same verdict, and keeps it from writing failure files.
// A seed or a number of checks on the command line is kept.
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

// rule is a fault that the model can have, to show that the oracle finds it.
type rule string

const (
	ruleTrue             rule = "true rule"
	ruleUnregistered     rule = "answers of unregistered VMs count"
	ruleReceipt          rule = "observations count from their receipt"
	rulePartial          rule = "one VM of each domain must confirm"
	ruleSwapWindow       rule = "isolated window counts from the compare-and-swap"
	ruleOneSet           rule = "no majority of the earlier failure domains"
	ruleEarlySelf        rule = "registered before the configuration is read"
	ruleKeepVersion      rule = "registering again does not write the key"
	ruleIncompleteRead   rule = "a read with an invalid part counts"
	ruleSettleOnOwnOrder rule = "the earlier domains are settled by an order's own domain"
	ruleParts            rule = "a part of a damaged document counts like a whole document"
	rulePartsConfirm     rule = "a part of a damaged document is confirmed"
)

type modelVM struct {
	name, domain string
	boot         int
	up, frozen   bool
	damaged      bool // every document that reaches it has lost a signature
	group        int
	leaving      bool
	view         *View
	fresh        *Freshness
	version      uint64    // of its registration, as far as it knows
	written      time.Time // when it learnt that its registration was written
	registered   bool
	inbox        []modelReply
}

// modelReply is an answer to a heartbeat, or of the store if from is nil, that has not arrived yet.
type modelReply struct {
	sent       time.Time
	from       *modelVM
	registered bool
	revision   Revision
	document   Document
	version    uint64 // set for the reply to a registration
}

// modelWrite is a write of a registration, or its removal at a version, on its way to the store.
type modelWrite struct {
	vm      *modelVM
	boot    int
	version uint64 // 0 registers
}

type modelRollout struct {
	*Rollout
	revision Revision
	swapped  time.Time
	number   uint64
	domain   string // of an order
	// own and everywhere are when the change was acknowledged to the VMs of its domain and to all VMs.
	own, everywhere time.Time
}

type model struct {
	rule      rule
	now       time.Time
	isolated  time.Duration
	vms       []*modelVM
	storeUp   bool
	version   int
	head      Document
	headView  *View
	keys      map[string]Registration // the registrations in the store
	versions  map[string]uint64
	nextKey   uint64
	writes    []modelWrite
	history   []Document
	operators [2]struct {
		document Document
		version  int
	}
	rollouts  []*modelRollout
	winners   map[string]string
	said      []modelReply
	violation string
	// The counters show that a run is not vacuous.
	starts, refusals, acks, conflicts int
}

func newModel(rule rule, isolated time.Duration) *model {
	m := &model{rule: rule, now: start, isolated: isolated, storeUp: true, headView: newView()}
	m.keys, m.versions, m.winners = map[string]Registration{}, map[string]uint64{}, map[string]string{}
	for _, name := range []string{"a1", "a2", "b1", "b2", "c1", "d1"} {
		v := &modelVM{name: name, domain: name[:1]}
		m.vms = append(m.vms, v)
		m.boot(v)
	}
	return m
}

func (m *model) fail(format string, args ...any) {
	if m.violation == "" {
		m.violation = fmt.Sprintf("at %v: ", m.now.Sub(start)) + fmt.Sprintf(format, args...)
	}
}

func (m *model) boot(v *modelVM) {
	*v = modelVM{name: v.name, domain: v.domain, boot: v.boot + 1, group: v.group, up: true}
	v.view = newView()
	v.fresh = &Freshness{FailureDomain: v.domain, IsolatedWindow: m.isolated}
}

func (m *model) awake(v *modelVM) bool   { return v.up && !v.frozen }
func (m *model) atStore(v *modelVM) bool { return m.storeUp && v.group == 0 }

// revision is what heartbeats and confirmations of the VM name.
func (m *model) revision(v *modelVM) Revision {
	if m.rule == ruleParts || m.rule == rulePartsConfirm {
		return v.view.KnownRevision()
	}
	return v.view.Revision()
}

// join is oracle (ii): a view never goes back.
func (m *model) join(v *modelVM, d Document) error {
	if v.damaged {
		d = damaged(d)
	}
	view, err := join(testVerifier, v.view, d)
	if !view.Revision().Covers(v.view.Revision()) || !view.KnownRevision().Covers(v.view.KnownRevision()) || !view.KnownRevision().Covers(view.Revision()) {
		m.fail("view of %s went from %v, %v to %v, %v", v.name, v.view.Revision(), v.view.KnownRevision(), view.Revision(), view.KnownRevision())
	}
	v.view = view
	switch m.rule {
	case ruleParts:
		view = &View{whole: wholeDocument{revision: view.known, bundle: view.bundle}}
	case rulePartsConfirm:
		view = &View{whole: wholeDocument{revision: view.known, bundle: view.whole.bundle}}
	}
	v.fresh.SetView(view)
	return err
}

// beat sends heartbeats and a read of the store; the answers wait in the inbox.
func (m *model) beat(v *modelVM) {
	for _, w := range m.vms {
		if w != v && m.awake(w) && w.group == v.group {
			reply := modelReply{sent: m.now, from: w, registered: w.registered, revision: m.revision(w), document: w.view.Document()}
			v.inbox = append(v.inbox, reply)
			m.said = append(m.said, reply)
		}
	}
	if m.atStore(v) {
		v.inbox = append(v.inbox, modelReply{sent: m.now, revision: m.headView.Revision(), document: m.head})
	}
}

// receive handles the replies for which keep is false. With relay the VM also fetches newer documents.
func (m *model) receive(v *modelVM, keep func() bool, relay bool) {
	inbox := v.inbox
	v.inbox = nil
	for _, r := range inbox {
		if keep() {
			v.inbox = append(v.inbox, r)
			continue
		}
		sent := r.sent
		if m.rule == ruleReceipt {
			sent = m.now
		}
		switch {
		case r.version > 0:
			v.version, v.written = r.version, m.now
			if m.rule == ruleEarlySelf && !v.leaving {
				v.registered = true
			}
		case r.from != nil:
			if relay && !v.view.whole.revision.Covers(r.revision) {
				_ = m.join(v, r.document)
			}
			v.fresh.RecordHeartbeat(sent, r.from.name, r.from.domain, r.registered || m.rule == ruleUnregistered, r.revision)
		default:
			complete := IsCompleteMerge(m.join(v, r.document))
			if m.rule == ruleIncompleteRead && !complete {
				complete, r.revision = true, v.view.Revision()
			}
			if complete {
				v.fresh.RecordStoreRead(sent, r.revision)
				v.registered = v.registered || (!v.leaving && !v.written.IsZero() && !r.sent.Before(v.written))
			}
		}
		v.fresh.SetRegistered(v.registered)
	}
}

// damaged returns the document with the signature of its last order, or else of its bundle, removed.
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

// flush lets a write reach the store.
func (m *model) flush(i int) {
	w := m.writes[i]
	m.writes = slices.Delete(m.writes, i, i+1)
	name := w.vm.name
	switch have := m.keys[name]; {
	case w.version > 0 && m.versions[name] == w.version:
		delete(m.keys, name)
		delete(m.versions, name)
	case w.version == 0:
		if have.VM == "" || m.rule != ruleKeepVersion {
			m.nextKey++
			m.versions[name] = m.nextKey
		}
		m.keys[name] = Registration{VM: name, FailureDomain: w.vm.domain}
		if w.boot == w.vm.boot {
			w.vm.inbox = append(w.vm.inbox, modelReply{version: m.versions[name]})
		}
	}
}

func (m *model) read(operator int) {
	m.operators[operator].document, m.operators[operator].version = m.head, m.version
}

// swap is an operator's change by compare-and-swap, and oracle (iii): one winner per revision.
func (m *model) swap(operator int, c Change) {
	o := &m.operators[operator]
	next, accepted, err := accept(testVerifier, o.document, c)
	if err != nil || o.version != m.version {
		m.conflicts++
		return
	}
	view, err := join(testVerifier, m.headView, next)
	if err != nil || view.Revision().Sum() != m.headView.Revision().Sum()+1 {
		m.fail("change %s leads to revision %d: %v", c.ID, view.Revision().Sum(), err)
	}
	key := fmt.Sprint(accepted.FailureDomain, accepted.Number)
	if winner, ok := m.winners[key]; ok {
		m.fail("changes %s and %s both have number %s", winner, c.ID, key)
	}
	m.winners[key] = c.ID
	m.setHead(next, view)
	options := RolloutOptions{Change: accepted.PartRevision(), Domains: view.FailureDomains(), PreviousDomains: next.PreviousDomains, IsolatedWindow: m.isolated}
	if m.rule == ruleOneSet {
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

func (m *model) list() []Registration {
	var list []Registration
	seen := map[string]bool{}
	for _, name := range slices.Sorted(maps.Keys(m.keys)) {
		if domain := m.keys[name].FailureDomain; m.rule != rulePartial || !seen[domain] {
			list = append(list, m.keys[name])
			seen[domain] = true
		}
	}
	return list
}

// poll reads the registrations, collects confirmations and evaluates the rollout.
func (m *model) poll(r *modelRollout, list bool, late []modelReply) {
	if !m.storeUp || !r.everywhere.IsZero() {
		return
	}
	if list || r.vms == nil {
		r.SetRegistered(m.now, m.list())
	}
	for _, reply := range late {
		r.Confirm(reply.from.name, reply.revision)
	}
	for _, v := range m.vms {
		if m.awake(v) && v.group == 0 {
			r.Confirm(v.name, m.revision(v))
		}
	}
	p := r.Progress(m.now)
	own, everywhere := p.Acknowledged, p.AcknowledgedEverywhere
	if m.rule == ruleSwapWindow && !p.MajoritySince.IsZero() && m.now.Sub(r.swapped) >= m.isolated {
		own, everywhere = m.now, m.now
	}
	if r.own.IsZero() && !own.IsZero() {
		m.acks++
		r.own = own
	}
	r.everywhere = everywhere
	if m.rule == ruleSettleOnOwnOrder {
		everywhere = own
	}
	if d, ok := ClearPreviousDomains(m.head, r.revision); ok && !everywhere.IsZero() {
		m.setHead(d, m.headView)
	}
}

func (m *model) pollAll(list bool) {
	for _, r := range m.rollouts {
		m.poll(r, list, nil)
	}
}

// check is oracle (i): no VM that may start tasks lacks a change that was acknowledged more than a window ago.
func (m *model) check() {
	digests := map[string]string{}
	for _, v := range m.vms {
		if !m.awake(v) {
			continue
		}
		revision, known := v.view.Revision(), v.view.KnownRevision()
		key := fmt.Sprint(revision)
		if digest, ok := digests[key]; ok && digest != v.view.Digest() {
			m.fail("two views of revision %s differ", key)
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
			acknowledged := r.everywhere
			if r.domain == v.domain {
				acknowledged = r.own
			}
			if have < r.number && !acknowledged.IsZero() && m.now.Sub(acknowledged) > DefaultWindow {
				m.fail("%s may start with %v but change %q %d was acknowledged at %v", v.name, known, r.domain, r.number, acknowledged.Sub(start))
			}
		}
	}
}

var domainSets = [][]string{{"a", "b", "c"}, {"a", "b", "c"}, {"a", "b", "c", "d"}, {"b", "c", "d"}, {"a", "d"}, {"c", "d"}, {"a"}}

// change returns the operator's next change, based on what it has read.
func (m *model) change(t *rapid.T, operator int) Change {
	view, err := join(testVerifier, nil, m.operators[operator].document)
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

// calm lets every VM exchange everything, register and learn what it can.
func (m *model) calm(vms []*modelVM, relay bool) {
	for range 2 {
		for _, v := range vms {
			if m.awake(v) && !v.registered && !v.leaving && m.atStore(v) {
				m.writes = append(m.writes, modelWrite{vm: v, boot: v.boot})
				m.flush(len(m.writes) - 1)
			}
		}
		for _, v := range vms {
			if m.awake(v) {
				m.receive(v, func() bool { return false }, relay)
				m.beat(v)
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
	awakeVM := func(t *rapid.T) *modelVM {
		v := anyVM(t)
		need(t, m.awake(v))
		return v
	}
	all := func() bool { return false }
	actions := map[string]func(*rapid.T){
		"advance": func(t *rapid.T) {
			m.now = m.now.Add(time.Duration(rapid.SampledFrom([]int{100, 500, 1000, 1900, 2100, 5000}).Draw(t, "ms")) * time.Millisecond)
			m.check()
			if rapid.Bool().Draw(t, "calm") {
				m.calm(m.vms, rapid.Bool().Draw(t, "relay"))
			}
		},
		"calm": func(t *rapid.T) { m.calm(m.vms, true) },
		"gossip": func(t *rapid.T) {
			vms := slices.DeleteFunc(slices.Clone(m.vms), func(*modelVM) bool { return rapid.Bool().Draw(t, "skip") })
			m.calm(vms, rapid.Bool().Draw(t, "relay"))
		},
		"beat": func(t *rapid.T) { m.beat(awakeVM(t)) },
		"receive": func(t *rapid.T) {
			m.receive(awakeVM(t), func() bool { return rapid.IntRange(0, 3).Draw(t, "keep") == 0 }, rapid.Bool().Draw(t, "relay"))
		},
		"replay": func(t *rapid.T) { _ = m.join(awakeVM(t), rapid.SampledFrom(m.history).Draw(t, "document")) },
		"partition": func(t *rapid.T) {
			m.group(rapid.StringOfN(rapid.RuneFrom([]rune("abcd")), 0, 3, -1).Draw(t, "domains"))
		},
		"cut":    func(t *rapid.T) { anyVM(t).group = rapid.IntRange(0, 2).Draw(t, "group") },
		"heal":   func(t *rapid.T) { m.group(""); m.storeUp = true },
		"store":  func(t *rapid.T) { m.storeUp = !m.storeUp },
		"damage": func(t *rapid.T) { v := anyVM(t); v.damaged = !v.damaged },
		"freeze": func(t *rapid.T) {
			v := awakeVM(t)
			m.beat(v)
			v.frozen = true
		},
		"wake": func(t *rapid.T) {
			v := anyVM(t)
			need(t, v.frozen)
			v.frozen = false
			m.check()
			m.receive(v, all, false)
		},
		"crash": func(t *rapid.T) { anyVM(t).up = false },
		"boot":  func(t *rapid.T) { m.boot(anyVM(t)) },
		"register": func(t *rapid.T) {
			v := awakeVM(t)
			need(t, !v.leaving, !v.registered)
			m.writes = append(m.writes, modelWrite{vm: v, boot: v.boot})
		},
		"leave": func(t *rapid.T) {
			v := awakeVM(t)
			need(t, v.version > 0, !v.leaving)
			v.leaving, v.registered = true, false
			v.fresh.SetRegistered(false)
			m.writes = append(m.writes, modelWrite{vm: v, boot: v.boot, version: v.version})
		},
		"remove": func(t *rapid.T) {
			v := anyVM(t)
			need(t, !v.up, m.versions[v.name] > 0)
			m.writes = append(m.writes, modelWrite{vm: v, version: m.versions[v.name]})
		},
		"flush": func(t *rapid.T) {
			need(t, m.storeUp, len(m.writes) > 0)
			m.flush(rapid.IntRange(0, len(m.writes)-1).Draw(t, "write"))
		},
		"operator reads": func(t *rapid.T) { m.read(rapid.IntRange(0, 1).Draw(t, "operator")) },
		"operator swaps": func(t *rapid.T) {
			need(t, m.storeUp)
			operator := rapid.IntRange(0, 1).Draw(t, "operator")
			m.swap(operator, m.change(t, operator))
		},
		"rollout": func(t *rapid.T) {
			need(t, m.storeUp)
			m.read(0)
			m.swap(0, m.change(t, 0))
			if rapid.Bool().Draw(t, "calm") {
				m.calm(m.vms, true)
			}
			m.pollAll(true)
		},
		"poll late": func(t *rapid.T) {
			need(t, len(m.said) > 0)
			m.poll(rapid.SampledFrom(m.rollouts).Draw(t, "rollout"), false, []modelReply{rapid.SampledFrom(m.said).Draw(t, "said")})
		},
		"poll": func(t *rapid.T) { m.pollAll(rapid.Bool().Draw(t, "list")) },
	}
	for i := range 3 {
		actions[fmt.Sprint("advance ", i)], actions[fmt.Sprint("rollout ", i)] = actions["advance"], actions["rollout"]
	}
	m.read(0)
	m.swap(0, m.change(t, 0))
	m.calm(m.vms, true)
	for name, action := range actions {
		actions[name] = func(t *rapid.T) {
			if m.violation == "" {
				action(t)
			}
		}
	}
	actions[""] = func(*rapid.T) { m.check() }
	t.Repeat(actions)
}

func runModel(t *rapid.T, rule rule) *model {
	m := newModel(rule, rapid.SampledFrom([]time.Duration{0, 6 * time.Second}).Draw(t, "isolated"))
	m.run(t)
	return m
}

// Guards against any interleaving of failures and operator changes in which a VM starts tasks without a change that was
// acknowledged, a view goes back, or two changes win one revision.
func TestModel(t *testing.T) {
	var sum model
	rapid.Check(t, func(t *rapid.T) {
		m := runModel(t, ruleTrue)
		if m.violation != "" {
			t.Fatal(m.violation)
		}
		sum.starts, sum.refusals, sum.acks, sum.conflicts = sum.starts+m.starts, sum.refusals+m.refusals, sum.acks+m.acks, sum.conflicts+m.conflicts
	})
	t.Logf("%d starts, %d refusals, %d acknowledgements, %d conflicts", sum.starts, sum.refusals, sum.acks, sum.conflicts)
	is.New(t).True(min(sum.starts, sum.refusals, sum.acks, sum.conflicts) > 500) // the model must reach what it checks
}

// Guards against an oracle that finds nothing: each broken rule must violate it with a known seed. A change of the
// model's actions needs other seeds; the rules that seeds find rarely are also in TestFoundInterleavings.
func TestModelFindsBrokenRules(t *testing.T) {
	given, steps := flag.Lookup("rapid.steps").Value.String(), map[bool]string{false: "60", true: "120"} // rapid halves them with -short
	_ = flag.Set("rapid.steps", steps[testing.Short()])
	t.Cleanup(func() { _ = flag.Set("rapid.steps", given) })
	for rule, seed := range map[rule]int{
		ruleUnregistered: 208, ruleReceipt: 179, rulePartial: 15, ruleSwapWindow: 4722, ruleOneSet: 172,
		ruleEarlySelf: 13354, ruleKeepVersion: 17307, ruleIncompleteRead: 23, ruleSettleOnOwnOrder: 13156, ruleParts: 264,
	} {
		t.Run(string(rule), func(t *testing.T) {
			violation := rapid.Custom(func(t *rapid.T) string { return runModel(t, rule).violation }).Example(seed)
			is.New(t).True(violation != "") // the oracle must find the broken rule
		})
	}
}

// group puts the VMs of the failure domains in a group of their own, and the others with the store.
func (m *model) group(domains string) {
	for _, v := range m.vms {
		v.group = strings.Count(domains, v.domain)
	}
}

func (m *model) rollout(c Change) {
	m.read(0)
	m.swap(0, c)
	m.calm(m.vms, true)
	m.pollAll(true)
}

// advance lets a time pass while the VMs that reach each other exchange what they know.
func (m *model) advance(d time.Duration) {
	for end := m.now.Add(d); m.now.Before(end); {
		m.now = m.now.Add(500 * time.Millisecond)
		m.calm(m.vms, true)
		m.pollAll(true)
		m.check()
	}
}

// Guards against interleavings that earlier forms of the rule did not survive, and shows that they did not.
func TestFoundInterleavings(t *testing.T) {
	out := func(domain string, sequence uint64) Change { return orderChange(domain, sequence, bundle.OrderOut) }
	for name, c := range map[string]struct {
		broken   rule
		isolated time.Duration
		do       func(m *model)
	}{
		// B and C know a new bundle without the order that A and D acknowledged before, and are a majority of its domains.
		"new domains without an earlier order": {ruleParts, 0, func(m *model) {
			m.rollout(bundleChange(1, "x", "a", "d"))
			m.damage("b", "c")
			m.rollout(out("a", 1))
			m.rollout(bundleChange(2, "x", "a", "b", "c"))
		}},
		// B and C confirm a bundle that came in a damaged document, but still count majorities of the earlier domains.
		"confirmed by a part": {rulePartsConfirm, 0, func(m *model) {
			m.rollout(bundleChange(1, "x", "a", "b", "c"))
			m.damage("b", "c")
			m.read(0)
			m.swap(0, bundleChange(2, "x", "a", "d"))
			m.rollout(out("a", 1))
			m.rollout(out("a", 2))
		}},
		// D and C are a majority of the new domains, A and B of the earlier ones.
		"disjoint majorities": {ruleOneSet, 0, func(m *model) {
			m.rollout(bundleChange(1, "x", "a", "b", "c"))
			m.group("ab")
			m.rollout(bundleChange(2, "x", "c", "d"))
		}},
		// B and C do not know the order and keep each other fresh until long after the compare-and-swap. When C learns it,
		// A and C are a majority, but the isolated window of B has only begun.
		"isolated after the swap": {ruleSwapWindow, 6 * time.Second, func(m *model) {
			m.rollout(bundleChange(1, "x", "a", "b", "c"))
			m.group("bc")
			m.rollout(out("b", 1))
			m.advance(6 * time.Second)
			m.group("b")
		}},
	} {
		t.Run(name, func(t *testing.T) {
			for _, rule := range []rule{ruleTrue, c.broken} {
				m := newModel(rule, c.isolated)
				c.do(m)
				m.advance(5 * time.Second)
				if (m.violation == "") != (rule == ruleTrue) {
					t.Errorf("%s: violation %q", rule, m.violation)
				}
			}
		})
	}
}

func (m *model) damage(domains ...string) {
	for _, v := range m.vms {
		v.damaged = slices.Contains(domains, v.domain)
	}
}
