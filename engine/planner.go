// Package engine schedules jobs. It stores them, starts their tasks on workers under leases, and reports their states.
//
// One entry VM at a time is the planner, the elected scheduler; the others forward callers' requests to it. The planner
// makes all decisions on one goroutine, the control goroutine, in passes: each pass handles the events that have arrived,
// such as callers' requests and results of calls, then plans, commits changes to the store and contacts workers.
//
// A task that is placed on a worker becomes a run. The runs that start together are a group: a gang or a single task.
package engine

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"

	"clementinepier/breaker"
	"clementinepier/eventlog"
	"clementinepier/metrics"
	"clementinepier/policy"
	"clementinepier/workload"
)

// Bounds are the time limits that the deployment sets.
type Bounds struct {
	// MaxLease is the longest lease of a worker.
	MaxLease time.Duration
	// StopGrace is the longest time that a stop takes.
	StopGrace time.Duration
	// GangTimeout is how long a gang's member waits for the others.
	GangTimeout time.Duration
	// Retention is how long the state of an ended job can be queried.
	Retention time.Duration
}

const (
	// tickInterval bounds the delay of decisions that no event triggers, such as those after the end of a lease.
	tickInterval = 100 * time.Millisecond
	// maxQueuedEvents is the number of queued events at which callers are rejected; the planner handles several thousand a
	// second.
	maxQueuedEvents = 4096
	// maxStall is how long the control goroutine may take for a pass before the planner steps down. A pass over 1,100
	// workers takes several milliseconds.
	maxStall = 1500 * time.Millisecond
	// releaseTimeout bounds the wait for the calls in flight when the planner ends.
	releaseTimeout = time.Second
	// planPauseFactor times the duration of planning is the pause after it, which leaves most of the processor time for
	// orders.
	planPauseFactor = 3
	// maxPlanPause bounds that pause well below the shortest objective of a job.
	maxPlanPause = 100 * time.Millisecond
	// termMargin is how long before the end of its term the planner stops sending orders.
	termMargin = 100 * time.Millisecond
)

