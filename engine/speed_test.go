package engine_test

import (
	"strconv"
	"testing"
	"time"

	"clementinepier/engine"
	"clementinepier/metrics"
	"clementinepier/standin/site"
	"clementinepier/workload"
)

// addUnevenWorkers adds 8 usual workers, 4 slow and 4 fast ones, in racks of 4.
func (r *rig) addUnevenWorkers() {
	r.AddWorkers("r1", 4)
	r.AddWorkers("r2", 4)
	r.AddWorkers("slow", 4)
	r.AddWorkers("fast", 4)
	for i := range 4 {
		r.setSpeed("slow-w"+strconv.Itoa(i), 0.5)
		r.setSpeed("fast-w"+strconv.Itoa(i), 2)
	}
}

// learnSpeeds submits jobs that run on all workers, and waits until they are done.
func (r *rig) learnSpeeds(p *engine.Planner, prefix string) {
	r.t.Helper()
	for i := range 3 {
		step := singleTaskStep(4)
		step.Tasks = 32
		r.mustSubmit(p, prefix+strconv.Itoa(i), 2, step, 5*time.Second)
		r.waitForState(p, prefix+strconv.Itoa(i), workload.StateCompleted, 40*time.Second)
	}
	// The speeds of a fleet are brought up to date with the next plan.
	time.Sleep(2 * time.Second)
	r.mustSubmit(p, prefix+"last", 2, singleTaskStep(1), time.Second)
}

// Guards against workers of different speeds that count as equal, and against speeds that are lost with the planner.
func TestSpeedsOutliveThePlanner(t *testing.T) {
	runInVirtualTime(t, func(r *rig) {
		r.addUnevenWorkers()
		p, stop := r.startPlanner("a")
		r.learnSpeeds(p, "a")
		r.Equal(p.Metrics.Get(metrics.WorkersSlow), int64(4))
		r.Equal(p.Metrics.Get(metrics.WorkersFast), int64(4))
		time.Sleep(25 * time.Second)
		stop()
		p, stop = r.startPlanner("b")
		defer stop()
		time.Sleep(time.Second)
		r.mustSubmit(p, "b", 2, singleTaskStep(1), time.Second)
		time.Sleep(time.Second)
		r.Equal(p.Metrics.Get(metrics.SpeedsCompared), int64(0))
		r.Equal(p.Metrics.Get(metrics.WorkersSlow), int64(4))
		r.Equal(p.Metrics.Get(metrics.WorkersFast), int64(4))
	})
}

// Guards against speeds that are lost with a restart of the workers under their IDs.
func TestSpeedsOutliveRestartOfWorkers(t *testing.T) {
	runInVirtualTime(t, func(r *rig) {
		r.addUnevenWorkers()
		p, stop := r.startPlanner("a")
		defer stop()
		r.learnSpeeds(p, "a")
		time.Sleep(2 * time.Second)
		for i := range 4 {
			r.Set("slow-w"+strconv.Itoa(i), func(w *site.Worker) { w.Restart() })
		}
		time.Sleep(15 * time.Second)
		r.mustSubmit(p, "b", 2, singleTaskStep(1), time.Second)
		r.Equal(p.Metrics.Get(metrics.WorkersSlow), int64(4))
	})
}

// Guards against a worker that turns slow and counts as fast for good.
func TestWorkerThatTurnsSlowIsLearnedAgain(t *testing.T) {
	runInVirtualTime(t, func(r *rig) {
		r.addUnevenWorkers()
		p, stop := r.startPlanner("a")
		defer stop()
		r.learnSpeeds(p, "a")
		r.setSpeed("fast-w0", 0.3)
		for i := range 4 {
			r.learnSpeeds(p, "b"+strconv.Itoa(i)+"x")
		}
		r.Equal(p.Metrics.Get(metrics.WorkersSlow), int64(5))
		r.Equal(p.Metrics.Get(metrics.WorkersFast), int64(3))
	})
}

// Guards against writes of the store, and decisions, for a service whose workers are equal.
func TestEqualWorkersHaveNoSpeedNote(t *testing.T) {
	runInVirtualTime(t, func(r *rig) {
		r.AddWorkers("r1", 8)
		r.AddWorkers("r2", 8)
		p, stop := r.startPlanner("a")
		defer stop()
		r.learnSpeeds(p, "a")
		time.Sleep(time.Minute)
		r.True(p.Metrics.Get(metrics.SpeedsCompared) > 16)
		r.Equal(p.Metrics.Get(metrics.WorkersSlow), int64(0))
		r.Equal(p.Metrics.Get(metrics.WorkersFast), int64(0))
		_, err := r.Store.Engine().Get(r.t.Context(), "clementinepier/speeds")
		r.True(engine.IsErrNotExist(err))
	})
}

// Guards against workers that count as slow because tasks ran there away from their data.
func TestTasksAwayFromTheirDataTellNoSpeed(t *testing.T) {
	runInVirtualTime(t, func(r *rig) {
		r.AddWorkers("r1", 4)
		r.AddWorkers("r2", 4)
		p, stop := r.startPlanner("a")
		defer stop()
		for i := range 4 {
			// A task away from its data takes three times as long.
			r.setSpeed("r2-w"+strconv.Itoa(i), 0.33)
		}
		for i := range 3 {
			step := singleTaskStep(4)
			step.Tasks, step.DataRack, step.Estimate = 16, "r1", 30*time.Second
			r.mustSubmit(p, "j"+strconv.Itoa(i), 2, step, 5*time.Second)
			r.waitForState(p, "j"+strconv.Itoa(i), workload.StateCompleted, 40*time.Second)
		}
		time.Sleep(2 * time.Second)
		r.mustSubmit(p, "last", 2, singleTaskStep(1), time.Second)
		r.True(r.Worker("r2-w0").Starts > 0)
		r.True(p.Metrics.Get(metrics.SpeedsCompared) > 0)
		r.Equal(p.Metrics.Get(metrics.WorkersSlow), int64(0))
	})
}

// Guards against a planner that fails, or plans by impossible speeds, because of a note that it cannot read.
func TestUnreadableSpeedNoteIsIgnored(t *testing.T) {
	for name, value := range map[string][]byte{"no CBOR": []byte("x"), "other type": {0xa1, 0x01, 0xa1, 0x61, 'w', 0x61, 'x'}, "empty": {}} {
		t.Run(name, func(t *testing.T) {
			runInVirtualTime(t, func(r *rig) {
				_, err := r.Store.Engine().Commit(t.Context(), engine.Txn{Writes: []engine.Write{{Key: "clementinepier/speeds", Value: value}}})
				r.NoErr(err)
				r.addUnevenWorkers()
				p, stop := r.startPlanner("a")
				defer stop()
				r.learnSpeeds(p, "a")
				r.Equal(p.Metrics.Get(metrics.WorkersSlow), int64(4))
			})
		})
	}
}
