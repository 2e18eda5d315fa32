package platform

import (
	"context"
	"sort"
	"time"

	"clementinepier/kvstore"
)

// SetLag sets the delay before a change of the VM list reaches callers.
func (p *Platform) SetLag(lag time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lag = lag
}

// AddVM adds a VM to the list or replaces the one of the same name.
func (p *Platform) AddVM(vm kvstore.VM) {
	p.changeVMs(func() { p.vms[vm.Name] = vm })
}

// RemoveVM removes a VM from the list.
func (p *Platform) RemoveVM(name string) {
	p.changeVMs(func() { delete(p.vms, name) })
}

// MarkLeaving sets or clears the Leaving flag of a VM and reports whether the VM is on the list.
func (p *Platform) MarkLeaving(name string, leaving bool) bool {
	var found bool
	p.changeVMs(func() {
		vm, ok := p.vms[name]
		if found = ok; ok {
			vm.Leaving = leaving
			p.vms[name] = vm
		}
	})
	return found
}

// changeVMs applies change to p.vms and records the resulting list with its time.
func (p *Platform) changeVMs(change func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	change()
	vms := make([]kvstore.VM, 0, len(p.vms))
	for _, vm := range p.vms {
		vms = append(vms, vm)
	}
	sort.Slice(vms, func(i, j int) bool { return vms[i].Name < vms[j].Name })
	p.history = append(p.history, snapshot{changedAt: p.clock.Now(), vms: vms})
}

func (p *Platform) listVMs(ctx context.Context) ([]kvstore.VM, error) {
	var vms []kvstore.VM
	err := p.runLocked(ctx, "vms", func() {
		cutoff := p.clock.Now().Add(-p.lag)
		for len(p.history) > 1 && !p.history[1].changedAt.After(cutoff) {
			p.history = p.history[1:]
		}
		if len(p.history) > 0 && !p.history[0].changedAt.After(cutoff) {
			vms = append(vms, p.history[0].vms...)
		}
	})
	if err != nil {
		return nil, err
	}
	return vms, nil
}
