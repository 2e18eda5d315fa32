package placement

import (
	"cmp"
	"slices"
	"time"

	"clementinepier/job"
)

// reclaim frees a block under the organisation's own anchors by preempting borrowers. By the rule that covered stays
// within the capacity of each worker, preempting all borrowers is always enough.
func (c *Cluster) reclaim(now time.Time, n Request, racks []string) (Plan, bool) {
	var best *reclaim
	var bestCost time.Duration
	for _, name := range racks {
		r, ok := c.racks[name]
		if !ok {
			continue
		}
		found, cost := c.options.reclaimIn(c, now, n, r)
		if found != nil && (best == nil || cost < bestCost || cost == bestCost && len(found.block) < len(best.block)) {
			best, bestCost = found, cost
		}
	}
	if best == nil {
		return Plan{}, false
	}
	c.endReservation(n.Key)
	c.beginReclaim(best)
	return best.plan(), true
}

func (q *reclaim) plan() Plan {
	p := Plan{Result: Reclaim, Rack: q.rack.name, Anchored: true, Workers: make([]string, 0, q.need.Shape.Tasks)}
	for _, b := range q.block {
		for range b.tasks {
			p.Workers = append(p.Workers, b.node.name)
		}
	}
	for _, v := range q.victims {
		p.Victims = append(p.Victims, v.key)
	}
	return p
}

// option is what it costs to host a number of tasks on one worker.
type option struct {
	position, tasks int
	cost            time.Duration
	victims         []*placedRequest
}

// FitsUnusedAnchors reports whether the need fits what its organisation does not use of its anchors in one of the racks. Such a
// need starts within the reclaim bound, whatever others borrow.
func (c *Cluster) FitsUnusedAnchors(n Request, racks []string) bool {
	for _, name := range racks {
		if r, ok := c.racks[name]; ok && r.inShare(n) {
			return true
		}
	}
	return false
}

func (r *rack) inShare(n Request) bool {
	task := perTask(n.Shape)
	total := 0
	for _, w := range r.nodes {
		total += w.shareHosts(n, task)
	}
	return total >= n.Shape.Tasks
}

// shareHosts returns how many tasks fit the unused anchors of the organisation on each worker, nil when too few do.
func (r *rack) shareHosts(n Request) []int {
	task := perTask(n.Shape)
	if !r.inShare(n) {
		return nil
	}
	hosts := make([]int, len(r.nodes))
	for i, w := range r.nodes {
		hosts[i] = w.shareHosts(n, task)
	}
	return hosts
}

func (n *node) shareHosts(need Request, task amount) int {
	if !n.usable() || slices.Contains(need.Avoid, n.name) {
		return 0
	}
	s := n.share(need.Key.Organisation)
	return s.anchored.minus(s.used).fits(task)
}

// reclaimIn finds the cheapest block in one rack: all tasks on one worker if any has room for them, otherwise the
// workers with the least lost work per task.
func reclaimIn(c *Cluster, now time.Time, n Request, r *rack) (*reclaim, time.Duration) {
	task := perTask(n.Shape)
	hosts := r.shareHosts(n)
	if hosts == nil {
		return nil, 0
	}
	most := slices.Max(hosts)
	q := &reclaim{need: n, rack: r, at: now}
	chosen := map[*placedRequest]bool{}
	var cost time.Duration
	for left := n.Shape.Tasks; left > 0; {
		best := option{position: -1}
		for i, w := range r.nodes {
			tasks := min(hosts[i], left, most)
			if tasks == 0 || tasks < min(left, most) {
				continue
			}
			o, ok := c.free(now, w, task.times(tasks), chosen)
			o.position, o.tasks = i, tasks
			if ok && (best.position < 0 || o.cost < best.cost) {
				best = o
			}
		}
		if best.position < 0 {
			if most--; most <= 0 {
				return nil, 0
			}
			continue
		}
		q.block = append(q.block, claimed{r.nodes[best.position], best.tasks})
		for _, v := range best.victims {
			chosen[v] = true
			q.victims = append(q.victims, v)
		}
		cost += best.cost
		hosts[best.position] = 0
		left -= best.tasks
		if left > 0 {
			most = min(most, slices.Max(hosts))
		}
	}
	slices.SortFunc(q.block, func(a, b claimed) int { return cmp.Compare(a.node.name, b.node.name) })
	slices.SortFunc(q.victims, func(a, b *placedRequest) int { return compareKeys(a.key, b.key) })
	return q, cost
}

