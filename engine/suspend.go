package engine

import (
	"context"
	"time"
)

// outageEnd is a context that ends when the store answers again after the term was suspended.
type outageEnd struct {
	ctx    context.Context
	cancel context.CancelFunc
}

func newOutageEnd(ctx context.Context) *outageEnd {
	ctx, cancel := context.WithCancel(ctx)
	return &outageEnd{ctx: ctx, cancel: cancel}
}

// suspend stops the planner's orders while it cannot renew its term. Nothing is forgotten: if no other planner is elected
// meanwhile, which a successful renewal shows, planning continues where it stopped. Load pattern: all work of a site waits for
// the first pass after an outage of the store.
func (p *Planner) suspend() {
	if p.suspended || p.Term.Err() != nil {
		return
	}
	p.suspended = true
	p.Log.Event("planner-suspended", "fence", p.Term.Fence(), "jobs", len(p.active), "store-failing", p.storeFailingSince)
}

// renewLeasesEarly extends the leases of all workers with runs while the term still lasts but is not being renewed. A lease is
// otherwise renewed when the poll before has ended, and the runs of a worker would outlast an outage by up to a poll less. Load
// pattern: an outage of the store about as long as the leases.
func (p *Planner) renewLeasesEarly(now time.Time) {
	for _, w := range p.workers {
		if len(w.runs) > 0 && w.failingSince.IsZero() && now.Sub(w.leaseRenewedAt) > p.Term.length/2 {
			w.polling, w.nextPoll = false, now
			p.scheduleContact(w)
		}
	}
}

// resume continues after the term was suspended. Calls that were sent to a store that did not answer are given up.
func (p *Planner) resume() {
	p.suspended = false
	p.Log.Event("planner-resumed", "fence", p.Term.Fence(), "jobs", len(p.active), "commits", len(p.commitsInFlight))
	p.outageEnd.Swap(newOutageEnd(p.ctx)).cancel()
	for _, c := range p.commitsInFlight {
		c.cancel()
	}
	p.planNeeded = true
	for _, w := range p.workers {
		// A poll that was sent without the term extends no lease, and takes up to 2 s.
		w.polling, w.nextPoll = false, p.Clock.Now()
		p.scheduleContact(w)
	}
}
