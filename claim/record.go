// Package claim keeps a ledger of the attempts at requests that are not idempotent, so that each starts at most once.
//
// The ledger is stored as 16 values (shards) in the platform's key-value service. Every change of a record is conditional
// on the current record, and every write is a compare-and-swap of a whole value.
//
// A claim is settled when it is recorded how the attempt ended.
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

// ShardCount is the number of values over which the claims are distributed.
const ShardCount = 16

// RecordState is what is known about a claimed attempt.
type RecordState string

// The states of a record.
const (
	// StateClaimed means that the attempt is not settled: it may start, run or have ended.
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
	// Nonce is the nonce of the attempt. It distinguishes the claim from every other claim of the same request.
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

// storedRecord is a record with its encoded form, which is written back unchanged when the record does not change.
type storedRecord struct {
	record Record
	raw    cbor.RawMessage
}

// snapshot is the content of one version of a shard.
type snapshot struct {
	version uint64
	records map[job.Key]storedRecord
	// size is the total size of the encoded records, in bytes.
	size int
}

// maxArrayHeaderSize is the largest size of the header of a CBOR array, in bytes.
const maxArrayHeaderSize = 9

var encMode = func() cbor.EncMode {
	options := cbor.CoreDetEncOptions()
	options.Time = cbor.TimeRFC3339NanoUTC
	mode, err := options.EncMode()
	if err != nil {
		panic(err)
	}
	return mode
}()

func decodeShard(version uint64, value []byte) (snapshot, error) {
	v := snapshot{version: version, records: map[job.Key]storedRecord{}}
	if version == 0 {
		return v, nil
	}
	var raws []cbor.RawMessage
	if err := cbor.Unmarshal(value, &raws); err != nil {
		return snapshot{}, errors.Wrap(err, "decode claims value")
	}
	for _, raw := range raws {
		var r Record
		if err := cbor.Unmarshal(raw, &r); err != nil {
			return snapshot{}, errors.Wrap(err, "decode claim record")
		}
		v.records[r.Key] = storedRecord{record: r, raw: raw}
		v.size += len(raw)
	}
	return v, nil
}

func (v snapshot) encode() ([]byte, error) {
	raws := make([]cbor.RawMessage, 0, len(v.records))
	for _, e := range v.records {
		raws = append(raws, e.raw)
	}
	sort.Slice(raws, func(i, j int) bool { return bytes.Compare(raws[i], raws[j]) < 0 })
	return encMode.Marshal(raws)
}

// put adds a record or replaces the one with the same key.
func (v *snapshot) put(r Record) error {
	raw, err := encMode.Marshal(r)
	if err != nil {
		return errors.Wrap(err, "encode claim record")
	}
	v.size += len(raw) - len(v.records[r.Key].raw)
	v.records[r.Key] = storedRecord{record: r, raw: raw}
	return nil
}

// expire deletes the settled records whose state last changed before the given time.
func (v *snapshot) expire(before time.Time) {
	for key, e := range v.records {
		if e.record.State != StateClaimed && e.record.At.Before(before) {
			v.size -= len(e.raw)
			delete(v.records, key)
		}
	}
}
