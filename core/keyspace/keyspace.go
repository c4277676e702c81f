// Package keyspace assigns the keys of a service to targets. It keeps the owner of
// each key range, the fencing token (fence) of each range, and the time up to
// which each prior owner may still hold the range. The leader of the service's
// cell (the service with its targets) runs one Manager; the Manager of its
// successor starts from the assignments in the store.
//
// The package does no I/O and reads no clock: times are readings of a monotonic
// clock that the caller passes in, and calls to targets are returned as values.
package keyspace

import (
	"math"
	"slices"
	"time"
)

// Keys is the number of keys. They are numbered from 0.
const Keys = 1 << 16

// Holder is one process of a target, identified by its start. A target that has
// restarted is a different holder. It starts without keys, but takes renewals of the
// grants of its earlier life.
type Holder struct {
	Target string
	Life   int64
}

// Hold is a grant that may still be in effect at a holder.
type Hold struct {
	Holder
	Fence int64
}

// Assignment is a range of keys with its owner, as it is stored.
type Assignment struct {
	From, To int // inclusive
	Owner    Holder
	// Fence is the fencing token of the range. It rises with each new owner and
	// each new manager, when ranges are merged, and after the owner has seen a
	// higher fence. 0 stands for the number that the store will give to the record.
	Fence int64
	// Prior lists the holds of earlier owners that may still be in effect.
	Prior []Hold
}

// ActionKind is the kind of call that an Action asks for.
type ActionKind uint8

const (
	Grant   ActionKind = iota + 1 // grant the keys to the target, or renew the grant
	Release                       // take the keys back; the target answers when work on them has ended
)

// Action is a call that the caller must make to a target. Its result must be
// reported to Manager.ReportResult with the same ID.
type Action struct {
	ID       uint64
	Kind     ActionKind
	Holder   Holder
	From, To int
	Fence    int64
	Hold     time.Duration // how long the grant lasts on the target's clock; Grant only
	Handover string        // prior holder's answer to the release; Grant only
}

// CallResult is the result of an Action.
type CallResult uint8

const (
	Accepted   CallResult = iota + 1
	Superseded            // the target has seen a higher fence
	NoAnswer              // the call may still take effect later
	NotSent               // the target has provably not received the call
	Ended                 // another target's process has the address, so the holder has ended and holds nothing
)

// Config holds the timing and limits of a Manager.
type Config struct {
	Hold        time.Duration // how long a grant lasts on the target's clock
	Renew       time.Duration // interval at which a grant of a range is renewed
	CallTimeout time.Duration // a call without an answer ends after this, and its connection is reset
	// ClockError is the share by which a target's clock may run slow.
	ClockError float64
	// MaxRanges limits the splitting of ranges, except to isolate hot keys. A target
	// with this many gets only whole ranges, and a range without a usable owner is
	// not split if there would then be more than this many per target.
	MaxRanges int
}

// longest returns the longest time that a grant of the given duration is in effect
// after its arrival, on a target whose clock runs slow by ClockError.
func (c Config) longest(hold time.Duration) time.Duration {
	return time.Duration(math.Ceil(float64(hold) / (1 - c.ClockError)))
}

// MaxHoldSinceSend returns the time after sending a grant at which it is certain
// to have expired.
func (c Config) MaxHoldSinceSend() time.Duration {
	return c.CallTimeout + c.longest(c.Hold)
}

// call is a call to a target. done is set when its result has been reported.
type call struct {
	Action
	sent time.Duration
	// expires is the latest time at which the grant is in effect.
	expires time.Duration
	// heldUntilBefore is the heldUntil of the holder before the call was sent.
	heldUntilBefore time.Duration
	done            bool
}

// keyRange is an assignment with the manager's knowledge about it.
type keyRange struct {
	Assignment
	granted        bool          // the owner holds the range, as far as the manager knows
	accepted       bool          // the owner has accepted the fence
	superseded     bool          // the owner has seen a higher fence than the range's
	sentAt         time.Duration // time of the last grant, 0 if none
	heldUntil      time.Duration // latest time at which the owner may hold the range
	uncertainUntil time.Duration // latest time at which an unanswered grant may be in effect
	retryAt        time.Duration // no grant is sent before
	handover       string        // prior holder's answer to the release
	prior          []priorHold
	calls          []*call // to the owner or a prior holder; those done are removed when the next is sent
}

