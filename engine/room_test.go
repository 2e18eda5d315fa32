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

const (
	// maxGuaranteedWait is how long urgent work within a guarantee may wait for all its tasks to begin.
	maxGuaranteedWait = 2900 * time.Millisecond
	// leavingNotice is how long workers that leave at short notice drain.
	leavingNotice = 1500 * time.Millisecond
)

// loadJob is a job of a load pattern.
type loadJob struct {
	workload.Job
	// at is when the job is submitted.
	at, work time.Duration
	// guaranteed jobs have to begin within maxGuaranteedWait.
	guaranteed bool
}

// loadPattern is a load that is replayed in virtual time on racks of 4 workers each.
type loadPattern struct {
	racks int
	jobs  []loadJob
	// leaving workers drain from leavingAt on, and are gone after leavingNotice.
	leaving   []string
	leavingAt time.Duration
	// maxRuns is how often a task may be started. Every job has to be completed within the limit after the last submission.
	maxRuns int
	limit   time.Duration
	// inTime is how many of the jobs that are not guaranteed have to meet their objectives.
	inTime int
}

// startLog records the starts that workers have confirmed.
type startLog struct {
	mu sync.Mutex
	// first is when each task first started, by its name; runs has the number of its last run.
	first map[string]time.Time
	runs  map[string]int
}

func (l *startLog) wrap(w engine.Workers) engine.Workers {
	start := w.Start
	w.Start = func(ctx context.Context, t engine.Target, o engine.StartOrder) (engine.WorkerStatus, error) {
		status, err := start(ctx, t, o)
		l.mu.Lock()
		defer l.mu.Unlock()
		if name := o.Task; err == nil {
			if _, known := l.first[name]; !known {
				l.first[name] = time.Now()
			}
			l.runs[name] = max(l.runs[name], o.Run)
		}
		return status, err
	}
	return w
}

// begun returns how many tasks of a job have started, and when the last of them did.
func (l *startLog) begun(job string) (n int, last time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for name, first := range l.first {
		if strings.HasPrefix(name, job+".") {
			n++
			if first.After(last) {
				last = first
			}
		}
	}
	return n, last
}

// leave lets the workers of the pattern leave at short notice, and closes the channel when they have left.
func (r *rig) leave(l loadPattern) <-chan struct{} {
	left := make(chan struct{})
	go func() {
		defer close(left)
		time.Sleep(l.leavingAt)
		for _, id := range l.leaving {
			r.Set(id, func(w *site.Worker) { w.Registration.Draining, w.Registration.DrainRemaining = true, leavingNotice })
			r.Register(r.Worker(id))
		}
		time.Sleep(leavingNotice)
		for _, id := range l.leaving {
			r.Set(id, func(w *site.Worker) { w.Dead = true })
			r.Deregister(r.Worker(id))
		}
	}()
	return left
}

// replay plays the pattern and checks what callers get.
func (r *rig) replay(l loadPattern) {
	for i := range l.racks {
		r.AddWorkers(fmt.Sprintf("r%d", i+1), 4)
	}
	starts := &startLog{first: map[string]time.Time{}, runs: map[string]int{}}
	r.wrapWorkers = starts.wrap
	p, stop := r.startPlanner("a")
	defer stop()
	time.Sleep(time.Second)
	from := time.Now()
	left := r.leave(l)
	submitted, done := map[string]time.Time{}, map[string]time.Time{}
	waiting := l.jobs
	for end := from.Add(l.limit); len(done) < len(l.jobs) && time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		for len(waiting) > 0 && time.Since(from) >= waiting[0].at {
			j := waiting[0]
			waiting = waiting[1:]
			r.SetTaskProfile(j.ID, j.Steps[0], j.work)
			r.Equal(p.Submit(context.Background(), j.Job).Verdict, engine.VerdictAccepted)
			submitted[j.ID] = time.Now()
		}
		for id := range submitted {
			if _, ended := done[id]; !ended && p.State(context.Background(), id).State == workload.StateCompleted {
				r.RecordCompleted(id)
				done[id] = time.Now()
			}
		}
	}
	<-left
	inTime, late, most := 0, []string{}, 0
	for _, j := range l.jobs {
		end, completed := done[j.ID]
		if !completed {
			r.t.Errorf("%s is not completed", j.ID)
		}
		if n, last := starts.begun(j.ID); j.guaranteed && (n < j.Steps[0].Tasks || last.Sub(submitted[j.ID]) > maxGuaranteedWait) {
			r.t.Errorf("%s has begun %d of %d tasks, the last after %s", j.ID, n, j.Steps[0].Tasks, last.Sub(submitted[j.ID]))
		}
		switch {
		case j.guaranteed:
		case completed && end.Sub(submitted[j.ID]) <= j.Objective:
			inTime++
		default:
			late = append(late, j.ID)
		}
	}
	for name, n := range starts.runs {
		most = max(most, n)
		if n > l.maxRuns {
			r.t.Errorf("%s was started %d times", name, n)
		}
	}
	r.t.Logf("%d in time, late %v, at most %d runs, %d groups preempted", inTime, late, most, p.Metrics.Get(metrics.GroupsPreempted))
	if inTime < l.inTime {
		r.t.Errorf("%d jobs are in time, want %d", inTime, l.inTime)
	}
}

