// Package fault injects failures into the calls of a stand-in.
package fault

import (
	"context"
	"slices"
	"sync"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"

	"clementinepier/job"
)

// Faults are the failures that are switched on.
type Faults struct {
	// Refused fails calls as a refused connection does. Over HTTP it acts as Down.
	Refused bool `json:"refused"`
	// Down cuts calls before they take effect.
	Down bool `json:"down"`
	// Slow delays each call before it takes effect. The call takes effect even if its caller gives up.
	Slow job.Duration `json:"slow"`
	// LoseReplies cuts calls after they took effect.
	LoseReplies bool `json:"lose-replies"`
	// Calls limits the faults to these calls; empty means all calls.
	Calls []string `json:"calls"`
}

// The causes of injected failures.
var (
	ErrRefused = errors.New("connection refused (injected)")
	ErrDown    = errors.New("down (injected)")
	ErrLost    = errors.New("reply lost (injected)")
)

// IsInjected reports whether err is an injected failure, or the end of the call's context.
func IsInjected(err error) bool {
	for _, cause := range []error{ErrRefused, ErrDown, ErrLost, context.Canceled, context.DeadlineExceeded} {
		if errors.Is(err, cause) {
			return true
		}
	}
	return false
}

// Gate applies faults to calls and counts the calls by kind.
type Gate struct {
	Clock clockwork.Clock

	mu     sync.Mutex
	faults Faults
	calls  map[string]uint64
}

// Set replaces the faults.
func (g *Gate) Set(f Faults) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.faults = f
}

// Calls returns the number of calls of each kind so far.
func (g *Gate) Calls() map[string]uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	counts := make(map[string]uint64, len(g.calls))
	for call, n := range g.calls {
		counts[call] = n
	}
	return counts
}

func (g *Gate) count(call string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.calls == nil {
		g.calls = map[string]uint64{}
	}
	g.calls[call]++
}

func (g *Gate) active(call string) Faults {
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.faults.Calls) > 0 && !slices.Contains(g.faults.Calls, call) {
		return Faults{}
	}
	return g.faults
}

// ended reports whether ctx has ended. It does not call Err first, which blocks on a context that clockwork made
// for a fake clock.
func ended(ctx context.Context) bool {
	select {
	case <-ctx.Done():
		return true
	default:
		return false
	}
}

// Do runs effect as one call under the faults. A nil error means that the caller gets the reply; delivered is
// false only when effect did not run and never will.
func (g *Gate) Do(ctx context.Context, call string, effect func()) (delivered bool, err error) {
	if ended(ctx) {
		return false, ctx.Err()
	}
	g.count(call)
	before := g.active(call)
	switch {
	case before.Refused:
		return false, ErrRefused
	case before.Down:
		// A caller cannot tell this from a call that was cut after it took effect.
		return true, ErrDown
	case before.Slow > 0:
		select {
		case <-g.Clock.After(before.Slow.Std()):
		case <-ctx.Done():
		}
	}
	effect()
	after := g.active(call)
	switch {
	case ended(ctx):
		return true, ctx.Err()
	case after.Down || after.Refused || after.LoseReplies:
		return true, ErrLost
	}
	return true, nil
}
