package main

import (
	"fmt"
	"text/tabwriter"
	"time"

	"clementinepier/bundle"
	"clementinepier/job"
)

// The causes of fragmentation and of idle accelerators.
const (
	causeSmallRack    = "whole workers of racks too small for the shape"
	causeRackSmall    = "whole workers, others of the rack held by small requests"
	causeRackMedium   = "whole workers, others of the rack held by medium requests"
	causeRackLarge    = "whole workers, others of the rack held by large requests or excluded"
	causeWorkerSmall  = "rest of workers that small requests hold"
	causeWorkerMedium = "rest of workers that medium requests hold"
	idleReserved      = "rack reserved"
	idleRamp          = "ramp after the return"
	idleRepeatable    = "a waiting repeatable request fits"
	idleOnlyFixed     = "only waiting requests that may start once fit"
	idleNothingFits   = "no waiting shape fits"
	backlogNone       = "nothing waits"
	backlogOther      = "smaller shapes wait"
	backlogLargest    = "the largest shape waits"
	rampWindow        = 10 * time.Second
)

var (
	backlogs = []string{backlogNone, backlogOther, backlogLargest}
	causes   = []string{causeSmallRack, causeRackSmall, causeRackMedium, causeRackLarge, causeWorkerSmall, causeWorkerMedium}
	idles    = []string{idleReserved, idleRamp, idleRepeatable, idleOnlyFixed, idleNothingFits}
)

// fragments divides free accelerators by the cause that keeps them free or fragmented. It adds up samples.
type fragments struct {
	samples, fragmentation, free map[string]float64
	// accelerators is by backlog and cause.
	accelerators map[[2]string]float64
	// left is accelerators times the seconds that their longest holder still runs, by cause.
	left map[string]float64
	// idle has the free accelerators in service during the domain change by cause.
	idle map[string]float64
	room float64
}

func newFragments() *fragments {
	return &fragments{
		samples: map[string]float64{}, fragmentation: map[string]float64{}, free: map[string]float64{},
		accelerators: map[[2]string]float64{}, left: map[string]float64{}, idle: map[string]float64{},
	}
}

// holding is what runs on a worker: the smallest class and the longest remaining run time.
type holding struct {
	accelerators, slots int
	class               class
	left                time.Duration
}

func (m *simulation) holdings() map[string]holding {
	held := map[string]holding{}
	for _, run := range m.running {
		left := run.request.service - run.request.saved - m.now.Sub(run.startedAt)
		for _, name := range run.plan.Workers {
			h, ok := held[name]
			if !ok {
				h.class = sizes
			}
			h.accelerators += run.request.need.Shape.Accelerators
			h.slots += run.request.need.Shape.Slots
			h.class, h.left = min(h.class, run.request.class), max(h.left, left)
			held[name] = h
		}
	}
	return held
}

// backlog returns the requests that wait and what kind of backlog they are.
func (m *simulation) backlog() (string, []*request) {
	kind := backlogNone
	var waiting []*request
	for key, r := range m.requests {
		if r.impossible || r.done || m.running[key] != nil {
			continue
		}
		waiting = append(waiting, r)
		if r.need.Shape.TotalAccelerators() >= m.largest.TotalAccelerators() {
			kind = backlogLargest
		} else if kind == backlogNone {
			kind = backlogOther
		}
	}
	return kind, waiting
}

func workerName(r bundle.Rack, i int) string { return r.Name + string(rune('a'+i)) }

// sample adds the state of the simulation.
func (f *fragments) sample(m *simulation) {
	held := m.holdings()
	kind, waiting := m.backlog()
	f.samples[kind]++
	f.fragmentation[kind] += m.cluster.Fragmentation(m.largest)
	for _, d := range m.bundle.FailureDomains {
		for _, r := range d.Racks {
			f.addRack(m, r, kind, held)
			if m.inWindow() && !m.out[d.Name] {
				f.addIdle(m, r, waiting, held)
			}
		}
	}
}