// free chooses the borrowers that have to stop so that the worker has room for need. Requests that have been chosen or
// that are stopping for another reclaim cost nothing more.
func (c *Cluster) free(now time.Time, w *node, need amount, chosen map[*placedRequest]bool) (option, bool) {
	room := w.free()
	var o option
	var candidates []Victim
	freed := map[job.Key]amount{}
	for _, a := range w.tasks {
		q := c.requests[a.Task.Key()]
		if !a.Borrowed || !a.Idempotent {
			continue
		}
		first := freed[q.key] == amount{}
		freed[q.key] = freed[q.key].plus(a.size())
		switch {
		case chosen[q]:
			room = room.plus(a.size())
		case q.condemned > 0:
			room = room.plus(a.size())
			if first {
				o.victims = append(o.victims, q)
			}
		case first:
			candidates = append(candidates, q.victim(now))
		}
	}
	if need.within(room) && need.within(w.free()) {
		o.victims = nil
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
	var used []Victim
	for _, v := range candidates {
		if need.within(room) {
			break
		}
		room = room.plus(freed[v.Key])
		used = append(used, v)
	}
	if !need.within(room) {
		return option{}, false
	}
	// The cheapest ones together may be more than needed: spare the dearest that can stay.
	for i := len(used) - 1; i >= 0; i-- {
		if rest := room.minus(freed[used[i].Key]); need.within(rest) {
			room = rest
			used = slices.Delete(used, i, i+1)
		}
	}
	for _, v := range used {
		o.victims = append(o.victims, c.requests[v.Key])
		o.cost += v.LostWork
	}
	return o, true
}

func (q *placedRequest) victim(now time.Time) Victim {
	v := Victim{Key: q.key, StartedAt: q.members[0].StartedAt}
	for _, a := range q.members {
		v.LostWork += a.lostWork(now)
		if a.StartedAt.Before(v.StartedAt) {
			v.StartedAt = a.StartedAt
		}
	}
	return v
}

// beginReclaim claims the block, so that nothing else takes the capacity while the victims stop.
func (c *Cluster) beginReclaim(q *reclaim) {
	c.reclaims[q.need.Key] = q
	c.claim(q, 1)
	for _, v := range q.victims {
		v.condemned++
	}
}

func (c *Cluster) endReclaim(key job.Key) {
	q, ok := c.reclaims[key]
	if !ok {
		return
	}
	delete(c.reclaims, key)
	c.claim(q, -1)
	for _, v := range q.victims {
		v.condemned--
	}
}

func (c *Cluster) claim(q *reclaim, sign int) {
	for _, p := range q.block {
		size := perTask(q.need.Shape).times(p.tasks * sign)
		p.node.claimed = p.node.claimed.plus(size)
		p.node.use(q.need.Key.Organisation, size)
	}
}

// continueReclaim looks at a reclaim that is in progress: it is placed when the victims have stopped. It gives up and
// returns false when a worker of the block takes no new tasks any more.
func (c *Cluster) continueReclaim(now time.Time, n Request, q *reclaim, racks []string) (Plan, bool) {
	ok := slices.Contains(racks, q.rack.name) && n.Shape == q.need.Shape
	free := true
	for _, p := range q.block {
		w := p.node
		ok = ok && w.usable() && !slices.Contains(n.Avoid, w.name)
		// The claim itself is part of what is not free.
		free = free && w.held.plus(perTask(n.Shape).times(p.tasks)).within(w.capacity)
	}
	if !ok {
		c.endReclaim(n.Key)
		return Plan{}, false
	}
	q.at = now
	p := q.plan()
	if free {
		p.Result, p.Victims = Placed, nil
	}
	return p, true
}

// endReclaimsOn ends the reclaims that wait for a worker.
func (c *Cluster) endReclaimsOn(n *node) {
	var keys []job.Key
	for key, q := range c.reclaims {
		if slices.ContainsFunc(q.block, func(b claimed) bool { return b.node == n }) {
			keys = append(keys, key)
		}
	}
	for _, key := range keys {
		c.endReclaim(key)
	}
}

// lapse ends reservations and reclaims whose requests have not been planned for a while.
func (c *Cluster) lapse(now time.Time) {
	var idle []job.Key
	for key, q := range c.reclaims {
		if now.Sub(q.at) > c.options.IdleTimeout {
			idle = append(idle, key)
		}
	}
	for key, q := range c.reservations {
		if now.Sub(q.planned) > c.options.IdleTimeout {
			idle = append(idle, key)
		}
	}
	slices.SortFunc(idle, compareKeys)
	for _, key := range idle {
		c.CancelPending(key)
	}
}
