package authority

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

const seedCount = 60

func faultyCluster(seed uint64) *cluster {
	c := newCluster(seed)
	c.lossShare, c.delayShare = 0.02, 0.1
	return c
}

// Guards against two managers at one instant under lost and delayed messages,
// pauses, restarts and partitions, and against a cluster that stays without a
// manager after these faults have ended.
func TestNeverTwoManagersAndRecovery(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := faultyCluster(rapid.Uint64().Draw(t, "seed"))
		c.delayShare = rapid.Float64Range(0, 0.6).Draw(t, "slow")
		c.run(15*time.Second, c.injectFault)
		c.endFaults()
		faultsEndedAt := c.now
		c.run(4*time.Second, nil)
		require.Zero(t, c.overlaps, "two managers at one instant")
		require.Greater(t, c.lastActingAt, faultsEndedAt, "no manager within 4 s after the faults ended")
	})
}

// Guards against a test harness that cannot detect two managers: with members that
// forget their promises, it must find some.
func TestHarnessDetectsTwoManagers(t *testing.T) {
	overlaps := 0
	for seed := range uint64(10) {
		c := faultyCluster(seed)
		c.forgetPromises = true
		c.run(30*time.Second, c.injectFault)
		overlaps += c.overlaps
	}
	require.NotZero(t, overlaps)
}

// Guards against two managers after a restart: a restarted member does not know
// its former process's promise, so it must not support any term while that promise
// may still count.
func TestRestartedMemberSupportsNobody(t *testing.T) {
	c := newCluster(1)
	c.run(3*time.Second, nil)
	i := slices.IndexFunc(c.members, func(m *member) bool { _, ok := c.acting(m); return !ok })
	c.startProcess(i)
	m := c.members[i]
	end := c.clock(m) + time.Second
	for c.clock(m) < end {
		_, _, ok := m.node.Supporting(c.clock(m))
		require.False(t, ok)
		c.run(tick, nil)
	}
	c.run(500*time.Millisecond, nil)
	_, _, ok := m.node.Supporting(c.clock(m))
	require.True(t, ok, "must support the live manager once Config.Promise has passed")
}

// Guards against a manager whose majority includes members that have been
// replaced: after a change of members, only the answers of current members count.
func TestSupportOfNonMembersDoesNotCount(t *testing.T) {
	c := newCluster(1)
	c.run(3*time.Second, nil)
	for i, m := range c.members {
		if term, ok := c.acting(m); ok {
			changed := append([]string(nil), c.names...)
			for slot := range changed {
				if slot != int(term%clusterSize) && slot != int((term+1)%clusterSize) {
					changed[slot] = fmt.Sprintf("new-%d", slot)
				}
			}
			m.node.Step(c.clock(m), MembersChanged{Members: changed})
			_, ok = c.acting(c.members[i])
			require.False(t, ok)
			return
		}
	}
	t.Fatal("no manager")
}

// Guards against a planned stop whose failover waits until the promises expire, and
// against a resigned node that campaigns again.
func TestResignHandsOverAtOnce(t *testing.T) {
	c := newCluster(1)
	c.run(3*time.Second, nil)
	for i, m := range c.members {
		if _, ok := c.acting(m); ok {
			c.longestGap = 0
			c.step(i, Resign{})
			c.run(30*time.Second, nil)
			require.Less(t, c.longestGap, 500*time.Millisecond)
			_, ok = c.acting(m)
			require.False(t, ok)
			return
		}
	}
	t.Fatal("no manager")
}

// killManagerAndSuccessors kills the manager and the next two members for 5 s,
// once every 8 s.
func (c *cluster) killManagerAndSuccessors() {
	if c.now%(8*time.Second) != 0 {
		return
	}
	first := 0
	for i, m := range c.members {
		if _, ok := c.acting(m); ok {
			first = i
		}
	}
	for k := range 3 {
		c.kill((first+k)%clusterSize, 5*time.Second)
	}
}

// Guards against a gap of 4 s or more without a manager when fewer than half of the
// members, including the manager and its next two successors, are lost.
func TestLongestGap(t *testing.T) {
	var mu sync.Mutex
	var longestAfterLoss, longestWithFaults time.Duration
	var gaps []time.Duration
	t.Run("seeds", func(t *testing.T) {
		for seed := range uint64(seedCount) {
			t.Run(fmt.Sprint(seed), func(t *testing.T) {
				t.Parallel()
				a, b := newCluster(seed), faultyCluster(seed)
				a.lossShare, a.delayShare = 0.02, 0.02
				a.run(120*time.Second, a.killManagerAndSuccessors)
				b.run(120*time.Second, b.injectFault)
				require.Zero(t, a.overlaps+b.overlaps)
				require.Less(t, a.longestGap, 4*time.Second)
				mu.Lock()
				defer mu.Unlock()
				gaps = append(gaps, a.gaps...)
				longestAfterLoss, longestWithFaults = max(longestAfterLoss, a.longestGap), max(longestWithFaults, b.longestGap)
			})
		}
	})
	slices.Sort(gaps)
	t.Logf("gaps %d: median %v, p99 %v", len(gaps), gaps[len(gaps)/2], gaps[len(gaps)*99/100])
	t.Logf("longest gap over %d seeds of 120 s: %v with 3 of 8 lost; %v with pauses and partitions",
		seedCount, longestAfterLoss, longestWithFaults)
}

func BenchmarkNodeHeartbeatRound(b *testing.B) {
	for _, size := range []int{8, 64, 256, 760} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			names := make([]string, size)
			for i := range names {
				names[i] = fmt.Sprintf("vm-%d", i)
			}
			n := newBenchNode(names)
			now := 10 * time.Second
			b.ReportAllocs()
			for b.Loop() {
				now += n.cfg.Heartbeat
				for _, a := range n.Step(now, Tick{}) {
					s := a.(Send)
					reply := s.Message
					reply.Kind, reply.Supported = reply.Kind+1, true
					n.Step(now, Received{From: s.To, Message: reply})
				}
			}
			if _, ok := n.Acting(now); !ok {
				b.Fatal("not acting")
			}
		})
	}
}

// newBenchNode returns a node that probes on the benchmark's first tick and campaigns
// when the probes are answered.
func newBenchNode(names []string) *Node {
	n := New(DefaultConfig(names[1]), 0, rand.New(rand.NewPCG(1, 1)))
	n.Step(0, MembersChanged{Members: names})
	return n
}
