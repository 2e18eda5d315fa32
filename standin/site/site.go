package site

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"clementinepier/engine"
	"clementinepier/workload"
)

const (
	// workerLatency is the duration of a call to a worker.
	workerLatency = time.Millisecond
	// defaultStartDelay is the delay of the starts of a worker with LateStarts set.
	defaultStartDelay = 3500 * time.Millisecond
	// DefaultMaxListedEnds is the default of Site.MaxListedEnds.
	DefaultMaxListedEnds = 500
	// RegistrationPrefix is the default key prefix of the worker registrations in the store.
	RegistrationPrefix = "workers/"
)

// Site simulates the store and the workers. Set the exported fields before workers are added.
type Site struct {
	Store *Store
	// MaxLease is the longest lease that a worker accepts. GangTimeout is how long a gang member waits for the other members.
	MaxLease, GangTimeout time.Duration
	// MaxListedEnds is how many ended runs a worker lists at a time, the oldest first. As for the platform's callers, a full list
	// may or may not be all.
	MaxListedEnds int
	// Prefix is the key prefix of the worker registrations in the store.
	Prefix string
	// EncodeRegistration encodes a worker registration as a store value.
	EncodeRegistration func(a engine.Registration) []byte
	// Evacuated reports whether a failure domain is evacuated; nil means that none is.
	Evacuated func(domain string) bool
	// PercentOfEstimate makes runs report progress by their estimate, so that the percent of a task that takes longer stays at 100.
	PercentOfEstimate bool
	// LongRunning allows every task to start again after it ended as done; the oracle then skips its checks for that. Tasks of
	// long-running steps that SetJobProfile has set may do so without it.
	LongRunning bool
	// DrainBound and EvacuateBound are how long after a worker has begun to drain, or its domain was evacuated, the worker may still
	// receive orders to start.
	DrainBound, EvacuateBound time.Duration
	// CancelBound is how long after RecordCancelled workers may still receive orders to start tasks of the job.
	CancelBound time.Duration
	// AllowanceOf returns what the organisation of a job may have at work: the highest of the limits that may have been in force at a time. nil means
	// that there are no limits.
	AllowanceOf func(job string, at time.Time) Allowance
	// JudgeLostRuns makes CheckWaiting judge also while workers are dead that come back later, and jobs of which a run was lost, or an order to
	// start one got no answer, in the last lostRunSpan.
	JudgeLostRuns bool
	// EvacuatedSince returns since when a failure domain has been evacuated; Evacuated is used for a domain that is evacuated at all.
	EvacuatedSince func(domain string) time.Time

	mu      sync.Mutex
	workers map[string]*Worker
	// profiles holds what the tasks of a job do, by job.
	profiles map[string]JobProfile
	// tasks caches what tasks do, from profiles.
	tasks map[string]*taskProfile
	// appliedAt is the time up to which elapsed time was applied.
	appliedAt time.Time
	// faults lists the rule violations that the oracle has found.
	faults []string
	// done has the units of which an end as done was acknowledged; completed has the jobs that a caller was told are completed.
	done, completed map[string]bool
	// everDone has the units of which a run has ended as done.
	everDone map[string]bool
	// cancelled holds when a caller was told that a job is cancelled.
	cancelled map[string]time.Time
	// failures and notedFailures hold by unit the runs that have ended as failed, and those of them whose end was acknowledged.
	failures, notedFailures map[string]map[int]time.Time
	// checkpoints holds the progress that each checkpoint of a unit stands for.
	checkpoints map[string]map[string]time.Duration
	// started holds the time of the last start of each unit.
	started map[string]time.Time
	// lastRuns holds the highest run number of each unit that was started, lastEnds when a run of it last ended or was lost.
	lastRuns map[string]int
	lastEnds map[string]time.Time
	// accepted has the jobs that CheckWaiting judges. listedDone has the units of which an end as done was listed in response to a poll, notedDone
	// those of which one was acknowledged, also after a lease had lapsed.
	accepted, listedDone, notedDone map[string]bool
	// lostAt has, by job, when a run was last lost, or an order to start one got no answer.
	lostAt map[string]time.Time
	// disruptedAt is when a fault last lasted, began or ended.
	disruptedAt time.Time
	// waitingSince holds since when jobs, or tasks that last, wait although they could run. waitReported has those that were reported.
	waitingSince map[string]time.Time
	waitReported map[string]bool
	// ended holds the jobs that Waiting has found to have no unit left, or one that is out of attempts.
	ended map[string]bool
}

