package policy_test

import (
	"cmp"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"clementinepier/policy"
)

// compareSpeeds plays jobs whose tasks run on random workers, and returns what is learned of each worker by its number.
func compareSpeeds(random *rand.Rand, speeds []float64, jobs int, estimates map[string]*policy.SpeedEstimate) {
	for job := range jobs {
		var rates []*policy.Rate
		base := random.NormFloat64()
		for range 12 {
			w := random.IntN(len(speeds))
			log := base + math.Log(speeds[w]) + 0.2*random.NormFloat64()
			if random.IntN(33) == 0 {
				log -= math.Log(7)
			}
			rates = append(rates, &policy.Rate{Worker: workerName(w), Log: log})
		}
		now := at(time.Duration(job) * time.Second)
		compared := map[string]bool{}
		for _, r := range rates {
			if compared[r.Worker] {
				continue
			}
			compared[r.Worker] = true
			log, variance, ok := policy.CompareRates(r.Worker, rates, func(worker string) (float64, float64) { return estimates[worker].At(now) })
			if ok {
				estimates[r.Worker].Observe(now, log, variance)
			}
		}
	}
}

func workerName(i int) string { return string(rune('A' + i)) }

func unknownSpeeds(n int) map[string]*policy.SpeedEstimate {
	estimates := map[string]*policy.SpeedEstimate{}
	for i := range n {
		estimates[workerName(i)] = &policy.SpeedEstimate{Observed: start}
	}
	return estimates
}

// speedClasses returns the classes that are learned, in the order of the workers: -1 for all slow ones and 1 for all fast ones.
func speedClasses(now time.Time, n int, estimates map[string]*policy.SpeedEstimate) []int {
	list := make([]*policy.SpeedEstimate, n)
	for i := range list {
		list[i] = estimates[workerName(i)]
	}
	classes := make([]int, n)
	for i, speed := range policy.RelativeSpeeds(now, list) {
		classes[i] = cmp.Compare(policy.SpeedClass(speed, 0), 0)
	}
	return classes
}

// Guards against speeds that are not told apart although a few tasks take seven times as long as others, and against equal workers that count as
// different.
func TestSpeedsAreLearned(t *testing.T) {
	for name, c := range map[string]struct {
		speeds []float64
		want   []int
	}{
		"three speeds":    {[]float64{0.65, 0.65, 0.65, 1, 1, 1, 1.5, 1.5, 1.5}, []int{-1, -1, -1, 0, 0, 0, 1, 1, 1}},
		"a slow one":      {[]float64{1, 1, 0.3, 1, 1, 1, 1, 1, 1}, []int{0, 0, -1, 0, 0, 0, 0, 0, 0}},
		"equal":           {[]float64{1, 1, 1, 1, 1, 1, 1, 1, 1}, make([]int, 9)},
		"equal, all slow": {[]float64{.3, .3, .3, .3, .3, .3, .3, .3, .3}, make([]int, 9)},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			for seed := range uint64(20) {
				estimates := unknownSpeeds(len(c.speeds))
				compareSpeeds(rand.New(rand.NewPCG(seed, 1)), c.speeds, 60, estimates)
				is.Equal(speedClasses(at(time.Minute), len(c.speeds), estimates), c.want)
			}
		})
	}
}

// Guards against a worker that is taken for as fast as it was before it changed.
func TestSpeedThatChangesIsLearnedAgain(t *testing.T) {
	is := is.New(t)
	estimates, random := unknownSpeeds(9), rand.New(rand.NewPCG(1, 1))
	compareSpeeds(random, []float64{1, 1, 1, 1, 1, 1, 1, 1, 1}, 60, estimates)
	compareSpeeds(random, []float64{0.2, 1, 1, 1, 1, 1, 1, 1, 4}, 30, estimates)
	classes := speedClasses(at(30*time.Second), 9, estimates)
	is.Equal(classes[0], -1)
	is.Equal(classes[8], 1)
	is.Equal(classes[1:8], make([]int, 7))
}

// Guards against decisions by what was seen of a worker long ago.
func TestSpeedIsForgotten(t *testing.T) {
	is := is.New(t)
	e := &policy.SpeedEstimate{Observed: start}
	for range 10 {
		e.Observe(start, math.Log(0.5), 0.05)
	}
	known := &policy.SpeedEstimate{Observed: start}
	list := []*policy.SpeedEstimate{e, known, known}
	for range 10 {
		known.Observe(at(time.Hour), 0, 0.05)
	}
	is.Equal(policy.SpeedClass(policy.RelativeSpeeds(at(time.Second), list)[0], 0), -2)
	is.Equal(policy.RelativeSpeeds(at(time.Hour), list), []float64{0, 1, 1})
}

// Guards against a worker near the border of two classes that changes its class with each observation.
func TestSpeedClassHasMargin(t *testing.T) {
	is := is.New(t)
	for _, c := range []struct {
		speed       float64
		before, now int
	}{
		{1, 0, 0}, {1.25, 0, 0}, {1.25, 1, 1}, {1.4, 0, 1}, {1.1, 1, 0}, {0.6, 0, -1}, {0.8, 0, 0}, {0.8, -1, -1}, {0, -1, 0}, {100, 0, 3}, {0.001, 3, -3},
	} {
		is.Equal(policy.SpeedClass(c.speed, c.before), c.now)
	}
}

// Guards against comparisons with too few others.
func TestSpeedNeedsTwoOthers(t *testing.T) {
	is := is.New(t)
	unknown := func(string) (float64, float64) { return 0, 0.16 }
	rates := []*policy.Rate{{Worker: "a", Log: 1}, {Worker: "a", Log: 1}, {Worker: "b", Log: 1}, {Worker: "b", Log: 1}}
	_, _, ok := policy.CompareRates("a", rates, unknown)
	is.True(!ok)
	_, _, ok = policy.CompareRates("c", append(rates, &policy.Rate{Worker: "d", Log: 1}), unknown)
	is.True(!ok) // nothing of the worker itself
	log, variance, ok := policy.CompareRates("a", append(rates, &policy.Rate{Worker: "c", Log: 0}), unknown)
	is.True(ok)
	is.True(log >= 0 && log <= 1 && variance > 0)
}
