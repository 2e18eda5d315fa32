package policy

import (
	"slices"

	"clementinepier/workload"
)

// Feasible reports whether the workers could run the step if nothing else ran on them: one task of it, or all tasks of a gang. It
// answers work that would wait until its caller gives up, and meanwhile keep room from other work.
func Feasible(s *workload.Step, workers []*Worker) bool {
	needed := 1
	if s.Gang {
		needed = s.Tasks
	}
	for _, w := range workers {
		if s.Label != "" && !slices.Contains(w.Labels, s.Label) {
			continue
		}
		if needed -= roomFor(s, w.Capacity); needed <= 0 {
			return true
		}
	}
	return false
}

// roomFor returns how many tasks of the step fit into the capacity.
func roomFor(s *workload.Step, capacity workload.Resources) int {
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
