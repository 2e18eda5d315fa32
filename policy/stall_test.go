package policy_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"clementinepier/policy"
)

const stallLimit = 5 * time.Second

// progress returns the progress of a run that reached a percent a while before start, whose worker has just answered.
func progress(percent int, ago time.Duration) policy.RunProgress {
	return policy.RunProgress{Percent: percent, Progressed: start.Add(-ago), Heard: start}
}

// Guards against stopping gangs and tasks that stand at 100 percent although they work, and against keeping those that hang.
func TestStalledRuns(t *testing.T) {
	waits, recent, old := progress(100, 20*time.Second), progress(60, time.Second), progress(100, 6*time.Second)
	using := func(r policy.RunProgress, usage int64) policy.RunProgress {
		r.Usage, r.UsageKnown = usage, true
		return r
	}
	saved := func(r policy.RunProgress, ago time.Duration) policy.RunProgress {
		r.Saved = start.Add(-ago)
		return r
	}
	silent := func(r policy.RunProgress) policy.RunProgress {
		r.Heard = time.Time{}
		return r
	}
	for name, c := range map[string]struct {
		runs        []policy.RunProgress
		ran, done   time.Duration
		checkpoints bool
		stalled     int
		evidence    policy.Evidence
	}{
		"makes progress":                             {runs: []policy.RunProgress{recent}, stalled: -1},
		"stands below 100":                           {runs: []policy.RunProgress{progress(60, 6*time.Second)}, ran: time.Hour, done: 2 * time.Hour, stalled: 0},
		"stands below 100, no answer":                {runs: []policy.RunProgress{silent(progress(60, 6*time.Second))}, stalled: -1},
		"stands below 100 and saves":                 {runs: []policy.RunProgress{saved(progress(60, 6*time.Second), 0)}, stalled: 0},
		"just reached 100":                           {runs: []policy.RunProgress{progress(100, time.Second)}, stalled: -1},
		"waits for a member":                         {runs: []policy.RunProgress{waits, recent}, stalled: -1, evidence: policy.EvidenceGang},
		"waits for one that stands":                  {runs: []policy.RunProgress{waits, progress(60, 6*time.Second)}, stalled: 1},
		"waits for one without answer":               {runs: []policy.RunProgress{waits, silent(progress(60, 6*time.Second))}, ran: time.Hour, stalled: 1},
		"waits for one just without answer":          {runs: []policy.RunProgress{waits, silent(recent)}, stalled: -1, evidence: policy.EvidenceGang},
		"saves at 100":                               {runs: []policy.RunProgress{saved(waits, time.Second)}, stalled: -1, evidence: policy.EvidenceCheckpoint},
		"gang saves at 100":                          {runs: []policy.RunProgress{waits, saved(old, time.Second)}, stalled: -1, evidence: policy.EvidenceCheckpoint},
		"saved long ago":                             {runs: []policy.RunProgress{saved(waits, 6*time.Second)}, checkpoints: true, ran: time.Minute, stalled: 0},
		"others took longer":                         {runs: []policy.RunProgress{old}, ran: 30 * time.Second, done: 40 * time.Second, stalled: -1, evidence: policy.EvidenceStep},
		"others took longer, idle":                   {runs: []policy.RunProgress{using(old, 0)}, ran: 30 * time.Second, done: 40 * time.Second, stalled: 0},
		"others were quicker":                        {runs: []policy.RunProgress{old}, checkpoints: true, ran: 30 * time.Second, done: 10 * time.Second, stalled: 0},
		"much work would be lost":                    {runs: []policy.RunProgress{old}, ran: 30 * time.Second, stalled: -1, evidence: policy.EvidenceCost},
		"much work would be lost, idle":              {runs: []policy.RunProgress{using(old, 0)}, ran: 30 * time.Second, stalled: 0},
		"less work than the wait is lost":            {runs: []policy.RunProgress{old}, ran: 11 * time.Second, stalled: 0},
		"one that uses a processor is blamed":        {runs: []policy.RunProgress{using(old, 0), using(waits, 900), using(old, 0)}, stalled: 1},
		"without figures the last to reach 100 is":   {runs: []policy.RunProgress{waits, old, waits}, stalled: 1},
		"one without answer is blamed before others": {runs: []policy.RunProgress{using(old, 900), silent(waits)}, stalled: 1},
		"one without answer alone":                   {runs: []policy.RunProgress{silent(waits)}, stalled: -1},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := policy.Stall{Runs: c.runs, Limit: stallLimit, Ran: c.ran, LongestDone: c.done, Checkpoints: c.checkpoints}
			at, evidence := s.Judge(start)
			is.Equal(at, c.stalled)
			is.Equal(evidence, c.evidence)
		})
	}
}
