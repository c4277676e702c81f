package cell

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/mangogate/mangogate/core/keyspace"
	"github.com/mangogate/mangogate/core/support"
	"github.com/mangogate/mangogate/node/view"
	"github.com/stretchr/testify/require"
)

// An outage of the store that lasts longer than a leader's authority and a hold
// must not leave the keys without owners: nobody can have taken the cell while
// most VMs follow its leader. Seen on a day on which the store turned all calls
// away for 8 s: 2,000 reads a second were refused from the fifth second on.
func TestKeysStayHeldWhileStoreIsAway(t *testing.T) {
	store := &memoryStore{}
	leader, others := startLeader(t, store, 3)
	l := leader.leadOf("s")
	held := func() bool {
		l.mu.Lock()
		defer l.mu.Unlock()
		_, state, _ := l.keys.Owner(l.now(), 5)
		return state == keyspace.Held
	}
	require.Eventually(t, held, 3*time.Second, 20*time.Millisecond)
	store.setDown(true)
	for end := time.Now().Add(authority + hold + time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		require.True(t, held())
	}
	require.NoError(t, l.mayGrant())
	others[0].stop()
	time.Sleep(support.Lease)
	require.NoError(t, l.mayGrant(), "two of three VMs")
	others[1].stop()
	require.Eventually(t, func() bool { return l.mayGrant() != nil }, support.Lease+time.Second, 20*time.Millisecond)
}

// turningAway is a store that one VM does not reach.
type turningAway struct {
	*memoryStore
	away atomic.Bool
}

func (s *turningAway) Read(ctx context.Context, l view.Log, from int64, wait time.Duration) ([]view.Change, int64, error) {
	if s.away.Load() {
		return nil, 0, view.ErrRefused
	}
	return s.memoryStore.Read(ctx, l, from, wait)
}

func (s *turningAway) Append(ctx context.Context, c view.Change, end int64) (int64, error) {
	if s.away.Load() {
		return 0, view.ErrRefused
	}
	return s.memoryStore.Append(ctx, c, end)
}

// The store turns away only the leader, and its connections to the other VMs
// are cut as well. They take the cell; the new leader counts on the old one
// having stopped after the time of an authority.
func TestLeaderThatIsAloneStopsBeforeItsSuccessorMovesKeys(t *testing.T) {
	store := &memoryStore{}
	own := &turningAway{memoryStore: store}
	old := startVM(t, "vm-old", own)
	require.Eventually(t, func() bool { return old.leadOf("s") != nil }, 5*time.Second, 20*time.Millisecond)
	others := []*testVM{startVM(t, "vm-a", store), startVM(t, "vm-b", store), startVM(t, "vm-c", store)}
	require.Eventually(t, func() bool { return len(old.view.VMs()) == 4 }, 3*time.Second, 20*time.Millisecond)
	for _, vm := range others {
		require.Eventually(t, func() bool { return vm.heardLately("vm-old", "boot-vm-old") }, 3*time.Second, 20*time.Millisecond)
	}
	l := old.leadOf("s")
	own.away.Store(true)
	for _, vm := range others {
		vm.cut() // the old leader reaches none of them
	}
	old.cut() // and none of them reaches it
	require.Eventually(t, func() bool { return len(leaders(others)) > 0 }, 8*time.Second, 5*time.Millisecond)
	require.Eventually(t, func() bool { return l.mayGrant() != nil }, authority, 5*time.Millisecond)
}

// The leader is lost and its VM starts again after another VM has taken the cell.
// From then on the old process is known to have ended, and its grants end with
// their hold: nothing is waited for beyond that.
func TestEndOfLeadersProcessShortensTheWait(t *testing.T) {
	store := &memoryStore{}
	leader, others := startLeader(t, store, 3)
	leader.stop()
	var next *testVM
	require.Eventually(t, func() bool {
		for _, vm := range others {
			if vm.leadOf("s") != nil {
				next = vm
			}
		}
		return next != nil
	}, 5*time.Second, 10*time.Millisecond)
	again := leader.self
	again.Boot = "later"
	_, err := store.Append(context.Background(), view.Change{Key: view.VMKey(again.ID), VM: &again}, view.Anywhere)
	require.NoError(t, err)
	l := next.leadOf("s")
	require.Eventually(t, func() bool { return l.formerGrantsLeft() <= afterAuthority() }, authority/2, 10*time.Millisecond)
}
