package keyspace

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// Guards against two holders of a key after a renewal that is sent while the store
// commits a change of owner: the new owner must wait until the renewed hold has
// expired. Once, with a slow commit, two targets held the same keys for 3 s.
func TestRenewalDuringProposalIsWaitedFor(t *testing.T) {
	m := newManagerWithOwners(t, "a", "b")
	owner, _, _ := m.Owner(0, 0)
	survivor := "b"
	if owner.Target == "b" {
		survivor = "a"
	}
	now := 2900 * time.Millisecond
	completeDueCalls(m, now, Accepted) // held until 5.96 s
	_, ok := m.Propose(now, candidates(survivor), &Load{})
	require.True(t, ok)
	now += time.Second
	renewed := completeDueCalls(m, now, Accepted)
	require.NotEmpty(t, renewed, "renewals go on while the store is slow")
	m.Committed(0, 2)
	for end := now + testHold; now < end; now += 50 * time.Millisecond {
		for _, a := range m.Step(now, alwaysMayRun) {
			require.False(t, a.Kind == Grant && a.From == 0, "granted at %s while %s holds the key", now, owner.Target)
			if a.Holder == owner {
				m.ReportResult(now, a.ID, NoAnswer, "")
			}
		}
	}
}

// modelTarget holds each granted range until the grant expires by the target's clock.
type modelTarget struct {
	holds        []modelHold
	highestFence [modelKeys]int64 // by sample key
	up           bool
}

type modelHold struct {
	from, to int
	fence    int64
	until    time.Duration
}

// modelKeys is the number of sample keys; they are keyStride apart.
const (
	modelKeys = 32
	keyStride = Keys / modelKeys
)

func (g *modelTarget) grant(now time.Duration, a Action, hold time.Duration) CallResult {
	for k := range modelKeys {
		if key := k * keyStride; a.From <= key && key <= a.To && g.highestFence[k] > a.Fence {
			return Superseded
		}
	}
	g.removeHolds(a.From, a.To, a.Fence)
	g.holds = append(g.holds, modelHold{a.From, a.To, a.Fence, now + hold})
	for k := range modelKeys {
		if key := k * keyStride; a.From <= key && key <= a.To {
			g.highestFence[k] = a.Fence
		}
	}
	return Accepted
}

// removeHolds removes the holds on a range whose fence is not above the given one.
func (g *modelTarget) removeHolds(from, to int, fence int64) {
	var kept []modelHold
	for _, h := range g.holds {
		if h.to < from || h.from > to || h.fence > fence {
			kept = append(kept, h)
			continue
		}
		if h.from < from {
			kept = append(kept, modelHold{h.from, from - 1, h.fence, h.until})
		}
		if h.to > to {
			kept = append(kept, modelHold{to + 1, h.to, h.fence, h.until})
		}
	}
	g.holds = kept
}

func (g *modelTarget) holdsKey(now time.Duration, key int) bool {
	for _, h := range g.holds {
		if h.from <= key && key <= h.to && now < h.until {
			return true
		}
	}
	return false
}

// modelCall is a call in flight.
type modelCall struct {
	action     Action
	arrivesAt  time.Duration // time of arrival at the target, 0 if lost
	applyDelay time.Duration // from arrival until the target applies it
	receivedBy *modelTarget  // the process that was up when it arrived
	applied    bool
	answerLost bool
	result     CallResult
	resultAt   time.Duration // time at which the manager gets the result
	manager    *Manager
}

type model struct {
	t            *rapid.T
	now          time.Duration
	manager      *Manager
	deposed      *Manager // replaced, but still acting until deposedUntil
	deposedUntil time.Duration
	targets      map[string]*modelTarget
	lives        map[string]int64 // as registered; a restarted target may not be registered yet
	restarts     bool             // whether targets restart under their id without being noticed
	unregistered map[string]bool  // targets that have restarted so and are not registered again yet
	calls        []*modelCall
	fence        int64
	stored       []Assignment
	commitAt     time.Duration
	load         *Load
	listed       map[string]bool
}

func (m *model) tick(d time.Duration) {
	m.now += d
	m.deliver()
	m.check()
}

