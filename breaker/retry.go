package breaker

// Settings of a RetryBudget.
const (
	// RetryPercent is the share of requests that may be retried.
	RetryPercent = 10
	// RetryReserve is the number of retries that a VM with few requests may make.
	RetryReserve = 10
	// maxSavedRetries bounds the retries saved up while there are few failures, so that they are not all made at once during
	// a fault.
	maxSavedRetries = 100
	// retryCost is the credit that a retry costs; a request earns RetryPercent of it.
	retryCost = 100
)

// RetryBudget limits retries to a share of requests plus a reserve.
type RetryBudget struct{ credit int }

// NewRetryBudget returns a budget that holds the reserve.
func NewRetryBudget() *RetryBudget { return &RetryBudget{credit: RetryReserve * retryCost} }

// RecordRequest records a request that is not a retry.
func (b *RetryBudget) RecordRequest() {
	b.credit = min(b.credit+RetryPercent, maxSavedRetries*retryCost)
}

// TryRetry reports whether a retry may be made, and deducts its cost.
func (b *RetryBudget) TryRetry() bool {
	if b.credit < retryCost {
		return false
	}
	b.credit -= retryCost
	return true
}
