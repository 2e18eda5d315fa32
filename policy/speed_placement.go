package policy

import (
	"math"
	"slices"
	"time"
)

// speedClasses is what a pass knows of the speeds of a fleet's workers.
type speedClasses struct {
	// now is the time of the pass.
	now time.Time
	// present has the classes of the usable workers, the fastest first.
	present []int
	// lowest is the lowest class that the unit at hand may use.
	lowest int
}

// anyClass lets a unit use workers of all classes.
const anyClass = math.MinInt

// prepareSpeeds begins a pass.
func (f *Fleet) prepareSpeeds(now time.Time) {
	f.speeds = speedClasses{now: now, lowest: anyClass, present: f.speeds.present[:0]}
	for _, w := range f.workers {
		w.speedClass = SpeedClass(w.Speed, 0)
		if w.Usable && !slices.Contains(f.speeds.present, w.speedClass) {
			f.speeds.present = append(f.speeds.present, w.speedClass)
		}
	}
	slices.SortFunc(f.speeds.present, func(a, b int) int { return b - a })
}

// uneven reports whether the workers differ in speed.
func (f *Fleet) uneven() bool { return len(f.speeds.present) > 1 }

// inTimeAt reports whether the unit is done in time on workers of the class if it starts now.
func (u *Unit) inTimeAt(now time.Time, class int) bool {
	return !now.Add(time.Duration(float64(u.Remaining) / ClassSpeed(class))).After(u.Deadline)
}

// speedRank returns how late the unit uses workers of the class, of those that are present: urgent work the fastest first; other work the slowest
// on which it is done in time, and if it is on none the fastest. Load pattern: long work of low priority, and bursts of urgent work, on workers of
// different speeds.
func (f *Fleet) speedRank(u *Unit, class int) int {
	if u.Job.Priority == 0 || !u.inTimeAt(f.speeds.now, class) {
		return 2*maxSpeedClass + 1 - class
	}
	return class
}

// speedRanks returns the rank of each class for the unit, by the class and maxSpeedClass; all are 0 if the workers are equally fast.
func (f *Fleet) speedRanks(u *Unit) (ranks [2*maxSpeedClass + 1]int) {
	if !f.uneven() {
		return ranks
	}
	for _, class := range f.speeds.present {
		if f.speeds.lowest == anyClass {
			ranks[class+maxSpeedClass] = f.speedRank(u, class)
		} else {
			// The slowest member decides, so faster ones stay free.
			ranks[class+maxSpeedClass] = class
		}
	}
	return ranks
}

// fitBySpeed is like bestFit, but gives a gang, whose slowest member decides, the workers of the classes that suit it best. It uses no worker that
// is more suspect for its speed.
func (f *Fleet) fitBySpeed(u *Unit, workers []*Worker, capacity capacityFunc) []*Worker {
	chosen := f.bestFit(u, workers, capacity)
	if chosen == nil || !f.uneven() || len(u.Tasks) < 2 || len(u.RequiredWorkers) > 0 {
		return chosen
	}
	classes := slices.Clone(f.speeds.present)
	slices.SortStableFunc(classes, func(a, b int) int { return f.speedRank(u, a) - f.speedRank(u, b) })
	suspicion := u.highestSuspicion(chosen)
	defer func() { f.speeds.lowest = anyClass }()
	for _, class := range classes {
		f.speeds.lowest = class
		if suited := f.bestFit(u, workers, capacity); suited != nil && u.highestSuspicion(suited) <= suspicion {
			return suited
		}
	}
	return chosen
}

// rackRank ranks the workers that a unit would use in a rack by the slowest of them; 0 if all workers are equally fast.
func (f *Fleet) rackRank(u *Unit, chosen []*Worker) int {
	if !f.uneven() {
		return 0
	}
	slowest := maxSpeedClass
	for _, w := range chosen {
		slowest = min(slowest, w.speedClass)
	}
	return f.speedRank(u, slowest)
}

// highestSuspicion returns that of the most suspect of the workers.
func (u *Unit) highestSuspicion(workers []*Worker) int {
	highest := 0
	for _, w := range workers {
		highest = max(highest, u.suspicion(w))
	}
	return highest
}
