package engine_test

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"clementinepier/workload"
)

// Guards against jobs that wait beside idle workers after random jobs, each task of which fails some times or always, at the end of its
// work. The workers are sound. With -faults-first and -faults-seeds it plays other seeds.
func TestRandomFailingJobsLeaveNoJobWaiting(t *testing.T) {
	for seed := range faultSeeds(12) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			t.Parallel()
			runInVirtualTime(t, func(r *rig) {
				random := rand.New(rand.NewPCG(seed, 0)) //nolint:gosec // a test's draws need no secure randomness
				r.AddWorkers("r2", random.IntN(7))
				p, stop := r.startWithWorkers(1 + random.IntN(6))
				defer stop()
				w := r.newIdleWatch(p)
				for i := range 15 + random.IntN(25) {
					job, work, failures := randomFailingJob(random, strconv.Itoa(i), len(r.IDs()))
					w.submit(job, work, failures)
					w.wait(time.Duration(random.IntN(3000)) * time.Millisecond)
				}
				w.wait(30 * time.Second)
			})
		})
	}
}

// randomFailingJob returns a job, the time that its tasks are at work, and how often each of them fails.
func randomFailingJob(random *rand.Rand, id string, workers int) (job workload.Job, work time.Duration, failures int) {
	step := singleTaskStep([]int64{1, 1, 2, 4}[random.IntN(4)])
	step.Tasks = 1 + random.IntN(3)
	if random.IntN(3) == 0 {
		step.Tasks = 1 + random.IntN(2*workers)
	}
	if random.IntN(3) == 0 {
		step.Label = "r1"
	}
	switch random.IntN(5) {
	case 0:
		step.MaxTasksPerWorker = 1
	case 1:
		step.Tasks, step.Gang = min(1+random.IntN(3), int(8/step.Need.Accelerators)), true
	}
	job = newJob("job"+id, random.IntN(3), step)
	job.MaxAttempts = 1 + random.IntN(4)
	// Runs that fail sooner show that a worker is at fault.
	work = 1200*time.Millisecond + time.Duration(random.IntN(8000))*time.Millisecond
	if random.IntN(3) > 0 {
		failures = 1 + random.IntN(job.MaxAttempts)
	}
	return job, work, failures
}
