package engine

import (
	"context"
	"fmt"
	"time"

	"github.com/pkg/errors"
)

// Item is one key of the store and its value.
type Item struct {
	Key   string
	Value []byte
	// Revision is the revision of the last change; 0 means that the key does not exist.
	Revision int64
	// Created is the revision at which the key was created.
	Created int64
	// Deleted marks the deletion of the key; it is set in events only.
	Deleted bool
}

// AnyRevision as the expected revision makes a write unconditional.
const AnyRevision int64 = -1

// Write is a change of one key.
type Write struct {
	Key   string
	Value []byte
	// Expected is the revision that the key must have; 0 means that it must not exist. AnyRevision is no condition.
	Expected int64
	Delete   bool
	// Lease is the lease with whose end the store deletes the key; 0 means none.
	Lease int64
}

// Txn is a transaction: all of its writes are applied atomically, or none if a condition fails.
type Txn struct {
	// Preconditions are keys that are not written but must have the given revisions.
	Preconditions []Item
	Writes        []Write
}

// MaxTxnEntries bounds the total number of conditions, writes and deletes in one Txn; it comes from the store's published
// protocol.
const MaxTxnEntries = 32

// Store has the calls to the platform's key-value store. Every call that fails returns one of the error types below.
type Store struct {
	// Commit returns the revision of the change.
	Commit func(ctx context.Context, t Txn) (int64, error)
	Get    func(ctx context.Context, key string) (Item, error)
	// List returns all items under the prefix, and the revision after which a watch reports all later changes.
	List func(ctx context.Context, prefix string) ([]Item, int64, error)
	// Scan passes the items under the prefix whose keys come after the given one to each, in the order of their keys, until the store ends the page.
	// It reports whether there are more. After an error, the items that were passed are valid.
	Scan func(ctx context.Context, prefix, after string, each func(Item)) (more bool, err error)
	// Watch returns the changes after a revision, and the revision to continue from. It returns no changes if there are none
	// during the wait.
	Watch       func(ctx context.Context, prefix string, after int64, wait time.Duration) ([]Item, int64, error)
	GrantLease  func(ctx context.Context, ttl time.Duration) (int64, error)
	RenewLease  func(ctx context.Context, lease int64) error
	RevokeLease func(ctx context.Context, lease int64) error
}

// ErrConflict means that a condition of a Txn failed and nothing was written.
type ErrConflict struct {
	// Items are the current items of the keys with conditions.
	Items []Item
}

// Error implements error.
func (e *ErrConflict) Error() string { return fmt.Sprintf("conflict on %d keys", len(e.Items)) }

// ErrNotDone means that a call was certainly not executed.
type ErrNotDone struct{ Cause error }

// Error implements error.
func (e *ErrNotDone) Error() string { return "not done: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *ErrNotDone) Unwrap() error { return e.Cause }

// ErrThrottled is the cause of an ErrNotDone if the store refused the call because of its limits on calls. The store is not failing.
type ErrThrottled struct{ Cause error }

// Error implements error.
func (e *ErrThrottled) Error() string { return "beyond the store's limits: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *ErrThrottled) Unwrap() error { return e.Cause }

// ErrUnanswered means that a call got no response: it may have been executed, or may still be.
type ErrUnanswered struct{ Cause error }

// Error implements error.
func (e *ErrUnanswered) Error() string { return "no answer: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *ErrUnanswered) Unwrap() error { return e.Cause }

// ErrNotExist means that the key or lease does not exist.
type ErrNotExist struct{ Name string }

// Error implements error.
func (e *ErrNotExist) Error() string { return e.Name + " does not exist" }

// ErrCompacted means that the store no longer has the history that a watch requested.
type ErrCompacted struct{ After int64 }

// Error implements error.
func (e *ErrCompacted) Error() string {
	return fmt.Sprintf("history after revision %d has been compacted", e.After)
}

// IsErrNotExist reports whether err is or wraps an *ErrNotExist.
func IsErrNotExist(err error) bool { return isKind[*ErrNotExist](err) }

// IsErrCompacted reports whether err is or wraps an *ErrCompacted.
func IsErrCompacted(err error) bool { return isKind[*ErrCompacted](err) }

// IsErrNotDone reports whether err is or wraps an *ErrNotDone.
func IsErrNotDone(err error) bool { return isKind[*ErrNotDone](err) }

// IsErrThrottled reports whether err is or wraps an *ErrThrottled.
func IsErrThrottled(err error) bool { return isKind[*ErrThrottled](err) }

// IsErrConflict reports whether err is or wraps an *ErrConflict.
func IsErrConflict(err error) bool { return isKind[*ErrConflict](err) }

func isKind[T error](err error) bool {
	var target T
	return errors.As(err, &target)
}

// The keys that entry VMs write. Job and marker keys end in the job's ID.
const (
	plannerKey   = "clementinepier/planner"
	jobPrefix    = "clementinepier/job/"
	markerPrefix = "clementinepier/new/"
	leaseNoteKey = "clementinepier/leases"
	speedNoteKey = "clementinepier/speeds"
	// termKey outlasts the terms. Its revision is the fencing token of the newest one.
	termKey = "clementinepier/term"
)
