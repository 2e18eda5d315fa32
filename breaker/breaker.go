// Package breaker quarantines workers that fail the tasks they start, and bounds the retries of an entry VM. It is
// pure; callers serialise access.
package breaker

import (
	"slices"
	"time"

	"clementinepier/job"
)

// Defaults of a Breaker (design page, 6.9).
const (
	// DefaultFailureThreshold is the number of different requests in a row whose starts must fail.
	DefaultFailureThreshold  = 3
	DefaultInitialQuarantine = 30 * time.Second
	DefaultMaxQuarantine     = 10 * time.Minute
)

// Breaker decides which workers may receive tasks. Its exported fields are set before the first call.
type Breaker struct {
	FailureThreshold int
	// InitialQuarantine is the first quarantine; each failed probe doubles it up to Maximum.
	InitialQuarantine time.Duration
	MaxQuarantine     time.Duration
	// AnySuccessEndsQuarantine means that any task that a worker completes ends its quarantine, not only the probe's.
	AnySuccessEndsQuarantine bool

	workers map[string]*state
}

type state struct {
	// failed are the different requests that failed since the last success, at most Failures.
	failed []job.Key
	// length is 0 for a worker that is not quarantined.
	length time.Duration
	until  time.Time
	// probe is the request that tests a worker whose quarantine has passed.
	probe   job.Key
	probing bool
}

// New returns a breaker with the default settings.
func New() *Breaker {
	return &Breaker{
		FailureThreshold: DefaultFailureThreshold, InitialQuarantine: DefaultInitialQuarantine, MaxQuarantine: DefaultMaxQuarantine, workers: map[string]*state{},
	}
}

// Allowed reports whether a task of a request may be placed on the worker. A worker whose quarantine has passed is
// allowed one idempotent request at a time until one succeeds.
func (b *Breaker) Allowed(now time.Time, worker string, idempotent bool) bool {
	s := b.workers[worker]
	if s == nil || s.length == 0 {
		return true
	}
	return idempotent && !s.probing && !now.Before(s.until)
}

// Quarantined reports whether the worker has not passed a probe since its last quarantine.
func (b *Breaker) Quarantined(worker string) bool {
	s := b.workers[worker]
	return s != nil && s.length > 0
}

// RecordStart records that a request was placed on the worker.
func (b *Breaker) RecordStart(now time.Time, worker string, key job.Key) {
	if s := b.workers[worker]; s != nil && s.length > 0 && !s.probing && !now.Before(s.until) {
		s.probing, s.probe = true, key
	}
}

// RecordFailure records that the worker failed a task of the request.
func (b *Breaker) RecordFailure(now time.Time, worker string, key job.Key) {
	s := b.workers[worker]
	if s == nil {
		s = &state{}
		b.workers[worker] = s
	}
	switch {
	case s.length > 0 && s.probing && s.probe == key:
		s.probing = false
		s.length = min(2*s.length, b.MaxQuarantine)
		s.until = now.Add(s.length)
	case s.length > 0 || slices.Contains(s.failed, key):
		// A request that fails again may be at fault itself; tasks from before the quarantine do not prolong it.
	default:
		s.failed = append(s.failed, key)
		if len(s.failed) >= b.FailureThreshold {
			s.failed, s.length = nil, b.InitialQuarantine
			s.until = now.Add(s.length)
		}
	}
}

// RecordSuccess records that the worker completed a task of the request.
func (b *Breaker) RecordSuccess(worker string, key job.Key) {
	s := b.workers[worker]
	if s == nil {
		return
	}
	if s.length == 0 || b.AnySuccessEndsQuarantine || s.probing && s.probe == key {
		delete(b.workers, worker)
	}
}

// RecordInconclusive records that the request ended on the worker without showing whether the worker is at fault.
func (b *Breaker) RecordInconclusive(worker string, key job.Key) {
	if s := b.workers[worker]; s != nil && s.probing && s.probe == key {
		s.probing = false
	}
}

// Remove drops what is known about a worker that is gone or was replaced.
func (b *Breaker) Remove(worker string) { delete(b.workers, worker) }
