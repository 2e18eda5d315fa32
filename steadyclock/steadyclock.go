// Package steadyclock is a clock that goes on counting while the machine is suspended and that never jumps. Leases that
// others grant run on meanwhile, which the monotonic clock of the runtime does not show.
package steadyclock

import (
	"time"

	"github.com/jonboulle/clockwork"
	"golang.org/x/sys/unix"
)

// Clock is a real clock whose times come from the time since the machine's start. Its timers are the runtime's.
type Clock struct {
	clockwork.Clock
	// origin is what the clock shows at the machine's start.
	origin time.Time
}

// New returns a clock that shows the time of day as of now.
func New() *Clock {
	return &Clock{Clock: clockwork.NewRealClock(), origin: time.Now().Round(0).Add(-sinceBoot())}
}

// Now returns the time without a monotonic reading, so that differences count suspensions.
func (c *Clock) Now() time.Time { return c.origin.Add(sinceBoot()) }

// Since returns the time since t.
func (c *Clock) Since(t time.Time) time.Duration { return c.Now().Sub(t) }

// Until returns the time until t.
func (c *Clock) Until(t time.Time) time.Duration { return t.Sub(c.Now()) }

func sinceBoot() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		// The clock exists on every kernel that this program runs on.
		panic(err)
	}
	return time.Duration(t.Nano())
}
