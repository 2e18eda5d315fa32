package placement_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"clementinepier/job"
	"clementinepier/placement"
	"clementinepier/worker"
)

// Guards against a free guarantee reported as lent, or a lent one reported as free.
func TestAnchorUsagesReportLentCapacity(t *testing.T) {
	is := is.New(t)
	c := placement.New(placement.Options{})
	c.SetWorker(worker.Info{Name: "w1", Rack: "r", Accelerators: 8, Slots: 8})
	c.SetAvailable("w1", true)
	c.SetAnchors([]placement.Anchor{{
		Organisation: "a", Guarantee: "g", Shape: job.Shape{Tasks: 1, Accelerators: 4, Slots: 2}, FailureDomain: "d", Rack: "r",
		Block: []placement.Portion{{Position: 0, Tasks: 1}},
	}})
	is.Equal(len(c.Summaries()[0].AnchorUsages), 0)
	hold := func(organisation string, accelerators int, borrowed bool) {
		c.RecordAllocation(placement.Allocation{
			Task: job.TaskID{Organisation: organisation, RequestID: "r", Attempt: 1}, Worker: "w1", Accelerators: accelerators,
			Slots: 1, Idempotent: true, Borrowed: borrowed, StartedAt: time.Unix(0, 0),
		})
	}
	hold("b", 4, false)
	is.Equal(len(c.Summaries()[0].AnchorUsages), 0) // the free accelerators cover the anchor
	hold("a", 1, false)
	hold("c", 2, true)
	is.Equal(c.Summaries()[0].AnchorUsages, []placement.AnchorUsage{{Organisation: "a", UsedAccelerators: 1, UsedSlots: 1, LentAccelerators: 2}})
}
