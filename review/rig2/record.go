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
	// overLimit counts the starts that brought a worker over its capacity.
	overLimit int
}

// newRecord creates the record's file.
func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	return &record{file: file, began: time.Now()}, err
}

// add writes a line.
func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// started records a start. Each task needs one accelerator. The caller holds the worker's mu.
func (r *record) started(w *worker, task string, number int) {
	over := len(w.runs) > w.gpus
	r.add("run %d of %s starts on %s, which has %d runs on %d accelerators, over its capacity: %t", number, task, w, len(w.runs), w.gpus, over)
	r.mu.Lock()
	defer r.mu.Unlock()
	if over {
		r.overLimit++
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
