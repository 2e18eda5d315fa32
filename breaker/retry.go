package breaker

// Settings of a RetryBudget.
const (
	// RetryPercent is the share of requests that may be retried.
	RetryPercent = 10
	// RetryReserve lets a VM with few requests retry at all.
	RetryReserve = 10
	// maxSaved bounds the retries saved up in quiet times, so that they do not all come at once during a fault.
	maxSaved = 100
	// one is the cost of a retry; a request earns RetryPercent of it.
	one = 100
)

// RetryBudget bounds retries to a share of requests plus a reserve.
type RetryBudget struct{ credit int }

// NewRetryBudget returns a budget that holds the reserve.
func NewRetryBudget() *RetryBudget { return &RetryBudget{credit: RetryReserve * one} }

// RecordRequest records a request that is not a retry.
func (b *RetryBudget) RecordRequest() { b.credit = min(b.credit+RetryPercent, maxSaved*one) }

// TryRetry reports whether a retry may be made, and spends it.
func (b *RetryBudget) TryRetry() bool {
	if b.credit < one {
		return false
	}
	b.credit -= one
	return true
}
