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
	// Clock is used for leases, watches, delays and the lag; nil means the real clock.
	Clock clockwork.Clock
	// Lag is how long a change of the VM list stays invisible.
	Lag time.Duration
}

// Platform is the stand-in. It is safe for concurrent use.
type Platform struct {
	clock clockwork.Clock
	gate  *fault.Injector

	mu      sync.Mutex
	entries map[string]stored
	// last is the version of the newest write of any key, so a key that is deleted and made again never
	// repeats a version.
	last      uint64
	leases    map[uint64]time.Time
	lastLease uint64
	changed   chan struct{}

	lag time.Duration
	vms map[string]kvstore.VM
	// history holds the visible list and every later one, oldest first.
	history []snapshot
}

type stored struct {
	value   []byte
	version uint64
	lease   uint64
}

type snapshot struct {
	at  time.Time
	vms []kvstore.VM
}

// New returns an empty stand-in.
func New(o Options) *Platform {
	if o.Clock == nil {
		o.Clock = clockwork.NewRealClock()
	}
	return &Platform{
		clock:   o.Clock,
		gate:    &fault.Injector{Clock: o.Clock},
		entries: map[string]stored{},
		leases:  map[uint64]time.Time{},
		changed: make(chan struct{}),
		lag:     o.Lag,
		vms:     map[string]kvstore.VM{},
	}
}

// SetFaults replaces the faults that the calls of the store and of the VM list meet.
func (p *Platform) SetFaults(f fault.Faults) { p.gate.Set(f) }

// Calls returns the number of calls of each kind so far.
func (p *Platform) Calls() map[string]uint64 { return p.gate.Calls() }

// Store returns a store that calls the memory directly.
func (p *Platform) Store() kvstore.Store {
	return kvstore.Store{
		Get:  p.get,
		List: p.list,
		CompareAndSwap: func(ctx context.Context, key string, value []byte, version uint64) (uint64, error) {
			return p.CompareAndSwapLeased(ctx, key, value, version, 0)
		},
		Delete: p.remove,
		Watch:  p.watch,
	}
}

// Directory returns a VM list that reads the memory directly.
func (p *Platform) Directory() kvstore.Directory { return kvstore.Directory{VMs: p.listVMs} }

// do runs one call under the faults, with p.mu held during effect.
func (p *Platform) do(ctx context.Context, call string, effect func()) error {
	return p.through(ctx, call, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.expire()
		effect()
	})
}

func (p *Platform) through(ctx context.Context, call string, effect func()) error {
	if delivered, err := p.gate.Do(ctx, call, effect); err != nil {
		return &kvstore.ErrUnavailable{Call: call, Delivered: delivered, Cause: err}
	}
	return nil
}

func (p *Platform) entry(key string) kvstore.Entry {
	s := p.entries[key]
	return kvstore.Entry{Key: key, Value: append([]byte(nil), s.value...), Version: s.version}
}

func (p *Platform) get(ctx context.Context, key string) (entry kvstore.Entry, err error) {
	err = p.do(ctx, "get", func() { entry = p.entry(key) })
	if err != nil {
		return kvstore.Entry{}, err
	}
	return entry, nil
}

func (p *Platform) list(ctx context.Context, prefix string) ([]kvstore.Entry, error) {
	var entries []kvstore.Entry
	err := p.do(ctx, "list", func() {
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

// CompareAndSwapLeased is CompareAndSwap with a lease: the key is removed when the lease expires. Lease 0 means none.
func (p *Platform) CompareAndSwapLeased(ctx context.Context, key string, value []byte, version, lease uint64) (uint64, error) {
	if len(value) > kvstore.MaxValueSize {
		return 0, &kvstore.ErrValueTooLarge{Key: key, Size: len(value)}
	}
	var written uint64
	var conflict error
	err := p.do(ctx, "compare-and-swap", func() {
		if have := p.entries[key].version; have != version {
			conflict = &kvstore.ErrVersionDiffers{Key: key, Want: version, Have: have}
			return
		}
		if _, ok := p.leases[lease]; lease != 0 && !ok {
			conflict = &ErrLeaseNotExist{Lease: lease}
			return
		}
		p.last++
		written = p.last
		p.entries[key] = stored{value: append([]byte(nil), value...), version: written, lease: lease}
		p.wake()
	})
	if err == nil {
		err = conflict
	}
	if err != nil {
		return 0, err
	}
	return written, nil
}

func (p *Platform) remove(ctx context.Context, key string, version uint64) error {
	var conflict error
	err := p.do(ctx, "delete", func() {
		if have := p.entries[key].version; have != version {
			conflict = &kvstore.ErrVersionDiffers{Key: key, Want: version, Have: have}
			return
		}
		delete(p.entries, key)
		p.wake()
	})
	if err != nil {
		return err
	}
	return conflict
}

func (p *Platform) watch(ctx context.Context, key string, after uint64, wait time.Duration) (entry kvstore.Entry, err error) {
	err = p.through(ctx, "watch", func() { entry = p.await(ctx, key, after, wait) })
	if err != nil {
		return kvstore.Entry{}, err
	}
	return entry, nil
}

func (p *Platform) await(ctx context.Context, key string, after uint64, wait time.Duration) kvstore.Entry {
	timer := p.clock.NewTimer(wait)
	defer timer.Stop()
	for passed := wait <= 0; ; {
		p.mu.Lock()
		p.expire()
		entry, changed := p.entry(key), p.changed
		p.mu.Unlock()
		if passed || entry.Version != after {
			return entry
		}
		select {
		case <-changed:
		case <-timer.Chan():
			passed = true
		case <-ctx.Done():
			passed = true
		}
	}
}

// wake ends the waits of all watches so that they look again.
func (p *Platform) wake() {
	close(p.changed)
	p.changed = make(chan struct{})
}
