package placement

import (
	"slices"
	"time"
)

// mode says which capacity a placement may use.
type mode int

const (
	// within its own anchors
	modeOwn mode = iota
	// own anchors and capacity under no anchor
	modeOwnOrOpen
	// any free capacity
	modeBorrow
)

// Plan decides about one need, given the racks that the caller owns. A need within its organisation's share borrows only
// when it would have to reclaim instead; another may borrow to keep blocks whole. Plan records reservations and reclaims but not
// placements; for those callers use Held.
func (c *Cluster) Plan(now time.Time, n Request, racks []string) Plan {
	if r, ok := c.reclaims[n.Key]; ok {
		if p, done := c.continueReclaim(now, n, r, racks); done {
			return p
		}
	}
	c.lapse(now)
	mayBorrow := c.options.MayBorrow(n)
	open, lent := []mode{modeOwnOrOpen}, []mode{modeBorrow}
	if mayBorrow && !c.FitsUnusedAnchors(n, racks) {
		open = []mode{modeOwnOrOpen, modeBorrow}
	}
	if p, ok := c.place(now, n, racks, open); ok {
		return p
	}
	if mayBorrow && !c.options.ReclaimFirst(n) {
		if p, ok := c.place(now, n, racks, lent); ok {
			return p
		}
	}
	if p, ok := c.reclaim(now, n, racks); ok {
		return p
	}
	if mayBorrow && c.options.ReclaimFirst(n) {
		if p, ok := c.place(now, n, racks, lent); ok {
			return p
		}
	}
	return c.wait(now, n, racks)
}

// wait reserves a rack for a large need, or finds that the need can never run.
func (c *Cluster) wait(now time.Time, n Request, racks []string) Plan {
	if c.everFits(n, racks) {
		c.reserve(now, n, racks)
		return Plan{Result: Wait}
	}
	c.endReservation(n.Key)
	if c.everFits(n, c.names) {
		return Plan{Result: Wait, FitsElsewhere: true}
	}
	return Plan{Result: Infeasible}
}

// place looks for free capacity. Within a rack the modes are tried in order, so a need borrows in a rack only when it
// would not fit there without.
func (c *Cluster) place(now time.Time, n Request, racks []string, modes []mode) (Plan, bool) {
	var best RackCandidate
	var chosen *rack
	spare, block := c.portions[0], c.portions[1]
	for _, name := range racks {
		r, ok := c.racks[name]
		if !ok {
			continue
		}
		for _, m := range modes {
			found := pick(c.spotsOf(now, n, r, m), n.Shape.Tasks, c.options.PreferWorker, spare)
			if found == nil {
				continue
			}
			candidate := c.candidate(n, r, found)
			candidate.Borrowed = m == modeBorrow
			if chosen == nil || c.options.PreferRack(candidate, best) {
				best, chosen = candidate, r
				spare, block = block, found
			}
			if candidate.Stranded == 0 {
				break
			}
		}
	}
	c.portions[0], c.portions[1] = spare, block
	if chosen == nil {
		return Plan{}, false
	}
	return chosen.plan(Placed, n, block, best.Borrowed), true
}

// spotsOf lists what each worker of the rack could take of the need.
func (c *Cluster) spotsOf(now time.Time, n Request, r *rack, m mode) []WorkerCandidate {
	spots := c.spots[:0]
	task := perTask(n.Shape)
	for i, w := range r.nodes {
		limit := m
		if r.reserved != nil && r.reserved.need.Key != n.Key && !c.mayBackfill(now, n, w) {
			limit = modeOwn
		}
		hosts := 0
		if w.usable() && !slices.Contains(n.Avoid, w.name) {
			hosts = w.room(n.Key.Organisation, limit).fits(task)
		}
		if hosts == 0 {
			continue
		}
		free := w.free()
		spots = append(spots, WorkerCandidate{
			Position: i, MaxTasks: hosts, FreeAccelerators: free.accelerators, FreeSlots: free.slots,
			InUse: w.held != amount{}, AnchoredForOthers: w.foreign(n.Key.Organisation).accelerators,
		})
	}
	c.spots = spots
	return spots
}

// room returns how much an organisation may take of the worker.
func (n *node) room(organisation string, m mode) amount {
	free := n.free()
	if m == modeBorrow {
		return free
	}
	s := n.share(organisation)
	own := largest(s.anchored, s.used).minus(s.used)
	if m == modeOwnOrOpen {
		own = own.plus(largest(amount{}, n.capacity.minus(n.covered)))
	}
	return smallest(free, own)
}

func (c *Cluster) candidate(n Request, r *rack, block []portion) RackCandidate {
	task, large := perTask(n.Shape), perTask(c.largest)
	free, before := 0, 0
	candidate := RackCandidate{Rack: r.name, Workers: len(block)}
	for _, w := range r.nodes {
		if w.usable() {
			room := w.free()
			free += max(0, room.accelerators)
			before += room.fits(large)
			if room == w.capacity {
				candidate.IdleWorkers++
			}
		}
	}
	after := before
	candidate.RackLeftover = free - n.Shape.TotalAccelerators()
	for _, p := range block {
		w := r.nodes[p.position]
		room := w.free()
		left := room.minus(task.times(p.tasks))
		after += left.fits(large) - room.fits(large)
		candidate.WorkersLeftover += left.accelerators
		candidate.AnchoredForOthers += w.foreign(n.Key.Organisation).accelerators
		if w.held == (amount{}) && left.accelerators > 0 {
			candidate.SplitWorkers++
		}
	}
	candidate.Stranded = c.serving(before) - c.serving(after)
	return candidate
}

// serving returns how many accelerators of a rack can serve the largest guaranteed shape, given how many of its tasks
// the rack could host.
func (c *Cluster) serving(hosts int) int {
	if hosts < c.largest.Tasks {
		return 0
	}
	return hosts * c.largest.Accelerators
}

// plan turns a block into a plan.
func (r *rack) plan(result Result, n Request, block []portion, borrowed bool) Plan {
	p := Plan{Result: result, Rack: r.name, Borrowed: borrowed, Anchored: !borrowed}
	slices.SortFunc(block, func(a, b portion) int { return a.position - b.position })
	p.Workers = make([]string, 0, n.Shape.Tasks)
	for _, b := range block {
		w := r.nodes[b.position]
		s := w.share(n.Key.Organisation)
		if !s.used.plus(perTask(n.Shape).times(b.tasks)).within(s.anchored) {
			p.Anchored = false
		}
		for range b.tasks {
			p.Workers = append(p.Workers, w.name)
		}
	}
	return p
}

// everFits reports whether one of the racks could run the need if it were empty and all its workers were usable.
func (c *Cluster) everFits(n Request, racks []string) bool {
	for _, name := range racks {
		if r, ok := c.racks[name]; ok && c.emptyHosts(n, r) >= n.Shape.Tasks {
			return true
		}
	}
	return false
}

func (c *Cluster) emptyHosts(n Request, r *rack) int {
	total := 0
	for _, w := range r.nodes {
		total += c.emptyRoom(n, w).fits(perTask(n.Shape))
	}
	return total
}

// emptyRoom returns what the need could take of the worker if it were empty.
func (c *Cluster) emptyRoom(n Request, w *node) amount {
	if c.options.MayBorrow(n) {
		return w.capacity
	}
	return w.capacity.minus(w.foreign(n.Key.Organisation))
}
