package dispatch

import (
	"fmt"
	"testing"
	"time"

	"clementinepier/bundle"
	"clementinepier/job"
)

// startsOn counts the starts that a worker has logged.
func (r *rig) startsOn(name string) int {
	r.log.mu.Lock()
	defer r.log.mu.Unlock()
	return r.log.on[name]
}

// Guards against work that is sent to a backend server which is leaving: by its own report, by the platform's list, and
// by an owner that took the rack over after the report.
func TestLeavingWorkerGetsNothingNew(t *testing.T) {
	cases := []struct {
		name  string
		leave func(r *rig)
	}{
		{"own report", func(r *rig) { r.workers["w1"].SetLeaving(true) }},
		{"platform's list", func(r *rig) {
			r.a.s.LeavingWorkers["w1"] = true
			r.a.s.Cluster.SetAvailable("w1", false)
		}},
		{"own report, then another owner", func(r *rig) {
			r.workers["w1"].SetLeaving(true)
			r.a.own(false)
			r.b.own(true)
			r.a = r.b
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := newRig(t)
			before := r.a.submit(testRequest("before", 4, true))
			r.ticks(time.Second)
			r.Equal(r.startsOn("w1"), 1) // the gang has a member on every worker
			c.leave(r)
			r.ticks(2 * time.Second) // the time in which the report has to be known
			for i := range 12 {
				r.a.submit(testRequest(fmt.Sprint("after-", i), 1, i%2 == 0))
			}
			r.ticks(15 * time.Second)
			r.Equal(r.startsOn("w1"), 1)                        // nothing new
			r.True(r.startsOn("w2") >= 4)                       // the others take the work
			r.True(len(before) == 1 || c.name == cases[2].name) // what ran there came to its end
		})
	}
}

// Guards against a stampede onto a failure domain that has just come back, and against a ramp that never ends.
func TestRampAfterReturn(t *testing.T) {
	r := newRig(t)
	r.setView(map[string]bundle.SignedOrder{})
	r.a.s.ReturnedToServiceAt = r.clock.Now()
	short := func(id string) {
		req := testRequest(id, 1, true)
		req.Payload, req.Shape.Accelerators = []byte(`{"run-time": "10ms", "size": 1}`), 0
		r.a.submit(req)
	}
	for i := range 300 {
		short(fmt.Sprint("waiting-", i))
	}
	total := func() int {
		return r.startsOn("w1") + r.startsOn("w2") + r.startsOn("w3") + r.startsOn("w4")
	}
	// The bounds are the integral of the two rates over the window, and one start.
	for _, c := range []struct {
		after time.Duration
		most  int
	}{{500 * time.Millisecond, 11}, {time.Second, 30}, {2 * time.Second, 97}} {
		r.ticks(c.after - r.clock.Since(r.a.s.ReturnedToServiceAt))
		r.True(total() >= 1)
		r.True(total() <= c.most)
	}
	r.ticks(rampWindow)
	r.Equal(total(), 300)
}

// Guards against a request that waits at a busy owner while another has room, and against one that is sent away although
// it has a claim or nobody else has room.
func TestWaitingRequestGoesWhereRoomIs(t *testing.T) {
	for _, room := range []bool{false, true} {
		r := newRig(t)
		r.a.d.RoomElsewhere = func(job.Request) bool { return room }
		long := r.newRequest("long", 4, true, `{"run-time": "8s", "size": 1}`)
		busy := r.a.submit(long)
		r.ticks(500 * time.Millisecond)
		waiter := r.a.submit(r.newRequest("q", 4, true, testPayload))
		r.ticks(rerouteAfter + 200*time.Millisecond)
		if room {
			outcome := <-waiter
			r.Equal(outcome.Result, job.NotRun)
			r.Equal(outcome.Code, job.CodeNoRack)
		} else {
			r.Equal(len(waiter), 0)
			r.ticks(14 * time.Second)
			r.Equal(r.result(waiter), job.Done)
		}
		r.ticks(10 * time.Second)
		r.Equal(r.result(busy), job.Done) // what runs stays
		r.checkEnd()
	}
}
