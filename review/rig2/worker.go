package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	maxLease  = 6 * time.Second
	heartbeat = 1500 * time.Millisecond
	// stopTime is how long a stop takes; StopGraceMs is 900.
	stopTime = 300 * time.Millisecond
)

// startOrder is an order to start a run.
type startOrder struct {
	task, spec     string
	number         int
	untilMs, fence int64
}

// taskRun is a run of a task at a worker.
type taskRun struct {
	number  int
	started time.Time
	work    time.Duration
	stopsAt time.Time
	// lasts means that the run has no end of its own but a failure, which comes at failsAt unless that is zero.
	lasts   bool
	failsAt time.Time
}

// lastingSpec is the text of tasks that last.
const lastingSpec = "lasts"

// percent returns the run's progress.
func (r *taskRun) percent() int {
	if r.lasts {
		return 100
	}
	return min(100, int(100*time.Since(r.started)/r.work))
}

// worker is a stand-in for a worker. Its process may end and start again under the same id.
type worker struct {
	id, zone, rack string
	listener       net.Listener
	store          *store
	record         *record
	// work is how long a task takes. The first run of a task fails after firstRunFailsAfter, unless that is 0.
	work, firstRunFailsAfter time.Duration

	mu sync.Mutex
	// up is set while the process of the worker runs, and cut while no call of the system reaches it.
	up, cut bool
	// kind is its first label; gpus are its accelerators.
	kind string
	gpus int
	// registered is set while the worker writes its entry.
	registered bool
	state      string
	// onStart is called for each start order before it is carried out; it returns false if the order is not, and gets no answer.
	onStart  func(o startOrder) bool
	born     time.Time
	fence    int64
	until    time.Time
	runs     map[string]*taskRun
	highest  map[string]int
	ends     [][]any
	endCount int64
	changed  chan struct{}
}

// newWorker returns a worker that listens on a loopback address.
func newWorker(id, zone, rack string, s *store, r *record) (*worker, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w := &worker{id: id, zone: zone, rack: rack, listener: listener, store: s, record: r, work: time.Second, kind: "a", gpus: 8, state: "ready", changed: make(chan struct{})}
	go func() { _ = http.Serve(listener, w) }()
	go func() {
		for range time.Tick(20 * time.Millisecond) {
			w.mu.Lock()
			w.advance()
			w.mu.Unlock()
		}
	}()
	go func() {
		// The workers do not write at the same time.
		time.Sleep(rand.N(heartbeat))
		for range time.Tick(heartbeat) {
			w.mu.Lock()
			w.beat()
			w.mu.Unlock()
		}
	}()
	return w, nil
}

// start begins a life of the worker's process.
func (w *worker) start() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.begin()
	w.beat()
}

// startWith begins a life in which an order that got no answer is the first call that is carried out.
func (w *worker) startWith(o startOrder) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.begin()
	w.startRun(o)
	w.beat()
}

// begin sets the state of a new life. The caller holds mu.
func (w *worker) begin() {
	w.up, w.registered, w.born, w.fence, w.until = true, true, time.Now(), 0, time.Time{}
	w.runs, w.highest, w.ends, w.endCount = map[string]*taskRun{}, map[string]int{}, nil, 0
	w.record.add("worker %s starts, born %d", w.id, w.born.UnixMilli())
}

// crash ends the worker's process. The caller holds mu.
func (w *worker) crash() {
	for task, r := range w.runs {
		w.record.add("run %d of %s on %s is lost with the worker's process", r.number, task, w.id)
		w.record.ended(w, task)
	}
	w.up, w.registered, w.runs, w.ends = false, false, map[string]*taskRun{}, nil
	w.record.add("worker %s crashes", w.id)
	w.notify()
}

// beat writes the worker's entry. The caller holds mu.
func (w *worker) beat() {
	if !w.up || !w.registered {
		return
	}
	// A change of the sequence number alone changes no entry.
	w.store.writeIfChanged("servers/"+w.id, map[string]any{
		"Service": "svc", "Address": w.listener.Addr().String(), "Zone": w.zone, "Version": "v1", "Slots": 8, "State": w.state, "ColdLeftMs": 0,
		"Capacity": map[string]any{"Cpu": 32000, "MemMb": 65536, "Gpu": w.gpus}, "Labels": []string{w.kind, w.rack}, "Sequence": 1,
		"born": w.born.UnixMilli(),
	})
}

func (w *worker) notify() {
	close(w.changed)
	w.changed = make(chan struct{})
}

// end ends a run. The caller holds mu.
func (w *worker) end(task, how string) {
	r := w.runs[task]
	delete(w.runs, task)
	w.endCount++
	w.ends = append(w.ends, []any{w.endCount, task, r.number, how, ""})
	w.record.add("run %d of %s on %s ends: %s", r.number, task, w.id, how)
	w.record.ended(w, task)
	w.notify()
}

// advance ends the runs whose end has come. The caller holds mu.
func (w *worker) advance() {
	now := time.Now()
	for task, r := range w.runs {
		switch {
		case now.After(w.until):
			w.end(task, "lapsed")
		case !r.stopsAt.IsZero() && now.After(r.stopsAt):
			w.end(task, "stopped")
		case !r.failsAt.IsZero() && now.After(r.failsAt):
			w.end(task, "failed")
		case !r.lasts && now.Sub(r.started) >= r.work:
			w.end(task, "done")
		}
	}
}

func (w *worker) clock() int64 { return time.Since(w.born).Milliseconds() }