// priorHold is a hold of an earlier owner that may still be in effect. heldUntil
// and uncertainUntil mean the same as in keyRange; no release is sent before retryAt.
type priorHold struct {
	Hold
	heldUntil      time.Duration
	uncertainUntil time.Duration
	released       bool
	retryAt        time.Duration
}

// Manager is the state machine of one service. It is not safe for concurrent use.
//
// Invariants: the ranges cover all keys without overlap; a grant for a range is
// sent only after each prior hold was released, has expired or has ended because another
// target has the address, and after each hold that a lost assignment may have given has
// expired; two calls for overlapping ranges are never in flight to one target.
type Manager struct {
	cfg     Config
	ranges  []*keyRange // sorted by From
	calls   map[uint64]*call
	nextID  uint64
	pending *proposal
	// recordHasPrior is set if the last committed record names prior holders.
	recordHasPrior bool
	committedAt    time.Duration
	failingSince   map[Holder]time.Duration // since when no call to a holder has been answered
	ended          map[Holder]bool          // holders whose process is known to have ended
	// priorManagerHoldBound is the latest time at which grants of the prior manager
	// may be in effect.
	priorManagerHoldBound time.Duration
	// unknownHolders is set if targets that no stored assignment names may hold keys up to
	// priorManagerHoldBound. Until then no call is sent.
	unknownHolders bool
}

// proposal is a change that the store has not committed yet.
type proposal struct{ ranges []*keyRange }

// New returns a manager for the assignments that the store holds. bound is the
// latest time at which grants of the prior manager may be in effect.
func New(cfg Config, stored []Assignment, bound time.Duration) *Manager {
	m := &Manager{cfg: cfg, calls: map[uint64]*call{}, failingSince: map[Holder]time.Duration{}, ended: map[Holder]bool{}, priorManagerHoldBound: bound}
	for _, a := range stored {
		p := &keyRange{Assignment: a, heldUntil: bound, uncertainUntil: bound, granted: true}
		for _, h := range a.Prior {
			p.prior = append(p.prior, priorHold{Hold: h, heldUntil: bound, uncertainUntil: bound})
		}
		m.ranges = append(m.ranges, p)
	}
	if len(m.ranges) == 0 {
		m.ranges = []*keyRange{{Assignment: Assignment{From: 0, To: Keys - 1}}}
	}
	return m
}

// ExpectUnknownHolders tells the manager that later assignments than the stored ones may
// have been lost, so that any target may hold any key up to the bound given to New. No
// key is granted before.
func (m *Manager) ExpectUnknownHolders() { m.unknownHolders = true }

// WaitsForUnknown reports whether targets that no assignment names may hold keys.
func (m *Manager) WaitsForUnknown(now time.Duration) bool {
	return m.unknownHolders && now < m.priorManagerHoldBound
}

// LowerPriorManagerHoldBound lowers the bound given to New. A bound earlier than the
// expiry of a grant sent now is raised to that expiry, so that it also covers the
// grants that this manager has sent.
func (m *Manager) LowerPriorManagerHoldBound(now, bound time.Duration) {
	bound = max(bound, now+m.cfg.MaxHoldSinceSend())
	if bound >= m.priorManagerHoldBound {
		return
	}
	ranges := m.ranges
	if m.pending != nil {
		ranges = slices.Concat(ranges, m.pending.ranges)
	}
	for _, p := range ranges {
		for _, t := range p.holdBounds() {
			if *t == m.priorManagerHoldBound {
				*t = bound
			}
		}
	}
	m.priorManagerHoldBound = bound
}

// PriorManagerHoldBound returns the latest time at which grants of the prior manager
// may be in effect.
func (m *Manager) PriorManagerHoldBound() time.Duration { return m.priorManagerHoldBound }

