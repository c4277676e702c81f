package connhealth

import (
	"maps"
	"slices"
	"time"
)

// Config holds the times of a Tracker.
type Config struct {
	// IdleTrust is how long an idle connection may be used again. Connections
	// can go silent for good while new ones work, and only an answer shows that
	// one still works.
	IdleTrust time.Duration
	// DialEvery is the time between attempts to reach a failed peer.
	DialEvery time.Duration
}

// DefaultConfig returns the times from the design page.
func DefaultConfig() Config {
	return Config{IdleTrust: 2 * time.Second, DialEvery: 500 * time.Millisecond}
}

type peerState uint8

const (
	peerGood    peerState = iota
	peerSuspect           // a connection failed; a new one is to decide
	peerFailed            // a new connection failed too
)

type peer struct {
	state   peerState
	since   time.Duration // connections begun from here on decide about the peer
	dialled time.Duration // last Dial
}

type conn struct {
	peer      string
	startedAt time.Duration
	lastUse   time.Duration // opened or answered
	busy      bool
}

// Tracker decides which connections may be used and which peers have failed.
// It is not safe for concurrent use.
//
// Invariants: a connection that timed out is never usable again; a peer is
// reported failed only after a connection that was begun after the first
// failure failed as well.
type Tracker struct {
	cfg   Config
	peers map[string]*peer
	conns map[ConnID]*conn // connections that are not condemned
}

// New returns a Tracker without connections.
func New(cfg Config) *Tracker {
	return &Tracker{cfg: cfg, peers: map[string]*peer{}, conns: map[ConnID]*conn{}}
}

// Usable tells whether a request may be sent on a connection now.
func (t *Tracker) Usable(now time.Duration, id ConnID) bool {
	c, ok := t.conns[id]
	return ok && !c.busy && now-c.lastUse < t.cfg.IdleTrust
}

// Failed tells whether a peer is reported failed.
func (t *Tracker) Failed(name string) bool {
	p, ok := t.peers[name]
	return ok && p.state == peerFailed
}

// Step takes an event and returns what to do. Events of condemned or unknown
// connections have no effect.
func (t *Tracker) Step(now time.Duration, ev Event) []Action {
	switch ev := ev.(type) {
	case Opened:
		return t.opened(now, ev)
	case OpenFailed:
		return t.failed(now, ev.Peer, ev.StartedAt)
	case Sent:
		if c, ok := t.conns[ev.Conn]; ok {
			c.busy = true
		}
	case Answered:
		return t.answered(now, ev.Conn)
	case TimedOut:
		return t.condemn(now, ev.Conn)
	case Broken:
		return t.broken(now, ev.Conn)
	case Closed:
		delete(t.conns, ev.Conn)
	case Forget:
		return t.forget(ev.Peer)
	case Tick:
		return t.tick(now)
	}
	return nil
}

func (t *Tracker) peer(name string) *peer {
	p, ok := t.peers[name]
	if !ok {
		p = &peer{}
		t.peers[name] = p
	}
	return p
}

// decides tells whether a connection begun at a time decides about the peer.
func (p *peer) decides(startedAt time.Duration) bool {
	return p.state != peerGood && startedAt >= p.since
}

func (t *Tracker) opened(now time.Duration, ev Opened) []Action {
	t.conns[ev.Conn] = &conn{peer: ev.Peer, startedAt: ev.StartedAt, lastUse: now}
	if t.peer(ev.Peer).decides(ev.StartedAt) {
		return []Action{Probe{Conn: ev.Conn}}
	}
	return nil
}

func (t *Tracker) answered(now time.Duration, id ConnID) []Action {
	c, ok := t.conns[id]
	if !ok {
		return nil // a late answer does not bring a condemned connection back
	}
	c.busy, c.lastUse = false, now
	p := t.peer(c.peer)
	if !p.decides(c.startedAt) {
		return nil
	}
	recovered := p.state == peerFailed
	p.state = peerGood
	if recovered {
		return []Action{PeerRecovered{Peer: c.peer}}
	}
	return nil
}

// condemn ends a connection after a timeout.
func (t *Tracker) condemn(now time.Duration, id ConnID) []Action {
	c, ok := t.conns[id]
	if !ok {
		return nil
	}
	delete(t.conns, id)
	return append([]Action{Close{Conn: id}}, t.failed(now, c.peer, c.startedAt)...)
}

// broken treats the end of a busy connection like a timeout. The end of an idle
// one is the normal way for the other side to save connections.
func (t *Tracker) broken(now time.Duration, id ConnID) []Action {
	c, ok := t.conns[id]
	if ok && !c.busy {
		delete(t.conns, id)
		return []Action{Close{Conn: id}}
	}
	return t.condemn(now, id)
}

// failed counts the failure of a connection, or of an attempt to open one, that
// was begun at the given time.
func (t *Tracker) failed(now time.Duration, name string, startedAt time.Duration) []Action {
	p := t.peer(name)
	switch {
	case p.state == peerGood:
		p.state, p.since, p.dialled = peerSuspect, now, now
		return []Action{Dial{Peer: name}}
	case p.state == peerSuspect && p.decides(startedAt):
		p.state = peerFailed
		return []Action{PeerFailed{Peer: name}}
	default:
		return nil
	}
}

func (t *Tracker) forget(name string) []Action {
	delete(t.peers, name)
	var actions []Action
	for _, id := range t.sortedConns() {
		if t.conns[id].peer == name {
			delete(t.conns, id)
			actions = append(actions, Close{Conn: id})
		}
	}
	return actions
}

func (t *Tracker) tick(now time.Duration) []Action {
	var actions []Action
	for _, id := range t.sortedConns() {
		if c := t.conns[id]; !c.busy && now-c.lastUse >= t.cfg.IdleTrust {
			delete(t.conns, id)
			actions = append(actions, Close{Conn: id})
		}
	}
	for _, name := range slices.Sorted(maps.Keys(t.peers)) {
		// A suspect peer is dialled again too, in case the first attempt was lost
		// between the shell and its report.
		if p := t.peers[name]; p.state != peerGood && now-p.dialled >= t.cfg.DialEvery {
			p.dialled = now
			actions = append(actions, Dial{Peer: name})
		}
	}
	return actions
}

func (t *Tracker) sortedConns() []ConnID { return slices.Sorted(maps.Keys(t.conns)) }
