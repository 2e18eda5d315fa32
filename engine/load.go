package engine

import (
	"cmp"
	"context"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"

	"clementinepier/codec"
	"clementinepier/workload"
)

const (
	// loadTimeout bounds one listing or read of the store.
	loadTimeout = 5 * time.Second
	// watchWait is how long a watch waits for a change. A dead connection is detected after it.
	watchWait = time.Second
	// watchTimeout bounds a watch, in addition to its wait.
	watchTimeout = 800 * time.Millisecond
	// watchInterval is the pause after a watch. It batches changes, since each response of a watch counts as a call and
	// workers update their registrations all the time. It is short because a worker that leaves has to be known within 2 s.
	watchInterval = 250 * time.Millisecond
	// watchRetryDelay is the pause after a failed watch, listing or read.
	watchRetryDelay = 100 * time.Millisecond
)

// marker is the value of a submission marker. Another entry VM writes one when it stores a job, or wants to cancel one, and
// cannot reach the planner.
type marker struct {
	// Cancel means that the job is to be cancelled.
	Cancel bool `cbor:"1,keyasint,omitempty"`
}

// load reads the jobs and the workers from the store.
func (p *Planner) load(ctx context.Context) error {
	if err := p.loadLeaseNote(ctx); err != nil {
		return err
	}
	if err := p.loadJobs(ctx); err != nil {
		return err
	}
	p.countLoadedAgainstWeight()
	markers, err := p.list(ctx, markerPrefix)
	if err != nil {
		return err
	}
	for _, item := range markers.items {
		p.handleMarker(item)
	}
	registrations, err := p.list(ctx, p.RegistrationPrefix)
	if err != nil {
		return err
	}
	for _, item := range registrations.items {
		p.handleRegistration(item)
	}
	p.markersRevision, p.registrationsRevision, p.registrationsKnownAt = markers.revision, registrations.revision, registrations.startedAt
	p.registrationsKnownSince = registrations.startedAt
	p.planNeeded = true
	return nil
}

// loadJobs reads the jobs page by page, and keeps what it needs of each before it reads the next.
func (p *Planner) loadJobs(ctx context.Context) error {
	last := ""
	for {
		pageCtx, cancel := context.WithTimeout(ctx, loadTimeout)
		more, err := p.Store.Scan(pageCtx, jobPrefix, last, func(item Item) {
			last = item.Key
			if j := p.adoptJob(item); j != nil {
				p.reduceEndedJob(j)
			}
			p.unload()
		})
		cancel()
		switch {
		case err == nil && !more:
			return nil
		case err == nil:
			continue
		}
		// The items of the page that have arrived are kept, so the next page begins after them.
		p.Log.Event("list-failed", "prefix", jobPrefix, "after", last, "error", err)
		select {
		case <-ctx.Done():
			return errors.Wrap(ctx.Err(), "list jobs")
		case <-p.Clock.After(watchRetryDelay):
		}
		if err := p.Term.Err(); err != nil {
			return err
		}
	}
}

// countLoadedAgainstWeight counts the jobs that were read against the weights of their organisations, in the order of their acceptance.
func (p *Planner) countLoadedAgainstWeight() {
	type counted struct {
		id, organisation string
		accepted         time.Time
		// beyond is set to whether the job is beyond the weight.
		beyond *bool
	}
	jobs := make([]counted, 0, len(p.jobs)+len(p.ended)+len(p.unloaded))
	for id, j := range p.jobs {
		jobs = append(jobs, counted{id, j.record.Job.Organisation, j.record.Job.Accepted, &j.beyondWeight})
	}
	for id, u := range p.unloaded {
		jobs = append(jobs, counted{id, u.organisation, u.accepted, &u.beyondWeight})
	}
	for id, e := range p.ended {
		jobs = append(jobs, counted{id, e.organisation, e.accepted, new(bool)})
	}
	slices.SortFunc(jobs, func(a, b counted) int { return cmp.Or(a.accepted.Compare(b.accepted), cmp.Compare(a.id, b.id)) })
	for _, j := range jobs {
		*j.beyond = p.takesBeyondWeight(j.organisation, j.accepted)
	}
}

// listing is the content of a prefix as of a revision.
type listing struct {
	items    []Item
	revision int64
	// startedAt is when the listing began.
	startedAt time.Time
}

func (p *Planner) list(ctx context.Context, prefix string) (listing, error) {
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	for {
		start := p.Clock.Now()
		items, revision, err := p.Store.List(ctx, prefix)
		if err == nil {
			return listing{items: items, revision: revision, startedAt: start}, nil
		}
		p.Log.Event("list-failed", "prefix", prefix, "error", err)
		select {
		case <-ctx.Done():
			return listing{}, errors.Wrapf(err, "list %s", prefix)
		case <-p.Clock.After(watchRetryDelay):
		}
		if err := p.Term.Err(); err != nil {
			return listing{}, err
		}
	}
}

