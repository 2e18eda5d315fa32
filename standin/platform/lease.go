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

// GrantLease returns a new lease that expires after duration unless it is renewed.
func (p *Platform) GrantLease(ctx context.Context, duration time.Duration) (uint64, error) {
	var lease uint64
	err := p.runLocked(ctx, "grant", func() {
		p.lastLease++
		lease = p.lastLease
		p.setLeaseExpiry(lease, duration)
	})
	return lease, err
}

// RenewLease makes an unexpired lease expire duration from now.
func (p *Platform) RenewLease(ctx context.Context, lease uint64, duration time.Duration) error {
	var missing error
	err := p.runLocked(ctx, "renew", func() {
		if _, ok := p.leases[lease]; !ok {
			missing = &ErrLeaseNotExist{Lease: lease}
			return
		}
		p.setLeaseExpiry(lease, duration)
	})
	if err != nil {
		return err
	}
	return missing
}

func (p *Platform) setLeaseExpiry(lease uint64, duration time.Duration) {
	p.leases[lease] = p.clock.Now().Add(duration)
	// Every call removes expired leases first; the timer does so for watches that are already waiting.
	p.clock.AfterFunc(duration, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.expireLeases()
	})
}

// expireLeases removes expired leases and their keys. The caller holds p.mu.
func (p *Platform) expireLeases() {
	now := p.clock.Now()
	for lease, expiry := range p.leases {
		if now.Before(expiry) {
			continue
		}
		delete(p.leases, lease)
		for key, stored := range p.entries {
			if stored.lease == lease {
				delete(p.entries, key)
			}
		}
		p.wakeWatches()
	}
}
