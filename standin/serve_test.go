package main

import (
	"io"
	"net"
	"testing"

	"github.com/matryer/is"
)

// Guards against a worker that accepts more connections than a real one, and a limit that never frees a place.
func TestListenerLimitsConnections(t *testing.T) {
	is := is.New(t)
	listener, err := listen("127.0.0.1:0", 1)
	is.NoErr(err)
	defer func() { is.NoErr(listener.Close()) }()
	accepted := make(chan net.Conn)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			accepted <- conn
		}
	}()
	dial := func() net.Conn {
		conn, err := net.Dial("tcp", listener.Addr().String())
		is.NoErr(err)
		return conn
	}
	first := dial()
	served := <-accepted
	second := dial()
	_, err = second.Read(make([]byte, 1))
	is.Equal(err, io.EOF)
	is.NoErr(served.Close())
	third := dial()
	is.NoErr((<-accepted).Close())
	for _, conn := range []net.Conn{first, second, third} {
		is.NoErr(conn.Close())
	}
}

// Guards against a stand-in that is reachable from outside the machine.
func TestListenOnLoopbackOnly(t *testing.T) {
	is := is.New(t)
	for _, address := range []string{"0.0.0.0:0", ":0", "192.0.2.1:80", "localhost:0", "nonsense"} {
		_, err := listen(address, 0)
		is.True(err != nil)
	}
}
