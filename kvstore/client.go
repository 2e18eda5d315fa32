package kvstore

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"

	"clementinepier/job"
	"clementinepier/jsonhttp"
)

const (
	defaultTimeout        = time.Second
	defaultMaxConnections = 16
)

// Options are the parameters of NewStore and NewDirectory.
type Options struct {
	// Address is the IP address and port of the platform.
	Address string
	// Timeout limits each call, not counting the wait time of a watch; 0 means 1 s.
	Timeout time.Duration
	// MaxConnections limits the size of the connection pool; 0 means 16.
	MaxConnections int
	// Clock is used for timeouts; nil means the real clock.
	Clock clockwork.Clock
}

type client struct {
	caller  *jsonhttp.Caller
	timeout time.Duration
}

func newClient(o Options) *client {
	if o.Timeout <= 0 {
		o.Timeout = defaultTimeout
	}
	if o.MaxConnections <= 0 {
		o.MaxConnections = defaultMaxConnections
	}
	if o.Clock == nil {
		o.Clock = clockwork.NewRealClock()
	}
	caller := jsonhttp.NewCaller(jsonhttp.Options{Address: o.Address, MaxConnections: o.MaxConnections, Clock: o.Clock})
	return &client{caller: caller, timeout: o.Timeout}
}

// NewStore returns a Store that calls the platform's key-value service over HTTP.
func NewStore(o Options) Store {
	c := newClient(o)
	return Store{
		Get:            c.get,
		List:           c.list,
		CompareAndSwap: c.compareAndSwap,
		Delete:         c.delete,
		Watch:          c.watch,
	}
}

// NewDirectory returns a Directory that reads the platform's list of VMs over HTTP.
func NewDirectory(o Options) Directory { return Directory{VMs: newClient(o).vms} }

func (c *client) post(ctx context.Context, call string, timeout time.Duration, in, out any) error {
	delivered, err := c.caller.Post(ctx, "/v1/"+call, timeout, in, out)
	if err != nil {
		return &ErrUnavailable{Call: call, Delivered: delivered, Cause: err}
	}
	return nil
}

func (c *client) get(ctx context.Context, key string) (Entry, error) {
	var entry Entry
	err := c.post(ctx, "get", c.timeout, map[string]any{"key": key}, &entry)
	return checkEntry("get", key, entry, err)
}

func (c *client) list(ctx context.Context, prefix string) ([]Entry, error) {
	var reply struct {
		Entries []Entry `json:"entries"`
	}
	err := c.post(ctx, "list", c.timeout, map[string]any{"prefix": prefix}, &reply)
	return reply.Entries, err
}

func (c *client) compareAndSwap(ctx context.Context, key string, value []byte, version uint64) (uint64, error) {
	if len(value) > MaxValueSize {
		return 0, &ErrValueTooLarge{Key: key, Size: len(value)}
	}
	var reply struct {
		Version uint64 `json:"version"`
	}
	in := map[string]any{"key": key, "value": value, "version": version}
	err := c.post(ctx, "compare-and-swap", c.timeout, in, &reply)
	if err == nil && reply.Version == 0 {
		err = &ErrUnavailable{Call: "compare-and-swap", Delivered: true, Cause: errors.New("reply has no version")}
	}
	return reply.Version, versionError(err, key, version)
}

func (c *client) delete(ctx context.Context, key string, version uint64) error {
	var reply struct{}
	err := c.post(ctx, "delete", c.timeout, map[string]any{"key": key, "version": version}, &reply)
	return versionError(err, key, version)
}

func (c *client) watch(ctx context.Context, key string, after uint64, wait time.Duration) (Entry, error) {
	var entry Entry
	in := map[string]any{"key": key, "after": after, "wait": job.Duration(wait)}
	err := c.post(ctx, "watch", c.timeout+wait, in, &entry)
	return checkEntry("watch", key, entry, err)
}

func (c *client) vms(ctx context.Context) ([]VM, error) {
	var reply struct {
		VMs []VM `json:"vms"`
	}
	err := c.post(ctx, "vms", c.timeout, struct{}{}, &reply)
	return reply.VMs, err
}

// checkEntry returns *ErrUnavailable if the reply contains the entry of another key, such as a misdelivered reply.
func checkEntry(call, key string, entry Entry, err error) (Entry, error) {
	if err == nil && entry.Key != key {
		err = &ErrUnavailable{Call: call, Delivered: true, Cause: errors.Errorf("reply is for key %q, not %q", entry.Key, key)}
	}
	if err != nil {
		return Entry{}, err
	}
	return entry, nil
}

// versionError converts a reply with status 409 that contains the current version to *ErrVersionDiffers.
func versionError(err error, key string, version uint64) error {
	var status *jsonhttp.ErrStatus
	if !errors.As(err, &status) || status.Status != http.StatusConflict {
		return err
	}
	var conflict struct {
		Have *uint64 `json:"have"`
	}
	if json.Unmarshal(status.Body, &conflict) != nil || conflict.Have == nil {
		return err
	}
	return &ErrVersionDiffers{Key: key, Want: version, Have: *conflict.Have}
}
