package main

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// heartbeat is how often a worker writes its entry.
	heartbeat = 1500 * time.Millisecond
	// maxHold is the longest lease of a worker.
	maxHold = 10 * time.Second
	// stopTime is how long a stop takes, below the 400 ms that it may take.
	stopTime = 50 * time.Millisecond
	// maxWait bounds the wait of a call for an end.
	maxWait = 2 * time.Second
	// workerTick is how often a worker looks for runs and leases that have ended.
	workerTick = 5 * time.Millisecond
)

// amount is an amount of resources on the wire.
type amount struct {
	CPU   int64 `json:"Cpu"`
	MemMb int64
	Gpu   int64
}

func (a amount) plus(b amount) amount { return amount{a.CPU + b.CPU, a.MemMb + b.MemMb, a.Gpu + b.Gpu} }

func (a amount) fits(room amount) bool {
	return a.CPU <= room.CPU && a.MemMb <= room.MemMb && a.Gpu <= room.Gpu
}

// task is what a worker does for a job's task: TaskSpec has it as JSON.
type task struct {
	WorkMs int64
	Need   amount
	Label  string `json:",omitempty"`
	// Fails makes the run end as failed.
	Fails bool `json:",omitempty"`
	// FailsOnceMs, unless 0, is the time after which the task's first run to get so far fails.
	FailsOnceMs int64 `json:",omitempty"`
	// Lasting makes the run last until it is stopped, but for the first runs of the tasks in FailsFirst, which end as failed after
	// WorkMs.
	Lasting    bool  `json:",omitempty"`
	FailsFirst []int `json:",omitempty"`
}

// ending returns when and how a run of the task with the given name and number ends by itself; an empty text means never.
func (t *task) ending(name string, number int) (after time.Duration, how string) {
	after, how = time.Duration(t.WorkMs)*time.Millisecond, "done"
	index, _ := strconv.Atoi(name[strings.LastIndexByte(name, '.')+1:])
	switch {
	case t.Fails, t.Lasting && number == 1 && slices.Contains(t.FailsFirst, index):
		how = "failed"
	case t.Lasting:
		how = ""
	}
	return after, how
}

// activeRun is a run that a worker has.
type activeRun struct {
	number  int
	task    task
	started time.Time
	// stopAt is when a stop takes effect; zero without one.
	stopAt time.Time
}

// workerKind is what a life of a worker is like.
type workerKind struct {
	label    string
	capacity amount
}

// worker is a sound worker that does not check its room (AdmissionCheck is false). Its tasks are single ones, not gangs.
type worker struct {
	id, address, service, zone, rack string
	// public is the address that the worker's entry tells: its own, or that of a proxy.
	public string
	site   *site

	mu   sync.Mutex
	kind workerKind
	// leavesAt is when a draining worker leaves at the earliest; zero while it does not drain.
	leavesAt time.Time
	// up is set while the worker lives. A worker that is dark has lost power: calls to it get no answer.
	up, dark bool
	born     int64
	start    time.Time
	fence    int64
	leaseEnd time.Time
	runs     map[string]*activeRun
	// refused has the highest run of each task that was stopped or has ended.
	refused map[string]int
	ends    [][]any
	endSeq  int64
	seq     int64
	// ended is closed and replaced with each end.
	ended  chan struct{}
	server *http.Server
	quit   chan struct{}
}

// startLife starts a life of the worker: it serves calls, and then writes its entry.
func (w *worker) startLife(kind workerKind) error {
	listener, err := net.Listen("tcp", w.address)
	if err != nil {
		return err
	}
	w.mu.Lock()
	w.kind, w.up, w.start = kind, true, time.Now()
	w.born = max(w.born+1, w.start.UnixMilli())
	w.fence, w.leaseEnd, w.endSeq, w.seq = 0, time.Time{}, 0, 0
	w.runs, w.refused, w.ends = map[string]*activeRun{}, map[string]int{}, nil
	w.ended, w.quit = make(chan struct{}), make(chan struct{})
	quit := w.quit
	w.server = &http.Server{Handler: w.handler(), ReadHeaderTimeout: time.Minute}
	server := w.server
	w.mu.Unlock()
	w.site.rec.event("worker-up", "worker", w.id, "kind", kind.label, "gpu", kind.capacity.Gpu, "born", w.born)
	go func() { _ = server.Serve(listener) }()
	go w.live(quit)
	w.beat()
	return nil
}

// crash ends the life of the worker without a word.
func (w *worker) crash() {
	w.mu.Lock()
	if !w.up && !w.dark {
		w.mu.Unlock()
		return
	}
	if w.up {
		close(w.quit)
	}
	w.up, w.dark = false, false
	server := w.server
	w.runs = map[string]*activeRun{}
	w.mu.Unlock()
	w.site.rec.event("worker-crash", "worker", w.id)
	_ = server.Close()
}

