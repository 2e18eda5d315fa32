// Package entry builds and runs the process of one entry VM.
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
	// removeAfter, with the isolated window added, is how long a VM that the platform's list has dropped must be silent
	// before its registration is removed. Changes wait for registered VMs, so it is short; by the list the VM has ended.
	removeAfter = 8 * time.Second
	// The peers' listener serves short calls for metrics besides links, which the timeouts leave alone.
	peersIdleTimeout   = 60 * time.Second
	peersWriteTimeout  = 10 * time.Second
	peersMaxHeaderSize = 16 << 10
	bootIDBytes        = 8
	// settleDelay is several claim intervals, so that under load settlements travel with claims, and short enough that
	// few are lost with the process.
	settleDelay = 500 * time.Millisecond
	// settleParallel bounds the workers asked at a time about one claim.
	settleParallel = 16
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
	directory  *requestDirectory
	journal    *backlog.Journal
	// unreleased are the journal records of ended requests that could not be dropped yet; only release touches it.
	unreleased []keptRecord
	// owners is replaced by the control goroutine and read by traffic.
	owners atomic.Pointer[router.Owners]
	// view is the board's view, for traffic.
	view atomic.Pointer[config.View]
	// draining is set once the process has been asked to stop.
	draining atomic.Bool
	// deregistered is set before this VM removes its registration; it never registers again.
	deregistered atomic.Bool
	// drainEnd is closed when callers that still wait must be told to ask another entry VM.
	drainEnd chan struct{}
	// storeReachable tells whether the last call to the store brought a reply.
	storeReachable atomic.Bool
	// storeKnown is set once the store has been called.
	storeKnown atomic.Bool
	anchors    anchorCache
	rollouts   rollouts
	// limitWaits counts the requests that wait for a running limit; only the control goroutine touches it.
	limitWaits map[quota.Key]int
}

// Run serves until stop is closed, then drains and returns.
func (v *VM) Run(stop <-chan struct{}) error {
	if err := v.build(); err != nil {
		return err
	}
	// The listeners come first, so that a port in use is reported before anything is registered.
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
	for _, end := range slices.Concat(loops.ends, []<-chan error{dispatchDone, hubDone, boardDone}) {
		if err := <-end; err != nil {
			klog.ErrorS(err, "A part ended with an error")
		}
	}
	_ = peerServer.Close()
	klog.InfoS("Entry VM has stopped", "vm", v.self.VM)
	return v.Tracer.Close(context.Background())
}

// build creates the parts. Nothing runs yet.
func (v *VM) build() error {
	v.Store, v.Directory = countStore(v.Store, v.Metrics), countDirectory(v.Directory, v.Metrics)
	v.self = peer.Identity{VM: v.Settings.Name(), FailureDomain: v.Settings.FailureDomain(), BootID: newBootID()}
	empty, err := config.Merge(v.Settings.Keyring(), nil, config.Document{})
	if err != nil {
		return err
	}
	v.view.Store(empty)
	v.owners.Store(&router.Owners{})
	v.drainEnd = make(chan struct{})
	v.rollouts.byID = map[string]*rollout{}
	v.limitWaits = map[quota.Key]int{}
	v.workers = newWorkerClients(v.Clock)
	v.directory = newRequestDirectory(v.Clock)
	v.journal = &backlog.Journal{Store: v.Store, Receiver: v.self.VM}
	v.board = board.New(v.newState(empty))
	v.buildHub()
	v.ledger = claim.NewLedger(v.Store, v.Clock)
	v.ledger.MinWriteInterval = v.Settings.ClaimInterval()
	v.ledger.SettleDelay = settleDelay
	v.buildDispatcher()
	v.router = &router.Router{
		Self: v.self.VM, Clock: v.Clock, Metrics: v.Metrics, Tracer: v.Tracer, Owners: v.owners.Load,
		Submit: v.runHere, Find: v.find, Cancel: v.dispatcher.Cancel, Call: v.hub.Call,
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
		Members:   &membership.Table{Self: v.self.VM, RemoveAfter: removeAfter + v.Settings.IsolatedWindow()},
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
			peer.KindHeartbeat: v.onHeartbeat,
			peer.KindConfig:    v.onConfig,
			peer.KindRun:       v.onRun,
			peer.KindFind:      v.onFind,
			peer.KindCancel:    v.onCancel,
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
		Settler: &claim.Settler{Ledger: v.ledger, Workers: v.workers.client, Parallel: settleParallel, CallTimeout: workerCallTimeout},
		Limits:  limits, CallTimeout: workerCallTimeout,
		HasCapacityElsewhere: func(req job.Request) bool { return v.owners.Load().RoomBesides(v.self.VM, req) },
	}
}

// servePeers serves links of other entry VMs and the metrics.
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
