package keyspace

import (
	"slices"
	"time"
)

// Candidate is a target that may own keys.
type Candidate struct {
	Holder
	Capacity float64 // slots, relative to those of a target of usual speed
}

// Pending tells whether a proposal waits for the store.
func (m *Manager) Pending() bool { return m.pending != nil }

// Propose returns the assignments after the next change, or false if nothing
// is to change or a proposal is open. New owners have fence 0. The proposal
// takes effect with Committed.
func (m *Manager) Propose(now time.Duration, candidates []Candidate, load *Load) ([]Assignment, bool) {
	if m.pending != nil {
		return nil, false
	}
	pl := newPlanner(m, now, candidates, load)
	if len(pl.all) == 0 {
		return nil, false
	}
	pl.refence()
	pl.replaceOwners()
	if !pl.change {
		pl.balance()
	}
	if !pl.change && !m.settled(now) {
		return nil, false
	}
	m.pending = &proposal{pl.parts}
	out := make([]Assignment, 0, len(pl.parts))
	for _, p := range pl.parts {
		out = append(out, p.record())
	}
	return out, true
}

// settlePause is how long the record may name earlier holders that are gone. A
// successor would wait for them, though their keys are served.
const settlePause = time.Second

// settled tells whether the record names earlier holders that all have been
// released or waited out since.
func (m *Manager) settled(now time.Duration) bool {
	if !m.recordsPrior || now < m.committedAt+settlePause {
		return false
	}
	return !slices.ContainsFunc(m.parts, func(p *part) bool { return len(p.prior) > 0 })
}

// TakeOver proposes the same owners with new fences, which ends the authority
// of the previous manager at all targets that can be reached.
func (m *Manager) TakeOver() []Assignment {
	pl := &planner{m: m}
	var out []Assignment
	for _, p := range m.parts {
		c := p.copy()
		if c.Owner.Target != "" {
			c.Fence, c.accepted = 0, false
		}
		pl.parts = append(pl.parts, c)
		out = append(out, c.record())
	}
	m.pending = &proposal{pl.parts}
	return out
}

// Committed makes the open proposal effective. Fence is the number of its record.
func (m *Manager) Committed(now time.Duration, fence int64) {
	if m.pending == nil {
		return
	}
	for _, p := range m.pending.parts {
		p.inherit(m.parts)
	}
	m.parts, m.pending = m.pending.parts, nil
	m.committedAt = now
	m.recordsPrior = slices.ContainsFunc(m.parts, func(p *part) bool { return len(p.prior) > 0 })
	for _, p := range m.parts {
		if p.Fence == 0 && p.Owner.Target != "" {
			p.Fence = fence
		}
	}
}

// inherit takes over what happened to the keys of a part while it waited for
// the store: renewals and releases went on.
func (p *part) inherit(current []*part) {
	p.calls = nil
	for _, c := range current {
		if c.To < p.From || c.From > p.To {
			continue
		}
		for _, open := range c.calls {
			if !open.done && !slices.Contains(p.calls, open) {
				p.calls = append(p.calls, open)
			}
		}
		if p.Owner == c.Owner {
			p.until, p.unsureTo = max(p.until, c.until), max(p.unsureTo, c.unsureTo)
			p.granted = p.granted && c.granted
		}
		if p.Owner == c.Owner && p.Fence == c.Fence {
			p.granted, p.accepted, p.outdone = c.granted, c.accepted, c.outdone
			p.sentAt, p.retryAt, p.handover = c.sentAt, c.retryAt, c.handover
		}
		for i := range p.prior {
			p.prior[i].inherit(c)
		}
	}
}

func (h *priorHold) inherit(c *part) {
	if h.Holder == c.Owner && h.Fence == c.Fence {
		h.until, h.unsureTo = max(h.until, c.until), max(h.unsureTo, c.unsureTo)
	}
	for _, same := range c.prior {
		if same.Hold == h.Hold {
			h.until, h.unsureTo = max(h.until, same.until), max(h.unsureTo, same.unsureTo)
		}
	}
}

func (p *part) copy() *part {
	c := *p
	c.prior = slices.Clone(p.prior)
	c.calls = slices.Clone(p.calls)
	return &c
}
