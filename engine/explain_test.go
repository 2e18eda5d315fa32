package engine_test

import (
	"context"
	"testing"
	"time"

	"clementinepier/engine"
	"clementinepier/workload"
)

func (r *rig) mustExplain(p *engine.Planner, request engine.ExplainRequest) *engine.Explanation {
	r.t.Helper()
	result := p.Explain(context.Background(), request)
	r.Equal(result.Verdict, engine.VerdictAccepted)
	return result.Explanation
}

// Guards against an explanation that differs from what the planner does with the same job, and against one that leaves a trace of it.
func TestExplainedJobGoesWhereExplained(t *testing.T) {
	runInVirtualTime(t, func(r *rig) {
		r.AddWorkers("r1", 3)
		r.AddWorkers("r2", 3)
		p, stop := r.startPlanner("a")
		defer stop()
		time.Sleep(time.Second)
		r.mustSubmit(p, "other", 1, singleTaskStep(3), time.Minute)
		time.Sleep(time.Second)
		step := gangStep(2, 8)
		job := newJob("j1", 1, step)
		e := r.mustExplain(p, engine.ExplainRequest{Job: &job})
		r.Equal(e.Course, engine.CourseStarts)
		r.Equal(len(e.Placements), 2)
		r.Equal(e.Waiting, nil)
		r.Equal(p.Explain(context.Background(), engine.ExplainRequest{ID: "j1"}).Verdict, engine.VerdictAbsent)
		r.Equal(len(r.WorkersRunning("j1")), 0)
		r.mustSubmit(p, "j1", 1, step, time.Minute)
		time.Sleep(time.Second)
		under := r.mustExplain(p, engine.ExplainRequest{ID: "j1"})
		r.Equal(under.Course, engine.CourseUnderWay)
		r.Equal(under.State, workload.StateRunning)
		again := r.mustExplain(p, engine.ExplainRequest{Job: &job})
		r.Equal(again.Course, engine.CourseUnderWay)
		explained, actual := map[string]string{}, map[string]string{}
		for _, placement := range e.Placements {
			explained[placement.Task] = placement.Worker
		}
		for _, run := range under.Runs {
			r.True(run.AtWork)
			actual[run.Task] = run.Worker
		}
		r.Equal(actual, explained)
	})
}

// Guards against an explanation that does not say what a job waits for, or what is stopped for it.
func TestExplanationOfFullService(t *testing.T) {
	runInVirtualTime(t, func(r *rig) {
		p, stop := r.startWithWorkers(2)
		defer stop()
		time.Sleep(time.Second)
		r.mustSubmit(p, "low-a", 2, singleTaskStep(8), time.Minute)
		r.mustSubmit(p, "low-b", 2, singleTaskStep(8), time.Minute)
		time.Sleep(time.Second)
		batch, urgent, impossible := newJob("batch", 2, singleTaskStep(8)), newJob("urgent", 0, singleTaskStep(8)), newJob("impossible", 0, singleTaskStep(9))
		e := r.mustExplain(p, engine.ExplainRequest{Job: &batch})
		r.Equal(e.Course, engine.CourseWaits)
		r.Equal(*e.Waiting, engine.ExplainedWait{Units: 1, Full: 2})
		e = r.mustExplain(p, engine.ExplainRequest{Job: &urgent})
		r.Equal(e.Course, engine.CoursePreempts)
		r.Equal(len(e.Stopped), 1)
		e = r.mustExplain(p, engine.ExplainRequest{Job: &impossible})
		r.Equal(e.Course, engine.CourseRefused)
		r.True(e.Reason != "")
		// Nothing was stopped for the urgent job that was only explained.
		time.Sleep(time.Second)
		r.Equal(len(r.WorkersRunning("low-a"))+len(r.WorkersRunning("low-b")), 2)
	})
}

// Guards against an explanation that does not say that a job waits for its organisation's limit, or is refused because of it.
func TestExplanationNamesLimit(t *testing.T) {
	runInVirtualTime(t, func(r *rig) {
		r.limit(engine.Organisation{Limit: workload.Resources{Accelerators: 8}})
		p, stop := r.startWithWorkers(3)
		defer stop()
		time.Sleep(time.Second)
		r.mustSubmit(p, "first", 1, singleTaskStep(8), time.Minute)
		time.Sleep(time.Second)
		second, wide := newJob("second", 1, singleTaskStep(8)), newJob("wide", 1, gangStep(2, 8))
		e := r.mustExplain(p, engine.ExplainRequest{Job: &second})
		r.Equal(e.Course, engine.CourseWaits)
		r.True(e.Waiting.OverLimit)
		r.Equal(e.Waiting.Free, 2)
		r.Equal(r.mustExplain(p, engine.ExplainRequest{Job: &wide}).Course, engine.CourseRefused)
	})
}
