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

// oracle keeps an independent record of the running tasks and checks the guarantees of the model against it.
type oracle struct {
	cluster  *Cluster
	now      time.Time
	racks    []string
	info     map[string]worker.Info
	disabled map[string]bool
	anchors  []Anchor
	running  map[job.Key][]Allocation
	lastID   int
}

func newOracle(options Options, b *bundle.Bundle) *oracle {
	o := &oracle{cluster: New(options), now: start, info: map[string]worker.Info{}, disabled: map[string]bool{}, running: map[job.Key][]Allocation{}}
	o.anchors = ComputeAnchors(b, func(string) bool { return false })
	for _, d := range b.FailureDomains {
		for _, r := range d.Racks {
			o.racks = append(o.racks, r.Name)
			for i := range r.Workers {
				info := worker.Info{Name: fmt.Sprintf("%s-%02d", r.Name, i), Rack: r.Name, Slots: r.Slots, Accelerators: r.Accelerators}
				o.info[info.Name] = info
				o.cluster.SetWorker(info)
			}
		}
	}
	o.cluster.SetAnchors(o.anchors)
	return o
}

// used returns what the tasks on the worker hold, without those of the given requests.
func (o *oracle) used(name string, without []job.Key) resources {
	var sum resources
	for key, members := range o.running {
		for _, a := range members {
			if a.Worker == name && !slices.Contains(without, key) {
				sum = sum.plus(a.size())
			}
		}
	}
	return sum
}

// checkPlan returns an error for a plan that breaks a guarantee.
func (o *oracle) checkPlan(req Request, p Plan) error {
	if p.Result != Placed && p.Result != Reclaim {
		return nil
	}
	if len(p.Workers) != req.Shape.Tasks {
		return fmt.Errorf("%d workers for %d tasks", len(p.Workers), req.Shape.Tasks)
	}
	if p.Result == Placed && len(p.Victims) > 0 || p.Borrowed && !req.Idempotent {
		return fmt.Errorf("plan contradicts itself: %+v", p)
	}
	for _, v := range p.Victims {
		for _, a := range o.running[v] {
			if held, _ := o.cluster.Allocation(a.Task); !held.Borrowed || !a.Idempotent {
				return fmt.Errorf("victim %v is not borrowed and idempotent", v)
			}
		}
	}
	tasks := map[string]int{}
	for _, name := range p.Workers {
		tasks[name]++
		if o.info[name].Rack != p.Rack || o.disabled[name] || slices.Contains(req.Avoid, name) {
			return fmt.Errorf("worker %s must not be used", name)
		}
		if !o.used(name, p.Victims).plus(perTask(req.Shape).times(tasks[name])).within(o.capacity(name)) {
			return fmt.Errorf("worker %s has no room for its part of %+v", name, p)
		}
	}
	return nil
}

func (o *oracle) capacity(name string) resources {
	return resources{o.info[name].Accelerators, o.info[name].Slots}
}

// submit plans a request and records what it places; victims of a reclaim are ended first.
func (o *oracle) submit(req Request) (Plan, error) {
	p := o.cluster.Plan(o.now, req, o.racks)
	if err := o.checkPlan(req, p); err != nil {
		return p, err
	}
	if p.Result == Reclaim {
		for _, v := range p.Victims {
			o.end(v)
		}
		if p = o.cluster.Plan(o.now, req, o.racks); p.Result != Placed {
			return p, fmt.Errorf("%s after the victims of %v stopped", p.Result, req.Key)
		}
		if err := o.checkPlan(req, p); err != nil {
			return p, err
		}
	}
	if p.Result == Placed {
		for i, name := range p.Workers {
			a := Allocation{
				Task:   job.TaskID{Organisation: req.Key.Organisation, RequestID: req.Key.ID, Attempt: 1, Member: i},
				Worker: name, Accelerators: req.Shape.Accelerators, Slots: req.Shape.Slots, Idempotent: req.Idempotent,
				Borrowed: p.Borrowed, Anchored: p.Anchored, StartedAt: o.now, RunTime: req.RunTime,
			}
			o.running[req.Key] = append(o.running[req.Key], a)
			o.cluster.RecordAllocation(a)
		}
	}
	return p, nil
}

func (o *oracle) end(key job.Key) {
	for _, a := range o.running[key] {
		o.cluster.Release(a.Task)
	}
	delete(o.running, key)
	o.cluster.CancelPending(key)
}

// checkAnchors returns an error when an organisation that uses nothing of a rack without disabled workers could not get its
// guaranteed shape there at once.
func (o *oracle) checkAnchors() error {
	for i, a := range o.anchors {
		if !a.IsPlaced() || o.hasDisabledWorker(a.Rack) || o.usesRack(a.Organisation, a.Rack) {
			continue
		}
		req := Request{Key: job.Key{Organisation: a.Organisation, ID: fmt.Sprint("probe", i)}, Shape: a.Shape}
		p := o.cluster.Plan(o.now, req, []string{a.Rack})
		o.cluster.CancelPending(req.Key)
		if p.Result != Placed && p.Result != Reclaim {
			return fmt.Errorf("%s for guaranteed shape %+v of %s in %s", p.Result, a.Shape, a.Organisation, a.Rack)
		}
		if err := o.checkPlan(req, p); err != nil {
			return err
		}
	}
	return nil
}

