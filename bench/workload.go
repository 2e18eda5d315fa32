package main

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"clementinepier/bundle"
	"clementinepier/job"
	"clementinepier/placement"
)

// The accelerators and slots of each worker of both users.
const (
	accelerators = 8
	slots        = 8
)

// fleet is the shape of one user's machines.
type fleet struct {
	name string
	// racks has the number of workers of each rack per failure domain.
	racks [][]int
}

// Both users have about 50 workers in racks of 6 or 8; the rest fills a small rack.
var fleets = []fleet{
	{"cooperative", [][]int{{6, 6, 1}, {6, 6, 1}, {6, 6}, {6, 6}}},
	{"brolga-lane", [][]int{{8, 8, 2}, {8, 8}, {8, 8}}},
}

func guarantee(name string, tasks, perTask, count int) bundle.Guarantee {
	shape := job.Shape{Tasks: tasks, Accelerators: perTask, Slots: max(1, perTask)}
	return bundle.Guarantee{Name: name, Shape: shape, Count: count}
}

// bundleFor returns the configuration of a fleet: four organisations, of which two are large.
func bundleFor(f fleet) *bundle.Bundle {
	b := &bundle.Bundle{ReclaimBound: job.Duration(reclaimBound), Organisations: []bundle.Organisation{
		{Name: "org-a", Weight: 4, Guarantees: []bundle.Guarantee{guarantee("gang", 4, 8, 2), guarantee("single", 1, 4, 2)}},
		{Name: "org-b", Weight: 3, Guarantees: []bundle.Guarantee{guarantee("gang", 2, 8, 3)}},
		{Name: "org-c", Weight: 2, Guarantees: []bundle.Guarantee{guarantee("single", 1, 4, 6)}},
		{Name: "org-d", Weight: 1, Guarantees: []bundle.Guarantee{guarantee("small", 1, 1, 12)}},
	}}
	for i, racks := range f.racks {
		d := bundle.FailureDomain{Name: fmt.Sprintf("domain-%d", i)}
		for j, workers := range racks {
			name := fmt.Sprintf("%s-rack-%d", d.Name, j)
			d.Racks = append(d.Racks, bundle.Rack{Name: name, Workers: workers, Slots: slots, Accelerators: accelerators})
		}
		b.FailureDomains = append(b.FailureDomains, d)
	}
	return b
}

// class is a size class of requests.
type class int

const (
	small class = iota
	medium
	large
	sizes
)

func (c class) String() string { return [...]string{"small", "medium", "large"}[c] }

// mean is the mean run time, patience the time to the deadline and part the share of the offered work by size class.
var (
	mean     = [sizes]time.Duration{8 * time.Second, 45 * time.Second, 120 * time.Second}
	patience = [sizes]time.Duration{60 * time.Second, 5 * time.Minute, 20 * time.Minute}
	part     = [sizes]float64{0.25, 0.35, 0.40}
)

// request is one request of the workload and what has become of it.
type request struct {
	need     placement.Request
	class    class
	arrival  time.Time
	deadline time.Time
	// service is the true run time; the declared one is in need.RunTime.
	service time.Duration
	// impossible requests fit no rack.
	impossible bool

	// saved is the progress that the last checkpoint kept.
	saved    time.Duration
	attempt  int
	failures int
	started  bool
	// done is true when the request has ended, in whatever way.
	done bool
	// inShare is true when the request fitted the unused guarantee of its organisation on arrival.
	inShare bool
}

// scenario is a kind of run.
type scenario struct {
	name string
	// load is the offered work as a share of all accelerators.
	load float64
	// length is how long requests arrive.
	length time.Duration
	bursts bool
	// badWorkers is true when one worker in ten fails everything.
	badWorkers bool
	// out and back are when the first failure domain leaves and returns; 0 for never.
	out, back time.Duration
	// early is true when the first failure domain is out from the beginning, which shows what the remaining capacity
	// can do without the change.
	early bool
	// patience multiplies the time to the deadline.
	patience time.Duration
}

