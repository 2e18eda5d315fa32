package policy

import (
	"cmp"
	"slices"
	"time"

	"clementinepier/workload"
)

// compareShares orders units of one rank and priority by what their organisations are entitled to: work within an organisation's weight
// comes before work beyond another's, and then the organisation that has less for its weight comes first. Load pattern: all workers are full,
// and one organisation sends most of the work.
func compareShares(a, b *Unit) int {
	if a.Guaranteed || b.Guaranteed {
		// All of it is owed, in the order of its deadlines.
		return 0
	}
	if a.BeyondWeight != b.BeyondWeight {
		if a.BeyondWeight {
			return 1
		}
		return -1
	}
	return cmp.Compare(a.Share, b.Share)
}

// SetShares sets Unit.Share by weighted dominant resource share: the largest part of any resource of the capacity that an organisation uses,
// divided by its weight. Each unit counts those of its organisation that come before it, so that organisations take turns by their weights
// within a pass. The weight of an organisation that has none is 1.
func SetShares(now time.Time, units []*Unit, used map[string]workload.Resources, weights map[string]float64, capacity workload.Resources) {
	ordered := slices.Clone(units)
	for _, u := range ordered {
		u.Share = 0
	}
	Order(now, ordered)
	taken := map[string]workload.Resources{}
	for _, u := range ordered {
		organisation := u.Job.Organisation
		before, ok := taken[organisation]
		if !ok {
			before = used[organisation]
		}
		u.Share = dominantShare(before, capacity) / cmp.Or(weights[organisation], 1)
		// A unit that is larger than the service would make the sum overflow.
		taken[organisation] = before.Add(u.need().AtMost(capacity))
	}
}

// dominantShare returns the largest part of any resource of the capacity that is used.
func dominantShare(used, capacity workload.Resources) float64 {
	share := 0.0
	for _, r := range []struct{ used, capacity int64 }{
		{used.MilliCPU, capacity.MilliCPU}, {used.MemoryMB, capacity.MemoryMB}, {used.Accelerators, capacity.Accelerators},
	} {
		if r.capacity > 0 {
			share = max(share, float64(r.used)/float64(r.capacity))
		}
	}
	return share
}

// rateBurst is how long an organisation may have sent nothing to send as much at once. Callers' requests come unevenly within seconds.
const rateBurst = 5 * time.Second

// RateAllowance is a token bucket of the jobs that an organisation may submit within its weight. The zero value is full.
type RateAllowance struct {
	tokens float64
	at     time.Time
}

// Take takes the allowance for one job that was accepted at a time, at a rate of jobs a second. It reports false, and takes nothing, if the job is
// beyond the rate. Times may go back, since several entry VMs accept jobs.
func (r *RateAllowance) Take(at time.Time, perSecond float64) bool {
	most := max(1, perSecond*rateBurst.Seconds())
	switch {
	case r.at.IsZero():
		r.tokens, r.at = most, at
	case at.After(r.at):
		r.tokens, r.at = min(most, r.tokens+at.Sub(r.at).Seconds()*perSecond), at
	}
	if r.tokens < 1 {
		return false
	}
	r.tokens--
	return true
}
