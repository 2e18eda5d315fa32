package config

import (
	"slices"
	"strings"
	"time"

	"clementinepier/bundle"
)

// Registration is one entry VM that is registered in the store.
type Registration struct {
	VM            string
	FailureDomain string
}

// RolloutOptions describe the change whose acknowledgement a Rollout decides.
type RolloutOptions struct {
	// Change is a revision that includes the change, such as AcceptedChange.PartRevision.
	Change Revision
	// Domains are the failure domains of the bundle in the document that the change was written with, or a later one.
	Domains []string
	// PreviousDomains are those of the same document.
	PreviousDomains []string
	// Order is the order that the change made, or nil for a bundle.
	Order *bundle.Order
	// Window and IsolatedWindow are as in Freshness.
	Window         time.Duration
	IsolatedWindow time.Duration
}

// Rollout decides whether one change is acknowledged, that is, in force on every entry VM that may start tasks at least
// one window later. It is not safe for concurrent use.
type Rollout struct {
	options  RolloutOptions
	sets     [][]string
	vms      map[string]Registration
	since    map[string]time.Time
	confirms map[string]Revision

	majoritySince time.Time
	everywhere    time.Time
	acknowledged  time.Time
}

// Progress is the state of a rollout.
type Progress struct {
	// Acknowledged is the time from which on the change counts as acknowledged; zero before that. An order can be
	// acknowledged for the VMs of its failure domain only, which are the only ones that start tasks there.
	Acknowledged time.Time
	// AcknowledgedEverywhere is the time from which on the change counts as acknowledged for all VMs; zero before that.
	AcknowledgedEverywhere time.Time
	// MajoritySince is when a majority of failure domains was first seen to have confirmed; zero before that.
	MajoritySince time.Time
	// Domains are sorted by name.
	Domains []DomainProgress
}

// DomainProgress is the state of a rollout in one failure domain.
type DomainProgress struct {
	FailureDomain string
	// Registered is the number of VMs that must confirm.
	Registered int
	// Confirmed is true when there is at least one registered VM and all have confirmed.
	Confirmed bool
	// Waiting are the VMs that have not confirmed, sorted by name.
	Waiting []WaitingVM
}

// WaitingVM is a registered VM that has not confirmed.
type WaitingVM struct {
	VM string
	// Since is when the rollout began to wait for the VM.
	Since time.Time
}

// NewRollout returns a rollout that is not acknowledged. It waits for the first SetRegistered.
func NewRollout(o RolloutOptions) *Rollout {
	r := &Rollout{options: o, since: map[string]time.Time{}, confirms: map[string]Revision{}}
	for _, set := range [][]string{o.Domains, o.PreviousDomains} {
		if set = slices.Compact(slices.Sorted(slices.Values(set))); len(set) > 0 {
			r.sets = append(r.sets, set)
		}
	}
	return r
}

// SetRegistered replaces the list of registered VMs. The list must have been read after the compare-and-swap; a VM that
// registers after a read of the list reads the configuration after the change.
func (r *Rollout) SetRegistered(now time.Time, list []Registration) {
	r.vms = make(map[string]Registration, len(list))
	since := make(map[string]time.Time, len(list))
	for _, registration := range list {
		r.vms[registration.VM] = registration
		first, ok := r.since[registration.VM]
		if !ok {
			first = now
		}
		since[registration.VM] = first
	}
	r.since = since
}

// Confirm records that the VM's view has the revision. Call it only with what the VM itself reported.
func (r *Rollout) Confirm(vm string, rev Revision) {
	if have, ok := r.confirms[vm]; !ok || rev.Covers(have) {
		r.confirms[vm] = rev.Clone()
	}
}

// Progress evaluates the acknowledgement at the time given. Once acknowledged, a change stays acknowledged.
//
// A change is acknowledged when all registered VMs have confirmed it in a majority of failure domains, at least one in
// each, and the isolated window has passed since then but for one window. That wait is dropped when all registered VMs
// have confirmed it. An order is also acknowledged when all registered VMs of its domain, at least one, have confirmed it.
//
// While the set of failure domains changes, a majority of the earlier set is needed as well: a VM that has the earlier
// bundle counts a majority of that set.
func (r *Rollout) Progress(now time.Time) Progress {
	p := Progress{Domains: r.domainProgress()}
	confirmed := make(map[string]bool, len(p.Domains))
	everyone := true
	for _, d := range p.Domains {
		confirmed[d.FailureDomain] = d.Confirmed
		everyone = everyone && len(d.Waiting) == 0
	}
	if r.majoritySince.IsZero() && r.hasMajority(confirmed) {
		r.majoritySince = now
	}
	if r.everywhere.IsZero() && r.isEverywhere(now, everyone) {
		r.everywhere = now
	}
	own := r.options.Order != nil && confirmed[r.options.Order.FailureDomain]
	if r.acknowledged.IsZero() && (own || !r.everywhere.IsZero()) {
		r.acknowledged = now
	}
	p.Acknowledged, p.AcknowledgedEverywhere, p.MajoritySince = r.acknowledged, r.everywhere, r.majoritySince
	return p
}

// isEverywhere reports whether no VM that lacks the change may start tasks one window from now.
func (r *Rollout) isEverywhere(now time.Time, everyone bool) bool {
	if r.majoritySince.IsZero() {
		return false
	}
	// The wait counts from the majority, not from the compare-and-swap: until then a VM that lacks the change may have
	// been fresh through other VMs that lacked it too, and its isolated window starts only when they are gone.
	window, isolated := windows(r.options.Window, r.options.IsolatedWindow)
	return everyone || now.Sub(r.majoritySince) >= isolated-window
}

func (r *Rollout) hasMajority(confirmed map[string]bool) bool {
	for _, set := range r.sets {
		n := 0
		for _, domain := range set {
			if confirmed[domain] {
				n++
			}
		}
		if n < majority(len(set)) {
			return false
		}
	}
	return len(r.sets) > 0
}

func (r *Rollout) domainProgress() []DomainProgress {
	// A VM in a domain that the bundle no longer has is in no majority, but may start tasks until it knows that.
	domains := slices.Concat(r.sets...)
	for _, registration := range r.vms {
		domains = append(domains, registration.FailureDomain)
	}
	slices.Sort(domains)
	domains = slices.Compact(domains)
	progress := make([]DomainProgress, len(domains))
	for i, domain := range domains {
		d := DomainProgress{FailureDomain: domain}
		for vm, registration := range r.vms {
			if registration.FailureDomain != domain {
				continue
			}
			d.Registered++
			if rev, ok := r.confirms[vm]; !ok || !rev.Covers(r.options.Change) {
				d.Waiting = append(d.Waiting, WaitingVM{VM: vm, Since: r.since[vm]})
			}
		}
		slices.SortFunc(d.Waiting, func(a, b WaitingVM) int { return strings.Compare(a.VM, b.VM) })
		d.Confirmed = d.Registered > 0 && len(d.Waiting) == 0
		progress[i] = d
	}
	return progress
}
