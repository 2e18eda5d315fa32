package config

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"clementinepier/bundle"
	"clementinepier/job"
)

// start is an arbitrary time; the package does not read a clock.
var start = time.Date(2026, 12, 4, 5, 0, 0, 0, time.UTC)

func at(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }

var validSignature = bundle.Signature{Key: "k", Value: []byte("good")}

// testVerifier accepts JSON sources and the signature "good".
var testVerifier = verifier{
	bundle: func(s bundle.Signed) (*bundle.Bundle, error) {
		var b bundle.Bundle
		if string(s.Author.Value) != "good" {
			return nil, errors.New("bad signature")
		}
		return &b, json.Unmarshal(s.Source, &b)
	},
	order: func(o bundle.SignedOrder) error {
		if string(o.Signature.Value) != "good" {
			return errors.New("bad signature")
		}
		return nil
	},
}

// testBundle returns a signed bundle; different notes make the contents of bundles of one revision differ.
func testBundle(revision uint64, note string, domains ...string) bundle.Signed {
	b := bundle.Bundle{Revision: revision, Organisations: []bundle.Organisation{{Name: note}}}
	for _, domain := range domains {
		b.FailureDomains = append(b.FailureDomains, bundle.FailureDomain{Name: domain})
	}
	source, err := json.Marshal(b)
	if err != nil {
		panic(err)
	}
	return bundle.Signed{Source: source, Author: validSignature, Reviewer: validSignature}
}

func testOrder(domain string, sequence uint64, state bundle.OrderState, id string) bundle.SignedOrder {
	o := bundle.Order{FailureDomain: domain, State: state, Sequence: sequence, ChangeID: id}
	return bundle.SignedOrder{Order: o, Signature: validSignature}
}

// bundleChange and orderChange return changes with ids derived from their content.
func bundleChange(revision uint64, note string, domains ...string) Change {
	s := testBundle(revision, note, domains...)
	return Change{ID: fmt.Sprintf("bundle-%d-%s", revision, note), Bundle: &s}
}

func orderChange(domain string, sequence uint64, state bundle.OrderState) Change {
	id := fmt.Sprintf("order-%s-%d-%s", domain, sequence, state)
	o := testOrder(domain, sequence, state, id)
	return Change{ID: id, Order: &o}
}

func mustAccept(t testing.TB, d Document, changes ...Change) Document {
	t.Helper()
	for _, c := range changes {
		next, _, err := accept(testVerifier, d, c)
		if err != nil {
			t.Fatalf("change %s: %v", c.ID, err)
		}
		d = next
	}
	return d
}

// Guards against a view whose revision decreases, that has an invalid part, or that lacks valid parts because of an invalid
// one.
func TestMerge(t *testing.T) {
	is := is.New(t)
	d := mustAccept(t, Document{}, bundleChange(1, "x", "a", "b", "c"), orderChange("a", 1, bundle.OrderOut), bundleChange(2, "x", "a", "b", "c"))
	v, err := merge(testVerifier, nil, d)
	is.NoErr(err)
	is.Equal(v.Revision(), Revision{Bundle: 2, Orders: map[string]uint64{"a": 1}})
	is.Equal(v.Revision().Sum(), uint64(3))
	is.True(v.IsOutOfService("a"))
	is.True(!v.IsOutOfService("b"))

	mixed := Document{
		Bundle: testBundle(1, "x", "a", "b", "c"),
		Orders: map[string]bundle.SignedOrder{
			"a": testOrder("a", 1, bundle.OrderIn, "other"),
			"b": testOrder("b", 4, bundle.OrderOut, "b4"),
			"c": {Order: bundle.Order{FailureDomain: "c", State: bundle.OrderOut, Sequence: 9}},
			"d": testOrder("c", 9, bundle.OrderOut, "moved"),
		},
	}
	next, err := merge(testVerifier, v, mixed)
	var parts *ErrParts
	is.True(errors.As(err, &parts))
	var got []string
	for _, p := range parts.Parts {
		got = append(got, p.FailureDomain+":"+string(p.Fault))
	}
	is.Equal(got, []string{":stale", "a:conflict", "c:invalid", "d:invalid"})
	is.True(!IsCompleteMerge(err))
	is.Equal(next.KnownRevision(), Revision{Bundle: 2, Orders: map[string]uint64{"a": 1, "b": 4}})
	is.Equal(next.Revision(), v.Revision()) // the mixed document is not complete
	is.True(next.IsOutOfService("a") && next.IsOutOfService("b") && !next.IsOutOfService("c"))
	is.Equal(v.KnownRevision().Orders["b"], uint64(0)) // the earlier view is unchanged

	same, err := merge(testVerifier, next, d)
	is.True(same == next)
	is.True(err == nil) // identical parts are not reported
	_, err = merge(testVerifier, next, Document{})
	is.True(IsCompleteMerge(err) && IsErrParts(err))
	conflict, err := merge(testVerifier, next, Document{Bundle: testBundle(2, "y", "a")})
	is.True(conflict == next && !IsCompleteMerge(err))
	unsigned := testBundle(7, "x", "a")
	unsigned.Author.Value = nil
	kept, err := merge(testVerifier, next, Document{Bundle: unsigned})
	is.True(kept == next && !IsCompleteMerge(err))
}

