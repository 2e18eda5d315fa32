package dispatch

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"clementinepier/board"
	"clementinepier/gang"
	"clementinepier/job"
	"clementinepier/metrics"
	"clementinepier/placement"
	"clementinepier/queue"
)

// adoptWait is how long a gained rack waits for workers that do not answer before it is used without them.
const adoptWait = time.Second

// memberWait is how long the adoption of a gang waits for workers that do not answer. A lease of 9 s, less a renewal
// interval and the 3 s in which a lost owner is replaced, leaves 3 s before the gang's members lapse.
const memberWait = 3 * time.Second

// maxWaiting bounds the requests looked at in one pass that cannot be placed. Later ones are looked at when capacity
// has become free; the bound keeps a pass cheap when many wait.
const maxWaiting = 64

// enqueue makes a run wait for capacity.
func (d *Dispatcher) enqueue(s *board.State, r *run) {
	now := d.Clock.Now()
	first := r.queuedAt.IsZero()
	if first {
		r.queuedAt = now
	}
	item := d.item(r)
	if first {
		if retryAfter, refuse := s.Queue.ShouldReject(now, item, d.share(s, r.request.Organisation)); refuse {
			d.end(s, r, job.NewNotRun(r.key(), job.CodeOverloaded, "the expected wait exceeds the timeout", job.Duration(retryAfter)))
			return
		}
	}
	r.phase, r.rerouteAt = phaseQueued, now.Add(rerouteAfter)
	if err := s.Queue.Push(item); err != nil {
		d.end(s, r, job.NewNotRun(r.key(), job.CodeOverloaded, err.Error(), retryHint))
	}
}

// item is the run as the queue has it.
func (d *Dispatcher) item(r *run) queue.Item {
	return queue.Item{
		Request: r.request, Deadline: r.deadline, Enqueued: r.queuedAt, Attempt: r.attempt + 1, Avoid: d.avoids(r),
	}
}

// schedule places what can be placed now.
func (d *Dispatcher) schedule(s *board.State) {
	if s.Queue.Len() == 0 {
		return
	}
	if code := d.blocked(s); code != job.CodeOK {
		d.rejectQueued(s, code)
		return
	}
	racks := d.usableRacks(s)
	if len(racks) == 0 {
		return
	}
	now := d.Clock.Now()
	s.Queue.NewPass()
	d.placeReclaiming(s, racks)
	for waiting := 0; waiting < maxWaiting; {
		item, ok := s.Queue.Next(now, d.usage)
		if !ok {
			return
		}
		r, ok := d.runs[item.Request.Key()]
		if !ok || r.phase != phaseQueued {
			continue
		}
		if !d.place(s, r, item, racks) {
			waiting++
		}
	}
}

// placeReclaiming plans the runs first whose victims are stopping. The model gives up a reclaim that is not planned
// again, so a long queue must not keep such a run from its turn.
func (d *Dispatcher) placeReclaiming(s *board.State, racks []string) {
	var reclaiming []*run
	for _, r := range d.runs {
		if r.phase == phaseQueued && !r.reclaimAt.IsZero() {
			reclaiming = append(reclaiming, r)
		}
	}
	slices.SortFunc(reclaiming, func(a, b *run) int {
		return cmp.Or(a.reclaimAt.Compare(b.reclaimAt), strings.Compare(a.key().String(), b.key().String()))
	})
	for _, r := range reclaiming {
		if s.Queue.Remove(r.key()) {
			d.place(s, r, d.item(r), racks)
		}
	}
}

// blocked says why nothing may start here now.
func (d *Dispatcher) blocked(s *board.State) job.Code {
	if s.Draining {
		return job.CodeStopping
	}
	return d.mayStart(s, d.Clock.Now())
}

// mayStart says why no task may start at the time given.
func (d *Dispatcher) mayStart(s *board.State, now time.Time) job.Code {
	if fresh, code := s.Freshness.MayStart(now); !fresh {
		return code
	}
	if s.View.IsOutOfService(s.Self.FailureDomain) {
		return job.CodeDomainOut
	}
	return job.CodeOK
}

// rejectQueued returns the waiting requests to their receivers, which try other failure domains. A view that is not fresh
// may be fresh again soon, so its requests wait here for a moment first.
func (d *Dispatcher) rejectQueued(s *board.State, code job.Code) {
	now := d.Clock.Now()
	for _, item := range s.Queue.Items() {
		r, ok := d.runs[item.Request.Key()]
		if !ok || code == job.CodeViewNotFresh && now.Sub(r.queuedAt) < staleWait {
			continue
		}
		d.end(s, r, job.NewNotRun(r.key(), code, "nothing may start in this failure domain now", retryHint))
	}
}

// rerouteAfter is how long a request waits here before it goes to another owner that has room. Summaries in heartbeats are
// up to half a second old, so a shorter time would send requests back and forth.
const rerouteAfter = time.Second

