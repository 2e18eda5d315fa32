package placement

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"clementinepier/bundle"
	"clementinepier/job"
	"clementinepier/worker"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// oracle keeps its own plain record of what runs and states the promises over it.
type oracle struct {
	c        *Cluster
	now      time.Time
	racks    []string
	info     map[string]worker.Info
	disabled map[string]bool
	anchors  []Anchor
	running  map[job.Key][]Allocation
	next     int
}

func newOracle(o Options, b *bundle.Bundle) *oracle {
	w := &oracle{c: New(o), now: start, info: map[string]worker.Info{}, disabled: map[string]bool{}, running: map[job.Key][]Allocation{}}
	w.anchors = ComputeAnchors(b, func(string) bool { return false })
	for _, d := range b.FailureDomains {
		for _, r := range d.Racks {
			w.racks = append(w.racks, r.Name)
			for i := range r.Workers {
				info := worker.Info{Name: fmt.Sprintf("%s-%02d", r.Name, i), Rack: r.Name, Slots: r.Slots, Accelerators: r.Accelerators}
				w.info[info.Name] = info
				w.c.SetWorker(info)
			}
		}
	}
	w.c.SetAnchors(w.anchors)
	return w
}

// used adds up what the worker holds, leaving out the requests named.
func (w *oracle) used(name string, without []job.Key) amount {
	var sum amount
	for key, members := range w.running {
		for _, a := range members {
			if a.Worker == name && !slices.Contains(without, key) {
				sum = sum.plus(a.size())
			}
		}
	}
	return sum
}

// checkPlan reports a plan that breaks a promise.
func (w *oracle) checkPlan(n Request, p Plan) error {
	if p.Result != Placed && p.Result != Reclaim {
		return nil
	}
	if len(p.Workers) != n.Shape.Tasks {
		return fmt.Errorf("%d workers for %d tasks", len(p.Workers), n.Shape.Tasks)
	}
	if p.Result == Placed && len(p.Victims) > 0 || p.Borrowed && !n.Idempotent {
		return fmt.Errorf("plan contradicts itself: %+v", p)
	}
	for _, v := range p.Victims {
		for _, a := range w.running[v] {
			if held, _ := w.c.Allocation(a.Task); !held.Borrowed || !a.Idempotent {
				return fmt.Errorf("victim %v is not borrowed and idempotent", v)
			}
		}
	}
	tasks := map[string]int{}
	for _, name := range p.Workers {
		tasks[name]++
		if w.info[name].Rack != p.Rack || w.disabled[name] || slices.Contains(n.Avoid, name) {
			return fmt.Errorf("worker %s must not be used", name)
		}
		if !w.used(name, p.Victims).plus(perTask(n.Shape).times(tasks[name])).within(w.capacity(name)) {
			return fmt.Errorf("worker %s has no room for its part of %+v", name, p)
		}
	}
	return nil
}

func (w *oracle) capacity(name string) amount {
	return amount{w.info[name].Accelerators, w.info[name].Slots}
}

// submit plans a need and carries the plan out.
func (w *oracle) submit(n Request) (Plan, error) {
	p := w.c.Plan(w.now, n, w.racks)
	if err := w.checkPlan(n, p); err != nil {
		return p, err
	}
	if p.Result == Reclaim {
		for _, v := range p.Victims {
			w.end(v)
		}
		if p = w.c.Plan(w.now, n, w.racks); p.Result != Placed {
			return p, fmt.Errorf("%s after the victims of %v stopped", p.Result, n.Key)
		}
		if err := w.checkPlan(n, p); err != nil {
			return p, err
		}
	}
	if p.Result == Placed {
		for i, name := range p.Workers {
			a := Allocation{
				Task:   job.TaskID{Organisation: n.Key.Organisation, RequestID: n.Key.ID, Attempt: 1, Member: i},
				Worker: name, Accelerators: n.Shape.Accelerators, Slots: n.Shape.Slots, Idempotent: n.Idempotent,
				Borrowed: p.Borrowed, Anchored: p.Anchored, StartedAt: w.now, RunTime: n.RunTime,
			}
			w.running[n.Key] = append(w.running[n.Key], a)
			w.c.RecordAllocation(a)
		}
	}
	return p, nil
}

func (w *oracle) end(key job.Key) {
	for _, a := range w.running[key] {
		w.c.Release(a.Task)
	}
	delete(w.running, key)
	w.c.CancelPending(key)
}

// checkAnchors reports an organisation that does not use its share of a healthy rack and cannot have it at once.
func (w *oracle) checkAnchors() error {
	for i, a := range w.anchors {
		if !a.IsPlaced() || w.damaged(a.Rack) || w.usesRack(a.Organisation, a.Rack) {
			continue
		}
		n := Request{Key: job.Key{Organisation: a.Organisation, ID: fmt.Sprint("probe", i)}, Shape: a.Shape}
		p := w.c.Plan(w.now, n, []string{a.Rack})
		w.c.CancelPending(n.Key)
		if p.Result != Placed && p.Result != Reclaim {
			return fmt.Errorf("%s for guaranteed shape %+v of %s in %s", p.Result, a.Shape, a.Organisation, a.Rack)
		}
		if err := w.checkPlan(n, p); err != nil {
			return err
		}
	}
	return nil
}

func (w *oracle) damaged(rack string) bool {
	for name := range w.disabled {
		if w.info[name].Rack == rack {
			return true
		}
	}
	return false
}

func (w *oracle) usesRack(organisation, rack string) bool {
	for key, members := range w.running {
		for _, a := range members {
			if held, _ := w.c.Allocation(a.Task); key.Organisation == organisation && w.info[a.Worker].Rack == rack && !held.Borrowed {
				return true
			}
		}
	}
	return false
}