// Guards against a view that callers can modify through the values that its accessors return.
func TestViewIsImmutable(t *testing.T) {
	is := is.New(t)
	v, err := merge(testVerifier, nil, mustAccept(t, Document{}, bundleChange(1, "x", "a"), orderChange("a", 1, bundle.OrderOut)))
	is.NoErr(err)
	d, r, before := v.Document(), v.Revision(), v.Document()
	d.Bundle.Source[0], d.Recent[0].Digest[0], r.Orders["a"] = 0, d.Recent[0].Digest[0]+1, 9
	d.Orders["a"] = bundle.SignedOrder{}
	is.Equal(v.Document(), before)
	is.True(v.IsOutOfService("a"))
	is.Equal(v.Revision().Orders["a"], uint64(1))
}

// Guards against losing parts in the codec and against accepting a truncated value.
func TestEncodeDecode(t *testing.T) {
	is := is.New(t)
	d := mustAccept(t, Document{}, bundleChange(1, "x", "a", "b"), orderChange("b", 1, bundle.OrderOut), bundleChange(2, "x", "a"))
	data, err := Encode(d)
	is.NoErr(err)
	got, err := Decode(data)
	is.NoErr(err)
	is.Equal(got, d)
	for i := range data {
		_, err = Decode(data[:i])
		is.True(IsErrInvalidDocument(err))
	}
	_, err = Decode(append(data, 0))
	is.True(IsErrInvalidDocument(err))
	_, err = Decode(make([]byte, 1_000_001))
	is.True(IsErrInvalidDocument(err))
	d.Bundle.Source = make([]byte, 1_000_000)
	_, err = Encode(d)
	is.True(IsErrInvalidDocument(err))
}

// Guards against accepting two changes for one revision, and against a retry that conflicts with its own first attempt.
func TestAccept(t *testing.T) {
	is := is.New(t)
	first := bundleChange(1, "x", "a", "b")
	d := mustAccept(t, Document{}, first, orderChange("a", 1, bundle.OrderOut))
	is.Equal(d.ChangeID, "order-a-1-out")

	for _, c := range []Change{bundleChange(1, "y", "a"), bundleChange(3, "y", "a")} {
		var conflict *ErrRevisionConflict
		_, _, err := accept(testVerifier, d, c)
		is.True(errors.As(err, &conflict))
		is.Equal(conflict.Winner.ChangeID, first.ID)
		is.Equal(conflict.Winner.Revision, uint64(1))
	}
	_, _, err := accept(testVerifier, d, orderChange("a", 1, bundle.OrderIn))
	var conflict *ErrRevisionConflict
	is.True(errors.As(err, &conflict))
	is.Equal(conflict.Winner.ChangeID, "order-a-1-out")
	is.Equal(conflict.Winner.Revision, uint64(2))

	for i := range MaxRecentChanges - 2 {
		d = mustAccept(t, d, orderChange("b", uint64(i+1), bundle.OrderOut))
	}
	again, result, err := accept(testVerifier, d, first)
	is.NoErr(err)
	is.Equal(again, d)
	is.Equal(result, d.Recent[0])
	is.Equal(result.PartRevision(), rev1)
	is.Equal(d.Recent[1].PartRevision(), Revision{Orders: map[string]uint64{"a": 1}})
	d = mustAccept(t, d, orderChange("a", 2, bundle.OrderIn))
	is.Equal(len(d.Recent), MaxRecentChanges)
	_, _, err = accept(testVerifier, d, first) // the id is no longer known
	is.True(IsErrRevisionConflict(err))
}

