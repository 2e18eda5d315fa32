package placement

import (
	"cmp"
	"slices"
	"strings"

	"clementinepier/job"
)

// RackSummary is what heartbeats say about one rack.
type RackSummary struct {
	Rack             string `json:"rack"`
	FreeAccelerators int    `json:"free-accelerators"`
	// LargestBlock is the number of accelerators on wholly free workers, or on the freest worker if that is more.
	LargestBlock int `json:"largest-block"`
	FreeSlots    int `json:"free-slots"`
	// UnanchoredAccelerators and OpenSlots are the part of what is free that lies under no anchor, which requests that may
	// start only once can use besides their own anchors.
	UnanchoredAccelerators int `json:"open-accelerators"`
	UnanchoredSlots        int `json:"open-slots"`
	// UnusedAnchors has the organisations whose anchors in this rack are not fully used, in name order.
	UnusedAnchors []UnusedAnchor `json:"unused"`
	// AnchorUsages tells how anchors in this rack are used, in name order; organisations with nothing to tell are left out.
	AnchorUsages []AnchorUsage `json:"shares,omitempty"`
}

// AnchorUsage is an organisation's part of a rack.
type AnchorUsage struct {
	Organisation string `json:"organisation"`
	// UsedAccelerators and UsedSlots are the part of its anchors that the organisation uses itself.
	UsedAccelerators int `json:"used-accelerators,omitempty"`
	UsedSlots        int `json:"used-slots,omitempty"`
	// LentAccelerators and LentSlots are the part of its anchors that tasks of others hold.
	LentAccelerators int `json:"lent-accelerators,omitempty"`
	LentSlots        int `json:"lent-slots,omitempty"`
}

// UnusedAnchor is capacity that an organisation may reclaim in one rack.
type UnusedAnchor struct {
	Organisation string `json:"organisation"`
	Accelerators int    `json:"accelerators"`
	Slots        int    `json:"slots"`
}

// Summaries returns a summary of every rack in name order. Workers that take no new tasks offer nothing.
func (c *Cluster) Summaries() []RackSummary {
	summaries := make([]RackSummary, 0, len(c.names))
	for _, name := range c.names {
		s := RackSummary{Rack: name}
		whole, most := 0, 0
		for _, w := range c.racks[name].nodes {
			s.addShares(w)
			if !w.usable() {
				continue
			}
			free := largest(amount{}, w.free())
			s.FreeAccelerators += free.accelerators
			s.FreeSlots += free.slots
			open := smallest(free, largest(amount{}, w.capacity.minus(w.covered)))
			s.UnanchoredAccelerators += open.accelerators
			s.UnanchoredSlots += open.slots
			most = max(most, free.accelerators)
			if free == w.capacity {
				whole += free.accelerators
			}
			for _, sh := range w.shares {
				s.addUnused(sh.organisation, largest(amount{}, sh.anchored.minus(sh.used)))
			}
		}
		s.LargestBlock = max(whole, most)
		slices.SortFunc(s.UnusedAnchors, func(a, b UnusedAnchor) int { return strings.Compare(a.Organisation, b.Organisation) })
		summaries = append(summaries, s)
	}
	return summaries
}

// addShares adds how the anchors on one worker are used. Free capacity counts for the anchors in the order of the
// shares; what it does not cover is lent.
func (s *RackSummary) addShares(w *node) {
	free := largest(amount{}, w.capacity.minus(w.held))
	for _, sh := range w.shares {
		unused := largest(amount{}, sh.anchored.minus(sh.used))
		used, lent := sh.anchored.minus(unused), largest(amount{}, unused.minus(free))
		free = largest(amount{}, free.minus(unused))
		if used == (amount{}) && lent == (amount{}) {
			continue
		}
		i, found := slices.BinarySearchFunc(s.AnchorUsages, sh.organisation, func(x AnchorUsage, name string) int {
			return strings.Compare(x.Organisation, name)
		})
		if !found {
			s.AnchorUsages = slices.Insert(s.AnchorUsages, i, AnchorUsage{Organisation: sh.organisation})
		}
		s.AnchorUsages[i].UsedAccelerators += used.accelerators
		s.AnchorUsages[i].UsedSlots += used.slots
		s.AnchorUsages[i].LentAccelerators += lent.accelerators
		s.AnchorUsages[i].LentSlots += lent.slots
	}
}

// ExpectedAccelerators returns the accelerators that an organisation can expect in the model's racks: what is free, and what it does
// not use of its anchors. Workers that take no new tasks offer nothing.
func (c *Cluster) ExpectedAccelerators(organisation string) int {
	expected := 0
	for _, name := range c.names {
		for _, w := range c.racks[name].nodes {
			if !w.usable() {
				continue
			}
			share := w.share(organisation)
			expected += max(0, w.free().accelerators) + max(0, share.anchored.minus(share.used).accelerators)
		}
	}
	return expected
}

func (s *RackSummary) addUnused(organisation string, a amount) {
	if a == (amount{}) {
		return
	}
	i := slices.IndexFunc(s.UnusedAnchors, func(u UnusedAnchor) bool { return u.Organisation == organisation })
	if i < 0 {
		i = len(s.UnusedAnchors)
		s.UnusedAnchors = append(s.UnusedAnchors, UnusedAnchor{Organisation: organisation})
	}
	s.UnusedAnchors[i].Accelerators += a.accelerators
	s.UnusedAnchors[i].Slots += a.slots
}

// LargestGuaranteedShape returns the guaranteed shape with the most accelerators.
func LargestGuaranteedShape(anchors []Anchor) job.Shape {
	var most job.Shape
	for _, a := range anchors {
		if cmp.Or(cmp.Compare(a.Shape.TotalAccelerators(), most.TotalAccelerators()),
			cmp.Compare(a.Shape.Accelerators, most.Accelerators)) > 0 {
			most = a.Shape
		}
	}
	return most
}

// Fragmentation returns the share of free accelerators that cannot serve the shape: those of racks that could not host
// one instance, and those on workers with too few left for one of its tasks.
func (c *Cluster) Fragmentation(s job.Shape) float64 {
	free, serving := 0, 0
	task := perTask(s)
	for _, name := range c.names {
		hosts := 0
		for _, w := range c.racks[name].nodes {
			if w.usable() {
				room := largest(amount{}, w.free())
				free += room.accelerators
				hosts += room.fits(task)
			}
		}
		if hosts >= s.Tasks {
			serving += hosts * s.Accelerators
		}
	}
	if free == 0 {
		return 0
	}
	return 1 - float64(serving)/float64(free)
}
