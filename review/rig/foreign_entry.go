package main

import (
	"net/http"
	"syscall"
	"time"
)

// playForeignEntry lets another writer write one entry under the key of a worker that runs a task, just before a planned stop of the
// entry VM that plans. The next planner knows of the worker only what this entry says.
func playForeignEntry(s *site, trouble bool) error {
	q := queue{name: "recon", priority: 2, maxAttempts: 3}
	if err := s.startSite(4, q); err != nil {
		return err
	}
	// A server of other software, which is not that worker and says so.
	other, err := s.serve(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.rec.event("other-server", "path", r.URL.Path, "meant", r.Header.Get("Expect-Instance"), "status", http.StatusMisdirectedRequest)
		reply(w, http.StatusMisdirectedRequest, map[string]any{})
	}))
	if err != nil {
		return err
	}
	otherBorn := time.Now().UnixMilli()
	id := jobID(1)
	if err := s.submit(q, id, 1, task{WorkMs: 15000, Need: amount{CPU: 4000, MemMb: 4096, Gpu: 8}}); err != nil {
		return err
	}
	name := id + ".0.0.0"
	if err := s.await("the task is at work", 5*time.Second, func() bool { return s.workerRunning(name) != nil }); err != nil {
		return err
	}
	time.Sleep(2 * time.Second)
	if trouble {
		w := s.workerRunning(name)
		seq := func() int64 { w.mu.Lock(); defer w.mu.Unlock(); return w.seq }
		before := seq()
		if err := s.await("the worker writes its entry", 2*heartbeat, func() bool { return seq() > before }); err != nil {
			return err
		}
		time.Sleep(pollPause)
		s.rec.event("foreign-entry", "key", w.entryKey(), "address", other)
		s.store.write(w.entryKey(), map[string]any{
			"Service": "archive", "Address": other, "Zone": "zone-a", "Version": "7", "Slots": 8, "State": "ready", "ColdLeftMs": 0, "Sequence": 1,
			"Capacity": kindA.capacity, "Labels": []string{"x", "r9"}, "born": otherBorn,
		})
		s.planner().signal(syscall.SIGTERM)
	}
	time.Sleep(14 * time.Second)
	return nil
}
