package entry

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"

	"clementinepier/api"
	"clementinepier/claim"
	"clementinepier/config"
	"clementinepier/dispatch"
	"clementinepier/job"
	"clementinepier/message"
	"clementinepier/metrics"
	"clementinepier/peer"
	"clementinepier/placement"
	"clementinepier/router"
	"clementinepier/trace"
)

const (
	// outcomeRetention is how long a receiver keeps outcomes for callers that ask again.
	outcomeRetention = 5 * time.Minute
	// maxRequests bounds the requests that one receiver has in hand or keeps the outcome of.
	maxRequests = 20_000
	// maxKeptAnswers bounds the bytes of the answers kept for callers that ask again; the rack owners and the workers
	// have them, too.
	maxKeptAnswers = 64 << 20
)

// inHand is one request that this VM received.
type inHand struct {
	request  job.Request
	digest   string
	deadline time.Time
	// keptUntil is the latest deadline of the records that the journal may have of the request, zero if none; it is guarded
	// by the directory.
	keptUntil time.Time
	// durable is true once the journal certainly has the request; it is guarded by the directory.
	durable bool
	ended   chan struct{}
	// outcome is set before ended is closed.
	outcome job.Outcome
	endedAt time.Time
}

func (h *inHand) isEnded() bool {
	select {
	case <-h.ended:
		return true
	default:
		return false
	}
}

// requestDirectory has the requests that this VM received.
type requestDirectory struct {
	clock clockwork.Clock
	mu    sync.Mutex
	byKey map[job.Key]*inHand
	// open counts the requests without an outcome.
	open int
}

func newRequestDirectory(clock clockwork.Clock) *requestDirectory {
	return &requestDirectory{clock: clock, byKey: map[job.Key]*inHand{}}
}

// take returns the request in hand, creating it if there is none; created tells which. It returns nil when the id is
// in use for another request.
func (d *requestDirectory) take(req job.Request, digest string, deadline time.Time) (h *inHand, created bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	h, ok := d.byKey[req.Key()]
	if ok && h.digest != digest {
		return nil, false
	}
	if ok && (!h.isEnded() || !mayRunAgain(h.outcome, req.Idempotent)) {
		return h, false
	}
	h = &inHand{request: req, digest: digest, deadline: deadline, ended: make(chan struct{})}
	d.byKey[req.Key()] = h
	d.open++
	return h, true
}

// mayRunAgain reports whether a caller that asks again gets a new run instead of the outcome that is kept.
func mayRunAgain(outcome job.Outcome, idempotent bool) bool {
	return outcome.Result == job.NotRun || outcome.Result == job.Unknown && idempotent
}

func (d *requestDirectory) end(h *inHand, outcome job.Outcome) {
	d.mu.Lock()
	defer d.mu.Unlock()
	h.outcome, h.endedAt = outcome, d.clock.Now()
	d.open--
	close(h.ended)
}

func (d *requestDirectory) find(key job.Key) (*inHand, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	h, ok := d.byKey[key]
	return h, ok
}

func (d *requestDirectory) openCount() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.open
}

// volatileCount returns the number of requests without an outcome that would be lost with this process.
func (d *requestDirectory) volatileCount() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	n := 0
	for _, h := range d.byKey {
		if !h.durable && !h.isEnded() {
			n++
		}
	}
	return n
}

// setDurable records that the journal has the request.
func (d *requestDirectory) setDurable(h *inHand) {
	d.mu.Lock()
	defer d.mu.Unlock()
	h.durable = true
}

// full reports whether the directory has as many requests as it may have.
func (d *requestDirectory) full() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.byKey) >= maxRequests
}

// setKept records that the journal may have the request.
func (d *requestDirectory) setKept(h *inHand, deadline time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if deadline.After(h.keptUntil) {
		h.keptUntil = deadline
	}
}

// keptRecord names the journal record of a request that has ended.
type keptRecord struct {
	key      job.Key
	deadline time.Time
}

// prune drops outcomes that were kept long enough, and the oldest of those with too many answers in all. It returns the
// records that the journal may have of them.
func (d *requestDirectory) prune() []keptRecord {
	d.mu.Lock()
	defer d.mu.Unlock()
	var ended []*inHand
	for _, h := range d.byKey {
		if h.isEnded() {
			ended = append(ended, h)
		}
	}
	// The latest come first and are kept as far as their answers fit.
	slices.SortFunc(ended, func(a, b *inHand) int { return b.endedAt.Compare(a.endedAt) })
	var dropped []keptRecord
	now, size := d.clock.Now(), 0
	for _, h := range ended {
		size += len(h.outcome.Answer)
		if now.Sub(h.endedAt) <= outcomeRetention && size <= maxKeptAnswers {
			continue
		}
		delete(d.byKey, h.request.Key())
		if !h.keptUntil.IsZero() {
			dropped = append(dropped, keptRecord{key: h.request.Key(), deadline: h.keptUntil})
		}
	}
	return dropped
}