// deliver applies the calls that are due and reports the results that are due.
func (m *model) deliver() {
	var inFlight []*modelCall
	for _, c := range m.calls {
		if c.receivedBy == nil && c.arrivesAt > 0 && m.now >= c.arrivesAt {
			c.receivedBy = m.targets[c.action.Holder.Target]
		}
		if !c.applied && c.arrivesAt > 0 && m.now >= c.arrivesAt+c.applyDelay {
			c.applied = true
			c.result = m.apply(c)
		}
		if m.now >= c.resultAt {
			result := c.result
			if !c.applied || c.answerLost {
				result = NoAnswer
			}
			c.manager.ReportResult(m.now, c.action.ID, result, "h")
			if c.applied || c.arrivesAt == 0 {
				continue
			}
			c.resultAt = 1 << 62 // the manager has given up on it; it may still be applied
		}
		inFlight = append(inFlight, c)
	}
	m.calls = inFlight
}

// apply carries out a call at the process that has received it. Calls name a target, not
// its life, so a process also takes calls that are meant for the one before it.
func (m *model) apply(c *modelCall) CallResult {
	g := c.receivedBy
	if !g.up || g != m.targets[c.action.Holder.Target] {
		return NoAnswer
	}
	if c.action.Kind == Release {
		g.removeHolds(c.action.From, c.action.To, c.action.Fence)
		return Accepted
	}
	// The target's clock may run 2 % slow; a grant's duration counts from its arrival.
	return g.grant(c.arrivesAt, c.action, c.action.Hold*100/98)
}

// send sends the due calls of a manager; some are lost or applied late.
func (m *model) send(from *Manager) {
	for _, a := range from.Step(m.now, func(h Holder) bool { return m.lives[h.Target] == 0 || m.lives[h.Target] <= h.Life }) {
		c := &modelCall{action: a, manager: from}
		sentAt := m.now
		if rapid.IntRange(0, 9).Draw(m.t, "starved") == 0 { // the leader's process gets to send it later
			sentAt += time.Duration(rapid.IntRange(1, 800).Draw(m.t, "starved for")) * time.Millisecond
		}
		switch rapid.IntRange(0, 9).Draw(m.t, "fate") {
		case 0: // lost
			c.resultAt = sentAt + testTimeout
		case 1: // applied late; its duration counts from the arrival
			c.arrivesAt = sentAt + time.Duration(rapid.IntRange(1, 600).Draw(m.t, "arrives"))*time.Millisecond
			c.applyDelay = time.Duration(rapid.IntRange(0, 12000).Draw(m.t, "takes")) * time.Millisecond
			c.resultAt = sentAt + testTimeout
		case 2: // carried out, but its answer is lost
			c.arrivesAt = sentAt + time.Duration(rapid.IntRange(1, 600).Draw(m.t, "arrives"))*time.Millisecond
			c.resultAt, c.answerLost = sentAt+testTimeout, true
		default:
			c.arrivesAt = sentAt + time.Duration(rapid.IntRange(1, 100).Draw(m.t, "way"))*time.Millisecond
			c.resultAt = c.arrivesAt + time.Millisecond
		}
		m.calls = append(m.calls, c)
	}
}

// check fails the test if two targets hold a key.
func (m *model) check() {
	for k := range modelKeys {
		key, holders := k*keyStride, ""
		n := 0
		for id, g := range m.targets {
			if g.up && g.holdsKey(m.now, key) {
				n++
				holders += " " + id
			}
		}
		if n > 1 {
			m.t.Fatalf("at %s key %d is held by%s", m.now, key, holders)
		}
	}
}

func (m *model) candidates() []Candidate {
	var out []Candidate
	for id := range m.targets {
		if m.listed[id] {
			out = append(out, Candidate{Holder: Holder{id, m.lives[id]}, Capacity: 3})
		}
	}
	return out
}

// Guards against two targets that hold the same key at the same time, under lost
// and late grants and releases, targets that crash, leave the list of candidates
// or return, hot keys, slow commits, and a leader that is replaced while it still
// sends grants.
func TestNeverTwoHolders(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { newModel(t).run() })
}

