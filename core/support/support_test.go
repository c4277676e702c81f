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

// The seed is fixed so that each run gives the same verdict.
func init() {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
}

const ms = time.Millisecond

// answer is a VM's answer on its way back to the leader.
type answer struct {
	vm    string
	asked time.Duration
}

// A leader that the store turns away asks the VMs for support over a network
// that delays, loses and reorders answers. Another VM that reaches the store
// takes the cell with the help of a majority: once the time is over that they
// name, the leader must not count itself as supported any more.
func TestNoSupportAfterMajorityReleased(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		known := rapid.IntRange(2, 9).Draw(t, "VMs")
		joined := rapid.IntRange(0, known/4).Draw(t, "VMs that the leader does not know")
		followers := map[string]*Follower{}
		for i := 1; i < known+joined; i++ {
			followers[fmt.Sprint("vm-", i)] = &Follower{}
		}
		var leader Leader
		var onWay []answer
		now, end, released := time.Duration(0), time.Duration(-1), 0
		for range 150 {
			now += time.Duration(rapid.IntRange(0, 120).Draw(t, "pause")) * ms
			vm := fmt.Sprint("vm-", rapid.IntRange(1, known+joined-1).Draw(t, "vm"))
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0, 1: // a question reaches a VM, also late
				asked := now - time.Duration(rapid.IntRange(0, 900).Draw(t, "delay"))*ms
				if followers[vm].Support(now, "old", true) {
					onWay = append(onWay, answer{vm, asked})
				}
			case 2:
				if len(onWay) > 0 {
					i := rapid.IntRange(0, len(onWay)-1).Draw(t, "answer")
					leader.Supported(onWay[i].vm, onWay[i].asked)
				}
			case 3:
				if !followers[vm].released["old"] {
					end = max(end, now+followers[vm].Release(now, "old"))
					released++
				}
			}
			// The VM that takes the cell is one of those that released the leader.
			if released >= Majority(known+joined) && now >= end && leader.Holds(now, known) {
				t.Fatalf("supported at %s although %d of %d VMs released it until %s", now, released, known+joined, end)
			}
		}
	})
}

// process is one process of a VM.
type process struct {
	Follower
	knowsRecord bool // of the new leader
}

// The same while VMs restart: a process that has begun since its VM released the
// leader has forgotten that. The promises count whose processes are those that
// are registered when the new leader's record is written; processes that register
// later know the record.
func TestNoSupportAfterMajorityReleasedAndVMsRestarted(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		known := rapid.IntRange(2, 9).Draw(t, "VMs")
		processes, promised := map[string]*process{}, map[string]*process{}
		for i := 1; i < known; i++ {
			processes[fmt.Sprint("vm-", i)] = &process{}
		}
		var leader Leader
		var onWay []answer
		var now, bound, end time.Duration
		written, released := false, 0 // the VM that takes the cell is one of them
		for range 150 {
			now += time.Duration(rapid.IntRange(0, 120).Draw(t, "pause")) * ms
			vm := fmt.Sprint("vm-", rapid.IntRange(1, known-1).Draw(t, "vm"))
			p := processes[vm]
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0, 1:
				asked := now - time.Duration(rapid.IntRange(0, 900).Draw(t, "delay"))*ms
				if p.Support(now, "old", !p.knowsRecord) {
					onWay = append(onWay, answer{vm, asked})
				}
			case 2:
				if len(onWay) > 0 {
					i := rapid.IntRange(0, len(onWay)-1).Draw(t, "answer")
					leader.Supported(onWay[i].vm, onWay[i].asked)
				}
			case 3:
				if !written {
					promised[vm] = p
					bound = max(bound, Lease, p.Release(now, "old"))
				}
			case 4:
				if written {
					continue
				}
				for id, by := range promised {
					if processes[id] == by {
						released++
					}
				}
				written, end = true, now+bound
			case 5:
				processes[vm] = &process{knowsRecord: written}
			}
			if written && released >= Majority(known) && now >= end && leader.Holds(now, known) {
				t.Fatalf("supported at %s although %d of %d VMs released it until %s", now, released, known, end)
			}
		}
	})
}

// The store is away for all: a leader that all VMs follow goes on, also when a
// third of them is lost.
func TestFollowedLeaderGoesOn(t *testing.T) {
	var leader Leader
	assert.False(t, leader.Holds(0, 8))
	assert.True(t, leader.Holds(0, 1), "alone there is nobody else to take the cell")
	for i := range 5 {
		leader.Supported(fmt.Sprint(i), 0)
	}
	assert.True(t, leader.Holds(900*ms, 8))
	assert.False(t, leader.Holds(Lease, 8))
}

// A VM supports only the leader that it knows of, and none that it released.
func TestFollower(t *testing.T) {
	var f Follower
	assert.False(t, f.Support(0, "a", false))
	require.True(t, f.Support(0, "a", true))
	assert.Zero(t, f.Release(0, "b"))
	assert.Equal(t, 600*ms, f.Release(400*ms, "a"))
	assert.False(t, f.Support(500*ms, "a", true))
}