// submit takes a request in hand. The request goes on when the caller's connection breaks, so that its retry finds
// the outcome.
func (v *VM) submit(ctx context.Context, req job.Request, digest string) (api.Submission, job.Outcome) {
	v.Metrics.Add(metrics.RequestsReceived, 1)
	if v.directory.full() {
		return api.Submission{}, job.NewNotRun(req.Key(), job.CodeOverloaded, "this entry VM has too many requests in hand", job.Duration(time.Second))
	}
	// A request that is in hand already is not counted again.
	if _, known := v.directory.find(req.Key()); !known && !v.withinRate(ctx, req) {
		return api.Submission{}, job.NewNotRun(req.Key(), job.CodeLimitReached, "the organisation's rate for the service is used up", limitHint)
	}
	h, created := v.directory.take(req, digest, v.Clock.Now().Add(req.Timeout.Std()))
	if h == nil {
		return api.Submission{}, job.NewNotRun(req.Key(), job.CodeRequestIDConflict, "the id was used for another request", 0)
	}
	if created {
		go v.carry(trace.Inject(ctx), h, req, digest)
	}
	return api.Submission{Ended: h.ended, Outcome: func() job.Outcome { return h.outcome }}, job.Outcome{}
}

// carry brings a request to its outcome.
func (v *VM) carry(traceparent string, h *inHand, req job.Request, digest string) {
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

func (v *VM) onFind(ctx context.Context, _ peer.Identity, body []byte) (any, error) {
	var call router.FindCall
	if err := cbor.Unmarshal(body, &call); err != nil {
		return nil, err
	}
	if h, ok := v.directory.find(call.Key); ok && call.Receivers {
		reply := router.FindReply{Found: true, Ended: h.isEnded()}
		if reply.Ended {
			reply.Outcome = h.outcome
		}
		return reply, nil
	}
	return v.find(ctx, call.Key)
}

func (v *VM) onCancel(ctx context.Context, _ peer.Identity, body []byte) (any, error) {
	var call router.FindCall
	if err := cbor.Unmarshal(body, &call); err != nil {
		return nil, err
	}
	return v.dispatcher.Cancel(ctx, call.Key)
}

// findRequest looks for a request at this receiver, at every other entry VM, and in the claim ledger.
func (v *VM) findRequest(ctx context.Context, key job.Key) (message.Request, bool, error) {
	reply := message.Request{Key: key, State: message.RequestRunning}
	if h, ok := v.directory.find(key); ok {
		if h.isEnded() {
			reply.State, reply.Outcome = message.RequestEnded, &h.outcome
		}
		return reply, true, nil
	}
	found, missing := v.router.Lookup(ctx, key)
	if found.Found {
		if found.Ended {
			reply.State, reply.Outcome = message.RequestEnded, &found.Outcome
		}
		return reply, true, nil
	}
	record, err := v.ledger.Get(ctx, key)
	switch {
	case claim.IsErrClaimNotExist(err):
		return reply, false, missing
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

// recordedOutcome is what the ledger tells of a request whose answer no entry VM has any more.
func recordedOutcome(record claim.Record) job.Outcome {
	if record.State == claim.StateNotRun {
		return job.NewNotRun(record.Key, job.CodeOwnerLost, "the last attempt never started", job.Duration(time.Second))
	}
	return job.NewUnknown(record.Key, job.CodeAnswerLost, "send the request again with the same id to have its answer fetched")
}

// cancelRequest cancels a request wherever it is.
func (v *VM) cancelRequest(ctx context.Context, key job.Key) (message.Cancelled, bool) {
	v.Metrics.Add(metrics.RequestsCancelled, 1)
	known := v.router.CancelAll(ctx, key)
	h, ok := v.directory.find(key)
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

// cancelWait is how long a cancellation waits for its effect to be known.
const cancelWait = 2 * time.Second

// anchorCache has the anchors of the view that they were computed from.
type anchorCache struct {
	last atomic.Pointer[cachedAnchors]
}

type cachedAnchors struct {
	view    *config.View
	anchors []placement.Anchor
}

// of returns the anchors of a view.
func (c *anchorCache) of(view *config.View) []placement.Anchor {
	if last := c.last.Load(); last != nil && last.view == view {
		return last.anchors
	}
	next := &cachedAnchors{view: view, anchors: placement.Anchors(view.Bundle(), view.IsOut)}
	c.last.Store(next)
	return next.anchors
}

// everFits reports whether some rack of the bundle could run the request when empty.
func (v *VM) everFits(req job.Request) bool {
	view := v.view.Load()
	return placement.EverFits(view.Bundle(), v.anchors.of(view), req.Organisation, req.Shape, req.Idempotent)
}
