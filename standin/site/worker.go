package site

import (
	"time"

	"clementinepier/engine"
)

// run is a run on a Worker.
type run struct {
	number  int
	started time.Time
	work    time.Duration
}

// Worker is a worker with a fence, a lease and a list of ends.
type Worker struct {
	// Advert is what the worker says of itself.
	Advert   engine.Registration
	maxLease time.Duration
	start    time.Time
	fence    int64
	until    time.Time
	runs     map[string]*run
	ends     []engine.RunEnd
	// endTimes has the times of the ends.
	endTimes []time.Time
	next     int64
	// lapsed is when the lease last lapsed.
	lapsed time.Time
	// stopped has the highest run of each task that was stopped or has ended.
	stopped map[string]int
	// Silent makes every call time out without effect. The worker runs on.
	Silent bool
	// Dead makes it lose everything.
	Dead bool
	// Replaced means that another worker has its address.
	Replaced bool
	// LoseStarts makes starts take effect without an answer.
	LoseStarts bool
	// LoseLooks makes looks end without an answer.
	LoseLooks bool
	// LateStarts makes starts take effect after lateBy, without an answer.
	LateStarts bool
	// Fails makes what it starts fail at once; Stands makes it stand still.
	Fails, Stands bool
	// Starts counts the runs that were begun.
	// Starts counts the runs that were begun.
	Starts int
}

// EndAll ends every run of the worker.
func (w *Worker) EndAll(how engine.EndReason) {
	for task, r := range w.runs {
		w.end(task, r, how)
	}
}
