package main

import (
	"container/heap"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"clementinepier/bundle"
	"clementinepier/job"
	"clementinepier/placement"
	"clementinepier/queue"
	"clementinepier/worker"
)

// The times of the model that the design page fixes or that stand for real ones.
const (
	tick = 100 * time.Millisecond
	// Preemption is a checkpoint of 2 s and a stop.
	preemptionDelay    = 2500 * time.Millisecond
	checkpointInterval = 20 * time.Second
	reclaimBound       = 5 * time.Second
	// A task on a bad worker fails after this time.
	failureDelay      = time.Second
	failuresToEnd     = 3
	failuresToExclude = 3
	quarantine        = 30 * time.Second
	maxQuarantine     = 10 * time.Minute
	// Four of five checkpoints at preemption succeed; otherwise the last regular one counts.
	checkpointSuccess = 0.8
	// After a domain's return the window of the work measure stays open for a minute.
	afterReturn = time.Minute
	// The backlog of a saturated fleet has built up by then.
	warmUp = 3 * time.Minute
	// A pass looks at this many requests at most.
	passLimit = 100
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// policy is a set of rules to compare.
type policy struct {
	name      string
	placement placement.Options
	queue     queue.Options
	// strict stops a pass at the first request that has to wait.
	strict bool
	// evacuate stops the idempotent requests of a failure domain that goes out and queues them elsewhere. Otherwise
	// they run to their end, as the rack owner does it.
	evacuate bool
}

type eventKind int

const (
	taskEnd eventKind = iota
	taskCheckpoint
	taskStop
	workerProbe
)

// event is something that happens to a request's attempt or to a worker.
type event struct {
	at      time.Time
	order   int
	kind    eventKind
	key     job.Key
	attempt int
	worker  string
}

type events []event

func (h events) Len() int      { return len(h) }
func (h events) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *events) Push(x any)   { *h = append(*h, x.(event)) }
func (h events) Less(i, j int) bool {
	return h[i].at.Before(h[j].at) || h[i].at.Equal(h[j].at) && h[i].order < h[j].order
}

func (h *events) Pop() any {
	e := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return e
}

// running is an attempt that holds capacity.
type running struct {
	request    *request
	plan       placement.Plan
	startedAt  time.Time
	checkpoint time.Time
	stopping   bool
	bad        string
}

// simulation drives one workload through placement and queue under one policy.
type simulation struct {
	policy   policy
	scenario scenario
	bundle   *bundle.Bundle
	cluster  *placement.Cluster
	queue    *queue.Queue
	random   *rand.Rand
	now      time.Time
	requests map[job.Key]*request
	running  map[job.Key]*running
	events   events
	order    int
	out      map[string]bool
	ramp     *placement.Ramp
	rackOf   map[string]string // failure domain by rack
	bad      map[string]bool
	failed   map[string]int
	used     map[string]int
	share    map[string]int
	waiting  map[string]int // requests in the queue by organisation
	// reclaiming has the requests whose victims are stopping; they are planned first in every pass.
	reclaiming []queue.Item
	largest    job.Shape
	dirty      bool
	busy       int // accelerators in service that run
	stats      *stats
	// excluded has the workers that are in quarantine.
	excluded map[string]bool
	// fragments, when set, counts the causes of fragmentation.
	fragments *fragments
}

// stats is what a run has measured.
type stats struct {
	completion [][sizes]*hdrhistogram.Histogram
	total      [][sizes]int
	within     [][sizes]int

	fragmentation, samples float64
	inShare, inShareLate   int
	useful, wasted         float64
	windowWork, windowRoom float64
	reference              float64 // windowWork without the change
	steadyWork, steadyRoom float64
	decisions              int
	decisionTime           time.Duration
	refused                int
}

func newStats(organisations int) *stats {
	s := &stats{total: make([][sizes]int, organisations), within: make([][sizes]int, organisations)}
	for range organisations {
		var h [sizes]*hdrhistogram.Histogram
		for c := range h {
			h[c] = hdrhistogram.New(1, int64(6*time.Hour/time.Millisecond), 3)
		}
		s.completion = append(s.completion, h)
	}
	return s
}

