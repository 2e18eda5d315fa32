package worker

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"github.com/pkg/errors"

	"clementinepier/job"
)

// newTestClient returns a client of a test server that answers every call with handler.
func newTestClient(t *testing.T, handler http.HandlerFunc, o Options) *Client {
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	o.Address = server.Listener.Addr().String()
	return NewClient(o)
}

// Guards against accepting replies that are truncated, malformed or meant for another call.
func TestUnusableReplyIsDeliveredCallError(t *testing.T) {
	id := job.TaskID{Organisation: "o", RequestID: "r", Attempt: 1}
	for name, reply := range map[string]string{
		"truncated":     "",
		"other request": `{"id": {"organisation": "o", "request-id": "q", "attempt": 1}, "spec": {}, "statuses": [{}]}`,
		"not JSON":      "ok",
		"empty object":  "{}",
	} {
		t.Run(name, func(t *testing.T) {
			is, ctx := is.New(t), context.Background()
			client := newTestClient(t, func(w http.ResponseWriter, _ *http.Request) {
				if reply == "" {
					w.Header().Set("Content-Length", "100")
					_, _ = w.Write([]byte(`{"id": {`))
					return
				}
				_, _ = w.Write([]byte(reply))
			}, Options{})
			_, _, hold := client.Hold(ctx, Spec{ID: id}, time.Second)
			_, start := client.Start(ctx, id, "n", nil, time.Second)
			_, renew := client.Renew(ctx, []Lease{{ID: id}})
			_, stop := client.Stop(ctx, []job.TaskID{id}, "")
			_, forbid := client.Forbid(ctx, id)
			_, answer := client.Answer(ctx, id)
			for _, err := range []error{hold, start, renew, stop, forbid, answer} {
				var call *ErrCall
				is.True(errors.As(err, &call))
				is.True(call.Delivered)
			}
		})
	}
}

// Guards against a call that blocks forever because the worker does not reply.
func TestCallTimesOut(t *testing.T) {
	is, clock := is.New(t), clockwork.NewFakeClock()
	arrived := make(chan struct{})
	client := newTestClient(t, func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body) // the server notices that the client disconnects only after reading the body
		close(arrived)
		<-r.Context().Done()
	}, Options{Timeout: time.Second, Clock: clock})
	result := make(chan error, 1)
	go func() {
		_, err := client.Info(context.Background())
		result <- err
	}()
	<-arrived
	clock.Advance(time.Second)
	var call *ErrCall
	is.True(errors.As(<-result, &call))
	is.True(call.Delivered)
	is.True(errors.Is(call, context.DeadlineExceeded))
}

// Guards against a connection pool that exceeds its bound. A call that got no connection is reported as not delivered.
func TestConnectionPoolIsBounded(t *testing.T) {
	is, clock := is.New(t), clockwork.NewFakeClock()
	arrived, release := make(chan struct{}), make(chan struct{})
	client := newTestClient(t, func(w http.ResponseWriter, _ *http.Request) {
		arrived <- struct{}{}
		<-release
		_, _ = w.Write([]byte("{}"))
	}, Options{MaxConnections: 1, Clock: clock})
	first := make(chan error, 1)
	go func() {
		_, err := client.Info(context.Background())
		first <- err
	}()
	<-arrived
	ctx, cancel := context.WithCancel(context.Background())
	second := make(chan error, 1)
	go func() {
		_, err := client.Info(ctx)
		second <- err
	}()
	is.NoErr(clock.BlockUntilContext(context.Background(), 2))
	cancel()
	var call *ErrCall
	is.True(errors.As(<-second, &call))
	is.True(!call.Delivered)
	close(release)
	is.NoErr(<-first)
}

// Guards against an answer that was truncated before its digest was computed: only the length shows it.
func TestAnswerLengthIsChecked(t *testing.T) {
	is := is.New(t)
	id := job.TaskID{Organisation: "o", RequestID: "r", Attempt: 1}
	reply := AnswerReply{ID: id, Answer: []byte("cut"), Length: 3, Digest: Digest([]byte("cut"))}
	is.NoErr(reply.Check(id))
	reply.Length = 6
	is.True(IsErrAnswerDamaged(reply.Check(id)))
}