// adoptJob adds a job from the store to the planner's memory. It returns nil if the record cannot be read.
func (p *Planner) adoptJob(item Item) *jobState {
	record, err := workload.DecodeRecord(item.Value)
	if err != nil {
		p.Log.Event("record-unreadable", "key", item.Key, "error", err)
		return nil
	}
	age := max(0, p.TimeOfDay().Sub(record.Job.Accepted))
	j := newJobState(*record, p.Clock.Now().Add(-age))
	if u, ok := p.unloaded[j.id()]; ok {
		j.beyondWeight = u.beyondWeight
		p.forgetUnloaded(j.id())
	}
	p.memory.add(j.record.Job.Organisation, j.size)
	j.revision = item.Revision
	j.begun = record.Progress.HasOutcome()
	p.jobs[j.id()] = j
	if !j.state().Ended() {
		p.active[j.id()] = j
	} else {
		j.endedSince = p.Clock.Now().Add(-max(0, p.TimeOfDay().Sub(record.Progress.Ended)))
	}
	p.inheritRuns(j)
	p.inheritLateStarts(j)
	p.inheritOrderedWorkers(j)
	p.planNeeded = true
	return j
}

// inheritRuns creates runs for the tasks that an earlier planner has placed.
func (p *Planner) inheritRuns(j *jobState) {
	now := p.Clock.Now()
	for k, steps := range j.record.Progress.Tasks {
		for s, tasks := range steps {
			for i := range tasks {
				t := &tasks[i]
				if t.Phase != workload.PhasePlaced {
					continue
				}
				step := &j.record.Job.Steps[s]
				key := groupKey{occurrence: k, step: s, index: i}
				if step.Gang {
					key.index = -1
				}
				g, ok := j.groups[key]
				if !ok {
					g = &group{job: j, key: key, startedAt: now}
					j.groups[key] = g
				}
				r := p.addRun(g, workload.TaskID{Job: j.id(), Occurrence: k, Step: s, Index: i}, t.Run, p.workerByID(t.Worker))
				r.phase, r.checkpoint, r.startedFrom = runDoubtful, t.Checkpoint, unknownCheckpoint
				if j.state().Ended() {
					r.stopRequested = true
				}
			}
		}
	}
}

// inheritLateStarts adds the starts without a response that an earlier planner has recorded.
func (p *Planner) inheritLateStarts(j *jobState) {
	if j.state().Ended() {
		return
	}
	for _, s := range j.record.Progress.LateStarts {
		age := max(0, p.TimeOfDay().Sub(s.Sent))
		if age >= p.lateRunBound() {
			continue
		}
		late := &lateStart{
			job: j.id(), key: groupKey{occurrence: s.Occurrence, step: s.Step, index: s.Index}, run: s.Run, sent: p.Clock.Now().Add(-age),
			incarnation: s.Incarnation, assumed: s.Assumed,
		}
		if s.Index >= 0 {
			late.tasks = []int{s.Index}
		}
		p.workerByID(s.Worker).recordLateStart(late)
	}
}

// workerByID returns the worker with an ID and creates it if necessary. The worker need not be registered any more.
func (p *Planner) workerByID(id string) *workerState {
	w, ok := p.workers[id]
	if !ok {
		w = &workerState{registration: Registration{ID: id}, fence: max(p.lastRevision, p.forgottenFence), runs: map[string]*run{}}
		w.incarnation, w.incarnationSince = p.leaseNote.inherited.Incarnations[id], p.started
		w.entryMissingSince = p.Clock.Now()
		w.grantLeaseUntil(p.started, p.started.Add(p.inheritedLeaseBound(id)))
		p.workers[id] = w
		p.invalidateFleets()
	}
	return w
}

// handleMarker applies a submission marker of another entry VM, and reads its job first if the planner does not know it.
func (p *Planner) handleMarker(item Item) {
	if item.Deleted {
		return
	}
	var m marker
	if err := codec.Unmarshal(item.Value, &m); err != nil {
		p.Log.Event("marker-unreadable", "key", item.Key, "error", err)
		return
	}
	id := strings.TrimPrefix(item.Key, markerPrefix)
	if _, ended := p.ended[id]; ended {
		p.deleteMarker(item)
		return
	}
	j, known := p.jobs[id]
	if known {
		p.applyMarker(j, m, item)
		return
	}
	p.call(classRead, func() func() {
		ctx, cancel := context.WithTimeout(p.ctx, loadTimeout)
		defer cancel()
		record, err := p.Store.Get(ctx, jobPrefix+id)
		return func() { p.handleMarkedJob(id, m, item, record, err) }
	})
}

