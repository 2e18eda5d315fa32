package main

import (
	"time"
)

const (
	// finish is how long after the end of the traffic the users ask for the jobs (finish_s).
	finish = 14 * time.Second
	// idleLimit is how long a job may then have nothing running.
	idleLimit = 3 * time.Second
)

// lostAfterRestart cuts a worker off as it gets the start order of a job. It crashes behind the cut, starts again under its id, and is lost for
// good before the cut ends.
func lostAfterRestart(s *site, trouble bool) (broken bool, err error) {
	const job = "00000000000000b1"
	if trouble {
		hit := false
		for _, w := range s.workers {
			w.onStart = func(startOrder) bool {
				if hit {
					return true
				}
				hit = true
				w.cut = true
				s.record.add("worker %s is cut off from the machines of the system", w.id)
				w.crash()
				go w.restartAndLeave()
				return false
			}
		}
	}
	if err := s.submit(job, oneTask(nil)); err != nil {
		return false, err
	}
	s.record.add("end of the traffic")
	time.Sleep(finish)
	state := s.state(job)
	begun := len(s.record.startsOf(job))
	s.record.add("%s after the end of the traffic: state %s, starts %d", finish, state, begun)
	time.Sleep(idleLimit)
	broken = len(s.record.startsOf(job)) == 0
	if broken {
		s.record.add("the job still has nothing running, beside %d idle workers", len(s.workers)-1)
		for range 40 {
			if time.Sleep(time.Second); len(s.record.startsOf(job)) > 0 {
				break
			}
		}
	}
	return broken, nil
}

// restartAndLeave starts the worker again behind the cut and loses it for good.
func (w *worker) restartAndLeave() {
	time.Sleep(500 * time.Millisecond)
	w.start()
	time.Sleep(3500 * time.Millisecond)
	w.mu.Lock()
	w.crash()
	w.mu.Unlock()
	w.record.add("worker %s is lost for good", w.id)
	time.Sleep(time.Second)
	w.mu.Lock()
	w.cut = false
	w.mu.Unlock()
	w.record.add("the cut ends")
	time.Sleep(3*heartbeat - time.Second)
	w.store.deleteKey("servers/" + w.id)
	w.record.add("the entry of %s is removed", w.id)
}
