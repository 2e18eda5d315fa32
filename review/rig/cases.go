package main

import (
	"net/http"
	"time"
)

// kindA is the usual kind of worker; kindB is smaller.
var (
	kindA = workerKind{label: "a", capacity: amount{CPU: 32000, MemMb: 65536, Gpu: 8}}
	kindB = workerKind{label: "b", capacity: amount{CPU: 16000, MemMb: 32768, Gpu: 4}}
)

const (
	// vmCount is the number of entry VMs of a case.
	vmCount = 3
	// finish is finish_s, and calm the span for which a job may have nothing running.
	finish, calm = 14 * time.Second, 3 * time.Second
	// lastingGrace is how long after its last run a task that lasts may be away before calm begins.
	lastingGrace = 6 * time.Second
)

// startSite starts workers of kindA and the entry VMs.
func (s *site) startSite(workers int, queues ...queue) error {
	s.writeConfig(queues...)
	for i := range workers {
		if err := s.addWorker(i, kindA); err != nil {
			return err
		}
	}
	return s.startVMs(vmCount)
}

// requireBegun records a violation if the job does not begin within calm, although it could.
func (s *site) requireBegun(q queue, id string) {
	if s.await("the job begins", calm, func() bool { return s.judge.hasBegun(id) }) == nil {
		return
	}
	_, state := s.call(s.vms[0], http.MethodGet, q.prefix()+id, nil)
	s.judge.violate("LOST: job %s (%s) was accepted over %s ago, has nothing running, and has had nothing running for %s", id, state, finish, calm)
}
