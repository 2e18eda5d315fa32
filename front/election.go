package front

import (
	"context"
	"fmt"
	mathrand "math/rand/v2"
	"time"

	"github.com/pkg/errors"

	"clementinepier/engine"
	"clementinepier/metrics"
	"clementinepier/peer"
)

const (
	// plannerKeyWatchTime is how long one watch of the planner's key waits for a change.
	plannerKeyWatchTime = 4 * time.Second
	// plannerKeyTimeout bounds a call on the planner's key; a watch may take plannerKeyWatchTime more.
	plannerKeyTimeout = 800 * time.Millisecond
	// plannerKeyOutageTimeout replaces plannerKeyTimeout while the store does not answer: a call that was sent before the
	// store recovered gets no answer, so it is given up early and retried. A slow store still answers within it.
	plannerKeyOutageTimeout = 500 * time.Millisecond
	// claimJitter spreads the claims of entry VMs of the same size once the planner's key is free, so that one is first.
	claimJitter = 60 * time.Millisecond
	// oneCoreClaimDelay is the delay before a claim for an entry VM of one core; the delay is inversely proportional to the
	// cores. Among the deployed sizes of 0.2 to 0.8 cores a larger VM always claims before a smaller one.
	oneCoreClaimDelay = 40 * time.Millisecond
	// maxClaimDelay bounds the claim delay of a very small entry VM.
	maxClaimDelay = 500 * time.Millisecond
	// stepDownRatio is the ratio of cores above which an entry VM takes over from the planner's VM.
	stepDownRatio = 1.5
	// stepDownDelay gives a new planner time to start, and the link to it time to open, before it is asked to step down.
	stepDownDelay = 300 * time.Millisecond
	// plannerStopTimeout bounds how long a planner takes to stop after its term. Its calls end within 3 s.
	plannerStopTimeout = 5 * time.Second
	// electionRetryDelay is the delay before a failed read or claim of the planner's key is retried.
	electionRetryDelay = 200 * time.Millisecond
)

// errSteppedDown is the reason for a term that ended in favour of a larger entry VM.
var errSteppedDown = errors.New("stepped down for a larger entry VM")

// elect tracks which process is the planner, and makes this process the planner when there is none. The channel receives
// one value when ctx has ended and the term, if any, is over, or when a planner is stuck.
func (v *VM) elect(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	go func() {
		var err error
		for ctx.Err() == nil && err == nil {
			err = v.electOnce(ctx)
		}
		done <- err
	}()
	return done
}

// electOnce reads the planner's key and then follows its holder, removes an own earlier claim, or claims the key.
func (v *VM) electOnce(ctx context.Context) error {
	timeout := plannerKeyTimeout
	if v.storeFailureTime() > 0 {
		timeout = plannerKeyOutageTimeout
	}
	callCtx, cancel := context.WithTimeout(ctx, timeout)
	holder, revision, err := engine.FindHolder(callCtx, v.Store)
	cancel()
	if err != nil {
		v.sleep(ctx, electionRetryDelay)
		return nil
	}
	if revision != 0 && holder.VM == v.Settings.Name && holder.Address == v.Settings.PeersAddress {
		v.removeOwnClaim(ctx, revision)
		return nil
	}
	if revision != 0 {
		v.setHolder(&holder)
		for at, same := revision, true; same && ctx.Err() == nil; {
			if v.shouldTakeOver(holder) {
				v.requestStepDown(ctx, holder)
			}
			at, same = v.awaitHolderChange(ctx, at)
		}
		return nil
	}
	v.setHolder(nil)
	if v.shuttingDown.Load() || v.configuration.Load() == nil || !v.secretLoaded.Load() {
		v.sleep(ctx, electionRetryDelay)
		return nil
	}
	v.sleep(ctx, claimDelay(v.Settings.Cores)+time.Duration(mathrand.Int64N(int64(claimJitter)))) //nolint:gosec // jitter, not security-relevant
	if ctx.Err() != nil {
		return nil
	}
	return v.claim(ctx)
}

