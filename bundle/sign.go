package bundle

import (
	"crypto/ed25519"
	"encoding/binary"
	"fmt"
)

// Role is the role in which a key signs.
type Role string

// The roles of signers.
const (
	RoleAuthor   Role = "author"
	RoleReviewer Role = "reviewer"
	RoleOperator Role = "operator"
)

// The prefixes are part of the signed data and prevent a signature for one purpose from being used for another.
const (
	prefixAuthor   = "clementinepier/v1/bundle/author\x00"
	prefixReviewer = "clementinepier/v1/bundle/reviewer\x00"
	prefixOrder    = "clementinepier/v1/order\x00"
)

// Signature is an ed25519 signature and the id of the key that made it.
type Signature struct {
	Key   KeyID  `json:"key"`
	Value []byte `json:"value"`
}

// Signed is a bundle source with the signatures of its author and its reviewer.
type Signed struct {
	Source   []byte    `json:"source"`
	Author   Signature `json:"author"`
	Reviewer Signature `json:"reviewer"`
}

// OrderState is whether a failure domain is in service.
type OrderState string

// The states of a failure domain that an order can set.
const (
	OrderIn  OrderState = "in"
	OrderOut OrderState = "out"
)

// maxChangeIDLength keeps a stored order below 1 kB.
const maxChangeIDLength = 64

// Order takes a failure domain out of service or returns it to service.
type Order struct {
	FailureDomain string     `json:"failure-domain"`
	State         OrderState `json:"state"`
	// Sequence starts at 1 and increases by one with every order for the failure domain.
	Sequence uint64 `json:"sequence"`
	// ChangeID identifies the change; a retry of the same change has the same id.
	ChangeID string `json:"change-id"`
}

// SignedOrder is an order with an operator's signature.
type SignedOrder struct {
	Order     Order     `json:"order"`
	Signature Signature `json:"signature"`
}

// Check returns an *ErrOrderInvalid if a field of the order is invalid.
func (o Order) Check() error {
	switch {
	case !IsName(o.FailureDomain):
		return &ErrOrderInvalid{Reason: fmt.Sprintf("failure domain %q is not a name", o.FailureDomain)}
	case o.State != OrderIn && o.State != OrderOut:
		return &ErrOrderInvalid{Reason: fmt.Sprintf("state %q is neither %q nor %q", o.State, OrderIn, OrderOut)}
	case o.Sequence < 1:
		return &ErrOrderInvalid{Reason: "sequence must be at least 1"}
	case o.ChangeID == "" || len(o.ChangeID) > maxChangeIDLength:
		return &ErrOrderInvalid{Reason: fmt.Sprintf("change id must have 1 to %d bytes", maxChangeIDLength)}
	}
	return nil
}

// signedPayload returns the bytes to sign. Each text is prefixed with its length, so that different orders never have
// the same bytes.
func (o Order) signedPayload() []byte {
	out := []byte(prefixOrder)
	for _, text := range []string{o.FailureDomain, string(o.State), o.ChangeID} {
		out = binary.BigEndian.AppendUint64(out, uint64(len(text)))
		out = append(out, text...)
	}
	return binary.BigEndian.AppendUint64(out, o.Sequence)
}

func bundlePayload(prefix string, source []byte) []byte { return append([]byte(prefix), source...) }

// SignAuthor signs the source as its author.
func SignAuthor(key *PrivateKey, source []byte) Signature {
	return key.sign(bundlePayload(prefixAuthor, source))
}

// SignReviewer signs the source as its reviewer.
func SignReviewer(key *PrivateKey, source []byte) Signature {
	return key.sign(bundlePayload(prefixReviewer, source))
}

// SignOrder signs the order as an operator.
func SignOrder(key *PrivateKey, o Order) SignedOrder {
	return SignedOrder{Order: o, Signature: key.sign(o.signedPayload())}
}

func (k *PrivateKey) sign(message []byte) Signature {
	return Signature{Key: k.ID(), Value: ed25519.Sign(k.private, message)}
}
