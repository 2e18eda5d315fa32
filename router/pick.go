package router

import (
	"math/rand/v2"
	"slices"
	"strings"
	"sync"

	"clementinepier/job"
	"clementinepier/placement"
)

// Owner is one rack owner and what its racks offer, as it said in its last heartbeat.
type Owner struct {
	VM            string
	FailureDomain string
	Racks         []placement.RackSummary
	// Queued is the number of requests that wait there.
	Queued int
	// MayStart is false while the owner's configuration view is not fresh, its failure domain is out of service, or the
	// owner is stopping.
	MayStart bool
}

// Owners is an immutable list of rack owners.
type Owners struct {
	// List is in the order of the VM names.
	List []Owner
}

func (o *Owners) names() []string {
	names := make([]string, 0, len(o.List))
	for _, owner := range o.List {
		names = append(names, owner.VM)
	}
	return names
}

// tier orders owners by how soon they can start a request; lower is sooner.
type tier int

const (
	// tierOwnAnchor owners have free capacity in a rack where the organisation's guarantee is anchored.
	tierOwnAnchor tier = iota
	// tierFree owners have a free block that is large enough.
	tierFree
	// tierReclaim owners can reclaim lent capacity for the organisation.
	tierReclaim
	// tierWait owners may be able to run the request later.
	tierWait
)

// picker chooses owners and remembers what it has sent since the owners last spoke, so that a burst is not sent to
// one owner as a whole.
type picker struct {
	mu     sync.Mutex
	owners *Owners
	// sent has the accelerators and slots sent to each owner since its last report.
	sent map[string]job.Shape
	// draw returns a number below n; nil means a random one.
	draw func(n int) int
}

// pick returns the owner to ask, or false when every usable owner is excluded.
func (p *picker) pick(owners *Owners, req job.Request, excluded map[string]bool) (string, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.owners != owners {
		p.replace(owners)
	}
	best, weights, total := tierWait+1, map[string]int{}, 0
	for _, owner := range owners.List {
		if !owner.MayStart || excluded[owner.VM] || len(owner.Racks) == 0 {
			continue
		}
		t, weight := rate(owner, req, p.sent[owner.VM])
		if t < best {
			best, weights, total = t, map[string]int{}, 0
		}
		if t == best {
			weights[owner.VM], total = weight, total+weight
		}
	}
	if total == 0 {
		return "", false
	}
	draw := p.draw
	if draw == nil {
		draw = rand.IntN
	}
	vm := choose(owners, weights, draw(total))
	sent := p.sent[vm]
	sent.Accelerators += req.Shape.TotalAccelerators()
	sent.Slots += req.Shape.Tasks * req.Shape.Slots
	p.sent[vm] = sent
	return vm, true
}

// replace takes a new list. What was sent to an owner counts until the owner reports again; the list is published more
// often than that.
func (p *picker) replace(owners *Owners) {
	reports := map[string][]placement.RackSummary{}
	if p.owners != nil {
		for _, owner := range p.owners.List {
			reports[owner.VM] = owner.Racks
		}
	}
	sent := map[string]job.Shape{}
	for _, owner := range owners.List {
		last := reports[owner.VM]
		if len(owner.Racks) > 0 && len(last) > 0 && &owner.Racks[0] == &last[0] {
			sent[owner.VM] = p.sent[owner.VM]
		}
	}
	p.owners, p.sent = owners, sent
}

// FitsElsewhere reports whether an owner other than the named VM could start the request now.
func (o *Owners) FitsElsewhere(vm string, req job.Request) bool {
	for _, owner := range o.List {
		if owner.VM == vm || !owner.MayStart || len(owner.Racks) == 0 {
			continue
		}
		if t, _ := rate(owner, req, job.Shape{}); t <= tierFree {
			return true
		}
	}
	return false
}

// choose returns the owner whose share of the weights contains at.
func choose(owners *Owners, weights map[string]int, at int) string {
	for _, owner := range owners.List {
		weight := weights[owner.VM]
		if at < weight {
			return owner.VM
		}
		at -= weight
	}
	return ""
}

// rate returns the tier of an owner for a request and its weight within the tier.
func rate(owner Owner, req job.Request, sent job.Shape) (tier, int) {
	accelerators, slots := req.Shape.TotalAccelerators(), req.Shape.Tasks*req.Shape.Slots
	best, free := tierWait, 0
	for _, rack := range owner.Racks {
		free += rack.FreeSlots + rack.FreeAccelerators
		anchored := unused(rack, req.Organisation, accelerators, slots)
		fits := rack.LargestBlock >= accelerators && rack.FreeSlots >= slots
		if !req.Idempotent {
			fits = fits && (anchored || rack.UnanchoredAccelerators >= accelerators && rack.UnanchoredSlots >= slots)
		}
		switch {
		case fits && anchored:
			best = tierOwnAnchor
		case fits:
			best = min(best, tierFree)
		case anchored:
			best = min(best, tierReclaim)
		}
	}
	left := free - sent.Accelerators - sent.Slots
	if left <= 0 && best < tierReclaim {
		best = tierWait
	}
	if best == tierWait {
		// Owners with short queues are asked first.
		const most = 1000
		return best, max(1, most/(1+owner.Queued))
	}
	return best, max(1, left)
}

// unused reports whether the organisation has enough anchored capacity left in the rack.
func unused(rack placement.RackSummary, organisation string, accelerators, slots int) bool {
	for _, u := range rack.UnusedAnchors {
		if u.Organisation == organisation {
			return u.Accelerators >= accelerators && u.Slots >= slots
		}
	}
	return false
}

// Sort brings the list into the order of the VM names.
func (o *Owners) Sort() {
	slices.SortFunc(o.List, func(a, b Owner) int { return strings.Compare(a.VM, b.VM) })
}
