package bundle

import (
	"crypto/ed25519"
	"fmt"
	"slices"
	"time"
)

// TrustedKey is a public key that is trusted to sign. It is an inline table in settings or a public key file of its own.
type TrustedKey struct {
	// ID may be empty; if set, it must be the id of the public key.
	ID KeyID `toml:"id,omitempty"`
	// PublicKey is the ed25519 public key in standard base64.
	PublicKey string `toml:"public-key"`
	// Roles are the roles in which the key may sign; none means all.
	Roles []Role `toml:"roles,omitempty"`
	// NotAfter is the time after which the key's signatures on new changes and on reads are refused; the zero time means
	// no limit.
	NotAfter time.Time `toml:"not-after,omitempty"`
}

// Keyring holds the public keys that an entry VM trusts. It is immutable.
type Keyring struct{ keys map[KeyID]keyringEntry }

type keyringEntry struct {
	public   ed25519.PublicKey
	roles    []Role
	notAfter time.Time
}

// NewKeyring returns a keyring of the given keys, or an *ErrKeyInvalid for the first invalid key.
func NewKeyring(trusted []TrustedKey) (*Keyring, error) {
	k := &Keyring{keys: make(map[KeyID]keyringEntry, len(trusted))}
	for i, t := range trusted {
		public, err := t.Check()
		if err != nil {
			return nil, &ErrKeyInvalid{Source: fmt.Sprintf("%d of the keyring", i+1), Reason: err.Error()}
		}
		id := KeyIDOf(public)
		if _, duplicate := k.keys[id]; duplicate {
			return nil, &ErrKeyInvalid{Source: string(id), Reason: "is in the keyring more than once"}
		}
		k.keys[id] = keyringEntry{public: public, roles: slices.Clone(t.Roles), notAfter: t.NotAfter}
	}
	return k, nil
}

// IDs returns the ids of the keys in ascending order.
func (k *Keyring) IDs() []KeyID {
	ids := make([]KeyID, 0, len(k.keys))
	for id := range k.keys {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// Verify checks both signatures of a bundle and then the bundle itself. It ignores not-after times: a bundle in force
// stays valid after one of its keys has passed that time, because a restarted entry VM would otherwise refuse it.
func (k *Keyring) Verify(s Signed) (*Bundle, error) { return k.verifyBundle(s, time.Time{}) }

// VerifyNew is like Verify, for a bundle that is about to be accepted: keys past their not-after time are refused.
func (k *Keyring) VerifyNew(now time.Time, s Signed) (*Bundle, error) { return k.verifyBundle(s, now) }

// VerifyOrder checks the order and its signature. It ignores not-after times for the same reason as Verify.
func (k *Keyring) VerifyOrder(o SignedOrder) error { return k.verifyOrder(o, time.Time{}) }

// VerifyNewOrder is like VerifyOrder, for an order that is about to be accepted: keys past their not-after time are
// refused.
func (k *Keyring) VerifyNewOrder(now time.Time, o SignedOrder) error { return k.verifyOrder(o, now) }

// VerifyAuthor checks only the author's signature, for a bundle under review.
func (k *Keyring) VerifyAuthor(s Signed) error {
	return k.verifySignature(RoleAuthor, s.Author, bundlePayload(prefixAuthor, s.Source), time.Time{})
}

func (k *Keyring) verifyBundle(s Signed, now time.Time) (*Bundle, error) {
	if err := k.verifySignature(RoleAuthor, s.Author, bundlePayload(prefixAuthor, s.Source), now); err != nil {
		return nil, err
	}
	if err := k.verifySignature(RoleReviewer, s.Reviewer, bundlePayload(prefixReviewer, s.Source), now); err != nil {
		return nil, err
	}
	// Ids are derived from the public keys, so different ids mean different keys.
	if s.Author.Key == s.Reviewer.Key {
		return nil, &ErrSameSigner{Key: s.Author.Key}
	}
	return ParseAndCheck(s.Source)
}

func (k *Keyring) verifyOrder(o SignedOrder, now time.Time) error {
	if err := k.verifySignature(RoleOperator, o.Signature, o.Order.signedPayload(), now); err != nil {
		return err
	}
	return o.Order.Check()
}

// verifySignature verifies one signature. A zero now disables the not-after check, as it is before every not-after time.
func (k *Keyring) verifySignature(role Role, s Signature, message []byte, now time.Time) error {
	key, known := k.keys[s.Key]
	switch {
	case !known:
		return &ErrKeyNotTrusted{Key: s.Key, Role: role, Reason: "the key is not among the trusted keys"}
	case len(key.roles) > 0 && !slices.Contains(key.roles, role):
		return &ErrKeyNotTrusted{Key: s.Key, Role: role, Reason: "the key is trusted for other roles only"}
	case !key.notAfter.IsZero() && now.After(key.notAfter):
		reason := "the key signs no new changes since " + key.notAfter.UTC().Format(time.RFC3339)
		return &ErrKeyNotTrusted{Key: s.Key, Role: role, Reason: reason}
	case !ed25519.Verify(key.public, message, s.Value):
		return &ErrSignatureInvalid{Key: s.Key, Role: role}
	}
	return nil
}
