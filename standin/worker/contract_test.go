package worker_test

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"github.com/pkg/errors"

	"clementinepier/job"
	"clementinepier/standin/fault"
	standin "clementinepier/standin/worker"
	"clementinepier/worker"
)

const (
	length  = 2 * time.Second
	payload = `{"run-time": "1s", "size": 100}`
)

type fixture struct {
	*is.I
	ctx    context.Context
	clock  *clockwork.FakeClock
	worker *standin.Worker
	client *worker.Client
	refuse func()
	runLog bytes.Buffer
}

// variants are the two ways to call the stand-in: in process and over HTTP; every case runs on both.
var variants = map[string]func(t *testing.T, f *fixture){
	"memory": func(_ *testing.T, f *fixture) {
		f.client = f.worker.Client()
		f.refuse = func() { f.worker.SetFaults(standin.Faults{Faults: fault.Faults{Refused: true}}) }
	},
	"http": func(t *testing.T, f *fixture) {
		server := httptest.NewServer(f.worker.Handler())
		t.Cleanup(server.Close)
		// The client's own clock is fake and never advanced, so its timeout never interferes.
		f.client = worker.NewClient(worker.Options{Name: "w1", Address: server.Listener.Addr().String(), Clock: clockwork.NewFakeClock()})
		f.refuse = server.Close
	},
}

func TestContract(t *testing.T) {
	for name, test := range map[string]func(f *fixture){
		"task runs to its answer":            taskRuns,
		"hold reserves capacity":             holdReserves,
		"hold can be repeated":               holdRepeats,
		"hold checks its spec":               holdChecksSpec,
		"start needs a live hold":            startNeedsHold,
		"start is admitted once":             startOnce,
		"lease lapses unless renewed":        leaseLapses,
		"forbid fences an id":                forbidFences,
		"stop ends tasks and holds":          stopEnds,
		"leaving worker refuses holds":       leavingRefuses,
		"checkpoint saves progress":          checkpointSaves,
		"throttle slows the run":             throttleSlows,
		"usage lags":                         usageLags,
		"events come in sequence":            eventsInSequence,
		"events wait":                        eventsWait,
		"answer is kept until acknowledged":  answerIsKept,
		"failures are reported":              failuresAreReported,
		"gang answer comes from member 0":    gangAnswer,
		"damaged answers are refused":        damagedAnswers,
		"context of a fake clock":            fakeDeadline,
		"down takes no effect":               downTakesNoEffect,
		"lost reply takes effect":            lostReplyTakesEffect,
		"delayed start misses its hold":      delayedStart,
		"abandoned call may take effect":     abandonedCall,
		"refused connection isn't delivered": refusedIsNotDelivered,
	} {
		for variant, prepare := range variants {
			t.Run(name+"/"+variant, func(t *testing.T) {
				ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
				defer cancel()
				f := &fixture{I: is.New(t), ctx: ctx, clock: clockwork.NewFakeClock()}
				f.worker = standin.New(standin.Options{
					Info:  worker.Info{Name: "w1", FailureDomain: "tunis-a", Rack: "r1", Slots: 4, Accelerators: 8, BootID: "b"},
					Clock: f.clock, RunLog: &f.runLog,
				})
				prepare(t, f)
				test(f)
			})
		}
	}
}

func id(request string) job.TaskID {
	return job.TaskID{Organisation: "o", RequestID: request, Attempt: 1}
}

func spec(request string, accelerators int) worker.Spec {
	return worker.Spec{
		ID: id(request), Nonce: "n", Shape: job.Shape{Tasks: 1, Accelerators: accelerators, Slots: 1}, Workers: []string{"w1"},
	}
}

func (f *fixture) hold(s worker.Spec) []int {
	f.Helper()
	accelerators, refused, err := f.client.Hold(f.ctx, s, length)
	f.NoErr(err)
	f.Equal(refused, worker.RefusedNone)
	return accelerators
}

func (f *fixture) holdRefused(s worker.Spec) worker.Refusal {
	f.Helper()
	_, refused, err := f.client.Hold(f.ctx, s, length)
	f.NoErr(err)
	return refused
}

func (f *fixture) start(id job.TaskID, nonce string) worker.Refusal {
	f.Helper()
	refused, err := f.client.Start(f.ctx, id, nonce, []byte(payload), length)
	f.NoErr(err)
	return refused
}

