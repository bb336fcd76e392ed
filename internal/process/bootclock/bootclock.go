// Package bootclock reads the host's boot-time clock. Unlike the monotonic clock of
// package time it includes the time for which the host was suspended.
package bootclock

import (
	"fmt"
	"time"

	"golang.org/x/sys/unix"
)

// Clock returns the time since the host booted.
type Clock func() time.Duration

// Now is the Clock of this host. It panics if the clock cannot be read.
func Now() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic(fmt.Sprintf("read boot clock: %v", err))
	}
	return time.Duration(t.Nano())
}
