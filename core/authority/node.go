package authority

import (
	"math"
	"math/rand/v2"
	"time"
)

// never is the reading of an instant that has not been.
const never = time.Duration(math.MinInt64)

// maxStaggered bounds the linear part of the stagger. Without it the last of
// 760 members would wait 38 s.
const maxStaggered = 8

type role uint8

const (
	idle role = iota
	probing
	candidate
	manager
)

// promise is the support that this node gives. It is given to one term at a time.
type promise struct {
	term        uint64
	to          string
	incarnation uint64
	until       time.Duration
	closed      bool // the term was released: it is not supported again
}

// round is one set of heartbeats; count is the number of members, the node
// itself included, that answered it or a later one.
type round struct {
	sentAt time.Duration
	count  int
}

// Node is the state of one member. It is not safe for concurrent use.
type Node struct {
	cfg         Config
	rng         *rand.Rand
	incarnation uint64
	// span is how long a promise counts for its manager, from SentAt. It is
	// less than Promise by the drift of both clocks.
	span time.Duration

	members []string
	slots   map[string]int
	self    int // own slot, -1 for none

	version    uint64 // of the replayed assignments
	highest    uint64 // highest term that is known to be promised or opened
	closed     uint64 // terms up to this one get no new support
	promise    promise
	quietUntil time.Duration // neither supports nor campaigns before
	waitUntil  time.Duration // does not campaign before
	heardUntil time.Duration // a manager that it does not support sent a heartbeat
	heardFrom  string
	resigned   bool

	role      role
	term      uint64 // probed, campaigned for or held
	startedAt time.Duration

	probedAt time.Duration
	answered []bool // by slot: answered the probe round
	willing  int

	rounds   []round
	latest   []time.Duration // by slot: SentAt of the last answered heartbeat
	majority time.Duration   // SentAt of the last round that a majority answered

	out []Action
}

// New returns a node that has no members yet. It supports nobody and does not
// campaign for one promise, because an earlier process of this VM may have
// promised its support just before now.
func New(cfg Config, now time.Duration, rng *rand.Rand) *Node {
	span := float64(cfg.Promise) * (1 - cfg.DriftBound) / (1 + cfg.DriftBound)
	return &Node{
		cfg: cfg, rng: rng, incarnation: rng.Uint64(), span: time.Duration(span),
		self: -1, quietUntil: now + cfg.Promise, waitUntil: now, heardUntil: now,
		promise: promise{until: now}, probedAt: never, majority: never,
	}
}

// Step handles an event at the clock reading now, which must not decrease.
func (n *Node) Step(now time.Duration, ev Event) []Action {
	n.out = nil
	n.checkSupport(now)
	switch ev := ev.(type) {
	case MembersChanged:
		n.setMembers(now, ev.Members)
	case TermSeen:
		n.termSeen(now, ev.Term)
	case VersionSeen:
		n.version = max(n.version, ev.Version)
	case Received:
		n.receive(now, ev.From, ev.Message)
	case ClockJumped:
		n.giveUp(now, "clock jumped")
		n.quietUntil = now + n.cfg.Promise
	case StepDown:
		n.giveUp(now, ev.Reason)
	case Resign:
		n.giveUp(now, "resigned")
		n.resigned = true
	}
	n.advance(now)
	out := n.out
	n.out = nil
	return out
}

// Acting reports the term for which this node is manager at now.
func (n *Node) Acting(now time.Duration) (term uint64, ok bool) {
	if n.role != manager || !n.supported(now) {
		return 0, false
	}
	return n.term, true
}

// ActingUntil reports the clock reading at which the node stops acting unless
// more heartbeats are answered before.
func (n *Node) ActingUntil() (until time.Duration, ok bool) {
	if n.role != manager || n.majority == never {
		return 0, false
	}
	return n.majority + n.span, true
}

// Supporting reports the term that this node stands by at now, and until when.
func (n *Node) Supporting(now time.Duration) (term uint64, until time.Duration, ok bool) {
	if n.promise.term == 0 || now >= n.promise.until {
		return 0, 0, false
	}
	return n.promise.term, n.promise.until, true
}

// Manager reports the member whose term this node supports at now; it may
// still be a candidate.
func (n *Node) Manager(now time.Duration) (name string, ok bool) {
	_, _, ok = n.Supporting(now)
	return n.promise.to, ok
}

// HighestTerm returns the highest term that this node knows.
func (n *Node) HighestTerm() uint64 { return n.highest }

func (n *Node) setMembers(now time.Duration, members []string) {
	wasMember := n.self >= 0
	old, latest := n.slots, n.latest
	n.members = append([]string(nil), members...)
	n.slots = make(map[string]int, len(members))
	n.latest = make([]time.Duration, len(members))
	n.self = -1
	for slot, name := range members {
		n.slots[name] = slot
		n.latest[slot] = never
		if before, ok := old[name]; ok {
			n.latest[slot] = latest[before]
		}
	}
	if slot, ok := n.slots[n.cfg.Self]; ok {
		n.self = slot
	}
	if n.self >= 0 && !wasMember {
		// The member that this node replaces may have promised its support.
		n.quietUntil = max(n.quietUntil, now+n.cfg.Promise)
	}
	if n.role == probing {
		n.role = idle
	}
	if n.role != idle && !n.entitled(n.cfg.Self, n.term) {
		n.giveUp(now, "slot changed")
	}
	n.recount()
}

func (n *Node) termSeen(now time.Duration, term uint64) {
	n.highest = max(n.highest, term)
	if n.role != idle && term > n.term {
		n.giveUp(now, "a higher term was opened")
	}
}

func (n *Node) receive(now time.Duration, from string, m Message) {
	slot, ok := n.slots[from]
	if !ok || from == n.cfg.Self {
		return
	}
	switch m.Kind {
	case KindProbe:
		n.reply(from, m, KindProbeReply, n.wouldSupport(now, from, m))
	case KindHeartbeat:
		n.heartbeat(now, from, m)
	case KindRelease:
		n.released(now, from, m)
	case KindProbeReply:
		n.probeReply(now, slot, m)
	case KindHeartbeatReply:
		n.heartbeatReply(slot, m)
	}
}

// entitled reports whether the slot of the member may hold the term.
func (n *Node) entitled(name string, term uint64) bool {
	return len(n.members) > 0 && n.members[term%uint64(len(n.members))] == name
}

func (n *Node) broadcast(m Message) {
	if n.out == nil {
		n.out = make([]Action, 0, len(n.members))
	}
	for slot, name := range n.members {
		if slot != n.self {
			n.out = append(n.out, Send{To: name, Message: m})
		}
	}
}
