package placement

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"clementinepier/job"
	"clementinepier/worker"
)

// Options sets the limits and policies of a Cluster. Zero values mean the defaults.
type Options struct {
	// ReservationBound is the age from which a reservation blocks all backfill onto its rack.
	ReservationBound time.Duration
	// IdleTimeout is how long a reservation or a reclaim lasts when its request is not planned again.
	IdleTimeout time.Duration
	// MaxReservedShare is the largest share of racks that may be reserved at a time; at least one rack may be.
	MaxReservedShare float64

	// MayBorrow decides whether a request may use capacity that is anchored for another organisation.
	MayBorrow func(Request) bool
	// ReclaimFirst decides whether a request reclaims its own anchors although it could borrow free capacity elsewhere.
	ReclaimFirst func(Request) bool
	// MayReserve decides whether a waiting request gets a reservation, given the accelerators of the rack's largest worker.
	MayReserve func(n Request, accelerators int) bool
	// PreferWorker and PreferRack report whether a is preferred to b.
	PreferWorker func(a, b WorkerCandidate, tasks int) bool
	PreferRack   func(a, b RackCandidate) bool
	// PreferVictim reports whether a is preempted before b.
	PreferVictim func(a, b Victim) bool

	// reclaimInRack finds the block to free in one rack and its cost; tests replace it.
	reclaimInRack func(c *Cluster, now time.Time, n Request, r *rack) (*reclaim, time.Duration)
}

// Victim is a running request that may be preempted.
type Victim struct {
	Key job.Key
	// LostWork is the accelerator time since the last checkpoint, summed over all tasks.
	LostWork time.Duration
	// StartedAt is when the first task started.
	StartedAt time.Time
}

// LessLostWork orders victims by lost work, then by the latest start.
func LessLostWork(a, b Victim) bool {
	return cmp.Or(cmp.Compare(a.LostWork, b.LostWork), b.StartedAt.Compare(a.StartedAt), compareKeys(a.Key, b.Key)) < 0
}

func compareKeys(a, b job.Key) int {
	return cmp.Or(strings.Compare(a.Organisation, b.Organisation), strings.Compare(a.ID, b.ID))
}

const (
	// With 30 s a saturated fleet lost about 1% of its work to racks kept idle for reservations; 180 s gained nothing over
	// 90 s.
	defaultReservationBound = 90 * time.Second
	// Rack owners plan the heads of their queues at least once a second, so 10 s without a call mean that the request is
	// gone.
	defaultIdle = 10 * time.Second
	// Reservations on up to a quarter of the racks left more capacity idle than the large jobs gained.
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
	if o.reclaimInRack == nil {
		o.reclaimInRack = reclaimInRack
	}
	return o
}

// Cluster models the racks of one failure domain and the capacity that tasks hold on them.
type Cluster struct {
	options        Options
	racks          map[string]*rack
	rackNames      []string
	workers        map[string]*workerState
	tasks          map[job.TaskID]*Allocation
	placedRequests map[job.Key]*placedRequest
	reclaims       map[job.Key]*reclaim
	reservations   map[job.Key]*reservation
	anchors        []Anchor
	// largestShape is the guaranteed shape with the most accelerators. Placement avoids splitting free capacity that could
	// serve it.
	largestShape job.Shape

	// Buffers reused by Plan, so that a decision allocates only its result.
	candidates     []WorkerCandidate
	portions       [2][]portion
	availabilities []availability
}

// rack is a set of workers that a gang may span.
type rack struct {
	name string
	// workers is ordered by name. anchorOrder has the same workers in the order of the anchors' positions.
	workers, anchorOrder []*workerState
	anchors              []Anchor
	reservation          *reservation
}

// workerState is the state of one worker.
type workerState struct {
	name      string
	rack      *rack
	capacity  resources
	leaving   bool
	available bool
	// held is what tasks hold; claimed is what reclaims in progress will hold.
	held, claimed resources
	// committed is the sum over all organisations of the larger of anchored and used capacity. Unused
	// capacity beyond it is available to any task, and within it only to the organisation itself or to borrowers.
	committed resources
	shares    []share
	tasks     []*Allocation
}

