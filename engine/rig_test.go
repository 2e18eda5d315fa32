package engine_test

import (
	"context"
	"encoding/json"
	"flag"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"clementinepier/engine"
	"clementinepier/eventlog"
	"clementinepier/metrics"
	"clementinepier/standin/site"
	"clementinepier/workload"
)

const (
	maxLease    = 10 * time.Second
	stopGrace   = 400 * time.Millisecond
	gangTimeout = 3 * time.Second
	// waitingCheckInterval is how often the site looks for jobs that wait although they could run.
	waitingCheckInterval = 100 * time.Millisecond
)

// logEvents writes the planners' event logs to the standard error stream, with virtual times.
var logEvents = flag.Bool("log-events", false, "write the planners' event logs")

// rig has a simulated site of workers and a store, for planners that run in virtual time (see testing/synctest).
type rig struct {
	*is.I
	*site.Site
	t    *testing.T
	conf *engine.Configuration
	// changedConf, if set, is the configuration instead of conf, for tests that change it while planners run.
	changedConf atomic.Pointer[engine.Configuration]
	// registrations overrides workers' registrations in the store by worker ID, to simulate outdated ones.
	registrations map[string]engine.Registration
	// decodeRegistration, if set, decodes workers' registrations; otherwise a registration is read as what it would be now.
	decodeRegistration func(value []byte) (engine.Registration, error)
	// onConfiguration, if set, is called on a planner's control goroutine with the planner's name whenever it reads the
	// configuration.
	onConfiguration func(name string)
	// jobMemory bounds the memory for jobs in bytes of planners that are started afterwards; 0 means no bound.
	jobMemory int64
	// timeOfDay, if set, is the time of day of the planner with the given name.
	timeOfDay func(name string) time.Time
	// wrapStore, if set, changes the calls to the store of the planner with the given name.
	wrapStore func(name string, s engine.Store) engine.Store
	// wrapWorkers, if set, changes the calls to workers of the planners that are started afterwards.
	wrapWorkers func(engine.Workers) engine.Workers
}

// runInVirtualTime runs a test in virtual time and reports the rule violations that the site has observed.
func runInVirtualTime(t *testing.T, f func(r *rig)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		r := &rig{I: is.New(t), Site: site.New(), t: t}
		r.conf = (&engine.Configuration{
			Version:       1,
			Queues:        []engine.Queue{{Name: "q", Service: "s", MaxAttempts: 3}},
			Organisations: []engine.Organisation{{Name: "org", Guaranteed: 16}},
		}).Index()
		r.MaxLease, r.GangTimeout = maxLease, gangTimeout
		r.Evacuated = func(domain string) bool { return r.conf.Evacuated[domain] }
		defer func() {
			for _, fault := range r.Faults() {
				t.Error(fault)
			}
		}()
		f(r)
	})
}

// storeEntries makes planners read the registrations that workers have written to the store, instead of what these would be now. Call it
// before workers are added.
func (r *rig) storeEntries() {
	r.EncodeRegistration = func(a engine.Registration) []byte {
		value, err := json.Marshal(a)
		r.NoErr(err)
		return value
	}
	r.decodeRegistration = func(value []byte) (a engine.Registration, err error) {
		err = json.Unmarshal(value, &a)
		return a, err
	}
}

// startPlanner starts a planner and returns it with a function that stops it.
func (r *rig) startPlanner(name string) (*engine.Planner, func()) {
	clock := clockwork.NewRealClock()
	ctx, cancel := context.WithCancel(context.Background())
	store := r.Store.Engine()
	if r.wrapStore != nil {
		store = r.wrapStore(name, store)
	}
	var term *engine.Term
	for term == nil {
		var err error
		term, err = engine.Claim(ctx, store, clock, engine.Holder{VM: name, Boot: name}, engine.TermLength)
		if err != nil || term == nil {
			time.Sleep(100 * time.Millisecond)
		}
	}
	workers := engine.Workers{Start: r.Start, Stop: r.Stop, Poll: r.Poll}
	if r.wrapWorkers != nil {
		workers = r.wrapWorkers(workers)
	}
	p := r.newPlanner(name, term, store, workers)
	renewed := term.Run(ctx, p.Log, p.Stalled)
	planned, err := p.Run(ctx)
	r.NoErr(err)
	<-p.Ready()
	return p, func() {
		cancel()
		if err := <-renewed; err != nil {
			r.t.Log("term:", err)
		}
		if err := <-planned; err != nil {
			r.t.Log("planner:", err)
		}
	}
}

