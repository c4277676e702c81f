package cell

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/mangogate/mangogate/core/fleet"
	"github.com/mangogate/mangogate/core/keyspace"
	"github.com/mangogate/mangogate/core/lending"
	"github.com/mangogate/mangogate/core/support"
	"github.com/mangogate/mangogate/node/view"
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
	time.Sleep(support.Lease)
	store.setDown(true)
	leader.Retire(context.Background())
	leader.stop()
	require.Eventually(t, func() bool { return len(leaders(others)) == 1 }, 2*time.Second, 5*time.Millisecond)
	deputyVM := leaders(others)[0]
	l := deputyVM.leadershipOf("s")
	require.Eventually(t, func() bool { return l.mayGrant() == nil }, time.Second, 5*time.Millisecond)
	for _, vm := range others {
		if vm != deputyVM {
			vm.stop()
		}
	}
	require.Eventually(t, func() bool { return l.mayGrant() != nil }, leaderLease+2*time.Second, 10*time.Millisecond)
}

// lossyCaller records the grants that targets accept. Calls to the target named lost are
// not carried out and get no answer.
type lossyCaller struct {
	recordingCaller
	lost string
}

func (c *lossyCaller) Grant(ctx context.Context, call KeyCall, beforeSend func() error) (keyspace.CallResult, error) {
	if call.Target == c.lost {
		return keyspace.NoAnswer, context.DeadlineExceeded
	}
	return c.recordingCaller.Grant(ctx, call, beforeSend)
}

func (c *lossyCaller) Release(ctx context.Context, call KeyCall) (string, keyspace.CallResult, error) {
	if call.Target == c.lost {
		return "", keyspace.NoAnswer, context.DeadlineExceeded
	}
	return c.recordingCaller.Release(ctx, call)
}

// startVMsWithStores starts n VMs with a cuttable store and a recording caller each, and
// returns the leader and the others once the target t holds the keys.
func startVMsWithStores(t *testing.T, store *memoryStore, n int) (leader *testVM, others []*testVM, stores map[*testVM]*cuttableStore, calls map[*testVM]*lossyCaller) {
	stores, calls = map[*testVM]*cuttableStore{}, map[*testVM]*lossyCaller{}
	var vms []*testVM
	for i := range n {
		s := &cuttableStore{memoryStore: store}
		vm := startVM(t, fmt.Sprintf("vm-%d", i), s)
		calls[vm] = &lossyCaller{}
		vm.keyCaller = calls[vm]
		stores[vm] = s
		vms = append(vms, vm)
	}
	require.Eventually(t, func() bool { return len(leaders(vms)) == 1 }, 8*time.Second, 20*time.Millisecond)
	leader = leaders(vms)[0]
	requireHeld(t, leader, "t")
	for _, vm := range vms {
		require.Eventually(t, func() bool { return len(vm.view.VMs()) == n }, 3*time.Second, 5*time.Millisecond)
		if vm != leader {
			others = append(others, vm)
		}
	}
	return leader, others, stores, calls
}

// requireActs makes a VM the deputy of a leader, once its support for another one has expired.
func requireActs(t *testing.T, vm *testVM, args ActArgs) {
	var reply ActReply
	require.Eventually(t, func() bool {
		reply = ActReply{}
		require.NoError(t, (&handler{vm.Service}).Act(args, &reply))
		return reply.Acts
	}, 2*support.Lease, 10*time.Millisecond, "%s", &reply)
}

// preventClaims keeps VMs from claiming the cell, and so from releasing its leader, because
// they have not heard of it for some time. They may still be asked to lead or to act.
func preventClaims(vms []*testVM) {
	for _, vm := range vms {
		vm.mu.Lock()
		vm.claiming["s"] = true
		vm.mu.Unlock()
	}
}

// cutCalls makes a VM unable to call the others.
func cutCalls(vm *testVM, others []*testVM) {
	var changes []view.Change
	end := vm.view.End(view.System)
	for _, other := range others {
		if other == vm {
			continue
		}
		unreachable := other.self
		unreachable.PeerAddress = "127.0.0.1:1"
		changes = append(changes, view.Change{Log: view.System, Key: view.VMKey(other.self.ID), VM: &unreachable, Offset: end - 1})
	}
	vm.view.Apply(view.System, changes, end, vm.clock.Now()-leaderLease)
}

