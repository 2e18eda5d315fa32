// Package breaker keeps requests off workers that fail what they start.
package breaker

import (
	"time"

	"clementinepier/job"
)

// Breaker counts the failures of workers.
type Breaker struct{}

// Started records a start.
func (b *Breaker) Started(_ time.Time, _ string, _ job.Key) {}

// Failed records a failure.
func (b *Breaker) Failed(_ time.Time, _ string, _ job.Key) {}

// Succeeded records a success.
func (b *Breaker) Succeeded(_ time.Time, _ string, _ job.Key) {}

// Allowed reports whether the worker may be used.
func (b *Breaker) Allowed(_ time.Time, _ string, _ bool) bool { return true }

// RetryBudget bounds retries.
type RetryBudget struct{}

// Request records a request.
func (b *RetryBudget) Request(_ time.Time) {}

// Take reports whether a retry is allowed.
func (b *RetryBudget) Take(_ time.Time) bool { return true }
