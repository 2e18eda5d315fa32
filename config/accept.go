package config

import (
	"crypto/sha256"
	"fmt"
	"slices"

	"clementinepier/bundle"
)

// MaxChangeIDLength is the maximum length of a change id in bytes. Together with MaxRecentChanges it bounds the size of a
// document.
const MaxChangeIDLength = 128

// Change is a new signed bundle or a new signed order. Exactly one of the two is set.
type Change struct {
	ID     string
	Bundle *bundle.Signed
	// Order has its change id under the signature; it must equal ID.
	Order *bundle.SignedOrder
}

// Accept applies the change to current and returns the resulting document and the result of the change. The caller writes
// the document with a compare-and-swap against the version at which current was read. For a change id that was accepted
// before, Accept returns current and the earlier result. It returns
//   - an *ErrRevisionConflict when the number of the change is not the current one plus one,
//   - an *ErrNotYetInForce when the set of failure domains may not change yet,
//   - an *ErrDomainNotExist for an order for an unknown failure domain,
//   - an *ErrInvalidChange for a change that is malformed, badly signed or reuses the id of a different change,
//   - the error of Merge when current itself has an invalid part.
//
// Accept checks signatures. The caller must have called Bundle.Check.
func Accept(k *bundle.Keyring, current Document, c Change) (Document, AcceptedChange, error) {
	return accept(verifier{bundle: k.Verify, order: k.VerifyOrder}, current, c)
}

// accept is Accept with replaceable signature checks.
func accept(k verifier, current Document, c Change) (Document, AcceptedChange, error) {
	view, err := merge(k, nil, current)
	if err != nil {
		return Document{}, AcceptedChange{}, err
	}
	if err := checkChange(c); err != nil {
		return Document{}, AcceptedChange{}, err
	}
	digest := changeDigest(c)
	for _, a := range current.Recent {
		if a.ChangeID != c.ID {
			continue
		}
		if !slices.Equal(a.Digest, digest) {
			return Document{}, AcceptedChange{}, &ErrInvalidChange{ChangeID: c.ID, Reason: "the id belongs to a different accepted change"}
		}
		return current.Clone(), a, nil
	}
	next := current.Clone()
	if c.Order != nil {
		err = acceptOrder(k, view, &next, c)
	} else {
		err = acceptBundle(k, view, &next, c)
	}
	if err != nil {
		return Document{}, AcceptedChange{}, err
	}
	accepted := AcceptedChange{ChangeID: c.ID, Number: view.knownRevision.Bundle + 1, Revision: view.knownRevision.Sum() + 1, Digest: digest}
	if c.Order != nil {
		accepted.FailureDomain, accepted.Number = c.Order.Order.FailureDomain, c.Order.Order.Sequence
	}
	next.ChangeID = c.ID
	next.Recent = append(next.Recent, accepted)
	if extra := len(next.Recent) - MaxRecentChanges; extra > 0 {
		next.Recent = slices.Delete(next.Recent, 0, extra)
	}
	return next, accepted, nil
}

func checkChange(c Change) error {
	reason := ""
	switch {
	case c.ID == "" || len(c.ID) > MaxChangeIDLength:
		reason = fmt.Sprintf("the id must have 1 to %d bytes", MaxChangeIDLength)
	case (c.Bundle == nil) == (c.Order == nil):
		reason = "exactly one of bundle and order must be set"
	case c.Order != nil && c.Order.Order.ChangeID != c.ID:
		reason = fmt.Sprintf("the order was signed for change %q", c.Order.Order.ChangeID)
	}
	if reason == "" {
		return nil
	}
	return &ErrInvalidChange{ChangeID: c.ID, Reason: reason}
}

func acceptOrder(k verifier, view *View, next *Document, c Change) error {
	o := c.Order.Order
	if err := checkOrder(k, o.FailureDomain, *c.Order); err != nil {
		return &ErrInvalidChange{ChangeID: c.ID, Reason: "the order is invalid", Cause: err}
	}
	if !slices.Contains(view.FailureDomains(), o.FailureDomain) {
		return &ErrDomainNotExist{FailureDomain: o.FailureDomain}
	}
	if have := view.knownRevision.Orders[o.FailureDomain]; o.Sequence != have+1 {
		return newRevisionConflict(next, view, o.FailureDomain, o.Sequence, have)
	}
	if next.Orders == nil {
		next.Orders = map[string]bundle.SignedOrder{}
	}
	next.Orders[o.FailureDomain] = cloneOrder(*c.Order)
	return nil
}

func acceptBundle(k verifier, view *View, next *Document, c Change) error {
	b, err := k.bundle(*c.Bundle)
	if err != nil {
		return &ErrInvalidChange{ChangeID: c.ID, Reason: "the bundle is invalid", Cause: err}
	}
	have := view.knownRevision.Bundle
	if b.Revision != have+1 {
		return newRevisionConflict(next, view, "", b.Revision, have)
	}
	if before := view.FailureDomains(); have > 0 && !slices.Equal(before, domainNames(b)) {
		if len(next.PreviousDomains) > 0 {
			return &ErrNotYetInForce{Bundle: have}
		}
		next.PreviousDomains, next.DomainsSince = before, b.Revision
	}
	next.Bundle = cloneSigned(*c.Bundle)
	return nil
}

// ClearPreviousDomains removes PreviousDomains once the last change of the set of failure domains is acknowledged
// everywhere, so that rollouts no longer need a majority of the previous set. The parameter everywhere is the revision of a
// document whose change has a rollout with Progress.AcknowledgedEverywhere. The result has the same revision as d; the bool
// reports whether it differs from d and has to be written.
func ClearPreviousDomains(d Document, everywhere Revision) (Document, bool) {
	if len(d.PreviousDomains) == 0 || everywhere.Bundle < d.DomainsSince {
		return d, false
	}
	cleared := d.Clone()
	cleared.PreviousDomains = nil
	return cleared, true
}

// newRevisionConflict returns an error with the accepted change of that number, or else with the latest one of the same
// part.
func newRevisionConflict(d *Document, view *View, domain string, number, have uint64) *ErrRevisionConflict {
	winner := AcceptedChange{FailureDomain: domain, Number: have, Revision: view.knownRevision.Sum()}
	for _, a := range d.Recent {
		if a.FailureDomain != domain || (a.Number != number && a.Number != have) {
			continue
		}
		winner = a
		if a.Number == number {
			break
		}
	}
	return &ErrRevisionConflict{FailureDomain: domain, Number: number, Winner: winner}
}

// changeDigest returns a digest that identifies the content of a change across retries.
func changeDigest(c Change) []byte {
	hash := sha256.New()
	// Signatures are excluded since a retry may be signed anew. Writing to a hash cannot fail.
	if c.Order != nil {
		_ = encoding.NewEncoder(hash).Encode(c.Order.Order)
	} else {
		_ = encoding.NewEncoder(hash).Encode(c.Bundle.Source)
	}
	return hash.Sum(nil)
}
