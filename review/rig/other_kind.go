package main

import "time"

// playOtherKind lets workers crash, one at a time, and come back under their id and address as a smaller kind, while the queue is
// never empty.
func playOtherKind(s *site, trouble bool) error {
	const (
		workers, rounds = 8, 6
		darkTime        = 2 * time.Second
		roundTime       = 6 * time.Second
	)
	q := queue{name: "recon", priority: 2, maxAttempts: 3}
	if err := s.startSite(workers, q); err != nil {
		return err
	}
	number := 0
	submit := func() error {
		number++
		return s.submit(q, jobID(number), 60, task{WorkMs: 2500, Need: amount{CPU: 2000, MemMb: 2048, Gpu: 1}, Label: kindA.label})
	}
	for range 3 {
		if err := submit(); err != nil {
			return err
		}
	}
	for round := range rounds {
		end := time.Now().Add(roundTime)
		if trouble {
			w := s.workers[round%workers]
			w.crash()
			time.Sleep(darkTime)
			if err := w.startLife(kindB); err != nil {
				return err
			}
		}
		for time.Now().Before(end) {
			if err := submit(); err != nil {
				return err
			}
			time.Sleep(2 * time.Second)
		}
	}
	return nil
}
