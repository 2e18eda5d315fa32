package main

import (
	"fmt"
	"time"
)

// playWaiting lets the only worker of a kind lose power for good while it is idle. Jobs that need this kind are accepted, and none of their
// tasks begins.
func playWaiting(s *site, trouble bool) error {
	const jobs = 4
	q := queue{name: "match", priority: 0, maxAttempts: 3}
	if err := s.startSite(7, q); err != nil {
		return err
	}
	if err := s.addWorker(7, kindB); err != nil {
		return err
	}
	// The planner knows the worker by then.
	time.Sleep(4 * time.Second)
	if trouble {
		s.workers[7].lose()
	}
	for i := range jobs {
		if err := s.submit(q, jobID(i), 1, task{WorkMs: 1000, Need: amount{CPU: 1000, MemMb: 1024, Gpu: 1}, Label: "b"}); err != nil {
			return err
		}
	}
	// visible_ms + 2 s, and the age that the number may have.
	time.Sleep(3*time.Second + 2*time.Second + 2*time.Second)
	notBegun := 0
	for i := range jobs {
		if !s.judge.hasBegun(jobID(i)) {
			notBegun++
		}
	}
	s.rec.event("not-begun", "jobs", notBegun, "of", jobs)
	for _, v := range s.vms {
		n, ok := s.waiting(v, q)
		if !ok {
			return fmt.Errorf("%s did not tell how many jobs wait", v.name)
		}
		if 2*n < notBegun {
			s.judge.violate("MIXED: %s gives %d as Waiting; %d jobs were accepted over 5 s before and have not begun", v.name, n, notBegun)
		}
	}
	return nil
}
