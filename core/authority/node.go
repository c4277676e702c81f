package authority

import (
	"math"
	"math/rand/v2"
	"time"
)

// never stands for a clock reading of an event that has not happened.
const never = time.Duration(math.MinInt64)

// maxLinearStagger is the largest distance in slots for which the stagger delay is
// linear. Without this limit, the last of 760 members would wait 38 s.
const maxLinearStagger = 8

// role is the stage that a node's own term has reached. Later roles are greater.
type role uint8

const (
	idle role = iota
	probing
	candidate
	manager
)

// promise is the support that this node gives to a member (to) for one term. A node
// supports one term at a time.
type promise struct {
	term        uint64
	to          string
	incarnation uint64
	until       time.Duration
	released    bool // the member gave the term up, so it is not supported again
}

// round is one round of heartbeats to all members. count is the number of members,
// the node itself included, that answered this round or a later one.
type round struct {
	sentAt time.Duration
	count  int
}

// Node is the state of one member. It is not safe for concurrent use.
type Node struct {
	cfg         Config
	rng         *rand.Rand
	incarnation uint64
	// supportDuration is how long the node counts on a promise given to it, from
	// the SentAt of the answered heartbeat. It is shorter than Config.Promise by
	// the largest drift between the two clocks.
	supportDuration time.Duration

	members []string
	slots   map[string]int
	self    int // own slot, -1 if not a member

	version           uint64 // of the replayed assignments
	highestTerm       uint64 // highest term known to be promised or opened
	closedTerm        uint64 // terms up to this one get no new promise
	promise           promise
	abstainUntil      time.Duration // the node neither supports nor campaigns before then
	backoffUntil      time.Duration // the node does not campaign before then
	otherManagerUntil time.Duration // until then, otherManager counts as live and the node does not probe
	otherManager      string        // the last live manager that the node could not support
	resigned          bool

	role              role
	term              uint64 // own term: probed, campaigned for or held
	campaignStartedAt time.Duration

	probedAt     time.Duration
	willing      []bool // by slot: would support the probed term
	willingCount int

	rounds         []round
	latestAnswered []time.Duration // by slot: SentAt of the last heartbeat answered with support
	majoritySentAt time.Duration   // SentAt of the last round that a majority answered

	out []Action
}

// New returns a node that has no members yet. For Config.Promise, it neither
// supports a node nor campaigns, because an earlier process of this VM may have
// promised its support just before now.
func New(cfg Config, now time.Duration, rng *rand.Rand) *Node {
	supportDuration := float64(cfg.Promise) * (1 - cfg.DriftBound) / (1 + cfg.DriftBound)
	return &Node{
		cfg: cfg, rng: rng, incarnation: rng.Uint64(), supportDuration: time.Duration(supportDuration),
		self: -1, abstainUntil: now + cfg.Promise, backoffUntil: now, otherManagerUntil: now,
		promise: promise{until: now}, probedAt: never, majoritySentAt: never,
	}
}

// Step handles an event at the clock reading now, which must not decrease from one
// call to the next, and returns the resulting actions.
func (n *Node) Step(now time.Duration, ev Event) []Action {
	n.out = nil
	n.checkSupport(now)
	switch ev := ev.(type) {
	case MembersChanged:
		n.setMembers(now, ev.Members)
	case TermSeen:
		n.handleTermSeen(now, ev.Term)
	case VersionSeen:
		n.version = max(n.version, ev.Version)
	case Received:
		n.receive(now, ev.From, ev.Message)
	case ClockJumped:
		n.giveUp(now, "clock jumped")
		n.abstainUntil = now + n.cfg.Promise
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

// ActingUntil reports the clock reading at which the node stops acting as manager
// unless a majority answers a later heartbeat first.
func (n *Node) ActingUntil() (until time.Duration, ok bool) {
	if n.role != manager || n.majoritySentAt == never {
		return 0, false
	}
	return n.majoritySentAt + n.supportDuration, true
}

// Supporting reports the term that this node supports at now, and until when.
func (n *Node) Supporting(now time.Duration) (term uint64, until time.Duration, ok bool) {
	if n.promise.term == 0 || now >= n.promise.until {
		return 0, 0, false
	}
	return n.promise.term, n.promise.until, true
}

// SupportedMember reports the member whose term this node supports at now. That
// member may still be a candidate.
func (n *Node) SupportedMember(now time.Duration) (name string, ok bool) {
	_, _, ok = n.Supporting(now)
	return n.promise.to, ok
}

func (n *Node) HighestTerm() uint64 { return n.highestTerm }

func (n *Node) setMembers(now time.Duration, members []string) {
	wasMember := n.self >= 0
	oldSlots, oldLatestAnswered := n.slots, n.latestAnswered
	n.members = append([]string(nil), members...)
	n.slots = make(map[string]int, len(members))
	n.latestAnswered = make([]time.Duration, len(members))
	n.self = -1
	for slot, name := range members {
		n.slots[name] = slot
		n.latestAnswered[slot] = never
		if oldSlot, ok := oldSlots[name]; ok {
			n.latestAnswered[slot] = oldLatestAnswered[oldSlot]
		}
	}
	if slot, ok := n.slots[n.cfg.Self]; ok {
		n.self = slot
	}
	if n.self >= 0 && !wasMember {
		// The former member in this slot may have promised its support, so this
		// node must not promise its own before that promise has expired.
		n.abstainUntil = max(n.abstainUntil, now+n.cfg.Promise)
	}
	if n.role == probing {
		n.role = idle
	}
	if n.role != idle && !n.ownsTerm(n.cfg.Self, n.term) {
		n.giveUp(now, "slot changed")
	}
	n.recountSupport()
}

func (n *Node) handleTermSeen(now time.Duration, term uint64) {
	n.highestTerm = max(n.highestTerm, term)
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
		n.handleHeartbeat(now, from, m)
	case KindRelease:
		n.handleRelease(now, from, m)
	case KindProbeReply:
		n.handleProbeReply(now, slot, m)
	case KindHeartbeatReply:
		n.handleHeartbeatReply(slot, m)
	}
}

// ownsTerm reports whether the member is in the slot that may hold the term.
func (n *Node) ownsTerm(name string, term uint64) bool {
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
