package worker

import (
	"context"
	"net/http"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"

	"clementinepier/job"
	"clementinepier/jsonhttp"
)

// MaxConnections is the number of connections that a worker accepts, from all entry VMs together.
const MaxConnections = 64

const (
	defaultTimeout = time.Second
	// A checkpoint takes up to 2 s; the remaining 500 ms are for the network.
	defaultCheckpointTimeout = 2500 * time.Millisecond
)

// Options are the parameters of NewClient.
type Options struct {
	// Name is the name of the worker, used in errors.
	Name string
	// Address is the IP address and port of the worker.
	Address string
	// Timeout bounds each call except a checkpoint. An events call is given its wait time in addition. 0 means 1 s.
	Timeout time.Duration
	// CheckpointTimeout bounds a checkpoint; 0 means 2.5 s.
	CheckpointTimeout time.Duration
	// MaxConnections bounds the connection pool; 0 and anything above 64 mean 64. The pools of all entry VMs that
	// share a worker must not exceed 64 connections together.
	MaxConnections int
	// Clock is used for timeouts; nil means the real clock.
	Clock clockwork.Clock
}

type client struct {
	name              string
	caller            *jsonhttp.Caller
	timeout           time.Duration
	checkpointTimeout time.Duration
}

// NewClient returns a Client that calls a worker over HTTP. It never retries a call.
func NewClient(o Options) *Client {
	if o.Timeout <= 0 {
		o.Timeout = defaultTimeout
	}
	if o.CheckpointTimeout <= 0 {
		o.CheckpointTimeout = defaultCheckpointTimeout
	}
	if o.MaxConnections <= 0 || o.MaxConnections > MaxConnections {
		o.MaxConnections = MaxConnections
	}
	if o.Clock == nil {
		o.Clock = clockwork.NewRealClock()
	}
	c := &client{
		name:              o.Name,
		caller:            jsonhttp.NewCaller(jsonhttp.Options{Address: o.Address, MaxConnections: o.MaxConnections, Clock: o.Clock}),
		timeout:           o.Timeout,
		checkpointTimeout: o.CheckpointTimeout,
	}
	return &Client{
		Info:        c.info,
		Hold:        c.hold,
		Start:       c.start,
		Renew:       c.renew,
		Stop:        c.stop,
		Checkpoint:  c.checkpoint,
		Throttle:    c.throttle,
		Forbid:      c.forbid,
		Tasks:       c.tasks,
		Events:      c.events,
		Answer:      c.answer,
		Acknowledge: c.acknowledge,
		Usage:       c.usage,
	}
}

// post sends one call. If id is set, status 404 is returned as *ErrTaskNotExist; every other failure is an *ErrCall.
func (c *client) post(ctx context.Context, call string, timeout time.Duration, id job.TaskID, in, out any) error {
	delivered, err := c.caller.Post(ctx, "/v1/"+call, timeout, in, out)
	if err == nil {
		return nil
	}
	var status *jsonhttp.ErrStatus
	if errors.As(err, &status) && status.Status == http.StatusNotFound && id != (job.TaskID{}) {
		return errors.WithStack(&ErrTaskNotExist{ID: id.String()})
	}
	return &ErrCall{Worker: c.name, Call: call, Delivered: delivered, Cause: err}
}

// unusableReply returns the error for a reply that was received but cannot be used.
func (c *client) unusableReply(call string, cause error) error {
	return &ErrCall{Worker: c.name, Call: call, Delivered: true, Cause: cause}
}

func (c *client) checkID(call string, want, have job.TaskID) error {
	if want == have {
		return nil
	}
	return c.unusableReply(call, errors.Errorf("reply is for task %s, not %s", have, want))
}

// checkStatuses requires exactly one status for each id, in order.
func (c *client) checkStatuses(call string, ids []job.TaskID, statuses []Status) error {
	if len(ids) != len(statuses) {
		return c.unusableReply(call, errors.Errorf("%d statuses for %d tasks", len(statuses), len(ids)))
	}
	for i, id := range ids {
		if err := c.checkID(call, id, statuses[i].Spec.ID); err != nil {
			return err
		}
	}
	return nil
}

func (c *client) info(ctx context.Context) (Info, error) {
	var info Info
	err := c.post(ctx, "info", c.timeout, job.TaskID{}, struct{}{}, &info)
	return info, err
}

