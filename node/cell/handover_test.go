package cell

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/mangogate/mangogate/core/fleet"
	"github.com/mangogate/mangogate/core/keyspace"
	"github.com/mangogate/mangogate/core/lending"
	"github.com/mangogate/mangogate/node/view"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// startLeader starts n VMs and returns the leader and the other VMs, once the leader
// lends slots to them.
func startLeader(t *testing.T, store *memoryStore, n int) (*testVM, []*testVM) {
	var vms []*testVM
	for i := range n {
		vms = append(vms, startVM(t, fmt.Sprintf("vm-%d", i), store))
	}
	require.Eventually(t, func() bool { return len(leaders(vms)) == 1 }, 8*time.Second, 20*time.Millisecond)
	leader := leaders(vms)[0]
	var others []*testVM
	for _, vm := range vms {
		if vm == leader {
			continue
		}
		others = append(others, vm)
		require.Eventually(t, func() bool {
			slot, err := vm.AcquireSlot(context.Background(), newLendArgs(vm))
			require.NoError(t, err)
			vm.Return(slot, lending.Usage{Result: lending.Answered, Took: time.Millisecond})
			return slot.Lent && slot.DecidedBy == leader.self.ID
		}, 5*time.Second, 20*time.Millisecond)
	}
	return leader, others
}

// newLendArgs returns a VM's request for a slot.
func newLendArgs(vm *testVM) LendArgs {
	return LendArgs{Service: "s", VM: vm.self.ID, Route: "r", Idempotent: true, Objective: 300 * time.Millisecond, Deadline: time.Second, Key: 5}
}

// Guards against a gap without a leader during a rolling restart under traffic. The
// leader must hand its cell over before it stops, so that no VM has to lend locally.
func TestPlannedStopOfLeaderLeavesNoGap(t *testing.T) {
	leader, others := startLeader(t, &memoryStore{}, 3)
	var lentLocally, lent atomic.Int64
	stop, stopped := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(stopped)
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			case <-time.After(5 * time.Millisecond):
			}
			vm := others[i%len(others)]
			slot, err := vm.AcquireSlot(context.Background(), newLendArgs(vm))
			if err == nil && slot.Lent {
				lent.Add(1)
				if slot.DecidedBy == vm.self.ID && vm.leadershipOf("s") == nil {
					lentLocally.Add(1)
				}
				vm.Return(slot, lending.Usage{Result: lending.Answered, Took: time.Millisecond})
			}
		}
	}()
	time.Sleep(100 * time.Millisecond)
	began := time.Now()
	leader.Retire(context.Background())
	require.Eventually(t, func() bool { return len(leaders(others)) == 1 }, leaderTimeout, 5*time.Millisecond)
	t.Logf("handed over after %s", time.Since(began))
	time.Sleep(300 * time.Millisecond)
	leader.stop()
	time.Sleep(leaderTimeout)
	close(stop)
	<-stopped
	assert.Zero(t, lentLocally.Load(), "slots lent locally without a leader, of %d", lent.Load())
	assert.Greater(t, lent.Load(), int64(50))
}

// Guards against a cell without a leader when the only VM is about to stop: no other VM
// can take over, so it must lead until it stops.
func TestLastVMLeadsUntilItStops(t *testing.T) {
	leader, _ := startLeader(t, &memoryStore{}, 1)
	leader.Retire(context.Background())
	assert.NotNil(t, leader.leadershipOf("s"))
}

// Guards against a handover that moves keys or interrupts their service. The new
// leader must keep the owner of each key, grant the keys again under higher fences,
// and treat them as held in the meantime.
func TestHandoverMovesNoKeys(t *testing.T) {
	store := &memoryStore{}
	leader, others := startLeader(t, store, 2)
	before, _ := leader.view.Cell("s")
	leader.Retire(context.Background())
	require.Eventually(t, func() bool { return others[0].leadershipOf("s") != nil }, leaderTimeout, 5*time.Millisecond)
	after, _ := others[0].view.Cell("s")
	require.Equal(t, others[0].self.ID, after.Leader)
	require.Len(t, after.Keys, len(before.Keys))
	for i := range after.Keys {
		assert.Equal(t, before.Keys[i].Owner, after.Keys[i].Owner)
	}
	l := others[0].leadershipOf("s")
	l.mu.Lock()
	defer l.mu.Unlock()
	_, state, _ := l.keys.Owner(l.now(), 5)
	assert.Equal(t, keyspace.Held, state)
}