// Guards against writing invalid changes to the store.
func TestAcceptRejectsInvalidChanges(t *testing.T) {
	d := mustAccept(t, Document{}, bundleChange(1, "x", "a", "b"), orderChange("a", 1, bundle.OrderOut))
	badOrder, badBundle, reused, resigned := orderChange("b", 1, "gone"), bundleChange(2, "x", "a"), orderChange("b", 1, bundle.OrderIn), orderChange("b", 1, bundle.OrderIn)
	badBundle.Bundle.Author.Value = nil
	reused.ID, reused.Order.Order.ChangeID = "bundle-1-x", "bundle-1-x"
	resigned.ID = "another"
	for name, c := range map[string]Change{
		"empty": {}, "state": badOrder, "signature": badBundle, "reused id": reused, "other id": resigned, "nothing": {ID: "n"},
		"long id": {ID: strings.Repeat("x", MaxChangeIDLength+1), Bundle: badBundle.Bundle},
	} {
		t.Run(name, func(t *testing.T) {
			_, _, err := accept(testVerifier, d, c)
			is.New(t).True(IsErrInvalidChange(err))
		})
	}
	_, _, err := accept(testVerifier, d, orderChange("z", 1, bundle.OrderOut))
	is.New(t).True(IsErrDomainNotExist(err))
}

// Guards against a second change of the set of failure domains while VMs may still count a majority of the first set.
func TestAcceptDomainChange(t *testing.T) {
	is := is.New(t)
	d := mustAccept(t, Document{}, bundleChange(1, "x", "a", "b", "c"), bundleChange(2, "x", "a", "b"), bundleChange(3, "y", "b", "a"))
	is.Equal(d.PreviousDomains, []string{"a", "b", "c"})
	_, _, err := accept(testVerifier, d, bundleChange(4, "x", "a"))
	is.True(IsErrNotYetInForce(err))
	_, cleared := ClearPreviousDomains(d, rev1) // acknowledged before the set changed
	is.True(!cleared)
	d, cleared = ClearPreviousDomains(d, rev2)
	is.True(cleared)
	d = mustAccept(t, d, bundleChange(4, "x", "a"))
	is.Equal(d.PreviousDomains, []string{"a", "b"})
}

func testView(r Revision, domains []string) *View {
	b := &bundle.Bundle{}
	for _, domain := range domains {
		b.FailureDomains = append(b.FailureDomains, bundle.FailureDomain{Name: domain})
	}
	return &View{complete: completeDocument{revision: r, bundle: b}}
}

var rev0, rev1, rev2 = Revision{}, Revision{Bundle: 1}, Revision{Bundle: 2}

