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
	// holderWatch is how long one watch of the planner's key waits.
	holderWatch = 4 * time.Second
	// holderTimeout bounds the watch on top of its wait, and a read of the key.
	holderTimeout = 800 * time.Millisecond
	// holderSilentTimeout replaces it while the store is silent, since a call that was begun before the store is back gets no
	// answer. A slow store still answers within it.
	holderSilentTimeout = 500 * time.Millisecond
	// claimSpread is the time over which equal entry VMs claim a planner's key that has ended, so that one is first.
	claimSpread = 60 * time.Millisecond
	// claimCoreDelay over the cores of an entry VM is how long it waits before that. With the users' VMs of 0.2 to 0.8
	// cores, a larger one always comes before a smaller one.
	claimCoreDelay = 40 * time.Millisecond
	// claimMaxDelay bounds the wait of a very small entry VM.
	claimMaxDelay = 500 * time.Millisecond
	// yieldFactor is how much larger an entry VM must be than the planner's to take over from it.
	yieldFactor = 1.5
	// yieldPause leaves a new planner the time to settle, and the link to it the time to open.
	yieldPause = 300 * time.Millisecond
	// plannerEndTimeout bounds the end of a planner after its term. Its calls end within 3 s.
	plannerEndTimeout = 5 * time.Second
	// electionRetry is the pause after a read that failed.
	electionRetry = 200 * time.Millisecond
)

// errYielded is why a planner ends that left the term to a larger entry VM.
var errYielded = errors.New("a larger entry VM asked for the term")

// elect follows who is the planner, and makes this process the planner when there is none. The channel receives one
// value when ctx has ended and the term, if any, is over, or when a planner is stuck.
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

func (v *VM) electOnce(ctx context.Context) error {
	timeout := holderTimeout
	if v.storeSilence() > 0 {
		timeout = holderSilentTimeout
	}
	callCtx, cancel := context.WithTimeout(ctx, timeout)
	holder, revision, err := engine.FindHolder(callCtx, v.Store)
	cancel()
	if err != nil {
		v.pause(ctx, electionRetry)
		return nil
	}
	if revision != 0 && holder.VM == v.Settings.Name && holder.Address == v.Settings.PeersAddress {
		v.vacate(ctx, revision)
		return nil
	}
	if revision != 0 {
		v.setHolder(&holder)
		for at, same := revision, true; same && ctx.Err() == nil; {
			if v.outranks(holder) {
				v.askToYield(ctx, holder)
			}
			at, same = v.awaitChange(ctx, at)
		}
		return nil
	}
	v.setHolder(nil)
	if v.leaving.Load() || v.configuration.Load() == nil || !v.secretKnown.Load() {
		v.pause(ctx, electionRetry)
		return nil
	}
	v.pause(ctx, claimDelay(v.Settings.Cores)+time.Duration(mathrand.Int64N(int64(claimSpread)))) //nolint:gosec // spreads load, guards nothing
	if ctx.Err() != nil {
		return nil
	}
	return v.claim(ctx)
}

// termLength returns the length of the planner's lease, which the store must be able to grant.
func (v *VM) termLength() time.Duration {
	return max(engine.TermLength, time.Duration(v.Settings.Bounds.MinStoreLease))
}

// vacate ends the claim of an earlier term of this process, or of a process that ran on this VM before. An outage of the
// store that ended the term may have held up its lease, and nobody plans before the claim is gone. While a VM is replaced, two
// VMs may have one name, but they have two addresses.
func (v *VM) vacate(ctx context.Context, revision int64) {
	callCtx, cancel := context.WithTimeout(ctx, holderTimeout)
	defer cancel()
	if err := engine.RemoveHolder(callCtx, v.Store, revision); err != nil {
		v.log.Event("own-claim-not-removed", "revision", revision, "error", err)
		v.pause(ctx, electionRetry)
		return
	}
	v.log.Event("own-claim-removed", "revision", revision)
}

// claimDelay returns how long an entry VM leaves the planner's key to larger ones.
func claimDelay(cores float64) time.Duration {
	return min(claimMaxDelay, time.Duration(float64(claimCoreDelay)/cores))
}

// outranks reports whether this entry VM is so much larger than the planner's that it should be the planner.
func (v *VM) outranks(h engine.Holder) bool {
	return h.Cores*yieldFactor < v.Settings.Cores && h.VM != v.Settings.Name && !v.leaving.Load() && v.storeAnswers() &&
		v.configuration.Load() != nil
}

// askToYield asks a planner on a smaller entry VM to give its term up.
func (v *VM) askToYield(ctx context.Context, h engine.Holder) {
	v.pause(ctx, yieldPause)
	callCtx, cancel := context.WithTimeout(ctx, holderTimeout)
	defer cancel()
	var reply engine.Result
	err := v.forward(callCtx, peer.KindYield, v.Settings.Cores, &reply)
	v.log.Event("yield-asked", "vm", h.VM, "cores", h.Cores, "own", v.Settings.Cores, "error", err)
}

