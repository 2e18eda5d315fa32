package engine_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"clementinepier/engine"
	"clementinepier/metrics"
	"clementinepier/standin/site"
	"clementinepier/workload"
)

// loadDuration is how long BenchmarkPlannerLoad runs the planner for each number of workers.
const loadDuration = 10 * time.Second

// fastWorker simulates a worker that responds immediately: it ends each run as done after its work time, and responds to a
// poll when a run has ended.
type fastWorker struct {
	start time.Time

	mu      sync.Mutex
	running map[string]engine.RunStatus
	ends    []engine.RunEnd
	lastEnd int64
	changed chan struct{}
}

func (w *fastWorker) status() engine.WorkerStatus {
	return engine.WorkerStatus{Clock: engine.WorkerTime(time.Since(w.start)) + 1, Incarnation: 1}
}

func (w *fastWorker) endRun(task string, run int, reason engine.EndReason) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if r, ok := w.running[task]; !ok || r.Run != run {
		return
	}
	delete(w.running, task)
	w.lastEnd++
	w.ends = append(w.ends, engine.RunEnd{Number: w.lastEnd, Task: task, Run: run, Reason: reason})
	select {
	case w.changed <- struct{}{}:
	default:
	}
}

func (w *fastWorker) Start(o engine.StartOrder) engine.WorkerStatus {
	work, err := time.ParseDuration(o.Payload)
	if err != nil {
		panic(err)
	}
	w.mu.Lock()
	w.running[o.Task] = engine.RunStatus{Task: o.Task, Run: o.Run}
	w.mu.Unlock()
	time.AfterFunc(work, func() { w.endRun(o.Task, o.Run, engine.EndDone) })
	return w.status()
}

