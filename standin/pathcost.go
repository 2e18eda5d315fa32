package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/google/uuid"
	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"

	"clementinepier/job"
	"clementinepier/standin/load"
	standinworker "clementinepier/standin/worker"
	"clementinepier/worker"
)

const (
	pathTimeout = 20 * time.Second
	pathPayload = `{"run-time": "0s", "fail": false, "size": 64}`
	// Latencies are recorded in microseconds with three significant digits.
	latencyUnit   = time.Microsecond
	longestMicros = int64(pathTimeout / latencyUnit)
	significant   = 3
	// bareHold and bareLease are long enough that a bare task never lapses in a loaded run.
	bareHold  = 5 * time.Second
	bareLease = 20 * time.Second
	warmUp    = 50
)

type pathCostCommand struct {
	Paths        []string `arg:"--path,separate,required" help:"NAME=ADDRESS of an entry VM to measure through (repeatable)"`
	Worker       string   `arg:"--worker,required" help:"address of the worker stand-in that the bare hop calls"`
	WorkerName   string   `arg:"--worker-name,required" help:"name of that worker"`
	Organisation string   `arg:"--organisation,required" help:"NAME=TOKEN of the organisation"`
	Service      string   `arg:"--service,required" help:"name of a service"`
	Requests     int      `arg:"--requests" default:"500" help:"requests of each kind without other load"`
	Loaded       int      `arg:"--loaded-requests" default:"3000" help:"requests of each kind at the concurrency"`
	Concurrency  int      `arg:"--concurrency" default:"16" help:"requests in flight in the loaded part"`
}

// path is one way to get a task run.
type path struct {
	name string
	send func(ctx context.Context, id string) error
}

func (c *pathCostCommand) run() error {
	if c.Requests < 1 || c.Loaded < 1 || c.Concurrency < 1 || c.Concurrency > worker.MaxConnections/2 {
		return errors.Errorf("%d requests, %d loaded requests or concurrency %d are not valid", c.Requests, c.Loaded, c.Concurrency)
	}
	organisation, token, ok := strings.Cut(c.Organisation, "=")
	if !ok {
		return errors.Errorf("organisation %q is not NAME=TOKEN", c.Organisation)
	}
	hop := newBareHop(worker.NewClient(worker.Options{
		Name: c.WorkerName, Address: c.Worker, Timeout: pathTimeout, MaxConnections: c.Concurrency + 1,
	}), c.WorkerName)
	ctx, cancel := context.WithCancel(context.Background())
	followed := make(chan error, 1)
	go func() { followed <- hop.follow(ctx) }()
	paths := []path{{"bare hop", hop.send}}
	send := load.NewSend(c.Concurrency)
	for _, pair := range c.Paths {
		name, address, ok := strings.Cut(pair, "=")
		if !ok {
			cancel()
			return errors.Errorf("path %q is not NAME=ADDRESS", pair)
		}
		for _, idempotent := range []bool{true, false} {
			paths = append(paths, entryPath(send, name, address, organisation, token, c.Service, idempotent))
		}
	}
	err := c.measure(ctx, paths)
	cancel()
	if ended := <-followed; err == nil {
		err = ended
	}
	return err
}

// entryPath sends requests to an entry VM.
func entryPath(send load.Send, name, address, organisation, token, service string, idempotent bool) path {
	kind := "not idempotent"
	if idempotent {
		kind = "idempotent"
	}
	return path{name: name + ", " + kind, send: func(ctx context.Context, id string) error {
		request := job.Request{
			Organisation: organisation, ID: id, Service: service, Shape: job.Shape{Tasks: 1, Slots: 1},
			Payload: json.RawMessage(pathPayload), Timeout: job.Duration(pathTimeout), Idempotent: idempotent,
		}
		reply, err := send(ctx, address, token, request)
		if err != nil {
			return err
		}
		expected, err := standinworker.ExpectedAnswer(request.Key(), request.Payload)
		if err != nil {
			return err
		}
		if o := reply.Outcome; o.Result != job.Done || o.Code != job.CodeOK || string(o.Answer) != string(expected) {
			return errors.Errorf("request %s: %s %s %s", id, o.Result, o.Code, o.Detail)
		}
		return nil
	}}
}

