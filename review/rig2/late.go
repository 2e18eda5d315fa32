package main

import (
	"time"
)

const (
	// crashedAfter is how long after a start order its worker crashes, and lateAfter how long after the order it is back and carries the order out.
	crashedAfter = 3 * time.Second
	lateAfter    = 5500 * time.Millisecond
	// failsAfter is how long after its start the first run of the task fails by its own fault.
	failsAfter = 600 * time.Millisecond
)

// lateOrderAfterCrash lets a worker leave a start order without an answer. The order is sent again, the run fails by its own fault, and the next run
// begins on another worker. Then the first worker crashes, and carries the first order out when it is back.
func lateOrderAfterCrash(s *site, trouble bool) (broken bool, err error) {
	const job = "00000000000000d1"
	hit := make(chan struct{}, 1)
	for _, w := range s.workers {
		w.work, w.firstRunFailsAfter = 8*time.Second, failsAfter
		w.onStart = func(o startOrder) bool {
			select {
			case <-hit:
			default:
				return true
			}
			s.record.add("worker %s leaves the start order of run %d of %s without an answer", w.id, o.number, o.task)
			go s.carryOutAfterCrash(w, o)
			return false
		}
	}
	if trouble {
		hit <- struct{}{}
	}
	if err := s.submit(job, oneTask(map[string]any{"EstimateMs": 8000})); err != nil {
		return false, err
	}
	if !s.await(job, "completed", 25*time.Second) {
		return false, errNotUp
	}
	s.record.mu.Lock()
	defer s.record.mu.Unlock()
	return len(s.record.twice) > 0, nil
}

// carryOutAfterCrash crashes a worker some time after it has received an order, and carries the order out when the worker is back.
func (s *site) carryOutAfterCrash(w *worker, o startOrder) {
	began := time.Now()
	time.Sleep(crashedAfter)
	w.mu.Lock()
	w.crash()
	w.mu.Unlock()
	time.Sleep(time.Until(began.Add(lateAfter)))
	w.startWith(o)
	s.record.add("worker %s has carried out the order of run %d of %s, %s after its arrival", w.id, o.number, o.task, lateAfter)
}
