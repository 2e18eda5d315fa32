package engine_test

import (
	"testing"
	"time"

	"clementinepier/standin/site"
)

// lateStartAfterRestart plays a worker that is cut off and restarts out of reach. Its new incarnation carries out a start that had got no response,
// which gives the run the longest lease. The planner changes meanwhile in the given way.
func (r *rig) lateStartAfterRestart(change string, registers bool) {
	r.storeEntries()
	p, stop := r.startWithWorkers(1)
	defer func() { stop() }()
	r.rest(time.Minute)
	r.Set("r1-w0", func(w *site.Worker) { w.StartDelay, w.KeepsLateOrders = 6*time.Second, true })
	r.mustSubmit(p, "j1", 1, singleTaskStep(8), 30*time.Second)
	time.Sleep(20 * time.Millisecond)
	r.Set("r1-w0", func(w *site.Worker) { w.StartDelay = 0 })
	time.Sleep(2 * time.Second)
	r.Equal(r.WorkersRunning("j1"), []string{"r1-w0"})
	r.AddWorkers("r2", 1)
	r.Set("r1-w0", func(w *site.Worker) { w.Silent = true })
	time.Sleep(3300 * time.Millisecond)
	restart := func() {
		r.Set("r1-w0", func(w *site.Worker) {
			w.Restart()
			w.Silent = true
		})
		if registers {
			r.Register(r.Worker("r1-w0"))
		}
	}
	switch change {
	case "none":
		restart()
	case "killed":
		restart()
		time.Sleep(time.Second)
		stop()
		_, stop = r.startPlanner("b")
	case "killed at restart":
		stop()
		restart()
		_, stop = r.startPlanner("b")
	case "store away":
		r.Store.SetSilent(true)
		time.Sleep(500 * time.Millisecond)
		restart()
		time.Sleep(2 * time.Second)
		r.Store.SetSilent(false)
		time.Sleep(electionTime)
		stop()
		_, stop = r.startPlanner("b")
	}
	time.Sleep(40 * time.Second)
}

var changesAtRestart = []string{"none", "killed", "killed at restart", "store away"}

// Guards against a successor that ends a run by the noted leases of an incarnation that has ended.
func TestNoteOfEndedIncarnationDoesNotBoundLateStart(t *testing.T) {
	for _, change := range changesAtRestart {
		t.Run(change, func(t *testing.T) {
			runInVirtualTime(t, func(r *rig) { r.lateStartAfterRestart(change, true) })
		})
	}
}

// Guards against the same if the store does not have the entry of the new incarnation.
func TestNoteOfUnregisteredIncarnationDoesNotBoundLateStart(t *testing.T) {
	for _, change := range changesAtRestart {
		t.Run(change, func(t *testing.T) {
			runInVirtualTime(t, func(r *rig) { r.lateStartAfterRestart(change, false) })
		})
	}
}
