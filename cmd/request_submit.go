package cmd

import (
	"context"
	"net/http"
	"time"

	"clementinepier/job"
	"clementinepier/message"
)

const (
	// defaultSubmitWait limits how long a request without its own timeout is retried.
	defaultSubmitWait = 30 * time.Second
	// submitGrace is how long after the request's timeout an entry VM may still answer.
	submitGrace = 5 * time.Second
)

// requestArguments are the arguments that all request commands share.
type requestArguments struct {
	online
	TokenFile string `arg:"--token-file,required,env:CLEMENTINEPIER_TOKEN_FILE" placeholder:"FILE" help:"file with the organisation's token"`
}

func (s *invocation) requestClient(a requestArguments) (*client, error) {
	c, err := s.client(a.online)
	if err != nil {
		return nil, err
	}
	return c, c.readToken(a.TokenFile)
}

type requestSubmitCommand struct {
	requestArguments
	Service         string        `arg:"--service,required" help:"service, as the bundle names it"`
	ID              string        `arg:"--id" help:"id of the request; repeat it to ask again for the same request (default: random)"`
	Tasks           int           `arg:"--tasks" default:"1" help:"number of tasks; all run in one rack"`
	Accelerators    int           `arg:"--accelerators" default:"0" help:"accelerators of each task"`
	Slots           int           `arg:"--slots" default:"1" help:"worker slots of each task"`
	Payload         string        `arg:"--payload" placeholder:"FILE" help:"file that every task gets; - reads the standard input"`
	Timeout         time.Duration `arg:"--timeout" help:"time until the answer is due (default: that of the service)"`
	DeclaredRunTime time.Duration `arg:"--declared-run-time" help:"estimate of the run time; a hint only"`
	Idempotent      bool          `arg:"--idempotent" help:"the request may start more than once"`
	Urgent          bool          `arg:"--urgent" help:"goes before other requests of the organisation"`
}

func (*requestSubmitCommand) example() string {
	return "request submit --service provenance --accelerators 1 --payload photo.json --idempotent --token-file token --entry 10.0.0.1:8080"
}

func (c *requestSubmitCommand) run(ctx context.Context, s *invocation) error {
	cl, err := s.requestClient(c.requestArguments)
	if err != nil {
		return err
	}
	request := job.Request{
		ID: c.ID, Service: c.Service, Idempotent: c.Idempotent, Urgent: c.Urgent,
		Shape:           job.Shape{Tasks: c.Tasks, Accelerators: c.Accelerators, Slots: c.Slots},
		Timeout:         job.Duration(c.Timeout),
		DeclaredRunTime: job.Duration(c.DeclaredRunTime),
	}
	if request.ID == "" {
		if request.ID, err = s.newID(); err != nil {
			return err
		}
	}
	if c.Payload != "" {
		if request.Payload, err = s.readFile(c.Payload); err != nil {
			return err
		}
	}
	s.note("request id %s", request.ID)
	outcome, err := cl.submit(ctx, request)
	if err != nil {
		if IsErrNoAnswer(err) {
			s.note("the request may run; ask again with --id %s and the same arguments", request.ID)
		}
		return err
	}
	return s.printOutcome(outcome, c.JSON)
}

// submit sends the request, with retries, until an entry VM answers or the timeout has passed. Every attempt carries the
// same id, by which the entry VMs recognise a duplicate.
func (c *client) submit(ctx context.Context, request job.Request) (job.Outcome, error) {
	wait := request.Timeout.Std()
	if wait <= 0 {
		wait = defaultSubmitWait
	}
	deadline := c.Clock.Now().Add(wait)
	var outcome job.Outcome
	err := c.retry(ctx, deadline, func() error {
		callTimeLimit := time.Duration(0)
		if request.Timeout > 0 {
			request.Timeout = job.Duration(deadline.Sub(c.Clock.Now()))
			callTimeLimit = request.Timeout.Std() + submitGrace
		}
		outcome = job.Outcome{}
		return c.callWithin(ctx, callTimeLimit, http.MethodPost, message.PathRequests, request, &outcome)
	})
	return outcome, err
}

// printOutcome prints an outcome as JSON or, if the request succeeded, as the plain answer. For any other outcome it
// returns an error with the matching exit code.
func (s *invocation) printOutcome(outcome job.Outcome, asJSON bool) error {
	if asJSON {
		if err := s.printJSON(outcome); err != nil {
			return err
		}
	}
	outcomeError := func(code int) error {
		if outcome.RetryAfter > 0 {
			return exitf(code, "%s: %s: %s; try again after %s", outcome.Result, outcome.Code, outcome.Detail, outcome.RetryAfter)
		}
		return exitf(code, "%s: %s: %s", outcome.Result, outcome.Code, outcome.Detail)
	}
	switch {
	case outcome.Result == job.NotRun:
		return outcomeError(ExitNotRun)
	case outcome.Result != job.Done:
		return outcomeError(ExitUnknown)
	case outcome.Code != job.CodeOK:
		return outcomeError(ExitTaskFailed)
	}
	if !asJSON {
		_, err := s.stdout.Write(outcome.Answer)
		return err
	}
	return nil
}
