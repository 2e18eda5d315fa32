package cmd

import (
	"context"
	"strings"

	"clementinepier/bundle"
)

type bundleSignCommand struct {
	File  string `arg:"positional,required" help:"bundle source"`
	Key   string `arg:"--key,required" placeholder:"FILE" help:"private key file of the author"`
	Out   string `arg:"--out" placeholder:"FILE" help:"signed file to write (default: the source's name with .signed instead of .toml)"`
	Force bool   `arg:"--force" help:"replace the signed file if it exists"`
}

func (*bundleSignCommand) example() string { return "bundle sign bundle.toml --key alice.key" }

func (c *bundleSignCommand) run(_ context.Context, s *invocation) error {
	source, err := s.readFile(c.File)
	if err != nil {
		return err
	}
	b, err := bundle.ParseAndCheck(source)
	if err != nil {
		return err
	}
	key, err := bundle.ReadPrivateKey(c.Key)
	if err != nil {
		return err
	}
	out := c.Out
	if out == "" {
		out = strings.TrimSuffix(c.File, ".toml") + ".signed"
	}
	if err := writeSigned(out, bundle.Signed{Source: source, Author: bundle.SignAuthor(key, source)}, c.Force); err != nil {
		return err
	}
	s.print("signed revision %d as author with key %s: %s", b.Revision, key.ID(), out)
	return nil
}
