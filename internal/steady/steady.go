// Package steady reads a monotonic clock that includes the time while the machine
// is suspended. Leases held on other machines expire during that time too. The
// packages under batch and the stand-ins for the platform call it. It holds no state.
package steady

import (
	"time"

	"golang.org/x/sys/unix"
)

// Time is a point in time, in nanoseconds since the machine booted.
type Time int64

// Now returns the current time.
func Now() Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// Linux has had this clock since 2.6.39, so the call fails only if a
		// system call filter rejects it.
		return Time(time.Since(processStart))
	}
	return Time(ts.Nano())
}

var processStart = time.Now()

// Add returns t shifted by d.
func (t Time) Add(d time.Duration) Time { return t + Time(d) }

// Sub returns the time from u to t.
func (t Time) Sub(u Time) time.Duration { return time.Duration(t - u) }

// After reports whether t is later than u.
func (t Time) After(u Time) bool { return t > u }

// Before reports whether t is earlier than u.
func (t Time) Before(u Time) bool { return t < u }

// IsZero reports whether t was never set.
func (t Time) IsZero() bool { return t == 0 }
