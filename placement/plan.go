package placement

import (
	"slices"
	"time"
)

// capacityScope is the capacity that a placement may use.
type capacityScope int

const (
	// scopeOwn is the organisation's own anchors.
	scopeOwn capacityScope = iota
	// scopeOwnOrUnanchored adds capacity that is not anchored for any organisation.
	scopeOwnOrUnanchored
	// scopeAny is all free capacity; what is anchored for others is borrowed.
	scopeAny
)

// Plan decides about one request, given the racks that the caller owns. A request that fits its organisation's unused
// anchors borrows only when it would have to reclaim instead; any other may borrow to avoid stranding capacity. Plan records
// reservations and reclaims but not placements; callers record those with RecordAllocation.
func (c *Cluster) Plan(now time.Time, req Request, racks []string) Plan {
	if pending, ok := c.reclaims[req.Key]; ok {
		if p, done := c.continueReclaim(now, req, pending, racks); done {
			return p
		}
	}
	c.expireIdle(now)
	mayBorrow := c.options.MayBorrow(req)
	freeScopes, borrowScopes := []capacityScope{scopeOwnOrUnanchored}, []capacityScope{scopeAny}
	if mayBorrow && !c.FitsUnusedAnchors(req, racks) {
		freeScopes = []capacityScope{scopeOwnOrUnanchored, scopeAny}
	}
	if p, ok := c.placeFree(now, req, racks, freeScopes); ok {
		return p
	}
	if mayBorrow && !c.options.ReclaimFirst(req) {
		if p, ok := c.placeFree(now, req, racks, borrowScopes); ok {
			return p
		}
	}
	if p, ok := c.reclaim(now, req, racks); ok {
		return p
	}
	if mayBorrow && c.options.ReclaimFirst(req) {
		if p, ok := c.placeFree(now, req, racks, borrowScopes); ok {
			return p
		}
	}
	return c.planWait(now, req, racks)
}

// planWait reserves a rack for a large request, or finds that the request can never run.
func (c *Cluster) planWait(now time.Time, req Request, racks []string) Plan {
	if c.fitsEmptyRack(req, racks) {
		c.reserve(now, req, racks)
		return Plan{Result: Wait}
	}
	c.endReservation(req.Key)
	if c.fitsEmptyRack(req, c.rackNames) {
		return Plan{Result: Wait, FitsElsewhere: true}
	}
	return Plan{Result: Infeasible}
}

// placeFree looks for free capacity. Within a rack the scopes are tried in order, and a later one only when the earlier ones
// do not fit or would strand accelerators.
func (c *Cluster) placeFree(now time.Time, req Request, racks []string, scopes []capacityScope) (Plan, bool) {
	var best RackCandidate
	var chosen *rack
	buffer, block := c.portions[0], c.portions[1]
	for _, name := range racks {
		r, ok := c.racks[name]
		if !ok {
			continue
		}
		for _, scope := range scopes {
			found := pickWorkers(c.workerCandidates(now, req, r, scope), req.Shape.Tasks, c.options.PreferWorker, buffer)
			if found == nil {
				continue
			}
			candidate := c.rackCandidate(req, r, found)
			candidate.Borrowed = scope == scopeAny
			if chosen == nil || c.options.PreferRack(candidate, best) {
				best, chosen = candidate, r
				buffer, block = block, found
			}
			if candidate.Stranded == 0 {
				break
			}
		}
	}
	c.portions[0], c.portions[1] = buffer, block
	if chosen == nil {
		return Plan{}, false
	}
	return chosen.newPlan(Placed, req, block, best.Borrowed), true
}

// workerCandidates lists the workers of the rack that could run tasks of the request.
func (c *Cluster) workerCandidates(now time.Time, req Request, r *rack, scope capacityScope) []WorkerCandidate {
	candidates := c.candidates[:0]
	task := perTask(req.Shape)
	for i, w := range r.workers {
		allowed := scope
		if r.reservation != nil && r.reservation.request.Key != req.Key && !c.mayBackfill(now, req, w) {
			allowed = scopeOwn
		}
		tasks := 0
		if w.usable() && !slices.Contains(req.Avoid, w.name) {
			tasks = w.roomFor(req.Key.Organisation, allowed).countFits(task)
		}
		if tasks == 0 {
			continue
		}
		free := w.free()
		candidates = append(candidates, WorkerCandidate{
			Position: i, MaxTasks: tasks, FreeAccelerators: free.accelerators, FreeSlots: free.slots,
			InUse: w.held != resources{}, AnchoredForOthers: w.anchoredForOthers(req.Key.Organisation).accelerators,
		})
	}
	c.candidates = candidates
	return candidates
}

