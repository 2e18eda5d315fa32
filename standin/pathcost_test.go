package main

import (
	"context"
	"testing"

	"github.com/matryer/is"

	standinworker "clementinepier/standin/worker"
	"clementinepier/worker"
)

// Guards against a bare hop that skips a call that the worker needs, which would make every ratio look worse.
func TestBareHopRunsTask(t *testing.T) {
	is := is.New(t)
	stand := standinworker.New(standinworker.Options{Info: worker.Info{Name: "w", Slots: 1}})
	hop := newBareHop(stand.Client(), "w")
	ctx, cancel := context.WithCancel(context.Background())
	followed := make(chan error, 1)
	go func() { followed <- hop.follow(ctx) }()
	for _, id := range []string{"a", "b"} {
		is.NoErr(hop.send(ctx, id))
	}
	cancel()
	is.NoErr(<-followed)
	calls := stand.Calls()
	for _, call := range []string{"hold", "start", "answer"} {
		is.Equal(calls[call], uint64(2))
	}
	is.True(calls["events"] > 0)
}
