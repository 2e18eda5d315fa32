package engine

import (
	"context"
	"strings"
	"time"

	"github.com/pkg/errors"

	"clementinepier/codec"
	"clementinepier/workload"
)

const (
	// loadTimeout bounds one listing of the store.
	loadTimeout = 5 * time.Second
	// watchWait is how long a watch waits for a change; a silent connection is noticed after it.
	watchWait = time.Second
	// watchTimeout bounds the watch on top of its wait.
	watchTimeout = 800 * time.Millisecond
	// watchPause gathers changes, since each answer of a watch counts as a call. Workers change their entries all the
	// time, and a worker that leaves has to be known within 2 s.
	watchPause = 250 * time.Millisecond
	// watchRetry is the pause after a watch that failed.
	watchRetry = 100 * time.Millisecond
)

// marker tells the planner of something that another entry VM has stored while it could not reach the planner.
type marker struct {
	Cancel bool `cbor:"1,keyasint,omitempty"`
}

// load reads the jobs and the workers from the store.
func (p *Planner) load(ctx context.Context) error {
	jobs, err := p.list(ctx, jobPrefix)
	if err != nil {
		return err
	}
	for _, item := range jobs.items {
		p.adopt(item)
	}
	markers, err := p.list(ctx, markerPrefix)
	if err != nil {
		return err
	}
	for _, item := range markers.items {
		p.takeMarker(item)
	}
	adverts, err := p.list(ctx, p.RegistrationPrefix)
	if err != nil {
		return err
	}
	for _, item := range adverts.items {
		p.takeAdvert(item)
	}
	p.markersAt, p.advertsAt, p.advertsSeen = markers.at, adverts.at, adverts.from
	p.replan = true
	return nil
}

// listing is the content of a prefix as of a revision.
type listing struct {
	items []Item
	at    int64
	// from is when the listing was begun.
	from time.Time
}

func (p *Planner) list(ctx context.Context, prefix string) (listing, error) {
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	for {
		from := p.Clock.Now()
		items, at, err := p.Store.List(ctx, prefix)
		if err == nil {
			return listing{items: items, at: at, from: from}, nil
		}
		p.Log.Event("list-failed", "prefix", prefix, "error", err)
		select {
		case <-ctx.Done():
			return listing{}, errors.Wrapf(err, "list %s", prefix)
		case <-p.Clock.After(watchRetry):
		}
		if err := p.Term.Err(); err != nil {
			return listing{}, err
		}
	}
}

// adopt takes in a job that the store has.
func (p *Planner) adopt(item Item) *jobState {
	record, err := workload.DecodeRecord(item.Value)
	if err != nil {
		p.Log.Event("record-unreadable", "key", item.Key, "error", err)
		return nil
	}
	age := max(0, p.TimeOfDay().Sub(record.Job.Accepted))
	j := newJobState(*record, p.Clock.Now().Add(-age))
	j.revision = item.Revision
	p.jobs[j.id()] = j
	if !j.state().Ended() {
		p.active[j.id()] = j
	}
	p.inherit(j)
	p.replan = true
	return j
}

// inherit makes runs of the tasks that an earlier planner has placed.
func (p *Planner) inherit(j *jobState) {
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
					g = &group{job: j, key: key, started: now}
					j.groups[key] = g
				}
				r := p.newRun(g, workload.TaskID{Job: j.id(), Occurrence: k, Step: s, Index: i}, t.Run, p.worker(t.Worker))
				r.phase, r.checkpoint = runInherited, t.Checkpoint
				if j.state().Ended() {
					r.stopWanted = true
				}
			}
		}
	}
}

// worker returns the worker with an id, which may not be listed any more.
func (p *Planner) worker(id string) *workerState {
	w, ok := p.workers[id]
	if !ok {
		w = &workerState{advert: Registration{ID: id}, runs: map[string]*run{}, granted: p.started.Add(p.leaseBound(p.Bounds.MaxLease))}
		p.workers[id] = w
		p.staleFleets()
	}
	return w
}

// takeMarker takes in what another entry VM has stored.
func (p *Planner) takeMarker(item Item) {
	if item.Deleted {
		return
	}
	var m marker
	if err := codec.Unmarshal(item.Value, &m); err != nil {
		p.Log.Event("marker-unreadable", "key", item.Key, "error", err)
		return
	}
	id := strings.TrimPrefix(item.Key, markerPrefix)
	j, known := p.jobs[id]
	if known {
		p.applyMarker(j, m, item.Key)
		return
	}
	p.call(classRead, func() func() {
		ctx, cancel := context.WithTimeout(p.ctx, loadTimeout)
		defer cancel()
		record, err := p.Store.Get(ctx, jobPrefix+id)
		return func() { p.takeMarked(id, m, item, record, err) }
	})
}

// takeMarked takes in a job that was read because of a marker.
func (p *Planner) takeMarked(id string, m marker, from, record Item, err error) {
	j, known := p.jobs[id]
	if !known {
		if IsErrNotExist(err) {
			p.deletes = append(p.deletes, from.Key)
			return
		}
		if err != nil {
			p.Log.Event("marked-job-unread", "job", id, "error", err)
			p.Clock.AfterFunc(watchRetry, func() { p.post(func() { p.takeMarker(from) }) })
			return
		}
		if j = p.adopt(record); j == nil {
			return
		}
		p.Log.Event("job-adopted", "job", id, "queue", j.record.Job.Queue, "age", p.Clock.Since(j.accepted))
	}
	p.applyMarker(j, m, from.Key)
}

