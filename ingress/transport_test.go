package ingress

import (
	"context"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"clementinepier/metrics"
)

func newTestTransport() *Transport {
	t := &Transport{
		Budget: &Budget{Connections: 2, Memory: 1 << 20}, Clock: clockwork.NewRealClock(), Metrics: &metrics.Set{}, IdleTimeout: 75 * time.Second,
	}
	t.Listener = closedListener{}
	return t
}

// closedListener accepts no connections.
type closedListener struct{ net.Listener }

// Close implements net.Listener.
func (closedListener) Close() error { return nil }

// Guards against a panic of the library on one connection that ends the process, or keeps its place and Shutdown waiting for ever.
func TestPanicOnOneConnectionGivesItsPlaceBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		transport := newTestTransport()
		caller, server := net.Pipe()
		closed := false
		transport.admit(server, func(*Conn) { panic("unexpected") }, func() { closed = true })
		synctest.Wait()
		is.True(closed)
		_, err := caller.Read(make([]byte, 1))
		is.True(err != nil) // the connection is closed
		connections, _ := transport.Budget.Held()
		is.Equal(connections, 0)
		is.Equal(transport.Metrics.Get(ReasonPanic.Counter()), int64(1))
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		is.NoErr(transport.Shutdown(ctx))
	})
}

// waitRead is when a read ended, after the connection was accepted, and whether it got its bytes.
type waitRead struct {
	after time.Duration
	whole bool
}

// Guards against connections opened ahead that are cut before their first request, and against requests that begin and never go on.
func TestRequestTimeRunsFromItsFirstByte(t *testing.T) {
	for _, test := range []struct {
		name string
		// sent is the bytes of the caller, each with the time from the accepted connection on.
		sent []time.Duration
		// earlier is whether the connection had a request before.
		earlier bool
		want    waitRead
	}{
		{"nothing", nil, false, waitRead{75 * time.Second, false}},
		{"nothing after a request", nil, true, waitRead{75 * time.Second, false}},
		{"opened ahead", []time.Duration{60 * time.Second, 61 * time.Second, 62 * time.Second, 69 * time.Second}, false, waitRead{69 * time.Second, true}},
		{"one byte", []time.Duration{5 * time.Second}, false, waitRead{15 * time.Second, false}},
		{"one byte after a request", []time.Duration{5 * time.Second}, true, waitRead{15 * time.Second, false}},
		{"one byte after another", []time.Duration{0, 9 * time.Second, 11 * time.Second, 12 * time.Second}, true, waitRead{10 * time.Second, false}},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				transport := newTestTransport()
				caller, server := net.Pipe()
				from := time.Now()
				result := make(chan waitRead, 1)
				transport.admit(server, func(conn *Conn) {
					if test.earlier {
						is.NoErr(conn.SetReadTimeout(transport.IdleTimeout)) // as the server does
					}
					_, err := conn.Peek(4)
					result <- waitRead{time.Since(from), err == nil}
					_ = conn.Close()
				}, func() {})
				for _, at := range test.sent {
					time.Sleep(time.Until(from.Add(at)))
					_, _ = caller.Write([]byte("G")) // fails once the connection is closed
				}
				is.Equal(<-result, test.want)
			})
		})
	}
}

// Guards against a later deadline of the server that gives a request which has begun more time.
func TestServerDoesNotExtendTheTimeOfARequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		transport := newTestTransport()
		caller, server := net.Pipe()
		from := time.Now()
		ended := make(chan time.Duration, 1)
		transport.admit(server, func(conn *Conn) {
			_, err := conn.Peek(1)
			is.NoErr(err)
			time.Sleep(9 * time.Second)
			is.NoErr(conn.SetReadTimeout(RequestTimeout))
			_, err = conn.Peek(2)
			is.True(err != nil)
			ended <- time.Since(from)
			_ = conn.Close()
		}, func() {})
		_, err := caller.Write([]byte("G"))
		is.NoErr(err)
		is.Equal(<-ended, RequestTimeout)
	})
}

// Guards against a reply of the server itself, as 100 Continue, that keeps the place of a connection that has to give way.
func TestAnyReplyEndsWhenItsConnectionGivesWay(t *testing.T) {
	for _, earlier := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			transport := newTestTransport()
			_, server := net.Pipe() // the caller reads nothing
			conn, err := newConn(server, transport)
			is.NoErr(err)
			from := time.Now()
			if earlier {
				conn.giveWay()
			}
			ended := make(chan time.Duration, 1)
			go func() {
				_, err := rawWriter{conn: conn}.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n"))
				is.True(err != nil)
				ended <- time.Since(from)
			}()
			synctest.Wait()
			conn.giveWay()
			is.True(<-ended <= time.Second)
			is.NoErr(conn.Close())
		})
	}
}

// endlessListener accepts connections whose peers do nothing, until it is closed.
type endlessListener struct {
	net.Listener
	closed chan struct{}
}

// Accept implements net.Listener.
func (l endlessListener) Accept() (net.Conn, error) {
	select {
	case <-l.closed:
		return nil, net.ErrClosed
	default:
		_, server := net.Pipe()
		return server, nil
	}
}

// Close implements net.Listener.
func (l endlessListener) Close() error {
	close(l.closed)
	return nil
}

// Guards against a transport that waits for connections to close and does not notice that it has to end.
func TestCloseEndsAcceptingWhileNoDescriptorIsFree(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		transport := newTestTransport()
		transport.Listener = endlessListener{closed: make(chan struct{})}
		release, ended := make(chan struct{}), make(chan error, 1)
		accepting := transport.New(nil)
		go func() {
			ended <- accepting.ListenAndServe(func(_ context.Context, conn any) error {
				<-release
				return conn.(*Conn).Close()
			})
		}()
		time.Sleep(time.Minute) // as many connections as may be open do not end
		is.NoErr(transport.Close())
		synctest.Wait()
		select {
		case err := <-ended:
			is.NoErr(err)
		default:
			t.Error("the transport still accepts connections")
		}
		close(release)
	})
}

// Guards against a refused body that is read for longer than it takes the caller to read the reply.
func TestRefusedBodyIsDiscardedForAShortTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		transport := newTestTransport()
		caller, server := net.Pipe()
		ended := make(chan time.Duration, 1)
		transport.admit(server, func(conn *Conn) {
			_, err := conn.Peek(1)
			is.NoErr(err)
			is.NoErr(conn.Skip(1))
			conn.handled = true
			refusedAt := time.Now()
			is.Equal(ReasonOf((&Request{context: app.NewContext(0), conn: conn}).refuse(ReasonBody)), ReasonBody)
			is.NoErr(conn.Flush())
			for err == nil {
				if _, err = conn.Peek(1); err == nil {
					is.NoErr(conn.Skip(1))
				}
			}
			ended <- time.Since(refusedAt)
			_ = conn.Close()
		}, func() {})
		var err error
		for err == nil {
			_, err = caller.Write([]byte("G"))
			time.Sleep(100 * time.Millisecond)
		}
		is.Equal(<-ended, discardTime)
	})
}
