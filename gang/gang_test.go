package gang

import (
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"

	"clementinepier/job"
	"clementinepier/worker"
)

var errLost = errors.New("reply lost")

// rig plays all workers of one gang. A kind in lose gets no reply; one in answer gets that reply.
type rig struct {
	g      *Gang
	now    time.Time
	lose   map[Kind]bool
	answer map[Kind]func(c Command) Reply
	sent   map[Kind]int
	// last is the latest command of each kind.
	last map[Kind]Command
}

func newRig(g *Gang) *rig {
	return &rig{
		g: g, now: time.Unix(1000, 0), lose: map[Kind]bool{}, answer: map[Kind]func(Command) Reply{},
		sent: map[Kind]int{}, last: map[Kind]Command{},
	}
}

func options(members int, idempotent bool) Options {
	spec := worker.Spec{
		ID: job.TaskID{Organisation: "org", RequestID: "r", Attempt: 1}, Nonce: "n", Idempotent: idempotent,
		Shape: job.Shape{Tasks: members, Slots: 1, Accelerators: 8},
	}
	for i := range members {
		spec.Workers = append(spec.Workers, string(rune('z'-i)))
	}
	return Options{Spec: spec}
}

func (r *rig) status(c Command, state worker.State, started bool) worker.Status {
	spec := r.g.Spec(c.Member)
	return worker.Status{Spec: spec, State: state, Started: started}
}

// reply is the answer of a healthy worker.
func (r *rig) reply(c Command) Reply {
	if f := r.answer[c.Kind]; f != nil {
		if reply := f(c); reply.Command.Number != 0 {
			return reply
		}
	}
	reply := Reply{Command: c}
	switch c.Kind {
	case KindRenew:
		state := worker.StateHeld
		if r.g.StartIssued() {
			state = worker.StateRunning
		}
		reply.Status = r.status(c, state, r.g.StartIssued())
	case KindStop:
		reply.Status = r.status(c, worker.StateStopped, r.g.StartIssued())
	case KindForbid:
		reply.Status = r.status(c, worker.StateForbidden, false)
	case KindAnswer:
		reply.Answer = []byte("answer")
	}
	return reply
}

// step feeds events and the replies that they lead to until the gang is quiet.
func (r *rig) step(events ...Event) {
	for len(events) > 0 {
		commands := r.g.Step(r.now, events[0])
		events = events[1:]
		for _, c := range commands {
			r.sent[c.Kind]++
			r.last[c.Kind] = c
			if !r.lose[c.Kind] {
				events = append(events, r.reply(c))
			}
		}
	}
}

// run passes time, waking the gang when it asks.
func (r *rig) run(d time.Duration) {
	for end := r.now.Add(d); ; {
		wake := r.g.NextTick()
		if wake.IsZero() || wake.After(end) {
			r.now = end
			r.step(Tick{})
			return
		}
		r.now = wake
		r.step(Tick{})
	}
}

func (r *rig) change(member int, state worker.State) {
	r.step(StatusChanged{r.status(Command{Member: member}, state, true)})
}

func refusal(kind Kind, member int, why worker.Refusal) func(*rig) {
	return func(r *rig) {
		r.answer[kind] = func(c Command) Reply {
			if c.Member == member {
				return Reply{Command: c, Refused: why}
			}
			return Reply{}
		}
	}
}

// neverStarted lets the workers report at each stop that the member had not started.
func neverStarted(r *rig) {
	r.answer[KindStop] = func(c Command) Reply {
		return Reply{Command: c, Status: r.status(c, worker.StateStopped, false)}
	}
}

