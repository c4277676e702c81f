package keyspace

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const (
	testHold    = 3 * time.Second
	testTimeout = 700 * time.Millisecond
)

func testConfig() Config {
	return Config{Hold: testHold, Renew: 800 * time.Millisecond, CallTimeout: testTimeout, ClockError: 0.02, MaxRanges: 8}
}

func candidates(ids ...string) []Candidate {
	var out []Candidate
	for _, id := range ids {
		out = append(out, Candidate{Holder: Holder{Target: id, Life: 1}, Capacity: 3})
	}
	return out
}

func alwaysMayRun(Holder) bool { return true }

// newManagerWithOwners returns a manager whose keys are held by the given targets.
func newManagerWithOwners(t *testing.T, ids ...string) *Manager {
	m := New(testConfig(), nil, 0)
	_, ok := m.Propose(0, candidates(ids...), &Load{})
	require.True(t, ok)
	m.Committed(0, 1)
	completeDueCalls(m, 0, Accepted)
	return m
}

// completeDueCalls reports a result for all calls that are due and returns them.
func completeDueCalls(m *Manager, now time.Duration, result CallResult) []Action {
	actions := m.Step(now, alwaysMayRun)
	for _, a := range actions {
		m.ReportResult(now, a.ID, result, "h")
	}
	return actions
}

// Guards against keys that stay unserved until a hold expires although its process
// is known to have ended: a new process at the same address rejects the grant for
// the old one, which proves that the old one has ended.
func TestAddressTakenByAnotherProcessEndsHold(t *testing.T) {
	m := newManagerWithOwners(t, "a", "b")
	owner, state, _ := m.Owner(0, 0)
	require.Equal(t, Held, state)
	actions := m.Step(time.Second, alwaysMayRun)
	for _, a := range actions {
		if a.Holder == owner {
			m.ReportResult(time.Second, a.ID, Ended, "")
		} else {
			m.ReportResult(time.Second, a.ID, Accepted, "")
		}
	}
	_, ok := m.Propose(time.Second, candidates("a", "b"), &Load{})
	require.True(t, ok, "the ended holder must be replaced although it is still listed")
	m.Committed(0, 2)
	completeDueCalls(m, time.Second+time.Millisecond, Accepted)
	newOwner, state, _ := m.Owner(0, 0)
	assert.NotEqual(t, owner, newOwner)
	assert.Equal(t, Held, state)
}

// Guards against two holders of a key after a target stops answering. The target
// may serve its keys until its hold expires on its own clock, which may run slow,
// so no other target may be granted them before then.
func TestKeysOfSilentHolderWaitForHoldExpiry(t *testing.T) {
	m := newManagerWithOwners(t, "a", "b")
	owner, _, _ := m.Owner(0, 0)
	survivor := "b"
	if owner.Target == "b" {
		survivor = "a"
	}
	_, ok := m.Propose(time.Millisecond, candidates(survivor), &Load{})
	require.True(t, ok)
	m.Committed(0, 2)
	end := time.Duration(float64(testHold) * 1.02)
	for now := 2 * time.Millisecond; now < end; now += 50 * time.Millisecond {
		for _, a := range m.Step(now, alwaysMayRun) {
			require.False(t, a.Kind == Grant && a.From == 0, "granted at %s while %s may hold the key", now, owner.Target)
			result := Accepted
			if a.Holder == owner {
				result = NoAnswer
			}
			m.ReportResult(now, a.ID, result, "")
		}
	}
	completeDueCalls(m, end+testTimeout+time.Millisecond, Accepted)
	newOwner, state, _ := m.Owner(0, 0)
	assert.Equal(t, survivor, newOwner.Target)
	assert.Equal(t, Held, state)
}

// Guards against keys that stay unserved for longer than a hold lasts: renewals
// that provably did not reach an unreachable target must not extend its hold.
func TestUnsentRenewalDoesNotExtendHold(t *testing.T) {
	m := newManagerWithOwners(t, "a", "b")
	_, _, before := m.Owner(0, 0)
	require.Zero(t, before)
	heldUntil := m.rangeOf(0).heldUntil
	for now := time.Second; now < 2*time.Second; now += 200 * time.Millisecond {
		completeDueCalls(m, now, NotSent)
	}
	assert.Equal(t, heldUntil, m.rangeOf(0).heldUntil)
}

// Guards against a needlessly long wait after a failover. When a new leader learns
// that its predecessor lost its authority earlier than assumed, keys of an
// unreachable holder must be granted at the earlier time, but never while a grant
// of the new leader itself may be in effect.
func TestLowerBoundShortensWaitForUnreachableHolders(t *testing.T) {
	before := newManagerWithOwners(t, "a", "b")
	const assumed, learned = 20 * time.Second, 6 * time.Second
	m := New(testConfig(), before.Assignments(), assumed)
	unreachable, _, _ := m.Owner(0, 0)
	survivor := "b"
	if unreachable.Target == "b" {
		survivor = "a"
	}
	_, ok := m.Propose(0, candidates(survivor), &Load{})
	require.True(t, ok)
	m.Committed(0, 2)
	_, state, wait := completeAndGetOwner(m, 100*time.Millisecond, unreachable)
	require.Equal(t, Lost, state)
	assert.Equal(t, assumed-100*time.Millisecond, wait)
	m.LowerPriorManagerHoldBound(time.Second, learned)
	_, _, wait = m.Owner(time.Second, 0)
	assert.Equal(t, learned-time.Second, wait)
	completeAndGetOwner(m, learned-time.Millisecond, unreachable)
	_, state, _ = m.Owner(learned-time.Millisecond, 0)
	assert.NotEqual(t, Held, state)
	completeAndGetOwner(m, learned, unreachable)
	h, state, _ := m.Owner(learned, 0)
	assert.Equal(t, Held, state)
	assert.Equal(t, survivor, h.Target)

	late := New(testConfig(), before.Assignments(), assumed)
	late.Step(5*time.Second, alwaysMayRun) // sends grants that stay unanswered
	late.LowerPriorManagerHoldBound(5*time.Second, learned)
	assert.Equal(t, 5*time.Second+testConfig().maxHoldSinceSend(), late.ranges[0].heldUntil)
}

// completeAndGetOwner completes the calls that are due, those to the unreachable
// holder without an answer, and returns the owner of the first key.
func completeAndGetOwner(m *Manager, now time.Duration, unreachable Holder) (Holder, OwnerState, time.Duration) {
	for _, a := range m.Step(now, alwaysMayRun) {
		result := Accepted
		if a.Holder == unreachable {
			result = NoAnswer
		}
		m.ReportResult(now, a.ID, result, "")
	}
	return m.Owner(now, 0)
}
