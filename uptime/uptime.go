// Package uptime reads the boot-time clock (CLOCK_BOOTTIME), which includes the time for
// which the machine is suspended.
//
// Go's monotonic clock stops during suspension. An instance that resumes would take what
// it knew before for fresh, and act on leases that another instance holds by now.
package uptime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the machine started, including suspended time. It panics if
// the clock cannot be read.
//
//	asked := uptime.Now()
//	age := uptime.Now() - asked
func Now() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic(err) // every Linux that Go supports has this clock
	}
	return time.Duration(ts.Nano())
}
