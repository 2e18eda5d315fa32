package worker

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"clementinepier/job"
	"clementinepier/worker"
)

// Client returns a client that calls the worker in process, without HTTP.
func (w *Worker) Client() *worker.Client {
	return &worker.Client{
		Info:        w.callInfo,
		Hold:        w.callHold,
		Start:       w.callStart,
		Renew:       w.callRenew,
		Stop:        w.callStop,
		Checkpoint:  w.callCheckpoint,
		Throttle:    w.callThrottle,
		Forbid:      w.callForbid,
		Tasks:       w.callTasks,
		Events:      w.callEvents,
		Answer:      w.callAnswer,
		Acknowledge: w.callAcknowledge,
		Usage:       w.callUsage,
	}
}

// runCall runs one call subject to the injected faults. It locks w.mu and ends the tasks that are due before it runs effect.
func (w *Worker) runCall(ctx context.Context, call string, effect func()) error {
	return w.callWithFaults(ctx, call, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.endDueTasks()
		effect()
	})
}

func (w *Worker) callWithFaults(ctx context.Context, call string, effect func()) error {
	if delivered, err := w.injector.Do(ctx, call, effect); err != nil {
		return &worker.ErrCall{Worker: w.info.Name, Call: call, Delivered: delivered, Cause: err}
	}
	return nil
}

func (w *Worker) callInfo(ctx context.Context) (info worker.Info, err error) {
	err = w.runCall(ctx, "info", func() { info = w.info })
	return info, err
}

func (w *Worker) callHold(ctx context.Context, spec worker.Spec, length time.Duration) ([]int, worker.Refusal, error) {
	if err := w.checkSpec(spec); err != nil {
		return nil, worker.RefusedNone, err
	}
	var accelerators []int
	var refused worker.Refusal
	err := w.runCall(ctx, "hold", func() { accelerators, refused = w.hold(spec, length) })
	if err != nil {
		return nil, worker.RefusedNone, err
	}
	return accelerators, refused, nil
}

func (w *Worker) checkSpec(spec worker.Spec) error {
	var cause error
	switch {
	case spec.Shape.Tasks < 1 || spec.Shape.Slots < 1 || spec.Shape.Accelerators < 0:
		cause = errors.Errorf("shape %+v is not valid", spec.Shape)
	case len(spec.Workers) != spec.Shape.Tasks:
		cause = errors.Errorf("%d workers are named for %d tasks", len(spec.Workers), spec.Shape.Tasks)
	case spec.ID.Member < 0 || spec.ID.Member >= spec.Shape.Tasks:
		cause = errors.Errorf("member %d is not in a gang of %d", spec.ID.Member, spec.Shape.Tasks)
	case spec.Nonce == "":
		cause = errors.New("nonce is empty")
	default:
		return nil
	}
	return &worker.ErrCall{Worker: w.info.Name, Call: "hold", Delivered: true, Cause: cause}
}

func (w *Worker) hold(spec worker.Spec, length time.Duration) ([]int, worker.Refusal) {
	now := w.clock.Now()
	if t, ok := w.tasks[spec.ID]; ok {
		switch {
		case t.state == worker.StateForbidden:
			return nil, worker.RefusedForbidden
		case t.state == worker.StateHeld && t.spec.Nonce == spec.Nonce:
			// The reply to the first call may have been lost.
			t.expiresAt = now.Add(length)
			w.schedule(t)
			return append([]int(nil), t.accelerators...), worker.RefusedNone
		}
		return nil, worker.RefusedKnown
	}
	if w.info.Leaving {
		return nil, worker.RefusedLeaving
	}
	if w.slots+spec.Shape.Slots > w.info.Slots {
		return nil, worker.RefusedSlots
	}
	accelerators, ok := w.findAccelerators(spec.Shape.Accelerators)
	if !ok {
		return nil, worker.RefusedAccelerators
	}
	t := &task{spec: spec, state: worker.StateHeld, accelerators: accelerators, expiresAt: now.Add(length), share: 1}
	for _, i := range accelerators {
		w.owners[i] = t
	}
	w.slots += spec.Shape.Slots
	w.active = append(w.active, t)
	w.add(t)
	w.schedule(t)
	return append([]int(nil), accelerators...), worker.RefusedNone
}