// Guards against two targets that hold the same key, under the same faults and
// restarts of targets under their id: such a target takes renewals of its earlier
// life's grants until its registration is known.
func TestNeverTwoHoldersBesideRestartsUnderOneID(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t)
		m.restarts = true
		m.run()
	})
}

func newModel(t *rapid.T) *model {
	m := &model{t: t, targets: map[string]*modelTarget{}, lives: map[string]int64{}, unregistered: map[string]bool{}, load: &Load{}, listed: map[string]bool{}}
	for i := range 4 {
		id := fmt.Sprintf("t%d", i)
		m.targets[id], m.lives[id], m.listed[id] = &modelTarget{up: true}, 1, true
	}
	m.manager = New(testConfig(), nil, 0)
	return m
}

func (m *model) run() {
	for range 600 {
		m.step()
	}
}

func (m *model) step() {
	id := fmt.Sprintf("t%d", rapid.IntRange(0, len(m.targets)-1).Draw(m.t, "target"))
	switch rapid.IntRange(0, 59).Draw(m.t, "event") {
	case 0:
		m.targets[id].up, m.targets[id].holds = false, nil
	case 1:
		if !m.targets[id].up {
			m.targets[id] = &modelTarget{up: true}
			m.register(id)
		}
	case 2:
		m.listed[id] = !m.listed[id]
	case 3:
		m.load.Add(rapid.IntRange(0, modelKeys-1).Draw(m.t, "hot")*keyStride, 3*time.Second)
	case 4:
		m.replaceLeader()
	case 7:
		if m.deposed != nil { // the new leader learns when the deposed leader's authority ends
			m.manager.LowerPriorManagerHoldBound(m.now, m.deposedUntil+testConfig().MaxHoldSinceSend())
		}
	case 8:
		if m.restarts && m.targets[id].up {
			m.targets[id], m.unregistered[id] = &modelTarget{up: true}, true
		}
	case 9, 10, 11, 12, 13, 14:
		for id := range m.unregistered {
			m.register(id)
		}
	case 5, 6:
		if m.commitAt == 0 {
			if a, ok := m.manager.Propose(m.now, m.candidates(), m.load); ok {
				m.stored = a
				m.commitAt = m.now + time.Duration(rapid.IntRange(1, 1500).Draw(m.t, "append"))*time.Millisecond
			}
		}
	}
	if m.commitAt > 0 && m.now >= m.commitAt {
		m.commitAt = 0
		m.fence++
		m.manager.Committed(m.now, m.fence)
		m.stored = m.manager.Assignments()
	}
	m.send(m.manager)
	if m.deposed != nil && m.now < m.deposedUntil {
		m.send(m.deposed)
	}
	m.tick(time.Duration(rapid.IntRange(1, 120).Draw(m.t, "ms")) * time.Millisecond)
}

// register makes the present process of a target known as its latest life.
func (m *model) register(id string) {
	m.lives[id]++
	m.listed[id] = true
	delete(m.unregistered, id)
}

// modelAuthority is how long a replaced leader may continue to send grants.
const modelAuthority = 2500 * time.Millisecond

// modelExtension is how long a new leader assumes that the deposed leader may
// continue to send grants, until it learns the actual time.
const modelExtension = 15 * time.Second

// replaceLeader starts a new manager from the stored assignments. The deposed
// manager continues to send grants for modelAuthority.
func (m *model) replaceLeader() {
	if m.commitAt > 0 || m.deposed != nil && m.now < m.deposedUntil || len(m.manager.Assignments()) < 2 {
		return
	}
	m.deposed, m.deposedUntil = m.manager, m.now+modelAuthority
	assumed := modelAuthority
	if rapid.Bool().Draw(m.t, "without a majority of releases") {
		assumed = modelExtension
	}
	m.manager = New(testConfig(), m.manager.Assignments(), m.now+assumed+testConfig().MaxHoldSinceSend())
	m.manager.TakeOver()
	m.fence++
	m.manager.Committed(m.now, m.fence)
}
