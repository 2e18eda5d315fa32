// Package load is a load generator: it sends a reproducible list of requests, derived from a seed, to entry VMs and
// records the result of each.
package load

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"

	"clementinepier/job"
	"clementinepier/standin/worker"
)

// Mix describes the requests of a plan. Shares are between 0 and 1.
type Mix struct {
	Seed     uint64
	Requests int
	// Rate is the number of requests sent per second.
	Rate          float64
	Organisations []string
	Services      []string
	Timeout       time.Duration
	MaxRunTime    time.Duration
	MaxSize       int
	// MaxTasks and MaxAccelerators are the upper limits for gang shapes.
	MaxTasks        int
	MaxAccelerators int
	GangShare       float64
	// NotRepeatedShare is the share of requests that are not idempotent.
	NotRepeatedShare float64
	UrgentShare      float64
}

// Check returns an error that describes the first invalid value.
func (m Mix) Check() error {
	switch {
	case m.Requests < 1 || m.Rate <= 0:
		return errors.Errorf("number of requests (%d) and rate (%v per second) must be above 0", m.Requests, m.Rate)
	case len(m.Organisations) == 0 || len(m.Services) == 0:
		return errors.New("at least one organisation and one service are needed")
	case m.Timeout <= 0 || m.MaxRunTime < time.Millisecond || m.MaxSize < 0:
		return errors.New("timeout and run time must be above 0, and the size at least 0")
	case m.MaxTasks < 2 || m.MaxAccelerators < 0:
		return errors.New("the maximum of tasks in a gang must be at least 2, and that of accelerators at least 0")
	}
	return nil
}

// Planned is one request and its send time, relative to the start of the run.
type Planned struct {
	After   time.Duration
	Request job.Request
}

// Plan returns the requests of a mix; the same mix always gives the same plan.
func Plan(m Mix) ([]Planned, error) {
	if err := m.Check(); err != nil {
		return nil, err
	}
	random := rand.New(rand.NewPCG(m.Seed, m.Seed))
	planned := make([]Planned, m.Requests)
	for i := range planned {
		runTime := time.Millisecond + time.Duration(random.Int64N(int64(m.MaxRunTime)))
		payload, err := json.Marshal(worker.Payload{
			RunTime: job.Duration(runTime.Truncate(time.Millisecond)), Size: random.IntN(m.MaxSize + 1),
		})
		if err != nil {
			return nil, errors.WithStack(err)
		}
		shape := job.Shape{Tasks: 1, Slots: 1, Accelerators: random.IntN(2)}
		if random.Float64() < m.GangShare {
			shape.Tasks = 2 + random.IntN(m.MaxTasks-1)
			shape.Accelerators = random.IntN(m.MaxAccelerators + 1)
		}
		planned[i] = Planned{
			After: time.Duration(float64(i) / m.Rate * float64(time.Second)),
			Request: job.Request{
				Organisation: m.Organisations[random.IntN(len(m.Organisations))],
				ID:           fmt.Sprintf("load-%d-%d", m.Seed, i),
				Service:      m.Services[random.IntN(len(m.Services))],
				Shape:        shape,
				Payload:      payload,
				Timeout:      job.Duration(m.Timeout),
				Idempotent:   random.Float64() >= m.NotRepeatedShare,
				Urgent:       random.Float64() < m.UrgentShare,
				// The declared run time is between about a third of the actual run time and three times it.
				DeclaredRunTime: job.Duration(float64(runTime) * (0.33 + 2.67*random.Float64())),
			},
		}
	}
	return planned, nil
}
