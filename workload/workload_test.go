package workload_test

import (
	"math"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"clementinepier/codec"
	"clementinepier/workload"
)

func job(steps ...workload.Step) workload.Job {
	return workload.Job{ID: "j", Steps: steps, Accepted: time.UnixMilli(1700000000123)}
}

// Guards against a field that is lost or changed when a record is stored, such as fractions of a second.
func TestRecordRoundTrip(t *testing.T) {
	is := is.New(t)
	j := job(workload.Step{Tasks: 2, Gang: true, Estimate: 1500 * time.Millisecond}, workload.Step{Tasks: 1, After: []int{0}})
	j.Repeat, j.FirstRun, j.Interval = 2, time.UnixMilli(1700000005678), 3*time.Second
	r := workload.Record{Job: j, Progress: *workload.NewProgress(&j)}
	r.Progress.Tasks[1][0][1] = workload.TaskProgress{Phase: workload.PhasePlaced, Run: 3, Failed: 1, Worker: "w", Checkpoint: "c"}
	r.Progress.Started = true
	data, err := r.Encode()
	is.NoErr(err)
	decoded, err := workload.DecodeRecord(data)
	is.NoErr(err)
	is.Equal(decoded.Progress, r.Progress)
	is.True(decoded.Job.Accepted.Round(time.Microsecond).Equal(r.Job.Accepted))
	is.True(decoded.Job.OccurrenceStart(1).Round(time.Microsecond).Equal(r.Job.OccurrenceStart(1)))
	is.Equal(decoded.Job.Steps, r.Job.Steps)
}

// Guards against an accepted job that exhausts the memory of the process or makes it panic later.
func TestValidateRejectsInvalidJobs(t *testing.T) {
	one := workload.Step{Tasks: 1}
	for name, j := range map[string]workload.Job{
		"no steps":                            job(),
		"no tasks":                            job(workload.Step{}),
		"too many tasks":                      job(workload.Step{Tasks: workload.MaxTasks + 1}),
		"too many tasks in total":             job(workload.Step{Tasks: workload.MaxTasks}, one),
		"step after itself":                   job(workload.Step{Tasks: 1, After: []int{0}}),
		"step after a negative index":         job(one, workload.Step{Tasks: 1, After: []int{-1}}),
		"negative need":                       job(workload.Step{Tasks: 1, Need: workload.Resources{Accelerators: -1}}),
		"too many occurrences":                {Steps: []workload.Step{one}, Repeat: workload.MaxOccurrences + 1},
		"too many tasks over all occurrences": {Steps: []workload.Step{{Tasks: 1000}}, Repeat: 1000},
		"estimate out of range":               job(workload.Step{Tasks: 1, Estimate: math.MaxInt64}),
		"negative estimate":                   job(workload.Step{Tasks: 1, Estimate: -1}),
		"interval out of range":               {Steps: []workload.Step{one}, Repeat: 2, FirstRun: time.UnixMilli(1), Interval: math.MaxInt64},
		"negative interval":                   {Steps: []workload.Step{one}, Repeat: 2, FirstRun: time.UnixMilli(1), Interval: -1},
		"first run too late":                  {Steps: []workload.Step{one}, Repeat: 1, FirstRun: time.UnixMilli(1 << 62)},
		"first run before 1970":               {Steps: []workload.Step{one}, Repeat: 1, FirstRun: time.UnixMilli(-1 << 50)},
	} {
		t.Run(name, func(t *testing.T) { is.New(t).True(j.Validate() != nil) })
	}
	j := job(one)
	is.New(t).NoErr(j.Validate())
}

// Guards against a job id that cannot be parsed back from task names or store keys, so that an accepted job is lost when the
// next planner is elected.
func TestValidateIDRejectsInvalidIDs(t *testing.T) {
	is := is.New(t)
	for _, id := range []string{"", "a.b", "a/b", "\xff", "a b", "é", "a\n", strings.Repeat("a", 65)} {
		is.True(workload.ValidateID(id) != nil)
	}
	for _, id := range []string{"5c0e7a21d94b36f8", "A-b_9", strings.Repeat("a", 64)} {
		is.NoErr(workload.ValidateID(id))
	}
}

