package upstream

import (
	"sync"
	"time"
)

const (
	// longestTrust is how long an idle connection is trusted with a request that
	// may run only once: below the 10 s after which targets close it.
	longestTrust = 8 * time.Second
	// shortestTrust bounds what is learned: bursts still use connections again.
	shortestTrust = 100 * time.Millisecond
	// trustRecovery is the time in which the trust doubles again.
	trustRecovery = 3 * time.Second
	// trustWindow is how soon a second target has to reset an idle connection
	// for the first not to be taken for one that has ended.
	trustWindow = 2 * time.Second
)

// idleTrust learns how long targets, or something on the way to them, remember
// idle connections. A connection that was forgotten is reset by the next
// request on it, which may have run then.
type idleTrust struct {
	mu      sync.Mutex
	limit   time.Duration // at the time of the last change
	at      time.Time
	lastAt  time.Time
	lastAge time.Duration
	lastBy  string
}

// now returns the idle time up to which a connection is trusted.
func (t *idleTrust) now(now time.Time) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.current(now)
}

// current is called with mu held.
func (t *idleTrust) current(now time.Time) time.Duration {
	if t.at.IsZero() {
		return longestTrust
	}
	limit := t.limit
	for since := now.Sub(t.at); since >= trustRecovery && limit < longestTrust; since -= trustRecovery {
		limit *= 2
	}
	return min(limit, longestTrust)
}

// reset notes that a target has reset a connection that was idle before.
func (t *idleTrust) reset(now time.Time, address string, age time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.lastBy != "" && t.lastBy != address && now.Sub(t.lastAt) < trustWindow {
		t.limit = max(shortestTrust, min(t.current(now), age/2, t.lastAge/2))
		t.at = now
	}
	t.lastAt, t.lastAge, t.lastBy = now, age, address
}
