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

func newRequest(org, id string, s job.Shape, idempotent bool) Request {
	return Request{Key: job.Key{Organisation: org, ID: id}, Shape: s, Idempotent: idempotent}
}

func allInService(string) bool { return false }

// Guards against anchors concentrated in one domain, spread over too many workers, or moved when another domain is
// evacuated.
func TestAnchorsAreSpreadPackedAndStable(t *testing.T) {
	is := is.New(t)
	b := &bundle.Bundle{FailureDomains: domains(2, 6, "a", "b", "c", "d"), Organisations: []bundle.Organisation{
		organisation("o", shape(4, 8), 4), organisation("p", shape(2, 4), 6),
	}}
	all := ComputeAnchors(b, allInService)
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
	is.True(slices.ContainsFunc(only, func(a Anchor) bool { return !a.IsPlaced() })) // instances without a rack are still listed
	is.Equal(len(only), len(all))
}

// Guards against small requests on idle workers or on the anchors of others while partly used workers have capacity.
func TestSmallRequestsFillPartlyUsedWorkers(t *testing.T) {
	is := is.New(t)
	o := newOracle(Options{}, &bundle.Bundle{FailureDomains: domains(1, 4, "a"), Organisations: []bundle.Organisation{organisation("o", shape(1, 8), 1)}})
	first, err := o.submit(newRequest("p", "0", shape(1, 1), true))
	is.NoErr(err)
	for i := range 7 {
		p, err := o.submit(newRequest("p", fmt.Sprint(i+1), shape(1, 1), true))
		is.NoErr(err)
		is.Equal(p.Workers, first.Workers)
		is.True(!p.Borrowed)
	}
	p, err := o.submit(newRequest("p", "gang", shape(2, 8), false))
	is.NoErr(err)
	is.Equal(p.Result, Placed)
	p, err = o.submit(newRequest("p", "once", shape(1, 1), false)) // only the anchor of o is free
	is.NoErr(err)
	is.Equal(p.Result, Wait)
	p, err = o.submit(newRequest("p", "again", shape(1, 1), true))
	is.NoErr(err)
	is.True(p.Result == Placed && p.Borrowed)
	is.True(o.cluster.FitsUnusedAnchors(newRequest("o", "own", shape(1, 8), false), o.racks)) // although it needs a reclaim
	is.True(!o.cluster.FitsUnusedAnchors(newRequest("p", "own", shape(1, 8), false), o.racks))
	p, err = o.submit(newRequest("o", "own", shape(1, 8), false))
	is.NoErr(err)
	is.True(p.Result == Placed && p.Anchored)
}

// Guards against small requests on a rack with more idle workers. The tight fit there (idle-0) would keep busy the rack
// that could soon serve a gang.
func TestSmallRequestsFillRackWithFewestIdleWorkers(t *testing.T) {
	is := is.New(t)
	c := New(Options{})
	for _, rack := range []string{"busy", "idle"} {
		for i := range 3 {
			c.SetWorker(worker.Info{Name: fmt.Sprintf("%s-%d", rack, i), Rack: rack, Slots: 8, Accelerators: 8})
		}
	}
	for i, held := range []struct {
		worker       string
		accelerators int
	}{{"busy-0", 8}, {"busy-1", 8}, {"idle-0", 7}} {
		is.True(c.RecordAllocation(Allocation{
			Task:   job.TaskID{Organisation: "p", RequestID: fmt.Sprint("held-", i), Attempt: 1},
			Worker: held.worker, Accelerators: held.accelerators, Slots: held.accelerators,
		}))
	}
	p := c.Plan(time.Time{}, newRequest("p", "small", shape(1, 1), true), []string{"idle", "busy"})
	is.Equal(p.Result, Placed)
	is.Equal(p.Workers, []string{"busy-2"})
}

// Guards against a guaranteed request that becomes preemptible although its own anchor is free. In this case borrowing would
// strand fewer accelerators.
func TestOwnAnchorsAreUsedBeforeBorrowing(t *testing.T) {
	is := is.New(t)
	o := newOracle(Options{}, &bundle.Bundle{FailureDomains: domains(1, 2, "a"), Organisations: []bundle.Organisation{
		organisation("o", shape(1, 8), 1), organisation("p", shape(1, 1), 8),
	}})
	_, err := o.submit(newRequest("q", "x", shape(1, 1), true)) // splits one of the two idle workers
	is.NoErr(err)
	for i := range 3 {
		p, err := o.submit(newRequest("p", fmt.Sprint(i), shape(1, 1), true))
		is.NoErr(err)
		is.True(p.Result == Placed && p.Anchored && !p.Borrowed)
	}
}

