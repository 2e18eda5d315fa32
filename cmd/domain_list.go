package cmd

import (
	"context"
	"maps"
	"slices"

	"clementinepier/bundle"
	"clementinepier/message"
)

type domainListCommand struct{ online }

func (*domainListCommand) example() string { return "domain list --entry 10.0.0.1:8080" }

func (c *domainListCommand) run(ctx context.Context, s *invocation) error {
	cl, err := s.client(c.online)
	if err != nil {
		return err
	}
	config, err := cl.config(ctx, s.Clock.Now().Add(callTimeout))
	if err != nil {
		return err
	}
	orders := map[string]message.DomainOrder{}
	for _, name := range config.FailureDomains {
		orders[name] = message.DomainOrder{State: bundle.OrderIn}
	}
	maps.Copy(orders, config.Orders)
	if c.JSON {
		return s.printJSON(orders)
	}
	for _, name := range slices.Sorted(maps.Keys(orders)) {
		s.print("%-24s %-4s order %d", name, orders[name].State, orders[name].Sequence)
	}
	s.print("revision %d, last change %s", config.Revision, config.ChangeID)
	return nil
}
