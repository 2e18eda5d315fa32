package site_test

import (
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"clementinepier/engine"
	"clementinepier/standin/site"
	"clementinepier/workload"
)

const (
	maxLease    = 10 * time.Second
	gangTimeout = 3 * time.Second
	// longLease is longer than the times of these tests.
	longLease = engine.WorkerTime(time.Hour)
)

// bed has a site with the workers r-w0, r-w1 and r-w2.
type bed struct {
	*is.I
	*site.Site
}

// inVirtualTime runs a test in virtual time. Each item of faults is part of one fault that the oracle has to find.
func inVirtualTime(t *testing.T, faults []string, f func(b *bed)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		b := &bed{I: is.New(t), Site: site.New()}
		b.MaxLease, b.GangTimeout = maxLease, gangTimeout
		b.AddWorkers("r", 3)
		f(b)
		found := b.Faults()
		b.Equal(len(found), len(faults)) // number of faults
		for i, fault := range faults {
			b.True(strings.Contains(found[i], fault)) // the expected fault
		}
	})
}

func (b *bed) addJob(id string, gang int, work time.Duration) {
	b.SetTaskProfile(id, workload.Step{Tasks: max(1, gang), Gang: gang > 0}, work)
}

// start sends a start order and returns its error.
func (b *bed) start(worker, task string, run int, until engine.WorkerTime) error {
	payload, _, _ := strings.Cut(task, ".")
	_, err := b.Start(context.Background(), engine.Target{Address: worker}, engine.StartOrder{Task: task, Run: run, Payload: payload, Until: until, Fence: 1})
	return err
}

func (b *bed) mustStart(worker, task string, run int) {
	b.NoErr(b.start(worker, task, run, longLease))
}

func (b *bed) stop(worker, task string, run int, fence int64) error {
	_, err := b.Stop(context.Background(), engine.Target{Address: worker}, engine.StopOrder{Task: task, Run: run, Fence: fence})
	return err
}

// poll polls a worker without a wait.
func (b *bed) poll(worker string, o engine.PollRequest) (engine.PollResponse, error) {
	o.Fence = 1
	return b.Poll(context.Background(), engine.Target{Address: worker}, o)
}

// ends returns how the runs that the worker lists have ended, in their order, joined by blanks; for a run that goes on it
// returns "running".
func (b *bed) ends(worker string) string {
	response, err := b.poll(worker, engine.PollRequest{})
	b.NoErr(err)
	var found []string
	for _, e := range response.Ends {
		found = append(found, string(e.Reason))
	}
	for range response.Running {
		found = append(found, "running")
	}
	return strings.Join(found, " ")
}

func isRefused(err error, reason engine.Refusal) bool {
	var refused *engine.ErrRefused
	return errors.As(err, &refused) && refused.Reason == reason
}

// Guards against a site that ends a gang member at once that starts after another member has ended.
func TestGangMemberThatStartsAfterAnEndWaits(t *testing.T) {
	for _, c := range []struct {
		name    string
		rate    float64
		timeout time.Duration
	}{{"exact clock", 1, gangTimeout}, {"slow clock", 0.98, 3061 * time.Millisecond}} {
		t.Run(c.name, func(t *testing.T) {
			inVirtualTime(t, nil, func(b *bed) {
				b.Worker("r-w1").ClockRate = c.rate
				b.addJob("j", 2, time.Second)
				b.mustStart("r-w0", "j.0.0.0", 1)
				b.NoErr(b.stop("r-w0", "j.0.0.0", 1, 1))
				b.mustStart("r-w1", "j.0.0.1", 1)
				time.Sleep(c.timeout - 10*time.Millisecond)
				b.Equal(b.ends("r-w1"), "running")
				time.Sleep(10 * time.Millisecond)
				b.Equal(b.ends("r-w1"), "alone")
			})
		})
	}
}

// Guards against a site on which the members beside one that has ended go on.
func TestGangMemberBesideAnEndIsBroken(t *testing.T) {
	inVirtualTime(t, nil, func(b *bed) {
		b.addJob("waiting", 3, time.Second)
		b.mustStart("r-w0", "waiting.0.0.0", 1)
		b.mustStart("r-w1", "waiting.0.0.1", 1)
		b.NoErr(b.stop("r-w0", "waiting.0.0.0", 1, 1))
		b.Equal(b.ends("r-w1"), "broken")
		b.addJob("working", 2, time.Second)
		b.mustStart("r-w0", "working.0.0.0", 1)
		b.mustStart("r-w2", "working.0.0.1", 1)
		time.Sleep(100 * time.Millisecond)
		b.Set("r-w0", (*site.Worker).Restart)
		b.Equal(b.ends("r-w2"), "broken")
	})
}

