package site_test

import (
	"testing"
	"time"

	"clementinepier/engine"
	"clementinepier/standin/site"
	"clementinepier/workload"
)

// Guards against waiting work that the site does not see, and against work that it takes for waiting although it runs, has ended, has
// to wait for another step or has no room twice over. The site has three workers of 8 accelerators in the rack r.
func TestWaiting(t *testing.T) {
	accelerators := func(n int64) workload.Resources { return workload.Resources{Accelerators: n} }
	after := workload.Step{Tasks: 1, After: []int{0}}
	for _, c := range []struct {
		name  string
		steps []workload.Step
		play  func(b *bed)
		// units are the units that wait.
		units []string
	}{
		{"first step of two", []workload.Step{{Tasks: 2}, after}, nil, []string{"j.0.0.0", "j.0.0.1"}},
		{"first step done", []workload.Step{{Tasks: 1}, after}, func(b *bed) {
			b.mustStart("r-w0", "j.0.0.0", 1)
			time.Sleep(time.Second)
		}, []string{"j.0.1.0"}},
		{"all steps done", []workload.Step{{Tasks: 1}}, func(b *bed) {
			b.mustStart("r-w0", "j.0.0.0", 1)
			time.Sleep(time.Second)
		}, nil},
		{"another task of the job runs", []workload.Step{{Tasks: 2}}, func(b *bed) { b.mustStart("r-w0", "j.0.0.0", 1) }, nil},
		{"out of attempts", []workload.Step{{Tasks: 2}}, func(b *bed) {
			for run := range 2 {
				b.mustStart("r-w0", "j.0.0.0", run+1)
				b.Set("r-w0", func(w *site.Worker) { w.EndAll(engine.EndFailed) })
			}
		}, nil},
		{"an attempt left", []workload.Step{{Tasks: 1}}, func(b *bed) {
			b.mustStart("r-w0", "j.0.0.0", 1)
			b.Set("r-w0", func(w *site.Worker) { w.EndAll(engine.EndFailed) })
		}, []string{"j.0.0.0"}},
		{"worker of its run lost", []workload.Step{{Tasks: 1}}, func(b *bed) {
			b.mustStart("r-w0", "j.0.0.0", 1)
			b.Set("r-w0", func(w *site.Worker) { w.Dead = true })
		}, []string{"j.0.0.0"}},
		{"run on a worker that cannot be reached", []workload.Step{{Tasks: 1}}, func(b *bed) {
			b.mustStart("r-w0", "j.0.0.0", 1)
			b.Set("r-w0", func(w *site.Worker) { w.Silent = true })
		}, nil},
		{"room twice", []workload.Step{{Tasks: 3, Gang: true, Need: accelerators(4)}}, nil, []string{"j.0.0"}},
		{"room once", []workload.Step{{Tasks: 4, Gang: true, Need: accelerators(4)}}, nil, nil},
		{"room once beside another job", []workload.Step{{Tasks: 3, Gang: true, Need: accelerators(4)}}, func(b *bed) { b.mustStart("r-w0", "k.0.0.0", 1) }, nil},
		{"room once on workers in touch", []workload.Step{{Tasks: 3, Gang: true, Need: accelerators(4)}}, func(b *bed) {
			b.Set("r-w1", func(w *site.Worker) { w.LosePolls = true })
		}, nil},
		{"room once on registered workers", []workload.Step{{Tasks: 3, Gang: true, Need: accelerators(4)}}, func(b *bed) { b.Deregister(b.Worker("r-w2")) }, nil},
		{"room once on workers that do not drain", []workload.Step{{Tasks: 3, Gang: true, Need: accelerators(4)}}, func(b *bed) {
			b.Set("r-w2", func(w *site.Worker) { w.StartDraining(time.Minute) })
			b.Register(b.Worker("r-w2"))
		}, nil},
		{"limit on a worker", []workload.Step{{Tasks: 2, Gang: true, MaxTasksPerWorker: 1}}, nil, nil},
		{"limit on a worker that leaves room", []workload.Step{{Tasks: 3, Gang: true, MaxTasksPerWorker: 2}}, nil, []string{"j.0.0"}},
		{"label that no worker has", []workload.Step{{Tasks: 1, Label: "b"}}, nil, nil},
		{"label of all workers", []workload.Step{{Tasks: 1, Label: "a"}}, nil, []string{"j.0.0.0"}},
		{"data in another rack", []workload.Step{{Tasks: 1, DataRack: "r2"}}, nil, []string{"j.0.0.0"}},
		{"gang in one rack", []workload.Step{{Tasks: 2, Gang: true, SameRack: true, Need: accelerators(4)}}, nil, []string{"j.0.0"}},
		{"gang that two racks have room for", []workload.Step{{Tasks: 3, Gang: true, SameRack: true, Need: accelerators(8)}}, func(b *bed) { b.AddWorkers("r2", 3) }, []string{"j.0.0"}},
		{"gang that one of two racks has room for", []workload.Step{{Tasks: 3, Gang: true, SameRack: true, Need: accelerators(8)}}, func(b *bed) { b.AddWorkers("r2", 2) }, nil},
		{"gang that may use two racks", []workload.Step{{Tasks: 3, Gang: true, Need: accelerators(8)}}, func(b *bed) { b.AddWorkers("r2", 3) }, []string{"j.0.0"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			inVirtualTime(t, nil, func(b *bed) {
				b.SetTaskProfile("k", workload.Step{Tasks: 1, Need: accelerators(4)}, time.Hour)
				work := make([]time.Duration, len(c.steps))
				for i := range work {
					work[i] = time.Second
				}
				b.SetJobProfile(site.JobProfile{Job: workload.Job{ID: "j", Steps: c.steps, MaxAttempts: 2}, Work: work})
				if c.play != nil {
					c.play(b)
				}
				var units []string
				for _, u := range b.Waiting([]string{"j", "unknown"}).Units {
					units = append(units, u.Unit)
				}
				b.Equal(units, c.units)
			})
		})
	}
}

// Guards against a run between two looks at the site that the second one does not tell, and against a wrong capacity in use.
func TestWaitingSinceLastRun(t *testing.T) {
	inVirtualTime(t, nil, func(b *bed) {
		step := workload.Step{Tasks: 1, Need: workload.Resources{Accelerators: 2}}
		b.SetTaskProfile("j", step, time.Second)
		b.SetTaskProfile("k", step, time.Hour)
		b.mustStart("r-w1", "k.0.0.0", 1)
		b.True(b.Waiting([]string{"j"}).Units[0].IdleSince.IsZero())
		b.mustStart("r-w0", "j.0.0.0", 1)
		time.Sleep(500 * time.Millisecond)
		b.Set("r-w0", func(w *site.Worker) { w.EndAll(engine.EndFailed) })
		ended := time.Now()
		time.Sleep(time.Second)
		found := b.Waiting([]string{"j"})
		b.Equal(found.Units, []site.WaitingUnit{{Job: "j", Unit: "j.0.0.0", IdleSince: ended, Runs: 1}})
		b.Equal(found.Used.Accelerators, int64(2))
		b.Equal(found.Capacity.Accelerators, int64(24))
	})
}
