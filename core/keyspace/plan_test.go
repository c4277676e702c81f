package keyspace

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func many(n int) []Candidate {
	var ids []string
	for i := range n {
		ids = append(ids, fmt.Sprintf("t%02d", i))
	}
	return candidates(ids...)
}

// rounds lets plans take effect until nothing changes, and returns how many
// were needed.
func rounds(t *testing.T, m *Manager, c []Candidate, load *Load, most int) int {
	now := time.Duration(0)
	for n := range most {
		now += time.Second
		if _, ok := m.Propose(now, c, load); !ok {
			return n
		}
		m.Committed(now, int64(n+10))
		for range 3 {
			answerAll(m, now, Accepted)
		}
	}
	t.Logf("still changing after %d plans", most)
	return most
}

// use returns the busiest target's part of the load.
func busiest(m *Manager, load *Load) (float64, map[string]float64) {
	by := map[string]float64{}
	most := 0.0
	for _, a := range m.Assignments() {
		by[a.Owner.Target] += load.Of(a.From, a.To)
		most = max(most, by[a.Owner.Target])
	}
	return most, by
}

// Sixty busy keys side by side get much of the traffic: they are spread over
// many targets within a few plans.
func TestHotRangeIsSpread(t *testing.T) {
	m := New(testConfig(), nil, 0)
	load := &Load{}
	for k := 0; k < Keys; k += 64 {
		load.Add(k, 5*time.Millisecond)
	}
	c := many(13)
	rounds(t, m, c, load, 5)
	for k := range 60 {
		load.Add(30000+k, 150*time.Millisecond)
	}
	before, _ := busiest(m, load)
	rounds(t, m, c, load, 5)
	after, by := busiest(m, load)
	assert.Less(t, after, before/3)
	assert.Less(t, after, 2*load.Of(0, Keys-1)/13, "%v", by)
}

// One key alone keeps a target busy and cannot be cut; the load of the others
// must still be evened out.
func TestSingleHotKeyDoesNotStopBalancing(t *testing.T) {
	m := New(testConfig(), nil, 0)
	load := &Load{}
	c := many(6)
	rounds(t, m, c, load, 5)
	load.Add(100, 8*time.Second)
	for k := range 400 {
		load.Add(40000+k, 15*time.Millisecond)
	}
	rounds(t, m, c, load, 8)
	_, by := busiest(m, load)
	most := 0.0
	hot, _, _ := m.Owner(0, 100)
	for id, l := range by {
		if id != hot.Target {
			most = max(most, l)
		}
	}
	assert.Less(t, most, 2.5, "%v", by)
}

// A key that needs more than a slow target has goes to a fast one, and what
// else that one owns goes to others.
func TestHotKeyGetsFastTargetForItself(t *testing.T) {
	m := New(testConfig(), nil, 0)
	load := &Load{}
	c := many(6)
	for i := range c {
		c[i].Capacity = 2
	}
	c[3].Capacity = 5
	rounds(t, m, c, load, 5)
	load.Add(100, 12*time.Second)
	for k := 0; k < Keys; k += 512 {
		load.Add(k, 60*time.Millisecond)
	}
	rounds(t, m, c, load, 20)
	hot, _, _ := m.Owner(0, 100)
	_, by := busiest(m, load)
	assert.Equal(t, "t03", hot.Target, "%v", by)
	assert.Less(t, by["t03"]-load.Of(100, 100), 0.3, "%v", by)
}

// A target that joins gets keys although nothing is overloaded.
func TestNewTargetGetsKeys(t *testing.T) {
	m := New(testConfig(), nil, 0)
	load := &Load{}
	rounds(t, m, many(3), load, 5)
	rounds(t, m, many(4), load, 5)
	owners := map[string]bool{}
	for _, a := range m.Assignments() {
		owners[a.Owner.Target] = true
	}
	assert.Len(t, owners, 4)
}

// The keys of a target that leaves are handed over: released first, and granted
// to others with the handover.
func TestLeavingTargetHandsOver(t *testing.T) {
	m := settled(t, "a", "b", "c")
	_, ok := m.Propose(time.Second, candidates("a", "b"), &Load{})
	require.True(t, ok)
	m.Committed(time.Second, 5)
	released := answerAll(m, time.Second, Accepted)
	kinds := map[ActionKind]int{}
	for _, a := range released {
		kinds[a.Kind]++
		if a.Kind == Release {
			assert.Equal(t, "c", a.Holder.Target)
		}
	}
	require.Positive(t, kinds[Release])
	granted := 0
	for _, a := range answerAll(m, time.Second, Accepted) {
		if a.Kind == Grant && a.Handover == "h" {
			granted++
			assert.Equal(t, int64(5), a.Fence)
		}
	}
	assert.Equal(t, kinds[Release], granted)
}

// A leader that is lost after a move is done must not leave a record that
// makes its successor wait for the earlier holder: the keys are served.
func TestRecordForgetsHoldersThatReleased(t *testing.T) {
	m := settled(t, "a", "b", "c")
	_, ok := m.Propose(time.Second, candidates("a", "b"), &Load{})
	require.True(t, ok)
	m.Committed(time.Second, 5)
	answerAll(m, time.Second, Accepted)
	answerAll(m, time.Second, Accepted)
	_, ok = m.Propose(1500*time.Millisecond, candidates("a", "b"), &Load{})
	assert.False(t, ok, "not worth a record of its own yet")
	record, ok := m.Propose(2*time.Second+time.Millisecond, candidates("a", "b"), &Load{})
	require.True(t, ok)
	for _, a := range record {
		assert.Empty(t, a.Prior)
		assert.NotZero(t, a.Fence, "no key changes hands")
	}
	m.Committed(2*time.Second, 6)
	_, ok = m.Propose(4*time.Second, candidates("a", "b"), &Load{})
	assert.False(t, ok)
	successor := New(testConfig(), record, 9*time.Second)
	successor.TakeOver()
	successor.Committed(5*time.Second, 7)
	_, state, _ := successor.Owner(5*time.Second, 0)
	assert.Equal(t, Held, state)
}
