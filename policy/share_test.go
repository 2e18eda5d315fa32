package policy_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"clementinepier/policy"
	"clementinepier/workload"
)

// Guards against an organisation that gets most of the room when all is full because it sends most of the work, or with the earliest deadlines:
// room goes by weight.
func TestRoomGoesByWeight(t *testing.T) {
	is := is.New(t)
	var units []*policy.Unit
	for i := range 30 {
		greedy := unit(fmt.Sprintf("a%02d", i), 1, 1, 1)
		greedy.Deadline = at(4 * time.Second)
		units = append(units, ownedBy("a", greedy)...)
		units = append(units, ownedBy("b", unit(fmt.Sprintf("b%02d", i), 1, 1, 1))...)
	}
	workers := emptyWorkers(1)
	capacity := workers[0].Capacity
	policy.SetShares(start, units, nil, map[string]float64{"a": 1, "b": 3}, capacity)
	started := map[string]int{}
	for _, p := range plan(start, workers, units...).Placements {
		started[p.Unit.Job.Organisation]++
	}
	is.Equal(started, map[string]int{"a": 2, "b": 6})

	// What is at work counts, also in another resource than the one that is short.
	for _, used := range []workload.Resources{{Accelerators: 6}, {MilliCPU: 24_000}} {
		policy.SetShares(start, units, map[string]workload.Resources{"b": used}, map[string]float64{"a": 1, "b": 1}, capacity)
		started = map[string]int{}
		for _, p := range plan(start, emptyWorkers(1), units...).Placements[:6] {
			started[p.Unit.Job.Organisation]++
		}
		is.Equal(started["b"], 0)
	}
}

// Guards against work beyond an organisation's weight that starts before the work of others within theirs, and against shares that come before
// what is more important: guarantees, priorities, and whether the job can still be in time.
func TestShareComesAfterPriority(t *testing.T) {
	is := is.New(t)
	first := func(a, b *policy.Unit) *policy.Unit {
		units := []*policy.Unit{a, b}
		policy.Order(at(3*time.Second), units)
		return units[0]
	}
	rich, poor := unit("a", 1, 1, 1), unit("b", 1, 1, 1)
	rich.Share, poor.Share = 0.5, 0.1
	rich.Deadline = at(6 * time.Second)
	poor.Deadline = at(7 * time.Second)
	is.Equal(first(rich, poor), poor)
	poor.BeyondWeight = true
	is.Equal(first(rich, poor), rich)
	poor.BeyondWeight = false
	rich.Job.Priority = 0
	is.Equal(first(rich, poor), rich)
	rich.Job.Priority = 1
	poor.Deadline = at(2 * time.Second) // It is late.
	is.Equal(first(rich, poor), rich)
	rich.Guaranteed, poor.Guaranteed = true, true
	rich.Deadline, poor.Deadline = at(4*time.Second), at(5*time.Second)
	is.Equal(first(rich, poor), rich)
}

// Guards against a token bucket that counts jobs within the weight as beyond it, or forgets nothing after a pause.
func TestRateAllowance(t *testing.T) {
	is := is.New(t)
	var r policy.RateAllowance
	for range 10 {
		is.True(r.Take(start, 2)) // A burst of 5 s.
	}
	is.True(!r.Take(start, 2))
	is.True(!r.Take(at(-time.Second), 2)) // The clock of another entry VM is behind.
	is.True(!r.Take(at(400*time.Millisecond), 2))
	is.True(r.Take(at(500*time.Millisecond), 2))
	is.True(!r.Take(at(500*time.Millisecond), 2))
	for range 10 {
		is.True(r.Take(at(time.Hour), 2))
	}
	is.True(!r.Take(at(time.Hour), 2))
	var slow policy.RateAllowance
	is.True(slow.Take(start, 0.1)) // One job is within any weight.
	is.True(!slow.Take(at(time.Second), 0.1))
}
