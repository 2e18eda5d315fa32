package placement

import (
	"cmp"
	"slices"
	"time"

	"clementinepier/job"
)

// reclaim frees a block within the organisation's own anchors by preempting borrowers. Because committed stays within the
// capacity of each worker, preempting all borrowers is always sufficient.
func (c *Cluster) reclaim(now time.Time, req Request, racks []string) (Plan, bool) {
	var best *reclaim
	var bestCost time.Duration
	for _, name := range racks {
		r, ok := c.racks[name]
		if !ok {
			continue
		}
		found, cost := c.options.reclaimInRack(c, now, req, r)
		if found != nil && (best == nil || cost < bestCost || cost == bestCost && len(found.block) < len(best.block)) {
			best, bestCost = found, cost
		}
	}
	if best == nil {
		return Plan{}, false
	}
	c.endReservation(req.Key)
	c.beginReclaim(best)
	return best.plan(), true
}

func (r *reclaim) plan() Plan {
	p := Plan{Result: Reclaim, Rack: r.rack.name, Anchored: true, Workers: make([]string, 0, r.request.Shape.Tasks)}
	for _, b := range r.block {
		for range b.tasks {
			p.Workers = append(p.Workers, b.worker.name)
		}
	}
	for _, v := range r.victims {
		p.Victims = append(p.Victims, v.key)
	}
	return p
}

// hostingOption is the cost of running a number of tasks on one worker and the requests to preempt for it.
type hostingOption struct {
	position, tasks int
	cost            time.Duration
	victims         []*placedRequest
}

// FitsUnusedAnchors reports whether the request fits its organisation's unused anchors in one of the racks. Such a request
// starts within the reclaim bound, whatever other organisations borrow.
func (c *Cluster) FitsUnusedAnchors(req Request, racks []string) bool {
	for _, name := range racks {
		if r, ok := c.racks[name]; ok && r.fitsUnusedAnchors(req) {
			return true
		}
	}
	return false
}

func (r *rack) fitsUnusedAnchors(req Request) bool {
	task := perTask(req.Shape)
	total := 0
	for _, w := range r.workers {
		total += w.tasksInUnusedAnchors(req, task)
	}
	return total >= req.Shape.Tasks
}

// tasksInUnusedAnchors returns how many tasks fit the organisation's unused anchors on each worker, or nil when the rack
// cannot run them all.
func (r *rack) tasksInUnusedAnchors(req Request) []int {
	task := perTask(req.Shape)
	if !r.fitsUnusedAnchors(req) {
		return nil
	}
	tasks := make([]int, len(r.workers))
	for i, w := range r.workers {
		tasks[i] = w.tasksInUnusedAnchors(req, task)
	}
	return tasks
}

func (w *workerState) tasksInUnusedAnchors(req Request, task resources) int {
	if !w.usable() || slices.Contains(req.Avoid, w.name) {
		return 0
	}
	s := w.share(req.Key.Organisation)
	return s.anchored.minus(s.used).countFits(task)
}

// reclaimInRack finds the cheapest block in one rack: all tasks on one worker if one has enough anchored capacity, otherwise
// the workers that fit the most tasks each, chosen by the least lost work.
func reclaimInRack(c *Cluster, now time.Time, req Request, r *rack) (*reclaim, time.Duration) {
	task := perTask(req.Shape)
	maxTasks := r.tasksInUnusedAnchors(req)
	if maxTasks == nil {
		return nil, 0
	}
	maxPerWorker := slices.Max(maxTasks)
	found := &reclaim{request: req, rack: r, plannedAt: now}
	chosen := map[*placedRequest]bool{}
	var cost time.Duration
	for left := req.Shape.Tasks; left > 0; {
		best := hostingOption{position: -1}
		for i, w := range r.workers {
			tasks := min(maxTasks[i], left, maxPerWorker)
			if tasks == 0 || tasks < min(left, maxPerWorker) {
				continue
			}
			option, ok := c.chooseVictims(now, w, task.times(tasks), chosen)
			option.position, option.tasks = i, tasks
			if ok && (best.position < 0 || option.cost < best.cost) {
				best = option
			}
		}
		if best.position < 0 {
			if maxPerWorker--; maxPerWorker <= 0 {
				return nil, 0
			}
			continue
		}
		found.block = append(found.block, claimedTasks{r.workers[best.position], best.tasks})
		for _, v := range best.victims {
			chosen[v] = true
			found.victims = append(found.victims, v)
		}
		cost += best.cost
		maxTasks[best.position] = 0
		left -= best.tasks
		if left > 0 {
			maxPerWorker = min(maxPerWorker, slices.Max(maxTasks))
		}
	}
	slices.SortFunc(found.block, func(a, b claimedTasks) int { return cmp.Compare(a.worker.name, b.worker.name) })
	slices.SortFunc(found.victims, func(a, b *placedRequest) int { return compareKeys(a.key, b.key) })
	return found, cost
}

