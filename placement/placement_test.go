package placement

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"clementinepier/bundle"
	"clementinepier/job"
	"clementinepier/worker"
)

func domains(racks, workers int, names ...string) []bundle.FailureDomain {
	var ds []bundle.FailureDomain
	for _, name := range names {
		d := bundle.FailureDomain{Name: name}
		for i := range racks {
			d.Racks = append(d.Racks, bundle.Rack{Name: fmt.Sprintf("%s-r%d", name, i), Workers: workers, Slots: 8, Accelerators: 8})
		}
		ds = append(ds, d)
	}
	return ds
}

func organisation(name string, s job.Shape, count int) bundle.Organisation {
	return bundle.Organisation{Name: name, Guarantees: []bundle.Guarantee{{Name: "g", Shape: s, Count: count}}}
}

func shape(tasks, accelerators int) job.Shape {
	return job.Shape{Tasks: tasks, Accelerators: accelerators, Slots: max(1, accelerators)}
}

func need(org, id string, s job.Shape, idempotent bool) Request {
	return Request{Key: job.Key{Organisation: org, ID: id}, Shape: s, Idempotent: idempotent}
}

func nothingOut(string) bool { return false }

// Guards against anchors piled into one domain, scattered over workers, or moved by another domain's leaving.
func TestAnchorsSpreadPackAndStay(t *testing.T) {
	is := is.New(t)
	b := &bundle.Bundle{FailureDomains: domains(2, 6, "a", "b", "c", "d"), Organisations: []bundle.Organisation{
		organisation("o", shape(4, 8), 4), organisation("p", shape(2, 4), 6),
	}}
	all := ComputeAnchors(b, nothingOut)
	perDomain := map[string]int{}
	for _, a := range all {
		is.True(a.IsPlaced())
		is.Equal(len(a.Block), a.Shape.TotalAccelerators()/8) // as few workers as possible
		if a.Organisation == "o" {
			perDomain[a.FailureDomain]++
		}
	}
	is.Equal(perDomain, map[string]int{"a": 1, "b": 1, "c": 1, "d": 1})
	for _, d := range b.FailureDomains {
		for i, a := range ComputeAnchors(b, func(name string) bool { return name == d.Name }) {
			is.True(a.IsPlaced() && a.FailureDomain != d.Name)
			if all[i].FailureDomain != d.Name {
				is.Equal(a, all[i])
			}
		}
	}
	only := ComputeAnchors(b, func(name string) bool { return name != "a" })
	is.True(slices.ContainsFunc(only, func(a Anchor) bool { return !a.IsPlaced() })) // reported, not dropped
	is.Equal(len(only), len(all))
}

// Guards against small requests on whole free workers or on the anchors of others while partly used workers have room.
func TestSmallRequestsPack(t *testing.T) {
	is := is.New(t)
	w := newOracle(Options{}, &bundle.Bundle{FailureDomains: domains(1, 4, "a"), Organisations: []bundle.Organisation{organisation("o", shape(1, 8), 1)}})
	first, err := w.submit(need("p", "0", shape(1, 1), true))
	is.NoErr(err)
	for i := range 7 {
		p, err := w.submit(need("p", fmt.Sprint(i+1), shape(1, 1), true))
		is.NoErr(err)
		is.Equal(p.Workers, first.Workers)
		is.True(!p.Borrowed)
	}
	p, err := w.submit(need("p", "gang", shape(2, 8), false))
	is.NoErr(err)
	is.Equal(p.Result, Placed)
	p, err = w.submit(need("p", "once", shape(1, 1), false)) // only the anchor of o is free
	is.NoErr(err)
	is.Equal(p.Result, Wait)
	p, err = w.submit(need("p", "again", shape(1, 1), true))
	is.NoErr(err)
	is.True(p.Result == Placed && p.Borrowed)
	is.True(w.c.FitsUnusedAnchors(need("o", "own", shape(1, 8), false), w.racks)) // though it has to be reclaimed
	is.True(!w.c.FitsUnusedAnchors(need("p", "own", shape(1, 8), false), w.racks))
	p, err = w.submit(need("o", "own", shape(1, 8), false))
	is.NoErr(err)
	is.True(p.Result == Placed && p.Anchored)
}

