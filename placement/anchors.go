package placement

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"clementinepier/bundle"
	"clementinepier/job"
)

// Portion is a part of an anchor: a number of tasks on one worker.
type Portion struct {
	// Position is the index of the worker in its rack, ordered by name.
	Position int
	Tasks    int
}

// Anchor is the place of one instance of a guaranteed shape.
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

// plannedRack is a rack of the bundle while anchors are laid out.
type plannedRack struct {
	name  string
	whole amount
	free  []amount
}

// plannedDomain is a failure domain of the bundle while anchors are laid out.
type plannedDomain struct {
	name            string
	racks           []*plannedRack
	total, anchored int
	perOrganisation map[string]int
}

// ComputeAnchors maps every guaranteed instance to a block of workers. An instance whose home domain is in service stays at
// home whatever the other domains do, so a domain that goes out moves only the anchors that it has.
func ComputeAnchors(b *bundle.Bundle, out func(domain string) bool) []Anchor {
	domains := planDomains(b)
	anchors := instances(b)
	displaced := make([]int, 0, len(anchors))
	for i := range anchors {
		// Instances that fit nowhere at home get another try among what the others leave.
		if !settle(&anchors[i], domains, func(string) bool { return false }) || out(anchors[i].FailureDomain) {
			displaced = append(displaced, i)
		}
	}
	for _, i := range displaced {
		a := &anchors[i]
		a.FailureDomain, a.Rack, a.Block = "", "", nil
		settle(a, domains, out)
	}
	return anchors
}

func planDomains(b *bundle.Bundle) []*plannedDomain {
	domains := make([]*plannedDomain, 0, len(b.FailureDomains))
	for _, d := range b.FailureDomains {
		p := &plannedDomain{name: d.Name, perOrganisation: map[string]int{}}
		for _, r := range d.Racks {
			whole := amount{r.Accelerators, r.Slots}
			p.racks = append(p.racks, &plannedRack{r.Name, whole, slices.Repeat([]amount{whole}, r.Workers)})
			p.total += r.Accelerators * r.Workers
		}
		domains = append(domains, p)
	}
	return domains
}

// instances lists the guaranteed instances, the largest shapes first because they are the hardest to place. The first
// instances of all guarantees come before the second ones, so that a shortage is shared.
func instances(b *bundle.Bundle) []Anchor {
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

// settle gives the anchor a block in the domain that has the fewest accelerators of its organisation, then in the
// least anchored domain.
func settle(a *Anchor, domains []*plannedDomain, out func(string) bool) bool {
	var best *plannedDomain
	var rack *plannedRack
	var block []portion
	for _, d := range domains {
		if out(d.name) || (best != nil && !d.before(best, a)) {
			continue
		}
		if r, found := d.rackFor(a.Shape); r != nil {
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

func (d *plannedDomain) before(e *plannedDomain, a *Anchor) bool {
	return cmp.Or(
		cmp.Compare(d.perOrganisation[a.Organisation], e.perOrganisation[a.Organisation]),
		cmp.Compare(d.anchored*max(1, e.total), e.anchored*max(1, d.total)),
		cmp.Compare(e.hash(a), d.hash(a)),
	) < 0
}

func (d *plannedDomain) hash(a *Anchor) uint64 { return a.hash(d.name) }

func (d *plannedDomain) rackFor(s job.Shape) (*plannedRack, []portion) {
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
	spots := make([]WorkerCandidate, 0, len(r.free))
	c := RackCandidate{Rack: r.name, RackLeftover: -s.TotalAccelerators()}
	for i, free := range r.free {
		spots = append(spots, WorkerCandidate{
			Position: i, MaxTasks: free.fits(task), FreeAccelerators: free.accelerators, FreeSlots: free.slots, InUse: free != r.whole,
		})
		c.RackLeftover += free.accelerators
	}
	block := pick(spots, s.Tasks, BestFitWorker, nil)
	for _, p := range block {
		c.Workers++
		left := r.free[p.position].minus(task.times(p.tasks))
		c.WorkersLeftover += left.accelerators
		if r.free[p.position] == r.whole && left.accelerators > 0 {
			c.SplitWorkers++
		}
	}
	return c, block
}

// FitsEmptyRack reports whether some rack of the bundle could run the shape when empty. A request that is not idempotent
// may use no capacity that is anchored for another organisation.
func FitsEmptyRack(b *bundle.Bundle, anchors []Anchor, organisation string, s job.Shape, idempotent bool) bool {
	for _, d := range planDomains(b) {
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
