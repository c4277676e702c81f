package retry

import "time"

// Backoff computes the wait before a retry: an exponential delay with jitter.
type Backoff struct {
	Base time.Duration // delay before the first retry
	Max  time.Duration // longest delay
}

// DefaultBackoff returns a backoff whose first delay is about the time that a
// target takes to set up a connection.
func DefaultBackoff() Backoff {
	return Backoff{Base: 2 * time.Millisecond, Max: 100 * time.Millisecond}
}

// Wait returns the wait before a retry; the first retry is 0. With a random jitter
// in [0, 1), the wait is between half of the exponential delay and the whole delay,
// so that requests that failed together are not retried together.
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