// Guards against isolated workers whose gang members end with the others.
func TestIsolatedMembersDoNotHearOfEnds(t *testing.T) {
	inVirtualTime(t, nil, func(b *bed) {
		b.Worker("r-w1").Isolated, b.Worker("r-w2").Isolated = true, true
		b.addJob("working", 2, time.Second)
		b.mustStart("r-w0", "working.0.0.0", 1)
		b.mustStart("r-w1", "working.0.0.1", 1)
		b.addJob("waiting", 3, time.Second)
		b.mustStart("r-w0", "waiting.0.0.0", 1)
		b.mustStart("r-w2", "waiting.0.0.1", 1)
		b.NoErr(b.stop("r-w0", "working.0.0.0", 1, 1))
		b.NoErr(b.stop("r-w0", "waiting.0.0.0", 1, 1))
		time.Sleep(gangTimeout - 20*time.Millisecond)
		b.Equal(b.ends("r-w2"), "running")
		time.Sleep(20 * time.Millisecond)
		b.Equal(b.ends("r-w2"), "alone")
		time.Sleep(maxLease - gangTimeout - 100*time.Millisecond)
		b.Equal(b.ends("r-w1"), "running")
		time.Sleep(200 * time.Millisecond)
		b.Equal(b.ends("r-w1"), "lapsed")
	})
}

// Guards against a gang whose members end at different times when their work is done.
func TestGangIsDoneTogether(t *testing.T) {
	inVirtualTime(t, nil, func(b *bed) {
		b.addJob("j", 2, time.Second)
		b.mustStart("r-w0", "j.0.0.0", 1)
		time.Sleep(2 * time.Second)
		b.mustStart("r-w1", "j.0.0.1", 1)
		time.Sleep(time.Second)
		b.Equal(b.ends("r-w0"), "done")
		b.Equal(b.ends("r-w1"), "done")
	})
}

// Guards against late starts that ignore the end of their lease or the orders that took effect meanwhile.
func TestLateStarts(t *testing.T) {
	for _, c := range []struct {
		name       string
		delay      time.Duration
		until      time.Duration
		meanwhile  func(b *bed)
		startsLate bool
	}{
		{"within the lease", 2500 * time.Millisecond, 3 * time.Second, func(*bed) {}, true},
		{"after the lease", 3500 * time.Millisecond, 3 * time.Second, func(*bed) {}, false},
		{"long", 12 * time.Second, 13 * time.Second, func(*bed) {}, true},
		{"stopped before", time.Second, 3 * time.Second, func(b *bed) { b.NoErr(b.stop("r-w0", "j.0.0.0", 1, 1)) }, false},
		{"with a fence that is out of date", time.Second, 3 * time.Second, func(b *bed) { b.NoErr(b.stop("r-w0", "other.0.0.0", 1, 2)) }, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			inVirtualTime(t, nil, func(b *bed) {
				b.addJob("j", 0, time.Minute)
				b.Worker("r-w0").StartDelay = c.delay
				b.True(b.start("r-w0", "j.0.0.0", 1, engine.WorkerTime(c.until)) != nil)
				c.meanwhile(b)
				time.Sleep(c.delay - 100*time.Millisecond)
				b.Equal(b.Worker("r-w0").Starts, 0)
				time.Sleep(200 * time.Millisecond)
				b.Equal(b.Worker("r-w0").Starts == 1, c.startsLate)
			})
		})
	}
}

// Guards against stops that always take effect, and at once.
func TestLateAndLostStops(t *testing.T) {
	inVirtualTime(t, nil, func(b *bed) {
		b.addJob("j", 0, time.Minute)
		b.mustStart("r-w0", "j.0.0.0", 1)
		b.Worker("r-w0").DropStops = true
		b.True(b.stop("r-w0", "j.0.0.0", 1, 1) != nil)
		time.Sleep(2 * time.Second)
		b.Equal(b.ends("r-w0"), "running")
		b.Set("r-w0", func(w *site.Worker) { w.DropStops, w.StopDelay = false, time.Second })
		b.True(b.stop("r-w0", "j.0.0.0", 1, 1) != nil)
		time.Sleep(900 * time.Millisecond)
		b.Equal(b.ends("r-w0"), "running")
		time.Sleep(200 * time.Millisecond)
		b.Equal(b.ends("r-w0"), "stopped")
	})
}