// New returns a site without workers.
func New() *Site {
	return &Site{
		Store: NewStore(), workers: map[string]*Worker{}, profiles: map[string]JobProfile{}, tasks: map[string]*taskProfile{},
		done: map[string]bool{}, completed: map[string]bool{}, everDone: map[string]bool{}, started: map[string]time.Time{}, lastRuns: map[string]int{}, lastEnds: map[string]time.Time{}, ended: map[string]bool{},
		cancelled: map[string]time.Time{}, failures: map[string]map[int]time.Time{}, notedFailures: map[string]map[int]time.Time{},
		accepted: map[string]bool{}, listedDone: map[string]bool{}, notedDone: map[string]bool{}, waitReported: map[string]bool{}, lostAt: map[string]time.Time{},
		checkpoints:   map[string]map[string]time.Duration{},
		MaxListedEnds: DefaultMaxListedEnds, Prefix: RegistrationPrefix, EncodeRegistration: func(a engine.Registration) []byte { return []byte(a.ID) },
	}
}

// Worker returns a worker by its ID, or nil.
func (s *Site) Worker(id string) *Worker {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.workers[id]
}

// IDs returns the IDs of all workers, sorted.
func (s *Site) IDs() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Sorted(maps.Keys(s.workers))
}

// Started reports whether a task of a job was ever started.
func (s *Site) Started(job string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for unit := range s.started {
		if jobOf(unit) == job {
			return true
		}
	}
	return false
}

// RecordCompleted records that a caller was told that a job is completed: none of its tasks may start after that.
func (s *Site) RecordCompleted(job string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.completed[job] = true
}

// Faults returns the rule violations that the oracle has found.
func (s *Site) Faults() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.faults)
}

// AddWorkers adds workers of 32 cores, 64 GB and 8 accelerators to a rack.
func (s *Site) AddWorkers(rack string, n int) {
	for i := range n {
		s.Register(s.addWorker(fmt.Sprintf("%s-w%d", rack, i), rack))
	}
}