// add adds what another run has measured.
func (s *stats) add(t *stats) {
	for o := range t.completion {
		for c := range sizes {
			s.completion[o][c].Merge(t.completion[o][c])
			s.total[o][c] += t.total[o][c]
			s.within[o][c] += t.within[o][c]
		}
	}
	s.fragmentation += t.fragmentation
	s.samples += t.samples
	s.inShare += t.inShare
	s.inShareLate += t.inShareLate
	s.useful += t.useful
	s.wasted += t.wasted
	s.windowWork += t.windowWork
	s.windowRoom += t.windowRoom
	s.reference += t.reference
	s.steadyWork += t.steadyWork
	s.steadyRoom += t.steadyRoom
	s.decisions += t.decisions
	s.decisionTime += t.decisionTime
	s.refused += t.refused
}

func newSimulation(p policy, s scenario, b *bundle.Bundle, seed uint64) *simulation {
	m := &simulation{
		policy: p, scenario: s, bundle: b, cluster: placement.New(p.placement), queue: queue.New(p.queue),
		random: rand.New(rand.NewPCG(seed, 2)), now: start, requests: map[job.Key]*request{}, running: map[job.Key]*running{},
		out: map[string]bool{}, rackOf: map[string]string{}, bad: map[string]bool{}, failed: map[string]int{},
		excluded: map[string]bool{}, used: map[string]int{}, share: map[string]int{}, waiting: map[string]int{}, stats: newStats(len(b.Organisations)),
	}
	index := 0
	for _, d := range b.FailureDomains {
		for _, r := range d.Racks {
			m.rackOf[r.Name] = d.Name
			for i := range r.Workers {
				name := r.Name + string(rune('a'+i))
				m.cluster.SetWorker(worker.Info{Name: name, Rack: r.Name, Slots: r.Slots, Accelerators: r.Accelerators})
				m.bad[name] = s.badWorkers && index%10 == 4
				index++
			}
		}
	}
	m.setAnchors()
	for _, o := range b.Organisations {
		for _, g := range o.Guarantees {
			m.share[o.Name] += g.Count * g.Shape.TotalAccelerators()
		}
	}
	return m
}

func (m *simulation) setAnchors() {
	anchors := placement.ComputeAnchors(m.bundle, func(d string) bool { return m.out[d] })
	m.largest = placement.LargestGuaranteedShape(anchors)
	m.cluster.SetAnchors(anchors)
}

// run feeds the requests in and returns what was measured.
func (m *simulation) run(requests []*request) *stats {
	end := start.Add(m.scenario.length + time.Hour)
	for next := 0; m.now.Before(end) && (next < len(requests) || len(m.running) > 0 || m.queue.Len()+len(m.reclaiming) > 0); m.now = m.now.Add(tick) {
		m.changeDomains()
		for ; next < len(requests) && !requests[next].arrival.After(m.now); next++ {
			m.arrive(requests[next])
		}
		for len(m.events) > 0 && !m.events[0].at.After(m.now) {
			m.happen(heap.Pop(&m.events).(event))
		}
		for _, i := range m.queue.RemoveExpired(m.now) {
			m.cluster.CancelPending(i.Request.Key())
			m.waiting[i.Request.Organisation]--
			m.finish(m.requests[i.Request.Key()], false)
		}
		// Reservations grow old without any event, so a pass runs at least once a second.
		if m.dirty || m.now.Sub(start)%time.Second == 0 {
			m.pass()
		}
		m.measure()
	}
	return m.stats
}

func (m *simulation) after(d time.Duration, e event) {
	m.order++
	e.at, e.order = m.now.Add(d), m.order
	heap.Push(&m.events, e)
}

