package jsonhttp

import (
	"bufio"
	"context"
	"io"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"
)

const (
	// readerSize is the buffer of a connection; longer replies are read past it.
	readerSize = 2 << 10
	// probeAfter is how long a connection may be idle before it is checked for an end that the server has sent meanwhile.
	probeAfter = 100 * time.Millisecond
)

// pool has the connections to one server. Calls read and write on their own goroutine, so that a connection costs no goroutine
// and a call no hand-over between goroutines; a planner keeps connections to more than a thousand workers.
type pool struct {
	address     string
	clock       clockwork.Clock
	dialTimeout time.Duration
	// places has a value for each connection that may be open; nil is no bound.
	places chan struct{}

	mu sync.Mutex
	// idle has the connections without a call, the one that was used last at the end.
	idle []*connection
	// maxIdle bounds the idle connections.
	maxIdle int
}

type connection struct {
	net.Conn
	reader *bufio.Reader
	// used is when the last call ended.
	used time.Time
}

func newPool(o Options) *pool {
	p := &pool{address: o.Address, clock: o.Clock, dialTimeout: o.DialTimeout, maxIdle: o.MaxConnections}
	if o.MaxConnections > 0 {
		p.places = make(chan struct{}, o.MaxConnections)
	}
	return p
}

// get returns an idle connection, or else opens one.
func (p *pool) get(ctx context.Context) (*connection, error) {
	if p.places != nil {
		select {
		case p.places <- struct{}{}:
		case <-ctx.Done():
			return nil, errors.Wrap(ctx.Err(), "wait for a connection")
		}
	}
	for c := p.takeIdle(); c != nil; c = p.takeIdle() {
		if p.clock.Since(c.used) < probeAfter || c.alive() {
			return c, nil
		}
		_ = c.Close()
	}
	raw, err := (&net.Dialer{Timeout: p.dialTimeout}).DialContext(undated{ctx}, "tcp", p.address)
	if err != nil {
		p.leave()
		return nil, errors.WithStack(err)
	}
	return &connection{Conn: raw, reader: bufio.NewReaderSize(raw, readerSize)}, nil
}

// undated hides the deadline of a context from a dialer, which would compare it with the time of day; it may be one of another clock.
// The context still ends the dial.
type undated struct{ context.Context }

// Deadline implements context.Context.
func (undated) Deadline() (time.Time, bool) { return time.Time{}, false }

func (p *pool) takeIdle() *connection {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle) == 0 {
		return nil
	}
	c := p.idle[len(p.idle)-1]
	p.idle = p.idle[:len(p.idle)-1]
	return c
}

// put takes a connection back; it is closed if it cannot be used again.
func (p *pool) put(c *connection, reusable bool) {
	defer p.leave()
	if !reusable {
		// The call's outcome is known already.
		_ = c.Close()
		return
	}
	c.used = p.clock.Now()
	p.mu.Lock()
	p.idle = append(p.idle, c)
	spare := p.trim(c.used)
	p.mu.Unlock()
	closeAll(spare)
}

func (p *pool) leave() {
	if p.places != nil {
		<-p.places
	}
}

// trim takes out the connections beyond the bound and those that were idle for too long.
func (p *pool) trim(now time.Time) []*connection {
	n := 0
	for n < len(p.idle) && (len(p.idle)-n > p.maxIdle || now.Sub(p.idle[n].used) > idleTimeout) {
		n++
	}
	spare := append([]*connection(nil), p.idle[:n]...)
	p.idle = append(p.idle[:0], p.idle[n:]...)
	return spare
}

// limit sets the bound on idle connections and closes those that were idle for too long. It returns how many are left.
func (p *pool) limit(maxIdle int) int {
	p.mu.Lock()
	p.maxIdle = maxIdle
	spare := p.trim(p.clock.Now())
	left := len(p.idle)
	p.mu.Unlock()
	closeAll(spare)
	return left
}

// closeIdle closes the connections that no call uses.
func (p *pool) closeIdle() {
	p.mu.Lock()
	spare := p.idle
	p.idle = nil
	p.mu.Unlock()
	closeAll(spare)
}

func closeAll(connections []*connection) {
	for _, c := range connections {
		// Nothing was sent that would have to be written.
		_ = c.Close()
	}
}

// alive reports whether the server has neither closed the connection nor sent what was not asked for.
func (c *connection) alive() bool {
	raw, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return false
	}
	silent := false
	err = control.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		silent = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && silent
}

// writers are the buffers of requests that are being written.
var writers = sync.Pool{New: func() any { return bufio.NewWriterSize(io.Discard, 4<<10) }}
