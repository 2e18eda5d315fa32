package ingress

import (
	"net"

	"github.com/jonboulle/clockwork"
)

// Listener bounds the open connections to an address that few have a reason to call, such as that of readiness. A connection beyond
// the budget takes the place of the one that has been open for longest. Set the fields before Accept.
type Listener struct {
	net.Listener
	Budget *Budget
	Clock  clockwork.Clock
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	// The server notices at its next read that the connection is closed.
	account, err := l.Budget.Open(l.Clock.Now(), func() { _ = c.Close() })
	if err != nil {
		_ = c.Close()
		return c, nil
	}
	return &countedConn{Conn: c, account: account}, nil
}

// countedConn gives its place back when it is closed.
type countedConn struct {
	net.Conn
	account *Account
}

// Close implements net.Conn.
func (c *countedConn) Close() error {
	c.account.Close()
	return c.Conn.Close()
}
