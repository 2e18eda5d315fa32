package platform

import (
	"context"
	"fmt"
	"time"
)

// ErrLeaseNotExist means that a lease was never granted or has expired.
type ErrLeaseNotExist struct{ Lease uint64 }

// Error implements error.
func (e *ErrLeaseNotExist) Error() string { return fmt.Sprintf("lease %d does not exist", e.Lease) }

// Grant returns a new lease that expires after length unless it is renewed.
func (p *Platform) Grant(ctx context.Context, length time.Duration) (uint64, error) {
	var lease uint64
	err := p.do(ctx, "grant", func() {
		p.lastLease++
		lease = p.lastLease
		p.setLease(lease, length)
	})
	return lease, err
}

// Renew makes a live lease expire after length from now.
func (p *Platform) Renew(ctx context.Context, lease uint64, length time.Duration) error {
	var missing error
	err := p.do(ctx, "renew", func() {
		if _, ok := p.leases[lease]; !ok {
			missing = &ErrLeaseNotExist{Lease: lease}
			return
		}
		p.setLease(lease, length)
	})
	if err != nil {
		return err
	}
	return missing
}

func (p *Platform) setLease(lease uint64, length time.Duration) {
	p.leases[lease] = p.clock.Now().Add(length)
	// Calls expire leases by themselves; the timer does it for pending watches.
	p.clock.AfterFunc(length, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.expire()
	})
}

// expire drops the leases whose time has passed, and their keys.
func (p *Platform) expire() {
	now := p.clock.Now()
	for lease, until := range p.leases {
		if now.Before(until) {
			continue
		}
		delete(p.leases, lease)
		for key, s := range p.entries {
			if s.lease == lease {
				delete(p.entries, key)
			}
		}
		p.wake()
	}
}
