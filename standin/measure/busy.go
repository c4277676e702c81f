package measure

import (
	"context"
	"sync"
	"time"
)

const (
	wakeInterval = 2 * time.Millisecond
	// Latencies are compared in tenths of milliseconds; above this delay at
	// p99 they say more about the machine than about the router.
	busyLimitMS = 2.0
)

// busyMonitor measures how late this process wakes up, which is the load
// generator's own scheduling delay.
type busyMonitor struct {
	mu     sync.Mutex
	delays []float64 // milliseconds
}

func (b *busyMonitor) run(ctx context.Context) {
	for ctx.Err() == nil {
		due := time.Now().Add(wakeInterval)
		time.Sleep(wakeInterval)
		late := time.Since(due).Seconds() * 1000
		b.mu.Lock()
		b.delays = append(b.delays, late)
		b.mu.Unlock()
	}
}

// take returns the 99th percentile since the last call.
func (b *busyMonitor) take() float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	p99 := quantile(b.delays, 0.99)
	b.delays = nil
	return p99
}
