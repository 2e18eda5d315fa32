package engine_test

import (
	"fmt"
	"testing"
	"time"

	"clementinepier/metrics"
	"clementinepier/standin/site"
	"clementinepier/workload"
)

// workerRestart is how a worker crashes and starts again behind a cut from the store, and when it carries out an order of before.
type workerRestart struct {
	// down is how long the worker is down, and arrival how long after its new start it carries the order out.
	down, arrival time.Duration
	// silent makes calls to the worker that is down time out instead of being refused.
	silent bool
	// deaf loses all answers of the new incarnation until it has carried the order out.
	deaf bool
}

func (c workerRestart) String() string {
	s := fmt.Sprintf("down for %s, order %s later", c.down, c.arrival)
	if c.silent {
		s += ", silent"
	}
	if c.deaf {
		s += ", deaf"
	}
	return s
}

// workerRestarts has times around the delays with which a worker that does not answer is polled again.
var workerRestarts = []workerRestart{
	{down: 50 * time.Millisecond, arrival: 20 * time.Millisecond},
	{down: 100 * time.Millisecond, arrival: 20 * time.Millisecond},
	{down: 245 * time.Millisecond, arrival: 20 * time.Millisecond},
	{down: 300 * time.Millisecond, arrival: 100 * time.Millisecond},
	{down: 1010 * time.Millisecond, arrival: 20 * time.Millisecond},
	{down: 1110 * time.Millisecond, arrival: 200 * time.Millisecond},
	{down: 2430 * time.Millisecond, arrival: 20 * time.Millisecond},
	{down: 3 * time.Second, arrival: 500 * time.Millisecond},
	{down: 300 * time.Millisecond, arrival: 900 * time.Millisecond, silent: true},
	{down: 1500 * time.Millisecond, arrival: 400 * time.Millisecond, silent: true},
	{down: 2800 * time.Millisecond, arrival: 400 * time.Millisecond, silent: true},
	{down: 3 * time.Second, arrival: 400 * time.Millisecond, silent: true},
	{down: 300 * time.Millisecond, arrival: 100 * time.Millisecond, deaf: true},
	{down: 3 * time.Second, arrival: time.Second, silent: true, deaf: true},
}

const (
	// firstOrder and bothOrders are the times within which a planner sends the first order to start a run, and the second one if that got no
	// response.
	firstOrder = 20 * time.Millisecond
	bothOrders = 100 * time.Millisecond
)

// eachWorkerRestart runs a test in virtual time for each of workerRestarts.
func eachWorkerRestart(t *testing.T, f func(r *rig, c workerRestart)) {
	t.Helper()
	for _, c := range workerRestarts {
		t.Run(c.String(), func(t *testing.T) {
			runInVirtualTime(t, func(r *rig) { f(r, c) })
		})
	}
}

// holdUpOrders makes r1-w0 carry out the orders to start a run that it gets for the given time after the delay, in whatever incarnation, and drain
// afterwards if drains is set. It returns a function that restarts the worker so that the first order comes to the new incarnation.
func (r *rig) holdUpOrders(during, delay time.Duration, drains bool, submit func()) func(c workerRestart) {
	r.t.Helper()
	r.Set("r1-w0", func(w *site.Worker) { w.StartDelay, w.KeepsLateOrders = delay, true })
	submit()
	held := time.Now()
	time.Sleep(during)
	r.Set("r1-w0", func(w *site.Worker) { w.StartDelay, w.Registration.Draining = 0, drains })
	if drains {
		r.Register(r.Worker("r1-w0"))
	}
	return func(c workerRestart) {
		r.t.Helper()
		started := held.Add(delay - c.arrival)
		r.True(time.Until(started) > c.down)
		time.Sleep(time.Until(started.Add(-c.down)))
		r.Set("r1-w0", func(w *site.Worker) { w.Dead, w.RefusesConnections = true, !c.silent })
		time.Sleep(c.down)
		r.Set("r1-w0", func(w *site.Worker) {
			w.Restart()
			w.Registration.Draining, w.LoseAnswers = false, c.deaf
		})
		time.Sleep(c.arrival + 100*time.Millisecond)
		r.Set("r1-w0", func(w *site.Worker) { w.LoseAnswers = false })
	}
}

