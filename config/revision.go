// Package config merges signed bundles and failure domain orders into one monotonic view, and decides when a view is
// fresh enough to start tasks and when a change is in force. It has no goroutines, clock or I/O: the caller passes the time
// and serialises access.
package config

import "maps"

// Revision counts the accepted changes of each part of the configuration.
type Revision struct {
	// Bundle is the revision of the bundle; 0 means that there is none.
	Bundle uint64 `cbor:"bundle" json:"bundle"`
	// Orders maps each failure domain to the sequence of its latest order; a missing one is 0.
	Orders map[string]uint64 `cbor:"orders,omitempty" json:"orders,omitempty"`
}

// Sum returns the revision that is shown to operators. Every accepted change increments it by one.
func (r Revision) Sum() uint64 {
	sum := r.Bundle
	for _, sequence := range r.Orders {
		sum += sequence
	}
	return sum
}

// Covers reports whether r includes every change that other includes.
func (r Revision) Covers(other Revision) bool {
	if r.Bundle < other.Bundle {
		return false
	}
	for domain, sequence := range other.Orders {
		if r.Orders[domain] < sequence {
			return false
		}
	}
	return true
}

// Equal reports whether r and other include the same changes.
func (r Revision) Equal(other Revision) bool { return r.Covers(other) && other.Covers(r) }

// Clone returns a copy that shares nothing with r.
func (r Revision) Clone() Revision {
	return Revision{Bundle: r.Bundle, Orders: maps.Clone(r.Orders)}
}
