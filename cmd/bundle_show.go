package cmd

import (
	"context"
	"strings"

	"clementinepier/bundle"
)

type bundleShowCommand struct {
	online
	Key  string `arg:"--key" placeholder:"FILE" help:"private key file, trusted in any role; it signs the call for the bundle in force"`
	File string `arg:"positional" help:"bundle source or signed file; without it the bundle in force is shown"`
}

func (*bundleShowCommand) example() string {
	return "bundle show --key alice.key --entry 10.0.0.1:8080"
}

func (c *bundleShowCommand) run(ctx context.Context, s *invocation) error {
	var source []byte
	var b *bundle.Bundle
	var err error
	if c.File != "" {
		source, b, err = s.readBundle(c.File)
	} else {
		var signed *bundle.Signed
		signed, err = s.bundleInForce(ctx, c.online, c.Key)
		if err == nil && signed == nil {
			return exitf(ExitFailed, "no bundle is in force")
		}
		if err == nil {
			source = signed.Source
			b, err = bundle.ParseAndCheck(source)
		}
	}
	if err != nil {
		return err
	}
	if c.JSON {
		return s.printJSON(b)
	}
	s.print("%s", strings.TrimSuffix(string(source), "\n"))
	return nil
}

// bundleInForce fetches the bundle in force from an entry VM, or returns nil if there is none. If keyFile is set, its
// private key signs the call.
func (s *invocation) bundleInForce(ctx context.Context, o online, keyFile string) (*bundle.Signed, error) {
	c, err := s.client(o)
	if err != nil {
		return nil, err
	}
	if keyFile != "" {
		if c.readKey, err = bundle.ReadPrivateKey(keyFile); err != nil {
			return nil, err
		}
	}
	config, err := c.config(ctx, s.Clock.Now().Add(callTimeout))
	if err == nil && config.Bundle == nil && config.BundleRevision > 0 {
		return nil, exitf(ExitFailed, "the entry VM did not send the bundle of revision %d; it sends it only to calls signed with a trusted key", config.BundleRevision)
	}
	return config.Bundle, err
}