// Guards against spreading small requests over racks that have more whole workers left: the tight fit in the second rack
// would keep a rack broken that could soon serve a gang.
func TestSmallRequestsFillTheMostBrokenRack(t *testing.T) {
	is := is.New(t)
	c := New(Options{})
	for _, rack := range []string{"broken", "whole"} {
		for i := range 3 {
			c.SetWorker(worker.Info{Name: fmt.Sprintf("%s-%d", rack, i), Rack: rack, Slots: 8, Accelerators: 8})
		}
	}
	for i, held := range []struct {
		worker       string
		accelerators int
	}{{"broken-0", 8}, {"broken-1", 8}, {"whole-0", 7}} {
		is.True(c.RecordAllocation(Allocation{
			Task:   job.TaskID{Organisation: "p", RequestID: fmt.Sprint("held-", i), Attempt: 1},
			Worker: held.worker, Accelerators: held.accelerators, Slots: held.accelerators,
		}))
	}
	p := c.Plan(time.Time{}, need("p", "small", shape(1, 1), true), []string{"whole", "broken"})
	is.Equal(p.Result, Placed)
	is.Equal(p.Workers, []string{"broken-2"})
}

// Guards against a guaranteed request that becomes preemptible although its own anchor is free: borrowing would do less
// harm to whole blocks here.
func TestShareIsUsedBeforeBorrowing(t *testing.T) {
	is := is.New(t)
	w := newOracle(Options{}, &bundle.Bundle{FailureDomains: domains(1, 2, "a"), Organisations: []bundle.Organisation{
		organisation("o", shape(1, 8), 1), organisation("p", shape(1, 1), 8),
	}})
	_, err := w.submit(need("q", "x", shape(1, 1), true)) // breaks one of the two workers
	is.NoErr(err)
	for i := range 3 {
		p, err := w.submit(need("p", fmt.Sprint(i), shape(1, 1), true))
		is.NoErr(err)
		is.True(p.Result == Placed && p.Anchored && !p.Borrowed)
	}
}

// Guards against preempting the request that loses most: observed time counts, declared run times do not.
func TestReclaimTakesLeastLostWork(t *testing.T) {
	is := is.New(t)
	w := newOracle(Options{}, &bundle.Bundle{FailureDomains: domains(1, 1, "a"), Organisations: []bundle.Organisation{organisation("o", shape(1, 4), 2)}})
	for i, id := range []string{"old", "saved", "young"} {
		n := need("p", id, shape(1, 2), true)
		n.RunTime = time.Duration(i) * time.Hour
		_, err := w.submit(n)
		is.NoErr(err)
		w.now = w.now.Add(time.Minute)
	}
	w.c.RecordCheckpoint(job.TaskID{Organisation: "p", RequestID: "saved", Attempt: 1}, w.now)
	is.Equal(w.c.Plan(w.now, need("o", "x", shape(1, 4), false), w.racks).Victims, []job.Key{{Organisation: "p", ID: "saved"}})
	p := w.c.Plan(w.now, need("o", "y", shape(1, 4), false), w.racks)
	is.Equal(len(p.Victims), 3) // both blocks together are the whole worker
	for _, id := range []string{"saved", "young"} {
		w.end(job.Key{Organisation: "p", ID: id})
	}
	is.Equal(w.c.Plan(w.now, need("p", "late", shape(1, 2), true), w.racks).Result, Wait) // the freed block is claimed
	is.Equal(w.c.Plan(w.now, need("o", "x", shape(1, 4), false), w.racks).Result, Placed)
}

