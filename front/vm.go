package front

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"

	"clementinepier/engine"
	"clementinepier/eventlog"
	"clementinepier/ingress"
	"clementinepier/memory"
	"clementinepier/metrics"
	"clementinepier/peer"
	"clementinepier/workload"
)

const (
	// balancerDrainTime lets the platform's load balancer remove this entry VM: it probes every second and removes a VM after
	// two failed probes.
	balancerDrainTime = 2600 * time.Millisecond
	// shutdownMargin is the part of the shutdown grace that is reserved for the exit of the process.
	shutdownMargin = time.Second
	// termEndTimeout bounds the call that ends the planner's term.
	termEndTimeout = 500 * time.Millisecond
	headerTimeout  = 5 * time.Second
	// requestTimeout bounds reading and writing on the addresses of readiness, metrics and other entry VMs, before a link between
	// entry VMs is open. idleTimeout is longer than the pauses between probes and between readings of metrics.
	requestTimeout = 10 * time.Second
	idleTimeout    = 30 * time.Second
	// maxHeaderSize bounds the headers of their requests in bytes.
	maxHeaderSize = 16 << 10
	// maxProbes bounds the connections to the addresses of readiness and metrics, each. One caller has a reason to use either.
	maxProbes = 16
)

// Server is the HTTP server for callers.
type Server interface {
	Serve(listener net.Listener) <-chan error
	Shutdown(ctx context.Context) error
}

// OperatorDocuments decodes the documents that operators write to the store and holds the resulting configuration.
type OperatorDocuments interface {
	// Apply applies one change; it reports whether the key is known.
	Apply(item engine.Item) (bool, error)
	// Reset drops all documents before they are listed again.
	Reset()
	// Configuration returns the configuration in force, or nil.
	Configuration() *engine.Configuration
}

// VM is one entry VM. Set the exported fields before Run.
type VM struct {
	Settings *Settings
	Clock    clockwork.Clock
	// Store calls the platform's store and reports the outcome of each call to RecordStoreResult.
	Store   engine.Store
	Workers engine.Workers
	// OperatorDocuments is used by one goroutine only.
	OperatorDocuments OperatorDocuments
	// OperatorPrefix is the store prefix of the operators' documents, RegistrationPrefix that of the workers' registrations.
	OperatorPrefix     string
	RegistrationPrefix string
	DecodeRegistration func(key string, value []byte) (engine.Registration, error)
	// NewServer returns the server for callers; ready reports whether callers should stay with this entry VM.
	NewServer func(r *Receiver, ready func() bool) Server
	// DecodeJob decodes the body of a call that submits a job.
	DecodeJob func(body []byte) (workload.Job, error)
	// LinesDropped returns how many log lines were dropped because the log's reader was too slow.
	LinesDropped func() int64
	// Reload receives a signal when the settings file may have changed.
	Reload <-chan os.Signal
	// LoadSettings rereads the settings file.
	LoadSettings func() (*Settings, error)

	log           *eventlog.Log
	metrics       metrics.Set
	bootID        string
	hub           *peer.Hub
	secretLoaded  atomic.Bool
	configuration atomic.Pointer[engine.Configuration]
	planner       atomic.Pointer[engine.Planner]
	holder        atomic.Pointer[engine.Holder]
	// recheck requests that the election reads the planner's key again.
	recheck chan struct{}
	// stepDown requests that this process ends its term as the planner.
	stepDown     chan struct{}
	shuttingDown atomic.Bool
	// reachable is whether the planner or the store answered the last check; see watchReach.
	reachable atomic.Bool
	// plannerUnresponsive is set from a call that the planner left unanswered until a probe has ended.
	plannerUnresponsive atomic.Bool
	// unresponsive passes the planner that left a call unanswered to probeUnresponsive.
	unresponsive chan engine.Holder
	// storeBudget bounds the calls to the store that callers cause.
	storeBudget StoreBudget
	// submissions bounds the jobs of calls from other entry VMs that are being served. decodingSubmission is locked while a large one is decoded, which
	// takes several times its size.
	submissions        memory.Gate
	decodingSubmission sync.Mutex
	// storeFailingSince is when calls to the store began to fail, in Unix nanoseconds; 0 while they succeed. storeSilent is set if one of them
	// failed otherwise than by the store's limits on calls.
	storeFailingSince atomic.Int64
	storeSilent       atomic.Bool
}

