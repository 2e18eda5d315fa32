package policy

import (
	"slices"
	"time"
)

// fullPercent is the percent at which a run has done its own share of the work: it waits for others of its gang, or takes longer than its
// estimate.
const fullPercent = 100

// Evidence is why a group is kept although a run of it stands still at 100 percent.
type Evidence string

// The evidence for keeping a group.
const (
	// EvidenceGang means that another member of the gang still makes progress.
	EvidenceGang Evidence = "gang"
	// EvidenceCheckpoint means that a new checkpoint was reported.
	EvidenceCheckpoint Evidence = "checkpoint"
	// EvidenceStep means that a finished task or gang of the step took longer than the group has.
	EvidenceStep Evidence = "step"
	// EvidenceCost means that a stop would throw away more work than the group has stood still for.
	EvidenceCost Evidence = "cost"
)

// RunProgress is what is known of the progress of one run of a group.
type RunProgress struct {
	Percent int
	// Progressed is when the percent last changed, and Saved when the checkpoint last did; zero if it has not.
	Progressed, Saved time.Time
	// Heard is when the worker last answered; zero while it does not answer, and if it has not confirmed the run.
	Heard time.Time
	// Usage is the processor time in use, if UsageKnown is set.
	Usage      int64
	UsageKnown bool
}

// still reports whether the run's worker has shown no progress of it for at least the given time.
func (r *RunProgress) still(limit time.Duration) bool {
	return !r.Heard.IsZero() && r.Heard.Sub(r.Progressed) >= limit
}

// Stall is what the decision whether a group has stalled depends on.
type Stall struct {
	// Runs are the runs of the group: all members of a gang, or a single run.
	Runs []RunProgress
	// Limit is how long a run may show no progress.
	Limit time.Duration
	// Ran is how long the group has been at work.
	Ran time.Duration
	// LongestDone is the longest time that a finished task or gang of the step was at work; 0 if none has finished.
	LongestDone time.Duration
	// Checkpoints means that a stop loses no work.
	Checkpoints bool
}

// Judge returns the index of the run that has stalled, or -1. If a run stands still at 100 percent and the group has not stalled, it also returns
// the evidence. Load pattern: gangs on workers of different speeds, whose fast members wait at 100 percent for the slow ones, and tasks that take
// several times their estimate, beside workers that hang.
func (s *Stall) Judge(now time.Time) (int, Evidence) {
	full := false
	for i := range s.Runs {
		r := &s.Runs[i]
		if !r.still(s.Limit) {
			continue
		}
		if r.Percent < fullPercent {
			return i, ""
		}
		full = true
	}
	if !full {
		return -1, ""
	}
	last, evidence := s.lastProgress()
	stood := now.Sub(last)
	if stood < s.Limit {
		return -1, evidence
	}
	if s.allHeard() && !s.idle() {
		if s.LongestDone > 0 && s.Ran < s.LongestDone+s.Limit {
			return -1, EvidenceStep
		}
		if !s.Checkpoints && stood < s.Ran-stood {
			return -1, EvidenceCost
		}
	}
	return s.blamed(), ""
}

// lastProgress returns when any run of the group last made progress, and what showed it. The checkpoint of a gang may be of any of its members.
func (s *Stall) lastProgress() (time.Time, Evidence) {
	var last time.Time
	evidence := EvidenceGang
	for i := range s.Runs {
		r := &s.Runs[i]
		if r.Progressed.After(last) {
			last, evidence = r.Progressed, EvidenceGang
		}
		if r.Saved.After(last) {
			last, evidence = r.Saved, EvidenceCheckpoint
		}
	}
	return last, evidence
}

// allHeard reports whether the workers of all runs answer.
func (s *Stall) allHeard() bool {
	return !slices.ContainsFunc(s.Runs, func(r RunProgress) bool { return r.Heard.IsZero() })
}

// idle reports whether no run of the group uses processor time.
func (s *Stall) idle() bool {
	for i := range s.Runs {
		if !s.Runs[i].UsageKnown || s.Runs[i].Usage > 0 {
			return false
		}
	}
	return true
}

// blamed returns the run that the others most likely wait for: one whose worker does not answer, then one that uses processor time, then the last
// one to make progress.
func (s *Stall) blamed() int {
	at := 0
	for i := 1; i < len(s.Runs); i++ {
		a, b := &s.Runs[i], &s.Runs[at]
		if a.blame() > b.blame() || a.blame() == b.blame() && a.Progressed.After(b.Progressed) {
			at = i
		}
	}
	return at
}

func (r *RunProgress) blame() int {
	switch {
	case r.Heard.IsZero():
		return 2
	case r.UsageKnown && r.Usage > 0:
		return 1
	default:
		return 0
	}
}
