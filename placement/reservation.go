package placement

import (
	"slices"
	"time"

	"clementinepier/job"
)

// reservation keeps a rack free for a large waiting request.
type reservation struct {
	request Request
	rack    *rack
	// workers are those expected to be free first.
	workers []*workerState
	since   time.Time
	// readyAt is when the workers are expected to be free.
	readyAt time.Time
	// plannedAt is when the request was last planned.
	plannedAt time.Time
}

// availability is when a worker is expected to have capacity for one more task.
type availability struct {
	worker *workerState
	wait   time.Duration
}

// reserve reserves the rack that is expected to be free earliest for a large request, or refreshes its reservation.
func (c *Cluster) reserve(now time.Time, req Request, racks []string) {
	if old, ok := c.reservations[req.Key]; ok {
		old.plannedAt = now
		if wait, workers := c.earliestFit(now, req, old.rack); workers != nil && slices.Contains(racks, old.rack.name) {
			old.readyAt, old.workers = now.Add(wait), workers
			return
		}
		c.endReservation(req.Key)
	}
	if len(c.reservations) >= max(1, int(c.options.MaxReservedShare*float64(len(c.rackNames)))) {
		return
	}
	var best *reservation
	for _, name := range racks {
		r, ok := c.racks[name]
		if !ok || r.reservation != nil || !c.options.MayReserve(req, r.maxWorkerAccelerators()) {
			continue
		}
		wait, workers := c.earliestFit(now, req, r)
		if workers != nil && (best == nil || now.Add(wait).Before(best.readyAt)) {
			best = &reservation{request: req, rack: r, workers: workers, since: now, readyAt: now.Add(wait), plannedAt: now}
		}
	}
	if best != nil {
		best.rack.reservation = best
		c.reservations[req.Key] = best
	}
}

// maxWorkerAccelerators returns the accelerators of the rack's largest worker.
func (r *rack) maxWorkerAccelerators() int {
	largest := 0
	for _, w := range r.workers {
		largest = max(largest, w.capacity.accelerators)
	}
	return largest
}

// earliestFit estimates when the rack can run the request, and on which workers.
func (c *Cluster) earliestFit(now time.Time, req Request, r *rack) (time.Duration, []*workerState) {
	task := perTask(req.Shape)
	availabilities := c.availabilities[:0]
	for _, w := range r.workers {
		if !w.usable() || slices.Contains(req.Avoid, w.name) {
			continue
		}
		limit := c.roomWhenEmpty(req, w).countFits(task)
		if limit == 0 {
			continue
		}
		free := w.free()
		fitting := min(limit, free.countFits(task))
		for range fitting {
			availabilities = append(availabilities, availability{w, 0})
		}
		slices.SortFunc(w.tasks, func(a, b *Allocation) int { return int(a.remaining(now) - b.remaining(now)) })
		for _, a := range w.tasks {
			free = free.plus(a.size())
			for ; fitting < min(limit, free.countFits(task)); fitting++ {
				availabilities = append(availabilities, availability{w, a.remaining(now)})
			}
		}
	}
	c.availabilities = availabilities
	if len(availabilities) < req.Shape.Tasks {
		return 0, nil
	}
	slices.SortStableFunc(availabilities, func(a, b availability) int { return int(a.wait - b.wait) })
	availabilities = availabilities[:req.Shape.Tasks]
	workers := make([]*workerState, 0, len(availabilities))
	for _, m := range availabilities {
		if !slices.Contains(workers, m.worker) {
			workers = append(workers, m.worker)
		}
	}
	return availabilities[len(availabilities)-1].wait, workers
}

// mayBackfill reports whether another request may use a worker of a reserved rack. Expected run times are considered only
// until the reservation reaches ReservationBound, because they are often wrong.
func (c *Cluster) mayBackfill(now time.Time, req Request, w *workerState) bool {
	reservation := w.rack.reservation
	if now.Sub(reservation.since) > c.options.ReservationBound {
		return false
	}
	if !slices.Contains(reservation.workers, w) {
		return true
	}
	return req.RunTime > 0 && !now.Add(req.RunTime).After(reservation.readyAt)
}

func (c *Cluster) endReservation(key job.Key) {
	if ended, ok := c.reservations[key]; ok {
		delete(c.reservations, key)
		ended.rack.reservation = nil
	}
}

// Reservation returns the rack reserved for a request and the time since when it is reserved.
func (c *Cluster) Reservation(key job.Key) (rack string, since time.Time, ok bool) {
	found, ok := c.reservations[key]
	if !ok {
		return "", time.Time{}, false
	}
	return found.rack.name, found.since, true
}
