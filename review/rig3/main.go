package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// The results of a case, which are the exit codes of its script.
const (
	held   = 0
	broken = 1
	failed = 2
)

// play is one case. It returns whether the rule was broken, with what was seen; an error means that the case could not run.
type play func(i *installation, trouble bool) (fault string, err error)

// plays are the cases by the name of their folder.
var plays = map[string]play{
	"late-order-of-dead-planner":  playDeadPlanner,
	"late-order-of-lasting-task":  playLastingTask,
	"lasting-tasks-and-guarantee": playGuarantee,
	"lasting-task-and-rack":       playRack,
	"worker-of-another-kind":      playKind,
	"late-order-and-two-restarts": playTwoRestarts,
}

// maxPlay bounds a play, below the 120 s that a script may take.
const maxPlay = 110 * time.Second

func main() {
	if len(os.Args) != 3 || plays[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig3 CASE FOLDER")
		os.Exit(failed)
	}
	os.Exit(runCase(os.Args[1], os.Args[2]))
}

// runCase plays a case and returns its result.
func runCase(name, folder string) int {
	rec, err := newRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	defer rec.close()
	trouble := os.Getenv("TROUBLE") != "0"
	rec.add("case %s, disruption %v", name, trouble)
	i, err := newInstallation(rec)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	defer i.close()
	type outcome struct {
		fault string
		err   error
	}
	done := make(chan outcome, 1)
	go func() {
		fault, err := plays[name](i, trouble)
		done <- outcome{fault, err}
	}()
	var o outcome
	select {
	case o = <-done:
	case <-time.After(maxPlay):
		o.err = fmt.Errorf("the case takes longer than %s", maxPlay)
	}
	switch {
	case o.err != nil:
		rec.add("the case could not run: %v", o.err)
		fmt.Println("the case could not run:", o.err)
		return failed
	case o.fault != "":
		rec.add("BROKEN: %s", o.fault)
		fmt.Println("BROKEN:", o.fault)
		return broken
	}
	rec.add("the rule held")
	fmt.Println("the rule held")
	return held
}
