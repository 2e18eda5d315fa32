package engine_test

import (
	"testing"
	"time"

	"clementinepier/workload"
)

// Guards against work that waits for its rack for seconds although the rest of the service is idle.
func TestJobDoesNotWaitForItsRackWhileServiceIsIdle(t *testing.T) {
	single := singleTaskStep(8)
	single.DataRack = "r1"
	gang := gangStep(2, 8)
	gang.SameRack = true
	for name, step := range map[string]workload.Step{"data rack": single, "gang": gang} {
		t.Run(name, func(t *testing.T) {
			runInVirtualTime(t, func(r *rig) {
				r.AddWorkers("r1", 2)
				r.AddWorkers("r2", 2)
				r.AddWorkers("r3", 1)
				r.AddWorkers("r4", 1)
				p, stop := r.startPlanner("a")
				defer stop()
				// Each rack that has room for two tasks loses a part of it.
				for i, rack := range []string{"r1", "r1", "r2"} {
					filler := singleTaskStep(2)
					filler.Label, filler.MaxTasksPerWorker = rack, 1
					filler.Tasks = 2 - i%2
					r.mustSubmit(p, "filler"+rack+string(rune('a'+i)), 1, filler, time.Minute)
				}
				time.Sleep(time.Second)
				r.mustSubmit(p, "j1", 1, step, time.Second)
				defer r.watchWaiting()()
				r.RecordAccepted("j1")
				time.Sleep(2500 * time.Millisecond)
				r.True(r.Started("j1"))
				r.waitForState(p, "j1", workload.StateCompleted, 10*time.Second)
			})
		})
	}
}
