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

// errLate is the reply to a command that waited so long for a goroutine that its gang has given it up.
var errLate = errors.New("the time to send the command has passed")

// errPoolFull is the reply to a command that no goroutine was free for. It was not sent.
var errPoolFull = errors.New("too many calls to workers are in flight")

// execute hands commands to the traffic pool. Renewals and stops are gathered per worker and sent in one batch.
func (d *Dispatcher) execute(r *run, commands []gang.Command) {
	for _, c := range commands {
		switch c.Kind {
		case gang.KindRenew:
			d.renewals[c.Worker] = append(d.renewals[c.Worker], owned{run: r, gang: r.gang, command: c})
		default:
			d.submit(r, c)
		}
	}
}

// owned is a command with the run that it belongs to.
type owned struct {
	run     *run
	gang    *gang.Gang
	command gang.Command
}

// submit runs one command on the traffic pool and posts its reply.
func (d *Dispatcher) submit(r *run, c gang.Command) {
	payload := r.request.Payload
	spec := r.gang.Spec(c.Member)
	parent := r.trace
	current := r.gang
	post := func(reply gang.Reply) {
		d.Board.Post(func(s *board.State) {
			d.dropLateHold(r, current, reply)
			d.gangEvent(s, r, current, reply)
		})
	}
	err := d.traffic(func() {
		ctx, cancel := d.timeout(trace.Extract(d.ctx, parent), d.CallTimeout)
		defer cancel()
		ctx, span := d.Tracer.Start(ctx, "worker-"+string(c.Kind), "worker", c.Worker, "task", c.ID.String())
		reply := d.call(ctx, c, spec, payload)
		span.End(reason(reply.Err))
		post(reply)
	})
	if err != nil {
		// Posting from the control goroutine must not block on a full mailbox.
		d.spawn(func() {
			post(gang.Reply{Command: c, Err: &worker.ErrCall{Worker: c.Worker, Call: string(c.Kind), Cause: errPoolFull}})
		})
	}
}

// dropLateHold gives a hold back that was admitted after its attempt had ended.
func (d *Dispatcher) dropLateHold(r *run, g *gang.Gang, reply gang.Reply) {
	c := reply.Command
	if c.Kind != gang.KindHold || reply.Err != nil || reply.Refused != worker.RefusedNone || r.gang == g {
		return
	}
	client, ok := d.Workers(c.Worker)
	if !ok {
		return
	}
	// When no goroutine is free the hold lapses by itself.
	_ = d.traffic(func() {
		ctx, cancel := d.callContext()
		defer cancel()
		_, _ = client.Stop(ctx, []job.TaskID{c.ID}, "the attempt has ended")
	})
}

func reason(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// late reports whether a command must no longer be sent.
func (d *Dispatcher) late(c gang.Command) bool {
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
	if d.late(c) {
		reply.Err = &worker.ErrCall{Worker: c.Worker, Call: string(c.Kind), Cause: errLate}
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
		reply.Status, reply.Err = one(client.Stop(ctx, []job.TaskID{c.ID}, c.Reason))
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

// one returns the status of a call that named one task.
func one(statuses []worker.Status, err error) (worker.Status, error) {
	if err != nil {
		return worker.Status{}, err
	}
	if len(statuses) != 1 {
		return worker.Status{}, errors.Errorf("reply has %d statuses where 1 was asked for", len(statuses))
	}
	return statuses[0], nil
}

// flushRenewals sends the gathered renewals, one call per worker.
func (d *Dispatcher) flushRenewals() {
	for _, name := range slices.Sorted(maps.Keys(d.renewals)) {
		batch := d.renewals[name]
		delete(d.renewals, name)
		// Short tasks often end before their first renewal is sent.
		batch = slices.DeleteFunc(batch, func(o owned) bool { return o.run.gang != o.gang })
		if len(batch) == 0 {
			continue
		}
		if err := d.traffic(func() { d.renew(name, batch) }); err != nil {
			cause := &worker.ErrCall{Worker: name, Call: string(gang.KindRenew), Cause: errPoolFull}
			d.spawn(func() { d.postRenewals(batch, nil, cause) })
		}
	}
}

func (d *Dispatcher) renew(name string, batch []owned) {
	client, ok := d.Workers(name)
	if !ok {
		d.postRenewals(batch, nil, &worker.ErrCall{Worker: name, Call: string(gang.KindRenew), Cause: errors.New("worker is not known")})
		return
	}
	late, batch := d.splitLate(batch)
	if len(late) > 0 {
		d.postRenewals(late, nil, &worker.ErrCall{Worker: name, Call: string(gang.KindRenew), Cause: errLate})
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

// splitLate separates the commands that must no longer be sent from those that may.
func (d *Dispatcher) splitLate(batch []owned) (late, rest []owned) {
	for _, o := range batch {
		if d.late(o.command) {
			late = append(late, o)
		} else {
			rest = append(rest, o)
		}
	}
	return late, rest
}

// postRenewals gives every gang the status of its own task.
func (d *Dispatcher) postRenewals(batch []owned, statuses []worker.Status, err error) {
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
			d.gangEvent(s, o.run, o.gang, reply)
		}
	})
}

// renewTimeout is below the call timeout of a gang, so that one slow worker costs one renewal and not the lease.
const renewTimeout = 400 * time.Millisecond
