package upstream

import (
	"sync"
	"time"
)

const (
	// maxIdleLimit is the idle time up to which a connection is reused for a
	// request that may run only once, unless resets lower the limit. It is below
	// the 10 s after which targets close idle connections.
	maxIdleLimit = 8 * time.Second
	// minIdleLimit is the lowest value of the limit, so that connections are
	// still reused during bursts.
	minIdleLimit = 100 * time.Millisecond
	// limitDoublingTime is the time after which a lowered limit doubles.
	limitDoublingTime = 3 * time.Second
	// resetWindow is the time within which two targets have to reset idle
	// connections for the limit to be lowered. Resets by only one target may
	// mean that its process ended.
	resetWindow = 2 * time.Second
)

// idleLimit limits the idle time after which a connection is reused for a
// request that may run only once. Targets, or devices on the network path,
// drop the state of idle connections after a time that is not known in
// advance. The next request on such a connection fails with a reset and may or
// may not have run. The limit is therefore lowered after such resets and grows
// back afterwards.
type idleLimit struct {
	mu               sync.Mutex
	limit            time.Duration // value at changedAt
	changedAt        time.Time
	lastResetAt      time.Time
	lastResetIdle    time.Duration
	lastResetAddress string
}

// at returns the limit at the given time.
func (t *idleLimit) at(now time.Time) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.atLocked(now)
}

// atLocked is at for callers that hold mu.
func (t *idleLimit) atLocked(now time.Time) time.Duration {
	if t.changedAt.IsZero() {
		return maxIdleLimit
	}
	limit := t.limit
	for since := now.Sub(t.changedAt); since >= limitDoublingTime && limit < maxIdleLimit; since -= limitDoublingTime {
		limit *= 2
	}
	return min(limit, maxIdleLimit)
}

// recordReset records that a request failed on a connection to address that
// had been idle for the given time. If the last such failure was at another
// address and less than resetWindow ago, the limit falls to at most half of the shorter of both idle
// times.
func (t *idleLimit) recordReset(now time.Time, address string, idle time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.lastResetAddress != "" && t.lastResetAddress != address && now.Sub(t.lastResetAt) < resetWindow {
		t.limit = max(minIdleLimit, min(t.atLocked(now), idle/2, t.lastResetIdle/2))
		t.changedAt = now
	}
	t.lastResetAt, t.lastResetIdle, t.lastResetAddress = now, idle, address
}
