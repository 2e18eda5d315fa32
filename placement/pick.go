package placement

// Spot is a worker that could take tasks of a need.
type Spot struct {
	// Position is the index of the worker in its rack.
	Position int
	// Hosts is how many of the need's tasks the worker could take.
	Hosts int
	// Free is the number of accelerators that are free before placement.
	Free int
	// FreeSlots is the number of slots that are free before placement.
	FreeSlots int
	// Used is true when the worker holds a task already.
	Used bool
	// Foreign is the number of accelerators anchored there for other organisations.
	Foreign int
}

// Candidate is a way to place a need in one rack.
type Candidate struct {
	Rack string
	// Workers is the number of workers used.
	Workers int
	// Harm is the number of accelerators that could serve the largest guaranteed shape before and could not after.
	Harm int
	// Borrowed is true when the tasks would be borrowers.
	Borrowed bool
	// Whole is the number of wholly free workers of the rack before placement.
	Whole int
	// Broken is the number of wholly free workers that would no longer be so and would keep free accelerators.
	Broken int
	// Foreign is the number of accelerators anchored for other organisations on the workers used.
	Foreign int
	// Leftover is the number of accelerators left free on the workers used.
	Leftover int
	// RackFree is the number of accelerators left free in the rack.
	RackFree int
}

// FirstFitSpot prefers the first worker of the rack.
func FirstFitSpot(a, b Spot, _ int) bool { return a.Position < b.Position }

// BestFitSpot prefers one worker for all tasks, workers already in use, few foreign anchors and a tight fit.
func BestFitSpot(a, b Spot, tasks int) bool {
	if x, y := min(a.Hosts, tasks), min(b.Hosts, tasks); x != y {
		return x > y
	}
	if a.Used != b.Used {
		return a.Used
	}
	if a.Foreign != b.Foreign {
		return a.Foreign < b.Foreign
	}
	if a.Free != b.Free {
		return a.Free < b.Free
	}
	if a.FreeSlots != b.FreeSlots {
		return a.FreeSlots < b.FreeSlots
	}
	return a.Position < b.Position
}

// FirstFitRack prefers the rack that comes first.
func FirstFitRack(_, _ Candidate) bool { return false }

// BestFitRack prefers few workers, little harm to what can serve the largest guaranteed shape, the rack that has fewest
// whole free workers, whole free workers kept whole and the fullest rack; only then capacity that needs no borrowing, few
// foreign anchors and a tight fit. Whole workers of a rack with many are worth more than those of a rack with few, which
// are far from a block for a gang.
func BestFitRack(a, b Candidate) bool {
	switch {
	case a.Workers != b.Workers:
		return a.Workers < b.Workers
	case a.Harm != b.Harm:
		return a.Harm < b.Harm
	case a.Whole != b.Whole:
		return a.Whole < b.Whole
	case a.Broken != b.Broken:
		return a.Broken < b.Broken
	case a.RackFree != b.RackFree:
		return a.RackFree < b.RackFree
	case a.Borrowed != b.Borrowed:
		return b.Borrowed
	case a.Foreign != b.Foreign:
		return a.Foreign < b.Foreign
	case a.Leftover != b.Leftover:
		return a.Leftover < b.Leftover
	}
	return a.Rack < b.Rack
}

// portion is a number of tasks on one worker of a rack.
type portion struct{ position, tasks int }

// pick chooses workers for the tasks; it returns nil when the spots cannot host them all. It reorders spots.
func pick(spots []Spot, tasks int, less func(a, b Spot, tasks int) bool, into []portion) []portion {
	total := 0
	for _, s := range spots {
		total += s.Hosts
	}
	if total < tasks {
		return nil
	}
	into = into[:0]
	for tasks > 0 {
		best := -1
		for i := range spots {
			if spots[i].Hosts > 0 && (best < 0 || less(spots[i], spots[best], tasks)) {
				best = i
			}
		}
		n := min(tasks, spots[best].Hosts)
		into = append(into, portion{spots[best].Position, n})
		tasks -= n
		spots[best].Hosts = 0
	}
	return into
}