// Guards against late polls without effect: they extend the lease and acknowledge ends when they are carried out.
func TestLatePolls(t *testing.T) {
	inVirtualTime(t, nil, func(b *bed) {
		b.addJob("short", 0, time.Second)
		b.addJob("long", 0, time.Minute)
		b.NoErr(b.start("r-w0", "short.0.0.0", 1, engine.WorkerTime(3*time.Second)))
		b.NoErr(b.start("r-w0", "long.0.0.0", 1, engine.WorkerTime(3*time.Second)))
		b.Set("r-w0", func(w *site.Worker) { w.PollDelay = 2 * time.Second })
		_, err := b.poll("r-w0", engine.PollRequest{Until: engine.WorkerTime(6 * time.Second), Acknowledged: 1})
		b.True(err != nil)
		b.Set("r-w0", func(w *site.Worker) { w.PollDelay = 0 })
		time.Sleep(1900 * time.Millisecond)
		b.Equal(b.ends("r-w0"), "done running")
		time.Sleep(3900 * time.Millisecond)
		b.Equal(b.ends("r-w0"), "running")
		time.Sleep(300 * time.Millisecond)
		b.Equal(b.ends("r-w0"), "lapsed")
	})
}

// Guards against a worker whose lease is not measured on its own clock.
func TestSlowClockProlongsLease(t *testing.T) {
	inVirtualTime(t, nil, func(b *bed) {
		b.Worker("r-w0").ClockRate = 0.98
		time.Sleep(100 * time.Second)
		response, err := b.poll("r-w0", engine.PollRequest{})
		b.NoErr(err)
		b.True((98*time.Second - time.Duration(response.Clock)).Abs() < 10*time.Millisecond)
		b.addJob("j", 0, time.Minute)
		b.NoErr(b.start("r-w0", "j.0.0.0", 1, response.Clock+engine.WorkerTime(4900*time.Millisecond)))
		time.Sleep(4900 * time.Millisecond)
		b.Equal(b.ends("r-w0"), "running")
		time.Sleep(150 * time.Millisecond)
		b.Equal(b.ends("r-w0"), "lapsed")
	})
}

// Guards against an order that is forgotten, or checked by what the earlier incarnation knew, when the worker restarts.
func TestRestartAndLateOrders(t *testing.T) {
	for _, keeps := range []bool{false, true} {
		inVirtualTime(t, nil, func(b *bed) {
			b.addJob("j", 0, time.Minute)
			time.Sleep(time.Minute)
			b.Set("r-w0", func(w *site.Worker) { w.StartDelay, w.KeepsLateOrders = 5*time.Second, keeps })
			b.True(b.start("r-w0", "j.0.0.0", 1, engine.WorkerTime(63*time.Second)) != nil)
			b.NoErr(b.stop("r-w0", "j.0.0.0", 1, 2))
			time.Sleep(time.Second)
			b.Set("r-w0", (*site.Worker).Restart)
			time.Sleep(5 * time.Second)
			b.Equal(b.ends("r-w0") == "running", keeps)
			// The end of the lease is a time on the new clock, so the longest lease applies.
			time.Sleep(maxLease)
			b.Equal(b.ends("r-w0") == "lapsed", keeps)
		})
	}
}

// Guards against a worker that lists all ends at once.
func TestListedEndsAreLimited(t *testing.T) {
	inVirtualTime(t, nil, func(b *bed) {
		b.MaxListedEnds = 2
		for _, id := range []string{"a", "b", "c"} {
			b.addJob(id, 0, time.Second)
			b.mustStart("r-w0", id+".0.0.0", 1)
		}
		time.Sleep(2 * time.Second)
		response, err := b.poll("r-w0", engine.PollRequest{})
		b.NoErr(err)
		b.Equal(len(response.Ends), 2)
		b.True(response.MoreEnds)
		response, err = b.poll("r-w0", engine.PollRequest{Acknowledged: response.Ends[1].Number})
		b.NoErr(err)
		b.Equal(len(response.Ends), 1)
		b.Equal(response.Ends[0].Task, "c.0.0.0")
		b.True(!response.MoreEnds)
	})
}

// Guards against an unhealthy worker whose refusal has an effect.
func TestUnhealthyWorkerDoesNothing(t *testing.T) {
	inVirtualTime(t, nil, func(b *bed) {
		b.addJob("j", 0, time.Minute)
		b.mustStart("r-w0", "j.0.0.0", 1)
		b.Set("r-w0", func(w *site.Worker) { w.Unhealthy = true })
		b.True(isRefused(b.stop("r-w0", "j.0.0.0", 1, 9), engine.RefusedUnhealthy))
		b.True(isRefused(b.start("r-w0", "k.0.0.0", 1, longLease), engine.RefusedUnhealthy))
		b.Set("r-w0", func(w *site.Worker) { w.RefusesPolls = true })
		_, err := b.Poll(context.Background(), engine.Target{Address: "r-w0"}, engine.PollRequest{Fence: 1})
		b.True(isRefused(err, engine.RefusedUnhealthy))
		b.Set("r-w0", func(w *site.Worker) { w.RefusesPolls = false })
		b.Equal(b.ends("r-w0"), "running")
	})
}

