package placement

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"clementinepier/job"
	"clementinepier/worker"
)

// Options sets the bounds and rules of a Cluster. Zero values mean the defaults.
type Options struct {
	// ReservationBound is the age from which a reservation stops all backfill onto its rack.
	ReservationBound time.Duration
	// IdleTimeout is how long a reservation or a reclaim lasts when its request is not planned again.
	IdleTimeout time.Duration
	// MaxReservedShare is the share of racks that may be reserved at a time; at least one rack may be.
	MaxReservedShare float64

	// MayBorrow decides whether a need may use capacity that is anchored for another organisation.
	MayBorrow func(Request) bool
	// ReclaimFirst decides whether a need reclaims its own anchor although it could borrow free capacity elsewhere.
	ReclaimFirst func(Request) bool
	// MayReserve decides whether a waiting need gets a reservation, given the accelerators of a worker.
	MayReserve func(n Request, accelerators int) bool
	// PreferWorker and Rack are the preferences between workers and between racks.
	PreferWorker func(a, b WorkerCandidate, tasks int) bool
	PreferRack   func(a, b RackCandidate) bool
	// PreferVictim orders the requests that could be preempted by their lost work.
	PreferVictim func(a, b Victim) bool

	// reclaimIn finds the block to free in one rack and its cost; tests replace it.
	reclaimIn func(c *Cluster, now time.Time, n Request, r *rack) (*reclaim, time.Duration)
}

// Victim is a request that could be preempted.
type Victim struct {
	Key job.Key
	// LostWork is the accelerator time since the last checkpoint of all tasks.
	LostWork time.Duration
	// StartedAt is when its first task started.
	StartedAt time.Time
}

// LessLostWork orders victims by lost work, then the latest start.
func LessLostWork(a, b Victim) bool {
	return cmp.Or(cmp.Compare(a.LostWork, b.LostWork), b.StartedAt.Compare(a.StartedAt), compareKeys(a.Key, b.Key)) < 0
}

func compareKeys(a, b job.Key) int {
	return cmp.Or(strings.Compare(a.Organisation, b.Organisation), strings.Compare(a.ID, b.ID))
}

const (
	// With 30 s a saturated fleet lost about 1% of its work to racks that drain; 180 s gained nothing over 90 s.
	defaultReservationBound = 90 * time.Second
	// Owners plan the heads of their queues every second or faster, so ten seconds without a call mean that the
	// request is gone.
	defaultIdle = 10 * time.Second
	// A quarter of the racks idled more capacity than the large jobs gained.
	defaultMaxReserved = 0.1
)

func (o Options) withDefaults() Options {
	o.ReservationBound = cmp.Or(o.ReservationBound, defaultReservationBound)
	o.IdleTimeout = cmp.Or(o.IdleTimeout, defaultIdle)
	o.MaxReservedShare = cmp.Or(o.MaxReservedShare, defaultMaxReserved)
	if o.MayBorrow == nil {
		o.MayBorrow = func(n Request) bool { return n.Idempotent }
	}
	if o.ReclaimFirst == nil {
		o.ReclaimFirst = func(Request) bool { return false }
	}
	if o.MayReserve == nil {
		o.MayReserve = func(n Request, accelerators int) bool { return n.Shape.TotalAccelerators() >= accelerators }
	}
	if o.PreferWorker == nil {
		o.PreferWorker = BestFitWorker
	}
	if o.PreferRack == nil {
		o.PreferRack = BestFitRack
	}
	if o.PreferVictim == nil {
		o.PreferVictim = LessLostWork
	}
	if o.reclaimIn == nil {
		o.reclaimIn = reclaimIn
	}
	return o
}

// Cluster is the model of the racks of one failure domain and of what they hold.
type Cluster struct {
	options      Options
	racks        map[string]*rack
	names        []string
	workers      map[string]*node
	tasks        map[job.TaskID]*Allocation
	requests     map[job.Key]*placedRequest
	reclaims     map[job.Key]*reclaim
	reservations map[job.Key]*reservation
	anchors      []Anchor
	// largest is the guaranteed shape with the most accelerators; free capacity that can serve it is kept together.
	largest job.Shape

	// Buffers that Plan uses again, so that a decision allocates only its result.
	spots    []WorkerCandidate
	portions [2][]portion
	moments  []moment
}

