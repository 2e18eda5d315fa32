// Package peer carries authenticated calls between entry VMs, as CBOR frames over WebSocket.
package peer

import (
	"context"
	"sync"

	"github.com/coder/websocket"
	"github.com/pkg/errors"

	"clementinepier/codec"
	"clementinepier/job"
)

// maxFrameSize is the maximum size of one frame in bytes. It allows for a payload of 1 MB or a configuration document, plus
// the other fields.
const maxFrameSize = 4 << 20

// Kind identifies the type of a call.
type Kind string

// The kinds of call between entry VMs.
const (
	KindHeartbeat Kind = "heartbeat"
	KindConfig    Kind = "config"
	KindRun       Kind = "run"
	KindCancel    Kind = "cancel"
	KindFind      Kind = "find"
	// The kinds that other entry VMs send to the planner.
	KindSubmit  Kind = "submit-job"
	KindState   Kind = "job-state"
	KindEnd     Kind = "end-job"
	KindWaiting Kind = "waiting-jobs"
	KindExplain Kind = "explain-job"
	// KindYield asks a planner on a small entry VM to step down in favour of a larger one.
	KindYield Kind = "yield"
	// KindProbe asks whether the called entry VM is the planner and can accept jobs.
	KindProbe Kind = "probe-planner"
)

// frame is one message on a link: a call, or a reply, which has Reply set and the ID of its call.
type frame struct {
	ID    uint64           `cbor:"1,keyasint"`
	Kind  Kind             `cbor:"2,keyasint,omitempty"`
	Reply bool             `cbor:"3,keyasint,omitempty"`
	Trace string           `cbor:"4,keyasint,omitempty"`
	Body  codec.RawMessage `cbor:"5,keyasint,omitempty"`
	// Code and Detail are set on a reply whose call was refused.
	Code   job.Code `cbor:"6,keyasint,omitempty"`
	Detail string   `cbor:"7,keyasint,omitempty"`
}

// Identity identifies one process of an entry VM.
type Identity struct {
	VM            string `cbor:"1,keyasint"`
	FailureDomain string `cbor:"2,keyasint"`
	// BootID distinguishes two processes with the same VM name, such as before and after a restart.
	BootID string `cbor:"3,keyasint"`
}

// conn serialises writes to one WebSocket connection.
type conn struct {
	ws *websocket.Conn
	mu sync.Mutex
}

func newConn(ws *websocket.Conn) *conn {
	ws.SetReadLimit(maxFrameSize)
	return &conn{ws: ws}
}

func (c *conn) write(ctx context.Context, v any) error {
	data, err := codec.Marshal(v)
	if err != nil {
		return errors.Wrap(err, "encode frame")
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ws.Write(ctx, websocket.MessageBinary, data)
}

func (c *conn) read(ctx context.Context, v any) error {
	kind, data, err := c.ws.Read(ctx)
	if err != nil {
		return err
	}
	if kind != websocket.MessageBinary {
		return errors.New("received a WebSocket text message; expected a binary message with CBOR")
	}
	return errors.Wrap(codec.Unmarshal(data, v), "decode frame")
}