func (m *simulation) arrive(r *request) {
	m.requests[r.need.Key] = r
	// An earlier request of the organisation that waits could take the same share.
	r.inShare = !r.impossible && m.waiting[r.need.Key.Organisation] == 0 && m.cluster.FitsUnusedAnchors(r.need, m.racks())
	m.enqueue(r)
}

func (m *simulation) enqueue(r *request) {
	m.dirty = true
	i := queue.Item{Deadline: r.deadline, Enqueued: r.arrival, Attempt: r.attempt + 1, Avoid: r.need.Avoid}
	i.Request = job.Request{Organisation: r.need.Key.Organisation, ID: r.need.Key.ID, Shape: r.need.Shape, Urgent: r.need.Urgent && !m.policy.strict}
	if m.queue.Push(i) != nil {
		m.finish(r, false)
		return
	}
	m.waiting[r.need.Key.Organisation]++
}

// racks lists those that may take new tasks now.
func (m *simulation) racks() []string {
	var racks []string
	for _, d := range m.bundle.FailureDomains {
		if m.out[d.Name] || m.ramp != nil && d.Name == m.bundle.FailureDomains[0].Name && !m.ramp.Allows(m.now) {
			continue
		}
		for _, r := range d.Racks {
			racks = append(racks, r.Name)
		}
	}
	return racks
}

func (m *simulation) usage(organisation string) queue.Usage {
	i := slices.IndexFunc(m.bundle.Organisations, func(o bundle.Organisation) bool { return o.Name == organisation })
	return queue.Usage{Running: m.used[organisation], Guaranteed: m.share[organisation], Weight: m.bundle.Organisations[i].Weight}
}

// kindOf is what decides whether a need can be placed; needs that avoid workers are left out.
type kindOf struct {
	organisation string
	shape        job.Shape
	idempotent   bool
	runTime      time.Duration
}

// pass tries the waiting requests in order. A need of a kind that has to wait is not tried twice in a pass.
func (m *simulation) pass() {
	m.dirty = false
	m.queue.NewPass()
	waiting := map[kindOf]bool{}
	racks := m.racks()
	reclaiming := m.reclaiming
	m.reclaiming = nil
	for _, item := range reclaiming {
		m.try(item, racks)
	}
	for range passLimit {
		racks = m.racks()
		item, ok := m.queue.Next(m.now, m.usage)
		if !ok {
			return
		}
		r := m.requests[item.Request.Key()]
		kind := kindOf{r.need.Key.Organisation, r.need.Shape, r.need.Idempotent, r.need.RunTime.Round(10 * time.Second)}
		if _, _, reserved := m.cluster.Reservation(r.need.Key); waiting[kind] && len(r.need.Avoid) == 0 && !reserved {
			m.queue.Defer(item)
			continue
		}
		if m.try(item, racks) == placement.Wait {
			waiting[kind] = len(r.need.Avoid) == 0 || waiting[kind]
			if m.policy.strict {
				return
			}
		}
	}
}

// try plans one request and carries the plan out.
func (m *simulation) try(item queue.Item, racks []string) placement.Result {
	r := m.requests[item.Request.Key()]
	before := time.Now()
	p := m.cluster.Plan(m.now, r.need, racks)
	m.stats.decisionTime += time.Since(before)
	m.stats.decisions++
	switch p.Result {
	case placement.Placed:
		m.start(r, p)
	case placement.Reclaim:
		m.preempt(p.Victims)
		m.reclaiming = append(m.reclaiming, item)
	case placement.Infeasible:
		m.stats.refused++
		m.waiting[r.need.Key.Organisation]--
		if !r.impossible {
			m.finish(r, false)
		}
	default:
		// Another request of the organisation may have taken the share first, for example one with an earlier deadline.
		r.inShare = r.inShare && m.cluster.FitsUnusedAnchors(r.need, racks)
		m.queue.Defer(item)
	}
	return p.Result
}

