package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

const (
	urgentPrefix = "/urgent1/"
	batchPrefix  = "/batch2/"
	keyA, keyB   = "d4a3hwrr6x73d3zji9n7", "3hh2b9wu3fexd9dnn2ct"
	// guaranteed is what the first tenant is guaranteed.
	guaranteed = 16
	// reclaimTime is ReclaimMs of the settings.
	reclaimTime = 2900 * time.Millisecond
)

// zones are the zones of the deployment. Each has two workers, which are a rack.
var zones = []string{"tunis-a", "bizerte-b", "nabeul-c", "ariana-d"}

// rackOf returns the rack of a zone.
func rackOf(zone int) string { return fmt.Sprintf("r1-%d", zone+1) }

// open starts eight workers of 8 accelerators and four entry VMs, and waits until they are ready.
func (i *installation) open() error {
	for n := range 2 * len(zones) {
		zone := n / 2
		// The answers of the workers of other zones take longer.
		delay := time.Duration(n) * 2 * time.Millisecond
		if err := i.fleet.add(fmt.Sprintf("i-%d%c", n+1, 'a'+n), zones[zone], rackOf(zone), service, 8, delay); err != nil {
			return err
		}
	}
	i.writeConfig(7, []queue{
		{name: "r-3ajwyy7", prefix: batchPrefix, priority: 2, targetMs: 3000, stretch: 3},
		{name: "r-zzyyjsg", prefix: urgentPrefix, priority: 0, targetMs: 250, stretch: 1.5},
	}, []tenant{{name: "kaje80", key: keyA, gpu: guaranteed}, {name: "moru21", key: keyB}})
	for _, zone := range zones {
		if err := i.addEntry(zone); err != nil {
			return err
		}
	}
	if err := i.awaitReady(); err != nil {
		return err
	}
	// The planner has to have met the workers.
	time.Sleep(3 * time.Second)
	return nil
}

// step is a step of a job.
type step struct {
	count, gpu, workMs int
	lasts              bool
	rack, label        string
	estimateMs         int
}

// job returns the body of a job with one step. The workers take how long the tasks work from TaskSpec.
func job(s step) map[string]any {
	body := map[string]any{"Count": s.count, "Cpu": 1000, "MemMb": 1024, "Gpu": s.gpu}
	if s.estimateMs > 0 {
		body["EstimateMs"] = s.estimateMs
	}
	if s.lasts {
		body["RunForever"] = true
	}
	if s.rack != "" {
		body["DataRack"] = s.rack
	}
	if s.label != "" {
		body["Requirements"] = s.label
	}
	spec := "{}"
	if s.workMs > 0 {
		spec = fmt.Sprintf(`{"WorkMs":%d}`, s.workMs)
	}
	return map[string]any{"TaskSpec": spec, "Steps": []any{body}}
}

// awaitRuns waits until a job has had the given number of runs that a function accepts, and returns them.
func (i *installation) awaitRuns(id string, count int, limit time.Duration, accept func(span) bool) ([]span, error) {
	for until := time.Now().Add(limit); time.Now().Before(until); time.Sleep(5 * time.Millisecond) {
		var found []span
		for _, s := range i.fleet.spansOf(id) {
			if accept(s) {
				found = append(found, s)
			}
		}
		if len(found) >= count {
			return found, nil
		}
	}
	return nil, fmt.Errorf("job %s has not had %d such runs after %s", id, count, limit)
}

func present(s span) bool { return s.to.IsZero() }

// overlap returns two runs of one task that were present at the same time, as a text; "" if there are none.
func overlap(spans []span) string {
	now := time.Now()
	for n, a := range spans {
		for _, b := range spans[n+1:] {
			from, to := a.from, now
			if b.from.After(from) {
				from = b.from
			}
			for _, end := range []time.Time{a.to, b.to} {
				if !end.IsZero() && end.Before(to) {
					to = end
				}
			}
			if a.task == b.task && to.After(from) {
				return fmt.Sprintf("TWICE: %s and %s are at work at the same time for %d ms; they end %s and %s", a, b, to.Sub(from).Milliseconds(), a.how, b.how)
			}
		}
	}
	return ""
}

