package lending

import (
	"math"
	"math/rand"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// Guards against estimates that drift apart: without reports, the work of a route sank
// to a half while the slowness of all targets rose.
func TestWorkDoesNotDriftWithoutReports(t *testing.T) {
	rng := rand.New(rand.NewSource(1))
	l := newLender(testConfig(), nil, pool(20)...)
	type run struct {
		id  uint64
		end time.Duration
	}
	var running []run
	var sum time.Duration
	samples := 0
	for step := range 6000 {
		now := time.Duration(step) * 5 * ms
		for len(running) > 0 && now >= running[0].end {
			l.Return(now, Usage{ID: running[0].id, Result: Answered, Took: time.Duration(200 * float64(ms) * math.Exp(0.6*rng.NormFloat64()-0.18))})
			running = running[1:]
		}
		l.RequestSlot(now, request(uint64(step), now))
		l.Tick(now)
		for id, d := range takeDecisions(l) {
			if d.Lent {
				running = append(running, run{id, now + 200*ms})
			}
		}
		if step > 2000 {
			sum += l.ExpectedWork("r")
			samples++
		}
	}
	assert.InDelta(t, (200 * ms).Seconds(), (sum / time.Duration(samples)).Seconds(), 0.03)
}
