// Package kvstore is the only place that knows how to talk to the platform: its key-value service and its list of VMs.
package kvstore

import (
	"context"
	"time"
)

// MaxValueSize is the largest value that the key-value service holds, in bytes.
const MaxValueSize = 1_000_000

// Entry is one key with its value.
type Entry struct {
	Key   string `json:"key"`
	Value []byte `json:"value"`
	// Version is 0 for a key that does not exist and grows with every write of the key.
	Version uint64 `json:"version"`
}

// Store calls the key-value service. Its fields are the calls: NewStore sets them to HTTP, tests set fakes.
// Every call returns an *ErrUnavailable when the service gave no usable reply.
type Store struct {
	// Get returns the entry; a key that does not exist has version 0.
	Get func(ctx context.Context, key string) (Entry, error)
	// List returns the entries whose keys start with prefix, in key order.
	List func(ctx context.Context, prefix string) ([]Entry, error)
	// CompareAndSwap writes value if the key's version is the one given (0: the key must not exist) and
	// returns the new version. It returns *ErrVersionDiffers when another version is there, and
	// *ErrUnavailable when the reply was lost; the write may then have taken effect.
	CompareAndSwap func(ctx context.Context, key string, value []byte, version uint64) (uint64, error)
	// Delete removes the key if its version is the one given.
	Delete func(ctx context.Context, key string, version uint64) error
	// Watch returns when the key's version differs from after, or the current entry when wait has passed.
	Watch func(ctx context.Context, key string, after uint64, wait time.Duration) (Entry, error)
}

// VMKind tells entry VMs from workers.
type VMKind string

// The kinds of VM in the platform's list.
const (
	KindEntry  VMKind = "entry"
	KindWorker VMKind = "worker"
)

// VM is one row of the platform's list. The list lags behind what happens.
type VM struct {
	Name          string `json:"name"`
	Kind          VMKind `json:"kind"`
	FailureDomain string `json:"failure-domain"`
	// Rack is set for workers.
	Rack string `json:"rack,omitempty"`
	// Address is the IP number and port that the VM serves on.
	Address string `json:"address"`
	Leaving bool   `json:"leaving"`
}

// Directory calls the platform's list of VMs.
type Directory struct {
	// VMs returns the whole list.
	VMs func(ctx context.Context) ([]VM, error)
}