// running holds and starts a task.
func (f *fixture) running(request string) job.TaskID {
	f.Helper()
	f.hold(spec(request, 1))
	f.Equal(f.start(id(request), "n"), worker.RefusedNone)
	return id(request)
}

func (f *fixture) status(id job.TaskID) worker.Status {
	f.Helper()
	_, statuses, err := f.client.Tasks(f.ctx)
	f.NoErr(err)
	for _, s := range statuses {
		if s.Spec.ID == id {
			return s
		}
	}
	return worker.Status{State: worker.StateUnknown}
}

// delivered requires an *ErrCall and returns its Delivered field.
func (f *fixture) delivered(err error) bool {
	f.Helper()
	var call *worker.ErrCall
	f.True(errors.As(err, &call))
	f.Equal(call.Worker, "w1")
	return call.Delivered
}

func (f *fixture) faults(faults fault.Faults) { f.worker.SetFaults(standin.Faults{Faults: faults}) }

// Guards against wrong answers, and a run log that does not show the run.
func taskRuns(f *fixture) {
	f.Equal(f.hold(spec("r", 2)), []int{0, 1})
	f.Equal(f.status(id("r")).State, worker.StateHeld)
	f.Equal(f.start(id("r"), "n"), worker.RefusedNone)
	f.clock.Advance(time.Second)
	status := f.status(id("r"))
	f.Equal(status.State, worker.StateDone)
	f.Equal(status.RanFor, job.Duration(time.Second))
	f.Equal(len(status.Accelerators), 0)
	f.Equal(status.AnswerLength, 100)
	answer, err := f.client.Answer(f.ctx, id("r"))
	f.NoErr(err)
	expected, err := standin.ExpectedAnswer(id("r").Key(), []byte(payload))
	f.NoErr(err)
	f.Equal(answer, expected)
	f.Equal(worker.Digest(answer), status.AnswerDigest)
	other, err := standin.ExpectedAnswer(id("q").Key(), []byte(payload))
	f.NoErr(err)
	f.True(!bytes.Equal(other, expected))
	lines := strings.Split(strings.TrimSpace(f.runLog.String()), "\n")
	f.Equal(len(lines), 2)
	var end standin.RunLine
	f.NoErr(json.Unmarshal([]byte(lines[1]), &end))
	f.True(end.Time.Equal(f.clock.Now()))
	end.Time = time.Time{}
	f.Equal(end, standin.RunLine{
		Event: standin.EventEnd, Worker: "w1", BootID: "b", Rack: "r1", FailureDomain: "tunis-a", ID: id("r"), Nonce: "n", Members: 1,
		State: worker.StateDone,
	})
}

// Guards against capacity that is given to two tasks, and capacity that is never released.
func holdReserves(f *fixture) {
	f.Equal(f.hold(spec("a", 3)), []int{0, 1, 2})
	f.Equal(f.hold(spec("b", 2)), []int{3, 4})
	f.Equal(f.holdRefused(spec("c", 4)), worker.RefusedAccelerators)
	_, err := f.client.Stop(f.ctx, []job.TaskID{id("a")}, "test")
	f.NoErr(err)
	f.Equal(f.hold(spec("d", 3)), []int{0, 1, 2}) // adjacent ones rather than any
	f.hold(spec("e", 0))
	f.hold(spec("f", 0))
	f.Equal(f.holdRefused(spec("g", 0)), worker.RefusedSlots)
	f.clock.Advance(length)
	f.Equal(f.status(id("b")).State, worker.StateLapsed)
	f.Equal(len(f.hold(spec("h", 8))), 8)
}

// Guards against capacity that leaks when the reply to a hold was lost.
func holdRepeats(f *fixture) {
	f.Equal(f.hold(spec("r", 1)), []int{0})
	f.Equal(f.hold(spec("r", 1)), []int{0})
	other := spec("r", 1)
	other.Nonce = "m"
	f.Equal(f.holdRefused(other), worker.RefusedKnown)
	f.clock.Advance(length)
	f.Equal(f.holdRefused(spec("r", 1)), worker.RefusedKnown) // an id never goes back to held
}

// Guards against a spec that a new owner could not adopt.
func holdChecksSpec(f *fixture) {
	bad := spec("r", 1)
	bad.Workers = nil
	_, _, err := f.client.Hold(f.ctx, bad, length)
	f.True(f.delivered(err))
	f.Equal(f.status(id("r")).State, worker.StateUnknown)
}

