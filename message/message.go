// Package message has the HTTP bodies of /api/v1 that the server and the command line share. All are JSON with
// kebab-case keys.
package message

import (
	"net/url"
	"time"

	"clementinepier/bundle"
	"clementinepier/job"
)

// The paths of the interface.
const (
	PathBundle   = "/api/v1/bundle"
	PathConfig   = "/api/v1/config"
	PathStatus   = "/api/v1/status"
	PathRequests = "/api/v1/requests"
)

// OrderPath returns the path that takes orders for a failure domain.
func OrderPath(domain string) string { return "/api/v1/domains/" + url.PathEscape(domain) + "/order" }

// ChangePath returns the path of one change.
func ChangePath(changeID string) string { return "/api/v1/changes/" + url.PathEscape(changeID) }

// RequestPath returns the path of one request.
func RequestPath(id string) string { return PathRequests + "/" + url.PathEscape(id) }

// Error is the body of every reply that reports an error.
type Error struct {
	Code job.Code `json:"code"`
	// Detail is a sentence for people; programs use Code.
	Detail string `json:"detail"`
	// Revision and ChangeID name the change that won; they are set with revision-conflict.
	Revision uint64 `json:"revision,omitempty"`
	ChangeID string `json:"change-id,omitempty"`
	// Faults lists what is wrong with a bundle; it is set with bundle-invalid.
	Faults []bundle.Fault `json:"faults,omitempty"`
}

// BundleChange asks for a bundle to be rolled out (POST PathBundle). A retry carries the same change id.
type BundleChange struct {
	bundle.Signed
	ChangeID string `json:"change-id"`
	// BasedOn is the revision that Config reported when the change was prepared.
	BasedOn uint64 `json:"based-on"`
}

// Accepted is the reply to a change that was accepted, also to a retry of it.
type Accepted struct {
	ChangeID string `json:"change-id"`
	Revision uint64 `json:"revision"`
}

// DomainOrder is the latest order for a failure domain.
type DomainOrder struct {
	State    bundle.OrderState `json:"state"`
	Sequence uint64            `json:"sequence"`
}

// Config is the configuration in force as one entry VM knows it (GET PathConfig).
type Config struct {
	Revision uint64 `json:"revision"`
	// ChangeID is the last change that was accepted.
	ChangeID       string `json:"change-id"`
	BundleRevision uint64 `json:"bundle-revision"`
	// Orders is by failure domain. A failure domain without an order is in service.
	Orders map[string]DomainOrder `json:"orders"`
	// FailureDomains has the names of all failure domains of the bundle, sorted.
	FailureDomains []string `json:"failure-domains"`
	// Bundle is the signed bundle in force, if there is one. It holds token digests, so only signed calls get it.
	Bundle *bundle.Signed `json:"bundle,omitempty"`
}

// Change is the progress of one change (GET ChangePath).
type Change struct {
	ChangeID string `json:"change-id"`
	// Acknowledged means that no entry VM starts a task against the change any more; see docs/design.md, 6.6.
	Acknowledged bool `json:"acknowledged"`
	// AcknowledgedAt is when the entry VM that was asked first saw that; the change may have been in force before.
	AcknowledgedAt    time.Time `json:"acknowledged-at,omitzero"`
	InForceEverywhere bool      `json:"in-force-everywhere"`
	Revision          uint64    `json:"revision"`
	// FailureDomains is by failure domain.
	FailureDomains map[string]DomainProgress `json:"failure-domains"`
}

// DomainProgress tells which entry VMs of a failure domain have confirmed a change.
type DomainProgress struct {
	Confirmed []string    `json:"confirmed"`
	Missing   []MissingVM `json:"missing"`
}

// MissingVM is an entry VM that has not confirmed a change.
type MissingVM struct {
	Name string `json:"name"`
	// Since is when the entry VM was last heard from, or when the change was made if that is later.
	Since time.Time `json:"since"`
}

// RequestState is where a request is.
type RequestState string

// The states of a request.
const (
	RequestWaiting RequestState = "waiting"
	RequestRunning RequestState = "running"
	RequestEnded   RequestState = "ended"
)

// Request is what is known about a request (GET RequestPath).
type Request struct {
	Key   job.Key      `json:"key"`
	State RequestState `json:"state"`
	// Durable means that the request goes on even if the entry VM that took it is lost. Otherwise the caller should
	// send it again with the same id when it finds that no entry VM has it.
	Durable bool `json:"durable,omitempty"`
	// Outcome is set when State is RequestEnded.
	Outcome *job.Outcome `json:"outcome,omitempty"`
}

// Cancelled is the reply to a cancellation (DELETE RequestPath).
type Cancelled struct {
	// StoppedBeforeStart means that the request has not run and will not.
	StoppedBeforeStart bool `json:"stopped-before-start"`
}

// Status is the state of one entry VM (GET PathStatus).
type Status struct {
	Name          string `json:"name"`
	FailureDomain string `json:"failure-domain"`
	Revision      uint64 `json:"revision"`
	// MayStart tells whether the entry VM may start tasks; Reason is why not.
	MayStart bool     `json:"may-start"`
	Reason   job.Code `json:"reason,omitempty"`
	Stopping bool     `json:"stopping"`
	// StoreReachable tells whether the last call to the key-value service brought a reply.
	StoreReachable bool     `json:"store-reachable"`
	Waiting        int      `json:"waiting"`
	Running        int      `json:"running"`
	Members        []Member `json:"members"`
	// Racks has every rack of the bundle, in its order.
	Racks []Rack `json:"racks"`
	// Organisations has every organisation of the bundle, in its order.
	Organisations []Organisation `json:"organisations"`
}

// Rack is a rack as its owner last described it.
type Rack struct {
	Name          string `json:"name"`
	FailureDomain string `json:"failure-domain"`
	// Owner is the live entry VM that owns the rack; it is empty, and the numbers are 0, when none is known.
	Owner            string `json:"owner,omitempty"`
	FreeAccelerators int    `json:"free-accelerators"`
	LargestBlock     int    `json:"largest-block"`
	FreeSlots        int    `json:"free-slots"`
}

// Organisation tells what an organisation has of its guarantees.
type Organisation struct {
	Name string `json:"name"`
	// Guaranteed is what the bundle guarantees.
	Guaranteed Capacity `json:"guaranteed"`
	// InUse is the part that the organisation uses itself, and Lent the part that tasks of others hold now.
	InUse Capacity `json:"in-use"`
	Lent  Capacity `json:"lent"`
	// Owed is the part that has no place now: it is anchored nowhere, or in a rack that no live entry VM owns.
	Owed Capacity `json:"owed"`
}

// Capacity is a number of accelerators and of slots.
type Capacity struct {
	Accelerators int `json:"accelerators"`
	Slots        int `json:"slots"`
}

// Member is an entry VM as another one sees it.
type Member struct {
	Name          string `json:"name"`
	FailureDomain string `json:"failure-domain"`
	Live          bool   `json:"live"`
	Leaving       bool   `json:"leaving"`
	// LastContact is the zero time for an entry VM that the platform lists but that was never heard from.
	LastContact time.Time `json:"last-heard"`
	// BundleRevision and Revision are what its last heartbeat said; they are 0 while none was received.
	BundleRevision uint64 `json:"bundle-revision"`
	Revision       uint64 `json:"revision"`
	// ViewAge is how long its view had not been confirmed as current at its last heartbeat; null means never confirmed.
	ViewAge *job.Duration `json:"view-age"`
}