// assertNoGrantsBeside waits until a VM grants keys to the target u, at most for the given
// time, and checks that the deputy grants nothing to the target t from then on. If there is no
// such grant, the deputy has to renew its own.
func assertNoGrantsBeside(t *testing.T, deputy, next *lossyCaller, within time.Duration) {
	began := time.Now()
	for ; time.Since(began) < within; time.Sleep(5 * time.Millisecond) {
		if slices.ContainsFunc(next.taken(), func(c KeyCall) bool { return c.Target == "u" }) {
			deputy.taken()
			time.Sleep(3 * renewInterval)
			assert.Empty(t, deputy.taken(), "the deputy renews grants to t %s after the start, beside the grants to u", time.Since(began))
			return
		}
	}
	deputy.taken()
	time.Sleep(2 * renewInterval)
	assert.NotEmpty(t, deputy.taken(), "the deputy does not renew the grants")
}

// grantsToOtherTarget is longer than a claimant waits that counts on the end of all grants
// by the leader's record within leaderLease.
const grantsToOtherTarget = leaderLease + fleet.ShortestHold + 3*time.Second

// Guards against two holders of a key beside a deputy: a VM that had not heard of the
// deputy took the end of the leader's process for the end of all grants by its record.
func TestClaimWaitsForGrantsOfUnknownDeputy(t *testing.T) {
	t.Parallel()
	for _, how := range []string{"later VM", "leader's VM", "lost announcement"} {
		t.Run(how, func(t *testing.T) {
			t.Parallel()
			store := &memoryStore{}
			leader, others, stores, calls := startVMsWithStores(t, store, 5)
			time.Sleep(time.Second)
			for _, s := range stores {
				s.cut()
			}
			time.Sleep(syncInterval)
			leader.Retire(context.Background())
			require.Eventually(t, func() bool { return len(leaders(others)) == 1 }, 2*time.Second, 5*time.Millisecond)
			leader.stop()
			deputy := leaders(others)[0]
			// The claimant reaches neither the deputy nor, unless these have not heard of it either,
			// the VMs that support it.
			for _, vm := range others {
				unreachable := vm.self
				unreachable.PeerAddress = "127.0.0.1:1"
				if how == "lost announcement" && vm != deputy {
					vm.mu.Lock()
					delete(vm.deputies, "s")
					vm.mu.Unlock()
					continue
				}
				_, err := store.Append(context.Background(), view.Change{Key: view.VMKey(vm.self.ID), VM: &unreachable}, view.AnyOffset)
				require.NoError(t, err)
			}
			id := leader.self.ID
			if how != "leader's VM" {
				ended := fleet.VM{ID: id, Boot: "later", PeerAddress: "127.0.0.1:1", Cores: 1}
				_, err := store.Append(context.Background(), view.Change{Key: view.VMKey(id), VM: &ended}, view.AnyOffset)
				require.NoError(t, err)
				id = "vm-next"
			}
			claimant, byClaimant := startProcess(t, id, "later", store), &lossyCaller{lost: "t"}
			claimant.keyCaller = byClaimant
			replaceTarget([]*testVM{claimant})
			require.Eventually(t, func() bool { return claimant.leadershipOf("s") != nil }, 2*isolationDelay, 5*time.Millisecond)
			assertNoGrantsBeside(t, calls[deputy], byClaimant, grantsToOtherTarget)
		})
	}
}

// Guards against two holders of a key beside two deputies: the leader asked a second VM
// because the answer of the first was lost. The first became the leader as soon as it
// reached the store, and the second went on with the support of the others.
func TestClaimOfDeputyWaitsForAnotherDeputy(t *testing.T) {
	t.Parallel()
	store := &memoryStore{}
	leader, others, stores, calls := startVMsWithStores(t, store, 6)
	time.Sleep(2 * time.Second)
	for _, s := range stores {
		s.cut()
	}
	time.Sleep(syncInterval)
	leader.retiring.Store(true)
	leader.leadershipOf("s").handoverStarted.Store(true)
	args := ActArgs{Service: "s", Record: leader.recordOf("s")}
	leader.stop()
	preventClaims(others)
	first, second := others[0], others[1]
	requireActs(t, first, args)
	cutCalls(first, others) // the others hear of the second before they miss the first
	time.Sleep(support.Lease)
	requireActs(t, second, args)
	first.disconnect()
	time.Sleep(leaderLease)
	require.NoError(t, second.leadershipOf("s").mayGrant(), "the others do not support the second deputy")
	calls[first].lost = "t"
	replaceTarget([]*testVM{first})
	stores[first].cutReads.Store(false)
	stores[first].cutAppends.Store(false)
	assertNoGrantsBeside(t, calls[second], calls[first], grantsToOtherTarget)
}