// roomFor returns how much of the worker's free capacity an organisation may use.
func (w *workerState) roomFor(organisation string, scope capacityScope) resources {
	free := w.free()
	if scope == scopeAny {
		return free
	}
	s := w.share(organisation)
	own := maxResources(s.anchored, s.used).minus(s.used)
	if scope == scopeOwnOrUnanchored {
		own = own.plus(maxResources(resources{}, w.capacity.minus(w.committed)))
	}
	return minResources(free, own)
}

func (c *Cluster) rackCandidate(req Request, r *rack, block []portion) RackCandidate {
	task, largestTask := perTask(req.Shape), perTask(c.largestShape)
	free, tasksBefore := 0, 0
	candidate := RackCandidate{Rack: r.name, Workers: len(block)}
	for _, w := range r.workers {
		if w.usable() {
			room := w.free()
			free += max(0, room.accelerators)
			tasksBefore += room.countFits(largestTask)
			if room == w.capacity {
				candidate.IdleWorkers++
			}
		}
	}
	tasksAfter := tasksBefore
	candidate.RackLeftover = free - req.Shape.TotalAccelerators()
	for _, p := range block {
		w := r.workers[p.position]
		room := w.free()
		left := room.minus(task.times(p.tasks))
		tasksAfter += left.countFits(largestTask) - room.countFits(largestTask)
		candidate.WorkersLeftover += left.accelerators
		candidate.AnchoredForOthers += w.anchoredForOthers(req.Key.Organisation).accelerators
		if w.held == (resources{}) && left.accelerators > 0 {
			candidate.SplitWorkers++
		}
	}
	candidate.Stranded = c.servingAccelerators(tasksBefore) - c.servingAccelerators(tasksAfter)
	return candidate
}

// servingAccelerators returns how many accelerators of a rack can serve the largest guaranteed shape, given how many of its
// tasks fit in the rack.
func (c *Cluster) servingAccelerators(tasks int) int {
	if tasks < c.largestShape.Tasks {
		return 0
	}
	return tasks * c.largestShape.Accelerators
}

// newPlan turns a block of workers into a Plan.
func (r *rack) newPlan(result Result, req Request, block []portion, borrowed bool) Plan {
	p := Plan{Result: result, Rack: r.name, Borrowed: borrowed, Anchored: !borrowed}
	slices.SortFunc(block, func(a, b portion) int { return a.position - b.position })
	p.Workers = make([]string, 0, req.Shape.Tasks)
	for _, b := range block {
		w := r.workers[b.position]
		s := w.share(req.Key.Organisation)
		if !s.used.plus(perTask(req.Shape).times(b.tasks)).within(s.anchored) {
			p.Anchored = false
		}
		for range b.tasks {
			p.Workers = append(p.Workers, w.name)
		}
	}
	return p
}

// fitsEmptyRack reports whether one of the racks could run the request if it were empty and all its workers were usable.
func (c *Cluster) fitsEmptyRack(req Request, racks []string) bool {
	for _, name := range racks {
		if r, ok := c.racks[name]; ok && c.tasksWhenEmpty(req, r) >= req.Shape.Tasks {
			return true
		}
	}
	return false
}

func (c *Cluster) tasksWhenEmpty(req Request, r *rack) int {
	total := 0
	for _, w := range r.workers {
		total += c.roomWhenEmpty(req, w).countFits(perTask(req.Shape))
	}
	return total
}

// roomWhenEmpty returns how much of the worker the request could use if the worker were empty.
func (c *Cluster) roomWhenEmpty(req Request, w *workerState) resources {
	if c.options.MayBorrow(req) {
		return w.capacity
	}
	return w.capacity.minus(w.anchoredForOthers(req.Key.Organisation))
}
