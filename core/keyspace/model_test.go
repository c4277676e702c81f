package keyspace

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// A renewal that is sent while a change of owner waits for the store must be
// known to the changed assignment: the new owner waits for it. Seen on a day
// with a slow append, on which two targets held the same keys for 3 s.
func TestRenewalDuringProposalIsWaitedFor(t *testing.T) {
	m := settled(t, "a", "b")
	owner, _, _ := m.Owner(0, 0)
	rest := "b"
	if owner.Target == "b" {
		rest = "a"
	}
	now := 2900 * time.Millisecond
	answerAll(m, now, Accepted) // held until 5.96 s
	_, ok := m.Propose(now, candidates(rest), &Load{})
	require.True(t, ok)
	now += time.Second
	renewed := answerAll(m, now, Accepted)
	require.NotEmpty(t, renewed, "renewals go on while the store is slow")
	m.Committed(0, 2)
	for end := now + testHold; now < end; now += 50 * time.Millisecond {
		for _, a := range m.Step(now, runs) {
			require.False(t, a.Kind == Grant && a.From == 0, "granted at %s while %s holds the key", now, owner.Target)
			if a.Holder == owner {
				m.Done(now, a.ID, NoAnswer, "")
			}
		}
	}
}

// modelTarget is a target as seen from outside: it holds ranges until its own
// clock says that their time is over.
type modelTarget struct {
	holds []modelHold
	seen  [modelKeys]int64 // highest fence by key
	up    bool
}

type modelHold struct {
	from, to int
	fence    int64
	until    time.Duration
}

// modelKeys is a number of sample keys, spread over the key space.
const (
	modelKeys = 32
	keyStride = Keys / modelKeys
)

func (g *modelTarget) grant(now time.Duration, a Action, hold time.Duration) CallResult {
	for k := range modelKeys {
		if key := k * keyStride; a.From <= key && key <= a.To && g.seen[k] > a.Fence {
			return Superseded
		}
	}
	g.drop(a.From, a.To, a.Fence)
	g.holds = append(g.holds, modelHold{a.From, a.To, a.Fence, now + hold})
	for k := range modelKeys {
		if key := k * keyStride; a.From <= key && key <= a.To {
			g.seen[k] = a.Fence
		}
	}
	return Accepted
}

// drop ends the holds on a range that have at most a fence.
func (g *modelTarget) drop(from, to int, fence int64) {
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

func (g *modelTarget) has(now time.Duration, key int) bool {
	for _, h := range g.holds {
		if h.from <= key && key <= h.to && now < h.until {
			return true
		}
	}
	return false
}

// modelCall is a call on its way.
type modelCall struct {
	action  Action
	arrives time.Duration // at the target, 0 if never
	takes   time.Duration // from there until it is carried out
	applied bool
	result  CallResult
	answers time.Duration // at the manager
	manager *Manager
}

type model struct {
	t        *rapid.T
	now      time.Duration
	m        *Manager
	old      *Manager // deposed, but does not know yet
	oldUntil time.Duration
	targets  map[string]*modelTarget
	life     map[string]int64
	calls    []*modelCall
	fence    int64
	stored   []Assignment
	commitAt time.Duration
	load     *Load
	listed   map[string]bool
}

func (m *model) tick(d time.Duration) {
	m.now += d
	m.deliver()
	m.check()
}

// deliver carries out the calls that have arrived and reports the answers.
func (m *model) deliver() {
	var open []*modelCall
	for _, c := range m.calls {
		if !c.applied && c.arrives > 0 && m.now >= c.arrives+c.takes {
			c.applied = true
			c.result = m.apply(c)
		}
		if m.now >= c.answers {
			result := c.result
			if !c.applied {
				result = NoAnswer
			}
			c.manager.Done(m.now, c.action.ID, result, "h")
			if c.applied || c.arrives == 0 {
				continue
			}
			c.answers = 1 << 62 // the call may still arrive late
		}
		open = append(open, c)
	}
	m.calls = open
}

func (m *model) apply(c *modelCall) CallResult {
	g := m.targets[c.action.Holder.Target]
	if g == nil || !g.up || m.life[c.action.Holder.Target] != c.action.Holder.Life {
		return NoAnswer
	}
	if c.action.Kind == Release {
		g.drop(c.action.From, c.action.To, c.action.Fence)
		return Accepted
	}
	// The target's clock may run 2 % slow; its time counts from the arrival.
	return g.grant(c.arrives, c.action, time.Duration(float64(testHold)*1.02))
}

// send puts the calls of a manager on their way, some of them late or lost.
func (m *model) send(from *Manager) {
	for _, a := range from.Step(m.now, func(h Holder) bool { return m.life[h.Target] == 0 || m.life[h.Target] <= h.Life }) {
		c := &modelCall{action: a, manager: from}
		switch rapid.IntRange(0, 9).Draw(m.t, "fate") {
		case 0: // lost
			c.answers = m.now + testTimeout
		case 1: // carried out late, its time counted from the arrival
			c.arrives = m.now + time.Duration(rapid.IntRange(1, 600).Draw(m.t, "arrives"))*time.Millisecond
			c.takes = time.Duration(rapid.IntRange(0, 12000).Draw(m.t, "takes")) * time.Millisecond
			c.answers = m.now + testTimeout
		default:
			c.arrives = m.now + time.Duration(rapid.IntRange(1, 100).Draw(m.t, "way"))*time.Millisecond
			c.answers = c.arrives + time.Millisecond
		}
		m.calls = append(m.calls, c)
	}
}

func (m *model) check() {
	for k := range modelKeys {
		key, holders := k*keyStride, ""
		n := 0
		for id, g := range m.targets {
			if g.up && g.has(m.now, key) {
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
			out = append(out, Candidate{Holder: Holder{id, m.life[id]}, Capacity: 3})
		}
	}
	return out
}

// No two targets hold a key at the same time: with lost and late grants and
// releases, targets that crash, vanish from the list or come back, hot keys,
// appends that take long, and a leader that is replaced while it still grants.
func TestNeverTwoHolders(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &model{t: t, targets: map[string]*modelTarget{}, life: map[string]int64{}, load: &Load{}, listed: map[string]bool{}}
		for i := range 4 {
			id := fmt.Sprintf("t%d", i)
			m.targets[id], m.life[id], m.listed[id] = &modelTarget{up: true}, 1, true
		}
		m.m = New(testConfig(), nil, 0)
		for range 600 {
			m.step()
		}
	})
}