// termLength returns the length of the planner's lease. It is at least the shortest lease that the store grants.
func (v *VM) termLength() time.Duration {
	return max(engine.TermLength, time.Duration(v.Settings.Bounds.MinStoreLease))
}

// removeOwnClaim removes the claim of an earlier term of this process, or of an earlier process on this VM. A store outage
// that ended the term may have kept its lease from expiring, and no planner can be elected before the claim is gone. The
// caller has checked that the address is this VM's: while a VM is replaced, two VMs may have the same name, but not the
// same address.
func (v *VM) removeOwnClaim(ctx context.Context, revision int64) {
	callCtx, cancel := context.WithTimeout(ctx, plannerKeyTimeout)
	defer cancel()
	if err := engine.RemoveHolder(callCtx, v.Store, revision); err != nil {
		v.log.Event("own-claim-not-removed", "revision", revision, "error", err)
		v.sleep(ctx, electionRetryDelay)
		return
	}
	v.log.Event("own-claim-removed", "revision", revision)
}

// claimDelay returns how long an entry VM waits before it claims the planner's key, so that larger ones claim first.
func claimDelay(cores float64) time.Duration {
	return min(maxClaimDelay, time.Duration(float64(oneCoreClaimDelay)/cores))
}

// shouldTakeOver reports whether this entry VM can plan and is so much larger than the planner's that it should replace it.
func (v *VM) shouldTakeOver(h engine.Holder) bool {
	return h.Cores*stepDownRatio < v.Settings.Cores && h.VM != v.Settings.Name && !v.shuttingDown.Load() && v.storeAvailable() &&
		v.configuration.Load() != nil
}

// requestStepDown asks a planner on a smaller entry VM to step down.
func (v *VM) requestStepDown(ctx context.Context, h engine.Holder) {
	v.sleep(ctx, stepDownDelay)
	callCtx, cancel := context.WithTimeout(ctx, plannerKeyTimeout)
	defer cancel()
	var reply engine.Result
	err := v.forward(callCtx, peer.KindYield, v.Settings.Cores, &reply)
	v.log.Event("yield-asked", "vm", h.VM, "cores", h.Cores, "own", v.Settings.Cores, "error", err)
}

// awaitHolderChange waits for a change of the planner's key after a revision. It returns the revision to continue from, and
// whether the key is known to be unchanged; it is not when the watch failed or when recheckHolder was called.
func (v *VM) awaitHolderChange(ctx context.Context, revision int64) (int64, bool) {
	watchCtx, cancel := context.WithTimeout(ctx, plannerKeyWatchTime+plannerKeyTimeout)
	defer cancel()
	type outcome struct {
		at   int64
		same bool
	}
	watched := make(chan outcome, 1)
	go func() {
		at, changed, err := engine.WatchHolder(watchCtx, v.Store, revision, plannerKeyWatchTime)
		if err != nil && ctx.Err() == nil {
			v.sleep(watchCtx, electionRetryDelay)
		}
		watched <- outcome{at: at, same: err == nil && !changed}
	}()
	select {
	case o := <-watched:
		return o.at, o.same
	case <-v.recheck:
		v.sleep(ctx, electionRetryDelay)
		cancel()
		<-watched
		return revision, false
	}
}

// recheckHolder makes the election read the planner's key again soon. It does not block.
func (v *VM) recheckHolder() {
	select {
	case v.recheck <- struct{}{}:
	default:
	}
}

