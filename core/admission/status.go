package admission

import "time"

// TargetStatus is what metrics show of a target.
type TargetStatus struct {
	Target      string
	BootID      string
	Available   bool
	Slots       int
	Limit       int // requests in flight that are allowed now
	InFlight    int
	Usual       time.Duration // service time, slowly smoothed
	Recent      time.Duration // service time, quickly smoothed
	PausedUntil time.Duration // clock reading; nothing starts before it
}

// Targets returns the targets in the order of their first sight.
func (g *Group) Targets() []TargetStatus {
	out := make([]TargetStatus, 0, len(g.targets))
	for _, t := range g.targets {
		out = append(out, TargetStatus{
			Target: t.name, BootID: t.bootID, Available: t.available, Slots: t.slots, Limit: t.limit,
			InFlight: t.inFlight, Usual: time.Duration(t.usual), Recent: time.Duration(t.recent), PausedUntil: t.pausedUntil,
		})
	}
	return out
}

// QueueLength returns the number of requests that wait.
func (g *Group) QueueLength() int { return g.queue.len() }

// InFlight returns the number of requests that were started and have not
// finished, also on targets that were removed.
func (g *Group) InFlight() int { return len(g.requests) - g.queue.len() }

// NextTick returns the clock reading at which a Tick has an effect, at the
// latest, if no other event comes before. It returns false if nothing waits.
func (g *Group) NextTick(now time.Duration) (time.Duration, bool) {
	if g.queue.len() == 0 {
		return 0, false
	}
	next := g.queue.earliest(anyLane).deadline
	for _, t := range g.targets {
		if now < t.pausedUntil {
			next = min(next, t.pausedUntil)
		}
		if g.free(now, t) {
			// Passed over; the estimates that led to it change with time.
			next = min(next, now+g.cfg.ProbeInterval)
		}
	}
	return next, true
}
