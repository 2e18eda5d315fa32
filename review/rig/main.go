// Command rig plays one case of the review: it starts entry VMs as processes against stand-ins for the platform's store, the
// workers and the callers, brings about a disruption, and checks one rule on what the stand-ins have seen.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// Exit statuses of the command.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// caseTimeout bounds one case, so that a case that hangs ends as not run.
const caseTimeout = 110 * time.Second

// cases has the cases by name. A case returns an error if it could not run; violations are recorded at the site.
var cases = map[string]func(s *site, trouble bool) error{
	"foreign-entry": playForeignEntry,
	"other-kind":    playOtherKind,
	"waiting":       playWaiting,
	"probe":         playProbe,
	"leave":         playLeave,
	"long-task":     playLongTask,
	"late-start":    playLateStart,
	"lasting":       playLasting,
	"lasting-full":  playLastingFull,
}

func main() { os.Exit(run()) }

func run() int {
	name := flag.String("case", "", "name of the case")
	out := flag.String("record", "record.txt", "file that gets the record")
	root := flag.String("root", ".", "root of the repository, with the build of the deploy file")
	flag.Parse()
	play, ok := cases[*name]
	if !ok {
		fmt.Fprintf(os.Stderr, "rig: unknown case %q\n", *name)
		return exitNotRun
	}
	file, err := os.Create(*out)
	if err != nil {
		fmt.Fprintf(os.Stderr, "rig: %v\n", err)
		return exitNotRun
	}
	rec := newRecord(file)
	defer rec.close()
	trouble := os.Getenv("TROUBLE") != "0"
	rec.event("case", "name", *name, "trouble", trouble)
	s, err := newSite(rec, filepath.Clean(*root))
	if err != nil {
		rec.event("not-run", "error", err)
		return exitNotRun
	}
	defer s.close()
	return s.result(play, trouble)
}

// result plays a case, prints its outcome and returns the exit status.
func (s *site) result(play func(*site, bool) error, trouble bool) int {
	done, stop := make(chan error, 1), make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGINT, syscall.SIGTERM)
	go func() { done <- play(s, trouble) }()
	var err error
	select {
	case err = <-done:
	case got := <-stop:
		err = fmt.Errorf("the case got a signal: %s", got)
	case <-time.After(caseTimeout):
		err = fmt.Errorf("the case took more than %s", caseTimeout)
	}
	violations := s.judge.list()
	switch {
	case len(violations) > 0:
		s.rec.event("result", "outcome", "broken", "violations", len(violations))
		fmt.Printf("broken: %s\n", violations[0])
		return exitBroken
	case err != nil:
		s.rec.event("result", "outcome", "not run", "error", err)
		fmt.Printf("not run: %v\n", err)
		return exitNotRun
	default:
		s.rec.event("result", "outcome", "held")
		fmt.Println("held")
		return exitHeld
	}
}