func (s *Site) addWorker(id, rack string) *Worker {
	w := &Worker{
		Registration: engine.Registration{
			ID: id, Address: id, Service: "s", FailureDomain: "fd-" + rack, Rack: rack, Labels: []string{"a", rack},
			Capacity: workload.Resources{MilliCPU: 32000, MemoryMB: 64 << 10, Accelerators: 8}, Incarnation: time.Now().UnixMilli(),
		},
		site: s, start: time.Now(), maxLease: s.MaxLease, runs: map[string]*run{}, lastEnded: map[string]int{},
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.workers[id] = w
	return w
}

// Replace marks a worker as replaced and adds another one in its rack, whose registration has to be written.
func (s *Site) Replace(id, by string) {
	s.Set(id, func(w *Worker) { w.Replaced = true })
	s.addWorker(by, s.Worker(id).Registration.Rack)
}

// Register writes the worker's registration to the store.
func (s *Site) Register(w *Worker) {
	s.Store.Write(s.Prefix+w.Registration.ID, s.EncodeRegistration(w.Registration))
}

// Deregister removes the worker's registration from the store.
func (s *Site) Deregister(w *Worker) {
	s.Store.Remove(s.Prefix + w.Registration.ID)
}

// SetTaskProfile sets the duration and the resource needs of a job's tasks, the same for all steps. Set them before the tasks start.
func (s *Site) SetTaskProfile(id string, step workload.Step, work time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	step.After = nil
	clear(s.tasks)
	s.profiles[id] = JobProfile{Job: workload.Job{ID: id, Steps: []workload.Step{step}}, Work: []time.Duration{work}}
}

// SetJobProfile sets what the tasks of a job do, by which the oracle judges their starts. Set it before the tasks start.
func (s *Site) SetJobProfile(p JobProfile) {
	s.mu.Lock()
	defer s.mu.Unlock()
	clear(s.tasks)
	s.profiles[p.Job.ID] = p
}

// JobProfile returns what the tasks of a job do.
func (s *Site) JobProfile(id string) JobProfile {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.profiles[id]
}

// lockWorker waits for the latency of a call and returns the worker at the address with s.mu held, after
// applying elapsed time. On an error, s.mu is not held.
func (s *Site) lockWorker(ctx context.Context, address string) (*Worker, error) {
	time.Sleep(workerLatency)
	s.mu.Lock()
	w := s.workers[address]
	if w != nil && (w.Replaced || w.Misdirected) {
		s.mu.Unlock()
		return nil, &engine.ErrRefused{Reason: engine.RefusedIncarnation}
	}
	if w != nil && w.Dead && w.RefusesConnections {
		s.mu.Unlock()
		return nil, errNoAnswer
	}
	if w == nil || w.Silent || w.Dead {
		s.mu.Unlock()
		<-ctx.Done()
		return nil, ctx.Err()
	}
	s.applyElapsedTime()
	return w, nil
}

// gangRun identifies one run of a gang.
type gangRun struct {
	unit   string
	number int
}

// gangOf returns the gang run that a run of a task belongs to, and the number of its members; the number is 0 for a single task.
func (s *Site) gangOf(task string, run *run) (gangRun, int) {
	size := 0
	if step := s.stepOf(task); step.Gang {
		size = step.Tasks
	}
	return gangRun{unit: s.unitOf(task), number: run.number}, size
}

// jobOf returns the job of a task or a unit.
func jobOf(task string) string {
	job, _, _ := strings.Cut(task, ".")
	return job
}

// members returns the present runs of a gang run by task, with their workers.
func (s *Site) members(key gangRun) map[string]*member {
	found := map[string]*member{}
	for _, w := range s.workers {
		for task, run := range w.runs {
			if run.number == key.number && s.unitOf(task) == key.unit {
				found[task] = &member{worker: w, run: run}
			}
		}
	}
	return found
}

// member is a present run of a gang.
type member struct {
	worker *Worker
	run    *run
}

// applyElapsedTime ends the runs on all workers whose end has come by now, in the order of these ends. The caller holds s.mu.
func (s *Site) applyElapsedTime() {
	now := time.Now()
	for _, w := range s.workers {
		if w.Dead || w.Replaced {
			s.loseEnds(w)
			if len(w.runs) > 0 {
				s.loseRuns(w)
			}
		}
		for task, run := range w.runs {
			switch {
			case run.broken && !w.Isolated:
				s.end(w, task, run, engine.EndGangBroken, now)
			case w.Fails:
				s.end(w, task, run, engine.EndFailed, now)
			}
		}
	}
	stalled := s.stalledGangs()
	for {
		e := s.nextEnd(now, stalled)
		if e == nil {
			break
		}
		s.end(e.worker, e.task, e.run, e.reason, e.at)
	}
	for _, w := range s.workers {
		if !w.leaseEnd.IsZero() && !w.leaseEnd.After(now) {
			w.lapsedAt = w.leaseEnd
		}
	}
	s.appliedAt = now
}

// plannedEnd is the end of a run at a known time.
type plannedEnd struct {
	at     time.Time
	worker *Worker
	task   string
	run    *run
	reason engine.EndReason
}

// stalledGangs returns the gang runs that make no progress because a member's worker is stalled.
func (s *Site) stalledGangs() map[gangRun]bool {
	var found map[gangRun]bool
	for _, w := range s.workers {
		if !w.Stalled {
			continue
		}
		for task, run := range w.runs {
			if key, size := s.gangOf(task, run); size > 0 {
				if found == nil {
					found = map[gangRun]bool{}
				}
				found[key] = true
			}
		}
	}
	return found
}

// nextEnd returns the first end of a run until now that only depends on time, or nil.
func (s *Site) nextEnd(now time.Time, stalled map[gangRun]bool) *plannedEnd {
	var first *plannedEnd
	for _, w := range s.workers {
		for task, run := range w.runs {
			key, _ := s.gangOf(task, run)
			e := s.plannedEnd(w, task, run, w.Stalled || stalled[key])
			if !e.at.After(now) && (first == nil || e.at.Before(first.at) || e.at.Equal(first.at) && task < first.task) {
				first = &e
			}
		}
	}
	if first != nil && first.reason == engine.EndDone && s.failsByItself(first.task) {
		first.reason = engine.EndFailed
	}
	return first
}

// plannedEnd returns when and why a run ends if nothing happens before.
func (s *Site) plannedEnd(w *Worker, task string, run *run, stalled bool) plannedEnd {
	e := plannedEnd{at: w.leaseEnd, worker: w, task: task, run: run, reason: engine.EndLapsed}
	if run.workingSince.IsZero() {
		if alone := run.started.Add(w.realTime(s.GangTimeout)); !alone.After(e.at) {
			e.at, e.reason = alone, engine.EndIsolated
		}
		if stop := run.stopsAt; !stop.IsZero() && stop.Before(e.at) {
			e.at, e.reason = stop, engine.EndStopped
		}
		return e
	}
	atWork, reason := max(0, run.work-run.restored), engine.EndDone
	if run.failsMidway {
		atWork, reason = run.failsAfter, engine.EndFailed
	}
	end := run.workingSince.Add(time.Duration(float64(atWork) / run.pace))
	if end.Before(s.appliedAt) {
		// The work was stalled at that time.
		end = s.appliedAt
	}
	if !stalled && !run.broken && !end.After(e.at) {
		e.at, e.reason = end, reason
	}
	if stop := run.stopsAt; !stop.IsZero() && stop.Before(e.at) {
		e.at, e.reason = stop, engine.EndStopped
	}
	return e
}

// end ends a run. Unless the reason is done, the members of its gang that are present hear of it and end as broken, except on
// isolated workers. A member that starts later waits for the others.
func (s *Site) end(w *Worker, task string, run *run, reason engine.EndReason, at time.Time) {
	delete(w.runs, task)
	w.endCount++
	w.lastEnded[task] = max(w.lastEnded[task], run.number)
	w.ends = append(w.ends, engine.RunEnd{Number: w.endCount, Task: task, Run: run.number, Reason: reason, Checkpoint: s.saved(task, run, at, reason)})
	s.recordEnd(task, run, reason, at)
	w.endTimes = append(w.endTimes, at)
	key, size := s.gangOf(task, run)
	if size == 0 || reason == engine.EndDone {
		return
	}
	others := s.members(key)
	for _, other := range others {
		other.run.broken = true
	}
	for _, otherTask := range slices.Sorted(maps.Keys(others)) {
		if other := others[otherTask]; !other.worker.Isolated && other.worker.runs[otherTask] == other.run {
			s.end(other.worker, otherTask, other.run, engine.EndGangBroken, at)
		}
	}
}

// loseEnds records that the planner may not hear of the ends of a worker that no longer exists.
func (s *Site) loseEnds(w *Worker) {
	if w.endsLost {
		return
	}
	w.endsLost = true
	for _, e := range w.ends {
		s.lostAt[jobOf(e.Task)] = time.Now()
	}
}

// loseRuns removes the runs of a worker that no longer exists. The members of their gangs that are at work elsewhere end as broken,
// except on isolated workers; the others go on waiting.
func (s *Site) loseRuns(w *Worker) {
	runs := w.runs
	w.runs = map[string]*run{}
	for task, run := range runs {
		s.lastEnds[s.unitOf(task)] = time.Now()
		s.lostAt[jobOf(task)] = time.Now()
		key, size := s.gangOf(task, run)
		if size == 0 {
			continue
		}
		for otherTask, other := range s.members(key) {
			if other.run.workingSince.IsZero() || other.worker.Dead || other.worker.Replaced {
				continue
			}
			other.run.broken = true
			if !other.worker.Isolated && other.worker.runs[otherTask] == other.run {
				s.end(other.worker, otherTask, other.run, engine.EndGangBroken, time.Now())
			}
		}
	}
}

// beginWork lets a run begin to work: a single task at once, the members of a gang once all of them are present.
func (s *Site) beginWork(task string, started *run) {
	now := time.Now()
	key, size := s.gangOf(task, started)
	if size == 0 {
		started.workingSince = now
		return
	}
	members := s.members(key)
	for other, m := range members {
		if m.run.broken {
			delete(members, other)
		}
	}
	if len(members) < size {
		return
	}
	pace := started.speed
	for _, m := range members {
		pace = min(pace, m.run.speed)
	}
	for _, m := range members {
		if m.run.workingSince.IsZero() {
			m.run.workingSince, m.run.pace = now, pace
		}
	}
}

// acknowledgeEnds removes the ended runs up to the acknowledged number. An end with reason done counts unless the worker's lease
// lapsed after it.
func (s *Site) acknowledgeEnds(w *Worker, acknowledged int64) {
	for len(w.ends) > 0 && w.ends[0].Number <= acknowledged {
		e, ended := w.ends[0], w.endTimes[0]
		w.ends, w.endTimes = w.ends[1:], w.endTimes[1:]
		unit := s.unitOf(e.Task)
		s.notedDone[unit] = s.notedDone[unit] || e.Reason == engine.EndDone
		if w.lapsedAt.After(ended) || s.lasts(e.Task) {
			continue
		}
		if e.Reason == engine.EndFailed {
			record(s.notedFailures, unit, e.Run, ended)
			s.checkAttempts(e.Task, s.started[unit])
		}
		if e.Reason != engine.EndDone {
			continue
		}
		s.done[unit] = true
		if s.started[unit].After(ended) {
			s.faults = append(s.faults, "TWICE: "+unit+" was started after an end as done of "+e.Task+" that was taken note of")
		}
	}
}

// orderStatus returns the status in responses to orders, which tell neither the incarnation nor whether the worker is draining.
func (w *Worker) orderStatus() engine.WorkerStatus { return engine.WorkerStatus{Clock: w.clock()} }

// status returns the status in responses to polls.
func (w *Worker) status() engine.WorkerStatus {
	return engine.WorkerStatus{Clock: w.clock(), Incarnation: w.Registration.Incarnation, Draining: w.Registration.Draining, DrainRemaining: w.Registration.DrainRemaining}
}

// extendLease extends the lease up to a time on the worker's clock, at most by the longest lease from now.
func (w *Worker) extendLease(until engine.WorkerTime) {
	end := w.timeAt(until)
	if latest := time.Now().Add(w.realTime(w.maxLease)); end.After(latest) {
		end = latest
	}
	if end.After(w.leaseEnd) {
		w.leaseEnd = end
	}
}

func (w *Worker) refusal(reason engine.Refusal) error {
	return &engine.ErrRefused{Reason: reason, Status: w.orderStatus()}
}

// Start carries out an order to start a run.
func (s *Site) Start(ctx context.Context, t engine.Target, o engine.StartOrder) (engine.WorkerStatus, error) {
	w, err := s.lockWorker(ctx, t.Address)
	if err != nil {
		s.recordLost(o.Task)
		return engine.WorkerStatus{}, err
	}
	if w.disrupted() {
		s.lostAt[jobOf(o.Task)] = time.Now()
	}
	if delay := w.startDelay(); delay > 0 {
		received := time.Now()
		s.carryOutLater(w, delay, func() { _, _ = s.applyStart(w, o, received) })
		s.mu.Unlock()
		return engine.WorkerStatus{}, errNoAnswer
	}
	status, err := s.applyStart(w, o, time.Now())
	if err == nil && w.LoseStarts {
		s.mu.Unlock()
		return engine.WorkerStatus{}, errNoAnswer
	}
	return status, s.answer(ctx, w, err)
}

// answer sends the answer to a call whose error is err, and returns the caller's error. It releases s.mu, which the caller holds.
func (s *Site) answer(ctx context.Context, w *Worker, err error) error {
	lost, delay := w.LoseAnswers, w.answerDelay()
	s.mu.Unlock()
	if lost {
		<-ctx.Done()
		return ctx.Err()
	}
	if delay == 0 {
		return err
	}
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(delay):
		return err
	}
}

