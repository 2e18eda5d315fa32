package main

import (
	"net/http"
	"time"
)

// playLongTask runs one task of an hour, without checkpoints, in a service that is idle otherwise. Without the trouble, the task takes
// five minutes. The end of neither is waited for.
func playLongTask(s *site, trouble bool) error {
	const (
		workers = 4
		watched = 60 * time.Second
	)
	q := queue{name: "render", priority: 1, maxAttempts: 3}
	if err := s.startSite(workers, q); err != nil {
		return err
	}
	work := 5 * time.Minute
	if trouble {
		work = time.Hour
	}
	id := jobID(0)
	if err := s.submit(q, id, 1, task{WorkMs: work.Milliseconds(), Need: amount{CPU: 13000, MemMb: 26000, Gpu: 2}}); err != nil {
		return err
	}
	time.Sleep(finish)
	lastRun := time.Now()
	for end := time.Now().Add(watched); time.Now().Before(end); time.Sleep(pollPause) {
		if s.workerRunning(id+".0.0.0") != nil {
			lastRun = time.Now()
		}
		if away := time.Since(lastRun); away > calm {
			_, state := s.call(s.vms[0], http.MethodGet, q.prefix()+id, nil)
			s.judge.violate("LOST: job %s (%s) has nothing running for %s, and all workers are idle", id, state, away.Round(time.Millisecond))
			lastRun = time.Now()
		}
	}
	return nil
}
