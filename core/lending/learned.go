package lending

import "time"

// Learned is the statistics that a lender has gathered about targets and
// routes. A successor that starts from them does not have to gather them again
// under load.
type Learned struct {
	Targets map[string]LearnedTarget // by target ID
	Work    map[string]time.Duration // by route: mean work at a target of average speed
}

// LearnedTarget is the statistics about one process (Life) of a target.
type LearnedTarget struct {
	Life     int64
	Slowness float64 // work relative to the mean of all targets
	Failing  float64 // moving average of the share of failed requests, 0 to 1
}

// Learned returns the statistics to hand over to a successor.
func (l *Lender) Learned() Learned {
	out := Learned{Targets: make(map[string]LearnedTarget, len(l.targets)), Work: make(map[string]time.Duration, len(l.routes))}
	for id, t := range l.targets {
		out.Targets[id] = LearnedTarget{Life: t.Life, Slowness: t.slowness.usually(), Failing: t.failureRate}
	}
	for route, s := range l.routes {
		out.Work[route] = s.work
	}
	return out
}

// RestoreLearned initialises the statistics from those of another lender. It is
// called once, after SetTargets. Statistics of targets that are unknown or have
// restarted since are ignored.
func (l *Lender) RestoreLearned(learned Learned) {
	for id, saved := range learned.Targets {
		if t := l.targets[id]; t != nil && t.Life == saved.Life && saved.Slowness > 0 {
			t.slowness.measured = min(max(saved.Slowness, minSlowness), maxSlowness)
			t.failureRate = min(max(saved.Failing, 0), 1)
		}
	}
	for route, work := range learned.Work {
		if work > 0 {
			l.routes[route], l.lastStats = newRouteStats(work), nil
		}
	}
}
