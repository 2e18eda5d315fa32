// Command bench drives seeded lists of requests through the decision code (placement, queue) with a fake clock and
// prints one table. It models no network and no entry VM; only the decision times are real.
package main

import (
	"cmp"
	"fmt"
	"os"
	"slices"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/alexflint/go-arg"

	"clementinepier/bundle"
	"clementinepier/placement"
	"clementinepier/queue"
)

// policies are the chosen rules and the baselines.
func policies() []policy {
	byArrival := func(a, b *queue.Item) int { return a.Enqueued.Compare(b.Enqueued) }
	return []policy{
		{name: "chosen"},
		{name: "first fit", placement: placement.Options{PreferWorker: placement.FirstFitWorker, PreferRack: placement.FirstFitRack}},
		{name: "strict arrival", strict: true, queue: queue.Options{
			CompareOrganisations: func(_, _ queue.Usage) int { return 0 }, CompareItems: byArrival,
		}},
		{name: "evacuating", evacuate: true},
		{name: "no reservation", placement: placement.Options{MayReserve: func(placement.Request, int) bool { return false }}},
	}
}

func main() {
	var args struct {
		Seed      uint64 `default:"1" help:"first seed of the workloads"`
		Seeds     int    `default:"3" help:"number of seeds, whose results are added up"`
		Isolation bool   `help:"print only what the freshness windows give up when a region is cut off"`
		Capacity  bool   `help:"print only how the decision cost grows with the number of workers"`
		Fragments bool   `help:"print only what causes fragmentation under the chosen rules and under first fit"`
	}
	arg.MustParse(&args)
	out := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	if args.Isolation {
		isolation(out)
		_ = out.Flush()
		return
	}
	if args.Fragments {
		fragmentTable(out, args.Seed, args.Seeds)
		_ = out.Flush()
		return
	}
	if !args.Capacity {
		table(out, args.Seed, args.Seeds)
	}
	slopes(out)
	_ = out.Flush()
}

// table prints one row per measure and one column per policy.
func table(out *tabwriter.Writer, seed uint64, seeds int) {
	_, _ = fmt.Fprintf(out, "seeds %d to %d\t\t", seed, seed+uint64(seeds)-1)
	for _, p := range policies() {
		_, _ = fmt.Fprintf(out, "%s\t", p.name)
	}
	_, _ = fmt.Fprintln(out)
	for _, f := range fleets {
		for _, s := range scenarios {
			b := bundleFor(f)
			columns := make([]*stats, len(policies()))
			var group sync.WaitGroup
			for i, p := range policies() {
				group.Go(func() { columns[i] = results(p, s, b, seed, seeds) })
			}
			group.Wait()
			label := f.name + " " + s.name
			for o := range b.Organisations {
				for c := range sizes {
					if columns[0].total[o][c] > 0 {
						name := fmt.Sprintf("%s %s: p50/p95/p99 s, in time", b.Organisations[o].Name, c)
						row(out, label, name, columns, func(st *stats) string { return st.cell(o, c) })
					}
				}
			}
			for _, m := range measures {
				if !m.domainChange || s.out > 0 {
					row(out, label, m.name, columns, m.cell)
				}
			}
		}
	}
}

// results adds up the runs of one policy over the seeds.
func results(p policy, s scenario, b *bundle.Bundle, seed uint64, seeds int) *stats {
	sum := newStats(len(b.Organisations))
	for i := range uint64(seeds) {
		st := newSimulation(p, s, b, seed+i).run(workload(b, s, seed+i))
		if s.out > 0 {
			reference := s
			reference.early = true
			st.reference = newSimulation(p, reference, b, seed+i).run(workload(b, reference, seed+i)).windowWork
		}
		sum.add(st)
	}
	return sum
}

func row(out *tabwriter.Writer, label, name string, columns []*stats, cell func(*stats) string) {
	_, _ = fmt.Fprintf(out, "%s\t%s\t", label, name)
	for _, st := range columns {
		_, _ = fmt.Fprintf(out, "%s\t", cell(st))
	}
	_, _ = fmt.Fprintln(out)
}

// cell is the completion time and the share in time of one organisation and size class.
func (s *stats) cell(o int, c class) string {
	h := s.completion[o][c].ValueAtPercentiles([]float64{50, 95, 99})
	seconds := func(p float64) float64 { return float64(h[p]) / 1000 }
	return fmt.Sprintf("%.1f/%.1f/%.1f %s", seconds(50), seconds(95), seconds(99), percent(float64(s.within[o][c]), float64(s.total[o][c])))
}

func percent(part, whole float64) string {
	if whole == 0 {
		return "-"
	}
	return fmt.Sprintf("%.1f%%", 100*part/whole)
}

// measures are the rows that do not depend on the organisation.
var measures = []struct {
	name         string
	domainChange bool
	cell         func(*stats) string
}{
	{"fragmentation, mean", false, func(s *stats) string { return percent(s.fragmentation, s.samples) }},
	{"guaranteed within share: late (bound 5 s) / all", false, func(s *stats) string {
		return fmt.Sprintf("%d/%d", s.inShareLate, s.inShare)
	}},
	{"wasted work (preempted, retried)", false, func(s *stats) string { return percent(s.wasted, s.useful+s.wasted) }},
	{"work in the domain change, of what the remaining racks did without it", true, func(s *stats) string {
		return percent(s.windowWork, s.reference)
	}},
	{"work in the domain change, of all accelerators in service", true, func(s *stats) string {
		return percent(s.windowWork, s.windowRoom)
	}},
	{"the same before the change", true, func(s *stats) string { return percent(s.steadyWork, s.steadyRoom) }},
	{"impossible or excluded requests refused", false, func(s *stats) string { return fmt.Sprint(s.refused) }},
	{"decision, mean", false, func(s *stats) string {
		return (s.decisionTime / time.Duration(max(1, s.decisions))).Round(100 * time.Nanosecond).String()
	}},
}

// median returns the middle of the values.
func median[T cmp.Ordered](values []T) T {
	slices.Sort(values)
	return values[len(values)/2]
}
