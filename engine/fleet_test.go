package engine

import (
	"fmt"
	"slices"
	"testing"

	"github.com/matryer/is"

	"clementinepier/policy"
	"clementinepier/workload"
)

// Guards against a job of very many steps whose check takes the control goroutine from everything else, and against an impossible step among
// the first that is accepted.
func TestCheckOfImpossibleStepsIsBounded(t *testing.T) {
	is := is.New(t)
	const workers = 1000
	f := &fleet{}
	for i := range workers {
		f.policyWorkers = append(f.policyWorkers, &policy.Worker{ID: fmt.Sprint("w", i), Capacity: workload.Resources{MilliCPU: 1000}})
	}
	p := &Planner{fleets: map[string]*fleet{"s": f}}
	job := &workload.Job{Service: "s", Steps: slices.Repeat([]workload.Step{{Tasks: 1}}, workload.MaxTasks)}
	is.Equal(p.impossibleStep(job), -1)
	const checked = maxStepChecks / workers
	job.Steps[checked].Need.MilliCPU = 2000
	is.Equal(p.impossibleStep(job), -1)
	job.Steps[checked-1].Need.MilliCPU = 2000
	is.Equal(p.impossibleStep(job), checked-1)
	// One step is checked with any number of workers.
	f.policyWorkers = make([]*policy.Worker, 2*maxStepChecks)
	for i := range f.policyWorkers {
		f.policyWorkers[i] = &policy.Worker{Capacity: workload.Resources{MilliCPU: 1000}}
	}
	is.Equal(p.impossibleStep(&workload.Job{Service: "s", Steps: []workload.Step{{Tasks: 1, Need: workload.Resources{MilliCPU: 2000}}}}), 0)
}