// carryOutLater carries out a call to a worker after a delay. The caller of the worker gets no answer. A restart drops the calls that
// the worker received before, unless KeepsLateOrders is set.
func (s *Site) carryOutLater(w *Worker, delay time.Duration, f func()) {
	incarnation := w.Registration.Incarnation
	time.AfterFunc(delay, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.applyElapsedTime()
		if w.Dead || w.Replaced || w.Registration.Incarnation != incarnation && !w.KeepsLateOrders {
			return
		}
		s.disruptedAt = time.Now()
		f()
	})
}

// applyStart is the worker's handling of a start order that it received at a time. The caller holds s.mu.
func (s *Site) applyStart(w *Worker, o engine.StartOrder, received time.Time) (engine.WorkerStatus, error) {
	if w.Unhealthy {
		return engine.WorkerStatus{}, &engine.ErrRefused{Reason: engine.RefusedUnhealthy}
	}
	if o.Fence < w.fence {
		return engine.WorkerStatus{}, w.refusal(engine.RefusedFence)
	}
	w.fence = o.Fence
	if w.timeAt(o.Until).Before(time.Now()) {
		return engine.WorkerStatus{}, w.refusal(engine.RefusedLeaseEnded)
	}
	w.extendLease(o.Until)
	if run, ok := w.runs[o.Task]; ok && run.number == o.Run {
		return w.orderStatus(), nil
	}
	if o.Run <= w.lastEnded[o.Task] {
		return engine.WorkerStatus{}, w.refusal(engine.RefusedStaleRun)
	}
	s.checkStart(w, o, received)
	w.Starts++
	s.started[s.unitOf(o.Task)] = time.Now()
	s.lastRuns[s.unitOf(o.Task)] = max(s.lastRuns[s.unitOf(o.Task)], o.Run)
	r := &run{number: o.Run, started: time.Now(), work: s.taskOf(o.Task).work, speed: w.speed(), pace: w.speed(), checkpoint: o.Checkpoint}
	r.restored = s.checkpoints[s.unitOf(o.Task)][o.Checkpoint]
	s.setMidwayFailure(o.Task, r)
	w.runs[o.Task] = r
	s.beginWork(o.Task, r)
	return w.orderStatus(), nil
}

