package cmd

import (
	"context"

	"clementinepier/settings"
)

type entryCommand struct {
	Settings string `arg:"--settings,required" placeholder:"FILE" help:"settings file"`
}

func (*entryCommand) example() string { return "entry --settings settings.toml" }

func (c *entryCommand) run(ctx context.Context, s *invocation) error {
	loaded, err := settings.Load(c.Settings)
	if err != nil {
		return err
	}
	if s.Entry == nil {
		return exitf(ExitFailed, "this build cannot run an entry VM")
	}
	return s.Entry(ctx, loaded)
}
