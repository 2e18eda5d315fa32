// Package board is the blackboard of an entry VM: all control state, read and changed by one goroutine.
package board

import (
	"context"

	"github.com/pkg/errors"
)

// mailboxSize bounds the changes that wait for the control goroutine. Posting blocks when it is full.
const mailboxSize = 4096

// ErrStopped means that the control goroutine has ended.
var ErrStopped = errors.New("the board has stopped")

// Change reads and changes the state. It must not block.
type Change func(*State)

// Board owns a State. Set the exported fields before Run.
type Board struct {
	// State is touched only by changes once Run has begun.
	State *State

	mailbox chan Change
	stopped chan struct{}
}

// New returns a board for the state.
func New(state *State) *Board {
	return &Board{State: state, mailbox: make(chan Change, mailboxSize), stopped: make(chan struct{})}
}

// Run applies changes one at a time until ctx ends, then reports its end on the channel.
func (b *Board) Run(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	go func() {
		defer close(b.stopped)
		for {
			select {
			case <-ctx.Done():
				done <- nil
				return
			case change := <-b.mailbox:
				change(b.State)
			}
		}
	}()
	return done
}

// Post queues a change and returns without waiting for it.
func (b *Board) Post(change Change) {
	select {
	case b.mailbox <- change:
	case <-b.stopped:
	}
}

// Step applies the next change if one waits, and reports whether one did. It is for callers that drive the board
// themselves instead of calling Run.
func (b *Board) Step() bool {
	select {
	case change := <-b.mailbox:
		change(b.State)
		return true
	default:
		return false
	}
}

// Do queues a change and waits until it is applied. It must not be called from within a change.
func (b *Board) Do(ctx context.Context, change Change) error {
	applied := make(chan struct{})
	wrapped := func(s *State) {
		change(s)
		close(applied)
	}
	select {
	case b.mailbox <- wrapped:
	case <-b.stopped:
		return ErrStopped
	case <-ctx.Done():
		return ctx.Err()
	}
	select {
	case <-applied:
		return nil
	case <-b.stopped:
		return ErrStopped
	case <-ctx.Done():
		return ctx.Err()
	}
}
