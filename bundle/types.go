// Package bundle has the operators' configuration.
package bundle

import "clementinepier/job"

// Bundle is one revision of the configuration.
type Bundle struct {
	Revision       uint64
	ReclaimBound   job.Duration
	Organisations  []Organisation
	FailureDomains []FailureDomain
	Services       []Service
}

// Organisation is a tenant with its guarantees and limits.
type Organisation struct {
	Name        string
	TokenDigest string
	Weight      int
	Guarantees  []Guarantee
	Limits      []Limit
}

// Guarantee is a number of instances of one shape.
type Guarantee struct {
	Name  string
	Shape job.Shape
	Count int
}

// Limit bounds one organisation's use of a service.
type Limit struct {
	Service           string
	RequestsPerSecond float64
	Running           int
}

// FailureDomain is a zone with racks.
type FailureDomain struct {
	Name   string
	Region string
	Racks  []Rack
}

// Rack is a number of equal workers; slots and accelerators are per worker.
type Rack struct {
	Name         string
	Workers      int
	Slots        int
	Accelerators int
}

// Service is a kind of work that callers ask for.
type Service struct {
	Name           string
	DefaultTimeout job.Duration
	MaxTimeout     job.Duration
	MaxPayload     int
}
