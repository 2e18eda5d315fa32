package front

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"

	"clementinepier/engine"
	"clementinepier/eventlog"
	"clementinepier/metrics"
	"clementinepier/peer"
)

const (
	// drainTime lets the platform's balancer take this entry VM out: it looks each second and needs two misses.
	drainTime = 2600 * time.Millisecond
	// shutdownMargin is the part of the grace that is left for the process to end.
	shutdownMargin = time.Second
	// handOverTimeout bounds the end of the planner's term during a shutdown.
	handOverTimeout = 500 * time.Millisecond
	headerTimeout   = 5 * time.Second
)

// Server answers callers.
type Server interface {
	Serve(listener net.Listener) <-chan error
	Shutdown(ctx context.Context) error
}

// OperatorDocuments is what operators have written, as the platform's adapter reads it.
type OperatorDocuments interface {
	// Apply takes in one change; it reports whether the key is known.
	Apply(item engine.Item) (bool, error)
	// Reset forgets what is about to be read anew.
	Reset()
	// Configuration returns what is in force, or nil.
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
	OperatorDocuments  OperatorDocuments
	OperatorPrefix     string
	RegistrationPrefix string
	DecodeRegistration func(key string, value []byte) (engine.Registration, error)
	// NewServer returns the server for callers.
	NewServer func(r *Receiver, leaving func() bool) Server
	// LinesDropped returns how many log lines were dropped because their reader was slow.
	LinesDropped func() int64
	// Reload delivers a value when the settings may have changed.
	Reload <-chan os.Signal
	// LoadSettings reads the settings again.
	LoadSettings func() (*Settings, error)

	log           *eventlog.Log
	metrics       metrics.Set
	boot          string
	hub           *peer.Hub
	secretKnown   atomic.Bool
	configuration atomic.Pointer[engine.Configuration]
	planner       atomic.Pointer[engine.Planner]
	holder        atomic.Pointer[engine.Holder]
	// suspect asks the election to look at the planner's key.
	suspect chan struct{}
	// yield asks this process to end its term as the planner.
	yield   chan struct{}
	leaving atomic.Bool
	// plannerSilent is set while the planner does not answer.
	plannerSilent atomic.Bool
	// silent has the planner that did not answer, for the goroutine that probes it.
	silent chan engine.Holder
	// storeFailing is when calls to the store began to fail, in Unix nanoseconds of the clock; 0 while they succeed.
	storeFailing atomic.Int64
}

// Run serves until ctx ends, and then shuts down gracefully.
func (v *VM) Run(ctx context.Context) error {
	v.log = &eventlog.Log{Clock: v.Clock, Budget: v.Settings.Log.LinesPerSecond}
	v.boot = newBoot()
	v.suspect, v.silent, v.yield = make(chan struct{}, 1), make(chan engine.Holder, 1), make(chan struct{}, 1)
	v.metrics.Publish()
	v.log.Event("started", "vm", v.Settings.Name, "failure-domain", v.Settings.FailureDomain, "boot", v.boot,
		"callers", v.Settings.CallersAddress, "store", v.Settings.StoreAddress)
	// What serves callers outlives ctx by the time of the shutdown.
	work, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	v.hub = &peer.Hub{
		Self:  peer.Identity{VM: v.Settings.Name, FailureDomain: v.Settings.FailureDomain, BootID: v.boot},
		Clock: v.Clock, Handlers: v.handlers(), Metrics: &v.metrics,
	}
	listeners, err := v.listen()
	if err != nil {
		return err
	}
	server := v.NewServer(v.receiver(), v.leaving.Load)
	ended := []<-chan error{
		server.Serve(listeners.callers), v.serveReady(listeners.ready), v.serveMetrics(listeners.metrics),
		v.servePeers(work, listeners.peers), v.follow(work), v.reload(work), v.probeSilent(work),
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

// shutdown gives the planner's term up at once and goes on serving until the balancer sends no new connections.
func (v *VM) shutdown(server Server, endElections func(), election <-chan error) {
	v.leaving.Store(true)
	v.log.Event("stopping", "planner", v.planner.Load() != nil)
	begun := v.Clock.Now()
	endElections()
	if err := <-election; err != nil {
		v.log.Event("election-failed", "error", err)
	}
	grace := time.Duration(v.Settings.Bounds.ShutdownGrace)
	v.Clock.Sleep(min(drainTime, grace/2) - v.Clock.Since(begun))
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
		Planner: v.planner.Load, Forward: v.forward, OnPlannerFailure: v.suspectPlanner, StoreAvailable: v.storeAnswers,
		Direct: &engine.DirectClient{Store: v.Store},
	}
}

// serveReady answers the platform's question whether callers should connect here.
func (v *VM) serveReady(listener net.Listener) <-chan error {
	return v.serveHTTP(listener, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if !v.ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	}))
}

// serveMetrics serves counters and histograms as text.
func (v *VM) serveMetrics(listener net.Listener) <-chan error {
	return v.serveHTTP(listener, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; version=0.0.4")
		v.metrics.SetGauge(metrics.LogLinesDropped, v.LinesDropped())
		v.metrics.WriteText(w)
	}))
}

func (v *VM) serveHTTP(listener net.Listener, handler http.Handler) <-chan error {
	done := make(chan error, 1)
	s := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout}
	go func() { done <- errors.Wrap(s.Serve(listener), "serve "+listener.Addr().String()) }()
	return done
}

// reload reads the settings again when they may have changed. Addresses are used from the start to the end of a process.
func (v *VM) reload(ctx context.Context) <-chan error {
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

// ready reports whether callers should connect to this entry VM.
func (v *VM) ready() bool {
	return !v.leaving.Load() && v.configuration.Load() != nil && v.storeAnswers()
}

// storePatience is how long calls to the store may fail before callers are sent to other entry VMs.
const storePatience = 1200 * time.Millisecond

// RecordStoreResult takes in the outcome of a call to the store.
func (v *VM) RecordStoreResult(err error) {
	if err == nil {
		if from := v.storeFailing.Swap(0); from != 0 {
			v.log.Event("store-answers", "after", v.Clock.Now().Sub(time.Unix(0, from)))
		}
		return
	}
	if errors.Is(err, context.Canceled) {
		return
	}
	if v.storeFailing.CompareAndSwap(0, v.Clock.Now().UnixNano()) {
		v.log.Event("store-silent", "error", err)
	}
}

// storeAnswers reports whether the store has not been failing for long.
func (v *VM) storeAnswers() bool { return v.storeSilence() < storePatience }

// storeSilence returns for how long calls to the store have been failing; 0 while they succeed.
func (v *VM) storeSilence() time.Duration {
	from := v.storeFailing.Load()
	if from == 0 {
		return 0
	}
	return v.Clock.Now().Sub(time.Unix(0, from))
}

func newBoot() string {
	data := make([]byte, 8)
	if _, err := rand.Read(data); err != nil {
		// The system's random source never fails on Linux.
		panic(err)
	}
	return hex.EncodeToString(data)
}
