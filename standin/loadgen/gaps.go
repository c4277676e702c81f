package loadgen

import (
	"cmp"
	"slices"
	"time"
)

// gapTracker measures the longest gap: a time in which requests were outstanding
// or failed and none was served. A gap starts at the arrival of the first such
// request, so time without requests is not a gap, and ends when one is served.
type gapTracker struct {
	gapStart    time.Time // start of the current gap; zero if there is none
	outstanding int
	failedInGap bool // whether a request failed in the current gap
	longest     time.Duration
}

func (g *gapTracker) requestStarted(at time.Time) {
	g.outstanding++
	if g.gapStart.IsZero() {
		g.gapStart = at
	}
}

func (g *gapTracker) requestServed(at time.Time) {
	g.outstanding--
	g.extendLongest(at)
	g.failedInGap = false
	g.gapStart = time.Time{}
	if g.outstanding > 0 {
		g.gapStart = at
	}
}

func (g *gapTracker) requestFailed() {
	g.outstanding--
	g.failedInGap = true
}

// requestAbandoned records a request that its caller abandoned or did not send.
// The gap is dropped if no other request is outstanding or failed in it.
func (g *gapTracker) requestAbandoned() {
	g.outstanding--
	if g.outstanding == 0 && !g.failedInGap {
		g.gapStart = time.Time{}
	}
}

func (g *gapTracker) extendLongest(at time.Time) {
	if !g.gapStart.IsZero() {
		g.longest = max(g.longest, at.Sub(g.gapStart))
	}
}

// KeyGap is the longest gap of a key in milliseconds; see gapTracker.
type KeyGap struct {
	Key string  `json:"key"`
	MS  float64 `json:"ms"`
}

// longestKeyGaps returns the n keys with the longest gaps, longest first.
func longestKeyGaps(keys map[string]*gapTracker, end time.Time, n int) []KeyGap {
	out := make([]KeyGap, 0, len(keys))
	for key, g := range keys {
		g.extendLongest(end)
		out = append(out, KeyGap{Key: key, MS: milliseconds(g.longest)})
	}
	slices.SortFunc(out, func(a, b KeyGap) int {
		return cmp.Or(cmp.Compare(b.MS, a.MS), cmp.Compare(a.Key, b.Key))
	})
	return out[:min(n, len(out))]
}

func milliseconds(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }
