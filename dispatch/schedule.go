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

// rackListTimeout is how long a gained rack waits for workers that do not answer before it is used without them.
const rackListTimeout = time.Second

// memberListTimeout is how long the adoption of a gang waits for workers that do not answer. A lease of 9 s, minus a
// renewal interval and the 3 s in which a lost owner is replaced, leaves 3 s before the leases of the gang's members expire.
const memberListTimeout = 3 * time.Second

// maxUnplacedPerPass ends a scheduling pass after this many requests that could not be placed, which keeps a pass cheap when
// many requests wait. The requests behind them are considered when capacity has become free.
const maxUnplacedPerPass = 64

// enqueue adds a run to the queue, or ends it when the queue rejects it.
func (d *Dispatcher) enqueue(s *board.State, r *run) {
	now := d.Clock.Now()
	first := r.queuedAt.IsZero()
	if first {
		r.queuedAt = now
	}
	item := d.queueItem(r)
	if first {
		if retryAfter, refuse := s.Queue.ShouldReject(now, item, d.expectedAccelerators(s, r.request.Organisation)); refuse {
			d.endRun(s, r, job.NewNotRun(r.key(), job.CodeOverloaded, "the expected wait exceeds the timeout", job.Duration(retryAfter)))
			return
		}
	}
	r.phase, r.nextRerouteAt = phaseQueued, now.Add(rerouteInterval)
	if err := s.Queue.Push(item); err != nil {
		d.endRun(s, r, job.NewNotRun(r.key(), job.CodeOverloaded, err.Error(), defaultRetryAfter))
	}
}

// queueItem returns the queue item of a run.
func (d *Dispatcher) queueItem(r *run) queue.Item {
	return queue.Item{
		Request: r.request, Deadline: r.deadline, Enqueued: r.queuedAt, Attempt: r.attempt + 1, Avoid: d.workersToAvoid(r),
	}
}

// schedule places the queued runs for which there is capacity now.
func (d *Dispatcher) schedule(s *board.State) {
	if s.Queue.Len() == 0 {
		return
	}
	if code := d.schedulingBlockedBy(s); code != job.CodeOK {
		d.rejectQueued(s, code)
		return
	}
	racks := d.usableRacks(s)
	if len(racks) == 0 {
		return
	}
	now := d.Clock.Now()
	s.Queue.NewPass()
	d.placeWaitingForReclaim(s, racks)
	for unplaced := 0; unplaced < maxUnplacedPerPass; {
		item, ok := s.Queue.Next(now, d.usage)
		if !ok {
			return
		}
		r, ok := d.runs[item.Request.Key()]
		if !ok || r.phase != phaseQueued {
			continue
		}
		if !d.placeRun(s, r, item, racks) {
			unplaced++
		}
	}
}

// placeWaitingForReclaim plans the runs that wait for the capacity of preempted victims before all others. The cluster model
// drops a reclaim that is not planned again, so a long queue must not delay such a run.
func (d *Dispatcher) placeWaitingForReclaim(s *board.State, racks []string) {
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
			d.placeRun(s, r, d.queueItem(r), racks)
		}
	}
}

// schedulingBlockedBy returns the reason why nothing may be placed now, or CodeOK.
func (d *Dispatcher) schedulingBlockedBy(s *board.State) job.Code {
	if s.Draining {
		return job.CodeStopping
	}
	return d.startBlockedBy(s, d.Clock.Now())
}

// startBlockedBy returns the reason why no task may start at the given time, or CodeOK.
func (d *Dispatcher) startBlockedBy(s *board.State, now time.Time) job.Code {
	if fresh, code := s.Freshness.MayStart(now); !fresh {
		return code
	}
	if s.View.IsOutOfService(s.Self.FailureDomain) {
		return job.CodeDomainOut
	}
	return job.CodeOK
}

// rejectQueued returns the queued requests to their receivers, which try other failure domains. A view that is not fresh
// may be fresh again soon, so in that case requests wait here for staleViewWait first.
func (d *Dispatcher) rejectQueued(s *board.State, code job.Code) {
	now := d.Clock.Now()
	for _, item := range s.Queue.Items() {
		r, ok := d.runs[item.Request.Key()]
		if !ok || code == job.CodeViewNotFresh && now.Sub(r.queuedAt) < staleViewWait {
			continue
		}
		d.endRun(s, r, job.NewNotRun(r.key(), code, "nothing may start in this failure domain now", defaultRetryAfter))
	}
}

// rerouteInterval is how long a request waits here before it is returned for another owner that has capacity, and the time
// between checks for one. Summaries in heartbeats are up to half a second old, so with a shorter interval requests would be
// sent back and forth between owners.
const rerouteInterval = time.Second

