package worker

import (
	"time"

	"clementinepier/job"
	"clementinepier/worker"
)

// task is the record of one task id. Work and progress are measured in run time at full speed.
type task struct {
	spec         worker.Spec
	state        worker.State
	accelerators []int
	// expiresAt is when the hold or lease lapses.
	expiresAt time.Time
	startedAt time.Time
	endedAt   time.Time

	totalWork    time.Duration
	progress     time.Duration
	progressedAt time.Time
	checkpointed time.Duration
	share        float64
	answer       []byte
	failure      string
	answerSize   int
	digest       string
	// acknowledged is set when the caller has confirmed the end of the task; the answer is then dropped.
	acknowledged bool
}

func (t *task) started() bool { return !t.startedAt.IsZero() }

// advance brings progress up to the time given.
func (t *task) advance(now time.Time) {
	if t.state == worker.StateRunning {
		t.progress += time.Duration(float64(now.Sub(t.progressedAt)) * t.share)
		t.progressedAt = now
		t.endedAt = now
	}
}

// completesAt returns when the work will be complete.
func (t *task) completesAt() time.Time {
	return t.progressedAt.Add(time.Duration(float64(t.totalWork-t.progress) / t.share))
}

// endsAt returns when the task ends by itself: when its lease lapses or, if earlier, its work is complete.
func (t *task) endsAt() time.Time {
	if t.state == worker.StateRunning && t.completesAt().Before(t.expiresAt) {
		return t.completesAt()
	}
	return t.expiresAt
}

func (t *task) run(now time.Time, payload []byte, failTasks bool) {
	t.state, t.startedAt, t.progressedAt, t.share = worker.StateRunning, now, now, 1
	parsed, err := ParsePayload(payload)
	switch {
	case err != nil:
		t.failure = err.Error()
	case failTasks:
		t.failure = "task failed (injected)"
	case parsed.Fail:
		t.totalWork, t.failure = parsed.RunTime.Std(), "payload asks to fail"
	default:
		t.totalWork = parsed.RunTime.Std()
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
		s.SinceCheckpoint = job.Duration(t.progress - t.checkpointed)
	}
	switch t.state {
	case worker.StateDone:
		s.AnswerLength, s.AnswerDigest = t.answerSize, t.digest
	case worker.StateFailed:
		s.Error = t.failure
	}
	return s
}
