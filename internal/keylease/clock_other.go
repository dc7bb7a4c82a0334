//go:build !linux

package keylease

import "time"

var processStart = time.Now()

// BootClock returns the time since the start of the process. On systems other than Linux it may
// stand still while the machine is suspended.
func BootClock() time.Duration { return time.Since(processStart) + 1 }
