package placement

// WorkerCandidate is a worker that could take tasks of a need.
type WorkerCandidate struct {
	// Position is the index of the worker in its rack.
	Position int
	// MaxTasks is how many of the need's tasks the worker could take.
	MaxTasks int
	// FreeAccelerators is the number of accelerators that are free before placement.
	FreeAccelerators int
	// FreeSlots is the number of slots that are free before placement.
	FreeSlots int
	// InUse is true when the worker holds a task already.
	InUse bool
	// AnchoredForOthers is the number of accelerators anchored there for other organisations.
	AnchoredForOthers int
}

// RackCandidate is a way to place a need in one rack.
type RackCandidate struct {
	Rack string
	// Workers is the number of workers used.
	Workers int
	// Stranded is the number of accelerators that could serve the largest guaranteed shape before and could not after.
	Stranded int
	// Borrowed is true when the tasks would be borrowers.
	Borrowed bool
	// IdleWorkers is the number of wholly free workers of the rack before placement.
	IdleWorkers int
	// SplitWorkers is the number of wholly free workers that would no longer be so and would keep free accelerators.
	SplitWorkers int
	// AnchoredForOthers is the number of accelerators anchored for other organisations on the workers used.
	AnchoredForOthers int
	// WorkersLeftover is the number of accelerators left free on the workers used.
	WorkersLeftover int
	// RackLeftover is the number of accelerators left free in the rack.
	RackLeftover int
}

// FirstFitWorker prefers the first worker of the rack.
func FirstFitWorker(a, b WorkerCandidate, _ int) bool { return a.Position < b.Position }

// BestFitWorker prefers one worker for all tasks, workers already in use, few foreign anchors and a tight fit.
func BestFitWorker(a, b WorkerCandidate, tasks int) bool {
	if x, y := min(a.MaxTasks, tasks), min(b.MaxTasks, tasks); x != y {
		return x > y
	}
	if a.InUse != b.InUse {
		return a.InUse
	}
	if a.AnchoredForOthers != b.AnchoredForOthers {
		return a.AnchoredForOthers < b.AnchoredForOthers
	}
	if a.FreeAccelerators != b.FreeAccelerators {
		return a.FreeAccelerators < b.FreeAccelerators
	}
	if a.FreeSlots != b.FreeSlots {
		return a.FreeSlots < b.FreeSlots
	}
	return a.Position < b.Position
}

// FirstFitRack prefers the rack that comes first.
func FirstFitRack(_, _ RackCandidate) bool { return false }

// BestFitRack prefers few workers, little harm to what can serve the largest guaranteed shape, the rack that has fewest
// whole free workers, whole free workers kept whole and the fullest rack; only then capacity that needs no borrowing, few
// foreign anchors and a tight fit. Whole workers of a rack with many are worth more than those of a rack with few, which
// are far from a block for a gang.
func BestFitRack(a, b RackCandidate) bool {
	switch {
	case a.Workers != b.Workers:
		return a.Workers < b.Workers
	case a.Stranded != b.Stranded:
		return a.Stranded < b.Stranded
	case a.IdleWorkers != b.IdleWorkers:
		return a.IdleWorkers < b.IdleWorkers
	case a.SplitWorkers != b.SplitWorkers:
		return a.SplitWorkers < b.SplitWorkers
	case a.RackLeftover != b.RackLeftover:
		return a.RackLeftover < b.RackLeftover
	case a.Borrowed != b.Borrowed:
		return b.Borrowed
	case a.AnchoredForOthers != b.AnchoredForOthers:
		return a.AnchoredForOthers < b.AnchoredForOthers
	case a.WorkersLeftover != b.WorkersLeftover:
		return a.WorkersLeftover < b.WorkersLeftover
	}
	return a.Rack < b.Rack
}

// portion is a number of tasks on one worker of a rack.
type portion struct{ position, tasks int }

// pick chooses workers for the tasks; it returns nil when the spots cannot host them all. It reorders spots.
func pick(spots []WorkerCandidate, tasks int, less func(a, b WorkerCandidate, tasks int) bool, into []portion) []portion {
	total := 0
	for _, s := range spots {
		total += s.MaxTasks
	}
	if total < tasks {
		return nil
	}
	into = into[:0]
	for tasks > 0 {
		best := -1
		for i := range spots {
			if spots[i].MaxTasks > 0 && (best < 0 || less(spots[i], spots[best], tasks)) {
				best = i
			}
		}
		n := min(tasks, spots[best].MaxTasks)
		into = append(into, portion{spots[best].Position, n})
		tasks -= n
		spots[best].MaxTasks = 0
	}
	return into
}
