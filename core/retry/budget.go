package retry

import "time"

// BudgetConfig limits retries.
type BudgetConfig struct {
	Share        float64 // retries per request
	MinPerSecond float64 // retries per second that are allowed at any traffic
	Burst        float64 // retries that may be saved up; at least 1 is used
}

// DefaultBudgetConfig allows retries for 10 % of traffic. One retry per second
// lets a request on an idle system be repeated; the burst covers the requests
// in flight on one target when it is lost.
func DefaultBudgetConfig() BudgetConfig {
	return BudgetConfig{Share: 0.10, MinPerSecond: 1, Burst: 10}
}

// Budget is a token bucket that requests and time fill and retries empty. It
// is not safe for concurrent use.
//
// Invariant: after n requests in time t, at most
// Burst + Share*n + MinPerSecond*t retries were allowed.
type Budget struct {
	cfg    BudgetConfig
	tokens float64
	last   time.Duration
}

// NewBudget returns a full budget.
func NewBudget(cfg BudgetConfig, now time.Duration) *Budget {
	cfg.Burst = max(cfg.Burst, 1)
	return &Budget{cfg: cfg, tokens: cfg.Burst, last: now}
}

// Request counts a first attempt.
func (b *Budget) Request(now time.Duration) {
	b.advance(now)
	b.add(b.cfg.Share)
}

// Allow tells whether a retry is allowed now, and counts it if so.
func (b *Budget) Allow(now time.Duration) bool {
	b.advance(now)
	// 1e-9 absorbs rounding: ten requests at a share of 0.1 make one retry.
	if b.tokens < 1-1e-9 {
		return false
	}
	b.tokens = max(b.tokens-1, 0)
	return true
}

func (b *Budget) advance(now time.Duration) {
	if now <= b.last {
		return
	}
	b.add((now - b.last).Seconds() * b.cfg.MinPerSecond)
	b.last = now
}

func (b *Budget) add(tokens float64) { b.tokens = min(b.tokens+tokens, b.cfg.Burst) }
