// Package check compares the results that callers received with the run logs of the workers.
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
	// The first lease of a gang member is 2 s; the other 500 ms allow for timers and for writing the log.
	defaultPartialBound = 2500 * time.Millisecond
	// A task starts at most 3.5 s after the domain was acknowledged as out of service.
	defaultLateBound = 4 * time.Second

	maxLatencyMicroseconds = int64(24 * time.Hour / time.Microsecond)
	significantDigits      = 3
)

// State says whether a failure domain is in service.
type State string

// The states of a failure domain.
const (
	OutOfService State = "out"
	InService    State = "in"
)

// DomainChange is one change of a failure domain's state. A file of changes has one per line, as JSON.
type DomainChange struct {
	FailureDomain string `json:"failure-domain"`
	State         State  `json:"state"`
	// Time is when OutOfService was acknowledged or when InService was requested. The two differ because tasks may
	// start as soon as a return to service takes effect, which is before its acknowledgement.
	Time time.Time `json:"time"`
}

// Validate returns an error if a field is missing or the state is unknown.
func (c DomainChange) Validate() error {
	if c.FailureDomain == "" || c.State != OutOfService && c.State != InService || c.Time.IsZero() {
		return errors.Errorf("change of a failure domain needs a failure-domain, a state (out or in) and a time: %+v", c)
	}
	return nil
}

// Input is the data and the limits for a check.
type Input struct {
	// Requests is the number of requests sent; 0 means the number of requests with a record.
	Requests int
	Records  []load.Record
	Lines    []worker.RunLine
	Changes  []DomainChange
	// PartialBound is how long a gang may run with only some of its members; 0 means 2.5 s.
	PartialBound time.Duration
	// LateBound is how long tasks may still start in a failure domain after it was acknowledged as out of service;
	// 0 means 4 s.
	LateBound time.Duration
}

// Report is the result of a check.
type Report struct {
	Requests        int
	Completed       int
	DuplicateStarts int
	Lost            int
	PartialGangs    int
	LateStarts      int
	Unanswered      int
	P50             time.Duration
	P99             time.Duration
	// Findings describes the faults, one line each.
	Findings []string
}

// OK reports whether no fault was found.
func (r *Report) OK() bool {
	return r.DuplicateStarts+r.Lost+r.PartialGangs+r.LateStarts+r.Unanswered == 0 && r.Completed == r.Requests
}

// String returns the summary line, which scripts parse.
func (r *Report) String() string {
	verdict := "ok"
	if !r.OK() {
		verdict = "failed"
	}
	return fmt.Sprintf("%s: %d of %d requests completed, %d doubled, %d lost, %d partial gangs, %d late starts, p50 %d ms, p99 %d ms",
		verdict, r.Completed, r.Requests, r.DuplicateStarts, r.Lost, r.PartialGangs, r.LateStarts, r.P50.Milliseconds(), r.P99.Milliseconds())
}

func (r *Report) addFinding(format string, values ...any) {
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
	r.checkRecords(in, starts)
	r.countDuplicateStarts(starts)
	r.countPartialGangs(in)
	r.countLateStarts(in)
	return r
}

// checkRecords counts completed, lost and unanswered requests and computes the latencies. A request without a
// record counts as unanswered and lost.
func (r *Report) checkRecords(in Input, starts map[job.Key][]worker.RunLine) {
	latencies := hdrhistogram.New(1, maxLatencyMicroseconds, significantDigits)
	seen := map[job.Key]bool{}
	for _, record := range in.Records {
		if seen[record.Key] {
			r.Lost++
			r.addFinding("request %s has more than one record", record.Key)
			continue
		}
		seen[record.Key] = true
		if record.Result == load.Unanswered {
			r.Unanswered++
		}
		if reason := lossReason(record, starts[record.Key]); reason != "" {
			r.Lost++
			r.addFinding("request %s is lost: %s", record.Key, reason)
			continue
		}
		r.Completed++
		// The error for a value outside the histogram's range cannot occur: latencies are positive and below a day.
		_ = latencies.RecordValue(max(1, record.Latency.Std().Microseconds()))
	}
	if in.Requests == 0 {
		r.Requests = len(seen)
	}
	if missing := in.Requests - len(seen); missing > 0 {
		r.Unanswered += missing
		r.Lost += missing
		r.addFinding("%d requests have no record", missing)
	}
	r.P50 = time.Duration(latencies.ValueAtQuantile(50)) * time.Microsecond
	r.P99 = time.Duration(latencies.ValueAtQuantile(99)) * time.Microsecond
}

// lossReason returns why a request counts as lost, or "" if it does not.
func lossReason(record load.Record, starts []worker.RunLine) string {
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
		return "its result is done, but no worker started it"
	}
	return ""
}

// countDuplicateStarts counts the requests that are not idempotent and that started in two attempts, or of which
// one member started twice.
func (r *Report) countDuplicateStarts(starts map[job.Key][]worker.RunLine) {
	for key, lines := range starts {
		if lines[0].Idempotent {
			continue
		}
		members := map[int]bool{}
		for _, line := range lines {
			if members[line.ID.Member] || line.ID.Attempt != lines[0].ID.Attempt || line.Nonce != lines[0].Nonce {
				r.DuplicateStarts++
				r.addFinding("request %s started twice: task %s on worker %s and task %s on worker %s", key,
					lines[0].ID, lines[0].Worker, line.ID, line.Worker)
				break
			}
			members[line.ID.Member] = true
		}
	}
}

// countLateStarts counts the starts in failure domains that had been out of service for longer than LateBound.
func (r *Report) countLateStarts(in Input) {
	changes := slices.Clone(in.Changes)
	slices.SortStableFunc(changes, func(a, b DomainChange) int { return a.Time.Compare(b.Time) })
	for _, line := range in.Lines {
		if line.Event != worker.EventStart {
			continue
		}
		var last DomainChange
		for _, change := range changes {
			// A repeated change to the same state is ignored, so the time counts from the first one.
			if change.FailureDomain == line.FailureDomain && !change.Time.After(line.Time) && change.State != last.State {
				last = change
			}
		}
		if after := line.Time.Sub(last.Time); last.State == OutOfService && after > in.LateBound {
			r.LateStarts++
			r.addFinding("task %s started in %s %s after the domain was acknowledged as out of service", line.ID, line.FailureDomain, after)
		}
	}
}
