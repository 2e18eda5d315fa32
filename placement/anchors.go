package placement

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"clementinepier/bundle"
	"clementinepier/job"
)

// Portion is the part of an anchor on one worker.
type Portion struct {
	// Position is the index of the worker in its rack, ordered by name.
	Position int
	Tasks    int
}

// Anchor is the capacity assigned to one instance of a guaranteed shape.
type Anchor struct {
	Organisation string
	Guarantee    string
	Instance     int
	Shape        job.Shape
	// FailureDomain and Rack are empty when the instance fits nowhere.
	FailureDomain string
	Rack          string
	Block         []Portion
}

// IsPlaced reports whether the anchor has a rack.
func (a Anchor) IsPlaced() bool { return a.Rack != "" }

func (a *Anchor) hash(domain string) uint64 {
	return xxhash.Sum64String(a.Organisation + "\x00" + a.Guarantee + "\x00" + domain)
}

// plannedRack is a rack of the bundle and its capacity that is not anchored yet.
type plannedRack struct {
	name     string
	capacity resources
	free     []resources
}

// plannedDomain is a failure domain of the bundle with the accelerators anchored so far.
type plannedDomain struct {
	name                   string
	racks                  []*plannedRack
	accelerators, anchored int
	perOrganisation        map[string]int
}

// ComputeAnchors assigns every guaranteed instance to a block of workers. The home domain of an instance is the one that it
// gets when all domains are in service. An instance moves only while its home domain is out of service, so evacuating a
// domain moves only the anchors in it.
func ComputeAnchors(b *bundle.Bundle, outOfService func(domain string) bool) []Anchor {
	domains := newPlannedDomains(b)
	anchors := guaranteedInstances(b)
	displaced := make([]int, 0, len(anchors))
	for i := range anchors {
		// Instances that fit in no home domain are retried after the others, in the capacity that is left.
		if !placeAnchor(&anchors[i], domains, func(string) bool { return false }) || outOfService(anchors[i].FailureDomain) {
			displaced = append(displaced, i)
		}
	}
	for _, i := range displaced {
		a := &anchors[i]
		a.FailureDomain, a.Rack, a.Block = "", "", nil
		placeAnchor(a, domains, outOfService)
	}
	return anchors
}

func newPlannedDomains(b *bundle.Bundle) []*plannedDomain {
	domains := make([]*plannedDomain, 0, len(b.FailureDomains))
	for _, d := range b.FailureDomains {
		p := &plannedDomain{name: d.Name, perOrganisation: map[string]int{}}
		for _, r := range d.Racks {
			capacity := resources{r.Accelerators, r.Slots}
			p.racks = append(p.racks, &plannedRack{r.Name, capacity, slices.Repeat([]resources{capacity}, r.Workers)})
			p.accelerators += r.Accelerators * r.Workers
		}
		domains = append(domains, p)
	}
	return domains
}

// guaranteedInstances lists all guaranteed instances, the largest shapes first because they are the hardest to place. For
// shapes of the same size, the first instances of all guarantees come before the second ones, so that a shortage is shared.
func guaranteedInstances(b *bundle.Bundle) []Anchor {
	var anchors []Anchor
	for _, o := range b.Organisations {
		for _, g := range o.Guarantees {
			for i := range g.Count {
				anchors = append(anchors, Anchor{Organisation: o.Name, Guarantee: g.Name, Instance: i, Shape: g.Shape})
			}
		}
	}
	slices.SortStableFunc(anchors, func(a, b Anchor) int {
		return cmp.Or(
			cmp.Compare(b.Shape.TotalAccelerators(), a.Shape.TotalAccelerators()),
			cmp.Compare(b.Shape.Tasks*b.Shape.Slots, a.Shape.Tasks*a.Shape.Slots),
			cmp.Compare(a.Instance, b.Instance),
			cmp.Compare(a.Organisation, b.Organisation),
			cmp.Compare(a.Guarantee, b.Guarantee),
		)
	})
	return anchors
}

