// Package breaker quarantines workers on which tasks keep failing, and limits the retries of an entry VM. It does no I/O;
// callers serialise access.
package breaker

import (
	"slices"
	"time"

	"clementinepier/job"
)

// Defaults of a Breaker; docs/design.md, section 6.9, has the reasons.
const (
	// DefaultFailureThreshold is the number of different requests in a row that must fail on a worker.
	DefaultFailureThreshold  = 3
	DefaultInitialQuarantine = 30 * time.Second
	DefaultMaxQuarantine     = 10 * time.Minute
)

// Breaker decides which workers may receive tasks. Its exported fields are set before the first call.
type Breaker struct {
	FailureThreshold int
	// InitialQuarantine is the length of the first quarantine; each failed probe doubles it up to MaxQuarantine.
	InitialQuarantine time.Duration
	MaxQuarantine     time.Duration
	// AnySuccessEndsQuarantine makes any task that completes on a worker end its quarantine, not only the probe's.
	AnySuccessEndsQuarantine bool

	workers map[string]*workerState
}

type workerState struct {
	// failedRequests are the different requests that failed since the last success or the start of the last quarantine.
	failedRequests []job.Key
	// quarantine is the length of the current quarantine, 0 for a worker that is not quarantined.
	quarantine       time.Duration
	quarantinedUntil time.Time
	// probes has the requests that test the worker since its quarantine time has ended.
	probes map[job.Key]probe
}

// probe is the test of a worker by a request.
type probe struct {
	startedAt time.Time
	// long is set once the probe no longer keeps the worker from being given another one.
	long bool
}

// closed reports whether a probe keeps the worker from being given another one.
func (s *workerState) closed() bool {
	for _, p := range s.probes {
		if !p.long {
			return true
		}
	}
	return false
}

// New returns a breaker with the default settings.
func New() *Breaker {
	return &Breaker{
		FailureThreshold: DefaultFailureThreshold, InitialQuarantine: DefaultInitialQuarantine, MaxQuarantine: DefaultMaxQuarantine, workers: map[string]*workerState{},
	}
}

// Allowed reports whether a task of a request may be placed on the worker. After its quarantine has ended, a worker is given
// one idempotent request at a time as a probe until one succeeds. A probe that takes long does not delay the next; see RecordLongProbe.
func (b *Breaker) Allowed(now time.Time, worker string, idempotent bool) bool {
	s := b.workers[worker]
	if s == nil || s.quarantine == 0 {
		return true
	}
	return idempotent && !now.Before(s.quarantinedUntil) && !s.closed()
}

// Quarantined reports whether the worker is in quarantine, or its quarantine time has ended without a success since.
func (b *Breaker) Quarantined(worker string) bool {
	s := b.workers[worker]
	return s != nil && s.quarantine > 0
}

// RecordStart makes the request the worker's probe if its quarantine time has ended and it has no probe yet.
func (b *Breaker) RecordStart(now time.Time, worker string, key job.Key) {
	s := b.workers[worker]
	if s == nil || s.quarantine == 0 || now.Before(s.quarantinedUntil) || s.closed() {
		return
	}
	if s.probes == nil {
		s.probes = map[job.Key]probe{}
	}
	s.probes[key] = probe{startedAt: now}
}

// ProbeStart returns when the request began to test the worker, and false if it does not.
func (b *Breaker) ProbeStart(worker string, key job.Key) (time.Time, bool) {
	s := b.workers[worker]
	if s == nil {
		return time.Time{}, false
	}
	p, ok := s.probes[key]
	return p.startedAt, ok
}

// RecordLongProbe records that the request has run on the worker for long without an outcome. If it is a probe, the worker may be given
// another one. Its failure still extends the quarantine.
func (b *Breaker) RecordLongProbe(worker string, key job.Key) {
	if startedAt, ok := b.ProbeStart(worker, key); ok {
		b.workers[worker].probes[key] = probe{startedAt: startedAt, long: true}
	}
}

// RecordFailure records that the worker failed a task of the request.
func (b *Breaker) RecordFailure(now time.Time, worker string, key job.Key) {
	s := b.workers[worker]
	if s == nil {
		s = &workerState{}
		b.workers[worker] = s
	}
	_, tested := s.probes[key]
	switch {
	case tested:
		s.probes = nil
		s.quarantine = min(2*s.quarantine, b.MaxQuarantine)
		s.quarantinedUntil = now.Add(s.quarantine)
	case s.quarantine > 0 || slices.Contains(s.failedRequests, key):
		// A request that fails repeatedly may itself be at fault. Tasks started before the quarantine do not extend it.
	default:
		s.failedRequests = append(s.failedRequests, key)
		if len(s.failedRequests) >= b.FailureThreshold {
			s.failedRequests, s.quarantine = nil, b.InitialQuarantine
			s.quarantinedUntil = now.Add(s.quarantine)
		}
	}
}

// RecordSuccess records that the worker completed a task of the request.
func (b *Breaker) RecordSuccess(worker string, key job.Key) {
	s := b.workers[worker]
	if s == nil {
		return
	}
	if _, tested := s.probes[key]; tested || s.quarantine == 0 || b.AnySuccessEndsQuarantine {
		delete(b.workers, worker)
	}
}

// RecordInconclusive records that the request ended on the worker without showing whether the worker is at fault.
func (b *Breaker) RecordInconclusive(worker string, key job.Key) {
	if s := b.workers[worker]; s != nil {
		delete(s.probes, key)
	}
}

// Remove deletes the state of a worker that is gone or was replaced.
func (b *Breaker) Remove(worker string) { delete(b.workers, worker) }
