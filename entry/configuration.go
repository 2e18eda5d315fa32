package entry

import (
	"context"
	"encoding/json"
	"path"
	"strings"
	"time"

	"k8s.io/klog/v2"

	"clementinepier/board"
	"clementinepier/config"
	"clementinepier/kvstore"
	"clementinepier/membership"
	"clementinepier/metrics"
)

const (
	headKey            = "config/head"
	registrationPrefix = "entry-vms/"
	// maxWatchWait is the longest wait that the store allows for one watch call.
	maxWatchWait = time.Second
	// storeRetryDelay is the pause after a failed call to the store.
	storeRetryDelay = 200 * time.Millisecond
)

// mergeConfiguration merges a document into the view and passes a changed view to the other components. It returns the
// error of config.Merge.
func (v *VM) mergeConfiguration(s *board.State, document config.Document) error {
	before := s.View
	next, err := config.Merge(v.Settings.Keyring(), before, document)
	if !config.IsCompleteMerge(err) {
		v.Metrics.Add(metrics.ConfigRejected, 1)
	}
	if next == before {
		return err
	}
	domain := s.Self.FailureDomain
	if before.IsOutOfService(domain) && !next.IsOutOfService(domain) {
		s.ReturnedToServiceAt = v.Clock.Now()
	}
	s.View = next
	v.view.Store(next)
	s.Freshness.SetView(next)
	v.dispatcher.SetConfiguration(s)
	if next.Bundle() != nil {
		setLimits(s)
	}
	v.Metrics.Add(metrics.ConfigApplied, 1)
	v.Metrics.SetGauge(metrics.ConfigRevision, int64(next.Revision().Sum())) //nolint:gosec // a revision never gets close to 2^63
	klog.InfoS("Configuration applied", "revision", next.Revision().Sum(), "failure-domain-out", next.IsOutOfService(domain))
	return err
}

// watchConfiguration applies each configuration that it reads from the store until ctx is done.
func (v *VM) watchConfiguration(ctx context.Context) error {
	var version uint64
	for ctx.Err() == nil {
		sent := v.Clock.Now()
		entry, err := v.Store.Watch(ctx, headKey, version, watchWait(v.Settings.FreshnessWindow()))
		v.recordStoreResult(err)
		if err != nil {
			v.sleep(ctx, storeRetryDelay)
			continue
		}
		version = entry.Version
		v.applyStoreRead(ctx, sent, entry)
	}
	return nil
}

// watchWait returns the maximum wait of one watch call. The age of a read counts from the time it was sent, so the view can
// reach the age of two watches plus the latency of the calls. With a wait of half the freshness window, the view would be
// stale for a moment after every watch.
func watchWait(window time.Duration) time.Duration {
	const numerator, denominator = 9, 20 // two watches leave a tenth of the window for the latency
	return min(maxWatchWait, window*numerator/denominator)
}

// recordStoreResult records whether the store answered a call, and logs a change.
func (v *VM) recordStoreResult(err error) {
	reachable := err == nil
	if known := v.storeCalled.Swap(true); known && v.storeReachable.Load() == reachable {
		return
	}
	v.storeReachable.Store(reachable)
	if reachable {
		klog.InfoS("The platform's key-value service answers")
		return
	}
	klog.ErrorS(err, "The platform's key-value service does not answer; configuration changes and claims wait")
}

// applyStoreRead merges a value that was read from the store by a call sent at the given time. It reports whether all of
// the value was merged; only then does the read count for the freshness of the view.
func (v *VM) applyStoreRead(ctx context.Context, sent time.Time, entry kvstore.Entry) (complete bool) {
	if entry.Version == 0 {
		return true
	}
	document, err := config.Decode(entry.Value)
	if err != nil {
		v.Metrics.Add(metrics.ConfigRejected, 1)
		klog.ErrorS(err, "The store has a configuration that cannot be read; the one in force is kept")
		v.sleep(ctx, storeRetryDelay)
		return false
	}
	err = v.board.Do(ctx, func(s *board.State) {
		if complete = config.IsCompleteMerge(v.mergeConfiguration(s, document)); complete {
			s.Freshness.RecordStoreRead(sent, s.View.Revision())
		}
	})
	return complete && err == nil
}

// registration is the value that an entry VM writes to its key in the store.
type registration struct {
	BootID  string `json:"boot-id"`
	Address string `json:"address"`
}

func (v *VM) registrationKey() string {
	return registrationPrefix + v.self.FailureDomain + "/" + v.self.VM
}