// Guards against preempting the request that loses the most work. Observed run time counts, declared run time does not.
func TestReclaimPreemptsLeastLostWork(t *testing.T) {
	is := is.New(t)
	o := newOracle(Options{}, &bundle.Bundle{FailureDomains: domains(1, 1, "a"), Organisations: []bundle.Organisation{organisation("o", shape(1, 4), 2)}})
	for i, id := range []string{"old", "saved", "young"} {
		req := newRequest("p", id, shape(1, 2), true)
		req.RunTime = time.Duration(i) * time.Hour
		_, err := o.submit(req)
		is.NoErr(err)
		o.now = o.now.Add(time.Minute)
	}
	o.cluster.RecordCheckpoint(job.TaskID{Organisation: "p", RequestID: "saved", Attempt: 1}, o.now)
	is.Equal(o.cluster.Plan(o.now, newRequest("o", "x", shape(1, 4), false), o.racks).Victims, []job.Key{{Organisation: "p", ID: "saved"}})
	p := o.cluster.Plan(o.now, newRequest("o", "y", shape(1, 4), false), o.racks)
	is.Equal(len(p.Victims), 3) // both blocks together use the whole worker
	for _, id := range []string{"saved", "young"} {
		o.end(job.Key{Organisation: "p", ID: id})
	}
	is.Equal(o.cluster.Plan(o.now, newRequest("p", "late", shape(1, 2), true), o.racks).Result, Wait) // the freed block is claimed
	is.Equal(o.cluster.Plan(o.now, newRequest("o", "x", shape(1, 4), false), o.racks).Result, Placed)
}

// Guards against a block that stays claimed after its request has gone or its worker was removed.
func TestReclaimIsCancelledWithRequestOrWorker(t *testing.T) {
	for name, cancel := range map[string]func(o *oracle){
		"idle":    func(o *oracle) { o.now = o.now.Add(defaultIdle + time.Second) },
		"forget":  func(o *oracle) { o.cluster.CancelPending(job.Key{Organisation: "o", ID: "x"}) },
		"removed": func(o *oracle) { o.cluster.RemoveWorker("a-r0-00"); o.cluster.SetWorker(o.info["a-r0-00"]) },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			o := newOracle(Options{}, &bundle.Bundle{FailureDomains: domains(1, 1, "a"), Organisations: []bundle.Organisation{organisation("o", shape(1, 8), 1)}})
			_, err := o.submit(newRequest("p", "victim", shape(1, 2), true))
			is.NoErr(err)
			is.Equal(o.cluster.Plan(o.now, newRequest("o", "x", shape(1, 8), false), o.racks).Result, Reclaim)
			is.Equal(o.cluster.Plan(o.now, newRequest("p", "y", shape(1, 2), true), o.racks).Result, Wait)
			cancel(o)
			is.Equal(o.cluster.Plan(o.now, newRequest("p", "y", shape(1, 2), true), o.racks).Result, Placed)
		})
	}
}

