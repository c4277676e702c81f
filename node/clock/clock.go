// Package clock reads a clock that goes on while the machine is suspended and
// notices pauses that even this clock does not see.
package clock

import (
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// JumpTolerance is the difference between the boot-time clock and the wall
// clock that counts as a pause. Adjustments by a time service stay below it.
const JumpTolerance = 250 * time.Millisecond

// Clock gives readings of CLOCK_BOOTTIME.
type Clock struct {
	mu      sync.Mutex
	offset  time.Duration // wall clock less boot-time clock at the last check
	checked bool
	jumps   uint64
}

// New returns a clock.
func New() *Clock { return &Clock{} }

// Now returns the time since the machine started, suspended time included.
func (c *Clock) Now() time.Duration { return bootTime() }

// Jumps returns how often the wall clock and the boot-time clock were found to
// have moved apart, as of now. A hypervisor that pauses the VM can stop the
// boot-time clock; a lease held over such a pause would seem fresh. Holders of
// leases compare the count with that at the lease's start.
func (c *Clock) Jumps() uint64 {
	offset := time.Duration(time.Now().UnixNano()) - bootTime()
	c.mu.Lock()
	defer c.mu.Unlock()
	moved := offset - c.offset
	if c.checked && (moved > JumpTolerance || moved < -JumpTolerance) {
		c.jumps++
	}
	c.offset, c.checked = offset, true
	return c.jumps
}

func bootTime() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic("CLOCK_BOOTTIME cannot be read: " + err.Error()) // every supported kernel has it
	}
	return time.Duration(ts.Nano())
}
