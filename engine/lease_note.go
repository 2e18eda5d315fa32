package engine

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"clementinepier/codec"
)

const (
	// leaseNoteDelay is how long a worker has to be silent before it is noted. Its next poll, after pollRetryDelay, may be answered.
	leaseNoteDelay = 300 * time.Millisecond
	// leaseNoteInterval is how often the remaining times in the note are updated, and so how much a change of the planner can add to them.
	leaseNoteInterval = time.Second
	// leaseNoteSpacing is the shortest time between two writes of the note, so that workers that answer again soon after one another are
	// released by one write.
	leaseNoteSpacing = 50 * time.Millisecond
	// leaveLeaseNoteTimeout bounds the write of the note after the term. A successor is elected within a few hundred milliseconds.
	leaveLeaseNoteTimeout = 400 * time.Millisecond
)

// leaseNote is a record in the store that bounds the leases of silent workers, so that a successor need not count the longest lease from its
// own start. It has durations only, since times of day differ between machines. A successor reads it after it was written, and so counts them
// from a later time.
type leaseNote struct {
	// Remaining has, by the worker's ID, how long the leases of the worker can last from the writing of the note on. Whoever is the planner
	// extends no lease of a worker while the stored note names it.
	Remaining map[string]time.Duration `cbor:"1,keyasint,omitempty"`
	// Incarnations has, by the worker's ID, the incarnation whose leases these are. Late orders may give a later one leases that last longer.
	Incarnations map[string]int64 `cbor:"2,keyasint,omitempty"`
}

func newLeaseNote() leaseNote {
	return leaseNote{Remaining: map[string]time.Duration{}, Incarnations: map[string]int64{}}
}

// add names a worker.
func (n *leaseNote) add(w *workerState, now time.Time) {
	n.Remaining[w.id()] = max(0, w.leasesEndBy.Sub(now))
	if w.incarnation != 0 {
		n.Incarnations[w.id()] = w.incarnation
	}
}

// longest returns the longest remaining time.
func (n *leaseNote) longest() time.Duration {
	var longest time.Duration
	for _, remaining := range n.Remaining {
		longest = max(longest, remaining)
	}
	return longest
}

// leaseNoteState is what the planner knows of the stored lease note.
type leaseNoteState struct {
	// revision is the last known revision of the note's key; 0 means that the key does not exist.
	revision int64
	// inherited is the note that an earlier planner has left. Its remaining times are counted from the start of this planner.
	inherited leaseNote
	// named has the workers that the stored note names, or may name since a write got no response yet.
	named map[string]bool
	// checkNeeded is set when the note may have to change.
	checkNeeded bool
	// inFlight is set while a write of the note is in flight; there is at most one.
	inFlight bool
	// writtenAt is when the last write was decided on; zero if it failed. nextWriteAt is the earliest time of the next one.
	writtenAt, nextWriteAt time.Time
}

// loadLeaseNote reads the note of an earlier planner.
func (p *Planner) loadLeaseNote(ctx context.Context) error {
	l, err := p.list(ctx, leaseNoteKey)
	if err != nil {
		return err
	}
	n := &p.leaseNote
	for _, item := range l.items {
		var note leaseNote
		n.revision = item.Revision
		if err := codec.Unmarshal(item.Value, &note); err != nil {
			p.Log.Event("lease-note-unreadable", "revision", item.Revision, "error", err)
			continue
		}
		n.inherited = note
		for id := range note.Remaining {
			n.named[id] = true
		}
		p.Log.Event("lease-note-loaded", "workers", len(note.Remaining), "longest", note.longest(), "revision", item.Revision)
	}
	return nil
}

// inheritedLeaseBound returns the time after the planner's start at which the leases that earlier planners have granted to a worker have
// certainly ended.
func (p *Planner) inheritedLeaseBound(id string) time.Duration {
	bound := p.leaseBound(p.Bounds.MaxLease)
	if remaining, ok := p.leaseNote.inherited.Remaining[id]; ok {
		// A worker that can be reached again has time to report its ends.
		return min(bound, max(remaining, pollTimeout))
	}
	return bound
}

// mayExtendLease reports whether the worker's lease can be extended now.
func (p *Planner) mayExtendLease(w *workerState, now time.Time) bool {
	return w.clockKnown(now) && !p.leaseNote.named[w.id()]
}

// leasesBounded reports whether the known leases of the worker bound all that late orders may still give. They do not if the worker may have
// restarted, or if it may still carry out a start: a restart that nothing shows would give that run the longest lease.
func (w *workerState) leasesBounded(now time.Time) bool {
	return w.restartSuspectedAt.IsZero() && !w.mayStartAny(now)
}

// isNotable reports whether the worker is to be named in the lease note: it has runs and is silent; one that an earlier planner has named stays
// so until it answers.
func (p *Planner) isNotable(w *workerState, now time.Time) bool {
	if len(w.runs) == 0 || !w.leasesBounded(now) {
		return false
	}
	since := w.failingSince
	if since.IsZero() && w.lastAnswer.IsZero() {
		since = p.started
	}
	return !since.IsZero() && (p.leaseNote.named[w.id()] || now.Sub(since) >= leaseNoteDelay)
}

