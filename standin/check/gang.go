package check

import (
	"slices"
	"time"

	"clementinepier/job"
	"clementinepier/standin/worker"
)

// attempt identifies one attempt at a gang.
type attempt struct {
	key    job.Key
	number int
	nonce  string
}

// gang is what the run logs say about one attempt.
type gang struct {
	size  int
	lines []worker.RunLine
}

// gangs counts the attempts that ran on a part of their members.
func (r *Report) gangs(in Input) {
	attempts := map[attempt]*gang{}
	var order []attempt
	var last time.Time
	for _, line := range in.Lines {
		if line.Time.After(last) {
			last = line.Time
		}
		if line.Members < 2 {
			continue
		}
		id := attempt{key: line.ID.Key(), number: line.ID.Attempt, nonce: line.Nonce}
		if attempts[id] == nil {
			attempts[id] = &gang{size: line.Members}
			order = append(order, id)
		}
		attempts[id].lines = append(attempts[id].lines, line)
	}
	for _, id := range order {
		g := attempts[id]
		started, finished := g.summary()
		partial := g.longestPartial(last)
		switch {
		case partial > in.PartialBound:
			r.Partial++
			r.find("gang %s attempt %d ran on a part of its %d members for %s", id.key, id.number, g.size, partial)
		case started < g.size && finished:
			r.Partial++
			r.find("gang %s attempt %d started %d of %d members, and one ran to its end", id.key, id.number, started, g.size)
		}
	}
}

// summary returns the number of members that started and whether one ran to its own end.
func (g *gang) summary() (started int, finished bool) {
	members := map[int]bool{}
	for _, line := range g.lines {
		if line.Event == worker.EventStart {
			members[line.ID.Member] = true
		} else if line.State == "done" || line.State == "failed" {
			finished = true
		}
	}
	return len(members), finished
}

// longestPartial returns the longest time in which some members ran and others did not. A member whose end is
// in no log counts as running until the last line of all logs.
func (g *gang) longestPartial(last time.Time) time.Duration {
	lines := slices.Clone(g.lines)
	slices.SortStableFunc(lines, func(a, b worker.RunLine) int { return a.Time.Compare(b.Time) })
	var longest time.Duration
	var since time.Time
	running := map[int]bool{}
	partial := func() bool { return len(running) > 0 && len(running) < g.size }
	for _, line := range lines {
		before := partial()
		if line.Event == worker.EventStart {
			running[line.ID.Member] = true
		} else {
			delete(running, line.ID.Member)
		}
		switch {
		case before && !partial():
			longest = max(longest, line.Time.Sub(since))
		case !before && partial():
			since = line.Time
		}
	}
	if partial() {
		longest = max(longest, last.Sub(since))
	}
	return longest
}
