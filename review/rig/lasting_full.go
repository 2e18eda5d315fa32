package main

import "time"

// playLastingFull runs a task that lasts in a service that short tasks keep full. The task fails once, long after its job was accepted.
func playLastingFull(s *site, trouble bool) error {
	const (
		workers = 4
		failsAt = 25 * time.Second
		// Tasks of 2.5 s on 32 accelerators: 12.8 a second are the most.
		tasksPerJob, jobInterval = 15, time.Second
	)
	q := queue{name: "recon", priority: 2, maxAttempts: 3}
	if err := s.startSite(workers, q); err != nil {
		return err
	}
	what := task{WorkMs: failsAt.Milliseconds(), Need: amount{CPU: 1000, MemMb: 1024, Gpu: 1}, Lasting: true}
	if trouble {
		what.FailsFirst = []int{0}
	}
	id := jobID(0)
	if err := s.submit(q, id, 1, what); err != nil {
		return err
	}
	begin := time.Now()
	lastRun := begin
	for n := 1; time.Since(begin) < failsAt+lastingGrace+calm+10*time.Second; n++ {
		if err := s.submit(q, jobID(n), tasksPerJob, task{WorkMs: 2500, Need: amount{CPU: 2000, MemMb: 2048, Gpu: 1}}); err != nil {
			return err
		}
		next := begin.Add(time.Duration(n) * jobInterval)
		for time.Now().Before(next) {
			if s.workerRunning(id+".0.0.0") != nil {
				lastRun = time.Now()
			}
			if away := time.Since(lastRun); away > lastingGrace+calm {
				s.judge.violate("LOST: the task of job %s, which lasts, has nothing running for %s", id, away.Round(time.Millisecond))
				lastRun = time.Now()
			}
			time.Sleep(pollPause)
		}
	}
	return nil
}
