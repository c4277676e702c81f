package lending

import "time"

// Counts holds the numbers of a lender's decisions since the last TakeCounts and the
// present state of its queues and targets.
type Counts struct {
	Lent    int
	Refused map[Reason]int
	Waiting int // number of requests in all queues now
	// Targets is the number of usable targets. Cold counts those of them that are
	// warming up, Leaving those that get no requests because they leave, BackingOff those
	// that are in backoff because they could not be reached. Slots is the sum over the
	// usable targets, InFlight the number of requests at all targets.
	Targets, Cold, Leaving, BackingOff int
	Slots, InFlight                    int
	// Locality tells how each data centre's requests were served since the last
	// TakeCounts; it is nil unless Config.Spillover is set.
	Locality []LocalityCounts
}

// Open returns the number of requests that wait or hold a slot.
func (l *Lender) Open() int { return l.queued + len(l.leases) }

// TakeCounts returns the counts and resets those since the last call.
func (l *Lender) TakeCounts(now time.Duration) Counts {
	c := Counts{Lent: l.lentCount, Refused: l.refusedCount, Waiting: l.queued, Locality: l.spillover.takeCounts()}
	l.lentCount, l.refusedCount = 0, map[Reason]int{}
	for _, t := range l.targets {
		c.InFlight += t.inFlight
		if !t.usable {
			continue
		}
		c.Targets++
		c.Slots += l.slotsOf(now, t)
		if t.cold(now) {
			c.Cold++
		}
		switch {
		case t.leaves(now):
			c.Leaving++
		case !t.available(now):
			c.BackingOff++
		}
	}
	return c
}
