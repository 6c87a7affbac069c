// Package uptime reads the clock that goes on while the machine is suspended.
//
// Go's own steady clock stands still then. An instance that wakes up would take what it
// knew before for fresh, and act on duties that are another's by now.
package uptime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the machine started, suspended time included.
//
//	asked := uptime.Now()
//	age := uptime.Now() - asked
func Now() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic(err) // the clock is there on every Linux that Go runs on
	}
	return time.Duration(ts.Nano())
}
