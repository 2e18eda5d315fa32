package placement

import (
	"slices"
	"time"

	"clementinepier/job"
)

// reservation keeps a rack for a large need that waits.
type reservation struct {
	need Request
	rack *rack
	// workers are those expected to be free first.
	workers []*node
	since   time.Time
	// ready is when the workers are expected to be free.
	ready time.Time
	// planned is when the need was last planned.
	planned time.Time
}

// moment is when a worker is expected to be able to host one more task.
type moment struct {
	worker *node
	wait   time.Duration
}

// reserve gives a large need the rack that is expected to be free soonest, or refreshes its reservation.
func (c *Cluster) reserve(now time.Time, n Request, racks []string) {
	if old, ok := c.reservations[n.Key]; ok {
		old.planned = now
		if wait, workers := c.soonest(now, n, old.rack); workers != nil && slices.Contains(racks, old.rack.name) {
			old.ready, old.workers = now.Add(wait), workers
			return
		}
		c.endReservation(n.Key)
	}
	if len(c.reservations) >= max(1, int(c.options.MaxReservedShare*float64(len(c.names)))) {
		return
	}
	var best *reservation
	for _, name := range racks {
		r, ok := c.racks[name]
		if !ok || r.reserved != nil || !c.options.MayReserve(n, r.accelerators()) {
			continue
		}
		wait, workers := c.soonest(now, n, r)
		if workers != nil && (best == nil || now.Add(wait).Before(best.ready)) {
			best = &reservation{need: n, rack: r, workers: workers, since: now, ready: now.Add(wait), planned: now}
		}
	}
	if best != nil {
		best.rack.reserved = best
		c.reservations[n.Key] = best
	}
}

// accelerators returns the accelerators of the rack's largest worker.
func (r *rack) accelerators() int {
	most := 0
	for _, w := range r.nodes {
		most = max(most, w.capacity.accelerators)
	}
	return most
}

// soonest estimates when the rack can host the need, and on which workers.
func (c *Cluster) soonest(now time.Time, n Request, r *rack) (time.Duration, []*node) {
	task := perTask(n.Shape)
	moments := c.moments[:0]
	for _, w := range r.nodes {
		if !w.usable() || slices.Contains(n.Avoid, w.name) {
			continue
		}
		limit := c.emptyRoom(n, w).fits(task)
		if limit == 0 {
			continue
		}
		free := w.free()
		hosts := min(limit, free.fits(task))
		for range hosts {
			moments = append(moments, moment{w, 0})
		}
		slices.SortFunc(w.tasks, func(a, b *Allocation) int { return int(a.remaining(now) - b.remaining(now)) })
		for _, a := range w.tasks {
			free = free.plus(a.size())
			for ; hosts < min(limit, free.fits(task)); hosts++ {
				moments = append(moments, moment{w, a.remaining(now)})
			}
		}
	}
	c.moments = moments
	if len(moments) < n.Shape.Tasks {
		return 0, nil
	}
	slices.SortStableFunc(moments, func(a, b moment) int { return int(a.wait - b.wait) })
	moments = moments[:n.Shape.Tasks]
	workers := make([]*node, 0, len(moments))
	for _, m := range moments {
		if !slices.Contains(workers, m.worker) {
			workers = append(workers, m.worker)
		}
	}
	return moments[len(moments)-1].wait, workers
}

// mayBackfill reports whether another need may use a worker of a reserved rack. Expected run times count only while
// the reservation is young, because they are often wrong.
func (c *Cluster) mayBackfill(now time.Time, n Request, w *node) bool {
	q := w.rack.reserved
	if now.Sub(q.since) > c.options.ReservationBound {
		return false
	}
	if !slices.Contains(q.workers, w) {
		return true
	}
	return n.RunTime > 0 && !now.Add(n.RunTime).After(q.ready)
}

func (c *Cluster) endReservation(key job.Key) {
	if q, ok := c.reservations[key]; ok {
		delete(c.reservations, key)
		q.rack.reserved = nil
	}
}

// Reservation returns the rack reserved for a request and since when.
func (c *Cluster) Reservation(key job.Key) (rack string, since time.Time, ok bool) {
	q, ok := c.reservations[key]
	if !ok {
		return "", time.Time{}, false
	}
	return q.rack.name, q.since, true
}
