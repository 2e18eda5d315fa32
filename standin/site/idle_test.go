package site_test

import (
	"strings"
	"testing"
	"time"

	"clementinepier/engine"
	"clementinepier/standin/site"
	"clementinepier/workload"
)

// Guards against a check that misses a job, or a task that lasts, that waits although it could run, or that reports one which may wait: too
// little room, capacity in use, a fault or none of its time has passed.
func TestCheckWaiting(t *testing.T) {
	accelerators := func(n int64) workload.Resources { return workload.Resources{Accelerators: n} }
	single, lasting := workload.Step{Tasks: 1}, workload.Step{Tasks: 2, LongRunning: true}
	// failAll ends all runs as failed.
	failAll := func(b *bed) {
		for _, id := range b.IDs() {
			b.Set(id, func(w *site.Worker) { w.EndAll(engine.EndFailed) })
		}
	}
	for _, c := range []struct {
		name  string
		steps []workload.Step
		play  func(b *bed)
		// passes is how long the job is checked after that.
		passes time.Duration
		// waits is the name of the job or the task that waits, empty if none does.
		waits string
	}{
		{"never started", []workload.Step{single}, nil, 4 * time.Second, "j"},
		{"within the time", []workload.Step{single}, nil, 2900 * time.Millisecond, ""},
		{"runs", []workload.Step{single}, func(b *bed) { b.mustStart("r-w0", "j.0.0.0", 1) }, 900 * time.Millisecond, ""},
		{"another task runs", []workload.Step{{Tasks: 2}, {Tasks: 1}}, func(b *bed) { b.mustStart("r-w0", "k.0.0.0", 1) }, 4 * time.Second, "j"},
		{"waits again after a failure", []workload.Step{single}, func(b *bed) {
			b.mustStart("r-w0", "j.0.0.0", 1)
			failAll(b)
		}, 4 * time.Second, "j"},
		{"out of attempts", []workload.Step{single}, func(b *bed) {
			for run := range 2 {
				b.mustStart("r-w0", "j.0.0.0", run+1)
				failAll(b)
			}
		}, 10 * time.Second, ""},
		{"done and listed", []workload.Step{single}, func(b *bed) {
			b.mustStart("r-w0", "j.0.0.0", 1)
			time.Sleep(1100 * time.Millisecond)
		}, 10 * time.Second, ""},
		{"later step", []workload.Step{single, {Tasks: 1, After: []int{0}}}, func(b *bed) {
			b.mustStart("r-w0", "j.0.0.0", 1)
			time.Sleep(1100 * time.Millisecond)
			b.acknowledge("r-w0")
		}, 4 * time.Second, "j"},
		{"later step before the earlier is done", []workload.Step{single, {Tasks: 1, After: []int{0}}}, func(b *bed) {
			b.mustStart("r-w0", "j.0.0.0", 1)
			time.Sleep(1100 * time.Millisecond)
		}, 10 * time.Second, ""},
		{"given up", []workload.Step{single}, func(b *bed) { b.RecordGivenUp("j") }, 10 * time.Second, ""},
		{"fault within the time before", []workload.Step{single}, func(b *bed) { b.RecordDisruption() }, 6900 * time.Millisecond, ""},
		{"fault before that", []workload.Step{single}, func(b *bed) { b.RecordDisruption() }, 7100 * time.Millisecond, "j"},
		{"fault that lasts", []workload.Step{single}, func(b *bed) { b.Set("r-w2", func(w *site.Worker) { w.LosePolls = true }) }, 20 * time.Second, ""},
		{"store silent", []workload.Step{single}, func(b *bed) { b.Store.SetSilent(true) }, 20 * time.Second, ""},
		{"planner changes", []workload.Step{single}, func(b *bed) { b.RecordPlannerChange() }, 40 * time.Second, ""},
		{"planner changes while the job runs", []workload.Step{single}, func(b *bed) {
			b.mustStart("r-w0", "j.0.0.0", 1)
			b.RecordPlannerChange()
			failAll(b)
		}, 8 * time.Second, "j"},
		{"worker dead", []workload.Step{single}, func(b *bed) { b.Set("r-w2", func(w *site.Worker) { w.Dead = true }) }, 20 * time.Second, ""},
		{"run lost", []workload.Step{single}, func(b *bed) {
			b.mustStart("r-w0", "j.0.0.0", 1)
			b.Set("r-w0", (*site.Worker).Restart)
		}, 40 * time.Second, ""},
		{"run lost, which is judged", []workload.Step{single}, func(b *bed) {
			b.JudgeLostRuns = true
			b.mustStart("r-w0", "j.0.0.0", 1)
			b.Set("r-w0", (*site.Worker).Restart)
		}, 4 * time.Second, "j"},
		{"run lost long ago", []workload.Step{single}, func(b *bed) {
			b.mustStart("r-w0", "j.0.0.0", 1)
			b.Set("r-w0", (*site.Worker).Restart)
		}, 95 * time.Second, "j"},
		{"worker dead, which is judged", []workload.Step{single}, func(b *bed) {
			b.JudgeLostRuns = true
			b.Set("r-w2", func(w *site.Worker) { w.Dead = true })
		}, 4 * time.Second, "j"},
		{"worker gone for good", []workload.Step{single}, func(b *bed) { b.Set("r-w2", func(w *site.Worker) { w.Replaced = true }) }, 4 * time.Second, "j"},
		{"half of the capacity in use", []workload.Step{single}, func(b *bed) {
			for i, task := range []string{"l.0.0.0", "l.0.0.1", "l.0.0.2"} {
				b.mustStart(b.IDs()[i], task, 1)
			}
		}, 10 * time.Second, ""},
		{"a third of the capacity in use", []workload.Step{single}, func(b *bed) {
			b.mustStart("r-w0", "l.0.0.0", 1)
			b.mustStart("r-w1", "l.0.0.1", 1)
		}, 4 * time.Second, "j"},
		{"gang with room twice", []workload.Step{{Tasks: 3, Gang: true, Need: accelerators(4)}}, nil, 4 * time.Second, "j"},
		{"gang with room once", []workload.Step{{Tasks: 4, Gang: true, Need: accelerators(4)}}, nil, 10 * time.Second, ""},
		{"gang with room twice in one rack", []workload.Step{{Tasks: 3, Gang: true, SameRack: true, Need: accelerators(4)}}, nil, 4 * time.Second, "j"},
		{
			"gang with room in several racks",
			[]workload.Step{{Tasks: 4, Gang: true, SameRack: true, Need: accelerators(4)}},
			func(b *bed) { b.AddWorkers("other", 1) }, 10 * time.Second, "",
		},
		{
			"gang with room in one rack each",
			[]workload.Step{{Tasks: 2, Gang: true, SameRack: true, Need: accelerators(8)}},
			func(b *bed) { b.AddWorkers("other", 2) }, 4 * time.Second, "j",
		},
		{"label", []workload.Step{{Tasks: 1, Label: "r"}}, nil, 4 * time.Second, "j"},
		{"label that no worker has", []workload.Step{{Tasks: 1, Label: "b"}}, nil, 10 * time.Second, ""},
		{
			"one task per worker",
			[]workload.Step{{Tasks: 2, MaxTasksPerWorker: 1, LongRunning: true}},
			func(b *bed) { b.mustStart("r-w0", "j.0.0.0", 1) }, 4 * time.Second, "j.0.0.1",
		},
		{"one task per worker, room once", []workload.Step{{Tasks: 3, MaxTasksPerWorker: 1, LongRunning: true}}, func(b *bed) {
			b.mustStart("r-w0", "j.0.0.0", 1)
			b.mustStart("r-w1", "j.0.0.1", 1)
		}, 900 * time.Millisecond, ""},
		{"evacuated", []workload.Step{single}, func(b *bed) { b.Evacuated = func(string) bool { return true } }, 10 * time.Second, ""},
		{"not registered", []workload.Step{single}, func(b *bed) {
			for _, id := range b.IDs() {
				b.Deregister(b.Worker(id))
			}
		}, 10 * time.Second, ""},
		{"lasting task beside another one", []workload.Step{lasting}, func(b *bed) {
			b.mustStart("r-w0", "j.0.0.0", 1)
			b.mustStart("r-w1", "j.0.0.1", 1)
			b.Set("r-w1", func(w *site.Worker) { w.EndAll(engine.EndStopped) })
		}, 9500 * time.Millisecond, "j.0.0.1"},
		{"lasting task within the time", []workload.Step{lasting}, func(b *bed) {
			b.mustStart("r-w0", "j.0.0.0", 1)
			b.mustStart("r-w1", "j.0.0.1", 1)
			b.Set("r-w1", func(w *site.Worker) { w.EndAll(engine.EndStopped) })
		}, 8800 * time.Millisecond, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			var faults []string
			if c.waits != "" {
				faults = []string{"LOST: " + c.waits + " has nothing running"}
			}
			inVirtualTime(t, faults, func(b *bed) {
				for id, step := range map[string][]workload.Step{"j": c.steps, "k": {single}, "l": {{Tasks: 3, Need: accelerators(4)}}} {
					work := time.Second
					if id != "j" || step[0].LongRunning {
						work = time.Hour
					}
					b.SetJobProfile(site.JobProfile{
						Job: workload.Job{ID: id, Service: "s", Steps: step, MaxAttempts: 2}, Work: []time.Duration{work, work},
					})
				}
				b.RecordAccepted("j")
				// The site starts calm.
				time.Sleep(10 * time.Second)
				if c.play != nil {
					c.play(b)
				}
				for end := time.Now().Add(c.passes); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
					b.CheckWaiting()
				}
			})
		})
	}
}

// Guards against a job that is reported more than once, or that is judged by times before and after it had something running.
func TestCheckWaitingReportsJobOnce(t *testing.T) {
	inVirtualTime(t, []string{"LOST: j has nothing running"}, func(b *bed) {
		b.SetJobProfile(site.JobProfile{Job: workload.Job{ID: "j", Service: "s", Steps: []workload.Step{{Tasks: 2}}}, Work: []time.Duration{500 * time.Millisecond}})
		b.RecordAccepted("j")
		check := func(d time.Duration) {
			for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
				b.CheckWaiting()
			}
		}
		check(2 * time.Second)
		b.mustStart("r-w0", "j.0.0.0", 1)
		check(2 * time.Second)
		b.True(!strings.Contains(strings.Join(b.Faults(), ""), "LOST")) // 2 s, then 1.5 s
		check(20 * time.Second)
	})
}
