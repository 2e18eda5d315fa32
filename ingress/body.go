package ingress

import (
	"io"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/pkg/errors"
)

// Request is a request that the handler has got. Its body may not have arrived yet.
type Request struct {
	context *app.RequestContext
	conn    *Conn
	// taken is whether the body was read, or refused.
	taken bool
}

// Begin returns the request of a handler. The handler has to answer it.
func Begin(c *app.RequestContext) *Request {
	conn := c.GetConn().(*Conn)
	conn.handled = true
	return &Request{context: c, conn: conn}
}

// Announced returns the announced size of the body in bytes, or 0 if there is none.
func (r *Request) Announced() int { return max(0, r.context.Request.Header.ContentLength()) }

// Body reads a body of at most the given size in bytes, or returns ErrRefused.
func (r *Request) Body(limit int) ([]byte, error) {
	r.taken = true
	if r.Announced() > limit {
		return nil, r.refuse(ReasonBody)
	}
	if !r.context.Request.IsBodyStream() {
		return r.context.Request.Body(), nil
	}
	size, chunked := r.Announced(), r.context.Request.Header.ContentLength() < 0
	if prefetched := r.context.Request.BodyBuffer().B; !chunked && len(prefetched) == size {
		return prefetched, nil
	}
	if chunked {
		// The end of a chunked body is found only by reading beyond the limit.
		size = limit + 1
	}
	stream := r.context.RequestBodyStream()
	body := make([]byte, 0, min(size, smallRequest))
	// A body of known size is read with few copies; what a caller has sent is at least a quarter of what it holds.
	growth := 4
	if chunked {
		growth = 2
	}
	for len(body) < size {
		if len(body) == cap(body) {
			larger := min(size, growth*cap(body))
			if err := r.Grow(int64(larger - cap(body))); err != nil {
				return nil, err
			}
			body = append(make([]byte, 0, larger), body...)
		}
		into := body[len(body):cap(body)]
		if chunked && len(into) > minBuffer {
			// The library buffers as much of a chunk as is asked for.
			into = into[:minBuffer]
		}
		n, err := stream.Read(into)
		body = body[:len(body)+n]
		// A chunked body also ends with EOF where the connection does.
		if errors.Is(err, io.EOF) && (chunked && r.conn.failure == "" || len(body) == size) {
			return body, nil
		}
		if err != nil {
			return nil, r.refuse(r.failure(err))
		}
	}
	if chunked {
		return nil, r.refuse(ReasonBody)
	}
	return body, nil
}

// Discard reads a body that is not used, so that the next request of the connection can be read. A body of more than discardedSize ends
// the connection after the reply.
func (r *Request) Discard() {
	if r.taken || !r.context.Request.IsBodyStream() {
		return
	}
	r.taken = true
	size, chunked := r.Announced(), r.context.Request.Header.ContentLength() < 0
	if size > discardedSize {
		// The reply to the request tells whether it was carried out.
		_ = r.refuse(ReasonBody)
		return
	}
	if chunked {
		size = discardedSize
	}
	stream := io.LimitReader(r.context.RequestBodyStream(), int64(size))
	n, err := io.CopyBuffer(struct{ io.Writer }{io.Discard}, stream, make([]byte, minBuffer))
	switch {
	case err != nil:
		_ = r.refuse(r.failure(err))
	case chunked && n == int64(size):
		_ = r.refuse(ReasonBody)
	}
}

// failure returns why a body could not be read.
func (r *Request) failure(err error) Reason {
	switch {
	case r.conn.failure != "":
		return r.conn.failure
	case errors.Is(err, errBufferFull):
		return ReasonTrailer
	}
	return ReasonMalformed
}

// Grow takes bytes of memory from the budget until the request is answered.
func (r *Request) Grow(bytes int64) error {
	if err := r.conn.grow(bytes); err != nil {
		return r.refuse(ReasonOf(err))
	}
	r.conn.requestCharge += bytes
	return nil
}

// GrowDecoded takes the memory from the budget that a body has once it is decoded.
func (r *Request) GrowDecoded(bytes int64) error { return r.Grow(max(0, bytes-smallRequest)) }

// Serve has to be called before the request is carried out. If it returns an error, the request must not be carried out.
func (r *Request) Serve() error {
	if err := r.conn.account.Serve(r.conn.transport.Clock.Now()); err != nil {
		return r.refuse(ReasonOf(err))
	}
	return nil
}

// refuse makes the server close the connection after the reply.
func (r *Request) refuse(reason Reason) error {
	r.context.Response.Header.Set("Connection", "close")
	r.conn.discardOnly, r.conn.discardLeft = true, discardedSize
	// An error shows at the next read.
	_ = r.conn.limitReads(discardTime)
	r.conn.report(reason)
	return &ErrRefused{Reason: reason}
}
