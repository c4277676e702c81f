package admission

import "time"

// TargetStatus is the state of a target as exported to metrics.
type TargetStatus struct {
	Target      string
	BootID      string
	Available   bool
	Slots       int
	Limit       int // requests that may be in flight now
	InFlight    int
	Usual       time.Duration // moving average of the service time that follows new samples slowly
	Recent      time.Duration // moving average of the service time that follows new samples quickly
	PausedUntil time.Duration // clock reading before which no request starts
}

// Targets returns the state of the targets in the order in which they were added.
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

// QueueLength returns the number of waiting requests.
func (g *Group) QueueLength() int { return g.queue.len() }

// InFlight returns the number of requests that were started and have not
// finished, including those on removed targets.
func (g *Group) InFlight() int { return len(g.requests) - g.queue.len() }

// NextTick returns the clock reading at which the next Tick is needed if no
// other event comes first. It returns false if no request waits.
func (g *Group) NextTick(now time.Duration) (time.Duration, bool) {
	if g.queue.len() == 0 {
		return 0, false
	}
	next := g.queue.earliest(anySubqueue).deadline
	for _, t := range g.targets {
		if now < t.pausedUntil {
			next = min(next, t.pausedUntil)
		}
		if g.hasFreeSlot(now, t) {
			// A request may take the slot later without an event, since the estimates
			// change with time.
			next = min(next, now+g.cfg.ProbeInterval)
		}
	}
	return next, true
}
