package front

import (
	"context"
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
)

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
	// An entry VM of an earlier version reads the body as whether the store is silent here.
	err := v.hub.Call(ctx, h.VM, peer.KindProbe, false, &serves)
	return err == nil && serves
}
