package cell

import (
	"context"
	"runtime"
	"testing"
	"time"

	"github.com/mangogate/mangogate/core/fleet"
	"github.com/mangogate/mangogate/core/saturation"
	"github.com/mangogate/mangogate/node/view"
	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// enlarge registers a VM again with twice the cores of the others, and waits until vm knows.
func enlarge(t *testing.T, store *memoryStore, larger, vm *testVM) {
	record := larger.self
	record.Cores = 2
	_, err := store.Append(context.Background(), view.Change{Key: view.VMKey(record.ID), VM: &record}, view.AnyOffset)
	require.NoError(t, err)
	require.Eventually(t, vm.hasLargerVM, 2*time.Second, 10*time.Millisecond)
}

// Guards against a busy leader that keeps its cell although a larger VM could lead it, and
// against one that hands it to a VM of its own size.
func TestBusyLeaderHandsOverToLargerVM(t *testing.T) {
	store := &memoryStore{}
	leader, others := startLeader(t, store, 3)
	assert.False(t, leader.hasLargerVM(), "all VMs are equal")
	assert.Empty(t, leader.largerCandidates(saturation.CPU, "s"))
	enlarge(t, store, others[1], leader)
	candidates := leader.largerCandidates(saturation.CPU, "s")
	require.Len(t, candidates, 1)
	leader.handOverForLoad(t.Context(), leader.busiestLeadership(), candidates, saturation.CPU)
	require.Eventually(t, func() bool { return others[1].leadershipOf("s") != nil && leader.leadershipOf("s") == nil }, 3*time.Second, 10*time.Millisecond)
	assert.EqualValues(t, 1, leader.load.handovers.Count())
	assert.Empty(t, others[1].largerCandidates(saturation.CPU, "s"), "the cell does not come back")
}

// Guards against samples of a busy leader that do not lead to a handover, or to one before
// the leader has settled.
func TestSamplesOfBusyLeaderStartAHandover(t *testing.T) {
	store := &memoryStore{}
	leader, others := startLeader(t, store, 2)
	enlarge(t, store, others[0], leader)
	l, m := leader.busiestLeadership(), newLoadMonitor(metrics.NewRegistry())
	now := time.Duration(0)
	feed := func(span time.Duration) {
		for end := now + span; now < end; now += loadInterval {
			leader.noteLoad(m, now, saturation.Sample{CPU: 0.9}, l)
		}
	}
	feed(9 * time.Second)
	time.Sleep(200 * time.Millisecond)
	require.True(t, l.isCurrent())
	feed(3 * time.Second)
	require.Eventually(t, func() bool { return others[0].leadershipOf("s") != nil }, 3*time.Second, 10*time.Millisecond)
}

// Guards against a cell without a leader when the larger VM refuses to take it over.
func TestBusyLeaderGoesOnIfLargerVMRefuses(t *testing.T) {
	store := &memoryStore{}
	leader, others := startLeader(t, store, 2)
	enlarge(t, store, others[0], leader)
	others[0].retiring.Store(true)
	l := leader.leadershipOf("s")
	candidates := leader.largerCandidates(saturation.CPU, "s")
	leader.handOverForLoad(t.Context(), l, candidates, saturation.CPU)
	leader.handOver(t.Context(), l, candidates, "a test") // the VM refuses only now
	assert.Same(t, l, leader.leadershipOf("s"))
	assert.NoError(t, l.mayGrant())
	assert.Zero(t, leader.load.handovers.Count())
}

// Guards against a load that is measured in the wrong unit.
func TestLoadIsMeasuredAgainstTheSizeOfTheVM(t *testing.T) {
	m := newLoadMonitor(metrics.NewRegistry())
	self := fleet.VM{Cores: 0.01, LinkMbps: 8}
	began := time.Second
	_, ok := m.sample(began, self)
	require.False(t, ok)
	used := processorTime()
	for processorTime()-used < 50*time.Millisecond {
		runtime.Gosched()
	}
	m.traffic[0].In.Inc(250_000) // a quarter of a link of 1 MB/s in 1 s
	m.traffic[1].Out.Inc(100_000)
	m.dueAt = began
	m.noteRun(began + 30*time.Millisecond)
	s, ok := m.sample(began+time.Second, self)
	require.True(t, ok)
	assert.GreaterOrEqual(t, s.CPU, 5.0, "50 ms of the 10 ms that the VM may use in a second")
	assert.InDelta(t, 0.25, s.Link, 1e-9)
	assert.Equal(t, 30*time.Millisecond, s.Lag)
}
