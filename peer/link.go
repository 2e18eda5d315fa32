package peer

import (
	"context"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/coder/websocket"
	"github.com/pkg/errors"

	"clementinepier/codec"
	"clementinepier/metrics"
)

const (
	redialInitial = 100 * time.Millisecond
	// redialMax stays below the freshness window, so that a healed cut is noticed within it.
	redialMax = time.Second
)

// errLinkDown is the cause of calls that were made before a connection was tried again.
var errLinkDown = errors.New("no connection")

// reply is what the reader of a link hands to a waiting call.
type reply struct {
	frame frame
	err   error
}

// link is the outgoing connection to one peer. Calls go out on it and their replies come back on it.
type link struct {
	hub     *Hub
	vm      string
	address string
	cancel  context.CancelFunc
	done    chan struct{}

	mu sync.Mutex
	// conn is nil while no connection is up.
	conn *conn
	// down is why no connection is up.
	down error
	// waiting holds the calls sent on conn that have no reply yet.
	waiting map[uint64]chan reply
	nextID  uint64
}

func newLink(hub *Hub, vm, address string) *link {
	return &link{hub: hub, vm: vm, address: address, done: make(chan struct{}), waiting: map[uint64]chan reply{}}
}

// run keeps a connection up until ctx ends.
func (l *link) run(ctx context.Context) {
	defer close(l.done)
	wait := backoff.NewExponentialBackOff()
	wait.InitialInterval, wait.MaxInterval = redialInitial, redialMax
	for ctx.Err() == nil {
		if l.connect(ctx) {
			wait.Reset()
		}
		select {
		case <-ctx.Done():
		case <-l.hub.Clock.After(wait.NextBackOff()):
		}
	}
}

// connect dials once and reads replies until the connection ends; it reports whether the handshake succeeded.
func (l *link) connect(ctx context.Context) bool {
	dialCtx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	ws, resp, err := websocket.Dial(dialCtx, "ws://"+l.address+Path, nil)
	cancel()
	if resp != nil && resp.Body != nil {
		defer func() { _ = resp.Body.Close() }()
	}
	if err != nil {
		l.setDown(err)
		return false
	}
	defer func() { _ = ws.CloseNow() }()
	c := newConn(ws)
	identity, err := dialHandshake(ctx, c, l.hub.Self, l.hub.Secrets)
	if err != nil || identity.VM != l.vm {
		l.hub.Metrics.Add(metrics.PeerHandshakesFailed, 1)
		return false
	}
	l.setConn(c)
	l.readReplies(ctx, c)
	l.dropConn()
	return true
}

func (l *link) readReplies(ctx context.Context, c *conn) {
	for {
		var f frame
		if err := c.read(ctx, &f); err != nil {
			return
		}
		l.deliver(f)
	}
}

// deliver hands a reply to its call. A reply whose call has gone is late or a duplicate: it is counted and dropped.
func (l *link) deliver(f frame) {
	l.mu.Lock()
	waiting, ok := l.waiting[f.ID]
	delete(l.waiting, f.ID)
	l.mu.Unlock()
	if !ok || !f.Reply {
		l.hub.Metrics.Add(metrics.PeerRepliesDropped, 1)
		return
	}
	waiting <- reply{frame: f}
}

func (l *link) setDown(err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down = err
}

// downCause returns why no connection is up.
func (l *link) downCause() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down != nil {
		return l.down
	}
	return errLinkDown
}

func (l *link) setConn(c *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conn, l.down = c, nil
}

// dropConn fails every call that waits on the connection that ended; each may have been carried out.
func (l *link) dropConn() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conn = nil
	for id, waiting := range l.waiting {
		delete(l.waiting, id)
		waiting <- reply{err: errors.New("connection ended before the reply")}
	}
}

// register reserves a call id on the current connection.
func (l *link) register() (*conn, uint64, chan reply) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conn == nil {
		return nil, 0, nil
	}
	l.nextID++
	waiting := make(chan reply, 1)
	l.waiting[l.nextID] = waiting
	return l.conn, l.nextID, waiting
}

func (l *link) forget(id uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.waiting, id)
}

// call sends one call and waits for its reply.
func (l *link) call(ctx context.Context, kind Kind, body []byte, into any) error {
	c, id, waiting := l.register()
	if c == nil {
		return &ErrPeerUnavailable{VM: l.vm, Kind: kind, Cause: l.downCause()}
	}
	if err := c.write(ctx, frame{ID: id, Kind: kind, Trace: l.hub.InjectTrace(ctx), Body: body}); err != nil {
		l.forget(id)
		return &ErrPeerUnavailable{VM: l.vm, Kind: kind, Delivered: true, Cause: err}
	}
	select {
	case <-ctx.Done():
		l.forget(id)
		return &ErrPeerUnavailable{VM: l.vm, Kind: kind, Delivered: true, Cause: ctx.Err()}
	case r := <-waiting:
		return l.decode(kind, r, into)
	}
}

func (l *link) decode(kind Kind, r reply, into any) error {
	if r.err != nil {
		return &ErrPeerUnavailable{VM: l.vm, Kind: kind, Delivered: true, Cause: r.err}
	}
	if r.frame.Code != "" {
		return &ErrRefused{Code: r.frame.Code, Detail: r.frame.Detail}
	}
	if err := codec.Unmarshal(r.frame.Body, into); err != nil {
		return &ErrPeerUnavailable{VM: l.vm, Kind: kind, Delivered: true, Cause: errors.Wrap(err, "decode reply")}
	}
	return nil
}
