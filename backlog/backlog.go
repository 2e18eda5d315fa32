// Package backlog stores accepted requests whose callers were answered before the outcome, in the platform's key-value
// service, so that another entry VM continues with them when their receiver is lost.
package backlog

import (
	"bytes"
	"context"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"clementinepier/job"
	"clementinepier/kvstore"
)

// keyPrefix starts the store keys of all journal records.
const keyPrefix = "requests/"

// Record is one accepted request.
type Record struct {
	Request job.Request `cbor:"1,keyasint"`
	// Digest is the hash of the caller's request; it tells a retry from another request with the same id.
	Digest string `cbor:"2,keyasint"`
	// Deadline is when the caller must have the outcome, by the clock of the receiver.
	Deadline time.Time `cbor:"3,keyasint"`
}

// ErrTooLarge means that a request does not fit into one value of the store.
type ErrTooLarge struct{ Size int }

// Error implements error.
func (e *ErrTooLarge) Error() string { return "request is too large for the journal" }

// IsErrTooLarge reports whether err is or wraps an *ErrTooLarge.
func IsErrTooLarge(err error) bool {
	var target *ErrTooLarge
	return errors.As(err, &target)
}

// Journal reads and writes the records of one receiver, and takes over those of lost receivers. It is safe for concurrent
// use.
type Journal struct {
	Store kvstore.Store
	// Receiver is the name of this entry VM.
	Receiver string
}

// recordKey joins the parts of a store key with a slash, which no name or id contains.
func recordKey(receiver string, key job.Key) string {
	return keyPrefix + receiver + "/" + key.Organisation + "/" + key.ID
}

// encoding keeps the fractions of a second of a deadline; the default encoding drops them.
var encoding = func() cbor.EncMode {
	mode, err := cbor.EncOptions{Time: cbor.TimeRFC3339Nano}.EncMode()
	if err != nil {
		panic(err)
	}
	return mode
}()

// maxAddAttempts bounds the attempts to replace a record that another entry VM changes concurrently.
const maxAddAttempts = 3

// Add writes a record. Once it returns nil, the request survives the loss of its receiver. It returns nil without a write
// when the same record, or one with a later deadline, is stored for the request's key; a record of an earlier use of the id
// is replaced.
func (j *Journal) Add(ctx context.Context, record Record) error {
	value, err := encoding.Marshal(record)
	if err != nil {
		return errors.Wrap(err, "encode journal record")
	}
	if len(value) > kvstore.MaxValueSize {
		return &ErrTooLarge{Size: len(value)}
	}
	name, version := recordKey(j.Receiver, record.Request.Key()), uint64(0)
	for range maxAddAttempts {
		_, err = j.Store.CompareAndSwap(ctx, name, value, version)
		if !kvstore.IsErrVersionDiffers(err) {
			return err
		}
		current, getErr := j.Store.Get(ctx, name)
		if getErr != nil {
			return getErr
		}
		var stored Record
		if current.Version > 0 && cbor.Unmarshal(current.Value, &stored) == nil && stored.Deadline.After(record.Deadline) {
			return nil
		}
		if bytes.Equal(current.Value, value) {
			return nil
		}
		version = current.Version
	}
	return err
}

// Remove deletes the record of a request with the given deadline. A missing record counts as deleted; a record with a later
// deadline belongs to a later use of the id and stays.
func (j *Journal) Remove(ctx context.Context, key job.Key, deadline time.Time) error {
	name := recordKey(j.Receiver, key)
	current, err := j.Store.Get(ctx, name)
	if err != nil || current.Version == 0 {
		return err
	}
	var stored Record
	if cbor.Unmarshal(current.Value, &stored) == nil && stored.Deadline.After(deadline) {
		return nil
	}
	err = j.Store.Delete(ctx, name, current.Version)
	if kvstore.IsErrVersionDiffers(err) {
		return nil
	}
	return err
}

// TakeOver moves the records of a lost receiver to this one and returns them. Each record is written under this receiver
// before it is deleted under the other, so a failure in between leaves two copies rather than none. Records that cannot
// be decoded stay where they are; the error is that of the first one.
func (j *Journal) TakeOver(ctx context.Context, from string) ([]Record, error) {
	entries, err := j.Store.List(ctx, keyPrefix+from+"/")
	if err != nil {
		return nil, err
	}
	var taken []Record
	var decodeErr error
	for _, e := range entries {
		var record Record
		if err := cbor.Unmarshal(e.Value, &record); err != nil {
			if decodeErr == nil {
				decodeErr = errors.Wrapf(err, "journal record %s", e.Key)
			}
			continue
		}
		if from != j.Receiver {
			if err := j.Add(ctx, record); err != nil {
				return taken, err
			}
			// The record is stored under this receiver, so after a failed deletion it is only read once more.
			_ = j.Store.Delete(ctx, e.Key, e.Version)
		}
		taken = append(taken, record)
	}
	return taken, decodeErr
}

// Receivers returns the names of the receivers that have records, in the order of the store's keys. It reads all records,
// so callers should call it rarely.
func (j *Journal) Receivers(ctx context.Context) ([]string, error) {
	entries, err := j.Store.List(ctx, keyPrefix)
	if err != nil {
		return nil, err
	}
	var names []string
	for _, e := range entries {
		name, _, _ := strings.Cut(strings.TrimPrefix(e.Key, keyPrefix), "/")
		if len(names) == 0 || names[len(names)-1] != name {
			names = append(names, name)
		}
	}
	return names, nil
}
