package main

import "time"

// playProbe lets the only worker of a kind fail one task, and the store refuse all calls for some seconds later, just before the next job
// for this kind comes. The job is accepted once the store answers again, and the worker is idle.
func playProbe(s *site, trouble bool) error {
	const outage = 3500 * time.Millisecond
	q := queue{name: "match", priority: 0, maxAttempts: 1}
	if err := s.startSite(7, q); err != nil {
		return err
	}
	if err := s.addWorker(7, kindB); err != nil {
		return err
	}
	time.Sleep(4 * time.Second)
	what := task{WorkMs: 500, Need: amount{CPU: 1000, MemMb: 1024, Gpu: 1}, Label: kindB.label, Fails: true}
	if err := s.submit(q, jobID(0), 1, what); err != nil {
		return err
	}
	time.Sleep(5 * time.Second)
	planner := s.planner()
	if trouble {
		s.rec.event("store-busy")
		s.store.setBusy(true)
		time.AfterFunc(outage, func() {
			s.store.setBusy(false)
			s.rec.event("store-serves")
		})
	}
	what.Fails = false
	id := jobID(1)
	if err := s.submit(q, id, 1, what); err != nil {
		return err
	}
	time.Sleep(finish)
	s.rec.event("planner", "before", planner.name, "now", s.planner().name)
	s.requireBegun(q, id)
	return nil
}
