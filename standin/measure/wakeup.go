package measure

import (
	"context"
	"sync"
	"time"
)

const (
	wakeInterval = 2 * time.Millisecond
	// Latencies are compared in tenths of milliseconds. Above this scheduling
	// delay at p99, the load of the machine dominates them, not the router.
	maxWakeupDelayMS = 2.0
)

// wakeupMonitor measures how late this process wakes up from a sleep. The load
// generator runs in the same process, so this scheduling delay adds to latencies.
type wakeupMonitor struct {
	mu     sync.Mutex
	delays []float64 // milliseconds, since the last takeP99
}

func (m *wakeupMonitor) run(ctx context.Context) {
	for ctx.Err() == nil {
		due := time.Now().Add(wakeInterval)
		time.Sleep(wakeInterval)
		delay := time.Since(due).Seconds() * 1000
		m.mu.Lock()
		m.delays = append(m.delays, delay)
		m.mu.Unlock()
	}
}

// takeP99 returns the 99th percentile of the delays since the last call, in
// milliseconds.
func (m *wakeupMonitor) takeP99() float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	p99 := quantile(m.delays, 0.99)
	m.delays = nil
	return p99
}
