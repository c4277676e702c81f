package keyspace

import (
	"slices"
	"time"
)

// Candidate is a target that keys may be assigned to.
type Candidate struct {
	Holder
	Capacity float64 // slots, divided by the factor by which the target is slower than average
}

// Pending reports whether a proposal has not been committed to the store yet.
func (m *Manager) Pending() bool { return m.pending != nil }

// Propose returns the assignments after the next change, or false if there is
// nothing to change, a proposal is pending, or the processes of all candidates are
// known to have ended. Ranges that need a new fence have fence 0. The proposal takes
// effect with Committed.
func (m *Manager) Propose(now time.Duration, candidates []Candidate, load *Load) ([]Assignment, bool) {
	if m.pending != nil {
		return nil, false
	}
	pl := newPlanner(m, now, candidates, load)
	if len(pl.all) == 0 {
		return nil, false
	}
	pl.renewSupersededFences()
	pl.reassignUnowned()
	if !pl.changed {
		pl.balance()
	}
	if !pl.changed && !m.priorCleared(now) {
		return nil, false
	}
	m.pending = &proposal{pl.ranges}
	out := make([]Assignment, 0, len(pl.ranges))
	for _, p := range pl.ranges {
		out = append(out, p.record())
	}
	return out, true
}

// Withdraw drops the pending proposal: no record that the store holds makes it
// effective.
func (m *Manager) Withdraw() { m.pending = nil }

// priorCleanupDelay is the least time from a commit until the record is rewritten
// without prior holders that no longer hold keys. A new leader that reads a record
// with such holders waits for them, although the new owners already serve the keys.
const priorCleanupDelay = time.Second

// priorCleared reports whether the stored record should be rewritten because none of
// the prior holders that it names can hold keys any more.
func (m *Manager) priorCleared(now time.Duration) bool {
	if !m.recordHasPrior || now < m.committedAt+priorCleanupDelay {
		return false
	}
	return !slices.ContainsFunc(m.ranges, func(p *keyRange) bool { return len(p.prior) > 0 })
}

// TakeOver proposes the same owners with new fences. Every target that accepts a
// new fence rejects the prior manager's grants from then on.
func (m *Manager) TakeOver() []Assignment {
	pl := &planner{m: m}
	var out []Assignment
	for _, p := range m.ranges {
		c := p.copy()
		if c.Owner.Target != "" {
			c.Fence, c.accepted = 0, false
		}
		pl.ranges = append(pl.ranges, c)
		out = append(out, c.record())
	}
	m.pending = &proposal{pl.ranges}
	return out
}

// Committed makes the pending proposal effective. fence is the number that the
// store gave to its record; the ranges that need a new fence get it.
func (m *Manager) Committed(now time.Duration, fence int64) {
	if m.pending == nil {
		return
	}
	for _, p := range m.pending.ranges {
		p.inherit(m.ranges)
	}
	m.ranges, m.pending = m.pending.ranges, nil
	m.committedAt = now
	m.recordHasPrior = slices.ContainsFunc(m.ranges, func(p *keyRange) bool { return len(p.prior) > 0 })
	for _, p := range m.ranges {
		if p.Fence == 0 && p.Owner.Target != "" {
			p.Fence = fence
		}
	}
}

// inherit copies into a proposed range the state of the current ranges that
// overlap it. Renewals and releases continue while the store commits the
// proposal, so the copy made by Propose may be out of date.
func (p *keyRange) inherit(current []*keyRange) {
	p.calls = nil
	for _, c := range current {
		if c.To < p.From || c.From > p.To {
			continue
		}
		for _, inFlight := range c.calls {
			if !inFlight.done && !slices.Contains(p.calls, inFlight) {
				p.calls = append(p.calls, inFlight)
			}
		}
		if p.Owner == c.Owner {
			p.heldUntil, p.uncertainUntil = max(p.heldUntil, c.heldUntil), max(p.uncertainUntil, c.uncertainUntil)
			p.granted = p.granted && c.granted
		}
		if p.Owner == c.Owner && p.Fence == c.Fence {
			p.granted, p.accepted, p.superseded = c.granted, c.accepted, c.superseded
			p.sentAt, p.retryAt, p.handover = c.sentAt, c.retryAt, c.handover
		}
		for i := range p.prior {
			p.prior[i].inherit(c)
		}
	}
}

// inherit extends the times up to which a prior holder may hold its range to
// those that the current range c has for the same hold.
func (h *priorHold) inherit(c *keyRange) {
	if h.Holder == c.Owner && h.Fence == c.Fence {
		h.heldUntil, h.uncertainUntil = max(h.heldUntil, c.heldUntil), max(h.uncertainUntil, c.uncertainUntil)
	}
	for _, same := range c.prior {
		if same.Hold == h.Hold {
			h.heldUntil, h.uncertainUntil = max(h.heldUntil, same.heldUntil), max(h.uncertainUntil, same.uncertainUntil)
		}
	}
}

func (p *keyRange) copy() *keyRange {
	c := *p
	c.prior = slices.Clone(p.prior)
	c.calls = slices.Clone(p.calls)
	return &c
}
