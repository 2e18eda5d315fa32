// Package message defines the HTTP bodies of /api/v1, which the server and the command line share. All are JSON with
// kebab-case keys.
package message

import (
	"net/url"
	"time"

	"clementinepier/bundle"
	"clementinepier/job"
)

// The paths of the HTTP interface.
const (
	PathBundle   = "/api/v1/bundle"
	PathConfig   = "/api/v1/config"
	PathStatus   = "/api/v1/status"
	PathRequests = "/api/v1/requests"
)

// OrderPath returns the path to which orders for a failure domain are sent.
func OrderPath(domain string) string { return "/api/v1/domains/" + url.PathEscape(domain) + "/order" }

// ChangePath returns the path of one change.
func ChangePath(changeID string) string { return "/api/v1/changes/" + url.PathEscape(changeID) }

// RequestPath returns the path of one request.
func RequestPath(id string) string { return PathRequests + "/" + url.PathEscape(id) }

// Error is the body of every error response.
type Error struct {
	Code job.Code `json:"code"`
	// Detail is a message for people; programs use Code.
	Detail string `json:"detail"`
	// Revision and ChangeID identify the change that was accepted instead; they are set with revision-conflict.
	Revision uint64 `json:"revision,omitempty"`
	ChangeID string `json:"change-id,omitempty"`
	// Faults lists the faults of a bundle; it is set with bundle-invalid.
	Faults []bundle.Fault `json:"faults,omitempty"`
}

// BundleChange requests the rollout of a bundle (POST PathBundle). A retry carries the same change id.
type BundleChange struct {
	bundle.Signed
	ChangeID string `json:"change-id"`
	// BasedOn is the revision that Config reported when the change was prepared.
	BasedOn uint64 `json:"based-on"`
}

// Accepted is the response to an accepted change and to each retry of it.
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
	// ChangeID is the id of the last accepted change.
	ChangeID       string `json:"change-id"`
	BundleRevision uint64 `json:"bundle-revision"`
	// Orders maps a failure domain to its latest order. A failure domain without an order is in service.
	Orders map[string]DomainOrder `json:"orders"`
	// FailureDomains lists the names of all failure domains of the bundle, sorted.
	FailureDomains []string `json:"failure-domains"`
	// Bundle is the signed bundle in force, if any. It contains token digests, so it is returned to signed calls only.
	Bundle *bundle.Signed `json:"bundle,omitempty"`
}

// Change is the progress of one change (GET ChangePath).
type Change struct {
	ChangeID string `json:"change-id"`
	// Acknowledged means that no entry VM starts a task that violates the change any more; see docs/design.md, 6.6.
	Acknowledged bool `json:"acknowledged"`
	// AcknowledgedAt is when the queried entry VM first observed this; the change may have been in force earlier.
	AcknowledgedAt    time.Time `json:"acknowledged-at,omitzero"`
	InForceEverywhere bool      `json:"in-force-everywhere"`
	Revision          uint64    `json:"revision"`
	// FailureDomains maps a failure domain to its progress.
	FailureDomains map[string]DomainProgress `json:"failure-domains"`
}

// DomainProgress lists which entry VMs of a failure domain have confirmed a change and which have not.
type DomainProgress struct {
	Confirmed []string    `json:"confirmed"`
	Missing   []MissingVM `json:"missing"`
}

// MissingVM is an entry VM that has not confirmed a change.
type MissingVM struct {
	Name string `json:"name"`
	// Since is the time of the last contact with the entry VM, or the time of the change if that is later.
	Since time.Time `json:"since"`
}

// RequestState is the state of a request.
type RequestState string

// The states of a request.
const (
	RequestWaiting RequestState = "waiting"
	RequestRunning RequestState = "running"
	RequestEnded   RequestState = "ended"
)

// Request is the status of a request (GET RequestPath).
type Request struct {
	Key   job.Key      `json:"key"`
	State RequestState `json:"state"`
	// Durable means that the request continues even if the entry VM that accepted it is lost. Otherwise the caller
	// should retry with the same id if no entry VM knows the request.
	Durable bool `json:"durable,omitempty"`
	// Outcome is set when State is RequestEnded.
	Outcome *job.Outcome `json:"outcome,omitempty"`
}

// Cancelled is the response to a cancellation (DELETE RequestPath).
type Cancelled struct {
	// StoppedBeforeStart means that the request has not run and will not.
	StoppedBeforeStart bool `json:"stopped-before-start"`
}

// Status is the state of one entry VM (GET PathStatus).
type Status struct {
	Name          string `json:"name"`
	FailureDomain string `json:"failure-domain"`
	Revision      uint64 `json:"revision"`
	// MayStart reports whether the entry VM may start tasks; if not, Reason is why.
	MayStart bool     `json:"may-start"`
	Reason   job.Code `json:"reason,omitempty"`
	Stopping bool     `json:"stopping"`
	// StoreReachable reports whether the last call to the key-value service got a reply.
	StoreReachable bool     `json:"store-reachable"`
	Waiting        int      `json:"waiting"`
	Running        int      `json:"running"`
	Members        []Member `json:"members"`
	// Racks lists every rack of the bundle, in the order of the bundle.
	Racks []Rack `json:"racks"`
	// Organisations lists every organisation of the bundle, in the order of the bundle.
	Organisations []Organisation `json:"organisations"`
}

// Rack is the state of a rack as last reported by its owner.
type Rack struct {
	Name          string `json:"name"`
	FailureDomain string `json:"failure-domain"`
	// Owner is the live entry VM that owns the rack. If none is known, it is empty and the numbers are 0.
	Owner            string `json:"owner,omitempty"`
	FreeAccelerators int    `json:"free-accelerators"`
	LargestBlock     int    `json:"largest-block"`
	FreeSlots        int    `json:"free-slots"`
}

// Organisation reports how the guarantees of an organisation are used.
type Organisation struct {
	Name string `json:"name"`
	// Guaranteed is the capacity that the bundle guarantees.
	Guaranteed Capacity `json:"guaranteed"`
	// InUse is the part that the organisation uses itself. Lent is the part that tasks of other organisations occupy.
	InUse Capacity `json:"in-use"`
	Lent  Capacity `json:"lent"`
	// Owed is the part that cannot be provided now: it is anchored in no rack, or in one that no live entry VM owns.
	Owed Capacity `json:"owed"`
}

// Capacity is a number of accelerators and of slots.
type Capacity struct {
	Accelerators int `json:"accelerators"`
	Slots        int `json:"slots"`
}

// Member is the state of an entry VM as another entry VM observes it.
type Member struct {
	Name          string `json:"name"`
	FailureDomain string `json:"failure-domain"`
	Live          bool   `json:"live"`
	Leaving       bool   `json:"leaving"`
	// LastContact is the zero time for an entry VM that the platform lists but that has never been in contact.
	LastContact time.Time `json:"last-heard"`
	// BundleRevision and Revision are those of its last heartbeat; they are 0 until one is received.
	BundleRevision uint64 `json:"bundle-revision"`
	Revision       uint64 `json:"revision"`
	// ViewAge is the time, at its last heartbeat, since its view was last confirmed as current; null means never confirmed.
	ViewAge *job.Duration `json:"view-age"`
}
