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
	// Extra time after the deadline in which the system's own outcome can arrive, such as not-run because the deadline passed.
	replyGrace        = 2 * time.Second
	initialRetryDelay = 50 * time.Millisecond
	maxRetryDelay     = 500 * time.Millisecond
)

// Runner sends the requests of a plan. Its fields are set before Run.
type Runner struct {
	Send  Send
	Clock clockwork.Clock
	// Entries are the addresses of the entry VMs.
	Entries []string
	// Tokens maps each organisation to its bearer token.
	Tokens map[string]string
	// Pause returns after d or when the context ends; see NewPause.
	Pause func(ctx context.Context, d time.Duration)
	// Report is called once per record, always from the goroutine that called Run.
	Report func(Record) error
	// Progress is called every second and at the end with a one-line summary.
	Progress func(line string)
}

// Run sends every request of the plan when it is due and returns when all have ended. Its error is the first one
// that Report returned; it does not stop the remaining requests.
func (r *Runner) Run(ctx context.Context, plan []Planned) error {
	records := make(chan Record)
	start := r.Clock.Now()
	for i, planned := range plan {
		go func() {
			r.Pause(ctx, planned.After-r.Clock.Since(start))
			records <- r.sendUntilFinal(ctx, planned.Request, i)
		}()
	}
	ticker := r.Clock.NewTicker(progressInterval)
	defer ticker.Stop()
	counts := map[job.Result]int{}
	wrong := 0
	var reportErr error
	reportProgress := func(finished int) {
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
			if err := r.Report(record); err != nil && reportErr == nil {
				reportErr = err
			}
		case <-ticker.Chan():
			reportProgress(finished)
		}
	}
	reportProgress(len(plan))
	return reportErr
}

// NewPause returns a function for Runner.Pause that waits on clock.
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

// sendUntilFinal sends a request until it has a final outcome or its deadline has passed. Attempts rotate through
// the entry VMs, starting at index firstEntry modulo their number.
func (r *Runner) sendUntilFinal(ctx context.Context, request job.Request, firstEntry int) Record {
	sent := r.Clock.Now()
	record := Record{Key: request.Key(), Idempotent: request.Idempotent, Tasks: request.Shape.Tasks, Result: Unanswered, Sent: sent}
	retryBackoff := backoff.NewExponentialBackOff()
	retryBackoff.InitialInterval, retryBackoff.MaxInterval = initialRetryDelay, maxRetryDelay
	timeout := request.Timeout.Std()
	for remaining := timeout; remaining > 0 && ctx.Err() == nil; remaining = timeout - r.Clock.Since(sent) {
		request.Timeout = job.Duration(remaining)
		record.Entry = r.Entries[(firstEntry+record.Tries)%len(r.Entries)]
		record.Tries++
		delay := retryBackoff.NextBackOff()
		attemptCtx, cancel := clockwork.WithTimeout(ctx, r.Clock, remaining+replyGrace)
		reply, err := r.Send(attemptCtx, record.Entry, r.Tokens[request.Organisation], request)
		cancel()
		if err != nil {
			record.Result, record.Code, record.Detail = Unanswered, job.CodeOK, err.Error()
		} else {
			record.applyReply(request, reply, r.Clock.Now())
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

// applyReply copies a reply's outcome into the record and sets Wrong if the reply is invalid.
func (record *Record) applyReply(request job.Request, reply Reply, now time.Time) {
	outcome := reply.Outcome
	record.Result, record.Code, record.Detail = outcome.Result, outcome.Code, outcome.Detail
	if outcome.Result == job.NotRun {
		record.NotRun = append(record.NotRun, now)
	}
	switch {
	case outcome.Key != request.Key() && (outcome.Key != job.Key{} || outcome.Result == job.Done):
		record.Wrong = "outcome is that of request " + outcome.Key.String()
	case !slices.Contains(validStatuses[outcome.Result], reply.Status):
		record.Wrong = fmt.Sprintf("result %q came with status %d", outcome.Result, reply.Status)
	case outcome.Result == job.Done:
		record.Wrong = checkAnswer(request, outcome)
	case len(outcome.Answer) > 0:
		record.Wrong = "answer in an outcome that is not done"
	}
}

func checkAnswer(request job.Request, outcome job.Outcome) string {
	expected, err := worker.ExpectedAnswer(request.Key(), request.Payload)
	switch {
	case err != nil:
		return err.Error()
	case outcome.Code != job.CodeOK:
		return "done with code " + string(outcome.Code)
	case !bytes.Equal(expected, outcome.Answer):
		return fmt.Sprintf("answer of %d bytes is not the expected one of %d bytes", len(outcome.Answer), len(expected))
	}
	return ""
}
