package engine

import (
	"fmt"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"clementinepier/metrics"
	"clementinepier/workload"
)

// Guards against jobs that take much more memory than they are counted with.
func TestSizeOfJobsCoversTheirMemory(t *testing.T) {
	step := func(tasks int, after ...int) workload.Step {
		return workload.Step{Tasks: tasks, Need: workload.Resources{MilliCPU: 100}, Estimate: time.Second, After: after}
	}
	steps := func(n, tasks int) []workload.Step {
		all := make([]workload.Step, n)
		for i := range all {
			all[i] = step(tasks)
		}
		return all
	}
	chain := steps(500, 1)
	for i := 1; i < len(chain); i++ {
		chain[i] = step(1, i-1)
	}
	for _, test := range []struct {
		name  string
		jobs  int
		steps []workload.Step
		text  int
	}{
		{"one task", 2000, steps(1, 1), 0},
		{"one task and a long payload", 1000, steps(1, 1), 3000},
		{"two hundred steps", 100, steps(200, 1), 4000},
		{"nine thousand steps", 4, steps(9001, 1), 10},
		{"one wide step", 4, steps(1, 20000), 10},
		{"a chain of steps", 50, chain, 10},
	} {
		t.Run(test.name, func(t *testing.T) {
			counted := int64(0)
			before := heapInUse()
			jobs := map[string]*jobState{}
			var units []any
			for i := range test.jobs {
				job := workload.Job{
					ID: fmt.Sprintf("%016x", i), Queue: "q", Service: "s", Organisation: "org", Payload: strings.Repeat("x", test.text),
					Steps: append([]workload.Step(nil), test.steps...),
				}
				record := workload.Record{Job: job, Progress: *workload.NewProgress(&job)}
				value, err := record.Encode()
				if err != nil {
					t.Fatal(err)
				}
				// Texts of a decoded record are copies, as in a job that a planner has.
				decoded, err := workload.DecodeRecord(value)
				if err != nil {
					t.Fatal(err)
				}
				j := newJobState(*decoded, time.Unix(1000, 0))
				jobs[job.ID] = j
				counted += j.size
				units = append(units, (&Planner{}).readyUnitsOf(nil, time.Unix(1000, 0), j, false, nil))
			}
			used := heapInUse() - before
			t.Logf("%d bytes in use, %d counted, %.2f", used, counted, float64(used)/float64(counted))
			if used > counted {
				t.Errorf("%d jobs take %d bytes with the units that wait, and count with %d", test.jobs, used, counted)
			}
			if used < counted/4 {
				t.Errorf("%d jobs take %d bytes with the units that wait, and count with %d, over four times as many", test.jobs, used, counted)
			}
			runtime.KeepAlive(jobs)
			runtime.KeepAlive(units)
		})
	}
}

// Guards against states of ended and unloaded jobs that take more memory than they are counted with.
func TestSizeOfStatesCoversTheirMemory(t *testing.T) {
	const jobs = 20000
	before := heapInUse()
	ended := map[string]*endedJob{}
	for i := range jobs {
		ended[fmt.Sprintf("%016x", i)] = &endedJob{state: workload.StateCompleted}
	}
	if used := heapInUse() - before; used > jobs*endedSize {
		t.Errorf("%d ended jobs take %d bytes, and count with %d", jobs, used, jobs*endedSize)
	}
	before = heapInUse()
	unloaded := map[string]*unloadedJob{}
	for i := range jobs {
		unloaded[fmt.Sprintf("%016x", i)] = &unloadedJob{}
	}
	if used := heapInUse() - before; used > jobs*unloadedSize {
		t.Errorf("%d unloaded jobs take %d bytes, and count with %d", jobs, used, jobs*unloadedSize)
	}
	runtime.KeepAlive(ended)
	runtime.KeepAlive(unloaded)
}

// heapInUse returns how many bytes objects on the heap take that are in use.
func heapInUse() int64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}

// Guards against a planner that unloads nothing any more because it once had jobs that could not be unloaded.
func TestUnloadingBeginsAtTheBoundAgain(t *testing.T) {
	is := is.New(t)
	p := &Planner{Clock: clockwork.NewFakeClock(), TimeOfDay: time.Now, Metrics: &metrics.Set{}, Configuration: func() *Configuration { return &Configuration{} }}
	p.memory = newJobMemory(1000)
	p.memory.loaded = 5000
	p.unload()
	is.True(p.memory.unloadFrom > 5000)
	p.memory.loaded = 100
	p.checkJobMemory(p.Clock.Now())
	is.Equal(p.memory.unloadFrom, int64(1000))
}
