package site_test

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"clementinepier/engine"
	"clementinepier/standin/site"
	"clementinepier/workload"
)

// Guards against an oracle that misses a start that breaks a rule on steps, occurrences, attempts, checkpoints, draining, evacuation or
// cancels, or that finds one in a start that breaks none.
func TestOracleJudgesStartsByTheJob(t *testing.T) {
	step := workload.Step{Tasks: 1}
	gang := workload.Step{Tasks: 2, Gang: true, Checkpoints: true}
	after := workload.Step{Tasks: 1, After: []int{0}}
	for _, c := range []struct {
		name   string
		job    workload.Job
		fails  int
		play   func(b *bed)
		faults []string
	}{
		{"step in time", workload.Job{Steps: []workload.Step{step, after}}, 0, func(b *bed) {
			b.mustStart("r-w0", "j.0.0.0", 1)
			time.Sleep(2 * time.Second)
			b.mustStart("r-w1", "j.0.1.0", 1)
		}, nil},
		{"step too early", workload.Job{Steps: []workload.Step{step, after}}, 0, func(b *bed) {
			b.mustStart("r-w0", "j.0.0.0", 1)
			b.mustStart("r-w1", "j.0.1.0", 1)
		}, []string{"ORDER: j.0.1.0 starts before j.0.0.0 is done"}},
		{"step of another occurrence", workload.Job{Steps: []workload.Step{step, after}, Repeat: 2}, 0, func(b *bed) {
			b.mustStart("r-w0", "j.0.0.0", 1)
			time.Sleep(2 * time.Second)
			b.mustStart("r-w1", "j.1.1.0", 1)
		}, []string{"ORDER: j.1.1.0 starts before j.1.0.0 is done"}},
		{"occurrence too early", workload.Job{Steps: []workload.Step{step}, Repeat: 2, FirstRun: time.Unix(946684800, 0), Interval: time.Hour}, 0, func(b *bed) {
			b.mustStart("r-w0", "j.0.0.0", 1)
			b.mustStart("r-w1", "j.1.0.0", 1)
		}, []string{"ORDER: j.1.0.0 starts"}},
		{"attempts left", workload.Job{Steps: []workload.Step{step}, MaxAttempts: 2}, 2, func(b *bed) {
			b.mustStart("r-w0", "j.0.0.0", 1)
			time.Sleep(2 * time.Second)
			b.acknowledge("r-w0")
			b.mustStart("r-w0", "j.0.0.0", 2)
		}, nil},
		{"no attempts left", workload.Job{Steps: []workload.Step{step}, MaxAttempts: 1}, 2, func(b *bed) {
			b.mustStart("r-w0", "j.0.0.0", 1)
			time.Sleep(2 * time.Second)
			b.acknowledge("r-w0")
			b.mustStart("r-w1", "j.0.0.0", 2)
		}, []string{"BUDGET: j.0.0.0"}},
		{"no attempts left, taken note of later", workload.Job{Steps: []workload.Step{step}, MaxAttempts: 1}, 2, func(b *bed) {
			b.mustStart("r-w0", "j.0.0.0", 1)
			time.Sleep(2 * time.Second)
			b.mustStart("r-w1", "j.0.0.0", 2)
			b.acknowledge("r-w0")
		}, []string{"BUDGET: j.0.0.0"}},
		{"runs of two occurrences of a gang", workload.Job{Steps: []workload.Step{gang}, Repeat: 2}, 0, func(b *bed) {
			b.mustStart("r-w0", "j.0.0.0", 1)
			b.mustStart("r-w1", "j.1.0.1", 1)
			time.Sleep(2 * time.Second)
			b.Equal(b.ends("r-w0"), "running") // not a gang with the member of the other occurrence
		}, nil},
		{"unknown checkpoint", workload.Job{Steps: []workload.Step{step}}, 0, func(b *bed) {
			b.startFrom("r-w0", "j.0.0.0", "j.0.0.1/1/500")
		}, []string{"UNASKED: j.0.0.0 starts with the checkpoint"}},
		{"checkpoints of a gang differ", workload.Job{Steps: []workload.Step{gang}}, 0, func(b *bed) {
			b.mustStart("r-w0", "j.0.0.0", 1)
			b.mustStart("r-w1", "j.0.0.1", 1)
			time.Sleep(500 * time.Millisecond)
			b.NoErr(b.stop("r-w0", "j.0.0.0", 1, 1))
			response, err := b.poll("r-w0", engine.PollRequest{})
			b.NoErr(err)
			b.startFrom("r-w0", "j.0.0.0", response.Ends[0].Checkpoint)
			b.mustStart("r-w1", "j.0.0.1", 2)
		}, []string{"UNASKED: j.0.0.1 starts with the checkpoint"}},
		{"another payload", workload.Job{Steps: []workload.Step{step}}, 0, func(b *bed) {
			_, err := b.Start(context.Background(), engine.Target{Address: "r-w0"},
				engine.StartOrder{Task: "j.0.0.0", Run: 1, Payload: "k", Until: longLease, Fence: 1})
			b.NoErr(err)
		}, []string{"UNASKED: j.0.0.0 starts with the payload"}},
		{"too many tasks on a worker", workload.Job{Steps: []workload.Step{{Tasks: 2, MaxTasksPerWorker: 1}}}, 0, func(b *bed) {
			b.mustStart("r-w0", "j.0.0.0", 1)
			b.mustStart("r-w0", "j.0.0.1", 1)
		}, []string{"ROUTE: j.0.0.1"}},
		{"worker without the label", workload.Job{Steps: []workload.Step{{Tasks: 1, Label: "k"}}}, 0, func(b *bed) {
			b.mustStart("r-w0", "j.0.0.0", 1)
		}, []string{"ROUTE: j.0.0.0"}},
		{"cancelled", workload.Job{Steps: []workload.Step{{Tasks: 2}}}, 0, func(b *bed) {
			b.RecordCancelled("j")
			time.Sleep(900 * time.Millisecond)
			b.mustStart("r-w0", "j.0.0.0", 1)
			time.Sleep(200 * time.Millisecond)
			b.mustStart("r-w1", "j.0.0.1", 1)
		}, []string{"UNASKED: j.0.0.1 starts after its job was shown as cancelled"}},
		{"draining", workload.Job{Steps: []workload.Step{{Tasks: 2}}}, 0, func(b *bed) {
			b.Set("r-w0", func(w *site.Worker) { w.StartDraining(time.Minute) })
			time.Sleep(900 * time.Millisecond)
			b.mustStart("r-w0", "j.0.0.0", 1)
			time.Sleep(200 * time.Millisecond)
			b.mustStart("r-w0", "j.0.0.1", 1)
		}, []string{"DRAIN: j.0.0.1"}},
		{"evacuated", workload.Job{Steps: []workload.Step{{Tasks: 2}}}, 0, func(b *bed) {
			since := time.Now()
			b.Evacuated = func(string) bool { return true }
			b.EvacuatedSince = func(string) time.Time { return since }
			time.Sleep(900 * time.Millisecond)
			b.mustStart("r-w0", "j.0.0.0", 1)
			time.Sleep(200 * time.Millisecond)
			b.mustStart("r-w0", "j.0.0.1", 1)
		}, []string{"EVAC: j.0.0.1"}},
		{"lasting task starts again", workload.Job{Steps: []workload.Step{{Tasks: 1, LongRunning: true}}, MaxAttempts: 1}, 1, func(b *bed) {
			for run := 1; run < 4; run++ {
				b.mustStart("r-w0", "j.0.0.0", run)
				time.Sleep(2 * time.Second)
				b.acknowledge("r-w0")
			}
		}, nil},
		{"two runs of a lasting task", workload.Job{Steps: []workload.Step{{Tasks: 1, LongRunning: true}}}, 0, func(b *bed) {
			b.mustStart("r-w0", "j.0.0.0", 1)
			b.mustStart("r-w1", "j.0.0.0", 2)
		}, []string{"TWICE: j.0.0.0 starts on r-w1 and runs on r-w0"}},
		{"start while the run is being stopped", workload.Job{Steps: []workload.Step{step}}, 0, func(b *bed) {
			b.Set("r-w0", func(w *site.Worker) { w.StopTime = 400 * time.Millisecond })
			b.mustStart("r-w0", "j.0.0.0", 1)
			b.NoErr(b.stop("r-w0", "j.0.0.0", 1, 1))
			time.Sleep(300 * time.Millisecond)
			b.mustStart("r-w1", "j.0.0.0", 2)
			time.Sleep(100 * time.Millisecond)
			b.Equal(b.ends("r-w0"), "stopped")
		}, []string{"TWICE: j.0.0.0 starts on r-w1 and runs on r-w0"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			inVirtualTime(t, c.faults, func(b *bed) {
				b.DrainBound, b.EvacuateBound, b.CancelBound = time.Second, time.Second, time.Second
				c.job.ID = "j"
				work := make([]time.Duration, len(c.job.Steps))
				for i := range work {
					work[i] = time.Second
				}
				b.SetJobProfile(site.JobProfile{Job: c.job, Work: work, Failures: c.fails})
				c.play(b)
			})
		})
	}
}

