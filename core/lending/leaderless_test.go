package lending

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

const testHold = 1800 * ms

// patientRead has an objective that leaves time for a new leader.
func patientRead(id uint64, now time.Duration, key int) Request {
	r := request(id, now)
	r.Key, r.Objective, r.Deadline = key, now+800*ms, now+3*time.Second
	return r
}

// leaderlessLender is the lender of a VM without a leader, 20 of whose targets are
// named by the last record as owners of 20 keys.
func leaderlessLender(u *Leaderless, leaderEnded bool) *Lender {
	targets := pool(20)
	cfg := testConfig()
	cfg.SlotsPerTarget, cfg.Budget.Burst = 1, 1
	return newLender(cfg, func(now time.Duration, key int) Ownership {
		return u.Owner(now, targets[key].ID, leaderEnded)
	}, targets...)
}

// All VMs lose power and start again together, the leader among them. The grants
// have lapsed meanwhile: requests must wait for the new leader, not be sent to
// owners that turn them away.
func TestAllVMsRestartedRequestsWaitForLeader(t *testing.T) {
	l := leaderlessLender(NewLeaderless(0, testHold), true)
	for i := range 20 {
		l.Ask(ms, patientRead(uint64(i+1), ms, i))
	}
	l.Tick(400 * ms)
	assert.Empty(t, take(l), "nothing is sent, and nothing refused while a leader may come in time")
	assert.Equal(t, 20, l.Waiting())
	urgent := request(100, 401*ms)
	urgent.Key, urgent.Objective, urgent.Deadline = 7, 401*ms+150*ms, 401*ms+500*ms
	l.Ask(401*ms, urgent)
	d := take(l)[100]
	assert.Equal(t, NoOwner, d.Reason, "a leader would come too late for it")
	assert.GreaterOrEqual(t, d.RetryAfter, leaderlessPause/2)
}

// The leader alone is lost: its grants last until it is replaced, and a VM that
// has run all the while goes on at once.
func TestLeaderLostOwnersAreAskedAtOnce(t *testing.T) {
	l := leaderlessLender(NewLeaderless(-time.Minute, testHold), true)
	r := request(1, ms)
	r.Key = 3
	l.Ask(ms, r)
	assert.True(t, take(l)[1].Lent)
}

// A target that has lost its keys turns one request away, not each one that is
// for its keys.
func TestOwnerWithoutKeysIsAskedOnce(t *testing.T) {
	u := NewLeaderless(-time.Minute, testHold)
	l := leaderlessLender(u, false)
	ask := func(id uint64, now time.Duration, key int) Decision {
		l.Ask(now, patientRead(id, now, key))
		return take(l)[id]
	}
	first := ask(1, ms, 3)
	assert.True(t, first.Lent)
	u.WrongOwner(2*ms, first.Target)
	l.Return(2*ms, Usage{ID: 1, Result: WrongOwner})
	assert.Equal(t, Decision{}, ask(2, 3*ms, 3), "waits for a leader")
	assert.True(t, ask(3, 3*ms, 4).Lent, "other owners go on")
	l.Tick(2*ms + leaderlessPause)
	assert.True(t, take(l)[2].Lent, "it is asked again later")
}