// addRack adds the fragmented accelerators of one rack.
func (f *fragments) addRack(m *simulation, r bundle.Rack, kind string, held map[string]holding) {
	whole, rack := 0, holding{class: sizes}
	add := func(cause string, free int, left time.Duration) {
		f.accelerators[[2]string{kind, cause}] += float64(free)
		f.left[cause] += float64(free) * left.Seconds()
	}
	for i := range r.Workers {
		name := workerName(r, i)
		if m.excluded[name] {
			continue
		}
		h, ok := held[name]
		f.free[kind] += float64(r.Accelerators - h.accelerators)
		if !ok {
			whole++
			continue
		}
		rack.class, rack.left = min(rack.class, h.class), max(rack.left, h.left)
		cause := causeWorkerMedium
		if h.class == small {
			cause = causeWorkerSmall
		}
		add(cause, r.Accelerators-h.accelerators, h.left)
	}
	if whole >= m.largest.Tasks {
		return
	}
	cause := causeRackLarge
	switch {
	case r.Workers < m.largest.Tasks:
		cause = causeSmallRack
	case rack.class == small:
		cause = causeRackSmall
	case rack.class == medium:
		cause = causeRackMedium
	}
	add(cause, whole*r.Accelerators, rack.left)
}

// addIdle adds the free accelerators of one rack by what keeps them idle.
func (f *fragments) addIdle(m *simulation, r bundle.Rack, waiting []*request, held map[string]holding) {
	cause := idleNothingFits
	for _, w := range waiting {
		reserved, _, ok := m.cluster.Reservation(w.need.Key)
		if ok && reserved == r.Name {
			cause = idleReserved
			break
		}
		if fitsRack(m, r, w.need.Shape, held) {
			if w.need.Idempotent {
				cause = idleRepeatable
			} else if cause == idleNothingFits {
				cause = idleOnlyFixed
			}
		}
	}
	if m.ramp != nil && m.now.Sub(m.ramp.ReturnedAt) < rampWindow && m.rackOf[r.Name] == m.bundle.FailureDomains[0].Name {
		cause = idleRamp
	}
	for i := range r.Workers {
		f.idle[cause] += float64(r.Accelerators - held[workerName(r, i)].accelerators)
		f.room += float64(r.Accelerators)
	}
}

// fitsRack reports whether the free capacity of the rack fits the shape, whoever it is anchored for.
func fitsRack(m *simulation, r bundle.Rack, s job.Shape, held map[string]holding) bool {
	hosts := 0
	for i := range r.Workers {
		name := workerName(r, i)
		if !m.excluded[name] {
			h := held[name]
			n := (r.Slots - h.slots) / max(1, s.Slots)
			if s.Accelerators > 0 {
				n = min(n, (r.Accelerators-h.accelerators)/s.Accelerators)
			}
			hosts += n
		}
	}
	return s.Accelerators > 0 && hosts >= s.Tasks
}

// fragmentTable prints the causes under the chosen rules and under first fit.
func fragmentTable(out *tabwriter.Writer, seed uint64, seeds int) {
	for _, f := range fleets {
		for _, s := range scenarios {
			for _, p := range policies()[:2] {
				sum := newFragments()
				for i := range uint64(seeds) {
					m := newSimulation(p, s, bundleFor(f), seed+i)
					m.fragments = sum
					m.run(workload(m.bundle, s, seed+i))
				}
				sum.print(out, f.name+" "+s.name+"\t"+p.name)
			}
		}
	}
}

func (f *fragments) print(out *tabwriter.Writer, label string) {
	all := 0.0
	for _, b := range backlogs {
		all += f.samples[b]
	}
	for _, b := range backlogs {
		n := f.samples[b]
		if n == 0 {
			continue
		}
		_, _ = fmt.Fprintf(out, "%s\t%s\t%s of samples\tfragmentation %s\tfree %.1f\t\n", label, b, percent(n, all), percent(f.fragmentation[b], n), f.free[b]/n)
		for _, c := range causes {
			_, _ = fmt.Fprintf(out, "%s\t%s\t%s\t%.1f accelerators\t\t\n", label, b, c, f.accelerators[[2]string{b, c}]/n)
		}
	}
	for _, c := range causes {
		total := 0.0
		for _, b := range backlogs {
			total += f.accelerators[[2]string{b, c}]
		}
		_, _ = fmt.Fprintf(out, "%s\tall\t%s\tlongest holder has %.0f s left\t\t\n", label, c, f.left[c]/max(1, total))
	}
	if f.room == 0 {
		return
	}
	for _, c := range idles {
		_, _ = fmt.Fprintf(out, "%s\tdomain change\tidle: %s\t%s of all in service\t\t\n", label, c, percent(f.idle[c], f.room))
	}
}
