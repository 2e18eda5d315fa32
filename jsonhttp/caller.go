// Package jsonhttp makes and serves JSON calls over HTTP. Clients of the platform and of workers use it.
package jsonhttp

import (
	"context"
	"fmt"
	"time"

	"github.com/jonboulle/clockwork"
)

const (
	// maxBodySize limits the size of a request or reply body in bytes, and so the memory it takes.
	maxBodySize = 64 << 20
	// idleTimeout is how long an idle connection is kept open.
	idleTimeout = 90 * time.Second
)

// Options are the parameters of a Caller.
type Options struct {
	// Address is the IP address and port of the server.
	Address string
	// MaxConnections limits the open connections to the server, including idle ones.
	MaxConnections int
	// Clock is used for the timeout of each call.
	Clock clockwork.Clock
	// DialTimeout limits the time to connect; 0 means that only the timeout of the call applies.
	DialTimeout time.Duration
}

// Caller sends JSON calls to one server. It never retries.
type Caller struct {
	clock clockwork.Clock
	pool  *pool
}

// NewCaller returns a Caller with its own connection pool.
func NewCaller(o Options) *Caller {
	return &Caller{clock: o.Clock, pool: newPool(o)}
}

// LimitIdle sets the maximum number of idle connections and closes the excess. It returns how many are idle afterwards.
func (c *Caller) LimitIdle(connections int) int { return c.pool.limitIdle(connections) }

// ErrStatus means that the server replied with a status other than 200.
type ErrStatus struct {
	Status int
	Body   []byte
}

// Error implements error.
func (e *ErrStatus) Error() string { return fmt.Sprintf("status %d: %.200s", e.Status, e.Body) }

// Post sends in as JSON to path and decodes the reply into out. The result delivered is false only if no connection was
// obtained for the request, so that no byte of it can have been sent.
func (c *Caller) Post(ctx context.Context, path string, timeout time.Duration, in, out any) (delivered bool, err error) {
	return c.Do(ctx, Request{Path: path, Timeout: timeout, In: in, Out: out})
}
