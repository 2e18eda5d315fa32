package engine

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"

	"clementinepier/metrics"
)

const (
	// commitTimeout bounds one call of the store; it answers in 4 ms, or in 400 ms when it is slow.
	commitTimeout = 900 * time.Millisecond
	// commitBatch is the number of jobs in one commit: each takes a condition and a write, and the planner's key a condition.
	commitBatch = (MaxTxnEntries - 1) / 2
	// commitBytes bounds one commit well below what the store accepts in one value.
	commitBytes = 512 << 10
	// maxCommits bounds the commits under way; a slow store answers in 0.4 s, and takes some hundred jobs a second with them.
	maxCommits = 8
	// commitSpacing is how long a commit waits for the answer of the one before; five times that of a store at its usual speed.
	commitSpacing = 20 * time.Millisecond
	// suspectFactor times the usual time of a commit, and suspectAfter at least, is how long an answer may take before the store is
	// suspected to have gone silent.
	suspectFactor = 4
	suspectAfter  = 60 * time.Millisecond
	// lostAfter is how long an answer may take at least before it counts as lost when later commits were answered.
	lostAfter = 150 * time.Millisecond
	// agedChange is when a change goes before newer ones of any kind, so that none waits for ever.
	agedChange = 400 * time.Millisecond
	// commitRetry is the pause after a commit that failed.
	commitRetry = 30 * time.Millisecond
	// failingAfter is how long commits fail before new jobs are turned away at once.
	failingAfter = 250 * time.Millisecond
	// failedPause is how long after a failed commit new jobs are turned away without another try.
	failedPause = 300 * time.Millisecond
	// deletesWait is the number of keys to delete that is worth a commit of its own.
	deletesWait = 8
)

// entry is one job in a commit.
type entry struct {
	job *jobState
	// change is the newest change that the written value includes.
	change uint64
}

// sentCommit is a commit under way.
type sentCommit struct {
	sent time.Time
	// drop ends the call.
	drop context.CancelFunc
}

// flush starts commits of what has to be stored. A job is in one commit at a time. While the store answers at once, one commit
// follows the other, which keeps their number low; while it is slow, several are under way.
func (p *Planner) flush() {
	p.dropLostCommits()
	for p.mayCommit() && p.commit() {
	}
	if len(p.commits) == 0 || p.flushPosted || len(p.dirty) == 0 {
		return
	}
	// Nothing else may happen before the next commit is due.
	p.flushPosted = true
	p.Clock.AfterFunc(commitSpacing, func() { p.post(func() { p.flushPosted = false }) })
}

// mayCommit reports whether another commit may be sent now.
func (p *Planner) mayCommit() bool {
	now := p.Clock.Now()
	switch {
	case now.Before(p.commitAfter):
		return false
	case len(p.commits) == 0:
		return true
	case !p.storeFailing.IsZero():
		// One commit at a time finds out whether the store answers again.
		return false
	default:
		return len(p.commits) < maxCommits && now.Sub(p.commits[len(p.commits)-1].sent) >= commitSpacing
	}
}

// dropLostCommits ends the calls whose answers seem lost, since commits after them were answered. What they stored is found out by the
// next commit of the same jobs, so that nobody waits for the whole time of a call.
func (p *Planner) dropLostCommits() {
	now := p.Clock.Now()
	for _, c := range p.commits {
		if c.sent.Before(p.answered) && now.Sub(c.sent) > p.longerThanUsual(lostAfter) {
			c.drop()
		}
	}
}

// longerThanUsual returns the time after which an answer is awaited for much longer than others were lately.
func (p *Planner) longerThanUsual(least time.Duration) time.Duration {
	return max(least, suspectFactor*p.commitTime)
}

// storeSuspect reports whether a commit waits for its answer for much longer than others lately, and none after it was answered. New
// jobs are kept back then: those that were sent to a store that has gone silent are neither accepted nor refused for certain.
func (p *Planner) storeSuspect(now time.Time) bool {
	for _, c := range p.commits {
		if c.sent.After(p.answered) {
			return now.Sub(c.sent) > p.longerThanUsual(suspectAfter)
		}
	}
	return false
}

// commit sends one commit and reports whether there was something to store.
func (p *Planner) commit() bool {
	now := p.Clock.Now()
	t := Txn{Preconditions: []Item{p.Term.Key()}}
	var entries []entry
	size := 0
	for _, j := range p.toStore(now) {
		value, err := j.record.Encode()
		if err != nil {
			p.dropUnencodable(j, err)
			continue
		}
		size += len(value)
		if len(entries) == commitBatch || len(entries) > 0 && size > commitBytes {
			break
		}
		t.Writes = append(t.Writes, Write{Key: jobPrefix + j.id(), Value: value, Expected: j.revision})
		entries = append(entries, entry{job: j, change: j.lastChange})
		j.writing = true
	}
	var deletes []string
	if room := MaxTxnEntries - 1 - 2*len(entries); !p.deleting && (len(entries) > 0 || len(p.deletes) >= deletesWait) {
		deletes = p.deletes[:min(room, len(p.deletes))]
	}
	for _, key := range deletes {
		t.Writes = append(t.Writes, Write{Key: key, Expected: AnyRevision, Delete: true})
	}
	if len(t.Writes) == 0 {
		return false
	}
	ctx, cancel := context.WithTimeout(p.ctx, commitTimeout)
	p.commits = append(p.commits, sentCommit{sent: now, drop: cancel})
	p.deleting = p.deleting || len(deletes) > 0
	p.call(classCommit, func() func() {
		defer cancel()
		revision, err := p.Store.Commit(ctx, t)
		return func() { p.committed(now, entries, len(deletes), revision, err) }
	})
	return true
}

