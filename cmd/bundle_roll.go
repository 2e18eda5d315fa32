package cmd

import (
	"context"

	"clementinepier/bundle"
	"clementinepier/message"
)

type bundleRollCommand struct {
	changeArguments
	File string `arg:"positional,required" help:"signed file with both signatures"`
}

func (*bundleRollCommand) example() string {
	return "bundle roll bundle.signed --entry 10.0.0.1:8080 --entry 10.0.1.1:8080"
}

func (c *bundleRollCommand) run(ctx context.Context, s *invocation) error {
	signed, b, err := s.readSigned(c.File)
	if err != nil {
		return err
	}
	switch {
	case len(signed.Author.Value) == 0:
		return exitf(ExitInvalid, "%s: the author's signature is missing; see bundle sign", c.File)
	case len(signed.Reviewer.Value) == 0:
		return exitf(ExitInvalid, "%s: the reviewer's signature is missing; see bundle review", c.File)
	case signed.Author.Key == signed.Reviewer.Key:
		return &bundle.ErrSameSigner{Key: signed.Author.Key}
	}
	return s.runChange(ctx, c.changeArguments, func(id string, current message.Config) (string, any, error) {
		// With --change-id this may be a retry of a change that is already in force, which only the entry VM can detect.
		if c.ChangeID == "" && b.Revision != current.BundleRevision+1 {
			return "", nil, exitf(ExitConflict, "the bundle has revision %d, but revision %d is in force (change %q); only revision %d can follow",
				b.Revision, current.BundleRevision, current.ChangeID, current.BundleRevision+1)
		}
		return message.PathBundle, message.BundleChange{Signed: signed, ChangeID: id, BasedOn: current.Revision}, nil
	})
}
