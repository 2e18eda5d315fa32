package peer

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"clementinepier/codec"
	"clementinepier/job"
	"clementinepier/metrics"
)

// newHub starts a hub that serves the given handlers on loopback, and returns it with its address.
func newHub(t *testing.T, vm, secret string, handlers map[Kind]Handler) (*Hub, string) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	h := &Hub{
		Self:     Identity{VM: vm, FailureDomain: "tunis-a", BootID: vm + "-1"},
		Secrets:  [][]byte{[]byte(secret)},
		Clock:    clockwork.NewRealClock(),
		Handlers: handlers,
		MaxCalls: 16,
		Metrics:  &metrics.Set{},
	}
	done, err := h.Run(ctx)
	is.New(t).NoErr(err)
	mux := http.NewServeMux()
	mux.Handle(Path, h)
	server := httptest.NewServer(mux)
	t.Cleanup(func() {
		cancel()
		is.New(t).NoErr(<-done)
		server.Close()
	})
	return h, strings.TrimPrefix(server.URL, "http://")
}

// awaitCall retries a call until the link is connected, for at most a few seconds.
func awaitCall(ctx context.Context, h *Hub, vm string, kind Kind, body, reply any) error {
	var err error
	for range 100 {
		if err = h.Call(ctx, vm, kind, body, reply); err == nil || WasDelivered(err) {
			return err
		}
		<-h.Clock.After(20 * time.Millisecond)
	}
	return err
}

func echo(_ context.Context, _ Identity, body []byte) (any, error) {
	var text string
	err := codec.Unmarshal(body, &text)
	return text, err
}

// Guards against an encoding that truncates times to seconds on the way to the planner, so that scheduled work starts early.
func TestTimesKeepFractionsOfASecond(t *testing.T) {
	is := is.New(t)
	a, _ := newHub(t, "a", "secret", nil)
	_, address := newHub(t, "b", "secret", map[Kind]Handler{KindRun: func(_ context.Context, _ Identity, body []byte) (any, error) {
		var at time.Time
		err := codec.Unmarshal(body, &at)
		return at, err
	}})
	a.SetPeers(map[string]string{"b": address})
	sent, got := time.UnixMilli(1700000000765), time.Time{}
	is.NoErr(awaitCall(context.Background(), a, "b", KindRun, sent, &got))
	is.Equal(got.Round(time.Microsecond).UnixMicro(), sent.UnixMicro())
}

// Guards against replies that are delivered to the wrong call when concurrent calls share one link.
func TestConcurrentCallsReceiveTheirOwnReplies(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	a, _ := newHub(t, "a", "secret", nil)
	b, address := newHub(t, "b", "secret", map[Kind]Handler{KindRun: echo})
	a.SetPeers(map[string]string{"b": address})
	var first string
	is.NoErr(awaitCall(ctx, a, "b", KindRun, "first", &first))
	results := make(chan bool, 10)
	for _, text := range strings.Split("abcdefghij", "") {
		go func() {
			var got string
			err := a.Call(ctx, "b", KindRun, text, &got)
			results <- err == nil && got == text
		}()
	}
	for range 10 {
		is.True(<-results)
	}
	is.Equal(int(b.Metrics.Get(metrics.PeerCallsServed)), 11)
}

// Guards against serving the calls of an entry VM that does not have the shared secret.
func TestWrongSecretIsRefused(t *testing.T) {
	is := is.New(t)
	a, _ := newHub(t, "a", "guess", nil)
	b, address := newHub(t, "b", "secret", map[Kind]Handler{KindRun: echo})
	a.SetPeers(map[string]string{"b": address})
	for a.Metrics.Get(metrics.PeerHandshakesFailed) == 0 {
		<-a.Clock.After(10 * time.Millisecond)
	}
	err := a.Call(context.Background(), "b", KindRun, "x", new(string))
	is.True(IsErrPeerUnavailable(err))
	is.True(!WasDelivered(err))
	is.Equal(int(b.Metrics.Get(metrics.PeerCallsServed)), 0)
}

// Guards against reporting a call as not delivered when the connection broke after it was sent.
func TestConnectionLostDuringCallCountsAsDelivered(t *testing.T) {
	is := is.New(t)
	arrived := make(chan struct{})
	wait := func(ctx context.Context, _ Identity, _ []byte) (any, error) {
		close(arrived)
		<-ctx.Done()
		return nil, ctx.Err()
	}
	a, _ := newHub(t, "a", "secret", nil)
	_, address := newHub(t, "b", "secret", map[Kind]Handler{KindRun: wait, KindFind: echo})
	a.SetPeers(map[string]string{"b": address})
	is.NoErr(awaitCall(context.Background(), a, "b", KindFind, "up", new(string)))
	result := make(chan error, 1)
	go func() { result <- a.Call(context.Background(), "b", KindRun, "x", new(string)) }()
	<-arrived
	a.SetPeers(nil)
	err := <-result
	is.True(IsErrPeerUnavailable(err))
	is.True(WasDelivered(err))
}

// Guards against a late or duplicate reply that is delivered to another call.
func TestReplyWithoutPendingCallIsDropped(t *testing.T) {
	is := is.New(t)
	h := &Hub{Metrics: &metrics.Set{}}
	l := newLink(h, "b", "")
	l.conn = &conn{}
	_, id, replies := l.register()
	l.deliver(frame{ID: id, Reply: true, Body: []byte{1}})
	l.deliver(frame{ID: id, Reply: true, Body: []byte{2}})
	l.deliver(frame{ID: id + 7, Reply: true, Body: []byte{3}})
	is.Equal((<-replies).frame.Body, codec.RawMessage{1})
	is.Equal(int(h.Metrics.Get(metrics.PeerRepliesDropped)), 2)
}

// Guards against an error reply that loses its error code on the wire.
func TestRefusalKeepsItsCode(t *testing.T) {
	is := is.New(t)
	refuse := func(context.Context, Identity, []byte) (any, error) {
		return nil, &ErrRefused{Code: job.CodeStopping, Detail: "draining"}
	}
	a, _ := newHub(t, "a", "secret", nil)
	_, address := newHub(t, "b", "secret", map[Kind]Handler{KindRun: refuse})
	a.SetPeers(map[string]string{"b": address})
	err := awaitCall(context.Background(), a, "b", KindRun, "x", new(string))
	is.True(IsErrRefused(err))
	is.Equal(err.(*ErrRefused).Code, job.CodeStopping) //nolint:errorlint // the concrete type is the point
}

// Guards against treating a peer whose process has ended as one that does not respond, which delays every takeover by a
// second.
func TestRefusedConnectionIsDistinguished(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	address := listener.Addr().String()
	is.NoErr(listener.Close())
	a, _ := newHub(t, "a", "secret", nil)
	a.SetPeers(map[string]string{"b": address})
	for range 100 {
		err = a.Call(context.Background(), "b", KindRun, "x", new(string))
		if IsRefused(err) {
			break
		}
		<-a.Clock.After(20 * time.Millisecond)
	}
	is.True(IsRefused(err))
	is.True(!WasDelivered(err))
}