// Guards against not asking a worker to which a lost planner may have sent an order, since it does not list the run: it restarts behind a cut from
// the store and carries the order out, while the task runs elsewhere.
func TestLateOrderOfLostPlannerIsRefusedAfterRestart(t *testing.T) {
	eachWorkerRestart(t, func(r *rig, c workerRestart) {
		p, stop := r.startWithWorkers(1)
		defer func() { stop() }()
		r.rest(30 * time.Second)
		restart := r.holdUpOrders(firstOrder, 8*time.Second, true, func() {
			r.mustSubmit(p, "j1", 1, singleTaskStep(8), 20*time.Second)
			// The planner is lost before it can record that the order got no response.
			r.Store.SetRefusing(true)
		})
		stop()
		r.Store.SetRefusing(false)
		r.AddWorkers("r2", 1)
		p, stop = r.startPlanner("b")
		time.Sleep(2 * time.Second)
		r.Equal(r.WorkersRunning("j1"), []string{"r2-w0"})
		restart(c)
		r.Equal(r.Worker("r1-w0").Starts, 0)
		r.waitForState(p, "j1", workload.StateCompleted, time.Minute)
	})
}

// Guards against not asking a worker any more once its next incarnation refuses an order: the one after that knows nothing of the refusal.
func TestLateOrderIsRefusedAfterSecondRestart(t *testing.T) {
	eachWorkerRestart(t, func(r *rig, c workerRestart) {
		p, stop := r.startWithWorkers(1)
		defer stop()
		r.rest(30 * time.Second)
		r.AddWorkers("r2", 1)
		restart := r.holdUpOrders(bothOrders, 8*time.Second, true, func() { r.mustSubmit(p, "j1", 1, singleTaskStep(8), 20*time.Second) })
		time.Sleep(2 * time.Second)
		r.Set("r1-w0", (*site.Worker).Restart)
		r.Register(r.Worker("r1-w0"))
		time.Sleep(500 * time.Millisecond)
		r.Equal(r.WorkersRunning("j1"), []string{"r2-w0"})
		restart(c)
		r.Equal(r.Worker("r1-w0").Starts, 0)
		r.waitForState(p, "j1", workload.StateCompleted, time.Minute)
	})
}

// Guards against not asking a worker that may carry out an unanswered order of a task that lasts, which has gone on elsewhere.
func TestLateOrderOfLastingTaskIsRefusedAfterRestart(t *testing.T) {
	eachWorkerRestart(t, func(r *rig, c workerRestart) {
		step := singleTaskStep(8)
		step.LongRunning = true
		p, stop := r.startWithWorkers(1)
		defer stop()
		r.rest(30 * time.Second)
		restart := r.holdUpOrders(bothOrders, 8*time.Second, true, func() { r.mustSubmit(p, "j1", 1, step, time.Hour) })
		r.AddWorkers("r2", 1)
		time.Sleep(3 * time.Second)
		r.Equal(r.WorkersRunning("j1"), []string{"r2-w0"})
		restart(c)
		r.Equal(r.Worker("r1-w0").Starts, 0)
		r.Equal(r.WorkersRunning("j1"), []string{"r2-w0"})
	})
}

// Guards against not asking a worker whose run was done after the second order to start it: its next incarnation carries out the first one.
func TestLateOrderIsRefusedAfterRunWasDone(t *testing.T) {
	for size, step := range map[string]workload.Step{"task": singleTaskStep(8), "gang": gangStep(2, 8)} {
		t.Run(size, func(t *testing.T) {
			eachWorkerRestart(t, func(r *rig, c workerRestart) { r.restartAfterDone(step, c, 0) })
		})
	}
}