// handleMarkedJob adopts a job that was read because of a marker, and applies the marker.
func (p *Planner) handleMarkedJob(id string, m marker, markerItem, record Item, err error) {
	j, known := p.jobs[id]
	if !known {
		if IsErrNotExist(err) {
			p.deleteMarker(markerItem)
			return
		}
		if err != nil {
			p.Log.Event("marked-job-unread", "job", id, "error", err)
			p.Clock.AfterFunc(watchRetryDelay, func() { p.post(func() { p.handleMarker(markerItem) }) })
			return
		}
		_, counted := p.unloaded[id]
		if j = p.adoptJob(record); j == nil {
			return
		}
		if !counted {
			p.countAgainstWeight(j)
		}
		p.Log.Event("job-adopted", "job", id, "queue", j.record.Job.Queue, "age", p.Clock.Since(j.accepted))
	}
	p.applyMarker(j, m, markerItem)
}

func (p *Planner) applyMarker(j *jobState, m marker, item Item) {
	// The store has the job, so the planner must not withdraw it, even if the planner's own writes of it fail.
	j.maybeStored = true
	change := j.lastChange
	if m.Cancel {
		change = p.cancel(j)
	}
	p.whenStored(j, change, func() { p.deleteMarker(item) })
	p.unload()
}

// deleteMarker deletes a marker that has been applied, unless another entry VM has written a newer one under its key.
func (p *Planner) deleteMarker(item Item) {
	p.pendingDeletes = append(p.pendingDeletes, Item{Key: item.Key, Revision: item.Revision})
}

// watch passes every change under a prefix after a revision to handle, on the control goroutine, until ctx ends. The
// returned channel is closed then.
func (p *Planner) watch(ctx context.Context, prefix string, revision int64, handle func(Item)) <-chan struct{} {
	done := make(chan struct{})
	go func() {
		defer close(done)
		wait := watchWait
		for ctx.Err() == nil {
			var err error
			if revision, err = p.watchOnce(ctx, prefix, revision, wait, handle); err != nil {
				// Whether anything has changed meanwhile is needed at once: no run is started before.
				wait = 0
				continue
			}
			wait = watchWait
		}
	}()
	return done
}

// watchOnce waits for changes after a revision and returns the revision to continue from. If the store no longer has the
// history, it lists the prefix again.
func (p *Planner) watchOnce(ctx context.Context, prefix string, revision int64, wait time.Duration, handle func(Item)) (int64, error) {
	start := p.Clock.Now()
	outage := p.outageEnd.Load()
	callCtx, cancel := context.WithTimeout(outage.ctx, wait+watchTimeout)
	events, next, err := p.Store.Watch(callCtx, prefix, revision, wait)
	cancel()
	if IsErrCompacted(err) {
		events, next, err = p.relist(ctx, prefix)
	}
	pause := watchInterval
	switch {
	case err != nil:
		if ctx.Err() == nil {
			p.Log.Event("watch-failed", "prefix", prefix, "after", revision, "error", err)
		}
		next, pause = revision, watchRetryDelay
		if outage.ctx.Err() != nil {
			pause = 0
		}
	default:
		p.post(func() {
			for _, e := range events {
				handle(e)
			}
			if prefix == p.RegistrationPrefix {
				p.recordRegistrationsKnown(knownAsOf(start, wait, len(events) == 0))
			}
		})
	}
	select {
	case <-ctx.Done():
	case <-p.Clock.After(pause):
	}
	return next, err
}

// recordRegistrationsKnown records that all changes of registrations up to the given time are known.
func (p *Planner) recordRegistrationsKnown(at time.Time) {
	if at.Sub(p.registrationsKnownAt) > maxRegistrationAge {
		p.registrationsKnownSince = at
	}
	p.registrationsKnownAt = at
}

// knownAsOf returns the time up to which a watch that began at start has reported all changes. A watch without changes gets
// its response when its wait is over.
func knownAsOf(start time.Time, wait time.Duration, timedOut bool) time.Time {
	if timedOut {
		return start.Add(wait)
	}
	return start
}

// relist returns the content of a prefix as events, including deletions for the workers whose registration is gone.
func (p *Planner) relist(ctx context.Context, prefix string) ([]Item, int64, error) {
	l, err := p.list(ctx, prefix)
	if err != nil {
		return nil, 0, err
	}
	if prefix != p.RegistrationPrefix {
		return l.items, l.revision, nil
	}
	present := map[string]bool{}
	for _, i := range l.items {
		present[i.Key] = true
	}
	err = p.do(ctx, func() {
		for id, w := range p.workers {
			if (w.registered || w.unverified != nil || w.outdated != nil) && !present[prefix+id] {
				l.items = append(l.items, Item{Key: prefix + id, Deleted: true, Revision: l.revision})
			}
		}
	})
	return l.items, l.revision, err
}
