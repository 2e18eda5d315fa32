// Package engine schedules jobs: it keeps them in the store, starts their tasks on workers under leases, and answers for
// them. One entry VM at a time, the planner, decides; any other forwards to it.
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
	"clementinepier/workload"
)

// Bounds are the times that the deployment fixes.
type Bounds struct {
	// MaxLease is the longest lease of a worker.
	MaxLease time.Duration
	// StopGrace is the longest time that a stop takes.
	StopGrace time.Duration
	// GangTimeout is how long a gang's member waits for the others.
	GangTimeout time.Duration
	// Retention is how long the state of an ended job can be asked for.
	Retention time.Duration
}

const (
	// tickInterval bounds the delay of decisions that no event triggers, such as a lease that has lapsed.
	tickInterval = 100 * time.Millisecond
	// maxEvents bounds the events that wait when a caller's call arrives; the planner takes some thousands a second.
	maxEvents = 4096
	// maxStall is how long the control goroutine may take for a pass before the term is given up. A pass over 1,100 workers
	// takes some milliseconds.
	maxStall = 1500 * time.Millisecond
	// releaseTimeout bounds the wait for calls that end with the planner.
	releaseTimeout = time.Second
	// planPauseFactor times the length of a planning pass is the pause after it, which leaves most of the processor for orders.
	planPauseFactor = 3
	// maxPlanPause bounds that pause well below the shortest objective.
	maxPlanPause = 100 * time.Millisecond
	// leaseMargin is how long before the end of its lease the planner stops giving orders.
	leaseMargin = 100 * time.Millisecond
)

// Planner is the entry VM that decides. Set the exported fields before Run.
type Planner struct {
	// Clock must go on counting while the machine is suspended, since leases do.
	Clock clockwork.Clock
	// TimeOfDay is the clock for times that callers name.
	TimeOfDay func() time.Time
	Store     Store
	Workers   Workers
	Bounds    Bounds
	// Term is what makes this process the planner.
	Term *Term
	// Configuration returns the newest configuration; it is never nil.
	Configuration func() *Configuration
	// DecodeRegistration reads a worker's entry in the store; an error means that the entry names no worker to use.
	DecodeRegistration func(key string, value []byte) (Registration, error)
	// RegistrationPrefix is where the store has the workers' entries.
	RegistrationPrefix string
	Log                *eventlog.Log
	Metrics            *metrics.Set

	inbox *inbox
	calls *calls
	ctx   context.Context
	// passed is when the control goroutine last completed a pass, in Unix nanoseconds of the clock; 0 before the first.
	passed atomic.Int64
	// deposed is set when another planner may have taken over.
	deposed error
	ready   chan struct{}
	// markersAt and advertsAt are the revisions from which the watches go on.
	markersAt, advertsAt int64
	// advertsSeen is as of when the workers' entries are known.
	advertsSeen time.Time
	// watches report the ends of the goroutines that follow the store.
	watches []<-chan struct{}

	started time.Time
	jobs    map[string]*jobState
	// active has the jobs that have not ended.
	active  map[string]*jobState
	workers map[string]*workerState
	breaker *breaker.Breaker
	// fleets has the workers by service; it is emptied when what a worker offers changes.
	fleets map[string]*fleet

	change uint64
	// dirty has the jobs with changes that are not stored.
	dirty map[*jobState]bool
	// waiters are the callers of jobs that are not stored yet.
	waiters map[*jobState][]chan<- Result
	deletes []string
	// commits has the commits under way, the oldest first; one of them at most has deletes.
	commits  []sentCommit
	deleting bool
	// answered is when the newest of the commits was sent that were answered.
	answered time.Time
	// commitTime is how long commits took lately.
	commitTime time.Duration
	// flushPosted is set while a timer waits for the time of the next commit.
	flushPosted bool
	// storeFailing is when commits began to fail; zero while they succeed.
	storeFailing time.Time
	// storeFailed is when a commit last failed.
	storeFailed time.Time
	commitAfter time.Time
	replan      bool
	// planAfter is when the next planning pass may begin; planPosted is set while a timer waits for it.
	planAfter  time.Time
	planPosted bool
	// attended has the workers to contact at the end of the pass.
	attended []*workerState
	// contacted is the memory of the pass before, which is used again.
	contacted []*workerState
}

// storedCall runs once a change of its job is stored.
type storedCall struct {
	change uint64
	run    func()
}

