package engine

import (
	"context"
	"time"
)

// setOrphans records the orphan runs of a worker; see workerState.orphans.
func (p *Planner) setOrphans(w *workerState, orphans map[string]time.Time) {
	for task := range w.orphans {
		p.orphanTasks[task]--
		if p.orphanTasks[task] == 0 {
			delete(p.orphanTasks, task)
			p.planNeeded = true
		}
	}
	w.orphans = orphans
	for task := range orphans {
		p.orphanTasks[task]++
	}
}

// stopOrphanRun stops an orphan run, unless a stop was sent shortly before, and returns when the last one was sent.
func (p *Planner) stopOrphanRun(w *workerState, task string, number int) time.Time {
	now, last := p.Clock.Now(), w.orphans[task]
	if now.Sub(last) < stopRetryDelay || !p.holdsTerm() {
		return last
	}
	p.Log.Event("foreign-run", "task", task, "run", number, "worker", w.id())
	target := Target{ID: w.id(), Address: w.registration.Address}
	order := StopOrder{Task: task, Run: number, Fence: w.fence}
	p.call(classOrder, func() func() {
		err := p.send(now, orderTimeout, func(ctx context.Context) error {
			_, err := p.Workers.Stop(ctx, target, order)
			return err
		})
		return func() {
			if err != nil {
				p.Log.Event("foreign-stop-failed", "task", task, "worker", target.ID, "error", err)
				return
			}
			w.nextPoll = p.Clock.Now()
			p.scheduleContact(w)
		}
	})
	return now
}
