package baseline

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against an oracle that is not optimal, which would make the router look
// better than it is: it must use a free slot at once, and must queue a request for
// a busy target if that ends it earlier than a free slow target.
func TestOracleEndsRequestsEarliest(t *testing.T) {
	twoTargets := Oracle{Slots: 1, Factors: []float64{1, 1}, Mean: time.Second, Seed: 1}.Run([]time.Duration{0, 0})
	oneTarget := Oracle{Slots: 1, Factors: []float64{1}, Mean: time.Second, Seed: 1}.Run([]time.Duration{0, 0})
	require.Equal(t, twoTargets[0], oneTarget[0])
	require.Equal(t, twoTargets[0]+twoTargets[1], oneTarget[1], "with one slot, the second request waits for the first")
	slowSecond := Oracle{Slots: 1, Factors: []float64{1, 1000}, Mean: time.Second, Seed: 1}.Run([]time.Duration{0, 0})
	require.Equal(t, oneTarget, slowSecond)
}

// Guards against concurrency limits that do not adapt, which would make the router
// look better than it is. A limit must grow with successes up to its maximum,
// block further requests there, and halve after a failure.
func TestAdaptiveLimitRisesAndFalls(t *testing.T) {
	l := newLimits(1, 3)
	for range 10 {
		require.True(t, l.acquire(t.Context(), 0))
		l.release(0, time.Millisecond, true)
	}
	require.InDelta(t, 3, l.targets[0].limit, 0.01)
	for range 3 {
		require.True(t, l.acquire(t.Context(), 0))
	}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	require.False(t, l.acquire(ctx, 0), "as many requests are in flight as the limit allows")
	l.release(0, time.Millisecond, false)
	require.InDelta(t, 1.5, l.targets[0].limit, 0.01)
}

// Guards against a static hash that puts similar keys on few targets, which plain
// FNV does with keys that differ only in their last characters.
func TestHashSpreadsSimilarKeys(t *testing.T) {
	counts := make([]int, 7)
	for i := range 7000 {
		counts[Hash("key-"+string(rune('a'+i%26))+time.Duration(i).String(), 7)]++
	}
	for _, n := range counts {
		require.InDelta(t, 1000, n, 150)
	}
}
