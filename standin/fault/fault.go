// Package fault injects failures into the calls that a stand-in (a test double of an outside service) serves.
package fault

import (
	"context"
	"slices"
	"sync"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"

	"clementinepier/job"
)

// Faults are the failures to inject.
type Faults struct {
	// Refused fails calls before they take effect, like a refused connection. Over HTTP it acts as Down does.
	Refused bool `json:"refused"`
	// Down fails calls before they take effect, like a connection that breaks.
	Down bool `json:"down"`
	// Slow delays each call before it takes effect. The call takes effect even if its context ends during the delay.
	Slow job.Duration `json:"slow"`
	// LoseReplies fails calls after they have taken effect.
	LoseReplies bool `json:"lose-replies"`
	// Calls limits the faults to these kinds of calls; empty means all kinds.
	Calls []string `json:"calls"`
}

// The errors of injected failures.
var (
	ErrRefused = errors.New("connection refused (injected)")
	ErrDown    = errors.New("down (injected)")
	ErrLost    = errors.New("reply lost (injected)")
)

// IsInjected reports whether err is an injected failure or the error of an ended context.
func IsInjected(err error) bool {
	for _, target := range []error{ErrRefused, ErrDown, ErrLost, context.Canceled, context.DeadlineExceeded} {
		if errors.Is(err, target) {
			return true
		}
	}
	return false
}

// Injector applies faults to calls and counts the calls by kind.
type Injector struct {
	Clock clockwork.Clock

	mu     sync.Mutex
	faults Faults
	calls  map[string]uint64
}

// Set replaces the faults.
func (i *Injector) Set(f Faults) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.faults = f
}

// Calls returns the number of calls of each kind so far.
func (i *Injector) Calls() map[string]uint64 {
	i.mu.Lock()
	defer i.mu.Unlock()
	counts := make(map[string]uint64, len(i.calls))
	for call, n := range i.calls {
		counts[call] = n
	}
	return counts
}

func (i *Injector) count(call string) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.calls == nil {
		i.calls = map[string]uint64{}
	}
	i.calls[call]++
}

// active returns the faults that apply to calls of this kind.
func (i *Injector) active(call string) Faults {
	i.mu.Lock()
	defer i.mu.Unlock()
	if len(i.faults.Calls) > 0 && !slices.Contains(i.faults.Calls, call) {
		return Faults{}
	}
	return i.faults
}

// ended reports whether ctx has ended. It does not use ctx.Err for this, which blocks on a context that clockwork
// made for a fake clock.
func ended(ctx context.Context) bool {
	select {
	case <-ctx.Done():
		return true
	default:
		return false
	}
}

// Do counts a call of the given kind and runs effect, subject to the faults. A nil error means that the caller
// gets the reply. The result delivered is false only if effect did not run and will not run.
func (i *Injector) Do(ctx context.Context, call string, effect func()) (delivered bool, err error) {
	if ended(ctx) {
		return false, ctx.Err()
	}
	i.count(call)
	before := i.active(call)
	switch {
	case before.Refused:
		return false, ErrRefused
	case before.Down:
		// Reported as delivered: a caller cannot tell this failure from one after the call took effect.
		return true, ErrDown
	case before.Slow > 0:
		select {
		case <-i.Clock.After(before.Slow.Std()):
		case <-ctx.Done():
		}
	}
	effect()
	after := i.active(call)
	switch {
	case ended(ctx):
		return true, ctx.Err()
	case after.Down || after.Refused || after.LoseReplies:
		return true, ErrLost
	}
	return true, nil
}
