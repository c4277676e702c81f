package cell

import (
	"context"
	"testing"
	"time"

	"github.com/mangogate/mangogate/core/fleet"
	"github.com/mangogate/mangogate/core/keyspace"
	"github.com/mangogate/mangogate/core/lending"
	"github.com/mangogate/mangogate/node/view"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// register registers a target of the service "s" in the views of all VMs.
func register(vms []*testVM, offset int64, id string) {
	for _, vm := range vms {
		vm.view.Apply(view.Targets, []view.Change{{Log: view.Targets, Key: id, Offset: offset,
			Target: &fleet.Target{ID: id, Service: "s", Address: "127.0.0.1:1", DataCentre: "z", Slots: 3}}}, offset+1, vm.clock.Now())
	}
}

// owners returns the targets that own keys according to a VM's newest record.
func owners(vm *testVM) map[string]bool {
	out := map[string]bool{}
	if c, _ := vm.view.Cell("s"); c != nil {
		for _, a := range c.Keys {
			out[a.Owner.Target] = true
		}
	}
	return out
}

// Guards against a leader that goes on assigning keys to a target that leaves, because only
// another VM has heard so from the target. The next call of that VM has to tell it.
func TestLeaderMovesKeysOffATargetThatAnotherVMKnowsToLeave(t *testing.T) {
	for name, call := range map[string]func(*testVM, *leadership) error{
		"Lend": func(vm *testVM, l *leadership) error {
			_, err := vm.AcquireSlot(context.Background(), newLendArgs(vm))
			return err
		},
		"Return": func(vm *testVM, l *leadership) error {
			vm.Return(Slot{service: "s", leader: l.s.self.PeerAddress}, lending.Usage{ID: 999, Result: lending.Unused})
			return nil
		},
	} {
		t.Run(name, func(t *testing.T) {
			store := &memoryStore{}
			leader, others := startLeader(t, store, 2)
			register([]*testVM{leader, others[0]}, 1, "u")
			require.Eventually(t, func() bool { return owners(leader)["t"] && owners(leader)["u"] }, 5*time.Second, 10*time.Millisecond)
			others[0].NoteLeaving("t", "127.0.0.1:1", 0)
			require.NoError(t, call(others[0], leader.leadershipOf("s")))
			require.Eventually(t, func() bool { return !owners(leader)["t"] }, 3*time.Second, 10*time.Millisecond)
			assert.EqualValues(t, 1, leader.leaving.Count())
			for _, c := range leader.leadershipOf("s").ownerCandidates(0) {
				assert.NotEqual(t, "t", c.Target)
			}
		})
	}
}

// Guards against a VM that uses a slot of a target that it knows to leave, because the VM that
// lent it does not know: requests for the target's keys are sent for leavingKeysPeriod, others
// not at all. The announcement of an earlier process does not count for a later one.
func TestSlotOfALeavingTargetIsNotUsed(t *testing.T) {
	vm := startVM(t, "vm-0", &memoryStore{})
	vm.view.Apply(view.Operators, []view.Change{{Log: view.Operators, Key: "config", Offset: 2, Config: &fleet.Config{
		Version: 2, Services: []fleet.Service{{Name: "s", Keyed: true}, {Name: "p"}},
	}}}, 3, vm.clock.Now())
	slot := func(service, target, address string, life int64) Slot {
		return Slot{Decision: lending.Decision{Lent: true, Target: target, Address: address, Life: life}, service: service}
	}
	assert.True(t, vm.MaySend(slot("p", "x", "a:1", 4), 4))
	vm.NoteLeaving("x", "a:1", 4)
	assert.False(t, vm.MaySend(slot("p", "x", "a:1", 4), 4))
	assert.False(t, vm.MaySend(slot("p", "x", "a:1", 3), 3), "an earlier process has ended")
	assert.True(t, vm.MaySend(slot("p", "x", "a:1", 5), 5))
	assert.True(t, vm.MaySend(slot("s", "x", "a:1", 4), 4), "its keys have no other owner yet")
	require.Eventually(t, func() bool { return !vm.MaySend(slot("s", "x", "a:1", 4), 4) }, 2*leavingKeysPeriod, 10*time.Millisecond)

	assert.EqualValues(t, 0, vm.LifeOf(slot("s", "t", "127.0.0.1:1", 0)))
	vm.view.Apply(view.Targets, []view.Change{{Log: view.Targets, Key: "t", Offset: 1,
		Target: &fleet.Target{ID: "t", Life: 7, Service: "s", Address: "127.0.0.1:1", DataCentre: "z", Slots: 3}}}, 2, vm.clock.Now())
	assert.EqualValues(t, 7, vm.LifeOf(slot("s", "t", "127.0.0.1:1", 6)), "the VM that lent the slot is behind")
	assert.EqualValues(t, 8, vm.LifeOf(slot("s", "t", "127.0.0.1:1", 8)), "this VM is behind")
	assert.EqualValues(t, 6, vm.LifeOf(slot("s", "t", "127.0.0.1:2", 6)), "another process has that address")
}

// Guards against keys that nobody may serve or move any more because all targets say at once
// that they leave: they keep their owners, who serve them again if they start anew.
func TestKeysStayWithTheirOwnersIfAllTargetsLeave(t *testing.T) {
	store := &memoryStore{}
	leader, _ := startLeader(t, store, 1)
	require.Eventually(t, func() bool { return owners(leader)["t"] }, 5*time.Second, 10*time.Millisecond)
	leader.NoteLeaving("t", "127.0.0.1:1", 0)
	refused := func() bool {
		slot, err := leader.AcquireSlot(context.Background(), newLendArgs(leader))
		require.NoError(t, err)
		if slot.Lent {
			leader.Return(slot, lending.Usage{Result: lending.Answered, Took: time.Millisecond})
		}
		return !slot.Lent && slot.Reason == lending.Leaving
	}
	require.Eventually(t, refused, 2*leavingKeysPeriod, 10*time.Millisecond)
	c, _ := leader.view.Cell("s")
	for _, a := range c.Keys {
		assert.Equal(t, keyspace.Holder{Target: "t"}, a.Owner)
	}
}
