package dispatch

import (
	"clementinepier/board"
	"clementinepier/placement"
	"clementinepier/queue"
)

// SetConfiguration brings the anchors and the weights in line with the view. It is called by the control goroutine.
func (d *Dispatcher) SetConfiguration(s *board.State) {
	b := s.View.Bundle()
	if b == nil {
		return
	}
	d.anchors = placement.ComputeAnchors(b, s.View.IsOutOfService)
	s.Cluster.SetAnchors(d.anchors)
	d.guaranteed, d.weights = map[string]int{}, map[string]int{}
	for _, a := range d.anchors {
		if s.OwnedRacks[a.Rack] {
			d.guaranteed[a.Organisation] += a.Shape.TotalAccelerators()
		}
	}
	for _, o := range b.Organisations {
		d.weights[o.Name] = o.Weight
	}
}

// everFitsElsewhere reports whether the bundle has a rack that could run the request.
func (d *Dispatcher) everFitsElsewhere(s *board.State, r *run) bool {
	return placement.FitsEmptyRack(s.View.Bundle(), d.anchors, r.request.Organisation, r.request.Shape, r.request.Idempotent)
}

// usage returns what an organisation runs here and what its anchors guarantee it here.
func (d *Dispatcher) usage(organisation string) queue.Usage {
	return queue.Usage{
		Running: d.running[organisation], Guaranteed: d.guaranteed[organisation], Weight: d.weights[organisation],
	}
}

// share is the number of accelerators that an organisation can expect here, with those that it uses.
func (d *Dispatcher) share(s *board.State, organisation string) int {
	return s.Cluster.ExpectedAccelerators(organisation) + d.running[organisation]
}