// share is what one organisation has on one worker. used excludes borrowed tasks.
type share struct {
	organisation   string
	anchored, used resources
}

// placedRequest is the tasks of one request that hold capacity.
type placedRequest struct {
	key     job.Key
	members []*Allocation
	// pendingReclaims counts the reclaims in progress that wait for this request to stop.
	pendingReclaims int
}

// reclaim is capacity that becomes free for a request when its victims have stopped.
type reclaim struct {
	request   Request
	rack      *rack
	block     []claimedTasks
	victims   []*placedRequest
	plannedAt time.Time
}

// claimedTasks is the number of tasks that a reclaim places on one worker.
type claimedTasks struct {
	worker *workerState
	tasks  int
}

// New returns an empty model.
func New(o Options) *Cluster {
	return &Cluster{
		options:        o.withDefaults(),
		racks:          map[string]*rack{},
		workers:        map[string]*workerState{},
		tasks:          map[job.TaskID]*Allocation{},
		placedRequests: map[job.Key]*placedRequest{},
		reclaims:       map[job.Key]*reclaim{},
		reservations:   map[job.Key]*reservation{},
	}
}

// SetWorker adds a worker or updates its capacity and leaving state.
func (c *Cluster) SetWorker(info worker.Info) {
	w, known := c.workers[info.Name]
	if known && w.rack.name != info.Rack {
		c.RemoveWorker(info.Name)
		known = false
	}
	if !known {
		r := c.racks[info.Rack]
		if r == nil {
			r = &rack{name: info.Rack}
			c.racks[info.Rack] = r
			at, _ := slices.BinarySearch(c.rackNames, info.Rack)
			c.rackNames = slices.Insert(c.rackNames, at, info.Rack)
			r.anchors = anchorsInRack(c.anchors, info.Rack)
		}
		w = &workerState{name: info.Name, rack: r, available: true}
		c.workers[info.Name] = w
		at, _ := slices.BinarySearchFunc(r.workers, w.name, func(m *workerState, name string) int { return strings.Compare(m.name, name) })
		r.workers = slices.Insert(r.workers, at, w)
	}
	capacity := resources{info.Accelerators, info.Slots}
	if known && w.capacity == capacity && w.leaving == info.Leaving {
		return
	}
	w.capacity, w.leaving = capacity, info.Leaving
	c.bindAnchors(w.rack)
}

// RemoveWorker removes a worker and releases what its tasks held.
func (c *Cluster) RemoveWorker(name string) {
	w, ok := c.workers[name]
	if !ok {
		return
	}
	for _, a := range slices.Clone(w.tasks) {
		c.Release(a.Task)
	}
	c.endReclaimsOn(w)
	delete(c.workers, name)
	r := w.rack
	r.workers = slices.DeleteFunc(r.workers, func(m *workerState) bool { return m == w })
	if r.reservation != nil {
		c.endReservation(r.reservation.request.Key)
	}
	if len(r.workers) == 0 {
		delete(c.racks, r.name)
		c.rackNames = slices.DeleteFunc(c.rackNames, func(s string) bool { return s == r.name })
		return
	}
	c.bindAnchors(r)
}

// SetAvailable sets whether a worker may take new tasks; quarantined and unreachable workers may not. Capacity that its
// tasks hold stays counted.
func (c *Cluster) SetAvailable(name string, available bool) {
	w, ok := c.workers[name]
	if !ok || w.available == available {
		return
	}
	w.available = available
	c.bindAnchors(w.rack)
}

// SetAnchors replaces the anchors. Running idempotent tasks that now use capacity anchored for another organisation become
// borrowed.
func (c *Cluster) SetAnchors(anchors []Anchor) {
	c.anchors = anchors
	c.largestShape = LargestGuaranteedShape(anchors)
	byRack := map[string][]Anchor{}
	for _, a := range anchors {
		byRack[a.Rack] = append(byRack[a.Rack], a)
	}
	for _, name := range c.rackNames {
		c.racks[name].anchors = byRack[name]
		c.bindAnchors(c.racks[name])
	}
}

