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

// State is what the controllers of one entry VM share. Only changes run by the board may touch it.
type State struct {
	Self    peer.Identity
	Address string

	// View is never nil; its bundle is nil until a configuration is known. It never goes back to a lower revision.
	View      *config.View
	Freshness *config.Freshness
	// Registered is true while this VM's registration is in the store and its view includes a read made after it.
	Registered bool
	// Registrations are the entry VMs that the store listed last.
	Registrations []config.Registration

	Members   *membership.Table
	Ownership *membership.Ownership
	// Reports has the last heartbeat of every other entry VM.
	Reports map[string]Report

	// Workers are the workers of this failure domain by name, from the platform's list.
	Workers map[string]kvstore.VM
	// LeavingWorkers has the workers that the platform's list or an operator says are leaving.
	LeavingWorkers map[string]bool
	// OwnedRacks has the racks that this VM owns.
	OwnedRacks map[string]bool
	Cluster    *placement.Cluster
	Queue      *queue.Queue
	Breaker    *breaker.Breaker
	Retries    *breaker.RetryBudget
	Quota      *quota.Splitter
	// Demands is this VM's latest report to Quota.
	Demands []Demand
	// ReturnedToServiceAt is when this failure domain last came back into service in this view.
	ReturnedToServiceAt time.Time
	// Draining is true once the process has been asked to stop.
	Draining bool
}

// Report is what an entry VM says of itself in a heartbeat.
type Report struct {
	Identity peer.Identity `cbor:"1,keyasint"`
	// Address is where the VM accepts links.
	Address    string          `cbor:"2,keyasint"`
	Registered bool            `cbor:"3,keyasint"`
	Leaving    bool            `cbor:"4,keyasint"`
	Revision   config.Revision `cbor:"5,keyasint"`
	// MayStart is true while the VM may start tasks.
	MayStart bool `cbor:"6,keyasint"`
	// Racks describes the racks that the VM owns.
	Racks  []placement.RackSummary `cbor:"7,keyasint"`
	Queued int                     `cbor:"8,keyasint"`
	// Demands is what the VM needs of the service limits.
	Demands []Demand `cbor:"9,keyasint,omitempty"`
	// ViewAge is how long ago the VM's view was last known to be current; nil means never.
	ViewAge *job.Duration `cbor:"10,keyasint,omitempty"`
}

// Demand is what a VM needs of one service limit.
type Demand struct {
	Organisation string       `cbor:"1,keyasint"`
	Service      string       `cbor:"2,keyasint"`
	Demand       quota.Demand `cbor:"3,keyasint"`
}