// delayedOrders are orders to start a job that are held up on their way to a worker.
type delayedOrders struct {
	mu     sync.Mutex
	worker *worker
	orders []startOrder
	first  chan struct{}
}

// isTo reports whether the orders are to a worker.
func (t *delayedOrders) isTo(id string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.worker != nil && t.worker.id == id
}

// set holds up the orders to start run 1 of the job to the first worker that is sent one.
func (t *delayedOrders) set(f *fleet, id string) {
	t.first = make(chan struct{})
	f.heldUp = func(w *worker, o startOrder) bool {
		t.mu.Lock()
		defer t.mu.Unlock()
		if !strings.HasPrefix(o.Task, id+".") || o.Run != 1 || t.worker != nil && t.worker != w {
			return false
		}
		if t.worker == nil {
			t.worker = w
			close(t.first)
		}
		t.orders = append(t.orders, o)
		return true
	}
}

// arrive lets the orders arrive.
func (t *delayedOrders) arrive() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, o := range t.orders {
		t.worker.arriveLate(o)
	}
}

// cutTime is how long a worker is cut off from the store.
const cutTime = 5 * time.Second

// cutAndRestart cuts the worker off from the store, not from the entry VMs. It crashes behind the cut and starts again under its id.
func (t *delayedOrders) cutAndRestart() error {
	t.worker.setCut(true)
	time.Sleep(300 * time.Millisecond)
	t.worker.crash()
	time.Sleep(time.Second)
	return t.worker.restart()
}

// cutAndArrive is cutAndRestart; then the orders arrive, and the cut ends.
func (t *delayedOrders) cutAndArrive() error {
	cut := time.Now()
	if err := t.cutAndRestart(); err != nil {
		return err
	}
	time.Sleep(500 * time.Millisecond)
	t.arrive()
	time.Sleep(time.Until(cut.Add(cutTime)))
	t.worker.setCut(false)
	return nil
}

// playDeadPlanner plays an order to start a task whose sender is killed before the answer, and which arrives once the worker has started
// again.
func playDeadPlanner(i *installation, trouble bool) (string, error) {
	if err := i.open(); err != nil {
		return "", err
	}
	const short, id = "5c0e7a21d94b36f8", "7a11c04be2d9f350"
	// The first worker is busy for a moment, so that the job goes to the second one.
	if err := i.submit(batchPrefix+short, keyA, job(step{count: 1, gpu: 8, workMs: 1000, estimateMs: 1000})); err != nil {
		return "", err
	}
	runs, err := i.awaitRuns(short, 1, 5*time.Second, present)
	if err != nil {
		return "", err
	}
	time.Sleep(time.Until(runs[0].from.Add(time.Second)))
	t := &delayedOrders{}
	if trouble {
		t.set(i.fleet, id)
	}
	if err := i.submit(batchPrefix+id, keyA, job(step{count: 1, gpu: 8, workMs: 2400, estimateMs: 2400})); err != nil {
		return "", err
	}
	if trouble {
		select {
		case <-t.first:
		case <-time.After(5 * time.Second):
			return "", fmt.Errorf("no worker got an order for job %s", id)
		}
		time.Sleep(300 * time.Millisecond)
		planner := i.store.writer()
		for _, e := range i.entries {
			if e.name == planner {
				i.kill(e)
			}
		}
		if _, err := i.awaitRuns(id, 1, 20*time.Second, func(s span) bool { return present(s) && !t.isTo(s.worker) }); err != nil {
			return "", err
		}
		if err := t.cutAndArrive(); err != nil {
			return "", err
		}
	}
	time.Sleep(10 * time.Second)
	i.call(i.entries[0], "GET", batchPrefix+id, keyA, nil)
	i.call(i.entries[1], "GET", batchPrefix+id, keyA, nil)
	return overlap(i.fleet.spansOf(id)), nil
}