// RecordAllocation records that a task holds capacity. Callers record all members of a placed plan before they plan again.
// It returns false for an unknown worker.
func (c *Cluster) RecordAllocation(a Allocation) bool {
	w, ok := c.workers[a.Worker]
	if !ok {
		return false
	}
	c.Release(a.Task)
	key := a.Task.Key()
	c.CancelPending(key)
	// A task that is not idempotent is never preempted, even if a.Borrowed is set.
	a.Borrowed = a.Borrowed && a.Idempotent
	placed := c.placedRequests[key]
	if placed == nil {
		placed = &placedRequest{key: key}
		c.placedRequests[key] = placed
	}
	if len(placed.members) > 0 {
		a.Borrowed = a.Borrowed || placed.members[0].Borrowed
	}
	allocation := &a
	placed.members = append(placed.members, allocation)
	c.tasks[a.Task] = allocation
	w.tasks = append(w.tasks, allocation)
	w.held = w.held.plus(a.size())
	if a.Borrowed && !placed.members[0].Borrowed {
		c.setBorrowed(placed)
	} else if !a.Borrowed {
		w.addUsed(key.Organisation, a.size())
		c.markBorrowers(w)
	}
	return true
}

func (a *Allocation) size() resources { return resources{a.Accelerators, a.Slots} }

// Release records that a task no longer holds capacity.
func (c *Cluster) Release(task job.TaskID) {
	a, ok := c.tasks[task]
	if !ok {
		return
	}
	delete(c.tasks, task)
	w := c.workers[a.Worker]
	w.tasks = slices.DeleteFunc(w.tasks, func(b *Allocation) bool { return b == a })
	w.held = w.held.minus(a.size())
	if !a.Borrowed {
		w.addUsed(task.Organisation, resources{}.minus(a.size()))
	}
	placed := c.placedRequests[task.Key()]
	placed.members = slices.DeleteFunc(placed.members, func(b *Allocation) bool { return b == a })
	if len(placed.members) == 0 {
		delete(c.placedRequests, placed.key)
	}
}

// RecordCheckpoint records when the progress of a task was last saved.
func (c *Cluster) RecordCheckpoint(task job.TaskID, at time.Time) {
	if a, ok := c.tasks[task]; ok && at.After(a.Checkpoint) {
		a.Checkpoint = at
	}
}

// Allocation returns the capacity that a task holds.
func (c *Cluster) Allocation(task job.TaskID) (Allocation, bool) {
	a, ok := c.tasks[task]
	if !ok {
		return Allocation{}, false
	}
	return *a, true
}

// CancelPending drops the reservation and the reclaim of a request that was placed, cancelled or has expired.
func (c *Cluster) CancelPending(key job.Key) {
	c.endReservation(key)
	c.endReclaim(key)
}

func anchorsInRack(anchors []Anchor, rack string) []Anchor {
	return slices.DeleteFunc(slices.Clone(anchors), func(a Anchor) bool { return a.Rack != rack })
}

func (w *workerState) usable() bool { return w.available && !w.leaving }

func (w *workerState) free() resources { return w.capacity.minus(w.held).minus(w.claimed) }

// share returns the share of an organisation, or an empty share when it has none.
func (w *workerState) share(organisation string) share {
	for i := range w.shares {
		if w.shares[i].organisation == organisation {
			return w.shares[i]
		}
	}
	return share{organisation: organisation}
}

// updateShare applies update to the organisation's share and keeps committed up to date.
func (w *workerState) updateShare(organisation string, update func(*share)) {
	i := slices.IndexFunc(w.shares, func(s share) bool { return s.organisation == organisation })
	if i < 0 {
		i = len(w.shares)
		w.shares = append(w.shares, share{organisation: organisation})
	}
	s := &w.shares[i]
	w.committed = w.committed.minus(maxResources(s.anchored, s.used))
	update(s)
	w.committed = w.committed.plus(maxResources(s.anchored, s.used))
	if s.anchored == (resources{}) && s.used == (resources{}) {
		w.shares = slices.Delete(w.shares, i, i+1)
	}
}

