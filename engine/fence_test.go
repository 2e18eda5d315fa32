package engine_test

import (
	"context"
	"testing"
	"time"

	"clementinepier/engine"
	"clementinepier/metrics"
	"clementinepier/standin/site"
	"clementinepier/workload"
)

// Guards against a fencing token that is not raised with a restart because nothing was stored since the worker got the token: a poll
// to the earlier incarnation, which the next one carries out, extends the lease of a run that was started there since.
func TestLatePollWithSameFencingTokenOutlastsLease(t *testing.T) {
	runInVirtualTime(t, func(r *rig) {
		p, stop := r.startWithWorkers(1)
		r.rest(time.Minute)
		r.mustSubmit(p, "j0", 1, singleTaskStep(8), time.Minute)
		time.Sleep(500 * time.Millisecond)
		stop()
		p, stop = r.startPlanner("b")
		defer stop()
		time.Sleep(500 * time.Millisecond)
		// The poll in flight ends within 2 s; the next one is late.
		r.setAll(func(w *site.Worker) { w.PollDelay, w.KeepsLateOrders = 10*time.Second, true })
		time.Sleep(2 * time.Second)
		r.setAll(func(w *site.Worker) {
			w.Restart()
			w.PollDelay = 0
		})
		r.Register(r.Worker("r1-w0"))
		time.Sleep(time.Second)
		r.Equal(len(r.WorkersRunning("j0")), 1)
		r.Set("r1-w0", func(w *site.Worker) { w.Silent = true })
		r.AddWorkers("r2", 1)
		r.waitForState(p, "j0", workload.StateCompleted, 3*time.Minute)
	})
}

// Guards against taking the acknowledgement of an earlier incarnation's ends for one of the next, which has carried out the poll before
// it got the raised fencing token and answers it later: its ends stay listed, and polls do not wait.
func TestAcknowledgementBeforeRaisedFencingTokenIsNotTakenForNext(t *testing.T) {
	runInVirtualTime(t, func(r *rig) {
		restarted := false
		r.wrapWorkers = func(w engine.Workers) engine.Workers {
			poll := w.Poll
			w.Poll = func(ctx context.Context, t engine.Target, o engine.PollRequest) (engine.PollResponse, error) {
				if o.Acknowledged != 0 && o.Wait != 0 && !restarted {
					restarted = true
					r.Set("r1-w0", (*site.Worker).Restart)
					time.AfterFunc(50*time.Millisecond, func() { r.Register(r.Worker("r1-w0")) })
				}
				return poll(ctx, t, o)
			}
			return w
		}
		p, stop := r.startWithWorkers(1)
		defer stop()
		r.mustSubmit(p, "other", 1, singleTaskStep(1), 10*time.Second)
		r.mustSubmit(p, "first", 1, singleTaskStep(1), time.Second)
		time.Sleep(4 * time.Second)
		r.True(restarted)
		r.mustSubmit(p, "short", 1, singleTaskStep(1), time.Second)
		r.waitForState(p, "short", workload.StateCompleted, 2*time.Second)
		polls := p.Metrics.Get(metrics.Polls)
		time.Sleep(4 * time.Second)
		r.True(p.Metrics.Get(metrics.Polls)-polls <= 10)
		r.waitForState(p, "other", workload.StateCompleted, 20*time.Second)
	})
}

// Guards against counting the time at which a worker reported its incarnation from the arrival of the answer: a start that was sent before
// may have been carried out by the next incarnation, and the end of that run has the same number.
func TestOvertakenAnswerDoesNotIdentifyIncarnationOfStart(t *testing.T) {
	runInVirtualTime(t, func(r *rig) {
		restarted := false
		r.wrapWorkers = func(w engine.Workers) engine.Workers {
			start, poll := w.Start, w.Poll
			w.Poll = func(ctx context.Context, t engine.Target, o engine.PollRequest) (engine.PollResponse, error) {
				response, err := poll(ctx, t, o)
				if len(response.Ends) > 0 && !restarted {
					restarted = true
					r.Set("r1-w0", (*site.Worker).Restart)
					time.Sleep(300 * time.Millisecond)
				}
				return response, err
			}
			w.Start = func(ctx context.Context, t engine.Target, o engine.StartOrder) (engine.WorkerStatus, error) {
				status, err := start(ctx, t, o)
				if o.Payload == "j1" && o.Run == 1 {
					<-ctx.Done()
					return engine.WorkerStatus{}, ctx.Err()
				}
				return status, err
			}
			return w
		}
		p, stop := r.startWithWorkers(1)
		defer stop()
		r.mustSubmit(p, "j0", 1, singleTaskStep(1), 600*time.Millisecond)
		for len(r.WorkersRunning("j0")) == 0 {
			time.Sleep(time.Millisecond)
		}
		for !restarted {
			time.Sleep(time.Millisecond)
		}
		r.mustSubmit(p, "j1", 1, singleTaskStep(1), 100*time.Millisecond)
		r.waitForState(p, "j1", workload.StateCompleted, time.Minute)
		r.waitForState(p, "j0", workload.StateCompleted, time.Minute)
	})
}

// Guards against keeping a task that lasts from the only worker of its service after one failure, although the worker is sound and
// idle.
func TestLastingTaskStartsAgainOnOnlyWorkerAfterFailure(t *testing.T) {
	runInVirtualTime(t, func(r *rig) {
		r.LongRunning = true
		p, stop := r.startWithWorkers(1)
		defer stop()
		step := singleTaskStep(1)
		step.LongRunning = true
		r.mustSubmit(p, "j1", 1, step, time.Hour)
		time.Sleep(time.Second)
		r.Equal(len(r.WorkersRunning("j1")), 1)
		r.Set("r1-w0", func(w *site.Worker) { w.Fails = true })
		r.Set("r1-w0", func(w *site.Worker) { w.Fails = false })
		time.Sleep(9 * time.Second)
		r.Equal(len(r.WorkersRunning("j1")), 1)
	})
}
