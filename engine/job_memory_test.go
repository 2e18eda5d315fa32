package engine_test

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"clementinepier/engine"
	"clementinepier/metrics"
	"clementinepier/standin/site"
	"clementinepier/workload"
)

// Guards against a planner that keeps whatever callers send, against an organisation that leaves others no room, and against room that does not come
// back when jobs end.
func TestJobsBeyondMemoryAreRefused(t *testing.T) {
	runInVirtualTime(t, func(r *rig) {
		r.conf = (&engine.Configuration{
			Version: 1, Queues: []engine.Queue{{Name: "q", Service: "s", MaxAttempts: 3}},
			Organisations: []engine.Organisation{{Name: "org"}, {Name: "other"}},
		}).Index()
		r.jobMemory = 1 << 20
		p, stop := r.startWithWorkers(1)
		defer stop()
		submit := func(organisation string, i int) engine.Result {
			id := fmt.Sprintf("%s-%d", organisation, i)
			r.SetTaskProfile(id, singleTaskStep(1), time.Second)
			job := newJob(id, 0, singleTaskStep(1))
			job.Organisation = organisation
			return p.Submit(context.Background(), job)
		}
		accepted := 0
		var refused engine.Result
		for i := range 1000 {
			result := submit("org", i)
			if result.Verdict != engine.VerdictAccepted {
				refused = result
				break
			}
			accepted++
		}
		r.Equal(refused.Verdict, engine.VerdictRefused)
		r.True(refused.RetryAfter >= time.Second && refused.RetryAfter <= time.Minute)
		r.True(accepted > 100)
		// A job that is stored already is not refused.
		r.Equal(submit("org", 0).Verdict, engine.VerdictAccepted)
		r.Equal(p.State(context.Background(), fmt.Sprintf("org-%d", accepted)).Verdict, engine.VerdictAbsent)
		r.Equal(submit("other", 0).Verdict, engine.VerdictAccepted)
		for i := range accepted {
			r.waitForState(p, fmt.Sprintf("org-%d", i), workload.StateCompleted, 10*time.Minute)
		}
		time.Sleep(time.Minute)
		r.Equal(submit("org", 2000).Verdict, engine.VerdictAccepted)
		// Of the ended jobs only the states are kept.
		r.waitForState(p, fmt.Sprintf("org-%d", accepted-1), workload.StateCompleted, time.Second)
		r.Equal(submit("org", accepted-1).State, workload.StateCompleted)
		r.Equal(p.Cancel(context.Background(), fmt.Sprintf("org-%d", accepted-1)).State, workload.StateCompleted)
		r.Equal(p.Explain(context.Background(), engine.ExplainRequest{ID: fmt.Sprintf("org-%d", accepted-1)}).Explanation.Course, engine.CourseEnded)
		time.Sleep(10 * time.Minute)
		r.Equal(p.State(context.Background(), fmt.Sprintf("org-%d", accepted-1)).Verdict, engine.VerdictAbsent)
	})
}

