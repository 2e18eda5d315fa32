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
	// commitTimeout bounds one commit. The store usually responds within 4 ms, and within 400 ms when it is slow.
	commitTimeout = 900 * time.Millisecond
	// maxCommitJobs is the maximum number of jobs in one commit. Each job takes a condition and a write, and the planner's
	// key a condition.
	maxCommitJobs = (MaxTxnEntries - 1) / 2
	// maxCommitBytes bounds the size of one commit well below what the store accepts in one value.
	maxCommitBytes = 512 << 10
	// maxCommitsInFlight bounds the commits in flight. A slow store responds in 0.4 s and stores several hundred jobs a
	// second with this many.
	maxCommitsInFlight = 8
	// commitSpacing is how long a commit waits for the response to the previous one: five times the usual response time.
	commitSpacing = 20 * time.Millisecond
	// suspectFactor times the usual commit time, but at least suspectAfter, is how long a response may take before the store
	// is suspected to be down.
	suspectFactor = 4
	suspectAfter  = 60 * time.Millisecond
	// answerLostAfter is the minimum time after which a response counts as lost if later commits got theirs.
	answerLostAfter = 150 * time.Millisecond
	// maxChangeDelay is the age at which a change takes precedence over newer ones of any kind, so that none is starved.
	maxChangeDelay = 400 * time.Millisecond
	// commitRetryDelay is the pause after a failed commit.
	commitRetryDelay = 30 * time.Millisecond
	// rejectAfter is how long commits have to fail before new jobs are rejected immediately.
	rejectAfter = 250 * time.Millisecond
	// rejectPeriod is how long after a failed commit new jobs are rejected without another attempt to store them.
	rejectPeriod = 300 * time.Millisecond
	// minDeleteBatch is the number of keys to delete that justifies a commit without jobs.
	minDeleteBatch = 8
)

// commitEntry is one job in a commit.
type commitEntry struct {
	job *jobState
	// change is the newest change that the written value includes.
	change uint64
}

// commitInFlight is a commit that was sent and has no result yet.
type commitInFlight struct {
	sentAt time.Time
	// cancel cancels the call.
	cancel context.CancelFunc
}

// flush starts commits of the changes that have to be stored. A job is in one commit at a time. While the store responds
// quickly, commits are sent one after the other, which keeps their number low; while it is slow, several are in flight.
func (p *Planner) flush() {
	p.cancelLostCommits()
	for p.mayCommit() && p.commit() {
	}
	if len(p.commitsInFlight) == 0 || p.flushScheduled || len(p.dirty) == 0 {
		return
	}
	// No other event may occur before the next commit is due, so a timer triggers the next pass.
	p.flushScheduled = true
	p.Clock.AfterFunc(commitSpacing, func() { p.post(func() { p.flushScheduled = false }) })
}

// mayCommit reports whether another commit may be sent now.
func (p *Planner) mayCommit() bool {
	now := p.Clock.Now()
	switch {
	case now.Before(p.nextCommitAt):
		return false
	case len(p.commitsInFlight) == 0:
		return true
	case !p.storeFailingSince.IsZero():
		// While commits fail, one at a time tests whether the store responds again.
		return false
	default:
		return len(p.commitsInFlight) < maxCommitsInFlight && now.Sub(p.commitsInFlight[len(p.commitsInFlight)-1].sentAt) >= commitSpacing
	}
}

// cancelLostCommits cancels the commits whose responses seem lost, since later commits got theirs. The next commit of the
// same jobs shows what was stored, so that no caller waits for the full timeout of a call.
func (p *Planner) cancelLostCommits() {
	now := p.Clock.Now()
	for _, c := range p.commitsInFlight {
		if c.sentAt.Before(p.answeredSentAt) && now.Sub(c.sentAt) > p.answerTimeout(answerLostAfter) {
			c.cancel()
		}
	}
}

// answerTimeout returns how long a commit may wait for its response before it is much slower than recent ones; least is the
// minimum.
func (p *Planner) answerTimeout(least time.Duration) time.Duration {
	return max(least, suspectFactor*p.usualCommitTime)
}

