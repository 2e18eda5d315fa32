package main

import (
	"encoding/json"
	"fmt"
	"maps"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	// heartbeat is the pause between two entries of a worker; entryLife is how long the store keeps one.
	heartbeat = 1500 * time.Millisecond
	entryLife = 3 * heartbeat
	// startup is how long a task takes until it is at work.
	startup = 200 * time.Millisecond
	// stopTime is how long a stop takes, below StopGraceMs.
	stopTime = 300 * time.Millisecond
	// maxHold is the longest lease, MaxHoldMs of the settings.
	maxHold = 10 * time.Second
	// maxListed is how many ends are listed at a time.
	maxListed = 500
)

// span is one run as the worker saw it.
type span struct {
	task, worker string
	// kind is the kind of the worker at that time.
	kind     string
	run      int
	from, to time.Time
	how      string
}

// run is a run that a worker has.
type run struct {
	number int
	begun  time.Time
	// work is how long the task works; 0 for one that lasts.
	work    time.Duration
	stopsAt time.Time
	span    *span
}

// end is an end that a worker lists.
type end struct {
	number int64
	task   string
	run    int
	how    string
}

// startOrder is the body of an order to start a task.
type startOrder struct {
	Task           string
	Run            int
	TaskSpec       string
	UntilMs, Fence int64
	LastCheckpoint string
}

// worker is a worker with its entry in the store.
type worker struct {
	id, address, zone, rack, service string
	gpu                              int64
	// delay is how long the worker takes for an answer.
	delay time.Duration
	site  *fleet

	mu sync.Mutex
	// up is whether the worker's process runs.
	up bool
	// kind is the first label, of this life. cut is whether the worker is cut off from the store.
	kind     string
	cut      bool
	server   *http.Server
	born     int64
	started  time.Time
	fence    int64
	leaseEnd time.Time
	runs     map[string]*run
	ends     []end
	endCount int64
	// highest has the highest run of each task that was stopped or has ended.
	highest  map[string]int
	sequence int64
	lastBeat time.Time
	wake     chan struct{}
}

// fleet has the workers and what they saw.
type fleet struct {
	rec   *record
	store *store
	// heldUp, if set, reports whether an order to start is held up on its way: the worker does not get it yet, and the sender gets no answer.
	heldUp func(w *worker, o startOrder) bool

	mu      sync.Mutex
	workers []*worker
	spans   []*span
}

// add starts a worker.
func (f *fleet) add(id, zone, rack, service string, gpu int64, delay time.Duration) error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	w := &worker{id: id, address: l.Addr().String(), zone: zone, rack: rack, service: service, kind: "a", gpu: gpu, delay: delay, site: f}
	f.mu.Lock()
	f.workers = append(f.workers, w)
	f.mu.Unlock()
	w.begin(l)
	go w.live()
	return nil
}

// begin begins a life of the worker on a listener.
func (w *worker) begin(l net.Listener) {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /-/run-start", w.handleStart)
	mux.HandleFunc("POST /-/run-stop", w.handleStop)
	mux.HandleFunc("POST /-/hold", w.handleHold)
	mux.HandleFunc("GET /health", func(http.ResponseWriter, *http.Request) {})
	w.mu.Lock()
	w.up, w.started, w.born = true, time.Now(), time.Now().UnixMilli()
	w.fence, w.leaseEnd, w.endCount, w.ends, w.sequence = 0, time.Time{}, 0, nil, 0
	w.runs, w.highest, w.wake = map[string]*run{}, map[string]int{}, make(chan struct{})
	w.server = &http.Server{Handler: mux, ReadHeaderTimeout: time.Minute}
	server := w.server
	if !w.cut {
		w.beat()
	}
	w.mu.Unlock()
	w.site.rec.add("worker %s starts its life %d at %s, kind %s", w.id, w.born, w.address, w.kind)
	// Serve returns when the worker crashes.
	go func() { _ = server.Serve(l) }()
}

// crash ends the worker's process with all runs, without a word.
func (w *worker) crash() {
	w.mu.Lock()
	w.up = false
	now := time.Now()
	for _, r := range w.runs {
		r.span.to, r.span.how = now, "crash"
	}
	w.runs = map[string]*run{}
	server := w.server
	w.mu.Unlock()
	w.site.rec.add("worker %s crashes", w.id)
	_ = server.Close()
}

// restart begins a new life under the same id and address.
func (w *worker) restart() error {
	l, err := net.Listen("tcp", w.address)
	if err != nil {
		return err
	}
	w.begin(l)
	return nil
}

// setCut cuts the worker off from the store, or ends that.
func (w *worker) setCut(cut bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cut = cut
	w.site.rec.add("worker %s is cut off from the store: %v", w.id, cut)
}