// Guards against a start that was sent too late or by another owner.
func startNeedsHold(f *fixture) {
	f.Equal(f.start(id("r"), "n"), worker.RefusedNotHeld)
	f.hold(spec("r", 1))
	f.Equal(f.start(id("r"), "m"), worker.RefusedNonce)
	f.clock.Advance(length)
	f.Equal(f.start(id("r"), "n"), worker.RefusedNotHeld)
	f.True(!f.status(id("r")).Started)
	f.Equal(f.runLog.Len(), 0)
}

// Guards against a second run of one task id.
func startOnce(f *fixture) {
	f.running("r")
	f.Equal(f.start(id("r"), "n"), worker.RefusedAlreadyActive)
	f.clock.Advance(time.Second)
	f.Equal(f.start(id("r"), "n"), worker.RefusedAlreadyActive)
	f.Equal(f.holdRefused(spec("r", 1)), worker.RefusedKnown)
	f.Equal(strings.Count(f.runLog.String(), `"event":"start"`), 1)
}

// Guards against tasks that outlive their owner, and tasks that end under a live lease.
func leaseLapses(f *fixture) {
	long := []byte(`{"run-time": "1h"}`)
	for _, request := range []string{"a", "b"} {
		f.hold(spec(request, 1))
		_, err := f.client.Start(f.ctx, id(request), "n", long, length)
		f.NoErr(err)
	}
	f.clock.Advance(length / 2)
	statuses, err := f.client.Renew(f.ctx, []worker.Lease{
		{ID: id("a"), Nonce: "n", Length: job.Duration(length)},
		{ID: id("b"), Nonce: "wrong", Length: job.Duration(length)},
		{ID: id("c"), Nonce: "n", Length: job.Duration(length)},
	})
	f.NoErr(err)
	f.Equal(len(statuses), 3)
	f.Equal(statuses[2].State, worker.StateUnknown)
	f.clock.Advance(length / 2)
	f.Equal(f.status(id("a")).State, worker.StateRunning)
	f.Equal(f.status(id("b")).State, worker.StateLapsed)
	f.Equal(f.status(id("b")).RanFor, job.Duration(length))
	f.clock.Advance(length / 2)
	f.Equal(f.status(id("a")).State, worker.StateLapsed)
}

// Guards against a forbidden task id that can still start, and a forbid call that hides an earlier start.
func forbidFences(f *fixture) {
	f.hold(spec("held", 8))
	for _, request := range []string{"new", "held"} {
		status, err := f.client.Forbid(f.ctx, id(request))
		f.NoErr(err)
		f.Equal(status.State, worker.StateForbidden)
		f.True(!status.Started)
		f.Equal(f.start(id(request), "n"), worker.RefusedForbidden)
		f.Equal(f.holdRefused(spec(request, 1)), worker.RefusedForbidden)
	}
	f.hold(spec("lapsed", 1)) // forbidding the held task released its accelerators
	f.clock.Advance(length)
	status, err := f.client.Forbid(f.ctx, id("lapsed"))
	f.NoErr(err)
	f.Equal(status.State, worker.StateForbidden)
	status, err = f.client.Forbid(f.ctx, f.running("started"))
	f.NoErr(err)
	f.Equal(status.State, worker.StateRunning)
	f.True(status.Started)
}

// Guards against a stop that loses the record, or fails on tasks that have ended.
func stopEnds(f *fixture) {
	f.running("a")
	f.hold(spec("b", 1))
	ids := []job.TaskID{id("a"), id("b"), id("c")}
	for range 2 {
		statuses, err := f.client.Stop(f.ctx, ids, "test")
		f.NoErr(err)
		f.Equal(statuses[0].State, worker.StateStopped)
		f.True(statuses[0].Started)
		f.Equal(statuses[1].State, worker.StateStopped)
		f.True(!statuses[1].Started)
		f.Equal(statuses[2].State, worker.StateUnknown)
	}
	f.Equal(f.start(id("b"), "n"), worker.RefusedNotHeld)
}

// Guards against new work on a worker that is leaving, and against loss of the tasks that it has.
func leavingRefuses(f *fixture) {
	f.hold(spec("a", 1))
	f.worker.SetLeaving(true)
	f.Equal(f.holdRefused(spec("b", 1)), worker.RefusedLeaving)
	f.Equal(f.start(id("a"), "n"), worker.RefusedNone)
	info, err := f.client.Info(f.ctx)
	f.NoErr(err)
	f.True(info.Leaving)
}

