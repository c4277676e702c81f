package keyspace

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// manyCandidates returns n candidates of equal capacity.
func manyCandidates(n int) []Candidate {
	var ids []string
	for i := range n {
		ids = append(ids, fmt.Sprintf("t%02d", i))
	}
	return candidates(ids...)
}

// planUntilStable applies plans until nothing changes, at most the given number,
// and returns how many were needed.
func planUntilStable(t *testing.T, m *Manager, c []Candidate, load *Load, maxPlans int) int {
	now := time.Duration(0)
	for n := range maxPlans {
		now += time.Second
		if _, ok := m.Propose(now, c, load); !ok {
			return n
		}
		m.Committed(now, int64(n+10))
		for range 3 {
			completeDueCalls(m, now, Accepted)
		}
	}
	t.Logf("still changing after %d plans", maxPlans)
	return maxPlans
}

// busiestLoad returns the load of the most loaded target and that of each target,
// in slots.
func busiestLoad(m *Manager, load *Load) (float64, map[string]float64) {
	loadByTarget := map[string]float64{}
	most := 0.0
	for _, a := range m.Assignments() {
		loadByTarget[a.Owner.Target] += load.BusySlots(a.From, a.To)
		most = max(most, loadByTarget[a.Owner.Target])
	}
	return most, loadByTarget
}

// Guards against a hot range that stays on one target: sixty adjacent keys that
// receive much of the traffic must be spread over many targets within five plans.
func TestHotRangeIsSpread(t *testing.T) {
	m := New(testConfig(), nil, 0)
	load := &Load{}
	for k := 0; k < Keys; k += 64 {
		load.Add(k, 5*time.Millisecond)
	}
	c := manyCandidates(13)
	planUntilStable(t, m, c, load, 5)
	for k := range 60 {
		load.Add(30000+k, 150*time.Millisecond)
	}
	before, _ := busiestLoad(m, load)
	planUntilStable(t, m, c, load, 5)
	after, loadByTarget := busiestLoad(m, load)
	assert.Less(t, after, before/3)
	assert.Less(t, after, 2*load.BusySlots(0, Keys-1)/13, "%v", loadByTarget)
}

// Guards against balancing that stops at the most utilized target. One hot key
// keeps that target busy and cannot be split; the load of the other targets must
// still be balanced.
func TestSingleHotKeyDoesNotStopBalancing(t *testing.T) {
	m := New(testConfig(), nil, 0)
	load := &Load{}
	c := manyCandidates(6)
	planUntilStable(t, m, c, load, 5)
	load.Add(100, 8*time.Second)
	for k := range 400 {
		load.Add(40000+k, 15*time.Millisecond)
	}
	planUntilStable(t, m, c, load, 8)
	_, loadByTarget := busiestLoad(m, load)
	most := 0.0
	hot, _, _ := m.Owner(0, 100)
	for id, l := range loadByTarget {
		if id != hot.Target {
			most = max(most, l)
		}
	}
	assert.Less(t, most, 2.5, "%v", loadByTarget)
}

// Guards against a hot key that stays on a target with too little capacity. It
// must move to the faster target, whose other keys must move to other targets.
func TestHotKeyGetsFastTargetForItself(t *testing.T) {
	m := New(testConfig(), nil, 0)
	load := &Load{}
	c := manyCandidates(6)
	for i := range c {
		c[i].Capacity = 2
	}
	c[3].Capacity = 5
	planUntilStable(t, m, c, load, 5)
	load.Add(100, 12*time.Second)
	for k := 0; k < Keys; k += 512 {
		load.Add(k, 60*time.Millisecond)
	}
	planUntilStable(t, m, c, load, 20)
	hot, _, _ := m.Owner(0, 100)
	_, loadByTarget := busiestLoad(m, load)
	assert.Equal(t, "t03", hot.Target, "%v", loadByTarget)
	assert.Less(t, loadByTarget["t03"]-load.BusySlots(100, 100), 0.3, "%v", loadByTarget)
}

// Guards against a new target that stays without keys because no other target is
// overloaded.
func TestNewTargetGetsKeys(t *testing.T) {
	m := New(testConfig(), nil, 0)
	load := &Load{}
	planUntilStable(t, m, manyCandidates(3), load, 5)
	planUntilStable(t, m, manyCandidates(4), load, 5)
	owners := map[string]bool{}
	for _, a := range m.Assignments() {
		owners[a.Owner.Target] = true
	}
	assert.Len(t, owners, 4)
}

// Guards against a lost handover when a target leaves: its keys must be released
// first and then granted to the new owners with the handover from the release.
func TestLeavingTargetHandsOver(t *testing.T) {
	m := newManagerWithOwners(t, "a", "b", "c")
	_, ok := m.Propose(time.Second, candidates("a", "b"), &Load{})
	require.True(t, ok)
	m.Committed(time.Second, 5)
	released := completeDueCalls(m, time.Second, Accepted)
	kinds := map[ActionKind]int{}
	for _, a := range released {
		kinds[a.Kind]++
		if a.Kind == Release {
			assert.Equal(t, "c", a.Holder.Target)
		}
	}
	require.Positive(t, kinds[Release])
	granted := 0
	for _, a := range completeDueCalls(m, time.Second, Accepted) {
		if a.Kind == Grant && a.Handover == "h" {
			granted++
			assert.Equal(t, int64(5), a.Fence)
		}
	}
	assert.Equal(t, kinds[Release], granted)
}

// Guards against a failover that waits for a holder that released its keys before
// the old leader was lost. The old leader must rewrite its record without that
// holder; otherwise the new leader treats keys that are served as unavailable.
func TestRecordForgetsHoldersThatReleased(t *testing.T) {
	m := newManagerWithOwners(t, "a", "b", "c")
	_, ok := m.Propose(time.Second, candidates("a", "b"), &Load{})
	require.True(t, ok)
	m.Committed(time.Second, 5)
	completeDueCalls(m, time.Second, Accepted)
	completeDueCalls(m, time.Second, Accepted)
	_, ok = m.Propose(1500*time.Millisecond, candidates("a", "b"), &Load{})
	assert.False(t, ok, "the record is rewritten only after a delay")
	record, ok := m.Propose(2*time.Second+time.Millisecond, candidates("a", "b"), &Load{})
	require.True(t, ok)
	for _, a := range record {
		assert.Empty(t, a.Prior)
		assert.NotZero(t, a.Fence, "no key changes owner")
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
