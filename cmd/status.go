package cmd

import (
	"context"
	"fmt"
	"net/http"

	"clementinepier/message"
)

type statusCommand struct{ online }

func (*statusCommand) example() string {
	return "status --entry 10.0.0.1:8080 --entry 10.0.1.1:8080"
}

// run queries every entry VM given by --entry, not only the first that answers.
func (c *statusCommand) run(ctx context.Context, s *invocation) error {
	if _, err := s.client(c.online); err != nil {
		return err
	}
	var all []message.Status
	var failed error
	for _, entry := range c.Entry {
		cl, err := s.client(online{Entry: []string{entry}})
		if err != nil {
			return err
		}
		var status message.Status
		if err := cl.call(ctx, http.MethodGet, message.PathStatus, nil, &status); err != nil {
			s.note("error: %s", err)
			failed = exitf(exitCode(err), "not every entry VM gave its status")
			continue
		}
		all = append(all, status)
		if !c.JSON {
			s.printStatus(status)
		}
	}
	if c.JSON {
		if err := s.printJSON(all); err != nil {
			return err
		}
	}
	return failed
}

func (s *invocation) printStatus(status message.Status) {
	state := "starts tasks"
	switch {
	case status.Stopping:
		state = "stopping"
	case !status.MayStart:
		state = "starts no tasks: " + string(status.Reason)
	}
	store := "reachable"
	if !status.StoreReachable {
		store = "not reachable"
	}
	s.print("%s/%s: %s, revision %d, store %s, %d waiting, %d running",
		status.FailureDomain, status.Name, state, status.Revision, store, status.Waiting, status.Running)
	for _, m := range status.Members {
		condition := "live"
		if !m.Live {
			condition = "silent"
		}
		if m.Leaving {
			condition += ", leaving"
		}
		age := "never confirmed"
		if m.ViewAge != nil {
			age = "view " + m.ViewAge.String() + " old"
		}
		s.print("  %s/%s: %s, bundle revision %d, %s", m.FailureDomain, m.Name, condition, m.BundleRevision, age)
	}
	for _, r := range status.Racks {
		owner := "no owner"
		if r.Owner != "" {
			owner = "owner " + r.Owner
		}
		s.print("  rack %s/%s: %s, %d accelerators free (%d adjacent), %d slots free",
			r.FailureDomain, r.Name, owner, r.FreeAccelerators, r.LargestBlock, r.FreeSlots)
	}
	for _, o := range status.Organisations {
		s.print("  organisation %s: guaranteed %s, in use %s, lent %s, owed %s",
			o.Name, capacity(o.Guaranteed), capacity(o.InUse), capacity(o.Lent), capacity(o.Owed))
	}
}

// capacity formats a capacity, such as "16 accelerators/2 slots".
func capacity(c message.Capacity) string {
	return fmt.Sprintf("%d accelerators/%d slots", c.Accelerators, c.Slots)
}