// lose takes the worker's power: its runs are gone, and calls to it get no answer.
func (w *worker) lose() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.up {
		return
	}
	w.up, w.dark = false, true
	close(w.quit)
	w.runs = map[string]*activeRun{}
	w.site.rec.event("worker-power-off", "worker", w.id)
}

// isDark reports whether the worker has lost power.
func (w *worker) isDark() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.dark
}

// live ends runs and leases in time, and writes the entry at each heartbeat.
func (w *worker) live(quit chan struct{}) {
	ticker, beats := time.NewTicker(workerTick), time.NewTicker(heartbeat)
	defer ticker.Stop()
	defer beats.Stop()
	for {
		select {
		case <-quit:
			return
		case <-beats.C:
			w.beat()
		case now := <-ticker.C:
			w.mu.Lock()
			w.advance(now)
			w.mu.Unlock()
		}
	}
}

// entryKey returns the key of the worker's entry.
func (w *worker) entryKey() string { return "servers/" + w.id }

// beat writes the worker's entry.
func (w *worker) beat() {
	w.mu.Lock()
	if !w.up {
		w.mu.Unlock()
		return
	}
	w.seq++
	entry := map[string]any{
		"Service": w.service, "Address": w.public, "Zone": w.zone, "Version": "1", "Slots": 8, "State": "ready", "ColdLeftMs": 0,
		"Sequence": w.seq, "Capacity": w.kind.capacity, "Labels": []string{w.kind.label, w.rack}, "born": w.born,
	}
	if !w.leavesAt.IsZero() {
		entry["State"], entry["DrainRemainingMs"] = "draining", max(0, time.Until(w.leavesAt).Milliseconds())
	}
	w.mu.Unlock()
	w.site.store.write(w.entryKey(), entry)
}

// leave lets the worker leave as planned: it reports that it drains, serves on for the drain time, ends and is removed from the store.
func (w *worker) leave(drain time.Duration) {
	w.mu.Lock()
	w.leavesAt = time.Now().Add(drain)
	w.mu.Unlock()
	w.site.rec.event("worker-drains", "worker", w.id, "for", drain)
	w.beat()
	time.Sleep(drain)
	w.crash()
	w.site.store.remove(w.entryKey())
}

// advance ends the runs whose time has come. The caller holds mu.
func (w *worker) advance(now time.Time) {
	for name, r := range w.runs {
		switch {
		case now.After(w.leaseEnd):
			w.end(name, r, "lapsed")
		case !r.stopAt.IsZero() && now.After(r.stopAt):
			w.end(name, r, "stopped")
		default:
			if once := time.Duration(r.task.FailsOnceMs) * time.Millisecond; once > 0 && now.After(r.started.Add(once)) && w.site.failsNow(name) {
				w.end(name, r, "failed")
			} else if after, how := r.task.ending(name, r.number); how != "" && now.After(r.started.Add(after)) {
				w.end(name, r, how)
			}
		}
	}
}

// end lists the end of a run. The caller holds mu.
func (w *worker) end(name string, r *activeRun, how string) {
	delete(w.runs, name)
	w.refused[name] = max(w.refused[name], r.number)
	w.endSeq++
	w.ends = append(w.ends, []any{w.endSeq, name, r.number, how, ""})
	w.site.rec.event("run-end", "task", name, "run", r.number, "worker", w.id, "how", how)
	close(w.ended)
	w.ended = make(chan struct{})
}

// clock returns the reading of the worker's clock in milliseconds.
func (w *worker) clock() int64 { return time.Since(w.start).Milliseconds() }

// extend extends the lease to a time on the worker's clock, at most by maxHold. The caller holds mu.
func (w *worker) extend(untilMs int64) {
	end := w.start.Add(time.Duration(untilMs) * time.Millisecond)
	if latest := time.Now().Add(maxHold); end.After(latest) {
		end = latest
	}
	if end.After(w.leaseEnd) {
		w.leaseEnd = end
	}
}

func (w *worker) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /-/run-start", w.serveStart)
	mux.HandleFunc("POST /-/run-stop", w.serveStop)
	mux.HandleFunc("POST /-/hold", w.serveHold)
	return http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		if w.isDark() {
			<-r.Context().Done()
			return
		}
		if id := r.Header.Get("Expect-Instance"); id != "" && id != w.id {
			w.site.rec.event("call-misdirected", "worker", w.id, "meant", id, "path", r.URL.Path)
			reply(rw, http.StatusMisdirectedRequest, map[string]any{"ClockMs": w.clock()})
			return
		}
		mux.ServeHTTP(rw, r)
	})
}

func (w *worker) refuse(rw http.ResponseWriter, reason string) {
	reply(rw, http.StatusConflict, map[string]any{"ClockMs": w.clock(), "Reason": reason})
}

