package engine

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"time"

	"clementinepier/workload"
)

// Jobs that are unloaded are left in the store until the planner has memory for them. It keeps what it needs to answer questions for them and to choose
// the next one to load.
const (
	// loadedShare is the part of the bound up to which jobs are unloaded, and from which on none are loaded again.
	loadedShare = 0.9
	// maxLoadsInFlight bounds the reads of unloaded jobs, and maxCancelsInFlight those that are read to be cancelled. Other reads of jobs have the rest of
	// the slots.
	maxLoadsInFlight   = 4
	maxCancelsInFlight = 8
)

// unloadedJob is what is kept of a job that is in the store and has no runs.
type unloadedJob struct {
	queue, organisation string
	state               workload.State
	begun               bool
	priority            int
	// accepted is a time of day.
	accepted time.Time
	// size is the number of bytes that the job takes in memory.
	size         int64
	beyondWeight bool
	// reading is set while the job is read.
	reading bool
}

// unload frees memory up to loadedShare of the bound, if more than the bound is in use: of the organisations that use most beyond their parts the
// least urgent jobs, the newest first, and those that have begun after the others.
func (p *Planner) unload() {
	m := &p.memory
	if m.limit == 0 || m.loaded <= m.unloadFrom {
		return
	}
	m.follow(p.Configuration())
	var jobs []*jobState
	for _, j := range p.active {
		if j.unloadable() {
			jobs = append(jobs, j)
		}
	}
	slices.SortFunc(jobs, func(a, b *jobState) int {
		x, y := &a.record.Job, &b.record.Job
		return cmp.Or(cmp.Compare(m.shares.Excess(y.Organisation), m.shares.Excess(x.Organisation)), compareBools(a.begun, b.begun),
			cmp.Compare(y.Priority, x.Priority), y.Accepted.Compare(x.Accepted), cmp.Compare(x.ID, y.ID))
	})
	unloaded := 0
	for _, j := range jobs {
		if float64(m.loaded) <= loadedShare*float64(m.limit) {
			break
		}
		p.unloadJob(j)
		unloaded++
	}
	m.unloadFrom = max(m.limit, m.loaded+m.limit-int64(loadedShare*float64(m.limit)))
	p.Log.Event("jobs-unloaded", "jobs", unloaded, "unloaded", len(p.unloaded), "loaded-bytes", m.loaded, "limit", m.limit)
}

// compareBools orders false before true.
func compareBools(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	default:
		return 1
	}
}

// unloadable reports whether the job can be left in the store: the record there has everything about it that is needed, and no task of it that lasts
// would be away meanwhile.
func (j *jobState) unloadable() bool {
	return j.revision != 0 && j.lastChange == 0 && !j.commitInFlight && len(j.onStored) == 0 && len(j.groups) == 0 && len(j.failedOn) == 0 &&
		len(j.record.Progress.LateStarts) == 0 && !j.state().Ended() &&
		!slices.ContainsFunc(j.record.Job.Steps, func(s workload.Step) bool { return s.LongRunning })
}

func (p *Planner) unloadJob(j *jobState) {
	job := &j.record.Job
	delete(p.jobs, job.ID)
	delete(p.active, job.ID)
	p.unloaded[job.ID] = &unloadedJob{
		queue: job.Queue, organisation: job.Organisation, state: j.state(), begun: j.begun, priority: job.Priority, accepted: job.Accepted, size: j.size,
		beyondWeight: j.beyondWeight,
	}
	p.memory.loaded += unloadedSize - j.size
}

// loadUnloaded reads unloaded jobs as far as there is room, the most urgent first.
func (p *Planner) loadUnloaded() {
	m := &p.memory
	limit := int64(loadedShare * float64(m.limit))
	if len(p.unloaded) == 0 || m.loaded >= limit || m.loadsInFlight >= maxLoadsInFlight {
		return
	}
	ids := slices.SortedFunc(maps.Keys(p.unloaded), func(a, b string) int {
		x, y := p.unloaded[a], p.unloaded[b]
		return cmp.Or(cmp.Compare(x.priority, y.priority), x.accepted.Compare(y.accepted), cmp.Compare(a, b))
	})
	for _, id := range ids {
		u := p.unloaded[id]
		if u.reading {
			continue
		}
		// A job that is larger than the bound is loaded once nothing else is.
		if m.loadsInFlight >= maxLoadsInFlight || m.loaded+u.size > limit && len(p.active)+m.loadsInFlight > 0 {
			return
		}
		p.loadJob(id, func() {})
	}
}

// loadJob reads an unloaded job and then calls a function, whether the job could be read or not.
func (p *Planner) loadJob(id string, then func()) {
	m, u := &p.memory, p.unloaded[id]
	u.reading = true
	m.loadsInFlight++
	m.loaded += u.size
	p.call(classRead, func() func() {
		ctx, cancel := context.WithTimeout(p.ctx, loadTimeout)
		defer cancel()
		item, err := p.Store.Get(ctx, jobPrefix+id)
		return func() {
			m.loadsInFlight--
			m.loaded -= u.size
			u.reading = false
			if p.unloaded[id] == u {
				p.adoptUnloaded(id, item, err)
			}
			then()
		}
	})
}

// adoptUnloaded adds an unloaded job that was read to the loaded ones.
func (p *Planner) adoptUnloaded(id string, item Item, err error) {
	switch {
	case IsErrNotExist(err):
		p.Log.Event("unloaded-job-missing", "job", id)
		p.forgetUnloaded(id)
	case err != nil:
		p.Log.Event("unloaded-job-unread", "job", id, "error", err)
	case p.adoptJob(item) == nil:
		p.forgetUnloaded(id)
	}
}

// forgetUnloaded drops what is kept of an unloaded job.
func (p *Planner) forgetUnloaded(id string) {
	u := p.unloaded[id]
	delete(p.unloaded, id)
	p.memory.shares.Add(u.organisation, -u.size)
	p.memory.loaded -= unloadedSize
}
