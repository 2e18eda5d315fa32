package jsonhttp

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"

	"clementinepier/trace"
)

// Request describes one call.
type Request struct {
	// Method is an HTTP method; empty means POST.
	Method string
	Path   string
	Query  url.Values
	Header http.Header
	// Timeout limits the call; 0 means that only the context does.
	Timeout time.Duration
	// In is sent as the JSON body unless it is nil.
	In any
	// Out receives the decoded reply unless it is nil.
	Out any
	// Decode reads the body of a reply with status 200 as it arrives, in place of Out. Its error becomes that of the call.
	Decode func(body io.Reader) error
}

// Do makes a call. The result delivered is false only if no connection was obtained for the request, so that no byte of it
// can have been sent. A reply with a status other than 200 is returned as an *ErrStatus.
func (c *Caller) Do(ctx context.Context, q Request) (delivered bool, err error) {
	var body io.Reader
	if q.In != nil {
		data, err := json.Marshal(q.In)
		if err != nil {
			return false, errors.Wrap(err, "encode request")
		}
		body = bytes.NewReader(data)
	}
	if q.Timeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = clockwork.WithTimeout(ctx, c.clock, q.Timeout)
		defer cancel()
	}
	request, err := c.newRequest(ctx, q, body)
	if err != nil {
		return false, err
	}
	connection, err := c.pool.get(ctx)
	if err != nil {
		return false, err
	}
	status, reply, reusable, err := exchange(ctx, connection, request, q.Decode)
	c.pool.put(connection, reusable)
	switch {
	case err != nil:
		select {
		case <-ctx.Done():
			err = ctx.Err()
		default:
			// Err is not called before ctx has ended, because the context of a fake clock does not support it.
		}
		if errors.Is(err, context.DeadlineExceeded) {
			// The idle connections may have stopped responding as well.
			c.pool.closeIdle()
		}
		return true, errors.WithStack(err)
	case status != http.StatusOK:
		return true, &ErrStatus{Status: status, Body: reply}
	case q.Out == nil:
		return true, nil
	}
	return true, errors.Wrap(json.Unmarshal(reply, q.Out), "decode reply")
}

// exchange writes a request and reads its reply, whose body it passes to decode if the status is 200 and decode is not nil. It is aborted when ctx
// ends.
func exchange(ctx context.Context, c *connection, request *http.Request, decode func(io.Reader) error) (status int, body []byte, reusable bool, err error) {
	// A deadline in the past aborts the reads and writes of a cancelled call. The deadline of ctx is not set on the
	// connection, because it may be a time of another clock.
	stop := context.AfterFunc(ctx, func() { _ = c.SetDeadline(time.Unix(1, 0)) })
	defer func() { reusable = stop() && reusable }()
	w, _ := writers.Get().(*bufio.Writer)
	w.Reset(c)
	err = request.Write(w)
	if err == nil {
		err = w.Flush()
	}
	w.Reset(io.Discard)
	writers.Put(w)
	if err != nil {
		return 0, nil, false, errors.Wrap(err, "write request")
	}
	response, err := http.ReadResponse(c.reader, request)
	if err != nil {
		return 0, nil, false, errors.Wrap(err, "read reply")
	}
	defer func() { _ = response.Body.Close() }()
	if decode != nil && response.StatusCode == http.StatusOK {
		if err := decode(response.Body); err != nil {
			return 0, nil, false, errors.Wrap(err, "decode reply")
		}
	}
	body, err = io.ReadAll(io.LimitReader(response.Body, maxBodySize+1))
	switch {
	case err != nil:
		return 0, nil, false, errors.Wrap(err, "read reply")
	case len(body) > maxBodySize:
		return 0, nil, false, errors.Errorf("reply is longer than %d bytes", maxBodySize)
	}
	return response.StatusCode, body, !response.Close && c.reader.Buffered() == 0, nil
}

func (c *Caller) newRequest(ctx context.Context, q Request, body io.Reader) (*http.Request, error) {
	method := q.Method
	if method == "" {
		method = http.MethodPost
	}
	target := "http://" + c.pool.address + q.Path
	if len(q.Query) > 0 {
		target += "?" + q.Query.Encode()
	}
	request, err := http.NewRequestWithContext(ctx, method, target, body)
	if err != nil {
		return nil, errors.Wrap(err, "build request")
	}
	for name, values := range q.Header {
		request.Header[name] = values
	}
	if body != nil {
		request.Header.Set("Content-Type", "application/json")
	}
	if traceparent := trace.Inject(ctx); traceparent != "" {
		request.Header.Set(trace.HeaderName, traceparent)
	}
	return request, nil
}
