// Package bundle is a temporary stand-in for the types of the bundle package; the real package replaces it at the merge.
package bundle

import (
	"crypto/ed25519"
	"encoding/json"

	"github.com/pkg/errors"

	"clementinepier/job"
)

// Bundle is the operators' reviewed configuration.
type Bundle struct {
	Revision       uint64
	ReclaimBound   job.Duration
	Organisations  []Organisation
	FailureDomains []FailureDomain
	Services       []Service
}

// Organisation is one customer.
type Organisation struct {
	Name        string
	TokenDigest string
	Weight      float64
	Guarantees  []Guarantee
	Limits      []Limit
}

// Guarantee is Count instances of a shape.
type Guarantee struct {
	Name  string
	Shape job.Shape
	Count int
}

// Limit bounds one service of an organisation.
type Limit struct {
	Service           string
	RequestsPerSecond float64
	Running           int
}

// FailureDomain lists the racks of one zone.
type FailureDomain struct {
	Name   string
	Region string
	Racks  []Rack
}

// Rack lists the workers of one rack.
type Rack struct {
	Name         string
	Workers      []string
	Slots        int
	Accelerators int
}

// Service has the bounds of one service.
type Service struct {
	Name           string
	DefaultTimeout job.Duration
	MaxTimeout     job.Duration
	MaxPayload     int
}

// KeyID names a trusted public key.
type KeyID string

// Signature is an ed25519 signature.
type Signature struct {
	Key   KeyID
	Value []byte
}

// Signed is a bundle's source with its signatures.
type Signed struct {
	Source           []byte
	Author, Reviewer Signature
}

// OrderState says whether a failure domain is in service.
type OrderState string

// The states of a failure domain.
const (
	OrderIn  OrderState = "in"
	OrderOut OrderState = "out"
)

// Order takes a failure domain out of service or brings it back.
type Order struct {
	FailureDomain string
	State         OrderState
	Sequence      uint64
	ChangeID      string
}

// SignedOrder is an order with its signature.
type SignedOrder struct {
	Order     Order
	Signature Signature
}

// Keyring has the trusted public keys.
type Keyring struct{ keys map[KeyID]ed25519.PublicKey }

// Verify returns the bundle if both signatures are good.
func (k *Keyring) Verify(s Signed) (*Bundle, error) {
	if s.Author.Key == s.Reviewer.Key || !k.good(s.Source, s.Author) || !k.good(s.Source, s.Reviewer) {
		return nil, errors.New("bundle: bad signature")
	}
	var b Bundle
	if err := json.Unmarshal(s.Source, &b); err != nil {
		return nil, errors.Wrap(err, "bundle: parse")
	}
	return &b, nil
}

// VerifyOrder returns an error if the signature is bad.
func (k *Keyring) VerifyOrder(o SignedOrder) error {
	message, err := json.Marshal(o.Order)
	if err != nil {
		return err
	}
	if !k.good(message, o.Signature) {
		return errors.New("bundle: bad signature")
	}
	return nil
}

func (k *Keyring) good(message []byte, s Signature) bool {
	key, ok := k.keys[s.Key]
	return ok && ed25519.Verify(key, message, s.Value)
}
