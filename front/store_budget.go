package front

import (
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// Calls to the store that callers cause directly, because the planner does not know a job or does not answer. The store's limits are for all entry
// VMs together, and renewals of leases and the planner's commits need them first.
//
// Load pattern: callers that ask for the states of jobs that nobody submitted, or submit many jobs while there is no planner.
const (
	// maxQuestionRate is how many jobs a second the callers of one organisation may have read from the store by one entry VM; minQuestionRate is the
	// rate to which the store's refusals lower it.
	maxQuestionRate rate.Limit = 50
	minQuestionRate rate.Limit = 1
	// questionBurst is how many of these reads may come at once.
	questionBurst = 50
	// questionRateStep is by how much the rate grows in questionRateInterval after the last refusal.
	questionRateStep     rate.Limit = 5
	questionRateInterval            = time.Second
	// submissionRate is how many bytes of jobs a second one entry VM may write to the store without the planner, and submissionBurst how many at
	// once. A job counts with minSubmission at least.
	submissionRate  rate.Limit = 1 << 20
	submissionBurst            = 8 << 20
	minSubmission              = 16 << 10
)

// StoreBudget bounds the calls to the store that callers cause directly. The zero value is ready for use; nil bounds nothing.
type StoreBudget struct {
	mu sync.Mutex
	// lowered is by how much the rate of questions is below maxQuestionRate, as of loweredAt.
	lowered   rate.Limit
	loweredAt time.Time
	// questions has the reads by organisation.
	questions   map[string]*rate.Limiter
	submissions *rate.Limiter
}

// AllowQuestion reports whether a job may be read from the store now for a caller of the organisation.
func (b *StoreBudget) AllowQuestion(now time.Time, organisation string) bool {
	if b == nil {
		return true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.questions == nil {
		b.questions = map[string]*rate.Limiter{}
	}
	limiter, ok := b.questions[organisation]
	if !ok {
		limiter = rate.NewLimiter(maxQuestionRate, questionBurst)
		b.questions[organisation] = limiter
	}
	if limit := b.questionRate(now); limiter.Limit() != limit {
		limiter.SetLimitAt(now, limit)
	}
	return limiter.AllowN(now, 1)
}

// AllowSubmission reports whether a job of the given size in bytes may be written to the store now without the planner.
func (b *StoreBudget) AllowSubmission(now time.Time, size int) bool {
	if b == nil {
		return true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.submissions == nil {
		b.submissions = rate.NewLimiter(submissionRate, submissionBurst)
	}
	return b.submissions.AllowN(now, min(submissionBurst, max(minSubmission, size)))
}

// RecordThrottled halves the rate of questions because the store refused a call beyond its limits, at most once in questionRateInterval. It reports
// whether the rate was at its maximum before.
func (b *StoreBudget) RecordThrottled(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	current := b.questionRate(now)
	if current < maxQuestionRate && now.Sub(b.loweredAt) < questionRateInterval {
		return false
	}
	b.lowered, b.loweredAt = maxQuestionRate-max(minQuestionRate, current/2), now
	return current == maxQuestionRate
}

// questionRate returns the rate of questions at a time. The caller holds b.mu.
func (b *StoreBudget) questionRate(now time.Time) rate.Limit {
	regained := questionRateStep * rate.Limit(now.Sub(b.loweredAt)/questionRateInterval)
	return maxQuestionRate - max(0, b.lowered-regained)
}