func (p *Planner) applyMarker(j *jobState, m marker, key string) {
	if m.Cancel {
		p.whenStored(j, p.cancel(j), func() { p.deletes = append(p.deletes, key) })
		return
	}
	// The store has the job, so it is not turned away any more, also when this planner's own writes of it are refused.
	j.offered = true
	p.whenStored(j, j.lastChange, func() { p.deletes = append(p.deletes, key) })
}

// takeAdvert takes in a worker's entry.
func (p *Planner) takeAdvert(item Item) {
	id := strings.TrimPrefix(item.Key, p.RegistrationPrefix)
	if item.Deleted {
		if w, ok := p.workers[id]; ok && w.listed {
			w.unlist(p.Clock.Now())
			p.Log.Event("worker-unlisted", "worker", id, "runs", len(w.runs), "revision", item.Revision)
		}
		return
	}
	advert, err := p.DecodeRegistration(item.Key, item.Value)
	if err != nil {
		p.Log.Event("advert-unreadable", "key", item.Key, "error", err)
		if w, ok := p.workers[id]; ok {
			w.unlist(p.Clock.Now())
		}
		return
	}
	w := p.worker(id)
	if advert.Incarnation != 0 && advert.Incarnation < w.born {
		// The worker has answered in a newer life, which the store does not show yet; what it said before holds no more.
		p.Log.Event("advert-outdated", "worker", id, "born", advert.Incarnation, "known", w.born, "revision", item.Revision)
		return
	}
	if !w.listed {
		p.Log.Event("worker-listed", "worker", id, "failure-domain", advert.FailureDomain, "rack", advert.Rack, "revision", item.Revision)
	}
	if w.advert.Address != advert.Address {
		w.known = false
	}
	w.advert, w.listed = advert, true
	p.staleFleets()
	p.attend(w)
	p.takeLife(w, advert.Incarnation)
	p.takeDraining(w, advert.Draining, advert.DrainRemaining)
	p.replan = true
}

// takeDraining notes that a worker leaves.
func (p *Planner) takeDraining(w *workerState, draining bool, left time.Duration) {
	if !draining {
		return
	}
	end := p.Clock.Now().Add(left)
	if !w.draining {
		p.Log.Event("worker-draining", "worker", w.id(), "runs", len(w.runs), "left", left)
		w.drainEnd = end
	}
	w.draining = true
	if left > 0 {
		w.drainEnd = end
	}
}

// watch hands every change under a prefix to take, on the control goroutine, until ctx ends. The channel is closed then.
func (p *Planner) watch(ctx context.Context, prefix string, at int64, take func(Item)) <-chan struct{} {
	done := make(chan struct{})
	go func() {
		defer close(done)
		for ctx.Err() == nil {
			at = p.watchOnce(ctx, prefix, at, take)
		}
	}()
	return done
}

// watchOnce waits for changes after a revision and returns the revision to go on from. When history is missing it lists
// the prefix again.
func (p *Planner) watchOnce(ctx context.Context, prefix string, at int64, take func(Item)) int64 {
	from := p.Clock.Now()
	callCtx, cancel := context.WithTimeout(ctx, watchWait+watchTimeout)
	events, next, err := p.Store.Watch(callCtx, prefix, at, watchWait)
	cancel()
	if IsErrCompacted(err) {
		events, next, err = p.relist(ctx, prefix)
	}
	pause := watchPause
	switch {
	case err != nil:
		if ctx.Err() == nil {
			p.Log.Event("watch-failed", "prefix", prefix, "after", at, "error", err)
		}
		next, pause = at, watchRetry
	default:
		p.post(func() {
			for _, e := range events {
				take(e)
			}
			if prefix == p.RegistrationPrefix {
				p.advertsSeen = p.knownAt(from, len(events) == 0)
			}
		})
	}
	select {
	case <-ctx.Done():
	case <-p.Clock.After(pause):
	}
	return next
}

// knownAt returns as of when a watch that was begun at from has told everything. A watch that has waited in vain is
// answered when its wait is over.
func (p *Planner) knownAt(from time.Time, waited bool) time.Time {
	if waited {
		return from.Add(watchWait)
	}
	return from
}

// relist returns the content of a prefix as events, with deletions for the workers that are no longer listed.
func (p *Planner) relist(ctx context.Context, prefix string) ([]Item, int64, error) {
	l, err := p.list(ctx, prefix)
	if err != nil {
		return nil, 0, err
	}
	if prefix != p.RegistrationPrefix {
		return l.items, l.at, nil
	}
	present := map[string]bool{}
	for _, i := range l.items {
		present[i.Key] = true
	}
	err = p.do(ctx, func() {
		for id, w := range p.workers {
			if w.listed && !present[prefix+id] {
				l.items = append(l.items, Item{Key: prefix + id, Deleted: true, Revision: l.at})
			}
		}
	})
	return l.items, l.at, err
}
