package support

import (
	"fmt"
	"math/bits"
	"slices"
	"strings"
	"time"

	"pgregory.net/rapid"

	"github.com/mangogate/mangogate/core/keyspace"
)

// The model of successions runs the decisions of node/cell on one cell, by small steps, with
// the real Follower, Leader, GrantBound, Majority and keyspace.Manager. Its store keeps one
// log and is never restored to an older copy; targets do not restart.

// faults switches single mends off.
type faults struct {
	claimAsksNobody bool // the end of the leader's process counts as the end of its deputies
	supportByName   bool // support is for any deputy of a leader, and a deputy's claim asks nobody
	replacesNewest  bool // a write replaces whatever record is the newest
	// deputyBesideTake lets a leader appoint a deputy although a VM that it asked to lead may do so
	deputyBesideTake bool
	// takesLaterRecord lets a VM that was asked to lead replace a later record of that leader
	takesLaterRecord bool
}

const (
	modelVMs     = 6
	modelTargets = 3
	modelKeys    = 3 // sample keys, keyStride apart
	keyStride    = keyspace.Keys / modelKeys
	modelSteps   = 500
	modelCases   = 100 // cases in which a fault must show, rapid's usual number

	// proposeInterval is how often the same candidates are compared with their loads, which takes
	// a millisecond of processor time. node/cell does so each planInterval.
	proposeInterval = 4 * time.Second

	// The durations that follow are those of node/cell.
	leaderLease       = 2500 * ms
	supportAfter      = 1300 * ms
	supportInterval   = 300 * ms
	callTimeout       = 500 * ms
	rpcTimeout        = 400 * ms
	handoverTimeout   = 1500 * ms
	appendRetry       = 100 * ms
	releaseRetry      = 500 * ms
	planInterval      = 400 * ms
	leaderTimeout     = 800 * ms
	unreachable       = 800 * ms
	reconcileInterval = 100 * ms
	maxCandidates     = 4
)

func modelKeyConfig() keyspace.Config {
	return keyspace.Config{Hold: 1800 * ms, Renew: 500 * ms, CallTimeout: callTimeout, ClockError: ClockError, MaxRanges: 8}
}

// maxHold is how long a target may hold a key after the last grant was sent.
func maxHold() time.Duration { return modelKeyConfig().MaxHoldSinceSend() }

// record is a record of the cell.
type record struct {
	number  int64 // its position in the log plus one
	change  int   // differs in each record that is written
	vm      int
	process string
	keys    []keyspace.Assignment
	earlier time.Duration // for how long grants of earlier leaders may hold
}

// assignments returns the record's assignments with their fences.
func (r *record) assignments() []keyspace.Assignment {
	out := slices.Clone(r.keys)
	for i := range out {
		if out[i].Fence == 0 && out[i].Owner.Target != "" {
			out[i].Fence = r.number
		}
	}
	return out
}

func sameRecord(a, b *record) bool {
	return a == b || a != nil && b != nil && a.change == b.change
}

func sameLeader(a, b *record) bool {
	return a == b || a != nil && b != nil && a.process == b.process
}

// entry is an entry of the store's log: a registration of a VM's process, or a record.
type entry struct {
	vm      int
	process string
	cell    *record
}

// event is something that happens at a process, once it runs; vm is nil for the store and
// the targets.
type event struct {
	at time.Duration
	vm *modelVM
	do func()
}

// keyHold is what a target has been granted of one key.
type keyHold struct {
	fence, highest int64
	until          time.Duration
}

type succession struct {
	t        *rapid.T
	faults   faults
	now      time.Duration
	events   []event
	log      []entry
	vms      [modelVMs]*modelVM
	starts   int
	changes  int
	load     keyspace.Load                         // none; its buffer is used again
	cut      [modelVMs][modelVMs]time.Duration     // from VM to VM, until then
	noStore  [modelVMs]time.Duration               // requests to the store are lost until then
	noAnswer [modelVMs]time.Duration               // its answers are
	noTarget [modelVMs][modelTargets]time.Duration // grants and releases are
	noReply  [modelVMs][modelTargets]time.Duration // their answers are
	unusable [modelTargets]time.Duration           // no keys are assigned to the target until then
	// losesActAnswer tells that the next answer of a VM that is asked to be deputy is lost.
	losesActAnswer bool
	unknownDeputy  int // the VM whose answer was lost last, or -1
	targets        [modelTargets][modelKeys]keyHold
	// calmUntil is when the next failure may be caused.
	calmUntil time.Duration
	history   []string
}

func (m *succession) note(format string, args ...any) {
	m.history = append(m.history, fmt.Sprintf("%s ", m.now)+fmt.Sprintf(format, args...))
}

// draw returns a number below n. It draws bits, of which rapid prefers none; among numbers
// it prefers the small ones, so that no failure would last.
func (m *succession) draw(name string, n int) int {
	x := 0
	for range bits.Len(uint(n)) + 2 {
		x *= 2
		if rapid.Bool().Draw(m.t, name) {
			x++
		}
	}
	return x % n
}

