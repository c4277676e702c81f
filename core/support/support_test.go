package support

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// init fixes the seed of rapid, so that the test results are reproducible. Histories of the model
// of successions shrink little, even in the usual 30 s.
func init() {
	_ = flag.Set("rapid.shrinktime", "1s")
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
}

const ms = time.Millisecond

// old is the leader that is replaced.
var old = Grantor{Leader: "old"}

// reply is a VM's reply in flight to the leader.
type reply struct {
	vm          string
	requestedAt time.Duration
}

// Guards against two leaders of a cell. The store does not confirm the old leader,
// which asks the VMs for support over a network that delays, loses, duplicates and
// reorders replies, while a majority of VMs releases it for another VM. Once the
// support that they gave has expired, the old leader must not count as supported.
func TestNoSupportAfterMajorityReleased(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		known := rapid.IntRange(2, 9).Draw(t, "VMs")
		joined := rapid.IntRange(0, known/4).Draw(t, "VMs that the leader does not know")
		followers := map[string]*Follower{}
		for i := 1; i < known+joined; i++ {
			followers[fmt.Sprint("vm-", i)] = &Follower{}
		}
		var leader Leader
		var inFlight []reply
		now, supportEnd, released := time.Duration(0), time.Duration(-1), 0
		for range 150 {
			now += time.Duration(rapid.IntRange(0, 120).Draw(t, "pause")) * ms
			vm := fmt.Sprint("vm-", rapid.IntRange(1, known+joined-1).Draw(t, "vm"))
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0, 1: // a request reaches a VM, possibly late
				requestedAt := now - time.Duration(rapid.IntRange(0, 900).Draw(t, "delay"))*ms
				if followers[vm].GrantSupport(now, old, true) {
					inFlight = append(inFlight, reply{vm, requestedAt})
				}
			case 2:
				if len(inFlight) > 0 {
					i := rapid.IntRange(0, len(inFlight)-1).Draw(t, "answer")
					leader.RecordSupport(inFlight[i].vm, inFlight[i].requestedAt)
				}
			case 3:
				if _, done := followers[vm].released["old"]; !done {
					supportEnd = max(supportEnd, now+followers[vm].Release(now, "old", ""))
					released++
				}
			}
			// The VM that takes over the cell is one of those that released the leader.
			if released >= Majority(known+joined) && now >= supportEnd && leader.HasSupport(now, known) {
				t.Fatalf("supported at %s although %d of %d VMs released it until %s", now, released, known+joined, supportEnd)
			}
		}
	})
}

// process is one process of a VM. A restarted VM has a new process.
type process struct {
	Follower
	knowsNewLeader bool // knows the record that names the new leader
}

// Guards against two leaders of a cell when VMs restart: a restarted VM does not
// remember that it released the old leader and may support it again. Therefore a
// release counts only if its process still runs when the new leader's record is
// written; processes that start later know that record.
func TestNoSupportAfterMajorityReleasedAndVMsRestarted(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		known := rapid.IntRange(2, 9).Draw(t, "VMs")
		processes, releasedProcesses := map[string]*process{}, map[string]*process{}
		for i := 1; i < known; i++ {
			processes[fmt.Sprint("vm-", i)] = &process{}
		}
		var leader Leader
		var inFlight []reply
		var now, longestSupport, supportEnd time.Duration
		recordWritten, released := false, 0 // released includes the VM that takes over the cell
		for range 150 {
			now += time.Duration(rapid.IntRange(0, 120).Draw(t, "pause")) * ms
			vm := fmt.Sprint("vm-", rapid.IntRange(1, known-1).Draw(t, "vm"))
			p := processes[vm]
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0, 1:
				requestedAt := now - time.Duration(rapid.IntRange(0, 900).Draw(t, "delay"))*ms
				if p.GrantSupport(now, old, !p.knowsNewLeader) {
					inFlight = append(inFlight, reply{vm, requestedAt})
				}
			case 2:
				if len(inFlight) > 0 {
					i := rapid.IntRange(0, len(inFlight)-1).Draw(t, "answer")
					leader.RecordSupport(inFlight[i].vm, inFlight[i].requestedAt)
				}
			case 3:
				if !recordWritten {
					releasedProcesses[vm] = p
					longestSupport = max(longestSupport, Lease, p.Release(now, "old", ""))
				}
			case 4:
				if recordWritten {
					continue
				}
				for id, releasedBy := range releasedProcesses {
					if processes[id] == releasedBy {
						released++
					}
				}
				recordWritten, supportEnd = true, now+longestSupport
			case 5:
				processes[vm] = &process{knowsNewLeader: recordWritten}
			}
			if recordWritten && released >= Majority(known) && now >= supportEnd && leader.HasSupport(now, known) {
				t.Fatalf("supported at %s although %d of %d VMs released it until %s", now, released, known, supportEnd)
			}
		}
	})
}

