package front

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"github.com/pkg/errors"

	"clementinepier/engine"
	"clementinepier/metrics"
)

// Guards against callers whose questions take the store's limit from renewals of leases, and against an organisation that takes the questions
// of another.
func TestQuestionsToTheStoreAreBounded(t *testing.T) {
	is := is.New(t)
	b := &StoreBudget{}
	now := time.Unix(1000, 0)
	allowedIn := func(organisation string, duration time.Duration) int {
		allowed := 0
		for end := now.Add(duration); now.Before(end); now = now.Add(time.Millisecond) {
			if b.AllowQuestion(now, organisation) {
				allowed++
			}
		}
		return allowed
	}
	is.True(allowedIn("a", 10*time.Second) <= questionBurst+10*int(maxQuestionRate)) // 1,000 questions a second
	is.True(b.AllowQuestion(now, "b"))
	is.True(b.RecordThrottled(now))
	is.True(!b.RecordThrottled(now)) // refusals of one second count once
	is.True(allowedIn("a", time.Second) <= int(maxQuestionRate)/2+1)
	for range 20 {
		b.RecordThrottled(now)
		now = now.Add(questionRateInterval)
	}
	is.True(b.questionRate(now) >= minQuestionRate)
	is.True(b.questionRate(now) < maxQuestionRate/4)
	now = now.Add(time.Minute)
	is.Equal(b.questionRate(now), maxQuestionRate)
}

// Guards against a log that reports a silent store whenever the store refuses a call beyond its limits, and against one that refuses all calls and
// counts as available.
func TestStoreThatRefusesBeyondItsLimits(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	v := &VM{Clock: clock}
	throttled := &engine.ErrNotDone{Cause: &engine.ErrThrottled{Cause: errors.New("status 429")}}
	v.RecordStoreResult(throttled)
	is.True(!v.storeSilent.Load())
	is.True(v.storeAvailable())
	clock.Advance(maxStoreFailureTime)
	is.True(!v.storeAvailable())
	v.RecordStoreResult(&engine.ErrUnanswered{Cause: errors.New("reset")})
	is.True(v.storeSilent.Load())
	v.RecordStoreResult(nil)
	is.True(!v.storeSilent.Load())
	is.True(v.storeAvailable())
	is.Equal(v.metrics.Get(metrics.StoreCallsThrottled), int64(1))
}

// Guards against callers that fill the store while there is no planner to refuse their jobs.
func TestSubmissionsWithoutPlannerAreBounded(t *testing.T) {
	is := is.New(t)
	b := &StoreBudget{}
	now := time.Unix(1000, 0)
	allowed := 0
	for b.AllowSubmission(now, 1000) {
		allowed++
	}
	is.Equal(allowed, submissionBurst/minSubmission)
	now = now.Add(time.Minute)
	is.True(b.AllowSubmission(now, 100<<20)) // The largest job is admitted in calm.
	is.True(!b.AllowSubmission(now, 1))
}
