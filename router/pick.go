package router

import (
	"math/rand/v2"
	"slices"
	"strings"
	"sync"

	"clementinepier/job"
	"clementinepier/placement"
)

// Owner is a rack owner with the capacity of its racks, as reported in its last heartbeat.
type Owner struct {
	VM            string
	FailureDomain string
	Racks         []placement.RackSummary
	// Queued is the number of requests that are queued at this owner.
	Queued int
	// MayStart is false while the owner's configuration view is not fresh, its failure domain is out of service, or the
	// owner is stopping.
	MayStart bool
}

// Owners is a list of rack owners. It is immutable once published.
type Owners struct {
	// List is sorted by VM name.
	List []Owner
}

func (o *Owners) names() []string {
	names := make([]string, 0, len(o.List))
	for _, owner := range o.List {
		names = append(names, owner.VM)
	}
	return names
}

// tier ranks owners by how soon they can start a request; a lower tier starts it sooner.
type tier int

const (
	// tierOwnAnchor means free capacity in a rack where the organisation's guarantee is anchored.
	tierOwnAnchor tier = iota
	// tierFree means a free block that is large enough.
	tierFree
	// tierReclaim means lent capacity that can be reclaimed for the organisation.
	tierReclaim
	// tierWait means that the request would have to wait for capacity.
	tierWait
)

// picker chooses owners by tier and free capacity. It subtracts what it has sent to an owner since the owner's last report,
// so that a burst of requests does not go to one owner entirely.
type picker struct {
	mu     sync.Mutex
	owners *Owners
	// sentSinceReport has, by VM, the accelerators and slots of the requests sent to the owner since its last report.
	sentSinceReport map[string]job.Shape
	// randIntN returns a number from 0 to n-1; nil means rand.IntN. Tests set it to a seeded generator.
	randIntN func(n int) int
}

// pick returns the owner to send the request to, or false when every owner that may start requests is excluded. Within the
// best tier it chooses at random, in proportion to the weights.
func (p *picker) pick(owners *Owners, req job.Request, excluded map[string]bool) (string, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.owners != owners {
		p.replaceOwners(owners)
	}
	best, weights, total := tierWait+1, map[string]int{}, 0
	for _, owner := range owners.List {
		if !owner.MayStart || excluded[owner.VM] || len(owner.Racks) == 0 {
			continue
		}
		t, weight := rankOwner(owner, req, p.sentSinceReport[owner.VM])
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
	intN := p.randIntN
	if intN == nil {
		intN = rand.IntN
	}
	vm := chooseWeighted(owners, weights, intN(total))
	sent := p.sentSinceReport[vm]
	sent.Accelerators += req.Shape.TotalAccelerators()
	sent.Slots += req.Shape.Tasks * req.Shape.Slots
	p.sentSinceReport[vm] = sent
	return vm, true
}

// replaceOwners switches to a newly published list. Lists are published more often than owners report, so what was sent to
// an owner is kept until the owner's report changes. The same backing array of Racks means the same report.
func (p *picker) replaceOwners(owners *Owners) {
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
			sent[owner.VM] = p.sentSinceReport[owner.VM]
		}
	}
	p.owners, p.sentSinceReport = owners, sent
}

// FitsElsewhere reports whether an owner other than the named VM could start the request now.
func (o *Owners) FitsElsewhere(vm string, req job.Request) bool {
	for _, owner := range o.List {
		if owner.VM == vm || !owner.MayStart || len(owner.Racks) == 0 {
			continue
		}
		if t, _ := rankOwner(owner, req, job.Shape{}); t <= tierFree {
			return true
		}
	}
	return false
}

// chooseWeighted returns the owner whose interval contains offset when the weights are laid end to end.
func chooseWeighted(owners *Owners, weights map[string]int, offset int) string {
	for _, owner := range owners.List {
		weight := weights[owner.VM]
		if offset < weight {
			return owner.VM
		}
		offset -= weight
	}
	return ""
}

// rankOwner returns the tier of an owner for a request and the owner's weight within the tier. sent is the capacity of the
// requests sent to the owner since its last report. A request that is not idempotent fits only its own organisation's
// anchors or unanchored capacity, because it does not run on lent capacity.
func rankOwner(owner Owner, req job.Request, sent job.Shape) (tier, int) {
	accelerators, slots := req.Shape.TotalAccelerators(), req.Shape.Tasks*req.Shape.Slots
	best, free := tierWait, 0
	for _, rack := range owner.Racks {
		free += rack.FreeSlots + rack.FreeAccelerators
		anchored := fitsUnusedAnchor(rack, req.Organisation, accelerators, slots)
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
	remaining := free - sent.Accelerators - sent.Slots
	if remaining <= 0 && best < tierReclaim {
		best = tierWait
	}
	if best == tierWait {
		// Owners with short queues are preferred.
		const maxWeight = 1000
		return best, max(1, maxWeight/(1+owner.Queued))
	}
	return best, max(1, remaining)
}

// fitsUnusedAnchor reports whether the organisation's unused anchored capacity in the rack is large enough.
func fitsUnusedAnchor(rack placement.RackSummary, organisation string, accelerators, slots int) bool {
	for _, u := range rack.UnusedAnchors {
		if u.Organisation == organisation {
			return u.Accelerators >= accelerators && u.Slots >= slots
		}
	}
	return false
}

// Sort sorts the list by VM name.
func (o *Owners) Sort() {
	slices.SortFunc(o.List, func(a, b Owner) int { return strings.Compare(a.VM, b.VM) })
}
