// Package steady reads a clock that never jumps and that counts the time while
// a machine is suspended, as leases held elsewhere do.
package steady

import (
	"time"

	"golang.org/x/sys/unix"
)

// Time is a reading of the clock, in nanoseconds since the machine booted.
type Time int64

// Now reads the clock.
func Now() Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// The kernel has had this clock since 2.6.39; only a filter refuses it.
		return Time(time.Since(start))
	}
	return Time(ts.Nano())
}

var start = time.Now()

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
