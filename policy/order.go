package policy

import (
	"cmp"
	"slices"
	"time"
)

// timeliness ranks a unit by what completing its job is still worth to the caller.
type timeliness int

const (
	inTime timeliness = iota
	late
	expired
)

func (u *Unit) timeliness(now time.Time) timeliness {
	// The unit counts as late when its remaining time no longer fits before the deadline, even if it starts now.
	end := now.Add(u.Remaining)
	switch {
	case now.After(u.Expiry):
		return expired
	case end.After(u.Deadline) && now.After(u.ReadySince.Add(lateGrace)):
		return late
	default:
		return inTime
	}
}

// lateGrace keeps a unit whose estimate alone is longer than its objective from counting as late on arrival; estimates are
// wrong by up to a factor of ten.
const lateGrace = 2 * time.Second

// Order sorts units by which should start first. Under overload, units that can still be in time come before late ones, and
// units whose result is of no use any more come last. Within a rank the job priority decides; jobs of priority 0 have the
// shortest objectives.
func Order(now time.Time, units []*Unit) {
	slices.SortStableFunc(units, func(a, b *Unit) int {
		return cmp.Or(
			cmp.Compare(a.rank(now), b.rank(now)),
			cmp.Compare(a.Job.Priority, b.Job.Priority),
			compareShares(a, b),
			a.Deadline.Compare(b.Deadline),
			cmp.Compare(a.Job.ID, b.Job.ID),
			cmp.Compare(a.Occurrence, b.Occurrence),
			cmp.Compare(a.Step, b.Step),
		)
	})
}

// rank puts guaranteed units first, however late they are: their organisation is owed the capacity.
func (u *Unit) rank(now time.Time) int {
	if u.Guaranteed {
		return -1
	}
	return int(u.timeliness(now))
}
