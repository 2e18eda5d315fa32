package cmd

import (
	"context"

	"clementinepier/front"
)

type frontCommand struct {
	Settings string `arg:"--settings,env:CLEMENTINEPIER_NODE_FILE,required" placeholder:"FILE" help:"settings file"`
	// MaxMemoryMB takes the place of the setting, so that a deploy file can pass the size of the machine.
	MaxMemoryMB int  `arg:"--max-memory-mb" placeholder:"MB" help:"memory of the process in megabytes (2^20 bytes), in place of the setting max-memory-mb"`
	Check       bool `arg:"--check" help:"report every fault of the settings file and end"`
}

func (*frontCommand) example() string { return "front --settings front.toml" }

func (c *frontCommand) run(ctx context.Context, s *invocation) error {
	loaded, err := front.LoadSettings(c.Settings)
	if err != nil {
		return err
	}
	if c.MaxMemoryMB < 0 {
		return exitf(ExitUsage, "--max-memory-mb must not be negative")
	}
	if c.MaxMemoryMB > 0 {
		loaded.MaxMemoryMB = c.MaxMemoryMB
	}
	if c.Check {
		s.print("settings are valid: entry VM %s in failure domain %s, callers on %s, store on %s",
			loaded.Name, loaded.FailureDomain, loaded.CallersAddress, loaded.StoreAddress)
		return nil
	}
	if s.Front == nil {
		return exitf(ExitFailed, "this build cannot run an entry VM on the platform")
	}
	return s.Front(ctx, loaded, c.Settings)
}
