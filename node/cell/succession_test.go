package cell

import (
	"context"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/mangogate/mangogate/core/fleet"
	"github.com/mangogate/mangogate/core/keyspace"
	"github.com/mangogate/mangogate/core/support"
	"github.com/mangogate/mangogate/node/view"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// cuttableStore gives one VM access to a memoryStore, and refuses the VM's reads or appends
// while they are cut.
type cuttableStore struct {
	*memoryStore
	cutReads, cutAppends atomic.Bool
}

func (s *cuttableStore) cut() {
	s.cutReads.Store(true)
	s.cutAppends.Store(true)
}

func (s *cuttableStore) Newest(ctx context.Context, l view.Log) ([]view.Change, int64, error) {
	if s.cutReads.Load() {
		return nil, 0, view.ErrRefused
	}
	return s.memoryStore.Newest(ctx, l)
}

func (s *cuttableStore) Read(ctx context.Context, l view.Log, from int64, wait time.Duration) ([]view.Change, int64, error) {
	if s.cutReads.Load() {
		return nil, 0, view.ErrRefused
	}
	return s.memoryStore.Read(ctx, l, from, wait)
}

func (s *cuttableStore) Append(ctx context.Context, c view.Change, end int64) (int64, error) {
	if s.cutAppends.Load() {
		return 0, view.ErrRefused
	}
	return s.memoryStore.Append(ctx, c, end)
}

// requireHeld waits until a target holds the keys of the VM's cell.
func requireHeld(t *testing.T, vm *testVM, target string) {
	require.Eventually(t, func() bool {
		owner, state := owned(vm, 5)
		return owner == target && state == keyspace.Held
	}, 5*time.Second, 10*time.Millisecond)
}

// firstGrant waits for the next grant that a target accepts and returns when it came.
func firstGrant(t *testing.T, calls *recordingCaller) time.Time {
	require.Eventually(t, func() bool { return len(calls.taken()) > 0 }, 30*time.Second, 5*time.Millisecond)
	return time.Now()
}

// Guards against two holders of a key after two successions in a row: the wait for holders
// that lost records name was known only to the first successor, and ended with it.
func TestWaitForUnknownHoldersSurvivesSuccession(t *testing.T) {
	t.Parallel()
	for _, how := range []string{"handover", "crash", "deputy", "resume"} {
		t.Run(how, func(t *testing.T) {
			t.Parallel()
			store := &memoryStore{era: 1}
			leader, _ := startLeader(t, store, 1)
			kept := store.size()
			replaceTarget([]*testVM{leader})
			requireHeld(t, leader, "u")
			leader.stop()
			store.restore(kept)
			vms := []*testVM{startVM(t, "vm-a", store), startVM(t, "vm-b", store), startVM(t, "vm-c", store)}
			calls := &recordingCaller{}
			for _, vm := range vms {
				vm.keyCaller = calls
			}
			require.Eventually(t, func() bool { return len(leaders(vms)) == 1 }, 8*time.Second, 10*time.Millisecond)
			next := leaders(vms)[0]
			l := next.leadershipOf("s")
			freeAt := time.Now().Add(l.previousGrantsLeft())
			switch how {
			case "handover":
				next.Retire(context.Background())
				next.stop()
			case "deputy":
				store.setDown(true)
				time.Sleep(syncInterval)
				next.Retire(context.Background())
				next.stop()
				store.setDown(false)
			case "crash":
				next.stop()
				restarted := fleet.VM{ID: next.self.ID, PeerAddress: "127.0.0.1:1", Boot: "later", Cores: 1, Era: 2}
				_, err := store.Append(context.Background(), view.Change{Key: view.VMKey(restarted.ID), VM: &restarted}, view.AnyOffset)
				require.NoError(t, err)
			case "resume":
				record, _ := next.view.Cell("s")
				require.True(t, l.handoverStarted.CompareAndSwap(false, true))
				l.reclaim(context.Background(), record)
			}
			grantedAt := firstGrant(t, calls)
			assert.False(t, grantedAt.Before(freeAt), "granted before the unknown holders are free")
			if how == "handover" {
				assert.Less(t, grantedAt.Sub(freeAt), time.Second, "the successor waits from the start")
			}
		})
	}
}

// Guards against two leaders that grant the same keys: one that is cut off with its
// supporters goes on for longer than the successor of its successor waited.
func TestBoundOfEarlierLeaderSurvivesHandover(t *testing.T) {
	t.Parallel()
	store := &memoryStore{}
	leaderStore := &cuttableStore{memoryStore: store}
	leader := startVM(t, "vm-0", leaderStore)
	requireHeld(t, leader, "t")
	var vms []*testVM
	for _, id := range []string{"vm-1", "vm-2", "vm-3", "vm-4"} {
		vms = append(vms, startVM(t, id, store))
	}
	time.Sleep(time.Second)
	leaderStore.cut()
	vms[2].stop()
	vms[3].stop()
	leader.disconnect()
	alive := vms[:2]
	require.Eventually(t, func() bool { return len(leaders(alive)) == 1 }, 8*time.Second, 5*time.Millisecond)
	first := leaders(alive)[0]
	before := first.leadershipOf("s").previousGrantsLeft()
	first.Retire(context.Background())
	require.Eventually(t, func() bool { return len(leaders(alive)) == 1 && leaders(alive)[0] != first }, 3*time.Second, 5*time.Millisecond)
	assert.Greater(t, leaders(alive)[0].leadershipOf("s").previousGrantsLeft(), before-2*time.Second)
}

// Guards against a successor that counts on grants of earlier leaders long after they have
// expired: the leader has to write a record without them.
func TestRecordForgetsExpiredEarlierGrants(t *testing.T) {
	t.Parallel()
	store := &memoryStore{}
	leader, others := startLeader(t, store, 2)
	leader.Retire(context.Background())
	require.Eventually(t, func() bool { return others[0].leadershipOf("s") != nil }, leaderTimeout, 5*time.Millisecond)
	earlierGrants := func() time.Duration { c, _ := others[0].view.Cell("s"); return c.EarlierGrants }
	assert.Positive(t, earlierGrants())
	require.Eventually(t, func() bool { return earlierGrants() == 0 }, maxHoldAfterLease(fleet.LongestHold)+time.Second, 20*time.Millisecond)
}

// Guards against a cell without a leader for good: a deputy whose lease has ended when the
// store is restored still answers the other VMs, which refused to let it claim the cell.
func TestDeputyWithoutLeaseClaimsItsCellAfterRestore(t *testing.T) {
	t.Parallel()
	store := &memoryStore{era: 1}
	leader, others := startLeader(t, store, 4)
	store.setDown(true)
	time.Sleep(syncInterval)
	leader.Retire(context.Background())
	require.Eventually(t, func() bool { return len(leaders(others)) == 1 }, 2*time.Second, 5*time.Millisecond)
	leader.stop()
	deputyVM := leaders(others)[0]
	l := deputyVM.leadershipOf("s")
	for _, vm := range others {
		if vm != deputyVM {
			vm.stop()
			break
		}
	}
	require.Eventually(t, func() bool { return l.mayGrant() != nil }, leaderLease+3*time.Second, 10*time.Millisecond)
	store.restore(store.size())
	require.Eventually(t, func() bool {
		for _, vm := range others {
			if next := vm.leadershipOf("s"); next != nil && next != l && next.mayGrant() == nil {
				return true
			}
		}
		return false
	}, 5*time.Second, 20*time.Millisecond)
}

// Guards against a leader that never gets support again because it claimed its own cell
// after a restore of the store.
func TestLeaderThatClaimedItsOwnCellGetsSupport(t *testing.T) {
	t.Parallel()
	store := &memoryStore{era: 1}
	leader, others := startLeader(t, store, 2)
	restored := SupportArgs{Service: "s", Leader: leader.self.ID, Boot: leader.self.Boot, Claimant: leader.self.ID, ClaimantBoot: leader.self.Boot, AfterRestore: true}
	h := &handler{others[0].Service}
	var released ReleaseReply
	require.NoError(t, h.Release(restored, &released))
	require.False(t, released.Hears)
	var reply SupportReply
	require.NoError(t, h.Support(SupportArgs{Service: "s", Leader: leader.self.ID, Boot: leader.self.Boot}, &reply))
	assert.True(t, reply.Supports)
}

// Guards against two holders of a key: a leader without a lease, which has not noticed that
// the store was restored, hands its cell over, and the record of the VM that led meanwhile
// is lost.
func TestHandoverWithoutLeaseIsNoContinuousSuccession(t *testing.T) {
	t.Parallel()
	store := &memoryStore{era: 1}
	leaderStore := &cuttableStore{memoryStore: store}
	leader := startVM(t, "vm-0", leaderStore)
	requireHeld(t, leader, "t")
	for _, id := range []string{"vm-1", "vm-2"} { // VMs that could support the leader, but are gone
		_, err := store.Append(context.Background(), view.Change{Key: view.VMKey(id), VM: &fleet.VM{ID: id, PeerAddress: "127.0.0.1:1", Boot: "b", Cores: 1, Era: 1}}, view.AnyOffset)
		require.NoError(t, err)
	}
	require.Eventually(t, func() bool { return len(leader.view.VMs()) == 3 }, time.Second, 5*time.Millisecond)
	l := leader.leadershipOf("s")
	kept := store.size()
	leaderStore.cut()
	require.Eventually(t, func() bool { return l.mayGrant() != nil }, leaderLease+time.Second, 10*time.Millisecond)
	store.restore(kept)
	next := startVM(t, "vm-next", store)
	calls := &recordingCaller{}
	next.keyCaller = calls
	require.Eventually(t, next.view.Ready, time.Second, time.Millisecond)
	began := time.Now()
	leader.handOver(context.Background(), l, []fleet.VM{next.self}, "a test")
	assert.GreaterOrEqual(t, firstGrant(t, calls).Sub(began), maxHoldAfterLease(fleet.ShortestHold))
}

// Guards against two holders of a key: a leader goes on after a restore although a VM that
// it had asked to lead may have done so, whose records are lost.
func TestUnansweredHandoverAcrossRestoreEndsLeadership(t *testing.T) {
	t.Parallel()
	store := &memoryStore{era: 1}
	leader, _ := startLeader(t, store, 2)
	l := leader.leadershipOf("s")
	calls := &recordingCaller{}
	record, _ := leader.view.Cell("s")
	store.setDown(true)
	require.True(t, l.handoverStarted.CompareAndSwap(false, true))
	leader.keyCaller = calls
	go l.reclaim(leader.ctx, record)
	time.Sleep(2 * appendRetryDelay)
	calls.taken()
	began := time.Now()
	store.restore(store.size())
	assert.GreaterOrEqual(t, firstGrant(t, calls).Sub(began), maxHoldAfterLease(fleet.ShortestHold))
	assert.NotSame(t, l, leader.leadershipOf("s"))
}

// Guards against support for a leader that was replaced: a process that has started after a
// restore knows only the copy, in which its successor's record may be missing.
func TestProcessStartedAfterRestoreSupportsNoLeaderOfTheCopy(t *testing.T) {
	t.Parallel()
	store := &memoryStore{era: 1}
	leaderStore := &cuttableStore{memoryStore: store}
	leader := startVM(t, "vm-0", leaderStore)
	requireHeld(t, leader, "t")
	leaderStore.cut()
	store.restore(store.size())
	vm := startVM(t, "vm-next", store)
	vm.retiring.Store(true) // it must not claim the cell
	require.Eventually(t, vm.seesOwnRegistration, time.Second, time.Millisecond)
	var reply SupportReply
	require.NoError(t, (&handler{vm.Service}).Support(SupportArgs{Service: "s", Leader: leader.self.ID, Boot: leader.self.Boot}, &reply))
	assert.False(t, reply.Supports)
}

// Guards against a live leader that counts as ended: its record of the new era preceded its
// registration there, so that a VM that started in between knew the one without the other.
func TestRecordFollowsRegistrationInRestoredStore(t *testing.T) {
	t.Parallel()
	store := &memoryStore{era: 1}
	leader, _ := startLeader(t, store, 3)
	store.restore(0)
	require.Eventually(t, func() bool { return view.Era(leader.view.End(view.System)) == 2 }, time.Second, 5*time.Millisecond)
	time.Sleep(2 * appendRetryDelay)
	require.Zero(t, store.cellRecords(), "a record of a VM that is not registered")
	self := leader.self
	self.Era = 2
	_, err := store.Append(context.Background(), view.Change{Key: view.VMKey(self.ID), VM: &self}, view.AnyOffset)
	require.NoError(t, err)
	require.Eventually(t, func() bool { return store.cellRecords() == 1 && !leader.view.IsCellRestored("s") }, time.Second, 5*time.Millisecond)
	require.NoError(t, leader.leadershipOf("s").mayGrant())
}

// Guards against a leader that never moves keys again: a proposal that is written beside the
// leader's own record finds another record than the one that it was made for.
func TestNoProposalWhileRecordIsWrittenAgain(t *testing.T) {
	t.Parallel()
	leader, others := startLeader(t, &memoryStore{}, 2)
	l := leader.leadershipOf("s")
	require.Eventually(t, func() bool { return l.writingAgain.CompareAndSwap(false, true) }, time.Second, time.Millisecond)
	replaceTarget(append(others, leader))
	for end := time.Now().Add(2 * planInterval); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		c, _ := leader.view.Cell("s")
		require.Equal(t, "t", c.Keys[0].Owner.Target)
	}
	l.writingAgain.Store(false)
	requireHeld(t, leader, "u")
}

// recordOfOther returns a record by which another VM has taken the cell over.
func recordOfOther(own *fleet.Cell, other fleet.VM) *fleet.Cell {
	return &fleet.Cell{Service: own.Service, Leader: other.ID, Boot: other.Boot, Change: own.Change + 1, Era: own.Era, Hold: own.Hold, Keys: own.Keys, EarlierGrants: time.Second}
}

// Guards against two owners of a key after a leader was suspended: when it woke up it took
// the record of its successor, which told of earlier grants, for its own and replaced it.
func TestDeposedLeaderDoesNotReplaceTheRecordOfItsSuccessor(t *testing.T) {
	t.Parallel()
	store := &memoryStore{}
	leader, others := startLeader(t, store, 2)
	l := leader.leadershipOf("s")
	require.Eventually(t, func() bool {
		c, _ := leader.view.Cell("s")
		return c.EarlierGrants == 0 && l.previousGrantsLeft() <= 0
	}, 5*time.Second, 5*time.Millisecond)
	own, _ := leader.view.Cell("s")
	leader.reconcileMu.Lock() // the leadership is not stopped yet
	defer leader.reconcileMu.Unlock()
	theirs := recordOfOther(own, others[0].self)
	_, err := store.Append(context.Background(), view.Change{Key: view.CellKey("s"), Cell: theirs}, view.AnyOffset)
	require.NoError(t, err)
	require.Eventually(t, func() bool { return !l.isCurrent() }, time.Second, time.Millisecond)
	for end := time.Now().Add(10 * keyStepInterval); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		c, _ := leader.view.Cell("s")
		require.Equal(t, others[0].self.ID, c.Leader)
	}
}

// Guards against two owners of a key when a leader learns of its successor after it has
// proposed assignments: they must not be written behind the successor's record.
func TestProposalOfDeposedLeaderIsNotWritten(t *testing.T) {
	t.Parallel()
	store := &memoryStore{}
	leader, others := startLeader(t, store, 2)
	l := leader.leadershipOf("s")
	own, _ := leader.view.Cell("s")
	leader.reconcileMu.Lock() // the leadership is not stopped yet
	defer leader.reconcileMu.Unlock()
	_, err := store.Append(context.Background(), view.Change{Key: view.CellKey("s"), Cell: recordOfOther(own, others[0].self)}, view.AnyOffset)
	require.NoError(t, err)
	require.Eventually(t, func() bool { return !l.isCurrent() }, time.Second, time.Millisecond)
	records := store.cellRecords()
	l.commit(t.Context(), own, own.Keys)
	assert.Equal(t, records, store.cellRecords())
}

// Guards against two holders of a key: the previous leader wrote another record before the
// claim, which tells of grants of earlier leaders, and the claimant lowered its wait by the
// record that it had seen before.
func TestClaimantWaitsForGrantsThatTheReplacedRecordTellsOf(t *testing.T) {
	t.Parallel()
	store := &memoryStore{}
	leader, others := startLeader(t, store, 3)
	time.Sleep(support.Lease)
	others[0].retiring.Store(true) // it claims only below
	others[1].retiring.Store(true)
	leader.stop()
	time.Sleep(2 * leaderTimeout)
	seen, _ := others[0].view.Cell("s")
	r, released := others[0].releaseLeader(t.Context(), "s", seen, false)
	require.True(t, released)
	later := *seen
	later.Change, later.EarlierGrants = seen.Change+1, support.MaxExtension
	_, err := store.Append(context.Background(), view.Change{Key: view.CellKey("s"), Cell: &later}, view.AnyOffset)
	require.NoError(t, err)
	require.NoError(t, others[0].claim(t.Context(), fleet.Service{Name: "s", Keyed: true}, seen, others[0].successionBy(r)))
	l := others[0].leadershipOf("s")
	l.lowerPriorManagerHoldBound(r, l.now(), "a test")
	assert.Greater(t, l.previousGrantsLeft(), support.MaxExtension-time.Second)
}

