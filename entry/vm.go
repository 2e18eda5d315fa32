// Package entry implements the process of one entry VM. An entry VM receives requests from callers, runs requests on the
// racks that it owns, and keeps the configuration up to date.
package entry

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"expvar"
	"net"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	"clementinepier/backlog"
	"clementinepier/board"
	"clementinepier/breaker"
	"clementinepier/claim"
	"clementinepier/config"
	"clementinepier/dispatch"
	"clementinepier/gang"
	"clementinepier/job"
	"clementinepier/kvstore"
	"clementinepier/membership"
	"clementinepier/metrics"
	"clementinepier/peer"
	"clementinepier/placement"
	"clementinepier/queue"
	"clementinepier/quota"
	"clementinepier/router"
	"clementinepier/settings"
	"clementinepier/trace"
)

const (
	// workerCallTimeout is the call timeout of the gang state machine.
	workerCallTimeout = time.Second
	readHeaderTimeout = 5 * time.Second
	// registrationRemovalDelay plus the isolated window is how long a VM that the platform no longer lists must be silent
	// before its registration is removed. It is short, because changes wait for registered VMs, and because a VM that is not
	// listed has already ended according to the platform.
	registrationRemovalDelay = 8 * time.Second
	// The timeouts of the peer listener apply to the short HTTP calls for metrics, not to the connections between entry VMs.
	peersIdleTimeout   = 60 * time.Second
	peersWriteTimeout  = 10 * time.Second
	peersMaxHeaderSize = 16 << 10
	bootIDBytes        = 8
	// settleDelay is several claim intervals, so that under load settlements are written together with claims. It is short
	// enough that few settlements are lost if the process fails.
	settleDelay = 500 * time.Millisecond
	// maxParallelSettlements limits the workers that are called concurrently to settle one claim.
	maxParallelSettlements = 16
)

// VM is the process of one entry VM. Set the exported fields before Run.
type VM struct {
	Settings  *settings.Settings
	Clock     clockwork.Clock
	Store     kvstore.Store
	Directory kvstore.Directory
	Metrics   *metrics.Set
	Tracer    *trace.Tracer

	self       peer.Identity
	board      *board.Board
	hub        *peer.Hub
	dispatcher *dispatch.Dispatcher
	router     *router.Router
	ledger     *claim.Ledger
	workers    *workerClients
	requests   *requestTable
	journal    *backlog.Journal
	// unremovedRecords are the journal records of ended requests that could not be removed yet. Only pruneRequests uses it.
	unremovedRecords []journalRecordKey
	// owners is replaced by the control goroutine and read by request goroutines.
	owners atomic.Pointer[router.Owners]
	// view is a copy of the board's view for goroutines other than the control goroutine.
	view atomic.Pointer[config.View]
	// draining is set once the process was requested to stop.
	draining atomic.Bool
	// deregistered is set before this VM removes its registration. It never registers again.
	deregistered atomic.Bool
	// drainEnd is closed at the end of the drain. Callers that still wait are then directed to another entry VM.
	drainEnd chan struct{}
	// storeReachable is true if the last watch of the store got a reply.
	storeReachable atomic.Bool
	// storeCalled is set once the first watch of the store has ended.
	storeCalled atomic.Bool
	anchors     anchorCache
	rollouts    rollouts
	// limitWaiters counts the requests that wait for a running limit. Only the control goroutine uses it.
	limitWaiters map[quota.Key]int
}

