package cmd

import (
	"context"

	"clementinepier/settings"
)

type settingsCheckCommand struct {
	File string `arg:"positional,required" help:"settings file"`
}

func (*settingsCheckCommand) example() string { return "settings check settings.toml" }

func (c *settingsCheckCommand) run(_ context.Context, s *invocation) error {
	loaded, err := settings.Load(c.File)
	if err != nil {
		return err
	}
	s.print("settings are valid: entry VM %s in failure domain %s, callers on %s, peers on %s, trusted keys %v",
		loaded.Name(), loaded.FailureDomain(), loaded.CallersAddress(), loaded.PeersAddress(), loaded.Keyring().IDs())
	return nil
}