// Planner is the elected scheduler. Set the exported fields before Run.
type Planner struct {
	// Clock must keep counting while the machine is suspended, since leases do.
	Clock clockwork.Clock
	// TimeOfDay is the wall clock, for times in jobs.
	TimeOfDay func() time.Time
	Store     Store
	Workers   Workers
	Bounds    Bounds
	// JobMemory bounds the memory for jobs in bytes; 0 means no bound.
	JobMemory int64
	// Term is the lease under which this process is the planner.
	Term *Term
	// Configuration returns the newest configuration; it is never nil.
	Configuration func() *Configuration
	// DecodeRegistration decodes a worker's entry in the store; an error means that the entry describes no usable worker.
	DecodeRegistration func(key string, value []byte) (Registration, error)
	// RegistrationPrefix is the key prefix of the workers' registrations in the store.
	RegistrationPrefix string
	Log                *eventlog.Log
	Metrics            *metrics.Set

	inbox *inbox
	calls *calls
	ctx   context.Context
	// lastPass is when the control goroutine last completed a pass, in Unix nanoseconds of the clock; 0 before the first.
	lastPass atomic.Int64
	// lostTerm is set when another planner may have taken over.
	lostTerm error
	ready    chan struct{}
	// markersRevision and registrationsRevision are the revisions from which the watches start.
	markersRevision, registrationsRevision int64
	// registrationsKnownAt is the time up to which all changes of registrations are known.
	registrationsKnownAt time.Time
	// registrationsKnownSince is since when they have been known without a gap, as during an outage of the store.
	registrationsKnownSince time.Time
	// watches are closed when the goroutines that watch the store have ended.
	watches []<-chan struct{}

	started time.Time
	jobs    map[string]*jobState
	// active has the jobs that have not ended and are loaded.
	active map[string]*jobState
	// ended has the jobs of which only the state is kept, unloaded those that are left in the store. No job is in two of jobs, ended and unloaded.
	ended    map[string]*endedJob
	unloaded map[string]*unloadedJob
	memory   jobMemory
	workers  map[string]*workerState
	// orderedBefore has the IDs of the workers to which earlier planners may have sent starts that can still be carried out.
	orderedBefore map[string]bool
	// misdirected has the workers at whose address another server has refused a call since they last answered.
	misdirected map[*workerState]bool
	// speeds has what is known of the speed of each worker, by its ID.
	speeds map[string]*workerSpeed
	// speedNote is the note of them in the store.
	speedNote speedNoteState
	// leaseNote is the lease note in the store.
	leaseNote leaseNoteState
	// orphanTasks counts, by task, the workers that have an orphan run of it.
	orphanTasks map[string]int
	breaker     *breaker.Breaker
	// organisations has what is kept about organisations, by name.
	organisations map[string]*organisationState
	// heldByLimit has the ids of the jobs of which a unit waited for room under its organisation's limit in the last pass.
	heldByLimit map[string]bool
	// fleets caches the workers by service; it is cleared when a registration changes.
	fleets map[string]*fleet

	// changeCount is the number of the last change of any job.
	changeCount uint64
	// dirty has the jobs with changes that are not stored.
	dirty map[*jobState]bool
	// waiters has the callers that wait for new jobs to be stored.
	waiters map[*jobState][]chan<- Result
	// pendingDeletes has the keys to delete from the store, with the revisions at which they are not needed any more.
	pendingDeletes []Item
	// commitsInFlight has the oldest commit first; at most one of them, while deletesInFlight is set, deletes keys.
	commitsInFlight []commitInFlight
	deletesInFlight bool
	// answeredSentAt is when the newest commit that got a response was sent.
	answeredSentAt time.Time
	// usualCommitTime is a moving average of the duration of commits.
	usualCommitTime time.Duration
	// flushScheduled is set while a timer for the next commit runs.
	flushScheduled bool
	// lastRevision is the revision of the newest commit that succeeded, or of the planner's key. A successor's fencing token is
	// higher by two at least, because every commit requires the planner's key, and its removal is a change too.
	lastRevision int64
	// forgottenFence is the highest fencing token of the workers whose state was deleted.
	forgottenFence int64
	// storeFailingSince is when commits began to fail; zero while they succeed.
	storeFailingSince time.Time
	// lastCommitFailure is when a commit last failed, and nextCommitAt is the earliest time of the next one.
	lastCommitFailure time.Time
	nextCommitAt      time.Time
	// suspended is set while the term is suspended; see Term.Err.
	suspended bool
	// outageEnd is cancelled when the term continues after it was suspended, to end the watches that were sent to a store
	// that did not answer.
	outageEnd atomic.Pointer[outageEnd]
	// planNeeded is set when something has changed that affects planning.
	planNeeded bool
	// idleCheckedAt is when idle jobs were last searched for.
	idleCheckedAt time.Time
	// nextPlanAt is when planning may run next; planScheduled is set while a timer for it runs.
	nextPlanAt    time.Time
	planScheduled bool
	// startHolders is how many workers may carry out a start late, and silentHolders how many of them do not answer. Both are counted at each tick, and
	// grow in between.
	startHolders, silentHolders int
	// contactQueue has the workers to contact at the end of the pass.
	contactQueue []*workerState
	// spareContactQueue is the queue of the previous pass, whose memory is reused.
	spareContactQueue []*workerState
}

// storedCallback runs once a change of its job is stored.
type storedCallback struct {
	change uint64
	run    func()
}

// Run loads the state and plans until ctx ends or the term is lost. The channel receives one value, which is nil if ctx has
// ended.
func (p *Planner) Run(ctx context.Context) (<-chan error, error) {
	calls, err := newCalls()
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(ctx)
	p.calls, p.ctx, p.inbox = calls, ctx, newInbox()
	p.ready = make(chan struct{})
	p.outageEnd.Store(newOutageEnd(ctx))
	p.started, p.lastRevision = p.Clock.Now(), p.Term.Fence()
	p.jobs, p.active, p.workers = map[string]*jobState{}, map[string]*jobState{}, map[string]*workerState{}
	p.ended, p.unloaded, p.memory = map[string]*endedJob{}, map[string]*unloadedJob{}, newJobMemory(p.JobMemory)
	p.dirty, p.waiters = map[*jobState]bool{}, map[*jobState][]chan<- Result{}
	p.breaker, p.fleets, p.orphanTasks = breaker.New(), map[string]*fleet{}, map[string]int{}
	p.organisations, p.heldByLimit = map[string]*organisationState{}, map[string]bool{}
	p.misdirected, p.speeds, p.orderedBefore = map[*workerState]bool{}, map[string]*workerSpeed{}, map[string]bool{}
	p.leaseNote, p.speedNote = leaseNoteState{named: map[string]bool{}}, speedNoteState{}
	// A job may fail by its own fault, so any success shows that the worker does not fail everything it starts.
	p.breaker.FailureThreshold, p.breaker.InitialQuarantine, p.breaker.AnySuccessEndsQuarantine = failuresToQuarantine, firstQuarantine, true
	done := make(chan error, 1)
	go func() {
		err := p.loop(ctx)
		p.leaveLeaseNote()
		p.withdrawUnsent()
		cancel()
		for _, watch := range p.watches {
			<-watch
		}
		p.releasePool()
		done <- err
	}()
	return done, nil
}