// Guards against a block that stays claimed for a request that is gone, or for a worker that is.
func TestReclaimEndsWithItsRequestOrWorker(t *testing.T) {
	for name, finish := range map[string]func(w *oracle){
		"idle":    func(w *oracle) { w.now = w.now.Add(defaultIdle + time.Second) },
		"forget":  func(w *oracle) { w.c.CancelPending(job.Key{Organisation: "o", ID: "x"}) },
		"removed": func(w *oracle) { w.c.RemoveWorker("a-r0-00"); w.c.SetWorker(w.info["a-r0-00"]) },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w := newOracle(Options{}, &bundle.Bundle{FailureDomains: domains(1, 1, "a"), Organisations: []bundle.Organisation{organisation("o", shape(1, 8), 1)}})
			_, err := w.submit(need("p", "victim", shape(1, 2), true))
			is.NoErr(err)
			is.Equal(w.c.Plan(w.now, need("o", "x", shape(1, 8), false), w.racks).Result, Reclaim)
			is.Equal(w.c.Plan(w.now, need("p", "y", shape(1, 2), true), w.racks).Result, Wait)
			finish(w)
			is.Equal(w.c.Plan(w.now, need("p", "y", shape(1, 2), true), w.racks).Result, Placed)
		})
	}
}

// Guards against large requests that starve behind a stream of small ones, also when the small ones declare run times
// ten times too short. Without the reservation the large request never starts.
func TestReservationStopsStarvation(t *testing.T) {
	const bound = 30 * time.Second
	waited := func(o Options, declared time.Duration) time.Duration {
		is := is.New(t)
		o.ReservationBound = bound
		w := newOracle(o, &bundle.Bundle{FailureDomains: domains(1, 2, "a")})
		ends := map[job.Key]time.Time{}
		for second := range 600 {
			w.now = start.Add(time.Duration(second) * time.Second)
			for _, key := range w.keys() {
				if !ends[key].After(w.now) {
					w.end(key)
				}
			}
			if second >= 60 {
				p, err := w.submit(need("p", "large", shape(2, 8), false))
				is.NoErr(err)
				if p.Result == Placed {
					return time.Duration(second-60) * time.Second
				}
			}
			for i := range 3 {
				n := need("q", fmt.Sprintf("%d-%d", second, i), shape(1, 1), false)
				n.RunTime = declared
				p, err := w.submit(n)
				is.NoErr(err)
				if p.Result == Placed {
					ends[n.Key] = w.now.Add(10 * time.Second)
				} else {
					w.c.CancelPending(n.Key)
				}
			}
		}
		return time.Hour
	}
	for _, declared := range []time.Duration{0, time.Second, 10 * time.Second, 100 * time.Second} {
		is.New(t).True(waited(Options{}, declared) <= bound+11*time.Second)
	}
	is.New(t).Equal(waited(Options{MayReserve: func(Request, int) bool { return false }}, time.Second), time.Hour)
}

// Each case guards against one fault of the fleet that must not cost a guarantee or use a worker wrongly.
func TestFaults(t *testing.T) {
	large := shape(2, 8)
	for _, tc := range []struct {
		name    string
		prepare func(w *oracle)
		need    Request
		want    Result
		workers []string
	}{
		{
			name:    "anchored worker lost: the anchor moves to a spare worker",
			prepare: func(w *oracle) { w.c.SetAvailable("a-r0-00", false) },
			need:    need("o", "x", large, false), want: Placed, workers: []string{"a-r0-01", "a-r0-02"},
		},
		{
			name: "anchored worker leaves while its tasks run: they still count",
			prepare: func(w *oracle) {
				_, _ = w.submit(need("p", "small", shape(1, 8), true))
				info := w.info["a-r0-02"]
				info.Leaving = true
				w.c.SetWorker(info)
			},
			need: need("p", "x", shape(1, 1), false), want: Wait,
		},
		{
			name: "fragmented rack: free accelerators on too many workers",
			prepare: func(w *oracle) {
				for i := range 3 {
					_, _ = w.submit(need("p", fmt.Sprint(i), shape(1, 7), true))
				}
			},
			need: need("p", "x", shape(1, 2), true), want: Wait,
		},
		{
			name: "avoided worker", need: Request{Key: job.Key{Organisation: "p", ID: "x"}, Shape: shape(1, 1), Avoid: []string{"a-r0-02"}},
			want: Wait,
		},
		{name: "not repeatable and too large beside the anchors of others", need: need("p", "x", large, false), want: Infeasible},
		{name: "too many accelerators for a task", need: need("p", "x", shape(1, 9), true), want: Infeasible},
		{name: "too many tasks for a rack", need: need("p", "x", shape(4, 8), true), want: Infeasible},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			w := newOracle(Options{}, &bundle.Bundle{FailureDomains: domains(1, 3, "a"), Organisations: []bundle.Organisation{organisation("o", large, 1)}})
			if tc.prepare != nil {
				tc.prepare(w)
			}
			p := w.c.Plan(w.now, tc.need, w.racks)
			is.Equal(p.Result, tc.want)
			if tc.workers != nil {
				is.Equal(p.Workers, tc.workers)
			}
		})
	}
	is := is.New(t)
	w := newOracle(Options{}, &bundle.Bundle{FailureDomains: append(domains(1, 1, "a"), domains(1, 4, "b")...)})
	is.Equal(w.c.Plan(w.now, need("p", "x", shape(3, 8), true), []string{"a-r0"}), Plan{Result: Wait, FitsElsewhere: true})
}