// writeLeaseNote writes the lease note if it has to change, or if its remaining times are out of date.
func (p *Planner) writeLeaseNote() {
	n, now := &p.leaseNote, p.Clock.Now()
	if !n.checkNeeded || n.inFlight || now.Before(n.nextWriteAt) {
		return
	}
	n.checkNeeded = false
	note := newLeaseNote()
	changed, counting := false, false
	for id, w := range p.workers {
		switch {
		case p.isNotable(w, now):
			note.add(w, now)
			changed, counting = changed || !n.named[id], counting || note.Remaining[id] > 0
		case n.named[id] && (len(w.runs) > 0 || w.fenced && w.failingSince.IsZero()):
			changed = true
		}
	}
	if !changed && (!counting || now.Sub(n.writtenAt) < leaseNoteInterval) {
		return
	}
	t, err := p.leaseNoteTxn(note, p.Term.Key())
	if err != nil {
		p.Log.Event("lease-note-not-encoded", "workers", len(note.Remaining), "error", err)
		return
	}
	for id := range note.Remaining {
		n.named[id] = true
	}
	n.inFlight, n.writtenAt, n.nextWriteAt = true, now, now.Add(leaseNoteSpacing)
	p.call(classCommit, func() func() {
		ctx, cancel := context.WithTimeout(p.ctx, commitTimeout)
		defer cancel()
		revision, err := p.Store.Commit(ctx, t)
		return func() { p.handleLeaseNoteResult(note, revision, err) }
	})
}

// leaseNoteTxn returns the transaction that replaces the note if the precondition holds.
func (p *Planner) leaseNoteTxn(note leaseNote, precondition Item) (Txn, error) {
	value, err := codec.Marshal(note)
	return Txn{Preconditions: []Item{precondition}, Writes: []Write{{Key: leaseNoteKey, Value: value, Expected: p.leaseNote.revision}}}, err
}

// leaveLeaseNote writes the note for the successor after the term has ended by itself, unless a later term has begun. It names all workers with
// runs, since this planner extends no lease any more. Load pattern: an outage of the store outlasts the term, and half of the leases.
func (p *Planner) leaveLeaseNote() {
	select {
	case <-p.ready:
	default:
		return
	}
	if p.Term.Err() == nil {
		return
	}
	note, now := newLeaseNote(), p.Clock.Now()
	for _, w := range p.workers {
		if len(w.runs) > 0 && w.leasesBounded(now) {
			note.add(w, now)
		}
	}
	if len(note.Remaining) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(p.ctx), leaveLeaseNoteTimeout)
	defer cancel()
	revision, err := p.commitLeaseNote(ctx, note)
	var conflict *ErrConflict
	if errors.As(err, &conflict) && p.adoptLeaseNoteRevision(conflict, p.Term.newest()) {
		revision, err = p.commitLeaseNote(ctx, note)
	}
	p.Log.Event("lease-note-left", "workers", len(note.Remaining), "longest", note.longest(), "fence", p.Term.Fence(), "revision", revision, "error", err)
}

// commitLeaseNote replaces the note unless a later term has begun.
func (p *Planner) commitLeaseNote(ctx context.Context, note leaseNote) (int64, error) {
	t, err := p.leaseNoteTxn(note, p.Term.newest())
	if err != nil {
		return 0, errors.Wrap(err, "encode lease note")
	}
	return p.Store.Commit(ctx, t)
}

// handleLeaseNoteResult applies the result of a write of the lease note. One that got no response may still be executed until a later one,
// which requires the revision before it, has succeeded.
func (p *Planner) handleLeaseNoteResult(note leaseNote, revision int64, err error) {
	n := &p.leaseNote
	n.inFlight = false
	var conflict *ErrConflict
	if err == nil {
		n.revision, p.lastRevision = revision, max(p.lastRevision, revision)
		p.releaseNamed(note)
		return
	}
	if errors.As(err, &conflict) && !p.adoptLeaseNoteRevision(conflict, p.Term.Key()) {
		p.lostTerm = &ErrLostTerm{Reason: "the planner's key has changed"}
		return
	}
	p.Log.Event("lease-note-not-stored", "workers", len(note.Remaining), "error", err)
	n.writtenAt, n.checkNeeded = time.Time{}, true
}

// adoptLeaseNoteRevision adopts the revision that the store has: an earlier write that got no response was executed. It reports false if the
// precondition does not hold.
func (p *Planner) adoptLeaseNoteRevision(conflict *ErrConflict, precondition Item) bool {
	current := map[string]Item{}
	for _, i := range conflict.Items {
		current[i.Key] = i
	}
	if current[precondition.Key].Revision != precondition.Revision {
		return false
	}
	p.leaseNote.revision = current[leaseNoteKey].Revision
	return true
}

// releaseNamed allows leases again for the workers that the stored note names no more.
func (p *Planner) releaseNamed(note leaseNote) {
	now, released := p.Clock.Now(), 0
	for id := range p.leaseNote.named {
		if _, ok := note.Remaining[id]; ok {
			continue
		}
		released++
		delete(p.leaseNote.named, id)
		if w, ok := p.workers[id]; ok {
			w.nextPoll = now
			p.scheduleContact(w)
			p.sendDueStartsTo(w, now)
		}
	}
	p.planNeeded = p.planNeeded || released > 0
	p.Log.Event("lease-note-stored", "workers", len(note.Remaining), "longest", note.longest(), "released", released, "revision", p.leaseNote.revision)
}
