package main

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"time"
)

// start is a start of a task that a worker has carried out.
type start struct {
	worker, kind, task string
	number             int
	at                 time.Time
}

// record writes what was sent, answered and run to a file, and keeps the starts for the judgement.
type record struct {
	mu     sync.Mutex
	file   *os.File
	began  time.Time
	starts []start
	// running has, by task, the workers that have a run of it, and twice since when two had one.
	running map[string]map[string]bool
	twice   map[string]time.Duration
}

// newRecord creates the record's file.
func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	return &record{file: file, began: time.Now(), running: map[string]map[string]bool{}, twice: map[string]time.Duration{}}, err
}

// add writes a line.
func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// started records a start. The caller holds the worker's mu.
func (r *record) started(w *worker, task string, number int) {
	r.add("run %d of %s starts on %s, which has %d runs on %d accelerators", number, task, w, len(w.runs), w.gpus)
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.running[task] == nil {
		r.running[task] = map[string]bool{}
	}
	r.running[task][w.id] = true
	if len(r.running[task]) > 1 {
		r.twice[task] = time.Since(r.began)
	}
	r.starts = append(r.starts, start{worker: w.id, kind: w.kind, task: task, number: number, at: time.Now()})
}

// startsOf returns the starts of a job's tasks.
func (r *record) startsOf(job string) []start {
	r.mu.Lock()
	defer r.mu.Unlock()
	var found []start
	for _, s := range r.starts {
		if strings.HasPrefix(s.task, job+".") {
			found = append(found, s)
		}
	}
	return found
}

// ended records that a worker has no run of a task any more.
func (r *record) ended(w *worker, task string) {
	r.mu.Lock()
	both := len(r.running[task]) > 1
	delete(r.running[task], w.id)
	since := r.twice[task]
	r.mu.Unlock()
	if both {
		r.add("two workers had a run of %s for %.3f s", task, time.Since(r.began).Seconds()-since.Seconds())
	}
}