// playLastingTask plays orders to start a task that lasts which get no answer, and which arrive once the worker has started again.
func playLastingTask(i *installation, trouble bool) (string, error) {
	if err := i.open(); err != nil {
		return "", err
	}
	const id, others = "7a11c04be2d9f350", "5c0e7a21d94b36f8"
	t := &delayedOrders{}
	if trouble {
		t.set(i.fleet, id)
	}
	// The orders that are held up are a small share of all.
	if err := i.submit(batchPrefix+others, keyA, job(step{count: 60, workMs: 2000, estimateMs: 2000, rack: rackOf(2)})); err != nil {
		return "", err
	}
	if err := i.submit(batchPrefix+id, keyA, job(step{count: 1, gpu: 4, lasts: true, rack: rackOf(0)})); err != nil {
		return "", err
	}
	if _, err := i.awaitRuns(id, 1, 10*time.Second, func(s span) bool { return present(s) && !t.isTo(s.worker) }); err != nil {
		return "", err
	}
	if trouble {
		if err := t.cutAndArrive(); err != nil {
			return "", err
		}
	}
	time.Sleep(5 * time.Second)
	return overlap(i.fleet.spansOf(id)), nil
}

// playGuarantee plays a guaranteed job while a job of another tenant has all accelerators. Its tasks last if there is trouble.
func playGuarantee(i *installation, trouble bool) (string, error) {
	if err := i.open(); err != nil {
		return "", err
	}
	const other, id = "5c0e7a21d94b36f8", "7a11c04be2d9f350"
	filling := step{count: 8, gpu: 8, workMs: 60000, estimateMs: 60000}
	if trouble {
		filling = step{count: 8, gpu: 8, lasts: true}
	}
	if err := i.submit(batchPrefix+other, keyB, job(filling)); err != nil {
		return "", err
	}
	if _, err := i.awaitRuns(other, 8, 10*time.Second, present); err != nil {
		return "", err
	}
	time.Sleep(5 * time.Second)
	if err := i.submit(urgentPrefix+id, keyA, job(step{count: 2, gpu: 8, workMs: 2000, estimateMs: 2000})); err != nil {
		return "", err
	}
	accepted := time.Now()
	_, err := i.awaitRuns(id, 2, 30*time.Second, func(span) bool { return true })
	begun := time.Since(accepted)
	i.call(i.entries[0], "GET", urgentPrefix+id, keyA, nil)
	// Shows that nothing but the other job kept the guaranteed one from its accelerators.
	i.call(i.entries[0], "DELETE", batchPrefix+other, keyB, nil)
	if _, err := i.awaitRuns(id, 2, 10*time.Second, func(span) bool { return true }); err != nil {
		return "", err
	}
	time.Sleep(3 * time.Second)
	i.call(i.entries[0], "GET", urgentPrefix+id, keyA, nil)
	switch {
	case err != nil:
		return fmt.Sprintf("RECLAIM: the guaranteed job, which needs 16 of %d accelerators, has not begun %.1f s after its acknowledgement", guaranteed, begun.Seconds()), nil
	case begun > reclaimTime:
		return fmt.Sprintf("RECLAIM: the guaranteed job has begun only %.1f s after its acknowledgement", begun.Seconds()), nil
	}
	i.rec.add("the guaranteed job has begun after %.3f s", begun.Seconds())
	return "", nil
}

// playRack plays the crash of the worker of a task that lasts, whose data is in a rack that is full otherwise, beside idle workers elsewhere.
func playRack(i *installation, trouble bool) (string, error) {
	if err := i.open(); err != nil {
		return "", err
	}
	const id = "7a11c04be2d9f350"
	if err := i.submit(batchPrefix+id, keyA, job(step{count: 1, gpu: 8, lasts: true, rack: rackOf(0), estimateMs: 60000})); err != nil {
		return "", err
	}
	runs, err := i.awaitRuns(id, 1, 5*time.Second, present)
	if err != nil {
		return "", err
	}
	for n, rack := range []string{rackOf(0), rackOf(1), rackOf(1), rackOf(2), rackOf(2)} {
		other := fmt.Sprintf("5c0e7a21d94b36f%d", n)
		if err := i.submit(batchPrefix+other, keyA, job(step{count: 1, gpu: 8, workMs: 100000, estimateMs: 100000, rack: rack})); err != nil {
			return "", err
		}
		if _, err := i.awaitRuns(other, 1, 5*time.Second, present); err != nil {
			return "", err
		}
	}
	time.Sleep(4 * time.Second)
	if !trouble {
		time.Sleep(30 * time.Second)
		if _, err := i.awaitRuns(id, 1, time.Second, present); err != nil {
			return "LOST: the task that lasts is not at work", nil
		}
		return "", nil
	}
	i.fleet.byID(runs[0].worker).crash()
	crashed := time.Now()
	again, err := i.awaitRuns(id, 1, 40*time.Second, present)
	if err != nil {
		return fmt.Sprintf("LOST: the task that lasts has no run for %.0f s since its worker crashed, beside two idle workers that each have room for it",
			time.Since(crashed).Seconds()), nil
	}
	i.rec.add("the task that lasts runs again %.1f s after the crash, on %s", again[0].from.Sub(crashed).Seconds(), again[0].worker)
	return "", nil
}

