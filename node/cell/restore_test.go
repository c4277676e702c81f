package cell

import (
	"context"
	"sync"
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

// recordingCaller is a KeyCaller that records the grants that targets accept.
type recordingCaller struct {
	acceptAll
	mu     sync.Mutex
	grants []KeyCall
}

func (r *recordingCaller) Grant(ctx context.Context, call KeyCall, beforeSend func() error) (keyspace.CallResult, error) {
	result, err := r.acceptAll.Grant(ctx, call, beforeSend)
	if err == nil {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.grants = append(r.grants, call)
	}
	return result, err
}

// taken returns the grants since the last call.
func (r *recordingCaller) taken() []KeyCall {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := r.grants
	r.grants = nil
	return out
}

// owned returns the state of a key at the leader, if the VM leads.
func owned(vm *testVM, key int) (target string, state keyspace.OwnerState) {
	l := vm.leadershipOf("s")
	if l == nil {
		return "", keyspace.Lost
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	h, state, _ := l.keys.Owner(l.now(), key)
	return h.Target, state
}

// Guards against a leader that a restored store no longer confirms, or whose next fences
// are below those that targets have seen. It must write its assignments again, under
// which the keys stay held, and the next number must exceed all earlier ones.
func TestLeaderWritesItsRecordToRestoredStore(t *testing.T) {
	t.Parallel()
	store := &memoryStore{}
	leader, others := startLeader(t, store, 3)
	kept := store.size()
	replaceTarget(append(others, leader))
	require.Eventually(t, func() bool {
		target, state := owned(leader, 5)
		return target == "u" && state == keyspace.Held
	}, 5*time.Second, 10*time.Millisecond)
	_, before := leader.view.Cell("s")
	store.restore(kept)
	require.Eventually(t, func() bool {
		target, state := owned(leader, 5)
		require.Equal(t, "u", target)
		require.Equal(t, keyspace.Held, state)
		c, number := leader.view.Cell("s")
		return !leader.view.IsCellRestored("s") && c.Leader == leader.self.ID && number > before
	}, time.Second, 10*time.Millisecond)
	for _, vm := range others {
		require.Eventually(t, func() bool {
			c, number := vm.view.Cell("s")
			return number > before && c.Leader == leader.self.ID && c.Keys[0].Owner.Target == "u"
		}, time.Second, 10*time.Millisecond)
	}
	require.NoError(t, leader.leadershipOf("s").mayGrant())
}

// Guards against two holders of a key after the store has lost the record that moved it,
// and with it the last VM that knew of it: any target may hold the key until the last
// grant of the lost leader has expired.
func TestClaimOnRestoredStoreWaitsForLostGrants(t *testing.T) {
	t.Parallel()
	t.Run("some records lost", func(t *testing.T) { t.Parallel(); testClaimOnRestoredStore(t, (*memoryStore).size) })
	t.Run("all records lost", func(t *testing.T) { t.Parallel(); testClaimOnRestoredStore(t, func(*memoryStore) int { return 0 }) })
}

// testClaimOnRestoredStore restores a store to as many records as keep returns before keys
// move, and checks that none is granted while the target that they moved to holds them.
func testClaimOnRestoredStore(t *testing.T, keep func(*memoryStore) int) {
	store := &memoryStore{era: 1}
	leader, others := startLeader(t, store, 1)
	require.Empty(t, others)
	kept := keep(store)
	replaceTarget([]*testVM{leader})
	require.Eventually(t, func() bool {
		target, state := owned(leader, 5)
		return target == "u" && state == keyspace.Held
	}, 5*time.Second, 10*time.Millisecond)
	leader.stop()
	lastGrant := time.Now()
	store.restore(kept)
	vms := []*testVM{startVM(t, "vm-a", store), startVM(t, "vm-b", store)}
	calls := &recordingCaller{}
	for _, vm := range vms {
		vm.keyCaller = calls
	}
	require.Eventually(t, func() bool { return len(leaders(vms)) == 1 }, 8*time.Second, 10*time.Millisecond)
	var first []KeyCall
	require.Eventually(t, func() bool { first = calls.taken(); return len(first) > 0 }, leaderLease+2*maxHoldAfterLease(fleet.LongestHold), 5*time.Millisecond)
	assert.GreaterOrEqual(t, time.Since(lastGrant), maxHoldAfterLease(fleet.ShortestHold), "granted to %s", first[0].Target)
}

// Guards against a leader that goes on after its lease has ended and the store was
// restored: another VM may have led since, and its records are lost.
func TestLeaderWithoutLeaseDoesNotGoOnAfterRestore(t *testing.T) {
	t.Parallel()
	store := &memoryStore{}
	leader, others := startLeader(t, store, 2)
	l := leader.leadershipOf("s")
	store.setDown(true)
	others[0].stop()
	require.Eventually(t, func() bool { return l.mayGrant() != nil }, leaderLease+time.Second, 10*time.Millisecond)
	calls := &recordingCaller{}
	leader.keyCaller = calls
	restoredAt := time.Now()
	store.restore(store.size() - 1)
	require.Eventually(t, func() bool { return len(calls.taken()) > 0 }, support.MaxExtension+2*maxHoldAfterLease(fleet.LongestHold), 5*time.Millisecond)
	assert.GreaterOrEqual(t, time.Since(restoredAt), maxHoldAfterLease(fleet.LongestHold))
	assert.NotSame(t, l, leader.leadershipOf("s"))
}

// Guards against an append without an answer that the store carries out after a restore,
// when the log has the same end again: its record must not replace one of the new era.
func TestLateAppendOfEarlierEraIsOverwritten(t *testing.T) {
	t.Parallel()
	store := &memoryStore{}
	store.era = 1
	leader, others := startLeader(t, store, 2)
	old, _ := leader.view.Cell("s")
	store.restore(store.size())
	require.Eventually(t, func() bool {
		return view.Era(leader.view.End(view.System)) == 2 && !leader.view.IsCellRestored("s")
	}, time.Second, 10*time.Millisecond)
	late := &fleet.Cell{Service: "s", Leader: others[0].self.ID, Boot: others[0].self.Boot, Change: 77, Era: old.Era, Keys: old.Keys}
	_, err := store.Append(context.Background(), view.Change{Key: view.CellKey("s"), Cell: late}, view.AnyOffset)
	require.NoError(t, err)
	size := store.size()
	require.Eventually(t, func() bool { return store.size() > size && !leader.view.IsCellRestored("s") }, time.Second, 5*time.Millisecond)
	require.NoError(t, leader.leadershipOf("s").mayGrant())
	slot, err := others[0].AcquireSlot(context.Background(), newLendArgs(others[0]))
	require.NoError(t, err)
	assert.Equal(t, leader.self.ID, slot.DecidedBy)
	others[0].Return(slot, lending.Usage{Result: lending.Answered, Took: time.Millisecond})
}

// Guards against two holders of a key after a restore: a VM that takes over from a deputy
// without a lease counted on no lease of leaders whose records are lost.
func TestSuccessorOfDeputyAfterRestoreWaitsForUnknownLeaders(t *testing.T) {
	t.Parallel()
	leader, others := startLeader(t, &memoryStore{}, 3)
	time.Sleep(2 * support.Lease)
	c, _ := others[0].view.Cell("s")
	r := newReleaseVotes("s", c)
	r.follows, r.restored = leader.process(), true // as take sets them; here all VMs release it
	others[0].requestReleases(t.Context(), r)
	assert.GreaterOrEqual(t, others[0].grantBound(r), leaderLease)
}
