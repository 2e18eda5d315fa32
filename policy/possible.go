package policy

import (
	"slices"

	"clementinepier/workload"
)

// Feasible reports whether the workers could run the step if nothing else ran on them: one task of it, or all tasks of a
// gang. A step that is not feasible would wait until its caller gives up, and reserve capacity against other work meanwhile.
func Feasible(s *workload.Step, workers []*Worker) bool {
	missing := 1
	if s.Gang {
		missing = s.Tasks
	}
	for _, w := range workers {
		if s.Label != "" && !slices.Contains(w.Labels, s.Label) {
			continue
		}
		if missing -= tasksThatFit(s, w.Capacity); missing <= 0 {
			return true
		}
	}
	return false
}

// tasksThatFit returns how many tasks of the step fit into the capacity of one worker.
func tasksThatFit(s *workload.Step, capacity workload.Resources) int {
	n := int64(s.Tasks)
	for _, r := range []struct{ need, have int64 }{
		{s.Need.MilliCPU, capacity.MilliCPU},
		{s.Need.MemoryMB, capacity.MemoryMB},
		{s.Need.Accelerators, capacity.Accelerators},
	} {
		if r.need > 0 {
			n = min(n, r.have/r.need)
		}
	}
	if s.MaxTasksPerWorker > 0 {
		n = min(n, int64(s.MaxTasksPerWorker))
	}
	return int(n)
}
