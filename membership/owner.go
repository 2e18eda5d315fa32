package membership

import (
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Owner returns the member that owns the rack by rendezvous hashing, or "" if there is none. It depends only on the
// set of names, so VMs that see the same members agree, and a member that joins or goes moves only its own racks.
func Owner(rack string, live []string) string {
	owner, best := "", uint64(0)
	for _, name := range live {
		// The separator keeps different pairs from having the same text.
		score := xxhash.Sum64String(rack + "\x00" + name)
		if owner == "" || score > best || (score == best && name < owner) {
			owner, best = name, score
		}
	}
	return owner
}

// DefaultGainDelay is one heartbeat interval: a VM that was paused sees every other member as silent until it has heard
// from them again, and must not take their racks meanwhile.
const DefaultGainDelay = 500 * time.Millisecond

// maxEvaluationGap is the time between two evaluations from which on the VM counts as paused in between.
const maxEvaluationGap = DefaultLiveWindow

// Ownership follows which racks one VM owns. It is not safe for concurrent use.
type Ownership struct {
	// Self is the name of this VM.
	Self string
	// GainDelay is how long a rack must be this VM's by the hash before it is gained; 0 means DefaultGainDelay. A rack is lost
	// at once.
	GainDelay time.Duration

	owned     map[string]bool
	pending   map[string]time.Time
	evaluated time.Time
}

// OwnershipChange are the racks gained and lost by an evaluation, each sorted.
type OwnershipChange struct{ Gained, Lost []string }

// Evaluate divides the racks among the owners and returns what changed for this VM.
func (o *Ownership) Evaluate(now time.Time, racks, owners []string) OwnershipChange {
	if o.owned == nil || now.Sub(o.evaluated) >= maxEvaluationGap {
		o.pending = map[string]time.Time{}
	}
	if o.owned == nil {
		o.owned = map[string]bool{}
	}
	o.evaluated = now
	mine := map[string]bool{}
	for _, rack := range racks {
		if Owner(rack, owners) == o.Self {
			mine[rack] = true
		}
	}
	var moves OwnershipChange
	for _, rack := range slices.Sorted(maps.Keys(o.owned)) {
		if !mine[rack] {
			delete(o.owned, rack)
			moves.Lost = append(moves.Lost, rack)
		}
	}
	maps.DeleteFunc(o.pending, func(rack string, _ time.Time) bool { return !mine[rack] })
	for _, rack := range slices.Sorted(maps.Keys(mine)) {
		if o.owned[rack] {
			continue
		}
		since, waiting := o.pending[rack]
		if !waiting {
			since = now
			o.pending[rack] = now
		}
		if now.Sub(since) >= orDefault(o.GainDelay, DefaultGainDelay) {
			delete(o.pending, rack)
			o.owned[rack] = true
			moves.Gained = append(moves.Gained, rack)
		}
	}
	return moves
}

// Owns reports whether the VM owned the rack at the last evaluation, after settling.
func (o *Ownership) Owns(rack string) bool { return o.owned[rack] }

// Owned returns the racks owned at the last evaluation, sorted.
func (o *Ownership) Owned() []string { return slices.Sorted(maps.Keys(o.owned)) }
