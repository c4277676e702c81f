package cell

import (
	"context"
	"fmt"
	"math/rand"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/mangogate/mangogate/core/fleet"
	"github.com/mangogate/mangogate/core/keyspace"
	"github.com/mangogate/mangogate/core/lending"
	"github.com/mangogate/mangogate/node/panics"
	"github.com/mangogate/mangogate/node/view"
	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// countingCaller implements KeyCaller. It counts the grants by target.
type countingCaller struct {
	acceptAll
	mu     sync.Mutex
	grants map[string]int
}

func (c *countingCaller) Grant(ctx context.Context, call KeyCall, beforeSend func() error) (keyspace.CallResult, error) {
	c.mu.Lock()
	c.grants[call.Target]++
	c.mu.Unlock()
	return c.acceptAll.Grant(ctx, call, beforeSend)
}

// newKeyLeadership returns a leadership of the cell "s" that does nothing by itself, with
// the keys spread evenly over n targets, and the function that counts its lookups of
// owners.
func newKeyLeadership(t *testing.T, n int) (l *leadership, caller *countingCaller, lookups *int) {
	vm := startVM(t, "vm-0", &memoryStore{})
	require.Eventually(t, func() bool { return vm.leadershipOf("s") != nil }, 5*time.Second, 10*time.Millisecond)
	caller = &countingCaller{grants: map[string]int{}}
	s := &Service{self: vm.self, view: vm.view, clock: vm.clock, logger: vm.logger, keyCaller: caller, guard: panics.New(vm.logger, metrics.NewRegistry())}
	var owners []keyspace.Assignment
	var targets []lending.TargetInfo
	var entries []view.Change
	for i := range n {
		id := fmt.Sprintf("t-%d", i)
		owners = append(owners, keyspace.Assignment{From: i * keyspace.Keys / n, To: (i+1)*keyspace.Keys/n - 1, Owner: keyspace.Holder{Target: id}, Fence: 1})
		targets = append(targets, lending.TargetInfo{ID: id, Address: "127.0.0.1:1", Slots: 3})
		entries = append(entries, view.Change{Log: view.Targets, Key: id, Offset: int64(i + 1), Target: &fleet.Target{ID: id, Service: "other", Address: "127.0.0.1:1", Slots: 3}})
	}
	vm.view.Apply(view.Targets, entries, int64(n+1), vm.clock.Now())
	l = s.newLeadership("s", keyspace.New(keyConfig(fleet.ShortestHold), owners, 0))
	lookups = new(int)
	l.lender = lending.New(l.s.retry.leaderConfig(), rand.New(rand.NewSource(1)), func(now time.Duration, key int) lending.Ownership {
		*lookups++
		return l.ownerOf(now, key)
	})
	l.lender.SetTargets(l.now(), targets)
	return l, caller, lookups
}

// grantAll carries out the calls that are due now.
func (l *leadership) grantAll(calls []keyspace.Action) {
	for _, a := range calls {
		l.report(a, keyspace.Accepted, "")
	}
}

// Guards against a leader whose processor is used up by a large fleet: each answer to a
// renewal made it look at every waiting request, so that a hot spot (one key with a
// long queue) in a service of many targets cost targets times waiting requests.
func TestRenewalsOfManyTargetsLeaveAHotSpotsQueueAlone(t *testing.T) {
	const targets, waiting = 347, 60
	l, _, lookups := newKeyLeadership(t, targets)
	l.grantAll(l.dueCalls()) // the first grants give the targets their keys
	now := l.now()
	for id := range waiting {
		l.lender.RequestSlot(now, lending.Request{
			ID: uint64(id + 1), VM: "vm-0", Route: "r", Idempotent: true, Arrived: now, Objective: now + time.Minute, Deadline: now + time.Minute, Key: 7,
		})
	}
	require.Greater(t, l.lender.Waiting(), waiting/2)
	var renewals []keyspace.Action
	require.Eventually(t, func() bool {
		renewals = append(renewals, l.dueCalls()...)
		return len(renewals) >= targets
	}, 5*time.Second, 20*time.Millisecond)
	*lookups = 0
	l.grantAll(renewals)
	assert.Less(t, *lookups, len(renewals), "lookups of owners for %d renewals with %d requests waiting", len(renewals), l.lender.Waiting())
}

// Guards against requests that go on waiting although a target has been granted
// their key.
func TestGrantServesWaitingRequestsAtOnce(t *testing.T) {
	l, _, _ := newKeyLeadership(t, 2)
	now := l.now()
	l.keys.WrongOwner(now, 7, "t-0") // the target has forgotten its grant
	l.lender.RequestSlot(now, lending.Request{
		ID: 1, VM: "vm-0", Route: "r", Idempotent: true, Arrived: now, Objective: now + time.Minute, Deadline: now + time.Minute, Key: 7,
	})
	require.Equal(t, 1, l.lender.Waiting(), "the key has to be granted again")
	l.grantAll(l.dueCalls())
	assert.Zero(t, l.lender.Waiting())
}

// Guards against keys that stay without an owner after their last holder has released
// them, until the leader looks at all keys again.
func TestReleasedKeysAreGrantedAtOnce(t *testing.T) {
	l, caller, _ := newKeyLeadership(t, 2)
	l.grantAll(l.dueCalls())
	l.load.Add(7, time.Second)
	var releases []keyspace.Action
	require.Eventually(t, func() bool {
		l.mu.Lock()
		defer l.mu.Unlock()
		now := l.now()
		l.keys.Propose(now, []keyspace.Candidate{{Holder: keyspace.Holder{Target: "t-1"}, Capacity: 3}}, l.load)
		l.keys.Committed(now, 2)
		for _, a := range l.keys.Step(now, func(keyspace.Holder) bool { return true }) {
			if a.Kind == keyspace.Release {
				releases = append(releases, a)
			}
		}
		return len(releases) > 0
	}, 5*time.Second, 20*time.Millisecond)
	before := caller.grants["t-1"]
	l.perform(context.Background(), releases[0])
	require.Eventually(t, func() bool {
		caller.mu.Lock()
		defer caller.mu.Unlock()
		return caller.grants["t-1"] > before
	}, 2*time.Second, time.Millisecond, "nobody else steps the keys in this test")
}

// Guards against a grant that reaches a later life of its holder at another address,
// where no answer of another target at the holder's address can end it: two targets
// held the keys.
func TestGrantIsNotSentToLaterLifeElsewhere(t *testing.T) {
	l, caller, _ := newKeyLeadership(t, 2)
	due := l.dueCalls()
	require.Len(t, due, 2)
	l.view.Apply(view.Targets, []view.Change{{Log: view.Targets, Key: "t-0", Offset: 3, Target: &fleet.Target{ID: "t-0", Life: 1, Service: "other", Address: "127.0.0.1:2", Slots: 3}}}, 4, l.now())
	for _, a := range due {
		l.perform(context.Background(), a)
	}
	assert.Equal(t, map[string]int{"t-1": 1}, caller.grants)
	assert.Empty(t, l.dueCalls(), "keys of an earlier life are not granted again")
}

// endedCaller implements KeyCaller with addresses that have gone to other targets.
type endedCaller struct{ calls atomic.Int32 }

func (c *endedCaller) Grant(context.Context, KeyCall, func() error) (keyspace.CallResult, error) {
	c.calls.Add(1)
	return keyspace.Ended, nil
}

func (c *endedCaller) Release(context.Context, KeyCall) (string, keyspace.CallResult, error) {
	c.calls.Add(1)
	return "", keyspace.Ended, nil
}

// Guards against two holders of a key: a leader that knows only an earlier life of a target,
// from a late or a restored record, asked at that life's address, where another target
// answered, and took this for the end of the later life, which holds the keys.
func TestAddressOfEarlierLifeDoesNotEndTheHolder(t *testing.T) {
	l, _, _ := newKeyLeadership(t, 2)
	ended := &endedCaller{}
	l.s.keyCaller = ended
	holder := keyspace.Holder{Target: "t-0", Life: 2} // the view knows the life 0
	bound := l.now() + time.Minute
	l.keys = keyspace.New(keyConfig(fleet.ShortestHold), []keyspace.Assignment{{To: keyspace.Keys - 1, Owner: holder, Fence: 1}}, bound)
	perform := func() (kinds []keyspace.ActionKind) {
		for _, a := range l.dueCalls() {
			kinds = append(kinds, a.Kind)
			l.perform(context.Background(), a)
		}
		return kinds
	}
	assert.Equal(t, []keyspace.ActionKind{keyspace.Grant}, perform())
	l.keys.Propose(l.now(), []keyspace.Candidate{{Holder: keyspace.Holder{Target: "t-1"}, Capacity: 3}}, l.load)
	l.keys.Committed(l.now(), 2)
	assert.Equal(t, []keyspace.ActionKind{keyspace.Release}, perform())
	assert.Empty(t, perform(), "the keys were granted to another target while the holder may hold them")
	assert.Zero(t, ended.calls.Load(), "calls to the address of the earlier life")
}
