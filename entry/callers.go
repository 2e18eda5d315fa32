package entry

import (
	"context"
	"net"
	"time"

	"k8s.io/klog/v2"

	"clementinepier/api"
	"clementinepier/board"
	"clementinepier/bundle"
)

const (
	// drainPollInterval is how often a stopping VM checks for unfinished work.
	drainPollInterval = 100 * time.Millisecond
	// drainAnnounceDelay gives the heartbeats time to tell every other VM that this one is stopping, before it first checks
	// for unfinished work.
	drainAnnounceDelay = time.Second
	shutdownTimeout    = 5 * time.Second
	pruneInterval      = 10 * time.Second
)

// serveCallers starts the HTTP API for callers and operators.
func (v *VM) serveCallers(listener net.Listener) *api.API {
	a := &api.API{
		Clock: v.Clock, Tracer: v.Tracer, View: v.view.Load, FitsEmptyRack: v.fitsEmptyRack, Submit: v.submit, Persist: v.persist, Find: v.findRequest,
		Cancel: v.cancelRequest, SubmitBundle: v.roll, VerifyRead: v.verifyRead, SubmitOrder: v.order, Change: v.changeProgress, Status: v.status,
		Draining: v.draining.Load, DrainEnd: v.drainEnd,
		MaxBodySize: v.Settings.BodySize(), MaxHeaderSize: v.Settings.HeaderSize(), MaxConnections: v.Settings.Connections(),
	}
	done := a.Serve(listener)
	go func() {
		if err := <-done; err != nil {
			klog.ErrorS(err, "Caller listener has ended")
		}
	}()
	return a
}

// verifyRead checks the Authorization header of an operator's request to read the path.
func (v *VM) verifyRead(path, authorization string) error {
	proof, err := bundle.ParseReadProof(authorization)
	if err != nil {
		return err
	}
	return v.Settings.Keyring().VerifyRead(v.Clock.Now(), path, proof)
}

// drain hands over the racks, waits until the requests in flight have an outcome or are in the journal and the dispatcher
// has no active request, and removes the registration. The wait ends at the latest after the drain-bound setting.
func (v *VM) drain(ctx context.Context, callers *api.API) {
	klog.InfoS("Entry VM is stopping", "requests-in-flight", v.requests.openCount())
	deadline := v.Clock.Now().Add(v.Settings.DrainBound())
	v.draining.Store(true)
	v.board.Post(func(s *board.State) { s.Draining = true })
	v.sleep(ctx, drainAnnounceDelay)
	for v.Clock.Now().Before(deadline) && (v.requests.volatileCount() > 0 || v.dispatcher.Active(ctx) > 0) {
		v.sleep(ctx, drainPollInterval)
	}
	close(v.drainEnd)
	v.deregister(ctx)
	shutdownCtx, cancel := context.WithTimeout(ctx, shutdownTimeout)
	defer cancel()
	if err := callers.Shutdown(shutdownCtx); err != nil {
		klog.ErrorS(err, "Caller listener did not shut down in time")
	}
}

// deregister removes this VM's registration, after which configuration changes no longer wait for its confirmation. First
// it marks this VM as not registered, so that other VMs no longer rely on its heartbeat answers for the freshness of their
// views.
func (v *VM) deregister(ctx context.Context) {
	v.deregistered.Store(true)
	err := v.board.Do(ctx, func(s *board.State) {
		s.Registered = false
		s.Freshness.SetRegistered(false)
	})
	if err != nil {
		return
	}
	current, err := v.Store.Get(ctx, v.registrationKey())
	if err == nil && current.Version > 0 {
		err = v.Store.Delete(ctx, v.registrationKey(), current.Version)
	}
	if err != nil {
		klog.ErrorS(err, "The registration stays in the store; others remove it once the platform has dropped this VM")
	}
}