// Guards against a leader that grants keys beside its deputy: the deputy's answer was lost,
// and the leader went on because all VMs had refused to lead.
func TestLeaderStopsIfADeputyMayAct(t *testing.T) {
	t.Parallel()
	store := &memoryStore{}
	leader, others := startLeader(t, store, 3)
	l := leader.leadershipOf("s")
	time.Sleep(support.Lease)
	store.setDown(true)
	time.Sleep(syncInterval)
	leader.retiring.Store(true)
	ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
	defer cancel()
	for _, vm := range others { // delays their answers until the leader has given up
		vm.mu.Lock()
	}
	leader.handOver(ctx, l, []fleet.VM{others[0].self, others[1].self}, "a test")
	for _, vm := range others {
		vm.mu.Unlock()
	}
	require.Eventually(t, func() bool { return len(leaders(others)) > 0 }, time.Second, time.Millisecond)
	deputy := leaders(others)[0].leadershipOf("s")
	require.Eventually(t, func() bool { return deputy.mayGrant() == nil }, time.Second, time.Millisecond)
	for end := time.Now().Add(support.Lease); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		require.Error(t, l.mayGrant(), "the leader may grant keys beside its deputy")
	}
}

// Guards against a leader that begins anew beside its deputy: a late announcement of an
// earlier deputy hid the present one.
func TestLateAnnouncementDoesNotHideTheDeputy(t *testing.T) {
	t.Parallel()
	store := &memoryStore{}
	leader, others := startLeader(t, store, 3)
	time.Sleep(support.Lease)
	store.setDown(true)
	time.Sleep(syncInterval)
	leader.Retire(t.Context())
	require.Eventually(t, func() bool { return len(leaders(others)) == 1 && leader.leadershipOf("s") == nil }, 2*time.Second, 5*time.Millisecond)
	record, _ := leader.view.Cell("s")
	require.NoError(t, (&handler{leader.Service}).Deputy(DeputyArgs{Service: "s", Change: record.Change - 1, VM: others[1].self}, &struct{}{}))
	time.Sleep(3 * reconcileInterval)
	assert.Nil(t, leader.leadershipOf("s"))
}

// Guards against two holders of a key: a deputy that stops hands the cell to a VM that
// reaches the store, which counted on the end of all grants although another deputy went on.
func TestSuccessorOfDeputyWaitsForAnotherDeputy(t *testing.T) {
	t.Parallel()
	store := &memoryStore{}
	leader, others, stores, calls := startVMsWithStores(t, store, 6)
	time.Sleep(2 * time.Second)
	for _, s := range stores {
		s.cut()
	}
	time.Sleep(syncInterval)
	leader.retiring.Store(true)
	leader.leadershipOf("s").handoverStarted.Store(true)
	args := ActArgs{Service: "s", Record: leader.recordOf("s")}
	leader.stop()
	preventClaims(others)
	first, second := others[0], others[1]
	requireActs(t, first, args)
	cutCalls(first, others)
	time.Sleep(support.Lease)
	requireActs(t, second, args)
	first.disconnect()
	for _, vm := range others { // the successor reaches none of them
		unreachable := vm.self
		unreachable.PeerAddress = "127.0.0.1:1"
		_, err := store.Append(context.Background(), view.Change{Key: view.VMKey(vm.self.ID), VM: &unreachable}, view.AnyOffset)
		require.NoError(t, err)
	}
	next, byNext := startVM(t, "vm-next", store), &lossyCaller{lost: "t"}
	next.keyCaller = byNext
	replaceTarget([]*testVM{next})
	require.Eventually(t, next.view.Ready, time.Second, time.Millisecond)
	first.handOver(t.Context(), first.leadershipOf("s"), []fleet.VM{next.self}, "a test")
	require.NotNil(t, next.leadershipOf("s"))
	assertNoGrantsBeside(t, calls[second], byNext, grantsToOtherTarget)
}

