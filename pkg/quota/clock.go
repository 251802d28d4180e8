package quota

import (
	"time"

	"golang.org/x/sys/unix"
)

// BootClock returns the time since the VM was started, including the time for which it
// was frozen. CLOCK_MONOTONIC, which package time uses, stops while a VM is frozen. It
// panics if the clock cannot be read, which no supported kernel does.
func BootClock() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic("CLOCK_BOOTTIME cannot be read: " + err.Error())
	}
	return time.Duration(t.Nano())
}
