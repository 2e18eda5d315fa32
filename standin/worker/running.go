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

// onRunning applies change to a running task.
func (w *Worker) onRunning(ctx context.Context, call string, id job.TaskID, change func(t *task)) error {
	var missing error
	err := w.do(ctx, call, func() {
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
	err := w.onRunning(ctx, "checkpoint", id, func(t *task) { progress = t.progress })
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
	w.settle()
	t := w.tasks[id]
	if t.state != worker.StateRunning {
		return errors.WithStack(&worker.ErrTaskNotExist{ID: id.String()})
	}
	t.saved = max(t.saved, progress)
	return nil
}

func (w *Worker) callThrottle(ctx context.Context, id job.TaskID, share float64) error {
	if share <= 0 || share > 1 {
		return &worker.ErrCall{Worker: w.info.Name, Call: "throttle", Delivered: true, Cause: errors.Errorf("share %v is not above 0 and at most 1", share)}
	}
	return w.onRunning(ctx, "throttle", id, func(t *task) {
		t.share = share
		w.schedule(t)
	})
}

func (w *Worker) callTasks(ctx context.Context) (info worker.Info, statuses []worker.Status, err error) {
	err = w.do(ctx, "tasks", func() { info, statuses = w.info, w.statuses(w.order) })
	if err != nil {
		return worker.Info{}, nil, err
	}
	return info, statuses, nil
}

func (w *Worker) callEvents(ctx context.Context, after uint64, wait time.Duration) (events worker.Events, err error) {
	err = w.through(ctx, "events", func() { events = w.await(ctx, after, wait) })
	if err != nil {
		return worker.Events{}, err
	}
	return events, nil
}

// await returns early for new events, for a change of the leaving mark, and for a sequence from an earlier boot.
func (w *Worker) await(ctx context.Context, after uint64, wait time.Duration) worker.Events {
	w.mu.Lock()
	leaving := w.info.Leaving
	w.mu.Unlock()
	timer := w.clock.NewTimer(wait)
	defer timer.Stop()
	for passed := wait <= 0; ; {
		w.mu.Lock()
		w.settle()
		reply, changed := worker.Events{Info: w.info, Next: w.last}, w.changed
		// Sequences have no gaps, so the events after one are the last ones.
		if after < w.last {
			unseen := min(w.last-after, uint64(len(w.events)))
			reply.Events = append(reply.Events, w.events[len(w.events)-int(unseen):]...) //nolint:gosec // at most eventsKept
		}
		w.mu.Unlock()
		if passed || reply.Next != after || reply.Info.Leaving != leaving {
			return reply
		}
		select {
		case <-changed:
		case <-timer.Chan():
			passed = true
		case <-ctx.Done():
			passed = true
		}
	}
}

// answerReply returns the answer as it goes over the wire, with the faults of answers applied.
func (w *Worker) answerReply(ctx context.Context, id job.TaskID) (reply worker.AnswerReply, err error) {
	var missing error
	err = w.do(ctx, "answer", func() {
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
	return w.do(ctx, "acknowledge", func() {
		for _, id := range ids {
			if t, ok := w.tasks[id]; ok && t.state.Ended() {
				t.answer, t.acknowledged = nil, true
			}
		}
	})
}

func (w *Worker) callUsage(ctx context.Context) (usage []worker.Usage, err error) {
	err = w.do(ctx, "usage", func() {
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
