package config

import (
	"maps"
	"slices"
	"time"

	"clementinepier/job"
)

// DefaultWindow is the default freshness window.
const DefaultWindow = 2 * time.Second

// maxPending bounds the observations of one source whose revisions the view does not cover yet. With a heartbeat every
// 500 ms it is several times the number that can still count when the view is updated.
const maxPending = 16

// storeSource is the key of the store among the sources of observations; no VM has an empty name.
const storeSource = ""

// Freshness decides whether the view of one entry VM is recent enough to start tasks. It is not safe for concurrent
// use. All times are those of this VM's own monotonic clock. Every entry VM must have the same windows.
type Freshness struct {
	// Window is how long tasks may start after an observation was sent; 0 means DefaultWindow.
	Window time.Duration
	// IsolatedWindow replaces Window while this VM is registered, if it is longer. Rollouts need the same value.
	IsolatedWindow time.Duration
	// FailureDomain is the failure domain of this VM.
	FailureDomain string

	registered bool
	view       Revision
	domains    []string
	sources    map[string]*source
}

// source has the observations of the store or of one VM.
type source struct {
	domain string
	// latestCounted is the latest send time of an observation that the view covers.
	latestCounted time.Time
	pending       []observation
}

// observation is a read of the store or a heartbeat that was answered with a revision.
type observation struct {
	sent     time.Time
	revision Revision
}

// RecordStoreRead records that a read of the store, sent at the time given, returned a document with the revision. Call it
// only if IsCompleteMerge holds for the error of Merge; otherwise the document may have changes that the revision lacks.
func (f *Freshness) RecordStoreRead(sent time.Time, r Revision) { f.observe(storeSource, "", sent, r) }

// RecordHeartbeat records the answer of vm to a heartbeat that this VM sent at the time given. Answers of VMs that are not
// registered are ignored, because no acknowledgement waits for those VMs.
func (f *Freshness) RecordHeartbeat(sent time.Time, vm, domain string, registered bool, r Revision) {
	if vm != storeSource && registered {
		f.observe(vm, domain, sent, r)
	}
}

// SetRegistered records whether this VM is registered. The caller sets it once a store read that was sent after the
// registration was written is merged into the view, and clears it before it sends the removal of the registration. Every
// registration must write the key, even if it exists, so that a delayed removal of an earlier boot fails.
func (f *Freshness) SetRegistered(registered bool) { f.registered = registered }

// SetView records the view. Pending observations whose revision the view now covers start to count. Only the latest
// complete document of the view is used: with a newer bundle that came without the orders accepted before it, this VM
// would count a majority of failure domains that those orders did not have to reach.
func (f *Freshness) SetView(v *View) {
	f.view, f.domains = v.complete.revision, domainNames(v.complete.bundle)
	for _, s := range f.sources {
		s.pending = slices.DeleteFunc(s.pending, func(o observation) bool { return f.countIfCovered(s, o) })
	}
}

// MayStart reports whether tasks may start at the time given, and otherwise the code with which to reject starts.
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
	if s := f.sources[storeSource]; s != nil && s.latestCounted.After(fresh) {
		fresh = s.latestCounted
	}
	return fresh, !fresh.IsZero()
}

// Forget drops the observations of a VM that is gone, to bound memory. It never makes the view fresher.
func (f *Freshness) Forget(vm string) {
	if vm != storeSource {
		delete(f.sources, vm)
	}
}

// window returns how long tasks may start after FreshAt.
func (f *Freshness) window() time.Duration {
	window, isolated := effectiveWindows(f.Window, f.IsolatedWindow)
	if !f.registered {
		// No acknowledgement waits for a VM that is not registered, so only the short window is safe.
		return window
	}
	return isolated
}

// effectiveWindows applies the default to the window, and returns an isolated window that is at least as long.
func effectiveWindows(window, isolated time.Duration) (time.Duration, time.Duration) {
	if window <= 0 {
		window = DefaultWindow
	}
	return window, max(window, isolated)
}

// majorityAt returns the latest time such that enough other failure domains to form a majority with the own one have an
// observation sent then or later; zero if there is none.
func (f *Freshness) majorityAt() time.Time {
	if !f.registered || !slices.Contains(f.domains, f.FailureDomain) {
		return time.Time{}
	}
	latest := make(map[string]time.Time, len(f.domains))
	for _, s := range f.sources {
		if s.domain != f.FailureDomain && s.latestCounted.After(latest[s.domain]) {
			latest[s.domain] = s.latestCounted
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
		// The own failure domain alone is a majority: every acknowledgement waits for this VM, so its view is always fresh.
		return farFuture
	case len(times) < others:
		return time.Time{}
	}
	slices.SortFunc(times, func(a, b time.Time) int { return b.Compare(a) })
	return times[others-1]
}

// farFuture is later than any time of an observation.
var farFuture = time.Date(9999, 1, 1, 0, 0, 0, 0, time.UTC)

// majority returns the smallest number that is more than half of n.
func majority(n int) int { return n/2 + 1 }

// observe counts an observation, or keeps it pending if the view does not cover its revision. Beyond maxPending the oldest
// pending observation is dropped.
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
	if f.countIfCovered(s, o) {
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

// countIfCovered counts the observation if the view covers its revision, and reports whether it did.
func (f *Freshness) countIfCovered(s *source, o observation) bool {
	if !f.view.Covers(o.revision) {
		return false
	}
	if o.sent.After(s.latestCounted) {
		s.latestCounted = o.sent
	}
	return true
}

// Sources returns the names of the VMs with observations, sorted, so that the caller can forget those that are gone.
func (f *Freshness) Sources() []string {
	names := slices.Sorted(maps.Keys(f.sources))
	return slices.DeleteFunc(names, func(name string) bool { return name == storeSource })
}