// claim tries to become the planner and, if elected, runs it until the term is over. It fails only if the planner is stuck.
func (v *VM) claim(ctx context.Context) error {
	holder := engine.Holder{VM: v.Settings.Name, Address: v.Settings.PeersAddress, Boot: v.bootID, Cores: v.Settings.Cores}
	callCtx, cancel := context.WithTimeout(ctx, plannerKeyTimeout)
	term, err := engine.Claim(callCtx, v.Store, v.Clock, holder, v.termLength())
	cancel()
	if err != nil {
		v.log.Event("claim-failed", "error", err)
		v.sleep(ctx, electionRetryDelay)
		return nil
	}
	if term == nil {
		v.log.Event("claim-lost")
		return nil
	}
	v.log.Event("planner-elected", "fence", term.Fence())
	v.metrics.Add(metrics.PlannerTerms, 1)
	reason := v.runPlanner(ctx, term)
	v.planner.Store(nil)
	endCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), termEndTimeout)
	defer cancel()
	if err := term.End(endCtx); err != nil {
		v.log.Event("term-not-ended", "error", err)
	}
	v.log.Event("planner-ended", "fence", term.Fence(), "reason", reason)
	if IsErrPlannerStuck(reason) {
		return reason
	}
	return nil
}

// jobMemoryShare is the part of the process's memory that the planner's jobs may take.
const jobMemoryShare = 0.2

// runPlanner runs the planner until its term is over, and returns the reason for the end.
func (v *VM) runPlanner(ctx context.Context, term *engine.Term) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	p := &engine.Planner{
		Clock: v.Clock, TimeOfDay: time.Now, Store: v.Store, Workers: v.Workers, Bounds: v.Settings.Bounds.engine(), Term: term,
		JobMemory:     int64(jobMemoryShare * float64(v.Settings.Memory())),
		Configuration: v.configuration.Load, DecodeRegistration: v.DecodeRegistration, RegistrationPrefix: v.RegistrationPrefix, Log: v.log, Metrics: &v.metrics,
	}
	select {
	case <-v.stepDown:
		// Drops a step-down request that was sent for an earlier term.
	default:
	}
	renewal := term.Run(ctx, v.log, p.Stalled)
	planning, err := p.Run(ctx)
	if err != nil {
		return errors.Wrap(err, "run planner")
	}
	ready := p.Ready()
	for {
		select {
		case <-v.stepDown:
			cancel()
			if err := <-renewal; err != nil {
				v.log.Event("term-over", "reason", err)
			}
			if err := v.awaitPlannerStop(planning); err != nil {
				return err
			}
			return errSteppedDown
		case <-ready:
			v.planner.Store(p)
			ready = nil
		case err := <-renewal:
			cancel()
			if planErr := v.awaitPlannerStop(planning); planErr != nil {
				return planErr
			}
			return err
		case err := <-planning:
			cancel()
			if renewErr := <-renewal; renewErr != nil {
				v.log.Event("term-over", "reason", renewErr)
			}
			return err
		}
	}
}

// awaitPlannerStop waits until the planner has stopped. It returns an *ErrPlannerStuck after plannerStopTimeout.
func (v *VM) awaitPlannerStop(planning <-chan error) error {
	select {
	case err := <-planning:
		if err != nil {
			v.log.Event("planner-failed", "error", err)
		}
		return nil
	case <-v.Clock.After(plannerStopTimeout):
		return &ErrPlannerStuck{After: plannerStopTimeout}
	}
}

// ErrPlannerStuck means that a planner did not stop with its term. Only the end of the process releases its resources.
type ErrPlannerStuck struct{ After time.Duration }

// Error implements error.
func (e *ErrPlannerStuck) Error() string {
	return fmt.Sprintf("the planner has not stopped %s after its term", e.After)
}

// IsErrPlannerStuck reports whether err is or wraps an *ErrPlannerStuck.
func IsErrPlannerStuck(err error) bool {
	var stuck *ErrPlannerStuck
	return errors.As(err, &stuck)
}

// setHolder records the holder of the planner's key, nil for none, and links this entry VM to it.
func (v *VM) setHolder(h *engine.Holder) {
	before := v.holder.Swap(h)
	if h == nil {
		return
	}
	if before == nil || *before != *h {
		v.log.Event("planner-known", "vm", h.VM, "address", h.Address, "boot", h.Boot)
	}
	if v.secretLoaded.Load() && h.VM != v.Settings.Name {
		v.hub.SetPeers(map[string]string{h.VM: h.Address})
	}
}

// sleep waits for d or until ctx ends.
func (v *VM) sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-v.Clock.After(d):
	}
}
