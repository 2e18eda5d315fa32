package ingress

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"sync/atomic"
	"time"

	errs "github.com/cloudwego/hertz/pkg/common/errors"
	"github.com/cloudwego/hertz/pkg/network"
	"github.com/pkg/errors"
)

const (
	// minBuffer and maxBuffer bound the buffer of received bytes. The smaller one fits an ordinary request, and the larger one a header of
	// MaxHeaderSize; it is the limit on trailers.
	minBuffer = 8 << 10
	maxBuffer = MaxHeaderSize + minBuffer
	// maxHeaderLines bounds the lines of a header with the request line. The library keeps more than 60 bytes for each line, so that short
	// lines take many times their size. Ordinary callers send some ten.
	maxHeaderLines = 256
	// replyBuffer fits the replies to callers, so that each is one write.
	replyBuffer = 1 << 10
	// receiveBuffer is the size of the kernel's buffer of received bytes, which count as the process's memory as well.
	receiveBuffer = 32 << 10
	// writeTimeout bounds one write, so that a caller that reads no replies does not keep its connection.
	writeTimeout = 10 * time.Second
	// giveWayTimeout bounds a write of a connection that has to give way. A caller that reads gets its refusal.
	giveWayTimeout = 500 * time.Millisecond
	// discardedSize is how much of a refused body is read and discarded, for at most discardTime, so that the caller can read the reply
	// before the connection is closed.
	discardedSize = 256 << 10
	discardTime   = time.Second
	// growRetryDelay is the pause before a request asks again for memory that is about to be free.
	growRetryDelay = 5 * time.Millisecond
)

var (
	errBufferFull = errors.New("the header, the trailer or a line of a chunk is too long")
	errSkip       = errors.New("fewer bytes are buffered than have to be skipped")
	continueReply = []byte("HTTP/1.1 100 ")
)

// Conn is the connection of a caller. Its buffer is bounded and counted in the budget.
type Conn struct {
	net.Conn
	network.Writer
	transport *Transport
	account   *Account
	replies   *bufio.Writer

	// buffer[start:end] is received and not yet taken.
	buffer     []byte
	start, end int
	// bufferCharge is what the buffer has taken from the budget.
	bufferCharge int64
	// requestCharge is what the body of the request, and what was decoded from it, have taken from the budget.
	requestCharge int64
	// failure is why reading ended; "" while it has not.
	failure Reason
	// receiving is whether a request has begun to arrive and has not been answered, handled whether the handler has got it.
	receiving, handled bool
	// refusedByServer is set once the server itself has refused the request; reported once a refusal is counted.
	refusedByServer, reported bool
	// headerTaken is whether the header of the request was taken; until then headerScanned is how many of the buffered bytes were looked at,
	// and headerLines how many of its lines these have. lineStart is where the last line begins, from the start of the header on.
	headerTaken                           bool
	headerScanned, headerLines, lineStart int
	// discardOnly is set once the request is refused; discardLeft is how many further bytes are read then.
	discardOnly bool
	discardLeft int
	// deadlinePassed is set when the connection has to give way: later deadlines of reads do not apply, and writes have a shorter one.
	deadlinePassed atomic.Bool
}

func newConn(c net.Conn, t *Transport) (*Conn, error) {
	conn := &Conn{Conn: c, transport: t}
	conn.replies = bufio.NewWriterSize(rawWriter{conn: conn}, replyBuffer)
	conn.Writer = network.NewWriter(conn.replies)
	var err error
	conn.account, err = t.Budget.Open(t.Clock.Now(), conn.giveWay)
	return conn, err
}

// past is a time at which no process has run.
var past = time.Unix(1, 0)

// giveWay ends the pending and all later reads, and a pending write. Later writes have giveWayTimeout.
func (c *Conn) giveWay() {
	c.deadlinePassed.Store(true)
	// A connection that is already closed needs no deadline.
	_ = c.SetReadDeadline(past)
	_ = c.SetWriteDeadline(past)
}

