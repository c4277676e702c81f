package retry

import "time"

// Backoff is the wait before a retry: exponential, with jitter.
type Backoff struct {
	Base time.Duration // before the first retry
	Max  time.Duration
}

// DefaultBackoff starts at about one connection set-up of a target.
func DefaultBackoff() Backoff {
	return Backoff{Base: 2 * time.Millisecond, Max: 100 * time.Millisecond}
}

// Wait returns the wait before a retry, counted from 0. Jitter is a random
// number in [0, 1); the result is between half and the whole of the
// exponential delay, so that requests that failed together do not return together.
func (b Backoff) Wait(retry int, jitter float64) time.Duration {
	delay := b.Base
	for range retry {
		if delay >= b.Max/2 {
			delay = b.Max
			break
		}
		delay *= 2
	}
	delay = min(delay, b.Max)
	return delay/2 + time.Duration(jitter*float64(delay/2))
}
