// Package bundle implements the operators' configuration bundle: its source format, validation and signatures. It also
// implements the signed orders that take failure domains out of service and return them to service.
package bundle

import (
	"fmt"
	"time"

	"clementinepier/job"
	"clementinepier/kvstore"
)

const (
	// MaxSourceSize is the maximum size of a bundle source in bytes. The bundle and the orders share one value of the
	// key-value service; 100 kB are reserved for the signatures and for MaxFailureDomains orders.
	MaxSourceSize = kvstore.MaxValueSize - 100_000
	// MaxFailureDomains bounds the number of orders that are stored with the bundle, each below 1 kB.
	MaxFailureDomains = 100
	// DefaultReclaimBound applies when the source does not set reclaim-bound.
	DefaultReclaimBound = job.Duration(5 * time.Second)
)

// Bundle is the whole configuration that operators review, sign and roll out.
type Bundle struct {
	// Revision is at least 1 and increases with every bundle that is rolled out.
	Revision uint64 `toml:"revision" json:"revision"`
	// ReclaimBound is the maximum time until a guaranteed shape that others use is free for its organisation.
	ReclaimBound   job.Duration    `toml:"reclaim-bound" json:"reclaim-bound"`
	Organisations  []Organisation  `toml:"organisations" json:"organisations"`
	FailureDomains []FailureDomain `toml:"failure-domains" json:"failure-domains"`
	Services       []Service       `toml:"services" json:"services"`
}

// Organisation is a customer with its guarantees and limits.
type Organisation struct {
	Name string `toml:"name" json:"name"`
	// TokenDigest is the SHA-256 digest of the organisation's token, in lower-case hexadecimal.
	TokenDigest string `toml:"token-digest" json:"token-digest"`
	// Weight is the share of capacity outside guarantees, relative to the other organisations; at least 1.
	Weight     int         `toml:"weight" json:"weight"`
	Guarantees []Guarantee `toml:"guarantees" json:"guarantees"`
	Limits     []Limit     `toml:"limits" json:"limits"`
}

// Guarantee is capacity that an organisation can always reclaim: Count instances of Shape.
type Guarantee struct {
	Name  string    `toml:"name" json:"name"`
	Shape job.Shape `toml:"shape" json:"shape"`
	Count int       `toml:"count" json:"count"`
}

// Limit bounds an organisation's use of one service.
type Limit struct {
	Service           string  `toml:"service" json:"service"`
	RequestsPerSecond float64 `toml:"requests-per-second" json:"requests-per-second"`
	// Running is the number of requests that may run at the same time.
	Running int `toml:"running" json:"running"`
}

// FailureDomain is a zone whose machines may fail together and are taken out of service together.
type FailureDomain struct {
	Name   string `toml:"name" json:"name"`
	Region string `toml:"region" json:"region"`
	Racks  []Rack `toml:"racks" json:"racks"`
}

// Rack is a group of identical workers. Its name is unique across all failure domains.
type Rack struct {
	Name    string `toml:"name" json:"name"`
	Workers int    `toml:"workers" json:"workers"`
	// Slots and Accelerators are per worker; a rack without accelerators is allowed.
	Slots        int `toml:"slots" json:"slots"`
	Accelerators int `toml:"accelerators" json:"accelerators"`
}

// Service is a kind of work; every request names its service.
type Service struct {
	Name string `toml:"name" json:"name"`
	// DefaultTimeout applies to a request without a timeout; MaxTimeout bounds every timeout.
	DefaultTimeout job.Duration `toml:"default-timeout" json:"default-timeout"`
	MaxTimeout     job.Duration `toml:"max-timeout" json:"max-timeout"`
	// MaxPayload is in bytes.
	MaxPayload int `toml:"max-payload" json:"max-payload"`
}

// Fault is one error in a source.
type Fault struct {
	// Line counts from 1; it is 0 if the fault cannot be attributed to a single line.
	Line   int    `json:"line,omitempty"`
	Key    string `json:"key"`
	Reason string `json:"reason"`
}

// String returns the fault as one line of text.
func (f Fault) String() string {
	if f.Line > 0 {
		return fmt.Sprintf("line %d: %s: %s", f.Line, f.Key, f.Reason)
	}
	return f.Key + ": " + f.Reason
}

// Parse decodes a TOML source. It rejects unknown keys. Its *ErrBundleInvalid names the key of each fault and, where
// known, the line. Parse does not call Check.
func Parse(source []byte) (*Bundle, error) {
	if len(source) > MaxSourceSize {
		reason := fmt.Sprintf("has %d bytes; at most %d fit into the store with the orders", len(source), MaxSourceSize)
		return nil, &ErrBundleInvalid{Faults: []Fault{{Key: "bundle", Reason: reason}}}
	}
	b := &Bundle{ReclaimBound: DefaultReclaimBound}
	if faults := DecodeTOML(source, b); len(faults) > 0 {
		return nil, &ErrBundleInvalid{Faults: faults}
	}
	return b, nil
}

// ParseAndCheck decodes a source and checks it. The *ErrBundleInvalid lists all decoding faults or, if there are none, all
// faults that Check finds.
func ParseAndCheck(source []byte) (*Bundle, error) {
	b, err := Parse(source)
	if err != nil {
		return nil, err
	}
	if faults := b.Check(); len(faults) > 0 {
		return nil, &ErrBundleInvalid{Faults: faults}
	}
	return b, nil
}
