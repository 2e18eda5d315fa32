// Package jsonhttp sends JSON calls over HTTP for the clients of the platform and of workers.
package jsonhttp

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"

	"clementinepier/trace"
)

const (
	// maxReplySize bounds the memory that one reply can take.
	maxReplySize = 64 << 20
	idleTimeout  = 90 * time.Second
)

// Options are the parameters of a Caller.
type Options struct {
	// Address is the IP number and port of the server.
	Address string
	// MaxConnections bounds the connections to the server, idle ones included.
	MaxConnections int
	// Clock measures the timeout of each call.
	Clock clockwork.Clock
}

// Caller sends JSON calls to one server. It never retries.
type Caller struct {
	address string
	clock   clockwork.Clock
	client  *http.Client
}

// NewCaller returns a Caller with a connection pool of its own.
func NewCaller(o Options) *Caller {
	transport := &http.Transport{
		MaxConnsPerHost:     o.MaxConnections,
		MaxIdleConnsPerHost: o.MaxConnections,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	}
	return &Caller{address: o.Address, clock: o.Clock, client: &http.Client{Transport: transport}}
}

// ErrStatus means that the server replied with a status other than 200.
type ErrStatus struct {
	Status int
	Body   []byte
}

// Error implements error.
func (e *ErrStatus) Error() string { return fmt.Sprintf("status %d: %.200s", e.Status, e.Body) }

// Post sends in as JSON to path and decodes the reply into out. The result delivered is false only when no
// connection was obtained for the request, so that no byte of it can have been sent.
func (c *Caller) Post(ctx context.Context, path string, timeout time.Duration, in, out any) (delivered bool, err error) {
	body, err := json.Marshal(in)
	if err != nil {
		return false, errors.Wrap(err, "encode request")
	}
	ctx, cancel := clockwork.WithTimeout(ctx, c.clock, timeout)
	defer cancel()
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.address+path, bytes.NewReader(body))
	if err != nil {
		return false, errors.Wrap(err, "build request")
	}
	request.Header.Set("Content-Type", "application/json")
	if traceparent := trace.Inject(ctx); traceparent != "" {
		request.Header.Set(trace.HeaderName, traceparent)
	}
	response, err := c.client.Do(request)
	if err != nil {
		return connected.Load(), errors.WithStack(err)
	}
	defer func() { _ = response.Body.Close() }()
	reply, err := io.ReadAll(io.LimitReader(response.Body, maxReplySize+1))
	switch {
	case err != nil:
		return true, errors.Wrap(err, "read reply")
	case len(reply) > maxReplySize:
		return true, errors.Errorf("reply is longer than %d bytes", maxReplySize)
	case response.StatusCode != http.StatusOK:
		return true, &ErrStatus{Status: response.StatusCode, Body: reply}
	}
	return true, errors.Wrap(json.Unmarshal(reply, out), "decode reply")
}