// Guards against keys without an owner when targets are lost while the store refuses
// the leader only. The keys of a data centre's targets once had no owner for 4 s
// because of that. The leader must hand the cell to a VM that reaches the store.
func TestLeaderThatCannotWriteHandsOver(t *testing.T) {
	store := &memoryStore{}
	oldStore := &refusableStore{memoryStore: store}
	oldLeader := startVM(t, "vm-old", oldStore)
	require.Eventually(t, func() bool { return oldLeader.leadershipOf("s") != nil }, 5*time.Second, 20*time.Millisecond)
	others := []*testVM{startVM(t, "vm-a", store), startVM(t, "vm-b", store)}
	for _, vm := range others {
		require.Eventually(t, func() bool { return vm.heardRecently("vm-old", "boot-vm-old") }, 3*time.Second, 20*time.Millisecond)
	}
	require.Eventually(t, func() bool { return len(oldLeader.view.VMs()) == 1+len(others) }, 3*time.Second, 5*time.Millisecond, "the old leader knows no other VM that could lead")
	oldStore.refusing.Store(true)
	time.Sleep(maxCommitDelay)
	require.NotNil(t, oldLeader.leadershipOf("s"), "the cell was handed over although nothing had to be written")
	replaceTarget(append(others, oldLeader))
	require.Eventually(t, func() bool { return len(leaders(others)) == 1 }, 2*maxCommitDelay+time.Second, 5*time.Millisecond)
	require.Eventually(t, func() bool {
		c, _ := others[0].view.Cell("s")
		return len(c.Keys) > 0 && c.Keys[0].Owner.Target == "u"
	}, 2*time.Second, 5*time.Millisecond)
}

// replaceTarget replaces the only target by another one in the views of VMs, so that
// the keys have to move.
func replaceTarget(vms []*testVM) {
	changes := []view.Change{{Log: view.Targets, Key: "t", Offset: 5}, {Log: view.Targets, Key: "u", Offset: 6,
		Target: &fleet.Target{ID: "u", Service: "s", Address: "127.0.0.1:2", DataCentre: "z", Slots: 3}}}
	for _, vm := range vms {
		vm.view.Apply(view.Targets, changes, 7, vm.clock.Now())
	}
}

// Guards against a pointless handover when the store refuses all VMs while assignments
// wait to be written. A leader once asked all other VMs to lead in the first second of
// an outage and could not tell whether one of them had taken over. It granted nothing,
// and keys had no owner, until the outage ended.
func TestLeaderGoesOnWhenNoVMReachesTheStore(t *testing.T) {
	store := &memoryStore{}
	leader, others := startLeader(t, store, 3)
	l := leader.leadershipOf("s")
	store.setDown(true)
	replaceTarget(append(others, leader))
	for end := time.Now().Add(maxCommitDelay + handoverRetryInterval + handoverTimeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		require.NoError(t, l.mayGrant())
	}
}

// Guards against the wrong decision after a failed handover. Candidates that refused
// have written no record, so the leader must continue to grant; a candidate that did
// not answer may have written one, so the leader must stop.
func TestLeaderGoesOnWhenItsCellIsRefused(t *testing.T) {
	store := &memoryStore{}
	leader, others := startLeader(t, store, 3)
	l := leader.leadershipOf("s")
	for _, vm := range others {
		vm.retiring.Store(true)
	}
	store.setDown(true)
	leader.handOver(context.Background(), l, leader.leaderCandidates("s"), "a test")
	require.NoError(t, l.mayGrant())
	others[0].disconnect()
	ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
	defer cancel()
	leader.handOver(ctx, l, leader.leaderCandidates("s"), "a test")
	require.Error(t, l.mayGrant())
}

