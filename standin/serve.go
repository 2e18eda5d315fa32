package main

import (
	"context"
	"net"
	"net/http"
	"os/signal"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

const (
	readHeaderTimeout = 5 * time.Second
	shutdownTimeout   = 3 * time.Second
)

// limitListener closes connections beyond a limit at once, so the limit shows up in the peer as a failed call.
type limitListener struct {
	net.Listener
	limit int

	mu   sync.Mutex
	open int
}

func (l *limitListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.take() {
			return &limitedConn{Conn: conn, release: sync.OnceFunc(l.release)}, nil
		}
		_ = conn.Close()
	}
}

func (l *limitListener) take() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.open >= l.limit {
		return false
	}
	l.open++
	return true
}

func (l *limitListener) release() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.open--
}

type limitedConn struct {
	net.Conn
	release func()
}

func (c *limitedConn) Close() error {
	c.release()
	return c.Conn.Close()
}

// listen opens a loopback address; limit 0 means any number of connections.
func listen(address string, limit int) (net.Listener, error) {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return nil, errors.Wrap(err, "address")
	}
	if ip := net.ParseIP(host); ip == nil || !ip.IsLoopback() {
		return nil, errors.Errorf("address %s is not on loopback", address)
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	if limit > 0 {
		return &limitListener{Listener: listener, limit: limit}, nil
	}
	return listener, nil
}

// serve runs handler until SIGTERM or SIGINT.
func serve(listener net.Listener, handler http.Handler) error {
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	server := &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout}
	ended := make(chan error, 1)
	go func() { ended <- server.Serve(listener) }()
	select {
	case err := <-ended:
		return errors.Wrap(err, "serve")
	case <-ctx.Done():
	}
	stopping, stop := context.WithTimeout(context.Background(), shutdownTimeout)
	defer stop()
	if err := server.Shutdown(stopping); err != nil {
		// Long polls may outlast the time; nothing is lost by cutting them.
		_ = server.Close()
	}
	if err := <-ended; !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrap(err, "serve")
	}
	return nil
}
