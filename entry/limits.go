package entry

import (
	"cmp"
	"context"
	"slices"
	"time"

	"clementinepier/board"
	"clementinepier/job"
	"clementinepier/quota"
)

const (
	// limitPoll is how often a request that waits for its organisation's running limit asks again.
	limitPoll = 100 * time.Millisecond
	// limitHint is what callers above their rate are told to wait.
	limitHint = job.Duration(time.Second)
)

func quotaKey(req job.Request) quota.Key {
	return quota.Key{Organisation: req.Organisation, Service: req.Service}
}

// setLimits takes the service limits from the bundle in force.
func setLimits(s *board.State) {
	limits := map[quota.Key]quota.Limit{}
	for _, o := range s.View.Bundle().Organisations {
		for _, l := range o.Limits {
			key := quota.Key{Organisation: o.Name, Service: l.Service}
			limits[key] = quota.Limit{RequestsPerSecond: l.RequestsPerSecond, Running: l.Running}
		}
	}
	s.Quota.SetLimits(limits)
}

// reportDemand renews this VM's own report. It is called once per heartbeat interval.
func reportDemand(s *board.State, now time.Time) {
	report := s.Quota.NextReport(now)
	s.Demands = s.Demands[:0:0]
	for key, demand := range report.Demands {
		if demand != (quota.Demand{}) {
			s.Demands = append(s.Demands, board.Demand{Organisation: key.Organisation, Service: key.Service, Demand: demand})
		}
	}
	slices.SortFunc(s.Demands, func(a, b board.Demand) int {
		return cmp.Or(cmp.Compare(a.Organisation, b.Organisation), cmp.Compare(a.Service, b.Service))
	})
}

// recordDemand records another VM's report.
func recordDemand(s *board.State, now time.Time, report board.Report) {
	demands := make(map[quota.Key]quota.Demand, len(report.Demands))
	for _, d := range report.Demands {
		demands[quota.Key{Organisation: d.Organisation, Service: d.Service}] = d.Demand
	}
	s.Quota.RecordReport(now, quota.Report{VM: report.Identity.VM, Demands: demands})
}

// withinRate counts a request against its organisation's rate.
func (v *VM) withinRate(ctx context.Context, req job.Request) bool {
	within := false
	err := v.board.Do(ctx, func(s *board.State) { within = s.Quota.Allow(v.Clock.Now(), quotaKey(req)) })
	return err == nil && within
}

// awaitRunning waits until one more request of the organisation may run, at most until the deadline. The caller
// releases what it got.
func (v *VM) awaitRunning(ctx context.Context, req job.Request, deadline time.Time) bool {
	key := quotaKey(req)
	v.waiting(ctx, key, 1)
	defer v.waiting(ctx, key, -1)
	for v.Clock.Now().Before(deadline) {
		acquired := false
		if err := v.board.Do(ctx, func(s *board.State) { acquired = s.Quota.Acquire(v.Clock.Now(), key) }); err != nil {
			return false
		}
		if acquired {
			return true
		}
		v.sleep(ctx, limitPoll)
	}
	return false
}

func (v *VM) waiting(ctx context.Context, key quota.Key, change int) {
	_ = v.board.Do(ctx, func(s *board.State) {
		v.limitWaits[key] += change
		s.Quota.SetWaiting(key, v.limitWaits[key])
	})
}

func (v *VM) releaseRunning(req job.Request) {
	v.board.Post(func(s *board.State) { s.Quota.Release(quotaKey(req)) })
}
