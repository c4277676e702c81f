package baseline

import (
	"context"
	"sync"
	"time"
)

const (
	firstLimit = 1.0
	backOff    = 0.5 // factor of a limit after a failure or a slow answer
	slowRatio  = 3.0 // to the usual time of the fastest target
	timeWeight = 0.1 // of a new service time in the mean
)

// limits are the adaptive limits of one entry: they rise by one for each limit
// of successes and fall by half, as TCP's window does.
type limits struct {
	most float64

	mu      sync.Mutex
	targets []limited
	changed chan struct{} // closed and replaced when a slot may be free
}

type limited struct {
	limit    float64
	inFlight int
	mean     float64 // service time in seconds
}

func newLimits(n, most int) *limits {
	l := &limits{most: float64(most), targets: make([]limited, n), changed: make(chan struct{})}
	for i := range l.targets {
		l.targets[i].limit = firstLimit
	}
	return l
}

// wait takes a slot of a target and returns false when ctx ends before.
func (l *limits) wait(ctx context.Context, i int) bool {
	_, ok := l.take(ctx, func() int {
		if float64(l.targets[i].inFlight)+1 > l.targets[i].limit {
			return -1
		}
		return i
	})
	return ok
}

// waitAny takes a slot of the target that is least loaded for its limit.
func (l *limits) waitAny(ctx context.Context) (int, bool) {
	return l.take(ctx, func() int {
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

func (l *limits) take(ctx context.Context, pick func() int) (int, bool) {
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

func (l *limits) finish(i int, took time.Duration, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	t := &l.targets[i]
	t.inFlight--
	if t.mean == 0 {
		t.mean = took.Seconds()
	}
	t.mean += timeWeight * (took.Seconds() - t.mean)
	if !ok || t.mean > slowRatio*l.fastest() {
		t.limit = max(1, t.limit*backOff)
	} else {
		t.limit = min(l.most, t.limit+1/t.limit)
	}
	close(l.changed)
	l.changed = make(chan struct{})
}

func (l *limits) fastest() float64 {
	lowest := 0.0
	for _, t := range l.targets {
		if t.mean > 0 && (lowest == 0 || t.mean < lowest) {
			lowest = t.mean
		}
	}
	return lowest
}
