package engine

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"clementinepier/metrics"
)

const (
	// orderTimeout bounds one start or stop; workers answer within a few milliseconds.
	orderTimeout = 450 * time.Millisecond
	// orderRetry is the pause before an order that got no answer is sent again.
	orderRetry = 50 * time.Millisecond
	// startTries is how often a start is sent before its group is given up. A gang's members wait 3 s for each other.
	startTries = 2
	// stopRetry is the pause before a stop is sent again for a run that has not ended.
	stopRetry = 500 * time.Millisecond
	// firstLease is the lease of a start. A look extends it at once; a start that got no answer is not carried out after it.
	firstLease = 3 * time.Second
	// clockSlowness is how much slower a worker's clock may run; source: the users' protocol page.
	clockSlowness = 0.02
	// leaseSlack covers the time of the order on its way.
	leaseSlack = 300 * time.Millisecond
	// unhealthyPause keeps new runs off a worker that refused one.
	unhealthyPause = time.Second
)

// leaseBound returns after what time a lease of the given length, granted now, has surely ended.
func (p *Planner) leaseBound(lease time.Duration) time.Duration {
	return time.Duration(float64(lease)/(1-clockSlowness)) + leaseSlack
}

// grant returns the end of a lease that starts now, on the worker's clock.
func (p *Planner) grant(w *workerState, lease time.Duration) WorkerTime {
	now := p.Clock.Now()
	if until := now.Add(p.leaseBound(lease)); until.After(w.granted) {
		w.granted = until
	}
	return w.now(now) + WorkerTime(lease)
}

// start sends the order to start a run whose placement is stored.
func (p *Planner) start(r *run) {
	if r.ended || r.stopWanted || r.ordering || !p.holdsTerm() {
		return
	}
	w := r.worker
	if r.attempts == 0 && !p.takesStarts(w, p.Clock.Now(), p.Configuration()) {
		// Something has become known of the worker since it was chosen.
		p.endRun(r, EndStopped, "")
		return
	}
	task := r.group.job.task(r.task)
	order := StartOrder{
		Task: r.name, Run: r.number, Payload: r.group.job.record.Job.Payload, Until: p.grant(w, min(firstLease, p.Bounds.MaxLease)),
		Fence: p.Term.Fence(), Checkpoint: task.Checkpoint,
	}
	r.phase, r.ordering = runOrdered, true
	r.attempts++
	from := p.Clock.Now()
	r.orderSent = from
	target := Target{ID: w.id(), Address: w.advert.Address}
	p.attend(w)
	p.call(classOrder, func() func() {
		var answer WorkerStatus
		err := p.send(from, orderTimeout, func(ctx context.Context) (err error) {
			answer, err = p.Workers.Start(ctx, target, order)
			return err
		})
		return func() { p.startAnswered(r, from, answer, err) }
	})
}

// resumeStarts orders the starts that were due while no orders could be given.
func (p *Planner) resumeStarts(now time.Time) {
	for _, w := range p.workers {
		for _, r := range w.runs {
			due := r.phase == runRecorded && r.placed != 0 && r.placed <= r.group.job.stored ||
				r.phase == runOrdered && now.Sub(r.orderSent) > stopRetry
			if due && !r.ordering && !r.stopWanted {
				p.start(r)
			}
		}
	}
}

func (p *Planner) startAnswered(r *run, from time.Time, answer WorkerStatus, err error) {
	r.ordering = false
	if errors.Is(err, errNotSent) {
		p.startNotSent(r)
		return
	}
	p.Metrics.Observe(metrics.OrderTime, p.Clock.Since(from))
	w := r.worker
	var refused *ErrRefused
	switch {
	case err == nil:
		switch current := p.heard(w, answer); {
		case r.ended:
		case current:
			p.takePresent(r)
		case !r.doubtful:
			// The run has ended with the life that confirmed it.
			p.endRun(r, EndLapsed, "")
		}
	case errors.As(err, &refused):
		if p.heard(w, refused.Status) || !r.doubtful {
			p.startRefused(r, refused.Reason)
		}
	default:
		p.Metrics.Add(metrics.OrdersUnanswered, 1)
		p.Log.Event("start-unanswered", "task", r.name, "run", r.number, "worker", w.id(), "try", r.attempts, "error", err)
		r.doubtful = true
		p.unheard(w, from)
		if r.attempts >= startTries {
			p.breakGroup(r.group, "a start got no answer")
			p.stop(r)
			return
		}
		p.Clock.AfterFunc(orderRetry, func() { p.post(func() { p.start(r) }) })
	}
	if r.stopWanted {
		p.stop(r)
	}
}

// startNotSent makes a start due again that was not sent; it is ordered if the term goes on after all.
func (p *Planner) startNotSent(r *run) {
	r.attempts--
	if r.attempts == 0 {
		r.phase = runRecorded
	}
	if r.stopWanted {
		p.stop(r)
	}
}

