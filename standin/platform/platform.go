// Package platform is a stand-in for the platform: its key-value service and its list of VMs, in memory.
package platform

import (
	"context"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"clementinepier/kvstore"
	"clementinepier/standin/fault"
)

// Options are the parameters of New.
type Options struct {
	// Clock is used for leases, watches, injected delays and the VM list lag; nil means the real clock.
	Clock clockwork.Clock
	// Lag is the delay before a change of the VM list becomes visible to callers.
	Lag time.Duration
}

// Platform is an in-memory key-value service and VM list. It is safe for concurrent use.
type Platform struct {
	clock clockwork.Clock
	gate  *fault.Injector

	mu      sync.Mutex
	entries map[string]storedEntry
	// lastVersion is the version of the latest write to any key. All keys share it, so that a key that is deleted
	// and created again never repeats a version.
	lastVersion uint64
	leases      map[uint64]time.Time
	lastLease   uint64
	// changed is closed and replaced after each change of entries.
	changed chan struct{}

	lag time.Duration
	vms map[string]kvstore.VM
	// history holds the VM list that callers see and every later version of it, oldest first.
	history []snapshot
}

type storedEntry struct {
	value   []byte
	version uint64
	lease   uint64
}

type snapshot struct {
	changedAt time.Time
	vms       []kvstore.VM
}

// New returns a platform without keys or VMs.
func New(o Options) *Platform {
	if o.Clock == nil {
		o.Clock = clockwork.NewRealClock()
	}
	return &Platform{
		clock:   o.Clock,
		gate:    &fault.Injector{Clock: o.Clock},
		entries: map[string]storedEntry{},
		leases:  map[uint64]time.Time{},
		changed: make(chan struct{}),
		lag:     o.Lag,
		vms:     map[string]kvstore.VM{},
	}
}

// SetFaults replaces the faults that are injected into calls of the key-value service and of the VM list.
func (p *Platform) SetFaults(f fault.Faults) { p.gate.Set(f) }

// Calls returns the number of calls of each kind so far.
func (p *Platform) Calls() map[string]uint64 { return p.gate.Calls() }

// Store returns a store that accesses p in process, without HTTP.
func (p *Platform) Store() kvstore.Store {
	return kvstore.Store{
		Get:  p.get,
		List: p.list,
		CompareAndSwap: func(ctx context.Context, key string, value []byte, version uint64) (uint64, error) {
			return p.CompareAndSwapLeased(ctx, key, value, version, 0)
		},
		Delete: p.deleteEntry,
		Watch:  p.watch,
	}
}

// Directory returns a VM list client that accesses p in process, without HTTP.
func (p *Platform) Directory() kvstore.Directory { return kvstore.Directory{VMs: p.listVMs} }

// runLocked runs a call subject to the injected faults. It removes expired leases, then calls effect, and holds p.mu
// during both.
func (p *Platform) runLocked(ctx context.Context, call string, effect func()) error {
	return p.runWithFaults(ctx, call, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.expireLeases()
		effect()
	})
}

// runWithFaults runs a call subject to the injected faults, without locking p.mu.
func (p *Platform) runWithFaults(ctx context.Context, call string, effect func()) error {
	if delivered, err := p.gate.Do(ctx, call, effect); err != nil {
		return &kvstore.ErrUnavailable{Call: call, Delivered: delivered, Cause: err}
	}
	return nil
}

func (p *Platform) entry(key string) kvstore.Entry {
	stored := p.entries[key]
	return kvstore.Entry{Key: key, Value: append([]byte(nil), stored.value...), Version: stored.version}
}

func (p *Platform) get(ctx context.Context, key string) (entry kvstore.Entry, err error) {
	err = p.runLocked(ctx, "get", func() { entry = p.entry(key) })
	if err != nil {
		return kvstore.Entry{}, err
	}
	return entry, nil
}

func (p *Platform) list(ctx context.Context, prefix string) ([]kvstore.Entry, error) {
	var entries []kvstore.Entry
	err := p.runLocked(ctx, "list", func() {
		for key := range p.entries {
			if strings.HasPrefix(key, prefix) {
				entries = append(entries, p.entry(key))
			}
		}
	})
	if err != nil {
		return nil, err
	}
	sort.Slice(entries, func(i, j int) bool { return entries[i].Key < entries[j].Key })
	return entries, nil
}

// CompareAndSwapLeased is CompareAndSwap with a lease: the key is removed when the lease expires. Lease 0
// means no lease.
func (p *Platform) CompareAndSwapLeased(ctx context.Context, key string, value []byte, version, lease uint64) (uint64, error) {
	if len(value) > kvstore.MaxValueSize {
		return 0, &kvstore.ErrValueTooLarge{Key: key, Size: len(value)}
	}
	var newVersion uint64
	var conflict error
	err := p.runLocked(ctx, "compare-and-swap", func() {
		if current := p.entries[key].version; current != version {
			conflict = &kvstore.ErrVersionDiffers{Key: key, Want: version, Have: current}
			return
		}
		if _, ok := p.leases[lease]; lease != 0 && !ok {
			conflict = &ErrLeaseNotExist{Lease: lease}
			return
		}
		p.lastVersion++
		newVersion = p.lastVersion
		p.entries[key] = storedEntry{value: append([]byte(nil), value...), version: newVersion, lease: lease}
		p.wakeWatches()
	})
	if err == nil {
		err = conflict
	}
	if err != nil {
		return 0, err
	}
	return newVersion, nil
}

func (p *Platform) deleteEntry(ctx context.Context, key string, version uint64) error {
	var conflict error
	err := p.runLocked(ctx, "delete", func() {
		if current := p.entries[key].version; current != version {
			conflict = &kvstore.ErrVersionDiffers{Key: key, Want: version, Have: current}
			return
		}
		delete(p.entries, key)
		p.wakeWatches()
	})
	if err != nil {
		return err
	}
	return conflict
}

func (p *Platform) watch(ctx context.Context, key string, after uint64, wait time.Duration) (entry kvstore.Entry, err error) {
	err = p.runWithFaults(ctx, "watch", func() { entry = p.waitForChange(ctx, key, after, wait) })
	if err != nil {
		return kvstore.Entry{}, err
	}
	return entry, nil
}

// waitForChange returns the entry once its version differs from after, wait has elapsed or ctx is done.
func (p *Platform) waitForChange(ctx context.Context, key string, after uint64, wait time.Duration) kvstore.Entry {
	timer := p.clock.NewTimer(wait)
	defer timer.Stop()
	for done := wait <= 0; ; {
		p.mu.Lock()
		p.expireLeases()
		entry, changed := p.entry(key), p.changed
		p.mu.Unlock()
		if done || entry.Version != after {
			return entry
		}
		select {
		case <-changed:
		case <-timer.Chan():
			done = true
		case <-ctx.Done():
			done = true
		}
	}
}

// wakeWatches makes all waiting watches read their entry again. The caller holds p.mu.
func (p *Platform) wakeWatches() {
	close(p.changed)
	p.changed = make(chan struct{})
}