// checkStart is the oracle: it records a fault for each rule that a start violates. Rules with a time bound apply to when the order
// was received.
func (s *Site) checkStart(w *Worker, o engine.StartOrder, received time.Time) {
	for _, other := range s.workers {
		if _, ok := other.runs[o.Task]; ok && !other.Dead && !other.Replaced {
			s.faults = append(s.faults, fmt.Sprintf("TWICE: %s starts on %s and runs on %s", o.Task, w.Registration.ID, other.Registration.ID))
		}
	}
	if s.done[s.unitOf(o.Task)] && !s.lasts(o.Task) {
		s.faults = append(s.faults, "TWICE: "+o.Task+" starts again after it was done")
	}
	if s.completed[jobOf(o.Task)] {
		s.faults = append(s.faults, "TWICE: "+o.Task+" starts after its job was shown as completed")
	}
	used := s.stepOf(o.Task).Need
	for task := range w.runs {
		used = used.Add(s.stepOf(task).Need)
	}
	if !used.Fits(w.Registration.Capacity) {
		s.faults = append(s.faults, fmt.Sprintf("LIMIT: %s brings %s to %+v", o.Task, w.Registration.ID, used))
	}
	s.checkLimit(w, o, received)
	if w.Registration.Draining && !received.Before(w.drainingSince.Add(s.DrainBound)) {
		s.faults = append(s.faults, "DRAIN: "+o.Task+" starts on a draining worker")
	}
	if s.Evacuated != nil && s.Evacuated(w.Registration.FailureDomain) &&
		(s.EvacuatedSince == nil || received.After(s.EvacuatedSince(w.Registration.FailureDomain).Add(s.EvacuateBound))) {
		s.faults = append(s.faults, "EVAC: "+o.Task+" starts in a failure domain that is out")
	}
	s.checkTask(w, o, received)
}

