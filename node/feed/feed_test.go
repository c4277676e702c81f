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

// emptyStore answers all reads with nothing, or turns them away.
type emptyStore struct {
	reads atomic.Int64
	away  atomic.Bool
}

func (s *emptyStore) Newest(context.Context, view.Log) ([]view.Change, int64, error) {
	return s.Read(context.Background(), 0, 0, 0)
}

func (s *emptyStore) Read(_ context.Context, _ view.Log, from int64, _ time.Duration) ([]view.Change, int64, error) {
	s.reads.Add(1)
	if s.away.Load() {
		return nil, 0, view.ErrRefused
	}
	return nil, from, nil
}

func (s *emptyStore) Append(context.Context, view.Change, int64) (int64, error) { return 0, nil }

// follower leads nothing.
type follower struct{ fails atomic.Int64 }

func (*follower) Reads() bool   { return false }
func (*follower) Leads() bool   { return false }
func (f *follower) StoreFails() { f.fails.Add(1) }

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

// The VM that reads for all is lost: the others must not all read at the same
// moment, and none may wait longer than changes may take.
func TestFollowersReadOneAfterTheOther(t *testing.T) {
	early, late := time.Hour, time.Duration(0)
	for i := range 50 {
		age := followerAge + spreadOf(fmt.Sprint("front-cymru-a-", i))
		early, late = min(early, age), max(late, age)
	}
	assert.Greater(t, late-early, followerSpread/2)
	assert.LessOrEqual(t, late, 1300*time.Millisecond)
}

// A VM that hears from others does not call the store; one that hears nobody
// reads for itself.
func TestFollowerReadsOnlyWhatIsOld(t *testing.T) {
	store := &emptyStore{}
	v := startFeed(t, "vm", store, &follower{})
	time.Sleep(followerAge / 2)
	assert.Zero(t, store.reads.Load())
	require.Eventually(t, func() bool { return v.Staleness(view.Targets) < followerAge/2 && store.reads.Load() > 0 },
		followerAge+followerSpread+time.Second, 10*time.Millisecond)
}

// A VM that the store turns away says so once that has lasted, and its calls
// become rare: each of them costs.
func TestStoreThatTurnsAwayIsToldAndSpared(t *testing.T) {
	store, roles := &emptyStore{}, &follower{}
	store.away.Store(true)
	startFeed(t, "vm", store, roles)
	require.Eventually(t, func() bool { return roles.fails.Load() > 0 }, followerAge+followerSpread+outageAfter+2*time.Second, 10*time.Millisecond)
	before := store.reads.Load()
	time.Sleep(3 * time.Second)
	assert.LessOrEqual(t, store.reads.Load()-before, int64(8))
}
