package peer

import (
	"context"
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"time"

	"github.com/pkg/errors"
)

const (
	handshakeTimeout = 2 * time.Second
	nonceSize        = 16

	// The roles are part of each proof, so that a proof sent by one side cannot be reflected by the other.
	roleDialer   = "clementinepier-peer-dialer"
	roleListener = "clementinepier-peer-listener"
)

// hello is the first message of each side.
type hello struct {
	Identity Identity `cbor:"1,keyasint"`
	Nonce    []byte   `cbor:"2,keyasint"`
	// Proof is empty in the dialer's hello and set in the listener's.
	Proof []byte `cbor:"3,keyasint,omitempty"`
}

// proof returns an HMAC over the role and both sides' nonces and identities, which proves knowledge of the secret.
func proof(secret []byte, role string, dialer, listener hello) []byte {
	mac := hmac.New(sha256.New, secret)
	for _, part := range [][]byte{
		[]byte(role),
		dialer.Nonce, []byte(dialer.Identity.VM), []byte(dialer.Identity.FailureDomain), []byte(dialer.Identity.BootID),
		listener.Nonce, []byte(listener.Identity.VM), []byte(listener.Identity.FailureDomain), []byte(listener.Identity.BootID),
	} {
		sum := sha256.Sum256(part)
		_, _ = mac.Write(sum[:])
	}
	return mac.Sum(nil)
}

// verify reports whether the proof was made with any of the secrets. Several are accepted so that a secret can be rotated
// while the old and the new one are both in use.
func verify(given []byte, secrets [][]byte, role string, dialer, listener hello) bool {
	for _, secret := range secrets {
		if hmac.Equal(given, proof(secret, role, dialer, listener)) {
			return true
		}
	}
	return false
}

func newNonce() []byte {
	nonce := make([]byte, nonceSize)
	_, _ = rand.Read(nonce)
	return nonce
}

// dialHandshake verifies the listener's proof, sends the dialer's proof and returns the listener's identity.
func dialHandshake(ctx context.Context, c *conn, self Identity, secrets [][]byte) (Identity, error) {
	ctx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	mine := hello{Identity: self, Nonce: newNonce()}
	if err := c.write(ctx, mine); err != nil {
		return Identity{}, errors.Wrap(err, "send hello")
	}
	var theirs hello
	if err := c.read(ctx, &theirs); err != nil {
		return Identity{}, errors.Wrap(err, "receive hello")
	}
	if !verify(theirs.Proof, secrets, roleListener, mine, theirs) {
		return Identity{}, errors.New("listener's proof matches none of the peer secrets")
	}
	reply := hello{Identity: self, Proof: proof(secrets[0], roleDialer, mine, theirs)}
	return theirs.Identity, errors.Wrap(c.write(ctx, reply), "send proof")
}

// acceptHandshake is the listener's counterpart of dialHandshake; it returns the dialer's identity.
func acceptHandshake(ctx context.Context, c *conn, self Identity, secrets [][]byte) (Identity, error) {
	ctx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	var theirs hello
	if err := c.read(ctx, &theirs); err != nil {
		return Identity{}, errors.Wrap(err, "receive hello")
	}
	if len(theirs.Nonce) != nonceSize {
		return Identity{}, errors.New("nonce in hello is missing or has the wrong length")
	}
	mine := hello{Identity: self, Nonce: newNonce()}
	mine.Proof = proof(secrets[0], roleListener, theirs, mine)
	if err := c.write(ctx, mine); err != nil {
		return Identity{}, errors.Wrap(err, "send hello")
	}
	var reply hello
	if err := c.read(ctx, &reply); err != nil {
		return Identity{}, errors.Wrap(err, "receive proof")
	}
	if !verify(reply.Proof, secrets, roleDialer, theirs, mine) {
		return Identity{}, errors.New("dialer's proof matches none of the peer secrets")
	}
	return theirs.Identity, nil
}
