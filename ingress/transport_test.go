package ingress

import (
	"context"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"clementinepier/metrics"
)

func newTestTransport() *Transport {
	t := &Transport{
		Budget: &Budget{Connections: 2, Memory: 1 << 20}, Clock: clockwork.NewRealClock(), Metrics: &metrics.Set{},
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
