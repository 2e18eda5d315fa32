package api

import (
	"net"
	"sync"
	"time"
)

// limitListener accepts at most a number of connections at a time. Further ones wait in the backlog.
type limitListener struct {
	net.Listener
	slots chan struct{}
}

func newLimitListener(listener net.Listener, limit int) net.Listener {
	return &limitListener{Listener: listener, slots: make(chan struct{}, max(1, limit))}
}

// Accept implements net.Listener.
func (l *limitListener) Accept() (net.Conn, error) {
	l.slots <- struct{}{}
	c, err := l.Listener.Accept()
	if err != nil {
		<-l.slots
		return nil, err
	}
	return &limitConn{Conn: c, release: sync.OnceFunc(func() { <-l.slots })}, nil
}

// limitConn returns its slot when it is closed, and bounds the time of each write. The library's standard transport has
// no bound on writes, so a caller that stops reading would keep its connection for ever.
type limitConn struct {
	net.Conn
	release func()
}

// Write implements net.Conn.
func (c *limitConn) Write(b []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return 0, err
	}
	return c.Conn.Write(b)
}

// Close implements net.Conn.
func (c *limitConn) Close() error {
	defer c.release()
	return c.Conn.Close()
}