// Run serves until ctx ends, and then shuts down gracefully.
func (v *VM) Run(ctx context.Context) error {
	v.log = &eventlog.Log{Clock: v.Clock, Budget: v.Settings.Log.Budget}
	v.bootID = newBootID()
	v.recheck, v.unresponsive, v.stepDown = make(chan struct{}, 1), make(chan engine.Holder, 1), make(chan struct{}, 1)
	v.submissions.Limit = max(minSubmissionMemory, int64(submissionShare*float64(v.Settings.Memory())))
	v.metrics.Publish()
	v.log.Event("started", "vm", v.Settings.Name, "failure-domain", v.Settings.FailureDomain, "boot", v.bootID,
		"callers", v.Settings.CallersAddress, "store", v.Settings.StoreAddress)
	// The parts that serve callers run until the end of the shutdown, not only until ctx ends.
	work, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	v.hub = &peer.Hub{
		Self:  peer.Identity{VM: v.Settings.Name, FailureDomain: v.Settings.FailureDomain, BootID: v.bootID},
		Clock: v.Clock, Handlers: v.handlers(), Metrics: &v.metrics,
	}
	listeners, err := v.listen()
	if err != nil {
		return err
	}
	receiver := v.receiver()
	server := v.NewServer(receiver, v.ready)
	ended := []<-chan error{
		server.Serve(listeners.callers), v.serveReady(listeners.ready), v.serveMetrics(listeners.metrics, receiver),
		v.servePeers(work, listeners.peers), v.followDocuments(work), v.watchSettings(work), v.probeUnresponsive(work),
		v.watchReach(work),
	}
	elections, endElections := context.WithCancel(work)
	defer endElections()
	election := v.elect(elections)
	failure := make(chan error, len(ended))
	for _, c := range ended {
		go func() {
			if err := <-c; err != nil {
				failure <- err
			}
		}()
	}
	select {
	case <-ctx.Done():
	case err := <-failure:
		v.log.Event("part-failed", "error", err)
		return err
	case err := <-election:
		// The election ends before ctx only if a planner is stuck.
		v.log.Event("part-failed", "error", err)
		return err
	}
	v.shutdown(server, endElections, election)
	return nil
}

// shutdown ends the planner's term at once and keeps serving until the load balancer sends no new connections.
func (v *VM) shutdown(server Server, endElections func(), election <-chan error) {
	v.shuttingDown.Store(true)
	v.log.Event("stopping", "planner", v.planner.Load() != nil)
	begun := v.Clock.Now()
	endElections()
	if err := <-election; err != nil {
		v.log.Event("election-failed", "error", err)
	}
	grace := time.Duration(v.Settings.Bounds.ShutdownGrace)
	v.Clock.Sleep(min(balancerDrainTime, grace/2) - v.Clock.Since(begun))
	ctx, cancel := clockwork.WithTimeout(context.Background(), v.Clock, grace-shutdownMargin-v.Clock.Since(begun))
	defer cancel()
	if err := server.Shutdown(ctx); err != nil {
		v.log.Event("shutdown-incomplete", "error", err)
	}
	v.log.Event("stopped", "after", v.Clock.Since(begun))
}

type listeners struct{ callers, ready, peers, metrics net.Listener }

func (v *VM) listen() (listeners, error) {
	var l listeners
	for _, a := range []struct {
		address string
		into    *net.Listener
	}{
		{v.Settings.CallersAddress, &l.callers},
		{v.Settings.ReadyAddress, &l.ready},
		{v.Settings.PeersAddress, &l.peers},
		{v.Settings.MetricsAddress, &l.metrics},
	} {
		opened, err := net.Listen("tcp", a.address)
		if err != nil {
			return l, errors.Wrap(err, "listen")
		}
		*a.into = opened
	}
	return l, nil
}

func (v *VM) receiver() *Receiver {
	return &Receiver{
		Clock: v.Clock, TimeOfDay: time.Now, Log: v.log, Metrics: &v.metrics, Configuration: v.configuration.Load,
		Planner: v.planner.Load, Forward: v.forward, OnPlannerFailure: v.recheckHolder, StoreAvailable: v.storeAvailable,
		Direct: &engine.DirectClient{Store: v.Store}, StoreBudget: &v.storeBudget,
	}
}

// serveReady serves the platform's readiness probe.
func (v *VM) serveReady(listener net.Listener) <-chan error {
	return v.serveHTTP(v.boundProbes(listener), http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if !v.ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	}))
}

// serveMetrics serves counters and histograms in text format, and explanations under ExplainPath.
func (v *VM) serveMetrics(listener net.Listener, r *Receiver) <-chan error {
	mux := http.NewServeMux()
	mux.HandleFunc("/", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; version=0.0.4")
		v.metrics.SetGauge(metrics.LogLinesDropped, v.LinesDropped())
		v.metrics.WriteText(w)
	})
	mux.Handle(ExplainPath, v.explainHandler(r))
	return v.serveHTTP(v.boundProbes(listener), mux)
}

// boundProbes bounds the connections to an address of which few are needed.
func (v *VM) boundProbes(listener net.Listener) net.Listener {
	return &ingress.Listener{Listener: listener, Budget: &ingress.Budget{Connections: maxProbes}, Clock: v.Clock}
}

func (v *VM) serveHTTP(listener net.Listener, handler http.Handler) <-chan error {
	done := make(chan error, 1)
	s := &http.Server{
		Handler: handler, ReadHeaderTimeout: headerTimeout, ReadTimeout: requestTimeout, WriteTimeout: requestTimeout, IdleTimeout: idleTimeout,
		MaxHeaderBytes: maxHeaderSize,
	}
	go func() { done <- errors.Wrap(s.Serve(listener), "serve "+listener.Addr().String()) }()
	return done
}

// watchSettings rereads the settings file on Reload and logs whether a restart is needed to apply it. Addresses, for
// example, are bound once per process.
func (v *VM) watchSettings(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	go func() {
		for {
			select {
			case <-ctx.Done():
				done <- nil
				return
			case <-v.Reload:
				s, err := v.LoadSettings()
				if err != nil {
					v.log.Event("reload-failed", "error", err)
					continue
				}
				v.log.Event("reloaded", "restart-needed", *s != *v.Settings)
			}
		}
	}()
	return done
}

// ready reports whether the load balancer should send callers to this entry VM.
func (v *VM) ready() bool {
	return !v.shuttingDown.Load() && v.configuration.Load() != nil && v.reachable.Load()
}

// maxStoreFailureTime is how long calls to the store may fail before callers' requests are no longer served from it.
const maxStoreFailureTime = 1200 * time.Millisecond

// RecordStoreResult records whether a call to the store failed. Cancelled calls do not count.
func (v *VM) RecordStoreResult(err error) {
	throttled := engine.IsErrThrottled(err)
	switch {
	case err == nil:
		from := v.storeFailingSince.Swap(0)
		if silent := v.storeSilent.Swap(false); silent && from != 0 {
			v.log.Event("store-answers", "after", v.Clock.Now().Sub(time.Unix(0, from)))
		}
		return
	case errors.Is(err, context.Canceled):
		return
	case throttled:
		v.metrics.Add(metrics.StoreCallsThrottled, 1)
		if v.storeBudget.RecordThrottled(v.Clock.Now()) {
			v.log.Event("store-limit-reached", "error", err)
		}
	}
	v.storeFailingSince.CompareAndSwap(0, v.Clock.Now().UnixNano())
	if !throttled && v.storeSilent.CompareAndSwap(false, true) {
		v.log.Event("store-silent", "error", err)
	}
}

// storeAvailable reports whether calls to the store have been failing for less than maxStoreFailureTime.
func (v *VM) storeAvailable() bool { return v.storeFailureTime() < maxStoreFailureTime }

// storeFailureTime returns how long calls to the store have been failing; 0 while they succeed.
func (v *VM) storeFailureTime() time.Duration {
	from := v.storeFailingSince.Load()
	if from == 0 {
		return 0
	}
	return v.Clock.Now().Sub(time.Unix(0, from))
}

func newBootID() string {
	data := make([]byte, 8)
	if _, err := rand.Read(data); err != nil {
		// The system's random source never fails on Linux.
		panic(err)
	}
	return hex.EncodeToString(data)
}
