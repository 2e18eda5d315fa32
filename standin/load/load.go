package load

import (
	"bytes"
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/jonboulle/clockwork"

	"clementinepier/job"
	"clementinepier/standin/worker"
)

const (
	progressInterval = time.Second
	// Time beyond the deadline for the system's own outcome to arrive, such as not-run for a passed deadline.
	grace       = 2 * time.Second
	firstRetry  = 50 * time.Millisecond
	slowestPoll = 500 * time.Millisecond
)

// Runner sends a plan. Its fields are set before Run.
type Runner struct {
	Send  Send
	Clock clockwork.Clock
	// Entries are the addresses of the entry VMs.
	Entries []string
	// Tokens holds the token of each organisation.
	Tokens map[string]string
	// Pause returns after d or when the context ends; NewPause gives one.
	Pause func(ctx context.Context, d time.Duration)
	// Report is called with each record, by one goroutine.
	Report func(Record) error
	// Progress is called every second and at the end with a line of text.
	Progress func(line string)
}

// Run sends every request of the plan when it is due and returns when all have ended.
func (r *Runner) Run(ctx context.Context, plan []Planned) error {
	records := make(chan Record)
	start := r.Clock.Now()
	for i, planned := range plan {
		go func() {
			r.Pause(ctx, planned.After-r.Clock.Since(start))
			records <- r.one(ctx, planned.Request, i)
		}()
	}
	ticker := r.Clock.NewTicker(progressInterval)
	defer ticker.Stop()
	counts := map[job.Result]int{}
	wrong := 0
	var failed error
	progress := func(finished int) {
		r.Progress(fmt.Sprintf("%d of %d finished: %d done, %d not run, %d unknown, %d unanswered, %d wrong", finished, len(plan),
			counts[job.Done], counts[job.NotRun], counts[job.Unknown], counts[Unanswered], wrong))
	}
	for finished := 0; finished < len(plan); {
		select {
		case record := <-records:
			finished++
			counts[record.Result]++
			if record.Wrong != "" {
				wrong++
			}
			if err := r.Report(record); err != nil && failed == nil {
				failed = err
			}
		case <-ticker.Chan():
			progress(finished)
		}
	}
	progress(len(plan))
	return failed
}

// NewPause returns a Pause that waits by the clock.
func NewPause(clock clockwork.Clock) func(ctx context.Context, d time.Duration) {
	return func(ctx context.Context, d time.Duration) {
		if d <= 0 {
			return
		}
		select {
		case <-clock.After(d):
		case <-ctx.Done():
		}
	}
}

// one sends a request until it has a final outcome or its deadline has passed. Tries go to the entry VMs in
// turn, beginning with number first.
func (r *Runner) one(ctx context.Context, request job.Request, first int) Record {
	sent := r.Clock.Now()
	record := Record{Key: request.Key(), Idempotent: request.Idempotent, Tasks: request.Shape.Tasks, Result: Unanswered, Sent: sent}
	pause := backoff.NewExponentialBackOff()
	pause.InitialInterval, pause.MaxInterval = firstRetry, slowestPoll
	timeout := request.Timeout.Std()
	for left := timeout; left > 0 && ctx.Err() == nil; left = timeout - r.Clock.Since(sent) {
		request.Timeout = job.Duration(left)
		record.Entry = r.Entries[(first+record.Tries)%len(r.Entries)]
		record.Tries++
		delay := pause.NextBackOff()
		tryCtx, cancel := clockwork.WithTimeout(ctx, r.Clock, left+grace)
		reply, err := r.Send(tryCtx, record.Entry, r.Tokens[request.Organisation], request)
		cancel()
		if err != nil {
			record.Result, record.Code, record.Detail = Unanswered, job.CodeOK, err.Error()
		} else {
			record.take(request, reply, r.Clock.Now())
			if record.Wrong != "" || record.Result != job.NotRun {
				break
			}
			delay = max(delay, reply.Outcome.RetryAfter.Std())
		}
		r.Pause(ctx, min(delay, timeout-r.Clock.Since(sent)))
	}
	record.Latency = job.Duration(r.Clock.Since(sent))
	return record
}

// take notes a reply and what is wrong with it.
func (record *Record) take(request job.Request, reply Reply, now time.Time) {
	o := reply.Outcome
	record.Result, record.Code, record.Detail = o.Result, o.Code, o.Detail
	if o.Result == job.NotRun {
		record.NotRun = append(record.NotRun, now)
	}
	switch {
	case o.Key != request.Key() && (o.Key != job.Key{} || o.Result == job.Done):
		record.Wrong = "outcome is that of request " + o.Key.String()
	case !slices.Contains(statuses[o.Result], reply.Status):
		record.Wrong = fmt.Sprintf("result %q came with status %d", o.Result, reply.Status)
	case o.Result == job.Done:
		record.Wrong = checkAnswer(request, o)
	case len(o.Answer) > 0:
		record.Wrong = "answer in an outcome that is not done"
	}
}

func checkAnswer(request job.Request, o job.Outcome) string {
	expected, err := worker.ExpectedAnswer(request.Key(), request.Payload)
	switch {
	case err != nil:
		return err.Error()
	case o.Code != job.CodeOK:
		return "done with code " + string(o.Code)
	case !bytes.Equal(expected, o.Answer):
		return fmt.Sprintf("answer of %d bytes is not the expected one of %d bytes", len(o.Answer), len(expected))
	}
	return ""
}