// Guards against an overflow in the sum of estimates along a chain of steps, which would make the objective negative.
func TestCriticalPathIsBounded(t *testing.T) {
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

// Guards against a record whose progress does not match its job, which would make the planner index tasks out of range.
func TestDecodeRecordRejectsMismatchedProgress(t *testing.T) {
	is := is.New(t)
	j := job(workload.Step{Tasks: 2})
	other := job(workload.Step{Tasks: 1})
	r := workload.Record{Job: j, Progress: *workload.NewProgress(&other)}
	data, err := r.Encode()
	is.NoErr(err)
	_, err = workload.DecodeRecord(data)
	is.True(err != nil)
}

// Guards against a state that is reported to callers too early.
func TestState(t *testing.T) {
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

// Guards against task names that workers and planner interpret differently.
func TestTaskIDRoundTrip(t *testing.T) {
	is := is.New(t)
	id := workload.TaskID{Job: "5c0e", Occurrence: 1, Step: 2, Index: 17}
	is.Equal(id.String(), "5c0e.1.2.17")
	parsed, err := workload.ParseTaskID(id.String())
	is.NoErr(err)
	is.Equal(parsed, id)
	for _, bad := range []string{"", "a.b", "a.1.2.x", "a.1.2.-3", "a.1.2.3.4"} {
		_, err := workload.ParseTaskID(bad)
		is.True(err != nil)
	}
}

// Guards against a critical path that leaves out parallel or later steps.
func TestCriticalPath(t *testing.T) {
	step := func(estimate time.Duration, after ...int) workload.Step {
		return workload.Step{Tasks: 1, Estimate: estimate, After: after}
	}
	j := job(step(time.Second), step(3*time.Second), step(time.Second, 0, 1), step(500*time.Millisecond, 0))
	is.New(t).Equal(j.CriticalPath(), 4*time.Second)
}

// Guards against a record with late starts that an earlier build cannot read, or the reverse, and against late starts that pile up in it.
func TestLateStartsInRecord(t *testing.T) {
	is := is.New(t)
	j := job(workload.Step{Tasks: 2})
	r := workload.Record{Job: j, Progress: *workload.NewProgress(&j)}
	plain, err := r.Encode()
	is.NoErr(err)
	decoded, err := workload.DecodeRecord(plain)
	is.NoErr(err)
	is.Equal(len(decoded.Progress.LateStarts), 0)

	sent := time.UnixMilli(1700000000123)
	first := workload.LateStart{Index: -1, Run: 1, Worker: "w", Incarnation: 7, Sent: sent, Assumed: true}
	r.Progress.AddLateStart(first)
	data, err := r.Encode()
	is.NoErr(err)
	decoded, err = workload.DecodeRecord(data)
	is.NoErr(err)
	is.Equal(len(decoded.Progress.LateStarts), 1)
	is.True(decoded.Progress.LateStarts[0].Sent.Sub(sent).Abs() < time.Millisecond)
	decoded.Progress.LateStarts[0].Sent = sent
	is.Equal(decoded.Progress.LateStarts[0], first)
	var earlier struct {
		Progress struct {
			Tasks   [][][]workload.TaskProgress `cbor:"1,keyasint"`
			Started bool                        `cbor:"2,keyasint,omitempty"`
		} `cbor:"2,keyasint"`
	}
	is.NoErr(codec.Unmarshal(data, &earlier))
	is.Equal(earlier.Progress.Tasks, r.Progress.Tasks)

	for run := range 100 {
		r.Progress.AddLateStart(workload.LateStart{Run: run, Worker: "w", Sent: sent.Add(time.Second)})
	}
	is.Equal(len(r.Progress.LateStarts), 2) // one of a task on a worker
	for i := range 100 {
		r.Progress.AddLateStart(workload.LateStart{Index: i, Worker: "w", Sent: sent.Add(time.Second)})
	}
	is.True(len(r.Progress.LateStarts) <= 20)
	r.Progress.DropLateStarts(sent.Add(2 * time.Second))
	is.Equal(len(r.Progress.LateStarts), 0)
}