func (m *model) step() {
	id := fmt.Sprintf("t%d", rapid.IntRange(0, len(m.targets)-1).Draw(m.t, "target"))
	switch rapid.IntRange(0, 59).Draw(m.t, "event") {
	case 0:
		m.targets[id].up, m.targets[id].holds = false, nil
	case 1:
		if !m.targets[id].up {
			m.targets[id] = &modelTarget{up: true}
			m.life[id]++
			m.listed[id] = true
		}
	case 2:
		m.listed[id] = !m.listed[id]
	case 3:
		m.load.Add(rapid.IntRange(0, modelKeys-1).Draw(m.t, "hot")*keyStride, 3*time.Second)
	case 4:
		m.replaceLeader()
	case 7:
		if m.old != nil { // the new leader learns when the old one's authority ends
			m.m.LowerFormerBound(m.now, m.oldUntil+testConfig().longest())
		}
	case 5, 6:
		if m.commitAt == 0 {
			if a, ok := m.m.Propose(m.now, m.candidates(), m.load); ok {
				m.stored = a
				m.commitAt = m.now + time.Duration(rapid.IntRange(1, 1500).Draw(m.t, "append"))*time.Millisecond
			}
		}
	}
	if m.commitAt > 0 && m.now >= m.commitAt {
		m.commitAt = 0
		m.fence++
		m.m.Committed(m.now, m.fence)
		m.stored = m.m.Assignments()
	}
	m.send(m.m)
	if m.old != nil && m.now < m.oldUntil {
		m.send(m.old)
	}
	m.tick(time.Duration(rapid.IntRange(1, 120).Draw(m.t, "ms")) * time.Millisecond)
}

// modelAuthority is how long a replaced leader may go on granting.
const modelAuthority = 2500 * time.Millisecond

// modelExtension is what a new leader assumes that does not know better yet.
const modelExtension = 15 * time.Second

// replaceLeader lets another manager take over from what the store holds. The
// old one goes on for as long as its last confirmation lasts.
func (m *model) replaceLeader() {
	if m.commitAt > 0 || m.old != nil && m.now < m.oldUntil || len(m.m.Assignments()) < 2 {
		return
	}
	m.old, m.oldUntil = m.m, m.now+modelAuthority
	assumed := modelAuthority
	if rapid.Bool().Draw(m.t, "without most promises") {
		assumed = modelExtension
	}
	m.m = New(testConfig(), m.m.Assignments(), m.now+assumed+testConfig().longest())
	m.m.TakeOver()
	m.fence++
	m.m.Committed(m.now, m.fence)
}
