package cmd

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"reflect"
	"strings"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/pkg/errors"

	"clementinepier/bundle"
	"clementinepier/job"
	"clementinepier/message"
)

const (
	// callTimeout limits each call that the entry VM answers without waiting for a task.
	callTimeout = 5 * time.Second
	// minRetryDelay and maxRetryDelay limit the exponential backoff between retries.
	minRetryDelay = 100 * time.Millisecond
	maxRetryDelay = 2 * time.Second
	// maxShownReply is the number of bytes of a non-JSON reply that an error message quotes.
	maxShownReply = 200
)

// ErrNoAnswer means that no entry VM gave a usable answer. The call may have taken effect.
type ErrNoAnswer struct{ Causes []string }

// Error implements error.
func (e *ErrNoAnswer) Error() string { return "no entry VM answered: " + strings.Join(e.Causes, "; ") }

// IsErrNoAnswer reports whether err is or wraps an *ErrNoAnswer.
func IsErrNoAnswer(err error) bool {
	var target *ErrNoAnswer
	return errors.As(err, &target)
}

// ErrRefused means that an entry VM answered with an error status.
type ErrRefused struct {
	Entry  string
	Status int
	Reply  message.Error
}

// Error implements error.
func (e *ErrRefused) Error() string {
	text := fmt.Sprintf("%s: %s", e.Entry, e.Reply.Detail)
	if e.Reply.Code != "" {
		text = fmt.Sprintf("%s: %s: %s", e.Entry, e.Reply.Code, e.Reply.Detail)
	}
	if e.Reply.Code == job.CodeRevisionConflict {
		text += fmt.Sprintf(" (change %q won; the revision is %d)", e.Reply.ChangeID, e.Reply.Revision)
	}
	return text
}

// IsErrRefused reports whether err is or wraps an *ErrRefused.
func IsErrRefused(err error) bool {
	var target *ErrRefused
	return errors.As(err, &target)
}

// refusedWith reports whether err is or wraps an *ErrRefused with the code.
func refusedWith(err error, code job.Code) bool {
	var target *ErrRefused
	return errors.As(err, &target) && target.Reply.Code == code
}

// notFound reports whether an entry VM answered with HTTP status 404.
func notFound(err error) bool {
	var target *ErrRefused
	return errors.As(err, &target) && target.Status == http.StatusNotFound
}

// online has the arguments of every command that calls an entry VM.
type online struct {
	Entry []string `arg:"--entry,separate,env:CLEMENTINEPIER_ENTRY" placeholder:"ADDRESS" help:"address and port of an entry VM; repeat it to name others that are tried when one does not answer"`
	JSON  bool     `arg:"--json" help:"print the result as JSON"`
}

// client calls the entry VMs in turn until one answers.
type client struct {
	*invocation
	entries []string
	token   string
	// readKey signs GET requests so that the configuration is returned with its bundle; if nil, the bundle is omitted.
	readKey *bundle.PrivateKey
	// first is the index of the entry VM that answered most recently; the next call tries it first.
	first int
}

func (s *invocation) client(o online) (*client, error) {
	if len(o.Entry) == 0 {
		return nil, exitf(ExitUsage, "--entry is missing")
	}
	for _, address := range o.Entry {
		if _, port, err := net.SplitHostPort(address); err != nil || port == "" {
			return nil, exitf(ExitUsage, "--entry %q is not an address with a port, such as 10.0.0.1:8080", address)
		}
	}
	return &client{invocation: s, entries: o.Entry}, nil
}

// readToken reads the organisation's token.
func (c *client) readToken(path string) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	c.token = strings.TrimSpace(string(data))
	notVisible := func(r rune) bool { return r <= ' ' || r > '~' }
	if c.token == "" || strings.ContainsFunc(c.token, notVisible) {
		return exitf(ExitInvalid, "%s: must hold one token of visible ASCII characters", path)
	}
	return nil
}

// call tries the entry VMs in turn, each at most once, and decodes the first successful answer into out. It returns
// *ErrRefused if one of them answered with an error, else *ErrNoAnswer. A permanent error ends the call at once; after
// a temporary one, the remaining entry VMs are still tried.
func (c *client) call(ctx context.Context, method, path string, in, out any) error {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(len(c.entries))*callTimeout)
	defer cancel()
	return c.callWithin(ctx, callTimeout, method, path, in, out)
}