// storeSuspected reports whether a commit has waited for its response for much longer than recent ones did, and no later
// commit got one. New jobs are deferred then: a job that was sent to a store that is down can be reported neither as
// accepted nor as refused.
func (p *Planner) storeSuspected(now time.Time) bool {
	for _, c := range p.commitsInFlight {
		if c.sentAt.After(p.answeredSentAt) {
			return now.Sub(c.sentAt) > p.answerTimeout(suspectAfter)
		}
	}
	return false
}

// commit sends one commit and reports whether there was something to store.
func (p *Planner) commit() bool {
	now := p.Clock.Now()
	t := Txn{Preconditions: []Item{p.Term.Key()}}
	var entries []commitEntry
	size := 0
	for _, j := range p.jobsToCommit(now) {
		j.record.Progress.DropLateStarts(p.TimeOfDay().Add(-p.lateRunBound()))
		value, err := j.record.Encode()
		if err != nil {
			p.rejectUnencodable(j, err)
			continue
		}
		size += len(value)
		if len(entries) == maxCommitJobs || len(entries) > 0 && size > maxCommitBytes {
			break
		}
		t.Writes = append(t.Writes, Write{Key: jobPrefix + j.id(), Value: value, Expected: j.revision})
		entries = append(entries, commitEntry{job: j, change: j.lastChange})
		j.commitInFlight = true
	}
	var deletes []Item
	if capacity := maxCommitJobs - len(entries); !p.deletesInFlight && (len(entries) > 0 || len(p.pendingDeletes) >= minDeleteBatch) {
		deletes = p.pendingDeletes[:min(capacity, len(p.pendingDeletes))]
	}
	for _, item := range deletes {
		t.Writes = append(t.Writes, Write{Key: item.Key, Expected: item.Revision, Delete: true})
	}
	if len(t.Writes) == 0 {
		return false
	}
	ctx, cancel := context.WithTimeout(p.ctx, commitTimeout)
	p.commitsInFlight = append(p.commitsInFlight, commitInFlight{sentAt: now, cancel: cancel})
	p.deletesInFlight = p.deletesInFlight || len(deletes) > 0
	p.call(classCommit, func() func() {
		defer cancel()
		revision, err := p.Store.Commit(ctx, t)
		return func() { p.handleCommitResult(now, entries, len(deletes), revision, err) }
	})
	return true
}