// placeAnchor gives the anchor a block in the domain with the fewest accelerators anchored for its organisation, then in the
// domain with the smallest anchored share.
func placeAnchor(a *Anchor, domains []*plannedDomain, outOfService func(string) bool) bool {
	var best *plannedDomain
	var rack *plannedRack
	var block []portion
	for _, d := range domains {
		if outOfService(d.name) || (best != nil && !d.preferredTo(best, a)) {
			continue
		}
		if r, found := d.bestRack(a.Shape); r != nil {
			best, rack, block = d, r, found
		}
	}
	if best == nil {
		return false
	}
	a.FailureDomain, a.Rack = best.name, rack.name
	for _, p := range block {
		a.Block = append(a.Block, Portion{Position: p.position, Tasks: p.tasks})
		rack.free[p.position] = rack.free[p.position].minus(perTask(a.Shape).times(p.tasks))
	}
	slices.SortFunc(a.Block, func(x, y Portion) int { return cmp.Compare(x.Position, y.Position) })
	best.anchored += a.Shape.TotalAccelerators()
	best.perOrganisation[a.Organisation] += a.Shape.TotalAccelerators()
	return true
}

func (d *plannedDomain) preferredTo(other *plannedDomain, a *Anchor) bool {
	return cmp.Or(
		cmp.Compare(d.perOrganisation[a.Organisation], other.perOrganisation[a.Organisation]),
		cmp.Compare(d.anchored*max(1, other.accelerators), other.anchored*max(1, d.accelerators)),
		cmp.Compare(other.hash(a), d.hash(a)),
	) < 0
}

func (d *plannedDomain) hash(a *Anchor) uint64 { return a.hash(d.name) }

func (d *plannedDomain) bestRack(s job.Shape) (*plannedRack, []portion) {
	var rack *plannedRack
	var block []portion
	var best RackCandidate
	for _, r := range d.racks {
		c, p := r.candidate(s)
		if p != nil && (rack == nil || BestFitRack(c, best)) {
			rack, block, best = r, p, c
		}
	}
	return rack, block
}

func (r *plannedRack) candidate(s job.Shape) (RackCandidate, []portion) {
	task := perTask(s)
	candidates := make([]WorkerCandidate, 0, len(r.free))
	c := RackCandidate{Rack: r.name, RackLeftover: -s.TotalAccelerators()}
	for i, free := range r.free {
		candidates = append(candidates, WorkerCandidate{
			Position: i, MaxTasks: free.countFits(task), FreeAccelerators: free.accelerators, FreeSlots: free.slots, InUse: free != r.capacity,
		})
		c.RackLeftover += free.accelerators
	}
	block := pickWorkers(candidates, s.Tasks, BestFitWorker, nil)
	for _, p := range block {
		c.Workers++
		left := r.free[p.position].minus(task.times(p.tasks))
		c.WorkersLeftover += left.accelerators
		if r.free[p.position] == r.capacity && left.accelerators > 0 {
			c.SplitWorkers++
		}
	}
	return c, block
}

// FitsEmptyRack reports whether some rack of the bundle could run the shape when empty. A request that is not idempotent may
// not use capacity that is anchored for another organisation.
func FitsEmptyRack(b *bundle.Bundle, anchors []Anchor, organisation string, s job.Shape, idempotent bool) bool {
	for _, d := range newPlannedDomains(b) {
		for _, r := range d.racks {
			for _, a := range anchors {
				if idempotent || a.Organisation == organisation || a.FailureDomain != d.name || a.Rack != r.name {
					continue
				}
				for _, p := range a.Block {
					r.free[p.Position] = r.free[p.Position].minus(perTask(a.Shape).times(p.Tasks))
				}
			}
			if _, block := r.candidate(s); block != nil {
				return true
			}
		}
	}
	return false
}
