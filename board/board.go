// Package board holds the control state of an entry VM. One goroutine, the control goroutine, reads and changes it; other
// goroutines post changes to it.
package board

import (
	"context"

	"github.com/pkg/errors"
)

// mailboxSize is the capacity of the queue of changes for the control goroutine. Post and Do block when it is full.
const mailboxSize = 4096

// ErrStopped means that the control goroutine has stopped.
var ErrStopped = errors.New("the board has stopped")

// Change reads and changes the state. It must not block.
type Change func(*State)

// Board serialises access to a State. Set the exported fields before Run.
type Board struct {
	// State must be accessed only by changes once Run has started.
	State *State

	mailbox chan Change
	stopped chan struct{}
}

// New returns a board for the state.
func New(state *State) *Board {
	return &Board{State: state, mailbox: make(chan Change, mailboxSize), stopped: make(chan struct{})}
}

// Run starts the control goroutine, which applies changes one at a time until ctx ends. The channel receives one value when
// the goroutine stops.
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

// Post queues a change and returns without waiting until it is applied. After Run has stopped, it drops the change.
func (b *Board) Post(change Change) {
	select {
	case b.mailbox <- change:
	case <-b.stopped:
	}
}

// Step applies the next queued change, if any, and reports whether there was one. It is for callers that apply changes
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

// Do queues a change and waits until it is applied. It must not be called by a change, which would deadlock.
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
