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
	// limitPollInterval is how often a request that waits for its organisation's running limit checks the limit.
	limitPollInterval = 100 * time.Millisecond
	// limitRetryAfter is the retry delay reported to callers whose organisation is above a limit.
	limitRetryAfter = job.Duration(time.Second)
)

func quotaKey(req job.Request) quota.Key {
	return quota.Key{Organisation: req.Organisation, Service: req.Service}
}

// setLimits applies the service limits of the bundle in force to the quotas.
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

// updateOwnDemands computes the demands that this VM reports to the others. It is called once per heartbeat interval.
func updateOwnDemands(s *board.State, now time.Time) {
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

// recordDemand records the demands that another VM has reported.
func recordDemand(s *board.State, now time.Time, report board.Report) {
	demands := make(map[quota.Key]quota.Demand, len(report.Demands))
	for _, d := range report.Demands {
		demands[quota.Key{Organisation: d.Organisation, Service: d.Service}] = d.Demand
	}
	s.Quota.RecordReport(now, quota.Report{VM: report.Identity.VM, Demands: demands})
}

// allowRequest counts a request against its organisation's rate and reports whether it is within the rate.
func (v *VM) allowRequest(ctx context.Context, req job.Request) bool {
	within := false
	err := v.board.Do(ctx, func(s *board.State) { within = s.Quota.Allow(v.Clock.Now(), quotaKey(req)) })
	return err == nil && within
}

// acquireRunning waits until the running limit of the organisation allows one more request, at most until the deadline. If
// it returns true, the caller must call releaseRunning.
func (v *VM) acquireRunning(ctx context.Context, req job.Request, deadline time.Time) bool {
	key := quotaKey(req)
	v.addWaiting(ctx, key, 1)
	defer v.addWaiting(ctx, key, -1)
	for v.Clock.Now().Before(deadline) {
		acquired := false
		if err := v.board.Do(ctx, func(s *board.State) { acquired = s.Quota.Acquire(v.Clock.Now(), key) }); err != nil {
			return false
		}
		if acquired {
			return true
		}
		v.sleep(ctx, limitPollInterval)
	}
	return false
}

// addWaiting changes the number of requests that wait for the running limit.
func (v *VM) addWaiting(ctx context.Context, key quota.Key, change int) {
	_ = v.board.Do(ctx, func(s *board.State) {
		v.limitWaiters[key] += change
		s.Quota.SetWaiting(key, v.limitWaiters[key])
	})
}

func (v *VM) releaseRunning(req job.Request) {
	v.board.Post(func(s *board.State) { s.Quota.Release(quotaKey(req)) })
}