// newPlanner returns a planner that does not run yet.
func (r *rig) newPlanner(name string, term *engine.Term, store engine.Store, workers engine.Workers) *engine.Planner {
	clock := clockwork.NewRealClock()
	p := &engine.Planner{
		Clock: clock, TimeOfDay: time.Now, Store: store, Workers: workers,
		Bounds: engine.Bounds{
			MaxLease: maxLease, StopGrace: stopGrace, GangTimeout: gangTimeout, Retention: 2 * time.Minute,
		},
		JobMemory: r.jobMemory,
		Term:      term, Configuration: func() *engine.Configuration { return r.configurationFor(name) }, RegistrationPrefix: site.RegistrationPrefix, Metrics: &metrics.Set{},
		DecodeRegistration: func(key string, value []byte) (engine.Registration, error) {
			if r.decodeRegistration != nil {
				return r.decodeRegistration(value)
			}
			id := strings.TrimPrefix(key, site.RegistrationPrefix)
			if registration, ok := r.registrations[id]; ok {
				return registration, nil
			}
			return r.Worker(id).Registration, nil
		},
	}
	if r.timeOfDay != nil {
		p.TimeOfDay = func() time.Time { return r.timeOfDay(name) }
	}
	if *logEvents {
		p.Log = &eventlog.Log{Clock: clock, Budget: 10000}
	}
	return p
}

// beforeStart calls f with a worker when the first order to start a task of the job is about to reach it. It applies to planners that are
// started afterwards.
func (r *rig) beforeStart(job string, f func(w *site.Worker)) {
	var mu sync.Mutex
	called := map[string]bool{}
	r.wrapWorkers = func(w engine.Workers) engine.Workers {
		start := w.Start
		w.Start = func(ctx context.Context, t engine.Target, o engine.StartOrder) (engine.WorkerStatus, error) {
			mu.Lock()
			first := o.Payload == job && !called[t.ID]
			called[t.ID] = called[t.ID] || first
			mu.Unlock()
			if first {
				r.Set(t.ID, f)
			}
			return start(ctx, t, o)
		}
		return w
	}
}

func (r *rig) configurationFor(name string) *engine.Configuration {
	if r.onConfiguration != nil {
		r.onConfiguration(name)
	}
	if conf := r.changedConf.Load(); conf != nil {
		return conf
	}
	return r.conf
}

// startWithWorkers adds a rack r1 with n workers and starts a planner.
func (r *rig) startWithWorkers(n int) (*engine.Planner, func()) {
	r.AddWorkers("r1", n)
	return r.startPlanner("a")
}

// mustSubmit submits a job with one step and requires that it is accepted.
func (r *rig) mustSubmit(p *engine.Planner, id string, priority int, step workload.Step, work time.Duration) {
	r.t.Helper()
	r.SetTaskProfile(id, step, work)
	result := p.Submit(context.Background(), newJob(id, priority, step))
	r.Equal(result.Verdict, engine.VerdictAccepted)
}

func newJob(id string, priority int, step workload.Step) workload.Job {
	return workload.Job{
		ID: id, Queue: "q", Service: "s", Organisation: "org", Payload: id, Steps: []workload.Step{step}, Priority: priority, MaxAttempts: 3,
		Objective: 30 * time.Second, Accepted: time.Now(),
	}
}

// waitForState waits until a job has the state, and fails the test after the time limit.
func (r *rig) waitForState(p *engine.Planner, id string, state workload.State, limit time.Duration) {
	r.t.Helper()
	end := time.Now().Add(limit)
	var last workload.State
	for time.Now().Before(end) {
		last = p.State(context.Background(), id).State
		if last == workload.StateCompleted {
			r.RecordCompleted(id)
		}
		if last == state {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	r.t.Fatalf("job %s is %s, not %s, after %s", id, last, state, limit)
}

// watchWaiting checks all the time for jobs that have nothing running although they could, and returns a function that ends that.
func (r *rig) watchWaiting() func() {
	over, ended := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(ended)
		for {
			select {
			case <-over:
				return
			case <-time.After(waitingCheckInterval):
				r.CheckWaiting()
			}
		}
	}()
	return func() {
		close(over)
		<-ended
	}
}

func singleTaskStep(accelerators int64) workload.Step {
	return workload.Step{Tasks: 1, Need: workload.Resources{MilliCPU: 1000, MemoryMB: 100, Accelerators: accelerators}, Estimate: time.Second}
}

func gangStep(n int, accelerators int64) workload.Step {
	s := singleTaskStep(accelerators)
	s.Tasks, s.Gang = n, true
	return s
}
