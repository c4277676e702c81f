package lending

import (
	"math"
	"time"
)

// Load pattern: targets that do not report their slowdown. Their answers only tell the
// product of a route's work and a target's slowness, so the two estimates drift: after
// some hundred answers the work is half of its value or less and all targets count as
// slow. What compares the work with an objective then admits requests that will be late.
//
// Decision: the mean slowness of the targets is kept at 1.

// centreSlowness scales the measured slowness of targets that report none so that its
// mean is 1, and the work of the routes accordingly. It does nothing if a target reports
// its slowdown, which fixes the scale.
func (l *Lender) centreSlowness(now time.Duration) {
	if now < l.centredAt+tickIdle {
		return
	}
	l.centredAt = now
	sum, n := 0.0, 0
	for _, t := range l.targets {
		if t.slowness.usual > 0 {
			return
		}
		if t.usable {
			sum += t.slowness.measured
			n++
		}
	}
	if n == 0 {
		return
	}
	mean := sum / float64(n)
	for _, t := range l.targets {
		t.slowness.measured = min(max(t.slowness.measured/mean, minSlowness), maxSlowness)
		t.slowness.logRatio -= math.Log(mean)
	}
	for _, s := range l.routes {
		s.work = time.Duration(float64(s.work) * mean)
		s.logWork += math.Log(mean)
	}
}