// extend extends the lease up to a time on the worker's clock. The caller holds mu.
func (w *worker) extend(untilMs int64) {
	until := w.born.Add(time.Duration(untilMs) * time.Millisecond)
	if latest := time.Now().Add(maxLease); until.After(latest) {
		until = latest
	}
	if until.After(w.until) {
		w.until = until
	}
}

// ServeHTTP implements http.Handler.
func (w *worker) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	var in struct {
		Task, TaskSpec                   string
		Run                              int
		UntilMs, Fence, LastSeen, WaitMs int64
	}
	_ = json.NewDecoder(r.Body).Decode(&in)
	w.mu.Lock()
	if w.cut {
		w.mu.Unlock()
		<-r.Context().Done()
		return
	}
	if !w.up {
		w.mu.Unlock()
		breakOff(out)
		return
	}
	defer w.mu.Unlock()
	if r.Header.Get("Expect-Instance") != w.id {
		reply(out, http.StatusMisdirectedRequest, map[string]any{"ClockMs": w.clock()})
		return
	}
	w.advance()
	switch r.URL.Path {
	case "/-/run-start":
		order := startOrder{task: in.Task, spec: in.TaskSpec, number: in.Run, untilMs: in.UntilMs, fence: in.Fence}
		if w.onStart != nil && !w.onStart(order) {
			w.mu.Unlock()
			<-r.Context().Done()
			w.mu.Lock()
			return
		}
		status, reason := w.startRun(order)
		reply(out, status, map[string]any{"ClockMs": w.clock(), "Reason": reason})
	case "/-/run-stop":
		status, reason := w.stopRun(in.Task, in.Run, in.Fence)
		reply(out, status, map[string]any{"ClockMs": w.clock(), "Reason": reason})
	case "/-/hold":
		w.hold(out, r, in.UntilMs, in.Fence, in.LastSeen, in.WaitMs)
	default:
		reply(out, http.StatusOK, map[string]any{"ClockMs": w.clock()})
	}
}

// breakOff closes the connection of a call without an answer.
func breakOff(out http.ResponseWriter) {
	if h, ok := out.(http.Hijacker); ok {
		if c, _, err := h.Hijack(); err == nil {
			_ = c.Close()
		}
	}
}

// startRun carries out a start order. The caller holds mu.
func (w *worker) startRun(o startOrder) (status int, reason string) {
	switch {
	case o.fence < w.fence:
		return http.StatusConflict, "fence"
	case o.untilMs < w.clock():
		return http.StatusConflict, "late"
	}
	w.fence = o.fence
	w.extend(o.untilMs)
	if r, ok := w.runs[o.task]; ok && r.number == o.number {
		return http.StatusOK, ""
	}
	if o.number <= w.highest[o.task] {
		return http.StatusConflict, "old"
	}
	w.highest[o.task] = o.number
	r := &taskRun{number: o.number, started: time.Now(), work: w.work, lasts: o.spec == lastingSpec}
	if o.number == 1 && w.firstRunFailsAfter > 0 {
		r.failsAt = r.started.Add(w.firstRunFailsAfter)
	}
	w.runs[o.task] = r
	w.record.started(w, o.task, o.number)
	return http.StatusOK, ""
}

// stopRun carries out a stop order. The caller holds mu.
func (w *worker) stopRun(task string, number int, fence int64) (status int, reason string) {
	if fence < w.fence {
		return http.StatusConflict, "fence"
	}
	w.fence = fence
	if r, ok := w.runs[task]; ok && r.number <= number && r.stopsAt.IsZero() {
		r.stopsAt = time.Now().Add(stopTime)
	}
	w.highest[task] = max(w.highest[task], number)
	return http.StatusOK, ""
}

// hold carries out a hold. The caller holds mu, which is released while the hold waits.
func (w *worker) hold(out http.ResponseWriter, r *http.Request, untilMs, fence, lastSeen, waitMs int64) {
	if fence < w.fence {
		reply(out, http.StatusConflict, map[string]any{"ClockMs": w.clock(), "Reason": "fence", "born": w.born.UnixMilli()})
		return
	}
	w.fence = fence
	if untilMs > 0 {
		w.extend(untilMs)
	}
	for len(w.ends) > 0 && w.ends[0][0].(int64) <= lastSeen {
		w.record.add("end %v (run %v of %v: %v) on %s is taken note of", w.ends[0][0], w.ends[0][2], w.ends[0][1], w.ends[0][3], w.id)
		w.ends = w.ends[1:]
	}
	born, timeout := w.born, time.After(time.Duration(waitMs)*time.Millisecond)
	for over := waitMs == 0; !over && len(w.ends) == 0 && w.up && w.born.Equal(born); {
		changed := w.changed
		w.mu.Unlock()
		select {
		case <-changed:
		case <-timeout:
			over = true
		case <-r.Context().Done():
			over = true
		}
		w.mu.Lock()
	}
	if !w.up || !w.born.Equal(born) {
		breakOff(out)
		return
	}
	if w.cut {
		w.mu.Unlock()
		<-r.Context().Done()
		w.mu.Lock()
		return
	}
	running := [][]any{}
	for task, run := range w.runs {
		running = append(running, []any{task, run.number, "", run.percent(), 1000})
	}
	ends := w.ends
	if ends == nil {
		ends = [][]any{}
	}
	body := map[string]any{"ClockMs": w.clock(), "born": w.born.UnixMilli(), "Running": running, "EndedRuns": ends}
	if w.state == "draining" {
		body["DrainRemainingMs"] = 5000
	}
	reply(out, http.StatusOK, body)
}

// String implements fmt.Stringer.
func (w *worker) String() string { return fmt.Sprintf("%s (%s, %s)", w.id, w.zone, w.kind) }