// reroute returns a request that waits here to its receiver when another owner has room for it. One that has a claim or
// was started, or whose victims are stopping, stays.
func (d *Dispatcher) reroute(s *board.State, r *run, now time.Time) {
	if d.RoomElsewhere == nil || now.Before(r.rerouteAt) || r.started > 0 || r.claimed > 0 || len(r.claimNonces) > 0 ||
		!r.reclaimAt.IsZero() {
		return
	}
	r.rerouteAt = now.Add(rerouteAfter)
	if d.RoomElsewhere(r.request) {
		d.Metrics.Add(metrics.RequestsReturned, 1)
		d.end(s, r, job.NewNotRun(r.key(), job.CodeNoRack, "another rack owner has room for the request", retryHint))
	}
}

// staleWait is one heartbeat interval and a round trip.
const staleWait = 600 * time.Millisecond

// usableRacks returns the owned racks whose workers have been listed, in name order.
func (d *Dispatcher) usableRacks(s *board.State) []string {
	waiting := map[string]bool{}
	for _, w := range d.watchers {
		if !w.listed && d.Clock.Since(w.since) < adoptWait {
			waiting[w.rack] = true
		}
	}
	var racks []string
	for rack := range s.OwnedRacks {
		if !waiting[rack] {
			racks = append(racks, rack)
		}
	}
	slices.Sort(racks)
	return racks
}

// place tries to place one run. It returns false when the run has to wait.
func (d *Dispatcher) place(s *board.State, r *run, item queue.Item, racks []string) bool {
	if d.awaitsAdoption(r.key()) {
		s.Queue.Defer(item)
		return false
	}
	now := d.Clock.Now()
	need := placement.Request{
		Key: r.key(), Shape: r.request.Shape, Idempotent: r.request.Idempotent, Urgent: r.request.Urgent,
		Avoid: append(d.quarantined(s, now, r), d.avoids(r)...),
	}
	need.RunTime, _ = s.Queue.ServiceTime(r.request.Organisation, r.request.Shape)
	plan := s.Cluster.Plan(now, need, racks)
	switch plan.Result {
	case placement.Placed:
		if !d.rampAllows(s, now) {
			s.Queue.Defer(item)
			return false
		}
		if d.ramp != nil {
			d.ramp.RecordStart(r.request.Shape.Tasks)
		}
		if !r.reclaimAt.IsZero() {
			d.Metrics.Add(metrics.ReclaimsEnded, 1)
			d.Metrics.Add(metrics.ReclaimTime, now.Sub(r.reclaimAt).Milliseconds())
			r.reclaimAt = time.Time{}
		}
		d.begin(s, r, plan)
		return true
	case placement.Infeasible:
		if d.everFitsElsewhere(s, r) {
			d.end(s, r, job.NewNotRun(r.key(), job.CodeNoRack, "no rack here could run the shape", retryHint))
		} else {
			d.end(s, r, job.NewNotRun(r.key(), job.CodeShapeFitsNoRack, "no rack could run the shape even when empty", 0))
		}
		return true
	case placement.Reclaim:
		if r.reclaimAt.IsZero() {
			r.reclaimAt = now
		}
		d.reclaim(s, plan.Victims)
	}
	if plan.FitsElsewhere {
		d.end(s, r, job.NewNotRun(r.key(), job.CodeNoRack, "no rack here could run the shape", retryHint))
		return true
	}
	s.Queue.Defer(item)
	return false
}

const (
	// The ramp after a failure domain has come back is steep enough to cost little work, and flat enough that the
	// requests that waited do not hit cold workers at once. Both rates are requests a second of one rack owner.
	rampWindow = 5 * time.Second
	rampFirst  = 10
	rampLast   = 200
)

// rampAllows reports whether a request may start now, given how long ago the failure domain came back.
func (d *Dispatcher) rampAllows(s *board.State, now time.Time) bool {
	if s.ReturnedToServiceAt.IsZero() {
		return true
	}
	if d.ramp == nil || !d.ramp.ReturnedAt.Equal(s.ReturnedToServiceAt) {
		d.ramp = &placement.Ramp{ReturnedAt: s.ReturnedToServiceAt, Window: rampWindow, InitialRate: rampFirst, FinalRate: rampLast}
	}
	return d.ramp.Allows(now)
}

// quarantined returns the workers that the breaker keeps the request off.
func (d *Dispatcher) quarantined(s *board.State, now time.Time, r *run) []string {
	var names []string
	for name := range d.watchers {
		if !s.Breaker.Allowed(now, name, r.request.Idempotent) {
			names = append(names, name)
		}
	}
	return names
}

// reclaim preempts the borrowers of a guaranteed shape.
func (d *Dispatcher) reclaim(s *board.State, victims []job.Key) {
	for _, key := range victims {
		r, ok := d.runs[key]
		if !ok || r.phase != phaseActive || r.preempting {
			continue
		}
		r.preempting = true
		d.Metrics.Add(metrics.ReclaimsRequested, 1)
		d.gangEvent(s, r, r.gang, gang.Preempt{})
	}
}

func newRandom() *rand.Rand {
	return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) //nolint:gosec // jitter needs no secure randomness
}