// Run loads the state and plans until ctx ends or another planner takes over. The channel receives one value, which is
// nil if ctx has ended.
func (p *Planner) Run(ctx context.Context) (<-chan error, error) {
	calls, err := newCalls()
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(ctx)
	p.calls, p.ctx, p.inbox = calls, ctx, newInbox()
	p.ready = make(chan struct{})
	p.started = p.Clock.Now()
	p.jobs, p.active, p.workers = map[string]*jobState{}, map[string]*jobState{}, map[string]*workerState{}
	p.dirty, p.waiters = map[*jobState]bool{}, map[*jobState][]chan<- Result{}
	p.breaker, p.fleets = breaker.New(), map[string]*fleet{}
	// A job may fail by its own fault; a worker that completes anything does not fail all it starts.
	p.breaker.FailureThreshold, p.breaker.InitialQuarantine, p.breaker.AnySuccessEndsQuarantine = failuresOfWorker, firstQuarantine, true
	done := make(chan error, 1)
	go func() {
		err := p.loop(ctx)
		p.withdrawAll()
		cancel()
		for _, watch := range p.watches {
			<-watch
		}
		p.release()
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
	p.Log.Event("planner-ready", "fence", p.Term.Fence(), "jobs", len(p.jobs), "workers", len(p.workers),
		"took", p.Clock.Since(p.started))
	p.watches = append(p.watches, p.watch(ctx, markerPrefix, p.markersAt, p.takeMarker), p.watch(ctx, p.RegistrationPrefix, p.advertsAt, p.takeAdvert))
	ticker := p.Clock.NewTicker(tickInterval)
	defer ticker.Stop()
	p.passed.Store(p.Clock.Now().UnixNano())
	var spare []func()
	for {
		p.step()
		if p.deposed != nil {
			return p.deposed
		}
		p.passed.Store(p.Clock.Now().UnixNano())
		select {
		case <-ctx.Done():
			return nil
		case <-p.inbox.arrived:
			// One pass answers all events that have arrived meanwhile.
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

// Stalled reports whether the control goroutine has completed no pass for so long that another entry VM should plan.
func (p *Planner) Stalled() bool {
	passed := p.passed.Load()
	return passed != 0 && p.Clock.Since(time.Unix(0, passed)) > maxStall
}

// post hands a function to the control goroutine. It never waits.
func (p *Planner) post(f func()) { p.inbox.put(f, 0) }

// do runs f on the control goroutine and waits for it.
func (p *Planner) do(ctx context.Context, f func()) error {
	if p.ctx.Err() != nil {
		return errNotTaken
	}
	done := make(chan struct{})
	if !p.inbox.put(func() { f(); close(done) }, maxEvents) {
		return errNotTaken
	}
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	case <-p.ctx.Done():
		return errStopped
	}
}

var (
	errStopped = errors.New("the planner has stopped")
	// errNotTaken means that a call did not reach the control goroutine.
	errNotTaken = errors.New("the planner takes no calls")
)

// step does what follows from the events that were taken in.
func (p *Planner) step() {
	if !p.holdsTerm() {
		return
	}
	p.planWhenDue()
	p.flush()
	p.contact()
}

// planWhenDue plans, with pauses that keep planning from taking more than its share of the processor.
func (p *Planner) planWhenDue() {
	now := p.Clock.Now()
	if !p.replan || p.planPosted {
		return
	}
	if wait := p.planAfter.Sub(now); wait > 0 {
		p.planPosted = true
		p.Clock.AfterFunc(wait, func() { p.post(func() { p.planPosted = false }) })
		return
	}
	p.replan = false
	p.plan()
	took := p.Clock.Since(now)
	p.planAfter = p.Clock.Now().Add(min(maxPlanPause, took*planPauseFactor))
	p.Metrics.Observe(metrics.PlanTime, took)
}

// tick does what depends on time only.
func (p *Planner) tick() {
	now := p.Clock.Now()
	if err := p.Term.Err(); err != nil {
		p.deposed = err
		return
	}
	p.resumeStarts(now)
	p.expireLeases(now)
	p.watchProgress(now)
	p.moveFromLeaving(now)
	p.forgetEnded()
	p.attendAll()
	p.replan = true
}

// holdsTerm reports whether orders may be given: no other planner can have taken over yet.
func (p *Planner) holdsTerm() bool {
	return p.Clock.Now().Before(p.Term.Until().Add(-leaseMargin))
}

// touch records a change of a job, which has to be stored.
func (p *Planner) touch(j *jobState) uint64 {
	p.change++
	if j.firstChange == 0 {
		j.firstChange, j.changed = p.change, p.Clock.Now()
	}
	j.lastChange = p.change
	p.dirty[j] = true
	return p.change
}

// whenStored runs f once the job's change, and all of its changes before, are stored. If the job is withdrawn, f runs then.
func (p *Planner) whenStored(j *jobState, change uint64, f func()) {
	if change <= j.stored || j.withdrawn {
		f()
		return
	}
	j.waiting = append(j.waiting, storedCall{change: change, run: f})
}

// finish records the final state of a job that has reached it.
func (p *Planner) finish(j *jobState) {
	if !j.state().Ended() || !j.record.Progress.Ended.IsZero() {
		return
	}
	j.record.Progress.Ended = p.TimeOfDay()
	p.touch(j)
	delete(p.active, j.id())
	p.Log.Event("job-ended", "job", j.id(), "state", j.state(), "queue", j.record.Job.Queue,
		"after", p.Clock.Since(j.accepted), "objective", j.record.Job.Objective)
	p.Metrics.Add(metrics.Name("jobs-"+string(j.state())), 1)
	p.Metrics.Observe(metrics.JobTime, p.Clock.Since(j.accepted))
}

// forgetEnded deletes jobs whose state nobody may ask for any more.
func (p *Planner) forgetEnded() {
	limit := p.TimeOfDay().Add(-2 * p.Bounds.Retention)
	for id, j := range p.jobs {
		if ended := j.record.Progress.Ended; !ended.IsZero() && ended.Before(limit) && len(j.groups) == 0 && !p.dirty[j] {
			delete(p.jobs, id)
			p.deletes = append(p.deletes, jobPrefix+id)
		}
	}
}

// newJobState returns a job in memory that was accepted at the given time of the planner's clock.
func newJobState(record workload.Record, accepted time.Time) *jobState {
	j := &jobState{record: record, accepted: accepted, groups: map[groupKey]*group{}, avoid: map[string]bool{}}
	j.since = make([][]time.Time, record.Job.Occurrences())
	for k := range j.since {
		j.since[k] = make([]time.Time, len(record.Job.Steps))
	}
	return j
}
