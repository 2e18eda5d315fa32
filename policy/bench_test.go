package policy_test

import (
	"fmt"
	"testing"
	"time"

	"clementinepier/policy"
	"clementinepier/workload"
)

// BenchmarkPlan measures one pass over a backlog of 300 single tasks, 30 gangs and 2 urgent gangs on 350 nearly full
// workers.
func BenchmarkPlan(b *testing.B) {
	benchmarkPlan(b, func(int) float64 { return 0 })
}

// BenchmarkPlanUneven is BenchmarkPlan on workers of three speeds.
func BenchmarkPlanUneven(b *testing.B) {
	benchmarkPlan(b, func(i int) float64 { return policy.ClassSpeed(i%3 - 1) })
}

func benchmarkPlan(b *testing.B, speed func(i int) float64) {
	b.Helper()
	for b.Loop() {
		b.StopTimer()
		var workers []*policy.Worker
		for i := range 350 {
			w := worker(fmt.Sprintf("w%d", i), fmt.Sprintf("r%d", i/8), 7)
			w.Speed = speed(i)
			w.Victims = []*policy.Group{{Priority: 2, PreemptionCost: float64(i), Uses: map[string]workload.Resources{w.ID: {Accelerators: 7, MilliCPU: 7000}}}}
			workers = append(workers, w)
		}
		var units []*policy.Unit
		for i := range 30 {
			gang := unit(fmt.Sprintf("gang%d", i), 1, 13, 4)
			gang.Job.Steps[0].SameRack = i%2 == 0
			units = append(units, gang)
			for range 10 {
				single := unit(fmt.Sprintf("single%d", i), 2, 1, 1)
				single.Job.Steps[0].Need.MemoryMB = 100 << 10
				units = append(units, single)
			}
		}
		units = append(units, unit("urgent1", 0, 5, 8), unit("urgent2", 0, 3, 4))
		b.StartTimer()
		plan(at(time.Second), workers, units...)
	}
}