// Guards against anchors that arrive over running tasks and could not be reclaimed from them, and against preempting a
// request that may start only once.
func TestNewAnchorsMakeRepeatableTasksBorrowed(t *testing.T) {
	is := is.New(t)
	b := &bundle.Bundle{FailureDomains: domains(1, 2, "a")}
	w := newOracle(Options{}, b)
	for id, idempotent := range map[string]bool{"once": false, "again": true} {
		_, err := w.submit(need("p", id, shape(1, 8), idempotent))
		is.NoErr(err)
	}
	b.Organisations = []bundle.Organisation{organisation("o", shape(1, 8), 2)}
	w.c.SetAnchors(ComputeAnchors(b, nothingOut))
	p, err := w.submit(need("o", "x", shape(1, 8), false))
	is.NoErr(err)
	is.Equal(p.Result, Placed)
	is.Equal(len(w.running[job.Key{Organisation: "p", ID: "once"}]), 1)
	is.Equal(w.c.Plan(w.now, need("o", "y", shape(1, 8), false), w.racks).Result, Wait)
	is.Equal(FitsEmptyRack(b, ComputeAnchors(b, nothingOut), "p", shape(1, 1), false), false)
	is.Equal(FitsEmptyRack(b, ComputeAnchors(b, nothingOut), "p", shape(1, 1), true), true)
	e := w.c.EvacuationPlan(w.now, w.racks)
	is.Equal(e, Evacuation{Finish: []job.Key{{Organisation: "o", ID: "x"}, {Organisation: "p", ID: "once"}}})
}

// Guards against summaries that offer capacity of unusable workers or hide what an organisation may reclaim.
func TestSummariesAndFragmentation(t *testing.T) {
	is := is.New(t)
	b := &bundle.Bundle{FailureDomains: domains(1, 3, "a"), Organisations: []bundle.Organisation{organisation("o", shape(2, 8), 1)}}
	w := newOracle(Options{}, b)
	large := LargestGuaranteedShape(w.anchors)
	is.Equal(w.c.Fragmentation(large), 0.0)
	_, err := w.submit(need("p", "x", shape(1, 3), true))
	is.NoErr(err)
	is.True(math.Abs(w.c.Fragmentation(large)-5.0/21) < 1e-9)
	w.c.SetAvailable("a-r0-00", false)
	is.Equal(w.c.Fragmentation(large), 1.0)
	w.end(job.Key{Organisation: "p", ID: "x"})
	is.Equal(w.c.Summaries(), []RackSummary{{
		Rack: "a-r0", FreeAccelerators: 16, LargestBlock: 16, FreeSlots: 16,
		UnusedAnchors: []UnusedAnchor{{Organisation: "o", Accelerators: 16, Slots: 16}},
	}})
}

// Guards against a domain that comes back and gets the whole queue in its first second.
func TestRampLimitsFirstStarts(t *testing.T) {
	is := is.New(t)
	r := &Ramp{ReturnedAt: start, Window: 10 * time.Second, InitialRate: 1, FinalRate: 11}
	perSecond := make([]int, 11)
	for tenth := range 110 {
		for r.Allows(start.Add(time.Duration(tenth)*100*time.Millisecond)) && perSecond[tenth/10] < 100 {
			r.RecordStart(1)
			perSecond[tenth/10]++
		}
	}
	is.Equal(perSecond, []int{2, 2, 4, 4, 5, 7, 7, 9, 9, 10, 100})
}
