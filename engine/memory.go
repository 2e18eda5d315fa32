package engine

import (
	"cmp"
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