func (w *oracle) keys() []job.Key { return slices.SortedFunc(maps.Keys(w.running), compareKeys) }

func shapes(t *rapid.T) job.Shape {
	return job.Shape{
		Tasks:        rapid.SampledFrom([]int{1, 1, 1, 2, 3, 4}).Draw(t, "tasks"),
		Accelerators: rapid.SampledFrom([]int{0, 1, 1, 2, 4, 8}).Draw(t, "accelerators"),
		Slots:        rapid.SampledFrom([]int{1, 1, 2, 8}).Draw(t, "slots"),
	}
}

func drawBundle(t *rapid.T) *bundle.Bundle {
	b := &bundle.Bundle{FailureDomains: []bundle.FailureDomain{{Name: "north", Racks: []bundle.Rack{
		{Name: "r1", Workers: rapid.IntRange(1, 5).Draw(t, "workers"), Slots: 8, Accelerators: 8},
		{Name: "r2", Workers: rapid.IntRange(3, 6).Draw(t, "workers"), Slots: 8, Accelerators: 8},
	}}}}
	for _, name := range []string{"a", "b", "c"} {
		g := bundle.Guarantee{Name: "g", Shape: shapes(t), Count: rapid.IntRange(0, 3).Draw(t, "count")}
		b.Organisations = append(b.Organisations, bundle.Organisation{Name: name, Guarantees: []bundle.Guarantee{g}})
	}
	return b
}

// property drives a cluster with a random mix of requests, ends, checkpoints and unusable workers.
func property(o Options) func(t *rapid.T) {
	return func(t *rapid.T) {
		w := newOracle(o, drawBundle(t))
		names := slices.Sorted(maps.Keys(w.info))
		must := func(err error) {
			if err != nil {
				t.Fatal(err)
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"submit": func(t *rapid.T) {
				w.next++
				n := Request{
					Key:   job.Key{Organisation: rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "organisation"), ID: fmt.Sprint(w.next)},
					Shape: shapes(t), Idempotent: rapid.IntRange(0, 3).Draw(t, "idempotent") > 0,
					RunTime: time.Duration(rapid.IntRange(0, 100).Draw(t, "run time")) * time.Second,
				}
				if rapid.Bool().Draw(t, "avoids") {
					n.Avoid = []string{rapid.SampledFrom(names).Draw(t, "avoid")}
				}
				_, err := w.submit(n)
				must(err)
			},
			"end": func(t *rapid.T) {
				if keys := w.keys(); len(keys) > 0 {
					w.end(rapid.SampledFrom(keys).Draw(t, "key"))
				}
			},
			"checkpoint": func(t *rapid.T) {
				w.now = w.now.Add(time.Duration(rapid.IntRange(1, 40).Draw(t, "passed")) * time.Second)
				if keys := w.keys(); len(keys) > 0 {
					w.c.RecordCheckpoint(w.running[rapid.SampledFrom(keys).Draw(t, "key")][0].Task, w.now)
				}
			},
			"disable": func(t *rapid.T) {
				name := rapid.SampledFrom(names).Draw(t, "worker")
				if w.disabled[name] {
					delete(w.disabled, name)
				} else {
					w.disabled[name] = true
				}
				w.c.SetAvailable(name, !w.disabled[name])
			},
			"replace": func(t *rapid.T) {
				name := rapid.SampledFrom(names).Draw(t, "worker")
				w.c.RemoveWorker(name)
				for _, key := range w.keys() {
					if slices.ContainsFunc(w.running[key], func(a Allocation) bool { return a.Worker == name }) {
						w.end(key)
					}
				}
				delete(w.disabled, name)
				w.c.SetWorker(w.info[name])
			},
			"": func(t *rapid.T) { must(w.checkAnchors()) },
		})
	}
}

// Guards against overcommit, split gangs and guarantees that cannot be reclaimed, whatever is lent.
func TestPromisesHoldForAnyMix(t *testing.T) { rapid.Check(t, property(Options{})) }

// scattered takes victims by lost work alone, wherever in the rack they are.
func scattered(c *Cluster, now time.Time, n Request, r *rack) (*reclaim, time.Duration) {
	q, cost := reclaimIn(c, now, n, r)
	if q == nil {
		return nil, 0
	}
	q.victims = nil
	room := 0
	for _, w := range r.nodes {
		for _, a := range w.tasks {
			if a.Borrowed && room < n.Shape.TotalAccelerators() {
				room += a.Accelerators
				q.victims = append(q.victims, c.requests[a.Task.Key()])
			}
		}
	}
	return q, cost
}

// Shows that the oracle sees each broken rule: a check that passes whatever the rules are would prove nothing.
func TestOracleCatchesBrokenRules(t *testing.T) {
	for name, o := range map[string]Options{
		"borrowing without idempotency": {MayBorrow: func(Request) bool { return true }},
		"victims on scattered workers":  {reclaimIn: scattered},
	} {
		t.Run(name, func(t *testing.T) {
			is.New(t).True(fails(property(o)))
		})
	}
	is.New(t).True(!fails(property(Options{}))) // the same inputs pass under the unbroken rules
}

// fails runs a property with fixed random bytes until it fails.
func fails(property func(*rapid.T)) bool {
	fuzz := rapid.MakeFuzz(property)
	state := uint64(1)
	for range 400 {
		input := make([]byte, 8192)
		for i := range input {
			state = state*6364136223846793005 + 1442695040888963407
			input[i] = byte(state >> 56)
		}
		r := &testing.T{}
		done := make(chan bool)
		go func() {
			defer func() { done <- recover() != nil || r.Failed() }()
			fuzz(r, input)
		}()
		if <-done {
			return true
		}
	}
	return false
}
