package peer

import (
	"fmt"
	"syscall"

	"github.com/pkg/errors"

	"clementinepier/job"
)

// ErrPeerUnavailable means that a call received no usable reply.
type ErrPeerUnavailable struct {
	VM   string
	Kind Kind
	// Delivered is false only when it is certain that the call did not reach the peer.
	Delivered bool
	Cause     error
}

// Error implements error.
func (e *ErrPeerUnavailable) Error() string {
	return fmt.Sprintf("entry VM %s: %s: %v", e.VM, e.Kind, e.Cause)
}

// Unwrap returns the cause.
func (e *ErrPeerUnavailable) Unwrap() error { return e.Cause }

// IsErrPeerUnavailable reports whether err is or wraps an *ErrPeerUnavailable.
func IsErrPeerUnavailable(err error) bool {
	var target *ErrPeerUnavailable
	return errors.As(err, &target)
}

// IsRefused reports whether err is a refused TCP connection: no process listens on the peer's address. The error reply of a
// peer is ErrRefused instead.
func IsRefused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }

// WasDelivered reports whether the call that failed with err may have reached the peer.
func WasDelivered(err error) bool {
	var target *ErrPeerUnavailable
	if errors.As(err, &target) {
		return target.Delivered
	}
	return true
}

// ErrRefused is the error reply of a peer that rejected a call or failed to carry it out.
type ErrRefused struct {
	Code   job.Code
	Detail string
}

// Error implements error.
func (e *ErrRefused) Error() string { return fmt.Sprintf("%s: %s", e.Code, e.Detail) }

// IsErrRefused reports whether err is or wraps an *ErrRefused.
func IsErrRefused(err error) bool {
	var target *ErrRefused
	return errors.As(err, &target)
}
