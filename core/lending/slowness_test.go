package lending

import (
	"math"
	"math/rand"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// workTimes returns durations of requests in seconds as they vary at the deployments: by
// a factor of several, with a mean of 0.42.
func workTimes(rng *rand.Rand) float64 { return 0.42 * math.Exp(0.8*rng.NormFloat64()-0.32) }

// Guards against a load that is shared by chance: the times of single requests vary so
// much that a target's speed, learned from them alone, is off by a quarter. A target that
// reports its slowdown is known after some answers, also while neighbours on its machine
// make it three times slower now and then.
func TestSpeedOfMachineIsKnownFromReports(t *testing.T) {
	rng := rand.New(rand.NewSource(1))
	for _, speed := range []float64{0.5, 0.7, 1, 1.6} {
		for range 200 {
			e, expectedLog := newSlownessEstimate(), math.Log(0.42)-0.32
			for n := range 4 * slowdownReports {
				slowdown := speed
				if rng.Float64() < 0.2 {
					slowdown *= 3
				}
				now := time.Duration(n) * 200 * ms
				e.recordReport(now, &LoadReport{Slowdown: slowdown})
				e.recordTime(workTimes(rng)*slowdown, 0.42, expectedLog)
			}
			if unreported := math.Exp(e.logRatio); unreported > 1/unreportedSlowness && unreported < unreportedSlowness {
				assert.Equal(t, speed, e.usually())
			}
		}
	}
}

// Guards against requests that go on being sent to a target that became five times
// slower without reporting it, and against one that is taken for slow for long after.
func TestSlownessThatIsNotReportedIsMeasured(t *testing.T) {
	rng := rand.New(rand.NewSource(1))
	e, expectedLog := newSlownessEstimate(), math.Log(0.42)-0.32
	answer := func(factor float64) {
		e.recordReport(0, &LoadReport{Slowdown: 0.7})
		e.recordTime(workTimes(rng)*0.7*factor, 0.42, expectedLog)
	}
	for range 20 {
		answer(1)
	}
	assert.Equal(t, 0.7, e.usually())
	n := 0
	for ; e.usually() < 1.2; n++ {
		answer(5)
	}
	assert.LessOrEqual(t, n, 12, "answers until it counts as slow")
	for range 12 {
		answer(5)
	}
	for n = 0; e.usually() > 0.7; n++ {
		answer(1)
	}
	assert.LessOrEqual(t, n, 20, "answers until it counts as fast again")
}

// Guards against a target without load reports whose times are not used, and against
// reports that are no numbers of a machine.
func TestSlownessWithoutReports(t *testing.T) {
	e := newSlownessEstimate()
	for range 60 {
		e.recordReport(0, &LoadReport{})
		e.recordReport(0, &LoadReport{Slowdown: -3})
		e.recordReport(0, nil)
		e.recordTime(0.84, 0.42, math.Log(0.42))
	}
	assert.InDelta(t, 2, e.usually(), 0.1)
	e.recordReport(0, &LoadReport{Slowdown: 1e9})
	assert.LessOrEqual(t, e.usually(), maxSlowdown)
}

// Guards against a momentary slowdown that is taken for the usual one, or that steers
// requests for longer than it lasts.
func TestMomentarySlowdownFades(t *testing.T) {
	e := newSlownessEstimate()
	e.recordReport(0, &LoadReport{Slowdown: 0.7})
	e.recordReport(100*ms, &LoadReport{Slowdown: 2.1})
	assert.Equal(t, 0.7, e.usually())
	assert.InDelta(t, 3, e.excessNow(100*ms), 1e-9)
	assert.InDelta(t, 2, e.excessNow(100*ms+slowdownHalfLife), 1e-9)
	assert.InDelta(t, 1, e.excessNow(5*time.Second), 0.01)
}
