package engine_test

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"clementinepier/engine"
	"clementinepier/standin/site"
	"clementinepier/workload"
)

// entryRounds is the number of events that a seed of the random entries plays.
const entryRounds = 80

// maxLastingJobs is the number of jobs of a task that lasts that a seed submits at most.
const maxLastingJobs = 3

// Guards against entries of other writers, over those of live workers that run tasks, that make a task run twice or keep a worker from
// being used: next to cut off workers, restarts of workers and changes of the planner, with single tasks, gangs and tasks that last. With
// -faults-first and -faults-seeds it plays other seeds.
func TestRandomForeignEntries(t *testing.T) {
	for seed := range faultSeeds(randomSeeds) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			t.Parallel()
			runInVirtualTime(t, func(r *rig) { playForeignEntries(r, rand.New(rand.NewPCG(seed, 3))) })
		})
	}
}

func playForeignEntries(r *rig, random *rand.Rand) {
	encode := func(entry engine.Registration) []byte {
		value, err := json.Marshal(entry)
		r.NoErr(err)
		return value
	}
	r.EncodeRegistration = encode
	r.decodeRegistration = func(value []byte) (entry engine.Registration, err error) {
		err = json.Unmarshal(value, &entry)
		return entry, err
	}
	r.wrapWorkers = func(w engine.Workers) engine.Workers {
		return otherServers(w, isOtherAddress)
	}
	const workers = 4
	p, stop := r.startWithWorkers(workers)
	defer func() { stop() }()
	ids := r.IDs()
	// Workers write their entries from time to time.
	ended := make(chan struct{})
	defer close(ended)
	go func() {
		for i := 0; ; i++ {
			select {
			case <-ended:
				return
			case <-time.After(1500 * time.Millisecond / workers):
			}
			r.Register(r.Worker(ids[i%workers]))
		}
	}()
	cut := func(id string) {
		r.Set(id, func(w *site.Worker) { w.Silent = true })
		time.AfterFunc(300*time.Millisecond+time.Duration(random.Int64N(int64(3700*time.Millisecond))), func() {
			r.Set(id, func(w *site.Worker) { w.Silent = false })
		})
	}
	var jobs, lasting []string
	for round := range entryRounds {
		time.Sleep(time.Duration(random.Int64N(int64(500 * time.Millisecond))))
		id := ids[random.IntN(workers)]
		job, work := fmt.Sprint("j", round), time.Duration(random.Int64N(int64(6*time.Second)))
		switch n := random.IntN(24); {
		case n < 5:
			r.mustSubmit(p, job, 1, singleTaskStep(1+random.Int64N(8)), work)
			jobs = append(jobs, job)
		case n < 7:
			r.mustSubmit(p, job, 1, gangStep(2, 1+random.Int64N(7)), work)
			jobs = append(jobs, job)
		case n < 8 && len(lasting) < maxLastingJobs:
			r.mustSubmit(p, job, 1, lastingStep(1), time.Hour)
			lasting = append(lasting, job)
		case n < 17:
			around := random.IntN(3)
			if around == 0 {
				cut(id)
			}
			r.Store.Write(site.RegistrationPrefix+id, foreignEntry(random, r.Worker(id).Registration, encode))
			if around == 1 {
				time.Sleep(time.Duration(random.Int64N(int64(100 * time.Millisecond))))
				cut(id)
			}
		case n < 20:
			cut(id)
		case n < 23:
			r.Set(id, (*site.Worker).Restart)
		default:
			stop()
			p, stop = r.startPlanner(fmt.Sprint("p", round))
		}
	}
	for _, job := range jobs {
		r.waitForState(p, job, workload.StateCompleted, time.Minute)
	}
	for _, job := range lasting {
		r.Equal(len(r.WorkersRunning(job)), 1)
		r.Equal(p.Cancel(context.Background(), job).Verdict, engine.VerdictAccepted)
	}
	// Each worker has written its entry since, and is used.
	time.Sleep(5 * time.Second)
	r.mustSubmit(p, "last", 1, gangStep(workers, 8), time.Second)
	r.waitForState(p, "last", workload.StateCompleted, 3*time.Second)
}

// foreignEntry returns an entry of another writer in place of a worker's.
func foreignEntry(random *rand.Rand, entry engine.Registration, encode func(engine.Registration) []byte) []byte {
	entry.Address = []string{entry.Address, "other", "nobody"}[random.IntN(3)]
	switch random.IntN(6) {
	case 0:
		return []byte("{")
	case 1:
		entry.Incarnation = 0
	case 2:
		entry.Incarnation -= random.Int64N(5000)
	case 3:
		entry.Incarnation = 1 << 52
	case 4:
		entry.Incarnation += random.Int64N(5000)
	default:
		entry.Service = "elsewhere"
	}
	if random.IntN(4) == 0 {
		entry.Draining, entry.DrainRemaining = true, time.Duration(random.Int64N(int64(time.Hour)))
	}
	return encode(entry)
}
