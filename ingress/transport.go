package ingress

import (
	"context"
	"net"
	"runtime/debug"
	"sync/atomic"
	"time"

	hertzconfig "github.com/cloudwego/hertz/pkg/common/config"
	"github.com/cloudwego/hertz/pkg/network"
	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"

	"clementinepier/eventlog"
	"clementinepier/metrics"
)

const (
	// MaxHeaderSize bounds the headers of a request in bytes. It is the limit that the users' configuration sets.
	MaxHeaderSize = 16 << 10
	// RequestTimeout bounds the time in which a request has to arrive, from its first byte on.
	RequestTimeout = 10 * time.Second
	// acceptRetryDelay is the delay after a connection could not be accepted, as when the process has no descriptor left.
	acceptRetryDelay = 20 * time.Millisecond
	// closingShare is how many connections may be open beyond the budget while they close, as a part of it.
	closingShare = 0.25
	// closePollInterval is how often Shutdown looks whether all connections are closed.
	closePollInterval = 10 * time.Millisecond
	// maxStackSize bounds the stack of a panic in the log, in bytes. The first frames show where it was.
	maxStackSize = 2 << 10
)

// Stack returns the first frames of the calling goroutine, for the log.
func Stack() string {
	stack := debug.Stack()
	return string(stack[:min(len(stack), maxStackSize)])
}

// Transport accepts the connections of callers for the HTTP server, within the budget. Set the exported fields before ListenAndServe.
type Transport struct {
	Listener net.Listener
	Budget   *Budget
	Clock    clockwork.Clock
	Log      *eventlog.Log
	Metrics  *metrics.Set
	// IdleTimeout bounds the time for which a connection has no request, before its first one too.
	IdleTimeout time.Duration

	closing atomic.Bool
	// closed is closed once closing is set.
	closed chan struct{}
	open   atomic.Int64
}

// New returns the transport; it is a function for the options of the server.
func (t *Transport) New(*hertzconfig.Options) network.Transporter {
	t.closed = make(chan struct{})
	return t
}

// ListenAndServe implements network.Transporter. Connections that cannot be accepted do not end it, since a later one may.
func (t *Transport) ListenAndServe(serve network.OnData) error {
	slots := make(chan struct{}, t.Budget.Connections+1+int(closingShare*float64(t.Budget.Connections)))
	for {
		c, err := t.Listener.Accept()
		switch {
		case err == nil:
			// A connection that gives way has its descriptor until its goroutine has run, which takes no longer than one write.
			select {
			case slots <- struct{}{}:
			case <-t.closed:
				_ = c.Close()
				return nil
			}
			t.admit(c, func(conn *Conn) {
				// The server logs and answers errors itself.
				_ = serve(context.Background(), conn)
			}, func() { <-slots })
		case t.closing.Load() || errors.Is(err, net.ErrClosed):
			return nil
		default:
			t.Log.Event("caller-not-accepted", "error", err)
			t.Clock.Sleep(acceptRetryDelay)
		}
	}
}

// admit serves a connection in its own goroutine, or closes it if the budget has no room. Closed is called once it is closed.
func (t *Transport) admit(c net.Conn, serve func(*Conn), closed func()) {
	conn, err := newConn(c, t)
	if err != nil {
		t.refused(c.RemoteAddr(), ReasonOf(err))
		_ = c.Close()
		closed()
		return
	}
	if tcp, ok := c.(*net.TCPConn); ok {
		// A system that does not allow it keeps its own size.
		_ = tcp.SetReadBuffer(receiveBuffer)
	}
	// The server sets no timeout for the first request of a connection. An error shows at the first read.
	_ = conn.SetReadTimeout(t.IdleTimeout)
	t.open.Add(1)
	t.gauge()
	go func() {
		defer closed()
		defer func() {
			t.open.Add(-1)
			t.gauge()
		}()
		defer t.recoverPanic(conn)
		serve(conn)
	}()
}

// recoverPanic closes the connection of a request on which the server panicked outside the handler, so that the process continues to
// serve others.
func (t *Transport) recoverPanic(conn *Conn) {
	value := recover()
	if value == nil {
		return
	}
	t.Log.Event("connection-panicked", "address", conn.RemoteAddr(), "reason", value, "stack", Stack())
	conn.report(ReasonPanic)
	_ = conn.Close()
}

func (t *Transport) gauge() { t.Metrics.SetGauge(metrics.CallersConnected, t.open.Load()) }

// refused counts and logs a caller that was refused or whose connection was closed.
func (t *Transport) refused(address net.Addr, reason Reason) {
	t.Metrics.Add(reason.Counter(), 1)
	connections, memory := t.Budget.Held()
	t.Log.Event("caller-refused", "reason", reason, "address", address, "connections", connections, "memory", memory)
}

// Close implements network.Transporter.
func (t *Transport) Close() error {
	if t.closing.CompareAndSwap(false, true) && t.closed != nil {
		close(t.closed)
	}
	return t.Listener.Close()
}

// Shutdown implements network.Transporter. It closes the listener and waits until all connections are closed or ctx ends.
func (t *Transport) Shutdown(ctx context.Context) error {
	err := t.Close()
	for t.open.Load() > 0 {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-t.Clock.After(closePollInterval):
		}
	}
	return err
}
