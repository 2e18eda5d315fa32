package placement

import (
	"cmp"
	"slices"
	"strings"

	"clementinepier/job"
)

// RackSummary is the state of one rack as reported in heartbeats.
type RackSummary struct {
	Rack             string `json:"rack"`
	FreeAccelerators int    `json:"free-accelerators"`
	// LargestBlock is the number of accelerators on completely free workers, or on the worker with the most free ones if
	// that is more.
	LargestBlock int `json:"largest-block"`
	FreeSlots    int `json:"free-slots"`
	// UnanchoredAccelerators and UnanchoredSlots are the free capacity outside all anchors. Requests that may start only
	// once can use it besides their own anchors.
	UnanchoredAccelerators int `json:"open-accelerators"`
	UnanchoredSlots        int `json:"open-slots"`
	// UnusedAnchors lists the organisations whose anchors in this rack are not fully used, in name order.
	UnusedAnchors []UnusedAnchor `json:"unused"`
	// AnchorUsages lists how anchors in this rack are used, in name order. Organisations that use and lend nothing are left
	// out.
	AnchorUsages []AnchorUsage `json:"shares,omitempty"`
}

// AnchorUsage is how the anchors of one organisation in a rack are used.
type AnchorUsage struct {
	Organisation string `json:"organisation"`
	// UsedAccelerators and UsedSlots are the part of its anchors that the organisation uses itself.
	UsedAccelerators int `json:"used-accelerators,omitempty"`
	UsedSlots        int `json:"used-slots,omitempty"`
	// LentAccelerators and LentSlots are the part of its anchors that tasks of other organisations hold.
	LentAccelerators int `json:"lent-accelerators,omitempty"`
	LentSlots        int `json:"lent-slots,omitempty"`
}

// UnusedAnchor is the capacity in one rack that an organisation may reclaim.
type UnusedAnchor struct {
	Organisation string `json:"organisation"`
	Accelerators int    `json:"accelerators"`
	Slots        int    `json:"slots"`
}

// Summaries returns a summary of every rack in name order. Workers that take no new tasks contribute no free capacity.
func (c *Cluster) Summaries() []RackSummary {
	summaries := make([]RackSummary, 0, len(c.rackNames))
	for _, name := range c.rackNames {
		s := RackSummary{Rack: name}
		idle, freest := 0, 0
		for _, w := range c.racks[name].workers {
			s.addAnchorUsages(w)
			if !w.usable() {
				continue
			}
			free := maxResources(resources{}, w.free())
			s.FreeAccelerators += free.accelerators
			s.FreeSlots += free.slots
			unanchored := minResources(free, maxResources(resources{}, w.capacity.minus(w.committed)))
			s.UnanchoredAccelerators += unanchored.accelerators
			s.UnanchoredSlots += unanchored.slots
			freest = max(freest, free.accelerators)
			if free == w.capacity {
				idle += free.accelerators
			}
			for _, sh := range w.shares {
				s.addUnused(sh.organisation, maxResources(resources{}, sh.anchored.minus(sh.used)))
			}
		}
		s.LargestBlock = max(idle, freest)
		slices.SortFunc(s.UnusedAnchors, func(a, b UnusedAnchor) int { return strings.Compare(a.Organisation, b.Organisation) })
		summaries = append(summaries, s)
	}
	return summaries
}

// addAnchorUsages adds how the anchors on one worker are used. Free capacity is attributed to unused anchors in the order of
// the shares; anchored capacity that it does not cover is lent.
func (s *RackSummary) addAnchorUsages(w *workerState) {
	free := maxResources(resources{}, w.capacity.minus(w.held))
	for _, sh := range w.shares {
		unused := maxResources(resources{}, sh.anchored.minus(sh.used))
		used, lent := sh.anchored.minus(unused), maxResources(resources{}, unused.minus(free))
		free = maxResources(resources{}, free.minus(unused))
		if used == (resources{}) && lent == (resources{}) {
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

// ExpectedAccelerators returns the accelerators that an organisation can expect in the model's racks: the free ones and its
// unused anchors. Workers that take no new tasks contribute nothing.
func (c *Cluster) ExpectedAccelerators(organisation string) int {
	expected := 0
	for _, name := range c.rackNames {
		for _, w := range c.racks[name].workers {
			if !w.usable() {
				continue
			}
			share := w.share(organisation)
			expected += max(0, w.free().accelerators) + max(0, share.anchored.minus(share.used).accelerators)
		}
	}
	return expected
}

func (s *RackSummary) addUnused(organisation string, a resources) {
	if a == (resources{}) {
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
	var largest job.Shape
	for _, a := range anchors {
		if cmp.Or(cmp.Compare(a.Shape.TotalAccelerators(), largest.TotalAccelerators()),
			cmp.Compare(a.Shape.Accelerators, largest.Accelerators)) > 0 {
			largest = a.Shape
		}
	}
	return largest
}

// Fragmentation returns the share of free accelerators that cannot serve the shape: those in racks that could not run one
// instance, and those on workers with too few left for one of its tasks.
func (c *Cluster) Fragmentation(s job.Shape) float64 {
	free, serving := 0, 0
	task := perTask(s)
	for _, name := range c.rackNames {
		tasks := 0
		for _, w := range c.racks[name].workers {
			if w.usable() {
				room := maxResources(resources{}, w.free())
				free += room.accelerators
				tasks += room.countFits(task)
			}
		}
		if tasks >= s.Tasks {
			serving += tasks * s.Accelerators
		}
	}
	if free == 0 {
		return 0
	}
	return 1 - float64(serving)/float64(free)
}