// SetReadTimeout implements network.Conn. A request that has begun to arrive keeps its time, RequestTimeout from its first byte.
func (c *Conn) SetReadTimeout(t time.Duration) error {
	if c.receiving {
		return nil
	}
	return c.limitReads(t)
}

// limitReads sets the time for all reads from now on.
func (c *Conn) limitReads(t time.Duration) error {
	var deadline time.Time
	if t > 0 {
		deadline = time.Now().Add(t)
	}
	err := c.SetReadDeadline(deadline)
	if c.deadlinePassed.Load() {
		return c.SetReadDeadline(past)
	}
	return err
}

// SetWriteTimeout implements network.Conn. Each write has a deadline of its own.
func (*Conn) SetWriteTimeout(time.Duration) error { return nil }

// receive reads from the connection. It records why reading ended, and returns io.EOF then, for which the server writes no reply of
// its own to a connection without a request.
func (c *Conn) receive(into []byte) (int, error) {
	if c.failure != "" {
		return 0, io.EOF
	}
	if c.discardOnly {
		if c.discardLeft <= 0 {
			return 0, io.EOF
		}
		into = into[:min(len(into), c.discardLeft)]
	}
	n, err := c.Conn.Read(into)
	if c.discardOnly {
		c.discardLeft -= n
	}
	if n > 0 {
		c.begin()
		return n, nil
	}
	c.failure = ReasonBroken
	var netErr net.Error
	if errors.As(err, &netErr) && netErr.Timeout() {
		if c.failure = c.account.Evicted(); c.failure == "" {
			c.failure = ReasonTimeout
		}
	}
	return 0, io.EOF
}

// begin notes that a request has begun to arrive.
func (c *Conn) begin() {
	if !c.receiving {
		c.receiving = true
		c.account.Receive(c.transport.Clock.Now())
		if !c.discardOnly {
			// An error shows at the next read.
			_ = c.limitReads(RequestTimeout)
		}
	}
}

// Read implements net.Conn.
func (c *Conn) Read(into []byte) (int, error) {
	if c.Len() == 0 {
		return c.receive(into)
	}
	n := copy(into, c.buffer[c.start:c.end])
	c.start += n
	return n, nil
}

// Len implements network.Reader.
func (c *Conn) Len() int { return c.end - c.start }

// Peek implements network.Reader. The bytes are valid until the next call.
func (c *Conn) Peek(n int) ([]byte, error) {
	if c.Len() > 0 {
		c.begin()
	}
	if c.Len() < n {
		if err := c.reserve(n); err != nil {
			return nil, err
		}
	}
	for c.Len() < n {
		got, err := c.receive(c.buffer[c.end:])
		if err != nil {
			return nil, err
		}
		c.end += got
	}
	if !c.headerTaken && !c.discardOnly && c.hasManyHeaderLines() {
		c.refusedByServer, c.failure = true, ReasonHeader
		return nil, errs.ErrHeaderTooLarge
	}
	return c.buffer[c.start : c.start+n], nil
}

// hasManyHeaderLines reports whether the header has more than maxHeaderLines in what is buffered. It ends at the first empty line.
func (c *Conn) hasManyHeaderLines() bool {
	header := c.buffer[c.start:c.end]
	for c.headerScanned < len(header) && c.headerLines <= maxHeaderLines {
		i := bytes.IndexByte(header[c.headerScanned:], '\n')
		if i < 0 {
			c.headerScanned = len(header)
			break
		}
		line := header[c.lineStart : c.headerScanned+i]
		if len(line) == 0 || len(line) == 1 && line[0] == '\r' {
			break
		}
		c.headerLines++
		c.headerScanned += i + 1
		c.lineStart = c.headerScanned
	}
	return c.headerLines > maxHeaderLines
}

