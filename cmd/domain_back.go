package cmd

import (
	"context"

	"clementinepier/bundle"
)

type domainBackCommand struct{ orderArguments }

func (*domainBackCommand) example() string {
	return "domain back tunis-a --key carol.key --entry 10.0.0.1:8080"
}

func (c *domainBackCommand) run(ctx context.Context, s *invocation) error {
	return s.runOrder(ctx, c.orderArguments, bundle.OrderIn)
}
