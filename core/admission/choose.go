package admission

import "time"

const (
	// Targets whose cost is at most costTolerance times the lowest share the load.
	// Estimates from few samples differ by as much at random.
	costTolerance = 1.25
	// A free target is left idle only if busy ones are expected to finish sooner by
	// the factor waitMargin, since estimates from few samples differ at random.
	waitMargin = 1.5
	// probeEveryStarts is the number of starts after which one may be a probe: a
	// request to an idle target that would not be chosen otherwise. At this rate,
	// probes of a target that is ten times slower raise the 99th percentile of
	// exponential service times by 5 %.
	probeEveryStarts = 500
	// maxIdleProbeIntervals is the idle time, in probe intervals, after which a
	// target is probed even if there were fewer starts, as in a group with little
	// traffic.
	maxIdleProbeIntervals = 100
	// defaultServiceTime is the expected service time until one is measured in
	// the group.
	defaultServiceTime = time.Millisecond
)

// choice is the target for the next start. Its target is nil if the request has
// to wait.
type choice struct {
	target *target
	probe  bool
}

// hasFreeSlot reports whether a request that is not exclusive may start on t now.
func (g *Group) hasFreeSlot(now time.Duration, t *target) bool {
	return t.usable(now) && !t.exclusive && t != g.reserved && t.inFlight < t.limit
}

// meanTime returns the mean of the targets' recent service times in nanoseconds,
// or defaultServiceTime before the first sample.
func (g *Group) meanTime() float64 {
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

// choose returns a target other than avoid: one that is due for a probe, or else
// one of those that are expected to finish a request first. It returns no target
// if none is free, or if busy targets are expected to be faster.
func (g *Group) choose(now time.Duration, avoid *target) choice {
	meanTime := g.meanTime()
	best := g.best(now, avoid, meanTime)
	if best == nil {
		return choice{}
	}
	if t := g.targetDueForProbe(now, avoid, best); t != nil {
		return choice{t, true}
	}
	if g.waitIsFaster(now, best, avoid, meanTime) {
		// best prefers targets with little load. A more loaded one may still have
		// a free slot and be fast enough.
		best = g.fastest(now, avoid, meanTime)
	}
	if g.waitIsFaster(now, best, avoid, meanTime) {
		return choice{}
	}
	return choice{best, false}
}

// fastest returns the free target with the lowest estimate, regardless of its
// load.
func (g *Group) fastest(now time.Duration, avoid *target, meanTime float64) *target {
	var fastest *target
	lowest := 0.0
	for _, t := range g.targets {
		if t == avoid || !g.hasFreeSlot(now, t) {
			continue
		}
		if e := g.estimate(now, t, meanTime); fastest == nil || e < lowest {
			fastest, lowest = t, e
		}
	}
	return fastest
}

// best returns a free target whose cost is within costTolerance of the lowest,
// or nil if none is free. Among several it prefers the least loaded one, then
// the one that was used least recently.
func (g *Group) best(now time.Duration, avoid *target, meanTime float64) *target {
	lowest := 0.0
	for _, t := range g.targets {
		if t != avoid && g.hasFreeSlot(now, t) {
			if c := g.cost(now, t, meanTime); lowest == 0 || c < lowest {
				lowest = c
			}
		}
	}
	var best *target
	for _, t := range g.targets {
		if t == avoid || !g.hasFreeSlot(now, t) || g.cost(now, t, meanTime) > lowest*costTolerance {
			continue
		}
		if best == nil || t.load() < best.load() || t.load() == best.load() && t.lastStart < best.lastStart {
			best = t
		}
	}
	return best
}

// cost returns the estimate of a target, increased by its load.
func (g *Group) cost(now time.Duration, t *target, meanTime float64) float64 {
	return g.estimate(now, t, meanTime) * (1 + t.load())
}

// estimate returns the expected service time of a request on t, in nanoseconds
// and at least 1.
func (g *Group) estimate(now time.Duration, t *target, meanTime float64) float64 {
	return max(1, t.estimate(now, meanTime, g.cfg.ColdFactor))
}

// targetDueForProbe returns the idle target that was unused for the longest
// time, if it is due for a probe, or nil.
func (g *Group) targetDueForProbe(now time.Duration, avoid, best *target) *target {
	var due *target
	for _, t := range g.targets {
		if t == avoid || t == best || t.inFlight > 0 || !g.hasFreeSlot(now, t) {
			continue
		}
		idle := now - t.lastStart
		if idle < g.cfg.ProbeInterval || g.startsSinceProbe < probeEveryStarts && idle < maxIdleProbeIntervals*g.cfg.ProbeInterval {
			continue
		}
		if due == nil || t.lastStart < due.lastStart {
			due = t
		}
	}
	return due
}

// waitIsFaster reports whether faster targets that are busy now are expected to
// finish the whole queue in less time than best needs for one request, divided
// by waitMargin.
func (g *Group) waitIsFaster(now time.Duration, best, avoid *target, meanTime float64) bool {
	limit := g.estimate(now, best, meanTime) / waitMargin
	fastest, rate := limit, 0.0
	for _, t := range g.targets {
		if t == best || t == avoid || t == g.reserved || t.exclusive || !t.usable(now) || t.inFlight < t.limit {
			continue
		}
		if e := g.estimate(now, t, meanTime); e < limit {
			fastest = min(fastest, e)
			rate += float64(t.limit) / e
		}
	}
	return rate > 0 && float64(g.queue.len())/rate+fastest < limit
}

// avoidedTarget returns the target named avoid if another target is usable, or
// nil if a request may start on any target.
func (g *Group) avoidedTarget(now time.Duration, avoid string) *target {
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

// chooseExclusive returns an idle target for an exclusive request, or nil if the
// request must wait. If reserve is set and the request must wait, one target is
// reserved: nothing else starts there until it is idle. The reservation does
// not change while that target is usable, so the wait is bounded.
func (g *Group) chooseExclusive(now time.Duration, r *request, reserve bool) *target {
	best := g.bestExclusive(now, g.avoidedTarget(now, r.avoid))
	if best == nil || best.inFlight == 0 {
		return best
	}
	if g.reserved != nil && g.reserved.usable(now) && !g.reserved.exclusive {
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

// bestExclusive returns the usable target that is expected to finish an exclusive
// request first. Requests in flight, which end before it, count as one request.
func (g *Group) bestExclusive(now time.Duration, avoid *target) *target {
	meanTime := g.meanTime()
	var best *target
	lowest := 0.0
	for _, t := range g.targets {
		if t == avoid || t.exclusive || !t.usable(now) {
			continue
		}
		e := g.estimate(now, t, meanTime)
		if t.inFlight > 0 {
			e *= 2
		}
		if best == nil || e < lowest {
			best, lowest = t, e
		}
	}
	return best
}