func (m *simulation) start(r *request, p placement.Plan) {
	r.attempt++
	m.waiting[r.need.Key.Organisation]--
	if !r.started {
		r.started = true
		if r.inShare {
			m.stats.inShare++
			if m.now.Sub(r.arrival) > reclaimBound {
				m.stats.inShareLate++
			}
		}
	}
	if m.ramp != nil && m.rackOf[p.Rack] == m.bundle.FailureDomains[0].Name {
		m.ramp.RecordStart(r.need.Shape.Tasks)
	}
	run := &running{request: r, plan: p, startedAt: m.now, checkpoint: m.now}
	for member, name := range p.Workers {
		m.cluster.RecordAllocation(placement.Allocation{
			Task: task(r, member), Worker: name, Accelerators: r.need.Shape.Accelerators, Slots: r.need.Shape.Slots,
			Idempotent: r.need.Idempotent, Borrowed: p.Borrowed, Anchored: p.Anchored, StartedAt: m.now,
			RunTime: r.need.RunTime - r.saved,
		})
		if m.bad[name] {
			run.bad = name
		}
	}
	m.running[r.need.Key] = run
	m.used[r.need.Key.Organisation] += r.need.Shape.TotalAccelerators()
	m.busy += m.inService(run)
	length := r.service - r.saved
	if run.bad != "" {
		length = min(length, failureDelay)
	}
	m.after(length, event{kind: taskEnd, key: r.need.Key, attempt: r.attempt})
	if r.need.Idempotent && length > checkpointInterval {
		m.after(checkpointInterval, event{kind: taskCheckpoint, key: r.need.Key, attempt: r.attempt})
	}
}

func task(r *request, member int) job.TaskID {
	return job.TaskID{Organisation: r.need.Key.Organisation, RequestID: r.need.Key.ID, Attempt: r.attempt, Member: member}
}

// inService returns the accelerators of the attempt if its failure domain is in service.
func (m *simulation) inService(run *running) int {
	if m.out[m.rackOf[run.plan.Rack]] {
		return 0
	}
	return run.request.need.Shape.TotalAccelerators()
}

func (m *simulation) preempt(victims []job.Key) {
	for _, key := range victims {
		if run, ok := m.running[key]; ok && !run.stopping {
			run.stopping = true
			m.after(preemptionDelay, event{kind: taskStop, key: key, attempt: run.request.attempt})
		}
	}
}

func (m *simulation) happen(e event) {
	if e.kind == workerProbe {
		m.cluster.SetAvailable(e.worker, true)
		delete(m.excluded, e.worker)
		m.dirty = true
		return
	}
	run, ok := m.running[e.key]
	if !ok || run.request.attempt != e.attempt {
		return
	}
	switch e.kind {
	case taskCheckpoint:
		run.checkpoint = e.at
		for member := range run.plan.Workers {
			m.cluster.RecordCheckpoint(task(run.request, member), e.at)
		}
		m.after(checkpointInterval, event{kind: taskCheckpoint, key: e.key, attempt: e.attempt})
	case taskStop:
		if m.random.Float64() < checkpointSuccess {
			run.checkpoint = m.now
		}
		m.release(run, run.checkpoint)
		m.enqueue(run.request)
	default:
		m.end(run)
	}
}

// end handles an attempt that came to its end, by success or on a bad worker.
func (m *simulation) end(run *running) {
	r := run.request
	if run.bad == "" {
		m.queue.RecordServiceTime(r.need.Key.Organisation, r.need.Shape, m.now.Sub(run.startedAt))
		m.release(run, m.now)
		m.finish(r, true)
		return
	}
	m.release(run, run.startedAt)
	m.failed[run.bad]++
	if n := m.failed[run.bad]; n >= failuresToExclude {
		m.cluster.SetAvailable(run.bad, false)
		m.excluded[run.bad] = true
		m.after(min(maxQuarantine, quarantine<<min(10, n-failuresToExclude)), event{kind: workerProbe, worker: run.bad})
	}
	r.failures++
	if !r.need.Idempotent || r.failures >= failuresToEnd {
		m.finish(r, false)
		return
	}
	r.need.Avoid = append(r.need.Avoid, run.bad)
	m.enqueue(r)
}