// Guards against counting an observation that must not count, and against ignoring one that must.
func TestFreshness(t *testing.T) {
	abc := []string{"a", "b", "c"}
	for name, c := range map[string]struct {
		do   func(f *Freshness)
		now  float64
		want job.Code
	}{
		"nothing":           {func(f *Freshness) {}, 0, job.CodeViewNotFresh},
		"no configuration":  {func(f *Freshness) { f.SetView(testView(rev0, nil)); f.RecordStoreRead(at(1), rev0) }, 1, job.CodeNoConfiguration},
		"store":             {func(f *Freshness) { f.SetRegistered(false); f.RecordStoreRead(at(1), rev1) }, 2.9, job.CodeOK},
		"store too old":     {func(f *Freshness) { f.RecordStoreRead(at(1), rev1) }, 3, job.CodeViewNotFresh},
		"store names newer": {func(f *Freshness) { f.RecordStoreRead(at(1), rev2) }, 1, job.CodeViewNotFresh},
		"majority":          {func(f *Freshness) { f.RecordHeartbeat(at(1), "b1", "b", true, rev1) }, 2, job.CodeOK},
		"majority too old":  {func(f *Freshness) { f.RecordHeartbeat(at(1), "b1", "b", true, rev1) }, 3, job.CodeViewNotFresh},
		"older send time later": {func(f *Freshness) {
			f.RecordHeartbeat(at(2), "b1", "b", true, rev1)
			f.RecordHeartbeat(at(1), "b1", "b", true, rev1)
		}, 3.5, job.CodeOK},
		"unregistered witness": {func(f *Freshness) { f.RecordHeartbeat(at(1), "b1", "b", false, rev1) }, 1, job.CodeViewNotFresh},
		"self unregistered": {func(f *Freshness) {
			f.SetRegistered(false)
			f.RecordHeartbeat(at(1), "b1", "b", true, rev1)
			f.RecordHeartbeat(at(1), "c1", "c", true, rev1)
		}, 1, job.CodeViewNotFresh},
		"own domain only": {func(f *Freshness) { f.RecordHeartbeat(at(1), "a2", "a", true, rev1) }, 1, job.CodeViewNotFresh},
		"unknown domain":  {func(f *Freshness) { f.RecordHeartbeat(at(1), "z1", "z", true, rev1) }, 1, job.CodeViewNotFresh},
		"own domain not in bundle": {func(f *Freshness) {
			f.SetView(testView(rev1, []string{"b", "c"}))
			f.RecordHeartbeat(at(1), "b1", "b", true, rev1)
			f.RecordHeartbeat(at(1), "c1", "c", true, rev1)
		}, 1, job.CodeViewNotFresh},
		"half is no majority": {func(f *Freshness) {
			f.SetView(testView(rev1, []string{"a", "b", "c", "d"}))
			f.RecordHeartbeat(at(1), "b1", "b", true, rev1)
		}, 1, job.CodeViewNotFresh},
		"older of two": {func(f *Freshness) {
			f.SetView(testView(rev1, []string{"a", "b", "c", "d"}))
			f.RecordHeartbeat(at(1), "b1", "b", true, rev1)
			f.RecordHeartbeat(at(2), "c1", "c", true, rev1)
		}, 3, job.CodeViewNotFresh},
		"newer counts once covered": {func(f *Freshness) {
			f.RecordHeartbeat(at(1), "b1", "b", true, rev2)
			f.SetView(testView(rev2, abc))
		}, 2, job.CodeOK},
		"newer, raised too little": {func(f *Freshness) {
			f.RecordHeartbeat(at(1), "b1", "b", true, Revision{Bundle: 3})
			f.SetView(testView(rev2, abc))
		}, 2, job.CodeViewNotFresh},
		"single domain": {func(f *Freshness) { f.SetView(testView(rev1, []string{"a"})) }, 1000, job.CodeOK},
		"forgotten":     {func(f *Freshness) { f.RecordHeartbeat(at(1), "b1", "b", true, rev1); f.Forget("b1") }, 1, job.CodeViewNotFresh},
		"isolated":      {func(f *Freshness) { f.IsolatedWindow = time.Minute; f.RecordStoreRead(at(1), rev1) }, 60, job.CodeOK},
		"isolated, not registered": {func(f *Freshness) {
			f.IsolatedWindow = time.Minute
			f.SetRegistered(false)
			f.RecordStoreRead(at(1), rev1)
		}, 60, job.CodeViewNotFresh},
	} {
		t.Run(name, func(t *testing.T) {
			f := &Freshness{FailureDomain: "a"}
			f.SetView(testView(rev1, abc))
			f.SetRegistered(true)
			c.do(f)
			ok, code := f.MayStart(at(c.now))
			is.New(t).Equal(code, c.want)
			is.New(t).Equal(ok, c.want == job.CodeOK)
		})
	}
}

// Guards against unbounded memory when a peer keeps reporting a revision that the view never covers.
func TestFreshnessPendingIsBounded(t *testing.T) {
	is := is.New(t)
	f := &Freshness{FailureDomain: "a"}
	f.SetView(testView(rev1, []string{"a", "b", "c"}))
	f.SetRegistered(true)
	for i := range 1000 {
		f.RecordHeartbeat(at(float64(i)), "b1", "b", true, rev2)
	}
	is.Equal(len(f.sources["b1"].pending), maxPending)
	f.SetView(testView(rev2, []string{"a", "b", "c"}))
	fresh, ok := f.FreshAt()
	is.True(ok)
	is.Equal(fresh, at(999))
	is.Equal(f.Sources(), []string{"b1"})
}

