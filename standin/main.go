// Command standin runs the stand-ins for the platform and for workers, and the load tool.
package main

import (
	"os"

	"github.com/alexflint/go-arg"
	"k8s.io/klog/v2"
)

type arguments struct {
	Platform *platformCommand `arg:"subcommand:platform" help:"serve the platform stand-in"`
	Worker   *workerCommand   `arg:"subcommand:worker" help:"serve a worker stand-in"`
	Fleet    *fleetCommand    `arg:"subcommand:fleet" help:"serve many worker stand-ins"`
	Call     *callCommand     `arg:"subcommand:call" help:"send one call to a stand-in and print the reply"`
	Load     *loadCommand     `arg:"subcommand:load" help:"send requests to entry VMs and check the answers"`
	Check    *checkCommand    `arg:"subcommand:check" help:"compare the results of a load with the run logs of the workers"`
	PathCost *pathCostCommand `arg:"subcommand:path-cost" help:"measure the time that the system adds to a short request"`
}

// Description implements arg.Described.
func (arguments) Description() string {
	return "Stand-ins for the platform and for workers, for trials on one machine."
}

type command interface{ run() error }

func (a *arguments) command() command {
	switch {
	case a.Platform != nil:
		return a.Platform
	case a.Worker != nil:
		return a.Worker
	case a.Fleet != nil:
		return a.Fleet
	case a.Call != nil:
		return a.Call
	case a.Load != nil:
		return a.Load
	case a.Check != nil:
		return a.Check
	case a.PathCost != nil:
		return a.PathCost
	}
	return nil
}

func main() {
	var a arguments
	parser := arg.MustParse(&a)
	c := a.command()
	if c == nil {
		parser.Fail("a subcommand is needed")
	}
	if err := c.run(); err != nil {
		klog.ErrorS(err, "standin failed")
		klog.Flush()
		os.Exit(1)
	}
}
