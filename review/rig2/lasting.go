package main

import (
	"fmt"
	"net/http"
	"time"
)

const (
	// lastingLimit is how long after its last run a task that lasts may have nothing running.
	lastingLimit = 9 * time.Second
	// lastingAge is how long the service has been full when the task fails.
	lastingAge = 20 * time.Second
	// fullWork is the duration of the other tasks.
	fullWork = 2 * time.Second
)

// lastingInFullService lets a task that lasts fail once in a service that other work keeps full.
func lastingInFullService(s *site, trouble bool) (broken bool, err error) {
	const job = "00000000000000f1"
	if err := s.submit(job, map[string]any{"TaskSpec": lastingSpec, "Steps": []any{
		map[string]any{"Count": 1, "Cpu": 1000, "MemMb": 100, "Gpu": 1, "EstimateMs": 1000, "RunForever": true},
	}}); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	for _, w := range s.workers {
		w.work = fullWork
	}
	stop, stopped := make(chan struct{}), make(chan error, 1)
	go func() { stopped <- s.keepFull(stop) }()
	time.Sleep(lastingAge)
	if trouble {
		s.failLasting(job)
	}
	failedAt := time.Now()
	time.Sleep(lastingLimit + 500*time.Millisecond)
	broken = trouble && len(s.record.startsOf(job)) < 2
	if broken {
		s.record.add("the task that lasts has nothing running since %s", time.Since(failedAt).Round(time.Millisecond))
		time.Sleep(10 * time.Second)
	}
	close(stop)
	if err := <-stopped; err != nil {
		return false, err
	}
	time.Sleep(8 * time.Second)
	return broken, nil
}

// failLasting lets the job's runs that last fail.
func (s *site) failLasting(job string) {
	for _, w := range s.workers {
		w.mu.Lock()
		for task, r := range w.runs {
			if r.lasts {
				s.record.add("run %d of %s on %s fails by itself", r.number, task, w.id)
				r.failsAt = time.Now()
			}
		}
		w.mu.Unlock()
	}
	s.record.add("the task of job %s fails once", job)
}

// keepFull submits a little more work than the service can do, in a job a second.
func (s *site) keepFull(stop <-chan struct{}) error {
	width := 8 * len(s.workers) * int(time.Second) / int(fullWork) * 23 / 20
	for i := 0; ; i++ {
		id := fmt.Sprintf("00000000000%05x", 0xc0000+i)
		job := oneTask(map[string]any{"Count": width, "EstimateMs": fullWork.Milliseconds()})
		if status, _ := s.call(s.fronts[i%len(s.fronts)], http.MethodPost, prefix+id, job); status != http.StatusOK {
			return fmt.Errorf("job %s was answered %d", id, status)
		}
		select {
		case <-stop:
			return nil
		case <-time.After(time.Second):
		}
	}
}