// release frees the capacity of an attempt whose progress is kept up to a time.
func (m *simulation) release(run *running, kept time.Time) {
	r := run.request
	m.busy -= m.inService(run)
	m.used[r.need.Key.Organisation] -= r.need.Shape.TotalAccelerators()
	for member := range run.plan.Workers {
		m.cluster.Release(task(r, member))
	}
	delete(m.running, r.need.Key)
	m.dirty = true
	size := float64(r.need.Shape.TotalAccelerators())
	lost := m.now.Sub(kept).Seconds() * size
	r.saved += kept.Sub(run.startedAt)
	m.stats.useful += kept.Sub(run.startedAt).Seconds() * size
	m.stats.wasted += lost
	if m.inWindow() && !m.out[m.rackOf[run.plan.Rack]] {
		m.stats.windowWork -= lost
	}
}

// finish records the end of a request.
func (m *simulation) finish(r *request, done bool) {
	r.done = true
	if r.impossible {
		return
	}
	o := slices.IndexFunc(m.bundle.Organisations, func(o bundle.Organisation) bool { return o.Name == r.need.Key.Organisation })
	m.stats.total[o][r.class]++
	if done && !m.now.After(r.deadline) {
		m.stats.within[o][r.class]++
	}
	if r.inShare && !r.started {
		m.stats.inShare++
		m.stats.inShareLate++
	}
	// A request that ended without an answer counts with the time until then, so that refusing does not look fast.
	_ = m.stats.completion[o][r.class].RecordValue(max(1, m.now.Sub(r.arrival).Milliseconds()))
}

// changeDomains takes the first failure domain out and back.
func (m *simulation) changeDomains() {
	if m.scenario.out == 0 {
		return
	}
	d := m.bundle.FailureDomains[0]
	leaves := m.scenario.out
	if m.scenario.early {
		leaves = 0
	}
	switch m.now.Sub(start) {
	case leaves:
		m.out[d.Name] = true
		m.setAnchors()
		m.recount()
		var racks []string
		for _, r := range d.Racks {
			racks = append(racks, r.Name)
		}
		if m.policy.evacuate {
			m.preempt(m.cluster.EvacuationPlan(m.now, racks).Requeue)
		}
	case m.scenario.back:
		delete(m.out, d.Name)
		m.setAnchors()
		m.recount()
		if !m.scenario.early {
			m.ramp = &placement.Ramp{ReturnedAt: m.now, Window: rampWindow, InitialRate: 5, FinalRate: 50}
		}
	default:
		return
	}
	m.dirty = true
}

func (m *simulation) recount() {
	m.busy = 0
	for _, run := range m.running {
		m.busy += m.inService(run)
	}
}

func (m *simulation) inWindow() bool {
	passed := m.now.Sub(start)
	return m.scenario.out > 0 && passed >= m.scenario.out && passed < m.scenario.back+afterReturn
}

// measure samples the state once per tick.
func (m *simulation) measure() {
	passed := m.now.Sub(start)
	if passed >= m.scenario.length {
		return
	}
	if passed%time.Second == 0 {
		m.stats.fragmentation += m.cluster.Fragmentation(m.largest)
		m.stats.samples++
		if m.fragments != nil {
			m.fragments.sample(m)
		}
	}
	room := 0
	for _, d := range m.bundle.FailureDomains {
		for _, r := range d.Racks {
			if !m.out[d.Name] {
				room += r.Workers * r.Accelerators
			}
		}
	}
	switch {
	case m.inWindow():
		m.stats.windowWork += float64(m.busy) * tick.Seconds()
		m.stats.windowRoom += float64(room) * tick.Seconds()
	case passed >= warmUp && passed < m.scenario.out:
		m.stats.steadyWork += float64(m.busy) * tick.Seconds()
		m.stats.steadyRoom += float64(room) * tick.Seconds()
	}
}
