package feed

import (
	"context"
	"fmt"
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
	reads   atomic.Int64
	refuses atomic.Bool
}

func (s *emptyStore) Newest(context.Context, view.Log) ([]view.Change, int64, error) {
	return s.Read(context.Background(), 0, 0, 0)
}

func (s *emptyStore) Read(_ context.Context, _ view.Log, from int64, _ time.Duration) ([]view.Change, int64, error) {
	s.reads.Add(1)
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
