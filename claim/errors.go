package claim

import (
	"fmt"

	"github.com/pkg/errors"

	"clementinepier/job"
)

// ErrStoreUnavailable means that a read of the ledger failed, or that a change was not confirmed before the caller's context
// or the ledger's Run ended.
type ErrStoreUnavailable struct {
	Key job.Key
	// MayBeWritten is false only if the change is certainly not written and never will be.
	MayBeWritten bool
	Cause        error
}

// Error implements error.
func (e *ErrStoreUnavailable) Error() string {
	state := "not written"
	if e.MayBeWritten {
		state = "may be written"
	}
	return fmt.Sprintf("claim %s: store unavailable, %s: %v", e.Key, state, e.Cause)
}

// Unwrap returns the cause.
func (e *ErrStoreUnavailable) Unwrap() error { return e.Cause }

// IsErrStoreUnavailable reports whether err is or wraps an *ErrStoreUnavailable.
func IsErrStoreUnavailable(err error) bool {
	var target *ErrStoreUnavailable
	return errors.As(err, &target)
}

// ErrShardFull means that a change would make the value of its shard too large.
type ErrShardFull struct {
	Shard string
	// Size is the size that the value would have had, in bytes.
	Size int
}

// Error implements error.
func (e *ErrShardFull) Error() string {
	return fmt.Sprintf("claims shard %s is full: the value would have %d bytes", e.Shard, e.Size)
}

// IsErrShardFull reports whether err is or wraps an *ErrShardFull.
func IsErrShardFull(err error) bool {
	var target *ErrShardFull
	return errors.As(err, &target)
}

// ErrConflict means that the existing record does not allow the change.
type ErrConflict struct{ Existing Record }

// Error implements error.
func (e *ErrConflict) Error() string {
	return fmt.Sprintf("claim %s: attempt %d is %s", e.Existing.Key, e.Existing.Attempt, e.Existing.State)
}

// IsErrConflict reports whether err is or wraps an *ErrConflict.
func IsErrConflict(err error) bool {
	var target *ErrConflict
	return errors.As(err, &target)
}

// ErrClaimNotExist means that there is no record of the request.
type ErrClaimNotExist struct{ Key job.Key }

// Error implements error.
func (e *ErrClaimNotExist) Error() string { return "claim does not exist: " + e.Key.String() }

// IsErrClaimNotExist reports whether err is or wraps an *ErrClaimNotExist.
func IsErrClaimNotExist(err error) bool {
	var target *ErrClaimNotExist
	return errors.As(err, &target)
}