var scenarios = []scenario{
	{name: "light", load: 0.4, length: 20 * time.Minute, patience: 1},
	{name: "mixed", load: 0.6, length: 20 * time.Minute, bursts: true, badWorkers: true, patience: 1},
	{name: "domain-change", load: 1.3, length: 15 * time.Minute, out: 5 * time.Minute, back: 10 * time.Minute, patience: 4},
}

// workload is a seeded list of requests in order of arrival.
func workload(b *bundle.Bundle, s scenario, seed uint64) []*request {
	g := &generator{random: rand.New(rand.NewPCG(seed, 1)), bundle: b, scenario: s}
	g.anchors = placement.ComputeAnchors(b, func(string) bool { return false })
	total := 0
	for _, d := range b.FailureDomains {
		for _, r := range d.Racks {
			total += r.Workers * r.Accelerators
		}
	}
	for c := range sizes {
		work := s.load * part[c] * float64(total) * s.length.Seconds()
		for work > 0 {
			r := g.request(c, time.Duration(g.random.Int64N(int64(s.length))), g.organisation())
			work -= r.service.Seconds() * float64(max(1, r.need.Shape.TotalAccelerators()))
		}
	}
	if s.bursts {
		for i, at := range []time.Duration{3, 8, 13} {
			for range 400 {
				g.request(small, at*time.Minute+time.Duration(g.random.Int64N(int64(3*time.Second))), i)
			}
			for range 5 {
				g.request(large, (at+2)*time.Minute, i%2)
			}
		}
	}
	for range len(g.requests) / 9 {
		r := g.request(medium, time.Duration(g.random.Int64N(int64(s.length))), g.organisation())
		r.impossible, r.need.Shape.Tasks, r.need.Shape.Accelerators = true, 16, accelerators
	}
	slices.SortStableFunc(g.requests, func(a, b *request) int { return a.arrival.Compare(b.arrival) })
	return g.requests
}

type generator struct {
	random   *rand.Rand
	bundle   *bundle.Bundle
	scenario scenario
	anchors  []placement.Anchor
	requests []*request
}

// organisation draws by weight.
func (g *generator) organisation() int {
	return []int{0, 0, 0, 0, 1, 1, 1, 2, 2, 3}[g.random.IntN(10)]
}

func (g *generator) shape(c class, organisation int) job.Shape {
	s := job.Shape{Tasks: 1, Accelerators: 1, Slots: 1}
	switch c {
	case small:
		if g.random.IntN(10) == 0 {
			s.Accelerators = 0
		}
	case medium:
		s.Accelerators = []int{2, 4, 4}[g.random.IntN(3)]
		if organisation < 2 {
			s.Tasks = 1 + g.random.IntN(2)
		}
	default:
		s.Tasks, s.Accelerators = 2, accelerators
		if organisation == 0 {
			s.Tasks = 4
		}
	}
	s.Slots = max(1, s.Accelerators)
	return s
}

func (g *generator) request(c class, at time.Duration, organisation int) *request {
	name := g.bundle.Organisations[organisation].Name
	r := &request{class: c, arrival: start.Add(at), service: time.Second + time.Duration(g.random.ExpFloat64()*float64(mean[c]))}
	// Half of the declarations are wrong by ten times, in both directions.
	declared := r.service * 10 / []time.Duration{1, 10, 10, 100}[g.random.IntN(4)]
	r.deadline = r.arrival.Add(r.service + patience[c]*g.scenario.patience)
	r.need = placement.Request{
		Key: job.Key{Organisation: name, ID: fmt.Sprint(len(g.requests))}, Shape: g.shape(c, organisation),
		Idempotent: g.random.IntN(10) < 7, Urgent: g.random.IntN(20) == 0, RunTime: declared,
	}
	if !placement.FitsEmptyRack(g.bundle, g.anchors, name, r.need.Shape, r.need.Idempotent) {
		r.need.Idempotent = true
	}
	g.requests = append(g.requests, r)
	return r
}