// Guards against a checkpoint that does not lower SinceCheckpoint, which preemption uses to choose victims.
func checkpointSaves(f *fixture) {
	f.running("r")
	f.clock.Advance(300 * time.Millisecond)
	f.NoErr(f.client.Checkpoint(f.ctx, id("r")))
	f.clock.Advance(200 * time.Millisecond)
	f.Equal(f.status(id("r")).SinceCheckpoint, job.Duration(200*time.Millisecond))
	f.True(worker.IsErrTaskNotExist(f.client.Checkpoint(f.ctx, id("other"))))
}

// Guards against a throttle that does not change the run time.
func throttleSlows(f *fixture) {
	f.running("r")
	f.clock.Advance(500 * time.Millisecond)
	f.NoErr(f.client.Throttle(f.ctx, id("r"), 0.5))
	f.clock.Advance(999 * time.Millisecond)
	f.Equal(f.status(id("r")).State, worker.StateRunning)
	f.clock.Advance(time.Millisecond)
	f.Equal(f.status(id("r")).State, worker.StateDone)
	f.True(f.delivered(f.client.Throttle(f.ctx, id("r"), 0)))
}

// Guards against measurements that are fresher than real ones.
func usageLags(f *fixture) {
	f.hold(spec("r", 1))
	_, err := f.client.Start(f.ctx, id("r"), "n", []byte(`{"run-time": "4s"}`), time.Minute)
	f.NoErr(err)
	for _, want := range []int{0, 1, 1, 0} { // after 2, 4, 6 and 8 s, seen 3 s late
		f.clock.Advance(2 * time.Second)
		usage, err := f.client.Usage(f.ctx)
		f.NoErr(err)
		f.Equal(len(usage), want)
	}
}

// Guards against events that are lost, repeated or out of order.
func eventsInSequence(f *fixture) {
	f.running("r")
	first, err := f.client.Events(f.ctx, 0, time.Second)
	f.NoErr(err)
	f.Equal(len(first.Events), 2)
	f.Equal(first.Next, uint64(2))
	f.Equal(first.Events[1].Status.State, worker.StateRunning)
	f.clock.Advance(time.Second)
	second, err := f.client.Events(f.ctx, first.Next, time.Second)
	f.NoErr(err)
	f.Equal(len(second.Events), 1)
	f.Equal(second.Events[0].Sequence, uint64(3))
	f.Equal(second.Events[0].Status.State, worker.StateDone)
	reset, err := f.client.Events(f.ctx, 100, time.Hour) // a sequence from an earlier boot
	f.NoErr(err)
	f.Equal(reset.Next, uint64(3))
	f.Equal(reset.Info.BootID, "b")
}

// Guards against a poll that returns at once, never, or too late for a leaving worker.
func eventsWait(f *fixture) {
	for _, wake := range []func(){
		func() { f.clock.Advance(time.Second) },
		func() { f.worker.SetLeaving(true) },
	} {
		result := make(chan worker.Events, 1)
		go func() {
			events, err := f.client.Events(f.ctx, 0, time.Second)
			f.NoErr(err)
			result <- events
		}()
		f.NoErr(f.clock.BlockUntilContext(f.ctx, 1))
		wake()
		f.Equal(len((<-result).Events), 0)
	}
}

// Guards against an answer that is dropped before its owner has it.
func answerIsKept(f *fixture) {
	f.running("r")
	_, err := f.client.Answer(f.ctx, id("r"))
	f.True(worker.IsErrTaskNotExist(err))
	f.clock.Advance(time.Second)
	for range 2 {
		_, err = f.client.Answer(f.ctx, id("r"))
		f.NoErr(err)
	}
	f.NoErr(f.client.Acknowledge(f.ctx, []job.TaskID{id("r")}))
	_, err = f.client.Answer(f.ctx, id("r"))
	f.True(worker.IsErrTaskNotExist(err))
	f.Equal(f.holdRefused(spec("r", 1)), worker.RefusedKnown)
}

// Guards against a failed task that looks done, and against a bad payload that never ends.
func failuresAreReported(f *fixture) {
	for request, source := range map[string]string{
		"fails": `{"run-time": "1s", "fail": true}`, "bad": `{`, "negative": `{"size": -1}`,
	} {
		f.hold(spec(request, 1))
		_, err := f.client.Start(f.ctx, id(request), "n", []byte(source), length)
		f.NoErr(err)
		f.clock.Advance(time.Second)
		status := f.status(id(request))
		f.Equal(status.State, worker.StateFailed)
		f.True(status.Error != "")
		_, err = f.client.Answer(f.ctx, id(request))
		f.True(worker.IsErrTaskNotExist(err))
	}
	f.worker.SetFaults(standin.Faults{FailTasks: true})
	f.Equal(f.status(f.running("r")).State, worker.StateFailed)
}

