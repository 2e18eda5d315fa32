// Package metrics holds the counters, gauges and histograms of an entry VM. Counters and gauges are published through
// expvar.
package metrics

import (
	"expvar"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Name is the published name of a counter, gauge or histogram.
type Name string

// The counters and gauges. Counters only increase during the lifetime of a process; the names of gauges end in
// "-gauge".
const (
	RequestsReceived     Name = "requests-received"
	RequestsDone         Name = "requests-done"
	RequestsNotRun       Name = "requests-not-run"
	RequestsUnknown      Name = "requests-unknown"
	RequestsAttached     Name = "requests-attached"
	RequestsForwarded    Name = "requests-forwarded"
	RequestsRerouted     Name = "requests-rerouted"
	RequestsCancelled    Name = "requests-cancelled"
	RequestsReturned     Name = "requests-returned"
	RequestsAdopted      Name = "requests-adopted"
	RequestsQueued       Name = "requests-queued-gauge"
	AttemptsStarted      Name = "attempts-started"
	AttemptsRetried      Name = "attempts-retried"
	AttemptsPreempted    Name = "attempts-preempted"
	HoldsRefused         Name = "holds-refused"
	StartsDelayed        Name = "starts-held-back-view-not-fresh"
	ClaimsMade           Name = "claims-made"
	ClaimsExisting       Name = "claims-existing"
	ClaimsFailed         Name = "claims-failed"
	WorkerCallsFailed    Name = "worker-calls-failed"
	WorkerCalls          Name = "worker-calls"
	RepliesIgnored       Name = "worker-replies-ignored"
	RacksOwned           Name = "racks-owned-gauge"
	RacksGained          Name = "racks-gained"
	RacksLost            Name = "racks-lost"
	PeerCallsServed      Name = "peer-calls-served"
	PeerCallsRefused     Name = "peer-calls-refused"
	PeerRepliesDropped   Name = "peer-replies-dropped"
	PeerHandshakesFailed Name = "peer-handshakes-failed"
	HeartbeatsSent       Name = "heartbeats-sent"
	HeartbeatsFailed     Name = "heartbeats-failed"
	StoreGets            Name = "store-gets"
	StoreLists           Name = "store-lists"
	StoreSwaps           Name = "store-compare-and-swaps"
	StoreDeletes         Name = "store-deletes"
	StoreWatches         Name = "store-watches"
	VMLists              Name = "vm-lists"
	StoreErrors          Name = "store-errors"
	StoreCallsThrottled  Name = "store-calls-throttled"
	StoreCallsWithheld   Name = "store-calls-withheld"
	ConfigApplied        Name = "config-documents-applied"
	ConfigRejected       Name = "config-parts-rejected"
	ConfigRevision       Name = "config-revision-gauge"
	ViewFresh            Name = "view-fresh-gauge"
	ViewAge              Name = "view-age-milliseconds-gauge"
	ReclaimsRequested    Name = "reclaims-requested"
	ReclaimsEnded        Name = "reclaims-ended"
	ReclaimTime          Name = "reclaim-time-milliseconds"
	JournalAdopted       Name = "journal-records-adopted"
	JobsAccepted         Name = "jobs-accepted"
	JobsRefused          Name = "jobs-refused"
	CallersConnected     Name = "callers-connected-gauge"
	Polls                Name = "looks"
	OrdersUnanswered     Name = "orders-unanswered"
	GroupsPreempted      Name = "groups-preempted"
	// CoreSecondsPreempted is the work that preemptions have thrown away, in core-seconds; an accelerator counts as 8 cores.
	CoreSecondsPreempted Name = "core-seconds-preempted"
	// PreemptionsWithheld counts the units for which no room was made, since that would cost other callers more.
	PreemptionsWithheld Name = "preemptions-withheld"
	// RestartsDelayed counts the preempted units that waited before they started again.
	RestartsDelayed  Name = "restarts-delayed"
	EndsContradicted Name = "inferred-ends-contradicted"
	// GroupsStalled counts the groups that were stopped because a run stood still.
	GroupsStalled Name = "groups-stalled"
	// GroupsKeptAtFullPercent is how many groups are kept although a run of theirs stands still at 100 percent.
	GroupsKeptAtFullPercent Name = "groups-kept-at-full-percent-gauge"
	// SpeedsCompared counts the runs by which the speed of a worker was compared with that of others.
	SpeedsCompared Name = "speeds-compared"
	// WorkersSlow and WorkersFast are how many workers of the service last planned for are slower and faster than usual by a class or more.
	WorkersSlow Name = "workers-slow-gauge"
	WorkersFast Name = "workers-fast-gauge"
	// RunFiguresInvalid counts the entries of runs in which workers reported an impossible percent or figure.
	RunFiguresInvalid Name = "run-figures-invalid"
	UnitsWaiting      Name = "units-waiting-gauge"
	JobsIdle          Name = "jobs-idle-gauge"
	// JobMemory is about how many bytes the planner's jobs take, JobsUnloaded how many jobs are left in the store for want of memory, and
	// JobsWithoutRoom counts those that were refused for it.
	JobMemory       Name = "job-memory-bytes-gauge"
	JobsUnloaded    Name = "jobs-unloaded-gauge"
	JobsWithoutRoom Name = "jobs-refused-without-room"
	GroupsWithheld  Name = "groups-withheld-gauge"
	// OrganisationsAtLimit is how many organisations have units that wait for their limits, UnitsOverLimit how many units do.
	OrganisationsAtLimit Name = "organisations-at-limit-gauge"
	UnitsOverLimit       Name = "units-over-limit-gauge"
	JobsBeyondWeight     Name = "jobs-beyond-weight-gauge"
	// GuaranteesAboveLimit is how many organisations are guaranteed more than their limits.
	GuaranteesAboveLimit Name = "guarantees-above-limit-gauge"
	// LimitsRejected counts the invalid limits and weights of organisations.
	LimitsRejected  Name = "organisation-limits-rejected"
	PlannerTerms    Name = "planner-terms"
	LogLinesDropped Name = "log-lines-dropped-gauge"
)

// The histograms, all of durations.
const (
	// AcceptTime is the time from the arrival of a job to the reply to its caller.
	AcceptTime Name = "accept-time"
	// WaitTime is the time from the acceptance of a job to the placement of its first task.
	WaitTime Name = "wait-time"
	// StartTime is the time from a placement until all its runs are present on their workers.
	StartTime Name = "start-time"
	// JobTime is the time from the acceptance of a job to its end.
	JobTime Name = "job-time"
	// CommitTime is the duration of one write to the store.
	CommitTime Name = "commit-time"
	// PlanTime is the duration of one planning pass.
	PlanTime Name = "plan-time"
	// OrderTime is the duration of one order to a worker.
	OrderTime Name = "order-time"
)

// Set is the metrics of one process. The zero value is ready for use.
type Set struct {
	values expvar.Map

	mu         sync.Mutex
	histograms map[Name]*hdrhistogram.Histogram
}

// Publish publishes the counters and gauges under /debug/vars. It panics when called twice in a process.
func (s *Set) Publish() { expvar.Publish("clementinepier", &s.values) }

// Add increases a counter by n.
func (s *Set) Add(name Name, n int64) { s.values.Add(string(name), n) }

// SetGauge sets a gauge's value.
func (s *Set) SetGauge(name Name, value int64) {
	v := new(expvar.Int)
	v.Set(value)
	s.values.Set(string(name), v)
}

// SetDuration sets a gauge's value to a duration in milliseconds.
func (s *Set) SetDuration(name Name, d time.Duration) { s.SetGauge(name, d.Milliseconds()) }

// Get returns the current value of a counter or gauge, or 0 if it was never set.
func (s *Set) Get(name Name) int64 {
	v, ok := s.values.Get(string(name)).(*expvar.Int)
	if !ok {
		return 0
	}
	return v.Value()
}
