package entry

import (
	"context"
	"time"

	"github.com/fxamacker/cbor/v2"

	"clementinepier/board"
	"clementinepier/config"
	"clementinepier/job"
	"clementinepier/membership"
	"clementinepier/metrics"
	"clementinepier/peer"
)

// heartbeatTimeout is shorter than the freshness window, so that calls do not accumulate when answers are slow.
const heartbeatTimeout = time.Second

// selfMember returns the entry of this VM in its own membership table.
func (v *VM) selfMember(s *board.State) membership.Member {
	return membership.Member{
		Name: s.Self.VM, FailureDomain: s.Self.FailureDomain, Address: s.Address, BootID: s.Self.BootID,
		Registered: s.Registered, Leaving: s.Draining,
	}
}

// selfReport returns the report that this VM sends to the others, and updates the metrics of the view.
func (v *VM) selfReport(s *board.State, now time.Time) board.Report {
	fresh, _ := s.Freshness.MayStart(now)
	if fresh {
		v.Metrics.SetGauge(metrics.ViewFresh, 1)
	} else {
		v.Metrics.SetGauge(metrics.ViewFresh, 0)
	}
	age := viewAge(s, now)
	if age != nil {
		v.Metrics.SetDuration(metrics.ViewAge, age.Std())
	}
	return board.Report{
		ViewAge: age, Identity: s.Self, Address: s.Address, Registered: s.Registered, Leaving: s.Draining,
		Revision: s.View.Revision(), MayStart: fresh && !s.Draining, Racks: s.Cluster.Summaries(), Queued: s.Queue.Len(),
		Demands: s.Demands,
	}
}

// viewAge returns the time since the view was last known to be current, or nil if it never was.
func viewAge(s *board.State, now time.Time) *job.Duration {
	fresh, known := s.Freshness.FreshAt()
	if !known {
		return nil
	}
	age := job.Duration(max(0, now.Sub(fresh)).Truncate(time.Millisecond))
	return &age
}

// sendHeartbeats sends a heartbeat to every other entry VM without waiting for the answers. It first removes the VMs that
// the membership table has forgotten.
func (v *VM) sendHeartbeats(ctx context.Context) {
	var report board.Report
	var contacts []membership.Member
	err := v.board.Do(ctx, func(s *board.State) {
		now := v.Clock.Now()
		updateOwnDemands(s, now)
		report, contacts = v.selfReport(s, now), s.Members.Contacts(now)
		for _, gone := range s.Members.Forget(now) {
			s.Freshness.Forget(gone)
			delete(s.Reports, gone)
		}
	})
	if err != nil {
		return
	}
	addresses := make(map[string]string, len(contacts))
	for _, c := range contacts {
		addresses[c.Name] = c.Address
	}
	v.hub.SetPeers(addresses)
	for _, c := range contacts {
		go v.sendHeartbeat(ctx, c.Name, report)
	}
}

func (v *VM) sendHeartbeat(ctx context.Context, vm string, report board.Report) {
	sent := v.Clock.Now()
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	var reply board.Report
	v.Metrics.Add(metrics.HeartbeatsSent, 1)
	if err := v.hub.Call(ctx, vm, peer.KindHeartbeat, report, &reply); err != nil {
		v.Metrics.Add(metrics.HeartbeatsFailed, 1)
		if peer.IsRefused(err) {
			v.board.Post(func(s *board.State) { s.Members.RecordConnectionRefused(v.Clock.Now(), vm) })
		}
		return
	}
	behind := false
	err := v.board.Do(ctx, func(s *board.State) {
		v.recordReport(s, reply)
		s.Freshness.RecordHeartbeat(sent, reply.Identity.VM, reply.Identity.FailureDomain, reply.Registered, reply.Revision)
		behind = !s.View.Revision().Covers(reply.Revision)
	})
	if err == nil && behind {
		v.fetchConfiguration(ctx, vm)
	}
}

// recordReport records the report that another VM sent about itself, unless the membership table ignores the contact.
func (v *VM) recordReport(s *board.State, report board.Report) {
	event := s.Members.RecordContact(v.Clock.Now(), membership.Member{
		Name: report.Identity.VM, FailureDomain: report.Identity.FailureDomain, Address: report.Address,
		BootID: report.Identity.BootID, Registered: report.Registered, Leaving: report.Leaving,
	})
	if event != membership.EventIgnored {
		s.Reports[report.Identity.VM] = report
		recordDemand(s, v.Clock.Now(), report)
	}
}

// handleHeartbeat records another VM's heartbeat and answers with this VM's own report.
func (v *VM) handleHeartbeat(ctx context.Context, from peer.Identity, body []byte) (any, error) {
	var report board.Report
	if err := cbor.Unmarshal(body, &report); err != nil {
		return nil, err
	}
	// Use the identity that the connection was authenticated with, not the one that the report claims.
	report.Identity = from
	var own board.Report
	err := v.board.Do(ctx, func(s *board.State) {
		v.recordReport(s, report)
		own = v.selfReport(s, v.Clock.Now())
	})
	return own, err
}

// fetchConfiguration gets the configuration from a VM with a newer revision and merges it.
func (v *VM) fetchConfiguration(ctx context.Context, vm string) {
	var value []byte
	if err := v.hub.Call(ctx, vm, peer.KindConfig, struct{}{}, &value); err != nil {
		return
	}
	document, err := config.Decode(value)
	if err != nil {
		v.Metrics.Add(metrics.ConfigRejected, 1)
		return
	}
	v.board.Post(func(s *board.State) { _ = v.mergeConfiguration(s, document) })
}

// handleConfig returns the signed configuration. The reader checks the signatures, so it need not trust this VM.
func (v *VM) handleConfig(context.Context, peer.Identity, []byte) (any, error) {
	value, err := config.Encode(v.view.Load().Document())
	return value, err
}
