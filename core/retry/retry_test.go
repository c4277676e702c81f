package retry

import (
	"flag"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// The seed is fixed so that every run tests the same inputs.
func init() {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
}

// Guards against writes that run twice and false "not run" answers, over all
// combinations of inputs, also with an earlier attempt that may have run.
func TestClassifyAllInputs(t *testing.T) {
	for bits := range 1 << 7 {
		bitSet := func(i int) bool { return bits>>i&1 == 1 }
		a := Attempt{Read: bitSet(0), Written: bitSet(1), RefusedNotRun: bitSet(2), Incomplete: bitSet(3), Timeout: bitSet(4),
			EarlierMayHaveRun: bitSet(5), Needed: time.Millisecond}
		if bitSet(6) {
			a.Remaining = time.Second
		}
		mayHaveRun := a.EarlierMayHaveRun || a.Written && !a.RefusedNotRun
		completeAnswer := a.Written && !a.RefusedNotRun && !a.Incomplete && !a.Timeout
		want := AnswerNotRun
		switch {
		case completeAnswer:
			want = AnswerAsIs
		case a.Remaining > 0 && (a.Read || !mayHaveRun):
			want = Retry
		case mayHaveRun:
			want = AnswerUnknown
		}
		require.Equal(t, want, Classify(a), "%+v", a)
		require.Equal(t, mayHaveRun, a.WithoutRetry() == AnswerUnknown, "%+v", a)
	}
	require.Equal(t, AnswerNotRun, Classify(Attempt{Remaining: time.Millisecond, Needed: 2 * time.Millisecond}), "the remaining time is too short for another attempt")
}

// Guards against retries that multiply the load, and against a budget that
// allows no retry at low traffic.
func TestBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := BudgetConfig{Share: rapid.Float64Range(0, 0.5).Draw(t, "share"),
			MinPerSecond: rapid.Float64Range(0, 5).Draw(t, "min"), Burst: rapid.Float64Range(1, 20).Draw(t, "burst")}
		start := time.Hour
		b, now, requests, retries := NewBudget(cfg, start), start, 0, 0
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(-20, 200).Draw(t, "ms")) * time.Millisecond
			if rapid.Bool().Draw(t, "request") {
				b.Request(now)
				requests++
			} else if b.Allow(now) {
				retries++
			}
		}
		elapsed := max(b.lastRefill-start, 0).Seconds()
		require.LessOrEqual(t, float64(retries), cfg.Burst+cfg.Share*float64(requests)+cfg.MinPerSecond*elapsed+1e-6)
	})
	b := NewBudget(DefaultBudgetConfig(), 0)
	for b.Allow(0) {
	}
	for range 10 {
		require.False(t, b.Allow(0))
		b.Request(0)
	}
	require.True(t, b.Allow(0), "ten requests at a share of 0.1 allow one retry")
	require.False(t, b.Allow(0))
	require.True(t, b.Allow(time.Second), "one retry per second is allowed without traffic")
}

// Guards against waits outside the bounds, and against overflow after many
// retries.
func TestBackoff(t *testing.T) {
	b := DefaultBackoff()
	require.Equal(t, time.Millisecond, b.Wait(0, 0))
	require.Equal(t, 4*time.Millisecond, b.Wait(2, 0))
	require.Equal(t, 50*time.Millisecond, b.Wait(1000, 0))
	require.Less(t, b.Wait(1000, 0.999), b.Max)
}
