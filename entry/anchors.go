package entry

import (
	"sync/atomic"

	"clementinepier/config"
	"clementinepier/job"
	"clementinepier/placement"
)

// anchorCache caches the anchors of the view that was used last.
type anchorCache struct {
	last atomic.Pointer[cachedAnchors]
}

type cachedAnchors struct {
	view    *config.View
	anchors []placement.Anchor
}

// forView returns the anchors of the view, computing them only if the view has changed since the last call.
func (c *anchorCache) forView(view *config.View) []placement.Anchor {
	if last := c.last.Load(); last != nil && last.view == view {
		return last.anchors
	}
	next := &cachedAnchors{view: view, anchors: placement.ComputeAnchors(view.Bundle(), view.IsOutOfService)}
	c.last.Store(next)
	return next.anchors
}

// fitsEmptyRack reports whether some rack of the bundle could run the request if it were empty.
func (v *VM) fitsEmptyRack(req job.Request) bool {
	view := v.view.Load()
	return placement.FitsEmptyRack(view.Bundle(), v.anchors.forView(view), req.Organisation, req.Shape, req.Idempotent)
}
