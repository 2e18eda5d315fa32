// Package jsonhttp sends JSON calls over HTTP for the clients of the platform and of workers.
package jsonhttp

import (
	"context"
	"fmt"
	"time"

	"github.com/jonboulle/clockwork"
)

const (
	// maxReplySize bounds the memory that one reply can take.
	maxReplySize = 64 << 20
	// idleTimeout is how long a connection is kept without a call.
	idleTimeout = 90 * time.Second
)

// Options are the parameters of a Caller.
type Options struct {
	// Address is the IP number and port of the server.
	Address string
	// MaxConnections bounds the connections to the server, idle ones included.
	MaxConnections int
	// Clock measures the timeout of each call.
	Clock clockwork.Clock
	// DialTimeout bounds the time to connect; 0 leaves that to the timeout of the call.
	DialTimeout time.Duration
}

// Caller sends JSON calls to one server. It never retries.
type Caller struct {
	clock clockwork.Clock
	pool  *pool
}

// NewCaller returns a Caller with a connection pool of its own.
func NewCaller(o Options) *Caller {
	return &Caller{clock: o.Clock, pool: newPool(o)}
}

// LimitIdle bounds the connections that are kept without a call. It returns how many are kept now.
func (c *Caller) LimitIdle(connections int) int { return c.pool.limit(connections) }

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
	return c.Do(ctx, Request{Path: path, Timeout: timeout, In: in, Out: out})
}
