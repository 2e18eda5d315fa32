package placement

// WorkerCandidate is a worker that could run tasks of a request.
type WorkerCandidate struct {
	// Position is the index of the worker in its rack.
	Position int
	// MaxTasks is how many of the request's tasks the worker could run.
	MaxTasks int
	// FreeAccelerators is the number of free accelerators before placement.
	FreeAccelerators int
	// FreeSlots is the number of free slots before placement.
	FreeSlots int
	// InUse is true when tasks hold capacity on the worker.
	InUse bool
	// AnchoredForOthers is the number of accelerators anchored on the worker for other organisations.
	AnchoredForOthers int
}

// RackCandidate is a possible placement of a request in one rack.
type RackCandidate struct {
	Rack string
	// Workers is the number of workers used.
	Workers int
	// Stranded is the number of accelerators that could serve the largest guaranteed shape before the placement but not
	// after it.
	Stranded int
	// Borrowed is true when the tasks would be borrowed.
	Borrowed bool
	// IdleWorkers is the number of workers of the rack that are completely free before placement.
	IdleWorkers int
	// SplitWorkers is the number of completely free workers that the placement would use only in part.
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

// BestFitWorker prefers one worker for all tasks, then workers in use, fewer accelerators anchored for others and a tight
// fit.
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

// FirstFitRack keeps the first rack found.
func FirstFitRack(_, _ RackCandidate) bool { return false }

// BestFitRack compares, in this order: fewer workers, fewer stranded accelerators, fewer idle workers in the rack, fewer
// idle workers split, the fullest rack, no borrowing, fewer accelerators anchored for others, and a tight fit. A rack with
// many idle workers is spared, because it can soon host a gang; a rack with few of them is far from that.
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

// pickWorkers chooses workers for the tasks, or returns nil when the candidates cannot run them all. It modifies candidates
// and stores the result in buffer.
func pickWorkers(candidates []WorkerCandidate, tasks int, less func(a, b WorkerCandidate, tasks int) bool, buffer []portion) []portion {
	total := 0
	for _, s := range candidates {
		total += s.MaxTasks
	}
	if total < tasks {
		return nil
	}
	buffer = buffer[:0]
	for tasks > 0 {
		best := -1
		for i := range candidates {
			if candidates[i].MaxTasks > 0 && (best < 0 || less(candidates[i], candidates[best], tasks)) {
				best = i
			}
		}
		n := min(tasks, candidates[best].MaxTasks)
		buffer = append(buffer, portion{candidates[best].Position, n})
		tasks -= n
		candidates[best].MaxTasks = 0
	}
	return buffer
}
