package upstream

import (
	"sync"
	"time"
)

const (
	// maxIdleLimit is the value of idleLimit unless failures lower it. It is below
	// the 10 s after which targets close idle connections.
	maxIdleLimit = 8 * time.Second
	// minIdleLimit is the lowest value of idleLimit, at which connections are
	// still reused during bursts of requests.
	minIdleLimit = 100 * time.Millisecond
	// limitDoublingTime is the time after which a lowered limit doubles.
	limitDoublingTime = 3 * time.Second
	// failureWindow is the time within which reused connections to two targets
	// have to fail for the limit to be lowered. Failures at only one target may
	// mean that its process ended.
	failureWindow = 2 * time.Second
)

// idleLimit limits the idle time after which a connection is reused for a
// request that may run only once. Targets and network devices drop the state of
// idle connections after a time that is not known in advance. The next request on
// such a connection fails, and may or may not have run. Such failures lower the
// limit, which then grows back.
type idleLimit struct {
	mu                 sync.Mutex
	limit              time.Duration // value at changedAt
	changedAt          time.Time
	lastFailureAt      time.Time
	lastFailureIdle    time.Duration
	lastFailureAddress string
}

// at returns the limit at the given time.
func (l *idleLimit) at(now time.Time) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.atLocked(now)
}

// atLocked is at for callers that hold mu.
func (l *idleLimit) atLocked(now time.Time) time.Duration {
	if l.changedAt.IsZero() {
		return maxIdleLimit
	}
	limit := l.limit
	for since := now.Sub(l.changedAt); since >= limitDoublingTime && limit < maxIdleLimit; since -= limitDoublingTime {
		limit *= 2
	}
	return min(limit, maxIdleLimit)
}

// recordFailure records that a request failed on a connection to address that
// had been idle for the given time. If the last such failure was at another
// address and less than failureWindow ago, the limit falls to at most half of the
// shorter of both idle times, but not below minIdleLimit.
func (l *idleLimit) recordFailure(now time.Time, address string, idle time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.lastFailureAddress != "" && l.lastFailureAddress != address && now.Sub(l.lastFailureAt) < failureWindow {
		l.limit = max(minIdleLimit, min(l.atLocked(now), idle/2, l.lastFailureIdle/2))
		l.changedAt = now
	}
	l.lastFailureAt, l.lastFailureIdle, l.lastFailureAddress = now, idle, address
}
