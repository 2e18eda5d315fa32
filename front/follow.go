package front

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"clementinepier/engine"
	"clementinepier/metrics"
)

const (
	// documentWatchShare is how long one watch of the operators' documents waits, as a share of Bounds.ApplyTime, within
	// which a change has to be in force. A dead connection is detected when the watch ends.
	documentWatchShare = 0.75
	// documentTimeout is how much longer than its wait a watch may take. A listing may take twice as long.
	documentTimeout = 500 * time.Millisecond
	// documentRetryDelay is the delay before a failed call is retried.
	documentRetryDelay = 50 * time.Millisecond
)

// followDocuments keeps the configuration up to date with the operators' documents in the store.
func (v *VM) followDocuments(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	go func() {
		at, listed := int64(0), false
		for ctx.Err() == nil {
			var err error
			if !listed {
				at, err = v.listDocuments(ctx)
			} else {
				at, err = v.watchDocuments(ctx, at)
			}
			listed = err == nil || listed && !engine.IsErrCompacted(err)
			if err != nil {
				v.sleep(ctx, documentRetryDelay)
			}
		}
		done <- nil
	}()
	return done
}

// listDocuments reads all documents anew and returns the revision of the store to watch from.
func (v *VM) listDocuments(ctx context.Context) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, 2*documentTimeout)
	defer cancel()
	items, at, err := v.Store.List(ctx, v.OperatorPrefix)
	if err != nil {
		return 0, err
	}
	v.OperatorDocuments.Reset()
	v.applyDocuments(items)
	return at, nil
}

// watchDocuments applies the changes after a revision and returns the revision to watch from next.
func (v *VM) watchDocuments(ctx context.Context, after int64) (int64, error) {
	wait := time.Duration(documentWatchShare * float64(v.Settings.Bounds.ApplyTime))
	ctx, cancel := context.WithTimeout(ctx, wait+documentTimeout)
	defer cancel()
	events, at, err := v.Store.Watch(ctx, v.OperatorPrefix, after, wait)
	if err == nil && len(events) > 0 {
		v.applyDocuments(events)
	}
	return at, err
}

func (v *VM) applyDocuments(items []engine.Item) {
	for _, item := range items {
		known, err := v.OperatorDocuments.Apply(item)
		var invalid *engine.ErrInvalidLimits
		switch {
		case errors.As(err, &invalid):
			for _, fault := range invalid.Faults {
				v.log.Event("organisation-limit-invalid", "key", item.Key, "revision", item.Revision, "fault", fault)
			}
			v.metrics.Add(metrics.LimitsRejected, int64(len(invalid.Faults)))
		case err != nil:
			v.log.Event("document-unreadable", "key", item.Key, "revision", item.Revision, "error", err)
		case known:
			v.log.Event("document-applied", "key", item.Key, "revision", item.Revision, "deleted", item.Deleted)
		}
	}
	if c := v.OperatorDocuments.Configuration(); c != nil {
		before := v.configuration.Swap(c)
		if before == nil || before.Version != c.Version {
			v.log.Event("configuration-in-force", "version", c.Version, "queues", len(c.Queues), "organisations", len(c.Organisations))
		}
	}
}
