// Package clock reads a monotonic clock that includes the time in which the
// machine is suspended, and detects pauses that this clock does not include.
package clock

import (
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// JumpTolerance is how far the boot-time clock and the wall clock may move apart
// between two calls of Jumps without counting as a jump. Adjustments of the wall
// clock by a time service such as NTP stay below it.
const JumpTolerance = 250 * time.Millisecond

// Clock reads CLOCK_BOOTTIME. It is safe for concurrent use.
type Clock struct {
	mu      sync.Mutex
	offset  time.Duration // wall clock minus boot-time clock at the last call of Jumps
	checked bool          // whether offset is set
	jumps   uint64
}

// New returns a clock that has detected no jumps.
func New() *Clock { return &Clock{} }

// Now returns the time since the machine booted, including suspended time.
func (c *Clock) Now() time.Duration { return bootTime() }

// Jumps checks for a jump since the last call, and returns the number of jumps that
// all calls have found. A hypervisor that pauses the VM can stop the boot-time
// clock, so that a lease that expired during the pause appears valid. A lease holder
// must treat its lease as expired if the number has changed since the lease began.
func (c *Clock) Jumps() uint64 {
	offset := time.Duration(time.Now().UnixNano()) - bootTime()
	c.mu.Lock()
	defer c.mu.Unlock()
	drift := offset - c.offset
	if c.checked && (drift > JumpTolerance || drift < -JumpTolerance) {
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
