package entry

import (
	"context"
	"net"
	"time"

	"k8s.io/klog/v2"

	"clementinepier/api"
	"clementinepier/board"
	"clementinepier/bundle"
	"clementinepier/config"
	"clementinepier/message"
	"clementinepier/metrics"
)

const (
	// drainPoll is how often a stopping VM looks whether it has work left.
	drainPoll = 100 * time.Millisecond
	// announceTime lets every other VM hear that this one is leaving before it checks that nothing is left.
	announceTime    = time.Second
	shutdownTimeout = 5 * time.Second
	pruneInterval   = 10 * time.Second
)

// serveCallers serves callers and operators.
func (v *VM) serveCallers(listener net.Listener) *api.API {
	a := &api.API{
		Clock: v.Clock, Tracer: v.Tracer, View: v.view.Load, EverFits: v.everFits, Submit: v.submit, Keep: v.keep, Find: v.findRequest,
		Cancel: v.cancelRequest, Roll: v.roll, VerifyRead: v.verifyRead, Order: v.order, Change: v.changeProgress, Status: v.status,
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

// verifyRead checks the Authorization header of an operator's call that reads the path.
func (v *VM) verifyRead(path, authorization string) error {
	proof, err := bundle.ParseReadProof(authorization)
	if err != nil {
		return err
	}
	return v.Settings.Keyring().VerifyRead(v.Clock.Now(), path, proof)
}

// drain hands over the racks, brings the requests in hand to their outcomes, and ends the registration. It takes at
// most the drain bound.
func (v *VM) drain(ctx context.Context, callers *api.API) {
	klog.InfoS("Entry VM is stopping", "requests-in-hand", v.directory.openCount())
	deadline := v.Clock.Now().Add(v.Settings.DrainBound())
	v.draining.Store(true)
	v.board.Post(func(s *board.State) { s.Draining = true })
	v.sleep(ctx, announceTime)
	for v.Clock.Now().Before(deadline) && (v.directory.openCount() > 0 || v.dispatcher.Active(ctx) > 0) {
		v.sleep(ctx, drainPoll)
	}
	close(v.drainEnd)
	v.deregister(ctx)
	shutdownCtx, cancel := context.WithTimeout(ctx, shutdownTimeout)
	defer cancel()
	if err := callers.Shutdown(shutdownCtx); err != nil {
		klog.ErrorS(err, "Caller listener did not shut down in time")
	}
}

// deregister removes this VM's registration, after which changes no longer wait for it. It stops being a witness first.
func (v *VM) deregister(ctx context.Context) {
	err := v.board.Do(ctx, func(s *board.State) {
		s.Registered = false
		s.Freshness.SetSelf(false)
	})
	if err != nil {
		return
	}
	v.Metrics.Add(metrics.StoreReads, 1)
	current, err := v.Store.Get(ctx, v.registrationKey())
	if err == nil && current.Version > 0 {
		v.Metrics.Add(metrics.StoreWrites, 1)
		err = v.Store.Delete(ctx, v.registrationKey(), current.Version)
	}
	if err != nil {
		klog.ErrorS(err, "The registration stays in the store; others remove it once the platform has dropped this VM")
	}
}

// status describes this entry VM for operators.
func (v *VM) status(ctx context.Context) (message.Status, error) {
	var status message.Status
	err := v.board.Do(ctx, func(s *board.State) {
		now := v.Clock.Now()
		mayStart, reason := s.Freshness.MayStart(now)
		status = message.Status{
			Name: s.Self.VM, FailureDomain: s.Self.FailureDomain, Revision: s.View.Revision().Sum(), MayStart: mayStart,
			Reason: reason, Stopping: s.Draining, StoreReachable: v.storeReachable.Load(), Waiting: s.Queue.Len(),
			Running: v.dispatcher.Running(), Members: membersOf(s, now),
		}
	})
	return status, err
}

// membersOf lists the live entry VMs in the order of the failure domains.
func membersOf(s *board.State, now time.Time) []message.Member {
	members := []message.Member{}
	for _, domain := range domainsOf(s.View, s) {
		for _, m := range s.Members.Live(now, domain) {
			members = append(members, message.Member{
				Name: m.Name, FailureDomain: m.FailureDomain, Live: true, Leaving: m.Leaving, LastHeard: now,
			})
		}
	}
	return members
}

// domainsOf returns the failure domains of the bundle, or this VM's own while no bundle is known.
func domainsOf(view *config.View, s *board.State) []string {
	if domains := view.FailureDomains(); len(domains) > 0 {
		return domains
	}
	return []string{s.Self.FailureDomain}
}
