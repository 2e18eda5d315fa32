// Package api serves callers and operators over HTTP with JSON under /api/v1.
package api

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"
	hertzconfig "github.com/cloudwego/hertz/pkg/common/config"
	"github.com/cloudwego/hertz/pkg/common/hlog"
	"github.com/cloudwego/hertz/pkg/network/standard"
	"github.com/jonboulle/clockwork"

	"clementinepier/bundle"
	"clementinepier/config"
	"clementinepier/job"
	"clementinepier/message"
	"clementinepier/trace"
)

const (
	readTimeout  = 30 * time.Second
	idleTimeout  = 60 * time.Second
	writeTimeout = 30 * time.Second
	// defaultWait is how long a caller that names no wait is kept waiting before it is told to ask again.
	defaultWait = 30 * time.Second
	maxWait     = 10 * time.Minute
	// maxBundleBody has room for the largest signed bundle with its change id and revision.
	maxBundleBody = bundle.MaxSignedSize + 4096
	maxOrderBody  = 16 << 10
	// prefetchedBody is how much of a body is read before the call is authenticated.
	prefetchedBody = 8 << 10
	// drainedBody is how much of an overlong chunked body is discarded, so that its sender reads the reply.
	drainedBody = 64 << 20
	// extraHeader lets headers somewhat above the limit reach the handlers, which refuse them with a JSON body. The
	// library refuses longer ones with a plain text.
	extraHeader = 64 << 10
)

// Submission is a request in the hands of this entry VM.
type Submission struct {
	// Ended is closed when Outcome is set.
	Ended   <-chan struct{}
	Outcome func() job.Outcome
}

// API is the HTTP interface of one entry VM. Set the exported fields before Serve.
type API struct {
	Clock  clockwork.Clock
	Tracer *trace.Tracer
	// View returns the configuration view; it is never nil.
	View func() *config.View
	// FitsEmptyRack reports whether some rack of the bundle could run the request when empty.
	FitsEmptyRack func(req job.Request) bool
	// VerifyRead checks the Authorization header of a call that reads what only operators may see.
	VerifyRead func(path, authorization string) error
	// Submit takes a request in flight. A second call for the same request returns the same submission. The code is set
	// when the request is refused.
	Submit func(ctx context.Context, req job.Request, digest string) (Submission, job.Outcome)
	// Persist writes a request in flight into the store, so that it survives this process; it reports whether it did.
	Persist func(ctx context.Context, key job.Key) bool
	// Find returns what the entry VMs know of a request.
	Find func(ctx context.Context, key job.Key) (message.Request, bool, error)
	// Cancel reports whether the request is known to have been stopped before its start.
	Cancel func(ctx context.Context, key job.Key) (message.Cancelled, bool)
	// SubmitBundle and SubmitOrder submit a signed bundle or a signed failure domain order as a change of the
	// configuration.
	SubmitBundle func(ctx context.Context, change message.BundleChange) (message.Accepted, error)
	SubmitOrder  func(ctx context.Context, order bundle.SignedOrder) (message.Accepted, error)
	// Change returns the progress of a change.
	Change func(ctx context.Context, id string) (message.Change, error)
	Status func(ctx context.Context) (message.Status, error)
	// Draining reports whether this entry VM is stopping; DrainEnd is closed when its waiting callers must be told.
	Draining func() bool
	DrainEnd <-chan struct{}

	// MaxBodySize bounds the bodies of requests and MaxHeaderSize all headers, in bytes.
	MaxBodySize   int
	MaxHeaderSize int
	// MaxConnections bounds the connections of callers.
	MaxConnections int

	server *server.Hertz
}

