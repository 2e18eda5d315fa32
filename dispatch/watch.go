package dispatch

import (
	"context"
	"math"
	"slices"
	"time"

	"clementinepier/board"
	"clementinepier/gang"
	"clementinepier/job"
	"clementinepier/metrics"
	"clementinepier/placement"
	"clementinepier/worker"
)

const (
	// pollWait is how long a worker may hold an event poll open.
	pollWait = 5 * time.Second
	// pollTimeout leaves the worker time to answer a poll that it held open.
	pollTimeout = pollWait + time.Second
	listTimeout = time.Second
	// The pause after a failed poll; a worker that comes back is seen within maxPollPause.
	minPollPause = 100 * time.Millisecond
	maxPollPause = time.Second
	// latestSequence lies after every event, so a poll after it returns the latest sequence at once.
	latestSequence = math.MaxUint64
)

// watcher follows one worker of an owned rack.
type watcher struct {
	name   string
	rack   string
	cancel context.CancelFunc
	done   chan struct{}
	// listed is true once the worker's tasks have been listed; its rack is not used before that.
	listed bool
	// since is when this VM began to follow the worker.
	since  time.Time
	bootID string
}

// SetRacks makes the watchers match the workers of the racks that this VM owns. Runs on racks that were lost are
// moved to their new owner. It is called by the control goroutine.
func (d *Dispatcher) SetRacks(s *board.State) {
	for name, w := range d.watchers {
		info, ok := s.Workers[name]
		if !ok || !s.Owned[info.Rack] || info.Rack != w.rack {
			d.unwatch(s, w)
		}
	}
	for name, info := range s.Workers {
		if _, ok := d.watchers[name]; !ok && s.Owned[info.Rack] {
			d.watch(name, info.Rack)
		}
	}
	d.moveLost(s)
}

func (d *Dispatcher) watch(name, rack string) {
	ctx, cancel := context.WithCancel(d.ctx)
	w := &watcher{name: name, rack: rack, cancel: cancel, done: make(chan struct{}), since: d.Clock.Now()}
	d.watchers[name] = w
	go func() {
		d.follow(ctx, w)
		close(w.done)
	}()
}

// unwatch stops following a worker. The goroutine ends by itself; its last posts are ignored.
func (d *Dispatcher) unwatch(s *board.State, w *watcher) {
	w.cancel()
	delete(d.watchers, w.name)
	s.Cluster.RemoveWorker(w.name)
}

// moveLost gives up the runs with a worker in a rack that this VM owns no more, and, when no rack is left, those that
// wait.
func (d *Dispatcher) moveLost(s *board.State) {
	for _, r := range d.runs {
		switch r.phase {
		case phaseActive:
			for _, name := range r.workers {
				if _, ok := d.watchers[name]; !ok {
					d.move(s, r)
					break
				}
			}
		case phaseQueued, phaseDelayed:
			if len(s.Owned) == 0 {
				d.move(s, r)
			}
		}
	}
}

// follow lists a worker's tasks and then polls its events until ctx ends.
func (d *Dispatcher) follow(ctx context.Context, w *watcher) {
	pause := minPollPause
	for ctx.Err() == nil {
		err := d.followOnce(ctx, w)
		if ctx.Err() != nil {
			return
		}
		d.Metrics.Add(metrics.WorkerCallsFailed, 1)
		d.Board.Post(func(s *board.State) { d.unreachable(s, w, err) })
		select {
		case <-ctx.Done():
		case <-d.Clock.After(pause):
		}
		pause = min(2*pause, maxPollPause)
	}
}

// followOnce returns when a call fails.
func (d *Dispatcher) followOnce(ctx context.Context, w *watcher) error {
	client, ok := d.Workers(w.name)
	if !ok {
		return &worker.ErrCall{Worker: w.name, Call: "events"}
	}
	latest, err := d.poll(ctx, client, latestSequence, 0)
	if err != nil {
		return err
	}
	listCtx, cancel := context.WithTimeout(ctx, listTimeout)
	info, statuses, err := client.Tasks(listCtx)
	cancel()
	if err != nil {
		return err
	}
	d.Board.Post(func(s *board.State) { d.listed(s, w, info, statuses) })
	next, boot := latest.Next, info.BootID
	for {
		events, err := d.poll(ctx, client, next, pollWait)
		if err != nil {
			return err
		}
		if events.Info.BootID != boot {
			// The worker restarted; its tasks have to be listed again.
			return nil
		}
		next = events.Next
		d.Board.Post(func(s *board.State) { d.changed(s, w, events) })
	}
}

func (d *Dispatcher) poll(ctx context.Context, client *worker.Client, after uint64, wait time.Duration) (worker.Events, error) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	d.Metrics.Add(metrics.WorkerCalls, 1)
	return client.Events(ctx, after, wait)
}

// unreachable keeps new tasks off a worker that does not answer. Its leases are watched by their gangs.
func (d *Dispatcher) unreachable(s *board.State, w *watcher, _ error) {
	if d.watchers[w.name] == w {
		s.Cluster.SetAvailable(w.name, false)
	}
}

