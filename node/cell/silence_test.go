package cell

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/mangogate/mangogate/core/fleet"
	"github.com/mangogate/mangogate/core/lending"
	"github.com/mangogate/mangogate/node/peer"
	"github.com/mangogate/mangogate/node/view"
	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// pausingLeader serves the RPCs of a leader that lends every slot, and none of them while it
// is paused.
type pausingLeader struct {
	paused   atomic.Bool
	returned chan lending.Usage
}

func (p *pausingLeader) wait() {
	for p.paused.Load() {
		time.Sleep(5 * time.Millisecond)
	}
}

// Lend lends a slot.
func (p *pausingLeader) Lend(a LendArgs, reply *LendReply) error {
	p.wait()
	reply.Leads, reply.Decision = true, lending.Decision{ID: 77, Lent: true, Target: "t"}
	return nil
}

// Sync answers a heartbeat.
func (p *pausingLeader) Sync(_ SyncArgs, reply *SyncReply) error {
	p.wait()
	reply.Boot = "b"
	return nil
}

// Return records the usage.
func (p *pausingLeader) Return(a ReturnArgs, _ *struct{}) error {
	p.returned <- a.Usage
	return nil
}

// startPausingLeader starts a VM that leads the cell by the store's record.
func startPausingLeader(t *testing.T, store *memoryStore) *pausingLeader {
	address := unusedAddress(t)
	server := peer.NewServer(address, nil, nil, hclog.NewNullLogger(), metrics.NewRegistry())
	leader := &pausingLeader{returned: make(chan lending.Usage, 100)}
	require.NoError(t, server.Register(RPCName, leader))
	require.NoError(t, server.Start(t.Context()))
	t.Cleanup(func() { leader.paused.Store(false); _ = server.Stop(context.Background()) })
	for _, c := range []view.Change{
		{Key: view.VMKey("leader"), VM: &fleet.VM{ID: "leader", Boot: "b", PeerAddress: address, Cores: 1}},
		{Key: view.CellKey("s"), Cell: &fleet.Cell{Service: "s", Leader: "leader", Boot: "b", Change: 1}},
	} {
		_, err := store.Append(context.Background(), c, view.AnyOffset)
		require.NoError(t, err)
	}
	return leader
}

// Guards against requests that wait for a silent leader until their deadline, although this
// VM could lend them a slot, and against a slot that stays lent because the answer came
// after the request had been served in another way.
func TestLendCallsFallBackOnceLeaderIsSilent(t *testing.T) {
	store := &memoryStore{}
	leader := startPausingLeader(t, store)
	vm := startVM(t, "vm", store)
	lend := func(deadline time.Duration) Slot {
		slot, err := vm.AcquireSlot(context.Background(), LendArgs{Service: "s", VM: "vm", Route: "r", Idempotent: true,
			Objective: deadline, Deadline: deadline, Key: lending.NoKey})
		require.NoError(t, err)
		return slot
	}
	require.Eventually(t, func() bool { return lend(time.Second).DecidedBy == "leader" }, 5*time.Second, 20*time.Millisecond)
	leader.paused.Store(true)
	began := time.Now()
	slot := lend(10 * time.Second)
	assert.Less(t, time.Since(began), leaderTimeout+time.Second)
	assert.Equal(t, "vm", slot.DecidedBy)
	assert.True(t, slot.Lent, "refused: %s", slot.Reason)
	assert.EqualValues(t, 1, vm.lendFallbacks.Count())

	vm.Return(slot, lending.Usage{Result: lending.Answered, Took: time.Millisecond})
	leader.paused.Store(false)
	select {
	case u := <-leader.returned:
		assert.Equal(t, lending.Usage{ID: 77, Result: lending.Unused}, u)
	case <-time.After(2 * time.Second):
		assert.Fail(t, "the slot of the late answer was not returned")
	}
}

// Guards against an exchange that the leader answers late and that fails the Lend calls in
// flight to it, after which all VMs lend locally.
func TestLateExchangeKeepsLendCalls(t *testing.T) {
	store := &memoryStore{}
	leader := startPausingLeader(t, store)
	vm := startVM(t, "vm", store)
	ask := func() Slot {
		slot, err := vm.AcquireSlot(context.Background(), LendArgs{Service: "s", VM: "vm", Route: "r", Objective: 5 * time.Second, Deadline: 5 * time.Second, Key: lending.NoKey})
		require.NoError(t, err)
		return slot
	}
	require.Eventually(t, func() bool { return ask().DecidedBy == "leader" }, 5*time.Second, 20*time.Millisecond)
	lends := vm.localLends.Count()
	leader.paused.Store(true)
	slots := make(chan Slot, 1)
	go func() { slots <- ask() }()
	c, _ := vm.view.VM("leader")
	require.Eventually(t, func() bool { vm.mu.Lock(); defer vm.mu.Unlock(); return len(vm.lendWaits) == 1 }, time.Second, time.Millisecond)
	vm.peers.Drain(c.PeerAddress, time.Now()) // as syncWith does
	time.Sleep(leaderTimeout / 4)
	leader.paused.Store(false)
	assert.Equal(t, "leader", (<-slots).DecidedBy)
	assert.Equal(t, lends, vm.localLends.Count())
}
