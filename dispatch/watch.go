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
		if !ok || !s.OwnedRacks[info.Rack] || info.Rack != w.rack {
			d.unwatch(s, w)
		}
	}
	for name, info := range s.Workers {
		if _, ok := d.watchers[name]; !ok && s.OwnedRacks[info.Rack] {
			d.watch(name, info.Rack)
		}
	}
	d.moveLost(s)
}

func (d *Dispatcher) watch(name, rack string) {
	ctx, cancel := context.WithCancel(d.ctx)
	w := &watcher{name: name, rack: rack, cancel: cancel, done: make(chan struct{}), since: d.Clock.Now()}
	d.watchers[name] = w
	d.spawn(func() {
		d.follower(ctx, w)
		close(w.done)
	})
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
	d.each(func(r *run) {
		switch r.phase {
		case phaseActive:
			if !s.OwnedRacks[r.rack] {
				d.move(s, r)
				return
			}
			for _, name := range r.workers {
				if _, ok := d.watchers[name]; !ok && r.phase == phaseActive {
					// A worker leaves the platform's list only after it has stopped.
					d.gangEvent(s, r, r.gang, gang.WorkerLost{Worker: name})
				}
			}
		case phaseQueued, phaseDelayed:
			if len(s.OwnedRacks) == 0 {
				d.move(s, r)
			}
		}
	})
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
	listCtx, cancel := d.timeout(ctx, listTimeout)
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
	ctx, cancel := d.timeout(ctx, pollTimeout)
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
	s.Cluster.SetAvailable(w.name, !info.Leaving && !s.LeavingWorkers[w.name])
	for _, status := range statuses {
		d.observe(s, w.name, status)
	}
	d.adopt(s, w.rack)
	d.schedule(s)
}

// workerLost tells the gangs that a worker has lost its tasks.
func (d *Dispatcher) workerLost(s *board.State, name string) {
	d.each(func(r *run) {
		if r.phase == phaseActive {
			d.gangEvent(s, r, r.gang, gang.WorkerLost{Worker: name})
		}
	})
}

// changed applies the events of one poll.
func (d *Dispatcher) changed(s *board.State, w *watcher, events worker.Events) {
	if d.watchers[w.name] != w {
		return
	}
	s.Cluster.SetWorker(events.Info)
	s.Cluster.SetAvailable(w.name, !events.Info.Leaving && !s.LeavingWorkers[w.name])
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
	held := foreign(status.Spec)
	if mine {
		held = id
	}
	if status.State.Ended() {
		// A member that was only held when its gang was adopted is in the model as a foreign task.
		s.Cluster.Release(foreign(status.Spec))
		delete(d.orphans, orphanOf(name, status))
	} else if _, ok := s.Cluster.Allocation(held); !ok || !mine {
		now := d.Clock.Now()
		s.Cluster.RecordAllocation(placement.Allocation{
			Task: held, Worker: name, Accelerators: status.Spec.Shape.Accelerators, Slots: status.Spec.Shape.Slots,
			Idempotent: status.Spec.Idempotent, Borrowed: status.Spec.Borrowed,
			StartedAt: now.Add(-status.RanFor.Std()), Checkpoint: now.Add(-status.SinceCheckpoint.Std()),
		})
	}
	if mine {
		d.gangEvent(s, r, r.gang, gang.StatusChanged{Status: status})
		return
	}
	if status.State.Ended() && status.State != worker.StateDone {
		return
	}
	if status.Started {
		d.orphans[orphanOf(name, status)] = status
	}
}
