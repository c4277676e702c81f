package feed

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/mangogate/mangogate/core/fleet"
	"github.com/mangogate/mangogate/node/clock"
	"github.com/mangogate/mangogate/node/view"
	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// emptyStore returns no changes from reads, or refuses them.
type emptyStore struct {
	reads      atomic.Int64
	otherReads atomic.Int64 // reads of logs other than the system log
	refuses    atomic.Bool
}

func (s *emptyStore) Newest(_ context.Context, l view.Log) ([]view.Change, int64, error) {
	return s.Read(context.Background(), l, 0, 0)
}

func (s *emptyStore) Read(_ context.Context, l view.Log, from int64, _ time.Duration) ([]view.Change, int64, error) {
	s.reads.Add(1)
	if l != view.System {
		s.otherReads.Add(1)
	}
	if s.refuses.Load() {
		return nil, 0, view.ErrRefused
	}
	return nil, from, nil
}

func (s *emptyStore) Append(context.Context, view.Change, int64) (int64, error) { return 0, nil }

// follower is the Roles of a VM that leads no cell. It counts the calls of
// StoreUnavailable.
type follower struct{ fails atomic.Int64 }

func (*follower) IsReader() bool      { return false }
func (*follower) LeadsAnyCell() bool  { return false }
func (f *follower) StoreUnavailable() { f.fails.Add(1) }

// startFeed starts a feed with a ready view and returns the view.
func startFeed(t *testing.T, vm string, s view.Store, r Roles) *view.View {
	c := clock.New()
	v := view.New(c.Now, hclog.NewNullLogger())
	v.Apply(view.Operators, []view.Change{{Log: view.Operators, Key: "config", Config: &fleet.Config{Version: 1}}}, 1, c.Now())
	for _, l := range []view.Log{view.Targets, view.System} {
		v.Apply(l, nil, 0, c.Now())
	}
	f := New(fleet.VM{ID: vm}, v, s, c, r, hclog.NewNullLogger(), metrics.NewRegistry())
	require.NoError(t, f.Start(context.Background()))
	t.Cleanup(func() { assert.NoError(t, f.Stop(context.Background())) })
	return v
}

// Guards against followers overloading the store by reading at the same moment
// after the reader failed, and against one that waits so long that changes take
// effect too late.
func TestFollowersDoNotAllReadAtOnce(t *testing.T) {
	shortest, longest := time.Hour, time.Duration(0)
	for i := range 50 {
		limit := followerMaxStaleness + jitterOf(fmt.Sprint("front-cymru-a-", i))
		shortest, longest = min(shortest, limit), max(longest, limit)
	}
	assert.Greater(t, longest-shortest, followerJitter/2)
	assert.LessOrEqual(t, longest, 1300*time.Millisecond)
}

// Guards against a follower that reads the store although its view is fresh, and
// against one that does not read when it receives no changes from other VMs.
func TestFollowerReadsOnlyWhenStale(t *testing.T) {
	store := &emptyStore{}
	v := startFeed(t, "vm", store, &follower{})
	time.Sleep(followerMaxStaleness / 2)
	assert.Zero(t, store.reads.Load())
	require.Eventually(t, func() bool { return v.Staleness(view.Targets) < followerMaxStaleness/2 && store.reads.Load() > 0 },
		followerMaxStaleness+followerJitter+time.Second, 10*time.Millisecond)
}

// Guards against a follower that does not report a store that keeps refusing its
// calls, and against one that does not back off, although every refused call has
// a cost.
func TestRefusingStoreIsReportedAndBackedOff(t *testing.T) {
	store, roles := &emptyStore{}, &follower{}
	store.refuses.Store(true)
	startFeed(t, "vm", store, roles)
	require.Eventually(t, func() bool { return roles.fails.Load() > 0 }, followerMaxStaleness+followerJitter+outageThreshold+2*time.Second, 10*time.Millisecond)
	before := store.reads.Load()
	time.Sleep(3 * time.Second)
	assert.LessOrEqual(t, store.reads.Load()-before, int64(8))
}