func (w *Worker) add(t *task) {
	w.tasks[t.spec.ID] = t
	w.order = append(w.order, t.spec.ID)
	w.recordEvent(t)
}

func (w *Worker) callStart(ctx context.Context, id job.TaskID, nonce string, payload []byte, length time.Duration) (refused worker.Refusal, err error) {
	err = w.runCall(ctx, "start", func() { refused = w.start(id, nonce, payload, length) })
	if err != nil {
		return worker.RefusedNone, err
	}
	return refused, nil
}

func (w *Worker) start(id job.TaskID, nonce string, payload []byte, length time.Duration) worker.Refusal {
	t, ok := w.tasks[id]
	switch {
	case !ok:
		return worker.RefusedNotHeld
	case t.state == worker.StateForbidden:
		return worker.RefusedForbidden
	case t.spec.Nonce != nonce:
		return worker.RefusedNonce
	case t.started():
		return worker.RefusedAlreadyActive
	case t.state != worker.StateHeld:
		return worker.RefusedNotHeld
	}
	now := w.clock.Now()
	t.expiresAt = now.Add(length)
	t.run(now, payload, w.faults.FailTasks)
	w.log.write(w.info, EventStart, now, t)
	w.recordEvent(t)
	w.schedule(t)
	return worker.RefusedNone
}

// statuses returns one status for each id, in order; an id without a record has StateUnknown.
func (w *Worker) statuses(ids []job.TaskID) []worker.Status {
	statuses := make([]worker.Status, len(ids))
	for i, id := range ids {
		if t, ok := w.tasks[id]; ok {
			statuses[i] = t.status(w.clock.Now())
			continue
		}
		statuses[i] = worker.Status{Spec: worker.Spec{ID: id}, State: worker.StateUnknown}
	}
	return statuses
}

func (w *Worker) callRenew(ctx context.Context, leases []worker.Lease) (statuses []worker.Status, err error) {
	err = w.runCall(ctx, "renew", func() {
		ids := make([]job.TaskID, len(leases))
		for i, lease := range leases {
			ids[i] = lease.ID
			t, ok := w.tasks[lease.ID]
			if ok && !t.state.Ended() && t.spec.Nonce == lease.Nonce {
				t.expiresAt = w.clock.Now().Add(lease.Length.Std())
				w.schedule(t)
			}
		}
		statuses = w.statuses(ids)
	})
	if err != nil {
		return nil, err
	}
	return statuses, nil
}

func (w *Worker) callStop(ctx context.Context, ids []job.TaskID, _ string) (statuses []worker.Status, err error) {
	err = w.runCall(ctx, "stop", func() {
		for _, id := range ids {
			if t, ok := w.tasks[id]; ok && !t.state.Ended() {
				w.end(t, worker.StateStopped, w.clock.Now())
			}
		}
		statuses = w.statuses(ids)
	})
	if err != nil {
		return nil, err
	}
	return statuses, nil
}

func (w *Worker) callForbid(ctx context.Context, id job.TaskID) (status worker.Status, err error) {
	err = w.runCall(ctx, "forbid", func() {
		t, ok := w.tasks[id]
		switch {
		case !ok:
			w.add(&task{spec: worker.Spec{ID: id}, state: worker.StateForbidden, share: 1})
		case t.state == worker.StateHeld:
			w.end(t, worker.StateForbidden, w.clock.Now())
		case !t.started():
			t.state = worker.StateForbidden
		}
		status = w.statuses([]job.TaskID{id})[0]
	})
	if err != nil {
		return worker.Status{}, err
	}
	return status, nil
}
