package cell

import (
	"context"
	"net"
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

// Guards against keys without owners in an outage of the store that is longer than
// leaderLease and the hold of grants. A leader that enough VMs support must keep granting,
// since no other VM can have taken over. When leaders once did not, an outage of 8 s led to
// 2,000 refused reads a second from the fifth second on.
func TestKeysStayHeldWhileStoreIsAway(t *testing.T) {
	store := &memoryStore{}
	leader, others := startLeader(t, store, 3)
	l := leader.leadershipOf("s")
	held := func() bool {
		l.mu.Lock()
		defer l.mu.Unlock()
		_, state, _ := l.keys.Owner(l.now(), 5)
		return state == keyspace.Held
	}
	require.Eventually(t, held, 3*time.Second, 20*time.Millisecond)
	store.setDown(true)
	for end := time.Now().Add(leaderLease + fleet.ShortestHold + time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		require.True(t, held())
	}
	require.NoError(t, l.mayGrant())
	others[0].stop()
	time.Sleep(support.Lease)
	require.NoError(t, l.mayGrant(), "two of three VMs support the leader")
	others[1].stop()
	require.Eventually(t, func() bool { return l.mayGrant() != nil }, support.Lease+time.Second, 20*time.Millisecond)
}

// refusableStore gives one VM access to a memoryStore, and refuses the VM's reads and
// appends while refusing is set.
type refusableStore struct {
	*memoryStore
	refusing atomic.Bool
}

func (s *refusableStore) Read(ctx context.Context, l view.Log, from int64, wait time.Duration) ([]view.Change, int64, error) {
	if s.refusing.Load() {
		return nil, 0, view.ErrRefused
	}
	return s.memoryStore.Read(ctx, l, from, wait)
}

func (s *refusableStore) Append(ctx context.Context, c view.Change, end int64) (int64, error) {
	if s.refusing.Load() {
		return 0, view.ErrRefused
	}
	return s.memoryStore.Append(ctx, c, end)
}

// Guards against two leaders that grant the same keys. The store refuses only the
// leader, which is also cut off from the other VMs, and one of these claims the cell.
// It relies on the old leader to stop granting within leaderLease.
func TestIsolatedLeaderStopsBeforeItsSuccessorMovesKeys(t *testing.T) {
	store := &memoryStore{}
	oldStore := &refusableStore{memoryStore: store}
	oldLeader := startVM(t, "vm-old", oldStore)
	require.Eventually(t, func() bool { return oldLeader.leadershipOf("s") != nil }, 5*time.Second, 20*time.Millisecond)
	others := []*testVM{startVM(t, "vm-a", store), startVM(t, "vm-b", store), startVM(t, "vm-c", store)}
	require.Eventually(t, func() bool { return len(oldLeader.view.VMs()) == 4 }, 3*time.Second, 20*time.Millisecond)
	for _, vm := range others {
		require.Eventually(t, func() bool { return vm.heardRecently("vm-old", "boot-vm-old") }, 3*time.Second, 20*time.Millisecond)
	}
	l := oldLeader.leadershipOf("s")
	oldStore.refusing.Store(true)
	for _, vm := range others {
		vm.disconnect() // the old leader reaches no other VM
	}
	oldLeader.disconnect() // and no other VM reaches the old leader
	require.Eventually(t, func() bool { return len(leaders(others)) > 0 }, 8*time.Second, 5*time.Millisecond)
	require.Eventually(t, func() bool { return l.mayGrant() != nil }, leaderLease, 5*time.Millisecond)
}

// Guards against a needlessly long wait for grants of a lost leader whose VM restarts
// after another VM has claimed the cell. The old process is then known to have ended,
// so the new leader must wait for at most maxHoldAfterLease.
func TestEndOfLeadersProcessShortensTheWait(t *testing.T) {
	store := &memoryStore{}
	leader, others := startLeader(t, store, 3)
	leader.stop()
	var next *testVM
	require.Eventually(t, func() bool {
		for _, vm := range others {
			if vm.leadershipOf("s") != nil {
				next = vm
			}
		}
		return next != nil
	}, 5*time.Second, 10*time.Millisecond)
	restarted := leader.self
	restarted.Boot, restarted.Registration = "later", restarted.Registration+1
	_, err := store.Append(context.Background(), view.Change{Key: view.VMKey(restarted.ID), VM: &restarted}, view.AnyOffset)
	require.NoError(t, err)
	l := next.leadershipOf("s")
	require.Eventually(t, func() bool { return l.previousGrantsLeft() <= maxHoldAfterLease(fleet.ShortestHold) }, leaderLease/2, 10*time.Millisecond)
}

// Guards against a longer wait for the keys of a leader whose process has ended, since its
// claimant asks the other VMs for releases: neither for the leader's lease, nor for VMs
// that do not answer once a majority has.
func TestClaimAfterEndOfLeadersProcessDoesNotWaitForItsLease(t *testing.T) {
	t.Parallel()
	store := &memoryStore{}
	leader, others := startLeader(t, store, 4)
	silent, err := net.Listen("tcp", net.JoinHostPort(processLoopback(), "0"))
	require.NoError(t, err)
	defer silent.Close()
	register := func(vm fleet.VM) {
		_, err := store.Append(context.Background(), view.Change{Key: view.VMKey(vm.ID), VM: &vm}, view.AnyOffset)
		require.NoError(t, err)
	}
	register(fleet.VM{ID: "vm-silent", Boot: "b", PeerAddress: silent.Addr().String(), Cores: 0.1})
	time.Sleep(support.Lease)
	leader.stop()
	restarted := leader.self
	restarted.Boot, restarted.Registration = "later", restarted.Registration+1
	register(restarted)
	require.Eventually(t, func() bool { return len(leaders(others)) == 1 }, 5*time.Second, 5*time.Millisecond)
	next := leaders(others)[0]
	record, _ := next.view.Cell("s")
	assert.LessOrEqual(t, record.EarlierGrants, maxHoldAfterLease(fleet.ShortestHold))
	ended := fleet.Cell{Service: "s", Leader: leader.self.ID, Boot: leader.self.Boot}
	began := time.Now()
	r, ok := next.releaseLeader(t.Context(), "s", &ended, false)
	assert.Less(t, time.Since(began), syncTimeout/2)
	assert.True(t, ok)
	assert.Zero(t, max(0, next.grantBound(r)))
}

// Guards against a VM that is cut off from all others and takes over a cell as fast as
// one that the others reach: the questions that its requests put to the lost leader
// counted as answers.
func TestQuestionsAreNoAnswers(t *testing.T) {
	vm := startVM(t, "vm-0", &memoryStore{})
	heard := func() bool {
		vm.mu.Lock()
		defer vm.mu.Unlock()
		return vm.hasHeardAnyVM(vm.clock.Now())
	}
	silent := fleet.VM{ID: "vm-1", Boot: "b", PeerAddress: "127.0.0.1:1"}
	require.True(t, vm.shouldAsk(silent), "one request asks a VM of which nothing is known")
	require.False(t, vm.shouldAsk(silent))
	require.False(t, heard())
	vm.markSilent(silent.ID, silent.Boot)
	require.False(t, heard())
	vm.noteHeard(silent.ID, silent.Boot, silent.PeerAddress)
	require.True(t, heard())
}

// Guards against a bound on earlier grants that forgets the support of which a VM told in an
// earlier round of questions, although its vote of that round counts.
func TestSupportToldInEarlierRoundIsWaitedFor(t *testing.T) {
	t.Parallel()
	store := &memoryStore{}
	leader, others := startLeader(t, store, 4)
	time.Sleep(support.Lease)
	claimant, a, b := others[0], others[1], others[2]
	reach := func(vm *testVM, address string) {
		self := vm.self
		if address != "" {
			self.PeerAddress = address
		}
		_, err := store.Append(context.Background(), view.Change{Key: view.VMKey(vm.self.ID), VM: &self}, view.AnyOffset)
		require.NoError(t, err)
		require.NoError(t, claimant.readSystem(context.Background()))
	}
	c, _ := leader.view.Cell("s")
	reach(b, "127.0.0.1:1")
	r := newReleaseVotes("s", c)
	r.deputy = claimant.process()
	var supported SupportReply
	require.NoError(t, (&handler{a.Service}).Support(SupportArgs{Service: "s", Leader: c.Leader, Boot: c.Boot, Change: c.Change, Deputy: "another"}, &supported))
	require.True(t, supported.Supports)
	claimant.requestReleases(t.Context(), r)
	require.Greater(t, r.supportEnd()-claimant.clock.Now(), support.Lease/2)
	reach(a, "127.0.0.1:1")
	reach(b, "")
	claimant.requestReleases(t.Context(), r)
	require.True(t, claimant.hasMajority(r))
	a.mu.Lock()
	left := a.follower("s").Release(a.clock.Now(), c.Leader+c.Boot, "")
	a.mu.Unlock()
	require.Greater(t, left, support.Lease/4)
	assert.GreaterOrEqual(t, claimant.grantBound(r), left, "the other deputy may count on this VM's support for longer")
}

// Guards against a claimant that counts its own VM's support as ending too early, by the
// time for which it waited to take it back.
func TestOwnSupportIsNotCutShort(t *testing.T) {
	store := &memoryStore{}
	vm := startVM(t, "vm-0", store)
	r := newReleaseVotes("x", nil)
	r.record.Leader, r.record.Boot = "l", "b"
	vm.mu.Lock()
	given := vm.clock.Now()
	vm.follower("x").GrantSupport(given, support.Grantor{Leader: "lb"}, true)
	done := make(chan struct{})
	go func() { defer close(done); vm.requestReleases(vm.ctx, r) }()
	time.Sleep(300 * time.Millisecond) // the lock is taken, as after a pause of the process
	vm.mu.Unlock()
	<-done
	assert.GreaterOrEqual(t, r.supportEnd(), given+support.Lease)
}