func (w *fastWorker) Poll(ctx context.Context, o engine.PollRequest) engine.PollResponse {
	deadline := time.After(o.Wait)
	for {
		w.mu.Lock()
		for len(w.ends) > 0 && w.ends[0].Number <= o.Acknowledged {
			w.ends = w.ends[1:]
		}
		ready := len(w.ends) > 0
		w.mu.Unlock()
		if ready || o.Wait == 0 {
			break
		}
		select {
		case <-w.changed:
			continue
		case <-deadline:
		case <-ctx.Done():
		}
		break
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	response := engine.PollResponse{WorkerStatus: w.status(), Ends: append([]engine.RunEnd(nil), w.ends...)}
	for _, r := range w.running {
		r.Percent = int(time.Now().UnixMilli()/400) % 100
		response.Running = append(response.Running, r)
	}
	return response
}

// generateLoad submits jobs with the mix of the largest deployment, until ctx ends. Scale is relative to that deployment's
// load. It records the time until acceptance of each accepted job.
func generateLoad(ctx context.Context, p *engine.Planner, scale float64, accepted *sync.Map) {
	classes := []struct {
		perSecond, width       float64
		priority, gang         int
		cpu, memory            int64
		work                   time.Duration
		maxTasks, accelerators int
	}{
		{2.34, 26, 1, 1, 13000, 38000, 11 * time.Second, 160, 8},
		{16.7, 7.6, 0, 1, 3700, 15000, 2500 * time.Millisecond, 46, 8},
		{2.3, 78, 2, 0, 2800, 11000, 9500 * time.Millisecond, 470, 1},
	}
	var n int
	for _, c := range classes {
		n++
		class := n
		go func() {
			random := rand.New(rand.NewPCG(1, uint64(class))) //nolint:gosec // generates load, no secrets
			for i := 0; ctx.Err() == nil; i++ {
				time.Sleep(time.Duration(random.ExpFloat64() / (c.perSecond * scale) * float64(time.Second)))
				need := workload.Resources{MilliCPU: c.cpu, MemoryMB: c.memory, Accelerators: 1}
				if c.accelerators > 1 {
					need.Accelerators = []int64{1, 2, 4, 8, 8}[random.IntN(5)]
				}
				step := workload.Step{
					Tasks: max(1, min(c.maxTasks, int(c.width*(0.2+1.6*random.Float64())))), Need: need, Estimate: c.work,
					Gang: c.gang == 1, SameRack: c.gang == 1 && random.Float64() < 0.7, Checkpoints: random.Float64() < 0.45,
				}
				if float64(step.Tasks)*float64(need.Accelerators) > 400 {
					step.SameRack = false
				}
				id := fmt.Sprintf("%d-%d", class, i)
				job := workload.Job{
					ID: id, Queue: "q", Service: "s", Organisation: fmt.Sprintf("org%d", random.IntN(24)), Payload: c.work.String(),
					Steps: []workload.Step{step}, Priority: c.priority, MaxAttempts: 3, Objective: 3 * c.work, Accepted: time.Now(),
				}
				go func() {
					start := time.Now()
					if p.Submit(ctx, job).Verdict == engine.VerdictAccepted {
						accepted.Store(id, time.Since(start))
					}
				}()
			}
		}()
	}
}

// BenchmarkPlannerLoad measures the processor time of a planner with simulated workers that respond immediately, without a
// network. The load per worker is that of the largest deployment.
func BenchmarkPlannerLoad(b *testing.B) {
	for _, workers := range []int{350, 1100, 3000} {
		b.Run(strconv.Itoa(workers), func(b *testing.B) {
			for b.Loop() {
				runLoad(b, workers)
			}
		})
	}
}

func runLoad(b *testing.B, count int) {
	store := site.NewStore()
	workers := map[string]*fastWorker{}
	for i := range count {
		id := fmt.Sprintf("w%04d", i)
		workers[id] = &fastWorker{start: time.Now(), running: map[string]engine.RunStatus{}, changed: make(chan struct{}, 1)}
		store.Write(site.RegistrationPrefix+id, []byte(id))
	}
	conf := (&engine.Configuration{Version: 1, Queues: []engine.Queue{{Name: "q", Service: "s"}}}).Index()
	for i := range 24 {
		conf.Organisations = append(conf.Organisations, engine.Organisation{Name: fmt.Sprintf("org%d", i), Guaranteed: 180})
	}
	conf.Index()
	clock := clockwork.NewRealClock()
	ctx, cancel := context.WithCancel(context.Background())
	term, err := engine.Claim(ctx, store.Engine(), clock, engine.Holder{VM: "a"}, time.Minute)
	if err != nil {
		b.Fatal(err)
	}
	p := &engine.Planner{
		Clock: clock, TimeOfDay: time.Now, Store: store.Engine(), Term: term,
		Workers: engine.Workers{
			Start: func(_ context.Context, target engine.Target, o engine.StartOrder) (engine.WorkerStatus, error) {
				return workers[target.ID].Start(o), nil
			},
			Stop: func(_ context.Context, target engine.Target, o engine.StopOrder) (engine.WorkerStatus, error) {
				workers[target.ID].endRun(o.Task, o.Run, engine.EndStopped)
				return workers[target.ID].status(), nil
			},
			Poll: func(ctx context.Context, target engine.Target, o engine.PollRequest) (engine.PollResponse, error) {
				return workers[target.ID].Poll(ctx, o), nil
			},
		},
		Bounds:        engine.Bounds{MaxLease: maxLease, StopGrace: stopGrace, GangTimeout: gangTimeout, Retention: 2 * time.Minute},
		Configuration: func() *engine.Configuration { return conf }, RegistrationPrefix: site.RegistrationPrefix, Metrics: &metrics.Set{},
		DecodeRegistration: func(key string, _ []byte) (engine.Registration, error) {
			id := strings.TrimPrefix(key, site.RegistrationPrefix)
			return engine.Registration{
				ID: id, Address: id, Service: "s", FailureDomain: "z", Rack: id[:len(id)-1],
				Capacity: workload.Resources{MilliCPU: 32000, MemoryMB: 128 << 10, Accelerators: 8}, Incarnation: 1,
			}, nil
		},
	}
	renewed := term.Run(ctx, nil, p.Stalled)
	ended, err := p.Run(ctx)
	if err != nil {
		b.Fatal(err)
	}
	<-p.Ready()
	var accepted sync.Map
	start, used := time.Now(), cpuTime(b)
	generateLoad(ctx, p, float64(count)/1100, &accepted)
	time.Sleep(loadDuration)
	cores := (cpuTime(b) - used).Seconds() / time.Since(start).Seconds()
	var jobs int
	var longest time.Duration
	accepted.Range(func(_, took any) bool {
		jobs++
		longest = max(longest, took.(time.Duration))
		return true
	})
	b.ReportMetric(cores, "cores")
	b.ReportMetric(float64(jobs), "jobs")
	b.ReportMetric(longest.Seconds(), "slowest-acceptance-s")
	cancel()
	for _, end := range []<-chan error{renewed, ended} {
		if err := <-end; err != nil {
			b.Log(err)
		}
	}
}

// cpuTime returns the processor time that the process has used.
func cpuTime(b *testing.B) time.Duration {
	b.Helper()
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		b.Fatal(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
