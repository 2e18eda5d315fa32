package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"
)

const (
	// crashShare is the share of the workers that crash at a time (srv_crash).
	crashShare = 0.14
	// crashRounds is how often that happens, each time to other workers.
	crashRounds = 4
	// downTime is how long they are down at least.
	downTime = 1600 * time.Millisecond
	// widest is the largest number of tasks of a step in the users' sites.
	widest = 72
)

// submitQueue submits so many tasks, in jobs of the largest width, that all workers are busy and tasks wait.
func (s *site) submitQueue(tasks int, more map[string]any) ([]string, error) {
	var jobs []string
	for i := range (tasks + widest - 1) / widest {
		id := fmt.Sprintf("00000000000%05x", 0xb0000+i)
		step := map[string]any{"Count": widest}
		for name, value := range more {
			step[name] = value
		}
		if status, _ := s.call(s.fronts[i%len(s.fronts)], http.MethodPost, prefix+id, oneTask(step)); status != http.StatusOK {
			return nil, fmt.Errorf("job %s was answered %d", id, status)
		}
		jobs = append(jobs, id)
	}
	return jobs, nil
}

// restartAsSmallerKind crashes some workers at a time, while tasks wait for capacity. They start again under their ids as a smaller kind and
// write their entries at once.
func restartAsSmallerKind(s *site, trouble bool) (broken bool, err error) {
	for _, w := range s.workers {
		w.work = 4 * time.Second
	}
	if _, err := s.submitQueue(8*len(s.workers)*6, map[string]any{"EstimateMs": 4000}); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	count := int(crashShare * float64(len(s.workers)))
	for round := range crashRounds {
		if trouble {
			down := s.workers[round*count : (round+1)*count]
			for _, w := range down {
				w.mu.Lock()
				w.crash()
				w.kind, w.gpus = "b", 2
				w.mu.Unlock()
			}
			time.Sleep(downTime + rand.N(time.Second))
			for _, w := range down {
				w.start()
				time.Sleep(70 * time.Millisecond)
			}
		}
		time.Sleep(3 * time.Second)
	}
	s.record.mu.Lock()
	defer s.record.mu.Unlock()
	return s.record.overLimit > 0, nil
}
