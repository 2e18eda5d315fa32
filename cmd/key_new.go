package cmd

import (
	"context"

	"clementinepier/bundle"
)

type keyNewCommand struct {
	Out  string        `arg:"--out,required" placeholder:"FILE" help:"private key file to create; the public key goes to FILE.pub"`
	Role []bundle.Role `arg:"--role,separate" placeholder:"ROLE" help:"author, reviewer or operator, for the public key file; repeatable, none means every role"`
}

func (*keyNewCommand) example() string {
	return "key new --out alice.key --role author --role reviewer"
}

func (c *keyNewCommand) run(_ context.Context, s *invocation) error {
	key, err := bundle.GenerateKey(s.Random)
	if err != nil {
		return err
	}
	if _, err := key.Trusted(c.Role...).Check(); err != nil {
		return exitf(ExitUsage, "%s", err)
	}
	if err := bundle.WriteKeyFiles(c.Out, key, c.Role...); err != nil {
		return err
	}
	s.print("key %s: private key in %s, public key in %s.pub", key.ID(), c.Out, c.Out)
	return nil
}
