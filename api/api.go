// Package api serves the JSON API for callers and operators over HTTP, under /api/v1.
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
	"github.com/jonboulle/clockwork"
	"k8s.io/klog/v2"

	"clementinepier/bundle"
	"clementinepier/config"
	"clementinepier/ingress"
	"clementinepier/job"
	"clementinepier/message"
	"clementinepier/trace"
)

const (
	readTimeout  = 30 * time.Second
	idleTimeout  = 60 * time.Second
	writeTimeout = 30 * time.Second
	// defaultWait is how long a call without a wait parameter waits for the outcome before it returns the state.
	defaultWait = 30 * time.Second
	maxWait     = 10 * time.Minute
	// maxBundleBodySize fits the largest signed bundle with its change id and revision.
	maxBundleBodySize = bundle.MaxSignedSize + 4096
	maxOrderBodySize  = 16 << 10
	// prefetchedBodySize is how much of a body the library reads before the handler authenticates the call.
	prefetchedBodySize = 8 << 10
	// maxDiscardedBodySize bounds how much of a chunked body above the limit is read and discarded. The sender reads the
	// reply only after it has sent its body.
	maxDiscardedBodySize = 64 << 20
	// extraHeaderSize lets headers slightly above the limit reach the handlers, which reject them with a JSON body. The
	// library rejects longer ones with a plain text body.
	extraHeaderSize = 64 << 10
)

// Submission is a request that this entry VM has accepted.
type Submission struct {
	// Ended is closed once Outcome may be called.
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
	// VerifyRead verifies the Authorization header of a call that reads data for operators only.
	VerifyRead func(path, authorization string) error
	// Submit accepts a request for execution. A second call for the same request returns the same submission. The code of
	// the outcome is set when the request is rejected.
	Submit func(ctx context.Context, req job.Request, digest string) (Submission, job.Outcome)
	// Persist writes an accepted request to the store, so that it survives this process, and reports whether it succeeded.
	Persist func(ctx context.Context, key job.Key) bool
	// Find returns what the entry VMs know of a request.
	Find func(ctx context.Context, key job.Key) (message.Request, bool, error)
	// Cancel cancels a request. It reports whether the request is known to have been stopped before its start, and whether
	// any entry VM had it.
	Cancel func(ctx context.Context, key job.Key) (message.Cancelled, bool)
	// SubmitBundle and SubmitOrder submit a signed bundle or a signed failure domain order as a change of the
	// configuration.
	SubmitBundle func(ctx context.Context, change message.BundleChange) (message.Accepted, error)
	SubmitOrder  func(ctx context.Context, order bundle.SignedOrder) (message.Accepted, error)
	// Change returns the progress of a configuration change.
	Change func(ctx context.Context, id string) (message.Change, error)
	Status func(ctx context.Context) (message.Status, error)
	// Draining reports whether this entry VM is stopping. DrainEnd is closed when the calls that still wait must return
	// the state of their requests.
	Draining func() bool
	DrainEnd <-chan struct{}

	// MaxBodySize bounds the body of a request, and MaxHeaderSize the request URI and the headers together, in bytes.
	MaxBodySize   int
	MaxHeaderSize int
	// MaxConnections bounds the open connections of callers.
	MaxConnections int

	server *server.Hertz
}

// Serve starts the server on the listener and returns a channel that gets the server's error when it has stopped.
func (a *API) Serve(listener net.Listener) <-chan error {
	hlog.SetLevel(hlog.LevelFatal)
	a.server = server.New(
		server.WithListener(newLimitListener(listener, a.MaxConnections)),
		// Handlers read bodies themselves, each up to its own limit.
		server.WithStreamBody(true),
		server.WithMaxRequestBodySize(prefetchedBodySize),
		server.WithDisablePreParseMultipartForm(true),
		server.WithHandleMethodNotAllowed(true),
		server.WithRedirectTrailingSlash(false),
		server.WithTransport(newTransport),
		server.WithMaxHeaderBytes(a.MaxHeaderSize+extraHeaderSize),
		server.WithReadTimeout(readTimeout),
		server.WithIdleTimeout(idleTimeout),
		server.WithDisablePrintRoute(true),
		server.WithExitWaitTime(time.Second),
		hertzconfig.Option{F: func(o *hertzconfig.Options) { o.NoDefaultServerHeader = true }},
	)
	a.server.PanicHandler = a.handlePanic
	a.registerRoutes()
	done := make(chan error, 1)
	go func() { done <- a.server.Run() }()
	return done
}

