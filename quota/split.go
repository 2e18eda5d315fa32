// Package quota splits service limits over the entry VMs by demand, without a shared counter. Every VM reports its demand in
// heartbeats and computes the same split from the same reports. The package does no I/O; callers serialise access.
package quota

import (
	"cmp"
	"slices"
)

// Demand is the demand of one VM for one limit.
type Demand struct {
	// Rate is in requests per second.
	Rate float64 `json:"rate"`
	// Running and Waiting are numbers of requests.
	Running int `json:"running"`
	Waiting int `json:"waiting"`
}

// Share is the part of a limit that one VM may use. A negative value means unlimited.
type Share struct {
	Rate    float64
	Running int
}

// split divides a limit by the demands of all VMs, which are in name order. The shares add up to at most the limit.
func split(limit Limit, demands []Demand) []Share {
	n := len(demands)
	shares := make([]Share, n)
	rates, running, waiting := make([]float64, n), make([]int, n), make([]int, n)
	for i, d := range demands {
		rates[i], running[i], waiting[i] = max(d.Rate, 0), max(d.Running, 0), max(d.Waiting, 0)
	}
	granted := maxMinFair(limit.RequestsPerSecond, rates)
	left := limit.RequestsPerSecond
	for _, g := range granted {
		left -= g
	}
	// Running requests cannot be moved to another VM, so they are covered before waiting ones.
	kept, rest := maxMinFairInts(limit.Running, running)
	added, rest := maxMinFairInts(rest, waiting)
	spare := divideEvenly(rest, n)
	for i := range shares {
		shares[i] = Share{Rate: granted[i] + max(left, 0)/float64(n), Running: kept[i] + added[i] + spare[i]}
		if limit.RequestsPerSecond <= 0 {
			shares[i].Rate = -1
		}
		if limit.Running <= 0 {
			shares[i].Running = -1
		}
	}
	return shares
}

// maxMinFair divides total by max-min fairness: demands below the fair part are met in full, all others get the fair part.
func maxMinFair(total float64, demands []float64) []float64 {
	granted := make([]float64, len(demands))
	for n, i := range ascendingOrder(demands) {
		granted[i] = min(demands[i], total/float64(len(demands)-n))
		total -= granted[i]
	}
	return granted
}

// maxMinFairInts is maxMinFair for whole numbers; it also returns what is left.
func maxMinFairInts(total int, demands []int) (granted []int, left int) {
	granted = make([]int, len(demands))
	total = max(total, 0)
	for n, i := range ascendingOrder(demands) {
		granted[i] = min(demands[i], total/(len(demands)-n))
		total -= granted[i]
	}
	for i := range demands {
		if total > 0 && granted[i] < demands[i] {
			granted[i]++
			total--
		}
	}
	return granted, total
}

// divideEvenly divides a whole number into n parts; the first ones get the remainder.
func divideEvenly(total, n int) []int {
	parts := make([]int, n)
	for i := range parts {
		parts[i] = total / n
		if i < total%n {
			parts[i]++
		}
	}
	return parts
}

// ascendingOrder returns the indices ordered by value, then by index.
func ascendingOrder[T cmp.Ordered](values []T) []int {
	order := make([]int, len(values))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(values[a], values[b]) })
	return order
}