// Guards against an oracle that does not see two runs of a task at the same time, or sees those of workers that are gone.
func TestOracleFindsTwoRunsAtTheSameTime(t *testing.T) {
	inVirtualTime(t, []string{"j.0.0.0 starts on r-w1 and runs on r-w0"}, func(b *bed) {
		b.addJob("j", 0, time.Minute)
		b.mustStart("r-w0", "j.0.0.0", 1)
		b.Set("r-w0", func(w *site.Worker) { w.Silent = true })
		b.mustStart("r-w1", "j.0.0.0", 2)
		b.Set("r-w0", func(w *site.Worker) { w.Dead = true })
		b.Set("r-w1", func(w *site.Worker) { w.Dead = true })
		b.mustStart("r-w2", "j.0.0.0", 3)
	})
}

// Guards against an oracle that does not see a start after an end as done that is acknowledged before or after that start.
func TestOracleFindsStartAfterDoneTask(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(b *bed)
		faults []string
	}{
		{"acknowledged before", func(b *bed) { b.acknowledge("r-w0"); b.mustStart("r-w1", "j.0.0.0", 2) }, []string{"j.0.0.0 starts again after it was done"}},
		{"acknowledged later", func(b *bed) { b.mustStart("r-w1", "j.0.0.0", 2); b.acknowledge("r-w0") }, []string{"j.0.0.0 was started after an end as done"}},
		{"acknowledged after the lease lapsed", func(b *bed) {
			b.mustStart("r-w1", "j.0.0.0", 2)
			time.Sleep(maxLease)
			b.acknowledge("r-w0")
		}, nil},
		{"lost in a restart", func(b *bed) {
			b.Set("r-w0", (*site.Worker).Restart)
			b.mustStart("r-w1", "j.0.0.0", 2)
			b.acknowledge("r-w0")
		}, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			inVirtualTime(t, c.faults, func(b *bed) {
				b.addJob("j", 0, time.Second)
				b.mustStart("r-w0", "j.0.0.0", 1)
				time.Sleep(2 * time.Second)
				c.change(b)
			})
		})
	}
}

func (b *bed) acknowledge(worker string) {
	_, err := b.poll(worker, engine.PollRequest{Acknowledged: 100})
	b.NoErr(err)
}

// Guards against an oracle that judges each gang member by its own ends only.
func TestOracleTakesOneDoneMemberForTheGang(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(b *bed)
		faults []string
	}{
		{"acknowledged before", func(b *bed) { b.acknowledge("r-w0"); b.mustStart("r-w2", "j.0.0.1", 2) }, []string{"j.0.0.1 starts again after it was done"}},
		{"acknowledged later", func(b *bed) { b.mustStart("r-w2", "j.0.0.1", 2); b.acknowledge("r-w0") }, []string{"j.0.0 was started after an end as done of j.0.0.0"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			inVirtualTime(t, c.faults, func(b *bed) {
				b.addJob("j", 2, time.Second)
				b.mustStart("r-w0", "j.0.0.0", 1)
				b.mustStart("r-w1", "j.0.0.1", 1)
				time.Sleep(2 * time.Second)
				b.Set("r-w1", (*site.Worker).Restart)
				c.change(b)
			})
		})
	}
}

// Guards against an oracle that does not see a start after a caller was told that the job is completed.
func TestOracleFindsStartOfCompletedJob(t *testing.T) {
	inVirtualTime(t, []string{"j.0.0.0 starts after its job was shown as completed"}, func(b *bed) {
		b.addJob("j", 0, time.Second)
		b.mustStart("r-w0", "j.0.0.0", 1)
		time.Sleep(2 * time.Second)
		b.RecordCompleted("j")
		b.Set("r-w0", (*site.Worker).Restart)
		b.mustStart("r-w1", "j.0.0.0", 2)
	})
}

// Guards against runs of a replaced worker that still count, and against a new worker that takes calls for the earlier one.
func TestReplacedWorkerRunsNothing(t *testing.T) {
	inVirtualTime(t, nil, func(b *bed) {
		b.addJob("a", 0, time.Minute)
		b.mustStart("r-w0", "a.0.0.0", 1)
		b.Replace("r-w0", "r-n0")
		b.Equal(b.WorkersRunning("a"), nil)
		var refused *engine.ErrRefused
		b.True(errors.As(b.start("r-w0", "a.0.0.0", 2, longLease), &refused))
		b.Equal(refused.Reason, engine.RefusedIncarnation)
		b.mustStart("r-n0", "a.0.0.0", 2)
		b.Equal(b.Worker("r-n0").Registration.Rack, "r")
	})
}
