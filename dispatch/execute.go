package dispatch

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/pkg/errors"

	"clementinepier/board"
	"clementinepier/gang"
	"clementinepier/job"
	"clementinepier/metrics"
	"clementinepier/trace"
	"clementinepier/worker"
)

// errCommandExpired is the reply to a command that waited for a goroutine until after its NotAfter time. It was not sent.
var errCommandExpired = errors.New("the time to send the command has passed")

// errPoolFull is the reply to a command for which the pool had no free goroutine. It was not sent.
var errPoolFull = errors.New("too many calls to workers are in flight")

// executeCommands sends commands on the worker call pool. Renewals are collected per worker, and flushRenewals sends them in
// one batch.
func (d *Dispatcher) executeCommands(r *run, commands []gang.Command) {
	for _, c := range commands {
		switch c.Kind {
		case gang.KindRenew:
			d.pendingRenewals[c.Worker] = append(d.pendingRenewals[c.Worker], runCommand{run: r, gang: r.gang, command: c})
		default:
			d.sendCommand(r, c)
		}
	}
}

// runCommand is a command with the run and the gang that it belongs to.
type runCommand struct {
	run     *run
	gang    *gang.Gang
	command gang.Command
}

// sendCommand carries out one command on the worker call pool and posts its reply to the control goroutine.
func (d *Dispatcher) sendCommand(r *run, c gang.Command) {
	payload := r.request.Payload
	spec := r.gang.Spec(c.Member)
	parent := r.traceparent
	current := r.gang
	post := func(reply gang.Reply) {
		d.Board.Post(func(s *board.State) {
			d.stopLateHold(r, current, reply)
			d.stepGang(s, r, current, reply)
		})
	}
	err := d.runOnPool(func() {
		ctx, cancel := d.timeout(trace.Extract(d.ctx, parent), d.CallTimeout)
		defer cancel()
		ctx, span := d.Tracer.Start(ctx, "worker-"+string(c.Kind), "worker", c.Worker, "task", c.ID.String())
		reply := d.call(ctx, c, spec, payload)
		span.End(errorText(reply.Err))
		post(reply)
	})
	if err != nil {
		// Post from another goroutine, because this is the control goroutine and its mailbox may be full.
		d.spawn(func() {
			post(gang.Reply{Command: c, Err: &worker.ErrCall{Worker: c.Worker, Call: string(c.Kind), Cause: errPoolFull}})
		})
	}
}

