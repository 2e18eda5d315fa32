package engine

import (
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"

	"clementinepier/metrics"
)

const (
	// orderTimeout bounds one order to start or stop a run; workers respond within a few milliseconds.
	orderTimeout = 450 * time.Millisecond
	// orderRetryDelay is the pause before a start order is sent again.
	orderRetryDelay = 50 * time.Millisecond
	// maxStartAttempts is how often a start order is sent before its group is stopped. Gang members wait 3 s for each other.
	maxStartAttempts = 2
	// stopRetryDelay is the pause before a stop order is sent again for a run that has not ended.
	stopRetryDelay = 500 * time.Millisecond
	// initialLease is the lease in a start order. The next poll extends it immediately; a start order that got no response
	// is not executed after it ends.
	initialLease = 3 * time.Second
	// maxClockAge is how old the reading of a worker's clock may be when a lease is granted. A worker that has been silent for
	// longer may have restarted, and its new clock would reach the end of the lease far too late. A worker with runs is polled
	// more often.
	maxClockAge = pollWait + pollTimeout
	// maxExecutionDelay is how long after its arrival an order that gets no response may be executed. The protocol says that it may be
	// seconds later; the users' list of impairments (applied_late) gives 2 to 12 s.
	maxExecutionDelay = 12 * time.Second
	// maxOrderDelay is how long after its sending an order that got no response may be executed. It arrives before the call is given up.
	maxOrderDelay = maxExecutionDelay + orderTimeout
	// maxClockDrift is how much slower than the planner's clock a worker's clock may run; it comes from the platform's
	// protocol.
	maxClockDrift = 0.02
	// clockResolution is the resolution of the readings of workers' clocks.
	clockResolution = WorkerTime(time.Millisecond)
	// orderDelayMargin covers the transmission time of an order.
	orderDelayMargin = 300 * time.Millisecond
	// unhealthyWorkerPause is how long a worker gets no new runs after it has refused one.
	unhealthyWorkerPause = time.Second
)

// leaseBound returns the time after which a lease of the given length that is granted now has certainly ended.
func (p *Planner) leaseBound(lease time.Duration) time.Duration {
	return time.Duration(float64(lease)/(1-maxClockDrift)) + orderDelayMargin
}

// grantLease returns the end, on the worker's clock, of a lease that starts now. It is counted from the lowest reading that the
// clock can have, so that the bound holds however old the last reading is, for this planner and for a successor.
func (p *Planner) grantLease(w *workerState, lease time.Duration) WorkerTime {
	now := p.Clock.Now()
	w.grantLeaseUntil(now, now.Add(p.leaseBound(lease)))
	return w.earliestWorkerTime(now) + WorkerTime(lease)
}

// startRun sends the order to start a run whose placement is stored.
func (p *Planner) startRun(r *run) {
	if r.ended || r.stopRequested || r.startInFlight || !p.holdsTerm() {
		return
	}
	w := r.worker
	if r.startAttempts == 0 && (!p.acceptsStarts(w, p.Clock.Now(), p.Configuration()) || p.orphanTasks[r.name] > 0) {
		// The worker has become unusable since the placement, or another one turned out to have a run of the task.
		p.endRun(r, EndStopped, "", basisNotSent)
		return
	}
	if !p.mayExtendLease(w, p.Clock.Now()) || r.startAttempts == 0 && !r.group.workersIdentified() {
		if r.startAttempts > 0 {
			p.stopGroup(r.group, "a start order got no response")
			p.stopRun(r)
			return
		}
		// The response to the last query of the group sends its starts.
		p.scheduleContact(w)
		return
	}
	task := r.group.job.task(r.task)
	order := StartOrder{
		Task: r.name, Run: r.number, Payload: r.group.job.record.Job.Payload, Until: p.grantLease(w, min(initialLease, p.Bounds.MaxLease)),
		Fence: w.fence, Checkpoint: task.Checkpoint,
	}
	r.phase, r.startInFlight, w.startFence = runOrdered, true, max(w.startFence, w.fence)
	r.startAttempts++
	sent := p.Clock.Now()
	r.startSentAt = sent
	target := Target{ID: w.id(), Address: w.registration.Address}
	p.scheduleContact(w)
	p.call(classOrder, func() func() {
		var status WorkerStatus
		err := p.send(sent, orderTimeout, func(ctx context.Context) (err error) {
			status, err = p.Workers.Start(ctx, target, order)
			return err
		})
		return func() {
			err = p.applyRefusal(w, target, order.Fence, sent, err)
			p.handleStartResult(r, sent, p.applyOrderStatus(w, order.Fence, sent, status), err)
		}
	})
}

