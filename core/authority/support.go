package authority

import "time"

// wouldSupport reports whether the node would support the term of the request. A
// heartbeat renews the current promise for the process that holds and has not
// released it. A new promise requires that the current one has expired or was
// released, that the term is above closedTerm and not below highestTerm, and that
// the sender has replayed at least this node's version. A probe asks for a term that
// nobody holds yet, so its term must be above highestTerm.
func (n *Node) wouldSupport(now time.Duration, from string, m Message) bool {
	if n.self < 0 || now < n.abstainUntil || !n.ownsTerm(from, m.Term) {
		return false
	}
	p := n.promise
	if m.Kind == KindHeartbeat && m.Term == p.term && from == p.to && m.Incarnation == p.incarnation {
		return !p.released
	}
	if now < p.until || m.Term <= n.closedTerm || m.Version < n.version {
		return false
	}
	if m.Kind == KindProbe {
		return m.Term > n.highestTerm
	}
	// A restarted member knows the live term from the log or from replies
	// without having promised it; it must be able to support that term.
	return m.Term >= n.highestTerm
}

// support records the node's promise. The caller must have checked wouldSupport.
func (n *Node) support(now time.Duration, from string, m Message) {
	n.promise = promise{term: m.Term, to: from, incarnation: m.Incarnation, until: now + n.cfg.Promise}
	n.highestTerm, n.closedTerm = max(n.highestTerm, m.Term), max(n.closedTerm, m.Term)
}

func (n *Node) handleHeartbeat(now time.Duration, from string, m Message) {
	if n.role == candidate && m.Term > n.term && n.ownsTerm(from, m.Term) && now >= n.abstainUntil {
		// Of two candidates, the one with the lower term gives up. Otherwise each
		// prevents the other from getting a majority until both time out.
		n.giveUp(now, "yielded")
	}
	ok := n.wouldSupport(now, from, m)
	switch {
	case ok:
		n.support(now, from, m)
		if n.role == probing {
			n.role = idle
		}
	case m.Term >= n.highestTerm && n.ownsTerm(from, m.Term):
		// The node cannot support this live manager, for example because the
		// node has just restarted, but it need not probe for a new term until
		// two heartbeats are missing.
		n.otherManager, n.otherManagerUntil = from, now+2*n.cfg.Heartbeat
	}
	n.reply(from, m, KindHeartbeatReply, ok)
}

func (n *Node) handleRelease(now time.Duration, from string, m Message) {
	if !n.ownsTerm(from, m.Term) {
		return
	}
	if from == n.otherManager {
		n.otherManagerUntil = min(n.otherManagerUntil, now)
	}
	p := &n.promise
	if m.Term == p.term && from == p.to && m.Incarnation == p.incarnation {
		p.until, p.released = min(p.until, now), true
	}
	// A delayed heartbeat that arrives after the release of its term must not
	// get support.
	n.highestTerm, n.closedTerm = max(n.highestTerm, m.Term), max(n.closedTerm, m.Term)
}

func (n *Node) reply(to string, m Message, kind Kind, supported bool) {
	n.out = append(n.out, Send{To: to, Message: Message{
		Kind: kind, Term: m.Term, SentAt: m.SentAt, Incarnation: m.Incarnation,
		Supported: supported, HighestTerm: n.highestTerm,
	}})
}
