package front

import (
	"context"
	"crypto/rand"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"clementinepier/codec"
	"clementinepier/engine"
	"clementinepier/job"
	"clementinepier/metrics"
	"clementinepier/peer"
	"clementinepier/workload"
)

const (
	// secretKey is the store key of the secret with which entry VMs authenticate each other.
	secretKey  = "clementinepier/secret"
	secretSize = 32
	// secretRetryDelay is the delay before a failed read of the secret is retried.
	secretRetryDelay = 200 * time.Millisecond
	secretTimeout    = time.Second
	// probeInterval and probeTimeout apply to the probes of a planner that left a call unanswered.
	probeInterval = 200 * time.Millisecond
	probeTimeout  = 500 * time.Millisecond
)

// errNoPlanner is the cause of failed calls that were made while no planner was known.
var errNoPlanner = errors.New("no planner is known")

// errPlannerUnresponsive is the cause of calls that were not sent because the planner left an earlier one unanswered.
var errPlannerUnresponsive = errors.New("the planner does not answer")

// codeNotPlanner is the code of calls rejected because this entry VM is not the planner.
const codeNotPlanner job.Code = "not-planner"

// servePeers waits for the secret and then accepts connections from other entry VMs.
func (v *VM) servePeers(ctx context.Context, listener net.Listener) <-chan error {
	done := make(chan error, 1)
	go func() {
		secret := v.awaitSecret(ctx)
		if secret == nil {
			done <- nil
			return
		}
		v.hub.Secrets = [][]byte{secret}
		hub, err := v.hub.Run(ctx)
		if err != nil {
			done <- err
			return
		}
		v.secretLoaded.Store(true)
		mux := http.NewServeMux()
		mux.Handle(peer.Path, v.hub)
		server := v.serveHTTP(listener, mux)
		select {
		case err := <-hub:
			done <- err
		case err := <-server:
			done <- err
		}
	}()
	return done
}

// awaitSecret retries loadOrCreateSecret until it succeeds; it returns nil if ctx ends first.
func (v *VM) awaitSecret(ctx context.Context) []byte {
	for ctx.Err() == nil {
		callCtx, cancel := context.WithTimeout(ctx, secretTimeout)
		secret, err := v.loadOrCreateSecret(callCtx)
		cancel()
		if err == nil && len(secret) == secretSize {
			return secret
		}
		v.log.Event("secret-unread", "error", err, "size", len(secret))
		v.sleep(ctx, secretRetryDelay)
	}
	return nil
}

// loadOrCreateSecret reads the secret from the store. If there is none, it creates one, or reads the one that another entry
// VM created at the same time.
func (v *VM) loadOrCreateSecret(ctx context.Context) ([]byte, error) {
	item, err := v.Store.Get(ctx, secretKey)
	if err == nil || !engine.IsErrNotExist(err) {
		return item.Value, err
	}
	secret := make([]byte, secretSize)
	if _, err := rand.Read(secret); err != nil {
		return nil, errors.Wrap(err, "create secret")
	}
	_, err = v.Store.Commit(ctx, engine.Txn{Writes: []engine.Write{{Key: secretKey, Value: secret}}})
	if engine.IsErrConflict(err) {
		item, err = v.Store.Get(ctx, secretKey)
		return item.Value, err
	}
	return secret, err
}

// forward calls the planner on another entry VM. It marks the planner as unresponsive if a delivered call stays unanswered.
func (v *VM) forward(ctx context.Context, kind peer.Kind, body, reply any) error {
	h := v.holder.Load()
	if h == nil || !v.secretLoaded.Load() || h.VM == v.Settings.Name {
		return &peer.ErrPeerUnavailable{Kind: kind, Cause: errNoPlanner}
	}
	if v.plannerUnresponsive.Load() {
		return &peer.ErrPeerUnavailable{VM: h.VM, Kind: kind, Cause: errPlannerUnresponsive}
	}
	err := v.hub.Call(ctx, h.VM, kind, body, reply)
	if peer.IsErrPeerUnavailable(err) && peer.WasDelivered(err) && v.plannerUnresponsive.CompareAndSwap(false, true) {
		v.log.Event("planner-silent", "vm", h.VM, "error", err)
		v.unresponsive <- *h
	}
	return err
}

// probeUnresponsive probes a planner that left a call unanswered until it answers or another planner is known. Meanwhile
// callers' calls are not sent to it, since their outcome might stay unknown.
func (v *VM) probeUnresponsive(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	go func() {
		for {
			select {
			case <-ctx.Done():
				done <- nil
				return
			case h := <-v.unresponsive:
				v.probePlanner(ctx, h)
				v.plannerUnresponsive.Store(false)
			}
		}
	}()
	return done
}

