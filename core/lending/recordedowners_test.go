package lending

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

const testGrantTTL = 1800 * ms

// longDeadlineRead returns a read whose objective leaves time for the election
// of a new leader.
func longDeadlineRead(id uint64, now time.Duration, key int) Request {
	r := request(id, now)
	r.Key, r.Objective, r.Deadline = key, now+800*ms, now+3*time.Second
	return r
}

// lenderWithRecordedOwners returns the lender of a VM without a leader. The last
// record assigns 20 keys to its 20 targets, one to each.
func lenderWithRecordedOwners(owners *RecordedOwners, leaderEnded bool) *Lender {
	targets := pool(20)
	cfg := testConfig()
	cfg.SlotsPerTarget, cfg.VMs, cfg.Budget.Burst = 1, 3, 1 // one slot for each VM fits the targets
	return newLender(cfg, func(now time.Duration, key int) Ownership {
		return owners.Owner(now, targets[key].ID, leaderEnded)
	}, targets...)
}

// Guards against a retry budget that is used up after a power failure of all VMs:
// they restart together, and the key grants have expired meanwhile. Requests must
// wait for the new leader and not be sent to the recorded owners, which would
// reject them.
func TestAllVMsRestartedRequestsWaitForLeader(t *testing.T) {
	l := lenderWithRecordedOwners(NewRecordedOwners(0, testGrantTTL), true)
	for i := range 20 {
		l.RequestSlot(ms, longDeadlineRead(uint64(i+1), ms, i))
	}
	l.Tick(400 * ms)
	assert.Empty(t, takeDecisions(l), "requests are neither sent nor refused while a new leader may come before their objective")
	assert.Equal(t, 20, l.Waiting())
	urgent := request(100, 401*ms)
	urgent.Key, urgent.Objective, urgent.Deadline = 7, 401*ms+150*ms, 401*ms+500*ms
	l.RequestSlot(401*ms, urgent)
	d := takeDecisions(l)[100]
	assert.Equal(t, NoOwner, d.Reason, "the request has to end before a new leader is expected")
	assert.GreaterOrEqual(t, d.RetryAfter, expectedFailover/2)
}

// Guards against needless waiting when only the leader is lost: its key grants
// last until a new leader is elected, so a VM that kept running uses the recorded
// owners at once.
func TestLeaderLostOwnersAreAskedAtOnce(t *testing.T) {
	l := lenderWithRecordedOwners(NewRecordedOwners(-time.Minute, testGrantTTL), true)
	r := request(1, ms)
	r.Key = 3
	l.RequestSlot(ms, r)
	assert.True(t, takeDecisions(l)[1].Lent)
}

// Guards against sending every request for a target's keys to a target that has
// lost them: one rejected request is enough to stop the others for a while.
func TestOwnerWithoutKeysIsAskedOnce(t *testing.T) {
	owners := NewRecordedOwners(-time.Minute, testGrantTTL)
	l := lenderWithRecordedOwners(owners, false)
	requestSlot := func(id uint64, now time.Duration, key int) Decision {
		l.RequestSlot(now, longDeadlineRead(id, now, key))
		return takeDecisions(l)[id]
	}
	first := requestSlot(1, ms, 3)
	assert.True(t, first.Lent)
	owners.WrongOwner(2*ms, first.Target)
	l.Return(2*ms, Usage{ID: 1, Result: WrongOwner})
	assert.Equal(t, Decision{}, requestSlot(2, 3*ms, 3), "the request waits for a new leader")
	assert.True(t, requestSlot(3, 3*ms, 4).Lent, "requests for keys of other owners are sent")
	l.Tick(2*ms + expectedFailover)
	assert.True(t, takeDecisions(l)[2].Lent, "the owner is tried again after expectedFailover")
}

// Guards against requests that are sent to owners without keys right after all VMs
// restarted: the new leader's record arrives before its grants, and the requests that
// wait must not be lent slots locally in between.
func TestRecordOfNewLeaderDoesNotEndTheWait(t *testing.T) {
	owners := NewRecordedOwners(0, testGrantTTL)
	assert.Equal(t, Lost, owners.Owner(300*ms, "t", true).State)
	assert.Equal(t, Lost, owners.Owner(301*ms, "t", false).State, "the leader has only just written its record")
	assert.Equal(t, Held, owners.Owner(300*ms+expectedFailover, "t", false).State)
}
