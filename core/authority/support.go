package authority

import "time"

// wouldSupport reports whether the node would support the term of the request.
// A renewal goes to the same process only; another term needs a higher number
// and a promise that has run out or was released. A term is probed before it
// is taken, and must be new then.
func (n *Node) wouldSupport(now time.Duration, from string, m Message) bool {
	if n.self < 0 || now < n.quietUntil || !n.entitled(from, m.Term) {
		return false
	}
	p := n.promise
	if m.Kind == KindHeartbeat && m.Term == p.term && from == p.to && m.Incarnation == p.incarnation {
		return !p.closed
	}
	if now < p.until || m.Term <= n.closed || m.Version < n.version {
		return false
	}
	if m.Kind == KindProbe {
		return m.Term > n.highest
	}
	// A restarted member knows the live term from the log or from replies
	// without having promised it; it must be able to support that term.
	return m.Term >= n.highest
}

// support gives the node's support; wouldSupport must hold.
func (n *Node) support(now time.Duration, from string, m Message) {
	n.promise = promise{term: m.Term, to: from, incarnation: m.Incarnation, until: now + n.cfg.Promise}
	n.highest, n.closed = max(n.highest, m.Term), max(n.closed, m.Term)
}

func (n *Node) heartbeat(now time.Duration, from string, m Message) {
	if n.role == candidate && m.Term > n.term && n.entitled(from, m.Term) && now >= n.quietUntil {
		// Of two candidates the one with the lower term yields; otherwise
		// each keeps the other from a majority until both time out.
		n.giveUp(now, "yielded")
	}
	ok := n.wouldSupport(now, from, m)
	switch {
	case ok:
		n.support(now, from, m)
		if n.role == probing {
			n.role = idle
		}
	case m.Term >= n.highest && n.entitled(from, m.Term):
		// A node that cannot support a live manager, such as a restarted one,
		// need not probe. Two lost heartbeats end this.
		n.heardFrom, n.heardUntil = from, now+2*n.cfg.Heartbeat
	}
	n.reply(from, m, KindHeartbeatReply, ok)
}

func (n *Node) released(now time.Duration, from string, m Message) {
	if !n.entitled(from, m.Term) {
		return
	}
	if from == n.heardFrom {
		n.heardUntil = min(n.heardUntil, now)
	}
	p := &n.promise
	if m.Term == p.term && from == p.to && m.Incarnation == p.incarnation {
		p.until, p.closed = min(p.until, now), true
	}
	// A heartbeat that arrives after the release of its term gets no support.
	n.highest, n.closed = max(n.highest, m.Term), max(n.closed, m.Term)
}

func (n *Node) reply(to string, m Message, kind Kind, supported bool) {
	n.out = append(n.out, Send{To: to, Message: Message{
		Kind: kind, Term: m.Term, SentAt: m.SentAt, Incarnation: m.Incarnation,
		Supported: supported, HighestTerm: n.highest,
	}})
}
