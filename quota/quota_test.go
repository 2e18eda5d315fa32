package quota

import (
	"flag"
	"math"
	"os"
	"testing"
	"time"

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

var (
	key   = Key{Organisation: "org", Service: "match"}
	names = []string{"a", "b", "c", "d"}
)

// fleet exchanges the reports of four VMs at the same moment.
type fleet struct {
	now time.Time
	vms []*Splitter
}

func newFleet(limit Limit) *fleet {
	f := &fleet{now: time.Unix(1000, 0)}
	for _, name := range names {
		s := New(name)
		s.SetRegistered(names)
		s.SetLimits(map[Key]Limit{key: limit})
		f.vms = append(f.vms, s)
	}
	return f
}

func (f *fleet) heartbeat() {
	f.now = f.now.Add(500 * time.Millisecond)
	for _, from := range f.vms {
		r := from.NextReport(f.now)
		for _, to := range f.vms {
			to.RecordReport(f.now, r)
		}
	}
}

// Guards against shares that add up to more than the limit, and against more running requests than the limit. The oracle
// counts them over all VMs.
func TestSharesNeverExceedLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := Limit{RequestsPerSecond: rapid.Float64Range(0.1, 50).Draw(t, "rate"), Running: rapid.IntRange(1, 20).Draw(t, "running")}
		f := newFleet(limit)
		running, silent := make([]int, len(names)), false
		vm := rapid.IntRange(0, len(names)-1)
		t.Repeat(map[string]func(*rapid.T){
			"heartbeat": func(*rapid.T) { f.heartbeat() },
			"silence":   func(*rapid.T) { f.now, silent = f.now.Add(3*time.Second), true },
			"take":      func(t *rapid.T) { f.vms[vm.Draw(t, "vm")].Allow(f.now, key) },
			"wait":      func(t *rapid.T) { f.vms[vm.Draw(t, "vm")].SetWaiting(key, rapid.IntRange(0, 30).Draw(t, "n")) },
			"acquire": func(t *rapid.T) {
				if i := vm.Draw(t, "vm"); f.vms[i].Acquire(f.now, key) {
					running[i]++
				}
			},
			"release": func(t *rapid.T) {
				if i := vm.Draw(t, "vm"); running[i] > 0 {
					f.vms[i].Release(key)
					running[i]--
				}
			},
			"": func(t *rapid.T) {
				total, shares, run := 0.0, 0, 0
				for i, s := range f.vms {
					share := s.Share(f.now, key)
					total, shares, run = total+share.Rate, shares+share.Running, run+running[i]
				}
				if total > limit.RequestsPerSecond*(1+1e-9) || shares > limit.Running {
					t.Fatalf("shares of %v and %d of %+v", total, shares, limit)
				}
				// After missing reports, shares can move back while the requests of another VM still run.
				if run > 2*limit.Running || run > limit.Running && !silent {
					t.Fatalf("%d running of %+v", run, limit)
				}
			},
		})
	})
}

// Guards against shares that do not follow demand, and against shares that stay in use after their reports are stale.
func TestSharesFollowDemand(t *testing.T) {
	is := is.New(t)
	f := newFleet(Limit{RequestsPerSecond: 100, Running: 10})
	is.Equal(f.vms[0].Share(f.now, key), Share{Rate: 25, Running: 3}) // no reports: an equal part
	is.Equal(f.vms[3].Share(f.now, key), Share{Rate: 25, Running: 2})
	f.vms[1].SetWaiting(key, 9)
	for range 12 {
		for range 40 {
			f.vms[1].Allow(f.now, key)
		}
		f.heartbeat()
	}
	one := f.vms[1].Share(f.now, key)
	is.True(one.Rate > 80 && one.Rate <= 100)
	is.Equal(one.Running, 9) // the remainder goes to the first VM
	is.Equal(f.vms[0].Share(f.now, key).Running, 1)
	f.now = f.now.Add(DefaultStaleAfter + 1)
	is.Equal(f.vms[1].Share(f.now, key), Share{Rate: 25, Running: 3})
	is.True(f.vms[0].Allow(f.now, Key{Organisation: "free"})) // no limit
	is.True(f.vms[0].Acquire(f.now, Key{Organisation: "free"}))
}

// Guards against a token bucket that admits more than its share over time.
func TestAllowStaysWithinRate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.Float64Range(0.2, 40).Draw(t, "rate")
		s, now := New("a"), time.Unix(1000, 0)
		s.SetLimits(map[Key]Limit{key: {RequestsPerSecond: limit}})
		taken, passed := 0, 0.0
		for range 200 {
			step := rapid.IntRange(0, 200).Draw(t, "ms")
			now, passed = now.Add(time.Duration(step)*time.Millisecond), passed+float64(step)/1000
			if s.Allow(now, key) {
				taken++
			}
			if most := passed*limit + math.Max(1, limit); float64(taken) > most+1e-6 {
				t.Fatalf("%d taken, at most %v", taken, most)
			}
		}
		if taken == 0 {
			t.Fatal("nothing taken")
		}
	})
}