// live writes the entry, ends runs, and lets the entry lapse while the worker is down.
func (w *worker) live() {
	for range time.Tick(10 * time.Millisecond) {
		w.mu.Lock()
		w.elapse()
		switch {
		case w.up && !w.cut && time.Since(w.lastBeat) >= heartbeat:
			w.beat()
		case !w.lastBeat.IsZero() && time.Since(w.lastBeat) >= entryLife:
			w.site.store.remove("servers/" + w.id)
		}
		w.mu.Unlock()
	}
}

// beat writes the entry. The caller holds mu.
func (w *worker) beat() {
	w.sequence++
	w.lastBeat = time.Now()
	// A map of plain values can always be encoded.
	value, _ := json.Marshal(map[string]any{
		"Service": w.service, "Address": w.address, "Zone": w.zone, "Version": "v1", "Slots": 8, "State": "ready", "ColdLeftMs": 0,
		"Capacity": map[string]int64{"Cpu": 32000, "MemMb": 65536, "Gpu": w.gpu}, "Labels": []string{w.kind, w.rack},
		"ClockMs": w.clock(), "Sequence": w.sequence, "born": w.born,
	})
	w.site.store.put("servers/"+w.id, value)
}

func (w *worker) clock() int64 { return time.Since(w.started).Milliseconds() }

// elapse ends the runs whose end has come. The caller holds mu.
func (w *worker) elapse() {
	now := time.Now()
	for _, task := range slices.Sorted(maps.Keys(w.runs)) {
		r := w.runs[task]
		switch {
		case !now.Before(w.leaseEnd):
			w.finish(task, r, "lapsed")
		case !r.stopsAt.IsZero() && !now.Before(r.stopsAt):
			w.finish(task, r, "stopped")
		case r.work > 0 && now.Sub(r.begun) >= startup+r.work:
			w.finish(task, r, "done")
		}
	}
}

// finish ends a run. The caller holds mu.
func (w *worker) finish(task string, r *run, how string) {
	delete(w.runs, task)
	w.endCount++
	w.highest[task] = max(w.highest[task], r.number)
	w.ends = append(w.ends, end{number: w.endCount, task: task, run: r.number, how: how})
	r.span.to, r.span.how = time.Now(), how
	w.site.rec.add("worker %s: run %d of %s ends %s", w.id, r.number, task, how)
	close(w.wake)
	w.wake = make(chan struct{})
}

// refuse answers 409. The caller holds mu.
func (w *worker) refuse(rw http.ResponseWriter, reason string) {
	reply(rw, http.StatusConflict, map[string]any{"ClockMs": w.clock(), "Reason": reason})
}

// meant reports whether a call is meant for this worker, and answers it if not.
func (w *worker) meant(rw http.ResponseWriter, r *http.Request) bool {
	time.Sleep(w.delay)
	if id := r.Header.Get("Expect-Instance"); id != "" && id != w.id {
		reply(rw, http.StatusMisdirectedRequest, map[string]any{})
		return false
	}
	return true
}

func (w *worker) handleStart(rw http.ResponseWriter, r *http.Request) {
	var o startOrder
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		reply(rw, http.StatusBadRequest, map[string]any{})
		return
	}
	if !w.meant(rw, r) {
		return
	}
	if heldUp := w.site.heldUp; heldUp != nil && heldUp(w, o) {
		w.site.rec.add("the order to worker %s to start run %d of %s (fence %d) is held up on its way and gets no answer", w.id, o.Run, o.Task, o.Fence)
		<-r.Context().Done()
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if reason := w.applyStart(o, "in time"); reason != "" {
		w.refuse(rw, reason)
		return
	}
	reply(rw, http.StatusOK, map[string]any{"ClockMs": w.clock()})
}

// arriveLate lets an order that got no answer arrive at the worker that has the address and the id now.
func (w *worker) arriveLate(o startOrder) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.site.rec.add("the order to worker %s to start run %d of %s (fence %d) arrives", w.id, o.Run, o.Task, o.Fence)
	if reason := w.applyStart(o, "late"); reason != "" {
		w.site.rec.add("worker %s rejects the late order to start run %d of %s: %s", w.id, o.Run, o.Task, reason)
	}
}

