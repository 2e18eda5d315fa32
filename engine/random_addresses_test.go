package engine_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"clementinepier/engine"
	"clementinepier/standin/site"
	"clementinepier/workload"
)

// Guards against tasks that run twice, or are never placed again, when workers take over each other's addresses, return under their first
// IDs, restart with a time of day that went back, or have their calls refused by other servers, next to entries of other writers, lost
// responses, cut off workers, a store that refuses writes, and changes of the planner. With -faults-first and -faults-seeds it plays other seeds.
func TestRandomAddresses(t *testing.T) {
	for seed := range faultSeeds(randomSeeds) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			t.Parallel()
			runInVirtualTime(t, func(r *rig) { newAddressScenario(r, rand.New(rand.NewPCG(seed, 4))).run() })
		})
	}
}

// addressScenario has addresses at which one of two workers is at a time, so that each returns under its ID after the other one.
type addressScenario struct {
	*rig
	random *rand.Rand
	// occupants has the worker at each address.
	occupants []string

	mu sync.Mutex
	// refusing holds until when another server refuses the calls at an address.
	refusing map[string]time.Time
}

const addressRounds = 60

func newAddressScenario(r *rig, random *rand.Rand) *addressScenario {
	s := &addressScenario{rig: r, random: random, refusing: map[string]time.Time{}}
	r.storeEntries()
	r.wrapWorkers = s.route
	for i := range 4 {
		s.occupants = append(s.occupants, "")
		s.occupy(i, fmt.Sprintf("first%d", i))
	}
	return s
}

func (s *addressScenario) between(least, most time.Duration) time.Duration {
	return least + time.Duration(s.random.Int64N(int64(most-least)))
}

// occupy starts a new incarnation of a worker at an address.
func (s *addressScenario) occupy(i int, rack string) {
	id := rack + "-w0"
	address := fmt.Sprintf("a%d", i)
	if s.Worker(id) == nil {
		s.AddWorkers(rack, 1)
	} else {
		s.Set(id, (*site.Worker).Restart)
	}
	s.Set(id, func(w *site.Worker) { w.Registration.Address = address })
	s.mu.Lock()
	s.occupants[i] = id
	s.mu.Unlock()
	s.Register(s.Worker(id))
}

// occupant returns the worker at an address, and whether another server refuses the calls there.
func (s *addressScenario) occupant(address string) (id string, refused bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, id := range s.occupants {
		if address == fmt.Sprintf("a%d", i) {
			return id, time.Now().Before(s.refusing[address])
		}
	}
	return "nobody", address == "other"
}

// route sends calls to the worker at their address, which refuses those that are meant for another one.
func (s *addressScenario) route(w engine.Workers) engine.Workers {
	return resolveTargets(w, func(t engine.Target) (engine.Target, error) {
		id, refused := s.occupant(t.Address)
		if refused || id != t.ID && id != "nobody" && !s.Worker(id).Dead {
			time.Sleep(time.Millisecond)
			return t, &engine.ErrRefused{Reason: engine.RefusedIncarnation}
		}
		t.Address = id
		return t, nil
	})
}

// during applies a fault to the worker at an address for a while.
func (s *addressScenario) during(i int, d time.Duration, set func(w *site.Worker, on bool)) {
	id := s.occupants[i]
	s.Set(id, func(w *site.Worker) { set(w, true) })
	time.AfterFunc(d, func() { s.Set(id, func(w *site.Worker) { set(w, false) }) })
}

// takeOver ends the worker at an address and lets the other one begin there later. The entry of the first one may stay for a while.
func (s *addressScenario) takeOver(i int) {
	id := s.occupants[i]
	if s.Worker(id).Dead {
		return
	}
	s.Set(id, func(w *site.Worker) { w.Dead = true })
	next := fmt.Sprintf("first%d", i)
	if id == next+"-w0" {
		next = fmt.Sprintf("second%d", i)
	}
	entryStays, away := s.between(0, 4500*time.Millisecond), s.between(time.Millisecond, 3*time.Second)
	time.AfterFunc(entryStays, func() {
		if s.Worker(id).Dead {
			s.Deregister(s.Worker(id))
		}
	})
	time.AfterFunc(away, func() { s.occupy(i, next) })
}