// jobsToCommit returns the jobs with changes to store that are in no commit, in the order in which they are stored. The
// order matters when the store accepts fewer changes than arise: new jobs that callers wait for come first, then placements
// that wait to be started, then updates on running jobs. A change older than maxChangeDelay ranks with the first.
func (p *Planner) jobsToCommit(now time.Time) []*jobState {
	jobs := make([]*jobState, 0, len(p.dirty))
	rank := make(map[*jobState]int, len(p.dirty))
	suspect := p.storeSuspected(now)
	for j := range p.dirty {
		if j.commitInFlight || suspect && j.unsent() {
			continue
		}
		jobs = append(jobs, j)
		switch {
		case len(p.waiters[j]) > 0 || now.Sub(j.firstChangeAt) > maxChangeDelay:
			rank[j] = 0
		case j.lastPlacement > j.storedChange:
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

// rejectUnencodable removes a job whose record cannot be encoded from those to store, so that it does not block the others.
// A new job is rejected.
func (p *Planner) rejectUnencodable(j *jobState, err error) {
	p.Log.Event("record-not-encoded", "job", j.id(), "queue", j.record.Job.Queue, "revision", j.revision, "error", err)
	delete(p.dirty, j)
	if j.unsent() {
		p.withdraw(j, Result{Verdict: VerdictRefused, Reason: err.Error()})
	}
}

// handleCommitResult applies the result of a commit.
func (p *Planner) handleCommitResult(sent time.Time, entries []commitEntry, deletes int, revision int64, err error) {
	p.commitsInFlight = slices.DeleteFunc(p.commitsInFlight, func(c commitInFlight) bool { return c.sentAt.Equal(sent) })
	if deletes > 0 {
		p.deletesInFlight = false
	}
	for _, e := range entries {
		e.job.commitInFlight = false
	}
	now := p.Clock.Now()
	p.Metrics.Observe(metrics.CommitTime, now.Sub(sent))
	var conflict *ErrConflict
	switch {
	case err == nil:
		if !p.storeFailingSince.IsZero() {
			p.Log.Event("store-regained", "after", now.Sub(p.storeFailingSince))
		}
		p.storeFailingSince, p.lastRevision = time.Time{}, max(p.lastRevision, revision)
		p.recordStoreAnswer(sent)
		p.usualCommitTime = (p.usualCommitTime + now.Sub(sent)) / 2
		p.pendingDeletes = p.pendingDeletes[deletes:]
		for _, e := range entries {
			p.markStored(e, revision)
		}
	case errors.As(err, &conflict):
		p.recordStoreAnswer(sent)
		p.resolveConflict(entries, deletes, conflict)
	case p.answeredSentAt.After(sent) && !IsErrNotDone(err):
		// Later commits got a response, so only the response to this one is lost.
		p.Log.Event("commit-unanswered", "jobs", len(entries), "after", now.Sub(sent), "error", err)
		p.Metrics.Add(metrics.StoreErrors, 1)
		markMaybeStored(entries)
	default:
		if p.storeFailingSince.IsZero() {
			p.storeFailingSince = sent
			p.Log.Event("store-lost", "error", err)
		}
		p.Metrics.Add(metrics.StoreErrors, 1)
		p.nextCommitAt, p.lastCommitFailure = now.Add(commitRetryDelay), now
		if !IsErrNotDone(err) {
			markMaybeStored(entries)
		}
		p.withdrawUnstored(now)
	}
}

// markMaybeStored records that the store may have the jobs of a commit that got no response.
func markMaybeStored(entries []commitEntry) {
	for _, e := range entries {
		e.job.maybeStored = true
	}
}

// recordStoreAnswer records that the commit that was sent at the given time got a response.
func (p *Planner) recordStoreAnswer(sent time.Time) {
	if sent.After(p.answeredSentAt) {
		p.answeredSentAt = sent
	}
}

// withdrawUnstored rejects, once commits have failed for rejectAfter, the jobs that are certainly not in the store.
func (p *Planner) withdrawUnstored(now time.Time) {
	if now.Sub(p.storeFailingSince) < rejectAfter {
		return
	}
	for _, j := range p.jobs {
		if j.unsent() {
			p.withdraw(j, Result{Verdict: VerdictUnavailable, Reason: "the store does not answer"})
		}
	}
}

// markStored records that a job is stored up to a change, and runs the callbacks that waited for it.
func (p *Planner) markStored(e commitEntry, revision int64) {
	j := e.job
	j.revision, j.storedChange = revision, e.change
	if j.lastChange == e.change {
		j.firstChange, j.lastChange = 0, 0
		delete(p.dirty, j)
	} else {
		j.firstChange, j.firstChangeAt = e.change+1, p.Clock.Now()
	}
	for len(j.onStored) > 0 && j.onStored[0].change <= j.storedChange {
		f := j.onStored[0].run
		j.onStored = j.onStored[1:]
		f()
	}
}

// resolveConflict adopts the revisions that the store has. An earlier commit that got no response may have been executed,
// and another entry VM may have stored the same job.
func (p *Planner) resolveConflict(entries []commitEntry, deletes int, conflict *ErrConflict) {
	current := map[string]Item{}
	for _, i := range conflict.Items {
		current[i.Key] = i
	}
	if key := p.Term.Key(); current[key.Key].Revision != key.Revision {
		p.lostTerm = &ErrLostTerm{Reason: "the planner's key has changed"}
		return
	}
	for _, e := range entries {
		item, found := current[jobPrefix+e.job.id()]
		if found && item.Revision != e.job.revision {
			p.Log.Event("commit-conflict", "job", e.job.id(), "expected", e.job.revision, "revision", item.Revision)
			e.job.revision = item.Revision
		}
	}
	// A key that has changed is needed again, or is gone already.
	kept := slices.DeleteFunc(slices.Clone(p.pendingDeletes[:deletes]), func(i Item) bool { return current[i.Key].Revision != i.Revision })
	p.pendingDeletes = append(kept, p.pendingDeletes[deletes:]...)
}
