package workload_test

import (
	"math"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"clementinepier/workload"
)

func job(steps ...workload.Step) workload.Job {
	return workload.Job{ID: "j", Steps: steps, Accepted: time.UnixMilli(1700000000123)}
}

// Guards against a record that loses something on its way through the store, such as fractions of a second.
func TestRecordSurvivesEncoding(t *testing.T) {
	is := is.New(t)
	j := job(workload.Step{Tasks: 2, Gang: true, Estimate: 1500 * time.Millisecond}, workload.Step{Tasks: 1, After: []int{0}})
	j.Repeat, j.FirstRun, j.Interval = 2, time.UnixMilli(1700000005678), 3*time.Second
	r := workload.Record{Job: j, Progress: *workload.NewProgress(&j)}
	r.Progress.Tasks[1][0][1] = workload.TaskProgress{Phase: workload.PhasePlaced, Run: 3, Failed: 1, Worker: "w", Checkpoint: "c"}
	r.Progress.Started = true
	data, err := r.Encode()
	is.NoErr(err)
	read, err := workload.DecodeRecord(data)
	is.NoErr(err)
	is.Equal(read.Progress, r.Progress)
	is.True(read.Job.Accepted.Round(time.Microsecond).Equal(r.Job.Accepted))
	is.True(read.Job.OccurrenceStart(1).Round(time.Microsecond).Equal(r.Job.OccurrenceStart(1)))
	is.Equal(read.Job.Steps, r.Job.Steps)
}

// Guards against a job whose form takes the memory of the process or stops it later.
func TestFormsThatAreRefused(t *testing.T) {
	one := workload.Step{Tasks: 1}
	for name, j := range map[string]workload.Job{
		"no steps":          job(),
		"no tasks":          job(workload.Step{}),
		"too many tasks":    job(workload.Step{Tasks: workload.MaxTasks + 1}),
		"too many in all":   job(workload.Step{Tasks: workload.MaxTasks}, one),
		"after itself":      job(workload.Step{Tasks: 1, After: []int{0}}),
		"after nothing":     job(one, workload.Step{Tasks: 1, After: []int{-1}}),
		"negative need":     job(workload.Step{Tasks: 1, Need: workload.Resources{Accelerators: -1}}),
		"occurrences":       {Steps: []workload.Step{one}, Repeat: workload.MaxOccurrences + 1},
		"tasks over repeat": {Steps: []workload.Step{{Tasks: 1000}}, Repeat: 1000},
		"endless estimate":  job(workload.Step{Tasks: 1, Estimate: math.MaxInt64}),
		"negative estimate": job(workload.Step{Tasks: 1, Estimate: -1}),
		"endless interval":  {Steps: []workload.Step{one}, Repeat: 2, FirstRun: time.UnixMilli(1), Interval: math.MaxInt64},
		"negative interval": {Steps: []workload.Step{one}, Repeat: 2, FirstRun: time.UnixMilli(1), Interval: -1},
		"far first run":     {Steps: []workload.Step{one}, Repeat: 1, FirstRun: time.UnixMilli(1 << 62)},
		"first run before":  {Steps: []workload.Step{one}, Repeat: 1, FirstRun: time.UnixMilli(-1 << 50)},
	} {
		t.Run(name, func(t *testing.T) { is.New(t).True(j.Validate() != nil) })
	}
	j := job(one)
	is.New(t).NoErr(j.Validate())
}

// Guards against an id that cannot be read back from the names of tasks or from the store, so that an accepted job is lost at the
// next change of planner.
func TestIDsThatAreRefused(t *testing.T) {
	is := is.New(t)
	for _, id := range []string{"", "a.b", "a/b", "\xff", "a b", "é", "a\n", strings.Repeat("a", 65)} {
		is.True(workload.CheckID(id) != nil)
	}
	for _, id := range []string{"5c0e7a21d94b36f8", "A-b_9", strings.Repeat("a", 64)} {
		is.NoErr(workload.CheckID(id))
	}
}

// Guards against a chain of estimates whose sum leaves its range, which would make an objective negative.
func TestChainOfLongEstimatesIsBounded(t *testing.T) {
	is := is.New(t)
	j := job()
	for i := range 400 {
		step := workload.Step{Tasks: 1, Estimate: workload.MaxDuration}
		if i > 0 {
			step.After = []int{i - 1}
		}
		j.Steps = append(j.Steps, step)
	}
	is.NoErr(j.Validate())
	is.Equal(j.CriticalPath(), workload.MaxDuration)
}

// Guards against a record of another form that makes the planner read beyond its tasks.
func TestRecordOfAnotherFormIsRefused(t *testing.T) {
	is := is.New(t)
	j := job(workload.Step{Tasks: 2})
	other := job(workload.Step{Tasks: 1})
	r := workload.Record{Job: j, Progress: *workload.NewProgress(&other)}
	data, err := r.Encode()
	is.NoErr(err)
	_, err = workload.DecodeRecord(data)
	is.True(err != nil)
}

// Guards against states that callers are told too early.
func TestStates(t *testing.T) {
	is := is.New(t)
	j := job(workload.Step{Tasks: 2})
	p := workload.NewProgress(&j)
	is.Equal(p.State(), workload.StateQueued)
	p.Started = true
	p.Tasks[0][0][0].Phase = workload.PhaseDone
	is.Equal(p.State(), workload.StateRunning)
	p.Tasks[0][0][1].Phase = workload.PhaseDone
	is.Equal(p.State(), workload.StateCompleted)
	p.Cancelled = true
	is.Equal(p.State(), workload.StateCancelled)
}

// Guards against names that workers and planner read differently.
func TestTaskNames(t *testing.T) {
	is := is.New(t)
	id := workload.TaskID{Job: "5c0e", Occurrence: 1, Step: 2, Index: 17}
	is.Equal(id.String(), "5c0e.1.2.17")
	read, err := workload.ParseTaskID(id.String())
	is.NoErr(err)
	is.Equal(read, id)
	for _, bad := range []string{"", "a.b", "a.1.2.x", "a.1.2.-3", "a.1.2.3.4"} {
		_, err := workload.ParseTaskID(bad)
		is.True(err != nil)
	}
}

// Guards against a chain that leaves out parallel or later steps.
func TestChain(t *testing.T) {
	step := func(estimate time.Duration, after ...int) workload.Step {
		return workload.Step{Tasks: 1, Estimate: estimate, After: after}
	}
	j := job(step(time.Second), step(3*time.Second), step(time.Second, 0, 1), step(500*time.Millisecond, 0))
	is.New(t).Equal(j.CriticalPath(), 4*time.Second)
}