// Stop carries out an order to stop a run.
func (s *Site) Stop(ctx context.Context, t engine.Target, o engine.StopOrder) (engine.WorkerStatus, error) {
	w, err := s.lockWorker(ctx, t.Address)
	if err != nil {
		return engine.WorkerStatus{}, err
	}
	switch {
	case w.DropStops:
		s.mu.Unlock()
		return engine.WorkerStatus{}, errNoAnswer
	case w.StopDelay > 0:
		s.carryOutLater(w, w.StopDelay, func() { _, _ = s.applyStop(w, o) })
		s.mu.Unlock()
		return engine.WorkerStatus{}, errNoAnswer
	}
	status, err := s.applyStop(w, o)
	return status, s.answer(ctx, w, err)
}

// applyStop is the worker's handling of a stop order. The caller holds s.mu.
func (s *Site) applyStop(w *Worker, o engine.StopOrder) (engine.WorkerStatus, error) {
	if w.Unhealthy {
		return engine.WorkerStatus{}, &engine.ErrRefused{Reason: engine.RefusedUnhealthy}
	}
	if o.Fence < w.fence {
		return engine.WorkerStatus{}, w.refusal(engine.RefusedFence)
	}
	w.fence = o.Fence
	if run, ok := w.runs[o.Task]; ok && run.number <= o.Run {
		if w.StopTime == 0 {
			s.end(w, o.Task, run, engine.EndStopped, time.Now())
		} else if run.stopsAt.IsZero() {
			run.stopsAt = time.Now().Add(w.StopTime)
		}
	}
	w.lastEnded[o.Task] = max(w.lastEnded[o.Task], o.Run)
	return w.orderStatus(), nil
}

