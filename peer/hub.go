package peer

import (
	"context"
	"net/http"
	"sync"

	"github.com/coder/websocket"
	"github.com/jonboulle/clockwork"
	"github.com/panjf2000/ants/v2"
	"github.com/pkg/errors"

	"clementinepier/codec"
	"clementinepier/job"
	"clementinepier/metrics"
)

// Path is the URL path on which an entry VM accepts connections from its peers.
const Path = "/peer"

// defaultMaxCalls is the default limit of calls that one entry VM serves concurrently. A run call stays open for as long
// as its job runs, so this limits jobs in flight rather than processor use.
const defaultMaxCalls = 8192

// Handler serves one kind of call. Its context is cancelled when the caller's connection ends.
type Handler func(ctx context.Context, from Identity, body []byte) (any, error)

// Hub manages the outgoing links of one entry VM and serves the calls of its peers. Set the exported fields before Run.
type Hub struct {
	Self Identity
	// Secrets contains at least one secret shared by the entry VMs. Proofs are made with the first and verified against all.
	Secrets [][]byte
	Clock   clockwork.Clock
	// Handlers contains a handler for each kind of call that this VM serves. It must not change after Run.
	Handlers map[Kind]Handler
	// MaxCalls limits the calls served concurrently; 0 means the default.
	MaxCalls int
	// InjectTrace and ExtractTrace propagate the trace context; if nil, it is not propagated.
	InjectTrace  func(ctx context.Context) string
	ExtractTrace func(ctx context.Context, trace string) context.Context
	Metrics      *metrics.Set

	pool *ants.Pool
	mu   sync.Mutex
	// links has one entry per peer of the last call of SetPeers, by VM name.
	links map[string]*link
	ctx   context.Context
}

// Run initialises the hub and returns a channel that receives one value after ctx has ended and all links are closed.
func (h *Hub) Run(ctx context.Context) (<-chan error, error) {
	if h.MaxCalls == 0 {
		h.MaxCalls = defaultMaxCalls
	}
	if h.InjectTrace == nil {
		h.InjectTrace = func(context.Context) string { return "" }
	}
	if h.ExtractTrace == nil {
		h.ExtractTrace = func(ctx context.Context, _ string) context.Context { return ctx }
	}
	pool, err := ants.NewPool(h.MaxCalls, ants.WithNonblocking(true))
	if err != nil {
		return nil, errors.Wrap(err, "create pool for peer calls")
	}
	h.pool, h.ctx, h.links = pool, ctx, map[string]*link{}
	done := make(chan error, 1)
	go func() {
		<-ctx.Done()
		h.SetPeers(nil)
		pool.Release()
		done <- nil
	}()
	return done, nil
}

// SetPeers opens and closes links to match the given addresses by VM name. Links to other VMs or addresses are closed.
func (h *Hub) SetPeers(addresses map[string]string) {
	h.mu.Lock()
	var closing []*link
	for vm, l := range h.links {
		if addresses[vm] != l.address {
			delete(h.links, vm)
			closing = append(closing, l)
		}
	}
	for vm, address := range addresses {
		if _, ok := h.links[vm]; !ok && vm != h.Self.VM {
			h.links[vm] = h.openLink(vm, address)
		}
	}
	h.mu.Unlock()
	for _, l := range closing {
		l.cancel()
		<-l.done
	}
}

func (h *Hub) openLink(vm, address string) *link {
	l := newLink(h, vm, address)
	ctx, cancel := context.WithCancel(h.ctx)
	l.cancel = cancel
	go l.run(ctx)
	return l
}

// Call sends body to the peer and decodes its reply into reply. It returns *ErrPeerUnavailable if there was no usable reply
// and *ErrRefused if the peer replied with an error.
func (h *Hub) Call(ctx context.Context, vm string, kind Kind, body, reply any) error {
	data, err := codec.Marshal(body)
	if err != nil {
		return errors.Wrap(err, "encode call")
	}
	h.mu.Lock()
	l, ok := h.links[vm]
	h.mu.Unlock()
	if !ok {
		return &ErrPeerUnavailable{VM: vm, Kind: kind, Cause: errors.New("not a known peer")}
	}
	return l.call(ctx, kind, data, reply)
}

// ServeHTTP accepts a connection from another entry VM and serves its calls.
func (h *Hub) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	ws, err := websocket.Accept(w, r, nil)
	if err != nil {
		return
	}
	defer func() { _ = ws.CloseNow() }()
	ctx, cancel := context.WithCancel(h.ctx)
	defer cancel()
	c := newConn(ws)
	from, err := acceptHandshake(ctx, c, h.Self, h.Secrets)
	if err != nil {
		h.Metrics.Add(metrics.PeerHandshakesFailed, 1)
		return
	}
	for {
		var f frame
		if err := c.read(ctx, &f); err != nil {
			return
		}
		h.serve(ctx, c, from, f)
	}
}

// serve handles one call on the pool, so that a long call does not delay other calls on the connection.
func (h *Hub) serve(ctx context.Context, c *conn, from Identity, f frame) {
	err := h.pool.Submit(func() { h.handle(ctx, c, from, f) })
	if err != nil {
		h.refuse(ctx, c, f, &ErrRefused{Code: job.CodeOverloaded, Detail: "too many calls are being served"})
	}
}

func (h *Hub) handle(ctx context.Context, c *conn, from Identity, f frame) {
	handler, ok := h.Handlers[f.Kind]
	if !ok {
		h.refuse(ctx, c, f, &ErrRefused{Code: job.CodeBadRequest, Detail: "unknown kind of call: " + string(f.Kind)})
		return
	}
	result, err := handler(h.ExtractTrace(ctx, f.Trace), from, f.Body)
	if err != nil {
		h.refuse(ctx, c, f, err)
		return
	}
	body, err := codec.Marshal(result)
	if err != nil {
		h.refuse(ctx, c, f, err)
		return
	}
	h.Metrics.Add(metrics.PeerCallsServed, 1)
	_ = c.write(ctx, frame{ID: f.ID, Reply: true, Body: body})
}

func (h *Hub) refuse(ctx context.Context, c *conn, f frame, err error) {
	h.Metrics.Add(metrics.PeerCallsRefused, 1)
	refused := &ErrRefused{Code: job.CodeBadRequest, Detail: err.Error()}
	_ = errors.As(err, &refused)
	_ = c.write(ctx, frame{ID: f.ID, Reply: true, Code: refused.Code, Detail: refused.Detail})
}
