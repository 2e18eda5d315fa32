package entry

import (
	"context"
	"time"

	"clementinepier/board"
	"clementinepier/metrics"
	"clementinepier/router"
)

const (
	// ownershipInterval is how often this VM looks at which racks it owns and publishes the owners for traffic.
	ownershipInterval = 100 * time.Millisecond
	listInterval      = time.Second
	// registrationInterval is how often the registrations in the store are read.
	registrationInterval = 5 * time.Second
)

// loops are the background goroutines; each reports its end on a channel of its own.
type loops struct{ ends []<-chan error }

func (v *VM) startLoops(ctx context.Context) *loops {
	l := &loops{}
	for _, loop := range []func(context.Context) error{
		v.watchConfiguration,
		v.keepRegistered,
		v.followDirectory,
		v.every(v.Settings.HeartbeatInterval(), v.sendHeartbeats),
		v.adoptRequests,
		v.every(pruneInterval, v.release),
		v.every(ownershipInterval, func(context.Context) { v.board.Post(v.evaluateOwnership) }),
	} {
		end := make(chan error, 1)
		l.ends = append(l.ends, end)
		go func() { end <- loop(ctx) }()
	}
	return l
}

// every returns a loop that calls f at the interval until its context ends.
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

// evaluateOwnership divides the racks of this failure domain and publishes the owners.
func (v *VM) evaluateOwnership(s *board.State) {
	now := v.Clock.Now()
	s.Members.RecordContact(now, v.member(s))
	owners := s.Members.Owners(now, s.Self.FailureDomain)
	if len(owners) == 0 {
		// The last VM of a failure domain keeps its racks while it stops, so that what runs there can end.
		owners = []string{s.Self.VM}
	}
	moves := s.Ownership.Evaluate(now, racksOf(s), owners)
	for _, rack := range moves.Gained {
		s.OwnedRacks[rack] = true
	}
	for _, rack := range moves.Lost {
		delete(s.OwnedRacks, rack)
	}
	v.Metrics.Add(metrics.RacksGained, int64(len(moves.Gained)))
	v.Metrics.Add(metrics.RacksLost, int64(len(moves.Lost)))
	v.Metrics.SetGauge(metrics.RacksOwned, int64(len(s.OwnedRacks)))
	v.Metrics.SetGauge(metrics.RequestsQueued, int64(s.Queue.Len()))
	v.dispatcher.SetRacks(s)
	if len(moves.Gained)+len(moves.Lost) > 0 {
		v.dispatcher.SetConfiguration(s)
	}
	v.publishOwners(s, now)
}

// publishOwners gives traffic a new immutable list of rack owners.
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
				report = v.report(s, now)
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