func (w *worker) serveStart(rw http.ResponseWriter, r *http.Request) {
	var in struct {
		Task, TaskSpec string
		Run            int
		UntilMs, Fence int64
	}
	var what task
	if json.NewDecoder(r.Body).Decode(&in) != nil || json.Unmarshal([]byte(in.TaskSpec), &what) != nil {
		reply(rw, http.StatusBadRequest, map[string]any{"ClockMs": w.clock()})
		return
	}
	w.mu.Lock()
	status, reason := w.startRun(in.Task, in.Run, what, in.UntilMs, in.Fence)
	w.mu.Unlock()
	w.site.rec.event("start", "task", in.Task, "run", in.Run, "worker", w.id, "fence", in.Fence, "status", status, "reason", reason)
	if status == http.StatusConflict {
		w.refuse(rw, reason)
		return
	}
	reply(rw, status, map[string]any{"ClockMs": w.clock()})
}

// startRun starts a run, or returns why not. The caller holds mu.
func (w *worker) startRun(name string, number int, what task, untilMs, fence int64) (status int, reason string) {
	if fence < w.fence {
		return http.StatusConflict, "fence"
	}
	w.fence = fence
	if r, ok := w.runs[name]; ok && r.number == number {
		w.extend(untilMs)
		return http.StatusOK, ""
	}
	if untilMs <= w.clock() {
		return http.StatusConflict, "late"
	}
	w.extend(untilMs)
	if number <= w.refused[name] {
		return http.StatusConflict, "old"
	}
	w.runs[name] = &activeRun{number: number, task: what, started: time.Now()}
	w.site.judge.checkStart(w, name, number, what)
	return http.StatusOK, ""
}

// used returns the resources of the worker's runs. The caller holds mu.
func (w *worker) used() amount {
	var sum amount
	for _, r := range w.runs {
		sum = sum.plus(r.task.Need)
	}
	return sum
}

func (w *worker) serveStop(rw http.ResponseWriter, r *http.Request) {
	var in struct {
		Task  string
		Run   int
		Fence int64
	}
	if json.NewDecoder(r.Body).Decode(&in) != nil {
		reply(rw, http.StatusBadRequest, map[string]any{"ClockMs": w.clock()})
		return
	}
	w.site.rec.event("stop", "task", in.Task, "run", in.Run, "worker", w.id, "fence", in.Fence)
	w.mu.Lock()
	if in.Fence < w.fence {
		w.mu.Unlock()
		w.refuse(rw, "fence")
		return
	}
	w.fence = in.Fence
	w.refused[in.Task] = max(w.refused[in.Task], in.Run)
	if run, ok := w.runs[in.Task]; ok && run.number <= in.Run && run.stopAt.IsZero() {
		run.stopAt = time.Now().Add(stopTime)
	}
	w.mu.Unlock()
	reply(rw, http.StatusOK, map[string]any{"ClockMs": w.clock()})
}

func (w *worker) serveHold(rw http.ResponseWriter, r *http.Request) {
	var in struct {
		UntilMs, Fence, LastSeen, WaitMs int64
	}
	if json.NewDecoder(r.Body).Decode(&in) != nil {
		reply(rw, http.StatusBadRequest, map[string]any{"ClockMs": w.clock()})
		return
	}
	w.mu.Lock()
	if in.Fence < w.fence {
		w.mu.Unlock()
		w.refuse(rw, "fence")
		return
	}
	w.fence = in.Fence
	for len(w.ends) > 0 && w.ends[0][0].(int64) <= in.LastSeen {
		w.ends = w.ends[1:]
	}
	if in.UntilMs != 0 {
		w.extend(in.UntilMs)
	}
	ended, quit, waiting := w.ended, w.quit, len(w.ends) == 0
	w.mu.Unlock()
	if waiting && in.WaitMs > 0 {
		select {
		case <-ended:
		case <-quit:
			// A process that has ended answers nothing.
			panic(http.ErrAbortHandler)
		case <-r.Context().Done():
		case <-time.After(min(maxWait, time.Duration(in.WaitMs)*time.Millisecond)):
		}
	}
	w.mu.Lock()
	running, ends := [][]any{}, append([][]any{}, w.ends[:min(len(w.ends), 500)]...)
	for name, run := range w.runs {
		percent := min(99, 100*time.Since(run.started).Milliseconds()/max(1, run.task.WorkMs))
		if run.task.Lasting {
			percent = 100
		}
		running = append(running, []any{name, run.number, "", percent, run.task.Need.CPU})
	}
	body := map[string]any{"ClockMs": w.clock(), "born": w.born, "Running": running, "EndedRuns": ends}
	if !w.leavesAt.IsZero() {
		body["DrainRemainingMs"] = max(0, time.Until(w.leavesAt).Milliseconds())
	}
	w.mu.Unlock()
	reply(rw, http.StatusOK, body)
}

// jobOf returns the job of a task.
func jobOf(name string) string {
	job, _, _ := strings.Cut(name, ".")
	return job
}
