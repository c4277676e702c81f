package baseline

import (
	"math/rand"
	"time"
)

// Oracle simulates an ideal scheduler with one queue in front of all targets. It
// knows the service time of each request in advance and assigns the request to the
// slot in which it ends first.
type Oracle struct {
	Slots   int           // per target
	Factors []float64     // service time factor of each target
	Mean    time.Duration // of the exponential service times
	Seed    int64         // of the service times
}

// Run returns the latency of each request, queue wait included. The arrivals are
// times since the start of the run, in ascending order.
func (o Oracle) Run(arrivals []time.Duration) []time.Duration {
	rng := rand.New(rand.NewSource(o.Seed))
	freeAt := make([][]time.Duration, len(o.Factors))
	for i := range freeAt {
		freeAt[i] = make([]time.Duration, o.Slots)
	}
	out := make([]time.Duration, len(arrivals))
	for n, at := range arrivals {
		work := rng.ExpFloat64() * float64(o.Mean)
		target, slot, end := 0, 0, time.Duration(-1)
		for t, slots := range freeAt {
			for s, slotFreeAt := range slots {
				if e := max(at, slotFreeAt) + time.Duration(work*o.Factors[t]); end < 0 || e < end {
					target, slot, end = t, s, e
				}
			}
		}
		freeAt[target][slot] = end
		out[n] = end - at
	}
	return out
}