// rack is a set of workers that a gang may span.
type rack struct {
	name string
	// nodes are ordered by name. bound has the same nodes in the order of the anchors' positions.
	nodes, bound []*node
	anchors      []Anchor
	reserved     *reservation
}

// node is a worker.
type node struct {
	name      string
	rack      *rack
	capacity  amount
	leaving   bool
	available bool
	// held is what tasks hold; claimed is what reclaims in progress will hold.
	held, claimed amount
	// covered is the sum over organisations of the larger of what is anchored and what is used. Capacity beyond it
	// is free for any task; capacity within it only for the organisation itself or for borrowers.
	covered amount
	shares  []share
	tasks   []*Allocation
}

// share is the part of one organisation on one worker. Used leaves out borrowed tasks.
type share struct {
	organisation   string
	anchored, used amount
}

// placedRequest is the tasks of one placedRequest that hold capacity.
type placedRequest struct {
	key     job.Key
	members []*Allocation
	// condemned counts the reclaims in progress that wait for it to stop.
	condemned int
}

// reclaim is capacity that becomes free for a need when its victims have stopped.
type reclaim struct {
	need    Request
	rack    *rack
	block   []claimed
	victims []*placedRequest
	at      time.Time
}

// claimed is a number of tasks on one worker of a reclaim.
type claimed struct {
	node  *node
	tasks int
}

// New returns an empty model.
func New(o Options) *Cluster {
	return &Cluster{
		options:      o.withDefaults(),
		racks:        map[string]*rack{},
		workers:      map[string]*node{},
		tasks:        map[job.TaskID]*Allocation{},
		requests:     map[job.Key]*placedRequest{},
		reclaims:     map[job.Key]*reclaim{},
		reservations: map[job.Key]*reservation{},
	}
}

// SetWorker adds a worker or updates what is known about it.
func (c *Cluster) SetWorker(info worker.Info) {
	n, known := c.workers[info.Name]
	if known && n.rack.name != info.Rack {
		c.RemoveWorker(info.Name)
		known = false
	}
	if !known {
		r := c.racks[info.Rack]
		if r == nil {
			r = &rack{name: info.Rack}
			c.racks[info.Rack] = r
			at, _ := slices.BinarySearch(c.names, info.Rack)
			c.names = slices.Insert(c.names, at, info.Rack)
			r.anchors = anchorsOf(c.anchors, info.Rack)
		}
		n = &node{name: info.Name, rack: r, available: true}
		c.workers[info.Name] = n
		at, _ := slices.BinarySearchFunc(r.nodes, n.name, func(m *node, name string) int { return strings.Compare(m.name, name) })
		r.nodes = slices.Insert(r.nodes, at, n)
	}
	capacity := amount{info.Accelerators, info.Slots}
	if known && n.capacity == capacity && n.leaving == info.Leaving {
		return
	}
	n.capacity, n.leaving = capacity, info.Leaving
	c.bind(n.rack)
}

// RemoveWorker forgets a worker and releases what it held.
func (c *Cluster) RemoveWorker(name string) {
	n, ok := c.workers[name]
	if !ok {
		return
	}
	for _, a := range slices.Clone(n.tasks) {
		c.Release(a.Task)
	}
	c.endReclaimsOn(n)
	delete(c.workers, name)
	r := n.rack
	r.nodes = slices.DeleteFunc(r.nodes, func(m *node) bool { return m == n })
	if r.reserved != nil {
		c.endReservation(r.reserved.need.Key)
	}
	if len(r.nodes) == 0 {
		delete(c.racks, r.name)
		c.names = slices.DeleteFunc(c.names, func(s string) bool { return s == r.name })
		return
	}
	c.bind(r)
}