// stopLateHold releases a hold that a worker granted after its attempt had ended.
func (d *Dispatcher) stopLateHold(r *run, g *gang.Gang, reply gang.Reply) {
	c := reply.Command
	if c.Kind != gang.KindHold || reply.Err != nil || reply.Refused != worker.RefusedNone || r.gang == g {
		return
	}
	client, ok := d.Workers(c.Worker)
	if !ok {
		return
	}
	// When the pool has no free goroutine, the hold expires by itself.
	_ = d.runOnPool(func() {
		ctx, cancel := d.callContext()
		defer cancel()
		_, _ = client.Stop(ctx, []job.TaskID{c.ID}, "the attempt has ended")
	})
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// isExpired reports whether a command must no longer be sent.
func (d *Dispatcher) isExpired(c gang.Command) bool {
	return !c.NotAfter.IsZero() && !d.Clock.Now().Before(c.NotAfter)
}

// call carries out one command.
func (d *Dispatcher) call(ctx context.Context, c gang.Command, spec worker.Spec, payload []byte) gang.Reply {
	reply := gang.Reply{Command: c}
	client, ok := d.Workers(c.Worker)
	if !ok {
		reply.Err = &worker.ErrCall{Worker: c.Worker, Call: string(c.Kind), Cause: errors.New("worker is not known")}
		return reply
	}
	if d.isExpired(c) {
		reply.Err = &worker.ErrCall{Worker: c.Worker, Call: string(c.Kind), Cause: errCommandExpired}
		return reply
	}
	d.Metrics.Add(metrics.WorkerCalls, 1)
	switch c.Kind {
	case gang.KindHold:
		_, reply.Refused, reply.Err = client.Hold(ctx, spec, c.Lease)
	case gang.KindStart:
		reply.Refused, reply.Err = client.Start(ctx, c.ID, c.Nonce, payload, c.Lease)
	case gang.KindCheckpoint:
		reply.Err = client.Checkpoint(ctx, c.ID)
	case gang.KindStop:
		reply.Status, reply.Err = singleStatus(client.Stop(ctx, []job.TaskID{c.ID}, c.Reason))
	case gang.KindForbid:
		reply.Status, reply.Err = client.Forbid(ctx, c.ID)
	case gang.KindAnswer:
		reply.Answer, reply.Err = client.Answer(ctx, c.ID)
	case gang.KindAcknowledge:
		reply.Err = client.Acknowledge(ctx, []job.TaskID{c.ID})
	}
	if reply.Err != nil {
		d.Metrics.Add(metrics.WorkerCallsFailed, 1)
	}
	return reply
}

// singleStatus returns the status from the reply to a call for one task.
func singleStatus(statuses []worker.Status, err error) (worker.Status, error) {
	if err != nil {
		return worker.Status{}, err
	}
	if len(statuses) != 1 {
		return worker.Status{}, errors.Errorf("reply has %d statuses where 1 was asked for", len(statuses))
	}
	return statuses[0], nil
}

// flushRenewals sends the collected renewals with one call per worker.
func (d *Dispatcher) flushRenewals() {
	for _, name := range slices.Sorted(maps.Keys(d.pendingRenewals)) {
		batch := d.pendingRenewals[name]
		delete(d.pendingRenewals, name)
		// Renewals of attempts that are over are dropped: short tasks often end before their first renewal is sent.
		batch = slices.DeleteFunc(batch, func(o runCommand) bool { return o.run.gang != o.gang })
		if len(batch) == 0 {
			continue
		}
		if err := d.runOnPool(func() { d.sendRenewals(name, batch) }); err != nil {
			cause := &worker.ErrCall{Worker: name, Call: string(gang.KindRenew), Cause: errPoolFull}
			d.spawn(func() { d.postRenewals(batch, nil, cause) })
		}
	}
}

// sendRenewals renews the leases of a worker's tasks with one call and posts the replies.
func (d *Dispatcher) sendRenewals(name string, batch []runCommand) {
	client, ok := d.Workers(name)
	if !ok {
		d.postRenewals(batch, nil, &worker.ErrCall{Worker: name, Call: string(gang.KindRenew), Cause: errors.New("worker is not known")})
		return
	}
	expired, batch := d.splitExpired(batch)
	if len(expired) > 0 {
		d.postRenewals(expired, nil, &worker.ErrCall{Worker: name, Call: string(gang.KindRenew), Cause: errCommandExpired})
	}
	if len(batch) == 0 {
		return
	}
	leases := make([]worker.Lease, 0, len(batch))
	for _, o := range batch {
		leases = append(leases, worker.Lease{ID: o.command.ID, Nonce: o.command.Nonce, Length: job.Duration(o.command.Lease)})
	}
	ctx, cancel := d.timeout(d.ctx, renewTimeout)
	defer cancel()
	d.Metrics.Add(metrics.WorkerCalls, 1)
	statuses, err := client.Renew(ctx, leases)
	if err != nil {
		d.Metrics.Add(metrics.WorkerCallsFailed, 1)
	}
	d.postRenewals(batch, statuses, err)
}

// splitExpired separates the commands that must no longer be sent from the others.
func (d *Dispatcher) splitExpired(batch []runCommand) (expired, rest []runCommand) {
	for _, o := range batch {
		if d.isExpired(o.command) {
			expired = append(expired, o)
		} else {
			rest = append(rest, o)
		}
	}
	return expired, rest
}

// postRenewals posts the reply to each renewal to the gang that issued it.
func (d *Dispatcher) postRenewals(batch []runCommand, statuses []worker.Status, err error) {
	byID := make(map[job.TaskID]worker.Status, len(statuses))
	for _, s := range statuses {
		byID[s.Spec.ID] = s
	}
	d.Board.Post(func(s *board.State) {
		for _, o := range batch {
			reply := gang.Reply{Command: o.command, Err: err}
			status, ok := byID[o.command.ID]
			reply.Status = status
			if err == nil && !ok {
				reply.Err = errors.New("reply lacks the task")
			}
			d.stepGang(s, o.run, o.gang, reply)
		}
	})
}

// renewTimeout is shorter than the call timeout of a gang, so that a slow reply costs one renewal and not the lease.
const renewTimeout = 400 * time.Millisecond