// chooseVictims chooses the borrowers to preempt so that needed fits on the worker. Requests that were chosen before or that
// already stop for another reclaim add no cost.
func (c *Cluster) chooseVictims(now time.Time, w *workerState, needed resources, chosen map[*placedRequest]bool) (hostingOption, bool) {
	room := w.free()
	var option hostingOption
	var candidates []Victim
	freed := map[job.Key]resources{}
	for _, a := range w.tasks {
		placed := c.placedRequests[a.Task.Key()]
		if !a.Borrowed || !a.Idempotent {
			continue
		}
		first := freed[placed.key] == resources{}
		freed[placed.key] = freed[placed.key].plus(a.size())
		switch {
		case chosen[placed]:
			room = room.plus(a.size())
		case placed.pendingReclaims > 0:
			room = room.plus(a.size())
			if first {
				option.victims = append(option.victims, placed)
			}
		case first:
			candidates = append(candidates, placed.victim(now))
		}
	}
	if needed.within(room) && needed.within(w.free()) {
		option.victims = nil
	}
	slices.SortFunc(candidates, func(a, b Victim) int {
		switch {
		case c.options.PreferVictim(a, b):
			return -1
		case c.options.PreferVictim(b, a):
			return 1
		}
		return 0
	})
	var selected []Victim
	for _, v := range candidates {
		if needed.within(room) {
			break
		}
		room = room.plus(freed[v.Key])
		selected = append(selected, v)
	}
	if !needed.within(room) {
		return hostingOption{}, false
	}
	// The cheapest victims together may free more than needed; spare the most expensive ones that are not needed.
	for i := len(selected) - 1; i >= 0; i-- {
		if rest := room.minus(freed[selected[i].Key]); needed.within(rest) {
			room = rest
			selected = slices.Delete(selected, i, i+1)
		}
	}
	for _, v := range selected {
		option.victims = append(option.victims, c.placedRequests[v.Key])
		option.cost += v.LostWork
	}
	return option, true
}

func (p *placedRequest) victim(now time.Time) Victim {
	v := Victim{Key: p.key, StartedAt: p.members[0].StartedAt}
	for _, a := range p.members {
		v.LostWork += a.lostWork(now)
		if a.StartedAt.Before(v.StartedAt) {
			v.StartedAt = a.StartedAt
		}
	}
	return v
}

// beginReclaim claims the block, so that no other request takes the capacity while the victims stop.
func (c *Cluster) beginReclaim(started *reclaim) {
	c.reclaims[started.request.Key] = started
	c.claim(started, 1)
	for _, v := range started.victims {
		v.pendingReclaims++
	}
}

func (c *Cluster) endReclaim(key job.Key) {
	pending, ok := c.reclaims[key]
	if !ok {
		return
	}
	delete(c.reclaims, key)
	c.claim(pending, -1)
	for _, v := range pending.victims {
		v.pendingReclaims--
	}
}

func (c *Cluster) claim(target *reclaim, sign int) {
	for _, p := range target.block {
		size := perTask(target.request.Shape).times(p.tasks * sign)
		p.worker.claimed = p.worker.claimed.plus(size)
		p.worker.addUsed(target.request.Key.Organisation, size)
	}
}

// continueReclaim checks a reclaim in progress; the request is placed once the victims have stopped. It cancels the reclaim
// and returns false when a worker of the block no longer takes new tasks, or the rack or the request has changed.
func (c *Cluster) continueReclaim(now time.Time, req Request, pending *reclaim, racks []string) (Plan, bool) {
	ok := slices.Contains(racks, pending.rack.name) && req.Shape == pending.request.Shape
	free := true
	for _, p := range pending.block {
		w := p.worker
		ok = ok && w.usable() && !slices.Contains(req.Avoid, w.name)
		// free() subtracts the claim of this reclaim itself, so held is compared instead.
		free = free && w.held.plus(perTask(req.Shape).times(p.tasks)).within(w.capacity)
	}
	if !ok {
		c.endReclaim(req.Key)
		return Plan{}, false
	}
	pending.plannedAt = now
	p := pending.plan()
	if free {
		p.Result, p.Victims = Placed, nil
	}
	return p, true
}

// endReclaimsOn cancels the reclaims whose block includes the worker.
func (c *Cluster) endReclaimsOn(w *workerState) {
	var keys []job.Key
	for key, pending := range c.reclaims {
		if slices.ContainsFunc(pending.block, func(b claimedTasks) bool { return b.worker == w }) {
			keys = append(keys, key)
		}
	}
	for _, key := range keys {
		c.endReclaim(key)
	}
}

// expireIdle cancels reservations and reclaims whose requests have not been planned for IdleTimeout.
func (c *Cluster) expireIdle(now time.Time) {
	var idle []job.Key
	for key, pending := range c.reclaims {
		if now.Sub(pending.plannedAt) > c.options.IdleTimeout {
			idle = append(idle, key)
		}
	}
	for key, pending := range c.reservations {
		if now.Sub(pending.plannedAt) > c.options.IdleTimeout {
			idle = append(idle, key)
		}
	}
	slices.SortFunc(idle, compareKeys)
	for _, key := range idle {
		c.CancelPending(key)
	}
}