// startFrom starts the second run of a task from a checkpoint.
func (b *bed) startFrom(worker, task, checkpoint string) {
	_, err := b.Start(context.Background(), engine.Target{Address: worker},
		engine.StartOrder{Task: task, Run: 2, Payload: "j", Until: longLease, Fence: 1, Checkpoint: checkpoint})
	b.NoErr(err)
}

// Guards against a run that starts from a checkpoint and does its work again.
func TestRunResumesFromCheckpoint(t *testing.T) {
	inVirtualTime(t, nil, func(b *bed) {
		b.SetTaskProfile("j", workload.Step{Tasks: 1, Checkpoints: true}, 5*time.Second)
		b.mustStart("r-w0", "j.0.0.0", 1)
		time.Sleep(3500 * time.Millisecond)
		b.Set("r-w0", func(w *site.Worker) { w.EndAll(engine.EndLapsed) })
		response, err := b.poll("r-w0", engine.PollRequest{})
		b.NoErr(err)
		b.startFrom("r-w1", "j.0.0.0", response.Ends[0].Checkpoint)
		time.Sleep(1900 * time.Millisecond)
		b.Equal(b.ends("r-w1"), "running")
		time.Sleep(200 * time.Millisecond)
		b.Equal(b.ends("r-w1"), "done")
	})
}