// callWithin is call with the given timeout for each entry VM; 0 means no timeout.
func (c *client) callWithin(ctx context.Context, timeout time.Duration, method, path string, in, out any) error {
	body, err := json.Marshal(in)
	if err != nil {
		return errors.Wrap(err, "encode call")
	}
	var causes []string
	var refusal error
	for i := range c.entries {
		index := (c.first + i) % len(c.entries)
		err := c.callOne(ctx, timeout, c.entries[index], method, path, body, out)
		var refused *ErrRefused
		switch {
		case err == nil:
			c.first = index
			return nil
		case errors.As(err, &refused) && !refused.temporary():
			c.first = index
			return err
		case refused != nil:
			refusal = err
		default:
			causes = append(causes, fmt.Sprintf("%s: %s", c.entries[index], err))
		}
	}
	if refusal != nil {
		return refusal
	}
	return &ErrNoAnswer{Causes: causes}
}

// temporary reports whether another entry VM, or the same one later, may accept the call.
func (e *ErrRefused) temporary() bool {
	return e.Status == http.StatusBadGateway || e.Status == http.StatusServiceUnavailable || e.Status == http.StatusGatewayTimeout
}

func (c *client) callOne(ctx context.Context, timeout time.Duration, entry, method, path string, body []byte, out any) error {
	if timeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, timeout)
		defer cancel()
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+entry+path, nil)
	if err != nil {
		return err
	}
	if method == http.MethodPost {
		request.Body = io.NopCloser(bytes.NewReader(body))
		request.ContentLength = int64(len(body))
		request.Header.Set("Content-Type", "application/json")
	}
	if c.readKey != nil && method == http.MethodGet {
		request.Header.Set("Authorization", bundle.SignRead(c.readKey, path, c.Clock.Now()).String())
	}
	if c.token != "" {
		request.Header.Set("Authorization", "Bearer "+c.token)
	}
	response, err := c.HTTP.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	data, err := readBounded(response.Body, "answer")
	if err != nil {
		return err
	}
	if response.StatusCode/100 == 2 {
		return errors.Wrap(decodeInto(out, data), "answer cannot be decoded")
	}
	// The outcome of an unsuccessful request can arrive with an HTTP error status; the body is still a job.Outcome.
	if outcome, isOutcome := out.(*job.Outcome); isOutcome {
		var ended job.Outcome
		if json.Unmarshal(data, &ended) == nil && ended.Result != "" && ended.Code != job.CodeStopping {
			*outcome = ended
			return nil
		}
	}
	return &ErrRefused{Entry: entry, Status: response.StatusCode, Reply: decodeError(response.StatusCode, data)}
}

// decodeInto decodes into a new value and then replaces *out, so that no field of an earlier, partly decoded answer
// remains.
func decodeInto(out any, data []byte) error {
	fresh := reflect.New(reflect.TypeOf(out).Elem())
	if err := json.Unmarshal(data, fresh.Interface()); err != nil {
		return err
	}
	reflect.ValueOf(out).Elem().Set(fresh.Elem())
	return nil
}

func decodeError(status int, data []byte) message.Error {
	var reply message.Error
	if json.Unmarshal(data, &reply) == nil && reply.Code != "" {
		return reply
	}
	if len(data) > maxShownReply {
		data = data[:maxShownReply]
	}
	return message.Error{Detail: fmt.Sprintf("HTTP status %d: %q", status, data)}
}

// retry repeats do with exponential backoff until it succeeds, fails permanently, or the next attempt would start
// after the deadline.
func (c *client) retry(ctx context.Context, deadline time.Time, do func() error) error {
	delays := backoff.NewExponentialBackOff()
	delays.InitialInterval, delays.MaxInterval = minRetryDelay, maxRetryDelay
	for {
		err := do()
		var refused *ErrRefused
		retryable := IsErrNoAnswer(err) || errors.As(err, &refused) && refused.temporary() && refused.Reply.Code != job.CodeNoConfiguration
		wait := delays.NextBackOff()
		if !retryable || c.Clock.Now().Add(wait).After(deadline) {
			return err
		}
		c.note("trying again: %s", err)
		if sleepErr := c.sleep(ctx, wait); sleepErr != nil {
			return err
		}
	}
}

func (c *client) sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-c.Clock.After(d):
		return nil
	}
}

// config returns the configuration in force; it is empty when there is none.
func (c *client) config(ctx context.Context, deadline time.Time) (message.Config, error) {
	var config message.Config
	err := c.retry(ctx, deadline, func() error {
		config = message.Config{}
		return c.call(ctx, http.MethodGet, message.PathConfig, nil, &config)
	})
	if refusedWith(err, job.CodeNoConfiguration) {
		return message.Config{}, nil
	}
	return config, err
}