// Guards against acknowledging a change while a VM that lacks it may still start tasks.
func TestRollout(t *testing.T) {
	abc := []string{"a", "b", "c"}
	list := []Registration{{"a1", "a"}, {"a2", "a"}, {"b1", "b"}, {"c1", "c"}}
	out := testOrder("a", 1, bundle.OrderOut, "x").Order
	for name, c := range map[string]struct {
		options  RolloutOptions
		list     []Registration
		confirms []string
		acked    float64 // seconds after the confirmations, -1 for never
	}{
		"majority":             {RolloutOptions{Domains: abc}, list, []string{"b1", "c1"}, 0},
		"one domain":           {RolloutOptions{Domains: abc}, list, []string{"a1", "a2"}, -1},
		"half a domain":        {RolloutOptions{Domains: abc}, list, []string{"a1", "b1"}, -1},
		"not listed":           {RolloutOptions{Domains: abc}, nil, []string{"a1", "a2", "b1", "c1"}, -1},
		"empty domain":         {RolloutOptions{Domains: abc}, list[:2], []string{"a1", "a2"}, -1},
		"own domain's order":   {RolloutOptions{Domains: abc, Order: &out}, list, []string{"a1", "a2"}, 0},
		"other domain's order": {RolloutOptions{Domains: abc, Order: &out}, list, []string{"b1"}, -1},
		"majority for order":   {RolloutOptions{Domains: abc, Order: &out}, list, []string{"b1", "c1"}, 0},
		"no domains":           {RolloutOptions{}, list, []string{"a1", "a2", "b1", "c1"}, -1},
		"new set only":         {RolloutOptions{Domains: []string{"c"}, PreviousDomains: abc}, list, []string{"c1"}, -1},
		"both sets":            {RolloutOptions{Domains: []string{"c"}, PreviousDomains: abc}, list, []string{"b1", "c1"}, 0},
		"isolated":             {RolloutOptions{Domains: abc, Order: &out, IsolatedWindow: 10 * time.Second}, list, []string{"b1", "c1"}, 8},
		"isolated, own domain": {RolloutOptions{Domains: abc, Order: &out, IsolatedWindow: 10 * time.Second}, list, []string{"a1", "a2"}, 0},
		"isolated bundle":      {RolloutOptions{Domains: abc, IsolatedWindow: 10 * time.Second}, list, []string{"b1", "c1"}, 8},
		"isolated, everyone":   {RolloutOptions{Domains: abc, IsolatedWindow: 10 * time.Second}, list, []string{"a1", "a2", "b1", "c1"}, 0},
		"isolated, left domain": {
			RolloutOptions{Domains: []string{"a", "b"}, IsolatedWindow: 10 * time.Second}, list, []string{"a1", "a2", "b1"}, 8,
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c.options.Change = rev2
			r := NewRollout(c.options)
			is.True(r.Progress(at(0)).Acknowledged.IsZero())
			if c.list != nil {
				r.SetRegistered(at(1), c.list)
			}
			for _, registration := range list {
				r.Confirm(registration.VM, rev1)
			}
			is.True(r.Progress(at(2)).Acknowledged.IsZero())
			for _, vm := range c.confirms {
				r.Confirm(vm, rev2)
				r.Confirm(vm, rev1) // a delayed report does not undo a newer one
			}
			p := r.Progress(at(3))
			for s := 3.0; s < 20 && p.Acknowledged.IsZero(); s++ {
				p = r.Progress(at(s))
			}
			if c.acked < 0 {
				is.True(p.Acknowledged.IsZero())
				return
			}
			is.Equal(p.Acknowledged, at(3+c.acked))
		})
	}
}

// Guards against a progress report that names the wrong waiting VMs, or shows a domain without VMs as confirmed.
func TestRolloutProgress(t *testing.T) {
	is := is.New(t)
	r := NewRollout(RolloutOptions{Change: rev2, Domains: []string{"b", "a"}})
	r.SetRegistered(at(1), []Registration{{"a2", "a"}, {"a1", "a"}})
	r.SetRegistered(at(2), []Registration{{"a3", "a"}, {"a2", "a"}, {"a1", "a"}})
	r.Confirm("a2", rev2)
	want := []DomainProgress{
		{FailureDomain: "a", Registered: 3, Waiting: []WaitingVM{{"a1", at(1)}, {"a3", at(2)}}},
		{FailureDomain: "b"},
	}
	is.Equal(r.Progress(at(3)).Domains, want)
	r.SetRegistered(at(4), []Registration{{"a2", "a"}}) // the other two are gone
	is.Equal(r.Progress(at(4)).Domains[0], DomainProgress{FailureDomain: "a", Registered: 1, Confirmed: true})
}
