package kvstore

import (
	"fmt"

	"github.com/pkg/errors"
)

// ErrUnavailable means that a call received no usable reply.
type ErrUnavailable struct {
	Call string
	// Delivered is false only when it is certain that the request did not reach the service.
	Delivered bool
	Cause     error
}

// Error implements error.
func (e *ErrUnavailable) Error() string {
	return fmt.Sprintf("platform: %s: %v", e.Call, e.Cause)
}

// Unwrap returns the cause.
func (e *ErrUnavailable) Unwrap() error { return e.Cause }

// IsErrUnavailable reports whether err is or wraps an *ErrUnavailable.
func IsErrUnavailable(err error) bool {
	var target *ErrUnavailable
	return errors.As(err, &target)
}

// ErrVersionDiffers means that the key's version differed from the one given to a compare-and-swap or delete.
type ErrVersionDiffers struct {
	Key  string
	Want uint64
	Have uint64
}

// Error implements error.
func (e *ErrVersionDiffers) Error() string {
	return fmt.Sprintf("platform: key %s has version %d, not %d", e.Key, e.Have, e.Want)
}

// IsErrVersionDiffers reports whether err is or wraps an *ErrVersionDiffers.
func IsErrVersionDiffers(err error) bool {
	var target *ErrVersionDiffers
	return errors.As(err, &target)
}

// ErrValueTooLarge means that a value was not written because it is longer than MaxValueSize.
type ErrValueTooLarge struct {
	Key  string
	Size int
}

// Error implements error.
func (e *ErrValueTooLarge) Error() string {
	return fmt.Sprintf("platform: value of key %s has %d bytes, more than %d", e.Key, e.Size, MaxValueSize)
}

// IsErrValueTooLarge reports whether err is or wraps an *ErrValueTooLarge.
func IsErrValueTooLarge(err error) bool {
	var target *ErrValueTooLarge
	return errors.As(err, &target)
}