// Ready is closed when the planner has loaded the state.
func (p *Planner) Ready() <-chan struct{} { return p.ready }

func (p *Planner) loop(ctx context.Context) error {
	if err := p.load(ctx); err != nil {
		return errors.Wrap(err, "load state")
	}
	close(p.ready)
	p.Log.Event("planner-ready", "fence", p.Term.Fence(), "jobs", len(p.jobs), "ended", len(p.ended), "unloaded", len(p.unloaded),
		"loaded-bytes", p.memory.loaded, "workers", len(p.workers),
		"took", p.Clock.Since(p.started))
	p.watches = append(p.watches, p.watch(ctx, markerPrefix, p.markersRevision, p.handleMarker), p.watch(ctx, p.RegistrationPrefix, p.registrationsRevision, p.handleRegistration))
	ticker := p.Clock.NewTicker(tickInterval)
	defer ticker.Stop()
	p.lastPass.Store(p.Clock.Now().UnixNano())
	var spare []func()
	for {
		p.runPass()
		if p.lostTerm != nil {
			return p.lostTerm
		}
		p.lastPass.Store(p.Clock.Now().UnixNano())
		select {
		case <-ctx.Done():
			return nil
		case <-p.inbox.arrived:
			// One pass handles all events that have arrived meanwhile.
			events := p.inbox.take(spare)
			for _, f := range events {
				f()
			}
			spare = events
		case <-ticker.Chan():
			p.tick()
		}
	}
}

// Stalled reports whether the control goroutine has completed no pass for so long that another entry VM should become the
// planner.
func (p *Planner) Stalled() bool {
	lastPass := p.lastPass.Load()
	return lastPass != 0 && p.Clock.Since(time.Unix(0, lastPass)) > maxStall
}

// post queues a function for the control goroutine. It never blocks.
func (p *Planner) post(f func()) { p.inbox.put(f, 0) }

// do runs f on the control goroutine and waits for it.
func (p *Planner) do(ctx context.Context, f func()) error {
	if p.ctx.Err() != nil {
		return errNotAccepted
	}
	done := make(chan struct{})
	// A caller that gives up before its turn takes f back, which may hold a large job.
	var waiting atomic.Pointer[func()]
	waiting.Store(&f)
	event := func() {
		if f := waiting.Swap(nil); f != nil {
			(*f)()
		}
		close(done)
	}
	if !p.inbox.put(event, maxQueuedEvents) {
		return errNotAccepted
	}
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		if waiting.Swap(nil) != nil {
			return errNotAccepted
		}
		return ctx.Err()
	case <-p.ctx.Done():
		return errStopped
	}
}

var (
	errStopped = errors.New("the planner has stopped")
	// errNotAccepted means that a request did not reach the control goroutine, and never will.
	errNotAccepted = errors.New("the planner accepts no requests: it has stopped or is overloaded")
)

// runPass plans, commits and contacts workers, after the events of the pass were handled.
func (p *Planner) runPass() {
	if !p.holdsTerm() {
		p.suspend()
		p.contactWorkers()
		return
	}
	if p.suspended {
		p.resume()
	}
	p.planWhenDue()
	p.flush()
	p.writeLeaseNote()
	p.contactWorkers()
}

