package jsonhttp

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"github.com/pkg/errors"
)

// listen serves connections on loopback with f. It returns the address and the number of accepted connections.
func listen(t *testing.T, f func(c net.Conn, requests *bufio.Reader)) (string, *atomic.Int64) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	var opened atomic.Int64
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			opened.Add(1)
			go func() {
				defer func() { _ = c.Close() }()
				f(c, bufio.NewReader(c))
			}()
		}
	}()
	return listener.Addr().String(), &opened
}

// replyToAll replies to every request on a connection.
func replyToAll(c net.Conn, requests *bufio.Reader) {
	for replyToOne(c, requests) {
	}
}

func replyToOne(c net.Conn, requests *bufio.Reader) bool {
	if _, err := http.ReadRequest(requests); err != nil {
		return false
	}
	_, err := fmt.Fprint(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}")
	return err == nil
}

func newTestCaller(address string) *Caller {
	return NewCaller(Options{Address: address, MaxConnections: 4, Clock: clockwork.NewRealClock(), DialTimeout: time.Second})
}

// Guards against opening a new connection for each call.
func TestConnectionIsReused(t *testing.T) {
	is := is.New(t)
	address, opened := listen(t, replyToAll)
	c := newTestCaller(address)
	for range 20 {
		_, err := c.Do(context.Background(), Request{Path: "/", Timeout: time.Second})
		is.NoErr(err)
	}
	is.Equal(opened.Load(), int64(1))
}

// Guards against discarding a connection because the deadline of its previous call has passed.
func TestConnectionOutlivesTheDeadlineOfItsCall(t *testing.T) {
	is := is.New(t)
	address, opened := listen(t, replyToAll)
	c := newTestCaller(address)
	for range 3 {
		_, err := c.Do(context.Background(), Request{Path: "/", Timeout: probeAfter})
		is.NoErr(err)
		time.Sleep(2 * probeAfter)
	}
	is.Equal(opened.Load(), int64(1))
}

// Guards against a call that fails because the server has closed the idle connection, as servers do after some seconds.
func TestConnectionClosedByServerIsNotReused(t *testing.T) {
	is := is.New(t)
	address, opened := listen(t, func(c net.Conn, requests *bufio.Reader) { replyToOne(c, requests) })
	c := newTestCaller(address)
	for range 3 {
		_, err := c.Do(context.Background(), Request{Path: "/", Timeout: time.Second})
		is.NoErr(err)
		time.Sleep(2 * probeAfter)
	}
	is.Equal(opened.Load(), int64(3))
}

// Guards against a call that outlives its context, and against reusing a connection on which a reply may still arrive.
func TestCallEndsWithItsContext(t *testing.T) {
	is := is.New(t)
	address, opened := listen(t, func(_ net.Conn, requests *bufio.Reader) {
		_, _ = http.ReadRequest(requests)
		_, _ = requests.ReadByte()
	})
	c := newTestCaller(address)
	for i, test := range []struct {
		context func() (context.Context, context.CancelFunc)
		reason  error
	}{
		{func() (context.Context, context.CancelFunc) {
			return context.WithTimeout(context.Background(), 50*time.Millisecond)
		}, context.DeadlineExceeded},
		{func() (context.Context, context.CancelFunc) {
			ctx, cancel := context.WithCancel(context.Background())
			time.AfterFunc(50*time.Millisecond, cancel)
			return ctx, cancel
		}, context.Canceled},
	} {
		ctx, cancel := test.context()
		from := time.Now()
		delivered, err := c.Do(ctx, Request{Path: "/"})
		cancel()
		is.True(errors.Is(err, test.reason))
		is.True(delivered)
		is.True(time.Since(from) < 5*time.Second)
		is.Equal(opened.Load(), int64(i+1))
	}
}

// Guards against reporting a call as delivered although no connection was obtained.
func TestCallOnRefusedConnectionIsNotDelivered(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	address := listener.Addr().String()
	is.NoErr(listener.Close())
	delivered, err := newTestCaller(address).Do(context.Background(), Request{Path: "/", Timeout: time.Second})
	is.True(err != nil)
	is.True(!delivered)
}

// Guards against exceeding the limit of open connections that the server accepts, and the limit of idle connections.
func TestConnectionsAreLimited(t *testing.T) {
	is := is.New(t)
	address, opened := listen(t, replyToAll)
	c := newTestCaller(address)
	done := make(chan error)
	const calls = 32
	for range calls {
		go func() {
			_, err := c.Do(context.Background(), Request{Path: "/", Timeout: 5 * time.Second})
			done <- err
		}()
	}
	for range calls {
		is.NoErr(<-done)
	}
	is.True(opened.Load() <= 4)
	c.LimitIdle(1)
	is.True(c.LimitIdle(1) <= 1)
	is.Equal(c.LimitIdle(0), 0)
}

// Guards against a reply that exceeds its Content-Length, whose surplus would be read as the reply to the next call.
func TestConnectionWithSurplusBytesIsNotReused(t *testing.T) {
	is := is.New(t)
	address, opened := listen(t, func(c net.Conn, requests *bufio.Reader) {
		for {
			if _, err := http.ReadRequest(requests); err != nil {
				return
			}
			if _, err := fmt.Fprint(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}surplus"); err != nil {
				return
			}
		}
	})
	c := newTestCaller(address)
	for range 2 {
		_, err := c.Do(context.Background(), Request{Path: "/", Timeout: time.Second})
		is.NoErr(err)
	}
	is.Equal(opened.Load(), int64(2))
}