// reroute returns a queued request to its receiver when another owner has capacity for it. A request stays if it was started
// or claimed, if a claim was requested for it, or if it waits for preempted victims to stop.
func (d *Dispatcher) reroute(s *board.State, r *run, now time.Time) {
	if d.HasCapacityElsewhere == nil || now.Before(r.nextRerouteAt) || r.startedAttempts > 0 || r.claimedAttempt > 0 || len(r.claimNonces) > 0 ||
		!r.reclaimAt.IsZero() {
		return
	}
	r.nextRerouteAt = now.Add(rerouteInterval)
	if d.HasCapacityElsewhere(r.request) {
		d.Metrics.Add(metrics.RequestsReturned, 1)
		d.endRun(s, r, job.NewNotRun(r.key(), job.CodeNoRack, "another rack owner has room for the request", defaultRetryAfter))
	}
}

// staleViewWait is one heartbeat interval plus a round trip.
const staleViewWait = 600 * time.Millisecond

// usableRacks returns the owned racks, in name order, for which the tasks of each worker have been listed or rackListTimeout
// has passed.
func (d *Dispatcher) usableRacks(s *board.State) []string {
	waiting := map[string]bool{}
	for _, w := range d.watchers {
		if !w.listed && d.Clock.Since(w.since) < rackListTimeout {
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

// placeRun tries to place one run. It returns false when the run has to wait, and true when it was placed or has ended.
func (d *Dispatcher) placeRun(s *board.State, r *run, item queue.Item, racks []string) bool {
	if d.awaitsAdoption(r.key()) {
		s.Queue.Defer(item)
		return false
	}
	now := d.Clock.Now()
	request := placement.Request{
		Key: r.key(), Shape: r.request.Shape, Idempotent: r.request.Idempotent, Urgent: r.request.Urgent,
		Avoid: append(d.quarantinedWorkers(s, now, r), d.workersToAvoid(r)...),
	}
	request.RunTime, _ = s.Queue.ServiceTime(r.request.Organisation, r.request.Shape)
	plan := s.Cluster.Plan(now, request, racks)
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
		d.startAttempt(s, r, plan)
		return true
	case placement.Infeasible:
		if d.fitsAnyRack(s, r) {
			d.endRun(s, r, job.NewNotRun(r.key(), job.CodeNoRack, "no rack here could run the shape", defaultRetryAfter))
		} else {
			d.endRun(s, r, job.NewNotRun(r.key(), job.CodeShapeFitsNoRack, "no rack could run the shape even when empty", 0))
		}
		return true
	case placement.Reclaim:
		if r.reclaimAt.IsZero() {
			r.reclaimAt = now
		}
		d.preemptVictims(s, plan.Victims)
	}
	if plan.FitsElsewhere {
		d.endRun(s, r, job.NewNotRun(r.key(), job.CodeNoRack, "no rack here could run the shape", defaultRetryAfter))
		return true
	}
	s.Queue.Defer(item)
	return false
}

const (
	// The start rate increases over rampWindow after a failure domain has returned to service. The increase is fast enough
	// to delay little work, and slow enough that the waiting requests do not all start at once on cold workers. Both rates
	// are requests per second of one rack owner.
	rampWindow      = 5 * time.Second
	rampInitialRate = 10
	rampFinalRate   = 200
)

// rampAllows reports whether a request may start now, given when the failure domain returned to service.
func (d *Dispatcher) rampAllows(s *board.State, now time.Time) bool {
	if s.ReturnedToServiceAt.IsZero() {
		return true
	}
	if d.ramp == nil || !d.ramp.ReturnedAt.Equal(s.ReturnedToServiceAt) {
		d.ramp = &placement.Ramp{ReturnedAt: s.ReturnedToServiceAt, Window: rampWindow, InitialRate: rampInitialRate, FinalRate: rampFinalRate}
	}
	return d.ramp.Allows(now)
}

// quarantinedWorkers returns the workers on which the circuit breaker does not allow the request.
func (d *Dispatcher) quarantinedWorkers(s *board.State, now time.Time, r *run) []string {
	var names []string
	for name := range d.watchers {
		if !s.Breaker.Allowed(now, name, r.request.Idempotent) {
			names = append(names, name)
		}
	}
	return names
}

// preemptVictims preempts the runs that borrow the capacity of a guaranteed shape.
func (d *Dispatcher) preemptVictims(s *board.State, victims []job.Key) {
	for _, key := range victims {
		r, ok := d.runs[key]
		if !ok || r.phase != phaseActive || r.preempting {
			continue
		}
		r.preempting = true
		d.Metrics.Add(metrics.ReclaimsRequested, 1)
		d.stepGang(s, r, r.gang, gang.Preempt{})
	}
}

func newRandom() *rand.Rand {
	return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) //nolint:gosec // jitter needs no secure randomness
}
