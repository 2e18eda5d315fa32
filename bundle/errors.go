package bundle

import (
	"fmt"
	"strings"

	"github.com/pkg/errors"
)

// ErrBundleInvalid means that the source of a bundle is invalid; it lists every fault found.
type ErrBundleInvalid struct{ Faults []Fault }

// Error implements error.
func (e *ErrBundleInvalid) Error() string {
	lines := make([]string, len(e.Faults))
	for i, f := range e.Faults {
		lines[i] = f.String()
	}
	return "bundle is invalid: " + strings.Join(lines, "; ")
}

// IsErrBundleInvalid reports whether err is or wraps an *ErrBundleInvalid.
func IsErrBundleInvalid(err error) bool {
	var target *ErrBundleInvalid
	return errors.As(err, &target)
}

// ErrSignatureInvalid means that a signature does not match the signed data.
type ErrSignatureInvalid struct {
	Key  KeyID
	Role Role
}

// Error implements error.
func (e *ErrSignatureInvalid) Error() string {
	return fmt.Sprintf("signature of the %s with key %q does not match", e.Role, e.Key)
}

// IsErrSignatureInvalid reports whether err is or wraps an *ErrSignatureInvalid.
func IsErrSignatureInvalid(err error) bool {
	var target *ErrSignatureInvalid
	return errors.As(err, &target)
}

// ErrKeyNotTrusted means that a key is not trusted to sign in the role for which it was used.
type ErrKeyNotTrusted struct {
	Key    KeyID
	Role   Role
	Reason string
}

// Error implements error.
func (e *ErrKeyNotTrusted) Error() string {
	return fmt.Sprintf("key %q is not trusted as %s: %s", e.Key, e.Role, e.Reason)
}

// IsErrKeyNotTrusted reports whether err is or wraps an *ErrKeyNotTrusted.
func IsErrKeyNotTrusted(err error) bool {
	var target *ErrKeyNotTrusted
	return errors.As(err, &target)
}

// ErrSameSigner means that author and reviewer signed with the same key.
type ErrSameSigner struct{ Key KeyID }

// Error implements error.
func (e *ErrSameSigner) Error() string {
	return fmt.Sprintf("author and reviewer both signed with key %q; two different keys are needed", e.Key)
}

// IsErrSameSigner reports whether err is or wraps an *ErrSameSigner.
func IsErrSameSigner(err error) bool {
	var target *ErrSameSigner
	return errors.As(err, &target)
}

// ErrOrderInvalid means that a field of an order is invalid.
type ErrOrderInvalid struct{ Reason string }

// Error implements error.
func (e *ErrOrderInvalid) Error() string { return "order is invalid: " + e.Reason }

// IsErrOrderInvalid reports whether err is or wraps an *ErrOrderInvalid.
func IsErrOrderInvalid(err error) bool {
	var target *ErrOrderInvalid
	return errors.As(err, &target)
}

// ErrKeyInvalid means that a key or a key file is invalid. It never contains key material.
type ErrKeyInvalid struct {
	// Source is the path of the key file, or the position or the id of the key in the keyring.
	Source string
	Reason string
}

// Error implements error.
func (e *ErrKeyInvalid) Error() string { return fmt.Sprintf("key %s: %s", e.Source, e.Reason) }

// IsErrKeyInvalid reports whether err is or wraps an *ErrKeyInvalid.
func IsErrKeyInvalid(err error) bool {
	var target *ErrKeyInvalid
	return errors.As(err, &target)
}

// ErrSignedFileInvalid means that a signed bundle cannot be decoded or encoded.
type ErrSignedFileInvalid struct{ Reason string }

// Error implements error.
func (e *ErrSignedFileInvalid) Error() string { return "signed bundle cannot be read: " + e.Reason }

// IsErrSignedFileInvalid reports whether err is or wraps an *ErrSignedFileInvalid.
func IsErrSignedFileInvalid(err error) bool {
	var target *ErrSignedFileInvalid
	return errors.As(err, &target)
}

// ErrReadRefused means that the proof of a signed read is invalid or not trusted.
type ErrReadRefused struct{ Reason string }

// Error implements error.
func (e *ErrReadRefused) Error() string { return "signed read refused: " + e.Reason }

// IsErrReadRefused reports whether err is or wraps an *ErrReadRefused.
func IsErrReadRefused(err error) bool {
	var target *ErrReadRefused
	return errors.As(err, &target)
}