// Each case guards against a wrong result, or a missing or forbidden command, after one kind of fault.
func TestFaults(t *testing.T) {
	cases := []struct {
		name       string
		idempotent bool
		before     func(*rig)
		during     func(*rig)
		after      time.Duration
		result     Result
		code       job.Code
		starts     int
		stops      int
	}{
		{"no fault", true, nil, func(r *rig) {
			r.run(10 * time.Second)
			for i := range 3 {
				r.change(i, worker.StateDone)
			}
		}, 0, ResultDone, job.CodeOK, 3, 0},
		{"hold refused", true, refusal(KindHold, 1, worker.RefusedAccelerators), nil, 0, ResultNeverStarted, job.CodeNoRack, 0, 1},
		{"holds lost", true, func(r *rig) { r.lose[KindHold], r.lose[KindRenew] = true, true }, nil, 4 * time.Second, ResultNeverStarted, job.CodeNoRack, 0, 0},
		{"hold lost, id of another owner's task", true, func(r *rig) {
			r.lose[KindHold] = true
			r.answer[KindRenew] = func(c Command) Reply {
				status := r.status(c, worker.StateRunning, true)
				status.Spec.Nonce = "other"
				return Reply{Command: c, Status: status}
			}
		}, nil, time.Second, ResultNeverStarted, job.CodeNoRack, 0, 0},
		{"claim never written", false, nil, nil, 4 * time.Second, ResultNeverStarted, job.CodeStoreUnavailable, 0, 3},
		{"cancelled while the claim is awaited", false, nil, func(r *rig) { r.step(Cancel{job.CodeCancelled}) }, 0, ResultNeverStarted, job.CodeCancelled, 0, 3},
		{"worker lost while the claim is awaited", false, nil, func(r *rig) { r.step(WorkerLost{"y"}, Claimed{}) }, 0, ResultNeverStarted, job.CodeNoRack, 0, 3},
		{"hold lapsed before the claim", false, nil, func(r *rig) {
			r.lose[KindRenew] = true
			r.run(1600 * time.Millisecond)
			r.step(Claimed{})
		}, 2 * time.Second, ResultNeverStarted, job.CodeNoRack, 0, 3},
		{"view not fresh", true, func(r *rig) {
			r.g.options.MayStart = func(time.Time) (bool, job.Code) { return false, job.CodeViewNotFresh }
		}, nil, 4 * time.Second, ResultNeverStarted, job.CodeViewNotFresh, 0, 3},
		{"one start refused, others ran", true, refusal(KindStart, 1, worker.RefusedNotHeld), nil, 0, ResultUnknown, job.CodeWorkerLost, 3, 3},
		{"one start refused, none ran", true, func(r *rig) {
			refusal(KindStart, 1, worker.RefusedNotHeld)(r)
			neverStarted(r)
		}, nil, 0, ResultNeverStarted, job.CodeWorkerLost, 3, 3},
		{"forbid unanswered", true, func(r *rig) {
			refusal(KindStart, 1, worker.RefusedNotHeld)(r)
			neverStarted(r)
			r.lose[KindForbid] = true
		}, nil, 11 * time.Second, ResultUnknown, job.CodeWorkerLost, 3, 3},
		{"worker without a record is no proof", true, func(r *rig) {
			refusal(KindStart, 1, worker.RefusedNotHeld)(r)
			r.answer[KindStop] = func(c Command) Reply { return Reply{Command: c, Status: worker.Status{State: worker.StateUnknown}} }
		}, nil, 0, ResultUnknown, job.CodeWorkerLost, 3, 3},
		{"start replies lost, worker repeats itself", true, func(r *rig) {
			r.answer[KindStart] = func(c Command) Reply {
				if r.sent[KindStart] <= 3 {
					return Reply{Command: c, Err: errLost}
				}
				return Reply{Command: c, Refused: worker.RefusedAlreadyActive}
			}
		}, func(r *rig) { r.run(time.Second); r.change(0, worker.StateFailed) }, time.Second, ResultFailed, job.CodeTaskFailed, 6, 2},
		{"member fails", true, nil, func(r *rig) { r.change(2, worker.StateFailed) }, 0, ResultFailed, job.CodeTaskFailed, 3, 2},
		{"member lapses", true, nil, func(r *rig) { r.change(2, worker.StateLapsed) }, 0, ResultUnknown, job.CodeWorkerLost, 3, 2},
		{"renewal unanswered", true, nil, func(r *rig) { r.lose[KindRenew] = true }, 4 * time.Second, ResultUnknown, job.CodeWorkerLost, 3, 3},
		{"worker lost", true, nil, func(r *rig) { r.lose[KindStop] = true; r.step(WorkerLost{"z"}) }, 11 * time.Second, ResultUnknown, job.CodeWorkerLost, 3, 21},
		{"preempted", true, nil, func(r *rig) { r.step(Preempt{}) }, 0, ResultPreempted, job.CodePreempted, 3, 3},
		{"preempted, checkpoints unanswered", true, nil, func(r *rig) { r.lose[KindCheckpoint] = true; r.step(Preempt{}) }, 2 * time.Second, ResultPreempted, job.CodePreempted, 3, 3},
		{"done while preempted", true, nil, func(r *rig) {
			r.lose[KindCheckpoint] = true
			r.step(Preempt{})
			for i := range 3 {
				r.change(i, worker.StateDone)
			}
		}, 0, ResultDone, job.CodeOK, 3, 0},
		{"cancelled while running", true, nil, func(r *rig) { r.step(Cancel{job.CodeCancelled}) }, 0, ResultUnknown, job.CodeCancelled, 3, 3},
		{"answer never fetched", true, func(r *rig) { r.lose[KindAnswer] = true }, func(r *rig) {
			for i := range 3 {
				r.change(i, worker.StateDone)
			}
		}, 31 * time.Second, ResultUnknown, job.CodeAnswerLost, 3, 0},
		{"answer fetched again", true, func(r *rig) {
			r.answer[KindAnswer] = func(c Command) Reply {
				if r.sent[KindAnswer] < 3 {
					return Reply{Command: c, Err: errLost}
				}
				return Reply{}
			}
		}, func(r *rig) {
			for i := range 3 {
				r.change(i, worker.StateDone)
			}
		}, time.Second, ResultDone, job.CodeOK, 3, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			r := newRig(New(options(3, c.idempotent)))
			if c.before != nil {
				c.before(r)
			}
			r.step(Tick{})
			if c.during != nil {
				c.during(r)
			}
			r.run(c.after)
			is.Equal(r.g.Result(), c.result)
			is.Equal(r.g.Code(), c.code)
			is.Equal(r.g.Phase(), PhaseEnded)
			is.Equal(r.sent[KindStart], c.starts)
			is.Equal(r.sent[KindStop], c.stops)
			if c.name == "member fails" || c.name == "member lapses" || c.name == "one start refused, none ran" {
				is.Equal(len(r.g.FailedWorkers()), 1) // not the members that were stopped because of it
			}
			is.Equal(string(r.g.Answer()) == "answer", c.result == ResultDone)
		})
	}
}

