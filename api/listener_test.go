package api

import (
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
)

// fakeListener accepts connections that record their write deadlines.
type fakeListener struct {
	net.Listener
	accepted chan *fakeConn
}

type fakeConn struct {
	net.Conn
	deadline, readDeadline time.Time
}

func (l *fakeListener) Accept() (net.Conn, error) {
	c := &fakeConn{}
	l.accepted <- c
	return c, nil
}

func (c *fakeConn) SetWriteDeadline(t time.Time) error {
	c.deadline = t
	return nil
}

func (c *fakeConn) SetReadDeadline(t time.Time) error {
	c.readDeadline = t
	return nil
}

func (c *fakeConn) Write(b []byte) (int, error) { return len(b), nil }

func (c *fakeConn) Close() error { return nil }

// Guards against more open connections than the limit, and against a connection that stays open because the caller sends no
// request, or does not read the reply.
func TestConnectionsAndWritesAreBounded(t *testing.T) {
	is := is.New(t)
	inner := &fakeListener{accepted: make(chan *fakeConn, 2)}
	listener := newLimitListener(inner, 1)
	first, err := listener.Accept()
	is.NoErr(err)
	_, err = first.Write([]byte("reply"))
	is.NoErr(err)
	accepted := <-inner.accepted
	is.True(!accepted.deadline.IsZero())
	is.True(!accepted.readDeadline.IsZero())
	second := make(chan net.Conn)
	go func() {
		c, _ := listener.Accept()
		second <- c
	}()
	is.Equal(len(listener.(*limitListener).slots), 1)
	is.Equal(len(inner.accepted), 0) // the second connection waits for the first one's slot
	is.NoErr(first.Close())
	is.NoErr(first.Close()) // a second close must not free another slot
	is.NoErr((<-second).Close())
	is.Equal(len(listener.(*limitListener).slots), 0)
}
