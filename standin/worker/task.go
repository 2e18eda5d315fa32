package worker

import (
	"time"

	"clementinepier/job"
	"clementinepier/worker"
)

// task is one id that the worker has a record of. Its work is run time at full speed.
type task struct {
	spec         worker.Spec
	state        worker.State
	accelerators []int
	// until is when the hold or lease lapses.
	until     time.Time
	startedAt time.Time
	endedAt   time.Time

	work       time.Duration
	progress   time.Duration
	updated    time.Time
	saved      time.Duration
	share      float64
	answer     []byte
	failure    string
	answerSize int
	digest     string
	// acknowledged is true once the answer was dropped.
	acknowledged bool
}

func (t *task) started() bool { return !t.startedAt.IsZero() }

// advance brings progress up to the time given.
func (t *task) advance(now time.Time) {
	if t.state == worker.StateRunning {
		t.progress += time.Duration(float64(now.Sub(t.updated)) * t.share)
		t.updated = now
		t.endedAt = now
	}
}

// finish returns when the work will be complete.
func (t *task) finish() time.Time {
	return t.updated.Add(time.Duration(float64(t.work-t.progress) / t.share))
}

// due returns when the task ends by itself: when its lease lapses or, if earlier, its work is complete.
func (t *task) due() time.Time {
	if t.state == worker.StateRunning && t.finish().Before(t.until) {
		return t.finish()
	}
	return t.until
}

func (t *task) run(now time.Time, payload []byte, failTasks bool) {
	t.state, t.startedAt, t.updated, t.share = worker.StateRunning, now, now, 1
	parsed, err := ParsePayload(payload)
	switch {
	case err != nil:
		t.failure = err.Error()
	case failTasks:
		t.failure = "task failed (injected)"
	case parsed.Fail:
		t.work, t.failure = parsed.RunTime.Std(), "payload asks to fail"
	default:
		t.work = parsed.RunTime.Std()
		if t.spec.ID.Member == 0 {
			t.answer = parsed.answer(t.spec.ID.Key())
		}
		t.answerSize, t.digest = len(t.answer), worker.Digest(t.answer)
	}
}

func (t *task) status(now time.Time) worker.Status {
	t.advance(now)
	s := worker.Status{Spec: t.spec, State: t.state, Started: t.started()}
	if !t.state.Ended() {
		s.Accelerators = append(s.Accelerators, t.accelerators...)
	}
	if t.started() {
		s.RanFor = job.Duration(t.endedAt.Sub(t.startedAt))
		s.SinceCheckpoint = job.Duration(t.progress - t.saved)
	}
	switch t.state {
	case worker.StateDone:
		s.AnswerLength, s.AnswerDigest = t.answerSize, t.digest
	case worker.StateFailed:
		s.Error = t.failure
	}
	return s
}
