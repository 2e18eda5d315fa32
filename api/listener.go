package api

import (
	"net"
	"sync"
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

// limitConn returns its slot when it is closed.
type limitConn struct {
	net.Conn
	release func()
}

// Close implements net.Conn.
func (c *limitConn) Close() error {
	defer c.release()
	return c.Conn.Close()
}
