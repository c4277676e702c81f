package lease

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// TestMain fixes the seed of rapid, unless a flag sets it, so that every run draws
// the same cases.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == "0" {
		_ = f.Value.Set("1")
	}
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

// Guards against two servers with a valid lease on one shard, and against a shard
// that is never granted after the faults have ended. The faults are lost,
// delayed and duplicated messages, frozen and restarted servers, reassignments
// and manager failovers.
func TestOneHolderAndRecovery(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(2, 5).Draw(t, "servers"), 6)
		sim.run(15 * time.Second)
		sim.faults = false
		sim.run(8 * time.Second) // a frozen server resumes within 3 s
		require.Zero(t, sim.violations, "two servers held a valid lease on one shard")
		for _, s := range sim.shards {
			holder, fence, _ := sim.table.Holder(s)
			require.Equal(t, sim.assigned[s].Owner, holder, "%v", s)
			require.Equal(t, sim.assigned[s].Fence, fence)
		}
	})
}

// Guards against a simulation that cannot detect two holders of a shard. Each case
// disables one rule that servers follow; some seed must then show a violation.
func TestSimulationDetectsDisabledRule(t *testing.T) {
	for name, disabled := range map[string]disabledRules{
		"lease counted from arrival": {leaseFromArrival: true},
		"older grant accepted":       {acceptAnySequence: true},
		"grant of a former boot":     {acceptAnyBoot: true},
	} {
		t.Run(name, func(t *testing.T) {
			violations := 0
			for seed := uint64(0); seed < 200 && violations == 0; seed++ {
				sim := newSimulation(seed, 3, 6)
				sim.disabledRules = disabled
				sim.run(20 * time.Second)
				violations = sim.violations
			}
			require.NotZero(t, violations)
		})
	}
}

// Guards against shards that stay without an owner after their server is lost,
// and against a failover that takes longer than a lease, two renewals and
// 100 ms.
func TestLostServerIsReplaced(t *testing.T) {
	cfg := DefaultConfig()
	var longest time.Duration
	for seed := range uint64(50) {
		sim := newSimulation(seed, 5, 40)
		sim.faults = false
		sim.run(3*time.Second + time.Duration(seed)*20*time.Millisecond)
		sim.lostTarget = sim.targets[0]
		lostAt := sim.now
		moved := map[Shard]bool{}
		for _, s := range sim.shards {
			moved[s] = sim.assigned[s].Owner == sim.lostTarget.name
		}
		sim.run(4 * time.Second)
		for _, s := range sim.shards {
			if moved[s] && sim.assigned[s].Owner != sim.lostTarget.name {
				require.Greater(t, sim.confirmedAt[s], lostAt)
				longest = max(longest, sim.confirmedAt[s]-lostAt)
			}
		}
	}
	t.Logf("longest time from loss to the next owner's confirmation: %v", longest)
	require.Less(t, longest, cfg.Duration+2*cfg.Renewal+100*time.Millisecond)
}

// Guards against a restarted server that is not granted its shards again, or is
// granted them with another fencing token.
func TestRestartedServerIsGrantedAgain(t *testing.T) {
	table, now, s := NewTable(DefaultConfig(), 0), 5*time.Second, Shard{"s", 1}
	table.Step(now, ServerAdded{"a", "s"})
	table.Step(now, Assigned{[]Assignment{{Shard: s, Owner: "a", Fence: 1024}}})
	reply := func(boot string, holds ...Hold) []Action {
		now += 300 * time.Millisecond
		table.Step(now, Tick{}) // sends the grant that the reply below answers
		return table.Step(now, Reply{Server: "a", Sequence: table.sequence, BootID: boot, Clock: now, Holds: holds})
	}
	reply("x")
	require.Contains(t, reply("x", Hold{s, 1024}), Granted{s, "a", 1024})
	require.Contains(t, reply("y"), Restarted{"a", "y"})
	require.Contains(t, reply("y", Hold{s, 1024}), Granted{s, "a", 1024})
}

func BenchmarkTableReply(b *testing.B) {
	const servers = 100
	for _, shards := range []int{1000, 10_000, 60_000} {
		b.Run(fmt.Sprint(shards), func(b *testing.B) {
			cfg := DefaultConfig()
			table, now := NewTable(cfg, 0), 5*time.Second
			names, holds := make([]string, servers), make([][]Hold, servers)
			for i := range names {
				names[i] = fmt.Sprintf("t%d", i)
				table.Step(now, ServerAdded{names[i], "s"})
			}
			for k := range shards {
				s := Shard{"s", k}
				holds[k%servers] = append(holds[k%servers], Hold{s, 1024})
				table.Step(now, Assigned{[]Assignment{{Shard: s, Owner: names[k%servers], Fence: 1024}}})
			}
			i := 0
			b.ReportAllocs()
			for b.Loop() { // handles one reply and sends one renewal per iteration
				now += cfg.Renewal / servers
				v := table.servers[names[i%servers]]
				table.Step(now, Reply{Server: v.name, Sequence: v.sequence, BootID: "x", Clock: now, Holds: holds[i%servers]})
				table.send(now, v)
				table.actions = nil
				i++
			}
		})
	}
}
