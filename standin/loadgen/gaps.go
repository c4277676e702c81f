package loadgen

import (
	"cmp"
	"slices"
	"time"
)

// availability measures the longest gap: a time in which requests were
// outstanding or failed and none was served. A gap starts at the arrival of the
// first such request and ends when a request is served, so time without
// requests is not a gap.
type availability struct {
	gapStart    time.Time // start of the current gap; zero if there is none
	outstanding int
	failedInGap bool // whether a request failed in the current gap
	longest     time.Duration
}

func (a *availability) requestStarted(at time.Time) {
	a.outstanding++
	if a.gapStart.IsZero() {
		a.gapStart = at
	}
}

func (a *availability) requestServed(at time.Time) {
	a.outstanding--
	a.extendLongest(at)
	a.failedInGap = false
	a.gapStart = time.Time{}
	if a.outstanding > 0 {
		a.gapStart = at
	}
}

func (a *availability) requestFailed() {
	a.outstanding--
	a.failedInGap = true
}

// requestAbandoned records a request that its caller gave up or did not send.
// The gap is dropped if no other request is outstanding or failed in it.
func (a *availability) requestAbandoned() {
	a.outstanding--
	if a.outstanding == 0 && !a.failedInGap {
		a.gapStart = time.Time{}
	}
}

func (a *availability) extendLongest(at time.Time) {
	if !a.gapStart.IsZero() {
		a.longest = max(a.longest, at.Sub(a.gapStart))
	}
}

// KeyGap is the longest time in milliseconds during which requests for a key
// were outstanding or failed and none was served.
type KeyGap struct {
	Key string  `json:"key"`
	MS  float64 `json:"ms"`
}

// longestKeyGaps returns the n keys with the longest gaps, longest first.
func longestKeyGaps(keys map[string]*availability, end time.Time, n int) []KeyGap {
	out := make([]KeyGap, 0, len(keys))
	for key, a := range keys {
		a.extendLongest(end)
		out = append(out, KeyGap{Key: key, MS: milliseconds(a.longest)})
	}
	slices.SortFunc(out, func(a, b KeyGap) int {
		return cmp.Or(cmp.Compare(b.MS, a.MS), cmp.Compare(a.Key, b.Key))
	})
	return out[:min(n, len(out))]
}

func milliseconds(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }
