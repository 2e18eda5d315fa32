package dispatch

import (
	"context"
	"math"
	"time"

	"clementinepier/board"
	"clementinepier/gang"
	"clementinepier/metrics"
	"clementinepier/placement"
	"clementinepier/worker"
)

const (
	// pollWait is how long a worker may hold an event poll open.
	pollWait = 5 * time.Second
	// pollTimeout gives the worker time to answer a poll that it held open.
	pollTimeout = pollWait + time.Second
	listTimeout = time.Second
	// The delay after a failed call doubles from minPollRetryDelay to maxPollRetryDelay, so the return of a worker is detected
	// within maxPollRetryDelay.
	minPollRetryDelay = 100 * time.Millisecond
	maxPollRetryDelay = time.Second
	// latestSequence is greater than the number of any event. A poll for later events returns the latest sequence at once.
	latestSequence = math.MaxUint64
)

// watcher follows one worker of an owned rack.
type watcher struct {
	name   string
	rack   string
	cancel context.CancelFunc
	done   chan struct{}
	// listed is true once the worker's tasks have been listed. Until then, or until rackListTimeout, its rack is not used.
	listed bool
	// since is when this VM began to follow the worker.
	since  time.Time
	bootID string
}

// SetRacks updates the watchers to the workers of the racks that this VM owns. Runs on racks that it no longer owns are
// released to the new owner. Only the control goroutine calls it.
func (d *Dispatcher) SetRacks(s *board.State) {
	for name, w := range d.watchers {
		info, ok := s.Workers[name]
		if !ok || !s.OwnedRacks[info.Rack] || info.Rack != w.rack {
			d.unwatch(s, w)
		}
	}
	for name, info := range s.Workers {
		if _, ok := d.watchers[name]; !ok && s.OwnedRacks[info.Rack] {
			d.watch(name, info.Rack)
		}
	}
	d.releaseLostRuns(s)
}

func (d *Dispatcher) watch(name, rack string) {
	ctx, cancel := context.WithCancel(d.ctx)
	w := &watcher{name: name, rack: rack, cancel: cancel, done: make(chan struct{}), since: d.Clock.Now()}
	d.watchers[name] = w
	d.spawn(func() {
		d.followWorker(ctx, w)
		close(w.done)
	})
}

// unwatch stops following a worker. Its goroutine ends by itself, and the messages that it still posts are ignored.
func (d *Dispatcher) unwatch(s *board.State, w *watcher) {
	w.cancel()
	delete(d.watchers, w.name)
	s.Cluster.RemoveWorker(w.name)
}

// releaseLostRuns releases the active runs on racks that this VM no longer owns and, when it owns no rack, the queued and
// delayed runs.
func (d *Dispatcher) releaseLostRuns(s *board.State) {
	d.forEachRun(func(r *run) {
		switch r.phase {
		case phaseActive:
			if !s.OwnedRacks[r.rack] {
				d.releaseToNewOwner(s, r)
				return
			}
			for _, name := range r.workers {
				if _, ok := d.watchers[name]; !ok && r.phase == phaseActive {
					// A worker leaves the platform's list only after it has stopped.
					d.stepGang(s, r, r.gang, gang.WorkerLost{Worker: name})
				}
			}
		case phaseQueued, phaseDelayed:
			if len(s.OwnedRacks) == 0 {
				d.releaseToNewOwner(s, r)
			}
		}
	})
}

// follow lists a worker's tasks and then polls its events until ctx ends.
func (d *Dispatcher) follow(ctx context.Context, w *watcher) {
	pause := minPollRetryDelay
	for ctx.Err() == nil {
		err := d.followOnce(ctx, w)
		if ctx.Err() != nil {
			return
		}
		d.Metrics.Add(metrics.WorkerCallsFailed, 1)
		d.Board.Post(func(s *board.State) { d.handleUnreachable(s, w, err) })
		select {
		case <-ctx.Done():
		case <-d.Clock.After(pause):
		}
		pause = min(2*pause, maxPollRetryDelay)
	}
}

// followOnce lists the worker's tasks once and then polls its events. It returns when a call fails or the worker has
// restarted.
func (d *Dispatcher) followOnce(ctx context.Context, w *watcher) error {
	client, ok := d.Workers(w.name)
	if !ok {
		return &worker.ErrCall{Worker: w.name, Call: "events"}
	}
	latest, err := d.poll(ctx, client, latestSequence, 0)
	if err != nil {
		return err
	}
	listCtx, cancel := d.timeout(ctx, listTimeout)
	info, statuses, err := client.Tasks(listCtx)
	cancel()
	if err != nil {
		return err
	}
	d.Board.Post(func(s *board.State) { d.handleTaskList(s, w, info, statuses) })
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
		d.Board.Post(func(s *board.State) { d.handleEvents(s, w, events) })
	}
}

func (d *Dispatcher) poll(ctx context.Context, client *worker.Client, after uint64, wait time.Duration) (worker.Events, error) {
	ctx, cancel := d.timeout(ctx, pollTimeout)
	defer cancel()
	d.Metrics.Add(metrics.WorkerCalls, 1)
	return client.Events(ctx, after, wait)
}

// handleUnreachable prevents new tasks on a worker that does not answer. The gangs monitor the leases of its tasks.
func (d *Dispatcher) handleUnreachable(s *board.State, w *watcher, _ error) {
	if d.watchers[w.name] == w {
		s.Cluster.SetAvailable(w.name, false)
	}
}

// handleTaskList updates the cluster model from the worker's list of tasks and adopts orphan tasks.
func (d *Dispatcher) handleTaskList(s *board.State, w *watcher, info worker.Info, statuses []worker.Status) {
	if d.watchers[w.name] != w {
		return
	}
	if w.bootID != "" && w.bootID != info.BootID {
		d.notifyWorkerLost(s, w.name)
		s.Cluster.RemoveWorker(w.name)
	}
	w.bootID, w.listed = info.BootID, true
	s.Cluster.SetWorker(info)
	s.Cluster.SetAvailable(w.name, !info.Leaving && !s.LeavingWorkers[w.name])
	for _, status := range statuses {
		d.applyStatus(s, w.name, status)
	}
	d.adoptOrphans(s, w.rack)
	d.schedule(s)
}

// notifyWorkerLost reports to the gangs that a worker has lost its tasks.
func (d *Dispatcher) notifyWorkerLost(s *board.State, name string) {
	d.forEachRun(func(r *run) {
		if r.phase == phaseActive {
			d.stepGang(s, r, r.gang, gang.WorkerLost{Worker: name})
		}
	})
}

// handleEvents applies the events of one poll.
func (d *Dispatcher) handleEvents(s *board.State, w *watcher, events worker.Events) {
	if d.watchers[w.name] != w {
		return
	}
	s.Cluster.SetWorker(events.Info)
	s.Cluster.SetAvailable(w.name, !events.Info.Leaving && !s.LeavingWorkers[w.name])
	for _, e := range events.Events {
		d.applyStatus(s, w.name, e.Status)
	}
	if len(events.Events) > 0 {
		d.schedule(s)
	}
}

// applyStatus applies the status of one task to its gang if the task belongs to a run of this VM, and in any case to the
// cluster model, because two owners may use one rack for some time.
func (d *Dispatcher) applyStatus(s *board.State, name string, status worker.Status) {
	id := status.Spec.ID
	r, ok := d.runs[id.Key()]
	ownTask := ok && r.phase == phaseActive && r.gang != nil && r.nonce == status.Spec.Nonce
	modelID := foreignTaskID(status.Spec)
	if ownTask {
		modelID = id
	}
	if status.State.Ended() {
		// A member that was only held, not started, when its gang was adopted may be recorded under its foreignTaskID.
		s.Cluster.Release(foreignTaskID(status.Spec))
		delete(d.orphans, newOrphanKey(name, status))
	} else if _, ok := s.Cluster.Allocation(modelID); !ok || !ownTask {
		now := d.Clock.Now()
		s.Cluster.RecordAllocation(placement.Allocation{
			Task: modelID, Worker: name, Accelerators: status.Spec.Shape.Accelerators, Slots: status.Spec.Shape.Slots,
			Idempotent: status.Spec.Idempotent, Borrowed: status.Spec.Borrowed,
			StartedAt: now.Add(-status.RanFor.Std()), Checkpoint: now.Add(-status.SinceCheckpoint.Std()),
		})
	}
	if ownTask {
		d.stepGang(s, r, r.gang, gang.StatusChanged{Status: status})
		return
	}
	if status.State.Ended() && status.State != worker.StateDone {
		return
	}
	if status.Started {
		d.orphans[newOrphanKey(name, status)] = status
	}
}
