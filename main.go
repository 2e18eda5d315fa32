// Command clementinepier schedules multi-accelerator jobs under organisation guarantees.
package main

import (
	"os"

	"clementinepier/cmd"
	"clementinepier/entry"
	"clementinepier/platform"
)

func main() {
	program := cmd.New()
	program.Entry = entry.Run
	program.Front = platform.Run
	os.Exit(program.Main(os.Args[1:], os.Stdout, os.Stderr))
}
