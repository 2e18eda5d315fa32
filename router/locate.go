package router

import (
	"context"

	"github.com/pkg/errors"

	"clementinepier/job"
	"clementinepier/peer"
)

// findResult is the reply of one owner to a find call, or the error of the call.
type findResult struct {
	vm    string
	reply FindReply
	err   error
}

// locate returns the first owner, by VM name, that has the request in flight.
func (r *Router) locate(ctx context.Context, key job.Key) (string, bool) {
	for _, f := range r.queryOwners(ctx, FindCall{Key: key}) {
		if f.err == nil && f.reply.Found {
			return f.vm, true
		}
	}
	return "", false
}

// Lookup returns what the owners know of a request. When no owner knows it, the error is that of an owner that could not
// be queried, so the request may exist there.
func (r *Router) Lookup(ctx context.Context, key job.Key) (FindReply, error) {
	var queryErr error
	var running FindReply
	for _, f := range r.queryOwners(ctx, FindCall{Key: key, Receivers: true}) {
		switch {
		case f.err != nil:
			queryErr = f.err
		case f.reply.Ended:
			return f.reply, nil
		case f.reply.Found:
			running = f.reply
		}
	}
	if running.Found {
		return running, nil
	}
	return FindReply{}, queryErr
}

// queryOwners sends a find call to every owner concurrently and returns the results in the order of the owners.
func (r *Router) queryOwners(ctx context.Context, call FindCall) []findResult {
	ctx, cancel := context.WithTimeout(ctx, findTimeout)
	defer cancel()
	return fanOut(r.Owners().names(), func(vm string) findResult {
		f := findResult{vm: vm}
		if vm == r.Self {
			f.reply, f.err = r.Find(ctx, call.Key)
		} else {
			f.err = r.Call(ctx, vm, peer.KindFind, call, &f.reply)
		}
		return f
	})
}

// CancelAll cancels a request on every owner that has it and reports whether any owner had it.
func (r *Router) CancelAll(ctx context.Context, key job.Key) bool {
	ctx, cancel := context.WithTimeout(ctx, findTimeout)
	defer cancel()
	replies := fanOut(r.Owners().names(), func(vm string) bool {
		if vm == r.Self {
			known, err := r.Cancel(ctx, key)
			return err == nil && known
		}
		var known bool
		err := r.Call(ctx, vm, peer.KindCancel, FindCall{Key: key}, &known)
		return err == nil && known
	})
	for _, known := range replies {
		if known {
			return true
		}
	}
	return false
}

// fanOut calls f for every name concurrently and returns the results in the order of the names.
func fanOut[T any](names []string, f func(string) T) []T {
	type indexed struct {
		index int
		value T
	}
	replies := make(chan indexed, len(names))
	for i, name := range names {
		go func() { replies <- indexed{index: i, value: f(name)} }()
	}
	results := make([]T, len(names))
	for range names {
		reply := <-replies
		results[reply.index] = reply.value
	}
	return results
}

func asErrRefused(err error) (*peer.ErrRefused, bool) {
	var refused *peer.ErrRefused
	ok := errors.As(err, &refused)
	return refused, ok
}
