package cell

import (
	"testing"
	"time"

	"github.com/mangogate/mangogate/core/lending"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against a leader that lends slots to calls which it reads only after a pause of its
// process, when the VMs that sent them have given them up.
func TestLeaderDropsCallsThatWereGivenUpInItsPause(t *testing.T) {
	leader, _ := startLeader(t, &memoryStore{}, 1)
	lend := func(sentAt time.Duration) LendReply {
		var reply LendReply
		a := newLendArgs(leader)
		a.Key, a.SentAt = lending.NoKey, sentAt
		require.NoError(t, (&handler{leader.Service}).Lend(a, &reply))
		require.True(t, reply.Leads)
		if reply.Decision.Lent {
			leader.leadershipOf("s").returnSlot(lending.Usage{ID: reply.Decision.ID, Result: lending.Unused})
		}
		return reply
	}
	require.True(t, lend(leader.clock.Now()).Decision.Lent)
	leader.pausesMu.Lock()
	now := leader.clock.Now()
	leader.pauses = lending.Pauses{}
	leader.pauses.Ran(now - 1200*time.Millisecond)
	leader.pauses.Ran(now)
	leader.pausesMu.Unlock()

	reply := lend(now - time.Second)
	assert.Equal(t, lending.Expired, reply.Decision.Reason)
	assert.EqualValues(t, 1, leader.expiredInPauses.Count())
	assert.True(t, lend(0).Decision.Lent, "a VM of an earlier version waits on")
	reply = lend(leader.clock.Now())
	assert.True(t, reply.Decision.Lent)
	assert.InDelta(t, leader.clock.Now(), reply.Clock, float64(time.Second))
}
