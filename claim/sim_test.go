package claim

import (
	"container/heap"
	"context"
	"fmt"
	"runtime"
	"time"

	"clementinepier/gang"
	"clementinepier/job"
	"clementinepier/kvstore"
	"clementinepier/worker"
)

// sim runs owners of one request, workers and a store in virtual time, one event at a time.
type sim struct {
	t    failer
	pick func(n int) int
	// failure is reported after the event in which the oracle objected, because that may run in another goroutine.
	failure string
	// faults is false when every message arrives once and soon.
	faults  bool
	now     time.Time
	queue   events
	seq     int
	names   []string
	workers map[string]*simWorker
	store   *values
	owners  []*simOwner
	procs   []*proc
	size    int
	runs    time.Duration
	// idempotent requests need no claim and may be started again.
	idempotent bool
	// The oracle: starts by member over all workers, attempts reported as never started, when holds that were
	// confirmed had been asked for, and since when an attempt runs in part.
	starts  map[int]int
	never   map[string]bool
	started map[string]bool
	asked   map[string]time.Time
	specs   map[string]worker.Spec
	partial map[string]time.Time
	// well has the members that were done, which their workers may have forgotten since.
	well  map[job.TaskID]bool
	bound time.Duration
	// rules that tests remove
	options     func(*gang.Options)
	fence       func(context.Context, Record) bool
	retry       bool
	attachments int
	advances    int
	done        int
}