// handlePanic answers when a call panicked, so that the process continues to serve others. The library itself panics on a request target
// that has a scheme and no host, before a handler is called; whether a handler that panicked has carried out its call is not known.
func (a *API) handlePanic(_ context.Context, c *app.RequestContext) {
	klog.ErrorS(nil, "A call panicked", "method", string(c.Method()), "target-size", len(c.Request.RequestURI()), "stack", ingress.Stack())
	c.SetConnectionClose()
	if len(c.Handlers()) > 0 {
		c.AbortWithStatus(http.StatusInternalServerError)
		return
	}
	a.writeError(c, http.StatusBadRequest, job.CodeBadRequest, "the request target cannot be used")
}

// Shutdown closes the listener and waits for the replies that are being written.
func (a *API) Shutdown(ctx context.Context) error { return a.server.Shutdown(ctx) }

func (a *API) registerRoutes() {
	a.server.Use(a.limitHeaders)
	a.server.POST(message.PathRequests, a.submitRequest)
	a.server.GET(message.PathRequests+"/:id", a.showRequest)
	a.server.DELETE(message.PathRequests+"/:id", a.cancelRequest)
	a.server.POST(message.PathBundle, a.submitBundle)
	a.server.POST("/api/v1/domains/:name/order", a.submitOrder)
	a.server.GET(message.PathConfig, a.showConfig)
	a.server.GET("/api/v1/changes/:id", a.showChange)
	a.server.GET(message.PathStatus, a.showStatus)
	a.server.NoRoute(func(_ context.Context, c *app.RequestContext) {
		a.writeError(c, http.StatusNotFound, job.CodeBadRequest, "no such path")
	})
	a.server.NoMethod(func(_ context.Context, c *app.RequestContext) {
		a.writeError(c, http.StatusMethodNotAllowed, job.CodeBadRequest, "the path does not have this method")
	})
}

// limitHeaders rejects headers above the limit, and adds a JSON body to the bad request replies of the library itself.
func (a *API) limitHeaders(ctx context.Context, c *app.RequestContext) {
	if size := len(c.Request.Header.RequestURI()) + len(c.Request.Header.RawHeaders()); size > a.MaxHeaderSize {
		c.Response.Header.Set("Connection", "close")
		a.writeError(c, http.StatusRequestHeaderFieldsTooLarge, job.CodeBadRequest,
			fmt.Sprintf("the header has %d bytes, at most %d are allowed", size, a.MaxHeaderSize))
		c.Abort()
		return
	}
	c.Next(ctx)
	if c.Response.StatusCode() == http.StatusBadRequest && !c.Response.HasBodyBytes() {
		a.writeError(c, http.StatusBadRequest, job.CodeBadRequest, "the request line or the Host header cannot be used")
	}
}

// readBody reads the body of a call up to the limit, or returns the error reply for a body that cannot be used.
func (a *API) readBody(c *app.RequestContext, limit int) ([]byte, *requestError) {
	if !c.Request.IsBodyStream() {
		return c.Request.Body(), nil
	}
	tooLarge := &requestError{
		status: http.StatusRequestEntityTooLarge, code: job.CodeBodyTooLarge,
		detail: fmt.Sprintf("the body has more than %d bytes", limit),
	}
	maxRead, length := int64(limit)+1, c.Request.Header.ContentLength()
	if length > limit {
		return nil, tooLarge
	}
	if length >= 0 {
		// Reading further would consume bytes of the connection's next request.
		maxRead = int64(length)
	}
	stream := c.RequestBodyStream()
	body, err := io.ReadAll(io.LimitReader(stream, maxRead))
	switch {
	case err != nil:
		c.Response.Header.Set("Connection", "close")
		return nil, badRequest("body cannot be read: %v", err)
	case len(body) > limit:
		c.Response.Header.Set("Connection", "close")
		// The sender reads the reply only after it has sent its body; an error here means that it has disconnected.
		_, _ = io.CopyN(io.Discard, stream, maxDiscardedBodySize)
		return nil, tooLarge
	}
	return body, nil
}

// writeError writes an error reply.
func (a *API) writeError(c *app.RequestContext, status int, code job.Code, detail string) {
	c.JSON(status, message.Error{Code: code, Detail: detail})
}