// maintainRegistration registers this VM in the store, registers it again if its key was removed, and removes the
// registrations of VMs that no longer exist, until ctx is done.
func (v *VM) maintainRegistration(ctx context.Context) error {
	var version uint64
	for ctx.Err() == nil {
		var ok bool
		version, ok = v.checkRegistration(ctx, version)
		wait := registrationInterval
		if !ok {
			wait = storeRetryDelay
		}
		v.sleep(ctx, wait)
	}
	return nil
}

// checkRegistration registers this VM if version is 0, then lists all registrations. It returns the version of this VM's
// key, or 0 if the VM must register again, and whether all calls succeeded and the key was listed at the version.
func (v *VM) checkRegistration(ctx context.Context, version uint64) (uint64, bool) {
	if v.deregistered.Load() {
		return 0, true
	}
	if version == 0 {
		var ok bool
		if version, ok = v.register(ctx); !ok {
			return 0, false
		}
	}
	entries, err := v.Store.List(ctx, registrationPrefix)
	if err != nil {
		return version, false
	}
	present := false
	var list []membership.Registration
	for _, e := range entries {
		r := parseRegistration(e)
		list = append(list, r)
		present = present || r.VM == v.self.VM && r.Version == version
	}
	var removable []membership.Registration
	err = v.board.Do(ctx, func(s *board.State) {
		now := v.Clock.Now()
		s.Members.SetRegistrations(now, list)
		s.Registrations = registrationsOf(list)
		s.Quota.SetRegistered(namesOf(list))
		if !present {
			// Other VMs may accept changes without this VM's confirmation from now on, so its heartbeat answers do not count
			// for the freshness of their views until it registers again.
			s.Registered = false
			s.Freshness.SetRegistered(false)
		}
		removable = s.Members.Removable(now)
	})
	if err != nil || !present {
		return 0, false
	}
	for _, r := range removable {
		v.removeRegistration(ctx, r)
	}
	return version, true
}

func parseRegistration(e kvstore.Entry) membership.Registration {
	return membership.Registration{
		VM: path.Base(e.Key), FailureDomain: strings.TrimPrefix(path.Dir(e.Key), registrationPrefix), Version: e.Version,
	}
}

func registrationsOf(list []membership.Registration) []config.Registration {
	registrations := make([]config.Registration, 0, len(list))
	for _, r := range list {
		registrations = append(registrations, config.Registration{VM: r.VM, FailureDomain: r.FailureDomain})
	}
	return registrations
}

func namesOf(list []membership.Registration) []string {
	names := make([]string, 0, len(list))
	for _, r := range list {
		names = append(names, r.VM)
	}
	return names
}

// register writes this VM's key, then reads the configuration. The VM counts as registered only after a read that was sent
// after the write: that read contains all changes accepted before the write, and later ones wait for this VM's
// confirmation.
func (v *VM) register(ctx context.Context) (uint64, bool) {
	value, err := json.Marshal(registration{BootID: v.self.BootID, Address: v.Settings.PeersAddress()})
	if err != nil {
		return 0, false
	}
	current, err := v.Store.Get(ctx, v.registrationKey())
	if err != nil {
		return 0, false
	}
	// A write whose answer is lost counts as failed: the next call reads the key and writes it again.
	version, err := v.Store.CompareAndSwap(ctx, v.registrationKey(), value, current.Version)
	if err != nil {
		return 0, false
	}
	if v.deregistered.Load() {
		// The VM has started to deregister while the write was in flight.
		_ = v.Store.Delete(ctx, v.registrationKey(), version)
		return 0, true
	}
	sent := v.Clock.Now()
	head, err := v.Store.Get(ctx, headKey)
	if err != nil {
		return 0, false
	}
	if !v.applyStoreRead(ctx, sent, head) {
		// A part that this VM cannot read may be a change that others have acknowledged without it.
		return 0, false
	}
	err = v.board.Do(ctx, func(s *board.State) {
		s.Registered = true
		s.Freshness.SetRegistered(true)
	})
	if err == nil {
		klog.InfoS("Registered in the store", "key", v.registrationKey())
	}
	return version, err == nil
}

func (v *VM) removeRegistration(ctx context.Context, r membership.Registration) {
	key := registrationPrefix + r.FailureDomain + "/" + r.VM
	if err := v.Store.Delete(ctx, key, r.Version); err != nil {
		return
	}
	klog.InfoS("Removed the registration of an entry VM that is gone", "key", key)
}

func (v *VM) sleep(ctx context.Context, wait time.Duration) {
	select {
	case <-ctx.Done():
	case <-v.Clock.After(wait):
	}
}
