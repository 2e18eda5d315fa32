// Package quota splits service limits over the entry VMs by demand, without a shared counter.
//
// Every VM reports its demand in heartbeats and computes the same split from the same reports. The package is pure;
// callers serialise access.
package quota

import (
	"cmp"
	"slices"
)

// Demand is what one VM needs of one limit.
type Demand struct {
	// Rate is in requests a second.
	Rate float64 `json:"rate"`
	// Running and Waiting are numbers of requests.
	Running int `json:"running"`
	Waiting int `json:"waiting"`
}

// Share is the part of a limit that one VM may use. A negative value means that there is no limit.
type Share struct {
	Rate    float64
	Running int
}

// split divides a limit by the demands of all VMs, in name order. The shares add up to at most the limit.
func split(limit Limit, demands []Demand) []Share {
	n := len(demands)
	shares := make([]Share, n)
	rates, running, waiting := make([]float64, n), make([]int, n), make([]int, n)
	for i, d := range demands {
		rates[i], running[i], waiting[i] = max(d.Rate, 0), max(d.Running, 0), max(d.Waiting, 0)
	}
	given := fill(limit.RequestsPerSecond, rates)
	left := limit.RequestsPerSecond
	for _, g := range given {
		left -= g
	}
	// Requests that run cannot be moved, so they count before those that wait.
	kept, rest := fillWhole(limit.Running, running)
	added, rest := fillWhole(rest, waiting)
	spare := spread(rest, n)
	for i := range shares {
		shares[i] = Share{Rate: given[i] + max(left, 0)/float64(n), Running: kept[i] + added[i] + spare[i]}
		if limit.RequestsPerSecond <= 0 {
			shares[i].Rate = -1
		}
		if limit.Running <= 0 {
			shares[i].Running = -1
		}
	}
	return shares
}

// fill gives each want in full if it is below the fair part, and the fair part otherwise.
func fill(total float64, wants []float64) []float64 {
	given := make([]float64, len(wants))
	for n, i := range ascending(wants) {
		given[i] = min(wants[i], total/float64(len(wants)-n))
		total -= given[i]
	}
	return given
}

// fillWhole is fill for whole numbers; it also returns what is left.
func fillWhole(total int, wants []int) (given []int, left int) {
	given = make([]int, len(wants))
	total = max(total, 0)
	for n, i := range ascending(wants) {
		given[i] = min(wants[i], total/(len(wants)-n))
		total -= given[i]
	}
	for i := range wants {
		if total > 0 && given[i] < wants[i] {
			given[i]++
			total--
		}
	}
	return given, total
}

// spread divides a whole number evenly; the first ones get the remainder.
func spread(total, n int) []int {
	parts := make([]int, n)
	for i := range parts {
		parts[i] = total / n
		if i < total%n {
			parts[i]++
		}
	}
	return parts
}

// ascending returns the indices in the order of the values, then of the indices.
func ascending[T cmp.Ordered](values []T) []int {
	order := make([]int, len(values))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(values[a], values[b]) })
	return order
}
