// Command rig2 plays the cases 6 to 10 of the review against real processes of the project, with stand-ins for the store, the workers and the
// callers on loopback addresses. Run it in the repository's root:
//
//	rig2 CASE RECORD
//
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. With TROUBLE=0 it plays the case without the
// disruption.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// play plays a case and reports whether the rule was broken.
type play func(s *site, trouble bool) (broken bool, err error)

var plays = map[string]struct {
	workers, fronts int
	play            play
}{
	"reclaim-shape":           {workers: 6, fronts: 3, play: reclaimShape},
	"reclaim-from-lasting":    {workers: 6, fronts: 3, play: reclaimFromLasting},
	"lost-after-restart":      {workers: 6, fronts: 3, play: lostAfterRestart},
	"late-order-after-crash":  {workers: 6, fronts: 3, play: lateOrderAfterCrash},
	"lasting-in-full-service": {workers: 6, fronts: 3, play: lastingInFullService},
}

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: rig2 CASE RECORD")
		os.Exit(2)
	}
	os.Exit(run(os.Args[1], os.Args[2]))
}

func run(name, path string) int {
	c, ok := plays[name]
	if !ok {
		fmt.Fprintln(os.Stderr, "no such case")
		return 2
	}
	r, err := newRecord(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	s, err := newSite(r, c.workers)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer s.close()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-interrupted
		s.close()
		os.Exit(2)
	}()
	broken := false
	if err = s.up(c.fronts); err == nil {
		broken, err = c.play(s, os.Getenv("TROUBLE") != "0")
	}
	switch {
	case err != nil:
		r.add("the case could not run: %v", err)
		fmt.Println("the case could not run:", err)
		return 2
	case broken:
		r.add("verdict: the rule was broken")
		fmt.Println("the rule was broken")
		return 1
	}
	r.add("verdict: the rule held")
	fmt.Println("the rule held")
	return 0
}
