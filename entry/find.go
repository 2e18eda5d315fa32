package entry

import (
	"context"
	"time"

	"github.com/fxamacker/cbor/v2"

	"clementinepier/claim"
	"clementinepier/job"
	"clementinepier/message"
	"clementinepier/metrics"
	"clementinepier/peer"
	"clementinepier/router"
)

// handleFind answers another VM that looks for a request. The requests that this VM received are searched only if the call
// asks for receivers.
func (v *VM) handleFind(ctx context.Context, _ peer.Identity, body []byte) (any, error) {
	var call router.FindCall
	if err := cbor.Unmarshal(body, &call); err != nil {
		return nil, err
	}
	if h, ok := v.requests.find(call.Key); ok && call.Receivers {
		reply := router.FindReply{Found: true, Ended: h.isEnded()}
		if reply.Ended {
			reply.Outcome = h.outcome
		}
		return reply, nil
	}
	return v.findOnOwnRacks(ctx, call.Key)
}

// handleCancel cancels a request on this VM's racks for another VM.
func (v *VM) handleCancel(ctx context.Context, _ peer.Identity, body []byte) (any, error) {
	var call router.FindCall
	if err := cbor.Unmarshal(body, &call); err != nil {
		return nil, err
	}
	return v.dispatcher.Cancel(ctx, call.Key)
}

// findRequest looks for a request among those that this VM received, then at the other entry VMs, then in the claim ledger.
func (v *VM) findRequest(ctx context.Context, key job.Key) (message.Request, bool, error) {
	reply := message.Request{Key: key, State: message.RequestRunning}
	if h, ok := v.requests.find(key); ok {
		if h.isEnded() {
			reply.State, reply.Outcome = message.RequestEnded, &h.outcome
		}
		return reply, true, nil
	}
	found, lookupErr := v.router.Lookup(ctx, key)
	if found.Found {
		if found.Ended {
			reply.State, reply.Outcome = message.RequestEnded, &found.Outcome
		}
		return reply, true, nil
	}
	record, err := v.ledger.Get(ctx, key)
	switch {
	case claim.IsErrClaimNotExist(err):
		return reply, false, lookupErr
	case err != nil:
		return reply, false, err
	}
	if record.State == claim.StateClaimed {
		return reply, true, nil
	}
	outcome := recordedOutcome(record)
	reply.State, reply.Outcome = message.RequestEnded, &outcome
	return reply, true, nil
}

// recordedOutcome returns the outcome that the claim record implies for a request whose answer no entry VM has any more.
func recordedOutcome(record claim.Record) job.Outcome {
	if record.State == claim.StateNotRun {
		return job.NewNotRun(record.Key, job.CodeOwnerLost, "the last attempt never started", job.Duration(time.Second))
	}
	return job.NewUnknown(record.Key, job.CodeAnswerLost, "send the request again with the same id to have its answer fetched")
}

// cancelWait is how long a cancellation waits for the outcome of the request.
const cancelWait = 2 * time.Second

// cancelRequest cancels a request at every entry VM. It reports whether the request is known to one of them.
func (v *VM) cancelRequest(ctx context.Context, key job.Key) (message.Cancelled, bool) {
	v.Metrics.Add(metrics.RequestsCancelled, 1)
	known := v.router.CancelAll(ctx, key)
	h, ok := v.requests.find(key)
	if !ok {
		return message.Cancelled{}, known
	}
	select {
	case <-h.ended:
	case <-v.Clock.After(cancelWait):
	}
	stopped := h.isEnded() && h.outcome.Result == job.NotRun
	return message.Cancelled{StoppedBeforeStart: stopped}, true
}
