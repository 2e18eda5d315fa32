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

// sim runs owners of one request, workers and a store in virtual time, one event at a time. An oracle checks the result of
// each event.
type sim struct {
	t fatalReporter
	// pick chooses a number from 0 to n-1.
	pick func(n int) int
	// failure is what the oracle found. It is reported after the event, because the event may run in another goroutine.
	failure string
	// faults is false if every message arrives once and without a random delay.
	faults     bool
	now        time.Time
	queue      events
	seq        int
	names      []string
	workers    map[string]*simWorker
	store      *memoryStore
	owners     []*simOwner
	coroutines []*coroutine
	gangSize   int
	runTime    time.Duration
	// idempotent requests need no claim and may be started again.
	idempotent bool
	// The following fields belong to the oracle. Attempts are identified by their nonce.
	//
	// starts counts the starts of each member on all workers.
	starts map[int]int
	// reportedNotStarted has the attempts that were reported as never started, started those of which a member has started.
	reportedNotStarted map[string]bool
	started            map[string]bool
	// holdRequested is when the last confirmed hold or renewal was issued, by attempt and member.
	holdRequested map[string]time.Time
	specs         map[string]worker.Spec
	// partialSince is since when some members of an attempt run although others have ended.
	partialSince map[string]time.Time
	// doneTasks has the members that were done. Their workers may have restarted since and lost the records.
	doneTasks map[job.TaskID]bool
	// maxPartialTime is how long an attempt may run with only some of its members.
	maxPartialTime time.Duration
	// The following fields remove rules of the protocol.
	options      func(*gang.Options)
	forbidAll    func(context.Context, Record) bool
	retryUnknown bool
	// The following fields count attempts: adopted, claimed with Advance, and done.
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

func newSim(t fatalReporter, pick func(int) int, owners, gangSize int) *sim {
	s := &sim{
		t: t, pick: pick, now: time.Unix(1000, 0), workers: map[string]*simWorker{}, store: newMemoryStore(), gangSize: gangSize,
		runTime: 2 * time.Second, starts: map[int]int{}, reportedNotStarted: map[string]bool{}, started: map[string]bool{},
		holdRequested: map[string]time.Time{}, specs: map[string]worker.Spec{}, partialSince: map[string]time.Time{}, doneTasks: map[job.TaskID]bool{},
		// The sum of the task lease, one renewal interval between the renewals of two members, and the longest delay of
		// the last renewal.
		maxPartialTime: 13 * time.Second,
	}
	for i := range 2*gangSize + 1 {
		name := string(rune('a' + i))
		s.names = append(s.names, name)
		s.workers[name] = &simWorker{sim: s, name: name, tasks: map[job.TaskID]*simTask{}}
	}
	for i := range owners {
		l := NewLedger(kvstore.Store{}, nil)
		l.NewBackOff = constantBackOff
		s.owners = append(s.owners, &simOwner{sim: s, id: i, ledger: l, committer: l.committer(), killAtStep: -1})
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
		s.checkPartialRuns()
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

// finish stops every owner, lets the leases lapse and checks that no capacity stays held.
func (s *sim) finish() {
	for _, o := range s.owners {
		o.dead = true
	}
	s.run(s.maxPartialTime + time.Second)
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
	for _, p := range s.coroutines {
		if !p.ended {
			p.killed = true
			p.wake(nil)
		}
	}
}

// checkPartialRuns checks for how long some members of an attempt run although others have ended.
func (s *sim) checkPartialRuns() {
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
				s.doneTasks[id] = true
			}
			running = running || state == worker.StateRunning
			missing = missing || state.Ended() && !s.doneTasks[id]
		}
		since, ok := s.partialSince[nonce]
		if ok && s.now.Sub(since) > s.maxPartialTime {
			s.failf("attempt %s ran with only some of its members for %v", nonce, s.now.Sub(since))
		}
		if !running || !missing {
			delete(s.partialSince, nonce)
		} else if !ok {
			s.partialSince[nonce] = s.now
		}
	}
}

func (s *sim) reportNotStarted(nonce string) {
	s.reportedNotStarted[nonce] = true
	if s.started[nonce] {
		s.failf("attempt %s was reported as never started", nonce)
	}
}

