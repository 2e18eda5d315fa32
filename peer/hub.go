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

// Path is the URL path on which an entry VM accepts links.
const Path = "/peer"

// defaultMaxCalls bounds the calls that one entry VM serves at a time. A run call stays open for as long as
// its job runs, so the bound is on jobs in flight rather than on processor use.
const defaultMaxCalls = 8192

// Handler serves one kind of call. Its context ends when the caller's connection does.
type Handler func(ctx context.Context, from Identity, body []byte) (any, error)

// Hub holds the links of one entry VM. Set the exported fields before Run.
type Hub struct {
	Self Identity
	// Secrets has at least one secret that the entry VMs share. Own proofs use the first; any is accepted.
	Secrets [][]byte
	Clock   clockwork.Clock
	// Handlers must hold every kind this VM serves; it is not changed after Run.
	Handlers map[Kind]Handler
	// MaxCalls bounds the calls served at a time; 0 means the default.
	MaxCalls int
	// InjectTrace and ExtractTrace carry the trace context; nil means that none is carried.
	InjectTrace  func(ctx context.Context) string
	ExtractTrace func(ctx context.Context, trace string) context.Context
	Metrics      *metrics.Set

	pool *ants.Pool
	mu   sync.Mutex
	// links has one entry per peer that SetPeers named last.
	links map[string]*link
	ctx   context.Context
}

// Run prepares the hub and returns a channel that receives one value when ctx has ended and all links are closed.
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

// SetPeers makes the links match the given addresses by VM name. Links to other VMs are closed.
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

// Call sends body to the peer and decodes its reply into reply. It returns *ErrPeerUnavailable when there was
// none and *ErrRefused when the peer did not carry out the call.
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

// ServeHTTP accepts links from other entry VMs.
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

// serve runs one call on the pool, so that a long call does not hold up the link.
func (h *Hub) serve(ctx context.Context, c *conn, from Identity, f frame) {
	err := h.pool.Submit(func() { h.answer(ctx, c, from, f) })
	if err != nil {
		h.refuse(ctx, c, f, &ErrRefused{Code: job.CodeOverloaded, Detail: "too many calls are being served"})
	}
}

func (h *Hub) answer(ctx context.Context, c *conn, from Identity, f frame) {
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