// hookedStore runs a function once before the next append of a cell's record.
type hookedStore struct {
	*memoryStore
	beforeCell func()
}

func (s *hookedStore) Append(ctx context.Context, c view.Change, end int64) (int64, error) {
	if hook := s.beforeCell; hook != nil && c.Cell != nil {
		s.beforeCell = nil
		hook()
	}
	return s.memoryStore.Append(ctx, c, end)
}

// Guards against two holders of a key after two successions in a row: a VM that had released
// the leader restarted before the claim was written, and the record told the next successor
// of the shorter wait that its release would have allowed.
func TestRecordCountsReleasesAsOfItsWriting(t *testing.T) {
	t.Parallel()
	store := &memoryStore{}
	leader, others := startLeader(t, store, 2)
	leader.disconnect()
	claimantStore := &hookedStore{memoryStore: store}
	claimant := startVM(t, "vm-next", claimantStore)
	claimant.retiring.Store(true) // it claims only below
	require.Eventually(t, func() bool { return len(claimant.view.VMs()) == 3 }, time.Second, time.Millisecond)
	others[0].retiring.Store(true)
	claimantStore.beforeCell = func() {
		restarted := others[0].self
		restarted.Boot, restarted.Registration = "later", restarted.Registration+1
		_, err := store.Append(context.Background(), view.Change{Key: view.VMKey(restarted.ID), VM: &restarted}, view.AnyOffset)
		assert.NoError(t, err)
	}
	seen, _ := claimant.view.Cell("s")
	var r *releaseVotes
	require.Eventually(t, func() (released bool) {
		r, released = claimant.releaseLeader(t.Context(), "s", seen, false)
		return released && claimant.hasMajority(r)
	}, 2*leaderTimeout, 10*time.Millisecond)
	p := succession{grantBound: func() time.Duration { return claimant.grantBound(r) }}
	require.NoError(t, claimant.claim(t.Context(), fleet.Service{Name: "s", Keyed: true}, seen, p))
	record, _ := claimant.view.Cell("s")
	assert.GreaterOrEqual(t, record.EarlierGrants, support.MaxExtension)
}