// awaitChange waits for a change of the planner's key after a revision. It returns the revision to go on from, and whether the key
// is certainly the same; that is not known when the watch failed, or when somebody suspects that the planner is gone.
func (v *VM) awaitChange(ctx context.Context, revision int64) (int64, bool) {
	watchCtx, cancel := context.WithTimeout(ctx, holderWatch+holderTimeout)
	defer cancel()
	type outcome struct {
		at   int64
		same bool
	}
	watched := make(chan outcome, 1)
	go func() {
		at, changed, err := engine.WatchHolder(watchCtx, v.Store, revision, holderWatch)
		if err != nil && ctx.Err() == nil {
			v.pause(watchCtx, electionRetry)
		}
		watched <- outcome{at: at, same: err == nil && !changed}
	}()
	select {
	case o := <-watched:
		return o.at, o.same
	case <-v.suspect:
		v.pause(ctx, electionRetry)
		cancel()
		<-watched
		return revision, false
	}
}

// suspectPlanner makes the election look at the planner's key soon.
func (v *VM) suspectPlanner() {
	select {
	case v.suspect <- struct{}{}:
	default:
	}
}

// claim tries to become the planner and plans until the term is over. It fails only if the planner is stuck.
func (v *VM) claim(ctx context.Context) error {
	holder := engine.Holder{VM: v.Settings.Name, Address: v.Settings.PeersAddress, Boot: v.boot, Cores: v.Settings.Cores}
	callCtx, cancel := context.WithTimeout(ctx, holderTimeout)
	term, err := engine.Claim(callCtx, v.Store, v.Clock, holder, v.termLength())
	cancel()
	if err != nil {
		v.log.Event("claim-failed", "error", err)
		v.pause(ctx, electionRetry)
		return nil
	}
	if term == nil {
		v.log.Event("claim-lost")
		return nil
	}
	v.log.Event("planner-elected", "fence", term.Fence())
	v.metrics.Add(metrics.PlannerTerms, 1)
	reason := v.plan(ctx, term)
	v.planner.Store(nil)
	endCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), handOverTimeout)
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

// plan runs the planner until its term is over, and returns why it ended.
func (v *VM) plan(ctx context.Context, term *engine.Term) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	p := &engine.Planner{
		Clock: v.Clock, TimeOfDay: time.Now, Store: v.Store, Workers: v.Workers, Bounds: v.Settings.Bounds.engine(), Term: term,
		Configuration: v.configuration.Load, DecodeRegistration: v.DecodeRegistration, RegistrationPrefix: v.RegistrationPrefix, Log: v.log, Metrics: &v.metrics,
	}
	select {
	case <-v.yield:
		// The request was meant for an earlier term.
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
		case <-v.yield:
			cancel()
			if err := <-renewal; err != nil {
				v.log.Event("term-over", "reason", err)
			}
			if err := v.awaitPlanner(planning); err != nil {
				return err
			}
			return errYielded
		case <-ready:
			v.planner.Store(p)
			ready = nil
		case err := <-renewal:
			cancel()
			if planErr := v.awaitPlanner(planning); planErr != nil {
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

// awaitPlanner waits until the planner has ended. It fails with an *ErrPlannerStuck if the planner does not.
func (v *VM) awaitPlanner(planning <-chan error) error {
	select {
	case err := <-planning:
		if err != nil {
			v.log.Event("planner-failed", "error", err)
		}
		return nil
	case <-v.Clock.After(plannerEndTimeout):
		return &ErrPlannerStuck{After: plannerEndTimeout}
	}
}

// ErrPlannerStuck means that a planner did not end with its term. Only the end of the process frees what it holds.
type ErrPlannerStuck struct{ After time.Duration }

// Error implements error.
func (e *ErrPlannerStuck) Error() string {
	return fmt.Sprintf("the planner has not ended %s after its term", e.After)
}

// IsErrPlannerStuck reports whether err is or wraps an *ErrPlannerStuck.
func IsErrPlannerStuck(err error) bool {
	var stuck *ErrPlannerStuck
	return errors.As(err, &stuck)
}

func (v *VM) setHolder(h *engine.Holder) {
	before := v.holder.Swap(h)
	if h == nil {
		return
	}
	if before == nil || *before != *h {
		v.log.Event("planner-known", "vm", h.VM, "address", h.Address, "boot", h.Boot)
	}
	if v.secretKnown.Load() && h.VM != v.Settings.Name {
		v.hub.SetPeers(map[string]string{h.VM: h.Address})
	}
}

func (v *VM) pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-v.Clock.After(d):
	}
}
