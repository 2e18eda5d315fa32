package entry

import (
	"sync/atomic"

	"clementinepier/config"
	"clementinepier/job"
	"clementinepier/placement"
)

// anchorCache has the anchors of the view that they were computed from.
type anchorCache struct {
	last atomic.Pointer[cachedAnchors]
}

type cachedAnchors struct {
	view    *config.View
	anchors []placement.Anchor
}

// of returns the anchors of a view.
func (c *anchorCache) of(view *config.View) []placement.Anchor {
	if last := c.last.Load(); last != nil && last.view == view {
		return last.anchors
	}
	next := &cachedAnchors{view: view, anchors: placement.ComputeAnchors(view.Bundle(), view.IsOutOfService)}
	c.last.Store(next)
	return next.anchors
}

// everFits reports whether some rack of the bundle could run the request when empty.
func (v *VM) everFits(req job.Request) bool {
	view := v.view.Load()
	return placement.FitsEmptyRack(view.Bundle(), v.anchors.of(view), req.Organisation, req.Shape, req.Idempotent)
}
