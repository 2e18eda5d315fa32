package config

import (
	"bytes"
	"maps"
	"slices"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"clementinepier/bundle"
	"clementinepier/kvstore"
)

// MaxRecentChanges is how many accepted changes a document keeps to recognise retries.
const MaxRecentChanges = 64

// Document is the configuration as stored under the key config/head and as sent in the config message between entry VMs.
type Document struct {
	Bundle bundle.Signed `cbor:"bundle"`
	// Orders maps each failure domain to its latest order.
	Orders map[string]bundle.SignedOrder `cbor:"orders,omitempty"`
	// ChangeID is the id of the last accepted change.
	ChangeID string `cbor:"change-id"`
	// Recent has the latest accepted changes, oldest first, at most MaxRecentChanges.
	Recent []AcceptedChange `cbor:"recent,omitempty"`
	// PreviousDomains are the failure domains before the last bundle that changed their set. They are cleared once that
	// bundle is acknowledged; until then a VM with the previous bundle may still count a majority of the previous set.
	PreviousDomains []string `cbor:"previous-domains,omitempty"`
	// DomainsSince is the revision of the last bundle that changed the set of failure domains.
	DomainsSince uint64 `cbor:"domains-since,omitempty"`
}

// AcceptedChange is the result of an accepted change.
type AcceptedChange struct {
	ChangeID string `cbor:"change-id" json:"change-id"`
	// FailureDomain is the domain of an order, or empty for a bundle.
	FailureDomain string `cbor:"failure-domain,omitempty" json:"failure-domain,omitempty"`
	// Number is the bundle revision or the order's sequence.
	Number uint64 `cbor:"number" json:"number"`
	// Revision is the revision after the change, as shown to operators (Revision.Sum).
	Revision uint64 `cbor:"revision" json:"revision"`
	// Digest is the SHA-256 of the signed bundle or order.
	Digest []byte `cbor:"digest" json:"-"`
}

// PartRevision returns a revision with only the changed part set. It is sufficient for a rollout of the change, also on a VM
// that learns of the change from a retry.
func (a AcceptedChange) PartRevision() Revision {
	if a.FailureDomain == "" {
		return Revision{Bundle: a.Number}
	}
	return Revision{Orders: map[string]uint64{a.FailureDomain: a.Number}}
}

// Clone returns a copy that shares nothing with d.
func (d Document) Clone() Document {
	c := d
	c.Bundle = cloneSigned(d.Bundle)
	c.Orders = maps.Clone(d.Orders)
	for domain, o := range c.Orders {
		c.Orders[domain] = cloneOrder(o)
	}
	c.Recent = slices.Clone(d.Recent)
	for i := range c.Recent {
		c.Recent[i].Digest = bytes.Clone(c.Recent[i].Digest)
	}
	c.PreviousDomains = slices.Clone(d.PreviousDomains)
	return c
}

func cloneSigned(s bundle.Signed) bundle.Signed {
	s.Source = bytes.Clone(s.Source)
	s.Author.Value = bytes.Clone(s.Author.Value)
	s.Reviewer.Value = bytes.Clone(s.Reviewer.Value)
	return s
}

func cloneOrder(o bundle.SignedOrder) bundle.SignedOrder {
	o.Signature.Value = bytes.Clone(o.Signature.Value)
	return o
}

// Encode returns the document as deterministic CBOR. It returns an *ErrInvalidDocument if the result is larger than the
// store's maximum value size.
func Encode(d Document) ([]byte, error) {
	data, err := encoding.Marshal(d)
	if err == nil && len(data) > kvstore.MaxValueSize {
		err = errors.Errorf("%d bytes, the store holds %d", len(data), kvstore.MaxValueSize)
	}
	if err != nil {
		return nil, &ErrInvalidDocument{Cause: err}
	}
	return data, nil
}

// Decode returns the document in data. It returns an *ErrInvalidDocument for truncated, malformed or oversized data.
// Merge checks the signatures.
func Decode(data []byte) (Document, error) {
	if len(data) > kvstore.MaxValueSize {
		return Document{}, &ErrInvalidDocument{Cause: errors.Errorf("%d bytes", len(data))}
	}
	var d Document
	if err := decoding.Unmarshal(data, &d); err != nil {
		return Document{}, &ErrInvalidDocument{Cause: err}
	}
	return d, nil
}

var encoding, decoding = codec()

// codec returns the CBOR modes. Their options are constant, so an error is a bug.
func codec() (cbor.EncMode, cbor.DecMode) {
	enc, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		panic(err)
	}
	dec, err := cbor.DecOptions{DupMapKey: cbor.DupMapKeyEnforcedAPF, IndefLength: cbor.IndefLengthForbidden}.DecMode()
	if err != nil {
		panic(err)
	}
	return enc, dec
}
