// Package check compares the outcomes that callers got with what the workers ran.
package check

import (
	"fmt"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/pkg/errors"

	"clementinepier/job"
	"clementinepier/standin/load"
	"clementinepier/standin/worker"
)

const (
	// The first lease of a gang member is 2 s; the rest is for timers and for the log.
	defaultPartialBound = 2500 * time.Millisecond
	// A start takes effect at most 3.5 s after the acknowledgement.
	defaultLateBound = 4 * time.Second

	slowestLatency = int64(24 * time.Hour / time.Microsecond)
	digits         = 3
)

// State is whether a failure domain is in or out of service.
type State string

// The states of a failure domain.
const (
	Out State = "out"
	In  State = "in"
)

// Change is one change of a failure domain, as one JSON line.
type Change struct {
	FailureDomain string `json:"failure-domain"`
	State         State  `json:"state"`
	// Time is when an out was acknowledged, or when an in was ordered: starts are allowed as soon as an in
	// takes effect, which is before its acknowledgement.
	Time time.Time `json:"time"`
}

// Check returns an error unless the change is complete.
func (c Change) Check() error {
	if c.FailureDomain == "" || c.State != Out && c.State != In || c.Time.IsZero() {
		return errors.Errorf("change of a failure domain needs a failure-domain, a state (out or in) and a time: %+v", c)
	}
	return nil
}

// Input is what a check works on.
type Input struct {
	// Requests is the number of requests sent; 0 means the number of requests with a record.
	Requests int
	Records  []load.Record
	Lines    []worker.RunLine
	Changes  []Change
	// PartialBound is how long a gang may run on a part of its members; 0 means 2.5 s.
	PartialBound time.Duration
	// LateBound is how long after its out a failure domain may start tasks; 0 means 4 s.
	LateBound time.Duration
}

// Report is the result of a check.
type Report struct {
	Requests   int
	Completed  int
	Doubled    int
	Lost       int
	Partial    int
	Late       int
	Unanswered int
	P50        time.Duration
	P99        time.Duration
	// Findings has a line of text for each fault.
	Findings []string
}

// OK reports whether no fault was found.
func (r *Report) OK() bool {
	return r.Doubled+r.Lost+r.Partial+r.Late+r.Unanswered == 0 && r.Completed == r.Requests
}

// String returns the summary line.
func (r *Report) String() string {
	verdict := "ok"
	if !r.OK() {
		verdict = "failed"
	}
	return fmt.Sprintf("%s: %d of %d requests completed, %d doubled, %d lost, %d partial gangs, %d late starts, p50 %d ms, p99 %d ms",
		verdict, r.Completed, r.Requests, r.Doubled, r.Lost, r.Partial, r.Late, r.P50.Milliseconds(), r.P99.Milliseconds())
}

func (r *Report) find(format string, values ...any) {
	r.Findings = append(r.Findings, fmt.Sprintf(format, values...))
}

// Run checks the input.
func Run(in Input) *Report {
	if in.PartialBound == 0 {
		in.PartialBound = defaultPartialBound
	}
	if in.LateBound == 0 {
		in.LateBound = defaultLateBound
	}
	r := &Report{Requests: in.Requests}
	starts := map[job.Key][]worker.RunLine{}
	for _, line := range in.Lines {
		if line.Event == worker.EventStart {
			starts[line.ID.Key()] = append(starts[line.ID.Key()], line)
		}
	}
	r.records(in, starts)
	r.doubled(starts)
	r.gangs(in)
	r.late(in)
	return r
}

// records counts the outcomes. A request without a record counts as unanswered and lost.
func (r *Report) records(in Input, starts map[job.Key][]worker.RunLine) {
	latencies := hdrhistogram.New(1, slowestLatency, digits)
	seen := map[job.Key]bool{}
	for _, record := range in.Records {
		if seen[record.Key] {
			r.Lost++
			r.find("request %s has more than one record", record.Key)
			continue
		}
		seen[record.Key] = true
		if record.Result == load.Unanswered {
			r.Unanswered++
		}
		if fault := recordFault(record, starts[record.Key]); fault != "" {
			r.Lost++
			r.find("request %s is lost: %s", record.Key, fault)
			continue
		}
		r.Completed++
		// Values outside the histogram's range do not occur: latencies are positive and below a day.
		_ = latencies.RecordValue(max(1, record.Latency.Std().Microseconds()))
	}
	if in.Requests == 0 {
		r.Requests = len(seen)
	}
	if missing := in.Requests - len(seen); missing > 0 {
		r.Unanswered += missing
		r.Lost += missing
		r.find("%d requests have no record", missing)
	}
	r.P50 = time.Duration(latencies.ValueAtQuantile(50)) * time.Microsecond
	r.P99 = time.Duration(latencies.ValueAtQuantile(99)) * time.Microsecond
}

// recordFault returns why a request counts as lost, or nothing.
func recordFault(record load.Record, starts []worker.RunLine) string {
	for _, line := range starts {
		for _, at := range record.NotRun {
			if record.Result == job.NotRun || line.Time.Before(at) {
				return fmt.Sprintf("not-run was reported at %s, but task %s started at %s", at, line.ID, line.Time)
			}
		}
	}
	switch {
	case record.Wrong != "":
		return record.Wrong
	case record.Result != job.Done:
		return fmt.Sprintf("%s %s %s", record.Result, record.Code, record.Detail)
	case len(starts) == 0:
		return "it is done, but no worker started it"
	}
	return ""
}

// doubled counts the requests that are not idempotent and started in two attempts, or a member of which
// started twice.
func (r *Report) doubled(starts map[job.Key][]worker.RunLine) {
	for key, lines := range starts {
		if lines[0].Idempotent {
			continue
		}
		members := map[int]bool{}
		for _, line := range lines {
			if members[line.ID.Member] || line.ID.Attempt != lines[0].ID.Attempt || line.Nonce != lines[0].Nonce {
				r.Doubled++
				r.find("request %s started twice: task %s on worker %s and task %s on worker %s", key,
					lines[0].ID, lines[0].Worker, line.ID, line.Worker)
				break
			}
			members[line.ID.Member] = true
		}
	}
}

// late counts the starts in failure domains that were out of service for longer than the bound.
func (r *Report) late(in Input) {
	changes := slices.Clone(in.Changes)
	slices.SortStableFunc(changes, func(a, b Change) int { return a.Time.Compare(b.Time) })
	for _, line := range in.Lines {
		if line.Event != worker.EventStart {
			continue
		}
		var last Change
		for _, change := range changes {
			// A repeated out changes nothing: the first one counts.
			if change.FailureDomain == line.FailureDomain && !change.Time.After(line.Time) && change.State != last.State {
				last = change
			}
		}
		if after := line.Time.Sub(last.Time); last.State == Out && after > in.LateBound {
			r.Late++
			r.find("task %s started in %s %s after its out was acknowledged", line.ID, line.FailureDomain, after)
		}
	}
}