// Guards against two holders of a key: a registration of an earlier process of the leader's
// VM, which the store carries out late, is taken for the end of the leader. It is cut off.
func TestLateRegistrationIsNoEndOfTheLeader(t *testing.T) {
	store := &memoryStore{}
	leader, others, stores, calls := startVMsWithStores(t, store, 4)
	time.Sleep(time.Second)
	for _, vm := range others {
		calls[vm].lost = "t"
	}
	replaceTarget(others)
	earlier := leader.self
	earlier.Boot = "earlier"
	stores[leader].cut()
	cutCalls(leader, others)
	leader.disconnect()
	_, err := store.Append(context.Background(), view.Change{Key: view.VMKey(earlier.ID), VM: &earlier}, view.AnyOffset)
	require.NoError(t, err)
	lastToT, firstToU := time.Now(), time.Time{}
	calls[leader].taken()
	for end := time.Now().Add(9 * time.Second); time.Now().Before(end); time.Sleep(2 * time.Millisecond) {
		if len(calls[leader].taken()) > 0 {
			lastToT = time.Now()
		}
		for _, vm := range others {
			if firstToU.IsZero() && slices.ContainsFunc(calls[vm].taken(), func(c KeyCall) bool { return c.Target == "u" }) {
				firstToU = time.Now()
			}
		}
	}
	require.False(t, firstToU.IsZero())
	t.Log("the first grant to u came", firstToU.Sub(lastToT), "after the last one to t, which lasts", fleet.ShortestHold)
	assert.GreaterOrEqual(t, firstToU.Sub(lastToT), fleet.ShortestHold)
}
