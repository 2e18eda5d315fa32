package main

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"time"
)

const (
	// hostName and apiKey are those of the one tenant; service is the one that its queues send to.
	hostName = "review.example"
	apiKey   = "review-key"
	service  = "registre"
	// readyTimeout bounds the wait for the entry VMs to be ready, and for one of them to plan.
	readyTimeout = 15 * time.Second
	// pollPause is the pause between looks while a case waits for something.
	pollPause = 10 * time.Millisecond
)

// bounds are those of the users' smallest site, sabra-reg.
var bounds = map[string]string{
	"Bounds.GraceS": "6", "Bounds.MaxHoldMs": "10000", "Bounds.StopGraceMs": "400", "Bounds.GangTimeoutMs": "3000", "Bounds.status_s": "120",
	"Bounds.ConfigApplyMs": "2000", "platform.MinTtlMs": "1000", "Limits.MaxFds": "4100", "Limits.CpuShare": "0.4",
}

// site is a small deployment: a store, workers and entry VMs, each VM on a loopback address of its own.
type site struct {
	rec     *record
	judge   *judge
	store   *store
	root    string
	dir     string
	prefix  string
	workers []*worker
	vms     []*vm
	servers []*http.Server
	client  *http.Client
	// failedOnce has the tasks with FailsOnceMs that have failed.
	failedOnce sync.Map
	// detour, if set, is put before each worker that is added.
	detour *detour
}

// newSite starts the store; workers and VMs are added by the case.
func newSite(rec *record, root string) (*site, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	s := &site{rec: rec, root: root, dir: dir, store: newStore(), client: &http.Client{Timeout: 4 * time.Second}}
	s.judge = newJudge(s)
	// A random part of the loopback network, so that cases can run side by side.
	s.prefix = fmt.Sprintf("127.%d.%d.", 10+rand.IntN(200), 1+rand.IntN(250)) //nolint:gosec // not security-relevant
	return s, nil
}

// close ends all that the case has started.
func (s *site) close() {
	for _, v := range s.vms {
		v.kill()
	}
	for _, w := range s.workers {
		w.crash()
	}
	for _, server := range s.servers {
		_ = server.Close()
	}
	s.store.close()
	_ = os.RemoveAll(s.dir)
}

// serve serves a handler on a free loopback port and returns its address.
func (s *site) serve(handler http.Handler) (string, error) {
	listener, err := net.Listen("tcp", s.prefix+"1:0")
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}
	s.servers = append(s.servers, server)
	go func() { _ = server.Serve(listener) }()
	return listener.Addr().String(), nil
}

// addWorker adds a worker and starts its first life.
func (s *site) addWorker(number int, kind workerKind) error {
	address, err := freeAddress(s.prefix + "2")
	if err != nil {
		return err
	}
	w := &worker{
		id: fmt.Sprintf("i-%04d", number), address: address, public: address, service: service, zone: "zone-a", rack: fmt.Sprintf("r%d", number/4), site: s,
	}
	if s.detour != nil {
		if err := s.detour.lay(w); err != nil {
			return err
		}
	}
	s.workers = append(s.workers, w)
	return w.startLife(kind)
}

// queue is a route of the configuration.
type queue struct {
	name        string
	priority    int
	maxAttempts int
}

func (q queue) prefix() string { return "/" + q.name + "/" }

// writeConfig writes the operator's configuration.
func (s *site) writeConfig(queues ...queue) {
	var routes []map[string]any
	for _, q := range queues {
		routes = append(routes, map[string]any{
			"Name": q.name, "Host": hostName, "Prefix": q.prefix(), "Service": service, "Priority": q.priority, "MaxAttempts": q.maxAttempts,
			"Stretch": 3.0, "TargetCompletionMs": 3000,
		})
	}
	s.store.write("op/config", map[string]any{
		"Version": 1, "Routes": routes, "Services": []map[string]any{{"Name": service, "AdmissionCheck": false}},
		"Limits":  map[string]any{"MaxBodyBytes": 262144},
		"Tenants": []map[string]any{{"Name": "review", "ApiKeys": []string{apiKey}, "Guaranteed": amount{Gpu: 8}}},
	})
}

// startVMs starts entry VMs and waits until all are ready and one plans.
func (s *site) startVMs(n int) error {
	address, err := s.serve(s.store.handler())
	if err != nil {
		return err
	}
	template, err := os.ReadFile(filepath.Join(s.root, "deploy", "settings.template.toml"))
	if err != nil {
		return err
	}
	for i := range n {
		v, err := s.newVM(i, address, string(template))
		if err != nil {
			return err
		}
		s.vms = append(s.vms, v)
	}
	return s.await("entry VMs are ready", readyTimeout, func() bool {
		for _, v := range s.vms {
			if !v.ready() {
				return false
			}
		}
		return s.planner() != nil
	})
}

// planner returns the entry VM whose name is in the planner's key, or nil.
func (s *site) planner() *vm {
	value := s.store.value("clementinepier/planner")
	for _, v := range s.vms {
		if bytes.Contains(value, []byte(v.name)) {
			return v
		}
	}
	return nil
}

// await waits until a condition holds.
func (s *site) await(what string, timeout time.Duration, holds func() bool) error {
	for end := time.Now().Add(timeout); !holds(); time.Sleep(pollPause) {
		if time.Now().After(end) {
			return fmt.Errorf("not within %s: %s", timeout, what)
		}
	}
	return nil
}

// workerRunning returns the worker that has a run of the task, or nil.
func (s *site) workerRunning(name string) *worker {
	for _, w := range s.workers {
		w.mu.Lock()
		_, ok := w.runs[name]
		w.mu.Unlock()
		if ok {
			return w
		}
	}
	return nil
}

// failsNow reports whether a task that fails once has not failed yet, and records that it has now.
func (s *site) failsNow(name string) bool {
	_, failed := s.failedOnce.LoadOrStore(name, true)
	return !failed
}
