package keyspace

import (
	"slices"
	"time"
)

// grantRetryDelay is the least time before a failed grant of a range is retried.
// releaseRetryDelay is the least time between two releases of a range to one
// holder. It is longer because the hold of a holder that does not answer expires
// anyway, so frequent retries gain little.
const (
	grantRetryDelay   = 150 * time.Millisecond
	releaseRetryDelay = time.Second
	// minProbeHold is the least duration of a grant to an owner that has not answered the
	// last one. It leaves time for a renewal at full length after an answer.
	minProbeHold = 300 * time.Millisecond
)

// Step returns the calls that are due. mayRun reports whether the process of a
// holder may still run; a holder whose process has ended is granted nothing.
func (m *Manager) Step(now time.Duration, mayRun func(Holder) bool) []Action {
	if m.WaitsForUnknown(now) {
		return nil
	}
	var out []Action
	alive := func(h Holder) bool { return !m.ended[h] && mayRun(h) }
	for _, p := range m.ranges {
		m.dropExpiredPrior(now, p)
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

// dropExpiredPrior removes the prior holders that can no longer hold the range:
// another target has their address, their hold has expired, or they have released
// the range and no unanswered grant can still take effect. A holder to whose target a
// call for keys of the range is in flight is kept.
//
// A later life of the target does not end the hold: calls name the target, not its
// life, so the later life holds the range if it has taken a renewal that was meant
// for the earlier one.
func (m *Manager) dropExpiredPrior(now time.Duration, p *keyRange) {
	p.prior = slices.DeleteFunc(p.prior, func(h priorHold) bool {
		if p.hasCallInFlight(h.Target) {
			return false
		}
		return m.ended[h.Holder] || now >= h.heldUntil || h.released && now >= h.uncertainUntil
	})
}

func (p *keyRange) hasCallInFlight(target string) bool {
	return slices.ContainsFunc(p.calls, func(c *call) bool { return !c.done && c.Holder.Target == target })
}

func (p *keyRange) dropFinishedCalls() {
	p.calls = slices.DeleteFunc(p.calls, func(c *call) bool { return c.done })
}

func (m *Manager) nextRelease(now time.Duration, p *keyRange) (Action, bool) {
	for i := range p.prior {
		h := &p.prior[i]
		if h.released || now < h.retryAt || p.hasCallInFlight(h.Target) {
			continue
		}
		h.retryAt = now + releaseRetryDelay
		return m.registerCall(now, p, Action{Kind: Release, Holder: h.Holder, Fence: h.Fence}, h.heldUntil), true
	}
	return Action{}, false
}

func (m *Manager) nextGrant(now time.Duration, p *keyRange, alive func(Holder) bool) (Action, bool) {
	if len(p.prior) > 0 || p.Owner.Target == "" || p.Fence == 0 || !alive(p.Owner) {
		return Action{}, false
	}
	if p.hasCallInFlight(p.Owner.Target) || now < p.retryAt || p.superseded || p.accepted && p.granted && now < p.sentAt+m.cfg.Renew {
		return Action{}, false
	}
	p.sentAt = now
	heldUntilBefore := p.heldUntil
	a := m.registerCall(now, p, Action{Kind: Grant, Holder: p.Owner, Fence: p.Fence, Hold: m.grantDuration(now, p), Handover: p.handover}, heldUntilBefore)
	p.heldUntil = max(p.heldUntil, m.calls[a.ID].expires)
	return a, true
}

// grantDuration returns how long the next grant of a range is to last. While the owner
// does not answer, a grant does not last beyond the one before: if the owner is lost,
// its keys have to wait until the last grant has expired.
func (m *Manager) grantDuration(now time.Duration, p *keyRange) time.Duration {
	if _, failing := m.failingSince[p.Owner]; !failing {
		return m.cfg.Hold
	}
	left := time.Duration(float64(p.heldUntil-now-m.cfg.CallTimeout) * (1 - m.cfg.ClockError))
	if left < minProbeHold {
		return m.cfg.Hold
	}
	return min(left, m.cfg.Hold)
}

// registerCall records a call as in flight and returns its action with the ID and
// the range set.
func (m *Manager) registerCall(now time.Duration, p *keyRange, a Action, heldUntilBefore time.Duration) Action {
	m.nextID++
	a.ID, a.From, a.To = m.nextID, p.From, p.To
	c := &call{Action: a, sent: now, expires: now + m.cfg.CallTimeout + m.cfg.longest(a.Hold), heldUntilBefore: heldUntilBefore}
	m.calls[a.ID] = c
	p.dropFinishedCalls()
	p.calls = append(p.calls, c)
	return a
}

// ReportResult ends a call with its result, which applies to the ranges that lie
// within that of the call. A grant without an answer also applies to the ranges that
// only overlap it, after a merge or a move since it was sent: it may still give its
// holder the keys that they share. handover is the holder's answer to a release and
// is passed on to the next owner. Unknown IDs are ignored. ReportResult reports whether
// Owner now tells something else for a key, which is rare: most calls are renewals.
func (m *Manager) ReportResult(now time.Duration, id uint64, result CallResult, handover string) (ownersChanged bool) {
	c, ok := m.calls[id]
	if !ok {
		return false
	}
	delete(m.calls, id)
	c.done = true
	_, failedBefore := m.failingSince[c.Holder]
	m.recordReachability(now, c, result)
	_, fails := m.failingSince[c.Holder]
	ownersChanged = fails != failedBefore
	for _, p := range m.ranges {
		if p.To < c.From || p.From > c.To {
			continue
		}
		held := p.held()
		if c.Kind == Grant && result == NoAnswer {
			// A process without processor time sends the call later than c.sent, and the hold
			// counts from its arrival.
			p.extendHolds(c.Holder.Target, max(c.expires, now+m.cfg.longest(c.Hold)))
		}
		if p.From < c.From || p.To > c.To {
			continue
		}
		if c.Kind == Release {
			p.releaseDone(now, c, result, handover)
		} else {
			p.grantDone(now, c, result, m.cfg)
		}
		ownersChanged = ownersChanged || p.held() != held
	}
	return ownersChanged
}

// recordReachability updates since when a holder has not answered, and whether
// its process is known to have ended.
func (m *Manager) recordReachability(now time.Duration, c *call, result CallResult) {
	switch result {
	case Accepted, Superseded:
		delete(m.failingSince, c.Holder)
		return
	case Ended:
		m.ended[c.Holder] = true
	}
	if _, failing := m.failingSince[c.Holder]; !failing {
		m.failingSince[c.Holder] = now
	}
}

// grantDone handles the result of a grant. If the grant was not sent, heldUntil
// returns to its value before the call, unless it has changed since, but not to
// below uncertainUntil.
func (p *keyRange) grantDone(now time.Duration, c *call, result CallResult, cfg Config) {
	if p.Owner != c.Holder || p.Fence != c.Fence {
		p.priorGrantDone(now, c, result, cfg)
		return
	}
	p.retryAt = now + grantRetryDelay
	switch result {
	case Accepted:
		p.granted, p.accepted, p.retryAt, p.handover = true, true, 0, ""
		p.heldUntil = max(now+cfg.longest(c.Hold), p.uncertainUntil)
		if c.Hold < cfg.Hold {
			p.sentAt = 0 // renew at full length at once
		}
	case Superseded:
		p.granted, p.superseded = false, true
	case Ended:
		p.granted = false
	case NotSent:
		if p.heldUntil == c.expires {
			p.heldUntil = max(c.heldUntilBefore, p.uncertainUntil)
		}
		p.granted = p.granted && now < p.heldUntil
	case NoAnswer:
		p.granted = p.granted && now < p.heldUntil
	}
}

// priorGrantDone handles the result of a grant that was sent before the owner or
// fence of the range changed: it updates how long the prior holder may hold the
// range under the fence of the call.
func (p *keyRange) priorGrantDone(now time.Duration, c *call, result CallResult, cfg Config) {
	if result != Accepted {
		return
	}
	for i := range p.prior {
		h := &p.prior[i]
		switch {
		case h.Hold == Hold{Holder: c.Holder, Fence: c.Fence}:
			h.heldUntil = max(now+cfg.longest(c.Hold), h.uncertainUntil)
		case h.Target == c.Holder.Target:
			h.heldUntil = max(h.heldUntil, now+cfg.longest(c.Hold))
		}
	}
}

// extendHolds records that a target may hold the range until the given time, as its
// owner or as a prior holder, although it has released the range meanwhile. The
// fence does not matter: the target rejects a grant only if it has seen a higher
// fence, and it may not have received the grant with the range's present one. Nor
// does the life: a later one may have taken the grant.
func (p *keyRange) extendHolds(target string, until time.Duration) {
	if p.Owner.Target == target {
		p.uncertainUntil = max(p.uncertainUntil, until)
		p.heldUntil = max(p.heldUntil, p.uncertainUntil)
	}
	for i := range p.prior {
		if h := &p.prior[i]; h.Target == target {
			h.uncertainUntil = max(h.uncertainUntil, until)
			h.heldUntil = max(h.heldUntil, h.uncertainUntil)
		}
	}
}

func (p *keyRange) releaseDone(now time.Duration, c *call, result CallResult, handover string) {
	for i := range p.prior {
		h := &p.prior[i]
		if h.Holder != c.Holder || h.Fence != c.Fence {
			continue
		}
		if result == Accepted {
			h.released = true
			p.handover = handover
		} else {
			h.retryAt = now + releaseRetryDelay
		}
	}
}

// WrongOwner reports that a target rejected a request because it does not hold the
// key. If that target owns the key, the range is granted again, except within
// grantRetryDelay after its last grant was sent.
func (m *Manager) WrongOwner(now time.Duration, key int, target string) {
	p := m.rangeOf(key)
	if p.Owner.Target == target && p.granted && now >= p.sentAt+grantRetryDelay {
		p.granted, p.accepted = false, false
	}
}

// FailingFor returns for how long no call to a holder has been answered, or 0 if
// the last one was.
func (m *Manager) FailingFor(now time.Duration, h Holder) time.Duration {
	since, failing := m.failingSince[h]
	if !failing {
		return 0
	}
	return now - since
}
