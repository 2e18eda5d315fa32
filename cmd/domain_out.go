package cmd

import (
	"context"

	"clementinepier/bundle"
	"clementinepier/message"
)

// orderArguments are the arguments of the commands that sign an order to take a failure domain out of service or
// return it to service.
type orderArguments struct {
	changeArguments
	Name string `arg:"positional,required" help:"name of the failure domain"`
	Key  string `arg:"--key,required" placeholder:"FILE" help:"private key file of the operator"`
}

type domainOutCommand struct{ orderArguments }

func (*domainOutCommand) example() string {
	return "domain out tunis-a --key carol.key --entry 10.0.0.1:8080 --entry 10.0.1.1:8080"
}

func (c *domainOutCommand) run(ctx context.Context, s *invocation) error {
	return s.runOrder(ctx, c.orderArguments, bundle.OrderOut)
}

// runOrder signs an order for a failure domain with the next sequence number and sends it.
func (s *invocation) runOrder(ctx context.Context, a orderArguments, state bundle.OrderState) error {
	key, err := bundle.ReadPrivateKey(a.Key)
	if err != nil {
		return err
	}
	if !bundle.IsName(a.Name) {
		return exitf(ExitUsage, "%q is not the name of a failure domain", a.Name)
	}
	return s.runChange(ctx, a.changeArguments, func(id string, current message.Config) (string, any, error) {
		order := bundle.Order{FailureDomain: a.Name, State: state, Sequence: current.Orders[a.Name].Sequence + 1, ChangeID: id}
		if err := order.Check(); err != nil {
			return "", nil, err
		}
		return message.OrderPath(a.Name), bundle.SignOrder(key, order), nil
	})
}
