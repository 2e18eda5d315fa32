package cmd

import (
	"context"
	"errors"

	"clementinepier/bundle"
)

type bundleCheckCommand struct {
	File string `arg:"positional,required" help:"bundle source or signed file; - reads the standard input"`
	JSON bool   `arg:"--json" help:"print the faults as JSON"`
}

func (*bundleCheckCommand) example() string { return "bundle check bundle.toml" }

func (c *bundleCheckCommand) run(_ context.Context, s *invocation) error {
	_, b, err := s.readBundle(c.File)
	if c.JSON {
		faults := []bundle.Fault{}
		var invalid *bundle.ErrBundleInvalid
		if errors.As(err, &invalid) {
			faults = invalid.Faults
		} else if err != nil {
			return err
		}
		if printErr := s.printJSON(struct {
			Valid  bool           `json:"valid"`
			Faults []bundle.Fault `json:"faults"`
		}{err == nil, faults}); printErr != nil {
			return printErr
		}
		return err
	}
	if err != nil {
		return err
	}
	s.print("bundle is valid: revision %d, %d organisations, %d failure domains, %d services",
		b.Revision, len(b.Organisations), len(b.FailureDomains), len(b.Services))
	return nil
}
