package main

import "time"

// playLasting runs two jobs of tasks that last, with one task of each on each worker. Each worker has one task that fails once. Jobs that
// come later are accepted, and most of the service is idle.
func playLasting(s *site, trouble bool) error {
	const workers, jobs = 4, 3
	q := queue{name: "serve", priority: 1, maxAttempts: 3}
	if err := s.startSite(workers, q); err != nil {
		return err
	}
	for i := range 2 {
		what := task{WorkMs: 2000, Need: amount{CPU: 1000, MemMb: 1024, Gpu: 1}, Lasting: true}
		if trouble {
			what.FailsFirst = []int{2 * i, 2*i + 1}
		}
		if err := s.submit(q, jobID(i), workers, what); err != nil {
			return err
		}
	}
	// All tasks are back at work by then.
	time.Sleep(8 * time.Second)
	for i := range jobs {
		if err := s.submit(q, jobID(10+i), 2, task{WorkMs: 1000, Need: amount{CPU: 1000, MemMb: 1024, Gpu: 1}}); err != nil {
			return err
		}
	}
	time.Sleep(finish)
	for i := range jobs {
		s.requireBegun(q, jobID(10+i))
	}
	return nil
}
