package policy

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// usualSpeedVariance is the expected squared logarithm of the speed of a worker of which nothing is known.
	usualSpeedVariance = 0.4 * 0.4
	// taskVariance is that of the work of one task against the other tasks of its step.
	taskVariance = 0.25 * 0.25
	// maxKnownVariance is the highest variance with which a speed is used for decisions.
	maxKnownVariance = 0.2 * 0.2
	// maxSurprise bounds how far one observation moves an estimate, in standard deviations: a few tasks take many times as long as others.
	maxSurprise = 2.0
	// surprisesToRelearn is how many observations in a row have to lie that far off, on one side, until what was known before counts as outdated.
	surprisesToRelearn = 3
	// speedHalfLife is the time after which half of what is known of a worker's speed no longer counts if nothing is observed.
	speedHalfLife = 5 * time.Minute
	// speedClassStep is the factor between the speeds of two classes. Tasks of one step differ by a quarter on equal workers.
	speedClassStep = 1.5
	// maxSpeedClass bounds the classes on both sides of the usual one, 0.
	maxSpeedClass = 3
	// classBorder is how far from the middle of its class, in classes, a worker stays in it.
	classBorder = 0.65
	// minCompared is with how many other workers one is compared at least.
	minCompared = 2
)

// SpeedEstimate is what is known of how fast one worker is. The zero value means that nothing is.
type SpeedEstimate struct {
	// Log is the natural logarithm of the speed relative to the usual worker, and Precision the inverse of its variance beyond what is known of any
	// worker.
	Log, Precision float64
	// Observed is when the worker was last observed.
	Observed time.Time
	// surprises counts the last observations that lay far off; it is negative if they were slower.
	surprises int
}

// At returns the logarithm of the speed and its variance at a time. Without observations both return to those of an unknown worker.
func (e *SpeedEstimate) At(now time.Time) (log, variance float64) {
	left := e.Left(now)
	return e.Log * left, 1 / (1/usualSpeedVariance + e.Precision*left)
}

// Left returns the share of what was observed that still counts at a time.
func (e *SpeedEstimate) Left(now time.Time) float64 {
	return math.Exp2(-float64(now.Sub(e.Observed)) / float64(speedHalfLife))
}

// Observe takes in one comparison of the worker with others. A worker may turn slow or fast: several observations in a row that lie far off
// replace what was known.
func (e *SpeedEstimate) Observe(now time.Time, log, variance float64) {
	mean, before := e.At(now)
	deviation := math.Sqrt(before + variance)
	far := log - mean
	switch {
	case far > maxSurprise*deviation:
		e.surprises = max(e.surprises, 0) + 1
	case far < -maxSurprise*deviation:
		e.surprises = min(e.surprises, 0) - 1
	default:
		e.surprises = 0
	}
	if e.surprises >= surprisesToRelearn || e.surprises <= -surprisesToRelearn {
		before, e.surprises = usualSpeedVariance, 0
	}
	far = max(-maxSurprise*deviation, min(maxSurprise*deviation, far))
	e.Log = mean + far*before/(before+variance)
	e.Precision = min(1/before+1/variance-1/usualSpeedVariance, MaxPrecision)
	e.Observed = now
}

// MaxPrecision bounds what is known of a worker, so that an estimate follows a worker that slowly changes.
const MaxPrecision = 20 / taskVariance

// Rate is how fast a run of a step makes progress, as the logarithm of the share of a task per second.
type Rate struct {
	Worker string
	Log    float64
}

// CompareRates returns how fast a worker is, from the rates of the runs of one step on it and on other workers, as the logarithm of its speed and the
// variance of that. It reports false if there are too few. known returns what is known of a worker.
func CompareRates(worker string, rates []*Rate, known func(worker string) (log, variance float64)) (log, variance float64, ok bool) {
	byWorker := map[string][]float64{}
	for _, r := range rates {
		byWorker[r.Worker] = append(byWorker[r.Worker], r.Log)
	}
	own := byWorker[worker]
	delete(byWorker, worker)
	if len(own) == 0 || len(byWorker) < minCompared {
		return 0, 0, false
	}
	bases, total := make([]weighted, 0, len(byWorker)), 0.0
	for _, other := range slices.Sorted(maps.Keys(byWorker)) {
		logs := byWorker[other]
		l, v := known(other)
		b := weighted{value: mean(logs) - l, weight: 1 / (v + taskVariance/float64(len(logs)))}
		bases, total = append(bases, b), total+b.weight
	}
	// The median of as many values has a variance that is higher by half than that of their mean.
	return mean(own) - weightedMedian(bases, total), taskVariance/float64(len(own)) + math.Pi/2/total, true
}

// weighted is a value with its weight, the inverse of its variance.
type weighted struct{ value, weight float64 }

// weightedMedian returns the value below and above which half of the total weight lies. It sorts the values.
func weightedMedian(values []weighted, total float64) float64 {
	slices.SortFunc(values, func(a, b weighted) int { return cmp.Compare(a.value, b.value) })
	below := 0.0
	for i, v := range values {
		below += v.weight
		if below >= total/2 {
			if below == total/2 && i+1 < len(values) {
				return (v.value + values[i+1].value) / 2
			}
			return v.value
		}
	}
	return values[len(values)-1].value
}

func mean(values []float64) float64 {
	sum := 0.0
	for _, v := range values {
		sum += v
	}
	return sum / float64(len(values))
}

// median returns the median of sorted values.
func median(sorted []float64) float64 {
	n := len(sorted)
	return (sorted[(n-1)/2] + sorted[n/2]) / 2
}

// RelativeSpeeds returns the speed of each worker relative to the median of those that are known, 0 for the others.
func RelativeSpeeds(now time.Time, estimates []*SpeedEstimate) []float64 {
	logs := make([]float64, 0, len(estimates))
	for _, e := range estimates {
		if e.known(now) {
			log, _ := e.At(now)
			logs = append(logs, log)
		}
	}
	speeds := make([]float64, len(estimates))
	if len(logs) == 0 {
		return speeds
	}
	slices.Sort(logs)
	usual := median(logs)
	for i, e := range estimates {
		if e.known(now) {
			log, _ := e.At(now)
			speeds[i] = math.Exp(log - usual)
		}
	}
	return speeds
}

func (e *SpeedEstimate) known(now time.Time) bool {
	if e == nil {
		return false
	}
	_, variance := e.At(now)
	return variance <= maxKnownVariance
}

// SpeedClass returns the class of a relative speed: 0 for the usual speed and an unknown one, and one more or less for each factor beyond. A worker
// stays in the class that it was in while its speed lies near the border.
func SpeedClass(speed float64, before int) int {
	if speed <= 0 {
		return 0
	}
	at := math.Log(speed) / math.Log(speedClassStep)
	before = max(-maxSpeedClass, min(maxSpeedClass, before))
	if math.Abs(at-float64(before)) < classBorder {
		return before
	}
	return int(max(-maxSpeedClass, min(maxSpeedClass, math.Round(at))))
}

// ClassSpeed returns the relative speed of the workers of a class.
func ClassSpeed(class int) float64 { return math.Pow(speedClassStep, float64(class)) }
