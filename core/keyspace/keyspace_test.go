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
	return Config{Hold: testHold, Renew: 800 * time.Millisecond, CallTimeout: testTimeout, ClockError: 0.02, MaxParts: 8}
}

func candidates(ids ...string) []Candidate {
	var out []Candidate
	for _, id := range ids {
		out = append(out, Candidate{Holder: Holder{Target: id, Life: 1}, Capacity: 3})
	}
	return out
}

func runs(Holder) bool { return true }

// settled returns a manager whose keys are held by the given targets.
func settled(t *testing.T, ids ...string) *Manager {
	m := New(testConfig(), nil, 0)
	_, ok := m.Propose(0, candidates(ids...), &Load{})
	require.True(t, ok)
	m.Committed(0, 1)
	answerAll(m, 0, Accepted)
	return m
}

// answerAll lets all calls that are due end with a result.
func answerAll(m *Manager, now time.Duration, result CallResult) []Action {
	actions := m.Step(now, runs)
	for _, a := range actions {
		m.Done(now, a.ID, result, "h")
	}
	return actions
}

// A process that starts again with another id takes the address of the one
// that ended. Its answer to a grant for the old id proves that the old one
// holds nothing; waiting for the end of the hold would leave the keys unserved.
func TestAddressTakenByAnotherProcessEndsHold(t *testing.T) {
	m := settled(t, "a", "b")
	owner, state, _ := m.Owner(0, 0)
	require.Equal(t, Held, state)
	actions := m.Step(time.Second, runs)
	for _, a := range actions {
		if a.Holder == owner {
			m.Done(time.Second, a.ID, Ended, "")
		} else {
			m.Done(time.Second, a.ID, Accepted, "")
		}
	}
	_, ok := m.Propose(time.Second, candidates("a", "b"), &Load{})
	require.True(t, ok, "the ended holder must be replaced although it is still listed")
	m.Committed(0, 2)
	answerAll(m, time.Second+time.Millisecond, Accepted)
	now, state, _ := m.Owner(0, 0)
	assert.NotEqual(t, owner, now)
	assert.Equal(t, Held, state)
}

// A target that vanished may serve its keys until its hold has run out on its
// own clock, which may be slow.
func TestKeysOfSilentHolderWaitForItsHold(t *testing.T) {
	m := settled(t, "a", "b")
	owner, _, _ := m.Owner(0, 0)
	rest := "b"
	if owner.Target == "b" {
		rest = "a"
	}
	_, ok := m.Propose(time.Millisecond, candidates(rest), &Load{})
	require.True(t, ok)
	m.Committed(0, 2)
	end := time.Duration(float64(testHold) * 1.02)
	for now := 2 * time.Millisecond; now < end; now += 50 * time.Millisecond {
		for _, a := range m.Step(now, runs) {
			require.False(t, a.Kind == Grant && a.From == 0, "granted at %s while %s may hold the key", now, owner.Target)
			result := Accepted
			if a.Holder == owner {
				result = NoAnswer
			}
			m.Done(now, a.ID, result, "")
		}
	}
	answerAll(m, end+testTimeout+time.Millisecond, Accepted)
	now, state, _ := m.Owner(0, 0)
	assert.Equal(t, rest, now.Target)
	assert.Equal(t, Held, state)
}

// Renewals that provably did not reach a dark target must not postpone the end
// of its hold, or its keys stay unserved for longer than the hold.
func TestUnsentRenewalDoesNotExtendHold(t *testing.T) {
	m := settled(t, "a", "b")
	_, _, before := m.Owner(0, 0)
	require.Zero(t, before)
	until := m.find(0).until
	for now := time.Second; now < 2*time.Second; now += 200 * time.Millisecond {
		answerAll(m, now, NotSent)
	}
	assert.Equal(t, until, m.find(0).until)
}

// A VM that took a cell over learns that the leader before it had lost its
// authority earlier than it had to assume: keys of a dark holder are given away
// at the earlier time, but never while a grant of its own may last.
func TestLowerBoundShortensTheWaitForDarkHolders(t *testing.T) {
	before := settled(t, "a", "b")
	const assumed, learned = 20 * time.Second, 6 * time.Second
	m := New(testConfig(), before.Assignments(), assumed)
	dark, _, _ := m.Owner(0, 0)
	rest := "b"
	if dark.Target == "b" {
		rest = "a"
	}
	_, ok := m.Propose(0, candidates(rest), &Load{})
	require.True(t, ok)
	m.Committed(0, 2)
	_, state, wait := ownerAfter(m, 100*time.Millisecond, dark)
	require.Equal(t, Lost, state)
	assert.Equal(t, assumed-100*time.Millisecond, wait)
	m.LowerFormerBound(time.Second, learned)
	_, _, wait = m.Owner(time.Second, 0)
	assert.Equal(t, learned-time.Second, wait)
	ownerAfter(m, learned-time.Millisecond, dark)
	_, state, _ = m.Owner(learned-time.Millisecond, 0)
	assert.NotEqual(t, Held, state)
	ownerAfter(m, learned, dark)
	h, state, _ := m.Owner(learned, 0)
	assert.Equal(t, Held, state)
	assert.Equal(t, rest, h.Target)

	late := New(testConfig(), before.Assignments(), assumed)
	late.Step(5*time.Second, runs) // grants that are not answered yet
	late.LowerFormerBound(5*time.Second, learned)
	assert.Equal(t, 5*time.Second+testConfig().longest(), late.parts[0].until)
}

// ownerAfter lets the calls that are due end, those to the dark holder without
// an answer, and returns the owner of the first key.
func ownerAfter(m *Manager, now time.Duration, dark Holder) (Holder, OwnerState, time.Duration) {
	for _, a := range m.Step(now, runs) {
		result := Accepted
		if a.Holder == dark {
			result = NoAnswer
		}
		m.Done(now, a.ID, result, "")
	}
	return m.Owner(now, 0)
}
