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

// TestMain fixes the seed of rapid, so that each run gives the same verdict.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == "0" {
		_ = f.Value.Set("1")
	}
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

// Guards against two valid leases for a shard, and against a shard that is
// never granted once the faults have ended.
func TestOneHolderAndRecovery(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(2, 5).Draw(t, "servers"), 6)
		w.run(15 * time.Second)
		w.faults = false
		w.run(8 * time.Second) // a frozen server returns within 3 s
		require.Zero(t, w.violations, "two holders")
		for _, s := range w.shards {
			holder, fence, _ := w.table.Holder(s)
			require.Equal(t, w.assigned[s].Owner, holder, "%v", s)
			require.Equal(t, w.assigned[s].Fence, fence)
		}
	})
}

// Guards against a harness that could not find two holders.
func TestRemovedRuleIsFound(t *testing.T) {
	for name, removed := range map[string]rules{
		"lease counted from arrival": {fromArrival: true},
		"older grant accepted":       {anySequence: true},
		"grant of a former boot":     {anyBoot: true},
	} {
		t.Run(name, func(t *testing.T) {
			violations := 0
			for seed := uint64(0); seed < 200 && violations == 0; seed++ {
				w := newWorld(seed, 3, 6)
				w.rules = removed
				w.run(20 * time.Second)
				violations = w.violations
			}
			require.NotZero(t, violations)
		})
	}
}

// Guards against shards of a lost server that stay without an owner.
func TestLostServerIsReplaced(t *testing.T) {
	cfg := DefaultConfig()
	var longest time.Duration
	for seed := range uint64(50) {
		w := newWorld(seed, 5, 40)
		w.faults = false
		w.run(3*time.Second + time.Duration(seed)*20*time.Millisecond)
		w.dead = w.targets[0]
		lostAt := w.now
		moved := map[Shard]bool{}
		for _, s := range w.shards {
			moved[s] = w.assigned[s].Owner == w.dead.name
		}
		w.run(4 * time.Second)
		for _, s := range w.shards {
			if moved[s] && w.assigned[s].Owner != w.dead.name {
				require.Greater(t, w.granted[s], lostAt)
				longest = max(longest, w.granted[s]-lostAt)
			}
		}
	}
	t.Logf("longest time from loss to the next owner's confirmation: %v", longest)
	require.Less(t, longest, cfg.Duration+2*cfg.Renewal+100*time.Millisecond)
}

// Guards against a restart that changes the fence or loses the grants.
func TestRestartedServerIsGrantedAgain(t *testing.T) {
	table, now, s := NewTable(DefaultConfig(), 0), 5*time.Second, Shard{"s", 1}
	table.Step(now, ServerAdded{"a", "s"})
	table.Step(now, Assigned{[]Assignment{{Shard: s, Owner: "a", Fence: 1024}}})
	reply := func(boot string, holds ...Hold) []Action {
		now += 300 * time.Millisecond
		table.Step(now, Tick{}) // sends the grant that is answered
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
			for b.Loop() { // one reply and one renewal
				now += cfg.Renewal / servers
				v := table.servers[names[i%servers]]
				table.Step(now, Reply{Server: v.name, Sequence: v.sequence, BootID: "x", Clock: now, Holds: holds[i%servers]})
				table.send(now, v)
				table.out = nil
				i++
			}
		})
	}
}