// playKind plays a worker that is cut off from the store, not from the entry VMs, and starts again there as one of another kind.
func playKind(i *installation, trouble bool) (string, error) {
	if err := i.open(); err != nil {
		return "", err
	}
	const id, next = "7a11c04be2d9f350", "5c0e7a21d94b36f8"
	if err := i.submit(batchPrefix+id, keyA, job(step{count: 1, gpu: 8, workMs: 20000, estimateMs: 20000, label: "a"})); err != nil {
		return "", err
	}
	runs, err := i.awaitRuns(id, 1, 5*time.Second, present)
	if err != nil {
		return "", err
	}
	time.Sleep(2 * time.Second)
	w, cut := i.fleet.byID(runs[0].worker), time.Now()
	if trouble {
		w.setCut(true)
		time.Sleep(500 * time.Millisecond)
		w.crash()
		time.Sleep(time.Second)
		w.kind = "b"
		if err := w.restart(); err != nil {
			return "", err
		}
	}
	time.Sleep(time.Second)
	if err := i.submit(batchPrefix+next, keyA, job(step{count: 1, gpu: 8, workMs: 2000, estimateMs: 2000, label: "a"})); err != nil {
		return "", err
	}
	if trouble {
		time.Sleep(time.Until(cut.Add(cutTime)))
		w.setCut(false)
	}
	time.Sleep(3 * time.Second)
	for _, s := range append(i.fleet.spansOf(id), i.fleet.spansOf(next)...) {
		if s.kind != "a" {
			return fmt.Sprintf("ROUTE: %s, which requires a worker of the kind a, started on one of the kind %s", s, s.kind), nil
		}
	}
	return "", nil
}

// playTwoRestarts plays orders to start an ordinary task that get no answer, and which arrive once the worker has started again twice.
func playTwoRestarts(i *installation, trouble bool) (string, error) {
	if err := i.open(); err != nil {
		return "", err
	}
	const id, others = "7a11c04be2d9f350", "5c0e7a21d94b36f8"
	t := &delayedOrders{}
	if trouble {
		t.set(i.fleet, id)
	}
	// The orders that are held up are a small share of all.
	if err := i.submit(batchPrefix+others, keyA, job(step{count: 60, workMs: 2000, estimateMs: 2000, rack: rackOf(2)})); err != nil {
		return "", err
	}
	if err := i.submit(batchPrefix+id, keyA, job(step{count: 1, gpu: 8, workMs: 3000, estimateMs: 3000, rack: rackOf(0)})); err != nil {
		return "", err
	}
	if trouble {
		select {
		case <-t.first:
		case <-time.After(5 * time.Second):
			return "", fmt.Errorf("no worker got an order for job %s", id)
		}
		time.Sleep(2500 * time.Millisecond)
		if err := t.cutAndRestart(); err != nil {
			return "", err
		}
	}
	if _, err := i.awaitRuns(id, 1, 20*time.Second, func(s span) bool { return present(s) && !t.isTo(s.worker) }); err != nil {
		return "", err
	}
	if trouble {
		t.worker.setCut(false)
		time.Sleep(100 * time.Millisecond)
		if err := t.cutAndArrive(); err != nil {
			return "", err
		}
	}
	time.Sleep(5 * time.Second)
	i.call(i.entries[0], "GET", batchPrefix+id, keyA, nil)
	return overlap(i.fleet.spansOf(id)), nil
}
