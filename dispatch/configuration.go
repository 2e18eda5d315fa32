package dispatch

import (
	"clementinepier/board"
	"clementinepier/placement"
	"clementinepier/queue"
)

// SetConfiguration updates the anchors and the weights from the view. Only the control goroutine calls it.
func (d *Dispatcher) SetConfiguration(s *board.State) {
	b := s.View.Bundle()
	if b == nil {
		return
	}
	d.anchors = placement.ComputeAnchors(b, s.View.IsOutOfService)
	s.Cluster.SetAnchors(d.anchors)
	d.guaranteedAccelerators, d.weights = map[string]int{}, map[string]int{}
	for _, a := range d.anchors {
		if s.OwnedRacks[a.Rack] {
			d.guaranteedAccelerators[a.Organisation] += a.Shape.TotalAccelerators()
		}
	}
	for _, o := range b.Organisations {
		d.weights[o.Name] = o.Weight
	}
}

// fitsAnyRack reports whether the bundle has a rack that could run the request when empty.
func (d *Dispatcher) fitsAnyRack(s *board.State, r *run) bool {
	return placement.FitsEmptyRack(s.View.Bundle(), d.anchors, r.request.Organisation, r.request.Shape, r.request.Idempotent)
}

// usage returns the accelerators that an organisation uses on this VM's racks, those that its anchors guarantee it there,
// and its weight.
func (d *Dispatcher) usage(organisation string) queue.Usage {
	return queue.Usage{
		Running: d.usedAccelerators[organisation], Guaranteed: d.guaranteedAccelerators[organisation], Weight: d.weights[organisation],
	}
}

// expectedAccelerators returns the number of accelerators that an organisation can expect on this VM's racks, including
// those that it uses.
func (d *Dispatcher) expectedAccelerators(s *board.State, organisation string) int {
	return s.Cluster.ExpectedAccelerators(organisation) + d.usedAccelerators[organisation]
}
