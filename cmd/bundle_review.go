package cmd

import (
	"cmp"
	"context"

	"clementinepier/bundle"
)

type bundleReviewCommand struct {
	File    string   `arg:"positional,required" help:"signed file from bundle sign; the signature is added to it"`
	Key     string   `arg:"--key" placeholder:"FILE" help:"private key file of the reviewer; without it the changes are only shown"`
	Author  string   `arg:"--author" placeholder:"FILE" help:"public key file of the author; the author's signature is then verified"`
	Against string   `arg:"--against" placeholder:"FILE" help:"bundle source or signed file to compare with"`
	ReadKey string   `arg:"--read-key" placeholder:"FILE" help:"private key file that signs the call for the bundle in force; the default is --key"`
	First   bool     `arg:"--first" help:"there is no bundle in force yet; show everything as new"`
	Entry   []string `arg:"--entry,separate,env:CLEMENTINEPIER_ENTRY" placeholder:"ADDRESS" help:"entry VM whose bundle in force to compare with; repeatable"`
}

func (*bundleReviewCommand) example() string {
	return "bundle review bundle.signed --key bob.key --author alice.key.pub --entry 10.0.0.1:8080"
}

func (c *bundleReviewCommand) run(ctx context.Context, s *invocation) error {
	signed, b, err := s.readSigned(c.File)
	if err != nil {
		return err
	}
	if err := c.verifyAuthor(signed); err != nil {
		return err
	}
	baseline, err := c.baseline(ctx, s)
	if err != nil {
		return err
	}
	lines := bundle.Diff(baseline, b)
	for _, line := range lines {
		s.print("%s", line)
	}
	s.print("%d changes, author's key %s", len(lines), signed.Author.Key)
	if baseline != nil && b.Revision != baseline.Revision+1 {
		s.note("warning: revision is %d; only %d can be rolled out after %d", b.Revision, baseline.Revision+1, baseline.Revision)
	}
	if c.Key == "" {
		return nil
	}
	key, err := bundle.ReadPrivateKey(c.Key)
	if err != nil {
		return err
	}
	if key.ID() == signed.Author.Key {
		return &bundle.ErrSameSigner{Key: key.ID()}
	}
	signed.Reviewer = bundle.SignReviewer(key, signed.Source)
	if err := writeSigned(c.File, signed, true); err != nil {
		return err
	}
	s.print("signed revision %d as reviewer with key %s: %s", b.Revision, key.ID(), c.File)
	return nil
}

func (c *bundleReviewCommand) verifyAuthor(signed bundle.Signed) error {
	if c.Author == "" {
		return nil
	}
	author, err := bundle.ReadPublicKey(c.Author)
	if err != nil {
		return err
	}
	ring, err := bundle.NewKeyring([]bundle.TrustedKey{author})
	if err != nil {
		return err
	}
	return ring.VerifyAuthor(signed)
}

// baseline returns the bundle to compare with, or nil if there is none.
func (c *bundleReviewCommand) baseline(ctx context.Context, s *invocation) (*bundle.Bundle, error) {
	switch {
	case c.First:
		return nil, nil
	case c.Against != "":
		_, b, err := s.readBundle(c.Against)
		return b, err
	case len(c.Entry) > 0:
		signed, err := s.bundleInForce(ctx, online{Entry: c.Entry}, cmp.Or(c.ReadKey, c.Key))
		if err != nil || signed == nil {
			return nil, err
		}
		return bundle.ParseAndCheck(signed.Source)
	}
	return nil, exitf(ExitUsage, "one of --entry, --against and --first is needed to show what changes")
}
