package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"

	"clementinepier/standin/check"
	"clementinepier/standin/load"
	"clementinepier/standin/worker"
)

// findingsShown keeps the output of a failed trial readable.
const findingsShown = 50

type loadCommand struct {
	Entries          []string      `arg:"--entry,separate,required" help:"address of an entry VM (repeatable)"`
	Organisations    []string      `arg:"--organisation,separate,required" help:"NAME=TOKEN of an organisation (repeatable)"`
	Services         []string      `arg:"--service,separate,required" help:"name of a service (repeatable)"`
	Results          string        `arg:"--results,required" help:"file that gets a JSON line per request"`
	Requests         int           `arg:"--requests" default:"300" help:"number of requests"`
	Rate             float64       `arg:"--rate" default:"20" help:"requests per second"`
	Seed             uint64        `arg:"--seed" default:"1" help:"seed of the list of requests"`
	Timeout          time.Duration `arg:"--timeout" default:"20s" help:"deadline of each request"`
	MaxRunTime       time.Duration `arg:"--max-run-time" default:"400ms" help:"longest run time"`
	MaxSize          int           `arg:"--max-size" default:"4000" help:"longest answer in bytes"`
	MaxTasks         int           `arg:"--max-tasks" default:"4" help:"largest gang"`
	MaxAccelerators  int           `arg:"--max-accelerators" default:"4" help:"most accelerators of a gang's task"`
	GangShare        float64       `arg:"--gang-share" default:"0.3" help:"share of gangs"`
	NotRepeatedShare float64       `arg:"--non-idempotent-share" default:"0.3" help:"share of requests that are not idempotent"`
	UrgentShare      float64       `arg:"--urgent-share" default:"0.1" help:"share of urgent requests"`
	Connections      int           `arg:"--connections" default:"256" help:"most connections to each entry VM"`
}

func (c *loadCommand) run() error {
	mix := load.Mix{
		Seed: c.Seed, Requests: c.Requests, Rate: c.Rate, Services: c.Services, Timeout: c.Timeout, MaxRunTime: c.MaxRunTime,
		MaxSize: c.MaxSize, MaxTasks: c.MaxTasks, MaxAccelerators: c.MaxAccelerators, GangShare: c.GangShare,
		NotRepeatedShare: c.NotRepeatedShare, UrgentShare: c.UrgentShare,
	}
	tokens := map[string]string{}
	for _, pair := range c.Organisations {
		name, token, ok := strings.Cut(pair, "=")
		if !ok || name == "" || token == "" {
			return errors.Errorf("organisation %q is not NAME=TOKEN", pair)
		}
		tokens[name] = token
		mix.Organisations = append(mix.Organisations, name)
	}
	plan, err := load.Plan(mix)
	if err != nil {
		return err
	}
	file, err := os.Create(c.Results)
	if err != nil {
		return errors.Wrap(err, "create results")
	}
	defer func() { _ = file.Close() }()
	encoder := json.NewEncoder(file)
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	clock := clockwork.NewRealClock()
	runner := &load.Runner{
		Send: load.NewSend(c.Connections), Clock: clock, Pause: load.NewPause(clock), Entries: c.Entries, Tokens: tokens,
		Report:   func(record load.Record) error { return errors.Wrap(encoder.Encode(record), "write results") },
		Progress: func(line string) { fmt.Println(line) },
	}
	return runner.Run(ctx, plan)
}

type checkCommand struct {
	Results       string        `arg:"--results,required" help:"file written by the load subcommand"`
	RunLogs       []string      `arg:"--run-log,required" help:"run logs of the workers (one or more files)"`
	DomainChanges string        `arg:"--domain-changes" help:"file with a JSON line per change of a failure domain"`
	Requests      int           `arg:"--requests" help:"number of requests sent; 0 means the number of results"`
	PartialBound  time.Duration `arg:"--partial-bound" default:"2.5s" help:"longest run of a gang on a part of its members"`
	LateBound     time.Duration `arg:"--late-bound" default:"4s" help:"latest start in a failure domain after its out"`
}

func (c *checkCommand) run() error {
	in := check.Input{Requests: c.Requests, PartialBound: c.PartialBound, LateBound: c.LateBound}
	var err error
	if in.Records, err = readFile[load.Record](c.Results); err != nil {
		return err
	}
	for _, path := range c.RunLogs {
		lines, err := readFile[worker.RunLine](path)
		if err != nil {
			return err
		}
		in.Lines = append(in.Lines, lines...)
	}
	if c.DomainChanges != "" {
		if in.Changes, err = readFile[check.DomainChange](c.DomainChanges); err != nil {
			return err
		}
	}
	for _, change := range in.Changes {
		if err := change.Validate(); err != nil {
			return errors.Wrap(err, c.DomainChanges)
		}
	}
	report := check.Run(in)
	for i, finding := range report.Findings {
		if i == findingsShown {
			fmt.Printf("and %d more faults\n", len(report.Findings)-i)
			break
		}
		fmt.Println(finding)
	}
	fmt.Println(report)
	if !report.OK() {
		return errors.New("the check found faults")
	}
	return nil
}

func readFile[T any](path string) ([]T, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	defer func() { _ = file.Close() }()
	values, err := check.ReadLines[T](file)
	return values, errors.Wrap(err, path)
}
