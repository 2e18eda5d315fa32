package entry

import (
	"context"
	"slices"
	"sync"

	"github.com/jonboulle/clockwork"

	"clementinepier/board"
	"clementinepier/kvstore"
	"clementinepier/worker"
)

// connectionsPerWorker is this VM's share of the 64 connections that a worker accepts from 8 entry VMs.
const connectionsPerWorker = 8

// workerClients contains a client for every worker that the platform has ever listed. A worker that is no longer listed
// keeps its client, because the list may be outdated and a claim may still name the worker.
type workerClients struct {
	clock clockwork.Clock
	mu    sync.RWMutex
	// clients and addresses are both keyed by the worker's name and have the same keys.
	clients   map[string]*worker.Client
	addresses map[string]string
}

func newWorkerClients(clock clockwork.Clock) *workerClients {
	return &workerClients{clock: clock, clients: map[string]*worker.Client{}, addresses: map[string]string{}}
}

func (w *workerClients) client(name string) (*worker.Client, bool) {
	w.mu.RLock()
	defer w.mu.RUnlock()
	c, ok := w.clients[name]
	return c, ok
}

// update adds clients for new workers and replaces the client of a worker whose address has changed.
func (w *workerClients) update(list []kvstore.VM) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, vm := range list {
		if vm.Kind != kvstore.KindWorker || w.addresses[vm.Name] == vm.Address {
			continue
		}
		w.addresses[vm.Name] = vm.Address
		w.clients[vm.Name] = worker.NewClient(worker.Options{Name: vm.Name, Address: vm.Address, MaxConnections: connectionsPerWorker, Clock: w.clock})
	}
}

// pollVMList reads the platform's list of VMs at a fixed interval until ctx is done.
func (v *VM) pollVMList(ctx context.Context) error {
	for ctx.Err() == nil {
		list, err := v.Directory.VMs(ctx)
		if err == nil {
			v.workers.update(list)
			v.board.Post(func(s *board.State) { v.applyVMList(s, list) })
		}
		v.sleep(ctx, listInterval)
	}
	return nil
}

// applyVMList records the platform's list of VMs. Workers that are no longer listed are removed. A list without any worker
// of this failure domain is treated as a fault of the platform and leaves the workers unchanged, since it would stop all
// work.
func (v *VM) applyVMList(s *board.State, list []kvstore.VM) {
	s.Members.SetPlatformList(v.Clock.Now(), list)
	workers, leaving := map[string]kvstore.VM{}, map[string]bool{}
	for _, vm := range list {
		if vm.Kind != kvstore.KindWorker || vm.FailureDomain != s.Self.FailureDomain {
			continue
		}
		workers[vm.Name] = vm
		if vm.Leaving {
			leaving[vm.Name] = true
		}
	}
	if len(workers) == 0 {
		return
	}
	s.Workers, s.LeavingWorkers = workers, leaving
	for name := range leaving {
		s.Cluster.SetAvailable(name, false)
	}
}

// racksOf returns the racks of this failure domain, sorted.
func racksOf(s *board.State) []string {
	seen := map[string]bool{}
	var racks []string
	for _, vm := range s.Workers {
		if !seen[vm.Rack] {
			seen[vm.Rack] = true
			racks = append(racks, vm.Rack)
		}
	}
	slices.Sort(racks)
	return racks
}
