package gang

import (
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"

	"clementinepier/job"
	"clementinepier/worker"
)

var errReplyLost = errors.New("reply lost")

// fakeWorkers acts as all workers of one gang.
type fakeWorkers struct {
	gang *Gang
	now  time.Time
	// noReply has the kinds of commands that get no reply.
	noReply map[Kind]bool
	// replies returns a reply in place of that of a healthy worker, or the zero Reply for the healthy one.
	replies map[Kind]func(c Command) Reply
	// sent counts the commands of each kind.
	sent map[Kind]int
	// last is the latest command of each kind.
	last map[Kind]Command
}

func newFakeWorkers(gang *Gang) *fakeWorkers {
	return &fakeWorkers{
		gang: gang, now: time.Unix(1000, 0), noReply: map[Kind]bool{}, replies: map[Kind]func(Command) Reply{},
		sent: map[Kind]int{}, last: map[Kind]Command{},
	}
}

func testOptions(members int, idempotent bool) Options {
	spec := worker.Spec{
		ID: job.TaskID{Organisation: "org", RequestID: "r", Attempt: 1}, Nonce: "n", Idempotent: idempotent,
		Shape: job.Shape{Tasks: members, Slots: 1, Accelerators: 8},
	}
	for i := range members {
		spec.Workers = append(spec.Workers, string(rune('z'-i)))
	}
	return Options{Spec: spec}
}

func (r *fakeWorkers) status(c Command, state worker.State, started bool) worker.Status {
	spec := r.gang.Spec(c.Member)
	return worker.Status{Spec: spec, State: state, Started: started}
}

// reply returns the reply from replies if there is one, otherwise that of a healthy worker.
func (r *fakeWorkers) reply(c Command) Reply {
	if f := r.replies[c.Kind]; f != nil {
		if reply := f(c); reply.Command.Number != 0 {
			return reply
		}
	}
	reply := Reply{Command: c}
	switch c.Kind {
	case KindRenew:
		state := worker.StateHeld
		if r.gang.StartIssued() {
			state = worker.StateRunning
		}
		reply.Status = r.status(c, state, r.gang.StartIssued())
	case KindStop:
		reply.Status = r.status(c, worker.StateStopped, r.gang.StartIssued())
	case KindForbid:
		reply.Status = r.status(c, worker.StateForbidden, false)
	case KindAnswer:
		reply.Answer = []byte("answer")
	}
	return reply
}

// step passes events, and the replies to the commands that result, to the gang until it returns no more commands.
func (r *fakeWorkers) step(events ...Event) {
	for len(events) > 0 {
		commands := r.gang.Step(r.now, events[0])
		events = events[1:]
		for _, c := range commands {
			r.sent[c.Kind]++
			r.last[c.Kind] = c
			if !r.noReply[c.Kind] {
				events = append(events, r.reply(c))
			}
		}
	}
}

// run advances the time by d, with a Tick at each time that the gang asks for.
func (r *fakeWorkers) run(d time.Duration) {
	for end := r.now.Add(d); ; {
		next := r.gang.NextTick()
		if next.IsZero() || next.After(end) {
			r.now = end
			r.step(Tick{})
			return
		}
		r.now = next
		r.step(Tick{})
	}
}

func (r *fakeWorkers) reportState(member int, state worker.State) {
	r.step(StatusChanged{r.status(Command{Member: member}, state, true)})
}

// refuseMember returns a fault: the worker of one member refuses commands of the kind.
func refuseMember(kind Kind, member int, why worker.Refusal) func(*fakeWorkers) {
	return func(r *fakeWorkers) {
		r.replies[kind] = func(c Command) Reply {
			if c.Member == member {
				return Reply{Command: c, Refused: why}
			}
			return Reply{}
		}
	}
}

// stopsReportNotStarted makes the workers report in reply to each stop that the member had not started.
func stopsReportNotStarted(r *fakeWorkers) {
	r.replies[KindStop] = func(c Command) Reply {
		return Reply{Command: c, Status: r.status(c, worker.StateStopped, false)}
	}
}

