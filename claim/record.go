// Package claim keeps a ledger of the attempts at requests that are not idempotent, so that each starts at most once.
//
// The ledger is 16 values in the platform's key-value service. Every change of a record is conditional on the record
// that is there, and every write is a compare-and-swap of the whole value.
package claim

import (
	"bytes"
	"fmt"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"clementinepier/job"
)

// ShardCount is the number of values that the claims are spread over.
const ShardCount = 16

// RecordState is what is known about a claimed attempt.
type RecordState string

// The states of a record.
const (
	// StateClaimed means that the attempt may start, run or have ended.
	StateClaimed RecordState = "claimed"
	// StateDone means that the attempt ran to its end.
	StateDone RecordState = "done"
	// StateNotRun means that the attempt never started and never will, so the next attempt may be claimed.
	StateNotRun RecordState = "not-run"
	// StateUnknown means that the attempt may have run. It is never followed by another attempt.
	StateUnknown RecordState = "unknown"
)

// Record is the claim of the latest attempt at one request.
type Record struct {
	Key     job.Key `json:"key"`
	Attempt int     `json:"attempt"`
	// Workers names the worker of every member, in member order. All of them had confirmed a hold when the claim
	// was made.
	Workers       []string `json:"workers"`
	RequestDigest string   `json:"request-digest"`
	// Owner is the entry VM that made the claim.
	Owner string `json:"owner"`
	// Nonce is the nonce of the attempt. It tells a claim from every other claim of the same request.
	Nonce string      `json:"nonce"`
	State RecordState `json:"state"`
	// At is when the state last changed, by the clock of the entry VM that changed it.
	At time.Time `json:"at"`
}

// shardOf returns the index of the value that holds the claims of key.
func shardOf(key job.Key) int {
	return int(xxhash.Sum64String(key.String()) % ShardCount)
}

func shardKey(index int) string { return fmt.Sprintf("claims/%02d", index) }

// entry is a record with its encoded form, which is written back unchanged when the record does not change.
type entry struct {
	record Record
	raw    cbor.RawMessage
}

// view is one version of a shard.
type view struct {
	version uint64
	records map[job.Key]entry
	// size is the sum of the encoded records.
	size int
}

// Array headers of CBOR take at most 9 bytes.
const headerSize = 9

var encoding = func() cbor.EncMode {
	options := cbor.CoreDetEncOptions()
	options.Time = cbor.TimeRFC3339NanoUTC
	mode, err := options.EncMode()
	if err != nil {
		panic(err)
	}
	return mode
}()

func decode(version uint64, value []byte) (view, error) {
	v := view{version: version, records: map[job.Key]entry{}}
	if version == 0 {
		return v, nil
	}
	var raws []cbor.RawMessage
	if err := cbor.Unmarshal(value, &raws); err != nil {
		return view{}, errors.Wrap(err, "claims value")
	}
	for _, raw := range raws {
		var r Record
		if err := cbor.Unmarshal(raw, &r); err != nil {
			return view{}, errors.Wrap(err, "claim record")
		}
		v.records[r.Key] = entry{record: r, raw: raw}
		v.size += len(raw)
	}
	return v, nil
}

func (v view) encode() ([]byte, error) {
	raws := make([]cbor.RawMessage, 0, len(v.records))
	for _, e := range v.records {
		raws = append(raws, e.raw)
	}
	sort.Slice(raws, func(i, j int) bool { return bytes.Compare(raws[i], raws[j]) < 0 })
	return encoding.Marshal(raws)
}

// put replaces or adds a record.
func (v *view) put(r Record) error {
	raw, err := encoding.Marshal(r)
	if err != nil {
		return errors.Wrap(err, "claim record")
	}
	v.size += len(raw) - len(v.records[r.Key].raw)
	v.records[r.Key] = entry{record: r, raw: raw}
	return nil
}

// expire drops the settled records whose state last changed before the given time.
func (v *view) expire(before time.Time) {
	for key, e := range v.records {
		if e.record.State != StateClaimed && e.record.At.Before(before) {
			v.size -= len(e.raw)
			delete(v.records, key)
		}
	}
}