// reserve makes room for n bytes from the start of the buffer on.
func (c *Conn) reserve(n int) error {
	if n > maxBuffer {
		return errBufferFull
	}
	if c.start+n <= len(c.buffer) {
		return nil
	}
	into := c.buffer
	if n > len(into) {
		size := min(maxBuffer, max(minBuffer, 2*len(into), n))
		if charge := int64(size - minBuffer); charge > c.bufferCharge {
			if err := c.grow(charge - c.bufferCharge); err != nil {
				c.failure = ReasonOf(err)
				return io.EOF
			}
			c.bufferCharge = charge
		}
		into = make([]byte, size)
	}
	c.end = copy(into, c.buffer[c.start:c.end])
	c.start, c.buffer = 0, into
	return nil
}

// grow takes bytes from the budget. It waits for connections that are being closed.
func (c *Conn) grow(bytes int64) error {
	clock := c.transport.Clock
	for end := clock.Now().Add(requestPatience); ; clock.Sleep(growRetryDelay) {
		err := c.account.Grow(bytes, clock.Now())
		switch {
		case !errors.Is(err, errPending):
			return err
		case clock.Now().After(end):
			return &ErrRefused{Reason: ReasonMemory}
		}
	}
}

// Skip implements network.Reader.
func (c *Conn) Skip(n int) error {
	if n > c.Len() {
		return errSkip
	}
	c.start += n
	// The library takes a header at once.
	c.headerTaken = true
	return nil
}

// ReadByte implements network.Reader.
func (c *Conn) ReadByte() (byte, error) {
	data, err := c.Peek(1)
	if err != nil {
		return 0, err
	}
	c.start++
	return data[0], nil
}

// ReadBinary implements network.Reader.
func (c *Conn) ReadBinary(n int) ([]byte, error) {
	data, err := c.Peek(n)
	if err != nil {
		return nil, err
	}
	c.start += n
	return bytes.Clone(data), nil
}

// Release implements network.Reader. It frees a buffer that has grown, once everything in it was taken.
func (c *Conn) Release() error {
	if c.Len() > 0 {
		return nil
	}
	c.start, c.end = 0, 0
	if len(c.buffer) > minBuffer {
		c.buffer = nil
		c.account.Shrink(c.bufferCharge)
		c.bufferCharge = 0
	}
	return nil
}

// Flush implements network.Writer. The reply to a request that the handler has got is the end of that request.
func (c *Conn) Flush() error {
	if c.handled {
		c.account.Reply(c.transport.Clock.Now())
	}
	err := c.Writer.Flush()
	if err == nil {
		err = c.replies.Flush()
	}
	if c.handled {
		c.handled, c.receiving, c.headerTaken = false, false, false
		c.headerScanned, c.headerLines, c.lineStart = 0, 0, 0
		c.account.Shrink(c.requestCharge)
		c.requestCharge = 0
		c.account.Rest(c.transport.Clock.Now())
	}
	if err != nil && c.failure == "" {
		c.failure = c.account.Evicted()
	}
	return err
}

// report counts and logs that the caller was refused, once.
func (c *Conn) report(reason Reason) {
	if !c.reported {
		c.reported = true
		c.transport.refused(c.RemoteAddr(), reason)
	}
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	if c.failure != "" && (c.receiving || c.failure != ReasonBroken && c.failure != ReasonTimeout) {
		c.report(c.failure)
	}
	c.account.Close()
	return c.Conn.Close()
}

// rawWriter writes replies to the connection.
type rawWriter struct{ conn *Conn }

// Write implements io.Writer. It writes no reply of the server's own to a request that did not arrive: the caller is told nothing, so
// that it may send the request again.
func (w rawWriter) Write(data []byte) (int, error) {
	c := w.conn
	if !c.handled {
		if c.failure != "" && !c.refusedByServer {
			return 0, io.ErrClosedPipe
		}
		if c.failure == "" && !bytes.HasPrefix(data, continueReply) {
			c.refusedByServer, c.failure = true, ReasonMalformed
			if c.Len() >= MaxHeaderSize {
				c.failure = ReasonHeader
			}
		}
	}
	if err := c.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return 0, err
	}
	if c.deadlinePassed.Load() {
		if err := c.SetWriteDeadline(time.Now().Add(giveWayTimeout)); err != nil {
			return 0, err
		}
	}
	return c.Write(data)
}