// Each case guards against a wrong result or code, or a wrong number of start and stop commands, after one kind of fault.
func TestAttemptResultAfterFault(t *testing.T) {
	cases := []struct {
		name            string
		idempotent      bool
		beforeFirstTick func(*fakeWorkers)
		afterFirstTick  func(*fakeWorkers)
		wait            time.Duration
		result          Result
		code            job.Code
		starts          int
		stops           int
	}{
		{"no fault", true, nil, func(r *fakeWorkers) {
			r.run(10 * time.Second)
			for i := range 3 {
				r.reportState(i, worker.StateDone)
			}
		}, 0, ResultDone, job.CodeOK, 3, 0},
		{"hold refused", true, refuseMember(KindHold, 1, worker.RefusedAccelerators), nil, 0, ResultNeverStarted, job.CodeNoRack, 0, 1},
		{"holds lost", true, func(r *fakeWorkers) { r.noReply[KindHold], r.noReply[KindRenew] = true, true }, nil, 4 * time.Second, ResultNeverStarted, job.CodeNoRack, 0, 0},
		{"hold lost, id of another owner's task", true, func(r *fakeWorkers) {
			r.noReply[KindHold] = true
			r.replies[KindRenew] = func(c Command) Reply {
				status := r.status(c, worker.StateRunning, true)
				status.Spec.Nonce = "other"
				return Reply{Command: c, Status: status}
			}
		}, nil, time.Second, ResultNeverStarted, job.CodeNoRack, 0, 0},
		{"claim is never written", false, nil, nil, 4 * time.Second, ResultNeverStarted, job.CodeStoreUnavailable, 0, 3},
		{"cancelled while the claim is awaited", false, nil, func(r *fakeWorkers) { r.step(Cancel{job.CodeCancelled}) }, 0, ResultNeverStarted, job.CodeCancelled, 0, 3},
		{"worker lost while the claim is awaited", false, nil, func(r *fakeWorkers) { r.step(WorkerLost{"y"}, Claimed{}) }, 0, ResultNeverStarted, job.CodeNoRack, 0, 3},
		{"hold lapsed before the claim", false, nil, func(r *fakeWorkers) {
			r.noReply[KindRenew] = true
			r.run(1600 * time.Millisecond)
			r.step(Claimed{})
		}, 2 * time.Second, ResultNeverStarted, job.CodeNoRack, 0, 3},
		{"view not fresh", true, func(r *fakeWorkers) {
			r.gang.options.MayStart = func(time.Time) (bool, job.Code) { return false, job.CodeViewNotFresh }
		}, nil, 4 * time.Second, ResultNeverStarted, job.CodeViewNotFresh, 0, 3},
		{"one start refused, others ran", true, refuseMember(KindStart, 1, worker.RefusedNotHeld), nil, 0, ResultUnknown, job.CodeWorkerLost, 3, 3},
		{"one start refused, none ran", true, func(r *fakeWorkers) {
			refuseMember(KindStart, 1, worker.RefusedNotHeld)(r)
			stopsReportNotStarted(r)
		}, nil, 0, ResultNeverStarted, job.CodeWorkerLost, 3, 3},
		{"forbid unanswered", true, func(r *fakeWorkers) {
			refuseMember(KindStart, 1, worker.RefusedNotHeld)(r)
			stopsReportNotStarted(r)
			r.noReply[KindForbid] = true
		}, nil, 11 * time.Second, ResultUnknown, job.CodeWorkerLost, 3, 3},
		{"worker without a record does not prove that the member never started", true, func(r *fakeWorkers) {
			refuseMember(KindStart, 1, worker.RefusedNotHeld)(r)
			r.replies[KindStop] = func(c Command) Reply { return Reply{Command: c, Status: worker.Status{State: worker.StateUnknown}} }
		}, nil, 0, ResultUnknown, job.CodeWorkerLost, 3, 3},
		{"start replies lost, worker refuses the second start as already active", true, func(r *fakeWorkers) {
			r.replies[KindStart] = func(c Command) Reply {
				if r.sent[KindStart] <= 3 {
					return Reply{Command: c, Err: errReplyLost}
				}
				return Reply{Command: c, Refused: worker.RefusedAlreadyActive}
			}
		}, func(r *fakeWorkers) { r.run(time.Second); r.reportState(0, worker.StateFailed) }, time.Second, ResultFailed, job.CodeTaskFailed, 6, 2},
		{"member fails", true, nil, func(r *fakeWorkers) { r.reportState(2, worker.StateFailed) }, 0, ResultFailed, job.CodeTaskFailed, 3, 2},
		{"member lapses", true, nil, func(r *fakeWorkers) { r.reportState(2, worker.StateLapsed) }, 0, ResultUnknown, job.CodeWorkerLost, 3, 2},
		{"renewal unanswered", true, nil, func(r *fakeWorkers) { r.noReply[KindRenew] = true }, 4 * time.Second, ResultUnknown, job.CodeWorkerLost, 3, 3},
		{"worker lost", true, nil, func(r *fakeWorkers) { r.noReply[KindStop] = true; r.step(WorkerLost{"z"}) }, 11 * time.Second, ResultUnknown, job.CodeWorkerLost, 3, 21},
		{"preempted", true, nil, func(r *fakeWorkers) { r.step(Preempt{}) }, 0, ResultPreempted, job.CodePreempted, 3, 3},
		{"preempted, checkpoints unanswered", true, nil, func(r *fakeWorkers) { r.noReply[KindCheckpoint] = true; r.step(Preempt{}) }, 2 * time.Second, ResultPreempted, job.CodePreempted, 3, 3},
		{"done while preempted", true, nil, func(r *fakeWorkers) {
			r.noReply[KindCheckpoint] = true
			r.step(Preempt{})
			for i := range 3 {
				r.reportState(i, worker.StateDone)
			}
		}, 0, ResultDone, job.CodeOK, 3, 0},
		{"cancelled while running", true, nil, func(r *fakeWorkers) { r.step(Cancel{job.CodeCancelled}) }, 0, ResultUnknown, job.CodeCancelled, 3, 3},
		{"answer cannot be fetched", true, func(r *fakeWorkers) { r.noReply[KindAnswer] = true }, func(r *fakeWorkers) {
			for i := range 3 {
				r.reportState(i, worker.StateDone)
			}
		}, 31 * time.Second, ResultUnknown, job.CodeAnswerLost, 3, 0},
		{"answer is fetched at the third attempt", true, func(r *fakeWorkers) {
			r.replies[KindAnswer] = func(c Command) Reply {
				if r.sent[KindAnswer] < 3 {
					return Reply{Command: c, Err: errReplyLost}
				}
				return Reply{}
			}
		}, func(r *fakeWorkers) {
			for i := range 3 {
				r.reportState(i, worker.StateDone)
			}
		}, time.Second, ResultDone, job.CodeOK, 3, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			r := newFakeWorkers(New(testOptions(3, c.idempotent)))
			if c.beforeFirstTick != nil {
				c.beforeFirstTick(r)
			}
			r.step(Tick{})
			if c.afterFirstTick != nil {
				c.afterFirstTick(r)
			}
			r.run(c.wait)
			is.Equal(r.gang.Result(), c.result)
			is.Equal(r.gang.Code(), c.code)
			is.Equal(r.gang.Phase(), PhaseEnded)
			is.Equal(r.sent[KindStart], c.starts)
			is.Equal(r.sent[KindStop], c.stops)
			if c.name == "member fails" || c.name == "member lapses" || c.name == "one start refused, none ran" {
				is.Equal(len(r.gang.FailedWorkers()), 1) // without the workers whose members were stopped because of it
			}
			is.Equal(string(r.gang.Answer()) == "answer", c.result == ResultDone)
		})
	}
}

