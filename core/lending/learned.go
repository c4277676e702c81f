package lending

import "time"

// Learned is what a lender has found out about targets and routes. A successor
// that begins with it does not have to learn it again under load.
type Learned struct {
	Targets map[string]LearnedTarget // by id
	Work    map[string]time.Duration // by route: mean at a target of usual speed
}

// LearnedTarget is what was learned about one life of a target.
type LearnedTarget struct {
	Life     int64
	Slowness float64 // work relative to the mean of all targets
	Failing  float64 // share of failed requests, 0 to 1
}

// Learned returns what the lender has found out.
func (l *Lender) Learned() Learned {
	out := Learned{Targets: make(map[string]LearnedTarget, len(l.targets)), Work: make(map[string]time.Duration, len(l.routes))}
	for id, t := range l.targets {
		out.Targets[id] = LearnedTarget{Life: t.Life, Slowness: t.slowness, Failing: t.failing}
	}
	for route, s := range l.routes {
		out.Work[route] = s.work
	}
	return out
}

// Begin takes what another lender has found out. It is called once, after the
// targets were set.
func (l *Lender) Begin(known Learned) {
	for id, k := range known.Targets {
		if t := l.targets[id]; t != nil && t.Life == k.Life && k.Slowness > 0 {
			t.slowness = min(max(k.Slowness, minSlowness), maxSlowness)
			t.failing = min(max(k.Failing, 0), 1)
		}
	}
	for route, work := range known.Work {
		if work > 0 {
			l.routes[route] = &routeStats{work: work}
		}
	}
}