type event struct {
	at  time.Time
	seq int
	f   func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at.Before(e[j].at) || e[i].at.Equal(e[j].at) && e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

func newSim(t failer, pick func(int) int, owners, size int) *sim {
	s := &sim{
		t: t, pick: pick, now: time.Unix(1000, 0), workers: map[string]*simWorker{}, store: newValues(), size: size,
		runs: 2 * time.Second, starts: map[int]int{}, never: map[string]bool{}, started: map[string]bool{},
		asked: map[string]time.Time{}, specs: map[string]worker.Spec{}, partial: map[string]time.Time{}, well: map[job.TaskID]bool{},
		// The task lease, the skew of one renewal interval, and the longest delay of the last renewal.
		bound: 13 * time.Second,
	}
	for i := range 2*size + 1 {
		name := string(rune('a' + i))
		s.names = append(s.names, name)
		s.workers[name] = &simWorker{sim: s, name: name, tasks: map[job.TaskID]*simTask{}}
	}
	for i := range owners {
		l := NewLedger(kvstore.Store{}, nil)
		l.NewBackOff = constantBackOff
		s.owners = append(s.owners, &simOwner{sim: s, id: i, ledger: l, committer: l.committer(), killAt: -1})
	}
	return s
}

func (s *sim) at(d time.Duration, f func()) {
	s.seq++
	heap.Push(&s.queue, event{at: s.now.Add(d), seq: s.seq, f: f})
}

func (s *sim) run(d time.Duration) {
	end := s.now.Add(d)
	for len(s.queue) > 0 && !s.queue[0].at.After(end) {
		e := heap.Pop(&s.queue).(event)
		s.now = e.at
		e.f()
		s.observe()
		if s.failure != "" {
			s.close()
			s.t.Fatal(s.failure)
		}
	}
	s.now = end
}

func (s *sim) failf(format string, args ...any) {
	if s.failure == "" {
		s.failure = fmt.Sprintf(format, args...)
	}
}

// finish ends every owner, lets the leases pass and checks that no capacity stays held.
func (s *sim) finish() {
	for _, o := range s.owners {
		o.dead = true
	}
	s.run(s.bound + time.Second)
	for _, name := range s.names {
		for id, t := range s.workers[name].tasks {
			if !t.status.State.Ended() {
				s.failf("%v is %s on %s after its lease", id, t.status.State, name)
			}
		}
	}
	s.close()
	if s.failure != "" {
		s.t.Fatal(s.failure)
	}
}

func (s *sim) close() {
	for _, p := range s.procs {
		if !p.ended {
			p.killed = true
			p.wake(nil)
		}
	}
}

// observe checks the time for which an attempt runs in part.
func (s *sim) observe() {
	for nonce, spec := range s.specs {
		running, missing := false, false
		for i, name := range spec.Workers {
			id := spec.ID
			id.Member = i
			state := worker.StateUnknown
			if t := s.workers[name].tasks[id]; t != nil && t.status.Spec.Nonce == nonce {
				state = t.status.State
			}
			if state == worker.StateDone {
				s.well[id] = true
			}
			running = running || state == worker.StateRunning
			missing = missing || state.Ended() && !s.well[id]
		}
		since, ok := s.partial[nonce]
		if ok && s.now.Sub(since) > s.bound {
			s.failf("attempt %s ran in part for %v", nonce, s.now.Sub(since))
		}
		if !running || !missing {
			delete(s.partial, nonce)
		} else if !ok {
			s.partial[nonce] = s.now
		}
	}
}

func (s *sim) neverStarted(nonce string) {
	s.never[nonce] = true
	if s.started[nonce] {
		s.failf("attempt %s was reported as never started", nonce)
	}
}

// send makes a call to a worker; reply may be called twice, or not at all.
func (s *sim) send(name string, op func(*simWorker) any, reply func(any, error)) {
	w := s.workers[name]
	boot, fate, delay := w.boot, 0, time.Millisecond
	if s.faults {
		fate, delay = s.pick(24), time.Duration(1+s.pick(4))*time.Millisecond
	}
	if s.now.Before(w.cutUntil) {
		return
	}
	exec := func() {
		if w.boot != boot { // the connection broke with the process
			reply(nil, errLost)
			return
		}
		result := op(w)
		if fate != 20 {
			s.at(delay, func() { reply(result, nil) })
		}
	}
	switch fate {
	case 21:
		return
	case 22:
		s.at(delay, exec)
	case 23:
		delay = time.Duration(1+s.pick(900)) * time.Millisecond
	}
	s.at(delay, exec)
}

type simTask struct {
	status worker.Status
	until  time.Time
}

// simWorker holds one task at a time, refuses ids that it has seen, and forgets everything when it restarts.
type simWorker struct {
	sim   *sim
	name  string
	boot  int
	tasks map[job.TaskID]*simTask
	// cutUntil is the end of a partition in which calls of the worker are lost.
	cutUntil time.Time
}

func (w *simWorker) restart() { w.boot, w.tasks = w.boot+1, map[job.TaskID]*simTask{} }

func (w *simWorker) status(id job.TaskID) worker.Status {
	if t := w.tasks[id]; t != nil {
		return t.status
	}
	return worker.Status{Spec: worker.Spec{ID: id}, State: worker.StateUnknown}
}

func (w *simWorker) lease(t *simTask, length time.Duration) {
	t.until = w.sim.now.Add(length)
	boot := w.boot
	w.sim.at(length, func() {
		if boot == w.boot && !t.status.State.Ended() && !t.until.After(w.sim.now) {
			w.change(t, worker.StateLapsed)
		}
	})
}

func (w *simWorker) change(t *simTask, state worker.State) {
	t.status.State = state
	status := t.status
	for _, o := range w.sim.owners {
		if !w.sim.faults || w.sim.pick(8) < 7 {
			w.sim.at(2*time.Millisecond, func() { o.step(gang.StatusChanged{Status: status}) })
		}
	}
}

func (w *simWorker) hold(spec worker.Spec, length time.Duration) worker.Refusal {
	if t := w.tasks[spec.ID]; t != nil {
		if t.status.State == worker.StateForbidden {
			return worker.RefusedForbidden
		}
		return worker.RefusedKnown
	}
	for _, t := range w.tasks {
		if !t.status.State.Ended() {
			return worker.RefusedAccelerators
		}
	}
	t := &simTask{status: worker.Status{Spec: spec, State: worker.StateHeld}}
	w.tasks[spec.ID] = t
	w.lease(t, length)
	return worker.RefusedNone
}

func (w *simWorker) start(id job.TaskID, nonce string, length time.Duration) worker.Refusal {
	s, t := w.sim, w.tasks[id]
	switch {
	case t == nil:
		return worker.RefusedNotHeld
	case t.status.Spec.Nonce != nonce:
		return worker.RefusedNonce
	case t.status.Started:
		return worker.RefusedAlreadyActive
	case t.status.State != worker.StateHeld:
		return worker.RefusedNotHeld
	}
	t.status.Started = true
	s.started[nonce] = true
	s.starts[id.Member]++
	if s.starts[id.Member] > 1 && !s.idempotent || s.never[nonce] {
		s.failf("%v on %s is start %d of the member; reported as never started: %v", id, w.name, s.starts[id.Member], s.never[nonce])
	}
	w.lease(t, length)
	w.change(t, worker.StateRunning)
	boot, runs, state := w.boot, s.runs, worker.StateDone
	if s.faults {
		runs = time.Duration(1+s.pick(400)) * 100 * time.Millisecond
		if s.pick(6) == 5 {
			state = worker.StateFailed
		}
	}
	s.at(runs, func() {
		if boot == w.boot && t.status.State == worker.StateRunning {
			w.change(t, state)
		}
	})
	return worker.RefusedNone
}

func (w *simWorker) stop(id job.TaskID) worker.Status {
	if t := w.tasks[id]; t != nil && !t.status.State.Ended() {
		w.change(t, worker.StateStopped)
	}
	return w.status(id)
}

func (w *simWorker) renew(id job.TaskID, length time.Duration) worker.Status {
	if t := w.tasks[id]; t != nil && !t.status.State.Ended() {
		w.lease(t, length)
	}
	return w.status(id)
}

func (w *simWorker) forbid(id job.TaskID) worker.Status {
	t := w.tasks[id]
	if t == nil {
		t = &simTask{status: worker.Status{Spec: worker.Spec{ID: id}}}
		w.tasks[id] = t
	}
	if !t.status.Started {
		t.status.State = worker.StateForbidden
	}
	return t.status
}

// proc is a goroutine that runs only while the simulation waits for it, so that the order of events is fixed.
type proc struct {
	resume        chan any
	parked        chan bool
	killed, ended bool
	// thrown is a panic of the goroutine, which goes on in the simulation's.
	thrown any
}

func (s *sim) spawn(f func(*proc)) {
	p := &proc{resume: make(chan any), parked: make(chan bool)}
	s.procs = append(s.procs, p)
	go func() {
		defer func() { p.thrown = recover(); p.ended = true; p.parked <- true }()
		<-p.resume
		if !p.killed {
			f(p)
		}
	}()
	p.wake(nil)
}

func (p *proc) wake(v any) {
	p.resume <- v
	<-p.parked
	if p.thrown != nil {
		panic(p.thrown)
	}
}

// await parks the goroutine until done is called.
func (p *proc) await(begin func(done func(any))) any {
	begin(p.wake)
	p.parked <- true
	v := <-p.resume
	if p.killed {
		runtime.Goexit()
	}
	return v
}

// simOwner places the request, claims it, and settles the claims of others.
type simOwner struct {
	sim       *sim
	id        int
	ledger    *Ledger
	committer *committer
	gang      *gang.Gang
	record    Record
	// wrote is true once the claim of the current attempt is confirmed.
	asked, wrote, ended bool
	dead                bool
	steps, killAt       int
	tries               int
	pumpAt              time.Time
}

// begin places an attempt; it claims it with Advance if it is not the first.
func (o *simOwner) begin(attempt int, claimless bool) {
	if o.dead || o.tries >= 4 {
		return
	}
	o.tries++
	s := o.sim
	first := s.pick(len(s.names)) + o.id*s.size
	spec := worker.Spec{
		ID:    job.TaskID{Organisation: testKey(0).Organisation, RequestID: testKey(0).ID, Attempt: attempt},
		Nonce: fmt.Sprint(o.id, "-", o.tries), Idempotent: s.idempotent, Shape: job.Shape{Tasks: s.size, Slots: 1, Accelerators: 8},
	}
	for i := range s.size {
		spec.Workers = append(spec.Workers, s.names[(first+i)%len(s.names)])
	}
	options := gang.Options{Spec: spec}
	if claimless {
		options.NeedsClaim = func(worker.Spec) bool { return false }
	}
	if s.options != nil {
		s.options(&options)
	}
	s.specs[spec.Nonce] = spec
	o.record = Record{Key: testKey(0), Attempt: attempt, Workers: spec.Workers, Owner: fmt.Sprint(o.id), Nonce: spec.Nonce}
	o.gang, o.asked, o.wrote, o.ended = gang.New(options), claimless, false, false
	o.step(gang.Tick{})
}

func (o *simOwner) step(e gang.Event) {
	if o.dead || o.gang == nil {
		return
	}
	o.steps++
	commands := o.gang.Step(o.sim.now, e)
	if o.steps == o.killAt {
		// Dies after half of the commands are sent.
		commands = commands[:len(commands)/2]
		defer func() { o.dead = true }()
	}
	for _, c := range commands {
		o.issue(c)
	}
	g, s := o.gang, o.sim
	switch {
	case g.Phase() == gang.PhaseReady && !o.asked && !s.idempotent:
		o.asked = true
		o.claim()
	case g.Phase() == gang.PhaseEnded && !o.ended:
		o.ended = true
		o.finish()
	}
	if wake := g.NextTick(); !wake.IsZero() {
		o.sim.at(max(wake.Sub(o.sim.now), time.Millisecond), func() {
			if o.gang == g && g.NextTick().Equal(wake) {
				o.step(gang.Tick{})
			}
		})
	}
}

func (o *simOwner) issue(c gang.Command) {
	s := o.sim
	id := c.Nonce + "/" + fmt.Sprint(c.Member)
	if c.Kind == gang.KindStart && !s.now.Before(s.asked[id].Add(gang.DefaultLimits().HoldLength)) {
		s.failf("start of %v after its hold may have lapsed", c.ID)
	}
	issued, spec := s.now, o.gang.Spec(c.Member)
	reply := func(v any, err error) {
		r := gang.Reply{Command: c, Err: err}
		switch v := v.(type) {
		case worker.Refusal:
			r.Refused = v
		case worker.Status:
			r.Status = v
		case []byte:
			r.Answer = v
		}
		if !o.dead && err == nil && (c.Kind == gang.KindHold && r.Refused == "" || c.Kind == gang.KindRenew && r.Status.State == worker.StateHeld) && issued.After(s.asked[id]) {
			s.asked[id] = issued
		}
		o.step(r)
	}
	send := func() {
		if s.now.After(c.NotAfter) {
			reply(nil, errLost)
			return
		}
		s.send(c.Worker, func(w *simWorker) any {
			switch c.Kind {
			case gang.KindHold:
				return w.hold(spec, c.Lease)
			case gang.KindStart:
				return w.start(c.ID, c.Nonce, c.Lease)
			case gang.KindRenew:
				return w.renew(c.ID, c.Lease)
			case gang.KindStop:
				return w.stop(c.ID)
			case gang.KindForbid:
				return w.forbid(c.ID)
			case gang.KindAnswer:
				return []byte("answer")
			}
			return nil
		}, reply)
	}
	rarely := 32
	if c.Kind == gang.KindStart {
		rarely = 6
	}
	if s.faults && s.pick(rarely) == rarely-1 { // the owner is slow between the decision and the call
		s.at(time.Duration(s.pick(3000))*time.Millisecond, send)
		return
	}
	send()
}

// committer calls, with the faults of the store.
func (o *simOwner) pump() {
	s := o.sim
	if o.dead {
		return
	}
	calls, wake := o.committer.due(s.now)
	if !wake.IsZero() && !wake.Equal(o.pumpAt) {
		o.pumpAt = wake
		s.at(max(wake.Sub(s.now), time.Millisecond), o.pump)
	}
	for _, c := range calls {
		r, fate, delay := reply{call: c}, 0, time.Millisecond
		if s.faults {
			fate, delay = s.pick(12), time.Duration(1+s.pick(5))*time.Millisecond
		}
		exec := func() {
			if c.write {
				r.version, r.err = s.store.swap(shardKey(c.shard), c.value, c.version)
			} else {
				r.entry, r.err = s.store.get(shardKey(c.shard)), nil
			}
		}
		lost := &kvstore.ErrUnavailable{Call: "call", Delivered: fate != 8, Cause: errLost}
		switch fate {
		case 8: // down
			r.err, delay = lost, time.Second
		case 9: // reply lost after the write
			s.at(time.Millisecond, func() { exec(); r.err = lost })
			delay = time.Second
		case 10: // the write takes effect after the caller gave up
			r.err, delay = lost, time.Second
			s.at(time.Duration(1000+s.pick(1500))*time.Millisecond, func() {
				if c.write {
					_, _ = s.store.swap(shardKey(c.shard), c.value, c.version)
				}
			})
		case 11: // slow
			delay = time.Duration(s.pick(900)) * time.Millisecond
			s.at(delay, exec)
		default:
			s.at(0, exec)
		}
		s.at(delay, func() {
			if !o.dead {
				o.committer.handleReply(s.now, r)
				o.pump()
			}
		})
	}
}

// with returns a ledger whose changes park the proc; a change is withdrawn after 2.5 s.
func (o *simOwner) with(p *proc) *Ledger {
	l := *o.ledger
	l.Clock = fixedClock{now: o.sim.now}
	l.Update = func(_ context.Context, key job.Key, decide func(*Record) (*Record, error)) error {
		err, _ := p.await(func(done func(any)) {
			c := &change{key: key, decide: decide}
			c.resolve = func(err error) { o.resume(done, err) }
			o.committer.submit(c)
			o.sim.at(2500*time.Millisecond, func() { o.committer.withdraw(c, context.DeadlineExceeded) })
			o.sim.at(0, o.pump)
		}).(error)
		return err
	}
	return &l
}

func (o *simOwner) resume(done func(any), v any) {
	o.sim.at(0, func() {
		if !o.dead {
			done(v)
		}
	})
}

func (o *simOwner) claim() {
	g, rec := o.gang, o.record
	o.sim.spawn(func(p *proc) {
		l := o.with(p)
		var found *Record
		var err error
		if rec.Attempt > 1 {
			found, err = l.Advance(context.Background(), rec.Key, rec.Attempt-1, rec)
		} else {
			found, err = l.Claim(context.Background(), rec)
		}
		switch {
		case err != nil:
			o.step(gang.Cancel{Code: job.CodeStoreUnavailable})
		case found != nil:
			o.step(gang.Cancel{Code: job.CodeClaimedElsewhere})
			o.settle(*found, 0)
		case g.Phase() == gang.PhaseEnded:
			_ = l.Settle(context.Background(), rec.Key, rec.Attempt, StateNotRun)
		default:
			o.wrote = true
			if rec.Attempt > 1 {
				o.sim.advances++
			}
			o.step(gang.Claimed{})
		}
	})
}

// finish records the end of an attempt.
func (o *simOwner) finish() {
	states := map[gang.Result]RecordState{
		gang.ResultDone: StateDone, gang.ResultFailed: StateDone, gang.ResultUnknown: StateUnknown,
		gang.ResultNeverStarted: StateNotRun, gang.ResultPreempted: StateUnknown,
	}
	result := o.gang.Result()
	if result == gang.ResultNeverStarted {
		o.sim.neverStarted(o.record.Nonce)
	}
	if result == gang.ResultDone {
		o.sim.done++
	}
	if rec, state := o.record, states[result]; o.wrote {
		o.sim.spawn(func(p *proc) { _ = o.with(p).Settle(context.Background(), rec.Key, rec.Attempt, state) })
	}
}

// settle resolves the claim of another owner and goes on as its verdict allows.
func (o *simOwner) settle(rec Record, depth int) {
	s := o.sim
	s.spawn(func(p *proc) {
		settler := &Settler{Ledger: o.with(p), ForbidAll: s.fence, Workers: func(name string) (*worker.Client, bool) {
			return o.client(p, name), true
		}}
		found, err := settler.Settle(context.Background(), rec)
		if o.dead {
			return
		}
		switch {
		case found.Verdict == VerdictRecordChanged && depth < 3:
			o.settle(found.Record, depth+1)
		case found.Verdict == VerdictAttach:
			s.attachments++
			spec := found.Statuses[0].Spec
			spec.ID.Member = 0
			o.record, o.asked, o.wrote, o.ended = rec, true, true, false
			o.gang = gang.Adopt(gang.Options{Spec: spec}, found.Statuses)
			o.step(gang.Tick{})
		case found.Verdict == VerdictNotRun:
			s.neverStarted(rec.Nonce)
			if err == nil {
				o.begin(rec.Attempt+1, false)
			}
		case found.Verdict == VerdictUnknown && s.retry:
			o.begin(rec.Attempt+1, true)
		}
	})
}

// client returns a client whose calls park the proc, for one second at most.
func (o *simOwner) client(p *proc, name string) *worker.Client {
	type answer struct {
		v   any
		err error
	}
	call := func(op func(*simWorker) any) (any, error) {
		a := p.await(func(done func(any)) {
			once := false
			reply := func(v any, err error) {
				if !once {
					once = true
					o.resume(done, answer{v, err})
				}
			}
			o.sim.send(name, op, reply)
			o.sim.at(time.Second, func() { reply(nil, errLost) })
		}).(answer)
		return a.v, a.err
	}
	type listed struct {
		info     worker.Info
		statuses []worker.Status
	}
	return &worker.Client{
		Tasks: func(context.Context) (worker.Info, []worker.Status, error) {
			v, err := call(func(w *simWorker) any {
				l := listed{info: worker.Info{Name: name, BootID: fmt.Sprint(w.boot)}}
				for _, t := range w.tasks {
					l.statuses = append(l.statuses, t.status)
				}
				return l
			})
			l, _ := v.(listed)
			return l.info, l.statuses, err
		},
		Forbid: func(_ context.Context, id job.TaskID) (worker.Status, error) {
			v, err := call(func(w *simWorker) any { return w.forbid(id) })
			status, _ := v.(worker.Status)
			return status, err
		},
	}
}
