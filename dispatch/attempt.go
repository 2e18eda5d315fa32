package dispatch

import (
	"time"

	"clementinepier/board"
	"clementinepier/gang"
	"clementinepier/job"
	"clementinepier/metrics"
	"clementinepier/placement"
)

// startAttempt starts a new attempt of the run on the workers of the plan.
func (d *Dispatcher) startAttempt(s *board.State, r *run, plan placement.Plan) {
	now := d.Clock.Now()
	r.attempt++
	r.preempting = false
	r.phase, r.rack, r.workers, r.borrowed, r.nonce = phaseActive, plan.Rack, plan.Workers, plan.Borrowed, d.newNonce()
	for member, name := range plan.Workers {
		id := r.spec().ID
		id.Member = member
		s.Cluster.RecordAllocation(placement.Allocation{
			Task: id, Worker: name, Accelerators: r.request.Shape.Accelerators, Slots: r.request.Shape.Slots,
			Idempotent: r.request.Idempotent, Borrowed: plan.Borrowed, Anchored: plan.Anchored, StartedAt: now, Checkpoint: now,
		})
	}
	for _, name := range r.distinctWorkers() {
		s.Breaker.RecordStart(now, name, r.key())
	}
	d.usedAccelerators[r.request.Organisation] += acceleratorUsage(r)
	r.placedAt = now
	d.Metrics.Add(metrics.AttemptsStarted, 1)
	r.gang = gang.New(d.gangOptions(s, r))
	d.stepGang(s, r, r.gang, gang.Tick{})
}

// gangOptions returns the options for a gang of the run. Only the control goroutine evaluates them, so they may read the
// state.
func (d *Dispatcher) gangOptions(s *board.State, r *run) gang.Options {
	return gang.Options{
		Spec: r.spec(), Limits: d.Limits,
		MayStart: func(now time.Time) (bool, job.Code) {
			code := d.startBlockedBy(s, now)
			if code != job.CodeOK {
				d.Metrics.Add(metrics.StartsDelayed, 1)
			}
			return code == job.CodeOK, code
		},
	}
}

// releaseCapacity frees the capacity that the run's current attempt occupies.
func (d *Dispatcher) releaseCapacity(s *board.State, r *run) {
	for member := range r.workers {
		id := r.spec().ID
		id.Member = member
		s.Cluster.Release(id)
	}
	if !r.placedAt.IsZero() {
		d.usedAccelerators[r.request.Organisation] -= acceleratorUsage(r)
		r.placedAt = time.Time{}
	}
}

// acceleratorUsage returns the number of accelerators that a run counts for in usedAccelerators: at least 1.
func acceleratorUsage(r *run) int { return max(1, r.request.Shape.TotalAccelerators()) }

// acknowledge tells the workers of the last attempt that they may delete its answer.
func (d *Dispatcher) acknowledge(r *run) {
	spec := r.spec()
	_ = d.runOnPool(func() {
		for member, name := range spec.Workers {
			client, ok := d.Workers(name)
			if !ok {
				continue
			}
			id := spec.ID
			id.Member = member
			ctx, cancel := d.callContext()
			_ = client.Acknowledge(ctx, []job.TaskID{id})
			cancel()
		}
	})
}
