package claim

import (
	"context"
	"fmt"
	"math/rand"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"clementinepier/gang"
	"clementinepier/job"
	"clementinepier/worker"
)

// runScenario runs owners whose attempts are started, cancelled and preempted, owners that are killed, and workers that
// restart or are cut off, at times chosen by pick. modify may change the simulation before it runs.
func runScenario(t fatalReporter, pick func(int) int, modify func(*sim)) *sim {
	s := newSim(t, pick, 2+pick(2), 1+pick(3))
	defer s.close()
	s.faults, s.idempotent = true, pick(4) == 3
	if modify != nil {
		modify(s)
	}
	for _, o := range s.owners {
		for try := range 2 {
			s.at(time.Duration(pick(60+200*try))*50*time.Millisecond, func() {
				if o.gang == nil || o.gang.Phase() == gang.PhaseEnded {
					o.startAttempt(1, false)
				}
			})
		}
		if end := pick(6); end >= 4 {
			s.at(time.Duration(pick(200))*100*time.Millisecond, func() {
				if end == 4 && s.idempotent {
					o.step(gang.Preempt{})
				} else {
					o.step(gang.Cancel{Code: job.CodeCancelled})
				}
			})
		}
		if pick(2) == 1 {
			o.killAtStep = 1 + pick(40)
		}
	}
	for range pick(3) {
		w := s.workers[s.names[pick(len(s.names))]]
		s.at(time.Duration(pick(200))*100*time.Millisecond, func() {
			name := w.name
			w.restart()
			for _, o := range s.owners {
				s.at(10*time.Millisecond, func() { o.step(gang.WorkerLost{Worker: name}) })
			}
		})
	}
	for range pick(3) {
		w, length := s.workers[s.names[pick(len(s.names))]], time.Duration(pick(150))*100*time.Millisecond
		s.at(time.Duration(pick(60)*(1+5*pick(2)))*50*time.Millisecond, func() { w.partitionedUntil = s.now.Add(length) })
	}
	s.run(40 * time.Second)
	s.finish()
	return s
}

// Guards against second starts, wrong reports of an attempt as never started, gangs of which only some members run, and
// capacity that stays held. The faults are lost, duplicate and late messages, killed and slow owners, restarted workers and
// a failing store.
func TestAttemptStartsAtMostOnceUnderFaults(t *testing.T) {
	attachments, advances, done := 0, 0, 0
	rapid.Check(t, func(t *rapid.T) {
		s := runScenario(t, func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "pick") }, nil)
		attachments, advances, done = attachments+s.attachments, advances+s.advances, done+s.done
	})
	t.Log(attachments, "attached,", advances, "advanced,", done, "done")
	is.New(t).True(attachments > 0 && advances > 0 && done > 0) // the runs cover attaching, the next attempt and the end
}

// findFailure runs scenarios with the seeds from 1 until the oracle reports a failure. It returns the seed and the failure.
func findFailure(runs int, modify func(*sim)) (seed int64, failure string) {
	for seed := int64(1); seed <= int64(runs); seed++ {
		if m := failureOf(func(f fatalReporter) { runScenario(f, rand.New(rand.NewSource(seed)).Intn, modify) }); m != "" {
			return seed, m
		}
	}
	return 0, ""
}

type panicReporter struct{}

func (panicReporter) Fatal(args ...any)            { panic(fmt.Sprint(args...)) }
func (panicReporter) Fatalf(f string, args ...any) { panic(fmt.Sprintf(f, args...)) }

func failureOf(f func(fatalReporter)) (failure string) {
	defer func() {
		if m, ok := recover().(string); ok {
			failure = m
		}
	}()
	f(panicReporter{})
	return ""
}

// Guards against an oracle that misses failures: it must report one for each case, which removes one rule, and none with all
// rules.
func TestOracleDetectsRemovedRules(t *testing.T) {
	cases := map[string]func(*sim){
		"start without a claim": func(s *sim) {
			s.options = func(o *gang.Options) { o.NeedsClaim = func(worker.Spec) bool { return false } }
		},
		"start after the hold may have lapsed": func(s *sim) {
			s.options = func(o *gang.Options) { o.HoldLive = func(time.Time, time.Time) bool { return true } }
		},
		"settle without forbidding": func(s *sim) { s.forbidAll = func(context.Context, Record) bool { return true } },
		"retry after unknown":       func(s *sim) { s.retryUnknown = true },
		"leases are too long": func(s *sim) {
			s.options = func(o *gang.Options) {
				o.Limits = gang.DefaultLimits()
				o.Limits.TaskLease = 30 * time.Second
			}
		},
	}
	for name, modify := range cases {
		t.Run(name, func(t *testing.T) {
			seed, failure := findFailure(400, modify)
			t.Log(seed, failure)
			is.New(t).True(failure != "")
		})
	}
	seed, failure := findFailure(1000, nil)
	t.Log(seed, failure)
	is.New(t).Equal(failure, "")
}

// Guards against an owner whose death at any step causes a second start or prevents the request from ever ending.
func TestRequestSurvivesOwnerKilledAtEveryStep(t *testing.T) {
	is := is.New(t)
	done := 0
	for size := 1; size <= 3; size++ {
		for step := 1; step <= 40; step++ {
			s := newSim(t, func(int) int { return 0 }, 2, size)
			s.owners[0].killAtStep = step
			s.owners[0].startAttempt(1, false)
			for d := range 3 { // the caller sends its request again, to another owner
				s.at(time.Duration(1+8*d)*500*time.Millisecond, func() {
					if s.done == 0 && s.owners[1].gang == nil {
						s.owners[1].startAttempt(1, false)
					}
				})
			}
			s.run(30 * time.Second)
			is.True(s.starts[0] <= 1)
			s.finish()
			done += min(s.done, 1)
		}
	}
	is.Equal(done, 118) // of 120; the result is unknown only after a death between the starts of a gang of two or three
}

// Guards against a gang with a live owner of which only some members run for longer than the design allows: the renewal
// interval plus the call timeout after a worker has lost a member, the start window after a start was lost. It did so when
// NextTick did not include the time at which the gang must be ended.
func TestGangWithLiveOwnerRunsInPartOnlyBriefly(t *testing.T) {
	limits := gang.DefaultLimits()
	for step := range 120 {
		for _, partitioned := range []bool{false, true} {
			s := newSim(t, func(int) int { return 0 }, 1, 3)
			s.idempotent, s.runTime, s.maxPartialTime = true, 20*time.Second, limits.RenewalInterval+limits.CallTimeout+10*time.Millisecond
			w, delay := s.workers["b"], time.Duration(step)*100*time.Millisecond
			if partitioned {
				// The holds are confirmed after 2 ms. Once the start has arrived, only the lease ends the member on the worker
				// that is cut off.
				delay, s.maxPartialTime = time.Duration(step)*100*time.Microsecond, limits.StartWindow+10*time.Millisecond
				if step >= 20 {
					s.maxPartialTime = limits.TaskLease
				}
			}
			s.at(delay, func() {
				if partitioned {
					w.partitionedUntil = s.now.Add(time.Minute)
				} else {
					w.restart()
				}
			})
			s.owners[0].startAttempt(1, false)
			s.run(20 * time.Second)
			s.maxPartialTime += limits.TaskLease // lets the member on the worker that is cut off lapse
			s.finish()
		}
	}
}