// Guards against leases that are renewed before every member has confirmed its start, and against wrong renewal intervals.
func TestLeasesAreRenewedOnlyAfterAllStartsConfirmed(t *testing.T) {
	is := is.New(t)
	r := newFakeWorkers(New(testOptions(2, true)))
	r.noReply[KindStart] = true
	r.step(Tick{})
	is.Equal(r.gang.Phase(), PhaseStarting)
	is.Equal(r.last[KindStart].NotAfter, r.now.Add(400*time.Millisecond))
	r.reportState(0, worker.StateRunning)
	r.run(time.Second)
	is.Equal(r.sent[KindRenew], 0) // member 1 has not confirmed
	r.reportState(1, worker.StateRunning)
	is.Equal(r.sent[KindRenew], 2)
	is.Equal(r.last[KindRenew].Lease, 9*time.Second)
	r.run(2900 * time.Millisecond)
	is.Equal(r.sent[KindRenew], 2)
	r.run(6200 * time.Millisecond)
	is.Equal(r.sent[KindRenew], 8)
}

// Guards against holds that are issued in another order than that of the worker names, and against starts that are issued
// before the claim is written and every hold is confirmed.
func TestHoldsAreOrderedByWorkerAndStartsFollowAllHolds(t *testing.T) {
	is := is.New(t)
	g := New(testOptions(3, false))
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

// Guards against a new owner that keeps a gang with missing members, or that reports an attempt as never started without
// proof from every worker.
func TestAdoptedGangEndsUnlessAllMembersRun(t *testing.T) {
	running, done, held := worker.StateRunning, worker.StateDone, worker.StateHeld
	cases := []struct {
		name   string
		states []worker.State
		// stopsProveNotStarted is true if the workers report at each stop that the member had not started.
		stopsProveNotStarted bool
		phase                Phase
		result               Result
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
			o := testOptions(2, false)
			var statuses []worker.Status
			for i, s := range c.states {
				spec := o.Spec
				spec.ID.Member = i
				statuses = append(statuses, worker.Status{Spec: spec, State: s, Started: s != held})
			}
			r := newFakeWorkers(Adopt(o, statuses))
			if c.stopsProveNotStarted {
				stopsReportNotStarted(r)
			}
			r.step(Tick{})
			r.run(5 * time.Second)
			is.Equal(r.gang.Phase(), c.phase)
			is.Equal(r.gang.Result(), c.result)
			is.Equal(r.sent[KindStart], 0)
			r.step(OutcomeDelivered{})
			is.Equal(r.sent[KindAcknowledge] > 0, c.phase == PhaseEnded)
		})
	}
}

// Guards against an answer that is fetched only after the reply to a pending renewal, which the owner batches and sends
// later.
func TestAnswerDoesNotWaitForRenewal(t *testing.T) {
	is := is.New(t)
	r := newFakeWorkers(New(testOptions(1, true)))
	r.noReply[KindRenew] = true
	r.step(Tick{})
	is.Equal(r.sent[KindRenew], 1)
	renewal := r.last[KindRenew]
	r.reportState(0, worker.StateDone)
	is.Equal(r.sent[KindAnswer], 1)
	is.Equal(r.gang.Result(), ResultDone)
	r.step(Reply{Command: renewal, Status: r.status(renewal, worker.StateDone, true)}) // a late reply changes nothing
	is.Equal(r.gang.Result(), ResultDone)
}