// applyStart carries out an order to start, or returns the reason for which it is rejected. The caller holds mu.
func (w *worker) applyStart(o startOrder, when string) string {
	w.elapse()
	if o.Fence < w.fence {
		return "fence"
	}
	w.fence = o.Fence
	until := w.started.Add(time.Duration(o.UntilMs) * time.Millisecond)
	if !until.After(time.Now()) {
		return "late"
	}
	w.extend(until)
	if r, ok := w.runs[o.Task]; ok && r.number == o.Run {
		return ""
	}
	if o.Run <= w.highest[o.Task] || w.runs[o.Task] != nil {
		return "old"
	}
	var spec struct{ WorkMs int64 }
	// A spec without a duration is of a task that lasts.
	_ = json.Unmarshal([]byte(o.TaskSpec), &spec)
	s := &span{task: o.Task, worker: w.id, kind: w.kind, run: o.Run, from: time.Now()}
	w.runs[o.Task] = &run{number: o.Run, begun: time.Now(), work: time.Duration(spec.WorkMs) * time.Millisecond, span: s}
	w.site.mu.Lock()
	w.site.spans = append(w.site.spans, s)
	w.site.mu.Unlock()
	w.site.rec.add("worker %s: run %d of %s starts (fence %d, %s, kind %s)", w.id, o.Run, o.Task, o.Fence, when, w.kind)
	return ""
}

// extend extends the lease. The caller holds mu.
func (w *worker) extend(until time.Time) {
	if latest := time.Now().Add(maxHold); until.After(latest) {
		until = latest
	}
	if until.After(w.leaseEnd) {
		w.leaseEnd = until
	}
}

func (w *worker) handleStop(rw http.ResponseWriter, r *http.Request) {
	var o struct {
		Task  string
		Run   int
		Fence int64
	}
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		reply(rw, http.StatusBadRequest, map[string]any{})
		return
	}
	if !w.meant(rw, r) {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.elapse()
	if o.Fence < w.fence {
		w.refuse(rw, "fence")
		return
	}
	w.fence = o.Fence
	w.highest[o.Task] = max(w.highest[o.Task], o.Run)
	if running, ok := w.runs[o.Task]; ok && running.number <= o.Run && running.stopsAt.IsZero() {
		running.stopsAt = time.Now().Add(stopTime)
	}
	w.site.rec.add("worker %s: stop of run %d of %s (fence %d)", w.id, o.Run, o.Task, o.Fence)
	reply(rw, http.StatusOK, map[string]any{"ClockMs": w.clock()})
}

func (w *worker) handleHold(rw http.ResponseWriter, r *http.Request) {
	var o struct{ UntilMs, Fence, LastSeen, WaitMs int64 }
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		reply(rw, http.StatusBadRequest, map[string]any{})
		return
	}
	if !w.meant(rw, r) {
		return
	}
	w.mu.Lock()
	w.elapse()
	if o.Fence < w.fence {
		w.refuse(rw, "fence")
		w.mu.Unlock()
		return
	}
	w.fence = o.Fence
	if o.UntilMs > 0 {
		w.extend(w.started.Add(time.Duration(o.UntilMs) * time.Millisecond))
	}
	w.ends = slices.DeleteFunc(w.ends, func(e end) bool { return e.number <= o.LastSeen })
	for over := time.After(time.Duration(min(o.WaitMs, 2000)) * time.Millisecond); len(w.ends) == 0 && over != nil; {
		wake := w.wake
		w.mu.Unlock()
		select {
		case <-wake:
		case <-r.Context().Done():
			over = nil
		case <-over:
			over = nil
		}
		w.mu.Lock()
	}
	body := w.lists()
	w.mu.Unlock()
	reply(rw, http.StatusOK, body)
}

// lists returns the answer to a hold. The caller holds mu.
func (w *worker) lists() map[string]any {
	running, ended := [][]any{}, [][]any{}
	for _, task := range slices.Sorted(maps.Keys(w.runs)) {
		r := w.runs[task]
		percent := 0
		if at := time.Since(r.begun) - startup; at >= 0 {
			percent = 100
			if r.work > 0 {
				percent = min(99, int(100*at/r.work))
			}
		}
		running = append(running, []any{task, r.number, "", percent, 100})
	}
	for _, e := range w.ends[:min(maxListed, len(w.ends))] {
		ended = append(ended, []any{e.number, e.task, e.run, e.how, ""})
	}
	return map[string]any{"ClockMs": w.clock(), "born": w.born, "Running": running, "EndedRuns": ended}
}

// spansOf returns copies of the runs of a job.
func (f *fleet) spansOf(job string) []span {
	f.mu.Lock()
	defer f.mu.Unlock()
	var found []span
	for _, s := range f.spans {
		if strings.HasPrefix(s.task, job+".") {
			found = append(found, *s)
		}
	}
	return found
}

// byID returns a worker.
func (f *fleet) byID(id string) *worker {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, w := range f.workers {
		if w.id == id {
			return w
		}
	}
	return nil
}

func (s span) String() string { return fmt.Sprintf("run %d of %s on %s", s.run, s.task, s.worker) }
