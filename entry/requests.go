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

// submit starts a request or joins the one in flight with the same id. The request continues if the caller's connection
// breaks, so that a retry finds the outcome.
func (v *VM) submit(ctx context.Context, req job.Request, digest string) (api.Submission, job.Outcome) {
	v.Metrics.Add(metrics.RequestsReceived, 1)
	if v.requests.isFull() {
		return api.Submission{}, job.NewNotRun(req.Key(), job.CodeOverloaded, "this entry VM has too many requests in flight", job.Duration(time.Second))
	}
	// A retry of a request that is already known does not count against the rate again.
	if _, known := v.requests.find(req.Key()); !known && !v.allowRequest(ctx, req) {
		return api.Submission{}, job.NewNotRun(req.Key(), job.CodeLimitReached, "the organisation's rate for the service is used up", limitRetryAfter)
	}
	h, created := v.requests.getOrAdd(req, digest, v.Clock.Now().Add(req.Timeout.Std()))
	if h == nil {
		return api.Submission{}, job.NewNotRun(req.Key(), job.CodeRequestIDConflict, "the id was used for another request", 0)
	}
	if created {
		go v.process(trace.Inject(ctx), h, req, digest)
	}
	return api.Submission{Ended: h.ended, Outcome: func() job.Outcome { return h.outcome }}, job.Outcome{}
}

// process runs a request and records its outcome.
func (v *VM) process(traceparent string, h *trackedRequest, req job.Request, digest string) {
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
	v.requests.end(h, outcome)
}

// runWithinLimits waits for the organisation's running limit and then sends the request to a rack owner.
func (v *VM) runWithinLimits(ctx context.Context, req job.Request, digest string) job.Outcome {
	deadline := v.Clock.Now().Add(req.Timeout.Std())
	if !v.acquireRunning(ctx, req, deadline) {
		return job.NewNotRun(req.Key(), job.CodeLimitReached, "the organisation ran as many requests of the service as it may", limitRetryAfter)
	}
	defer v.releaseRunning(req)
	req.Timeout = job.Duration(deadline.Sub(v.Clock.Now()))
	return v.router.Run(ctx, req, digest)
}

// handleRun runs a request on this VM's racks for another receiver.
func (v *VM) handleRun(ctx context.Context, _ peer.Identity, body []byte) (any, error) {
	var call router.RunCall
	if err := cbor.Unmarshal(body, &call); err != nil {
		return nil, err
	}
	outcome, err := v.runOnOwnRacks(ctx, call.Request, call.Digest)
	if err != nil {
		return nil, err
	}
	return outcome, nil
}

// runOnOwnRacks runs a request on this VM's racks. If the id is in use for another request, it returns the same error as a
// call to a peer would.
func (v *VM) runOnOwnRacks(ctx context.Context, req job.Request, digest string) (job.Outcome, error) {
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

// findOnOwnRacks looks for a request on this VM's racks.
func (v *VM) findOnOwnRacks(ctx context.Context, key job.Key) (router.FindReply, error) {
	outcome, found, ended, err := v.dispatcher.Find(ctx, key)
	return router.FindReply{Found: found, Ended: ended, Outcome: outcome}, err
}
