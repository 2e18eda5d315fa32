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
	// decide returns the record to write over the current one (nil if there is none), nil if nothing is left to
	// write, or why the change is not allowed. It is asked again whenever the shard was read again.
	decide func(current *Record) (*Record, error)
	// notBefore is the earliest time at which the change leads to a call of its own; a call for another change of the
	// shard takes it along before that.
	notBefore time.Time
	// resolve is called once with the result.
	resolve  func(error)
	resolved bool
	// doubtful is true while a write whose reply was lost may still take effect on version doubtfulAt.
	doubtful   bool
	doubtfulAt uint64
	cause      error
}

func (c *change) finish(err error) {
	if !c.resolved {
		c.resolved = true
		c.resolve(err)
	}
}

// call is one call of the store. At most one per shard is in flight.
type call struct {
	shard int
	// write is true for a compare-and-swap of version with value, false for a read.
	write   bool
	value   []byte
	version uint64
	// next is the view after the write, verdicts the results of the changes in it.
	next     view
	verdicts []verdict
}

type verdict struct {
	change  *change
	written bool
	err     error
}

type shard struct {
	pending []*change
	// busy is true while a call is in flight, writing while it may write a change.
	busy    bool
	writing map[*change]bool
	// known is false when the shard must be read before it is written.
	known bool
	// fresh is true if the view was read for the pending changes and not used yet.
	fresh bool
	view  view
	// next is the earliest time of the next call.
	next    time.Time
	backoff backoff.BackOff
}

// committer is the control state of a ledger: pure, serialised by its caller.
type committer struct {
	shards      [ShardCount]shard
	minInterval time.Duration
	retention   time.Duration
	maxValue    int
	newBackOff  func() backoff.BackOff
}

// submit adds a change; due returns the call that it leads to.
func (b *committer) submit(c *change) {
	s := &b.shards[shardOf(c.key)]
	s.pending = append(s.pending, c)
	// The view was read before this change was asked for.
	s.fresh = false
}

// withdraw resolves a change whose caller has given up.
func (b *committer) withdraw(c *change, cause error) {
	if c.resolved {
		return
	}
	s := &b.shards[shardOf(c.key)]
	if c.cause != nil {
		cause = c.cause
	}
	c.finish(&ErrStoreUnavailable{Key: c.key, MayBeWritten: c.doubtful || s.writing[c], Cause: cause})
}

// due returns the calls to make now, and when to ask again (zero: only after the next event).
func (b *committer) due(now time.Time) (calls []call, wake time.Time) {
	for i := range b.shards {
		s := &b.shards[i]
		s.dropResolved()
		if s.busy || len(s.pending) == 0 {
			continue
		}
		if !now.Before(s.start()) {
			if c, ok := b.call(i, now); ok {
				s.busy = true
				calls = append(calls, c)
				continue
			}
			s.dropResolved()
		}
		if start := s.start(); len(s.pending) > 0 && (wake.IsZero() || start.Before(wake)) {
			wake = start
		}
	}
	return calls, wake
}

// start returns the earliest time of the next call: that of the pending change that waits the least.
func (s *shard) start() time.Time {
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

func (s *shard) dropResolved() {
	kept := s.pending[:0]
	for _, c := range s.pending {
		if !c.resolved {
			kept = append(kept, c)
		}
	}
	clear(s.pending[len(kept):])
	s.pending = kept
}

// call returns the next call of a shard, or false if its changes were resolved without one.
func (b *committer) call(index int, now time.Time) (call, bool) {
	s := &b.shards[index]
	if !s.known {
		return call{shard: index}, true
	}
	next := view{records: maps.Clone(s.view.records), size: s.view.size}
	next.expire(now.Add(-b.retention))
	verdicts, dirty := b.apply(index, &next, s.pending)
	fresh := s.fresh
	s.fresh = false
	if !dirty {
		if !fresh {
			// Only a write proves that the view is current, so it is read before changes are refused from it.
			return call{shard: index}, true
		}
		for _, v := range verdicts {
			v.change.finish(v.err)
		}
		return call{}, false
	}
	value, err := next.encode()
	if err != nil {
		b.failed(s, now, err)
		return call{}, false
	}
	s.next = now.Add(b.minInterval)
	s.writing = map[*change]bool{}
	for _, v := range verdicts {
		s.writing[v.change] = v.written
	}
	return call{shard: index, write: true, value: value, version: s.view.version, next: next, verdicts: verdicts}, true
}

// apply makes the first change of each record on next and returns the results, and whether anything is to be written.
func (b *committer) apply(index int, next *view, changes []*change) (verdicts []verdict, dirty bool) {
	touched := map[job.Key]bool{}
	for _, c := range changes {
		// One change of a record per version, so that a claim is not confirmed by a version in which it is settled.
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
			verdicts = append(verdicts, verdict{change: c, err: err})
			continue
		}
		before := next.size
		err = next.put(*record)
		// Records that exist may be settled in the space between the two limits.
		limit := b.maxValue
		if exists {
			limit = kvstore.MaxValueSize
		}
		if size := next.size + headerSize; err == nil && size > limit {
			err = &ErrShardFull{Shard: shardKey(index), Size: size}
		}
		if err != nil {
			next.size = before
			delete(next.records, c.key)
			if exists {
				next.records[c.key] = e
			}
			verdicts = append(verdicts, verdict{change: c, err: err})
			continue
		}
		dirty = true
		verdicts = append(verdicts, verdict{change: c, written: true})
	}
	return verdicts, dirty
}

// readReply handles the reply to a read.
func (b *committer) readReply(now time.Time, c call, e kvstore.Entry, err error) {
	s := &b.shards[c.shard]
	s.busy = false
	var v view
	if err == nil {
		v, err = decode(e.Version, e.Value)
	}
	if err != nil {
		b.failed(s, now, err)
		return
	}
	s.view, s.known, s.fresh = v, true, true
	for _, p := range s.pending {
		if !p.doubtful || p.doubtfulAt == v.version {
			continue
		}
		// A later version tells whether the lost write took effect. If it did, the record is there or was changed
		// since; if it did not, it can no longer do so.
		var current *Record
		if e, ok := v.records[p.key]; ok {
			current = &e.record
		}
		if record, err := p.decide(current); record == nil {
			p.finish(err)
		}
		p.doubtful = false
	}
}

// writeReply handles the reply to a compare-and-swap.
func (b *committer) writeReply(now time.Time, c call, version uint64, err error) {
	s := &b.shards[c.shard]
	s.busy, s.writing = false, nil
	if err == nil {
		c.next.version = version
		s.view, s.backoff = c.next, nil
		for _, v := range c.verdicts {
			v.change.finish(v.err)
		}
		return
	}
	s.known = false
	var unavailable *kvstore.ErrUnavailable
	notSent := errors.As(err, &unavailable) && !unavailable.Delivered
	if !kvstore.IsErrVersionDiffers(err) && !notSent {
		for _, v := range c.verdicts {
			if v.written {
				v.change.doubtful, v.change.doubtfulAt = true, c.version
			}
		}
	}
	b.failed(s, now, err)
}

// failed delays the next call of a shard.
func (b *committer) failed(s *shard, now time.Time, err error) {
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