// Guards against a gang whose members all answer.
func gangAnswer(f *fixture) {
	s := spec("r", 1)
	s.Shape.Tasks, s.Workers, s.ID.Member = 2, []string{"w2", "w1"}, 1
	f.hold(s)
	f.Equal(f.start(s.ID, "n"), worker.RefusedNone)
	f.clock.Advance(time.Second)
	answer, err := f.client.Answer(f.ctx, s.ID)
	f.NoErr(err)
	f.Equal(len(answer), 0)
}

// Guards against truncated, altered and misdelivered answers that reach a caller.
func damagedAnswers(f *fixture) {
	f.running("r")
	f.clock.Advance(time.Second)
	for _, faults := range []standin.Faults{{TruncateAnswers: true}, {WrongDigests: true}, {SwapAnswers: true}} {
		f.worker.SetFaults(faults)
		_, err := f.client.Answer(f.ctx, id("r"))
		f.True(f.delivered(err))
		f.True(worker.IsErrAnswerDamaged(err))
	}
	f.worker.SetFaults(standin.Faults{})
	_, err := f.client.Answer(f.ctx, id("r")) // it can be fetched again
	f.NoErr(err)
}

// Guards against tasks that start during an injected outage.
func downTakesNoEffect(f *fixture) {
	f.hold(spec("r", 1))
	f.faults(fault.Faults{Down: true})
	_, err := f.client.Start(f.ctx, id("r"), "n", []byte(payload), length)
	f.True(f.delivered(err)) // the connection was made, so the client can't know
	f.faults(fault.Faults{})
	f.Equal(f.status(id("r")).State, worker.StateHeld)
}

// Guards against a lost reply that looks like a start that never happened.
func lostReplyTakesEffect(f *fixture) {
	f.hold(spec("r", 1))
	f.faults(fault.Faults{LoseReplies: true, Calls: []string{"start"}})
	_, err := f.client.Start(f.ctx, id("r"), "n", []byte(payload), length)
	f.True(f.delivered(err))
	f.True(f.status(id("r")).Started)
}

// Guards against a start message that is delayed past its hold and takes effect after its failure domain was evacuated.
func delayedStart(f *fixture) {
	f.hold(spec("r", 8))
	f.faults(fault.Faults{Slow: job.Duration(length), Calls: []string{"start"}})
	result := make(chan worker.Refusal, 1)
	go func() { result <- f.start(id("r"), "n") }()
	f.NoErr(f.clock.BlockUntilContext(f.ctx, 2)) // the hold and the delay
	f.clock.Advance(length)
	f.Equal(<-result, worker.RefusedNotHeld)
}

// Guards against a caller that treats a timeout as proof that nothing started.
func abandonedCall(f *fixture) {
	f.hold(spec("r", 1))
	f.faults(fault.Faults{Slow: job.Duration(length / 2)})
	ctx, cancel := context.WithCancel(f.ctx)
	result := make(chan error, 1)
	go func() {
		_, err := f.client.Start(ctx, id("r"), "n", []byte(payload), length)
		result <- err
	}()
	f.NoErr(f.clock.BlockUntilContext(f.ctx, 2))
	cancel()
	f.True(f.delivered(<-result))
	f.faults(fault.Faults{})
	f.clock.Advance(length / 2)
	events, err := f.client.Events(f.ctx, 1, time.Hour)
	f.NoErr(err)
	f.True(events.Events[0].Status.Started)
}

// Guards against a call that blocks when the deadline of its context belongs to a fake clock.
func fakeDeadline(f *fixture) {
	ctx, cancel := clockwork.WithTimeout(f.ctx, f.clock, time.Second)
	defer cancel()
	_, err := f.client.Info(ctx)
	f.NoErr(err)
}

// Guards against a start reported as possibly delivered although it was cancelled beforehand or the connection was refused.
func refusedIsNotDelivered(f *fixture) {
	ctx, cancel := context.WithCancel(f.ctx)
	cancel()
	_, err := f.client.Start(ctx, id("r"), "n", nil, length)
	f.True(!f.delivered(err))
	f.refuse()
	_, err = f.client.Start(f.ctx, id("r"), "n", nil, length)
	f.True(!f.delivered(err))
}
