package keyspace

import (
	"slices"
	"time"
)

// callPause is the least time between two calls for a range whose last call
// failed, and releasePause that between two releases: a holder that does not
// answer is waited out, so that calling it often gains little.
const (
	callPause    = 150 * time.Millisecond
	releasePause = time.Second
)

// Step returns the calls that are due. MayRun tells whether a holder may still
// run; one that does not is known to hold nothing.
func (m *Manager) Step(now time.Duration, mayRun func(Holder) bool) []Action {
	var out []Action
	alive := func(h Holder) bool { return !m.ended[h] && mayRun(h) }
	for _, p := range m.parts {
		m.dropPrior(now, p, alive)
		if a, ok := m.nextRelease(now, p); ok {
			out = append(out, a)
			continue
		}
		if a, ok := m.nextGrant(now, p, alive); ok {
			out = append(out, a)
		}
	}
	return out
}

// dropPrior forgets the earlier holders that cannot hold the part any more.
func (m *Manager) dropPrior(now time.Duration, p *part, alive func(Holder) bool) {
	p.prior = slices.DeleteFunc(p.prior, func(h priorHold) bool {
		if p.open(h.Holder) {
			return false
		}
		return !alive(h.Holder) || now >= h.until || h.released && now >= h.unsureTo
	})
}

// open tells whether a call for keys of the part is open at a holder.
func (p *part) open(h Holder) bool {
	return slices.ContainsFunc(p.calls, func(c *call) bool { return !c.done && c.Holder == h })
}

func (p *part) trimCalls() {
	p.calls = slices.DeleteFunc(p.calls, func(c *call) bool { return c.done })
}

func (m *Manager) nextRelease(now time.Duration, p *part) (Action, bool) {
	for i := range p.prior {
		h := &p.prior[i]
		if h.released || now < h.retryAt || p.open(h.Holder) {
			continue
		}
		h.retryAt = now + releasePause
		return m.call(now, p, Action{Kind: Release, Holder: h.Holder, Fence: h.Fence}, h.until), true
	}
	return Action{}, false
}

func (m *Manager) nextGrant(now time.Duration, p *part, alive func(Holder) bool) (Action, bool) {
	if len(p.prior) > 0 || p.Owner.Target == "" || p.Fence == 0 || !alive(p.Owner) {
		return Action{}, false
	}
	if p.open(p.Owner) || now < p.retryAt || p.outdone || p.accepted && p.granted && now < p.sentAt+m.cfg.Renew {
		return Action{}, false
	}
	p.sentAt = now
	heldTo := p.until
	p.until = max(p.until, now+m.cfg.longest())
	return m.call(now, p, Action{Kind: Grant, Holder: p.Owner, Fence: p.Fence, Handover: p.handover}, heldTo), true
}

func (m *Manager) call(now time.Duration, p *part, a Action, heldTo time.Duration) Action {
	m.nextID++
	a.ID, a.From, a.To = m.nextID, p.From, p.To
	c := &call{Action: a, sent: now, heldTo: heldTo}
	m.calls[a.ID] = c
	p.trimCalls()
	p.calls = append(p.calls, c)
	return a
}

// Done reports the end of a call. Handover is the answer to a release.
func (m *Manager) Done(now time.Duration, id uint64, result CallResult, handover string) {
	c, ok := m.calls[id]
	if !ok {
		return
	}
	delete(m.calls, id)
	c.done = true
	m.noteReach(now, c, result)
	for _, p := range m.parts {
		if p.From < c.From || p.To > c.To {
			continue
		}
		if c.Kind == Release {
			p.releaseDone(now, c, result, handover)
		} else {
			p.grantDone(now, c, result, m.cfg)
		}
	}
}

func (m *Manager) noteReach(now time.Duration, c *call, result CallResult) {
	switch result {
	case Accepted, Superseded:
		delete(m.failing, c.Holder)
		return
	case Ended:
		m.ended[c.Holder] = true
	}
	if _, since := m.failing[c.Holder]; !since {
		m.failing[c.Holder] = now
	}
}

func (p *part) grantDone(now time.Duration, c *call, result CallResult, cfg Config) {
	if p.Owner == c.Holder && result == NoAnswer {
		p.unsureTo = max(p.unsureTo, c.sent+cfg.longest())
		p.until = max(p.until, p.unsureTo)
	}
	if p.Owner != c.Holder || p.Fence != c.Fence {
		p.priorGrantDone(now, c, result, cfg)
		return
	}
	p.retryAt = now + callPause
	switch result {
	case Accepted:
		p.granted, p.accepted, p.retryAt, p.handover = true, true, 0, ""
		p.until = max(now+cfg.held(), p.unsureTo)
	case Superseded:
		p.granted, p.outdone = false, true
	case Ended:
		p.granted = false
	case NotSent:
		if p.until == c.sent+cfg.longest() {
			p.until = max(c.heldTo, p.unsureTo)
		}
		p.granted = p.granted && now < p.until
	case NoAnswer:
		p.granted = p.granted && now < p.until
	}
}

// priorGrantDone handles a grant that was sent before the part changed hands.
func (p *part) priorGrantDone(now time.Duration, c *call, result CallResult, cfg Config) {
	for i := range p.prior {
		h := &p.prior[i]
		if h.Holder != c.Holder || h.Fence != c.Fence {
			continue
		}
		switch result {
		case Accepted:
			h.until = max(now+cfg.held(), h.unsureTo)
		case NoAnswer:
			h.unsureTo = max(h.unsureTo, c.sent+cfg.longest())
			h.until = max(h.until, h.unsureTo)
		}
	}
}

func (p *part) releaseDone(now time.Duration, c *call, result CallResult, handover string) {
	for i := range p.prior {
		h := &p.prior[i]
		if h.Holder != c.Holder || h.Fence != c.Fence {
			continue
		}
		if result == Accepted {
			h.released = true
			p.handover = handover
		} else {
			h.retryAt = now + releasePause
		}
	}
}

// WrongOwner reports that the owner of a key said that it does not hold it.
// The key is granted again.
func (m *Manager) WrongOwner(now time.Duration, key int, target string) {
	p := m.find(key)
	if p.Owner.Target == target && p.granted && now >= p.sentAt+callPause {
		p.granted, p.accepted = false, false
	}
}

// FailingFor returns how long all calls to a holder have had no answer.
func (m *Manager) FailingFor(now time.Duration, h Holder) time.Duration {
	since, failing := m.failing[h]
	if !failing {
		return 0
	}
	return now - since
}