// startWithVMs starts a feed with a view that knows only n registered VMs.
func startWithVMs(t *testing.T, vm string, n int, s view.Store) *view.View {
	c := clock.New()
	v := view.New(c.Now, hclog.NewNullLogger())
	var vms []view.Change
	for i := range n {
		id := fmt.Sprint("vm-", i)
		vms = append(vms, view.Change{Log: view.System, Key: view.VMKey(id), Offset: int64(i), VM: &fleet.VM{ID: id}})
	}
	v.Apply(view.System, vms, int64(n), c.Now())
	f := New(fleet.VM{ID: vm}, v, s, c, &follower{}, hclog.NewNullLogger(), metrics.NewRegistry())
	require.NoError(t, f.Start(context.Background()))
	t.Cleanup(func() { assert.NoError(t, f.Stop(context.Background())) })
	return v
}

// vmsByRank returns the ids of n VMs, those first that read the store first at a start.
func vmsByRank(n int) []string {
	var ids []string
	for i := range n {
		ids = append(ids, fmt.Sprint("vm-", i))
	}
	slices.SortFunc(ids, func(a, b string) int { return cmp.Or(cmp.Compare(idHash(a), idHash(b)), cmp.Compare(a, b)) })
	return ids
}

// Guards against a burst of reads when all VMs of a large fleet start, or one read of
// each log for each VM that restarts: the first in rank read at once, the others leave
// that to them, but read themselves if nobody passes the logs on.
func TestStartingVMsLeaveTheLogsToFew(t *testing.T) {
	const n = 200
	ids := vmsByRank(n)
	first, middle, last := &emptyStore{}, &emptyStore{}, &emptyStore{}
	startWithVMs(t, ids[0], n, first)
	startWithVMs(t, ids[50], n, middle)
	startWithVMs(t, ids[n-1], n, last)
	time.Sleep(startDelay(50) / 2)
	assert.GreaterOrEqual(t, first.otherReads.Load(), int64(2))
	assert.Zero(t, middle.otherReads.Load())
	require.Eventually(t, func() bool { return middle.otherReads.Load() >= 2 }, startDelay(50)+time.Second, 10*time.Millisecond)
	assert.Zero(t, last.otherReads.Load())
	require.Eventually(t, func() bool { return last.otherReads.Load() >= 2 }, maxStartDelay+time.Second, 10*time.Millisecond)
}

// Guards against polling by all VMs while the deployment has no configuration yet: a few
// poll often, so that a configuration is soon known, and the others seldom.
func TestFewVMsPollForTheConfiguration(t *testing.T) {
	const n, span = 40, 3 * time.Second
	ids := vmsByRank(n)
	poller, other := &emptyStore{}, &emptyStore{}
	startWithVMs(t, ids[1], n, poller)
	startWithVMs(t, ids[startPollers], n, other)
	time.Sleep(span)
	assert.GreaterOrEqual(t, poller.otherReads.Load(), int64(2*(span/pollerMaxStaleness-1)))
	assert.LessOrEqual(t, other.otherReads.Load(), int64(2))
}

// reader is the Roles of the VM that reads the store for all others.
type reader struct{ follower }

func (*reader) IsReader() bool     { return true }
func (*reader) LeadsAnyCell() bool { return true }

// waitingStore holds reads open for as long as they ask, and counts those of the
// operators' log.
type waitingStore struct {
	emptyStore
	operators atomic.Int64
}

func (s *waitingStore) Read(ctx context.Context, l view.Log, from int64, wait time.Duration) ([]view.Change, int64, error) {
	if l == view.Operators {
		s.operators.Add(1)
	}
	time.Sleep(wait)
	return s.emptyStore.Read(ctx, l, from, wait)
}

// Guards against a reader that polls the operators' log although the store can hold a
// read open until something changes, and against a view that counts as older than it is
// because of that, so that other VMs read the store themselves.
func TestReaderLetsTheStoreWaitForOperators(t *testing.T) {
	const span = 3 * time.Second
	store := &waitingStore{}
	v := startFeed(t, "vm", store, &reader{})
	var oldest time.Duration
	for end := time.Now().Add(span); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		oldest = max(oldest, v.Staleness(view.Operators))
	}
	assert.LessOrEqual(t, store.operators.Load(), int64(span/(readerMaxStaleness+operatorsWait))+1)
	assert.Less(t, oldest, followerMaxStaleness)
}