// holdBounds returns pointers to the times up to which a range may be held.
func (p *keyRange) holdBounds() []*time.Duration {
	out := []*time.Duration{&p.heldUntil, &p.uncertainUntil}
	for i := range p.prior {
		out = append(out, &p.prior[i].heldUntil, &p.prior[i].uncertainUntil)
	}
	for _, c := range p.calls {
		out = append(out, &c.heldUntilBefore)
	}
	return out
}

// OwnerState tells whether requests for a key can be sent to its owner.
type OwnerState uint8

const (
	Held   OwnerState = iota + 1 // the owner holds the key
	Moving                       // the owner will hold the key within about the duration of one request
	Lost                         // no owner, or not held and the owner or a prior holder does not answer
)

// Owner returns the target that a key is assigned to. If the state is Lost, wait
// is the longest time until the key can be granted.
func (m *Manager) Owner(now time.Duration, key int) (h Holder, state OwnerState, wait time.Duration) {
	p := m.rangeOf(key)
	switch {
	case p.Owner.Target == "":
		return p.Owner, Lost, m.cfg.MaxHoldSinceSend()
	case p.held():
		return p.Owner, Held, 0
	case m.WaitsForUnknown(now):
		return p.Owner, Lost, m.priorManagerHoldBound - now
	case m.waitsForUnreachable(p):
		return p.Owner, Lost, p.remainingWait(now)
	}
	return p.Owner, Moving, 0
}

// held reports whether the owner of a range has been granted it and nobody else may
// hold it.
func (p *keyRange) held() bool { return len(p.prior) == 0 && p.granted }

// remainingWait returns how long the prior holders of a range may still hold it
// or, if it has none, how long its owner may.
func (p *keyRange) remainingWait(now time.Duration) time.Duration {
	var heldUntil time.Duration
	if len(p.prior) == 0 {
		heldUntil = p.heldUntil
	}
	for _, h := range p.prior {
		heldUntil = max(heldUntil, h.heldUntil)
	}
	return max(0, heldUntil-now)
}

// waitsForUnreachable reports whether a prior holder or the owner of a range does
// not answer calls.
func (m *Manager) waitsForUnreachable(p *keyRange) bool {
	for _, h := range p.prior {
		if _, failing := m.failingSince[h.Holder]; failing {
			return true
		}
	}
	_, failing := m.failingSince[p.Owner]
	return failing
}

// Counts summarizes the state of a Manager.
type Counts struct {
	Ranges, Moving, Lost int  // numbers of all ranges and of those in the states Moving and Lost
	KeysLost             int  // keys in the ranges in state Lost
	Pending              bool // a proposal has not been committed yet
}

func (m *Manager) Counts(now time.Duration) Counts {
	c := Counts{Ranges: len(m.ranges), Pending: m.pending != nil}
	for _, p := range m.ranges {
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

func (m *Manager) rangeOf(key int) *keyRange {
	lo, hi := 0, len(m.ranges)-1
	for lo < hi {
		mid := (lo + hi + 1) / 2
		if m.ranges[mid].From <= key {
			lo = mid
		} else {
			hi = mid - 1
		}
	}
	return m.ranges[lo]
}

// Assignments returns a copy of the current assignments.
func (m *Manager) Assignments() []Assignment {
	out := make([]Assignment, 0, len(m.ranges))
	for _, p := range m.ranges {
		out = append(out, p.record())
	}
	return out
}

// record returns the assignment in the form in which it is stored.
func (p *keyRange) record() Assignment {
	a := p.Assignment
	a.Prior = nil
	for _, h := range p.prior {
		a.Prior = append(a.Prior, h.Hold)
	}
	return a
}

func (k ActionKind) String() string {
	return [...]string{Grant: "grant", Release: "release"}[k]
}

func (r CallResult) String() string {
	return [...]string{Accepted: "accepted", Superseded: "superseded", NoAnswer: "no-answer", NotSent: "not-sent", Ended: "ended"}[r]
}