// Guards against a successor that reads more jobs than its memory allows, and against jobs that are lost, doubled or forgotten because they are left
// in the store.
func TestSuccessorWithLessMemoryLeavesJobsInTheStore(t *testing.T) {
	runInVirtualTime(t, func(r *rig) {
		const jobs = 300
		p, stop := r.startWithWorkers(1)
		for i := range jobs {
			r.mustSubmit(p, fmt.Sprintf("j%d", i), i%2, singleTaskStep(1), time.Second)
		}
		stop()
		r.jobMemory = 700 << 10
		b, stopB := r.startPlanner("b")
		defer stopB()
		unloaded, cancelled := 0, 0
		for i := range jobs {
			id := fmt.Sprintf("j%d", i)
			result := b.Explain(context.Background(), engine.ExplainRequest{ID: id})
			r.Equal(result.Verdict, engine.VerdictAccepted)
			if result.Explanation.Course != engine.CourseUnloaded {
				continue
			}
			r.Equal(i%2, 1) // The more urgent ones are loaded.
			if unloaded++; cancelled < 5 {
				cancelled++
				r.Equal(b.Cancel(context.Background(), id).State, workload.StateCancelled)
				r.Equal(b.State(context.Background(), id).State, workload.StateCancelled)
			}
		}
		r.True(unloaded > 100)
		time.Sleep(1200 * time.Millisecond)
		loaded := b.Metrics.Get(metrics.JobMemory)
		r.True(loaded > 0 && loaded <= r.jobMemory)
		waiting := b.Waiting(context.Background(), "q").Waiting
		r.True(waiting > unloaded)
		// Jobs that wait in the store count for whether there is room.
		r.Equal(b.Submit(context.Background(), newJob("new", 0, singleTaskStep(1))).Verdict, engine.VerdictRefused)
		r.Equal(b.Submit(context.Background(), newJob("j299", 1, singleTaskStep(1))).State, workload.StateQueued)
		completed := 0
		for i := range jobs {
			id := fmt.Sprintf("j%d", i)
			for end := time.Now().Add(20 * time.Minute); ; time.Sleep(100 * time.Millisecond) {
				state := b.State(context.Background(), id).State
				if state == workload.StateCompleted {
					completed++
					r.RecordCompleted(id)
				}
				if state.Ended() {
					break
				}
				if time.Now().After(end) {
					t.Fatalf("%s is %s", id, state)
				}
			}
		}
		r.Equal(completed, jobs-cancelled)
		time.Sleep(time.Minute)
		r.Equal(b.Metrics.Get(metrics.JobsUnloaded), int64(0))
		r.Equal(b.Submit(context.Background(), newJob("new", 0, singleTaskStep(1))).Verdict, engine.VerdictAccepted)
	})
}

// Guards against a successor that keeps all jobs that have begun, since each of many can have begun and wait for its second step.
func TestSuccessorLeavesBegunJobsInTheStore(t *testing.T) {
	runInVirtualTime(t, func(r *rig) {
		const jobs = 100
		first, second := singleTaskStep(0), singleTaskStep(1)
		first.Need.MilliCPU, second.After = 10, []int{0}
		p, stop := r.startWithWorkers(1)
		for i := range jobs {
			job := newJob(fmt.Sprintf("j%d", i), 1, first)
			job.Steps = append(job.Steps, second)
			r.SetJobProfile(site.JobProfile{Job: job, Work: []time.Duration{10 * time.Millisecond, 20 * time.Second}})
			r.Equal(p.Submit(context.Background(), job).Verdict, engine.VerdictAccepted)
		}
		time.Sleep(10 * time.Second)
		r.Equal(p.Waiting(context.Background(), "q").Waiting, 0)
		stop()
		r.jobMemory = 200 << 10
		b, stopB := r.startPlanner("b")
		defer stopB()
		r.Equal(b.Waiting(context.Background(), "q").Waiting, 0)
		unloaded := 0
		for i := range jobs {
			if result := b.Explain(context.Background(), engine.ExplainRequest{ID: fmt.Sprintf("j%d", i)}); result.Explanation.Course == engine.CourseUnloaded {
				unloaded++
				r.Equal(result.State, workload.StateRunning)
			}
		}
		r.True(unloaded > jobs/3)
		for i := range jobs {
			r.waitForState(b, fmt.Sprintf("j%d", i), workload.StateCompleted, 20*time.Minute)
		}
	})
}

