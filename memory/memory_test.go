package memory

import (
	"flag"
	"fmt"
	"os"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// TestMain fixes rapid's seed, so that every run tests the same cases. The command line overrides it.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.nofailfile": "true", "rapid.steps": "100"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	flag.Parse()
	os.Exit(m.Run())
}

// Guards against an organisation that takes the memory of the others, and against more than the total in use.
func TestNoOrganisationTakesTheReservedPartOfAnother(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const total = 1 << 24
		s := NewShares(total)
		weights := map[string]float64{}
		for i := range rapid.IntRange(1, 5).Draw(t, "organisations") {
			weights[fmt.Sprint("org-", i)] = rapid.Float64Range(0.1, 10).Draw(t, "weight")
		}
		s.SetWeights(weights)
		type request struct {
			organisation string
			size         int64
		}
		var held []request
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			if len(held) > 0 && rapid.IntRange(0, 3).Draw(t, "release") == 0 {
				i := rapid.IntRange(0, len(held)-1).Draw(t, "which")
				s.Add(held[i].organisation, -held[i].size)
				held = append(held[:i], held[i+1:]...)
				continue
			}
			r := request{fmt.Sprint("org-", rapid.IntRange(0, 5).Draw(t, "organisation")), rapid.Int64Range(1, total/8).Draw(t, "size")}
			if s.Missing(r.organisation, r.size) == 0 {
				s.Add(r.organisation, r.size)
				held = append(held, r)
			}
		}
		var sum int64
		used := map[string]int64{}
		for _, r := range held {
			sum += r.size
			used[r.organisation] += r.size
		}
		if sum != s.Used() || sum > total {
			t.Fatalf("%d bytes are in use of %d, and %d are counted", sum, total, s.Used())
		}
		for name := range weights {
			if left := s.reserved[name] - used[name]; left > 0 && s.Room(name) < left {
				t.Fatalf("%s has room for %d bytes, and %d of its part are left", name, s.Room(name), left)
			}
			// What is left of the part admits a small request, whatever the others hold.
			if left := s.reserved[name] - used[name]; left >= smallRequest && s.Missing(name, smallRequest) > 0 {
				t.Fatalf("%s has %d bytes of its part left, and a small request is not admitted", name, left)
			}
		}
		for _, r := range held {
			s.Add(r.organisation, -r.size)
		}
		if s.Used() != 0 {
			t.Fatalf("%d bytes are in use after everything was released", s.Used())
		}
	})
}

// Guards against large jobs of an organisation that keep its small ones out.
func TestSmallRequestsFitBesideLargeOnes(t *testing.T) {
	is := is.New(t)
	s := NewShares(1 << 24)
	for s.Missing("org", 1<<20) == 0 {
		s.Add("org", 1<<20)
	}
	is.True(s.Used() > 1<<23) // The large requests have most of the memory.
	is.Equal(s.Missing("org", smallRequest), int64(0))
}

// Guards against an organisation that takes more than its part when nobody else needs it, and keeps it from then on.
func TestLentMemoryComesBack(t *testing.T) {
	is := is.New(t)
	s := NewShares(1000)
	s.SetWeights(map[string]float64{"a": 1, "b": 3})
	is.Equal(s.Room("a"), int64(625))
	is.Equal(s.Room("b"), int64(875))
	is.Equal(s.Room("unknown"), int64(500))
	s.Add("a", 625)
	is.Equal(s.Room("a"), int64(0))
	is.Equal(s.Room("b"), int64(375))
	s.Add("a", -500)
	is.Equal(s.Room("b"), int64(875))
	// What a planner finds is kept even if it is more than the total.
	s.Add("a", 5000)
	is.Equal(s.Room("a"), int64(0))
	is.Equal(s.Room("b"), int64(375))
	is.Equal(s.Excess("a"), int64(5000))
}

// Guards against calls that hold more than the bound together, and a gate that stays closed after they have ended.
func TestGateBoundsWhatIsHeld(t *testing.T) {
	is := is.New(t)
	g := &Gate{Limit: 10}
	is.True(g.Reserve(6))
	is.True(!g.Reserve(5))
	is.True(g.Reserve(4))
	g.Release(6)
	is.True(g.Reserve(6))
	is.True(!g.Reserve(1))
	g.Release(10)
	is.True(g.Reserve(10))
}
