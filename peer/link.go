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
	// redialMax is shorter than the freshness window, so that a restored connection is detected within it.
	redialMax = time.Second
)

// errLinkDown is the cause of failed calls while there is neither a connection nor a dial error to report.
var errLinkDown = errors.New("no connection")

// reply is the outcome that a pending call receives: a reply frame or an error.
type reply struct {
	frame frame
	err   error
}

// link maintains the outgoing connection to one peer, which carries calls and their replies.
type link struct {
	hub     *Hub
	vm      string
	address string
	cancel  context.CancelFunc
	done    chan struct{}

	mu sync.Mutex
	// conn is nil while there is no connection.
	conn *conn
	// dialErr is the error of the last failed dial since the last connection.
	dialErr error
	// pending holds the calls registered on conn that have no reply yet, by call ID.
	pending map[uint64]chan reply
	nextID  uint64
}

func newLink(hub *Hub, vm, address string) *link {
	return &link{hub: hub, vm: vm, address: address, done: make(chan struct{}), pending: map[uint64]chan reply{}}
}

// run reconnects with exponential backoff until ctx ends.
func (l *link) run(ctx context.Context) {
	defer close(l.done)
	retryDelay := backoff.NewExponentialBackOff()
	retryDelay.InitialInterval, retryDelay.MaxInterval = redialInitial, redialMax
	for ctx.Err() == nil {
		if l.connect(ctx) {
			retryDelay.Reset()
		}
		select {
		case <-ctx.Done():
		case <-l.hub.Clock.After(retryDelay.NextBackOff()):
		}
	}
}

// connect dials once and reads replies until the connection ends. It reports whether the handshake succeeded.
func (l *link) connect(ctx context.Context) bool {
	dialCtx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	ws, resp, err := websocket.Dial(dialCtx, "ws://"+l.address+Path, nil)
	cancel()
	if resp != nil && resp.Body != nil {
		defer func() { _ = resp.Body.Close() }()
	}
	if err != nil {
		l.setDialErr(err)
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

// deliver passes a reply to its pending call. A reply without one is late or a duplicate; it is counted and dropped.
func (l *link) deliver(f frame) {
	l.mu.Lock()
	replies, ok := l.pending[f.ID]
	delete(l.pending, f.ID)
	l.mu.Unlock()
	if !ok || !f.Reply {
		l.hub.Metrics.Add(metrics.PeerRepliesDropped, 1)
		return
	}
	replies <- reply{frame: f}
}

func (l *link) setDialErr(err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.dialErr = err
}

// downCause returns the reason why there is no connection.
func (l *link) downCause() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.dialErr != nil {
		return l.dialErr
	}
	return errLinkDown
}

func (l *link) setConn(c *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conn, l.dialErr = c, nil
}

// dropConn fails every pending call of a connection that ended; the peer may have carried out any of them.
func (l *link) dropConn() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conn = nil
	for id, replies := range l.pending {
		delete(l.pending, id)
		replies <- reply{err: errors.New("connection ended before the reply")}
	}
}

// register assigns a call ID on the current connection and returns the channel for the reply. The connection is nil if
// there is none.
func (l *link) register() (*conn, uint64, chan reply) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conn == nil {
		return nil, 0, nil
	}
	l.nextID++
	replies := make(chan reply, 1)
	l.pending[l.nextID] = replies
	return l.conn, l.nextID, replies
}

func (l *link) unregister(id uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.pending, id)
}

// call sends one call and waits for its reply.
func (l *link) call(ctx context.Context, kind Kind, body []byte, into any) error {
	c, id, replies := l.register()
	if c == nil {
		return &ErrPeerUnavailable{VM: l.vm, Kind: kind, Cause: l.downCause()}
	}
	if err := c.write(ctx, frame{ID: id, Kind: kind, Trace: l.hub.InjectTrace(ctx), Body: body}); err != nil {
		l.unregister(id)
		return &ErrPeerUnavailable{VM: l.vm, Kind: kind, Delivered: true, Cause: err}
	}
	select {
	case <-ctx.Done():
		l.unregister(id)
		return &ErrPeerUnavailable{VM: l.vm, Kind: kind, Delivered: true, Cause: ctx.Err()}
	case r := <-replies:
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