// Guards against leases that are extended before every member has confirmed, and against wrong intervals.
func TestRenewals(t *testing.T) {
	is := is.New(t)
	r := newRig(New(options(2, true)))
	r.lose[KindStart] = true
	r.step(Tick{})
	is.Equal(r.g.Phase(), PhaseStarting)
	is.Equal(r.last[KindStart].NotAfter, r.now.Add(400*time.Millisecond))
	r.change(0, worker.StateRunning)
	r.run(time.Second)
	is.Equal(r.sent[KindRenew], 0) // member 1 has not confirmed
	r.change(1, worker.StateRunning)
	is.Equal(r.sent[KindRenew], 2)
	is.Equal(r.last[KindRenew].Lease, 9*time.Second)
	r.run(2900 * time.Millisecond)
	is.Equal(r.sent[KindRenew], 2)
	r.run(6200 * time.Millisecond)
	is.Equal(r.sent[KindRenew], 8)
}

// Guards against holds that are taken in different orders or start in parts.
func TestHoldOrder(t *testing.T) {
	is := is.New(t)
	g := New(options(3, false))
	var workers []string
	holds := g.Step(time.Unix(0, 0), Tick{})
	for _, c := range holds {
		is.Equal(c.Kind, KindHold)
		workers = append(workers, c.Worker)
	}
	is.Equal(workers, []string{"x", "y", "z"})
	is.Equal(len(g.Step(time.Unix(0, 0), Claimed{})), 0)
	is.Equal(len(g.Step(time.Unix(0, 1), Reply{Command: holds[0]})), 0)
	is.Equal(len(g.Step(time.Unix(0, 1), Reply{Command: holds[0]})), 0)
	is.Equal(len(g.Step(time.Unix(0, 1), Reply{Command: holds[1]})), 0)
	other := holds[2]
	other.Nonce = "other"
	is.Equal(len(g.Step(time.Unix(0, 1), Reply{Command: other})), 0)
	is.Equal(len(g.Step(time.Unix(0, 2), Reply{Command: holds[2]})), 3)
	is.Equal(len(g.Step(time.Unix(0, 2), Reply{Command: holds[2], Refused: worker.RefusedSlots})), 0)
	is.Equal(g.Ignored(), Ignored{Duplicate: 2, Mismatched: 1})
}

// Guards against a new owner that keeps a gang with missing members, or that calls one never started without proof.
func TestAdopt(t *testing.T) {
	running, done, held := worker.StateRunning, worker.StateDone, worker.StateHeld
	cases := []struct {
		name   string
		states []worker.State
		proof  bool
		phase  Phase
		result Result
	}{
		{"all run", []worker.State{running, running}, false, PhaseRunning, ResultNone},
		{"one is done", []worker.State{done, running}, false, PhaseRunning, ResultNone},
		{"all are done", []worker.State{done, done}, false, PhaseEnded, ResultDone},
		{"one is missing", []worker.State{running}, false, PhaseEnded, ResultUnknown},
		{"one is only held", []worker.State{running, held}, false, PhaseEnded, ResultUnknown},
		{"all are only held", []worker.State{held, held}, true, PhaseEnded, ResultNeverStarted},
		{"one failed", []worker.State{running, worker.StateFailed}, false, PhaseEnded, ResultFailed},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			o := options(2, false)
			var statuses []worker.Status
			for i, s := range c.states {
				spec := o.Spec
				spec.ID.Member = i
				statuses = append(statuses, worker.Status{Spec: spec, State: s, Started: s != held})
			}
			r := newRig(Adopt(o, statuses))
			if c.proof {
				neverStarted(r)
			}
			r.step(Tick{})
			r.run(5 * time.Second)
			is.Equal(r.g.Phase(), c.phase)
			is.Equal(r.g.Result(), c.result)
			is.Equal(r.sent[KindStart], 0)
			r.step(OutcomeDelivered{})
			is.Equal(r.sent[KindAcknowledge] > 0, c.phase == PhaseEnded)
		})
	}
}

// Guards against an answer that waits for the reply to a renewal, which the owner batches and sends later.
func TestAnswerDoesNotWaitForRenewal(t *testing.T) {
	is := is.New(t)
	r := newRig(New(options(1, true)))
	r.lose[KindRenew] = true
	r.step(Tick{})
	is.Equal(r.sent[KindRenew], 1)
	renewal := r.last[KindRenew]
	r.change(0, worker.StateDone)
	is.Equal(r.sent[KindAnswer], 1)
	is.Equal(r.g.Result(), ResultDone)
	r.step(Reply{Command: renewal, Status: r.status(renewal, worker.StateDone, true)}) // comes late and changes nothing
	is.Equal(r.g.Result(), ResultDone)
}
