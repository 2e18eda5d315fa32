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
	// readerSize is the size of a connection's read buffer; the body of a longer reply is read in several steps.
	readerSize = 2 << 10
	// probeAfter is the idle time after which a connection is probed before reuse, as the server may have closed it.
	probeAfter = 100 * time.Millisecond
)

// pool holds the connections to one server. Calls read and write on the caller's goroutine, so that a connection needs no
// goroutine and a call no switch between goroutines; a planner keeps connections to more than a thousand workers.
type pool struct {
	address     string
	clock       clockwork.Clock
	dialTimeout time.Duration
	// slots holds one value for each connection in use by a call and limits their number; nil means no limit.
	slots chan struct{}

	mu sync.Mutex
	// idle contains the idle connections, the most recently used last.
	idle []*connection
	// maxIdle is the maximum number of idle connections.
	maxIdle int
}

type connection struct {
	net.Conn
	reader *bufio.Reader
	// lastUsed is when the last call on the connection ended.
	lastUsed time.Time
}

func newPool(o Options) *pool {
	p := &pool{address: o.Address, clock: o.Clock, dialTimeout: o.DialTimeout, maxIdle: o.MaxConnections}
	if o.MaxConnections > 0 {
		p.slots = make(chan struct{}, o.MaxConnections)
	}
	return p
}

// get returns an idle connection, or opens a new one if there is none. It waits while all slots are in use.
func (p *pool) get(ctx context.Context) (*connection, error) {
	if p.slots != nil {
		select {
		case p.slots <- struct{}{}:
		case <-ctx.Done():
			return nil, errors.Wrap(ctx.Err(), "wait for a connection")
		}
	}
	for c := p.popIdle(); c != nil; c = p.popIdle() {
		if p.clock.Since(c.lastUsed) < probeAfter || c.alive() {
			return c, nil
		}
		_ = c.Close()
	}
	raw, err := (&net.Dialer{Timeout: p.dialTimeout}).DialContext(withoutDeadline{ctx}, "tcp", p.address)
	if err != nil {
		p.releaseSlot()
		return nil, errors.WithStack(err)
	}
	return &connection{Conn: raw, reader: bufio.NewReaderSize(raw, readerSize)}, nil
}

// withoutDeadline hides the deadline of a context from net.Dialer, which would compare it with the system time although it
// may be a time of another clock. The end of the context still aborts the dial.
type withoutDeadline struct{ context.Context }

// Deadline implements context.Context.
func (withoutDeadline) Deadline() (time.Time, bool) { return time.Time{}, false }

func (p *pool) popIdle() *connection {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle) == 0 {
		return nil
	}
	c := p.idle[len(p.idle)-1]
	p.idle = p.idle[:len(p.idle)-1]
	return c
}

// put returns a connection to the pool, or closes it if it is not reusable.
func (p *pool) put(c *connection, reusable bool) {
	defer p.releaseSlot()
	if !reusable {
		// The outcome of the call is already known, so the error does not matter.
		_ = c.Close()
		return
	}
	c.lastUsed = p.clock.Now()
	p.mu.Lock()
	p.idle = append(p.idle, c)
	excess := p.trim(c.lastUsed)
	p.mu.Unlock()
	closeAll(excess)
}

func (p *pool) releaseSlot() {
	if p.slots != nil {
		<-p.slots
	}
}

// trim removes and returns the idle connections in excess of maxIdle and those idle for longer than idleTimeout. The caller
// holds mu.
func (p *pool) trim(now time.Time) []*connection {
	n := 0
	for n < len(p.idle) && (len(p.idle)-n > p.maxIdle || now.Sub(p.idle[n].lastUsed) > idleTimeout) {
		n++
	}
	excess := append([]*connection(nil), p.idle[:n]...)
	p.idle = append(p.idle[:0], p.idle[n:]...)
	return excess
}

// limitIdle sets the maximum number of idle connections, closes the excess and those idle for longer than idleTimeout, and
// returns how many are left.
func (p *pool) limitIdle(maxIdle int) int {
	p.mu.Lock()
	p.maxIdle = maxIdle
	excess := p.trim(p.clock.Now())
	left := len(p.idle)
	p.mu.Unlock()
	closeAll(excess)
	return left
}

// closeIdle closes all idle connections.
func (p *pool) closeIdle() {
	p.mu.Lock()
	excess := p.idle
	p.idle = nil
	p.mu.Unlock()
	closeAll(excess)
}

func closeAll(connections []*connection) {
	for _, c := range connections {
		// No written data is pending, so the error does not matter.
		_ = c.Close()
	}
}

// alive reports whether the server has neither closed the idle connection nor sent unsolicited data.
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

// writers is a pool of write buffers for requests.
var writers = sync.Pool{New: func() any { return bufio.NewWriterSize(io.Discard, 4<<10) }}
