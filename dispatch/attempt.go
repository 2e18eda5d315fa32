package dispatch

import (
	"time"

	"clementinepier/board"
	"clementinepier/gang"
	"clementinepier/job"
	"clementinepier/metrics"
	"clementinepier/placement"
)

// begin starts an attempt with the workers of a plan.
func (d *Dispatcher) begin(s *board.State, r *run, plan placement.Plan) {
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
	d.running[r.request.Organisation] += accelerators(r)
	r.placedAt = now
	d.Metrics.Add(metrics.AttemptsStarted, 1)
	r.gang = gang.New(d.gangOptions(s, r))
	d.gangEvent(s, r, r.gang, gang.Tick{})
}

// gangOptions are evaluated by the control goroutine only, so they may read the state.
func (d *Dispatcher) gangOptions(s *board.State, r *run) gang.Options {
	return gang.Options{
		Spec: r.spec(), Limits: d.Limits,
		MayStart: func(now time.Time) (bool, job.Code) {
			code := d.mayStart(s, now)
			if code != job.CodeOK {
				d.Metrics.Add(metrics.StartsDelayed, 1)
			}
			return code == job.CodeOK, code
		},
	}
}

// release returns the capacity of the run's current attempt.
func (d *Dispatcher) release(s *board.State, r *run) {
	for member := range r.workers {
		id := r.spec().ID
		id.Member = member
		s.Cluster.Release(id)
	}
	if !r.placedAt.IsZero() {
		d.running[r.request.Organisation] -= accelerators(r)
		r.placedAt = time.Time{}
	}
}

func accelerators(r *run) int { return max(1, r.request.Shape.TotalAccelerators()) }

// acknowledge lets the workers of the last attempt drop its answer.
func (d *Dispatcher) acknowledge(r *run) {
	spec := r.spec()
	_ = d.traffic(func() {
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
