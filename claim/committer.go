package claim

import (
	"maps"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/pkg/errors"

	"clementinepier/job"
	"clementinepier/kvstore"
)

// change is one conditional change of a record.
type change struct {
	key job.Key
	// decide gets the current record, or nil if there is none. It returns the record to write, nil if nothing needs to be
	// written, or an error if the current record does not allow the change. It is called again each time the shard was read
	// again.
	decide func(current *Record) (*Record, error)
	// notBefore is the earliest time at which the change causes a call. Before that, it is only written together with
	// another change of the shard.
	notBefore time.Time
	// onComplete is called once with the result.
	onComplete func(error)
	completed  bool
	// unconfirmed is true while a write whose reply was lost may still take effect on version unconfirmedVersion.
	unconfirmed        bool
	unconfirmedVersion uint64
	// cause is the error of the last failed call of the shard.
	cause error
}

func (c *change) complete(err error) {
	if !c.completed {
		c.completed = true
		c.onComplete(err)
	}
}

// call is one call to the store. At most one per shard is in flight.
type call struct {
	shard int
	// write is true for a compare-and-swap of version with value, false for a read.
	write   bool
	value   []byte
	version uint64
	// next is the content of the shard after the write, results those of the changes that were applied to it.
	next    snapshot
	results []changeResult
}

// changeResult is the result of one change. It is final if nothing is written; otherwise it depends on the write.
type changeResult struct {
	change *change
	// written is true if the write contains the change.
	written bool
	err     error
}

// shard is the state of one value of the store and of the changes to it.
type shard struct {
	pending []*change
	// inFlight is true while a call is in flight.
	inFlight bool
	// writing is true for the changes that the write in flight contains.
	writing map[*change]bool
	// loaded is false if the shard must be read before it is written.
	loaded bool
	// justRead is true if the snapshot was read after the last change was submitted and no call was derived from it yet.
	justRead bool
	snapshot snapshot
	// next is the earliest time of the next call to the store.
	next    time.Time
	backoff backoff.BackOff
}

// committer decides when a ledger reads and writes the shards, and combines the pending changes of a shard into one write.
// It is a pure state machine; the caller serialises access and makes the calls.
type committer struct {
	shards           [ShardCount]shard
	minWriteInterval time.Duration
	retention        time.Duration
	maxValueSize     int
	newBackOff       func() backoff.BackOff
}

// submit adds a change; dueCalls returns the calls that it requires.
func (b *committer) submit(c *change) {
	s := &b.shards[shardOf(c.key)]
	s.pending = append(s.pending, c)
	// The snapshot was read before this change was requested.
	s.justRead = false
}

// withdraw completes a change whose caller no longer waits for it.
func (b *committer) withdraw(c *change, cause error) {
	if c.completed {
		return
	}
	s := &b.shards[shardOf(c.key)]
	if c.cause != nil {
		cause = c.cause
	}
	c.complete(&ErrStoreUnavailable{Key: c.key, MayBeWritten: c.unconfirmed || s.writing[c], Cause: cause})
}

// dueCalls returns the calls to make now, and when to call it again (zero: only after the next event).
func (b *committer) dueCalls(now time.Time) (calls []call, wake time.Time) {
	for i := range b.shards {
		s := &b.shards[i]
		s.dropCompleted()
		if s.inFlight || len(s.pending) == 0 {
			continue
		}
		if !now.Before(s.earliestCall()) {
			if c, ok := b.call(i, now); ok {
				s.inFlight = true
				calls = append(calls, c)
				continue
			}
			s.dropCompleted()
		}
		if earliest := s.earliestCall(); len(s.pending) > 0 && (wake.IsZero() || earliest.Before(wake)) {
			wake = earliest
		}
	}
	return calls, wake
}

// earliestCall returns when the next call of the shard is due: at the earliest notBefore of the pending changes, but not
// before next.
func (s *shard) earliestCall() time.Time {
	if len(s.pending) == 0 {
		return s.next
	}
	earliest := s.pending[0].notBefore
	for _, c := range s.pending[1:] {
		if c.notBefore.Before(earliest) {
			earliest = c.notBefore
		}
	}
	if earliest.Before(s.next) {
		return s.next
	}
	return earliest
}

func (s *shard) dropCompleted() {
	kept := s.pending[:0]
	for _, c := range s.pending {
		if !c.completed {
			kept = append(kept, c)
		}
	}
	clear(s.pending[len(kept):])
	s.pending = kept
}

