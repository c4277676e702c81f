package baseline

import (
	"context"
	"sync"
	"time"
)

const (
	initialLimit   = 1.0
	decreaseFactor = 0.5 // multiplies a limit after a failure or while the target is slow
	maxSlowdown    = 3.0 // ratio of a target's mean service time to that of the fastest, above which it is slow
	meanWeight     = 0.1 // of a new service time in the moving average
)

// limits holds the adaptive concurrency limits of one entry, one for each target.
// Like TCP's congestion window, a limit of n grows by one with n successes. It is
// halved by a failure, and by every response while the target is slow.
type limits struct {
	maxLimit float64

	mu      sync.Mutex
	targets []targetLimit
	changed chan struct{} // closed and replaced when a slot may be free
}

type targetLimit struct {
	limit    float64
	inFlight int
	mean     float64 // moving average of the service time in seconds, 0 before the first response
}

func newLimits(n, maxLimit int) *limits {
	l := &limits{maxLimit: float64(maxLimit), targets: make([]targetLimit, n), changed: make(chan struct{})}
	for i := range l.targets {
		l.targets[i].limit = initialLimit
	}
	return l
}

// acquire takes a slot of target i. It returns false when ctx ends before a slot
// is free.
func (l *limits) acquire(ctx context.Context, i int) bool {
	_, ok := l.acquireWhen(ctx, func() int {
		if float64(l.targets[i].inFlight)+1 > l.targets[i].limit {
			return -1
		}
		return i
	})
	return ok
}

// acquireAny takes a slot of the target with the lowest ratio of requests in
// flight to its limit. It returns false when ctx ends before a slot is free.
func (l *limits) acquireAny(ctx context.Context) (int, bool) {
	return l.acquireWhen(ctx, func() int {
		best, lowest := -1, 0.0
		for i, t := range l.targets {
			load := float64(t.inFlight+1) / t.limit
			if load <= 1 && (best < 0 || load < lowest) {
				best, lowest = i, load
			}
		}
		return best
	})
}

// acquireWhen waits until pick returns a target, takes a slot of it and returns
// its index. pick is called with mu held and returns -1 if no slot is free.
func (l *limits) acquireWhen(ctx context.Context, pick func() int) (int, bool) {
	for {
		l.mu.Lock()
		if i := pick(); i >= 0 {
			l.targets[i].inFlight++
			l.mu.Unlock()
			return i, true
		}
		changed := l.changed
		l.mu.Unlock()
		select {
		case <-changed:
		case <-ctx.Done():
			return 0, false
		}
	}
}

// release returns a slot of target i and adapts its limit. took is the service
// time of the request, and ok tells whether it succeeded.
func (l *limits) release(i int, took time.Duration, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	t := &l.targets[i]
	t.inFlight--
	if t.mean == 0 {
		t.mean = took.Seconds()
	}
	t.mean += meanWeight * (took.Seconds() - t.mean)
	if !ok || t.mean > maxSlowdown*l.fastestMean() {
		t.limit = max(1, t.limit*decreaseFactor)
	} else {
		t.limit = min(l.maxLimit, t.limit+1/t.limit)
	}
	close(l.changed)
	l.changed = make(chan struct{})
}

// fastestMean returns the lowest mean service time of a target, in seconds, or 0
// before the first response. mu must be held.
func (l *limits) fastestMean() float64 {
	lowest := 0.0
	for _, t := range l.targets {
		if t.mean > 0 && (lowest == 0 || t.mean < lowest) {
			lowest = t.mean
		}
	}
	return lowest
}