// planWhenDue plans if necessary, with pauses that limit the share of the processor time that planning takes.
func (p *Planner) planWhenDue() {
	now := p.Clock.Now()
	if !p.planNeeded || p.planScheduled {
		return
	}
	if wait := p.nextPlanAt.Sub(now); wait > 0 {
		p.planScheduled = true
		p.Clock.AfterFunc(wait, func() { p.post(func() { p.planScheduled = false }) })
		return
	}
	p.planNeeded = false
	p.plan()
	took := p.Clock.Since(now)
	p.nextPlanAt = p.Clock.Now().Add(min(maxPlanPause, took*planPauseFactor))
	p.Metrics.Observe(metrics.PlanTime, took)
}

// tick does the work that depends on time only.
func (p *Planner) tick() {
	now := p.Clock.Now()
	if err := p.Term.Err(); err != nil {
		p.lostTerm = err
		return
	}
	if !p.holdsTerm() {
		p.scheduleAllContacts()
		return
	}
	if !p.Serves() {
		p.renewLeasesEarly(now)
	}
	p.sendDueStarts(now)
	p.expireLeases(now)
	p.leaseNote.checkNeeded = true
	p.withdrawLaterRuns(now)
	p.stopStalledGroups(now)
	p.concludeProbes(now)
	p.moveOffDrainingWorkers(now)
	p.checkJobMemory(now)
	p.reportIdleJobs(now)
	p.syncSpeedNote(now)
	p.scheduleAllContacts()
	p.planNeeded = true
}

// Serves reports whether the planner can accept jobs and is not about to lose contact with the store: half of its lease is
// left. It does not wait for the control goroutine.
func (p *Planner) Serves() bool {
	return p.Clock.Now().Before(p.Term.Until().Add(-p.Term.length / 2))
}

// holdsTerm reports whether orders may be sent, because no other planner can have taken over yet.
func (p *Planner) holdsTerm() bool {
	return p.Clock.Now().Before(p.Term.Until().Add(-termMargin))
}

// recordChange records a change of a job that has to be stored, and returns the number of the change.
func (p *Planner) recordChange(j *jobState) uint64 {
	p.changeCount++
	if j.firstChange == 0 {
		j.firstChange, j.firstChangeAt = p.changeCount, p.Clock.Now()
	}
	j.lastChange = p.changeCount
	p.dirty[j] = true
	return p.changeCount
}

// whenStored runs f once the job's changes up to the given one are stored, or the job is withdrawn.
func (p *Planner) whenStored(j *jobState, change uint64, f func()) {
	if change <= j.storedChange || j.withdrawn {
		f()
		return
	}
	j.onStored = append(j.onStored, storedCallback{change: change, run: f})
}

// recordFinalState records the end of a job that has reached a final state.
func (p *Planner) recordFinalState(j *jobState) {
	if !j.state().Ended() || !j.record.Progress.Ended.IsZero() {
		return
	}
	j.record.Progress.Ended = p.TimeOfDay()
	p.recordChange(j)
	delete(p.active, j.id())
	j.endedSince = p.Clock.Now()
	p.Log.Event("job-ended", "job", j.id(), "state", j.state(), "queue", j.record.Job.Queue,
		"after", p.Clock.Since(j.accepted), "objective", j.record.Job.Objective)
	p.Metrics.Add(metrics.Name("jobs-"+string(j.state())), 1)
	p.Metrics.Observe(metrics.JobTime, p.Clock.Since(j.accepted))
}

// newJobState returns the in-memory state of a job that was accepted at the given time of the planner's clock.
func newJobState(record workload.Record, accepted time.Time) *jobState {
	j := &jobState{
		record: record, size: sizeOf(&record.Job), accepted: accepted, groups: map[groupKey]*group{}, avoid: map[string]time.Time{}, unresponsive: map[string]time.Time{}, stalls: map[groupKey]int{},
		longestDone: map[int]time.Duration{}, rates: map[int][]*policy.Rate{}, compared: map[stepWorker]bool{},
		preemptions: map[groupKey]preemptions{}, preemptionWithheld: map[groupKey]bool{}, failedOn: map[string]bool{}, doneOn: map[string]bool{}, endedAt: map[groupKey]time.Time{},
	}
	j.readySince = make([][]time.Time, record.Job.Occurrences())
	for k := range j.readySince {
		j.readySince[k] = make([]time.Time, len(record.Job.Steps))
	}
	return j
}
