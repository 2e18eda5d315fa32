package jsonhttp

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"

	"clementinepier/trace"
)

// Request is one call.
type Request struct {
	// Method is an HTTP method; empty means POST.
	Method string
	Path   string
	Query  url.Values
	Header http.Header
	// Timeout bounds the call; 0 leaves that to the context.
	Timeout time.Duration
	// In is sent as JSON unless it is nil.
	In any
	// Out is filled from the reply unless it is nil.
	Out any
}

// newTransport returns a pool of connections to one server.
func newTransport(maxConnections int, dialTimeout time.Duration) *http.Transport {
	return &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxConnsPerHost:     maxConnections,
		MaxIdleConnsPerHost: maxConnections,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	}
}

// Do sends a call. The result delivered is false only when no connection was obtained for the request, so that no byte
// of it can have been sent. A status other than 200 is an *ErrStatus.
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
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	request, err := c.newRequest(ctx, q, body)
	if err != nil {
		return false, err
	}
	response, err := c.client.Do(request)
	if err != nil {
		c.dropSilent(err)
		return connected.Load(), errors.WithStack(err)
	}
	defer func() { _ = response.Body.Close() }()
	reply, err := io.ReadAll(io.LimitReader(response.Body, maxReplySize+1))
	switch {
	case err != nil:
		c.dropSilent(err)
		return true, errors.Wrap(err, "read reply")
	case len(reply) > maxReplySize:
		return true, errors.Errorf("reply is longer than %d bytes", maxReplySize)
	case response.StatusCode != http.StatusOK:
		return true, &ErrStatus{Status: response.StatusCode, Body: reply}
	case q.Out == nil:
		return true, nil
	}
	return true, errors.Wrap(json.Unmarshal(reply, q.Out), "decode reply")
}

// dropSilent closes the idle connections after a call that timed out: they may have gone silent with it.
func (c *Caller) dropSilent(err error) {
	if errors.Is(err, context.DeadlineExceeded) {
		c.client.CloseIdleConnections()
	}
}

func (c *Caller) newRequest(ctx context.Context, q Request, body io.Reader) (*http.Request, error) {
	method := q.Method
	if method == "" {
		method = http.MethodPost
	}
	target := "http://" + c.address + q.Path
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
