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

// maxChangeTries bounds the compare-and-swaps of one change. Every lost race means that another change won, so a
// change that is still valid wins soon.
const maxChangeTries = 16

// roll accepts a signed bundle.
func (v *VM) roll(ctx context.Context, change message.BundleChange) (message.Accepted, error) {
	b, err := v.Settings.Keyring().VerifyNew(v.Clock.Now(), change.Signed)
	if err != nil {
		return message.Accepted{}, err
	}
	if faults := append(b.Check(), unanchored(b)...); len(faults) > 0 {
		return message.Accepted{}, &bundle.ErrBundleInvalid{Faults: faults}
	}
	return v.change(ctx, config.Change{ID: change.ChangeID, Bundle: &change.Signed})
}

// unanchored returns a fault for each guarantee of which an instance gets no anchor with all failure domains in service.
// Such a guarantee could never be kept.
func unanchored(b *bundle.Bundle) []bundle.Fault {
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

// order accepts a signed order for one failure domain.
func (v *VM) order(ctx context.Context, order bundle.SignedOrder) (message.Accepted, error) {
	if err := v.Settings.Keyring().VerifyNewOrder(v.Clock.Now(), order); err != nil {
		return message.Accepted{}, err
	}
	return v.change(ctx, config.Change{ID: order.Order.ChangeID, Order: &order})
}

// change makes a change by compare-and-swap. A write whose answer is lost is settled by reading again: the change's id
// is then found among the accepted ones, or the write is made anew.
func (v *VM) change(ctx context.Context, change config.Change) (message.Accepted, error) {
	var last error
	for range maxChangeTries {
		accepted, err := v.tryChange(ctx, change)
		if err == nil {
			return message.Accepted{ChangeID: accepted.ChangeID, Revision: accepted.Revision}, nil
		}
		if !kvstore.IsErrUnavailable(err) && !kvstore.IsErrVersionDiffers(err) {
			return message.Accepted{}, err
		}
		last = err
		v.sleep(ctx, storeRetry)
		if ctx.Err() != nil {
			break
		}
	}
	return message.Accepted{}, last
}

func (v *VM) tryChange(ctx context.Context, change config.Change) (config.AcceptedChange, error) {
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
	if next.ChangeID == current.ChangeID && current.ChangeID != "" || isRetry(current, change.ID) {
		return accepted, nil
	}
	value, err := config.Encode(next)
	if err != nil {
		return config.AcceptedChange{}, err
	}
	if _, err := v.Store.CompareAndSwap(ctx, headKey, value, head.Version); err != nil {
		return config.AcceptedChange{}, err
	}
	return accepted, v.board.Do(ctx, func(s *board.State) { _ = v.join(s, next) })
}

func isRetry(current config.Document, id string) bool {
	for _, a := range current.Recent {
		if a.ChangeID == id {
			return true
		}
	}
	return false
}

// rollouts follows the acknowledgement of the changes that operators asked about.
type rollouts struct {
	mu   sync.Mutex
	byID map[string]*rollout
}

// rollout is one change with its acknowledgement.
type rollout struct {
	accepted config.AcceptedChange
	revision config.Revision
	progress *config.Rollout
	// changesDomains is true while majorities of an earlier set of failure domains are needed, too.
	changesDomains bool
}

// maxRollouts bounds the changes that are followed; older ones are started again when asked about.
const maxRollouts = 64

// changeProgress tells how far a change is in force. It reads the registrations from the store, since only a list read
// after the change was accepted has every VM that must confirm.
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
	reply := describe(r, list, v.Clock.Now(), v.Settings.FreshnessWindow())
	if reply.InForceEverywhere && r.changesDomains {
		v.settleDomains(ctx, r.revision)
	}
	return reply, nil
}

// settleDomains ends the time in which majorities of the earlier set of failure domains are needed, too. Another
// change may win the compare-and-swap; the next question about a change tries again.
func (v *VM) settleDomains(ctx context.Context, everywhere config.Revision) {
	head, err := v.Store.Get(ctx, headKey)
	if err != nil || head.Version == 0 {
		return
	}
	current, err := config.Decode(head.Value)
	if err != nil {
		return
	}
	settled, needed := config.ClearPreviousDomains(current, everywhere)
	if !needed {
		return
	}
	value, err := config.Encode(settled)
	if err != nil {
		return
	}
	_, _ = v.Store.CompareAndSwap(ctx, headKey, value, head.Version)
}

// rollout returns the rollout of a change, starting it from the document in the store.
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
		// Whether the change was accepted is not known; "does not exist" would make its operator send it again.
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

// newRollout follows the part of the configuration that the change replaced.
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

// describe puts the progress of a rollout into the form for operators. A change is in force everywhere once every VM
// has confirmed it or may start no task without it; the VMs that have not confirmed are listed all the same.
func describe(r *rollout, list []membership.Registration, now time.Time, window time.Duration) message.Change {
	p := r.progress.Progress(now)
	reply := message.Change{
		ChangeID: r.accepted.ChangeID, Revision: r.accepted.Revision, Acknowledged: !p.Acknowledged.IsZero(),
		AcknowledgedAt:    p.Acknowledged,
		InForceEverywhere: !p.AcknowledgedEverywhere.IsZero() && now.Sub(p.AcknowledgedEverywhere) >= window, FailureDomains: map[string]message.DomainProgress{},
	}
	everyone := true
	for _, d := range p.Domains {
		everyone = everyone && len(d.Waiting) == 0
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
	reply.InForceEverywhere = reply.InForceEverywhere || reply.Acknowledged && everyone
	return reply
}