// sendDueStarts sends the start orders that fell due while no orders could be sent.
func (p *Planner) sendDueStarts(now time.Time) {
	for _, w := range p.workers {
		p.sendDueStartsTo(w, now)
	}
}

func (p *Planner) sendDueStartsTo(w *workerState, now time.Time) {
	for _, r := range w.runs {
		if r.phase != runRecorded {
			p.sendDueStart(r, now)
			continue
		}
		for _, member := range slices.Clone(r.group.runs) {
			p.sendDueStart(member, now)
		}
	}
}

func (p *Planner) sendDueStart(r *run, now time.Time) {
	due := r.phase == runRecorded && r.placementChange != 0 && r.placementChange <= r.group.job.storedChange ||
		r.phase == runOrdered && now.Sub(r.startSentAt) > stopRetryDelay
	if due && !r.startInFlight && !r.stopRequested {
		p.startRun(r)
	}
}

func (p *Planner) handleStartResult(r *run, sent time.Time, status WorkerStatus, err error) {
	r.startInFlight = false
	if errors.Is(err, errNotSent) {
		p.resetUnsentStart(r)
		return
	}
	p.Metrics.Observe(metrics.OrderTime, p.Clock.Since(sent))
	w := r.worker
	var refused *ErrRefused
	switch {
	case err == nil:
		switch current := p.recordContact(w, status); {
		case r.ended:
		case current:
			p.markRunning(r, "start", status.Incarnation)
		case !r.unconfirmed:
			// The run has ended with the incarnation that confirmed it.
			p.endRun(r, EndLapsed, "", basisRestarted)
		}
	case errors.As(err, &refused) && refused.Reason == RefusedIncarnation:
		p.handleMisdirected(w, sent)
		p.handleStartRefusal(r, refused.Reason)
	case errors.As(err, &refused):
		if p.recordContact(w, refused.Status) || !r.unconfirmed {
			p.handleStartRefusal(r, refused.Reason)
		}
	default:
		p.Metrics.Add(metrics.OrdersUnanswered, 1)
		p.Log.Event("start-unanswered", "task", r.name, "run", r.number, "worker", w.id(), "try", r.startAttempts, "error", err)
		r.unconfirmed = true
		p.recordUnansweredStart(r, sent)
		p.recordNoAnswer(w, sent)
		if r.startAttempts >= maxStartAttempts {
			r.group.job.preferOthers(p.Clock.Now(), w)
			p.stopGroup(r.group, "a start order got no response")
			p.stopRun(r)
			return
		}
		p.Clock.AfterFunc(orderRetryDelay, func() { p.post(func() { p.startRun(r) }) })
	}
	if r.stopRequested {
		p.stopRun(r)
	}
}

// resetUnsentStart makes a start order due again that was not sent. It is sent later if the term continues.
func (p *Planner) resetUnsentStart(r *run) {
	r.startAttempts--
	if r.startAttempts == 0 {
		r.phase = runRecorded
	}
	if r.stopRequested {
		p.stopRun(r)
	}
}

// markRunning records that an incarnation of the worker has the run, as the response to a call of the given kind shows. Responses to
// orders do not report the incarnation.
func (p *Planner) markRunning(r *run, call string, incarnation int64) {
	r.incarnation = max(r.incarnation, incarnation)
	if r.phase == runRunning {
		return
	}
	now := p.Clock.Now()
	p.Log.Event("run-confirmed", "task", r.name, "run", r.number, "worker", r.worker.id(), "by", call, "sent", r.startSentAt,
		"doubtful", r.unconfirmed, "stopping", r.stopRequested)
	r.phase, r.confirmedAt, r.progressedAt = runRunning, now, now
	r.group.job.begun = true
	r.worker.confirmLateStart(r)
	r.worker.nextPoll = now
	p.scheduleContact(r.worker)
	g := r.group
	for _, other := range g.runs {
		if other.phase != runRunning {
			return
		}
	}
	if g.runningSince.IsZero() && len(g.runs) == g.size {
		g.runningSince = now
		p.Metrics.Observe(metrics.StartTime, now.Sub(g.startedAt))
	}
}

