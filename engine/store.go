package engine

import (
	"context"
	"fmt"
	"time"

	"github.com/pkg/errors"
)

// Item is one key of the store.
type Item struct {
	Key   string
	Value []byte
	// Revision is that of the last change; 0 means that the key does not exist.
	Revision int64
	// Created is the revision at which the key came to exist.
	Created int64
	// Deleted is set in events only.
	Deleted bool
}

// AnyRevision makes a write unconditional.
const AnyRevision int64 = -1

// Write is a change of one key.
type Write struct {
	Key   string
	Value []byte
	// Expected is the revision that the key must have: 0 if it must not exist, or AnyRevision.
	Expected int64
	Delete   bool
	// Lease ends the key when it ends; 0 means no lease.
	Lease int64
}

// Txn is a change that happens as a whole or not at all.
type Txn struct {
	// Preconditions are keys that are not changed but must have the given revision.
	Preconditions []Item
	Writes        []Write
}

// MaxTxnEntries bounds the conditions, writes and deletes of one Txn together; source: the store's published protocol.
const MaxTxnEntries = 32

// Store is the store of the users' platform. Every call that fails returns one of the error types below.
type Store struct {
	// Commit returns the revision of the change.
	Commit func(ctx context.Context, t Txn) (int64, error)
	Get    func(ctx context.Context, key string) (Item, error)
	// List returns all items under the prefix, and a revision from which a watch misses nothing.
	List func(ctx context.Context, prefix string) ([]Item, int64, error)
	// Watch returns the changes after a revision, and the revision to continue from; none when the wait is over.
	Watch       func(ctx context.Context, prefix string, after int64, wait time.Duration) ([]Item, int64, error)
	GrantLease  func(ctx context.Context, ttl time.Duration) (int64, error)
	RenewLease  func(ctx context.Context, lease int64) error
	RevokeLease func(ctx context.Context, lease int64) error
}

// ErrConflict means that a condition of a Txn did not hold and nothing was changed.
type ErrConflict struct {
	// Items are the current states of the keys with conditions.
	Items []Item
}

// Error implements error.
func (e *ErrConflict) Error() string { return fmt.Sprintf("conflict on %d keys", len(e.Items)) }

// ErrNotDone means that a call was certainly not carried out.
type ErrNotDone struct{ Cause error }

// Error implements error.
func (e *ErrNotDone) Error() string { return "not done: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *ErrNotDone) Unwrap() error { return e.Cause }

// ErrUnanswered means that a call may have been carried out, or may still be.
type ErrUnanswered struct{ Cause error }

// Error implements error.
func (e *ErrUnanswered) Error() string { return "no answer: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *ErrUnanswered) Unwrap() error { return e.Cause }

// ErrNotExist means that the key or lease does not exist.
type ErrNotExist struct{ Name string }

// Error implements error.
func (e *ErrNotExist) Error() string { return e.Name + " does not exist" }

// ErrCompacted means that the store no longer has the history that a watch asked for.
type ErrCompacted struct{ After int64 }

// Error implements error.
func (e *ErrCompacted) Error() string {
	return fmt.Sprintf("history after revision %d is gone", e.After)
}

// IsErrNotExist reports whether err is or wraps an *ErrNotExist.
func IsErrNotExist(err error) bool { return isKind[*ErrNotExist](err) }

// IsErrCompacted reports whether err is or wraps an *ErrCompacted.
func IsErrCompacted(err error) bool { return isKind[*ErrCompacted](err) }

// IsErrNotDone reports whether err is or wraps an *ErrNotDone.
func IsErrNotDone(err error) bool { return isKind[*ErrNotDone](err) }

// IsErrConflict reports whether err is or wraps an *ErrConflict.
func IsErrConflict(err error) bool { return isKind[*ErrConflict](err) }

func isKind[T error](err error) bool {
	var target T
	return errors.As(err, &target)
}

// The keys that entry VMs write. Job and marker keys end in the job's id.
const (
	plannerKey   = "clementinepier/planner"
	jobPrefix    = "clementinepier/job/"
	markerPrefix = "clementinepier/new/"
)
