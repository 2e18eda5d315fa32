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

// flush starts a commit of the oldest changes unless one is under way.
func (p *Planner) flush() {
	now := p.Clock.Now()
	if p.committing || now.Before(p.commitAfter) || len(p.dirty) == 0 && len(p.deletes) < deletesWait {
		return
	}
	jobs := make([]*jobState, 0, len(p.dirty))
	for j := range p.dirty {
		jobs = append(jobs, j)
	}
	slices.SortFunc(jobs, func(a, b *jobState) int { return cmp.Compare(a.firstChange, b.firstChange) })
	t := Txn{Holds: []Item{p.Term.Key()}}
	var entries []entry
	size := 0
	for _, j := range jobs {
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
	room := MaxTxnEntries - 1 - 2*len(entries)
	if len(entries) == 0 && len(p.deletes) == 0 {
		return
	}
	deletes := p.deletes[:min(room, len(p.deletes))]
	for _, key := range deletes {
		t.Writes = append(t.Writes, Write{Key: key, Expected: AnyRevision, Delete: true})
	}
	p.committing, p.commitFrom = true, now
	p.call(classStore, func() func() {
		ctx, cancel := context.WithTimeout(p.ctx, commitTimeout)
		defer cancel()
		revision, err := p.Store.Commit(ctx, t)
		return func() { p.committed(entries, len(deletes), revision, err) }
	})
}

// dropUnencodable keeps a job that has no record from holding up all others. A new one is turned away.
func (p *Planner) dropUnencodable(j *jobState, err error) {
	p.Log.Event("record-not-encoded", "job", j.id(), "queue", j.record.Job.Queue, "revision", j.revision, "error", err)
	delete(p.dirty, j)
	if j.revision == 0 && !j.offered {
		p.withdraw(j, Result{Verdict: VerdictRefused, Reason: err.Error()})
	}
}

// committed takes in the outcome of a commit.
func (p *Planner) committed(entries []entry, deletes int, revision int64, err error) {
	p.committing = false
	for _, e := range entries {
		e.job.writing = false
	}
	now := p.Clock.Now()
	p.Metrics.Observe(metrics.CommitTime, now.Sub(p.commitFrom))
	var conflict *ErrConflict
	switch {
	case err == nil:
		if !p.storeFailing.IsZero() {
			p.Log.Event("store-regained", "after", now.Sub(p.storeFailing))
		}
		p.storeFailing = time.Time{}
		p.deletes = p.deletes[deletes:]
		for _, e := range entries {
			p.stored(e, revision)
		}
		p.settleDurable()
	case errors.As(err, &conflict):
		p.resolveConflict(entries, conflict)
	default:
		if p.storeFailing.IsZero() {
			p.storeFailing = p.commitFrom
			p.Log.Event("store-lost", "error", err)
		}
		p.Metrics.Add(metrics.StoreErrors, 1)
		p.commitAfter, p.storeFailed = now.Add(commitRetry), now
		if !IsErrNotDone(err) {
			for _, e := range entries {
				e.job.offered = true
			}
		}
		p.withdrawUnstored(now)
	}
}

// withdrawUnstored turns away the jobs that cannot be stored, as long as it is certain that none of them was.
func (p *Planner) withdrawUnstored(now time.Time) {
	if now.Sub(p.storeFailing) < failingAfter {
		return
	}
	for _, j := range p.jobs {
		if j.revision == 0 && !j.offered {
			p.withdraw(j, Result{Verdict: VerdictUnavailable, Reason: "the store does not answer"})
		}
	}
}

func (p *Planner) stored(e entry, revision int64) {
	e.job.revision = revision
	if e.job.lastChange == e.change {
		e.job.firstChange, e.job.lastChange = 0, 0
		delete(p.dirty, e.job)
		return
	}
	e.job.firstChange = e.change + 1
}

// settleDurable runs what waited for changes that are stored now.
func (p *Planner) settleDurable() {
	p.durable = p.change
	for j := range p.dirty {
		p.durable = min(p.durable, j.firstChange-1)
	}
	slices.SortStableFunc(p.waiting, func(a, b durableCall) int { return cmp.Compare(a.change, b.change) })
	for len(p.waiting) > 0 && p.waiting[0].change <= p.durable {
		f := p.waiting[0].run
		p.waiting = p.waiting[1:]
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
		p.deposed = &ErrDeposed{Reason: "the planner's key has changed"}
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