// chance is true in one of 2^k cases.
func (m *succession) chance(name string, k int) bool {
	for range k {
		if !rapid.Bool().Draw(m.t, name) {
			return false
		}
	}
	return true
}

// way returns how long a message travels: most take a few ms, some up to the given time.
func (m *succession) way(longest time.Duration) time.Duration {
	if m.chance("late", 4) {
		return time.Duration(m.draw("late way", int(longest/ms))) * ms
	}
	return 5 * ms
}

// after lets something happen at a process, unless that has ended by then.
func (m *succession) after(d time.Duration, v *modelVM, do func()) {
	m.schedule(event{m.now + d, v, do})
}

// schedule keeps events in order of time.
func (m *succession) schedule(e event) {
	i := len(m.events)
	for i > 0 && m.events[i-1].at > e.at {
		i--
	}
	m.events = slices.Insert(m.events, i, e)
}

// advance lets everything happen that is due before the given time. What a frozen process is
// to do waits.
func (m *succession) advance(until time.Duration) {
	for len(m.events) > 0 && m.events[0].at < until {
		e := m.events[0]
		m.events = m.events[1:]
		switch {
		case e.vm != nil && m.vms[e.vm.index] != e.vm:
		case e.vm != nil && e.at < e.vm.frozenUntil:
			e.at = e.vm.frozenUntil
			m.schedule(e)
		default:
			m.now = e.at
			e.do()
		}
	}
	m.now = until
}

// call lets a VM call another one. The request or its answer may be lost or late. handle runs
// at the process that is there on arrival, and answer gets ok false if no answer comes in time
// or the connection is reset.
func (m *succession) call(from *modelVM, to int, timeout time.Duration, handle func(v *modelVM, reply func(any)), answer func(result any, ok bool)) {
	answered := false
	finish := func(result any, ok bool) {
		if !answered {
			answered = true
			answer(result, ok)
		}
	}
	lose := func() {
		if !m.chance("no reset", 2) {
			m.after(0, from, func() { finish(nil, false) })
		}
	}
	reply := func(result any) {
		if m.now < m.cut[to][from.index] || m.chance("answer lost", 3) {
			lose()
			return
		}
		m.after(m.way(rpcTimeout), from, func() { finish(result, true) })
	}
	m.after(timeout, from, func() { finish(nil, false) })
	if m.now < m.cut[from.index][to] {
		lose()
		return
	}
	m.after(m.way(timeout), nil, func() {
		if v := m.vms[to]; v != nil {
			m.after(0, v, func() { handle(v, reply) })
		} else {
			lose()
		}
	})
}

// check returns which key two targets hold, or "".
func (m *succession) check() string {
	for k := range modelKeys {
		var holders []string
		for i, t := range m.targets {
			if m.now < t[k].until {
				holders = append(holders, fmt.Sprintf("t%d under fence %d", i, t[k].fence))
			}
		}
		if len(holders) > 1 {
			return fmt.Sprintf("at %s key %d is held by %s", m.now, k, strings.Join(holders, " and by "))
		}
	}
	return ""
}

// perform sends a call to a target, which carries it out after at most callTimeout.
func (m *succession) perform(v *modelVM, l *leadership, a keyspace.Action) {
	answered, t := false, int(a.Holder.Target[1]-'0')
	m.after(callTimeout, v, func() {
		if !answered {
			answered = true
			l.keys.ReportResult(m.now, a.ID, keyspace.NoAnswer, "")
		}
	})
	if m.now < m.noTarget[v.index][t] {
		return
	}
	way := m.way(callTimeout)
	arrives := m.now + way
	m.after(way, nil, func() {
		result := m.apply(&m.targets[t], a, arrives)
		if m.now < m.noReply[v.index][t] {
			return
		}
		m.after(0, v, func() {
			if !answered {
				answered = true
				l.keys.ReportResult(m.now, a.ID, result, "")
			}
		})
	})
}

// apply carries out a grant or release at a target, whose clock may be slow by ClockError.
func (m *succession) apply(t *[modelKeys]keyHold, a keyspace.Action, arrives time.Duration) keyspace.CallResult {
	for _, grants := range []bool{false, true} { // all keys are checked before one is granted
		for k := range modelKeys {
			if key, h := k*keyStride, &t[k]; key < a.From || key > a.To {
				continue
			} else if a.Kind == keyspace.Release {
				if h.fence <= a.Fence {
					h.until = 0
				}
			} else if grants {
				*h = keyHold{a.Fence, a.Fence, arrives + time.Duration(float64(a.Hold)/(1-ClockError))}
			} else if h.highest > a.Fence {
				return keyspace.Superseded
			}
		}
	}
	return keyspace.Accepted
}
