package baseline

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against an oracle that is worse than it could be: it must use a free
// slot at once and prefer a fast target that is busy to a slow one that is free.
func TestOracleEndsRequestsEarliest(t *testing.T) {
	idle := Oracle{Slots: 1, Factors: []float64{1, 1}, Mean: time.Second, Seed: 1}.Run([]time.Duration{0, 0})
	alone := Oracle{Slots: 1, Factors: []float64{1}, Mean: time.Second, Seed: 1}.Run([]time.Duration{0, 0})
	require.Equal(t, idle[0], alone[0])
	require.Equal(t, idle[0]+idle[1], alone[1], "the second request waits for the first")
	slow := Oracle{Slots: 1, Factors: []float64{1, 1000}, Mean: time.Second, Seed: 1}.Run([]time.Duration{0, 0})
	require.Equal(t, alone, slow)
}

// Guards against a baseline whose limits do not adapt, which would make the
// router look better than it is.
func TestAdaptiveLimitRisesAndFalls(t *testing.T) {
	l := newLimits(1, 3)
	for range 10 {
		require.True(t, l.wait(t.Context(), 0))
		l.finish(0, time.Millisecond, true)
	}
	require.InDelta(t, 3, l.targets[0].limit, 0.01)
	for range 3 {
		require.True(t, l.wait(t.Context(), 0))
	}
	done, cancel := context.WithCancel(t.Context())
	cancel()
	require.False(t, l.wait(done, 0), "the limit is reached")
	l.finish(0, time.Millisecond, false)
	require.InDelta(t, 1.5, l.targets[0].limit, 0.01)
}

// Guards against a static hash that puts similar keys on few targets.
func TestHashSpreadsSimilarKeys(t *testing.T) {
	counts := make([]int, 7)
	for i := range 7000 {
		counts[Hash("key-"+string(rune('a'+i%26))+time.Duration(i).String(), 7)]++
	}
	for _, n := range counts {
		require.InDelta(t, 1000, n, 150)
	}
}