// burst returns n jobs of the step, the first at the given time and the others with gaps between them.
func burst(name, organisation string, priority, n int, at, gap time.Duration, step workload.Step, work, objective time.Duration) []loadJob {
	step.Estimate = work
	var jobs []loadJob
	for i := range n {
		j := newJob(fmt.Sprintf("%s%d", name, i), priority, step)
		j.Organisation, j.Objective, j.MaxAttempts = organisation, objective, 0
		jobs = append(jobs, loadJob{Job: j, at: at + time.Duration(i)*gap, work: work, guaranteed: organisation == "org"})
	}
	return jobs
}

// merge returns the jobs of several bursts in the order of their submission.
func merge(bursts ...[]loadJob) []loadJob {
	var jobs []loadJob
	for _, b := range bursts {
		for _, j := range b {
			at := len(jobs)
			for at > 0 && jobs[at-1].at > j.at {
				at--
			}
			jobs = append(jobs[:at], append([]loadJob{j}, jobs[at:]...)...)
		}
	}
	return jobs
}

func dataIn(rack string, step workload.Step) workload.Step {
	step.DataRack = rack
	return step
}

// Guards against guarantees that are not met, jobs that starve and work that is started again and again, under the loads of a service with too
// little room. The organisation "org" has a guarantee of 16 accelerators and stays within it.
func TestTooLittleRoom(t *testing.T) {
	const s, ms = time.Second, time.Millisecond
	long := func(n int) []loadJob { return burst("long", "batch", 2, n, 0, 50*ms, gangStep(2, 8), 8*s, 40*s) }
	for name, l := range map[string]loadPattern{
		"urgent gangs over a full service": {
			racks: 4, maxRuns: 4, limit: 60 * s, inTime: 20,
			jobs: merge(long(8), burst("urgent", "spot", 0, 12, 2*s, 900*ms, gangStep(2, 8), 800*ms, 2*s),
				burst("owner", "org", 0, 6, 2500*ms, 1800*ms, gangStep(2, 8), 800*ms, 2*s)),
		},
		"wide low work": {
			racks: 4, maxRuns: 4, limit: 60 * s, inTime: 8,
			jobs: merge(burst("wide", "batch", 2, 4, 0, 100*ms, workload.Step{Tasks: 60, Need: singleTaskStep(1).Need}, 3*s, 30*s),
				burst("gang", "other", 1, 4, s, 500*ms, gangStep(4, 8), 3*s, 15*s),
				burst("owner", "org", 0, 5, 1500*ms, 1800*ms, gangStep(2, 8), 800*ms, 2*s)),
		},
		"one organisation with most of the demand": {
			racks: 4, maxRuns: 4, limit: 60 * s, inTime: 30,
			jobs: merge(burst("most", "spot", 0, 30, 0, 150*ms, gangStep(2, 8), 1500*ms, 3*s),
				burst("owner", "org", 0, 4, s, 2200*ms, gangStep(2, 8), 800*ms, 2*s)),
		},
		"demand that moves between failure domains": {
			racks: 4, maxRuns: 4, limit: 60 * s, inTime: 44,
			jobs: merge(burst("low", "batch", 2, 32, 0, 10*ms, singleTaskStep(4), 6*s, 30*s),
				burst("first", "spot", 0, 6, 2*s, 200*ms, dataIn("r1", singleTaskStep(8)), 700*ms, 2*s),
				burst("second", "spot", 0, 6, 5*s, 200*ms, dataIn("r2", singleTaskStep(8)), 700*ms, 2*s),
				burst("owner", "org", 0, 3, 3*s, 2*s, dataIn("r2", singleTaskStep(8)), 700*ms, 2*s)),
		},
		"workers leave at short notice": {
			racks: 4, maxRuns: 5, limit: 80 * s, inTime: 16, leaving: []string{"r1-w0", "r1-w1", "r2-w2", "r3-w3"}, leavingAt: 4 * s,
			jobs: merge(long(8), burst("urgent", "spot", 0, 8, 2*s, 900*ms, gangStep(2, 8), 800*ms, 2*s),
				burst("owner", "org", 0, 4, 3*s, 1800*ms, gangStep(2, 8), 800*ms, 2*s)),
		},
	} {
		t.Run(name, func(t *testing.T) {
			runInVirtualTime(t, func(r *rig) { r.replay(l) })
		})
	}
}
