package entry

import (
	"context"
	"time"

	"clementinepier/board"
	"clementinepier/config"
	"clementinepier/job"
	"clementinepier/message"
	"clementinepier/placement"
	"clementinepier/router"
)

// status returns the state of this entry VM, and of the rest of the system as this VM knows it, for operators.
func (v *VM) status(ctx context.Context) (message.Status, error) {
	var status message.Status
	var view *config.View
	err := v.board.Do(ctx, func(s *board.State) {
		now := v.Clock.Now()
		mayStart, reason := s.Freshness.MayStart(now)
		view = s.View
		status = message.Status{
			Name: s.Self.VM, FailureDomain: s.Self.FailureDomain, Revision: s.View.Revision().Sum(), MayStart: mayStart,
			Reason: reason, Stopping: s.Draining, StoreReachable: v.storeReachable.Load(), Waiting: s.Queue.Len(),
			Running: v.dispatcher.Running(), Members: membersOf(s, now),
		}
	})
	if err != nil {
		return status, err
	}
	racks := rackReports(v.owners.Load())
	status.Racks, status.Organisations = []message.Rack{}, []message.Organisation{}
	if view.Bundle() != nil {
		status.Racks = racksFor(view, racks)
		status.Organisations = organisationsFor(view, v.anchors.forView(view), racks)
	}
	return status, nil
}

// membersOf lists this entry VM and the others that it contacts.
func membersOf(s *board.State, now time.Time) []message.Member {
	members := []message.Member{}
	for _, m := range s.Members.MemberStatuses(now) {
		report := s.Reports[m.Name]
		if m.Name == s.Self.VM {
			report.Revision, report.ViewAge = s.View.Revision(), viewAge(s, now)
		}
		members = append(members, message.Member{
			Name: m.Name, FailureDomain: m.FailureDomain, Live: m.Live, Leaving: m.Leaving, LastContact: m.LastContact,
			BundleRevision: report.Revision.Bundle, Revision: report.Revision.Sum(), ViewAge: report.ViewAge,
		})
	}
	return members
}

// rackReport is the summary of a rack and the live entry VM that reported it.
type rackReport struct {
	owner   string
	summary placement.RackSummary
}

func rackReports(owners *router.Owners) map[string]rackReport {
	reports := map[string]rackReport{}
	for _, o := range owners.List {
		for _, summary := range o.Racks {
			reports[summary.Rack] = rackReport{o.VM, summary}
		}
	}
	return reports
}

func racksFor(view *config.View, reports map[string]rackReport) []message.Rack {
	racks := []message.Rack{}
	for _, d := range view.Bundle().FailureDomains {
		for _, r := range d.Racks {
			report := reports[r.Name]
			racks = append(racks, message.Rack{
				Name: r.Name, FailureDomain: d.Name, Owner: report.owner, FreeAccelerators: report.summary.FreeAccelerators,
				LargestBlock: report.summary.LargestBlock, FreeSlots: report.summary.FreeSlots,
			})
		}
	}
	return racks
}

// organisationsFor sums up, for each organisation, the guaranteed capacity and how much of it is in use, lent and owed.
func organisationsFor(view *config.View, anchors []placement.Anchor, reports map[string]rackReport) []message.Organisation {
	organisations := []message.Organisation{}
	for _, o := range view.Bundle().Organisations {
		reply := message.Organisation{Name: o.Name}
		for _, a := range anchors {
			if a.Organisation != o.Name {
				continue
			}
			addShape(&reply.Guaranteed, a.Shape)
			if reports[a.Rack].owner == "" {
				addShape(&reply.Owed, a.Shape)
			}
		}
		for _, report := range reports {
			for _, usage := range report.summary.AnchorUsages {
				if usage.Organisation == o.Name {
					reply.InUse.Accelerators += usage.UsedAccelerators
					reply.InUse.Slots += usage.UsedSlots
					reply.Lent.Accelerators += usage.LentAccelerators
					reply.Lent.Slots += usage.LentSlots
				}
			}
		}
		organisations = append(organisations, reply)
	}
	return organisations
}

func addShape(c *message.Capacity, s job.Shape) {
	c.Accelerators += s.TotalAccelerators()
	c.Slots += s.Tasks * s.Slots
}
