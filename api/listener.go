package api

import (
	"net"
	"sync"
	"time"
)

// limitListener bounds the number of open connections. Further ones wait in the accept queue of the kernel.
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
	// The library sets no timeout for the first request of a connection. An error shows at the first read.
	_ = c.SetReadDeadline(time.Now().Add(readTimeout))
	return &limitConn{Conn: c, release: sync.OnceFunc(func() { <-l.slots })}, nil
}

// limitConn frees its slot when it is closed, and sets a deadline for each write. The library's standard transport has no
// write timeout, so a caller that stops reading would keep its connection forever.
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