// Guards against two holders of a key: a leader that stops asked a VM to lead, lost the
// answer, and then appointed a deputy. The VM that leads counted on the end of all grants.
func TestNoDeputyBesideAVMThatMayLead(t *testing.T) {
	t.Parallel()
	store := &memoryStore{}
	leader, others, stores, calls := startVMsWithStores(t, store, 6)
	time.Sleep(2 * time.Second)
	for _, s := range stores {
		s.cut()
	}
	time.Sleep(syncInterval)
	first := leader.leaderCandidates("s")[0].ID
	next := others[slices.IndexFunc(others, func(vm *testVM) bool { return vm.self.ID == first })]
	calls[next].lost = "t"
	replaceTarget([]*testVM{next})
	stores[next].cutReads.Store(false) // it reaches the store, whose answers are slow at first
	retired := make(chan struct{})
	go func() {
		defer close(retired)
		leader.Retire(context.Background())
	}()
	require.Eventually(t, func() bool {
		next.mu.Lock()
		defer next.mu.Unlock()
		return next.claiming["s"]
	}, time.Second, time.Millisecond)
	cutCalls(next, append([]*testVM{leader}, others...)) // no connection to it is left
	go next.disconnect()                                 // closes the connections at once, and waits for the call
	time.Sleep(500 * time.Millisecond)                   // the others have refused, and a deputy could act
	stores[next].cutAppends.Store(false)
	<-retired
	leader.stop()
	require.Eventually(t, func() bool { return next.leadershipOf("s") != nil }, time.Second, time.Millisecond)
	require.Eventually(t, func() bool {
		return slices.ContainsFunc(calls[next].taken(), func(c KeyCall) bool { return c.Target == "u" })
	}, grantsToOtherTarget, 5*time.Millisecond)
	for _, vm := range others {
		calls[vm].taken()
	}
	time.Sleep(3 * renewInterval)
	for _, vm := range others {
		assert.True(t, vm == next || len(calls[vm].taken()) == 0, "%s grants keys beside the new leader", vm.self.ID)
	}
}

// Guards against a leader that begins anew beside its deputy: a record that it wrote before
// it stopped is carried out late, and names it under another change than the deputy's.
func TestLeaderDoesNotBeginAnewByALateRecord(t *testing.T) {
	t.Parallel()
	store := &memoryStore{}
	leader, others := startLeader(t, store, 3)
	time.Sleep(support.Lease)
	store.setDown(true)
	time.Sleep(syncInterval)
	leader.Retire(t.Context())
	require.Eventually(t, func() bool { return len(leaders(others)) == 1 && leader.leadershipOf("s") == nil }, 2*time.Second, 5*time.Millisecond)
	record, _ := leader.view.Cell("s")
	late := *record
	late.Change++
	end := leader.view.End(view.System)
	leader.view.Apply(view.System, []view.Change{{Log: view.System, Key: view.CellKey("s"), Cell: &late, Offset: end}}, end+1, leader.clock.Now())
	time.Sleep(3 * reconcileInterval)
	assert.Nil(t, leader.leadershipOf("s"))
}

// Guards against a cell without a leader for as long as a VM takes to stop: a record that it
// wrote before is carried out late, and neither it nor its deputy leads by that.
func TestCellHasALeaderAfterALateRecord(t *testing.T) {
	store := &memoryStore{}
	leader, others := startLeader(t, store, 3)
	time.Sleep(support.Lease)
	store.setDown(true)
	time.Sleep(syncInterval)
	leader.Retire(t.Context())
	require.Eventually(t, func() bool { return len(leaders(others)) == 1 && leader.leadershipOf("s") == nil }, 2*time.Second, 5*time.Millisecond)
	record, _ := leader.view.Cell("s")
	late := *record
	late.Change++
	store.mu.Lock() // the store carries the leader's append out, and answers from then on
	store.log = append(store.log, view.Change{Log: view.System, Key: view.CellKey("s"), Cell: &late, Offset: int64(len(store.log))})
	store.down = false
	store.mu.Unlock()
	time.Sleep(syncInterval) // the deputy has learned of it
	require.Eventually(t, func() bool { return len(leaders(append(others, leader))) > 0 }, leaderLease, 10*time.Millisecond)
}
