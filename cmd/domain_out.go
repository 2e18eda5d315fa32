package cmd

import (
	"context"

	"clementinepier/bundle"
	"clementinepier/message"
)

// orderArguments are the arguments of the commands that sign an order.
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

// runOrder signs the next order for a failure domain and sends it.
func (s *invocation) runOrder(ctx context.Context, a orderArguments, state bundle.OrderState) error {
	key, err := bundle.ReadPrivateKey(a.Key)
	if err != nil {
		return err
	}
	if !bundle.IsName(a.Name) {
		return exitf(ExitUsage, "%q is not the name of a failure domain", a.Name)
	}
	return s.runChange(ctx, a.changeArguments, func(id string, now message.Config) (string, any, error) {
		order := bundle.Order{FailureDomain: a.Name, State: state, Sequence: now.Orders[a.Name].Sequence + 1, ChangeID: id}
		if err := order.Check(); err != nil {
			return "", nil, err
		}
		return message.OrderPath(a.Name), bundle.SignOrder(key, order), nil
	})
}