// Poll answers a long poll: it returns when the worker has ended runs to report or when the requested wait is over.
func (s *Site) Poll(ctx context.Context, t engine.Target, o engine.PollRequest) (engine.PollResponse, error) {
	end := time.Now().Add(o.Wait)
	incarnation := int64(0)
	for {
		w, err := s.lockWorker(ctx, t.Address)
		if err != nil {
			return engine.PollResponse{}, err
		}
		if w.LosePolls {
			s.mu.Unlock()
			<-ctx.Done()
			return engine.PollResponse{}, ctx.Err()
		}
		if w.RefusesPolls {
			s.mu.Unlock()
			return engine.PollResponse{}, &engine.ErrRefused{Reason: engine.RefusedUnhealthy}
		}
		if incarnation != 0 && incarnation != w.Registration.Incarnation {
			// The worker has restarted during the poll, which closed the connection.
			s.mu.Unlock()
			return engine.PollResponse{}, errNoAnswer
		}
		if incarnation == 0 {
			if w.PollDelay > 0 {
				s.carryOutLater(w, w.PollDelay, func() { _ = s.applyPoll(w, o) })
				s.mu.Unlock()
				return engine.PollResponse{}, errNoAnswer
			}
			if err := s.applyPoll(w, o); err != nil {
				return engine.PollResponse{}, s.answer(ctx, w, err)
			}
			incarnation = w.Registration.Incarnation
		}
		if len(w.ends) > 0 || !time.Now().Before(end) {
			response := w.pollResponse()
			return response, s.answer(ctx, w, nil)
		}
		s.mu.Unlock()
		if ctx.Err() != nil {
			return engine.PollResponse{}, ctx.Err()
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// applyPoll is the worker's handling of a poll, without its response. The caller holds s.mu.
func (s *Site) applyPoll(w *Worker, o engine.PollRequest) error {
	if o.Fence < w.fence {
		return w.refusal(engine.RefusedFence)
	}
	w.fence = o.Fence
	s.acknowledgeEnds(w, o.Acknowledged)
	if o.Until != 0 {
		w.extendLease(o.Until)
	}
	return nil
}

func (w *Worker) pollResponse() engine.PollResponse {
	page := w.ends[:min(len(w.ends), w.site.MaxListedEnds)]
	for _, e := range page {
		if e.Reason == engine.EndDone {
			w.site.listedDone[w.site.unitOf(e.Task)] = true
		}
	}
	response := engine.PollResponse{WorkerStatus: w.status(), Ends: slices.Clone(page), MoreEnds: len(page) == w.site.MaxListedEnds}
	for _, task := range slices.Sorted(maps.Keys(w.runs)) {
		r := w.runs[task]
		status := engine.RunStatus{Task: task, Run: r.number, Percent: w.percent(task, r), Checkpoint: w.site.saved(task, r, w.progressTime(), "")}
		if !w.HidesUsage {
			status.Usage, status.HasUsage = w.usage(task, r), true
		}
		response.Running = append(response.Running, status)
	}
	return response
}

// percent returns the progress of a run: that of its own share of the gang's work, or if the site's tasks measure it so, of its estimate.
func (w *Worker) percent(task string, r *run) int {
	if w.Stalled && w.StalledSince.IsZero() || r.workingSince.IsZero() {
		return 0
	}
	work := r.work
	if w.site.PercentOfEstimate {
		work = w.site.stepOf(task).Estimate
	}
	return min(100, int(100*w.ownWork(r)/max(work, time.Millisecond)))
}

// ownWork returns how much of its work a run has done, whatever the other members of its gang have.
func (w *Worker) ownWork(r *run) time.Duration {
	return r.restored + time.Duration(float64(w.progressTime().Sub(r.workingSince))*r.speed)
}

// usage returns the processor time that a run uses. A member that waits for others of its gang uses none; one that hangs goes on using it.
func (w *Worker) usage(task string, r *run) int64 {
	if r.workingSince.IsZero() || !w.Stalled && w.ownWork(r) >= r.work {
		return 0
	}
	return w.site.stepOf(task).Need.MilliCPU
}

// Restart gives the worker a new incarnation, without runs, lease, fencing token or unacknowledged ends.
func (w *Worker) Restart() {
	w.site.loseEnds(w)
	w.site.loseRuns(w)
	w.endsLost = false
	w.Registration.Incarnation = max(w.Registration.Incarnation+1, time.Now().UnixMilli())
	w.start, w.fence, w.leaseEnd, w.endCount, w.ends, w.endTimes = time.Now(), 0, time.Time{}, 0, nil, nil
	w.lastEnded = map[string]int{}
	w.Dead, w.RefusesConnections, w.Silent = false, false, false
}

// Set calls f with the worker while holding the lock.
func (s *Site) Set(id string, f func(w *Worker)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.applyElapsedTime()
	f(s.workers[id])
	s.applyElapsedTime()
}

// WorkersRunning returns the sorted IDs of the workers that have a run of the job.
func (s *Site) WorkersRunning(job string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var found []string
	for id, w := range s.workers {
		for task := range w.runs {
			if strings.HasPrefix(task, job+".") {
				found = append(found, id)
			}
		}
	}
	slices.Sort(found)
	return found
}
