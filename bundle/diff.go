package bundle

import (
	"fmt"
	"maps"
	"slices"
)

// Diff returns the differences between two bundles, one line per value: "+" added, "-" removed, "~" changed. A nil bundle
// is treated as empty.
func Diff(before, after *Bundle) []string {
	beforeValues, afterValues := before.flatten(), after.flatten()
	keys := map[string]bool{}
	for _, side := range []map[string]string{beforeValues, afterValues} {
		for key := range side {
			keys[key] = true
		}
	}
	var lines []string
	for _, key := range slices.Sorted(maps.Keys(keys)) {
		oldValue, inBefore := beforeValues[key]
		newValue, inAfter := afterValues[key]
		switch {
		case !inBefore:
			lines = append(lines, fmt.Sprintf("+ %s = %s", key, newValue))
		case !inAfter:
			lines = append(lines, fmt.Sprintf("- %s = %s", key, oldValue))
		case oldValue != newValue:
			lines = append(lines, fmt.Sprintf("~ %s: %s -> %s", key, oldValue, newValue))
		}
	}
	return lines
}

// flatten returns the values of the bundle as text by key. The key of a list entry contains the entry's name.
func (b *Bundle) flatten() map[string]string {
	v := map[string]string{}
	if b == nil {
		return v
	}
	set := func(value any, format string, args ...any) { v[fmt.Sprintf(format, args...)] = fmt.Sprint(value) }
	set(b.Revision, "revision")
	set(b.ReclaimBound, "reclaim-bound")
	for _, o := range b.Organisations {
		set(o.TokenDigest, "organisations.%s.token-digest", o.Name)
		set(o.Weight, "organisations.%s.weight", o.Name)
		for _, g := range o.Guarantees {
			shape := fmt.Sprintf("%d x (%d tasks, %d accelerators, %d slots)", g.Count, g.Shape.Tasks, g.Shape.Accelerators, g.Shape.Slots)
			set(shape, "organisations.%s.guarantees.%s", o.Name, g.Name)
		}
		for _, l := range o.Limits {
			set(fmt.Sprintf("%v requests per second, %d running", l.RequestsPerSecond, l.Running), "organisations.%s.limits.%s", o.Name, l.Service)
		}
	}
	for _, d := range b.FailureDomains {
		set(d.Region, "failure-domains.%s.region", d.Name)
		for _, r := range d.Racks {
			rack := fmt.Sprintf("%d workers with %d slots, %d accelerators", r.Workers, r.Slots, r.Accelerators)
			set(rack, "failure-domains.%s.racks.%s", d.Name, r.Name)
		}
	}
	for _, s := range b.Services {
		service := fmt.Sprintf("timeout %s, at most %s, payload at most %d bytes", s.DefaultTimeout, s.MaxTimeout, s.MaxPayload)
		set(service, "services.%s", s.Name)
	}
	return v
}
