package config

import (
	"maps"
	"slices"
	"time"

	"clementinepier/job"
)

// DefaultWindow is the freshness window of settings that name none.
const DefaultWindow = 2 * time.Second

// maxPending bounds the observations of one source that name revisions the view does not cover yet. With a heartbeat
// every 500 ms it is several times the number that can still matter when the view is raised.
const maxPending = 16

// storeSource names the store among the sources of observations; no VM has an empty name.
const storeSource = ""

// Freshness decides whether the view of one entry VM is recent enough to start tasks. It is not safe for concurrent
// use. All times are those of this VM's own monotonic clock. Every entry VM must have the same windows.
type Freshness struct {
	// Window is how long an observation allows starts; 0 means DefaultWindow.
	Window time.Duration
	// IsolatedWindow replaces Window while this VM is registered, if it is longer. Rollouts need the same value.
	IsolatedWindow time.Duration
	// FailureDomain is the one this VM is in.
	FailureDomain string

	registered bool
	view       Revision
	domains    []string
	sources    map[string]*source
}

// source has the observations made of the store or of one VM.
type source struct {
	domain string
	// counted is the latest send time of an observation that the view covers.
	counted time.Time
	pending []observation
}

type observation struct {
	sent     time.Time
	revision Revision
}

// RecordStoreRead records that a read of the store, sent at the time given, returned a document with the revision. Call it
// only if IsCompleteMerge holds for the error of Merge, or else the revision says less than the document.
func (f *Freshness) RecordStoreRead(sent time.Time, r Revision) { f.observe(storeSource, "", sent, r) }

// RecordHeartbeat records that vm answered a heartbeat that this VM sent at the time given, and what the answer said.
// Answers of VMs that are not registered count for nothing, because no acknowledgement waits for those VMs.
func (f *Freshness) RecordHeartbeat(sent time.Time, vm, domain string, registered bool, r Revision) {
	if vm != storeSource && registered {
		f.observe(vm, domain, sent, r)
	}
}

// SetRegistered records whether this VM is registered. It is registered once a store read that was sent after its
// registration was written is joined into its view, and no longer so before it sends the removal of its registration.
// Every registration must write the key, also if it exists, so that a delayed removal of an earlier boot fails.
func (f *Freshness) SetRegistered(registered bool) { f.registered = registered }

// SetView records the view. Observations that named a revision which the view now covers start to count. Only the
// view's latest whole document counts here: a newer bundle that came without the orders accepted before it would have
// this VM count a majority of failure domains that none of those orders had to reach.
func (f *Freshness) SetView(v *View) {
	f.view, f.domains = v.whole.revision, domainNames(v.whole.bundle)
	for _, s := range f.sources {
		s.pending = slices.DeleteFunc(s.pending, func(o observation) bool { return f.count(s, o) })
	}
}

// MayStart reports whether tasks may start at the time given, and the code to refuse with otherwise.
func (f *Freshness) MayStart(now time.Time) (bool, job.Code) {
	if f.view.Bundle == 0 {
		return false, job.CodeNoConfiguration
	}
	fresh, ok := f.FreshAt()
	if !ok || now.Sub(fresh) >= f.window() {
		return false, job.CodeViewNotFresh
	}
	return true, job.CodeOK
}

// FreshAt returns the time at which the view was last known to include every acknowledged change.
func (f *Freshness) FreshAt() (time.Time, bool) {
	fresh := f.majorityAt()
	if s := f.sources[storeSource]; s != nil && s.counted.After(fresh) {
		fresh = s.counted
	}
	return fresh, !fresh.IsZero()
}

// Forget drops what was observed of a VM that is gone, to bound the memory. It makes the view no fresher.
func (f *Freshness) Forget(vm string) {
	if vm != storeSource {
		delete(f.sources, vm)
	}
}

func (f *Freshness) window() time.Duration {
	window, isolated := windows(f.Window, f.IsolatedWindow)
	if !f.registered {
		// No acknowledgement waits for a VM that is not registered, so only the short window is safe.
		return window
	}
	return isolated
}

// windows returns the window and the isolated window that settings amount to.
func windows(window, isolated time.Duration) (time.Duration, time.Duration) {
	if window <= 0 {
		window = DefaultWindow
	}
	return window, max(window, isolated)
}

// majorityAt returns the latest time from which on a majority of failure domains, the own one included, was observed.
func (f *Freshness) majorityAt() time.Time {
	if !f.registered || !slices.Contains(f.domains, f.FailureDomain) {
		return time.Time{}
	}
	latest := make(map[string]time.Time, len(f.domains))
	for _, s := range f.sources {
		if s.domain != f.FailureDomain && s.counted.After(latest[s.domain]) {
			latest[s.domain] = s.counted
		}
	}
	var times []time.Time
	for _, domain := range f.domains {
		if at := latest[domain]; !at.IsZero() {
			times = append(times, at)
		}
	}
	others := majority(len(f.domains)) - 1
	switch {
	case others == 0:
		// The own domain is a majority: every acknowledgement waits for this VM, so its view is always fresh.
		return endOfTime
	case len(times) < others:
		return time.Time{}
	}
	slices.SortFunc(times, func(a, b time.Time) int { return b.Compare(a) })
	return times[others-1]
}

// endOfTime is later than any time that a VM observes.
var endOfTime = time.Date(9999, 1, 1, 0, 0, 0, 0, time.UTC)

// majority is more than half of n.
func majority(n int) int { return n/2 + 1 }

func (f *Freshness) observe(name, domain string, sent time.Time, r Revision) {
	if f.sources == nil {
		f.sources = map[string]*source{}
	}
	s := f.sources[name]
	if s == nil || s.domain != domain {
		s = &source{domain: domain}
		f.sources[name] = s
	}
	o := observation{sent: sent, revision: r.Clone()}
	if f.count(s, o) {
		return
	}
	s.pending = append(s.pending, o)
	if len(s.pending) > maxPending {
		oldest := 0
		for i := range s.pending {
			if s.pending[i].sent.Before(s.pending[oldest].sent) {
				oldest = i
			}
		}
		s.pending = slices.Delete(s.pending, oldest, oldest+1)
	}
}

// count lets the observation count if the view covers it.
func (f *Freshness) count(s *source, o observation) bool {
	if !f.view.Covers(o.revision) {
		return false
	}
	if o.sent.After(s.counted) {
		s.counted = o.sent
	}
	return true
}

// Sources returns the names of the VMs with observations, sorted, so that the caller can forget those that are gone.
func (f *Freshness) Sources() []string {
	names := slices.Sorted(maps.Keys(f.sources))
	return slices.DeleteFunc(names, func(name string) bool { return name == storeSource })
}