// send makes a call to a worker. A fault can make it call reply twice, or not at all.
func (s *sim) send(name string, op func(*simWorker) any, reply func(any, error)) {
	w := s.workers[name]
	incarnation, outcome, delay := w.incarnation, 0, time.Millisecond
	if s.faults {
		outcome, delay = s.pick(24), time.Duration(1+s.pick(4))*time.Millisecond
	}
	if s.now.Before(w.partitionedUntil) {
		return
	}
	exec := func() {
		if w.incarnation != incarnation { // the connection was closed when the process ended
			reply(nil, errReplyLost)
			return
		}
		result := op(w)
		if outcome != 20 {
			s.at(delay, func() { reply(result, nil) })
		}
	}
	switch outcome {
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
	status   worker.Status
	leaseEnd time.Time
}

// simWorker has capacity for one task at a time, refuses holds for known ids, and loses all its tasks when it restarts.
type simWorker struct {
	sim         *sim
	name        string
	incarnation int
	tasks       map[job.TaskID]*simTask
	// partitionedUntil is the end of a network partition in which calls to the worker are lost.
	partitionedUntil time.Time
}

func (w *simWorker) restart() { w.incarnation, w.tasks = w.incarnation+1, map[job.TaskID]*simTask{} }

func (w *simWorker) status(id job.TaskID) worker.Status {
	if t := w.tasks[id]; t != nil {
		return t.status
	}
	return worker.Status{Spec: worker.Spec{ID: id}, State: worker.StateUnknown}
}

func (w *simWorker) lease(t *simTask, length time.Duration) {
	t.leaseEnd = w.sim.now.Add(length)
	incarnation := w.incarnation
	w.sim.at(length, func() {
		if incarnation == w.incarnation && !t.status.State.Ended() && !t.leaseEnd.After(w.sim.now) {
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
	if s.starts[id.Member] > 1 && !s.idempotent || s.reportedNotStarted[nonce] {
		s.failf("%v on %s is start %d of the member; reported as never started: %v", id, w.name, s.starts[id.Member], s.reportedNotStarted[nonce])
	}
	w.lease(t, length)
	w.change(t, worker.StateRunning)
	incarnation, runTime, state := w.incarnation, s.runTime, worker.StateDone
	if s.faults {
		runTime = time.Duration(1+s.pick(400)) * 100 * time.Millisecond
		if s.pick(6) == 5 {
			state = worker.StateFailed
		}
	}
	s.at(runTime, func() {
		if incarnation == w.incarnation && t.status.State == worker.StateRunning {
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

// coroutine is a goroutine that runs only while the simulation waits for it, so that the order of events is deterministic.
type coroutine struct {
	resume        chan any
	paused        chan bool
	killed, ended bool
	// panicValue is the value of a panic in the goroutine, with which the simulation's goroutine panics in turn.
	panicValue any
}

func (s *sim) spawn(f func(*coroutine)) {
	p := &coroutine{resume: make(chan any), paused: make(chan bool)}
	s.coroutines = append(s.coroutines, p)
	go func() {
		defer func() { p.panicValue = recover(); p.ended = true; p.paused <- true }()
		<-p.resume
		if !p.killed {
			f(p)
		}
	}()
	p.wake(nil)
}

func (p *coroutine) wake(v any) {
	p.resume <- v
	<-p.paused
	if p.panicValue != nil {
		panic(p.panicValue)
	}
}

// await calls begin and blocks the goroutine until done is called. It returns the value passed to done.
func (p *coroutine) await(begin func(done func(any))) any {
	begin(p.wake)
	p.paused <- true
	v := <-p.resume
	if p.killed {
		runtime.Goexit()
	}
	return v
}

// simOwner runs attempts at the request, claims them, and settles the claims of other owners.
type simOwner struct {
	sim       *sim
	id        int
	ledger    *Ledger
	committer *committer
	gang      *gang.Gang
	record    Record
	// The following three fields belong to the current attempt; ended is true once its end was handled.
	claimRequested, claimConfirmed, ended bool
	dead                                  bool
	// The owner dies at the step killAtStep.
	steps, killAtStep int
	attempts          int
	nextCallsAt       time.Time
}

// startAttempt starts an attempt on workers that it picks. With withoutClaim set, the attempt starts without a claim.
func (o *simOwner) startAttempt(attempt int, withoutClaim bool) {
	if o.dead || o.attempts >= 4 {
		return
	}
	o.attempts++
	s := o.sim
	first := s.pick(len(s.names)) + o.id*s.gangSize
	spec := worker.Spec{
		ID:    job.TaskID{Organisation: testKey(0).Organisation, RequestID: testKey(0).ID, Attempt: attempt},
		Nonce: fmt.Sprint(o.id, "-", o.attempts), Idempotent: s.idempotent, Shape: job.Shape{Tasks: s.gangSize, Slots: 1, Accelerators: 8},
	}
	for i := range s.gangSize {
		spec.Workers = append(spec.Workers, s.names[(first+i)%len(s.names)])
	}
	options := gang.Options{Spec: spec}
	if withoutClaim {
		options.NeedsClaim = func(worker.Spec) bool { return false }
	}
	if s.options != nil {
		s.options(&options)
	}
	s.specs[spec.Nonce] = spec
	o.record = Record{Key: testKey(0), Attempt: attempt, Workers: spec.Workers, Owner: fmt.Sprint(o.id), Nonce: spec.Nonce}
	o.gang, o.claimRequested, o.claimConfirmed, o.ended = gang.New(options), withoutClaim, false, false
	o.step(gang.Tick{})
}

func (o *simOwner) step(e gang.Event) {
	if o.dead || o.gang == nil {
		return
	}
	o.steps++
	commands := o.gang.Step(o.sim.now, e)
	if o.steps == o.killAtStep {
		// The owner dies after half of the commands were sent.
		commands = commands[:len(commands)/2]
		defer func() { o.dead = true }()
	}
	for _, c := range commands {
		o.issue(c)
	}
	g, s := o.gang, o.sim
	switch {
	case g.Phase() == gang.PhaseReady && !o.claimRequested && !s.idempotent:
		o.claimRequested = true
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
	if c.Kind == gang.KindStart && !s.now.Before(s.holdRequested[id].Add(gang.DefaultLimits().HoldLength)) {
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
		if !o.dead && err == nil && (c.Kind == gang.KindHold && r.Refused == "" || c.Kind == gang.KindRenew && r.Status.State == worker.StateHeld) && issued.After(s.holdRequested[id]) {
			s.holdRequested[id] = issued
		}
		o.step(r)
	}
	send := func() {
		if s.now.After(c.NotAfter) {
			reply(nil, errReplyLost)
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
	oneIn := 32
	if c.Kind == gang.KindStart {
		oneIn = 6
	}
	if s.faults && s.pick(oneIn) == oneIn-1 { // the owner is paused between the decision and the call
		s.at(time.Duration(s.pick(3000))*time.Millisecond, send)
		return
	}
	send()
}

// sendDueCalls makes the due calls of the committer, with the faults of the store.
func (o *simOwner) sendDueCalls() {
	s := o.sim
	if o.dead {
		return
	}
	calls, wake := o.committer.dueCalls(s.now)
	if !wake.IsZero() && !wake.Equal(o.nextCallsAt) {
		o.nextCallsAt = wake
		s.at(max(wake.Sub(s.now), time.Millisecond), o.sendDueCalls)
	}
	for _, c := range calls {
		r, outcome, delay := reply{call: c}, 0, time.Millisecond
		if s.faults {
			outcome, delay = s.pick(12), time.Duration(1+s.pick(5))*time.Millisecond
		}
		exec := func() {
			if c.write {
				r.version, r.err = s.store.compareAndSwap(shardKey(c.shard), c.value, c.version)
			} else {
				r.entry, r.err = s.store.get(shardKey(c.shard)), nil
			}
		}
		lost := &kvstore.ErrUnavailable{Call: "call", Delivered: outcome != 8, Cause: errReplyLost}
		switch outcome {
		case 8: // the call is not sent
			r.err, delay = lost, time.Second
		case 9: // the reply is lost after the call took effect
			s.at(time.Millisecond, func() { exec(); r.err = lost })
			delay = time.Second
		case 10: // the write takes effect after the call has timed out
			r.err, delay = lost, time.Second
			s.at(time.Duration(1000+s.pick(1500))*time.Millisecond, func() {
				if c.write {
					_, _ = s.store.compareAndSwap(shardKey(c.shard), c.value, c.version)
				}
			})
		case 11: // the call is slow
			delay = time.Duration(s.pick(900)) * time.Millisecond
			s.at(delay, exec)
		default:
			s.at(0, exec)
		}
		s.at(delay, func() {
			if !o.dead {
				o.committer.handleReply(s.now, r)
				o.sendDueCalls()
			}
		})
	}
}

// ledgerFor returns a ledger whose Update blocks the coroutine until the change is completed. A change is withdrawn after
// 2.5 s.
func (o *simOwner) ledgerFor(p *coroutine) *Ledger {
	l := *o.ledger
	l.Clock = fixedClock{now: o.sim.now}
	l.Update = func(_ context.Context, key job.Key, decide func(*Record) (*Record, error)) error {
		err, _ := p.await(func(done func(any)) {
			c := &change{key: key, decide: decide}
			c.onComplete = func(err error) { o.resume(done, err) }
			o.committer.submit(c)
			o.sim.at(2500*time.Millisecond, func() { o.committer.withdraw(c, context.DeadlineExceeded) })
			o.sim.at(0, o.sendDueCalls)
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
	o.sim.spawn(func(p *coroutine) {
		l := o.ledgerFor(p)
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
			o.claimConfirmed = true
			if rec.Attempt > 1 {
				o.sim.advances++
			}
			o.step(gang.Claimed{})
		}
	})
}

// finish handles the end of an attempt: it settles the claim if that was confirmed.
func (o *simOwner) finish() {
	states := map[gang.Result]RecordState{
		gang.ResultDone: StateDone, gang.ResultFailed: StateDone, gang.ResultUnknown: StateUnknown,
		gang.ResultNeverStarted: StateNotRun, gang.ResultPreempted: StateUnknown,
	}
	result := o.gang.Result()
	if result == gang.ResultNeverStarted {
		o.sim.reportNotStarted(o.record.Nonce)
	}
	if result == gang.ResultDone {
		o.sim.done++
	}
	if rec, state := o.record, states[result]; o.claimConfirmed {
		o.sim.spawn(func(p *coroutine) { _ = o.ledgerFor(p).Settle(context.Background(), rec.Key, rec.Attempt, state) })
	}
}

// settle settles the claim of another owner and continues as the verdict allows: it attaches to the attempt or starts the
// next one.
func (o *simOwner) settle(rec Record, depth int) {
	s := o.sim
	s.spawn(func(p *coroutine) {
		settler := &Settler{Ledger: o.ledgerFor(p), ForbidAll: s.forbidAll, Workers: func(name string) (*worker.Client, bool) {
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
			o.record, o.claimRequested, o.claimConfirmed, o.ended = rec, true, true, false
			o.gang = gang.Adopt(gang.Options{Spec: spec}, found.Statuses)
			o.step(gang.Tick{})
		case found.Verdict == VerdictNotRun:
			s.reportNotStarted(rec.Nonce)
			if err == nil {
				o.startAttempt(rec.Attempt+1, false)
			}
		case found.Verdict == VerdictUnknown && s.retryUnknown:
			o.startAttempt(rec.Attempt+1, true)
		}
	})
}

// client returns a client whose calls block the coroutine, for at most one second.
func (o *simOwner) client(p *coroutine, name string) *worker.Client {
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
			o.sim.at(time.Second, func() { reply(nil, errReplyLost) })
		}).(answer)
		return a.v, a.err
	}
	type taskList struct {
		info     worker.Info
		statuses []worker.Status
	}
	return &worker.Client{
		Tasks: func(context.Context) (worker.Info, []worker.Status, error) {
			v, err := call(func(w *simWorker) any {
				l := taskList{info: worker.Info{Name: name, BootID: fmt.Sprint(w.incarnation)}}
				for _, t := range w.tasks {
					l.statuses = append(l.statuses, t.status)
				}
				return l
			})
			l, _ := v.(taskList)
			return l.info, l.statuses, err
		},
		Forbid: func(_ context.Context, id job.TaskID) (worker.Status, error) {
			v, err := call(func(w *simWorker) any { return w.forbid(id) })
			status, _ := v.(worker.Status)
			return status, err
		},
	}
}
