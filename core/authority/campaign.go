package authority

import "time"

// supported reports whether more than half of the members stand by the node's
// term at now.
func (n *Node) supported(now time.Duration) bool {
	return n.majority != never && now < n.majority+n.span
}

// checkSupport ends the term of a manager whose support has run out. The term
// is not taken up again, because another may have been opened since.
func (n *Node) checkSupport(now time.Duration) {
	if n.role == manager && !n.supported(now) {
		n.giveUp(now, "support ended")
	}
}

// advance does what is due at now.
func (n *Node) advance(now time.Duration) {
	n.checkSupport(now)
	switch n.role {
	case candidate, manager:
		if n.role == candidate && n.supported(now) {
			n.acquire()
		}
		if n.role == candidate && now >= n.startedAt+n.cfg.CampaignTimeout {
			n.giveUp(now, "campaign failed")
		} else if now >= n.rounds[len(n.rounds)-1].sentAt+n.interval() {
			n.beat(now)
		}
	default:
		if n.mayProbe(now) {
			n.probe(now)
		}
	}
}

// interval is the time between two rounds of heartbeats. A candidate sends
// twice as many, so that a lost message does not cost it the campaign.
func (n *Node) interval() time.Duration {
	if n.role == candidate {
		return n.cfg.Heartbeat / 2
	}
	return n.cfg.Heartbeat
}

func (n *Node) acquire() {
	n.role = manager
	n.out = append(n.out, Acquired{Term: n.term})
}

// mayProbe reports whether a probe round is due: no live manager is known, the
// node's turn has come, and the last round is at least one heartbeat old.
func (n *Node) mayProbe(now time.Duration) bool {
	if n.self < 0 || n.resigned || now < n.waitUntil {
		return false
	}
	if n.probedAt != never && now < n.probedAt+n.cfg.Heartbeat {
		return false
	}
	return now >= max(n.quietUntil, n.promise.until, n.heardUntil)+n.stagger()
}

// stagger is the wait for the node's distance from the slot of the last term.
func (n *Node) stagger() time.Duration {
	size := len(n.members)
	distance := (n.self - int(n.highest%uint64(size)) + size) % size
	if distance == 0 {
		distance = size
	}
	if distance <= maxStaggered {
		return time.Duration(distance) * n.cfg.Stagger
	}
	return maxStaggered*n.cfg.Stagger + n.cfg.CampaignBackoff*time.Duration(distance)/time.Duration(size)
}

func (n *Node) nextTerm() uint64 {
	size, term := uint64(len(n.members)), n.highest+1
	return term + (uint64(n.self)+size-term%size)%size
}

func (n *Node) probe(now time.Duration) {
	n.role, n.term, n.probedAt = probing, n.nextTerm(), now
	n.answered = make([]bool, len(n.members))
	n.willing = 1 // the node itself, checked again in campaign
	n.broadcast(Message{Kind: KindProbe, Term: n.term, SentAt: now, Incarnation: n.incarnation, Version: n.version})
	n.campaign(now)
}

func (n *Node) probeReply(now time.Duration, slot int, m Message) {
	n.highest = max(n.highest, m.HighestTerm)
	if n.role != probing || m.Term != n.term || m.Incarnation != n.incarnation || m.SentAt != n.probedAt {
		return
	}
	if m.Supported && !n.answered[slot] {
		n.answered[slot] = true
		n.willing++
		n.campaign(now)
	}
}

// campaign takes the probed term if more than half of the members, the node
// itself included, would support it.
func (n *Node) campaign(now time.Duration) {
	own := Message{Kind: KindProbe, Term: n.term, Incarnation: n.incarnation, Version: n.version}
	if 2*n.willing <= len(n.members) || !n.wouldSupport(now, n.cfg.Self, own) {
		return
	}
	n.role, n.startedAt = candidate, now
	n.rounds = n.rounds[:0]
	n.majority = never
	for slot := range n.latest {
		n.latest[slot] = never
	}
	n.beat(now)
	if n.supported(now) { // a single member
		n.acquire()
	}
}

// beat sends a round of heartbeats and renews the node's own support.
func (n *Node) beat(now time.Duration) {
	m := Message{Kind: KindHeartbeat, Term: n.term, SentAt: now, Incarnation: n.incarnation, Version: n.version}
	n.support(now, n.cfg.Self, m)
	drop := 0
	for drop < len(n.rounds) && now >= n.rounds[drop].sentAt+n.span {
		drop++
	}
	n.rounds = append(n.rounds[:0], n.rounds[drop:]...)
	n.rounds = append(n.rounds, round{sentAt: now})
	n.credit(n.self, now)
	n.broadcast(m)
}

func (n *Node) heartbeatReply(slot int, m Message) {
	n.highest = max(n.highest, m.HighestTerm)
	if n.role < candidate || m.Term != n.term || m.Incarnation != n.incarnation || !m.Supported {
		return
	}
	n.credit(slot, m.SentAt)
}

// credit counts the support of a member that answered the heartbeat of sentAt
// for that round and every round before it.
func (n *Node) credit(slot int, sentAt time.Duration) {
	before := n.latest[slot]
	if sentAt <= before {
		return
	}
	n.latest[slot] = sentAt
	for i := range n.rounds {
		r := &n.rounds[i]
		if r.sentAt <= before || r.sentAt > sentAt {
			continue
		}
		r.count++
		if 2*r.count > len(n.members) {
			n.majority = max(n.majority, r.sentAt)
		}
	}
}

// recount counts the support of the present members anew.
func (n *Node) recount() {
	n.majority = never
	for i := range n.rounds {
		n.rounds[i].count = 0
	}
	for slot, sentAt := range n.latest {
		n.latest[slot] = never
		n.credit(slot, sentAt)
	}
}

// giveUp ends the node's own term, if any, releases its supporters and waits a
// random time before the next campaign.
func (n *Node) giveUp(now time.Duration, reason string) {
	was := n.role
	n.role = idle
	if was < candidate {
		return
	}
	if was == manager {
		n.out = append(n.out, Lost{Term: n.term, Reason: reason})
	}
	n.promise.until, n.promise.closed = min(n.promise.until, now), true
	n.rounds, n.majority = n.rounds[:0], never
	n.waitUntil = now + time.Duration(n.rng.Int64N(int64(n.cfg.CampaignBackoff)+1))
	n.broadcast(Message{Kind: KindRelease, Term: n.term, SentAt: now, Incarnation: n.incarnation})
}
