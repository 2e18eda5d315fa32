package site

import (
	"time"

	"clementinepier/engine"
)

// run is a run on a Worker.
type run struct {
	number  int
	started time.Time
	// work is the work of the task, in time on a worker of speed 1.
	work time.Duration
	// speed is the worker's, and pace that of the slowest worker of the gang, once all members are present; for a single task they are equal.
	speed, pace float64
	// failsMidway means that the run fails after working for failsAfter.
	failsMidway bool
	failsAfter  time.Duration
	// workingSince is when the run began to work; zero while it waits for the other members of its gang.
	workingSince time.Time
	// broken is set when another member of the gang has ended, not as done, while this one was present.
	broken bool
	// restored is the work that the run's checkpoint saved it. checkpoint is the one with which the run was started.
	restored   time.Duration
	checkpoint string
	// stopsAt is when the run ends by a stop; zero if it is not being stopped.
	stopsAt time.Time
}

// Worker simulates a worker with a fencing token, a lease and a list of ended runs that are not yet acknowledged.
type Worker struct {
	// Registration is the entry that the worker writes to the store.
	Registration engine.Registration
	site         *Site
	maxLease     time.Duration
	start        time.Time
	fence        int64
	leaseEnd     time.Time
	runs         map[string]*run
	ends         []engine.RunEnd
	// endTimes holds the time of each entry of ends.
	endTimes []time.Time
	// endCount is the number of the last ended run; RunEnd.Number counts from 1.
	endCount int64
	// endsLost is set once a worker that no longer exists has lost the ends that were not acknowledged.
	endsLost bool
	// lapsedAt is when the lease last lapsed.
	lapsedAt time.Time
	// lastEnded holds the highest run number of each task that was stopped or has ended.
	lastEnded map[string]int
	// Silent makes every call time out without effect. Its runs continue.
	Silent bool
	// Dead makes every call time out and the worker's runs no longer count.
	Dead bool
	// RefusesConnections makes calls to a dead worker fail at once instead: its process has ended, and its machine runs.
	RefusesConnections bool
	// Replaced means that another worker now has this address; calls are refused with RefusedIncarnation.
	Replaced bool
	// Misdirected makes another server refuse calls at this address with RefusedIncarnation. The worker's runs continue.
	Misdirected bool
	// LoseStarts makes starts take effect without an answer.
	LoseStarts bool
	// LosePolls makes polls end without an answer.
	LosePolls bool
	// LateStarts makes starts take effect after StartDelay, or defaultStartDelay if that is 0, without an answer.
	LateStarts bool
	// StartDelay, StopDelay and PollDelay, unless 0, make starts, stops and polls take effect after that time, without an answer.
	// Newer calls may take effect before.
	StartDelay, StopDelay, PollDelay time.Duration
	// LoseAnswers makes all calls take effect without an answer.
	LoseAnswers bool
	// AnswerDelays has how long the answers to calls take, in turn; newer answers overtake older ones.
	AnswerDelays []time.Duration
	// StopTime is how long a run takes to end after a stop.
	StopTime time.Duration
	// answers counts the answers.
	answers int
	// drainingSince is when the worker began to drain by StartDraining.
	drainingSince time.Time
	// DropStops makes stops have no effect and get no answer.
	DropStops bool
	// Unhealthy makes the worker refuse starts and stops, without effect.
	Unhealthy bool
	// RefusesPolls makes the worker refuse polls as unhealthy, without effect.
	RefusesPolls bool
	// KeepsLateOrders makes a new incarnation carry out the late calls that an earlier one received.
	KeepsLateOrders bool
	// ClockRate is the rate of the worker's clock, by which it also measures its lease and the time that gang members wait; 0 means
	// 1. Set it before the worker is called, and change it only with a restart.
	ClockRate float64
	// Fails makes every run fail at once; Stalled makes runs stop making progress.
	Fails, Stalled bool
	// StalledSince, unless zero, makes the runs of a stalled worker keep the progress that they had then, instead of reporting none.
	StalledSince time.Time
	// Speed is how much work the runs that start on the worker do in a second; 0 means 1.
	Speed float64
	// HidesUsage makes the worker leave out what its runs use, as older workers do.
	HidesUsage bool
	// Isolated keeps the worker from hearing of the ends of gang members on other workers: a member at work stays until the lease
	// ends, one that waits ends as EndIsolated.
	Isolated bool
	// Starts counts the runs that were started.
	Starts int
}

// rate returns the rate of the worker's clock.
func (w *Worker) rate() float64 {
	if w.ClockRate == 0 {
		return 1
	}
	return w.ClockRate
}

// speed returns how much work a run that starts now does in a second.
func (w *Worker) speed() float64 {
	if w.Speed == 0 {
		return 1
	}
	return w.Speed
}

// progressTime returns the time up to which the worker's runs have made progress.
func (w *Worker) progressTime() time.Time {
	if w.Stalled && !w.StalledSince.IsZero() {
		return w.StalledSince
	}
	return time.Now()
}

// clock returns the reading of the worker's clock.
func (w *Worker) clock() engine.WorkerTime {
	return engine.WorkerTime(float64(time.Since(w.start)) * w.rate())
}

// realTime returns how long a duration on the worker's clock takes.
func (w *Worker) realTime(d time.Duration) time.Duration {
	return time.Duration(float64(d) / w.rate())
}

// timeAt returns the time at which the worker's clock has a reading.
func (w *Worker) timeAt(reading engine.WorkerTime) time.Time {
	return w.start.Add(w.realTime(time.Duration(reading)))
}

// startDelay returns the delay of starts, 0 if they are not late.
func (w *Worker) startDelay() time.Duration {
	if w.LateStarts && w.StartDelay == 0 {
		return defaultStartDelay
	}
	return w.StartDelay
}

// EndAll ends every run of the worker.
func (w *Worker) EndAll(reason engine.EndReason) {
	for task, r := range w.runs {
		w.site.end(w, task, r, reason, time.Now())
	}
}

// EndRunsOf ends the worker's runs of a job.
func (w *Worker) EndRunsOf(job string, reason engine.EndReason) {
	for task, r := range w.runs {
		if jobOf(task) == job {
			w.site.end(w, task, r, reason, time.Now())
		}
	}
}

// StartDraining makes the worker drain; it exits no sooner than after the time given.
func (w *Worker) StartDraining(remaining time.Duration) {
	w.Registration.Draining, w.Registration.DrainRemaining, w.drainingSince = true, remaining, time.Now()
}

// answerDelay returns how long the next answer takes.
func (w *Worker) answerDelay() time.Duration {
	if len(w.AnswerDelays) == 0 {
		return 0
	}
	w.answers++
	return w.AnswerDelays[w.answers%len(w.AnswerDelays)]
}