// Run serves requests until stop is closed, then drains and returns.
func (v *VM) Run(stop <-chan struct{}) error {
	if err := v.build(); err != nil {
		return err
	}
	// Open the listeners first, so that a port that is already in use is reported before the VM registers.
	peers, err := net.Listen("tcp", v.Settings.PeersAddress())
	if err != nil {
		return errors.Wrap(err, "listen for entry VMs and metrics")
	}
	callers, err := net.Listen("tcp", v.Settings.CallersAddress())
	if err != nil {
		_ = peers.Close()
		return errors.Wrap(err, "listen for callers")
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	boardDone := v.board.Run(ctx)
	hubDone, err := v.hub.Run(ctx)
	if err != nil {
		return err
	}
	go v.ledger.Run(ctx)
	dispatchDone, err := v.dispatcher.Run(ctx)
	if err != nil {
		return err
	}
	loops := v.startLoops(ctx)
	peerServer := v.servePeers(peers)
	callerServer := v.serveCallers(callers)
	klog.InfoS("Entry VM is running", "vm", v.self.VM, "failure-domain", v.self.FailureDomain,
		"callers-address", v.Settings.CallersAddress(), "peers-address", v.Settings.PeersAddress())
	<-stop
	v.drain(ctx, callerServer)
	cancel()
	<-v.ledger.Done()
	for _, end := range slices.Concat(loops.done, []<-chan error{dispatchDone, hubDone, boardDone}) {
		if err := <-end; err != nil {
			klog.ErrorS(err, "A part ended with an error")
		}
	}
	_ = peerServer.Close()
	klog.InfoS("Entry VM has stopped", "vm", v.self.VM)
	return v.Tracer.Close(context.Background())
}

// build creates the components without starting any goroutine.
func (v *VM) build() error {
	v.Store, v.Directory = countStoreCalls(v.Store, v.Metrics), countDirectoryCalls(v.Directory, v.Metrics)
	v.self = peer.Identity{VM: v.Settings.Name(), FailureDomain: v.Settings.FailureDomain(), BootID: newBootID()}
	empty, err := config.Merge(v.Settings.Keyring(), nil, config.Document{})
	if err != nil {
		return err
	}
	v.view.Store(empty)
	v.owners.Store(&router.Owners{})
	v.drainEnd = make(chan struct{})
	v.rollouts.byID = map[string]*rollout{}
	v.limitWaiters = map[quota.Key]int{}
	v.workers = newWorkerClients(v.Clock)
	v.requests = newRequestTable(v.Clock)
	v.journal = &backlog.Journal{Store: v.Store, Receiver: v.self.VM}
	v.board = board.New(v.newState(empty))
	v.buildHub()
	v.ledger = claim.NewLedger(v.Store, v.Clock)
	v.ledger.MinWriteInterval = v.Settings.ClaimInterval()
	v.ledger.SettleDelay = settleDelay
	v.buildDispatcher()
	v.router = &router.Router{
		Self: v.self.VM, Clock: v.Clock, Metrics: v.Metrics, Tracer: v.Tracer, Owners: v.owners.Load,
		Submit: v.runOnOwnRacks, Find: v.findOnOwnRacks, Cancel: v.dispatcher.Cancel, Call: v.hub.Call,
	}
	return nil
}

func (v *VM) newState(view *config.View) *board.State {
	return &board.State{
		Self: v.self, Address: v.Settings.PeersAddress(), View: view,
		Freshness: &config.Freshness{
			Window: v.Settings.FreshnessWindow(), IsolatedWindow: v.Settings.IsolatedWindow(),
			FailureDomain: v.self.FailureDomain,
		},
		Members:   &membership.Table{Self: v.self.VM, RemoveAfter: registrationRemovalDelay + v.Settings.IsolatedWindow()},
		Ownership: &membership.Ownership{Self: v.self.VM},
		Reports:   map[string]board.Report{},
		Workers:   map[string]kvstore.VM{}, LeavingWorkers: map[string]bool{}, OwnedRacks: map[string]bool{},
		Cluster: placement.New(placement.Options{}),
		Queue:   queue.New(queue.Options{MaxLength: v.Settings.QueueLength()}),
		Breaker: breaker.New(), Retries: breaker.NewRetryBudget(), Quota: quota.New(v.self.VM),
	}
}

func (v *VM) buildHub() {
	var secrets [][]byte
	for _, secret := range v.Settings.PeerSecrets() {
		secrets = append(secrets, []byte(secret))
	}
	v.hub = &peer.Hub{
		Self: v.self, Secrets: secrets, Clock: v.Clock, Metrics: v.Metrics, InjectTrace: trace.Inject, ExtractTrace: trace.Extract,
		Handlers: map[peer.Kind]peer.Handler{
			peer.KindHeartbeat: v.handleHeartbeat,
			peer.KindConfig:    v.handleConfig,
			peer.KindRun:       v.handleRun,
			peer.KindFind:      v.handleFind,
			peer.KindCancel:    v.handleCancel,
		},
	}
}

func (v *VM) buildDispatcher() {
	limits := gang.DefaultLimits()
	limits.HoldLength = v.Settings.HoldLength()
	limits.StartWindow = v.Settings.StartWindow()
	limits.TaskLease = v.Settings.TaskLease()
	limits.RenewalInterval = v.Settings.RenewalInterval()
	v.dispatcher = &dispatch.Dispatcher{
		Board: v.board, Clock: v.Clock, Metrics: v.Metrics, Tracer: v.Tracer, Workers: v.workers.client,
		Ledger:  v.ledger,
		Settler: &claim.Settler{Ledger: v.ledger, Workers: v.workers.client, Parallel: maxParallelSettlements, CallTimeout: workerCallTimeout},
		Limits:  limits, CallTimeout: workerCallTimeout,
		HasCapacityElsewhere: func(req job.Request) bool { return v.owners.Load().FitsElsewhere(v.self.VM, req) },
	}
}

// servePeers starts the HTTP server for connections from other entry VMs and for metrics.
func (v *VM) servePeers(listener net.Listener) *http.Server {
	mux := http.NewServeMux()
	mux.Handle(peer.Path, v.hub)
	mux.Handle("/debug/vars", expvar.Handler())
	server := &http.Server{
		Handler: mux, ReadHeaderTimeout: readHeaderTimeout,
		ReadTimeout: readHeaderTimeout, WriteTimeout: peersWriteTimeout, IdleTimeout: peersIdleTimeout, MaxHeaderBytes: peersMaxHeaderSize,
	}
	go func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			klog.ErrorS(err, "Peer listener has ended")
		}
	}()
	return server
}

func newBootID() string {
	raw := make([]byte, bootIDBytes)
	_, _ = rand.Read(raw)
	return hex.EncodeToString(raw)
}
