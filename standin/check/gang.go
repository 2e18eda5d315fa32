package check

import (
	"slices"
	"time"

	"clementinepier/job"
	"clementinepier/standin/worker"
)

// attempt identifies one attempt to run a gang.
type attempt struct {
	key    job.Key
	number int
	nonce  string
}

// gangRun holds the lines of the run logs about one attempt.
type gangRun struct {
	size  int
	lines []worker.RunLine
}

// countPartialGangs counts the attempts that ran with only some of their members: for longer than PartialBound, or
// until a member finished although others had not started.
func (r *Report) countPartialGangs(in Input) {
	attempts := map[attempt]*gangRun{}
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
			attempts[id] = &gangRun{size: line.Members}
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
			r.PartialGangs++
			r.addFinding("gang %s attempt %d ran with only some of its %d members for %s", id.key, id.number, g.size, partial)
		case started < g.size && finished:
			r.PartialGangs++
			r.addFinding("gang %s attempt %d started only %d of %d members, and one of them finished", id.key, id.number, started, g.size)
		}
	}
}

// summary returns the number of members that started, and whether one finished by itself (done or failed) rather
// than being stopped.
func (g *gangRun) summary() (started int, finished bool) {
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

// longestPartial returns the longest period in which some members ran and others did not. A member whose end is
// not in any log counts as running until last, the time of the last line of all logs.
func (g *gangRun) longestPartial(last time.Time) time.Duration {
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
