package front

import (
	"context"
	"time"

	"clementinepier/engine"
)

const (
	// operatorWatchShare of the time in which a change has to be in force is how long one watch of the operators' documents
	// waits. A connection that has gone silent is noticed after it.
	operatorWatchShare = 0.75
	// operatorTimeout bounds the watch on top of its wait, and a listing.
	operatorTimeout = 500 * time.Millisecond
	// operatorRetry is the pause after a call that failed.
	operatorRetry = 50 * time.Millisecond
)

// follow keeps the configuration up to date.
func (v *VM) follow(ctx context.Context) <-chan error {
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
				v.pause(ctx, operatorRetry)
			}
		}
		done <- nil
	}()
	return done
}

func (v *VM) listDocuments(ctx context.Context) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, 2*operatorTimeout)
	defer cancel()
	items, at, err := v.Store.List(ctx, v.OperatorPrefix)
	if err != nil {
		return 0, err
	}
	v.OperatorDocuments.Reset()
	v.applyDocuments(items)
	return at, nil
}

func (v *VM) watchDocuments(ctx context.Context, after int64) (int64, error) {
	wait := time.Duration(operatorWatchShare * float64(v.Settings.Bounds.ApplyTime))
	ctx, cancel := context.WithTimeout(ctx, wait+operatorTimeout)
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
		switch {
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
