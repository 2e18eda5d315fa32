package config

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"maps"
	"reflect"
	"slices"

	"github.com/pkg/errors"

	"clementinepier/bundle"
)

// View is what one VM knows of the configuration. It is immutable and safe for concurrent use.
type View struct {
	document Document
	bundle   *bundle.Bundle
	revision Revision
	digest   string
}

// Bundle returns the bundle, or nil if none is known. Callers must not modify it.
func (v *View) Bundle() *bundle.Bundle { return v.bundle }

// IsOut reports whether the latest order takes the failure domain out of service.
func (v *View) IsOut(domain string) bool {
	return v.document.Orders[domain].Order.State == bundle.OrderOut
}

// Revision returns the revision of the view.
func (v *View) Revision() Revision { return v.revision.Clone() }

// Document returns the signed parts that the view was made from.
func (v *View) Document() Document { return v.document.Clone() }

// Digest returns the hexadecimal SHA-256 of the bundle and the orders. Views with equal digests are the same.
func (v *View) Digest() string { return v.digest }

// FailureDomains returns the names of the bundle's failure domains, sorted.
func (v *View) FailureDomains() []string { return domainNames(v.bundle) }

func domainNames(b *bundle.Bundle) []string {
	if b == nil {
		return nil
	}
	names := make([]string, 0, len(b.FailureDomains))
	for _, d := range b.FailureDomains {
		names = append(names, d.Name)
	}
	slices.Sort(names)
	return slices.Compact(names)
}

// Join returns the view that includes current and every good part of d that is newer. The result is never below
// current, which may be nil, and is current itself if nothing changed. Parts that are ignored are reported in an
// *ErrParts; the view is valid then too.
func Join(k *bundle.Keyring, current *View, d Document) (*View, error) {
	return join(verifier{bundle: k.Verify, order: k.VerifyOrder}, current, d)
}

// verifier has the signature checks; tests replace them.
type verifier struct {
	bundle func(bundle.Signed) (*bundle.Bundle, error)
	order  func(bundle.SignedOrder) error
}

func join(k verifier, current *View, d Document) (*View, error) {
	if current == nil {
		current = newView(Document{}, nil)
	}
	next := Document{Bundle: current.document.Bundle, Orders: maps.Clone(current.document.Orders)}
	var faults []*ErrPart
	b, fault := joinBundle(k, current, d.Bundle)
	if fault != nil {
		faults = append(faults, fault)
	}
	changed := false
	if b != nil {
		next.Bundle, changed = cloneSigned(d.Bundle), true
	} else {
		b = current.bundle
	}
	for _, domain := range slices.Sorted(maps.Keys(d.Orders)) {
		o := d.Orders[domain]
		take, fault := joinOrder(k, current, domain, o)
		if fault != nil {
			faults = append(faults, fault)
		}
		if take {
			if next.Orders == nil {
				next.Orders = map[string]bundle.SignedOrder{}
			}
			next.Orders[domain], changed = cloneOrder(o), true
		}
	}
	var err error
	if len(faults) > 0 {
		err = &ErrParts{Parts: faults}
	}
	if !changed {
		return current, err
	}
	history := d.Clone()
	next.ChangeID, next.Recent, next.PreviousDomains = history.ChangeID, history.Recent, history.PreviousDomains
	return newView(next, b), err
}

// joinBundle returns the bundle to take, or nil to keep the current one.
func joinBundle(k verifier, current *View, s bundle.Signed) (*bundle.Bundle, *ErrPart) {
	have := current.revision.Bundle
	if len(s.Source) == 0 {
		if have > 0 {
			return nil, &ErrPart{Fault: PartStale, Have: have}
		}
		return nil, nil
	}
	if have > 0 && bytes.Equal(s.Source, current.document.Bundle.Source) {
		// The same bundle may carry other valid signatures; the current ones are kept.
		return nil, nil
	}
	b, err := k.bundle(s)
	if err == nil && b.Revision == 0 {
		err = errors.New("revision is 0")
	}
	switch {
	case err != nil:
		return nil, &ErrPart{Fault: PartInvalid, Have: have, Cause: err}
	case b.Revision < have:
		return nil, &ErrPart{Fault: PartStale, Have: have, Got: b.Revision}
	case b.Revision == have:
		return nil, &ErrPart{Fault: PartConflict, Have: have, Got: b.Revision}
	}
	return b, nil
}

// joinOrder reports whether to take the order.
func joinOrder(k verifier, current *View, domain string, o bundle.SignedOrder) (bool, *ErrPart) {
	have := current.document.Orders[domain].Order
	if have.Sequence > 0 && reflect.DeepEqual(o.Order, have) {
		return false, nil
	}
	fault := &ErrPart{FailureDomain: domain, Have: have.Sequence}
	if err := checkOrder(k, domain, o); err != nil {
		fault.Fault, fault.Cause = PartInvalid, err
		return false, fault
	}
	fault.Got = o.Order.Sequence
	switch {
	case o.Order.Sequence < have.Sequence:
		fault.Fault = PartStale
	case o.Order.Sequence == have.Sequence:
		fault.Fault = PartConflict
	default:
		return true, nil
	}
	return false, fault
}

func checkOrder(k verifier, domain string, o bundle.SignedOrder) error {
	switch {
	case domain == "" || o.Order.FailureDomain != domain:
		return errors.Errorf("the order is for failure domain %q", o.Order.FailureDomain)
	case o.Order.Sequence == 0:
		return errors.New("sequence is 0")
	case o.Order.State != bundle.OrderIn && o.Order.State != bundle.OrderOut:
		return errors.Errorf("unknown state %q", o.Order.State)
	}
	return k.order(o)
}

func newView(d Document, b *bundle.Bundle) *View {
	v := &View{document: d, bundle: b, revision: Revision{Orders: make(map[string]uint64, len(d.Orders))}}
	if b != nil {
		v.revision.Bundle = b.Revision
	}
	hash := sha256.New()
	// The encoder writes maps in a fixed order; writing to a hash cannot fail.
	_ = encoding.NewEncoder(hash).Encode(d.Bundle.Source)
	for _, domain := range slices.Sorted(maps.Keys(d.Orders)) {
		o := d.Orders[domain].Order
		v.revision.Orders[domain] = o.Sequence
		_ = encoding.NewEncoder(hash).Encode(o)
	}
	v.digest = hex.EncodeToString(hash.Sum(nil))
	return v
}
