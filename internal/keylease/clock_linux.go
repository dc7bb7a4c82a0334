package keylease

import (
	"time"

	"golang.org/x/sys/unix"
)

// BootClock returns the time since the machine was started. It goes on while the machine is
// suspended, unlike the monotonic clock of package time, and does not jump with the wall clock.
func BootClock() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return 0 // confirms nothing
	}
	return time.Duration(t.Nano())
}
