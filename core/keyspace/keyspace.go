// Package keyspace decides which target owns which keys of a service. It keeps
// the assignment of key ranges, the generation number (fence) of each range,
// and the time up to which each earlier owner may still hold it.
//
// The package is pure: times are readings of a monotonic clock that the caller
// passes in, and everything that has to be done is returned as values.
package keyspace

import (
	"slices"
	"time"
)

// Keys is the number of keys; they count from 0.
const Keys = 1 << 16

// Holder is one life of a target. A target that starts again holds nothing.
type Holder struct {
	Target string
	Life   int64
}

// Hold is a grant that a holder may still have.
type Hold struct {
	Holder
	Fence int64
}

// Assignment is a range of keys with its owner, as the store keeps it.
type Assignment struct {
	From, To int // inclusive
	Owner    Holder
	// Fence rises with each new owner. 0 stands for the number that the store
	// gives to the record which holds the assignment.
	Fence int64
	// Prior lists earlier holders that have not been seen to have stopped.
	Prior []Hold
}

// ActionKind says what an Action asks for.
type ActionKind uint8

// The kinds of actions.
const (
	Grant   ActionKind = iota + 1 // give or renew the keys to the target
	Release                       // take the keys back and wait for work on them
)

// Action is a call to a target. Its end is reported by Done with the same ID.
type Action struct {
	ID       uint64
	Kind     ActionKind
	Holder   Holder
	From, To int
	Fence    int64
	Handover string // of the last holder; Grant only
}

// CallResult is the end of an Action.
type CallResult uint8

// The results of calls.
const (
	Accepted   CallResult = iota + 1
	Superseded            // the target has seen a higher fence
	NoAnswer              // may be carried out later
	NotSent               // provably not received
	Ended                 // another process has the address: the holder holds nothing
)

// Config holds the times of a Manager.
type Config struct {
	Hold        time.Duration // how long a grant lasts on the target's clock
	Renew       time.Duration // time between two grants of a range
	CallTimeout time.Duration // after this a call has no answer and its connection is reset
	// ClockError is the share by which a target's clock may run slow.
	ClockError float64
	// MaxParts bounds the number of ranges a target.
	MaxParts int
}

// held returns the longest time that a grant lasts after its arrival.
func (c Config) held() time.Duration {
	return time.Duration(float64(c.Hold) * (1 + c.ClockError))
}

// longest returns the time after its sending at which a grant has ended.
func (c Config) longest() time.Duration {
	return c.CallTimeout + c.held()
}

// call is a call to a target that has not ended.
type call struct {
	Action
	sent time.Duration
	// heldTo is up to when the range could be held before the call.
	heldTo time.Duration
	done   bool
}

// part is an assignment with what its manager knows of it.
type part struct {
	Assignment
	granted  bool          // the owner holds the range, as far as is known
	accepted bool          // the owner has accepted the fence
	outdone  bool          // the owner has seen a higher fence than the part's
	sentAt   time.Duration // of the last grant, 0 if none
	until    time.Duration // the owner may hold the range up to here
	unsureTo time.Duration // a grant without an answer may take effect up to here
	retryAt  time.Duration // no call before
	handover string
	prior    []priorHold
	calls    []*call // not ended, at the owner or an earlier one
}

// priorHold is an earlier holder of a part.
type priorHold struct {
	Hold
	until    time.Duration
	unsureTo time.Duration
	released bool
	retryAt  time.Duration
}

// Manager is the state machine of one service. It is not safe for concurrent use.
//
// Invariants: the parts cover all keys without overlap; a grant for a part is
// sent only when all its prior holders were released or have run out; two
// calls for overlapping ranges are never open at the same target.
type Manager struct {
	cfg     Config
	parts   []*part // by From
	calls   map[uint64]*call
	nextID  uint64
	pending *proposal
	// recordsPrior is set if the last record names earlier holders.
	recordsPrior bool
	committedAt  time.Duration
	failing      map[Holder]time.Duration // since when calls to a target have no answer
	ended        map[Holder]bool          // holders whose process is known to have ended
	// formerBound is up to when grants of the previous manager may hold.
	formerBound time.Duration
}

// proposal is a change that waits for the store.
type proposal struct{ parts []*part }

// New returns a manager of assignments that the store holds. An owner that the
// previous manager may have granted keys to may hold them up to bound.
func New(cfg Config, held []Assignment, bound time.Duration) *Manager {
	m := &Manager{cfg: cfg, calls: map[uint64]*call{}, failing: map[Holder]time.Duration{}, ended: map[Holder]bool{}, formerBound: bound}
	for _, a := range held {
		p := &part{Assignment: a, until: bound, unsureTo: bound, granted: true}
		for _, h := range a.Prior {
			p.prior = append(p.prior, priorHold{Hold: h, until: bound, unsureTo: bound})
		}
		m.parts = append(m.parts, p)
	}
	if len(m.parts) == 0 {
		m.parts = []*part{{Assignment: Assignment{From: 0, To: Keys - 1}}}
	}
	return m
}