// measure prints both parts. The unloaded part alternates between the paths, so that all see the same machine.
func (c *pathCostCommand) measure(ctx context.Context, paths []path) error {
	latencies := make([]*hdrhistogram.Histogram, len(paths))
	for i := range paths {
		latencies[i] = hdrhistogram.New(1, longestMicros, significant)
	}
	for n := range c.Requests + warmUp {
		for i, p := range paths {
			began := time.Now()
			if err := p.send(ctx, uuid.NewString()); err != nil {
				return errors.Wrap(err, p.name)
			}
			if n < warmUp {
				continue
			}
			if err := latencies[i].RecordValue(int64(time.Since(began) / latencyUnit)); err != nil {
				return errors.WithStack(err)
			}
		}
	}
	out := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(out, "path\tp50 us\tp99 us\tadded p50 us\tp50 ratio\tp99 ratio\trequests/s\tratio\t")
	var bareRate float64
	for i, p := range paths {
		rate, err := c.rate(ctx, p)
		if err != nil {
			return errors.Wrap(err, p.name)
		}
		if i == 0 {
			bareRate = rate
		}
		p50, p99 := latencies[i].ValueAtQuantile(50), latencies[i].ValueAtQuantile(99)
		bare50, bare99 := latencies[0].ValueAtQuantile(50), latencies[0].ValueAtQuantile(99)
		_, _ = fmt.Fprintf(out, "%s\t%d\t%d\t%d\t%.2f\t%.2f\t%.0f\t%.2f\t\n", p.name, p50, p99, p50-bare50,
			float64(p50)/float64(bare50), float64(p99)/float64(bare99), rate, rate/bareRate)
	}
	fmt.Printf("%d requests of each kind without load; %d of each kind with %d in flight\n", c.Requests, c.Loaded, c.Concurrency)
	return errors.WithStack(out.Flush())
}

// rate returns the requests a second with a fixed number in flight.
func (c *pathCostCommand) rate(ctx context.Context, p path) (float64, error) {
	tickets := make(chan struct{}, c.Loaded)
	for range c.Loaded {
		tickets <- struct{}{}
	}
	close(tickets)
	ended := make(chan error, c.Concurrency)
	began := time.Now()
	for range c.Concurrency {
		go func() {
			for range tickets {
				if err := p.send(ctx, uuid.NewString()); err != nil {
					ended <- err
					return
				}
			}
			ended <- nil
		}()
	}
	var failed error
	for range c.Concurrency {
		if err := <-ended; err != nil && failed == nil {
			failed = err
		}
	}
	return float64(c.Loaded) / time.Since(began).Seconds(), failed
}

// bareHop runs a task with the calls that a worker needs and nothing else: hold, start, the event of its end from one
// long poll that all tasks share, and answer.
type bareHop struct {
	client *worker.Client
	name   string
	clock  clockwork.Clock

	mu      sync.Mutex
	waiting map[job.TaskID]chan worker.State
}

func newBareHop(client *worker.Client, name string) *bareHop {
	return &bareHop{client: client, name: name, clock: clockwork.NewRealClock(), waiting: map[job.TaskID]chan worker.State{}}
}

// follow polls the worker's events until ctx ends.
func (h *bareHop) follow(ctx context.Context) error {
	next := uint64(0)
	for ctx.Err() == nil {
		events, err := h.client.Events(ctx, next, pathTimeout)
		switch {
		case ctx.Err() != nil:
			return nil
		case err != nil:
			return err
		}
		next = events.Next
		h.mu.Lock()
		for _, e := range events.Events {
			if waiter, ok := h.waiting[e.Status.Spec.ID]; ok && e.Status.State.Ended() {
				waiter <- e.Status.State
				delete(h.waiting, e.Status.Spec.ID)
			}
		}
		h.mu.Unlock()
	}
	return nil
}

func (h *bareHop) send(ctx context.Context, id string) error {
	ctx, cancel := clockwork.WithTimeout(ctx, h.clock, pathTimeout)
	defer cancel()
	spec := worker.Spec{
		ID: job.TaskID{Organisation: "bare", RequestID: id, Attempt: 1}, Nonce: id, Shape: job.Shape{Tasks: 1, Slots: 1},
		Workers: []string{h.name}, Idempotent: true, Deadline: h.clock.Now().Add(pathTimeout), RequestDigest: id,
	}
	ended := make(chan worker.State, 1)
	h.mu.Lock()
	h.waiting[spec.ID] = ended
	h.mu.Unlock()
	_, refused, err := h.client.Hold(ctx, spec, bareHold)
	if err == nil && refused == worker.RefusedNone {
		refused, err = h.client.Start(ctx, spec.ID, spec.Nonce, []byte(pathPayload), bareLease)
	}
	if err != nil || refused != worker.RefusedNone {
		return errors.Errorf("worker refused: %q, %v", refused, err)
	}
	select {
	case state := <-ended:
		if state != worker.StateDone {
			return errors.Errorf("task ended as %s", state)
		}
	case <-ctx.Done():
		return errors.New("no event of the end of the task")
	}
	_, err = h.client.Answer(ctx, spec.ID)
	return err
}
