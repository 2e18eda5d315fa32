package main

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"text/tabwriter"
	"time"

	"clementinepier/bundle"
	"clementinepier/job"
	"clementinepier/placement"
	"clementinepier/worker"
)

// fleetOf returns racks of 8 workers in one failure domain with a quarter of the racks under anchors.
func fleetOf(workers int) *bundle.Bundle {
	b := &bundle.Bundle{FailureDomains: []bundle.FailureDomain{{Name: "domain"}}}
	for i := 0; i < workers; i += 8 {
		r := bundle.Rack{Name: fmt.Sprintf("rack-%03d", i/8), Workers: min(8, workers-i), Slots: slots, Accelerators: accelerators}
		b.FailureDomains[0].Racks = append(b.FailureDomains[0].Racks, r)
	}
	b.Organisations = []bundle.Organisation{
		{Name: "org-a", Guarantees: []bundle.Guarantee{guarantee("gang", 4, 8, max(1, workers/16))}},
	}
	return b
}

// slopes prints what a decision costs when one VM owns all racks of fleets of three sizes.
func slopes(out *tabwriter.Writer) {
	_, _ = fmt.Fprintln(out, "workers owned\tneed\tns per decision\tns per worker\tbytes per decision\t")
	for _, workers := range []int{50, 400, 1400} {
		for _, n := range []struct {
			name  string
			shape job.Shape
		}{{"one accelerator", job.Shape{Tasks: 1, Accelerators: 1, Slots: 1}}, {"gang of 4x8", job.Shape{Tasks: 4, Accelerators: 8, Slots: 8}}} {
			cost, bytes := decisionCost(workers, n.shape)
			_, _ = fmt.Fprintf(out, "%d\t%s\t%d\t%d\t%d\t\n", workers, n.name, cost.Nanoseconds(), cost.Nanoseconds()/int64(workers), bytes)
		}
	}
}

// decisionCost fills 70% of a fleet and measures plans for a shape.
func decisionCost(workers int, shape job.Shape) (time.Duration, uint64) {
	const rounds, repeats = 200, 9
	b := fleetOf(workers)
	c := placement.New(placement.Options{})
	var racks []string
	for _, r := range b.FailureDomains[0].Racks {
		racks = append(racks, r.Name)
		for i := range r.Workers {
			c.SetWorker(worker.Info{Name: fmt.Sprintf("%s-%d", r.Name, i), Rack: r.Name, Slots: r.Slots, Accelerators: r.Accelerators})
		}
	}
	c.SetAnchors(placement.ComputeAnchors(b, func(string) bool { return false }))
	random := rand.New(rand.NewPCG(1, 3))
	for held, id := 0, 0; held < workers*accelerators*7/10; id++ {
		n := placement.Request{Key: job.Key{Organisation: "org-b", ID: fmt.Sprint(id)}, Idempotent: true}
		n.Shape = job.Shape{Tasks: 1, Accelerators: 1 + random.IntN(8), Slots: 1}
		for member, name := range c.Plan(start, n, racks).Workers {
			held += n.Shape.Accelerators
			id := job.TaskID{Organisation: "org-b", RequestID: n.Key.ID, Attempt: 1, Member: member}
			c.RecordAllocation(placement.Allocation{Task: id, Worker: name, Accelerators: n.Shape.Accelerators, Slots: 1, Idempotent: true, StartedAt: start})
		}
	}
	var times []time.Duration
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	for range repeats {
		began := time.Now()
		for i := range rounds {
			n := placement.Request{Key: job.Key{Organisation: "org-a", ID: "probe"}, Shape: shape, Idempotent: i%2 == 0}
			c.Plan(start, n, racks)
			c.CancelPending(n.Key)
		}
		times = append(times, time.Since(began)/rounds)
	}
	runtime.ReadMemStats(&after)
	return median(times), (after.TotalAlloc - before.TotalAlloc) / (rounds * repeats)
}
