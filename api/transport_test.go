package api

import (
	"context"
	"net"
	"os"
	"testing"
	"time"

	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/matryer/is"
	"github.com/pkg/errors"
)

// Guards against a panic of the library on one connection, outside its own recovery, that ends the process.
func TestPanicOnOneConnectionDoesNotStopTheServer(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	transport := newTransport(server.New(server.WithListener(listener)).GetOptions())
	done := make(chan error, 1)
	go func() { done <- transport.ListenAndServe(func(context.Context, any) error { panic("unexpected") }) }()
	for range 2 {
		conn, err := net.Dial("tcp", listener.Addr().String())
		is.NoErr(err)
		is.NoErr(conn.SetDeadline(time.Now().Add(10 * time.Second)))
		_, err = conn.Read(make([]byte, 1))
		is.True(err != nil)
		is.True(!errors.Is(err, os.ErrDeadlineExceeded)) // the server has closed the connection
		is.NoErr(conn.Close())
	}
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	is.NoErr(transport.Shutdown(ctx)) // no connection counts as active any more
	is.NoErr(<-done)
}