func (c *client) hold(ctx context.Context, spec Spec, length time.Duration) ([]int, Refusal, error) {
	var reply struct {
		ID           job.TaskID `json:"id"`
		Accelerators []int      `json:"accelerators"`
		Refused      Refusal    `json:"refused"`
	}
	in := map[string]any{"spec": spec, "length": job.Duration(length)}
	if err := c.post(ctx, "hold", c.timeout, job.TaskID{}, in, &reply); err != nil {
		return nil, RefusedNone, err
	}
	if err := c.checkID("hold", spec.ID, reply.ID); err != nil {
		return nil, RefusedNone, err
	}
	return reply.Accelerators, reply.Refused, nil
}

func (c *client) start(ctx context.Context, id job.TaskID, nonce string, payload []byte, length time.Duration) (Refusal, error) {
	var reply struct {
		ID      job.TaskID `json:"id"`
		Refused Refusal    `json:"refused"`
	}
	in := map[string]any{"id": id, "nonce": nonce, "payload": payload, "length": job.Duration(length)}
	if err := c.post(ctx, "start", c.timeout, job.TaskID{}, in, &reply); err != nil {
		return RefusedNone, err
	}
	return reply.Refused, c.checkID("start", id, reply.ID)
}

func (c *client) renew(ctx context.Context, leases []Lease) ([]Status, error) {
	var reply RenewReply
	if err := c.post(ctx, "renew", c.timeout, job.TaskID{}, map[string]any{"leases": leases}, &reply); err != nil {
		return nil, err
	}
	if len(leases) != len(reply.Tasks) {
		return nil, c.unusableReply("renew", errors.Errorf("%d states for %d tasks", len(reply.Tasks), len(leases)))
	}
	statuses := make([]Status, len(leases))
	for i, lease := range leases {
		task := reply.Tasks[i]
		if err := c.checkID("renew", lease.ID, task.ID); err != nil {
			return nil, err
		}
		statuses[i] = Status{Spec: Spec{ID: task.ID, Nonce: task.Nonce}, State: task.State, Started: task.Started}
	}
	return statuses, nil
}

func (c *client) stop(ctx context.Context, ids []job.TaskID, reason string) ([]Status, error) {
	var reply struct {
		Statuses []Status `json:"statuses"`
	}
	if err := c.post(ctx, "stop", c.timeout, job.TaskID{}, map[string]any{"ids": ids, "reason": reason}, &reply); err != nil {
		return nil, err
	}
	return reply.Statuses, c.checkStatuses("stop", ids, reply.Statuses)
}

func (c *client) checkpoint(ctx context.Context, id job.TaskID) error {
	var reply struct{}
	return c.post(ctx, "checkpoint", c.checkpointTimeout, id, map[string]any{"id": id}, &reply)
}

func (c *client) throttle(ctx context.Context, id job.TaskID, share float64) error {
	var reply struct{}
	return c.post(ctx, "throttle", c.timeout, id, map[string]any{"id": id, "share": share}, &reply)
}

func (c *client) forbid(ctx context.Context, id job.TaskID) (Status, error) {
	var status Status
	if err := c.post(ctx, "forbid", c.timeout, job.TaskID{}, map[string]any{"id": id}, &status); err != nil {
		return Status{}, err
	}
	return status, c.checkID("forbid", id, status.Spec.ID)
}

func (c *client) tasks(ctx context.Context) (Info, []Status, error) {
	var reply struct {
		Info     Info     `json:"info"`
		Statuses []Status `json:"statuses"`
	}
	err := c.post(ctx, "tasks", c.timeout, job.TaskID{}, struct{}{}, &reply)
	return reply.Info, reply.Statuses, err
}

func (c *client) events(ctx context.Context, after uint64, wait time.Duration) (Events, error) {
	var reply Events
	in := map[string]any{"after": after, "wait": job.Duration(wait)}
	err := c.post(ctx, "events", c.timeout+wait, job.TaskID{}, in, &reply)
	return reply, err
}

func (c *client) answer(ctx context.Context, id job.TaskID) ([]byte, error) {
	var reply AnswerReply
	if err := c.post(ctx, "answer", c.timeout, id, map[string]any{"id": id}, &reply); err != nil {
		return nil, err
	}
	if err := reply.Check(id); err != nil {
		return nil, c.unusableReply("answer", err)
	}
	return reply.Answer, nil
}

func (c *client) acknowledge(ctx context.Context, ids []job.TaskID) error {
	var reply struct{}
	return c.post(ctx, "acknowledge", c.timeout, job.TaskID{}, map[string]any{"ids": ids}, &reply)
}

func (c *client) usage(ctx context.Context) ([]Usage, error) {
	var reply struct {
		Usage []Usage `json:"usage"`
	}
	err := c.post(ctx, "usage", c.timeout, job.TaskID{}, struct{}{}, &reply)
	return reply.Usage, err
}
