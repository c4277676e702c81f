package authority

import "time"

// supported reports whether more than half of the members support the node's
// term at now.
func (n *Node) supported(now time.Duration) bool {
	return n.majoritySentAt != never && now < n.majoritySentAt+n.supportDuration
}

// checkSupport ends the term of a manager whose support has expired. The node does
// not resume that term, because a newer one may have been opened since.
func (n *Node) checkSupport(now time.Duration) {
	if n.role == manager && !n.supported(now) {
		n.giveUp(now, "support ended")
	}
}

// advance runs what is due at now: heartbeats, timeouts and probes.
func (n *Node) advance(now time.Duration) {
	n.checkSupport(now)
	switch n.role {
	case candidate, manager:
		if n.role == candidate && n.supported(now) {
			n.becomeManager()
		}
		if n.role == candidate && now >= n.campaignStartedAt+n.cfg.CampaignTimeout {
			n.giveUp(now, "campaign failed")
		} else if now >= n.rounds[len(n.rounds)-1].sentAt+n.heartbeatInterval() {
			n.sendHeartbeats(now)
		}
	default:
		if n.probeDue(now) {
			n.probe(now)
		}
	}
}

// heartbeatInterval returns the time between two rounds of heartbeats. A candidate
// sends them twice as often, so that one lost message does not fail its campaign.
func (n *Node) heartbeatInterval() time.Duration {
	if n.role == candidate {
		return n.cfg.Heartbeat / 2
	}
	return n.cfg.Heartbeat
}

func (n *Node) becomeManager() {
	n.role = manager
	n.out = append(n.out, Acquired{Term: n.term})
}

// probeDue reports whether a probe is due: the node is a member, has not resigned and
// is past its backoff, its last probe is at least Config.Heartbeat old, and its stagger
// delay has passed since abstainUntil, promise.until and otherManagerUntil.
func (n *Node) probeDue(now time.Duration) bool {
	if n.self < 0 || n.resigned || now < n.backoffUntil {
		return false
	}
	if n.probedAt != never && now < n.probedAt+n.cfg.Heartbeat {
		return false
	}
	return now >= max(n.abstainUntil, n.promise.until, n.otherManagerUntil)+n.stagger()
}

// stagger returns the delay of the node's campaign for its distance from the slot
// of the highest known term: linear up to maxLinearStagger slots, then spread over
// CampaignBackoff.
func (n *Node) stagger() time.Duration {
	size := len(n.members)
	distance := (n.self - int(n.highestTerm%uint64(size)) + size) % size
	if distance == 0 {
		distance = size
	}
	if distance <= maxLinearStagger {
		return time.Duration(distance) * n.cfg.Stagger
	}
	return maxLinearStagger*n.cfg.Stagger + n.cfg.CampaignBackoff*time.Duration(distance)/time.Duration(size)
}

// nextTerm returns the lowest term above the highest known one that the node's
// slot may hold.
func (n *Node) nextTerm() uint64 {
	size, term := uint64(len(n.members)), n.highestTerm+1
	return term + (uint64(n.self)+size-term%size)%size
}

// probe asks all members whether they would support the node's next term.
func (n *Node) probe(now time.Duration) {
	n.role, n.term, n.probedAt = probing, n.nextTerm(), now
	n.willing = make([]bool, len(n.members))
	n.willingCount = 1 // the node itself; campaign checks whether it would support the term
	n.broadcast(Message{Kind: KindProbe, Term: n.term, SentAt: now, Incarnation: n.incarnation, Version: n.version})
	n.campaign(now)
}

func (n *Node) handleProbeReply(now time.Duration, slot int, m Message) {
	n.highestTerm = max(n.highestTerm, m.HighestTerm)
	if n.role != probing || m.Term != n.term || m.Incarnation != n.incarnation || m.SentAt != n.probedAt {
		return
	}
	if m.Supported && !n.willing[slot] {
		n.willing[slot] = true
		n.willingCount++
		n.campaign(now)
	}
}

// campaign makes the node a candidate for the probed term if the node itself and
// more than half of the members, counting the node, would support it.
func (n *Node) campaign(now time.Duration) {
	own := Message{Kind: KindProbe, Term: n.term, Incarnation: n.incarnation, Version: n.version}
	if 2*n.willingCount <= len(n.members) || !n.wouldSupport(now, n.cfg.Self, own) {
		return
	}
	n.role, n.campaignStartedAt = candidate, now
	n.rounds = n.rounds[:0]
	n.majoritySentAt = never
	for slot := range n.latestAnswered {
		n.latestAnswered[slot] = never
	}
	n.sendHeartbeats(now)
	if n.supported(now) { // the only member
		n.becomeManager()
	}
}

// sendHeartbeats sends a round of heartbeats, renews the node's promise to itself
// and drops the rounds that are too old to count.
func (n *Node) sendHeartbeats(now time.Duration) {
	m := Message{Kind: KindHeartbeat, Term: n.term, SentAt: now, Incarnation: n.incarnation, Version: n.version}
	n.support(now, n.cfg.Self, m)
	expired := 0
	for expired < len(n.rounds) && now >= n.rounds[expired].sentAt+n.supportDuration {
		expired++
	}
	n.rounds = append(n.rounds[:0], n.rounds[expired:]...)
	n.rounds = append(n.rounds, round{sentAt: now})
	n.creditSupport(n.self, now)
	n.broadcast(m)
}

func (n *Node) handleHeartbeatReply(slot int, m Message) {
	n.highestTerm = max(n.highestTerm, m.HighestTerm)
	if n.role < candidate || m.Term != n.term || m.Incarnation != n.incarnation || !m.Supported {
		return
	}
	n.creditSupport(slot, m.SentAt)
}

// creditSupport counts a member's support for the heartbeat round of sentAt and for
// the earlier rounds that the member has not been counted for.
func (n *Node) creditSupport(slot int, sentAt time.Duration) {
	previous := n.latestAnswered[slot]
	if sentAt <= previous {
		return
	}
	n.latestAnswered[slot] = sentAt
	for i := range n.rounds {
		r := &n.rounds[i]
		if r.sentAt <= previous || r.sentAt > sentAt {
			continue
		}
		r.count++
		if 2*r.count > len(n.members) {
			n.majoritySentAt = max(n.majoritySentAt, r.sentAt)
		}
	}
}

// recountSupport recounts each round's answers after a change of members, so that
// only current members count.
func (n *Node) recountSupport() {
	n.majoritySentAt = never
	for i := range n.rounds {
		n.rounds[i].count = 0
	}
	for slot, sentAt := range n.latestAnswered {
		n.latestAnswered[slot] = never
		n.creditSupport(slot, sentAt)
	}
}

// giveUp makes the node idle. A candidate or manager also releases its supporters
// and delays its next campaign by a random time.
func (n *Node) giveUp(now time.Duration, reason string) {
	previousRole := n.role
	n.role = idle
	if previousRole < candidate {
		return
	}
	if previousRole == manager {
		n.out = append(n.out, Lost{Term: n.term, Reason: reason})
	}
	n.promise.until, n.promise.released = min(n.promise.until, now), true
	n.rounds, n.majoritySentAt = n.rounds[:0], never
	n.backoffUntil = now + time.Duration(n.rng.Int64N(int64(n.cfg.CampaignBackoff)+1))
	n.broadcast(Message{Kind: KindRelease, Term: n.term, SentAt: now, Incarnation: n.incarnation})
}