// listed brings the model in line with what the worker has, and adopts tasks whose owner is gone.
func (d *Dispatcher) listed(s *board.State, w *watcher, info worker.Info, statuses []worker.Status) {
	if d.watchers[w.name] != w {
		return
	}
	if w.bootID != "" && w.bootID != info.BootID {
		d.workerLost(s, w.name)
		s.Cluster.RemoveWorker(w.name)
	}
	w.bootID, w.listed = info.BootID, true
	s.Cluster.SetWorker(info)
	s.Cluster.SetAvailable(w.name, !info.Leaving && !s.Leaving[w.name])
	for _, status := range statuses {
		d.observe(s, w.name, status)
	}
	d.adopt(s, w.rack)
	d.schedule(s)
}

// workerLost tells the gangs that a worker has lost its tasks.
func (d *Dispatcher) workerLost(s *board.State, name string) {
	for _, r := range d.runs {
		if r.phase == phaseActive {
			d.gangEvent(s, r, r.gang, gang.WorkerLost{Worker: name})
		}
	}
}

// changed applies the events of one poll.
func (d *Dispatcher) changed(s *board.State, w *watcher, events worker.Events) {
	if d.watchers[w.name] != w {
		return
	}
	s.Cluster.SetWorker(events.Info)
	s.Cluster.SetAvailable(w.name, !events.Info.Leaving && !s.Leaving[w.name])
	for _, e := range events.Events {
		d.observe(s, w.name, e.Status)
	}
	if len(events.Events) > 0 {
		d.schedule(s)
	}
}

// observe applies the state of one task: to its gang if this VM runs it, and to the model in any case, because two
// owners may use one rack for a while.
func (d *Dispatcher) observe(s *board.State, name string, status worker.Status) {
	id := status.Spec.ID
	r, ok := d.runs[id.Key()]
	mine := ok && r.phase == phaseActive && r.gang != nil && r.nonce == status.Spec.Nonce
	if mine {
		d.gangEvent(s, r, r.gang, gang.Changed{Status: status})
		return
	}
	if status.State.Ended() {
		s.Cluster.Released(id)
		delete(d.orphans, id)
		if status.State != worker.StateDone {
			return
		}
	} else {
		now := d.Clock.Now()
		s.Cluster.Held(placement.Allocation{
			Task: id, Worker: name, Accelerators: status.Spec.Shape.Accelerators, Slots: status.Spec.Shape.Slots,
			Idempotent: status.Spec.Idempotent, Borrowed: status.Spec.Borrowed,
			StartedAt: now.Add(-status.RanFor.Std()), Checkpoint: now.Add(-status.SinceCheckpoint.Std()),
		})
	}
	if status.Started {
		d.orphans[id] = status
	}
}

// adopt takes over started tasks without an owner here, once every worker of their rack has been listed or has had
// the time for it. A gang is adopted as a whole, so that a member that is gone ends the others.
func (d *Dispatcher) adopt(s *board.State, rack string) {
	if len(d.orphans) == 0 || !slices.Contains(d.usableRacks(s), rack) {
		return
	}
	groups := map[job.Key][]worker.Status{}
	for id, status := range d.orphans {
		if info, ok := s.Workers[status.Spec.Workers[id.Member]]; ok && info.Rack == rack {
			groups[id.Key()] = append(groups[id.Key()], status)
			delete(d.orphans, id)
		}
	}
	for key, statuses := range groups {
		statuses = latestAttempt(statuses)
		r, ok := d.runs[key]
		switch {
		case !ok:
			r = adoptedRun(statuses[0].Spec)
			d.runs[key] = r
		case r.phase == phaseActive, r.phase == phaseEnded, r.digest != statuses[0].Spec.RequestDigest:
			continue
		}
		d.adoptRun(s, r, statuses)
	}
}

// adoptedRun returns a run for tasks whose request this VM has not seen. It has no payload, so it cannot be retried
// here before a receiver sends the request.
func adoptedRun(spec worker.Spec) *run {
	return &run{
		request: job.Request{
			Organisation: spec.ID.Organisation, ID: spec.ID.RequestID, Shape: spec.Shape, Idempotent: spec.Idempotent,
		},
		digest: spec.RequestDigest, deadline: spec.Deadline,
	}
}

// adoptRun continues an attempt of another owner as the run's own.
func (d *Dispatcher) adoptRun(s *board.State, r *run, statuses []worker.Status) {
	spec := statuses[0].Spec
	s.Queue.Remove(r.key())
	r.phase, r.attempt, r.nonce = phaseActive, spec.ID.Attempt, spec.Nonce
	r.workers, r.borrowed = spec.Workers, spec.Borrowed
	if !spec.Idempotent {
		r.claimed = spec.ID.Attempt
	}
	r.placedAt = d.Clock.Now()
	d.running[r.request.Organisation] += accelerators(r)
	r.gang = gang.Adopt(d.gangOptions(s, r), statuses)
	d.Metrics.Add(metrics.RequestsAdopted, 1)
	d.gangEvent(s, r, r.gang, gang.Tick{})
}

// latestAttempt returns the statuses of the highest attempt. Earlier attempts have ended or lapse.
func latestAttempt(statuses []worker.Status) []worker.Status {
	highest := 0
	for _, status := range statuses {
		highest = max(highest, status.Spec.ID.Attempt)
	}
	var latest []worker.Status
	for _, status := range statuses {
		if status.Spec.ID.Attempt == highest {
			latest = append(latest, status)
		}
	}
	return latest
}
