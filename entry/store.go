package entry

import (
	"context"
	"time"

	"clementinepier/kvstore"
	"clementinepier/metrics"
)

// countStoreCalls returns a store that counts the calls by kind, and those without a usable reply.
func countStoreCalls(s kvstore.Store, m *metrics.Set) kvstore.Store {
	count := func(kind metrics.Name, err error) {
		m.Add(kind, 1)
		if kvstore.IsErrUnavailable(err) {
			m.Add(metrics.StoreErrors, 1)
		}
	}
	return kvstore.Store{
		Get: func(ctx context.Context, key string) (kvstore.Entry, error) {
			entry, err := s.Get(ctx, key)
			count(metrics.StoreGets, err)
			return entry, err
		},
		List: func(ctx context.Context, prefix string) ([]kvstore.Entry, error) {
			entries, err := s.List(ctx, prefix)
			count(metrics.StoreLists, err)
			return entries, err
		},
		CompareAndSwap: func(ctx context.Context, key string, value []byte, version uint64) (uint64, error) {
			written, err := s.CompareAndSwap(ctx, key, value, version)
			count(metrics.StoreSwaps, err)
			return written, err
		},
		Delete: func(ctx context.Context, key string, version uint64) error {
			err := s.Delete(ctx, key, version)
			count(metrics.StoreDeletes, err)
			return err
		},
		Watch: func(ctx context.Context, key string, after uint64, wait time.Duration) (kvstore.Entry, error) {
			entry, err := s.Watch(ctx, key, after, wait)
			count(metrics.StoreWatches, err)
			return entry, err
		},
	}
}

// countDirectoryCalls returns a directory that counts the calls, and those without a usable reply.
func countDirectoryCalls(d kvstore.Directory, m *metrics.Set) kvstore.Directory {
	return kvstore.Directory{VMs: func(ctx context.Context) ([]kvstore.VM, error) {
		list, err := d.VMs(ctx)
		m.Add(metrics.VMLists, 1)
		if kvstore.IsErrUnavailable(err) {
			m.Add(metrics.StoreErrors, 1)
		}
		return list, err
	}}
}
