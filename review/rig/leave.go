package main

import (
	"errors"
	"time"
)

// playLeave lets a worker that runs a task that lasts drain and leave as planned, in a service that is almost idle.
func playLeave(s *site, trouble bool) error {
	const workers = 16
	q := queue{name: "serve", priority: 1, maxAttempts: 3}
	if err := s.startSite(workers, q); err != nil {
		return err
	}
	id := jobID(0)
	if err := s.submit(q, id, 1, task{WorkMs: 1000, Need: amount{CPU: 1000, MemMb: 1024, Gpu: 1}, Lasting: true}); err != nil {
		return err
	}
	time.Sleep(3 * time.Second)
	w := s.workerRunning(id + ".0.0.0")
	if w == nil {
		return errors.New("the task is not at work")
	}
	if trouble {
		go w.leave(4 * time.Second)
	}
	lastRun := time.Now()
	for end := time.Now().Add(25 * time.Second); time.Now().Before(end); time.Sleep(pollPause) {
		if s.workerRunning(id+".0.0.0") != nil {
			lastRun = time.Now()
		}
		if away := time.Since(lastRun); away > lastingGrace+calm {
			s.judge.violate("LOST: the task of job %s, which lasts, has nothing running for %s", id, away.Round(time.Millisecond))
			return nil
		}
	}
	return nil
}
