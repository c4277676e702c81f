package cell

import (
	"context"
	"testing"
	"time"

	"github.com/mangogate/mangogate/core/fleet"
	"github.com/mangogate/mangogate/core/lending"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against keys without an owner when the leader shuts down while the store
// refuses all calls; keys once had no owner for 8 s because of that. A deputy must lend
// slots and renew grants, and become the leader once the store answers again.
func TestDeputyActsForLeaderThatStopsDuringOutage(t *testing.T) {
	store := &memoryStore{}
	leader, others := startLeader(t, store, 3)
	record, _ := leader.view.Cell("s")
	store.setDown(true)
	time.Sleep(syncInterval)
	leader.Retire(context.Background())
	require.Eventually(t, func() bool { return len(leaders(others)) == 1 && leader.leadershipOf("s") == nil }, 2*time.Second, 5*time.Millisecond)
	leader.stop()
	deputyVM := leaders(others)[0]
	for end := time.Now().Add(leaderLease + fleet.ShortestHold); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		for _, vm := range others {
			slot, err := vm.AcquireSlot(context.Background(), newLendArgs(vm))
			require.NoError(t, err)
			require.True(t, slot.Lent, "%s", slot.Reason)
			require.Equal(t, deputyVM.self.ID, slot.DecidedBy)
			vm.Return(slot, lending.Usage{Result: lending.Answered, Took: time.Millisecond})
		}
	}
	l := deputyVM.leadershipOf("s")
	require.NoError(t, l.mayGrant())
	deputyRecord, _ := deputyVM.view.Cell("s")
	assert.Equal(t, record.Change, deputyRecord.Change, "a record was written during the outage")
	store.setDown(false)
	require.Eventually(t, func() bool {
		c, _ := others[0].view.Cell("s")
		return c.Leader == deputyVM.self.ID && deputyVM.leadershipOf("s") != nil && deputyVM.leadershipOf("s").deputyFor == nil
	}, 3*time.Second, 10*time.Millisecond)
	assert.NoError(t, deputyVM.leadershipOf("s").mayGrant())
}

// Guards against a deputy that grants keys beside a new leader. A deputy without the
// support of the other VMs must stop granting, because they may support a leader whose
// record it has not read.
func TestDeputyStopsWithoutSupport(t *testing.T) {
	store := &memoryStore{}
	leader, others := startLeader(t, store, 3)
	store.setDown(true)
	leader.Retire(context.Background())
	leader.stop()
	require.Eventually(t, func() bool { return len(leaders(others)) == 1 }, 2*time.Second, 5*time.Millisecond)
	deputyVM := leaders(others)[0]
	l := deputyVM.leadershipOf("s")
	for _, vm := range others {
		if vm != deputyVM {
			vm.stop()
		}
	}
	require.Eventually(t, func() bool { return l.mayGrant() != nil }, leaderLease+2*time.Second, 10*time.Millisecond)
}