func (w *workerState) addUsed(organisation string, a resources) {
	w.updateShare(organisation, func(s *share) { s.used = s.used.plus(a) })
}

// anchoredForOthers returns the capacity anchored for organisations other than the given one.
func (w *workerState) anchoredForOthers(organisation string) resources {
	var sum resources
	for i := range w.shares {
		if w.shares[i].organisation != organisation {
			sum = sum.plus(w.shares[i].anchored)
		}
	}
	return sum
}

// bindAnchors assigns the anchors' positions to workers. Positions follow the workers' names, but a worker that takes no new
// tasks is swapped with a usable one without anchors. So a guarantee still holds after the loss of one worker while the rack
// has a spare.
func (c *Cluster) bindAnchors(r *rack) {
	r.anchorOrder = append(r.anchorOrder[:0], r.workers...)
	anchored := make([]bool, len(r.anchorOrder))
	for _, a := range r.anchors {
		for _, p := range a.Block {
			if p.Position < len(anchored) {
				anchored[p.Position] = true
			}
		}
	}
	for i, w := range r.anchorOrder {
		if !anchored[i] || w.usable() {
			continue
		}
		if j := spareWorker(r, anchored, w); j >= 0 {
			r.anchorOrder[i], r.anchorOrder[j] = r.anchorOrder[j], w
		}
	}
	for _, w := range r.workers {
		for i := len(w.shares) - 1; i >= 0; i-- {
			w.updateShare(w.shares[i].organisation, func(s *share) { s.anchored = resources{} })
		}
	}
	for _, a := range r.anchors {
		for _, p := range a.Block {
			if p.Position < len(r.anchorOrder) {
				size := perTask(a.Shape).times(p.Tasks)
				r.anchorOrder[p.Position].updateShare(a.Organisation, func(s *share) { s.anchored = s.anchored.plus(size) })
			}
		}
	}
	for _, w := range r.workers {
		c.markBorrowers(w)
	}
}

// spareWorker returns the position of the usable worker without anchors that runs the least work that cannot be preempted,
// or -1.
func spareWorker(r *rack, anchored []bool, lost *workerState) int {
	best, least := -1, 0
	for j, w := range r.anchorOrder {
		if anchored[j] || !w.usable() || !lost.capacity.within(w.capacity) {
			continue
		}
		notPreemptible := 0
		for _, a := range w.tasks {
			if !a.Idempotent {
				notPreemptible += max(1, a.Accelerators)
			}
		}
		if best < 0 || notPreemptible < least {
			best, least = j, notPreemptible
		}
	}
	return best
}

// markBorrowers marks idempotent requests as borrowed, the latest started first, until everything anchored on the worker can
// be reclaimed. Tasks that are not idempotent keep their capacity, so the anchor is complete again only when they have
// ended.
func (c *Cluster) markBorrowers(w *workerState) {
	for !w.committed.within(w.capacity) {
		var latest *Allocation
		for _, a := range w.tasks {
			s := w.share(a.Task.Organisation)
			if a.Borrowed || !a.Idempotent || s.used.within(s.anchored) {
				continue
			}
			if latest == nil || cmp.Or(latest.StartedAt.Compare(a.StartedAt), strings.Compare(latest.Task.String(), a.Task.String())) < 0 {
				latest = a
			}
		}
		if latest == nil {
			return
		}
		c.setBorrowed(c.placedRequests[latest.Task.Key()])
	}
}

// setBorrowed marks all tasks of a request as borrowed.
func (c *Cluster) setBorrowed(placed *placedRequest) {
	for _, a := range placed.members {
		if !a.Borrowed {
			a.Borrowed = true
			c.workers[a.Worker].addUsed(placed.key.Organisation, resources{}.minus(a.size()))
		}
	}
}
