package cell

import (
	"context"
	"testing"
	"time"

	"github.com/mangogate/mangogate/core/lending"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// The leader is stopped while the store turns all calls away: another VM goes
// on for it, lends and renews, and leads by its own record when the store is
// back. Seen on a day on which keys had no owner for 8 s for that reason.
func TestDeputyActsForLeaderThatStopsDuringOutage(t *testing.T) {
	store := &memoryStore{}
	leader, others := startLeader(t, store, 3)
	record, _ := leader.view.Cell("s")
	store.setDown(true)
	time.Sleep(syncPause)
	leader.Retire(context.Background())
	require.Eventually(t, func() bool { return len(leaders(others)) == 1 && leader.leadOf("s") == nil }, 2*time.Second, 5*time.Millisecond)
	leader.stop()
	acting := leaders(others)[0]
	for end := time.Now().Add(authority + hold); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		for _, vm := range others {
			slot, err := vm.Lend(context.Background(), testLend(vm))
			require.NoError(t, err)
			require.True(t, slot.Lent, "%s", slot.Reason)
			require.Equal(t, acting.self.ID, slot.By)
			vm.Return(slot, lending.Usage{Result: lending.Answered, Took: time.Millisecond})
		}
	}
	l := acting.leadOf("s")
	require.NoError(t, l.mayGrant())
	now, _ := acting.view.Cell("s")
	assert.Equal(t, record.Change, now.Change, "nothing was written")
	store.setDown(false)
	require.Eventually(t, func() bool {
		c, _ := others[0].view.Cell("s")
		return c.Leader == acting.self.ID && acting.leadOf("s") != nil && acting.leadOf("s").acts == nil
	}, 3*time.Second, 10*time.Millisecond)
	assert.NoError(t, acting.leadOf("s").mayGrant())
}

// A deputy must stop when most VMs follow another leader: one that the store
// took, and that the deputy has not heard of.
func TestDeputyStopsWithoutSupport(t *testing.T) {
	store := &memoryStore{}
	leader, others := startLeader(t, store, 3)
	store.setDown(true)
	leader.Retire(context.Background())
	leader.stop()
	require.Eventually(t, func() bool { return len(leaders(others)) == 1 }, 2*time.Second, 5*time.Millisecond)
	acting := leaders(others)[0]
	l := acting.leadOf("s")
	for _, vm := range others {
		if vm != acting {
			vm.stop()
		}
	}
	require.Eventually(t, func() bool { return l.mayGrant() != nil }, authority+2*time.Second, 10*time.Millisecond)
}
