package policy

import (
	"cmp"
	"slices"
	"time"
)

// class ranks a unit by what completing it is still worth.
type class int

const (
	inTime class = iota
	late
	expired
)

func (u *Unit) class(now time.Time) class {
	// A unit whose own estimate no longer fits is late even if it started at once.
	end := now.Add(u.step().Estimate)
	switch {
	case now.After(u.Expiry):
		return expired
	case end.After(u.Deadline) && now.After(u.ReadySince.Add(lateGrace)):
		return late
	default:
		return inTime
	}
}

// lateGrace keeps a unit whose estimate alone is longer than its objective from counting as late when it arrives;
// estimates are wrong by up to ten times.
const lateGrace = 2 * time.Second

// Order sorts units by what should start first. It answers loads above the capacity: work of priority 0 has the
// shortest objectives, work that can still be in time goes before work that is late, and work that is of no use any
// more goes last.
func Order(now time.Time, units []*Unit) {
	slices.SortStableFunc(units, func(a, b *Unit) int {
		return cmp.Or(
			cmp.Compare(a.rank(now), b.rank(now)),
			cmp.Compare(a.Job.Priority, b.Job.Priority),
			a.Deadline.Compare(b.Deadline),
			cmp.Compare(a.Job.ID, b.Job.ID),
			cmp.Compare(a.Occurrence, b.Occurrence),
			cmp.Compare(a.Step, b.Step),
		)
	})
}

// rank puts guaranteed work first whatever its age: its start is owed.
func (u *Unit) rank(now time.Time) int {
	if u.Guaranteed {
		return -1
	}
	return int(u.class(now))
}