func (s *addressScenario) run() {
	p, stop := s.startPlanner("p")
	defer func() { stop() }()
	ended := make(chan struct{})
	defer close(ended)
	go s.writeEntries(ended)
	time.Sleep(time.Second)
	var jobs, lasting []string
	for round := range addressRounds {
		time.Sleep(s.between(0, 600*time.Millisecond))
		i := s.random.IntN(len(s.occupants))
		id, job, work := s.occupants[i], fmt.Sprint("j", round), s.between(0, 6*time.Second)
		switch n := s.random.IntN(32); {
		case n < 6:
			jobs = s.submit(p, jobs, job, singleTaskStep(1+s.random.Int64N(8)), work)
		case n < 9:
			jobs = s.submit(p, jobs, job, gangStep(2, 1+s.random.Int64N(7)), work)
		case n < 10 && len(lasting) < 2:
			lasting = s.submit(p, lasting, job, lastingStep(1), time.Hour)
		case n < 15:
			s.takeOver(i)
		case n < 19:
			s.mu.Lock()
			s.refusing[fmt.Sprintf("a%d", i)] = time.Now().Add(s.between(50*time.Millisecond, 5*time.Second))
			s.mu.Unlock()
		case n < 21:
			if !s.Worker(id).Dead {
				s.restart(id, s.random.IntN(3) == 0)
			}
		case n < 23:
			s.during(i, s.between(100*time.Millisecond, 4*time.Second), func(w *site.Worker, on bool) { w.Silent = on })
		case n < 25:
			s.during(i, s.between(100*time.Millisecond, 4*time.Second), func(w *site.Worker, on bool) { w.LosePolls = on })
		case n < 26:
			s.during(i, s.between(100*time.Millisecond, time.Second), func(w *site.Worker, on bool) { w.LoseStarts = on })
		case n < 28:
			entry := s.Worker(id).Registration
			if s.random.IntN(2) == 0 {
				entry.Address = fmt.Sprintf("a%d", s.random.IntN(len(s.occupants)))
				s.Store.Write(site.RegistrationPrefix+id, s.EncodeRegistration(entry))
				break
			}
			s.Store.Write(site.RegistrationPrefix+id, foreignEntry(s.random, entry, s.EncodeRegistration))
		case n < 30:
			s.Store.SetRefusing(true)
			time.AfterFunc(s.between(100*time.Millisecond, 3*time.Second), func() { s.Store.SetRefusing(false) })
		default:
			stop()
			p, stop = s.startPlanner(fmt.Sprint("p", round))
		}
	}
	time.Sleep(6 * time.Second)
	for _, job := range jobs {
		s.waitForState(p, job, workload.StateCompleted, time.Minute)
	}
	if len(lasting) > 0 {
		// A run of a worker whose restart only an entry reports ends after the longest time in which an order may be executed.
		time.Sleep(45 * time.Second)
	}
	for _, job := range lasting {
		s.Equal(len(s.WorkersRunning(job)), 1)
		s.Equal(p.Cancel(context.Background(), job).Verdict, engine.VerdictAccepted)
	}
	time.Sleep(5 * time.Second)
	s.mustSubmit(p, "last", 1, gangStep(len(s.occupants), 8), time.Second)
	s.waitForState(p, "last", workload.StateCompleted, 3*time.Second)
}

// submit submits a job and appends it to the jobs if it is accepted; it is not while the store refuses writes.
func (s *addressScenario) submit(p *engine.Planner, jobs []string, id string, step workload.Step, work time.Duration) []string {
	s.SetTaskProfile(id, step, work)
	if p.Submit(context.Background(), newJob(id, 1, step)).Verdict != engine.VerdictAccepted {
		return jobs
	}
	return append(jobs, id)
}

// restart restarts a worker, at times with a time of day that went back. It writes its entry with the next heartbeat.
func (s *addressScenario) restart(id string, earlier bool) {
	back := 1 + s.random.Int64N(5000)
	s.Set(id, func(w *site.Worker) {
		born := w.Registration.Incarnation
		w.Restart()
		if earlier {
			w.Registration.Incarnation = born - back
		}
	})
}

// writeEntries lets the workers write their entries from time to time.
func (s *addressScenario) writeEntries(ended <-chan struct{}) {
	for i := 0; ; i++ {
		select {
		case <-ended:
			return
		case <-time.After(heartbeat / time.Duration(len(s.occupants))):
		}
		s.mu.Lock()
		id := s.occupants[i%len(s.occupants)]
		s.mu.Unlock()
		if w := s.Worker(id); !w.Dead {
			s.Register(w)
		}
	}
}
