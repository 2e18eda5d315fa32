package board

import (
	"time"

	"clementinepier/breaker"
	"clementinepier/config"
	"clementinepier/job"
	"clementinepier/kvstore"
	"clementinepier/membership"
	"clementinepier/peer"
	"clementinepier/placement"
	"clementinepier/queue"
	"clementinepier/quota"
)

// State has the data that the controllers of one entry VM share. Only changes that the board applies may access it.
type State struct {
	Self    peer.Identity
	Address string

	// View is never nil; its bundle is nil until a configuration is known. Its revision never decreases.
	View      *config.View
	Freshness *config.Freshness
	// Registered is true while this VM's registration is in the store and View includes a store read sent after it was written.
	Registered bool
	// Registrations are the registered entry VMs according to the latest read of the store.
	Registrations []config.Registration

	Members   *membership.Table
	Ownership *membership.Ownership
	// Reports has the latest report of every other entry VM by its name.
	Reports map[string]Report

	// Workers has the workers of this failure domain by name, from the platform's list.
	Workers map[string]kvstore.VM
	// LeavingWorkers has the workers that are leaving according to the platform's list or an operator.
	LeavingWorkers map[string]bool
	// OwnedRacks has the racks that this VM owns.
	OwnedRacks map[string]bool
	Cluster    *placement.Cluster
	Queue      *queue.Queue
	Breaker    *breaker.Breaker
	Retries    *breaker.RetryBudget
	Quota      *quota.Splitter
	// Demands are this VM's demands as last reported to Quota.
	Demands []Demand
	// ReturnedToServiceAt is when this failure domain last returned to service in this VM's view.
	ReturnedToServiceAt time.Time
	// Draining is true once a shutdown of the process was requested.
	Draining bool
}

// Report is the state that an entry VM reports in its heartbeats.
type Report struct {
	Identity peer.Identity `cbor:"1,keyasint"`
	// Address is where the VM accepts links from other entry VMs.
	Address    string          `cbor:"2,keyasint"`
	Registered bool            `cbor:"3,keyasint"`
	Leaving    bool            `cbor:"4,keyasint"`
	Revision   config.Revision `cbor:"5,keyasint"`
	// MayStart is true while the VM may start tasks.
	MayStart bool `cbor:"6,keyasint"`
	// Racks summarises the racks that the VM owns.
	Racks  []placement.RackSummary `cbor:"7,keyasint"`
	Queued int                     `cbor:"8,keyasint"`
	// Demands is the VM's demand for shares of the service limits.
	Demands []Demand `cbor:"9,keyasint,omitempty"`
	// ViewAge is the time since the VM's view was last known to be current; nil means never.
	ViewAge *job.Duration `cbor:"10,keyasint,omitempty"`
}

// Demand is a VM's demand for a share of one service limit, that of an organisation for a service.
type Demand struct {
	Organisation string       `cbor:"1,keyasint"`
	Service      string       `cbor:"2,keyasint"`
	Demand       quota.Demand `cbor:"3,keyasint"`
}
