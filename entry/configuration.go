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
	// maxWatchWait is the longest watch that the store allows.
	maxWatchWait = time.Second
	// storeRetry is the pause after a failed call to the store.
	storeRetry = 200 * time.Millisecond
)

// join raises the view by a document and lets the other controllers see it. It returns the error of config.Join.
func (v *VM) join(s *board.State, document config.Document) error {
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
	v.Metrics.SetGauge(metrics.ConfigRevision, int64(next.Revision().Sum())) //nolint:gosec // a revision never nears 2^63
	klog.InfoS("Configuration applied", "revision", next.Revision().Sum(), "failure-domain-out", next.IsOutOfService(domain))
	return err
}

// watchConfiguration follows the configuration in the store until ctx ends.
func (v *VM) watchConfiguration(ctx context.Context) error {
	var version uint64
	for ctx.Err() == nil {
		sent := v.Clock.Now()
		entry, err := v.Store.Watch(ctx, headKey, version, watchWait(v.Settings.FreshnessWindow()))
		v.noteStore(err)
		if err != nil {
			v.sleep(ctx, storeRetry)
			continue
		}
		version = entry.Version
		v.storeRead(ctx, sent, entry)
	}
	return nil
}

// watchWait returns how long one watch waits. A read counts from when it was sent, so the view gets as old as two
// watches and the calls' latency; with half of the window it would be stale for a moment after every watch.
func watchWait(window time.Duration) time.Duration {
	const numerator, denominator = 9, 20 // leaves a tenth of the window for the latency
	return min(maxWatchWait, window*numerator/denominator)
}

// noteStore records whether the store answers, and logs when that changes.
func (v *VM) noteStore(err error) {
	reachable := err == nil
	if known := v.storeKnown.Swap(true); known && v.storeReachable.Load() == reachable {
		return
	}
	v.storeReachable.Store(reachable)
	if reachable {
		klog.InfoS("The platform's key-value service answers")
		return
	}
	klog.ErrorS(err, "The platform's key-value service does not answer; configuration changes and claims wait")
}

// storeRead applies a value of the store that was read by a call sent at the time given. A value that cannot be
// decoded, or of which a part is refused, says nothing about how fresh the view is.
func (v *VM) storeRead(ctx context.Context, sent time.Time, entry kvstore.Entry) (complete bool) {
	if entry.Version == 0 {
		return true
	}
	document, err := config.Decode(entry.Value)
	if err != nil {
		v.Metrics.Add(metrics.ConfigRejected, 1)
		klog.ErrorS(err, "The store has a configuration that cannot be read; the one in force is kept")
		v.sleep(ctx, storeRetry)
		return false
	}
	err = v.board.Do(ctx, func(s *board.State) {
		if complete = config.IsCompleteMerge(v.join(s, document)); complete {
			s.Freshness.RecordStoreRead(sent, s.View.Revision())
		}
	})
	return complete && err == nil
}

// registration is the value of this VM's key in the store.
type registration struct {
	BootID  string `json:"boot-id"`
	Address string `json:"address"`
}

func (v *VM) registrationKey() string {
	return registrationPrefix + v.self.FailureDomain + "/" + v.self.VM
}

// keepRegistered registers this VM in the store, checks that it stays registered, and removes the registrations of
// VMs that are gone.
func (v *VM) keepRegistered(ctx context.Context) error {
	var version uint64
	for ctx.Err() == nil {
		var ok bool
		version, ok = v.checkRegistration(ctx, version)
		wait := registrationInterval
		if !ok {
			wait = storeRetry
		}
		v.sleep(ctx, wait)
	}
	return nil
}

// checkRegistration registers this VM unless the store has its key at the version given, then lists all. It returns
// the version of this VM's key and whether all calls succeeded.
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
			// Others may accept changes without this VM from now on, so it is no witness until it registers again.
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

// register writes this VM's key, then reads the configuration. Only a read that was sent after the write makes this
// VM a witness: changes accepted before the write are in it, and later ones wait for this VM.
func (v *VM) register(ctx context.Context) (uint64, bool) {
	value, err := json.Marshal(registration{BootID: v.self.BootID, Address: v.Settings.PeersAddress()})
	if err != nil {
		return 0, false
	}
	current, err := v.Store.Get(ctx, v.registrationKey())
	if err != nil {
		return 0, false
	}
	// A lost answer is not assumed to be a success: the next round reads the key and writes it again.
	version, err := v.Store.CompareAndSwap(ctx, v.registrationKey(), value, current.Version)
	if err != nil {
		return 0, false
	}
	if v.deregistered.Load() {
		// The process began to stop while the write was in flight.
		_ = v.Store.Delete(ctx, v.registrationKey(), version)
		return 0, true
	}
	sent := v.Clock.Now()
	head, err := v.Store.Get(ctx, headKey)
	if err != nil {
		return 0, false
	}
	if !v.storeRead(ctx, sent, head) {
		// A part that this VM cannot read may be a change that is acknowledged without it.
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
