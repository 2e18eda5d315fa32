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

// RolloutOptions describe the change that a Rollout tracks.
type RolloutOptions struct {
	// Change is a revision that includes the change, such as AcceptedChange.PartRevision.
	Change Revision
	// Domains are the failure domains of the bundle in the document in which the change was written, or in a later one.
	Domains []string
	// PreviousDomains is Document.PreviousDomains of the same document.
	PreviousDomains []string
	// Order is the order of the change, or nil for a bundle.
	Order *bundle.Order
	// Window and IsolatedWindow have the same values as in Freshness.
	Window         time.Duration
	IsolatedWindow time.Duration
}

// Rollout decides whether one change is acknowledged, that is, in force on every entry VM that may start tasks at least
// one window later. It is not safe for concurrent use.
type Rollout struct {
	options            RolloutOptions
	domainSets         [][]string
	vms                map[string]Registration
	registeredSince    map[string]time.Time
	confirmedRevisions map[string]Revision

	majoritySince          time.Time
	acknowledgedEverywhere time.Time
	acknowledged           time.Time
}

// Progress is the state of a rollout.
type Progress struct {
	// Acknowledged is when the change was acknowledged; zero if it is not yet. An order can be acknowledged for the VMs of
	// its failure domain alone, since only these start tasks there.
	Acknowledged time.Time
	// AcknowledgedEverywhere is when the change was acknowledged for all VMs; zero if it is not yet.
	AcknowledgedEverywhere time.Time
	// MajoritySince is when a majority of failure domains was first seen to have confirmed; zero if none was yet.
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
	// Since is when the VM was first listed as registered; the rollout waits for it since then.
	Since time.Time
}

// NewRollout returns a rollout of a change that is not acknowledged. Nothing is acknowledged before the first SetRegistered.
func NewRollout(o RolloutOptions) *Rollout {
	r := &Rollout{options: o, registeredSince: map[string]time.Time{}, confirmedRevisions: map[string]Revision{}}
	for _, set := range [][]string{o.Domains, o.PreviousDomains} {
		if set = slices.Compact(slices.Sorted(slices.Values(set))); len(set) > 0 {
			r.domainSets = append(r.domainSets, set)
		}
	}
	return r
}

// SetRegistered replaces the list of registered VMs. The list must have been read after the compare-and-swap of the change;
// a VM that registers later reads a configuration that includes the change.
func (r *Rollout) SetRegistered(now time.Time, list []Registration) {
	r.vms = make(map[string]Registration, len(list))
	since := make(map[string]time.Time, len(list))
	for _, registration := range list {
		r.vms[registration.VM] = registration
		first, ok := r.registeredSince[registration.VM]
		if !ok {
			first = now
		}
		since[registration.VM] = first
	}
	r.registeredSince = since
}

// Confirm records that the VM's view has the revision. Call it only with a revision that the VM itself reported.
func (r *Rollout) Confirm(vm string, rev Revision) {
	if have, ok := r.confirmedRevisions[vm]; !ok || rev.Covers(have) {
		r.confirmedRevisions[vm] = rev.Clone()
	}
}

// Progress evaluates the rollout at the time given. Once acknowledged, a change stays acknowledged.
//
// A change is acknowledged when in a majority of failure domains all registered VMs, at least one in each, have confirmed
// it, and since then the isolated window less one window has passed. The wait is skipped when all registered VMs have
// confirmed it. An order is also acknowledged when all registered VMs of its domain, at least one, have confirmed it.
//
// While the set of failure domains changes, a majority of the previous set is needed as well: a VM that has the previous
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
	if r.acknowledgedEverywhere.IsZero() && r.isAcknowledgedEverywhere(now, everyone) {
		r.acknowledgedEverywhere = now
	}
	own := r.options.Order != nil && confirmed[r.options.Order.FailureDomain]
	if r.acknowledged.IsZero() && (own || !r.acknowledgedEverywhere.IsZero()) {
		r.acknowledged = now
	}
	p.Acknowledged, p.AcknowledgedEverywhere, p.MajoritySince = r.acknowledged, r.acknowledgedEverywhere, r.majoritySince
	return p
}

// isAcknowledgedEverywhere reports whether no VM that lacks the change may start tasks one window from now.
func (r *Rollout) isAcknowledgedEverywhere(now time.Time, everyone bool) bool {
	if r.majoritySince.IsZero() {
		return false
	}
	// The wait starts at the majority, not at the compare-and-swap: until the majority, a VM that lacks the change may be
	// kept fresh by other VMs that lack it too, and its isolated window starts only when it no longer reaches them.
	window, isolated := effectiveWindows(r.options.Window, r.options.IsolatedWindow)
	return everyone || now.Sub(r.majoritySince) >= isolated-window
}

// hasMajority reports whether a majority of every set of failure domains has confirmed.
func (r *Rollout) hasMajority(confirmed map[string]bool) bool {
	for _, set := range r.domainSets {
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
	return len(r.domainSets) > 0
}

func (r *Rollout) domainProgress() []DomainProgress {
	// A VM in a domain that the bundle no longer has is in no majority, but may start tasks until it has that bundle.
	domains := slices.Concat(r.domainSets...)
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
			if rev, ok := r.confirmedRevisions[vm]; !ok || !rev.Covers(r.options.Change) {
				d.Waiting = append(d.Waiting, WaitingVM{VM: vm, Since: r.registeredSince[vm]})
			}
		}
		slices.SortFunc(d.Waiting, func(a, b WaitingVM) int { return strings.Compare(a.VM, b.VM) })
		d.Confirmed = d.Registered > 0 && len(d.Waiting) == 0
		progress[i] = d
	}
	return progress
}
