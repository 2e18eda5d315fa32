package main

import (
	"fmt"
	"sync"
)

// judge checks every start against the rules LIMIT, ROUTE and TWICE, and collects the violations.
type judge struct {
	site *site

	mu         sync.Mutex
	violations []string
	// begun has the jobs of which a task has begun.
	begun map[string]bool
}

func newJudge(s *site) *judge { return &judge{site: s, begun: map[string]bool{}} }

// violate records a violation of a rule.
func (j *judge) violate(format string, values ...any) {
	text := fmt.Sprintf(format, values...)
	j.site.rec.event("violation", "text", text)
	j.mu.Lock()
	defer j.mu.Unlock()
	j.violations = append(j.violations, text)
}

func (j *judge) list() []string {
	j.mu.Lock()
	defer j.mu.Unlock()
	return append([]string{}, j.violations...)
}

// hasBegun reports whether a task of the job has begun.
func (j *judge) hasBegun(job string) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.begun[job]
}

// checkStart checks a start that a worker has just carried out. The caller holds the worker's lock.
func (j *judge) checkStart(w *worker, name string, number int, what task) {
	j.mu.Lock()
	j.begun[jobOf(name)] = true
	j.mu.Unlock()
	if used := w.used(); !used.fits(w.kind.capacity) {
		j.violate("LIMIT: the start of %s brings %s to %+v of %+v", name, w.id, used, w.kind.capacity)
	}
	if what.Label != "" && what.Label != w.kind.label {
		j.violate("ROUTE: %s needs a worker of kind %s and starts on %s of kind %s", name, what.Label, w.id, w.kind.label)
	}
	go j.checkTwice(w, name, number)
}

// checkTwice reports another run of a task that is at work on another worker.
func (j *judge) checkTwice(w *worker, name string, number int) {
	for _, other := range j.site.workers {
		if other == w {
			continue
		}
		other.mu.Lock()
		run, ok := other.runs[name]
		other.mu.Unlock()
		w.mu.Lock()
		_, still := w.runs[name]
		w.mu.Unlock()
		if ok && still {
			j.violate("TWICE: run %d of %s is at work on %s while run %d is at work on %s", number, name, w.id, run.number, other.id)
		}
	}
}
