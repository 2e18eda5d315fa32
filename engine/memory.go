package engine

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"time"
	"unsafe"

	"clementinepier/memory"
	"clementinepier/metrics"
	"clementinepier/policy"
	"clementinepier/workload"
)

// The planner keeps what it decides by in memory, and bounds it by Planner.JobMemory. New jobs beyond the bound are refused. Jobs that are stored
// already are kept, also if another planner with more memory has accepted them: those without runs are unloaded, that is left in the store
// until there is room. Of ended jobs only the state is kept.
//
// Load pattern: callers that send large jobs, or very many, and a successor with less memory than the planner before it.
const (
	// jobSize is what a job takes in bytes beside its texts, steps and tasks.
	jobSize = 3 << 10
	// mapEntrySize is about what an entry of a map takes in bytes beside its value, with an ID of a job as the key.
	mapEntrySize = 128
	// stepSize and taskSize are what a step and one of its tasks take in bytes, stepSize for each occurrence: lists and times of the step, and the
	// unit that planning makes of a task that waits.
	stepSize = int64(2*unsafe.Sizeof([]workload.TaskProgress{}) + unsafe.Sizeof(time.Time{}))
	taskSize = int64(unsafe.Sizeof(workload.TaskProgress{})+unsafe.Sizeof(policy.Unit{})) + 64
	// endedSize and unloadedSize are what is kept of a job that has ended or is unloaded.
	endedSize    = mapEntrySize + int64(unsafe.Sizeof(endedJob{}))
	unloadedSize = mapEntrySize + int64(unsafe.Sizeof(unloadedJob{}))
	// loadedShare is the part of the bound up to which jobs are unloaded, and from which on none are loaded again.
	loadedShare = 0.9
	// maxLoadsInFlight bounds the reads of unloaded jobs, and maxCancelsInFlight those that are read to be cancelled. Other reads of jobs have the rest of
	// the slots.
	maxLoadsInFlight   = 4
	maxCancelsInFlight = 8
	// jobMemoryInterval is how often ended jobs are searched for.
	jobMemoryInterval = time.Second
	// minRoomRetryAfter and maxRoomRetryAfter bound the retry delay of jobs that do not fit into memory.
	minRoomRetryAfter = time.Second
	maxRoomRetryAfter = time.Minute
)

// jobMemory counts the memory for jobs. The zero value counts without a bound.
type jobMemory struct {
	// limit is the bound in bytes; 0 means none.
	limit int64
	// shares has what the organisations have in the store and in memory. A job counts with the size that it has when it is loaded.
	shares *memory.Shares
	// conf is the configuration that shares goes by.
	conf *Configuration
	// loaded is the number of bytes in memory, with those of reads in flight.
	loaded int64
	// released is the number of bytes that jobs gave back since checkedAt, and releaseRate is how many they gave back a second before.
	released    int64
	releaseRate float64
	checkedAt   time.Time
	// loadsInFlight is the number of reads of unloaded jobs.
	loadsInFlight int
	// unloadFrom is the number of bytes from which on jobs are unloaded: the bound, or for a short time more if the rest cannot be unloaded, so that not
	// each further job searches for others.
	unloadFrom int64
}

func newJobMemory(limit int64) jobMemory {
	return jobMemory{limit: limit, shares: memory.NewShares(limit), unloadFrom: limit}
}

// follow makes the organisations' parts those of the configuration.
func (m *jobMemory) follow(conf *Configuration) {
	if conf != m.conf {
		m.conf = conf
		m.shares.SetWeights(memoryWeights(conf))
	}
}

// endedJob is what is kept of a job that has ended, whose end is stored and of which no run can exist any more.
type endedJob struct {
	state        workload.State
	organisation string
	// ended and accepted are times of day.
	ended, accepted time.Time
	revision        int64
}

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

// sizeOf returns about how many bytes a job takes in memory until it has ended.
func sizeOf(job *workload.Job) int64 {
	size := int64(jobSize + job.Size())
	for i := range job.Steps {
		s := &job.Steps[i]
		size += int64(job.Occurrences()) * (stepSize + int64(s.Tasks)*taskSize)
	}
	return size
}

// roomRefusal reports whether a new job is rejected for want of memory, and the result for its caller.
func (p *Planner) roomRefusal(job *workload.Job) (Result, bool) {
	m := &p.memory
	if m.limit == 0 {
		return Result{}, false
	}
	m.follow(p.Configuration())
	missing := m.shares.Missing(job.Organisation, sizeOf(job))
	if missing == 0 {
		return Result{}, false
	}
	return Result{
		Verdict: VerdictRefused, RetryAfter: m.retryAfter(missing),
		Reason: "the jobs that are kept leave no room for it",
	}, true
}

