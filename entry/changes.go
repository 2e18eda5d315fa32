package entry

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"clementinepier/api"
	"clementinepier/board"
	"clementinepier/bundle"
	"clementinepier/config"
	"clementinepier/kvstore"
	"clementinepier/membership"
	"clementinepier/message"
	"clementinepier/placement"
)

// maxChangeAttempts limits the compare-and-swap attempts of one change. Each conflict means that another change has
// succeeded, so a change that is still valid succeeds after few attempts.
const maxChangeAttempts = 16

// roll verifies a signed bundle and makes it the configuration.
func (v *VM) roll(ctx context.Context, change message.BundleChange) (message.Accepted, error) {
	b, err := v.Settings.Keyring().VerifyNew(v.Clock.Now(), change.Signed)
	if err != nil {
		return message.Accepted{}, err
	}
	if faults := append(b.Check(), unplaceableGuarantees(b)...); len(faults) > 0 {
		return message.Accepted{}, &bundle.ErrBundleInvalid{Faults: faults}
	}
	return v.commitChange(ctx, config.Change{ID: change.ChangeID, Bundle: &change.Signed})
}

// unplaceableGuarantees returns a fault for each guarantee that has an instance without an anchor even if all failure
// domains are in service. Such a guarantee could never be met.
func unplaceableGuarantees(b *bundle.Bundle) []bundle.Fault {
	missing := map[string]int{}
	for _, a := range placement.ComputeAnchors(b, func(string) bool { return false }) {
		if !a.IsPlaced() {
			missing[a.Organisation+"/"+a.Guarantee]++
		}
	}
	var faults []bundle.Fault
	for _, name := range slices.Sorted(maps.Keys(missing)) {
		reason := fmt.Sprintf("%d instances fit nowhere beside the other guarantees, with all failure domains in service", missing[name])
		faults = append(faults, bundle.Fault{Key: "guarantee " + name, Reason: reason})
	}
	return faults
}

// order verifies and stores a signed order that takes a failure domain out of service or returns it to service.
func (v *VM) order(ctx context.Context, order bundle.SignedOrder) (message.Accepted, error) {
	if err := v.Settings.Keyring().VerifyNewOrder(v.Clock.Now(), order); err != nil {
		return message.Accepted{}, err
	}
	return v.commitChange(ctx, config.Change{ID: order.Order.ChangeID, Order: &order})
}

// commitChange writes a change to the store by compare-and-swap. If the answer of a write is lost, it reads the document
// again: either the change's id is among the accepted ones, or the write is retried.
func (v *VM) commitChange(ctx context.Context, change config.Change) (message.Accepted, error) {
	var lastErr error
	for range maxChangeAttempts {
		accepted, err := v.tryCommitChange(ctx, change)
		if err == nil {
			return message.Accepted{ChangeID: accepted.ChangeID, Revision: accepted.Revision}, nil
		}
		if !kvstore.IsErrUnavailable(err) && !kvstore.IsErrVersionDiffers(err) {
			return message.Accepted{}, err
		}
		lastErr = err
		v.sleep(ctx, storeRetryDelay)
		if ctx.Err() != nil {
			break
		}
	}
	return message.Accepted{}, lastErr
}

// tryCommitChange makes one attempt to write the change to the store.
func (v *VM) tryCommitChange(ctx context.Context, change config.Change) (config.AcceptedChange, error) {
	head, err := v.Store.Get(ctx, headKey)
	if err != nil {
		return config.AcceptedChange{}, err
	}
	var current config.Document
	if head.Version > 0 {
		if current, err = config.Decode(head.Value); err != nil {
			return config.AcceptedChange{}, err
		}
	}
	next, accepted, err := config.Accept(v.Settings.Keyring(), current, change)
	if err != nil {
		return config.AcceptedChange{}, err
	}
	if next.ChangeID == current.ChangeID && current.ChangeID != "" || isAlreadyAccepted(current, change.ID) {
		return accepted, nil
	}
	value, err := config.Encode(next)
	if err != nil {
		return config.AcceptedChange{}, err
	}
	if _, err := v.Store.CompareAndSwap(ctx, headKey, value, head.Version); err != nil {
		return config.AcceptedChange{}, err
	}
	return accepted, v.board.Do(ctx, func(s *board.State) { _ = v.mergeConfiguration(s, next) })
}

// isAlreadyAccepted reports whether the change with the id is among the recent changes of the document.
func isAlreadyAccepted(current config.Document, id string) bool {
	for _, a := range current.Recent {
		if a.ChangeID == id {
			return true
		}
	}
	return false
}

// rollouts tracks the acknowledgement of the changes whose progress operators have requested.
type rollouts struct {
	mu   sync.Mutex
	byID map[string]*rollout
}

// rollout is one change with the progress of its acknowledgement.
type rollout struct {
	accepted config.AcceptedChange
	revision config.Revision
	progress *config.Rollout
	// changesDomains is true if majorities of the previous set of failure domains must acknowledge the change as well.
	changesDomains bool
}

// maxRollouts limits the changes that are tracked. At the limit all are dropped; a dropped one is tracked anew when its
// progress is requested again.
const maxRollouts = 64

