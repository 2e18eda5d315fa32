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
	"clementinepier/peer"
	"clementinepier/workload"
)

const (
	// secretKey has the secret by which entry VMs know each other.
	secretKey  = "clementinepier/secret"
	secretSize = 32
	// secretRetry is the pause before the secret is asked for again.
	secretRetry   = 200 * time.Millisecond
	secretTimeout = time.Second
	// probeInterval and probeTimeout belong to the calls to a planner that did not answer.
	probeInterval = 200 * time.Millisecond
	probeTimeout  = 500 * time.Millisecond
)

// errNoPlanner is the cause of calls that were made while no planner was known.
var errNoPlanner = errors.New("no planner is known")

// errPlannerSilent is the cause of calls that were not sent because the planner did not answer earlier ones.
var errPlannerSilent = errors.New("the planner does not answer")

// codeNotPlanner refuses a call to an entry VM that is not the planner.
const codeNotPlanner job.Code = "not-planner"

// servePeers waits for the secret and then accepts links of other entry VMs.
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
		v.secretKnown.Store(true)
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

// awaitSecret reads the secret of the entry VMs, or makes it if there is none.
func (v *VM) awaitSecret(ctx context.Context) []byte {
	for ctx.Err() == nil {
		callCtx, cancel := context.WithTimeout(ctx, secretTimeout)
		secret, err := v.secret(callCtx)
		cancel()
		if err == nil && len(secret) == secretSize {
			return secret
		}
		v.log.Event("secret-unread", "error", err, "size", len(secret))
		v.pause(ctx, secretRetry)
	}
	return nil
}

func (v *VM) secret(ctx context.Context) ([]byte, error) {
	item, err := v.Store.Get(ctx, secretKey)
	if err == nil || !engine.IsErrNotExist(err) {
		return item.Value, err
	}
	secret := make([]byte, secretSize)
	if _, err := rand.Read(secret); err != nil {
		return nil, errors.Wrap(err, "make secret")
	}
	_, err = v.Store.Commit(ctx, engine.Txn{Writes: []engine.Write{{Key: secretKey, Value: secret}}})
	if engine.IsErrConflict(err) {
		item, err = v.Store.Get(ctx, secretKey)
		return item.Value, err
	}
	return secret, err
}

// forward calls the planner on another entry VM.
func (v *VM) forward(ctx context.Context, kind peer.Kind, body, reply any) error {
	h := v.holder.Load()
	if h == nil || !v.secretKnown.Load() || h.VM == v.Settings.Name {
		return &peer.ErrPeerUnavailable{Kind: kind, Cause: errNoPlanner}
	}
	if v.plannerSilent.Load() {
		return &peer.ErrPeerUnavailable{VM: h.VM, Kind: kind, Cause: errPlannerSilent}
	}
	err := v.hub.Call(ctx, h.VM, kind, body, reply)
	if peer.IsErrPeerUnavailable(err) && peer.WasDelivered(err) && v.plannerSilent.CompareAndSwap(false, true) {
		v.log.Event("planner-silent", "vm", h.VM, "error", err)
		v.silent <- *h
	}
	return err
}

// probeSilent calls a planner that did not answer until it does or another one is known. Meanwhile no call of a caller
// is sent to it, since its outcome would not be known.
func (v *VM) probeSilent(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	go func() {
		for {
			select {
			case <-ctx.Done():
				done <- nil
				return
			case h := <-v.silent:
				v.probe(ctx, h)
				v.plannerSilent.Store(false)
			}
		}
	}()
	return done
}

func (v *VM) probe(ctx context.Context, h engine.Holder) {
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
		v.pause(ctx, probeInterval)
	}
}

// handlers serve the calls of other entry VMs to this one as the planner.
func (v *VM) handlers() map[peer.Kind]peer.Handler {
	return map[peer.Kind]peer.Handler{
		peer.KindSubmit: serve(v, func(ctx context.Context, p *engine.Planner, j workload.Job) engine.Result { return p.Submit(ctx, j) }),
		peer.KindState:  serve(v, func(ctx context.Context, p *engine.Planner, id string) engine.Result { return p.State(ctx, id) }),
		peer.KindEnd:    serve(v, func(ctx context.Context, p *engine.Planner, id string) engine.Result { return p.Cancel(ctx, id) }),
		peer.KindWaiting: serve(v, func(ctx context.Context, p *engine.Planner, queue string) engine.Result {
			return p.Waiting(ctx, queue)
		}),
		peer.KindYield: serve(v, func(_ context.Context, _ *engine.Planner, cores float64) engine.Result {
			if cores > v.Settings.Cores {
				select {
				case v.yield <- struct{}{}:
				default:
				}
			}
			return engine.Result{Verdict: engine.VerdictAccepted}
		}),
	}
}

func serve[In any](v *VM, f func(context.Context, *engine.Planner, In) engine.Result) peer.Handler {
	return func(ctx context.Context, _ peer.Identity, body []byte) (any, error) {
		p := v.planner.Load()
		if p == nil {
			return nil, &peer.ErrRefused{Code: codeNotPlanner, Detail: "this entry VM is not the planner"}
		}
		var in In
		if err := codec.Unmarshal(body, &in); err != nil {
			return nil, &peer.ErrRefused{Code: job.CodeBadRequest, Detail: err.Error()}
		}
		ctx, cancel := context.WithTimeout(ctx, plannerTimeout)
		defer cancel()
		return f(ctx, p, in), nil
	}
}
