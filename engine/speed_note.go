package engine

import (
	"cmp"
	"context"
	"maps"
	"math"
	"slices"
	"time"

	"clementinepier/codec"
	"clementinepier/policy"
)

const (
	// speedNoteInterval is the shortest time between two writes of the speed note. A planner that follows loses what was learned in it.
	speedNoteInterval = 20 * time.Second
	// maxNotedWorkers bounds the note to about 100 KB. Those that differ most from the usual worker go first.
	maxNotedWorkers = 4096
	// maxNotedLog bounds the logarithm of a speed that is read from the store.
	maxNotedLog = 3.0
	// maxNotedAge bounds the age in seconds of an observation that is read from the store. Nothing of one that is older counts.
	maxNotedAge = 24 * 60 * 60
	// notedUnits is the number of units of a noted figure in 1.
	notedUnits = 100
	// minLeft is the share of what was observed below which a worker is forgotten.
	minLeft = 0.1
)

// speedNote is a record in the store of how fast workers are. It has ages only, since times of day differ between machines.
type speedNote struct {
	// Workers has what is known, by the worker's ID.
	Workers map[string]notedSpeed `cbor:"1,keyasint,omitempty"`
}

// notedSpeed is what is known of a worker.
type notedSpeed struct {
	_ struct{} `cbor:",toarray"`
	// Log and Precision are those of policy.SpeedEstimate, in hundredths and in whole numbers.
	Log, Precision int
	// Age is how many seconds before the writing the worker was last observed.
	Age int
	// Class is the class that decisions went by.
	Class int
}

// speedNoteState is what the planner knows of the stored speed note.
type speedNoteState struct {
	// read is set once the note of an earlier planner was read, or there is none. It is not written before.
	read bool
	// changed is set when the class of a worker has changed since the last write. Nothing is written while all are equal.
	changed bool
	// inFlight is set while a read or a write is in flight; nextAt is the earliest time of the next one.
	inFlight bool
	nextAt   time.Time
	// prunedAt is when workers that were last observed long ago were last forgotten.
	prunedAt time.Time
}

// syncSpeedNote reads the note of an earlier planner, or writes a new one if it is time.
func (p *Planner) syncSpeedNote(now time.Time) {
	n := &p.speedNote
	p.forgetSpeeds(now)
	if n.inFlight || now.Before(n.nextAt) || !p.storeFailingSince.IsZero() || n.read && !n.changed {
		return
	}
	n.inFlight = true
	if !n.read {
		p.readSpeedNote()
		return
	}
	p.writeSpeedNote(now)
}

// forgetSpeeds forgets workers that were last observed long ago.
func (p *Planner) forgetSpeeds(now time.Time) {
	if now.Sub(p.speedNote.prunedAt) < speedNoteInterval {
		return
	}
	p.speedNote.prunedAt = now
	maps.DeleteFunc(p.speeds, func(_ string, known *workerSpeed) bool { return known.Left(now) < minLeft })
}

func (p *Planner) readSpeedNote() {
	p.call(classRead, func() func() {
		ctx, cancel := context.WithTimeout(p.ctx, loadTimeout)
		defer cancel()
		item, err := p.Store.Get(ctx, speedNoteKey)
		return func() {
			n, now := &p.speedNote, p.Clock.Now()
			n.inFlight = false
			if err != nil && !IsErrNotExist(err) {
				p.Log.Event("speed-note-not-read", "error", err)
				n.nextAt = now.Add(time.Second)
				return
			}
			n.read, n.nextAt = true, now.Add(speedNoteInterval)
			if err == nil {
				p.adoptSpeedNote(now, item)
			}
		}
	})
}

// adoptSpeedNote takes over what an earlier planner knew of workers that this one has not compared yet.
func (p *Planner) adoptSpeedNote(now time.Time, item Item) {
	var note speedNote
	if err := codec.Unmarshal(item.Value, &note); err != nil {
		p.Log.Event("speed-note-unreadable", "revision", item.Revision, "error", err)
		return
	}
	for id, noted := range note.Workers {
		if known, ok := p.speeds[id]; ok && known.Precision > 0 {
			continue
		}
		age := time.Duration(min(max(0, noted.Age), maxNotedAge)) * time.Second
		log := max(-maxNotedLog, min(maxNotedLog, float64(noted.Log)/notedUnits))
		p.speeds[id] = &workerSpeed{class: policy.SpeedClass(math.Exp(log), noted.Class), SpeedEstimate: policy.SpeedEstimate{
			Log: log, Precision: min(policy.MaxPrecision, max(0, float64(noted.Precision))), Observed: now.Add(-age),
		}}
	}
	p.planNeeded = true
	p.Log.Event("speed-note-loaded", "workers", len(note.Workers), "revision", item.Revision)
}

// currentSpeedNote returns the note to write.
func (p *Planner) currentSpeedNote(now time.Time) speedNote {
	ids := slices.Sorted(maps.Keys(p.speeds))
	if len(ids) > maxNotedWorkers {
		slices.SortStableFunc(ids, func(a, b string) int { return cmp.Compare(math.Abs(p.speeds[b].Log), math.Abs(p.speeds[a].Log)) })
		ids = ids[:maxNotedWorkers]
	}
	note := speedNote{Workers: make(map[string]notedSpeed, len(ids))}
	for _, id := range ids {
		if known := p.speeds[id]; known.Precision > 0 {
			note.Workers[id] = notedSpeed{
				Log: int(math.Round(known.Log * notedUnits)), Precision: int(known.Precision), Age: int(now.Sub(known.Observed) / time.Second), Class: known.class,
			}
		}
	}
	return note
}

func (p *Planner) writeSpeedNote(now time.Time) {
	n, note := &p.speedNote, p.currentSpeedNote(now)
	n.changed, n.nextAt = false, now.Add(speedNoteInterval)
	value, err := codec.Marshal(note)
	if err != nil {
		n.inFlight = false
		p.Log.Event("speed-note-not-encoded", "workers", len(note.Workers), "error", err)
		return
	}
	// A write that arrives late is of this term, and what it replaces differs by little.
	t := Txn{Preconditions: []Item{p.Term.Key()}, Writes: []Write{{Key: speedNoteKey, Value: value, Expected: AnyRevision}}}
	p.call(classCommit, func() func() {
		ctx, cancel := context.WithTimeout(p.ctx, commitTimeout)
		defer cancel()
		revision, err := p.Store.Commit(ctx, t)
		return func() {
			n.inFlight = false
			if err != nil {
				n.changed = true
				p.Log.Event("speed-note-not-stored", "workers", len(note.Workers), "error", err)
				return
			}
			p.lastRevision = max(p.lastRevision, revision)
			p.Log.Event("speed-note-stored", "workers", len(note.Workers), "bytes", len(value), "revision", revision)
		}
	})
}
