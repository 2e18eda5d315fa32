package main

import (
	"fmt"
	"time"
)

const (
	// reclaimBound is how long after its acceptance a job within its tenant's guarantee may not have begun (ReclaimMs).
	reclaimBound = 3400 * time.Millisecond
	// guaranteedTasks is the number of its tasks, each of which needs one accelerator.
	guaranteedTasks = 2
)

// reclaimFromLasting lets one tenant fill the service, and then submits a job of priority 0 that the other tenant's guarantee covers. The first
// tenant's tasks last; without trouble, they are tasks of two minutes.
func reclaimFromLasting(s *site, trouble bool) (broken bool, err error) {
	const filling, job = "0000000000000a01", "0000000000000a02"
	step := map[string]any{"Count": 8 * len(s.workers), "Cpu": 1000, "MemMb": 100, "Gpu": 1, "EstimateMs": 2000}
	spec := lastingSpec
	if trouble {
		step["RunForever"] = true
	} else {
		spec, step["EstimateMs"] = "long", 120000
	}
	for _, w := range s.workers {
		w.work = 2 * time.Minute
	}
	if err := s.submitTo(otherPrefix+filling, map[string]any{"TaskSpec": spec, "Steps": []any{step}}); err != nil {
		return false, err
	}
	time.Sleep(10 * time.Second)
	s.record.add("tenant two has %d tasks at work on %d accelerators", len(s.record.startsOf(filling)), 8*len(s.workers))
	if err := s.submitTo(urgent+job, oneTask(map[string]any{"Count": guaranteedTasks, "EstimateMs": 2000})); err != nil {
		return false, err
	}
	time.Sleep(reclaimBound)
	begun := len(s.record.startsOf(job))
	s.record.add("%s after its acceptance, %d of %d tasks of the guaranteed job have begun", reclaimBound, begun, guaranteedTasks)
	if begun >= guaranteedTasks {
		return false, nil
	}
	time.Sleep(40 * time.Second)
	s.record.add("40 s later, %d of %d have", len(s.record.startsOf(job)), guaranteedTasks)
	s.call(s.fronts[0], "GET", urgent+job, nil)
	return true, nil
}

// shapeTask is the number of accelerators of the last task of reclaimShape, those of a whole worker.
const shapeTask = 8

// reclaimShape lets one tenant fill the service. The other one submits small jobs of priority 0 and then one that needs a whole worker, all within its
// guarantee. Without trouble, there are no small jobs.
func reclaimShape(s *site, trouble bool) (broken bool, err error) {
	const job = "0000000000000b09"
	for _, w := range s.workers {
		w.work = 2 * time.Minute
	}
	for i, gpus := range []int{shapeTask - 1, 1} {
		borrower := oneTask(map[string]any{"Count": len(s.workers), "Gpu": gpus, "EstimateMs": 120000})
		if err := s.submitTo(fmt.Sprintf("%s0000000000000b0%d", otherPrefix, i), borrower); err != nil {
			return false, err
		}
		time.Sleep(4 * time.Second)
	}
	if trouble {
		for i := range s.workers {
			if err := s.submitTo(fmt.Sprintf("%s0000000000000c0%d", urgent, i), oneTask(map[string]any{"EstimateMs": 120000})); err != nil {
				return false, err
			}
			time.Sleep(1500 * time.Millisecond)
		}
	}
	if err := s.submitTo(urgent+job, oneTask(map[string]any{"Gpu": shapeTask, "EstimateMs": 2000})); err != nil {
		return false, err
	}
	time.Sleep(reclaimBound)
	begun := len(s.record.startsOf(job))
	s.record.add("%s after its acceptance, %d of 1 tasks of the last guaranteed job have begun", reclaimBound, begun)
	if begun > 0 {
		return false, nil
	}
	time.Sleep(30 * time.Second)
	s.record.add("30 s later, %d of 1 have", len(s.record.startsOf(job)))
	s.call(s.fronts[0], "GET", urgent+job, nil)
	return true, nil
}
