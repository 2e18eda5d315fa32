package membership

import (
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Owner returns the member that owns the rack by rendezvous hashing, or "" if there is none. It depends only on the
// set of names, so VMs that see the same members agree, and a member that joins or leaves moves only its own racks.
func Owner(rack string, live []string) string {
	owner, best := "", uint64(0)
	for _, name := range live {
		// The separator ensures that different pairs hash different strings.
		score := xxhash.Sum64String(rack + "\x00" + name)
		if owner == "" || score > best || (score == best && name < owner) {
			owner, best = name, score
		}
	}
	return owner
}

// DefaultGainDelay is one heartbeat interval: a VM that was paused sees no other member as live until it has received
// heartbeats again, and must not take over their racks in the meantime.
const DefaultGainDelay = 500 * time.Millisecond

// maxEvaluationGap is the time between two evaluations above which this VM is assumed to have been paused.
const maxEvaluationGap = DefaultLiveWindow

// Ownership tracks which racks one VM owns. It is not safe for concurrent use.
type Ownership struct {
	// Self is the name of this VM.
	Self string
	// GainDelay is how long Owner must name this VM before it gains the rack; 0 means DefaultGainDelay. A rack is lost at
	// once.
	GainDelay time.Duration

	owned map[string]bool
	// pendingSince is since when Owner names this VM, for racks that are not gained yet.
	pendingSince map[string]time.Time
	evaluatedAt  time.Time
}

// OwnershipChange has the racks gained and lost by an evaluation, each sorted.
type OwnershipChange struct{ Gained, Lost []string }

// Evaluate assigns the racks to the owners and returns the racks that this VM gained and lost.
func (o *Ownership) Evaluate(now time.Time, racks, owners []string) OwnershipChange {
	if o.owned == nil || now.Sub(o.evaluatedAt) >= maxEvaluationGap {
		o.pendingSince = map[string]time.Time{}
	}
	if o.owned == nil {
		o.owned = map[string]bool{}
	}
	o.evaluatedAt = now
	mine := map[string]bool{}
	for _, rack := range racks {
		if Owner(rack, owners) == o.Self {
			mine[rack] = true
		}
	}
	var change OwnershipChange
	for _, rack := range slices.Sorted(maps.Keys(o.owned)) {
		if !mine[rack] {
			delete(o.owned, rack)
			change.Lost = append(change.Lost, rack)
		}
	}
	maps.DeleteFunc(o.pendingSince, func(rack string, _ time.Time) bool { return !mine[rack] })
	for _, rack := range slices.Sorted(maps.Keys(mine)) {
		if o.owned[rack] {
			continue
		}
		since, waiting := o.pendingSince[rack]
		if !waiting {
			since = now
			o.pendingSince[rack] = now
		}
		if now.Sub(since) >= orDefault(o.GainDelay, DefaultGainDelay) {
			delete(o.pendingSince, rack)
			o.owned[rack] = true
			change.Gained = append(change.Gained, rack)
		}
	}
	return change
}

// Owns reports whether the VM owned the rack at the last evaluation, that is, after the gain delay.
func (o *Ownership) Owns(rack string) bool { return o.owned[rack] }

// Owned returns the racks owned at the last evaluation, sorted.
func (o *Ownership) Owned() []string { return slices.Sorted(maps.Keys(o.owned)) }