// Guards against large requests that starve behind a stream of small ones, also when the small ones declare run times that
// are ten times too short. Without the reservation the large request never starts.
func TestReservationPreventsStarvation(t *testing.T) {
	const bound = 30 * time.Second
	waited := func(options Options, declared time.Duration) time.Duration {
		is := is.New(t)
		options.ReservationBound = bound
		o := newOracle(options, &bundle.Bundle{FailureDomains: domains(1, 2, "a")})
		ends := map[job.Key]time.Time{}
		for second := range 600 {
			o.now = start.Add(time.Duration(second) * time.Second)
			for _, key := range o.keys() {
				if !ends[key].After(o.now) {
					o.end(key)
				}
			}
			if second >= 60 {
				p, err := o.submit(newRequest("p", "large", shape(2, 8), false))
				is.NoErr(err)
				if p.Result == Placed {
					return time.Duration(second-60) * time.Second
				}
			}
			for i := range 3 {
				req := newRequest("q", fmt.Sprintf("%d-%d", second, i), shape(1, 1), false)
				req.RunTime = declared
				p, err := o.submit(req)
				is.NoErr(err)
				if p.Result == Placed {
					ends[req.Key] = o.now.Add(10 * time.Second)
				} else {
					o.cluster.CancelPending(req.Key)
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

// Each case is a fault or limit of the cluster that must neither break a guarantee nor lead to the use of a wrong worker.
func TestPlanWithFaults(t *testing.T) {
	large := shape(2, 8)
	for _, tc := range []struct {
		name    string
		prepare func(o *oracle)
		request Request
		want    Result
		workers []string
	}{
		{
			name:    "anchored worker lost: the anchor moves to a spare worker",
			prepare: func(o *oracle) { o.cluster.SetAvailable("a-r0-00", false) },
			request: newRequest("o", "x", large, false), want: Placed, workers: []string{"a-r0-01", "a-r0-02"},
		},
		{
			name: "anchored worker leaves while its tasks run: they still count",
			prepare: func(o *oracle) {
				_, _ = o.submit(newRequest("p", "small", shape(1, 8), true))
				info := o.info["a-r0-02"]
				info.Leaving = true
				o.cluster.SetWorker(info)
			},
			request: newRequest("p", "x", shape(1, 1), false), want: Wait,
		},
		{
			name: "fragmented rack: free accelerators on too many workers",
			prepare: func(o *oracle) {
				for i := range 3 {
					_, _ = o.submit(newRequest("p", fmt.Sprint(i), shape(1, 7), true))
				}
			},
			request: newRequest("p", "x", shape(1, 2), true), want: Wait,
		},
		{
			name: "avoided worker", request: Request{Key: job.Key{Organisation: "p", ID: "x"}, Shape: shape(1, 1), Avoid: []string{"a-r0-02"}},
			want: Wait,
		},
		{name: "not idempotent and too large beside the anchors of others", request: newRequest("p", "x", large, false), want: Infeasible},
		{name: "too many accelerators for a task", request: newRequest("p", "x", shape(1, 9), true), want: Infeasible},
		{name: "too many tasks for a rack", request: newRequest("p", "x", shape(4, 8), true), want: Infeasible},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			o := newOracle(Options{}, &bundle.Bundle{FailureDomains: domains(1, 3, "a"), Organisations: []bundle.Organisation{organisation("o", large, 1)}})
			if tc.prepare != nil {
				tc.prepare(o)
			}
			p := o.cluster.Plan(o.now, tc.request, o.racks)
			is.Equal(p.Result, tc.want)
			if tc.workers != nil {
				is.Equal(p.Workers, tc.workers)
			}
		})
	}
	is := is.New(t)
	o := newOracle(Options{}, &bundle.Bundle{FailureDomains: append(domains(1, 1, "a"), domains(1, 4, "b")...)})
	is.Equal(o.cluster.Plan(o.now, newRequest("p", "x", shape(3, 8), true), []string{"a-r0"}), Plan{Result: Wait, FitsElsewhere: true})
}

// Guards against running tasks that block anchors set after they started, and against preempting a request that may start
// only once.
func TestNewAnchorsMakeIdempotentTasksBorrowed(t *testing.T) {
	is := is.New(t)
	b := &bundle.Bundle{FailureDomains: domains(1, 2, "a")}
	o := newOracle(Options{}, b)
	for id, idempotent := range map[string]bool{"once": false, "again": true} {
		_, err := o.submit(newRequest("p", id, shape(1, 8), idempotent))
		is.NoErr(err)
	}
	b.Organisations = []bundle.Organisation{organisation("o", shape(1, 8), 2)}
	o.cluster.SetAnchors(ComputeAnchors(b, allInService))
	p, err := o.submit(newRequest("o", "x", shape(1, 8), false))
	is.NoErr(err)
	is.Equal(p.Result, Placed)
	is.Equal(len(o.running[job.Key{Organisation: "p", ID: "once"}]), 1)
	is.Equal(o.cluster.Plan(o.now, newRequest("o", "y", shape(1, 8), false), o.racks).Result, Wait)
	is.Equal(FitsEmptyRack(b, ComputeAnchors(b, allInService), "p", shape(1, 1), false), false)
	is.Equal(FitsEmptyRack(b, ComputeAnchors(b, allInService), "p", shape(1, 1), true), true)
	e := o.cluster.EvacuationPlan(o.now, o.racks)
	is.Equal(e, Evacuation{Finish: []job.Key{{Organisation: "o", ID: "x"}, {Organisation: "p", ID: "once"}}})
}

// Guards against summaries that offer capacity of unusable workers or omit what an organisation may reclaim.
func TestSummariesAndFragmentation(t *testing.T) {
	is := is.New(t)
	b := &bundle.Bundle{FailureDomains: domains(1, 3, "a"), Organisations: []bundle.Organisation{organisation("o", shape(2, 8), 1)}}
	o := newOracle(Options{}, b)
	large := LargestGuaranteedShape(o.anchors)
	is.Equal(o.cluster.Fragmentation(large), 0.0)
	_, err := o.submit(newRequest("p", "x", shape(1, 3), true))
	is.NoErr(err)
	is.True(math.Abs(o.cluster.Fragmentation(large)-5.0/21) < 1e-9)
	o.cluster.SetAvailable("a-r0-00", false)
	is.Equal(o.cluster.Fragmentation(large), 1.0)
	o.end(job.Key{Organisation: "p", ID: "x"})
	is.Equal(o.cluster.Summaries(), []RackSummary{{
		Rack: "a-r0", FreeAccelerators: 16, LargestBlock: 16, FreeSlots: 16,
		UnusedAnchors: []UnusedAnchor{{Organisation: "o", Accelerators: 16, Slots: 16}},
	}})
}

// Guards against a domain that gets the whole queue in the first second after it returned to service.
func TestRampLimitsStartRate(t *testing.T) {
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
