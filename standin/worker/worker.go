// Package worker is a stand-in for a worker: it runs simulated tasks under holds and leases, in memory.
package worker

import (
	"io"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"clementinepier/job"
	"clementinepier/standin/fault"
	"clementinepier/worker"
)

const (
	defaultUsageLag = 3 * time.Second
	// maxEvents bounds the memory for events; a reader that is further behind sees a gap in the sequence.
	maxEvents = 10_000
)

// Options are the parameters of New.
type Options struct {
	Info worker.Info
	// Clock is used for holds, leases, run times and delays; nil means the real clock.
	Clock clockwork.Clock
	// RunLog receives one JSON line per start and per end of a task; nil means none.
	RunLog io.Writer
	// UsageLag is the age of the measurements; 0 means 3 s.
	UsageLag time.Duration
	// CheckpointTime is how long a checkpoint takes.
	CheckpointTime time.Duration
}

// Faults are the failures to inject.
type Faults struct {
	fault.Faults
	// FailTasks makes every task that starts from now on fail at once.
	FailTasks bool `json:"fail-tasks"`
	// TruncateAnswers drops the second half of each answer.
	TruncateAnswers bool `json:"truncate-answers"`
	// WrongDigests sends answers with a digest that does not match.
	WrongDigests bool `json:"wrong-digests"`
	// SwapAnswers returns answers with the task id of another gang member.
	SwapAnswers bool `json:"swap-answers"`
}

// Worker is the stand-in. It is safe for concurrent use.
//
// Every call first ends the tasks that are due by the clock, so with a fake clock the state after an
// advance does not depend on goroutine scheduling. Timers only wake waiting calls and write ends
// to the run log without delay.
type Worker struct {
	clock          clockwork.Clock
	injector       *fault.Injector
	log            *runLog
	usageLag       time.Duration
	checkpointTime time.Duration

	mu           sync.Mutex
	info         worker.Info
	faults       Faults
	tasks        map[job.TaskID]*task
	order        []job.TaskID
	active       []*task // held or running, in order of their holds
	owners       []*task // by accelerator; nil is free
	slots        int     // slots in use
	events       []worker.Event
	lastSequence uint64
	changed      chan struct{}
}

// New returns a worker without tasks.
func New(o Options) *Worker {
	if o.Clock == nil {
		o.Clock = clockwork.NewRealClock()
	}
	if o.UsageLag <= 0 {
		o.UsageLag = defaultUsageLag
	}
	return &Worker{
		clock:          o.Clock,
		injector:       &fault.Injector{Clock: o.Clock},
		log:            &runLog{out: o.RunLog},
		usageLag:       o.UsageLag,
		checkpointTime: o.CheckpointTime,
		info:           o.Info,
		tasks:          map[job.TaskID]*task{},
		owners:         make([]*task, o.Info.Accelerators),
		changed:        make(chan struct{}),
	}
}

// SetFaults replaces the faults.
func (w *Worker) SetFaults(f Faults) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.faults = f
	w.injector.Set(f.Faults)
}

// Calls returns the number of calls of each kind so far.
func (w *Worker) Calls() map[string]uint64 { return w.injector.Calls() }

// LogError returns the first error from writing the run log.
func (w *Worker) LogError() error { return w.log.err() }

// SetLeaving makes the worker refuse new holds, or accept them again. Holds that exist may still start.
func (w *Worker) SetLeaving(leaving bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.info.Leaving = leaving
	w.notifyWaiters()
}

// notifyWaiters wakes all waiting events calls, which then check for changes again.
func (w *Worker) notifyWaiters() {
	close(w.changed)
	w.changed = make(chan struct{})
}

// endDueTasks ends the tasks that are due by now, in the order of their end times.
func (w *Worker) endDueTasks() {
	now := w.clock.Now()
	for {
		var next *task
		for _, t := range w.active {
			if !t.endsAt().After(now) && (next == nil || t.endsAt().Before(next.endsAt())) {
				next = t
			}
		}
		if next == nil {
			return
		}
		w.endDueTask(next)
	}
}

// endDueTask ends a task whose run or lease is over.
func (w *Worker) endDueTask(t *task) {
	at := t.endsAt()
	if t.state == worker.StateHeld || t.expiresAt.Before(t.completesAt()) {
		w.end(t, worker.StateLapsed, at)
		return
	}
	if t.failure != "" {
		w.end(t, worker.StateFailed, at)
		return
	}
	w.end(t, worker.StateDone, at)
}

func (w *Worker) end(t *task, state worker.State, at time.Time) {
	t.advance(at)
	t.state = state
	w.active = slices.DeleteFunc(w.active, func(other *task) bool { return other == t })
	for i, owner := range w.owners {
		if owner == t {
			w.owners[i] = nil
		}
	}
	w.slots -= t.spec.Shape.Slots
	if state != worker.StateDone {
		t.answer = nil
	}
	if t.started() {
		w.log.write(w.info, EventEnd, at, t)
	}
	w.recordEvent(t)
}

func (w *Worker) recordEvent(t *task) {
	w.lastSequence++
	w.events = append(w.events, worker.Event{Sequence: w.lastSequence, Status: t.status(w.clock.Now())})
	if len(w.events) > maxEvents {
		w.events = w.events[len(w.events)-maxEvents:]
	}
	w.notifyWaiters()
}

// schedule sets a timer that ends due tasks when t is due, for waiting calls and for the run log.
func (w *Worker) schedule(t *task) {
	w.clock.AfterFunc(t.endsAt().Sub(w.clock.Now()), func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.endDueTasks()
	})
}

// findAccelerators returns n free accelerators, adjacent ones if possible.
func (w *Worker) findAccelerators(n int) ([]int, bool) {
	free := make([]int, 0, len(w.owners))
	for i, owner := range w.owners {
		if owner == nil {
			free = append(free, i)
		}
	}
	if len(free) < n {
		return nil, false
	}
	for i := 0; i+n <= len(free) && n > 0; i++ {
		if free[i+n-1]-free[i] == n-1 {
			return free[i : i+n], true
		}
	}
	return free[:n], true
}