// probePlanner returns once the planner has answered, the holder of the planner's key has changed, or ctx has ended.
func (v *VM) probePlanner(ctx context.Context, h engine.Holder) {
	from := v.Clock.Now()
	for ctx.Err() == nil {
		if current := v.holder.Load(); current == nil || *current != h {
			return
		}
		callCtx, cancel := context.WithTimeout(ctx, probeTimeout)
		var reply engine.Result
		err := v.hub.Call(callCtx, h.VM, peer.KindWaiting, "", &reply)
		cancel()
		if err == nil || peer.IsErrRefused(err) {
			v.log.Event("planner-answers", "vm", h.VM, "after", v.Clock.Since(from))
			return
		}
		v.sleep(ctx, probeInterval)
	}
}

// handlers returns the handlers of calls that other entry VMs make to this one as the planner.
func (v *VM) handlers() map[peer.Kind]peer.Handler {
	return map[peer.Kind]peer.Handler{
		peer.KindSubmit: v.handleSubmission,
		peer.KindState:  plannerHandler(v, func(ctx context.Context, p *engine.Planner, id string) engine.Result { return p.State(ctx, id) }),
		peer.KindEnd:    plannerHandler(v, func(ctx context.Context, p *engine.Planner, id string) engine.Result { return p.Cancel(ctx, id) }),
		peer.KindWaiting: plannerHandler(v, func(ctx context.Context, p *engine.Planner, queue string) engine.Result {
			return p.Waiting(ctx, queue)
		}),
		peer.KindExplain: plannerHandler(v, v.explainHere),
		peer.KindProbe: func(context.Context, peer.Identity, []byte) (any, error) {
			p := v.planner.Load()
			return p != nil && p.Serves(), nil
		},
		peer.KindYield: plannerHandler(v, func(_ context.Context, _ *engine.Planner, cores float64) engine.Result {
			if cores > v.Settings.Cores {
				select {
				case v.stepDown <- struct{}{}:
				default:
				}
			}
			return engine.Result{Verdict: engine.VerdictAccepted}
		}),
	}
}

const (
	// submissionShare is the part of the process's memory that jobs from other entry VMs may take while they are decoded and stored.
	// minSubmissionMemory, in bytes, fits the largest job.
	submissionShare     = 1.0 / 12
	minSubmissionMemory = 8 << 20
	// largeSubmission is the size in bytes from which on jobs are decoded one at a time.
	largeSubmission = 8 << 10
)

// handleSubmission passes a job from another entry VM to the planner, if there is memory for it until it is stored or refused.
func (v *VM) handleSubmission(ctx context.Context, from peer.Identity, body []byte) (any, error) {
	p, err := v.localPlanner()
	if err != nil {
		return nil, err
	}
	size := int64(len(body))
	if !v.submissions.Reserve(size) {
		return v.refuseSubmission(from, size), nil
	}
	defer v.submissions.Release(size)
	submitted, err := v.decodeSubmission(body)
	if err != nil {
		return nil, err
	}
	decoded := int64(submitted.Size())
	if !v.submissions.Reserve(decoded) {
		return v.refuseSubmission(from, decoded), nil
	}
	defer v.submissions.Release(decoded)
	ctx, cancel := context.WithTimeout(ctx, plannerCallTimeout)
	defer cancel()
	return p.Submit(ctx, submitted), nil
}

func (v *VM) decodeSubmission(body []byte) (workload.Job, error) {
	if len(body) > largeSubmission {
		v.decodingSubmission.Lock()
		defer v.decodingSubmission.Unlock()
	}
	var submitted workload.Job
	err := codec.Unmarshal(body, &submitted)
	if err != nil {
		err = &peer.ErrRefused{Code: job.CodeBadRequest, Detail: err.Error()}
	}
	return submitted, err
}

// refuseSubmission returns the result for a job that was not passed to the planner.
func (v *VM) refuseSubmission(from peer.Identity, size int64) engine.Result {
	v.log.Event("submission-without-room", "from", from.VM, "size", size, "limit", v.submissions.Limit)
	v.metrics.Add(metrics.JobsWithoutRoom, 1)
	return engine.Result{Verdict: engine.VerdictRefused, RetryAfter: unavailableRetryAfter, Reason: "too many jobs are being submitted"}
}

// plannerHandler decodes a call and passes it to the planner of this process; without one it rejects the call.
func plannerHandler[In any](v *VM, f func(context.Context, *engine.Planner, In) engine.Result) peer.Handler {
	return func(ctx context.Context, _ peer.Identity, body []byte) (any, error) {
		p, err := v.localPlanner()
		if err != nil {
			return nil, err
		}
		var in In
		if err := codec.Unmarshal(body, &in); err != nil {
			return nil, &peer.ErrRefused{Code: job.CodeBadRequest, Detail: err.Error()}
		}
		ctx, cancel := context.WithTimeout(ctx, plannerCallTimeout)
		defer cancel()
		return f(ctx, p, in), nil
	}
}

// localPlanner returns the planner of this process, or the error that rejects a call for it.
func (v *VM) localPlanner() (*engine.Planner, error) {
	if p := v.planner.Load(); p != nil {
		return p, nil
	}
	return nil, &peer.ErrRefused{Code: codeNotPlanner, Detail: "this entry VM is not the planner"}
}