// Serve answers on the listener and returns a channel that reports the end.
func (a *API) Serve(listener net.Listener) <-chan error {
	hlog.SetLevel(hlog.LevelFatal)
	a.server = server.New(
		server.WithListener(newLimitListener(listener, a.MaxConnections)),
		// Handlers read bodies themselves, each within its own bound.
		server.WithStreamBody(true),
		server.WithMaxRequestBodySize(prefetchedBody),
		server.WithDisablePreParseMultipartForm(true),
		server.WithHandleMethodNotAllowed(true),
		server.WithRedirectTrailingSlash(false),
		server.WithTransport(standard.NewTransporter),
		server.WithMaxHeaderBytes(a.MaxHeaderSize+extraHeader),
		server.WithReadTimeout(readTimeout),
		server.WithIdleTimeout(idleTimeout),
		server.WithDisablePrintRoute(true),
		server.WithExitWaitTime(time.Second),
		hertzconfig.Option{F: func(o *hertzconfig.Options) { o.NoDefaultServerHeader = true }},
	)
	a.route()
	done := make(chan error, 1)
	go func() { done <- a.server.Run() }()
	return done
}

// Shutdown closes the listener and waits for the replies being written.
func (a *API) Shutdown(ctx context.Context) error { return a.server.Shutdown(ctx) }

func (a *API) route() {
	a.server.Use(a.check)
	a.server.POST(message.PathRequests, a.submitRequest)
	a.server.GET(message.PathRequests+"/:id", a.showRequest)
	a.server.DELETE(message.PathRequests+"/:id", a.cancelRequest)
	a.server.POST(message.PathBundle, a.rollBundle)
	a.server.POST("/api/v1/domains/:name/order", a.orderDomain)
	a.server.GET(message.PathConfig, a.showConfig)
	a.server.GET("/api/v1/changes/:id", a.showChange)
	a.server.GET(message.PathStatus, a.showStatus)
	a.server.NoRoute(func(_ context.Context, c *app.RequestContext) {
		a.fail(c, http.StatusNotFound, job.CodeBadRequest, "no such path")
	})
	a.server.NoMethod(func(_ context.Context, c *app.RequestContext) {
		a.fail(c, http.StatusMethodNotAllowed, job.CodeBadRequest, "the path does not have this method")
	})
}

// check refuses headers above the limit, and gives a body to the library's own refusals.
func (a *API) check(ctx context.Context, c *app.RequestContext) {
	if size := len(c.Request.Header.RequestURI()) + len(c.Request.Header.RawHeaders()); size > a.MaxHeaderSize {
		c.Response.Header.Set("Connection", "close")
		a.fail(c, http.StatusRequestHeaderFieldsTooLarge, job.CodeBadRequest,
			fmt.Sprintf("the header has %d bytes, at most %d are allowed", size, a.MaxHeaderSize))
		c.Abort()
		return
	}
	c.Next(ctx)
	if c.Response.StatusCode() == http.StatusBadRequest && !c.Response.HasBodyBytes() {
		a.fail(c, http.StatusBadRequest, job.CodeBadRequest, "the request line or the Host header cannot be used")
	}
}

// body reads the body of a call, or returns why it cannot be used.
func (a *API) body(c *app.RequestContext, limit int) ([]byte, *refusal) {
	if !c.Request.IsBodyStream() {
		return c.Request.Body(), nil
	}
	tooLarge := &refusal{
		status: http.StatusRequestEntityTooLarge, code: job.CodeBodyTooLarge,
		detail: fmt.Sprintf("the body has more than %d bytes", limit),
	}
	most, length := int64(limit)+1, c.Request.Header.ContentLength()
	if length > limit {
		return nil, tooLarge
	}
	if length >= 0 {
		// Reading further would take bytes of the connection's next request.
		most = int64(length)
	}
	stream := c.RequestBodyStream()
	body, err := io.ReadAll(io.LimitReader(stream, most))
	switch {
	case err != nil:
		c.Response.Header.Set("Connection", "close")
		return nil, badRequest("body cannot be read: %v", err)
	case len(body) > limit:
		c.Response.Header.Set("Connection", "close")
		// The sender reads the reply only once it has sent its body; an error here means that it is gone.
		_, _ = io.CopyN(io.Discard, stream, drainedBody)
		return nil, tooLarge
	}
	return body, nil
}

// fail writes an error body.
func (a *API) fail(c *app.RequestContext, status int, code job.Code, detail string) {
	c.JSON(status, message.Error{Code: code, Detail: detail})
}
