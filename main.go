// Command clementinepier schedules multi-accelerator jobs under organisation guarantees.
package main

import (
	"os"

	"clementinepier/cmd"
)

func main() { os.Exit(cmd.Main(os.Args[1:], os.Stdout, os.Stderr)) }