// takePresent notes that the worker has the run.
func (p *Planner) takePresent(r *run) {
	if r.phase == runRunning {
		return
	}
	now := p.Clock.Now()
	r.phase, r.present, r.moved, r.born = runRunning, now, now, r.worker.born
	r.worker.nextLook = now
	p.attend(r.worker)
	g := r.group
	for _, other := range g.runs {
		if other.phase != runRunning {
			return
		}
	}
	if g.working.IsZero() && len(g.runs) == g.size {
		g.working = now
		p.Metrics.Observe(metrics.StartTime, now.Sub(g.started))
	}
}

// startRefused takes in that a worker did not start a run.
func (p *Planner) startRefused(r *run, reason Refusal) {
	w := r.worker
	p.Log.Event("start-refused", "task", r.name, "run", r.number, "worker", w.id(), "reason", reason, "doubtful", r.doubtful)
	p.Metrics.Add(metrics.Name("starts-refused-"+string(reason)), 1)
	switch reason {
	case RefusedFence, RefusedIncarnation:
		p.takeRefusal(w, reason)
		return
	case RefusedLeaseEnded:
		w.nextLook = p.Clock.Now()
		if r.attempts < startTries {
			p.Clock.AfterFunc(orderRetry, func() { p.post(func() { p.start(r) }) })
			return
		}
	case RefusedStaleRun:
		// An earlier try was carried out, and the run has ended or was stopped; the next look tells how.
		r.present, r.phase = p.Clock.Now(), runRunning
		w.nextLook = p.Clock.Now()
		return
	default:
		// Among them RefusedRoom, RefusedUnhealthy and reasons that are not known here.
		w.unhealthyUntil = p.Clock.Now().Add(unhealthyPause)
	}
	if r.doubtful {
		// An earlier try may still be carried out.
		p.breakGroup(r.group, "a start was refused")
		p.stop(r)
		return
	}
	p.endRun(r, EndStopped, "")
}

// stop ends a run. A run of which no order was sent ends at once; another ends when the worker has confirmed it.
func (p *Planner) stop(r *run) {
	if r.ended {
		return
	}
	r.stopWanted = true
	if r.phase == runRecorded {
		p.endRun(r, EndStopped, "")
		return
	}
	now := p.Clock.Now()
	if r.stopping || r.ordering || now.Sub(r.stopSent) < stopRetry || !p.holdsTerm() || !r.worker.known || r.worker.advert.Address == "" {
		return
	}
	r.stopping, r.stopSent = true, now
	w := r.worker
	target := Target{ID: w.id(), Address: w.advert.Address}
	order := StopOrder{Task: r.name, Run: r.number, Fence: p.Term.Fence()}
	p.call(classOrder, func() func() {
		var answer WorkerStatus
		err := p.send(now, orderTimeout, func(ctx context.Context) (err error) {
			answer, err = p.Workers.Stop(ctx, target, order)
			return err
		})
		return func() { p.stopAnswered(r, answer, err) }
	})
}

func (p *Planner) stopAnswered(r *run, answer WorkerStatus, err error) {
	r.stopping = false
	w := r.worker
	p.attend(w)
	var refused *ErrRefused
	switch {
	case errors.Is(err, errNotSent):
		r.stopSent = time.Time{}
	case err == nil:
		if !p.heard(w, answer) {
			r.stopSent = time.Time{}
			break
		}
		if !r.ended && (r.phase == runOrdered || r.phase == runInherited) {
			// From now on the worker refuses the run if it arrives late. The next look tells whether it was there.
			r.phase, r.present = runRunning, p.Clock.Now()
		}
		w.nextLook = p.Clock.Now()
		if w.overdue.IsZero() && !r.ended {
			w.overdue = p.Clock.Now().Add(p.Bounds.StopGrace + stopSlack)
		}
	case errors.As(err, &refused):
		if !p.heard(w, refused.Status) {
			r.stopSent = time.Time{}
			break
		}
		p.Log.Event("stop-refused", "task", r.name, "run", r.number, "worker", w.id(), "reason", refused.Reason)
		p.takeRefusal(w, refused.Reason)
	default:
		p.Log.Event("stop-unanswered", "task", r.name, "run", r.number, "worker", w.id(), "error", err)
		p.unheard(w, r.stopSent)
	}
}

// stopForeign ends a run that the planner did not ask for.
func (p *Planner) stopForeign(w *workerState, task string, number int) {
	p.Log.Event("foreign-run", "task", task, "run", number, "worker", w.id())
	if !p.holdsTerm() {
		return
	}
	target := Target{ID: w.id(), Address: w.advert.Address}
	order := StopOrder{Task: task, Run: number, Fence: p.Term.Fence()}
	now := p.Clock.Now()
	p.call(classOrder, func() func() {
		err := p.send(now, orderTimeout, func(ctx context.Context) error {
			_, err := p.Workers.Stop(ctx, target, order)
			return err
		})
		if err != nil {
			p.Log.Event("foreign-stop-failed", "task", task, "worker", target.ID, "error", err)
		}
		return func() {
			w.nextLook = p.Clock.Now()
			p.attend(w)
		}
	})
}

// retryStops sends again the stops whose runs have not ended.
func (p *Planner) retryStops(w *workerState) {
	for _, r := range w.runs {
		if r.stopWanted {
			p.stop(r)
		}
	}
}