// Guards against a successor that does not ask the worker of a run that was done under an earlier planner, although that may have got no
// response to an order to start it.
func TestLateOrderOfEarlierPlannerIsRefusedAfterRunWasDone(t *testing.T) {
	for changes := 1; changes <= 2; changes++ {
		t.Run(fmt.Sprintf("%d changes of the planner", changes), func(t *testing.T) {
			eachWorkerRestart(t, func(r *rig, c workerRestart) { r.restartAfterDone(singleTaskStep(8), c, changes) })
		})
	}
}

// restartAfterDone restarts r1-w0 after j1 is done there, before the worker carries out an order to start it that got no response. The planner
// changes in between as often as given.
func (r *rig) restartAfterDone(step workload.Step, c workerRestart, changes int) {
	r.t.Helper()
	p, stop := r.startWithWorkers(step.Tasks)
	defer func() { stop() }()
	r.rest(30 * time.Second)
	restart := r.holdUpOrders(firstOrder, 9*time.Second, false, func() { r.mustSubmit(p, "j1", 1, step, time.Second) })
	r.waitForState(p, "j1", workload.StateCompleted, 3*time.Second)
	for i := range changes {
		time.Sleep(500 * time.Millisecond)
		stop()
		p, stop = r.startPlanner(fmt.Sprintf("successor-%d", i+1))
	}
	starts := r.Worker("r1-w0").Starts
	restart(c)
	r.Equal(r.Worker("r1-w0").Starts, starts)
	r.Equal(p.State(r.t.Context(), "j1").State, workload.StateCompleted)
}

// Guards against waiting for the end of a run that its worker never had: it has confirmed the stop, and a poll that waits for an end gets none.
func TestTaskGoesOnSoonAfterStopOfRunThatNeverStarted(t *testing.T) {
	step := singleTaskStep(8)
	step.LongRunning = true
	runInVirtualTime(t, func(r *rig) {
		p, stop := r.startWithWorkers(1)
		defer stop()
		r.rest(30 * time.Second)
		r.AddWorkers("r2", 1)
		r.holdUpOrders(bothOrders, 8*time.Second, true, func() { r.mustSubmit(p, "j1", 1, step, time.Hour) })
		time.Sleep(900 * time.Millisecond)
		r.Equal(r.WorkersRunning("j1"), []string{"r2-w0"})
	})
}

// Guards against polls that grow with the load of a planner which has taken over many workers: their responses arrive late, their ends are not stored
// yet, or they all go down at once, and it polls them all the more often.
func TestSuccessorDoesNotPollManyWorkersMoreOftenUnderLoad(t *testing.T) {
	const (
		workers, watched = 300, 5 * time.Second
		// pollsForRestarts bounds the polls a second that are sent to notice restarts. The others to a worker are one to learn its incarnation, one
		// every 2 s, and one for its end, or one every 250 ms while it is down.
		pollsForRestarts = 200
	)
	for name, c := range map[string]struct {
		load       func(r *rig)
		otherPolls int64
	}{
		"responses arrive late": {
			load: func(r *rig) {
				r.setAll(func(w *site.Worker) { w.AnswerDelays = []time.Duration{300 * time.Millisecond} })
			},
			otherPolls: 5,
		},
		"ends are not stored": {load: func(r *rig) { r.Store.SetRefusing(true) }, otherPolls: 5},
		"workers are down": {
			load:       func(r *rig) { r.setAll(func(w *site.Worker) { w.Dead, w.RefusesConnections = true, true }) },
			otherPolls: 21,
		},
	} {
		t.Run(name, func(t *testing.T) {
			runInVirtualTime(t, func(r *rig) {
				p, stop := r.startWithWorkers(workers)
				defer func() { stop() }()
				step := singleTaskStep(8)
				step.Tasks = workers
				r.mustSubmit(p, "j1", 1, step, 4*time.Second)
				time.Sleep(2 * time.Second)
				stop()
				p, stop = r.startPlanner("b")
				c.load(r)
				time.Sleep(watched)
				polls := p.Metrics.Get(metrics.Polls)
				r.Store.SetRefusing(false)
				t.Log("polls:", polls)
				r.True(polls <= pollsForRestarts*int64(watched/time.Second)+c.otherPolls*workers)
			})
		})
	}
}