// Guards against a leader that never resumes granting after a handover in which the
// candidate did not answer, for example because the store was slow. It was once slow
// for 4 s, and keys had no owner until all VMs were stopped 10 s later. The leader must
// resume once the store has accepted a new record of it.
func TestLeaderWithoutAnswerResumesItsCell(t *testing.T) {
	store := &memoryStore{}
	leader, others := startLeader(t, store, 2)
	store.setDown(true)
	replaceTarget(append(others, leader))
	others[0].disconnect()
	ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
	defer cancel()
	l := leader.leadershipOf("s")
	leader.handOver(ctx, l, leader.leaderCandidates("s"), "a test")
	require.Error(t, l.mayGrant())
	store.setDown(false)
	require.Eventually(t, func() bool {
		l := leader.leadershipOf("s")
		return l != nil && l.mayGrant() == nil
	}, leaderTimeout, 10*time.Millisecond)
	require.Eventually(t, func() bool {
		c, _ := leader.view.Cell("s")
		return len(c.Keys) > 0 && c.Keys[0].Owner.Target == "u"
	}, 3*time.Second, 10*time.Millisecond, "the dropped assignment was not proposed again")
}

// unreachableHolder is a KeyCaller whose target "t" answers no release. It records when
// "t" accepted its last grant and when "u" got its first one.
type unreachableHolder struct {
	acceptAll
	mu                    sync.Mutex
	lastToOld, firstToNew time.Time
}

func (c *unreachableHolder) Grant(ctx context.Context, call KeyCall, beforeSend func() error) (keyspace.CallResult, error) {
	result, err := c.acceptAll.Grant(ctx, call, beforeSend)
	c.mu.Lock()
	defer c.mu.Unlock()
	switch now := time.Now(); {
	case err != nil:
	case call.Target == "t":
		c.lastToOld = now
	case c.firstToNew.IsZero():
		c.firstToNew = now
	}
	return result, err
}

func (c *unreachableHolder) Release(ctx context.Context, _ KeyCall) (string, keyspace.CallResult, error) {
	<-ctx.Done()
	return "", keyspace.NoAnswer, ctx.Err()
}

// Guards against two holders of a key after a handover in which no candidate answered. The
// leader writes its record again and goes on from it; a prior holder that has not
// released the keys holds them until its last grant has expired.
func TestResumedLeaderWaitsForPriorHolders(t *testing.T) {
	store := &memoryStore{}
	leader, others := startLeader(t, store, 2)
	calls := &unreachableHolder{}
	leader.keyCaller = calls
	require.Eventually(t, func() bool { calls.mu.Lock(); defer calls.mu.Unlock(); return !calls.lastToOld.IsZero() }, 2*time.Second, 5*time.Millisecond)
	replaceTarget(append(others, leader))
	require.Eventually(t, func() bool {
		c, _ := leader.view.Cell("s")
		return c.Keys[0].Owner.Target == "u" && len(c.Keys[0].Prior) == 1
	}, 2*time.Second, 5*time.Millisecond)
	others[0].disconnect()
	l := leader.leadershipOf("s")
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	leader.handOver(ctx, l, leader.leaderCandidates("s"), "a test")
	require.Eventually(t, func() bool { calls.mu.Lock(); defer calls.mu.Unlock(); return !calls.firstToNew.IsZero() }, 10*time.Second, 5*time.Millisecond)
	calls.mu.Lock()
	defer calls.mu.Unlock()
	assert.GreaterOrEqual(t, calls.firstToNew.Sub(calls.lastToOld), fleet.ShortestHold)
}

// Guards against two leaders: a VM that was asked to lead replaced a later record, by which
// the leader that had asked goes on because it did not get the answer.
func TestTakeDoesNotReplaceALaterRecordOfTheLeader(t *testing.T) {
	store := &memoryStore{}
	leader, others := startLeader(t, store, 2)
	asked := others[0]
	asked.retiring.Store(true) // it claims only below
	seen, _ := asked.view.Cell("s")
	later := *seen
	later.Change++
	_, err := store.Append(context.Background(), view.Change{Key: view.CellKey("s"), Cell: &later}, view.AnyOffset)
	require.NoError(t, err)
	err = asked.take(t.Context(), fleet.Service{Name: "s", Keyed: true}, TakeArgs{Service: "s", Change: seen.Change, HoldsLease: true})
	require.ErrorIs(t, err, errCellChanged)
	c, _ := asked.view.Cell("s")
	assert.Equal(t, leader.self.ID, c.Leader)
}