// Guards against calls whose answers are lost or late and that have no effect.
func TestCallsWithLostOrLateAnswersTakeEffect(t *testing.T) {
	inVirtualTime(t, nil, func(b *bed) {
		b.addJob("j", 0, time.Second)
		b.Set("r-w0", func(w *site.Worker) { w.LoseAnswers = true })
		ctx, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
		defer cancel()
		_, err := b.Start(ctx, engine.Target{Address: "r-w0"}, engine.StartOrder{Task: "j.0.0.0", Run: 1, Payload: "j", Until: longLease, Fence: 1})
		b.True(err != nil)
		b.Equal(b.Worker("r-w0").Starts, 1)
		time.Sleep(time.Second)
		ctx, cancel = context.WithTimeout(context.Background(), 500*time.Millisecond)
		defer cancel()
		_, err = b.Poll(ctx, engine.Target{Address: "r-w0"}, engine.PollRequest{Fence: 1, Acknowledged: 1})
		b.True(err != nil)
		b.Set("r-w0", func(w *site.Worker) { w.LoseAnswers, w.AnswerDelays = false, []time.Duration{300 * time.Millisecond} })
		sent := time.Now()
		b.Equal(b.ends("r-w0"), "") // the end is acknowledged
		b.True(time.Since(sent) >= 300*time.Millisecond)
	})
}

// Guards against runs that fail midway at another share of their work, or more often, than their profile says.
func TestRunsFailMidway(t *testing.T) {
	inVirtualTime(t, nil, func(b *bed) {
		job := workload.Job{ID: "j", Steps: []workload.Step{{Tasks: 2}}, MaxAttempts: 3}
		b.SetJobProfile(site.JobProfile{Job: job, Work: []time.Duration{10 * time.Second}, MidwayFailures: map[string]site.MidwayFailures{
			"j.0.0.0": {Percents: []int{28, 88}},
		}})
		b.mustStart("r-w1", "j.0.0.1", 1)
		for run, after := range []time.Duration{2800 * time.Millisecond, 8800 * time.Millisecond} {
			b.mustStart("r-w0", "j.0.0.0", run+1)
			time.Sleep(after - 10*time.Millisecond)
			b.Equal(b.ends("r-w0"), "running")
			time.Sleep(10 * time.Millisecond)
			b.Equal(b.ends("r-w0"), "failed")
			b.acknowledge("r-w0")
		}
		b.mustStart("r-w0", "j.0.0.0", 3)
		time.Sleep(10 * time.Second)
		b.Equal(b.ends("r-w0"), "done")
		b.Equal(b.ends("r-w1"), "done")
		b.True(!b.OutOfAttempts("j"))
	})
}

