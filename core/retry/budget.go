package retry

import "time"

// BudgetConfig limits the number of retries.
type BudgetConfig struct {
	Share        float64 // retries that each first attempt adds to the budget
	MinPerSecond float64 // retries per second that are allowed regardless of traffic
	Burst        float64 // most retries that can be saved up; less than 1 counts as 1
}

// DefaultBudgetConfig allows retries for 10 % of the requests. One retry per
// second lets a request be retried on an idle system. The burst covers the
// requests in flight on one target when that target fails.
func DefaultBudgetConfig() BudgetConfig {
	return BudgetConfig{Share: 0.10, MinPerSecond: 1, Burst: 10}
}

// Budget is a token bucket: first attempts and time add tokens, and each retry
// takes one. It is not safe for concurrent use.
//
// Invariant: after n requests in time t, at most Burst + Share*n +
// MinPerSecond*t retries were allowed.
type Budget struct {
	cfg        BudgetConfig
	tokens     float64
	lastRefill time.Duration
}

// NewBudget returns a full budget. All calls must pass readings of the same
// monotonic clock.
func NewBudget(cfg BudgetConfig, now time.Duration) *Budget {
	cfg.Burst = max(cfg.Burst, 1)
	return &Budget{cfg: cfg, tokens: cfg.Burst, lastRefill: now}
}

// Request counts the first attempt of a request.
func (b *Budget) Request(now time.Duration) {
	b.refill(now)
	b.addTokens(b.cfg.Share)
}

// Allow reports whether a retry is allowed now, and takes its token if so.
func (b *Budget) Allow(now time.Duration) bool {
	b.refill(now)
	// 1e-9 absorbs rounding: ten requests at a share of 0.1 must allow one retry.
	if b.tokens < 1-1e-9 {
		return false
	}
	b.tokens = max(b.tokens-1, 0)
	return true
}

func (b *Budget) refill(now time.Duration) {
	if now <= b.lastRefill {
		return
	}
	b.addTokens((now - b.lastRefill).Seconds() * b.cfg.MinPerSecond)
	b.lastRefill = now
}

func (b *Budget) addTokens(tokens float64) { b.tokens = min(b.tokens+tokens, b.cfg.Burst) }
