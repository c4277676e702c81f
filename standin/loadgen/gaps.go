package loadgen

import (
	"cmp"
	"slices"
	"time"
)

// availability measures how long requests were not served. A gap begins with
// the first request that is not served at once and ends when one is served, so
// that a time without requests is no gap.
type availability struct {
	waiting     time.Time // start of the gap; zero while there is none
	outstanding int
	failed      bool // a request failed in the gap
	longest     time.Duration
}

func (a *availability) began(at time.Time) {
	a.outstanding++
	if a.waiting.IsZero() {
		a.waiting = at
	}
}

func (a *availability) served(at time.Time) {
	a.outstanding--
	a.extend(at)
	a.failed = false
	a.waiting = time.Time{}
	if a.outstanding > 0 {
		a.waiting = at
	}
}

func (a *availability) lost() {
	a.outstanding--
	a.failed = true
}

// withdrawn is called for a request that its caller gave up.
func (a *availability) withdrawn() {
	a.outstanding--
	if a.outstanding == 0 && !a.failed {
		a.waiting = time.Time{}
	}
}

func (a *availability) extend(at time.Time) {
	if !a.waiting.IsZero() {
		a.longest = max(a.longest, at.Sub(a.waiting))
	}
}

// KeyGap is the longest time during which requests for a key were not served.
type KeyGap struct {
	Key string  `json:"key"`
	MS  float64 `json:"ms"`
}

// worstKeys returns the keys with the longest gaps, longest first.
func worstKeys(keys map[string]*availability, end time.Time, n int) []KeyGap {
	out := make([]KeyGap, 0, len(keys))
	for key, a := range keys {
		a.extend(end)
		out = append(out, KeyGap{Key: key, MS: milliseconds(a.longest)})
	}
	slices.SortFunc(out, func(a, b KeyGap) int {
		return cmp.Or(cmp.Compare(b.MS, a.MS), cmp.Compare(a.Key, b.Key))
	})
	return out[:min(n, len(out))]
}

func milliseconds(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }
