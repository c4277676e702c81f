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

// Guards against two holders of a key after a target restarts under its id: the new
// process takes renewals of the grants of the earlier one until its registration is
// known, so it must release the keys before another target is granted them.
func TestRestartedTargetReleasesRenewedKeys(t *testing.T) {
	m := newManagerWithOwners(t, "a", "b")
	owner, _, _ := m.Owner(0, 0)
	survivor := "b"
	if owner.Target == "b" {
		survivor = "a"
	}
	mayRun := func(h Holder) bool { return h != owner } // a later life of it is registered
	const registered = time.Second
	completeDueCalls(m, registered-time.Millisecond, Accepted) // the new process takes the renewal
	_, ok := m.Propose(registered, candidates(survivor), &Load{})
	require.True(t, ok)
	m.Committed(registered, 2)

	var release []Action
	for _, a := range m.Step(registered, mayRun) {
		require.False(t, a.Kind == Grant && a.From == 0, "granted to %s while %s may hold the key", a.Holder.Target, owner.Target)
		if a.Kind == Release {
			release = append(release, a)
		}
	}
	require.NotEmpty(t, release)
	for _, a := range release {
		require.Equal(t, owner.Target, a.Holder.Target)
		m.ReportResult(registered, a.ID, Accepted, "h")
	}
	completeDueCalls(m, registered, Accepted)
	newOwner, state, _ := m.Owner(registered, 0)
	assert.Equal(t, survivor, newOwner.Target)
	assert.Equal(t, Held, state, "the keys need not wait for the hold to expire")
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
	end := testHold * 100 / 98
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
	assert.Equal(t, 5*time.Second+testConfig().MaxHoldSinceSend(), late.ranges[0].heldUntil)
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

// Guards against two holders of a key after a grant that stays unanswered while its
// range is merged with a neighbour and a part of the merged range moves away: the
// grant may still take effect at its holder, which has released the newer fence.
func TestUnansweredGrantIsWaitedForAfterMergeAndMove(t *testing.T) {
	m := newManagerWithOwners(t, "a", "b")
	a, b := Holder{"a", 1}, Holder{"b", 1}
	m.ranges = []*keyRange{
		{Assignment: Assignment{From: 0, To: 99, Owner: a, Fence: 1}, granted: true, accepted: true},
		{Assignment: Assignment{From: 100, To: Keys - 1, Owner: a, Fence: 1}, granted: true, accepted: true},
	}
	const sent = 10 * time.Second
	var unanswered []Action
	for _, call := range m.Step(sent, alwaysMayRun) {
		require.Equal(t, Grant, call.Kind)
		unanswered = append(unanswered, call)
	}
	require.Len(t, unanswered, 2)

	merged := m.ranges[0].copy()
	merged.To, merged.Fence, merged.accepted = Keys-1, 0, false
	merged.calls = append(merged.calls, m.ranges[1].calls...)
	m.pending = &proposal{[]*keyRange{merged}}
	m.Committed(sent, 2)

	pl := newPlanner(m, sent, candidates("a", "b"), &Load{})
	pl.split(pl.ranges[0], 49)
	pl.assign(pl.ranges[1], pl.byHolder[b]) // 50 to the last key: overlaps both calls, lies within neither
	m.pending = &proposal{pl.ranges}
	m.Committed(sent, 3)

	timedOut := sent + testTimeout
	for _, call := range unanswered {
		m.ReportResult(timedOut, call.ID, NoAnswer, "")
	}
	expiry := timedOut + testHold*100/98
	for now := timedOut; now < expiry; now += 20 * time.Millisecond {
		for _, call := range m.Step(now, alwaysMayRun) {
			require.False(t, call.Kind == Grant && call.Holder == b, "granted to b at %s while a may hold the keys", now)
			m.ReportResult(now, call.ID, Accepted, "h")
		}
	}
	completeDueCalls(m, expiry+time.Millisecond, Accepted)
	owner, state, _ := m.Owner(expiry+time.Millisecond, 50)
	assert.Equal(t, b, owner)
	assert.Equal(t, Held, state)
}

// Guards against two holders of a key when an owner that has seen a higher fence
// leaves the candidates: it may still hold its keys by an earlier grant, so the next
// owner waits for it.
func TestSupersededOwnerThatLeavesIsWaitedFor(t *testing.T) {
	m := newManagerWithOwners(t, "a", "b")
	owner, _, _ := m.Owner(0, 0)
	survivor := "b"
	if owner.Target == "b" {
		survivor = "a"
	}
	const renewed = time.Second
	for _, call := range m.Step(renewed, alwaysMayRun) {
		result := Accepted
		if call.Holder == owner {
			result = Superseded
		}
		m.ReportResult(renewed, call.ID, result, "")
	}
	_, ok := m.Propose(renewed, candidates(survivor), &Load{})
	require.True(t, ok)
	m.Committed(renewed, 2)
	for _, call := range m.Step(renewed, alwaysMayRun) {
		require.False(t, call.Kind == Grant && call.From == 0, "granted while %s may hold the key", owner.Target)
	}
}

// Guards against keys of a lost target that stay without an owner for longer than one
// grant lasts: renewals that the target does not answer must not extend the time for
// which it may hold them.
func TestUnansweredRenewalsDoNotExtendHold(t *testing.T) {
	m := newManagerWithOwners(t, "a", "b")
	owner, _, _ := m.Owner(0, 0)
	lostAt, lastRenewal := 800*time.Millisecond, 800*time.Millisecond
	inFlight := map[uint64]time.Duration{}
	for now := lostAt; now < 2*time.Second; now += 10 * time.Millisecond {
		for id, sent := range inFlight {
			if now >= sent+testTimeout {
				m.ReportResult(now, id, NoAnswer, "")
				delete(inFlight, id)
			}
		}
		for _, a := range m.Step(now, alwaysMayRun) {
			if a.Holder == owner {
				inFlight[a.ID] = now
				assert.LessOrEqual(t, a.Hold, testHold)
			} else {
				m.ReportResult(now, a.ID, Accepted, "")
			}
		}
	}
	assert.LessOrEqual(t, m.rangeOf(0).heldUntil, lastRenewal+testConfig().MaxHoldSinceSend())
}

// Guards against two holders of a key when a leader without processor time sends a grant
// long after it was due: the hold counts from its arrival, so a result that comes late
// tells of a hold that ends late.
func TestGrantSentLateHoldsLate(t *testing.T) {
	m := newManagerWithOwners(t, "a", "b")
	owner, _, _ := m.Owner(0, 0)
	survivor := "b"
	if owner.Target == "b" {
		survivor = "a"
	}
	const due, delay = time.Second, 600 * time.Millisecond
	reported := due + delay + testTimeout
	for _, call := range m.Step(due, alwaysMayRun) {
		if call.Holder == owner { // arrives before the call is given up, its answer is lost
			m.ReportResult(reported, call.ID, NoAnswer, "")
			continue
		}
		m.ReportResult(due, call.ID, Accepted, "")
	}
	_, ok := m.Propose(reported, candidates(survivor), &Load{})
	require.True(t, ok)
	m.Committed(reported, 2)
	expiry := reported + testHold*100/98
	for now := reported; now < expiry; now += 20 * time.Millisecond {
		for _, call := range m.Step(now, alwaysMayRun) {
			require.False(t, call.Kind == Grant && call.Holder.Target == survivor && call.From == 0, "granted at %s while %s may hold the keys until %s", now, owner.Target, expiry)
			m.ReportResult(now, call.ID, Accepted, "")
		}
	}
}

// Guards against a grant that was shortened while its target did not answer and that
// expires before it is renewed, although the target answers again.
func TestShortenedGrantIsRenewedAtOnce(t *testing.T) {
	m := newManagerWithOwners(t, "a")
	const lost = 800 * time.Millisecond
	completeDueCalls(m, lost, NoAnswer)
	probe := completeDueCalls(m, lost+testTimeout+grantRetryDelay, Accepted)
	require.Len(t, probe, 1)
	require.Less(t, probe[0].Hold, testHold)
	renewal := completeDueCalls(m, lost+testTimeout+grantRetryDelay+50*time.Millisecond, Accepted)
	require.Len(t, renewal, 1)
	assert.Equal(t, testHold, renewal[0].Hold)
}

// Guards against a grant of keys that a target may hold by an assignment that the store
// has lost: no grant or release may be sent before such holds have expired.
func TestNothingIsGrantedWhileUnknownHoldersMayHoldKeys(t *testing.T) {
	cfg := Config{Hold: time.Second, Renew: 300 * time.Millisecond, CallTimeout: 100 * time.Millisecond}
	m := New(cfg, []Assignment{{From: 0, To: Keys - 1, Owner: Holder{Target: "a"}, Fence: 5, Prior: []Hold{{Holder{Target: "b"}, 4}}}}, 5*time.Second)
	m.ExpectUnknownHolders()
	alive := func(Holder) bool { return true }
	require.Empty(t, m.Step(2*time.Second, alive))
	_, state, wait := m.Owner(2*time.Second, 7)
	require.Equal(t, Lost, state)
	require.Equal(t, 3*time.Second, wait)
	m.LowerPriorManagerHoldBound(2*time.Second, 4*time.Second)
	require.Empty(t, m.Step(4*time.Second-1, alive))
	calls := m.Step(4*time.Second, alive)
	require.Len(t, calls, 1)
	require.Equal(t, Grant, calls[0].Kind)
}
