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

// listen serves connections with f on loopback and counts them.
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

// answerAll answers every request of a connection.
func answerAll(c net.Conn, requests *bufio.Reader) {
	for answerOne(c, requests) {
	}
}

func answerOne(c net.Conn, requests *bufio.Reader) bool {
	if _, err := http.ReadRequest(requests); err != nil {
		return false
	}
	_, err := fmt.Fprint(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}")
	return err == nil
}

func callerOf(address string) *Caller {
	return NewCaller(Options{Address: address, MaxConnections: 4, Clock: clockwork.NewRealClock(), DialTimeout: time.Second})
}

// Guards against a connection for each call.
func TestConnectionIsUsedAgain(t *testing.T) {
	is := is.New(t)
	address, opened := listen(t, answerAll)
	c := callerOf(address)
	for range 20 {
		_, err := c.Do(context.Background(), Request{Path: "/", Timeout: time.Second})
		is.NoErr(err)
	}
	is.Equal(opened.Load(), int64(1))
}

// Guards against a connection that counts as ended because the deadline of its last call has passed.
func TestConnectionOutlivesTheDeadlineOfItsCall(t *testing.T) {
	is := is.New(t)
	address, opened := listen(t, answerAll)
	c := callerOf(address)
	for range 3 {
		_, err := c.Do(context.Background(), Request{Path: "/", Timeout: probeAfter})
		is.NoErr(err)
		time.Sleep(2 * probeAfter)
	}
	is.Equal(opened.Load(), int64(1))
}

// Guards against a call that fails because the server has closed an idle connection meanwhile, as servers do after some seconds.
func TestConnectionThatTheServerClosedIsNotUsed(t *testing.T) {
	is := is.New(t)
	address, opened := listen(t, func(c net.Conn, requests *bufio.Reader) { answerOne(c, requests) })
	c := callerOf(address)
	for range 3 {
		_, err := c.Do(context.Background(), Request{Path: "/", Timeout: time.Second})
		is.NoErr(err)
		time.Sleep(2 * probeAfter)
	}
	is.Equal(opened.Load(), int64(3))
}

// Guards against a call that outlives its context, and against the use of a connection on which an answer may still come.
func TestCallEndsWithItsContext(t *testing.T) {
	is := is.New(t)
	address, opened := listen(t, func(_ net.Conn, requests *bufio.Reader) {
		_, _ = http.ReadRequest(requests)
		_, _ = requests.ReadByte()
	})
	c := callerOf(address)
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

// Guards against a call that counts as delivered though no connection was obtained.
func TestRefusedConnectionDeliversNothing(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	address := listener.Addr().String()
	is.NoErr(listener.Close())
	delivered, err := callerOf(address).Do(context.Background(), Request{Path: "/", Timeout: time.Second})
	is.True(err != nil)
	is.True(!delivered)
}

// Guards against more connections than the server accepts, and against more idle ones than the process can afford.
func TestConnectionsAreBounded(t *testing.T) {
	is := is.New(t)
	address, opened := listen(t, answerAll)
	c := callerOf(address)
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

// Guards against an answer that is longer than its length says and would be taken for that of the next call.
func TestConnectionWithBytesLeftIsNotUsed(t *testing.T) {
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
	c := callerOf(address)
	for range 2 {
		_, err := c.Do(context.Background(), Request{Path: "/", Timeout: time.Second})
		is.NoErr(err)
	}
	is.Equal(opened.Load(), int64(2))
}
