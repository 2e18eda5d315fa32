// Package kvstore is the client of the platform: of its key-value service and its list of VMs. No other package calls them.
package kvstore

import (
	"context"
	"time"
)

// MaxValueSize is the maximum size of a value in the key-value service, in bytes.
const MaxValueSize = 1_000_000

// Entry is a key with its value and version.
type Entry struct {
	Key   string `json:"key"`
	Value []byte `json:"value"`
	// Version is 0 for a key that does not exist and increases with every write to the key.
	Version uint64 `json:"version"`
}

// Store is the interface to the key-value service. Its fields are the calls: NewStore sets them to HTTP calls, tests to
// fakes. Every call returns an *ErrUnavailable if it received no usable reply.
type Store struct {
	// Get returns the entry; a key that does not exist has version 0.
	Get func(ctx context.Context, key string) (Entry, error)
	// List returns the entries whose keys start with prefix, in key order.
	List func(ctx context.Context, prefix string) ([]Entry, error)
	// CompareAndSwap writes value if the key has the given version (0: the key must not exist) and returns the new version.
	// It returns *ErrVersionDiffers if the key has another version, and *ErrUnavailable if the reply was lost; the write may
	// then have taken effect.
	CompareAndSwap func(ctx context.Context, key string, value []byte, version uint64) (uint64, error)
	// Delete removes the key if it has the given version.
	Delete func(ctx context.Context, key string, version uint64) error
	// Watch waits until the key's version differs from after, or until wait has passed, and returns the current entry.
	Watch func(ctx context.Context, key string, after uint64, wait time.Duration) (Entry, error)
}

// VMKind distinguishes entry VMs from workers.
type VMKind string

// The kinds of VM in the platform's list.
const (
	KindEntry  VMKind = "entry"
	KindWorker VMKind = "worker"
)

// VM is one item of the platform's list of VMs. The list may be out of date.
type VM struct {
	Name          string `json:"name"`
	Kind          VMKind `json:"kind"`
	FailureDomain string `json:"failure-domain"`
	// Rack is set for workers.
	Rack string `json:"rack,omitempty"`
	// Address is the IP address and port on which the VM serves.
	Address string `json:"address"`
	Leaving bool   `json:"leaving"`
}

// Directory is the interface to the platform's list of VMs.
type Directory struct {
	// VMs returns the complete list.
	VMs func(ctx context.Context) ([]VM, error)
}
