package config

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"maps"
	"slices"

	"github.com/pkg/errors"

	"clementinepier/bundle"
)

// View is the configuration as known to one VM. It is immutable and safe for concurrent use.
//
// A view has the latest complete document, that is, the latest one of which every part was valid. It may also have newer
// valid parts of a damaged document. These apply at once on this VM, but heartbeats and confirmations do not name them: a
// document includes every change accepted before it, and a single part does not.
type View struct {
	// newestParts has the newest valid parts; only Bundle and Orders are set.
	newestParts   Document
	bundle        *bundle.Bundle
	knownRevision Revision
	complete      completeDocument
}

// completeDocument is a document of which every part is valid.
type completeDocument struct {
	document Document
	bundle   *bundle.Bundle
	revision Revision
	digest   string
}

// Bundle returns the bundle, or nil if none is known. Callers must not modify it.
func (v *View) Bundle() *bundle.Bundle { return v.bundle }

// IsOutOfService reports whether the latest order takes the failure domain out of service.
func (v *View) IsOutOfService(domain string) bool {
	return v.newestParts.Orders[domain].Order.State == bundle.OrderOut
}

// Revision returns the revision of the latest complete document. Heartbeats and confirmations report this revision.
func (v *View) Revision() Revision { return v.complete.revision.Clone() }

// KnownRevision returns the revision of the newest valid parts. It covers Revision.
func (v *View) KnownRevision() Revision { return v.knownRevision.Clone() }

// Document returns the latest complete document, to send to other VMs.
func (v *View) Document() Document { return v.complete.document.Clone() }

// Digest returns the hexadecimal SHA-256 of the bundle and the orders of the latest complete document.
func (v *View) Digest() string { return v.complete.digest }

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

// Merge returns a view with every part of current, which may be nil, replaced by a valid newer part of d. The result covers
// current, and is current itself if nothing changed. Ignored parts are reported in an *ErrParts; the view is valid in that
// case too.
func Merge(k *bundle.Keyring, current *View, d Document) (*View, error) {
	return merge(verifier{bundle: k.Verify, order: k.VerifyOrder}, current, d)
}

// verifier has the signature checks, so that tests can replace them.
type verifier struct {
	bundle func(bundle.Signed) (*bundle.Bundle, error)
	order  func(bundle.SignedOrder) error
}

// merge is Merge with replaceable signature checks.
func merge(k verifier, current *View, d Document) (*View, error) {
	if current == nil {
		current = newView()
	}
	next := &View{bundle: current.bundle, knownRevision: current.KnownRevision(), complete: current.complete}
	next.newestParts = Document{Bundle: current.newestParts.Bundle, Orders: maps.Clone(current.newestParts.Orders)}
	var faults []*ErrPart
	b, fault := mergeBundle(k, current, d.Bundle)
	if fault != nil {
		faults = append(faults, fault)
	}
	changed := false
	if b != nil && b.Revision > current.knownRevision.Bundle {
		next.newestParts.Bundle, next.bundle, next.knownRevision.Bundle = cloneSigned(d.Bundle), b, b.Revision
		changed = true
	}
	for _, domain := range slices.Sorted(maps.Keys(d.Orders)) {
		o := d.Orders[domain]
		fault := checkOrderUpdate(k, current, domain, o)
		if fault != nil {
			faults = append(faults, fault)
		} else if o.Order.Sequence > current.knownRevision.Orders[domain] {
			next.newestParts.Orders[domain], next.knownRevision.Orders[domain] = cloneOrder(o), o.Order.Sequence
			changed = true
		}
	}
	var err error
	if len(faults) > 0 {
		err = &ErrParts{Parts: faults}
	}
	if IsCompleteMerge(err) {
		if revision := revisionOf(d, b); revision.Covers(current.complete.revision) && !current.complete.revision.Covers(revision) {
			next.complete = completeDocument{document: d.Clone(), bundle: b, revision: revision, digest: digestOf(d)}
			changed = true
		}
	}
	if !changed {
		return current, err
	}
	return next, err
}

// mergeBundle returns the bundle in s if it is valid, even if it is stale, and why it is ignored, if it is.
func mergeBundle(k verifier, current *View, s bundle.Signed) (*bundle.Bundle, *ErrPart) {
	have := current.knownRevision.Bundle
	if len(s.Source) == 0 {
		if have > 0 {
			return nil, &ErrPart{Fault: PartStale, Have: have}
		}
		return nil, nil
	}
	if have > 0 && bytes.Equal(s.Source, current.newestParts.Bundle.Source) {
		// The same bundle may have other valid signatures; the current ones are kept.
		return current.bundle, nil
	}
	b, err := k.bundle(s)
	if err == nil && b.Revision == 0 {
		err = errors.New("revision is 0")
	}
	switch {
	case err != nil:
		return nil, &ErrPart{Fault: PartInvalid, Have: have, Cause: err}
	case b.Revision < have:
		return b, &ErrPart{Fault: PartStale, Have: have, Got: b.Revision}
	case b.Revision == have:
		return nil, &ErrPart{Fault: PartConflict, Have: have, Got: b.Revision}
	}
	return b, nil
}

// checkOrderUpdate returns why the order is ignored, or nil if it is the current one or a valid newer one.
func checkOrderUpdate(k verifier, current *View, domain string, o bundle.SignedOrder) *ErrPart {
	have := current.newestParts.Orders[domain].Order
	if have.Sequence > 0 && o.Order == have {
		return nil
	}
	fault := &ErrPart{FailureDomain: domain, Have: have.Sequence}
	if err := checkOrder(k, domain, o); err != nil {
		fault.Fault, fault.Cause = PartInvalid, err
		return fault
	}
	fault.Got = o.Order.Sequence
	switch {
	case o.Order.Sequence < have.Sequence:
		fault.Fault = PartStale
	case o.Order.Sequence == have.Sequence:
		fault.Fault = PartConflict
	default:
		return nil
	}
	return fault
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

func newView() *View {
	return &View{
		newestParts:   Document{Orders: map[string]bundle.SignedOrder{}},
		knownRevision: Revision{Orders: map[string]uint64{}},
	}
}

// revisionOf returns the revision of a document whose parts are valid; b is its bundle.
func revisionOf(d Document, b *bundle.Bundle) Revision {
	r := Revision{Orders: make(map[string]uint64, len(d.Orders))}
	if b != nil {
		r.Bundle = b.Revision
	}
	for domain, o := range d.Orders {
		r.Orders[domain] = o.Order.Sequence
	}
	return r
}

func digestOf(d Document) string {
	hash := sha256.New()
	// Writing to a hash cannot fail.
	_ = encoding.NewEncoder(hash).Encode(d.Bundle.Source)
	for _, domain := range slices.Sorted(maps.Keys(d.Orders)) {
		_ = encoding.NewEncoder(hash).Encode(d.Orders[domain].Order)
	}
	return hex.EncodeToString(hash.Sum(nil))
}