// LowerFormerBound tells that grants of the previous manager hold up to an earlier time
// than was believed. Those that this manager has sent meanwhile count as before.
func (m *Manager) LowerFormerBound(now, bound time.Duration) {
	bound = max(bound, now+m.cfg.longest())
	if bound >= m.formerBound {
		return
	}
	parts := m.parts
	if m.pending != nil {
		parts = slices.Concat(parts, m.pending.parts)
	}
	for _, p := range parts {
		for _, t := range p.ends() {
			if *t == m.formerBound {
				*t = bound
			}
		}
	}
	m.formerBound = bound
}

// FormerBound returns up to when grants of the previous manager may hold.
func (m *Manager) FormerBound() time.Duration { return m.formerBound }

// ends returns the times up to which a part may be held.
func (p *part) ends() []*time.Duration {
	out := []*time.Duration{&p.until, &p.unsureTo}
	for i := range p.prior {
		out = append(out, &p.prior[i].until, &p.prior[i].unsureTo)
	}
	for _, c := range p.calls {
		out = append(out, &c.heldTo)
	}
	return out
}

// OwnerState says whether requests for a key can be sent.
type OwnerState uint8

// The states of a key's owner.
const (
	Held   OwnerState = iota + 1 // the owner holds the key
	Moving                       // the owner will hold it within about one request's time
	Lost                         // an earlier holder that does not answer is waited out
)

// Owner returns the target that a key is assigned to. A key that is Lost can be
// granted to its owner after a wait.
func (m *Manager) Owner(now time.Duration, key int) (h Holder, state OwnerState, wait time.Duration) {
	p := m.find(key)
	switch {
	case p.Owner.Target == "":
		return p.Owner, Lost, m.cfg.longest()
	case len(p.prior) == 0 && p.granted:
		return p.Owner, Held, 0
	case m.waitsInVain(p):
		return p.Owner, Lost, p.waitLeft(now)
	}
	return p.Owner, Moving, 0
}

// waitLeft returns how long earlier holders, or an owner that is about to be
// replaced, may still hold a part.
func (p *part) waitLeft(now time.Duration) time.Duration {
	var until time.Duration
	if len(p.prior) == 0 {
		until = p.until
	}
	for _, h := range p.prior {
		until = max(until, h.until)
	}
	return max(0, until-now)
}

// waitsInVain tells whether a part waits for a holder that does not answer.
func (m *Manager) waitsInVain(p *part) bool {
	for _, h := range p.prior {
		if _, failing := m.failing[h.Holder]; failing {
			return true
		}
	}
	_, failing := m.failing[p.Owner]
	return failing
}

// Counts sums up the state of a Manager.
type Counts struct {
	Ranges, Moving, Lost int
	KeysLost             int // keys of the ranges that are lost
	Pending              bool
}

// Counts returns the state of all ranges.
func (m *Manager) Counts(now time.Duration) Counts {
	c := Counts{Ranges: len(m.parts), Pending: m.pending != nil}
	for _, p := range m.parts {
		switch _, state, _ := m.Owner(now, p.From); state {
		case Moving:
			c.Moving++
		case Lost:
			c.Lost++
			c.KeysLost += p.To - p.From + 1
		}
	}
	return c
}

func (m *Manager) find(key int) *part {
	lo, hi := 0, len(m.parts)-1
	for lo < hi {
		mid := (lo + hi + 1) / 2
		if m.parts[mid].From <= key {
			lo = mid
		} else {
			hi = mid - 1
		}
	}
	return m.parts[lo]
}

// Assignments returns the current assignments, for readers.
func (m *Manager) Assignments() []Assignment {
	out := make([]Assignment, 0, len(m.parts))
	for _, p := range m.parts {
		out = append(out, p.record())
	}
	return out
}

// record returns the assignment as it is stored.
func (p *part) record() Assignment {
	a := p.Assignment
	a.Prior = nil
	for _, h := range p.prior {
		a.Prior = append(a.Prior, h.Hold)
	}
	return a
}

// String returns the kind's name.
func (k ActionKind) String() string {
	return [...]string{Grant: "grant", Release: "release"}[k]
}

// String returns the result's name.
func (r CallResult) String() string {
	return [...]string{Accepted: "accepted", Superseded: "superseded", NoAnswer: "no-answer", NotSent: "not-sent", Ended: "ended"}[r]
}
