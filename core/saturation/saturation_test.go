package saturation

import (
	"math/rand"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"
)

const step = 250 * time.Millisecond

// observe feeds samples for a time and returns when the monitor first asked for a handover,
// with the resource, and how often it did.
func observe(m *Monitor, from, span time.Duration, load func(now time.Duration) Sample) (first time.Duration, short Resource, times int) {
	for now := from; now < from+span; now += step {
		if r := m.Observe(now, load(now)); r != None {
			if times++; times == 1 {
				first, short = now, r
			}
		}
	}
	return first, short, times
}

// Guards against a leader that asks for a handover only once it is saturated: its load grows
// by 2 % of its capacity a second.
func TestGrowingLoadIsHandedOverBeforeSaturation(t *testing.T) {
	for short, sample := range map[Resource]func(share float64) Sample{
		CPU:  func(share float64) Sample { return Sample{CPU: share, Link: share / 2} },
		Link: func(share float64) Sample { return Sample{CPU: share / 2, Link: share} },
	} {
		var m Monitor
		share := func(now time.Duration) float64 { return 0.3 + 0.02*now.Seconds() }
		first, got, _ := observe(&m, 0, time.Minute, func(now time.Duration) Sample { return sample(share(now)) })
		assert.Equal(t, short, got)
		assert.Greater(t, share(first), busyShare)
		assert.Less(t, share(first), 0.85)
	}
}

// Guards against handovers because of short bursts, of the start of a leader, or of a noisy
// load below the threshold.
func TestBurstsAreNoReasonForAHandover(t *testing.T) {
	for name, load := range map[string]func(now time.Duration) Sample{
		"bursts of a second": func(now time.Duration) Sample {
			if now%(5*time.Second) < time.Second {
				return Sample{CPU: 0.95, Lag: 80 * time.Millisecond}
			}
			return Sample{CPU: 0.45}
		},
		"start": func(now time.Duration) Sample {
			if now < 8*time.Second {
				return Sample{CPU: 1, Lag: 200 * time.Millisecond}
			}
			return Sample{CPU: 0.5}
		},
		"lag of an idle VM": func(time.Duration) Sample { return Sample{CPU: 0.2, Lag: 100 * time.Millisecond} },
		"noise":             func(time.Duration) Sample { return Sample{CPU: 0.4 + 0.4*rand.Float64()} },
	} {
		var m Monitor
		_, _, times := observe(&m, 0, 5*time.Minute, load)
		assert.Zero(t, times, name)
	}
}

// Guards against a leader that asks again and again while no other VM takes over.
func TestRefusedHandoversAreRetriedLessAndLess(t *testing.T) {
	var m Monitor
	_, _, times := observe(&m, 0, 10*time.Minute, func(time.Duration) Sample { return Sample{CPU: 0.9} })
	assert.GreaterOrEqual(t, times, 5)
	assert.LessOrEqual(t, times, 9)
	m.Idle()
	first, _, _ := observe(&m, 11*time.Minute, time.Minute, func(time.Duration) Sample { return Sample{CPU: 0.9} })
	assert.GreaterOrEqual(t, first, 11*time.Minute+settleFor)
}

// Guards against cells that are passed to and fro between VMs: whatever the loads, a cell
// that moves only to clearly larger VMs never comes back.
func TestCellsNeverComeBack(t *testing.T) {
	sizes := []Size{{0.12, 10}, {0.4, 10}, {0.8, 200}, {0.8, 0}, {0.4, 0}, {0.4, 200}, {0.8, 10}, {0, 0}, {0, 10}, {0.55, 100}}
	rapid.Check(t, func(t *rapid.T) {
		at := rapid.SampledFrom(sizes).Draw(t, "leader")
		seen := map[Size]bool{at: true}
		for range 20 {
			next := rapid.SampledFrom(sizes).Draw(t, "candidate")
			short := rapid.SampledFrom([]Resource{CPU, Link}).Draw(t, "short")
			if at == next || !ClearlyLarger(short, next, at) {
				continue
			}
			assert.False(t, seen[next], "%v leads again", next)
			seen[next], at = true, next
		}
	})
	for _, s := range sizes {
		assert.False(t, LargerFor(s, s), "equal VMs")
	}
	assert.True(t, ClearlyLarger(CPU, Size{0.8, 200}, Size{0.4, 10}))
	assert.False(t, ClearlyLarger(CPU, Size{0.8, 10}, Size{0.4, 200}), "its link would be short")
	assert.True(t, ClearlyLarger(Link, Size{0.4, 0}, Size{0.4, 10}), "an unknown link counts as the largest")
}