// toStore returns the jobs with changes to store that are in no commit, in the order in which they are stored: it answers a store
// that takes less than changes, with jobs that callers wait for before starts, and starts before the bookkeeping of what runs.
// Every change comes first after agedChange.
func (p *Planner) toStore(now time.Time) []*jobState {
	jobs := make([]*jobState, 0, len(p.dirty))
	rank := make(map[*jobState]int, len(p.dirty))
	suspect := p.storeSuspect(now)
	for j := range p.dirty {
		if j.writing || suspect && j.unsent() {
			continue
		}
		jobs = append(jobs, j)
		switch {
		case len(p.waiters[j]) > 0 || now.Sub(j.changed) > agedChange:
			rank[j] = 0
		case j.launched > j.stored:
			rank[j] = 1
		default:
			rank[j] = 2
		}
	}
	slices.SortFunc(jobs, func(a, b *jobState) int {
		return cmp.Or(cmp.Compare(rank[a], rank[b]), cmp.Compare(a.firstChange, b.firstChange))
	})
	return jobs
}

// dropUnencodable keeps a job that has no record from holding up all others. A new one is turned away.
func (p *Planner) dropUnencodable(j *jobState, err error) {
	p.Log.Event("record-not-encoded", "job", j.id(), "queue", j.record.Job.Queue, "revision", j.revision, "error", err)
	delete(p.dirty, j)
	if j.unsent() {
		p.withdraw(j, Result{Verdict: VerdictRefused, Reason: err.Error()})
	}
}

// committed takes in the outcome of a commit.
func (p *Planner) committed(sent time.Time, entries []entry, deletes int, revision int64, err error) {
	p.commits = slices.DeleteFunc(p.commits, func(c sentCommit) bool { return c.sent.Equal(sent) })
	if deletes > 0 {
		p.deleting = false
	}
	for _, e := range entries {
		e.job.writing = false
	}
	now := p.Clock.Now()
	p.Metrics.Observe(metrics.CommitTime, now.Sub(sent))
	var conflict *ErrConflict
	switch {
	case err == nil:
		if !p.storeFailing.IsZero() {
			p.Log.Event("store-regained", "after", now.Sub(p.storeFailing))
		}
		p.storeFailing = time.Time{}
		p.noteAnswered(sent)
		p.commitTime = (p.commitTime + now.Sub(sent)) / 2
		p.deletes = p.deletes[deletes:]
		for _, e := range entries {
			p.stored(e, revision)
		}
	case errors.As(err, &conflict):
		p.noteAnswered(sent)
		p.resolveConflict(entries, conflict)
	case p.answered.After(sent) && !IsErrNotDone(err):
		// Commits after this one were answered, so only its answer is lost.
		p.Log.Event("commit-unanswered", "jobs", len(entries), "after", now.Sub(sent), "error", err)
		p.Metrics.Add(metrics.StoreErrors, 1)
		offer(entries)
	default:
		if p.storeFailing.IsZero() {
			p.storeFailing = sent
			p.Log.Event("store-lost", "error", err)
		}
		p.Metrics.Add(metrics.StoreErrors, 1)
		p.commitAfter, p.storeFailed = now.Add(commitRetry), now
		if !IsErrNotDone(err) {
			offer(entries)
		}
		p.withdrawUnstored(now)
	}
}

// offer notes that the store may have the jobs of a commit that got no answer.
func offer(entries []entry) {
	for _, e := range entries {
		e.job.offered = true
	}
}

// noteAnswered notes that a commit was answered that was sent at a time.
func (p *Planner) noteAnswered(sent time.Time) {
	if sent.After(p.answered) {
		p.answered = sent
	}
}

// withdrawUnstored turns away the jobs that cannot be stored, as long as it is certain that none of them was.
func (p *Planner) withdrawUnstored(now time.Time) {
	if now.Sub(p.storeFailing) < failingAfter {
		return
	}
	for _, j := range p.jobs {
		if j.unsent() {
			p.withdraw(j, Result{Verdict: VerdictUnavailable, Reason: "the store does not answer"})
		}
	}
}

// stored takes in that a job is stored as of a change, and runs what waited for it.
func (p *Planner) stored(e entry, revision int64) {
	j := e.job
	j.revision, j.stored = revision, e.change
	if j.lastChange == e.change {
		j.firstChange, j.lastChange = 0, 0
		delete(p.dirty, j)
	} else {
		j.firstChange, j.changed = e.change+1, p.Clock.Now()
	}
	for len(j.waiting) > 0 && j.waiting[0].change <= j.stored {
		f := j.waiting[0].run
		j.waiting = j.waiting[1:]
		f()
	}
}

// resolveConflict compares what the store has with what was written. A commit that got no answer may have been carried
// out, and another entry VM may have stored the same job.
func (p *Planner) resolveConflict(entries []entry, conflict *ErrConflict) {
	current := map[string]Item{}
	for _, i := range conflict.Items {
		current[i.Key] = i
	}
	if key := p.Term.Key(); current[key.Key].Revision != key.Revision {
		p.deposed = &ErrLostTerm{Reason: "the planner's key has changed"}
		return
	}
	for _, e := range entries {
		item, told := current[jobPrefix+e.job.id()]
		if told && item.Revision != e.job.revision {
			p.Log.Event("commit-conflict", "job", e.job.id(), "expected", e.job.revision, "revision", item.Revision)
			e.job.revision = item.Revision
		}
	}
}
