package worker

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"clementinepier/job"
	"clementinepier/worker"
)

// The simulated measurements of a task at full speed.
const (
	processorsPerTask = 2
	memoryPerTask     = 500
)

// updateRunning applies change to a running task, or returns ErrTaskNotExist if the task is not running.
func (w *Worker) updateRunning(ctx context.Context, call string, id job.TaskID, change func(t *task)) error {
	var missing error
	err := w.runCall(ctx, call, func() {
		t, ok := w.tasks[id]
		if !ok || t.state != worker.StateRunning {
			missing = errors.WithStack(&worker.ErrTaskNotExist{ID: id.String()})
			return
		}
		t.advance(w.clock.Now())
		change(t)
	})
	if err != nil {
		return err
	}
	return missing
}

func (w *Worker) callCheckpoint(ctx context.Context, id job.TaskID) error {
	var progress time.Duration
	err := w.updateRunning(ctx, "checkpoint", id, func(t *task) { progress = t.progress })
	if err != nil {
		return err
	}
	if w.checkpointTime > 0 {
		select {
		case <-w.clock.After(w.checkpointTime):
		case <-ctx.Done():
			return &worker.ErrCall{Worker: w.info.Name, Call: "checkpoint", Delivered: true, Cause: ctx.Err()}
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.endDueTasks()
	t := w.tasks[id]
	if t.state != worker.StateRunning {
		return errors.WithStack(&worker.ErrTaskNotExist{ID: id.String()})
	}
	t.checkpointed = max(t.checkpointed, progress)
	return nil
}

func (w *Worker) callThrottle(ctx context.Context, id job.TaskID, share float64) error {
	if share <= 0 || share > 1 {
		return &worker.ErrCall{Worker: w.info.Name, Call: "throttle", Delivered: true, Cause: errors.Errorf("share %v is not above 0 and at most 1", share)}
	}
	return w.updateRunning(ctx, "throttle", id, func(t *task) {
		t.share = share
		w.schedule(t)
	})
}

func (w *Worker) callTasks(ctx context.Context) (info worker.Info, statuses []worker.Status, err error) {
	err = w.runCall(ctx, "tasks", func() { info, statuses = w.info, w.statuses(w.order) })
	if err != nil {
		return worker.Info{}, nil, err
	}
	return info, statuses, nil
}

func (w *Worker) callEvents(ctx context.Context, after uint64, wait time.Duration) (events worker.Events, err error) {
	err = w.callWithFaults(ctx, "events", func() { events = w.waitForEvents(ctx, after, wait) })
	if err != nil {
		return worker.Events{}, err
	}
	return events, nil
}

// waitForEvents returns early for new events, for a change of the leaving flag, and for a sequence from an earlier boot.
func (w *Worker) waitForEvents(ctx context.Context, after uint64, wait time.Duration) worker.Events {
	w.mu.Lock()
	leaving := w.info.Leaving
	w.mu.Unlock()
	timer := w.clock.NewTimer(wait)
	defer timer.Stop()
	for waitOver := wait <= 0; ; {
		w.mu.Lock()
		w.endDueTasks()
		reply, changed := worker.Events{Info: w.info, Next: w.lastSequence}, w.changed
		// Sequences have no gaps, so the number of unseen events follows from the sequence numbers.
		if after < w.lastSequence {
			unseen := min(w.lastSequence-after, uint64(len(w.events)))
			reply.Events = append(reply.Events, w.events[len(w.events)-int(unseen):]...) //nolint:gosec // at most maxEvents
		}
		w.mu.Unlock()
		if waitOver || reply.Next != after || reply.Info.Leaving != leaving {
			return reply
		}
		select {
		case <-changed:
		case <-timer.Chan():
			waitOver = true
		case <-ctx.Done():
			waitOver = true
		}
	}
}

// answerReply returns the answer as it goes over the wire, with the answer faults applied.
func (w *Worker) answerReply(ctx context.Context, id job.TaskID) (reply worker.AnswerReply, err error) {
	var missing error
	err = w.runCall(ctx, "answer", func() {
		t, ok := w.tasks[id]
		if !ok || t.state != worker.StateDone || t.acknowledged {
			missing = errors.WithStack(&worker.ErrTaskNotExist{ID: id.String()})
			return
		}
		reply = worker.AnswerReply{ID: id, Answer: t.answer, Length: t.answerSize, Digest: t.digest}
		if w.faults.TruncateAnswers {
			reply.Answer = reply.Answer[:len(reply.Answer)/2]
		}
		if w.faults.WrongDigests {
			reply.Digest = worker.Digest([]byte(reply.Digest))
		}
		if w.faults.SwapAnswers {
			reply.ID.Member++
		}
	})
	if err != nil {
		return worker.AnswerReply{}, err
	}
	return reply, missing
}

func (w *Worker) callAnswer(ctx context.Context, id job.TaskID) ([]byte, error) {
	reply, err := w.answerReply(ctx, id)
	if err != nil {
		return nil, err
	}
	if err := reply.Check(id); err != nil {
		return nil, &worker.ErrCall{Worker: w.info.Name, Call: "answer", Delivered: true, Cause: err}
	}
	return append([]byte(nil), reply.Answer...), nil
}

func (w *Worker) callAcknowledge(ctx context.Context, ids []job.TaskID) error {
	return w.runCall(ctx, "acknowledge", func() {
		for _, id := range ids {
			if t, ok := w.tasks[id]; ok && t.state.Ended() {
				t.answer, t.acknowledged = nil, true
			}
		}
	})
}

func (w *Worker) callUsage(ctx context.Context) (usage []worker.Usage, err error) {
	err = w.runCall(ctx, "usage", func() {
		measured := w.clock.Now().Add(-w.usageLag)
		for _, id := range w.order {
			t := w.tasks[id]
			if !t.started() || t.startedAt.After(measured) || t.state.Ended() && !t.endedAt.After(measured) {
				continue
			}
			usage = append(usage, worker.Usage{
				ID: id, Processors: processorsPerTask * t.share, MemoryMB: memoryPerTask, Age: job.Duration(w.usageLag),
			})
		}
	})
	if err != nil {
		return nil, err
	}
	return usage, nil
}
