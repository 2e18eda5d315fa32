package front

import (
	"context"
	"sync"
	"time"

	"clementinepier/engine"
	"clementinepier/peer"
)

const (
	// reachInterval is the pause between checks of whether this entry VM can serve callers.
	reachInterval = 400 * time.Millisecond
	// plannerReachTimeout and storeReachTimeout bound the two calls of a check. The planner answers without its control
	// goroutine; a slow store needs up to 400 ms.
	plannerReachTimeout = 200 * time.Millisecond
	storeReachTimeout   = 400 * time.Millisecond
	// reportsComplete is the time in which a new planner hears of every entry VM that can reach it.
	reportsComplete = 5 * time.Second
	// maxReportAge is how old an entry VM's report on the store may be. A new one arrives within a second.
	maxReportAge = 1500 * time.Millisecond
	// forgetVMAfter is the age of its last report at which an entry VM counts as removed for good. One that is cut off for
	// longer and reaches the store has long become the planner.
	forgetVMAfter = time.Minute
)

// storeReports has what other entry VMs tell this one, while it is the planner, about their contact with the store.
type storeReports struct {
	mu sync.Mutex
	// since is when this entry VM became the planner.
	since time.Time
	byVM  map[string]storeReport
}

type storeReport struct {
	at     time.Time
	silent bool
}

// begin drops the reports of an earlier term.
func (s *storeReports) begin(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.since, s.byVM = now, map[string]storeReport{}
}

// record records whether the store is silent to an entry VM.
func (s *storeReports) record(vm string, now time.Time, silent bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.byVM != nil {
		s.byVM[vm] = storeReport{at: now, silent: silent}
	}
}

// recordCall records a call of an entry VM that may not report on the store, because it runs an earlier version: the store may
// answer it.
func (s *storeReports) recordCall(vm string, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, reports := s.byVM[vm]; !reports && s.byVM != nil {
		s.byVM[vm] = storeReport{at: now}
	}
}

// allSilent reports whether the store is silent to every entry VM that was heard of, by reports that are fresh. It is false
// soon after the begin of the term, when some may not have been heard of yet.
func (s *storeReports) allSilent(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.byVM == nil || now.Sub(s.since) < reportsComplete {
		return false
	}
	for vm, r := range s.byVM {
		switch age := now.Sub(r.at); {
		case age > forgetVMAfter:
			delete(s.byVM, vm)
		case age > maxReportAge || !r.silent:
			return false
		}
	}
	return true
}

// watchReach checks at intervals whether this entry VM reaches the planner or the store. One that reaches neither can serve
// no caller, and the sooner its readiness says so, the sooner the load balancer sends its callers to other failure domains.
// Load pattern: a failure domain is cut off from the others and its callers are not.
func (v *VM) watchReach(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	go func() {
		for ctx.Err() == nil {
			reaches := v.reaches(ctx)
			if v.reachable.Swap(reaches) != reaches && ctx.Err() == nil {
				v.log.Event("reach-changed", "reaches-planner-or-store", reaches, "store-failing-for", v.storeFailureTime())
				if !reaches {
					// The planner is told at once that the store is silent here.
					continue
				}
			}
			v.sleep(ctx, reachInterval)
		}
		done <- nil
	}()
	return done
}

// reaches reports whether the planner or the store answers.
func (v *VM) reaches(ctx context.Context) bool {
	plannerCtx, cancel := context.WithTimeout(ctx, plannerReachTimeout)
	defer cancel()
	if v.plannerServes(plannerCtx) {
		return true
	}
	storeCtx, cancelStore := context.WithTimeout(ctx, storeReachTimeout)
	defer cancelStore()
	_, _, err := engine.FindHolder(storeCtx, v.Store)
	return err == nil
}

// plannerServes reports whether the planner answers and can accept jobs.
func (v *VM) plannerServes(ctx context.Context) bool {
	if p := v.planner.Load(); p != nil {
		return p.Serves()
	}
	h := v.holder.Load()
	if h == nil || h.VM == v.Settings.Name {
		return false
	}
	var serves bool
	err := v.hub.Call(ctx, h.VM, peer.KindProbe, v.storeFailureTime() > 0, &serves)
	return err == nil && serves
}
