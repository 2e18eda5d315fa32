package main

import (
	"bytes"
	"fmt"
	"slices"
	"text/tabwriter"
	"time"

	"clementinepier/bundle"
	"clementinepier/config"
)

// The isolation experiment: 7 failure domains with 2 entry VMs each; the 3 domains of one region lose the other region
// and the platform for 5 minutes, and one minute into that an operator takes one of the 3 out of service.
const (
	isolationStep  = 100 * time.Millisecond
	isolationBeat  = 500 * time.Millisecond
	isolationEnd   = 8 * time.Minute
	cutFrom        = time.Minute
	cutUntil       = 6 * time.Minute
	orderAt        = 2 * time.Minute
	isolationVMs   = 2
	isolationCut   = 3
	isolationTotal = 7
)

// windowChoice is one of the ways that docs/design.md, 6.6, weighs.
type windowChoice struct {
	name     string
	isolated time.Duration
	// unbounded lets every VM start without a fresh view.
	unbounded bool
}

type isolationVM struct {
	name, domain string
	cut          bool
	freshness    config.Freshness
	view         *config.View
}

// isolationResult is what one choice gives up.
type isolationResult struct {
	// possible and started count the moments at which a VM of the cut domains might have started a task.
	possible, started int
	// late counts starts in the domain that was taken out, from 4 s after the acknowledgement.
	late         int
	acknowledged time.Duration
}

func isolationDomains() []string {
	var domains []string
	for i := range isolationTotal {
		domains = append(domains, fmt.Sprintf("domain-%d", i+1))
	}
	return domains
}

// isolationViews returns the views without and with the order that takes the first domain out.
func isolationViews(domains []string) (before, after *config.View) {
	author, reviewer := isolationKey(1), isolationKey(2)
	ring, err := bundle.NewKeyring([]bundle.TrustedKey{author.Trusted(), reviewer.Trusted()})
	check(err)
	source := []byte("revision = 1\n")
	for _, domain := range domains {
		source = fmt.Appendf(source, "[[failure-domains]]\nname = %q\nregion = \"region\"\n"+
			"[[failure-domains.racks]]\nname = \"%s-1\"\nworkers = 1\nslots = 1\naccelerators = 1\n", domain, domain)
	}
	document := config.Document{Bundle: bundle.Signed{
		Source: source, Author: bundle.SignAuthor(author, source), Reviewer: bundle.SignReviewer(reviewer, source),
	}}
	before, err = config.Merge(ring, nil, document)
	check(err)
	order := bundle.Order{FailureDomain: domains[0], State: bundle.OrderOut, Sequence: 1, ChangeID: "out"}
	document.Orders = map[string]bundle.SignedOrder{domains[0]: bundle.SignOrder(author, order)}
	after, err = config.Merge(ring, before, document)
	check(err)
	return before, after
}

func isolationKey(seed byte) *bundle.PrivateKey {
	const seedSize = 64
	key, err := bundle.GenerateKey(bytes.NewReader(bytes.Repeat([]byte{seed}, seedSize)))
	check(err)
	return key
}

// check stops the program: the inputs are constant, so an error is a fault in the code.
func check(err error) {
	if err != nil {
		panic(err)
	}
}

// isolate runs the experiment in steps of a fake clock.
func isolate(choice windowChoice) isolationResult {
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	domains := isolationDomains()
	before, after := isolationViews(domains)
	var vms []*isolationVM
	var registered []config.Registration
	for i, domain := range domains {
		for n := range isolationVMs {
			vm := &isolationVM{name: fmt.Sprintf("%s-%d", domain, n), domain: domain, cut: i < isolationCut, view: before}
			vm.freshness = config.Freshness{IsolatedWindow: choice.isolated, FailureDomain: domain}
			vm.freshness.SetRegistered(true)
			vm.freshness.SetView(before)
			vms = append(vms, vm)
			registered = append(registered, config.Registration{VM: vm.name, FailureDomain: domain})
		}
	}
	order := &bundle.Order{FailureDomain: domains[0], State: bundle.OrderOut, Sequence: 1}
	rollout := config.NewRollout(config.RolloutOptions{
		Change: after.Revision(), Domains: domains, Order: order, IsolatedWindow: choice.isolated,
	})
	var result isolationResult
	for at := time.Duration(0); at < isolationEnd; at += isolationStep {
		now := start.Add(at)
		cut := at >= cutFrom && at < cutUntil
		if at%isolationBeat == 0 {
			exchange(vms, now, cut, at >= orderAt, after)
		}
		if at >= orderAt && result.acknowledged == 0 {
			rollout.SetRegistered(now, registered)
			for _, vm := range vms {
				// The operator's side hears the VMs that are not cut off.
				if !cut || !vm.cut {
					rollout.Confirm(vm.name, vm.view.Revision())
				}
			}
			if !rollout.Progress(now).Acknowledged.IsZero() {
				result.acknowledged = at - orderAt + isolationStep
			}
		}
		if cut {
			result.count(vms, now, at, choice, domains[0], after)
		}
	}
	return result
}

// exchange lets the VMs that reach each other exchange heartbeats, and those that reach the store read it.
func exchange(vms []*isolationVM, now time.Time, cut, ordered bool, after *config.View) {
	for _, vm := range vms {
		if cut && vm.cut {
			continue
		}
		if ordered && vm.view != after {
			vm.view = after
			vm.freshness.SetView(after)
		}
		vm.freshness.RecordStoreRead(now, vm.view.Revision())
	}
	for _, vm := range vms {
		for _, other := range vms {
			if vm != other && (!cut || vm.cut == other.cut) {
				vm.freshness.RecordHeartbeat(now, other.name, other.domain, true, other.view.Revision())
			}
		}
	}
}

// count looks at whether each VM of the cut domains may start a task now.
func (r *isolationResult) count(vms []*isolationVM, now time.Time, at time.Duration, choice windowChoice, out string, after *config.View) {
	const lateAfter = 4 * time.Second
	for _, vm := range vms {
		if !vm.cut {
			continue
		}
		r.possible++
		may, _ := vm.freshness.MayStart(now)
		if !may && !choice.unbounded || vm.domain == out && vm.view == after {
			continue
		}
		r.started++
		if vm.domain == out && r.acknowledged > 0 && at > orderAt+r.acknowledged+lateAfter {
			r.late++
		}
	}
}

// isolation prints what each choice of the window gives up.
func isolation(out *tabwriter.Writer) {
	_, _ = fmt.Fprintln(out, "3 of 7 domains cut off for 5 min\tstarts possible there\torder acknowledged after\tlate starts\t")
	choices := []windowChoice{
		{name: "(a) window 2s"},
		{name: "(b) isolated-window 30s", isolated: 30 * time.Second},
		{name: "(b) isolated-window 10m", isolated: 10 * time.Minute},
		{name: "(c) start without bound", unbounded: true},
	}
	for choice := range slices.Values(choices) {
		r := isolate(choice)
		_, _ = fmt.Fprintf(out, "%s\t%.1f%%\t%s\t%d\t\n",
			choice.name, 100*float64(r.started)/float64(r.possible), acknowledgement(r), r.late)
	}
}

func acknowledgement(r isolationResult) string {
	if r.acknowledged == 0 {
		return "not within the experiment"
	}
	return r.acknowledged.String()
}