// Guards against a leader that stops when the store is unavailable to all VMs: with
// the support of the VMs it must continue, even if a third of them is lost, until
// the support expires.
func TestSupportedLeaderContinuesWithoutStore(t *testing.T) {
	var leader Leader
	assert.False(t, leader.HasSupport(0, 8))
	assert.True(t, leader.HasSupport(0, 1), "a single VM needs no other supporter")
	for i := range 5 {
		leader.RecordSupport(fmt.Sprint(i), 0)
	}
	assert.True(t, leader.HasSupport(900*ms, 8))
	assert.False(t, leader.HasSupport(Lease, 8))
}

// Guards against support for a process that is not the leader or that the VM has
// released, and against a wrong remaining time of released support.
func TestFollower(t *testing.T) {
	var f Follower
	a := Grantor{Leader: "a"}
	assert.False(t, f.GrantSupport(0, a, false))
	require.True(t, f.GrantSupport(0, a, true))
	assert.Zero(t, f.Release(0, "b", ""))
	assert.Equal(t, 600*ms, f.Release(400*ms, "a", ""))
	assert.False(t, f.GrantSupport(500*ms, a, true))
}

// Guards against two deputies of a leader that count on the support of one VM, and against
// a deputy that gets none after the one before has stopped in its favour.
func TestFollowerSupportsOneDeputyAtATime(t *testing.T) {
	var f Follower
	first, second := Grantor{Leader: "a", Deputy: "b"}, Grantor{Leader: "a", Deputy: "c"}
	require.True(t, f.GrantSupport(0, Grantor{Leader: "a"}, true))
	require.True(t, f.GrantSupport(100*ms, first, true), "the leader has stopped in its favour")
	assert.False(t, f.GrantSupport(200*ms, second, true))
	assert.False(t, f.GrantSupport(200*ms, Grantor{Leader: "a"}, true), "a late request of the leader")
	following := Grantor{Leader: "a", Deputy: "d", Follows: "b"}
	require.True(t, f.GrantSupport(300*ms, following, true))
	assert.False(t, f.GrantSupport(400*ms, first, true))
	assert.True(t, f.GrantSupport(300*ms+Lease, second, true), "the support of the other one has expired")
}

// Guards against two deputies that claim their cell: one goes on to be supported by VMs that
// promised the other one to support nobody else.
func TestReleaseExceptsTheDeputyThatClaims(t *testing.T) {
	var f Follower
	b, c := Grantor{Leader: "a", Deputy: "b"}, Grantor{Leader: "a", Deputy: "c"}
	require.True(t, f.GrantSupport(0, b, true))
	assert.Zero(t, f.Release(100*ms, "a", "b"), "the claimant need not wait for its own support")
	assert.True(t, f.GrantSupport(200*ms, b, true))
	assert.False(t, f.GrantSupport(200*ms+Lease, c, true))
	assert.Equal(t, 700*ms, f.Release(500*ms, "a", "c"))
	assert.False(t, f.GrantSupport(200*ms+Lease, b, true), "released by the other deputy")
	assert.False(t, f.GrantSupport(200*ms+Lease, c, true), "the first one's claim may still be written")
}

// Guards against a claimant that does not wait for support which a VM gave to an earlier
// leader's deputy before it supported the claimant itself.
func TestReleaseTellsOfEarlierLeader(t *testing.T) {
	var f Follower
	require.True(t, f.GrantSupport(0, Grantor{Leader: "a", Deputy: "b"}, true))
	require.True(t, f.GrantSupport(400*ms, Grantor{Leader: "c"}, true))
	assert.Equal(t, 500*ms, f.Release(500*ms, "a", ""))
	assert.Equal(t, 900*ms, f.Release(500*ms, "c", ""))
}
