package entry

import (
	"context"
	"time"

	"clementinepier/board"
	"clementinepier/metrics"
	"clementinepier/router"
)

const (
	// ownershipInterval is how often this VM evaluates which racks it owns and publishes the owners for routing.
	ownershipInterval = 100 * time.Millisecond
	listInterval      = time.Second
	// registrationInterval is how often the registrations in the store are read.
	registrationInterval = 5 * time.Second
)

// loops are the background goroutines. Each sends its error on its own channel when it ends.
type loops struct{ done []<-chan error }

func (v *VM) startLoops(ctx context.Context) *loops {
	l := &loops{}
	for _, loop := range []func(context.Context) error{
		v.watchConfiguration,
		v.maintainRegistration,
		v.pollVMList,
		v.every(v.Settings.HeartbeatInterval(), v.sendHeartbeats),
		v.adoptRequests,
		v.every(pruneInterval, v.pruneRequests),
		v.every(ownershipInterval, func(context.Context) { v.board.Post(v.evaluateOwnership) }),
	} {
		done := make(chan error, 1)
		l.done = append(l.done, done)
		go func() { done <- loop(ctx) }()
	}
	return l
}

// every returns a loop that calls f at the interval until its context is done.
func (v *VM) every(interval time.Duration, f func(context.Context)) func(context.Context) error {
	return func(ctx context.Context) error {
		ticker := v.Clock.NewTicker(interval)
		defer ticker.Stop()
		for {
			select {
			case <-ctx.Done():
				return nil
			case <-ticker.Chan():
				f(ctx)
			}
		}
	}
}

// evaluateOwnership assigns the racks of this failure domain to its live VMs and publishes the owners.
func (v *VM) evaluateOwnership(s *board.State) {
	now := v.Clock.Now()
	s.Members.RecordContact(now, v.selfMember(s))
	owners := s.Members.Owners(now, s.Self.FailureDomain)
	if len(owners) == 0 {
		// The last VM of a failure domain keeps its racks while it stops, so that the requests that run there can finish.
		owners = []string{s.Self.VM}
	}
	change := s.Ownership.Evaluate(now, racksOf(s), owners)
	for _, rack := range change.Gained {
		s.OwnedRacks[rack] = true
	}
	for _, rack := range change.Lost {
		delete(s.OwnedRacks, rack)
	}
	v.Metrics.Add(metrics.RacksGained, int64(len(change.Gained)))
	v.Metrics.Add(metrics.RacksLost, int64(len(change.Lost)))
	v.Metrics.SetGauge(metrics.RacksOwned, int64(len(s.OwnedRacks)))
	v.Metrics.SetGauge(metrics.RequestsQueued, int64(s.Queue.Len()))
	v.dispatcher.SetRacks(s)
	if len(change.Gained)+len(change.Lost) > 0 {
		v.dispatcher.SetConfiguration(s)
	}
	v.publishOwners(s, now)
}

// publishOwners replaces the immutable list of rack owners that request goroutines read.
func (v *VM) publishOwners(s *board.State, now time.Time) {
	owners := &router.Owners{}
	domains := map[string]bool{s.Self.FailureDomain: true}
	for _, report := range s.Reports {
		domains[report.Identity.FailureDomain] = true
	}
	for domain := range domains {
		for _, m := range s.Members.Live(now, domain) {
			report := s.Reports[m.Name]
			if m.Name == s.Self.VM {
				report = v.selfReport(s, now)
			}
			owners.List = append(owners.List, router.Owner{
				VM: m.Name, FailureDomain: m.FailureDomain, Racks: report.Racks, Queued: report.Queued,
				MayStart: report.MayStart && !m.Leaving && !s.View.IsOutOfService(m.FailureDomain),
			})
		}
	}
	owners.Sort()
	v.owners.Store(owners)
}