// Guards against payloads of ended jobs that a planner keeps, or that a successor with less memory takes over.
func TestPayloadsOfEndedJobsAreNotKept(t *testing.T) {
	runInVirtualTime(t, func(r *rig) {
		r.jobMemory = 64 << 20
		p, stop := r.startWithWorkers(1)
		const jobs, size = 30, 100 << 10
		for i := range jobs {
			job := newJob(fmt.Sprintf("j%d", i), 0, singleTaskStep(1))
			job.Payload = strings.Repeat("x", size)
			r.SetJobProfile(site.JobProfile{Job: job, Work: []time.Duration{5 * time.Second}})
			r.Equal(p.Submit(context.Background(), job).Verdict, engine.VerdictAccepted)
		}
		time.Sleep(1200 * time.Millisecond)
		r.True(p.Metrics.Get(metrics.JobMemory) > jobs*size/2)
		for i := range jobs {
			r.waitForState(p, fmt.Sprintf("j%d", i), workload.StateCompleted, time.Minute)
		}
		time.Sleep(1500 * time.Millisecond)
		r.True(p.Metrics.Get(metrics.JobMemory) < 2*size)
		stop()
		r.jobMemory = 1 << 20
		b, stopB := r.startPlanner("b")
		defer stopB()
		time.Sleep(1200 * time.Millisecond)
		r.True(b.Metrics.Get(metrics.JobMemory) < 2*size)
		for i := range jobs {
			r.waitForState(b, fmt.Sprintf("j%d", i), workload.StateCompleted, time.Second)
		}
	})
}

// Guards against jobs that are lost or read twice because the store stops answering in the middle of a listing.
func TestListingOfJobsContinuesAfterFailure(t *testing.T) {
	runInVirtualTime(t, func(r *rig) {
		const jobs = 40
		p, stop := r.startWithWorkers(1)
		for i := range jobs {
			r.mustSubmit(p, fmt.Sprintf("j%02d", i), 0, singleTaskStep(1), 5*time.Second)
		}
		stop()
		failures := 0
		r.wrapStore = func(_ string, s engine.Store) engine.Store {
			scan := s.Scan
			s.Scan = func(ctx context.Context, prefix, after string, each func(engine.Item)) (bool, error) {
				passed, full := 0, false
				more, err := scan(ctx, prefix, after, func(i engine.Item) {
					// Each page breaks off after three items.
					if passed++; passed > 3 {
						full = true
						return
					}
					each(i)
				})
				if full {
					failures++
					return false, &engine.ErrUnanswered{Cause: context.DeadlineExceeded}
				}
				return more, err
			}
			return s
		}
		b, stopB := r.startPlanner("b")
		defer stopB()
		r.True(failures >= jobs/3)
		for i := range jobs {
			r.waitForState(b, fmt.Sprintf("j%02d", i), workload.StateCompleted, 10*time.Minute)
		}
	})
}

// Guards against a job that another entry VM stored while the planner has no room, and against one that cannot be read again.
func TestMarkedJobsAreLeftInTheStoreWithoutRoom(t *testing.T) {
	runInVirtualTime(t, func(r *rig) {
		r.jobMemory = 200 << 10
		var mu sync.Mutex
		lost := map[string]bool{}
		r.wrapStore = func(_ string, s engine.Store) engine.Store {
			get := s.Get
			s.Get = func(ctx context.Context, key string) (engine.Item, error) {
				mu.Lock()
				first := !lost[key]
				lost[key] = true
				mu.Unlock()
				if first {
					return engine.Item{}, &engine.ErrUnanswered{Cause: context.DeadlineExceeded}
				}
				return get(ctx, key)
			}
			return s
		}
		p, stop := r.startWithWorkers(1)
		defer stop()
		direct := &engine.DirectClient{Store: r.Store.Engine()}
		const jobs = 100
		for i := range jobs {
			id := fmt.Sprintf("j%d", i)
			r.SetTaskProfile(id, singleTaskStep(1), time.Second)
			r.Equal(direct.Submit(context.Background(), newJob(id, 0, singleTaskStep(1))).Verdict, engine.VerdictAccepted)
		}
		time.Sleep(5 * time.Second)
		r.True(p.Metrics.Get(metrics.JobsUnloaded) > 0)
		for i := range jobs {
			r.waitForState(p, fmt.Sprintf("j%d", i), workload.StateCompleted, 10*time.Minute)
		}
	})
}