// SetAvailable says whether a worker may take new tasks; quarantined and unreachable workers may not. What the worker
// holds still counts.
func (c *Cluster) SetAvailable(name string, available bool) {
	n, ok := c.workers[name]
	if !ok || n.available == available {
		return
	}
	n.available = available
	c.bind(n.rack)
}

// SetAnchors replaces the anchors. Idempotent tasks that lie under an anchor of another organisation from now on count
// as borrowed.
func (c *Cluster) SetAnchors(anchors []Anchor) {
	c.anchors = anchors
	c.largest = LargestGuaranteedShape(anchors)
	byRack := map[string][]Anchor{}
	for _, a := range anchors {
		byRack[a.Rack] = append(byRack[a.Rack], a)
	}
	for _, name := range c.names {
		c.racks[name].anchors = byRack[name]
		c.bind(c.racks[name])
	}
}

// RecordAllocation records that a task holds capacity. Callers record all members of a placed plan before they plan again.
// It returns false for an unknown worker.
func (c *Cluster) RecordAllocation(a Allocation) bool {
	n, ok := c.workers[a.Worker]
	if !ok {
		return false
	}
	c.Release(a.Task)
	key := a.Task.Key()
	c.CancelPending(key)
	// A task that may start only once is never preempted, whatever its record says.
	a.Borrowed = a.Borrowed && a.Idempotent
	q := c.requests[key]
	if q == nil {
		q = &placedRequest{key: key}
		c.requests[key] = q
	}
	if len(q.members) > 0 {
		a.Borrowed = a.Borrowed || q.members[0].Borrowed
	}
	held := &a
	q.members = append(q.members, held)
	c.tasks[a.Task] = held
	n.tasks = append(n.tasks, held)
	n.held = n.held.plus(a.size())
	if a.Borrowed && !q.members[0].Borrowed {
		c.setBorrowed(q)
	} else if !a.Borrowed {
		n.use(key.Organisation, a.size())
		c.settleNode(n)
	}
	return true
}

func (a *Allocation) size() amount { return amount{a.Accelerators, a.Slots} }

// Release records that a task holds nothing any more.
func (c *Cluster) Release(task job.TaskID) {
	a, ok := c.tasks[task]
	if !ok {
		return
	}
	delete(c.tasks, task)
	n := c.workers[a.Worker]
	n.tasks = slices.DeleteFunc(n.tasks, func(b *Allocation) bool { return b == a })
	n.held = n.held.minus(a.size())
	if !a.Borrowed {
		n.use(task.Organisation, amount{}.minus(a.size()))
	}
	q := c.requests[task.Key()]
	q.members = slices.DeleteFunc(q.members, func(b *Allocation) bool { return b == a })
	if len(q.members) == 0 {
		delete(c.requests, q.key)
	}
}

// RecordCheckpoint records when the progress of a task was last saved.
func (c *Cluster) RecordCheckpoint(task job.TaskID, at time.Time) {
	if a, ok := c.tasks[task]; ok && at.After(a.Checkpoint) {
		a.Checkpoint = at
	}
}

// Allocation returns what a task holds.
func (c *Cluster) Allocation(task job.TaskID) (Allocation, bool) {
	a, ok := c.tasks[task]
	if !ok {
		return Allocation{}, false
	}
	return *a, true
}

// CancelPending drops the reservation and the reclaim of a request that is placed, cancelled or expired.
func (c *Cluster) CancelPending(key job.Key) {
	c.endReservation(key)
	c.endReclaim(key)
}

func anchorsOf(anchors []Anchor, rack string) []Anchor {
	return slices.DeleteFunc(slices.Clone(anchors), func(a Anchor) bool { return a.Rack != rack })
}

func (n *node) usable() bool { return n.available && !n.leaving }

func (n *node) free() amount { return n.capacity.minus(n.held).minus(n.claimed) }

// share returns the share of an organisation; the zero share when it has none.
func (n *node) share(organisation string) share {
	for i := range n.shares {
		if n.shares[i].organisation == organisation {
			return n.shares[i]
		}
	}
	return share{organisation: organisation}
}