// call returns the next call of a shard, or false if none is made now: all changes were completed, or encoding failed.
func (b *committer) call(index int, now time.Time) (call, bool) {
	s := &b.shards[index]
	if !s.loaded {
		return call{shard: index}, true
	}
	next := snapshot{records: maps.Clone(s.snapshot.records), size: s.snapshot.size}
	next.expire(now.Add(-b.retention))
	results, changed := b.applyChanges(index, &next, s.pending)
	justRead := s.justRead
	s.justRead = false
	if !changed {
		if !justRead {
			// Only a successful write proves that the snapshot is current. Without one, the shard is read before the
			// changes are completed.
			return call{shard: index}, true
		}
		for _, v := range results {
			v.change.complete(v.err)
		}
		return call{}, false
	}
	value, err := next.encode()
	if err != nil {
		b.delayNextCall(s, now, err)
		return call{}, false
	}
	s.next = now.Add(b.minWriteInterval)
	s.writing = map[*change]bool{}
	for _, v := range results {
		s.writing[v.change] = v.written
	}
	return call{shard: index, write: true, value: value, version: s.snapshot.version, next: next, results: results}, true
}

// applyChanges applies the first change of each record to next. It returns the results, and whether next must be written.
func (b *committer) applyChanges(index int, next *snapshot, changes []*change) (results []changeResult, changed bool) {
	touched := map[job.Key]bool{}
	for _, c := range changes {
		// Each version contains at most one change of a record. Otherwise a claim could be confirmed by a version in
		// which it is already settled.
		if touched[c.key] {
			continue
		}
		touched[c.key] = true
		var current *Record
		e, exists := next.records[c.key]
		if exists {
			current = &e.record
		}
		record, err := c.decide(current)
		if record == nil {
			results = append(results, changeResult{change: c, err: err})
			continue
		}
		before := next.size
		err = next.put(*record)
		// Changes of existing records may use the space between the two limits, so that they can be settled in a full shard.
		limit := b.maxValueSize
		if exists {
			limit = kvstore.MaxValueSize
		}
		if size := next.size + maxArrayHeaderSize; err == nil && size > limit {
			err = &ErrShardFull{Shard: shardKey(index), Size: size}
		}
		if err != nil {
			next.size = before
			delete(next.records, c.key)
			if exists {
				next.records[c.key] = e
			}
			results = append(results, changeResult{change: c, err: err})
			continue
		}
		changed = true
		results = append(results, changeResult{change: c, written: true})
	}
	return results, changed
}

// handleReadReply handles the reply to a read.
func (b *committer) handleReadReply(now time.Time, c call, e kvstore.Entry, err error) {
	s := &b.shards[c.shard]
	s.inFlight = false
	var v snapshot
	if err == nil {
		v, err = decodeShard(e.Version, e.Value)
	}
	if err != nil {
		b.delayNextCall(s, now, err)
		return
	}
	s.snapshot, s.loaded, s.justRead = v, true, true
	for _, p := range s.pending {
		if !p.unconfirmed || p.unconfirmedVersion == v.version {
			continue
		}
		// A later version shows whether the unconfirmed write took effect. If it did, the record is in this version or was
		// changed since; if it did not, it no longer can, because the compare-and-swap fails on a later version.
		var current *Record
		if e, ok := v.records[p.key]; ok {
			current = &e.record
		}
		if record, err := p.decide(current); record == nil {
			p.complete(err)
		}
		p.unconfirmed = false
	}
}

// handleWriteReply handles the reply to a compare-and-swap.
func (b *committer) handleWriteReply(now time.Time, c call, version uint64, err error) {
	s := &b.shards[c.shard]
	s.inFlight, s.writing = false, nil
	if err == nil {
		c.next.version = version
		s.snapshot, s.backoff = c.next, nil
		for _, v := range c.results {
			v.change.complete(v.err)
		}
		return
	}
	s.loaded = false
	var unavailable *kvstore.ErrUnavailable
	notSent := errors.As(err, &unavailable) && !unavailable.Delivered
	if !kvstore.IsErrVersionDiffers(err) && !notSent {
		for _, v := range c.results {
			if v.written {
				v.change.unconfirmed, v.change.unconfirmedVersion = true, c.version
			}
		}
	}
	b.delayNextCall(s, now, err)
}

// delayNextCall delays the next call of a shard after a failed one.
func (b *committer) delayNextCall(s *shard, now time.Time, err error) {
	if s.backoff == nil {
		s.backoff = b.newBackOff()
	}
	if next := now.Add(s.backoff.NextBackOff()); next.After(s.next) {
		s.next = next
	}
	for _, p := range s.pending {
		p.cause = err
	}
}
