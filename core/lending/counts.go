package lending

import "time"

// Counts sums up what a lender decided and what its targets are like.
type Counts struct {
	Lent    int
	Refused map[Reason]int
	Waiting int // requests in all queues now
	// Targets that may be used now, those of them that are cold or could not be
	// reached, and their slots.
	Targets, Cold, Avoided int
	Slots, InFlight        int
}

// TakeCounts returns the counts since the last call.
func (l *Lender) TakeCounts(now time.Duration) Counts {
	c := Counts{Lent: l.lentCount, Refused: l.refusedCount, Waiting: l.queued}
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
		if !t.available(now) {
			c.Avoided++
		}
	}
	return c
}
