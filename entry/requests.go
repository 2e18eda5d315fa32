package entry

import (
	"context"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"clementinepier/api"
	"clementinepier/dispatch"
	"clementinepier/job"
	"clementinepier/metrics"
	"clementinepier/peer"
	"clementinepier/router"
	"clementinepier/trace"
)

// submit takes a request in flight. The request goes on when the caller's connection breaks, so that its retry finds
// the outcome.
func (v *VM) submit(ctx context.Context, req job.Request, digest string) (api.Submission, job.Outcome) {
	v.Metrics.Add(metrics.RequestsReceived, 1)
	if v.directory.full() {
		return api.Submission{}, job.NewNotRun(req.Key(), job.CodeOverloaded, "this entry VM has too many requests in flight", job.Duration(time.Second))
	}
	// A request that is in flight already is not counted again.
	if _, known := v.directory.find(req.Key()); !known && !v.withinRate(ctx, req) {
		return api.Submission{}, job.NewNotRun(req.Key(), job.CodeLimitReached, "the organisation's rate for the service is used up", limitHint)
	}
	h, created := v.directory.take(req, digest, v.Clock.Now().Add(req.Timeout.Std()))
	if h == nil {
		return api.Submission{}, job.NewNotRun(req.Key(), job.CodeRequestIDConflict, "the id was used for another request", 0)
	}
	if created {
		go v.process(trace.Inject(ctx), h, req, digest)
	}
	return api.Submission{Ended: h.ended, Outcome: func() job.Outcome { return h.outcome }}, job.Outcome{}
}

// process brings a request to its outcome.
func (v *VM) process(traceparent string, h *inFlight, req job.Request, digest string) {
	ctx, span := v.Tracer.Start(trace.Extract(context.Background(), traceparent), "route")
	outcome := v.runWithinLimits(ctx, req, digest)
	span.End(string(outcome.Code))
	switch outcome.Result {
	case job.Done:
		v.Metrics.Add(metrics.RequestsDone, 1)
	case job.NotRun:
		v.Metrics.Add(metrics.RequestsNotRun, 1)
	default:
		v.Metrics.Add(metrics.RequestsUnknown, 1)
	}
	v.directory.end(h, outcome)
}

// runWithinLimits waits for the organisation's running limit and then sends the request to a rack owner.
func (v *VM) runWithinLimits(ctx context.Context, req job.Request, digest string) job.Outcome {
	deadline := v.Clock.Now().Add(req.Timeout.Std())
	if !v.awaitRunning(ctx, req, deadline) {
		return job.NewNotRun(req.Key(), job.CodeLimitReached, "the organisation ran as many requests of the service as it may", limitHint)
	}
	defer v.releaseRunning(req)
	req.Timeout = job.Duration(deadline.Sub(v.Clock.Now()))
	return v.router.Run(ctx, req, digest)
}

// onRun runs a request on this VM's racks for another receiver.
func (v *VM) onRun(ctx context.Context, _ peer.Identity, body []byte) (any, error) {
	var call router.RunCall
	if err := cbor.Unmarshal(body, &call); err != nil {
		return nil, err
	}
	outcome, err := v.runHere(ctx, call.Request, call.Digest)
	if err != nil {
		return nil, err
	}
	return outcome, nil
}

// runHere runs a request on this VM's racks. An id that is in use for another request is refused as by a peer.
func (v *VM) runHere(ctx context.Context, req job.Request, digest string) (job.Outcome, error) {
	ctx, span := v.Tracer.Start(ctx, "dispatch", "request", req.Key().String())
	outcome, err := v.dispatcher.Submit(ctx, req, digest)
	if err != nil {
		span.End(err.Error())
	} else {
		span.End(string(outcome.Code))
	}
	if errors.Is(err, dispatch.ErrRequestConflict) {
		return job.Outcome{}, &peer.ErrRefused{Code: job.CodeRequestIDConflict, Detail: err.Error()}
	}
	return outcome, err
}

// find looks for a request on this VM's racks.
func (v *VM) find(ctx context.Context, key job.Key) (router.FindReply, error) {
	outcome, found, ended, err := v.dispatcher.Find(ctx, key)
	return router.FindReply{Found: found, Ended: ended, Outcome: outcome}, err
}
