// Package steadyclock provides a clock that keeps advancing while the machine is suspended and is not affected by changes
// of the system time. Leases granted by other machines continue to expire during a suspension, which the monotonic clock of
// the Go runtime does not count.
package steadyclock

import (
	"time"

	"github.com/jonboulle/clockwork"
	"golang.org/x/sys/unix"
)

// Clock is a real clock whose times derive from CLOCK_BOOTTIME, the time since boot including suspensions. Its timers are
// those of the Go runtime.
type Clock struct {
	clockwork.Clock
	// origin is the time of this clock at boot.
	origin time.Time
}

// New returns a clock that is set to the current system time.
func New() *Clock {
	return &Clock{Clock: clockwork.NewRealClock(), origin: time.Now().Round(0).Add(-sinceBoot())}
}

// Now returns the time without a monotonic clock reading, so that differences include suspensions.
func (c *Clock) Now() time.Time { return c.origin.Add(sinceBoot()) }

// Since returns the time elapsed since t, including suspensions.
func (c *Clock) Since(t time.Time) time.Duration { return c.Now().Sub(t) }

// Until returns the time until t.
func (c *Clock) Until(t time.Time) time.Duration { return t.Sub(c.Now()) }

func sinceBoot() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		// Unreachable: CLOCK_BOOTTIME exists on every kernel that this program supports.
		panic(err)
	}
	return time.Duration(t.Nano())
}