// Guards against a task whose runs stop to fail, or one out of attempts that is not known to be.
func TestRunsAlwaysFailMidway(t *testing.T) {
	inVirtualTime(t, nil, func(b *bed) {
		profile := site.JobProfile{
			Job: workload.Job{ID: "j", Steps: []workload.Step{{Tasks: 1}}, MaxAttempts: 3}, Work: []time.Duration{10 * time.Second},
			MidwayFailures: map[string]site.MidwayFailures{"j.0.0.0": {Percents: []int{50, 20}, Always: true}},
		}
		b.SetJobProfile(profile)
		b.True(profile.MustFail())
		for run, after := range []time.Duration{5 * time.Second, 2 * time.Second, 5 * time.Second} {
			b.True(!b.OutOfAttempts("j"))
			b.mustStart("r-w0", "j.0.0.0", run+1)
			time.Sleep(after)
			b.Equal(b.ends("r-w0"), "failed")
			b.acknowledge("r-w0")
		}
		b.True(b.OutOfAttempts("j"))
	})
}

// Guards against a profile that is said to fail although a task has an attempt left, or not to fail although none is left.
func TestMustFail(t *testing.T) {
	is := is.New(t)
	for _, c := range []struct {
		name    string
		profile site.JobProfile
		want    bool
	}{
		{"no failures", site.JobProfile{}, false},
		{"an attempt left", site.JobProfile{MidwayFailures: map[string]site.MidwayFailures{"j.0.0.0": {Percents: []int{5, 5}}}}, false},
		{"no attempt left", site.JobProfile{MidwayFailures: map[string]site.MidwayFailures{"j.0.0.0": {Percents: []int{5, 5, 5}}}}, true},
		{"always", site.JobProfile{MidwayFailures: map[string]site.MidwayFailures{"j.0.0.0": {Percents: []int{5}, Always: true}}}, true},
		{"an attempt left at the end of the work", site.JobProfile{Failures: 2}, false},
		{"no attempt left at the end of the work", site.JobProfile{Failures: 3}, true},
	} {
		c.profile.Job = workload.Job{ID: "j", Steps: []workload.Step{{Tasks: 1}}, MaxAttempts: 3}
		is.Equal(c.profile.MustFail(), c.want) // name of the case
	}
}

// Guards against a gang of which a member goes on when the gang fails midway, and against a run from a checkpoint that fails before it
// has done any work.
func TestGangFailsMidwayOfRemainingWork(t *testing.T) {
	inVirtualTime(t, nil, func(b *bed) {
		b.SetJobProfile(site.JobProfile{
			Job:  workload.Job{ID: "j", Steps: []workload.Step{{Tasks: 2, Gang: true, Checkpoints: true}}, MaxAttempts: 5},
			Work: []time.Duration{10 * time.Second}, MidwayFailures: map[string]site.MidwayFailures{"j.0.0": {Percents: []int{50, 50}}},
		})
		b.mustStart("r-w0", "j.0.0.0", 1)
		time.Sleep(time.Second)
		b.mustStart("r-w1", "j.0.0.1", 1)
		time.Sleep(5 * time.Second)
		response, err := b.poll("r-w0", engine.PollRequest{})
		b.NoErr(err)
		b.Equal(response.Ends[0].Reason, engine.EndFailed)
		b.Equal(b.ends("r-w1"), "broken")
		b.startFrom("r-w0", "j.0.0.0", response.Ends[0].Checkpoint)
		b.startFrom("r-w1", "j.0.0.1", response.Ends[0].Checkpoint)
		b.acknowledge("r-w0")
		time.Sleep(2490 * time.Millisecond)
		b.Equal(b.ends("r-w0"), "running")
		time.Sleep(10 * time.Millisecond)
		b.Equal(b.ends("r-w0"), "failed")
	})
}
