// Package backlog keeps, in the platform's key-value service, the requests that callers were told to ask for later, so
// that another entry VM goes on with them when their receiver dies.
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

const prefix = "requests/"

// Record is one accepted request.
type Record struct {
	Request job.Request `cbor:"1,keyasint"`
	// Digest identifies the caller's request.
	Digest string `cbor:"2,keyasint"`
	// Deadline is when the answer is due, by the clock of the receiver.
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

// Journal has the records of one receiver. It is safe for concurrent use.
type Journal struct {
	Store kvstore.Store
	// Receiver is the name of this entry VM.
	Receiver string
}

// keyOf separates the parts with a character that no name or id contains.
func keyOf(receiver string, key job.Key) string {
	return prefix + receiver + "/" + key.Organisation + "/" + key.ID
}

// encoding keeps the fractions of a second of a deadline, which the default cuts off.
var encoding = func() cbor.EncMode {
	mode, err := cbor.EncOptions{Time: cbor.TimeRFC3339Nano}.EncMode()
	if err != nil {
		panic(err)
	}
	return mode
}()

// addTries bounds the tries to write over a record that another entry VM changes at the same time.
const addTries = 3

// Add writes a record. When it returns nil the request survives the death of its receiver. A record with the same
// request and no earlier deadline counts as written; one of an earlier use of the id is replaced.
func (j *Journal) Add(ctx context.Context, record Record) error {
	value, err := encoding.Marshal(record)
	if err != nil {
		return errors.Wrap(err, "encode journal record")
	}
	if len(value) > kvstore.MaxValueSize {
		return &ErrTooLarge{Size: len(value)}
	}
	name, version := keyOf(j.Receiver, record.Request.Key()), uint64(0)
	for range addTries {
		_, err = j.Store.CompareAndSwap(ctx, name, value, version)
		if !kvstore.IsErrVersionDiffers(err) {
			return err
		}
		current, getErr := j.Store.Get(ctx, name)
		if getErr != nil {
			return getErr
		}
		var there Record
		if current.Version > 0 && cbor.Unmarshal(current.Value, &there) == nil && there.Deadline.After(record.Deadline) {
			return nil
		}
		if bytes.Equal(current.Value, value) {
			return nil
		}
		version = current.Version
	}
	return err
}

// Remove drops the record of a request with the deadline given. A record that is not there counts as dropped; one with
// a later deadline belongs to a later use of the id and stays.
func (j *Journal) Remove(ctx context.Context, key job.Key, deadline time.Time) error {
	name := keyOf(j.Receiver, key)
	current, err := j.Store.Get(ctx, name)
	if err != nil || current.Version == 0 {
		return err
	}
	var there Record
	if cbor.Unmarshal(current.Value, &there) == nil && there.Deadline.After(deadline) {
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
	entries, err := j.Store.List(ctx, prefix+from+"/")
	if err != nil {
		return nil, err
	}
	var taken []Record
	var bad error
	for _, e := range entries {
		var record Record
		if err := cbor.Unmarshal(e.Value, &record); err != nil {
			if bad == nil {
				bad = errors.Wrapf(err, "journal record %s", e.Key)
			}
			continue
		}
		if from != j.Receiver {
			if err := j.Add(ctx, record); err != nil {
				return taken, err
			}
			// The record is safe under this receiver, so a failed deletion costs only a second look.
			_ = j.Store.Delete(ctx, e.Key, e.Version)
		}
		taken = append(taken, record)
	}
	return taken, bad
}

// Receivers returns the receivers that have records, in order. It reads all records, so it is called rarely.
func (j *Journal) Receivers(ctx context.Context) ([]string, error) {
	entries, err := j.Store.List(ctx, prefix)
	if err != nil {
		return nil, err
	}
	var names []string
	for _, e := range entries {
		name, _, _ := strings.Cut(strings.TrimPrefix(e.Key, prefix), "/")
		if len(names) == 0 || names[len(names)-1] != name {
			names = append(names, name)
		}
	}
	return names, nil
}