// change applies f to the organisation's share and keeps covered up to date.
func (n *node) change(organisation string, f func(*share)) {
	i := slices.IndexFunc(n.shares, func(s share) bool { return s.organisation == organisation })
	if i < 0 {
		i = len(n.shares)
		n.shares = append(n.shares, share{organisation: organisation})
	}
	s := &n.shares[i]
	n.covered = n.covered.minus(largest(s.anchored, s.used))
	f(s)
	n.covered = n.covered.plus(largest(s.anchored, s.used))
	if s.anchored == (amount{}) && s.used == (amount{}) {
		n.shares = slices.Delete(n.shares, i, i+1)
	}
}

func (n *node) use(organisation string, a amount) {
	n.change(organisation, func(s *share) { s.used = s.used.plus(a) })
}

// foreign returns what is anchored for organisations other than the one given.
func (n *node) foreign(organisation string) amount {
	var sum amount
	for i := range n.shares {
		if n.shares[i].organisation != organisation {
			sum = sum.plus(n.shares[i].anchored)
		}
	}
	return sum
}

// bind assigns the anchors' positions to workers. Positions follow the workers' names, but a worker that takes no new
// tasks changes places with a usable one without anchors, so one lost worker does not void a guarantee while the rack
// has room.
func (c *Cluster) bind(r *rack) {
	r.bound = append(r.bound[:0], r.nodes...)
	anchored := make([]bool, len(r.bound))
	for _, a := range r.anchors {
		for _, p := range a.Block {
			if p.Position < len(anchored) {
				anchored[p.Position] = true
			}
		}
	}
	for i, n := range r.bound {
		if !anchored[i] || n.usable() {
			continue
		}
		if j := spare(r, anchored, n); j >= 0 {
			r.bound[i], r.bound[j] = r.bound[j], n
		}
	}
	for _, n := range r.nodes {
		for i := len(n.shares) - 1; i >= 0; i-- {
			n.change(n.shares[i].organisation, func(s *share) { s.anchored = amount{} })
		}
	}
	for _, a := range r.anchors {
		for _, p := range a.Block {
			if p.Position < len(r.bound) {
				size := perTask(a.Shape).times(p.Tasks)
				r.bound[p.Position].change(a.Organisation, func(s *share) { s.anchored = s.anchored.plus(size) })
			}
		}
	}
	for _, n := range r.nodes {
		c.settleNode(n)
	}
}

// spare returns the position of a usable worker without anchors that holds least that cannot be preempted.
func spare(r *rack, anchored []bool, lost *node) int {
	best, least := -1, 0
	for j, n := range r.bound {
		if anchored[j] || !n.usable() || !lost.capacity.within(n.capacity) {
			continue
		}
		fixed := 0
		for _, a := range n.tasks {
			if !a.Idempotent {
				fixed += max(1, a.Accelerators)
			}
		}
		if best < 0 || fixed < least {
			best, least = j, fixed
		}
	}
	return best
}

// settleNode marks idempotent requests as borrowed until everything anchored on the worker can be reclaimed, the latest
// started first. Tasks that are not idempotent stay, so the anchor is only whole again when they have ended.
func (c *Cluster) settleNode(n *node) {
	for !n.covered.within(n.capacity) {
		var pick *Allocation
		for _, a := range n.tasks {
			s := n.share(a.Task.Organisation)
			if a.Borrowed || !a.Idempotent || s.used.within(s.anchored) {
				continue
			}
			if pick == nil || cmp.Or(pick.StartedAt.Compare(a.StartedAt), strings.Compare(pick.Task.String(), a.Task.String())) < 0 {
				pick = a
			}
		}
		if pick == nil {
			return
		}
		c.setBorrowed(c.requests[pick.Task.Key()])
	}
}

// setBorrowed marks all tasks of a request as borrowed.
func (c *Cluster) setBorrowed(q *placedRequest) {
	for _, a := range q.members {
		if !a.Borrowed {
			a.Borrowed = true
			c.workers[a.Worker].use(q.key.Organisation, amount{}.minus(a.size()))
		}
	}
}
