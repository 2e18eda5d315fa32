package cmd

import (
	"context"
	"runtime/debug"
)

type versionCommand struct {
	JSON bool `arg:"--json" help:"print the version as JSON"`
}

func (*versionCommand) example() string { return "version" }

func (c *versionCommand) run(_ context.Context, s *invocation) error {
	version, revision := "unknown", "unknown"
	if info, ok := debug.ReadBuildInfo(); ok {
		version = info.Main.Version
		for _, setting := range info.Settings {
			if setting.Key == "vcs.revision" {
				revision = setting.Value
			}
		}
	}
	if c.JSON {
		return s.printJSON(struct {
			Version  string `json:"version"`
			Revision string `json:"revision"`
		}{version, revision})
	}
	s.print("%s %s (revision %s)", programName, version, revision)
	return nil
}