// handleStartRefusal applies a worker's refusal to start a run.
func (p *Planner) handleStartRefusal(r *run, reason Refusal) {
	w := r.worker
	p.Log.Event("start-refused", "task", r.name, "run", r.number, "worker", w.id(), "reason", reason, "doubtful", r.unconfirmed)
	p.Metrics.Add(metrics.Name("starts-refused-"+string(reason)), 1)
	switch reason {
	case RefusedFence:
		p.handleRefusal(w, reason)
		return
	case RefusedIncarnation:
		// The order did not reach the worker.
		if r.ended {
			return
		}
	case RefusedLeaseEnded:
		w.nextPoll = p.Clock.Now()
		if r.startAttempts < maxStartAttempts {
			p.Clock.AfterFunc(orderRetryDelay, func() { p.post(func() { p.startRun(r) }) })
			return
		}
	case RefusedStaleRun:
		// An earlier attempt was executed, and the run has ended or was stopped. The next poll shows the reason.
		r.confirmedAt, r.phase = p.Clock.Now(), runRunning
		w.nextPoll = p.Clock.Now()
		return
	default:
		// These include RefusedCapacity, RefusedUnhealthy and reasons unknown to this version.
		w.unhealthyUntil = p.Clock.Now().Add(unhealthyWorkerPause)
	}
	if r.unconfirmed {
		// An earlier attempt may still be executed.
		p.stopGroup(r.group, "a start order was refused")
		p.stopRun(r)
		return
	}
	p.endRun(r, EndStopped, "", basisRefused)
}

// stopRun stops a run. A run for which no order was sent ends immediately; any other ends once the worker confirms it.
func (p *Planner) stopRun(r *run) {
	if r.ended {
		return
	}
	r.stopRequested = true
	if r.phase == runRecorded {
		p.endRun(r, EndStopped, "", basisNotSent)
		return
	}
	now := p.Clock.Now()
	if r.stopInFlight || r.startInFlight || now.Sub(r.stopSentAt) < stopRetryDelay || !p.holdsTerm() || !r.worker.fenced || r.worker.registration.Address == "" {
		return
	}
	r.stopInFlight, r.stopSentAt = true, now
	w := r.worker
	target := Target{ID: w.id(), Address: w.registration.Address}
	order := StopOrder{Task: r.name, Run: r.number, Fence: w.fence}
	p.call(classOrder, func() func() {
		var status WorkerStatus
		err := p.send(now, orderTimeout, func(ctx context.Context) (err error) {
			status, err = p.Workers.Stop(ctx, target, order)
			return err
		})
		return func() {
			err = p.applyRefusal(w, target, order.Fence, now, err)
			p.handleStopResult(r, order.Fence, p.applyOrderStatus(w, order.Fence, now, status), err)
		}
	})
}

func (p *Planner) handleStopResult(r *run, fence int64, status WorkerStatus, err error) {
	r.stopInFlight = false
	w := r.worker
	p.scheduleContact(w)
	var refused *ErrRefused
	switch {
	case errors.Is(err, errNotSent):
		r.stopSentAt = time.Time{}
	case err == nil:
		if !p.recordContact(w, status) {
			r.stopSentAt = time.Time{}
			break
		}
		if !r.ended && (r.phase == runOrdered || r.phase == runDoubtful) && fence == w.fence {
			// The worker now refuses a start order that arrives late. The next poll shows whether the worker had the run.
			p.Log.Event("stop-confirmed", "task", r.name, "run", r.number, "worker", w.id(), "doubtful", r.unconfirmed)
			r.phase, r.confirmedAt = runRunning, p.Clock.Now()
		}
		w.nextPoll = p.Clock.Now()
		if overdue := p.Clock.Now().Add(p.Bounds.StopGrace + stopMargin); !r.ended && (w.pollOverdueAt.IsZero() || overdue.Before(w.pollOverdueAt)) {
			w.pollOverdueAt = overdue
		}
	case errors.As(err, &refused) && refused.Reason == RefusedIncarnation:
		p.Log.Event("stop-refused", "task", r.name, "run", r.number, "worker", w.id(), "reason", refused.Reason)
		p.handleMisdirected(w, r.stopSentAt)
	case errors.As(err, &refused):
		if !p.recordContact(w, refused.Status) {
			r.stopSentAt = time.Time{}
			break
		}
		p.Log.Event("stop-refused", "task", r.name, "run", r.number, "worker", w.id(), "reason", refused.Reason)
		p.handleRefusal(w, refused.Reason)
	default:
		p.Log.Event("stop-unanswered", "task", r.name, "run", r.number, "worker", w.id(), "error", err)
		p.recordNoAnswer(w, r.stopSentAt)
	}
}

// retryStops sends the stop orders again of the worker's runs that should have ended.
func (p *Planner) retryStops(w *workerState) {
	for _, r := range w.runs {
		if r.stopRequested {
			p.stopRun(r)
		}
	}
}