// changeProgress returns which VMs have confirmed a change and whether it is in force. It reads the registrations from the
// store, because only a list that is read after the change was accepted contains every VM that must confirm it.
func (v *VM) changeProgress(ctx context.Context, id string) (message.Change, error) {
	r, err := v.rollout(ctx, id)
	if err != nil {
		return message.Change{}, err
	}
	entries, err := v.Store.List(ctx, registrationPrefix)
	if err != nil {
		return message.Change{}, err
	}
	var list []membership.Registration
	for _, e := range entries {
		list = append(list, parseRegistration(e))
	}
	v.rollouts.mu.Lock()
	defer v.rollouts.mu.Unlock()
	r.progress.SetRegistered(v.Clock.Now(), registrationsOf(list))
	err = v.board.Do(ctx, func(s *board.State) {
		r.progress.Confirm(s.Self.VM, s.View.Revision())
		for name, report := range s.Reports {
			r.progress.Confirm(name, report.Revision)
		}
	})
	if err != nil {
		return message.Change{}, err
	}
	reply := describeChange(r, list, v.Clock.Now(), v.Settings.FreshnessWindow())
	if reply.InForceEverywhere && r.changesDomains {
		v.clearPreviousDomains(ctx, r.revision)
	}
	return reply, nil
}

// clearPreviousDomains removes the previous set of failure domains from the document, so that changes no longer need its
// majorities. If another change wins the compare-and-swap, the next request for the progress of a change tries again.
func (v *VM) clearPreviousDomains(ctx context.Context, inForceEverywhere config.Revision) {
	head, err := v.Store.Get(ctx, headKey)
	if err != nil || head.Version == 0 {
		return
	}
	current, err := config.Decode(head.Value)
	if err != nil {
		return
	}
	cleared, needed := config.ClearPreviousDomains(current, inForceEverywhere)
	if !needed {
		return
	}
	value, err := config.Encode(cleared)
	if err != nil {
		return
	}
	_, _ = v.Store.CompareAndSwap(ctx, headKey, value, head.Version)
}

// rollout returns the rollout of a change. If the change is not tracked yet, it creates the rollout from the document in
// the store.
func (v *VM) rollout(ctx context.Context, id string) (*rollout, error) {
	v.rollouts.mu.Lock()
	known := v.rollouts.byID[id]
	v.rollouts.mu.Unlock()
	if known != nil {
		return known, nil
	}
	head, err := v.Store.Get(ctx, headKey)
	if err != nil {
		return nil, err
	}
	if head.Version == 0 {
		return nil, &api.ErrChangeNotExist{ID: id}
	}
	document, err := config.Decode(head.Value)
	if err != nil {
		// It is unknown whether the change was accepted. Reporting that it does not exist would make the operator submit it
		// again.
		return nil, errors.Wrap(err, "configuration in the store")
	}
	r, err := v.newRollout(document, id)
	if err != nil {
		return nil, err
	}
	v.rollouts.mu.Lock()
	defer v.rollouts.mu.Unlock()
	if len(v.rollouts.byID) >= maxRollouts {
		v.rollouts.byID = map[string]*rollout{}
	}
	v.rollouts.byID[id] = r
	return r, nil
}

// newRollout returns a rollout that tracks the part of the configuration that the change replaced.
func (v *VM) newRollout(document config.Document, id string) (*rollout, error) {
	view, err := config.Merge(v.Settings.Keyring(), nil, document)
	if err != nil {
		return nil, errors.Wrap(err, "configuration in the store")
	}
	for _, a := range document.Recent {
		if a.ChangeID != id {
			continue
		}
		options := config.RolloutOptions{
			Change: a.PartRevision(), Domains: view.FailureDomains(), PreviousDomains: document.PreviousDomains,
			Window: v.Settings.FreshnessWindow(), IsolatedWindow: v.Settings.IsolatedWindow(),
		}
		if a.FailureDomain != "" {
			order := document.Orders[a.FailureDomain].Order
			options.Order = &order
		}
		return &rollout{
			accepted: a, revision: a.PartRevision(), progress: config.NewRollout(options),
			changesDomains: len(document.PreviousDomains) > 0,
		}, nil
	}
	return nil, &api.ErrChangeNotExist{ID: id}
}

// describeChange returns the progress of a rollout as reported to operators. A change is in force everywhere once every VM
// has confirmed it or can no longer start tasks without it; VMs that have not confirmed it are listed in either case.
func describeChange(r *rollout, list []membership.Registration, now time.Time, window time.Duration) message.Change {
	p := r.progress.Progress(now)
	reply := message.Change{
		ChangeID: r.accepted.ChangeID, Revision: r.accepted.Revision, Acknowledged: !p.Acknowledged.IsZero(),
		AcknowledgedAt:    p.Acknowledged,
		InForceEverywhere: !p.AcknowledgedEverywhere.IsZero() && now.Sub(p.AcknowledgedEverywhere) >= window, FailureDomains: map[string]message.DomainProgress{},
	}
	allConfirmed := true
	for _, d := range p.Domains {
		allConfirmed = allConfirmed && len(d.Waiting) == 0
		progress := message.DomainProgress{Confirmed: []string{}, Missing: []message.MissingVM{}}
		waiting := map[string]bool{}
		for _, w := range d.Waiting {
			waiting[w.VM] = true
			progress.Missing = append(progress.Missing, message.MissingVM{Name: w.VM, Since: w.Since})
		}
		for _, registered := range list {
			if registered.FailureDomain == d.FailureDomain && !waiting[registered.VM] {
				progress.Confirmed = append(progress.Confirmed, registered.VM)
			}
		}
		reply.FailureDomains[d.FailureDomain] = progress
	}
	reply.InForceEverywhere = reply.InForceEverywhere || reply.Acknowledged && allConfirmed
	return reply
}