func (o *oracle) hasDisabledWorker(rack string) bool {
	for name := range o.disabled {
		if o.info[name].Rack == rack {
			return true
		}
	}
	return false
}

func (o *oracle) usesRack(organisation, rack string) bool {
	for key, members := range o.running {
		for _, a := range members {
			if held, _ := o.cluster.Allocation(a.Task); key.Organisation == organisation && o.info[a.Worker].Rack == rack && !held.Borrowed {
				return true
			}
		}
	}
	return false
}

func (o *oracle) keys() []job.Key { return slices.SortedFunc(maps.Keys(o.running), compareKeys) }

func drawShape(t *rapid.T) job.Shape {
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
		g := bundle.Guarantee{Name: "g", Shape: drawShape(t), Count: rapid.IntRange(0, 3).Draw(t, "count")}
		b.Organisations = append(b.Organisations, bundle.Organisation{Name: name, Guarantees: []bundle.Guarantee{g}})
	}
	return b
}

// clusterProperty drives a cluster with a random mix of requests, ends, checkpoints and unusable workers.
func clusterProperty(options Options) func(t *rapid.T) {
	return func(t *rapid.T) {
		o := newOracle(options, drawBundle(t))
		names := slices.Sorted(maps.Keys(o.info))
		must := func(err error) {
			if err != nil {
				t.Fatal(err)
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"submit": func(t *rapid.T) {
				o.lastID++
				req := Request{
					Key:   job.Key{Organisation: rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "organisation"), ID: fmt.Sprint(o.lastID)},
					Shape: drawShape(t), Idempotent: rapid.IntRange(0, 3).Draw(t, "idempotent") > 0,
					RunTime: time.Duration(rapid.IntRange(0, 100).Draw(t, "run time")) * time.Second,
				}
				if rapid.Bool().Draw(t, "avoids") {
					req.Avoid = []string{rapid.SampledFrom(names).Draw(t, "avoid")}
				}
				_, err := o.submit(req)
				must(err)
			},
			"end": func(t *rapid.T) {
				if keys := o.keys(); len(keys) > 0 {
					o.end(rapid.SampledFrom(keys).Draw(t, "key"))
				}
			},
			"checkpoint": func(t *rapid.T) {
				o.now = o.now.Add(time.Duration(rapid.IntRange(1, 40).Draw(t, "passed")) * time.Second)
				if keys := o.keys(); len(keys) > 0 {
					o.cluster.RecordCheckpoint(o.running[rapid.SampledFrom(keys).Draw(t, "key")][0].Task, o.now)
				}
			},
			"disable": func(t *rapid.T) {
				name := rapid.SampledFrom(names).Draw(t, "worker")
				if o.disabled[name] {
					delete(o.disabled, name)
				} else {
					o.disabled[name] = true
				}
				o.cluster.SetAvailable(name, !o.disabled[name])
			},
			"replace": func(t *rapid.T) {
				name := rapid.SampledFrom(names).Draw(t, "worker")
				o.cluster.RemoveWorker(name)
				for _, key := range o.keys() {
					if slices.ContainsFunc(o.running[key], func(a Allocation) bool { return a.Worker == name }) {
						o.end(key)
					}
				}
				delete(o.disabled, name)
				o.cluster.SetWorker(o.info[name])
			},
			"": func(t *rapid.T) { must(o.checkAnchors()) },
		})
	}
}

// Guards against overcommitted workers, gangs split over racks and guarantees that cannot be reclaimed after borrowing.
func TestGuaranteesHoldForRandomWorkloads(t *testing.T) { rapid.Check(t, clusterProperty(Options{})) }

// reclaimScatteredVictims breaks a rule on purpose: it selects victims anywhere in the rack, not on the workers of the
// block.
func reclaimScatteredVictims(c *Cluster, now time.Time, req Request, r *rack) (*reclaim, time.Duration) {
	found, cost := reclaimInRack(c, now, req, r)
	if found == nil {
		return nil, 0
	}
	found.victims = nil
	freed := 0
	for _, w := range r.workers {
		for _, a := range w.tasks {
			if a.Borrowed && freed < req.Shape.TotalAccelerators() {
				freed += a.Accelerators
				found.victims = append(found.victims, c.placedRequests[a.Task.Key()])
			}
		}
	}
	return found, cost
}

// Shows that the oracle detects each broken rule; without this, a passing property would prove nothing.
func TestOracleDetectsBrokenRules(t *testing.T) {
	for name, options := range map[string]Options{
		"borrowing without idempotency": {MayBorrow: func(Request) bool { return true }},
		"victims on scattered workers":  {reclaimInRack: reclaimScatteredVictims},
	} {
		t.Run(name, func(t *testing.T) {
			is.New(t).True(propertyFails(clusterProperty(options)))
		})
	}
	is.New(t).True(!propertyFails(clusterProperty(Options{}))) // the same inputs pass under the unbroken rules
}

// propertyFails runs a property with up to 400 fixed pseudo-random inputs and reports whether one of them fails.
func propertyFails(property func(*rapid.T)) bool {
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