// memoryWeights returns the parts of memory that the organisations are entitled to, relative to each other. One without a weight counts as the
// one with the lowest weight.
func memoryWeights(conf *Configuration) map[string]float64 {
	lowest := 0.0
	for i := range conf.Organisations {
		if w := conf.Organisations[i].Weight; w > 0 && (lowest == 0 || w < lowest) {
			lowest = w
		}
	}
	weights := make(map[string]float64, len(conf.Organisations))
	for i := range conf.Organisations {
		o := &conf.Organisations[i]
		weights[o.Name] = cmp.Or(max(0, o.Weight), lowest, 1)
	}
	return weights
}

// retryAfter returns when a number of bytes will be free at the present rate.
func (m *jobMemory) retryAfter(missing int64) time.Duration {
	if float64(missing) >= m.releaseRate*maxRoomRetryAfter.Seconds() {
		return maxRoomRetryAfter
	}
	return max(minRoomRetryAfter, time.Duration(float64(missing)/m.releaseRate*float64(time.Second)))
}

// add counts a job that is loaded.
func (m *jobMemory) add(organisation string, size int64) {
	if m.shares == nil {
		return
	}
	m.shares.Add(organisation, size)
	m.loaded += size
}

// release counts a job that is dropped, or of which less is kept.
func (m *jobMemory) release(organisation string, size int64) {
	m.add(organisation, -size)
	m.released += size
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

// checkJobMemory lets go of ended jobs, deletes them once their states have been kept for long enough, and loads unloaded jobs.
func (p *Planner) checkJobMemory(now time.Time) {
	p.loadUnloaded()
	m := &p.memory
	passed := now.Sub(m.checkedAt)
	if passed < jobMemoryInterval {
		return
	}
	if !m.checkedAt.IsZero() {
		m.releaseRate = (m.releaseRate + float64(m.released)/passed.Seconds()) / 2
	}
	m.released, m.checkedAt = 0, now
	p.reduceEndedJobs()
	p.deleteExpiredJobs()
	m.unloadFrom = m.limit
	p.unload()
	p.Metrics.SetGauge(metrics.JobMemory, m.loaded)
	p.Metrics.SetGauge(metrics.JobsUnloaded, int64(len(p.unloaded)))
}

// reduceEndedJobs keeps only the states of the jobs that ended so long ago that no run of them can exist or begin.
func (p *Planner) reduceEndedJobs() {
	for _, j := range p.jobs {
		p.reduceEndedJob(j)
	}
}

// reduceEndedJob keeps only what is still needed of a job if it has ended: its steps while a worker may have or begin a run of it, and then its state.
func (p *Planner) reduceEndedJob(j *jobState) {
	if !j.endStored() || len(j.groups) > 0 || j.commitInFlight || len(j.onStored) > 0 {
		return
	}
	p.trimEndedJob(j)
	// A worker may have or begin a run of a job that has started until then.
	if traceTime := max(lateStartAge, p.lateRunBound()); j.record.Progress.Started && p.Clock.Since(j.endedSince) < traceTime {
		return
	}
	job := &j.record.Job
	delete(p.jobs, job.ID)
	p.ended[job.ID] = &endedJob{
		state: j.state(), organisation: job.Organisation, ended: j.record.Progress.Ended, accepted: job.Accepted, revision: j.revision,
	}
	p.memory.release(job.Organisation, j.size-endedSize)
	// Workers on which it failed may keep the job longer.
	job.Steps = nil
}

// trimEndedJob drops what only starts and the record in the store need.
func (p *Planner) trimEndedJob(j *jobState) {
	job, progress := &j.record.Job, &j.record.Progress
	if progress.Tasks == nil {
		return
	}
	job.Payload, progress.Tasks, progress.GangFailures, j.readySince = "", nil, nil, nil
	trimmed := jobSize + int64(job.Size())
	p.memory.release(job.Organisation, j.size-trimmed)
	j.size = trimmed
}

// deleteExpiredJobs deletes the jobs that ended more than twice the retention time ago.
func (p *Planner) deleteExpiredJobs() {
	limit := p.TimeOfDay().Add(-2 * p.Bounds.Retention)
	for id, e := range p.ended {
		if e.ended.Before(limit) {
			delete(p.ended, id)
			p.memory.release(e.organisation, endedSize)
			p.pendingDeletes = append(p.pendingDeletes, Item{Key: jobPrefix + id, Revision: e.revision})
		}
	}
}
