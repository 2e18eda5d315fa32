package engine_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"clementinepier/engine"
	"clementinepier/standin/site"
	"clementinepier/workload"
)

// randomSeeds is how many random days are played; a day takes a few milliseconds of real time.
const randomSeeds = 60

// Guards against interleavings that nobody thought of: planners that die, are cut off from the store or from workers,
// workers that crash, return, are cut off or answer late, and callers that cancel. The rig's oracle watches every start.
func TestRandomFailures(t *testing.T) {
	for seed := uint64(1); seed <= randomSeeds; seed++ {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			inBubble(t, func(r *rig) { playRandomly(r, rand.New(rand.NewPCG(seed, 0))) })
		})
	}
}

// player is a random day under way.
type player struct {
	*rig
	random    *rand.Rand
	planner   *engine.Planner
	stop      func()
	names     int
	accepted  []string
	cancelled []string
}

func playRandomly(r *rig, random *rand.Rand) {
	r.AddWorkers("r1", 3)
	r.AddWorkers("r2", 3)
	d := &player{rig: r, random: random}
	d.replacePlanner()
	for range 40 {
		d.act()
		time.Sleep(time.Duration(100+random.IntN(900)) * time.Millisecond)
	}
	d.heal()
	d.replacePlanner()
	defer d.stop()
	for _, id := range d.accepted {
		if !slices.Contains(d.cancelled, id) {
			r.await(d.planner, id, workload.StateCompleted, 60*time.Second)
		}
	}
	for _, id := range d.cancelled {
		r.await(d.planner, id, workload.StateCancelled, 5*time.Second)
		r.Equal(len(r.Where(id)), 0)
	}
}

func (d *player) replacePlanner() {
	if d.stop != nil {
		d.stop()
	}
	d.names++
	d.planner, d.stop = d.rig.planner(fmt.Sprintf("p%d", d.names))
}

// act does one random thing.
func (d *player) act() {
	ids := []string{"r1-w0", "r1-w1", "r1-w2", "r2-w0", "r2-w1", "r2-w2"}
	id := ids[d.random.IntN(len(ids))]
	switch d.random.IntN(12) {
	case 0:
		d.replacePlanner()
	case 1:
		d.Set(id, func(w *site.Worker) { w.Silent = true })
	case 2:
		d.Set(id, func(w *site.Worker) { w.Dead = true })
	case 3:
		d.Set(id, (*site.Worker).Restart)
	case 4:
		d.Set(id, func(w *site.Worker) { w.LoseStarts = !w.LoseStarts })
	case 5:
		d.Set(id, func(w *site.Worker) { w.LateStarts = !w.LateStarts })
	case 6:
		d.Store.SetLosing(true)
		time.AfterFunc(time.Second, func() { d.Store.SetLosing(false) })
	case 7:
		for _, other := range ids {
			d.Set(other, func(w *site.Worker) { w.Silent = false })
		}
	case 8:
		if len(d.accepted) > 0 {
			d.cancel(d.accepted[d.random.IntN(len(d.accepted))])
		}
	default:
		d.handIn()
	}
}

func (d *player) handIn() {
	id := fmt.Sprintf("j%d", len(d.accepted)+len(d.cancelled)+d.random.IntN(1000)*1000)
	step := single(int64(1 + d.random.IntN(8)))
	if d.random.IntN(2) == 0 {
		step = gang(1+d.random.IntN(3), int64(1+d.random.IntN(8)))
	}
	work := time.Duration(200+d.random.IntN(4000)) * time.Millisecond
	d.Expect(id, step, work)
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	if d.planner.Submit(ctx, newJob(id, d.random.IntN(3), step)).Verdict == engine.VerdictAccepted {
		d.accepted = append(d.accepted, id)
	}
}

func (d *player) cancel(id string) {
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	result := d.planner.Cancel(ctx, id)
	if result.Verdict == engine.VerdictAccepted && result.State == workload.StateCancelled && !slices.Contains(d.cancelled, id) {
		d.cancelled = append(d.cancelled, id)
	}
}

// heal ends all failures.
func (d *player) heal() {
	d.Store.SetLosing(false)
	for _, id := range d.IDs() {
		d.Set(id, func(w *site.Worker) {
			if w.Dead {
				w.Restart()
			}
			w.Silent, w.LoseStarts, w.LateStarts = false, false, false
		})
		d.List(d.Worker(id))
	}
}
