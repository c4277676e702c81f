package admission

import "time"

const (
	// Targets whose cost is within this factor of the lowest share the load:
	// estimates from few samples differ by as much without a reason.
	costTolerance = 1.25
	// A free target is passed over only if waiting promises to be faster by
	// this factor, for the same reason.
	waitMargin = 1.5
	// One start in this many may go to a target that is otherwise not chosen.
	// At ten times the service time it moves the 99th percentile of
	// exponential service times by 5 %.
	probeStarts = 500
	// In a group with little traffic, a target is tried after this many probe
	// intervals.
	probeIntervals = 100
	// Service time of a target before any was measured in the group.
	defaultServiceTime = time.Millisecond
)

// choice is a target for the next start.
type choice struct {
	target *target
	probe  bool
}

// free reports whether another request may start on t.
func (g *Group) free(now time.Duration, t *target) bool {
	return t.usable(now) && !t.alone && t != g.reserved && t.inFlight < t.limit
}

// typical is the mean of the recent service times, in nanoseconds.
func (g *Group) typical() float64 {
	sum, n := 0.0, 0
	for _, t := range g.targets {
		if t.samples > 0 {
			sum += t.recent
			n++
		}
	}
	if n == 0 {
		return float64(defaultServiceTime)
	}
	return sum / float64(n)
}

// choose returns the target that is expected to finish a request first, other
// than avoid. There is none if all are busy or if waiting is expected to be
// faster than the best free one.
func (g *Group) choose(now time.Duration, avoid *target) choice {
	typical := g.typical()
	best := g.best(now, avoid, typical)
	if best == nil {
		return choice{}
	}
	if t := g.dueProbe(now, avoid, best); t != nil {
		return choice{t, true}
	}
	if g.passOver(now, best, avoid, typical) {
		// A more loaded target may still have a free slot and be fast enough.
		best = g.fastest(now, avoid, typical)
	}
	if g.passOver(now, best, avoid, typical) {
		return choice{}
	}
	return choice{best, false}
}

// fastest returns the free target of the lowest estimate, whatever its load.
func (g *Group) fastest(now time.Duration, avoid *target, typical float64) *target {
	var fastest *target
	lowest := 0.0
	for _, t := range g.targets {
		if t == avoid || !g.free(now, t) {
			continue
		}
		if e := g.estimate(now, t, typical); fastest == nil || e < lowest {
			fastest, lowest = t, e
		}
	}
	return fastest
}

// best returns the free target of the lowest cost; of those within
// costTolerance the least loaded, then the one that was used least recently.
func (g *Group) best(now time.Duration, avoid *target, typical float64) *target {
	lowest := 0.0
	for _, t := range g.targets {
		if t != avoid && g.free(now, t) {
			if c := g.cost(now, t, typical); lowest == 0 || c < lowest {
				lowest = c
			}
		}
	}
	var best *target
	for _, t := range g.targets {
		if t == avoid || !g.free(now, t) || g.cost(now, t, typical) > lowest*costTolerance {
			continue
		}
		if best == nil || t.load() < best.load() || t.load() == best.load() && t.lastStart < best.lastStart {
			best = t
		}
	}
	return best
}

func (g *Group) cost(now time.Duration, t *target, typical float64) float64 {
	return g.estimate(now, t, typical) * (1 + t.load())
}

func (g *Group) estimate(now time.Duration, t *target, typical float64) float64 {
	return max(1, t.estimate(now, typical, g.cfg.ColdFactor))
}

// dueProbe returns the idle target that was not used for the longest time, if
// it is due for a trial.
func (g *Group) dueProbe(now time.Duration, avoid, best *target) *target {
	var due *target
	for _, t := range g.targets {
		if t == avoid || t == best || t.inFlight > 0 || !g.free(now, t) {
			continue
		}
		idle := now - t.lastStart
		if idle < g.cfg.ProbeInterval || g.sinceProbe < probeStarts && idle < probeIntervals*g.cfg.ProbeInterval {
			continue
		}
		if due == nil || t.lastStart < due.lastStart {
			due = t
		}
	}
	return due
}

// passOver reports whether a slot of a faster target is expected to come free
// early enough for the whole queue to finish earlier there than on best.
func (g *Group) passOver(now time.Duration, best, avoid *target, typical float64) bool {
	limit := g.estimate(now, best, typical) / waitMargin
	fastest, rate := limit, 0.0
	for _, t := range g.targets {
		if t == best || t == avoid || t == g.reserved || t.alone || !t.usable(now) || t.inFlight < t.limit {
			continue
		}
		if e := g.estimate(now, t, typical); e < limit {
			fastest = min(fastest, e)
			rate += float64(t.limit) / e
		}
	}
	return rate > 0 && float64(g.queue.len())/rate+fastest < limit
}

// avoided returns the target that r must not start on, or nil.
func (g *Group) avoided(now time.Duration, avoid string) *target {
	t := g.byName[avoid]
	if t == nil {
		return nil
	}
	for _, o := range g.targets {
		if o != t && o.usable(now) {
			return t
		}
	}
	return nil
}

// chooseAlone returns an idle target for an Alone request, or nil. If reserve is
// set and the request must wait, one target is held back until it is idle; it
// stays the same while it is usable, so that the wait ends.
func (g *Group) chooseAlone(now time.Duration, r *request, reserve bool) *target {
	best := g.bestAlone(now, g.avoided(now, r.avoid))
	if best == nil || best.inFlight == 0 {
		return best
	}
	if g.reserved != nil && g.reserved.usable(now) && !g.reserved.alone {
		best = g.reserved
	}
	if best.inFlight == 0 {
		return best
	}
	if reserve {
		g.reserved = best
	}
	return nil
}

// bestAlone returns the target that is expected to run its requests in flight
// and then one more in the shortest time.
func (g *Group) bestAlone(now time.Duration, avoid *target) *target {
	typical := g.typical()
	var best *target
	lowest := 0.0
	for _, t := range g.targets {
		if t == avoid || t.alone || !t.usable(now) {
			continue
		}
		e := g.estimate(now, t, typical)
		if t.inFlight > 0 {
			e *= 2
		}
		if best == nil || e < lowest {
			best, lowest = t, e
		}
	}
	return best
}
