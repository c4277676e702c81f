package baseline

import (
	"math/rand"
	"time"
)

// Oracle is one perfect queue in front of all targets. It knows the service
// time of each request and starts it where it ends first.
type Oracle struct {
	Slots   int       // of each target
	Factors []float64 // by target, of the service times
	Mean    time.Duration
	Seed    int64
}

// Run returns the time that each request takes, for arrivals in order.
func (o Oracle) Run(arrivals []time.Duration) []time.Duration {
	rng := rand.New(rand.NewSource(o.Seed))
	free := make([][]time.Duration, len(o.Factors))
	for i := range free {
		free[i] = make([]time.Duration, o.Slots)
	}
	out := make([]time.Duration, len(arrivals))
	for n, at := range arrivals {
		work := rng.ExpFloat64() * float64(o.Mean)
		target, slot, end := 0, 0, time.Duration(-1)
		for t, slots := range free {
			for s, until := range slots {
				if e := max(at, until) + time.Duration(work*o.Factors[t]); end < 0 || e < end {
					target, slot, end = t, s, e
				}
			}
		}
		free[target][slot] = end
		out[n] = end - at
	}
	return out
}
